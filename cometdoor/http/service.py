"""One service over HTTP: its balancer host, the connections to its servers, and its limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from cometdoor.balancing import api
from cometdoor.balancing.api import Effect, Outcome
from cometdoor.host.address import Address
from cometdoor.host.attempt_outcome import AttemptResult
from cometdoor.host.balancer_host import BalancerHost
from cometdoor.host.clock import LoopClock, now_ms
from cometdoor.host.fair_share import Quota
from cometdoor.host.interfaces import AttemptHandle, AttemptObserver, HostSettings
from cometdoor.http.backend_exchange import BackendExchange
from cometdoor.http.backend_pool import BackendConnectionPool
from cometdoor.http.client_connection import ClientConnection
from cometdoor.http.messages import ClientRequest, Response, end_to_end_headers
from cometdoor.http.response_classification import classify_platform_response, parse_load_report

MAX_LAST_BYTE_DELAY_SHARE = 0.02  # share of a request's remaining time for the last-byte delay


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Limits of one service's resources; None means no limit of its own.

    Attributes
    ----------
    open_requests : int | None
        Requests without a final response.
    waiting_requests : int | None
        Open requests without an attempt.
    connections : int | None
        Connections to servers.
    buffered_bytes : int | None
        Bytes of requests, of responses being received, and of responses that clients have not read.
    """

    open_requests: int | None = None
    waiting_requests: int | None = None
    connections: int | None = None
    buffered_bytes: int | None = None


