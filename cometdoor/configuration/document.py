"""The configuration document: its schema and its validation, which reports the path of each problem. No I/O.

Keys are written with hyphens in the JSON document; unknown fields are ignored.
"""

from __future__ import annotations

import dataclasses
import json
import re
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from typing import Any

from cometdoor.host.dataclass_settings import CheckedModel, UnboundedInt, aliased, convert, key_of
from cometdoor.host.settings_validation import SettingsError, SettingsProblem

DOCUMENT_NAME = "configuration"  # reported in place of a file name
ROUTE_TYPES = ("idempotent", "non_idempotent", "keyed", "download")
MAX_TIMEOUT_S = 86_400.0  # no request is held for longer, whatever its route's timeout is
# A configuration replaces the one before as a whole: without a part, it would drop all routes or limits.
PARTS = ("revision", "services", "limits", "hosts")
PATH_PATTERN = re.compile(r"/[!-~]*")
# Not in the path of a request: clients send these characters percent-encoded (RFC 3986, 3.3; RFC 3987, 3.1).
NOT_IN_PATHS = re.compile(r"[^!-~]|[?#]")


def _percent_encode(match: re.Match[str]) -> str:
    return "".join(f"%{byte:02X}" for byte in match[0].encode())


@dataclass(frozen=True)
class WeightedService(CheckedModel):
    """A service that receives a share of a route's requests."""

    service: str
    weight: float  # relative to the sum over the route


@dataclass(frozen=True)
class Route(CheckedModel):
    """How requests of one host below one path prefix are forwarded."""

    name: str
    path_prefix: str = aliased("path-prefix")
    route_type: str = aliased("route-type")  # one of ROUTE_TYPES
    timeout_s: float = aliased("timeout-s")
    target_latency_s: float = aliased("target-latency-s", default=1.0)
    priority: int = 1
    max_attempts: int = aliased("max-attempts", default=2)
    service: str | None = None
    traffic_split: list[WeightedService] | None = aliased("traffic-split", default=None)

    @property
    def request_prefix(self) -> str:
        """The path prefix as requests have it."""
        return NOT_IN_PATHS.sub(_percent_encode, self.path_prefix)

    @property
    def timeout_ms(self) -> float:
        """How long a request is held at the most; always above 0 and finite."""
        return min(self.timeout_s, MAX_TIMEOUT_S) * 1000.0

    @property
    def latency_target_ms(self) -> float:
        """Time within which a response is wanted; always above 0 and not above the timeout.

        With a target of 0 no response is in time: each has the same value until the timeout.
        """
        if self.target_latency_s <= 0.0:
            return self.timeout_ms
        return min(self.target_latency_s * 1000.0, self.timeout_ms)

    def weighted_services(self) -> list[WeightedService]:
        """Return the services of the split, or the only one."""
        if self.traffic_split is not None:
            return self.traffic_split
        return [WeightedService(self.service or "", 1.0)]


@dataclass(frozen=True)
class HostRoutes(CheckedModel):
    """Routes of one host name."""

    hostname: str
    host_routes: list[Route] = aliased("host-routes", default_factory=list)


@dataclass(frozen=True)
class Service(CheckedModel):
    """A service whose instances register under its name."""

    name: str
    health_path: str = aliased("health-path", default="/health")
    max_connections: int = aliased("max-connections", default=100)  # per backend
    deduplicates: bool = False  # the service recognises repeated requests itself


@dataclass(frozen=True)
class Limits(CheckedModel):
    """Limits on clients' requests and connections."""

    max_header_bytes: int = aliased("max-header-bytes", default=16384)
    max_body_bytes: int = aliased("max-body-bytes", default=67108864)
    header_timeout_s: float = aliased("header-timeout-s", default=3.0)
    idle_timeout_s: float = aliased("idle-timeout-s", default=15.0)


