"""One configuration as it is sent: read whole, checked whole, every fault with its place. No I/O."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from cometdoor.host.checked import Content, convert, named
from cometdoor.host.schema import BadSettings, Problem

ROUTE_TYPES = ("idempotent", "non_idempotent", "keyed", "download")
WHERE = "configuration"
PATH = re.compile(r"/[!-~]*")


@dataclass(frozen=True)
class Part(Content):
    """Of a route's requests that go to one service."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route(Content):
    name: str
    path_prefix: str = named("path-prefix")
    route_type: str = named("route-type")
    timeout_s: float = named("timeout-s")
    target_latency_s: float = named("target-latency-s", default=1.0)
    priority: int = 1
    max_attempts: int = named("max-attempts", default=2)
    service: str | None = None
    traffic_split: list[Part] | None = named("traffic-split", default=None)

    def parts(self) -> list[Part]:
        if self.traffic_split is not None:
            return self.traffic_split
        return [Part(self.service or "", 1.0)]


@dataclass(frozen=True)
class HostRoutes(Content):
    hostname: str
    host_routes: list[Route] = named("host-routes", default_factory=list)


@dataclass(frozen=True)
class Service(Content):
    name: str
    health_path: str = named("health-path", default="/health")
    max_connections: int = named("max-connections", default=100)
    deduplicates: bool = False


@dataclass(frozen=True)
class Limits(Content):
    max_header_bytes: int = named("max-header-bytes", default=16384)
    max_body_bytes: int = named("max-body-bytes", default=67108864)
    header_timeout_s: float = named("header-timeout-s", default=3.0)
    idle_timeout_s: float = named("idle-timeout-s", default=15.0)


@dataclass(frozen=True)
class Document(Content):
    revision: int
    services: list[Service] = field(default_factory=list)
    limits: Limits = field(default_factory=Limits)
    hosts: list[HostRoutes] = field(default_factory=list)


def _pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Guards against a name that stands twice: which of the two was meant can't be known."""
    table = dict(pairs)
    if len(table) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"{twice!r} stands twice in one table")
    return table


def parse(body: bytes) -> Document:
    """Raises BadSettings with all that makes the configuration invalid."""
    try:
        content = json.loads(body.decode(), object_pairs_hook=_pairs)
    except (ValueError, RecursionError) as problem:
        raise BadSettings([Problem(WHERE, "", f"it can't be read whole: {problem}")]) from problem
    return convert(content, Document, WHERE, _check)


def _check(document: Document) -> Iterator[tuple[str, str]]:
    if document.revision < 1:
        yield "revision", f"{document.revision} is not above 0"
    services: set[str] = set()
    for index, service in enumerate(document.services):
        if not service.name:
            yield f"services.{index}.name", "it is empty"
        elif service.name in services:
            yield f"services.{index}.name", f"{service.name} stands there already"
        services.add(service.name)
        # Both reach a backend by the door: the one as a line of a request, the other as what it may open.
        if not PATH.fullmatch(service.health_path):
            yield f"services.{index}.health-path", f"{service.health_path!r} is no path"
        if service.max_connections < 1:
            yield f"services.{index}.max-connections", f"{service.max_connections} is not at least 1"
    places: set[tuple[str, str]] = set()
    for at, host in enumerate(document.hosts):
        if not host.hostname.strip():
            yield f"hosts.{at}.hostname", "it is empty"
        for index, route in enumerate(host.host_routes):
            where = f"hosts.{at}.host-routes.{index}"
            yield from _check_route(route, where, services)
            place = host.hostname.lower(), route.path_prefix
            if place in places:
                yield f"{where}.path-prefix", f"{route.path_prefix} of {host.hostname} is another route's too"
            places.add(place)


def _check_route(route: Route, where: str, services: set[str]) -> Iterator[tuple[str, str]]:
    prefix = route.path_prefix
    if not prefix.startswith("/") or not prefix.endswith("/"):
        yield f"{where}.path-prefix", f"{prefix!r} does not start and end with a slash"
    if route.route_type not in ROUTE_TYPES:
        yield f"{where}.route-type", f"one of {', '.join(ROUTE_TYPES)} is needed, not {route.route_type!r}"
    if route.timeout_s <= 0:
        yield f"{where}.timeout-s", f"{route.timeout_s} is not above 0"
    if route.max_attempts < 1:
        yield f"{where}.max-attempts", f"{route.max_attempts} is not at least 1"
    if route.service is None and route.traffic_split is None:
        yield f"{where}.service", "missing, and there is no traffic-split either"
    for part in route.parts():
        if part.service not in services:
            yield f"{where}.service", f"{part.service!r} is no service of this configuration"
        if part.weight < 0:
            yield f"{where}.traffic-split", f"the weight {part.weight} is below 0"
    if sum(part.weight for part in route.parts()) <= 0:
        yield f"{where}.traffic-split", "the weights sum to 0"