class HttpService:
    """Request handler of a frontend for one service, and the backend transport of its balancer host.

    It admits requests within its limits, and sends attempts on pooled connections. It starts without
    endpoints.

    Parameters
    ----------
    settings
        Settings of the balancer and its host.
    loop
        The event loop.
    connection_quota
        Quota of the connections to servers.
    limits
        Limits of the service's resources.
    idle_close_ms
        Idle timeout of the servers' connections.
    connect_timeout_ms
        Timeout for opening a connection.
    watch_endpoints
        Called when the balancer asks for the endpoint list.
    client_quota
        Quota of client connections with an open request.
    no_connection_outcome
        Outcome of an attempt for which the limits allow no connection.
    classify_response
        Returns the outcome of an attempt for its response.
    on_empty
        Called whenever the last open request has finished.
    has_load_reports
        Whether servers send load reports with their responses.
    """

    def __init__(
        self,
        settings: HostSettings,
        loop: asyncio.AbstractEventLoop,
        connection_quota: Quota,
        *,
        limits: ServiceLimits,
        idle_close_ms: float,
        connect_timeout_ms: float,
        watch_endpoints: Callable[[], None] = lambda: None,
        client_quota: Quota | None = None,
        no_connection_outcome: Outcome = Outcome.CONNECT_FAILED,
        classify_response: Callable[[Response], Outcome] = classify_platform_response,
        on_empty: Callable[[], None] | None = None,
        has_load_reports: bool = False,
    ) -> None:
        self._classes = settings.balancer.classes
        self._client_quota = client_quota
        self._no_connection_outcome = no_connection_outcome
        self._on_empty = on_empty
        self._pool = BackendConnectionPool(
            loop,
            connection_quota,
            idle_close_ms=idle_close_ms,
            connect_timeout_ms=connect_timeout_ms,
            classify_response=classify_response,
            count_unread_bytes=lambda: self.unread_bytes,
        )
        self._open_traces: set[bytes] = set()  # trace ids of open requests
        self._request_bytes = 0  # received bytes of open requests
        self.unread_bytes = 0  # of responses that clients have not read; updated by the frontend
        self.is_ready = False  # set once an endpoint list had a server
        self._host: BalancerHost[ClientRequest, Response] = BalancerHost(
            settings,
            LoopClock(loop),
            self,
            watch_endpoints=watch_endpoints,
            on_finished=self._on_finished,
            parse_load_report=parse_load_report if has_load_reports else lambda response: {},
        )
        self.set_limits(limits)

    def set_limits(self, limits: ServiceLimits) -> None:
        """Change the limits; open requests and connections above a new limit continue."""
        self._limits = limits
        self._host.max_waiting = limits.waiting_requests
        self._pool.max_connections = limits.connections

    def on_endpoints_changed(self, event: api.EndpointsChanged, addresses: Mapping[str, Address]) -> None:
        """Apply an endpoint list; `addresses` maps its servers' names to their addresses."""
        self._host.on_endpoints_changed(event, addresses)
        self.is_ready = self.is_ready or self._host.has_endpoints

    def set_observer(self, observer: AttemptObserver) -> None:
        """Set the observer of endpoint lists and attempts."""
        self._host.observer = observer

    def submit_event(self, event: api.AdviceReceived | api.SlowStartLeaseGranted) -> None:
        """Pass a planner's advice or lease to the balancer."""
        self._host.submit_event(event)

    def open_requests(self) -> int:
        """Return how many requests wait for a response."""
        return self._host.open_requests()

    def is_empty(self) -> bool:
        """Return whether no request waits and no attempt is in flight."""
        return self._host.is_empty()

    def reject_waiting(self) -> None:
        """Reject all requests without an attempt."""
        self._host.reject_waiting()

    def close_all_idle(self) -> None:
        """Close all idle connections to servers."""
        self._pool.close_all_idle()

    def close_oldest_idle(self) -> bool:
        """Close the server connection that has been idle for longest; return False if none is idle."""
        return self._pool.close_oldest_idle()

    def buffered_bytes(self) -> int:
        """Return the bytes of requests and responses in memory."""
        return self._request_bytes + self._pool.buffered_bytes + self.unread_bytes

    def has_open_requests(self) -> bool:
        """Return whether any request waits for a response."""
        return bool(self._host.open_requests())

    def fail_all(self) -> None:
        """Fail all open requests."""
        self._host.fail_all()

    # --- called by the frontend ---

    def accept(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Serve a request; respond 503 at a limit, and 409 if an open request has the same trace id."""
        if self._is_at_limit():
            connection.on_rejected(self._host.suggested_retry_after_ms(request))
        elif request.trace in self._open_traces:
            # A server would treat the request as a hedged attempt of the other client's request.
            connection.respond(409, [], b"X-Trace-Id is that of an open request")
        elif self._client_quota is not None and not self._client_quota.acquire():
            connection.on_rejected(self._host.suggested_retry_after_ms(request))
        else:
            self._open_traces.add(request.trace)
            self._request_bytes += request.received_bytes
            self._host.accept(connection, request)

    def _is_at_limit(self) -> bool:
        limits = self._limits
        return (limits.open_requests is not None and self._host.open_requests() >= limits.open_requests) or (
            limits.buffered_bytes is not None and self.buffered_bytes() >= limits.buffered_bytes
        )

    def on_client_disconnected(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Cancel the request of a client that has disconnected."""
        self._host.on_client_disconnected(connection)

    def _on_finished(self, request: ClientRequest) -> None:
        self._open_traces.discard(request.trace)
        self._request_bytes -= request.received_bytes
        if self._client_quota is not None:
            self._client_quota.release()
        if self._on_empty is not None and self._host.is_empty():
            self._on_empty()

    # --- called by the host ---

    def send(
        self,
        server: str,
        address: Address,
        request: ClientRequest,
        expires_at_ms: float,
        on_result: Callable[[AttemptResult, Response | None], None],
    ) -> AttemptHandle | Outcome:
        """Start an attempt on an idle or a new connection."""
        is_not_idempotent = self._classes[request.class_index].effect is not Effect.SAFE
        last_byte_delay_s = (
            MAX_LAST_BYTE_DELAY_SHARE * max(expires_at_ms - now_ms(), 0.0) / 1000.0
            if is_not_idempotent
            else 0.0
        )
        exchange = BackendExchange(
            lambda: serialize_request(request, expires_at_ms), on_result, last_byte_delay_s
        )
        return exchange if self._pool.send(server, address, exchange) else self._no_connection_outcome

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server."""
        self._pool.close_idle(server)

    def retire(self, server: str) -> None:
        """Stop reusing a server's open connections; attempts in flight may finish."""
        self._pool.retire(server)


def serialize_request(request: ClientRequest, expires_at_ms: float) -> bytes:
    """Return the bytes of a request to a server, with the remaining time in ``X-Expires-In``."""
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    lines += [b"%s: %s\r\n" % header for header in end_to_end_headers(request.headers)]
    lines.append(b"X-Expires-In: %.4f\r\n" % (max(expires_at_ms - now_ms(), 0.1) / 1000.0))
    if request.body or request.method != b"GET":
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    lines.append(request.body)
    return b"".join(lines)
