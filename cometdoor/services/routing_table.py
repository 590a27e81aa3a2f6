"""Routing table: finds the service of a request by host, path and class. No I/O.

The most specific match wins, step by step: first the exact host, else the longest wildcard, else routes
without a host; then the longest path prefix of that host, by segments; then the class at that path. Each step
is final: a request that matches no route at a step is rejected, and never falls back to a less specific one.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cometdoor.services.request_targets import (
    PLAIN_PATH,
    RoutingError,
    Segments,
    lenient_path_segments,
    parse_host,
    path_segments,
)

MAX_CACHED_HOSTS = 1024  # bounds the cache, since clients can send any spelling of the Host field


class RouteKey(NamedTuple):
    """Criteria by which a route matches requests; no two routes may have the same key."""

    host: str
    path: Segments
    cls: str | None


@dataclass(frozen=True, slots=True)
class Route:
    """A route of the operators' file."""

    service: str
    host: str  # in normal form: a name, *.name, or empty for any host
    path: Segments  # path prefix in normal form
    cls: str | None
    config_path: str = ""  # location of the route in the operators' file

    def match_key(self) -> RouteKey:
        """Return the key that two ambiguous routes have in common."""
        return RouteKey(self.host, self.path, self.cls)

    def describe(self) -> str:
        """Return the route's host, path and class as text for messages to operators."""
        path = "/" + b"/".join(self.path).decode("latin-1")
        return f"{self.host or 'any host'} {path}" + (f" class {self.cls}" if self.cls else "")


@dataclass(slots=True)
class RouteMatch:
    """Service and class that a request was routed to."""

    service: str
    cls: str | None  # None if neither the request nor the route names a class


@dataclass(slots=True)
class _PathRoutes:
    by_class: dict[str, Route] = field(default_factory=dict)
    default: Route | None = None  # for classes without a route of their own, and requests without a class


class _HostRoutes:
    def __init__(self) -> None:
        self.by_path: dict[Segments, _PathRoutes] = {}
        self.depth = 0

    def find(self, path: Segments) -> _PathRoutes | None:
        for length in range(min(len(path), self.depth), -1, -1):
            if routes := self.by_path.get(path[:length]):
                return routes
        return None


class RoutingTable:
    """All routes of one configuration.

    Parameters
    ----------
    routes
        Routes with distinct keys (`RouteKey`); `find_ambiguous_routes` finds duplicates.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._hosts: dict[str, _HostRoutes] = {}
        self._host_cache: dict[bytes, _HostRoutes] = {}  # by unparsed Host field
        for route in routes:
            host = self._hosts.setdefault(route.host, _HostRoutes())
            path_routes = host.by_path.setdefault(route.path, _PathRoutes())
            host.depth = max(host.depth, len(route.path))
            if route.cls is None:
                path_routes.default = route
            else:
                path_routes.by_class[route.cls] = route

    def find(self, host: bytes, path: bytes, requested_class: str | None) -> RouteMatch:
        """Find the service of a request.

        Parameters
        ----------
        host
            The unparsed Host field, or the authority of the target.
        path
            Path of the target, without the query.
        requested_class
            The class that the request names, or None.

        Raises
        ------
        RoutingError
            No route matches. The status is 404, or 400 if the request is malformed, its path is ambiguous or
            its class is missing.
        """
        host_routes = self._host_cache.get(host)
        if host_routes is None:
            host_routes = self._find_host_routes(parse_host(host))
            if host_routes is None:
                raise RoutingError(404, "no route names this host")
            if len(self._host_cache) >= MAX_CACHED_HOSTS:
                self._host_cache.clear()
            self._host_cache[host] = host_routes
        path_routes = self._find_path_routes(host_routes, path)
        if path_routes is None:
            raise RoutingError(404, "no route names this path")
        if requested_class is not None:
            route = path_routes.by_class.get(requested_class) or path_routes.default
            if route is None:
                raise RoutingError(404, "no route names this class here")
            return RouteMatch(route.service, requested_class)
        if path_routes.default is not None:
            return RouteMatch(path_routes.default.service, None)
        if len(path_routes.by_class) > 1:
            raise RoutingError(400, "X-Qos is missing: several classes have this path")
        (route,) = path_routes.by_class.values()
        return RouteMatch(route.service, route.cls)

    @staticmethod
    def _find_path_routes(host_routes: _HostRoutes, path: bytes) -> _PathRoutes | None:
        if PLAIN_PATH.fullmatch(path):
            return host_routes.find(tuple(path.rstrip(b"/").split(b"/")[1:]))
        path_routes = host_routes.find(path_segments(path))
        # A server may parse the path more leniently than the proxy. If that reading belongs to another route,
        # the request could reach another service or class than the one it was routed to, so it is rejected.
        if path_routes is not host_routes.find(lenient_path_segments(path)):
            raise RoutingError(400, "the path can be read in two ways")
        return path_routes

    def _find_host_routes(self, host: str) -> _HostRoutes | None:
        if routes := self._hosts.get(host):
            return routes
        if not host.startswith("["):
            parent_domain = host
            while "." in parent_domain:
                parent_domain = parent_domain.partition(".")[2]
                if routes := self._hosts.get(f"*.{parent_domain}"):
                    return routes
        return self._hosts.get("")


def find_ambiguous_routes(routes: Iterable[Route]) -> Iterator[tuple[Route, Route]]:
    """Yield pairs of routes with the same key, which match the same requests with equal precedence."""
    seen: dict[RouteKey, Route] = {}
    for route in routes:
        earlier = seen.setdefault(route.match_key(), route)
        if earlier is not route:
            yield earlier, route
