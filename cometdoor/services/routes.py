"""Which service a request belongs to. No I/O.

Exact host, then the longest wildcard, then routes without a host; at that host the longest path prefix by
segments; at that path the class. Each step is final: what no route names there is nobody's, and never falls
into another service's pool.

Hosts are compared by RFC 9110 (4.2.3) and RFC 3986 (6.2.2): without case, port and final dot; IDNA labels as
they stand. Targets are read by RFC 9112 (3.2).
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

MAX_HOST = 253
LABEL = re.compile(r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?")
LITERAL = re.compile(r"\[[0-9A-Fa-f:.]{2,45}\]")
AUTHORITY = re.compile(rb"(\[[^\]]*\]|[^:\[\]@]*)(?::(\d{0,5}))?")
ABSOLUTE = re.compile(rb"(?i:https?)://([^/?#]*)([^#]*)")
ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
BAD_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
DOTS = (b".", b"..")
# A path that every server reads in the same way: no escapes, parameters, empty segments or leading dots.
PLAIN = re.compile(rb"(?:/[A-Za-z0-9_~!$&'()*+,=:@-][A-Za-z0-9._~!$&'()*+,=:@-]*)*/?")
MAX_KNOWN = 1024  # Host fields of which the routes are kept at hand: callers choose how they write them

Segments = tuple[bytes, ...]


class BadPattern(Exception):
    """A host or path in the operators' file that can't be matched; the message is for them."""


class Unroutable(Exception):
    """The answer to a request that no service gets. `status`: 400 or 404."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class Route:
    service: str
    host: str  # in normal form; *.name, or empty for any
    path: Segments  # the prefix, in normal form
    cls: str | None
    place: str = ""  # in the operators' file

    def key(self) -> tuple[str, Segments, str | None]:
        return self.host, self.path, self.cls

    def text(self) -> str:
        path = "/" + b"/".join(self.path).decode("latin-1")
        return f"{self.host or 'any host'} {path}" + (f" class {self.cls}" if self.cls else "")


@dataclass(slots=True)
class Match:
    service: str
    cls: str | None  # None: the request must say it, or the service has just one


@dataclass(slots=True)
class _AtPath:
    by_class: dict[str, Route] = field(default_factory=dict)
    any: Route | None = None


class _AtHost:
    def __init__(self) -> None:
        self.by_path: dict[Segments, _AtPath] = {}
        self.depth = 0

    def find(self, path: Segments) -> _AtPath | None:
        for length in range(min(len(path), self.depth), -1, -1):
            if found := self.by_path.get(path[:length]):
                return found
        return None


class Routes:
    """All routes of one configuration."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._hosts: dict[str, _AtHost] = {}
        self._known: dict[bytes, _AtHost] = {}  # by Host as it came
        for route in routes:
            host = self._hosts.setdefault(route.host, _AtHost())
            at = host.by_path.setdefault(route.path, _AtPath())
            host.depth = max(host.depth, len(route.path))
            if route.cls is None:
                at.any = route
            else:
                at.by_class[route.cls] = route

    def find(self, host: bytes, path: bytes, stated: str | None) -> Match:
        """`host`: a Host field or a target's authority as it came; `path` without the query; `stated`: the
        class that the request names. Raises Unroutable."""
        at_host = self._known.get(host)
        if at_host is None:
            at_host = self._at_host(read_host(host))
            if at_host is None:
                raise Unroutable(404, "no route names this host")
            if len(self._known) >= MAX_KNOWN:
                self._known.clear()
            self._known[host] = at_host
        at = self._at_path(at_host, path)
        if at is None:
            raise Unroutable(404, "no route names this path")
        if stated is not None:
            route = at.by_class.get(stated) or at.any
            if route is None:
                raise Unroutable(404, "no route names this class here")
            return Match(route.service, stated)
        if at.any is not None:
            return Match(at.any.service, None)
        if len(at.by_class) > 1:
            raise Unroutable(400, "X-Qos is missing: several classes have this path")
        (route,) = at.by_class.values()
        return Match(route.service, route.cls)

    @staticmethod
    def _at_path(at_host: _AtHost, path: bytes) -> _AtPath | None:
        if PLAIN.fullmatch(path):
            return at_host.find(tuple(path.rstrip(b"/").split(b"/")[1:]))
        at = at_host.find(as_written(path))
        # A server may read a path more freely than we do. Where that would be another route's, a request
        # could step from one service or class into another.
        if at is not at_host.find(as_some_read(path)):
            raise Unroutable(400, "the path can be read in two ways")
        return at

    def _at_host(self, host: str) -> _AtHost | None:
        if found := self._hosts.get(host):
            return found
        if not host.startswith("["):
            rest = host
            while "." in rest:
                rest = rest.partition(".")[2]
                if found := self._hosts.get(f"*.{rest}"):
                    return found
        return self._hosts.get("")


def same_right(routes: Iterable[Route]) -> Iterator[tuple[Route, Route]]:
    """Pairs that would both match some request, neither more closely than the other."""
    seen: dict[tuple[str, Segments, str | None], Route] = {}
    for route in routes:
        earlier = seen.setdefault(route.key(), route)
        if earlier is not route:
            yield earlier, route


# --- hosts ---


def normal_host(text: str) -> str:
    """A host without port in its normal form; raises ValueError."""
    host = text.lower()
    if LITERAL.fullmatch(host):
        return host
    host = host.removesuffix(".")
    if not host or len(host) > MAX_HOST or not all(LABEL.fullmatch(label) for label in host.split(".")):
        raise ValueError(f"{text!r} is no host name")
    return host


def read_host(value: bytes) -> str:
    """A Host field or a target's authority, port and all; raises Unroutable."""
    match = AUTHORITY.fullmatch(value.strip(b" \t"))
    try:
        if match is None or (match[2] and int(match[2]) > 65535):
            raise ValueError("no host and port")
        return normal_host(match[1].decode("ascii"))
    except ValueError:  # UnicodeDecodeError is one
        raise Unroutable(400, "Host is malformed") from None


