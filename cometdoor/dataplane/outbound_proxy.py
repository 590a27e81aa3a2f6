"""Outbound proxy: routes requests of local callers to services."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Mapping, Sequence

import structlog

from cometdoor.budget.lease_client import BudgetShares
from cometdoor.configuration.document import Route
from cometdoor.configuration.routes import Routes, choose_service
from cometdoor.dataplane.backend_endpoints import BackendEndpoint
from cometdoor.dataplane.client_exchange import BackendReply
from cometdoor.dataplane.keyed_requests import KeyedRequests
from cometdoor.dataplane.outbound_request import OutboundRequest
from cometdoor.dataplane.service_client import ServiceClient
from cometdoor.host.interfaces import ResponseListener
from cometdoor.host.memory_account import MemoryAccount
from cometdoor.host.node_settings import NodeSettings
from cometdoor.http.client_connection import ClientConnection
from cometdoor.http.messages import ClientRequest
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.keys import OperationReply, OperationRequest

NO_CONFIGURATION_RETRY_AFTER_S = 0.3  # the first configuration arrives within one second of the start
PAUSE_RETRY_AFTER_S = 0.1  # a request that is sent again after a pause arrives at once
log = structlog.get_logger()


class OutboundProxy:
    """Request handler of the frontend for local callers.

    It owns the service clients, the keyed requests and this proxy's shares of the retry budgets.

    Parameters
    ----------
    internal_address
        Address at which other proxies reach this process, "ip:port".
    replica_addresses
        Returns the internal addresses of the control plane's replicas, the probable leader first.
    incarnation
        Random id of this process.
    proxy_count
        Returns the number of known data planes.
    retry_share
        Returns the share of executions in flight at the local backend that may repeat an earlier execution.
    memory
        Account of the bytes that the process holds for bodies.
    """

    def __init__(
        self,
        node_settings: NodeSettings,
        loop: asyncio.AbstractEventLoop,
        connections: PeerConnections,
        *,
        internal_address: str,
        replica_addresses: Callable[[], list[str]],
        incarnation: str,
        proxy_count: Callable[[], int],
        retry_share: Callable[[], float],
        memory: MemoryAccount,
    ) -> None:
        self.routes: Routes | None = None
        self._node_settings = node_settings
        self._loop = loop
        self._connections = connections
        self._rng = random.Random(secrets.randbits(64))
        self._service_clients: dict[str, ServiceClient] = {}
        self._retry_share = retry_share
        self._backend_endpoints: Mapping[str, Sequence[BackendEndpoint]] = {}
        self._outbound_requests: dict[ClientConnection, OutboundRequest] = {}
        self.keyed_requests = KeyedRequests(
            loop,
            connections,
            internal_address=internal_address,
            incarnation=incarnation,
            window_s=node_settings.bound_value("idempotency-window-s", 60.0),
            replica_addresses=replica_addresses,
            start_execution=self._start_keyed_execution,
            memory=memory,
        )
        self.budget_shares = BudgetShares(
            loop,
            connections,
            incarnation,
            replica_addresses=replica_addresses,
            proxy_count=proxy_count,
            on_floor_changed=lambda service, floor: self._service_client(service).on_budget_changed(floor),
            ratio=node_settings.bound_value("retry-budget-ratio", 0.2),
            slack=node_settings.bound_value("retry-slack", 10.0),
            window_s=node_settings.bound_value("retry-window-s", 10.0),
        )

    @property
    def is_ready(self) -> bool:
        """True once a configuration is in force."""
        return self.routes is not None

    def open_requests(self) -> int:
        """Return the number of requests open at service clients, without keyed ones that wait for a claim."""
        return sum(service_client.open_requests() for service_client in self._service_clients.values())

    def report(self) -> None:
        """Log the requests, retry budgets and keyed requests since the last report."""
        for service, service_client in self._service_clients.items():
            if counts := service_client.report():
                log.info("outbound requests", service=service, **counts)
        if floors := self.budget_shares.report():
            log.info("retry budgets", **floors)
        if counts_of_keys := self.keyed_requests.operations.report():
            log.info("keyed requests", **counts_of_keys)

    def fail_all(self) -> None:
        """Fail every open request of the service clients, as the process is about to exit."""
        for service_client in self._service_clients.values():
            service_client.fail_all()

    def update_endpoints(self, backend_endpoints: Mapping[str, Sequence[BackendEndpoint]]) -> None:
        """Replace the endpoints of all services, given by service."""
        self._backend_endpoints = backend_endpoints
        for service, service_client in self._service_clients.items():
            service_client.update_endpoints(backend_endpoints.get(service, []))

    def _service_client(self, service: str) -> ServiceClient:
        service_client = self._service_clients.get(service)
        if service_client is None:
            service_client = self._service_clients[service] = ServiceClient(
                service,
                self._loop,
                self._connections,
                self.budget_shares.for_service(service),
                caller_service=self._node_settings.service,
                budget_ratio=self._node_settings.bound_value("retry-budget-ratio", 0.2),
                window_s=self._node_settings.bound_value("retry-window-s", 10.0),
                seed=self._rng.getrandbits(32),
                zone=self._node_settings.zone_index(self._node_settings.zone),
                zone_count=len(self._node_settings.zones),
            )
            service_client.update_endpoints(self._backend_endpoints.get(service, []))
        return service_client

    def _start_keyed_execution(
        self, listener: ResponseListener[BackendReply], request: ClientRequest, route: Route
    ) -> None:
        self._service_client(choose_service(route, self._rng)).accept(listener, request, route)

    # --- called by the frontend ---

    def accept(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Route a client's request, and pass it to a service client or to the keyed requests."""
        if self.routes is None:
            connection.respond(503, [(b"Retry-After", b"%.3f" % NO_CONFIGURATION_RETRY_AFTER_S)], b"")
            return
        host, key = request.route
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        route = self.routes.find(host, path)
        if route is None:
            connection.respond(404, [], b"no route")
            return
        request.route = route
        if request.remaining_ms <= 0:
            request.remaining_ms = route.timeout_ms
        request.remaining_ms = min(request.remaining_ms, route.timeout_ms)
        if request.unread_s and (
            route.route_type == "keyed" or request.unread_s * 1000.0 >= request.remaining_ms
        ):
            # Its deadline may have passed; or the claim of its key's first execution may have expired since
            # it was sent, though the key's window had not ended then.
            log.warning(
                "request may be old after a pause", step="accept", unread_s=round(request.unread_s, 2)
            )
            connection.respond(503, [(b"Retry-After", b"%.3f" % PAUSE_RETRY_AFTER_S)], b"")
            return
        if route.route_type == "keyed" and key:
            self.keyed_requests.accept(self._new_outbound_request(connection, request, key))
            return
        outbound_request = self._new_outbound_request(connection, request)
        outbound_request.service_client = self._service_client(service := choose_service(route, self._rng))
        if retry_share := self._retry_share():
            # The local backend does not report which of its executions makes the call, so the call is
            # weighted by the share of executions that are retries.
            self.budget_shares.for_service(service).record_repeated_call(retry_share, self._loop.time())
        outbound_request.exchange = outbound_request.service_client.accept(outbound_request, request, route)

    def _new_outbound_request(
        self, connection: ClientConnection, request: ClientRequest, key: str = ""
    ) -> OutboundRequest:
        """Create a request, registered until it is answered or its client disconnects."""
        outbound_request = self._outbound_requests[connection] = OutboundRequest(
            connection, request, key, self._outbound_requests.pop
        )
        return outbound_request

    def on_client_disconnected(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Cancel the client's request; what a backend executes goes on unless it is idempotent.

        The inbound proxy knows which it is: what waits for a slot there is dropped, whatever its kind.
        """
        outbound_request = self._outbound_requests.pop(connection, None)
        if outbound_request is None or outbound_request.request is not request:
            return
        outbound_request.connection = None
        if outbound_request.key:
            self.keyed_requests.on_client_disconnected(outbound_request)
        elif outbound_request.service_client is not None and outbound_request.exchange is not None:
            outbound_request.service_client.on_client_disconnected(outbound_request.exchange)
        outbound_request.exchange = None  # breaks a reference cycle

    # --- called by other proxies ---

    def on_operation_request(
        self, message: OperationRequest, respond: Callable[[OperationReply], None]
    ) -> None:
        """Answer another proxy's query for the outcome of a keyed operation."""
        self.keyed_requests.on_operation_request(message, respond)
