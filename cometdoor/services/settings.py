"""The operators' file of services: its schema, and checks across several values.

If an attribute's key in the file differs from the attribute's name, it is given as the field's `name`.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from cometdoor.host.address import Address, parse_address
from cometdoor.host.fair_share import DescriptorQuota, client_connection_limit
from cometdoor.host.settings_validation import parse_toml, read_bytes
from cometdoor.host.struct_settings import Name, Positive, SlowStartEntry, convert, find_address_problems
from cometdoor.services.request_targets import InvalidPatternError, parse_host_pattern, parse_path_prefix
from cometdoor.services.routing_table import Route, find_ambiguous_routes

NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]


class ListenerEntry(Struct, frozen=True, kw_only=True):
    """An address that the proxy listens on."""

    address: str  # HOST:PORT


class ServerEntry(Struct, frozen=True, kw_only=True):
    """A server of a service."""

    name: Name
    address: str  # HOST:PORT
    weight: Positive = 1.0  # share of the traffic, relative to the service's other servers
    zone: str = ""
    cell: int = 0  # servers of one cell share idempotency keys, where a class has `key_scope = "cell"`
    kind: str = ""
    is_draining: bool = field(default=False, name="drain")  # gets no new requests


class ClassEntry(Struct, frozen=True, kw_only=True):
    """A class of requests."""

    effect: Literal["safe", "keyed", "unsafe"]
    latency_target_ms: Positive = field(name="aim_ms")
    deadline_ms: Positive
    # relative value of a response within the latency target
    value: NotNegative = field(default=1.0, name="worth")
    late_value: Share = field(default=0.0, name="late_worth")  # share of that value that a later response has
    key_scope: Literal["all", "zone", "cell"] = "all"  # servers among which a key is executed only once
    key_ttl_ms: NotNegative = 0.0  # how long servers remember a key


class RouteEntry(Struct, frozen=True, kw_only=True):
    """A route: requests that match it belong to the service."""

    host: str = ""  # a name, *.name, or empty: any host that no other route names
    path: str = "/"
    cls: str | None = field(default=None, name="class")


class LimitsEntry(Struct, frozen=True, kw_only=True):
    """Limits of a service; what has no limit is bounded only by the process's descriptors."""

    # requests without a response
    max_open_requests: Count | None = field(default=None, name="open")
    # requests that wait to be sent for the first time
    max_waiting_requests: Annotated[int, Meta(ge=0)] | None = field(default=None, name="waiting")
    # connections to the service's servers
    max_connections: Count | None = field(default=None, name="connections")
    # bytes of requests and responses in memory
    max_held_bytes: Annotated[int, Meta(ge=65536)] | None = field(default=None, name="held_bytes")
    # reserved for connections to servers, and as many for connections from clients
    guaranteed_sockets: Annotated[int, Meta(ge=1)] | None = None
    max_attempts: Annotated[int, Meta(ge=1, le=16)] = field(default=4, name="attempts")  # per request
    connect_timeout_ms: Positive = 250.0
    idle_close_ms: Positive = 15_000.0  # shortest time that servers keep an idle connection


class ServiceEntry(Struct, frozen=True, kw_only=True):
    """A service. Either `servers` or `discovery` is given."""

    name: Name
    classes: dict[str, ClassEntry]
    routes: list[RouteEntry]
    servers: list[ServerEntry] | None = None
    discovery: str | None = None  # HOST:PORT of a server of the platform's discovery protocol
    limits: LimitsEntry = field(default_factory=LimitsEntry)
    slow_start: SlowStartEntry | None = field(default=None, name="cold")
    zone: str = ""  # zone in which this proxy runs
    retry_after: bool = True  # a rejection may carry Retry-After
    answers: Literal["any", "platform"] = "any"  # platform: a response other than 200 counts as failed


class FleetEntry(Struct, frozen=True, kw_only=True):
    """The proxies that share this file."""

    proxies: Count = 1
    # position of this proxy among them, from 0
    index: Annotated[int, Meta(ge=0)] = field(default=0, name="place")


class Settings(Struct, frozen=True, kw_only=True):
    """The operators' file of services."""

    listener: list[ListenerEntry]
    service: list[ServiceEntry]
    sockets: Annotated[int, Meta(ge=64)] = 1024  # descriptors that the process may have open
    # path of health checks, answered with 200 as soon as the proxy serves; no route can have it
    health_path: str = field(default="/up", name="up")
    fleet: FleetEntry = field(default_factory=FleetEntry)

    def listen(self) -> list[Address]:
        """Return the addresses to listen on."""
        return [parse_address(listener.address, min_port=0) for listener in self.listener]

    def routes(self) -> list[Route]:
        """Return the routes of all services in normal form; raise InvalidPatternError for an invalid one."""
        return [
            Route(
                service.name,
                parse_host_pattern(route.host),
                parse_path_prefix(route.path),
                route.cls,
                f"service.{index}.routes.{number}",
            )
            for index, service in enumerate(self.service)
            for number, route in enumerate(service.routes)
        ]


