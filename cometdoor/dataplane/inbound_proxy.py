"""Inbound proxy: admits requests of all outbound proxies for the local backend, and forwards them.

It uses callbacks and timers of the event loop, so that a request costs no task and no await.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from cometdoor.balancing.api import Outcome
from cometdoor.dataplane.backend_health import BackendHealthListener, BackendHealthProbe
from cometdoor.dataplane.backend_responses import classify_response
from cometdoor.dataplane.inbound_request import InboundRequest
from cometdoor.dataplane.slots import ConcurrencySlots, RequestKind, SlotRequest
from cometdoor.host.address import Address, parse_address
from cometdoor.host.attempt_outcome import AttemptResult
from cometdoor.host.clock import now_ms
from cometdoor.host.fair_share import DescriptorQuota
from cometdoor.host.pause_monitor import PauseMonitor
from cometdoor.http.backend_exchange import BackendExchange
from cometdoor.http.backend_pool import BackendConnectionPool
from cometdoor.http.messages import Response, end_to_end_headers
from cometdoor.http.response_limits import ResponseLimits
from cometdoor.wire.forwarding import AttemptFailed, ForwardRequest, ForwardResponse, NotExecuted
from cometdoor.wire.frames import Message
from cometdoor.wire.gossip import Backend
from cometdoor.wire.peer_connection import PeerConnection

BACKEND_IDLE_TIMEOUT_MS = 8_000.0  # below the 10 s after which backends close idle connections by default
CONNECT_TIMEOUT_MS = 500.0  # the backend is on the same machine
QUEUE_POLL_INTERVAL_S = 0.02  # interval of queue checks while a request is queued
# Share of the time between the acknowledgement of a drain notice and the end of the drain, during which
# queued requests may still start.
DRAIN_DISPATCH_SHARE = 0.6
# A backend stops executing a request at its deadline and responds. If no response came within this time after
# the deadline, none will: some backends never answer a request that they can't queue, nor any later one on
# the same connection.
STALLED_AFTER_DEADLINE_MS = 2_000.0
STALL_CHECK_INTERVAL_S = 1.0  # interval of checks for stalled requests while any is in flight
MAX_WHOLE_RESPONSE_BYTES = 512 << 10  # of a body that is forwarded whole; larger ones are streamed
BACKEND_RESPONSE_LIMITS = ResponseLimits(
    has_read_timeout=False,
    max_body_bytes=MAX_WHOLE_RESPONSE_BYTES,
    max_body_bytes_if_full=64 << 10,
    may_end_with_connection=True,
)
log = structlog.get_logger()


class InboundProxy:
    """Owner of one backend's concurrency slots, queue and connections.

    Every request gets exactly one reply, unless its caller cancels it: the backend's response, NotExecuted,
    or AttemptFailed if it may have been executed.

    Parameters
    ----------
    descriptors
        Quota of file descriptors for connections to the backend.
    drain_s
        Seconds from the acknowledgement of the backend's drain notice to the end of its process.
    health_listener
        Notified when a connection to the backend fails, and when the backend has recovered.
    used_memory_bytes
        Returns the bytes that the process holds for bodies; with many, smaller responses are streamed.
    pause_monitor
        Tells how long requests may have lain unread; None counts them from when they are read.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: DescriptorQuota,
        drain_s: float,
        health_listener: BackendHealthListener | None = None,
        *,
        used_memory_bytes: Callable[[], int] = lambda: 0,
        pause_monitor: PauseMonitor | None = None,
    ) -> None:
        self._pause_monitor = pause_monitor
        self.backend: Backend | None = None
        self.slots = ConcurrencySlots()
        self._loop = loop
        self._drain_s = drain_s
        self._pool = BackendConnectionPool(
            loop,
            descriptors,
            idle_close_ms=BACKEND_IDLE_TIMEOUT_MS,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            classify_response=classify_response,
            partial_request_may_run=True,
            response_limits=BACKEND_RESPONSE_LIMITS,
            count_unread_bytes=used_memory_bytes,
        )
        self._address: Address = ("", 0)
        self._queued_requests: dict[int, InboundRequest] = {}  # by slot request number
        self._in_flight: dict[InboundRequest, None] = {}
        self._queue_poll: asyncio.TimerHandle | None = None  # while any request is queued
        self._stall_check: asyncio.TimerHandle | None = None  # while any request is in flight
        self._dispatch_ends_at = 0.0  # while draining (loop time); requests still queued then are rejected
        self._health_listener = health_listener
        self._health_probe = BackendHealthProbe(loop, self._pool, health_listener)
        self._reported_opened = 0  # connections that had been opened at the last report

    # --- the backend's lifecycle ---

    def update_backend(self, backend: Backend | None) -> None:
        """Apply the backend's state, which is None once it has deregistered.

        Requests that are queued for a former instance are rejected; those in flight continue.
        """
        previous, self.backend = self.backend, backend
        if backend is not None:
            self._update_capacity()
            if previous is None or previous.instance != backend.instance:
                self._address = parse_address(backend.address)
                if previous is not None:
                    self._pool.retire(previous.instance)
                    self._reject_all("another backend is here")
            if backend.state == "draining" and (previous is None or previous.state != "draining"):
                self._dispatch_ends_at = self._loop.time() + DRAIN_DISPATCH_SHARE * self._drain_s
                self._schedule_queue_poll()
        elif previous is not None:
            self._pool.retire(previous.instance)
            self._reject_all("the backend is gone")
        self._health_probe.update_backend(backend, self._address)

    def _reject_all(self, reason: str) -> None:
        for request in list(self._queued_requests.values()):
            self.slots.cancel(request.slot_request)
            self._finish(request, NotExecuted(reason))

    def _reject(self, slot_requests: list[SlotRequest], reason: str) -> None:
        if slot_requests:
            now = now_ms()
            retry_after_ms = self.slots.expected_wait_ms(len(self.slots.queued), now)
            for slot_request in slot_requests:
                self._finish(self._queued_requests[slot_request.number], NotExecuted(reason, retry_after_ms))

    def configure(self, health_path: str, max_connections: int) -> None:
        """Apply the service's configuration: health check path and limit of backend connections."""
        self._health_probe.path = health_path
        self._pool.max_connections = max_connections
        self._update_capacity()
        self._start_queued()

    def _update_capacity(self) -> None:
        """Use as many slots as the backend has, but not more than it may have connections.

        A connection carries one request at a time: those beyond the limit are queued, like those beyond the
        backend's capacity, instead of being rejected when they start.
        """
        capacity = self.backend.capacity if self.backend is not None else 1
        if self._pool.max_connections is not None:
            capacity = min(capacity, self._pool.max_connections)
        self.slots.capacity = max(capacity, 1)

    def report(self) -> None:
        """Log the requests and connections since the last report."""
        opened, self._reported_opened = (
            self._pool.opened_count - self._reported_opened,
            self._pool.opened_count,
        )
        if counts := self.slots.report(now_ms()):
            log.info(
                "inbound requests",
                queued=len(self.slots.queued),
                in_flight=self.slots.in_flight,
                connections_opened=opened,
                **counts,
            )

    def in_flight_count(self) -> int:
        """Return how many requests are in flight at the backend."""
        return len(self._in_flight)

    def retry_share(self) -> float:
        """Return the share of the requests in flight that may have been executed before."""
        retries = sum(request.forward_request.is_retry for request in self._in_flight)
        return retries / len(self._in_flight) if retries else 0.0

    def connections_opened(self) -> int:
        """Return the number of connections to backends opened so far."""
        return self._pool.opened_count

    # --- requests ---

    def accept(
        self,
        forward_request: ForwardRequest,
        connection: PeerConnection,
        call_id: int,
        body_bytes: int | None = None,
    ) -> None:
        """Start, queue or reject a request of an outbound proxy; exactly one reply goes to `connection`.

        `body_bytes`: length of a body that the outbound proxy sends once it is granted credit for it.
        """
        backend = self.backend
        if (
            backend is None
            or backend.instance != forward_request.instance
            or backend.service != forward_request.service
        ):
            connection.respond(call_id, NotExecuted("that backend is not here"))
            return
        if backend.state != "ready":
            connection.respond(call_id, NotExecuted(f"the backend is {backend.state}"))
            return
        if self._pause_monitor is not None:
            forward_request.remaining_ms -= self._pause_monitor.input_age_s(self._loop.time()) * 1000.0
        if forward_request.remaining_ms <= 0.0:
            connection.respond(call_id, NotExecuted("its deadline may have passed in a pause"))
            return
        now = now_ms()
        slot_request = self.slots.new_request(
            RequestKind(
                forward_request.priority, forward_request.latency_target_ms, forward_request.is_not_idempotent
            ),
            forward_request.remaining_ms,
            now,
            admitted_share=forward_request.admitted_share,
            group=(id(connection), forward_request.group) if forward_request.group else None,
            group_size=forward_request.group_size,
        )
        request = InboundRequest(forward_request, body_bytes, connection, call_id, slot_request)
        connection.cancel_callbacks[call_id] = lambda: self._on_cancelled(request)
        self._queued_requests[slot_request.number] = request
        self._reject(self.slots.submit(slot_request, now), "full")
        if slot_request.started_at_ms:
            self._start(self._queued_requests.pop(slot_request.number))
        elif slot_request.number in self._queued_requests:
            self._schedule_queue_poll()

    def _start(self, request: InboundRequest) -> None:
        backend = self.backend
        assert backend is not None
        self._in_flight[request] = None
        request.exchange = BackendExchange(
            request.serialize,
            lambda result, response: self._on_attempt_ended(request, result, response),
            correlate=request.correlate,
            request_id=request.forward_request.attempt_id,
            request_body=request.body,
            start_streaming=request.start_streaming,
        )
        if self._stall_check is None:
            self._stall_check = self._loop.call_later(STALL_CHECK_INTERVAL_S, self._abandon_stalled)
        if not self._pool.send(backend.instance, self._address, request.exchange):
            self._release_slot(request, completed=False)
            self._finish(request, NotExecuted("no descriptor is free"))

    def _on_attempt_ended(
        self, request: InboundRequest, result: AttemptResult, response: Response | None
    ) -> None:
        outcome = result.outcome
        self._release_slot(request, completed=outcome is Outcome.OK)
        request.exchange = None  # breaks a reference cycle
        if request.response_sender is not None:
            request.finish_streaming(is_complete=response is not None)
        elif response is not None and outcome in (Outcome.OK, Outcome.ERROR):
            self._finish(
                request, ForwardResponse(response.status, end_to_end_headers(response.headers), response.body)
            )
        elif result.is_not_executed:
            if outcome is Outcome.CONNECT_FAILED:
                log.info("backend unreachable", step="connect", peer=request.forward_request.instance)
                if self._health_listener is not None:
                    self._health_listener.on_unreachable()
            self._finish(request, NotExecuted(outcome.value))
        else:
            self._finish(
                request, AttemptFailed(outcome.value, result.blame if result.blame is not None else 0.5)
            )
        self._start_queued()

    def _abandon_stalled(self) -> None:
        """Abort requests without a complete response `STALLED_AFTER_DEADLINE_MS` after their deadline.

        Otherwise their slots would never be released.
        """
        self._stall_check = None
        due = now_ms() - STALLED_AFTER_DEADLINE_MS
        for request in [request for request in self._in_flight if request.expires_at_ms < due]:
            log.warning(
                "no response by the deadline",
                step="response",
                peer=request.forward_request.instance,
                service=request.forward_request.service,
            )
            self._abort_exchange(request)
            self._release_slot(request, completed=False)
            self._finish(request, AttemptFailed(Outcome.TIMEOUT.value, 1.0))
            self._start_queued()
        if self._in_flight:
            self._stall_check = self._loop.call_later(STALL_CHECK_INTERVAL_S, self._abandon_stalled)

    def _on_cancelled(self, request: InboundRequest) -> None:
        """Handle a request that the calling proxy has cancelled, or whose connection to it is lost."""
        if request.is_over and request.response_sender is None:
            return
        request.is_over = True
        if self._queued_requests.pop(request.slot_request.number, None) is not None:
            self.slots.cancel(request.slot_request)
        elif request in self._in_flight:
            if request.forward_request.is_not_idempotent and request.may_be_executed_further():
                return  # the execution continues: if aborted halfway, it could not be retried
            self._abort_exchange(request)
            self._release_slot(request, completed=False)
            self._start_queued()

    def _abort_exchange(self, request: InboundRequest) -> None:
        exchange, request.exchange = request.exchange, None
        if exchange is not None:
            exchange.abort()
        request.finish_streaming(is_complete=False)

    def _release_slot(self, request: InboundRequest, completed: bool) -> None:
        if self._in_flight.pop(request, 0) is None:
            self.slots.release(request.slot_request, now_ms(), completed)

    def _finish(self, request: InboundRequest, message: Message) -> None:
        self._queued_requests.pop(request.slot_request.number, None)
        if not request.is_over:
            request.is_over = True
            request.respond(message)

    def _start_queued(self) -> None:
        if self.slots.queued:
            self._reject(self.slots.remove_overdue(now_ms()), "full")
        while self._may_start() and (slot_request := self.slots.start_next(now_ms())) is not None:
            self._start(self._queued_requests.pop(slot_request.number))

    def _may_start(self) -> bool:
        backend = self.backend
        return backend is not None and (
            backend.state == "ready"
            or (backend.state == "draining" and self._loop.time() < self._dispatch_ends_at)
        )

    # --- the queue ---

    def _schedule_queue_poll(self) -> None:
        if self._queue_poll is None:
            self._queue_poll = self._loop.call_later(QUEUE_POLL_INTERVAL_S, self._poll_queue)

    def _poll_queue(self) -> None:
        self._queue_poll = None
        self._reject(self.slots.remove_overdue(now_ms()), "full")
        if self._may_start():
            self._start_queued()  # left over from a time when the backend was down
        else:
            self._reject_all("the backend leaves")
        if self._queued_requests:
            self._schedule_queue_poll()