def read_host_pattern(text: str) -> str:
    if not text:
        return ""
    try:
        return "*." + normal_host(text[2:]) if text.startswith("*.") else normal_host(text)
    except ValueError as problem:
        raise BadPattern(f"{problem}; a name, *.name or nothing is needed, without a port") from None


# --- paths ---


def split_target(target: bytes) -> tuple[bytes | None, bytes]:
    """The authority of a target in absolute form, else None, and the target in origin form, query and all."""
    if target.startswith(b"/"):
        if b"#" in target:
            raise Unroutable(400, "the target has a fragment")
        return None, target
    match = ABSOLUTE.fullmatch(target)
    if match is None:
        raise Unroutable(400, "the target is no path")
    rest: bytes = match[2]
    return match[1], rest if rest.startswith(b"/") else b"/" + rest


def as_written(path: bytes) -> Segments:
    """Segments by RFC 3986, 6.2.2.2: escapes of what needs none are undone. A final slash adds nothing.

    Dot segments are refused, escaped ones too: to remove them here and send them on as they came would
    leave it to the server where the request ends up.
    """
    if BAD_ESCAPE.search(path):
        raise Unroutable(400, "the path has a malformed escape")
    if b"%" in path:
        path = ESCAPE.sub(_unreserved, path)
    segments = path.split(b"/")[1:]
    if any(segment in DOTS for segment in segments):
        raise Unroutable(400, "the path has dot segments")
    if segments and not segments[-1]:
        segments.pop()
    return tuple(segments)


def as_some_read(path: bytes) -> Segments:
    """Segments as a careless server may see them: all escapes undone, also of slashes; backslashes for
    slashes; without empty segments and path parameters."""
    if b"%" not in path and b"\\" not in path and b";" not in path and b"//" not in path:
        return as_written(path)
    path = ESCAPE.sub(lambda match: bytes([int(match[1], 16)]), path).replace(b"\\", b"/")
    segments = tuple(name for segment in path.split(b"/") if (name := segment.partition(b";")[0]))
    if any(segment in DOTS for segment in segments) or b"\0" in path:
        raise Unroutable(400, "the path has hidden dot segments")
    return segments


def _unreserved(match: re.Match[bytes]) -> bytes:
    code = int(match[1], 16)
    return bytes([code]) if code in UNRESERVED else match[0].upper()


def read_path_prefix(text: str) -> Segments:
    try:
        path = text.encode("ascii")
        if not path.startswith(b"/") or b"?" in path or b"#" in path or any(byte <= 32 for byte in path):
            raise BadPattern(f"{text!r} is no path; it begins with / and has no blanks, ? or #")
        segments = as_written(path)
        if segments != as_some_read(path):
            raise BadPattern(
                f"{text!r} can be read in two ways; no escaped slash, \\, ; or // can stand there"
            )
        return segments
    except UnicodeEncodeError:
        raise BadPattern(f"{text!r} has characters that a path can only hold escaped") from None
    except Unroutable as problem:
        raise BadPattern(f"{text!r}: {problem}") from None