@dataclass(frozen=True)
class Document(CheckedModel):
    """A configuration of the mesh."""

    revision: UnboundedInt  # starts at 1 and increases with each change
    services: list[Service] = field(default_factory=list)
    limits: Limits = field(default_factory=Limits)
    hosts: list[HostRoutes] = field(default_factory=list)


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build a JSON object; reject a repeated key, since the intended value is ambiguous."""
    json_object = dict(pairs)
    if len(json_object) < len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"{duplicate!r} appears twice in one table")
    return json_object


def parse(body: bytes) -> Document:
    """Decode and check a document that may be in force already.

    Values that an earlier version accepted, and `parse_proposed` does not, are no problems here: a proxy that
    refused the configuration in force would not serve at all.

    Raises
    ------
    SettingsError
        With all problems of the document, each with its path.
    """
    return _convert(body, _check)


def parse_proposed(body: bytes) -> Document:
    """Decode and check a document that an operator proposes; it has all `PARTS`.

    Raises
    ------
    SettingsError
        With all problems of the document, each with its path.
    """
    return _convert(body, _check_proposed, PARTS)


def _convert(
    body: bytes,
    find_problems: Callable[[Document], Iterator[tuple[str, str]]],
    required_keys: Collection[str] = (),
) -> Document:
    try:
        content = json.loads(body.decode(), object_pairs_hook=_reject_duplicates)
    except (ValueError, RecursionError) as error:
        raise SettingsError(
            [SettingsProblem(DOCUMENT_NAME, "", f"it can't be read whole: {error}")]
        ) from error
    if isinstance(content, dict):
        missing_keys = [key for key in required_keys if key not in content]
        if missing_keys:
            raise SettingsError(
                [
                    SettingsProblem(DOCUMENT_NAME, key, "missing; a configuration is whole")
                    for key in missing_keys
                ]
            )
    return convert(content, Document, DOCUMENT_NAME, find_problems)


def _check_proposed(document: Document) -> Iterator[tuple[str, str]]:
    yield from _check(document)
    for limit in dataclasses.fields(document.limits):
        value = getattr(document.limits, limit.name)
        if value < 0:
            yield f"limits.{key_of(limit)}", f"{value} is below 0"
    seen_prefixes: dict[tuple[str, str], str] = {}
    for host_index, host in enumerate(document.hosts):
        for index, route in enumerate(host.host_routes):
            path = f"hosts.{host_index}.host-routes.{index}"
            if route.target_latency_s < 0:
                yield f"{path}.target-latency-s", f"{route.target_latency_s} is below 0"
            same_prefix = seen_prefixes.setdefault(
                (host.hostname.lower(), route.request_prefix), route.path_prefix
            )
            if same_prefix != route.path_prefix:
                yield f"{path}.path-prefix", f"{route.path_prefix!r} is {same_prefix!r} in requests"


def _check(document: Document) -> Iterator[tuple[str, str]]:
    if document.revision < 1:
        yield "revision", f"{document.revision} is not above 0"
    services: set[str] = set()
    for index, service in enumerate(document.services):
        if not service.name:
            yield f"services.{index}.name", "it is empty"
        elif service.name in services:
            yield f"services.{index}.name", f"{service.name} is another service's too"
        services.add(service.name)
        # The inbound proxy uses both values without further checks: in the request line of health checks, and
        # as the size of a connection pool.
        if not PATH_PATTERN.fullmatch(service.health_path):
            yield f"services.{index}.health-path", f"{service.health_path!r} is no path"
        if service.max_connections < 1:
            yield f"services.{index}.max-connections", f"{service.max_connections} is not at least 1"
    seen_prefixes: set[tuple[str, str]] = set()
    for host_index, host in enumerate(document.hosts):
        if not host.hostname.strip():
            yield f"hosts.{host_index}.hostname", "it is empty"
        for index, route in enumerate(host.host_routes):
            path = f"hosts.{host_index}.host-routes.{index}"
            yield from _check_route(route, path, services)
            prefix_key = host.hostname.lower(), route.path_prefix
            if prefix_key in seen_prefixes:
                yield f"{path}.path-prefix", f"{route.path_prefix} of {host.hostname} is another route's too"
            seen_prefixes.add(prefix_key)


def _check_route(route: Route, path: str, services: set[str]) -> Iterator[tuple[str, str]]:
    prefix = route.path_prefix
    if not prefix.startswith("/") or not prefix.endswith("/"):
        yield f"{path}.path-prefix", f"{prefix!r} does not start and end with a slash"
    if route.route_type not in ROUTE_TYPES:
        yield f"{path}.route-type", f"one of {', '.join(ROUTE_TYPES)} is needed, not {route.route_type!r}"
    if route.timeout_s <= 0:
        yield f"{path}.timeout-s", f"{route.timeout_s} is not above 0"
    if route.max_attempts < 1:
        yield f"{path}.max-attempts", f"{route.max_attempts} is not at least 1"
    if route.service is None and route.traffic_split is None:
        yield f"{path}.service", "missing, and there is no traffic-split either"
    for weighted_service in route.weighted_services():
        if weighted_service.service not in services:
            yield f"{path}.service", f"{weighted_service.service!r} is no service of this configuration"
        if weighted_service.weight < 0:
            yield f"{path}.traffic-split", f"the weight {weighted_service.weight} is below 0"
    if sum(weighted_service.weight for weighted_service in route.weighted_services()) <= 0:
        yield f"{path}.traffic-split", "the weights sum to 0"
