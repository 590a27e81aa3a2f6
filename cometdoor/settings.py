"""The operators' file: TOML, one checked schema, all errors at once, each with its place.

The schema is a set of msgspec structs. msgspec stops at the first error, so the file is walked struct by
struct and each value converted by itself (docs/design/services.md has what was weighed).
"""

from __future__ import annotations

import difflib
import math
import tomllib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal, get_args, get_origin

import msgspec
from msgspec import Meta, Struct, field

from cometdoor.core.host import Address
from cometdoor.core.shares import Descriptors, callers_part
from cometdoor.core.words import read_address
from cometdoor.services.routes import BadPattern, Route, read_host_pattern, read_path_prefix, same_right

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern=r"\A[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")]

MAX_FILE = 8 << 20  # bytes; a hundred services with a hundred servers each are under one


class ListenerEntry(Struct, frozen=True, kw_only=True):
    address: str  # HOST:PORT


class ServerEntry(Struct, frozen=True, kw_only=True):
    name: Name
    address: str  # HOST:PORT
    weight: Positive = 1.0
    zone: str = ""
    cell: int = 0  # servers of one cell know each other's keys, where a class says so
    kind: str = ""
    drain: bool = False  # finishes what it has, gets nothing new


class ClassEntry(Struct, frozen=True, kw_only=True):
    effect: Literal["safe", "keyed", "unsafe"]
    aim_ms: Positive
    deadline_ms: Positive
    worth: NotNegative = 1.0
    late_worth: Share = 0.0
    key_scope: Literal["all", "zone", "cell"] = "all"  # the servers that drop one another's repeats
    key_ttl_ms: NotNegative = 0.0  # and for how long they remember


class RouteEntry(Struct, frozen=True, kw_only=True):
    host: str = ""  # a name, *.name, or nothing: any host that no other route names
    path: str = "/"
    cls: str | None = field(default=None, name="class")


class LimitsEntry(Struct, frozen=True, kw_only=True):
    """What is left out follows from the process's descriptors, or is unbounded but by them."""

    open: Count | None = None  # requests that are owed an answer
    waiting: Annotated[int, Meta(ge=0)] | None = None  # requests that wait to be sent for the first time
    connections: Count | None = None  # to the service's servers
    held_bytes: Annotated[int, Meta(ge=65536)] | None = None  # of requests and answers
    guaranteed_sockets: Annotated[int, Meta(ge=1)] | None = None  # to servers, and as many of callers
    attempts: Annotated[int, Meta(ge=1, le=16)] = 4  # of one request
    connect_timeout_ms: Positive = 250.0
    idle_close_ms: Positive = 15_000.0  # how long servers keep an idle connection at the least


class ColdEntry(Struct, frozen=True, kw_only=True):
    """How servers that have just started behave; left out: as if they were warm at once."""

    start: Annotated[float, Meta(gt=0, le=1)] = field(name="from")  # share of the capacity that they have
    warm_up_ms: Positive
    overload_factor: Positive = 3.0
    fall_ms: Positive = 3_000.0


class ServiceEntry(Struct, frozen=True, kw_only=True):
    name: Name
    classes: dict[str, ClassEntry]
    routes: list[RouteEntry]
    servers: list[ServerEntry] | None = None
    discovery: str | None = None  # HOST:PORT of the platform's protocol
    limits: LimitsEntry = field(default_factory=LimitsEntry)
    cold: ColdEntry | None = None
    zone: str = ""  # where this proxy stands
    retry_after: bool = True  # refused callers may be told when to come back
    answers: Literal["any", "platform"] = "any"  # platform: a server's answer other than 200 has failed


class FleetEntry(Struct, frozen=True, kw_only=True):
    """The proxies that serve by this file together."""

    proxies: Count = 1
    place: Annotated[int, Meta(ge=0)] = 0  # of this one among them, from 0


class Settings(Struct, frozen=True, kw_only=True):
    listener: list[ListenerEntry]
    service: list[ServiceEntry]
    sockets: Annotated[int, Meta(ge=64)] = 1024  # descriptors that the process may hold
    up: str = "/up"  # answers 200 as soon as the proxy serves; no service can have this path
    fleet: FleetEntry = field(default_factory=FleetEntry)

    def listen(self) -> list[Address]:
        return [read_address(listener.address, least=0) for listener in self.listener]

    def routes(self) -> list[Route]:
        return [Route(service.name, read_host_pattern(route.host), read_path_prefix(route.path), route.cls,
                      f"service.{place}.routes.{number}")
                for place, service in enumerate(self.service)
                for number, route in enumerate(service.routes)]


