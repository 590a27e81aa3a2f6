"""Normal forms of hosts and paths, both in requests and in the operators' file. No I/O.

Hosts are compared by RFC 9110 (4.2.3) and RFC 3986 (6.2.2): case, port and final dot are ignored, and IDNA
labels are compared as written. Targets are parsed by RFC 9112 (3.2).
"""

from __future__ import annotations

import re

from cometdoor.errors import CometdoorError
from cometdoor.http.request_target import split_absolute_target

MAX_HOST_LENGTH = 253
HOST_LABEL = re.compile(r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?")
IP_LITERAL = re.compile(r"\[[0-9A-Fa-f:.]{2,45}\]")
AUTHORITY = re.compile(rb"(\[[^\]]*\]|[^:\[\]@]*)(?::(\d{0,5}))?")
PERCENT_ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
MALFORMED_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
DOT_SEGMENTS = (b".", b"..")
# A path that all servers parse alike: it has no escapes, parameters, empty segments or leading dots.
PLAIN_PATH = re.compile(rb"(?:/[A-Za-z0-9_~!$&'()*+,=:@-][A-Za-z0-9._~!$&'()*+,=:@-]*)*/?")

Segments = tuple[bytes, ...]


class InvalidPatternError(CometdoorError):
    """A route's host or path is not a valid pattern; the message is shown to operators."""


class RoutingError(CometdoorError):
    """No service serves the request.

    Attributes
    ----------
    status : int
        Status of the response: 400 or 404.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


# --- hosts ---


def normalize_host(text: str) -> str:
    """Return the normal form of a host without port; raise ValueError for an invalid host name."""
    host = text.lower()
    if IP_LITERAL.fullmatch(host):
        return host
    host = host.removesuffix(".")
    if (
        not host
        or len(host) > MAX_HOST_LENGTH
        or not all(HOST_LABEL.fullmatch(label) for label in host.split("."))
    ):
        raise ValueError(f"{text!r} is not a host name")
    return host


def parse_host(value: bytes) -> str:
    """Return the normal form of the host in a Host field or a target's authority, without its port.

    Raises
    ------
    RoutingError
        The host or its port is malformed.
    """
    match = AUTHORITY.fullmatch(value.strip(b" \t"))
    try:
        if match is None or (match[2] and int(match[2]) > 65535):
            raise ValueError("not a host with an optional port")
        return normalize_host(match[1].decode("ascii"))
    except ValueError:  # includes UnicodeDecodeError
        raise RoutingError(400, "Host is malformed") from None


def parse_host_pattern(text: str) -> str:
    """Return the normal form of a route's host: a name, ``*.name``, or nothing for any host.

    Raises
    ------
    InvalidPatternError
        The text has none of these forms.
    """
    if not text:
        return ""
    try:
        return "*." + normalize_host(text[2:]) if text.startswith("*.") else normalize_host(text)
    except ValueError as problem:
        raise InvalidPatternError(f"{problem}; a name, *.name or nothing is needed, without a port") from None


# --- paths ---


def split_target(target: bytes) -> tuple[bytes | None, bytes]:
    """Split a request's target.

    Returns
    -------
    authority : bytes or None
        Authority of a target in absolute form; None if the target is in origin form.
    target : bytes
        The target in origin form, with its query.

    Raises
    ------
    RoutingError
        The target is in neither form, or has a fragment.
    """
    if target.startswith(b"/"):
        if b"#" in target:
            raise RoutingError(400, "the target has a fragment")
        return None, target
    absolute_target = split_absolute_target(target)
    if absolute_target is None:
        raise RoutingError(400, "the target is no path")
    return absolute_target


def path_segments(path: bytes) -> Segments:
    """Return the path's segments by RFC 3986 (6.2.2.2): unnecessary escapes decoded, a final slash dropped.

    Dot segments are rejected, also escaped ones: if they were removed for routing but forwarded unchanged,
    the server might resolve the path to another route than the one that was matched.

    Raises
    ------
    RoutingError
        The path has dot segments or a malformed escape.
    """
    if MALFORMED_ESCAPE.search(path):
        raise RoutingError(400, "the path has a malformed escape")
    if b"%" in path:
        path = PERCENT_ESCAPE.sub(_decode_if_unreserved, path)
    segments = path.split(b"/")[1:]
    if any(segment in DOT_SEGMENTS for segment in segments):
        raise RoutingError(400, "the path has dot segments")
    if segments and not segments[-1]:
        segments.pop()
    return tuple(segments)


def lenient_path_segments(path: bytes) -> Segments:
    """Return the path's segments as a lenient server may parse them.

    All escapes are decoded, also those of slashes; backslashes count as slashes; empty segments and path
    parameters are dropped.

    Raises
    ------
    RoutingError
        The path has dot segments, or a malformed escape.
    """
    if b"%" not in path and b"\\" not in path and b";" not in path and b"//" not in path:
        return path_segments(path)
    path = PERCENT_ESCAPE.sub(lambda match: bytes([int(match[1], 16)]), path).replace(b"\\", b"/")
    segments = tuple(name for segment in path.split(b"/") if (name := segment.partition(b";")[0]))
    if any(segment in DOT_SEGMENTS for segment in segments) or b"\0" in path:
        raise RoutingError(400, "the path has hidden dot segments")
    return segments


def _decode_if_unreserved(match: re.Match[bytes]) -> bytes:
    byte = int(match[1], 16)
    return bytes([byte]) if byte in UNRESERVED else match[0].upper()


def parse_path_prefix(text: str) -> Segments:
    """Return the segments of a route's path prefix.

    Raises
    ------
    InvalidPatternError
        The text is not a valid path, or servers may parse it in different ways.
    """
    try:
        path = text.encode("ascii")
        if not path.startswith(b"/") or b"?" in path or b"#" in path or any(byte <= 32 for byte in path):
            raise InvalidPatternError(
                f"{text!r} is not a path; a path begins with / and has no blanks, ? or #"
            )
        segments = path_segments(path)
        if segments != lenient_path_segments(path):
            raise InvalidPatternError(
                f"{text!r} can be read in two ways; it must not contain an escaped slash, \\, ; or //"
            )
        return segments
    except UnicodeEncodeError:
        raise InvalidPatternError(f"{text!r} has characters that must be escaped in a path") from None
    except RoutingError as problem:
        raise InvalidPatternError(f"{text!r}: {problem}") from None
