"""Client of one service: load balancing, retries and hedged requests to its backends.

It owns a host with an instance of the decision module and serves as that host's transport: it sends each
attempt over a peer connection to the inbound proxy of the backend.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

from cometdoor.balancing import api
from cometdoor.balancing.api import Outcome
from cometdoor.budget.lease import LOCAL_SHARE
from cometdoor.budget.share import BudgetShare
from cometdoor.configuration.document import Route
from cometdoor.dataplane.adaptive_throttling import MIN_GROUP_SIZE, AdaptiveThrottle
from cometdoor.dataplane.attempt_replies import classify_reply
from cometdoor.dataplane.backend_endpoints import SLOW_START_MS, BackendEndpoint, EndpointList
from cometdoor.dataplane.client_exchange import (
    BackendReply,
    ClientExchange,
    ForwardedAttempt,
    remaining_ms,
)
from cometdoor.dataplane.request_classes import IDEMPOTENT_ROUTE_TYPES, RequestClassKey, request_class_of
from cometdoor.dataplane.request_statistics import RequestStatistics
from cometdoor.host.address import Address
from cometdoor.host.attempt_outcome import AttemptResult, result_of_response
from cometdoor.host.balancer_host import BalancerHost
from cometdoor.host.clock import LoopClock, now_ms
from cometdoor.host.interfaces import AttemptHandle, HostSettings, ResponseListener
from cometdoor.http.messages import ClientRequest, end_to_end_headers
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.forwarding import ForwardRequest, StreamedForwardRequest
from cometdoor.wire.frames import Message
from cometdoor.wire.peer_connection import PeerError, StreamedReply

SLOW_START_INITIAL_SHARE = 0.5  # share of full capacity at the start of a backend's slow start
# Limit of attempts for one request, including those that an inbound proxy rejects, which cost a round trip
# but no execution. Executions are limited by the route's max_attempts.
MAX_SENDS = 6
# Shortest backoff of a throttled request, as a share of the latency target.
THROTTLED_RETRY_AFTER_SHARE = 0.25
BULK_CHANNEL = "bulk"  # separate connection for downloads, so that they do not delay short responses
RESERVED_HEADERS = frozenset(
    {b"cometdoor-deadline-ms", b"cometdoor-expected-instance", b"cometdoor-caller-service"}
)


class ServiceClient:
    """Load balancing client for one service, and the `BackendTransport` of its balancer host.

    Throttles request classes that are mostly rejected, and counts requests and retries for the retry budget.

    Parameters
    ----------
    budget_share
        This proxy's share of the service's retry budget.
    caller_service
        Service of the local backend, which other backends see as their caller.
    budget_ratio, window_s
        Retries that the budget allows per request, and the length of its window in seconds.
    seed
        Seed for all random choices.
    zone, zone_count
        Index of the local zone, and the number of zones.
    """

    def __init__(
        self,
        service: str,
        loop: asyncio.AbstractEventLoop,
        connections: PeerConnections,
        budget_share: BudgetShare,
        *,
        caller_service: str,
        budget_ratio: float,
        window_s: float,
        seed: int,
        zone: int = 0,
        zone_count: int = 1,
    ) -> None:
        self.service = service
        self._connections = connections
        self._budget_share = budget_share
        self._caller_service = caller_service.encode()
        self._class_indexes: dict[RequestClassKey, int] = {}
        self._throttles: list[AdaptiveThrottle] = [AdaptiveThrottle(random.Random(seed))]  # by class
        self._rng = random.Random(seed)
        default_class = RequestClassKey("idempotent", 1000.0, 1000.0, 1, 2)
        settings = api.Settings(
            classes=(request_class_of(default_class),),
            tier=1,
            tiers=2,
            max_attempts=MAX_SENDS,
            retry_budget=api.RetryBudget(
                0.0, budget_ratio * LOCAL_SHARE, window_s * 1000.0, counts_not_executed=False
            ),
            slow_start_initial_share=SLOW_START_INITIAL_SHARE,
            warm_up_ms=SLOW_START_MS,
            zone=zone,
            cross_zone_price=float(zone_count > 1),
        )
        self._class_indexes[default_class] = 0
        self._host: BalancerHost[ClientRequest, BackendReply] = BalancerHost(
            HostSettings(settings, seed, True),
            LoopClock(loop),
            self,
            on_finished=lambda request: request.exchange.finish(),
        )
        self._statistics = self._host.observer = RequestStatistics()
        self._endpoints = EndpointList()

    # --- called by the outbound proxy ---

    def accept(
        self, caller: ResponseListener[BackendReply], request: ClientRequest, route: Route
    ) -> ClientExchange | None:
        """Accept a request of a caller; return None if it was throttled and therefore already rejected."""
        key = RequestClassKey(
            route.route_type, route.timeout_ms, route.latency_target_ms, route.priority, route.max_attempts
        )
        class_index = self._class_indexes.get(key)
        if class_index is None:
            class_index = self._class_indexes[key] = self._host.add_class(request_class_of(key))
            self._throttles.append(AdaptiveThrottle(self._rng))
        request.class_index = class_index
        throttle = self._throttles[class_index]
        now = now_ms()
        if not throttle.admit(now):
            min_backoff_ms = THROTTLED_RETRY_AFTER_SHARE * route.latency_target_ms
            caller.on_rejected(throttle.backoff_ms(min_backoff_ms, remaining_ms(request, now), now))
            return None
        exchange = request.exchange = ClientExchange(caller, request, throttle)
        self._budget_share.record_request(now / 1000.0)
        self._host.accept(exchange, request)
        return exchange

    def on_budget_changed(self, floor: float) -> None:
        """Apply a new floor of this proxy's share of the retry budget."""
        self._host.submit_event(api.BudgetChanged(floor))

    def on_client_disconnected(self, exchange: ClientExchange) -> None:
        """Cancel the attempts of a request whose client has disconnected."""
        self._host.on_client_disconnected(exchange)

    def open_requests(self) -> int:
        """Return the number of requests that wait for a response."""
        return self._host.open_requests()

    def fail_all(self) -> None:
        """Fail every open request, as the process is about to exit."""
        self._host.fail_all()

    def report(self) -> dict[str, object]:
        """Return counts since the last report for the log, or an empty dict without requests."""
        counts: dict[str, object] = dict(self._statistics.drain_counts())
        if not counts:
            return counts
        throttled = {
            f"{key.route_type}/{key.latency_target_ms / 1000.0:g}s": round(
                self._throttles[class_index].admitted_share, 2
            )
            for key, class_index in self._class_indexes.items()
            if self._throttles[class_index].admitted_share < 1.0
        }
        return (
            counts | {"backends": len(self._endpoints)} | ({"admitted_share": throttled} if throttled else {})
        )

    def update_endpoints(self, backend_endpoints: Sequence[BackendEndpoint]) -> None:
        """Replace the endpoints of the service, including those that drain."""
        update = self._endpoints.update(backend_endpoints, now_ms())
        if update is not None:
            self._host.on_endpoints_changed(update.event, update.addresses)

    # --- called by the host ---

    def send(
        self,
        server: str,
        address: Address,
        request: ClientRequest,
        expires_at_ms: float,
        on_result: Callable[[AttemptResult, BackendReply | None], None],
    ) -> AttemptHandle | Outcome:
        """Send an attempt to the inbound proxy of the backend `server`."""
        throttle = self._throttles[request.class_index]
        exchange: ClientExchange = request.exchange
        forward_request = self._new_forward_request(server, request, expires_at_ms, throttle)
        forward_request.is_retry = exchange.possible_executions > 0

        sent_at_ms = now_ms()

        def on_reply(reply: Message | PeerError) -> None:
            result, response = classify_reply(reply)
            if response is not None:
                self._statistics.on_response(now_ms() - sent_at_ms)
            exchange.on_attempt_ended(result, response)
            if result.outcome is not Outcome.OK:
                self._budget_share.record_unmet_demand(now_ms() / 1000.0)
            if response is not None:
                throttle.on_attempt_ended(response.status < 500, now_ms())
            if result.outcome is Outcome.ERROR and response is not None and not throttle.may_retry(now_ms()):
                result = result_of_response(Outcome.OK)  # forward the failure instead of retrying
            on_result(result, response)

        def on_streamed_reply(reply: StreamedReply) -> None:
            # The response has begun at the client's: another attempt can't replace it, whatever its status.
            self._statistics.on_response(now_ms() - sent_at_ms)
            result = result_of_response(Outcome.OK)
            exchange.on_attempt_ended(result, None)
            throttle.on_attempt_ended(reply.status < 500, now_ms())
            on_result(result, reply)

        body = exchange.body
        message = forward_request if body is None else StreamedForwardRequest(forward_request, body.size)
        call = self._connections.call(
            f"{address[0]}:{address[1]}",
            message,
            on_reply,
            BULK_CHANNEL if request.route.route_type == "download" or body is not None else "",
            on_streamed_reply,
        )
        if isinstance(call, PeerError):
            return Outcome.CONNECT_FAILED
        if body is not None:
            call.send_body(body.chunks)
        exchange.possible_executions += 1
        exchange.pending_calls.append(call)
        if forward_request.is_retry:
            self._budget_share.record_retry(now_ms() / 1000.0)
        return ForwardedAttempt(call, exchange)

    def _new_forward_request(
        self, server: str, request: ClientRequest, expires_at_ms: float, throttle: AdaptiveThrottle
    ) -> ForwardRequest:
        route: Route = request.route
        forward_request = ForwardRequest(
            request.trace,
            request.method,
            request.target,
            self._headers(request),
            request.body,
            max(expires_at_ms - now_ms(), 1.0),
            route.latency_target_ms,
            route.priority,
            self.service,
            server,
            route.route_type not in IDEMPOTENT_ROUTE_TYPES,
        )
        forward_request.admitted_share = throttle.admitted_share
        group_size = throttle.group_size(now_ms())
        if group_size >= MIN_GROUP_SIZE:
            forward_request.group, forward_request.group_size = throttle.group, group_size
        return forward_request

    def _headers(self, request: ClientRequest) -> list[tuple[bytes, bytes]]:
        headers = [
            header
            for header in end_to_end_headers(request.headers)
            if header[0].lower() not in RESERVED_HEADERS
        ]
        headers.append((b"Cometdoor-Caller-Service", self._caller_service))
        return headers

    def close_idle(self, server: str) -> None:
        """Do nothing: connections lead to inbound proxies, not to backends."""

    def retire(self, server: str) -> None:
        """Do nothing: connections lead to inbound proxies, not to backends."""