@dataclass(frozen=True, slots=True)
class Problem:
    file: str
    path: str  # of keys, with places in lists counted from 0; empty for the file as a whole
    text: str  # what is wrong and what would be right

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: {self.text}" if self.path else f"{self.file}: {self.text}"


class BadSettings(Exception):
    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = tuple(problems)


Errors = list[tuple[str, str]]  # key path and text


def load_settings(path: Path) -> Settings:
    """Raises BadSettings with every problem that the file has."""
    try:
        if path.stat().st_size > MAX_FILE:
            raise BadSettings([Problem(str(path), "", f"larger than {MAX_FILE} bytes")])
        raw = path.read_bytes()
    except OSError as problem:
        raise BadSettings([Problem(str(path), "", problem.strerror or str(problem))]) from problem
    return read_settings(raw, str(path))


def read_settings(raw: bytes, file: str) -> Settings:
    try:
        content = tomllib.loads(raw.decode())
    except UnicodeDecodeError as problem:
        raise BadSettings([Problem(file, "", f"byte {problem.start} is not UTF-8")]) from problem
    except (tomllib.TOMLDecodeError, RecursionError) as problem:
        raise BadSettings([Problem(file, "", f"no TOML: {problem}")]) from problem
    errors: Errors = []
    check_struct(content, Settings, "", errors)
    settings = None
    if not errors:
        settings = msgspec.convert(content, Settings)
        errors.extend(check_meaning(settings))
    if settings is None or errors:
        raise BadSettings([Problem(file, *error) for error in errors])
    return settings


# --- schema ---


def check_struct(value: object, kind: type[Struct], path: str, errors: Errors) -> None:
    if not isinstance(value, dict):
        errors.append((path, f"a table is needed, not {_name(value)}"))
        return
    known = {info.encode_name: info for info in msgspec.structs.fields(kind)}
    for key in value.keys() - known.keys():
        near = difflib.get_close_matches(key, known, 1)
        hint = f"did you mean {near[0]}?" if near else f"known here: {', '.join(known)}"
        errors.append((_join(path, key), f"unknown key; {hint}"))
    for key, info in known.items():
        if key in value:
            check_value(value[key], info.type, _join(path, key), errors)
        elif info.required:
            errors.append((_join(path, key), f"missing; {_wanted(info.type)} is needed"))


def check_value(value: object, kind: Any, path: str, errors: Errors) -> None:
    origin, arguments = get_origin(kind), get_args(kind)
    inner = next((part for part in arguments if part is not type(None)), None)
    if inner is not None and type(None) in arguments:
        check_value(value, inner, path, errors)
    elif origin is list:
        if not isinstance(value, list):
            errors.append((path, f"a list is needed, not {_name(value)}"))
            return
        for place, part in enumerate(value):
            check_value(part, arguments[0], f"{path}.{place}", errors)
    elif origin is dict:
        if not isinstance(value, dict):
            errors.append((path, f"a table is needed, not {_name(value)}"))
            return
        for key, part in value.items():
            check_value(part, arguments[1], _join(path, key), errors)
    elif isinstance(kind, type) and issubclass(kind, Struct):
        check_struct(value, kind, path, errors)
    elif origin is Literal:
        if value not in arguments:
            errors.append((path, f"{_wanted(kind)} is needed; it is {value!r}"))
    elif isinstance(value, float) and not math.isfinite(value):
        errors.append((path, "a finite number is needed"))
    else:
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as problem:
            errors.append((path, f"{_plain(str(problem))}; it is {value!r}"[:300]))


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _name(value: object) -> str:
    return {dict: "a table", list: "a list", str: "a text", bool: "a truth value"}.get(
        type(value), "a number")


def _wanted(kind: Any) -> str:
    if get_origin(kind) is Literal:
        return "one of " + ", ".join(map(str, get_args(kind)))
    kind = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    if get_origin(kind) is list:
        return "a list"
    return {str: "a text", float: "a number", int: "a whole number", bool: "a truth value"}.get(
        kind, "a table")


def _plain(text: str) -> str:
    return text.replace("`", "").split(" - at ")[0][:1].lower() + text.replace("`", "").split(" - at ")[0][1:]


# --- meaning ---