def load_settings(path: Path) -> Settings:
    """Read and check a file; raise SettingsError with all its problems."""
    return read_settings(read_bytes(path), str(path))


def read_settings(raw: bytes, file: str) -> Settings:
    """Check a file's content; raise SettingsError with all its problems, under the name `file`."""
    return convert(parse_toml(raw, file), Settings, file, find_problems)


# --- checks across values ---


def find_problems(settings: Settings) -> Iterator[tuple[str, str]]:
    """Yield the path and text of each problem that the schema can't find."""
    addresses = [listener.address for listener in settings.listener]
    if not addresses:
        yield "listener", "at least one is needed"
    for index, address in enumerate(addresses):
        yield from find_address_problems(f"listener.{index}.address", address, min_port=0)
        if address in addresses[:index]:
            yield f"listener.{index}.address", f"{address} is listed twice"
    if not settings.health_path.startswith("/"):
        yield "up", "a path that begins with / is needed"
    if settings.fleet.index >= settings.fleet.proxies:
        yield "fleet.place", f"must be below fleet.proxies ({settings.fleet.proxies})"
    if not settings.service:
        yield "service", "at least one is needed"
    names: dict[str, int] = {}
    for index, service in enumerate(settings.service):
        if service.name in names:
            yield (
                f"service.{index}.name",
                f"{service.name} is the name of service.{names[service.name]} too; names are unique",
            )
        names.setdefault(service.name, index)
        yield from _check_service(service, f"service.{index}")
    yield from _check_routes(settings)
    guaranteed = sum(service.limits.guaranteed_sockets or 0 for service in settings.service)
    available = server_connection_capacity(settings.sockets)
    if guaranteed > available:
        yield (
            "sockets",
            f"{settings.sockets} leave {available} for connections to servers; "
            f"the services' guaranteed_sockets sum up to {guaranteed}",
        )


def server_connection_capacity(sockets: int) -> int:
    """Return how many of the process's descriptors are left for connections to servers."""
    limit = DescriptorQuota(sockets).limit
    return limit - client_connection_limit(limit)


def _check_service(service: ServiceEntry, location: str) -> Iterator[tuple[str, str]]:
    if not service.classes:
        yield f"{location}.classes", "at least one class is needed"
    for name, entry in service.classes.items():
        path = f"{location}.classes.{name}"
        if not name.isascii() or not name or any(c.isspace() or not c.isprintable() for c in name):
            yield path, "a class's name is printable ASCII without blanks"
        if entry.latency_target_ms > entry.deadline_ms:
            yield f"{path}.aim_ms", f"must not be above deadline_ms ({entry.deadline_ms:g})"
        if entry.effect == "keyed" and not entry.key_ttl_ms:
            yield f"{path}.key_ttl_ms", "missing; a keyed class needs to say how long servers remember keys"
        if entry.effect != "keyed" and entry.key_ttl_ms:
            yield f"{path}.key_ttl_ms", f"only a keyed class has it; this one is {entry.effect}"
    if (service.servers is None) == (service.discovery is None):
        yield location, "either servers or discovery is needed, and not both"
    if service.discovery is not None:
        yield from find_address_problems(f"{location}.discovery", service.discovery)
    seen: dict[str, int] = {}
    for index, server in enumerate(service.servers or ()):
        yield from find_address_problems(f"{location}.servers.{index}.address", server.address)
        for identity in (f"name {server.name}", f"address {server.address}"):
            if identity in seen:
                yield (
                    f"{location}.servers.{index}",
                    f"the {identity} is that of {location}.servers.{seen[identity]} too",
                )
            seen.setdefault(identity, index)
    if not service.routes:
        yield f"{location}.routes", "at least one is needed; without one no request can reach the service"
    for index, route in enumerate(service.routes):
        if route.cls is not None and route.cls not in service.classes:
            yield (
                f"{location}.routes.{index}.class",
                f"{route.cls} is not a class of this service; it has {', '.join(service.classes) or 'none'}",
            )


def _check_routes(settings: Settings) -> Iterator[tuple[str, str]]:
    are_patterns_valid = True
    for index, service in enumerate(settings.service):
        for number, route in enumerate(service.routes):
            location = f"service.{index}.routes.{number}"
            for key, read in (("host", parse_host_pattern), ("path", parse_path_prefix)):
                try:
                    read(getattr(route, key))
                except InvalidPatternError as problem:
                    are_patterns_valid = False
                    yield f"{location}.{key}", str(problem)
    if not are_patterns_valid:
        return
    for earlier, later in find_ambiguous_routes(settings.routes()):
        yield (
            later.config_path,
            f"{later.describe()} to {later.service} matches the same requests as {earlier.config_path}, "
            f"{earlier.describe()} to {earlier.service}; one of the two must be more specific",
        )
    try:
        health_path = parse_path_prefix(settings.health_path)
    except InvalidPatternError as problem:
        yield "up", str(problem)
        return
    for named_route in settings.routes():
        if named_route.path == health_path and health_path:
            yield (
                named_route.config_path,
                f"its path is the health path up ({settings.health_path}), which no service can have",
            )
