"""Routes requests of the proxy for services: sets their service, class, remaining time and trace id."""

from __future__ import annotations

import itertools
import os
from collections.abc import Mapping
from typing import Generic, Protocol, TypeVar

from cometdoor.balancing import api
from cometdoor.balancing.api import Effect
from cometdoor.http.messages import BadRequestError, ClientRequest, parse_decimal, validate_headers
from cometdoor.http.request_target import AbsoluteTarget, set_origin_form
from cometdoor.services.request_targets import RoutingError, parse_host, split_target
from cometdoor.services.routing_table import RoutingTable

WRITE_METHODS = frozenset({b"POST", b"PUT", b"PATCH", b"DELETE"})


class RoutedService(Protocol):
    """The attributes of a service that the request reader uses."""

    @property
    def classes(self) -> Mapping[bytes, int]:
        """Indexes in `class_settings` by class name."""

    @property
    def class_settings(self) -> tuple[api.RequestClass, ...]:
        """The classes, in the file's order."""


ServiceT = TypeVar("ServiceT", bound=RoutedService)


class ServicesRequestReader(Generic[ServiceT]):
    """Routes requests by the current configuration, and checks them against their service's requirements.

    Parameters
    ----------
    routes, services
        The routes, and the services that they name.
    health_path
        The path at which the proxy itself answers health checks.
    """

    def __init__(self, routes: RoutingTable, services: Mapping[str, ServiceT], health_path: bytes) -> None:
        self.update(routes, services, health_path)
        # Random, since servers may remember trace ids: a restarted proxy must not reuse ids of earlier runs.
        self._trace_prefix = os.urandom(5).hex().encode()
        self._trace_numbers = itertools.count()

    def update(self, routes: RoutingTable, services: Mapping[str, ServiceT], health_path: bytes) -> None:
        """Switch to another configuration; routes and services change together."""
        self._routes, self._services, self._health_path = routes, services, health_path

    def read(self, request: ClientRequest) -> None:
        """Set the request's service, class, remaining time and trace id.

        Raises
        ------
        BadRequestError
            The request is malformed, or no service serves it.
        """
        headers = validate_headers(request)
        try:
            self._route(request, headers)
        except RoutingError as problem:
            raise BadRequestError(problem.status, str(problem)) from None

    def _route(self, request: ClientRequest, headers: dict[bytes, bytes]) -> None:
        if b"host" not in headers:
            raise RoutingError(400, "Host is missing")
        host = headers[b"host"]
        authority, target = split_target(request.target)
        path = target.partition(b"?")[0]
        if request.method == b"GET" and path == self._health_path:
            parse_host(host)
            request.is_health_check = True
            return
        if authority is not None:
            # RFC 9112, 3.2.2: the target's authority takes precedence over Host, and is forwarded as Host.
            parse_host(host)
            host = authority
            set_origin_form(request, AbsoluteTarget(authority, target))
        header_value = headers.get(b"x-qos")
        match = self._routes.find(host, path, header_value.decode("latin-1") if header_value else None)
        service = self._services[match.service]
        self._read_class(request, headers, service, match.cls)
        request.service = service

    def _read_class(
        self, request: ClientRequest, headers: dict[bytes, bytes], service: ServiceT, name: str | None
    ) -> None:
        if name is None and len(service.classes) > 1:
            raise BadRequestError(400, "X-Qos is missing: the service has several classes")
        index = 0 if name is None else service.classes.get(name.encode("latin-1"))
        if index is None:
            raise BadRequestError(404, "unknown class")
        request.class_index = index
        cls = service.class_settings[index]
        if request.method not in ((b"GET",) if cls.effect is Effect.SAFE else WRITE_METHODS):
            raise BadRequestError(405, "the class has other methods")
        if cls.effect is Effect.KEYED and not headers.get(b"idempotency-key"):
            raise BadRequestError(400, "Idempotency-Key is missing")
        header_value = headers.get(b"x-expires-in")
        try:
            remaining_ms = cls.deadline_ms if header_value is None else parse_decimal(header_value) * 1000.0
        except ValueError:
            raise BadRequestError(400, "X-Expires-In is no number") from None
        if remaining_ms <= 0:
            raise BadRequestError(400, "X-Expires-In is not above 0")
        request.remaining_ms = min(remaining_ms, cls.deadline_ms)
        request.is_retry = headers.get(b"x-second-try") == b"1"
        request.trace = headers.get(b"x-trace-id", b"")
        if not request.trace:
            request.trace = b"%s%06x" % (self._trace_prefix, next(self._trace_numbers))
            request.headers.append((b"X-Trace-Id", request.trace))