def check_meaning(settings: Settings) -> Iterator[tuple[str, str]]:
    """What each value alone can't show."""
    addresses = [listener.address for listener in settings.listener]
    if not addresses:
        yield "listener", "at least one is needed"
    for place, address in enumerate(addresses):
        yield from _check_address(f"listener.{place}.address", address, least=0)
        if address in addresses[:place]:
            yield f"listener.{place}.address", f"{address} is listed twice"
    if not settings.up.startswith("/"):
        yield "up", "a path that begins with / is needed"
    if settings.fleet.place >= settings.fleet.proxies:
        yield "fleet.place", f"must be below fleet.proxies ({settings.fleet.proxies})"
    if not settings.service:
        yield "service", "at least one is needed"
    names: dict[str, int] = {}
    for place, service in enumerate(settings.service):
        if service.name in names:
            yield (f"service.{place}.name",
                   f"{service.name} is the name of service.{names[service.name]} too; names are unique")
        names.setdefault(service.name, place)
        yield from _check_service(service, f"service.{place}")
    yield from _check_routes(settings)
    guaranteed = sum(service.limits.guaranteed_sockets or 0 for service in settings.service)
    room = server_places(settings.sockets)
    if guaranteed > room:
        yield ("sockets", f"{settings.sockets} leave {room} for connections to servers; "
                          f"the services' guaranteed_sockets sum up to {guaranteed}")


def server_places(sockets: int) -> int:
    limit = Descriptors(sockets).limit
    return limit - callers_part(limit)


def _check_address(path: str, text: str, least: int = 1) -> Iterator[tuple[str, str]]:
    try:
        read_address(text, least)
    except ValueError as problem:
        yield path, str(problem)


def _check_service(service: ServiceEntry, at: str) -> Iterator[tuple[str, str]]:
    if not service.classes:
        yield f"{at}.classes", "at least one class is needed"
    for name, entry in service.classes.items():
        path = f"{at}.classes.{name}"
        if not name.isascii() or not name or any(c.isspace() or not c.isprintable() for c in name):
            yield path, "a class's name is printable ASCII without blanks"
        if entry.aim_ms > entry.deadline_ms:
            yield f"{path}.aim_ms", f"must not be above deadline_ms ({entry.deadline_ms:g})"
        if entry.effect == "keyed" and not entry.key_ttl_ms:
            yield f"{path}.key_ttl_ms", "missing; a keyed class needs to say how long servers remember keys"
        if entry.effect != "keyed" and entry.key_ttl_ms:
            yield f"{path}.key_ttl_ms", f"only a keyed class has it; this one is {entry.effect}"
    if (service.servers is None) == (service.discovery is None):
        yield at, "either servers or discovery is needed, and not both"
    if service.discovery is not None:
        yield from _check_address(f"{at}.discovery", service.discovery)
    seen: dict[str, int] = {}
    for place, server in enumerate(service.servers or ()):
        yield from _check_address(f"{at}.servers.{place}.address", server.address)
        for what in (f"name {server.name}", f"address {server.address}"):
            if what in seen:
                yield f"{at}.servers.{place}", f"the {what} is that of {at}.servers.{seen[what]} too"
            seen.setdefault(what, place)
    if not service.routes:
        yield f"{at}.routes", "at least one is needed; without one no request can reach the service"
    for place, route in enumerate(service.routes):
        if route.cls is not None and route.cls not in service.classes:
            yield (f"{at}.routes.{place}.class",
                   f"{route.cls} is no class of this service; it has {', '.join(service.classes) or 'none'}")


def _check_routes(settings: Settings) -> Iterator[tuple[str, str]]:
    sound = True
    for place, service in enumerate(settings.service):
        for number, route in enumerate(service.routes):
            at = f"service.{place}.routes.{number}"
            for key, read in (("host", read_host_pattern), ("path", read_path_prefix)):
                try:
                    read(getattr(route, key))
                except BadPattern as problem:
                    sound = False
                    yield f"{at}.{key}", str(problem)
    if not sound:
        return
    for earlier, later in same_right(settings.routes()):
        yield (later.place, f"{later.text()} to {later.service} has the same right as {earlier.place}, "
                            f"{earlier.text()} to {earlier.service}; one of the two must say more")
    try:
        up = read_path_prefix(settings.up)
    except BadPattern as problem:
        yield "up", str(problem)
        return
    for named in settings.routes():
        if named.path == up and up:
            yield named.place, f"its path is that of up ({settings.up}), which no service can have"
