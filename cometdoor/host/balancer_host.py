"""The host of one balancer: open requests, their attempts, and a response to each before its deadline.

The host does not depend on a protocol, and leaves the decisions to the balancer. A frontend passes it a
request and the client that waits for the response; a transport sends attempts and reports how they ended.
Events are handled by `Balancer.handle` one at a time, and its actions are executed in order. Events that
occur during an action are queued until all actions of the current event are executed.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Mapping
from typing import Generic

from cometdoor.balancing import Balancer, api
from cometdoor.balancing.api import Outcome
from cometdoor.host.active_requests import ActiveAttempt, ActiveRequest
from cometdoor.host.address import Address
from cometdoor.host.attempt_outcome import AttemptResult, AttemptStage, FailureKind, result_of_failure
from cometdoor.host.clock import Clock
from cometdoor.host.endpoint_addresses import EndpointAddresses
from cometdoor.host.interfaces import (
    AttemptObserver,
    BackendTransport,
    HostSettings,
    RequestT,
    ResponseListener,
    ResponseT,
)

log = logging.getLogger(__name__)

# The part of the client's timeout that is reserved for the network in both directions and for delays of the
# event loop. The timeout starts when the client sends the request, and ends when it has the complete
# response.
RESPONSE_MARGIN_MS = 20.0
MAX_MARGIN_SHARE = 0.25  # maximum of the margin, as a share of the remaining time
# Share of the margin that the balancer has to respond after its attempts timed out; then the host responds.
FALLBACK_MARGIN_SHARE = 0.5
# Suggested retry delay as a share of the latency target; equal to `balancer.MAX_QUEUE_WAIT_SHARE`, the
# longest wait for capacity.
RETRY_AFTER_TARGET_SHARE = 0.25


class BalancerHost(Generic[RequestT, ResponseT]):
    """Executes the actions of one balancer, and reports events to it.

    It also guarantees, whatever the balancer does, that each client gets at most one response, that each
    attempt has one outcome, and that a request without a response fails shortly before its deadline.

    Attributes
    ----------
    max_waiting : int | None
        Maximum number of requests that wait for their first attempt; None: no limit.
    observer : AttemptObserver | None
        Notified of endpoint lists and attempts.
    """

    def __init__(
        self,
        settings: HostSettings,
        clock: Clock,
        transport: BackendTransport[RequestT, ResponseT],
        *,
        watch_endpoints: Callable[[], None] = lambda: None,
        on_finished: Callable[[RequestT], None] = lambda request: None,
        parse_load_report: Callable[[ResponseT], Mapping[str, float]] = lambda response: {},
    ) -> None:
        """Make a host with a new balancer.

        Parameters
        ----------
        settings
            Settings of the balancer and of this host.
        clock
            Time and timers.
        transport
            Sends attempts.
        watch_endpoints
            Called when the balancer wants the endpoint list.
        on_finished
            Called once for each request, when its client has a response and no attempt is in flight.
        parse_load_report
            Returns the load report of a response; empty if the response has none.
        """
        self.max_waiting: int | None = None
        self.observer: AttemptObserver | None = None
        self._settings = settings
        self._clock = clock
        self._transport = transport
        self._watch_endpoints = watch_endpoints
        self._on_finished = on_finished
        self._parse_load_report = parse_load_report
        self._classes = list(settings.balancer.classes)
        self._balancer = Balancer(settings.balancer, settings.seed)
        self._requests: dict[str, ActiveRequest[RequestT, ResponseT]] = {}
        self._by_client: dict[ResponseListener[ResponseT], ActiveRequest[RequestT, ResponseT]] = {}
        self._waiting_count = 0  # requests with a waiting client and without any attempt
        self._endpoints = EndpointAddresses(transport.retire)
        self._last_id = 0
        self._events: deque[api.Event] = deque()
        self._is_handling = False

    @property
    def has_endpoints(self) -> bool:
        """Whether any server is listed."""
        return bool(self._endpoints.by_name)

    def open_requests(self) -> int:
        """Return how many requests wait for a response."""
        return len(self._by_client)

    def ejected_endpoints(self) -> list[str]:
        """Return the names of the servers that the balancer has ejected, which get trial requests only."""
        return self._balancer.ejected_endpoints()

    def is_empty(self) -> bool:
        """Return whether no request waits for a response and no attempt is in flight."""
        return not self._requests

    # --- events in ---

    def _dispatch(self, event: api.Event) -> None:
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self._balancer.handle(event, self._clock.now_ms())
        except Exception:
            # A fault in the balancer must not affect requests other than the event's own.
            log.exception("balancer failed on %s; its request fails", type(event).__name__)
            if isinstance(
                event, api.RequestArrived | api.AttemptEnded | api.ClientDisconnected | api.StreamStarted
            ):
                self._abandon(event.request)
            return
        for action in actions:
            self._execute(action)

    def add_class(self, cls: api.RequestClass) -> int:
        """Add a request class and return its index."""
        self._classes.append(cls)
        self._dispatch(api.ClassAdded(cls))
        return len(self._classes) - 1

    def submit_event(self, event: api.AdviceReceived | api.SlowStartLeaseGranted | api.BudgetChanged) -> None:
        """Pass planners' advice or lease, or a new budget floor, to the balancer."""
        self._dispatch(event)

    def on_endpoints_changed(self, event: api.EndpointsChanged, addresses: Mapping[str, Address]) -> None:
        """Apply a new endpoint list; `addresses` are those of its servers by name."""
        self._endpoints.update(event, addresses)
        if self.observer is not None:
            self.observer.on_endpoints_changed(event)
        self._dispatch(event)

    def accept(self, client: ResponseListener[ResponseT], request: RequestT) -> None:
        """Start to serve a request; `client` gets the response, and must have no other open request."""
        self._last_id += 1
        remaining_ms = request.remaining_ms
        margin_ms = min(RESPONSE_MARGIN_MS, MAX_MARGIN_SHARE * remaining_ms)
        expires_at_ms = request.arrived_at * 1000.0 + remaining_ms - margin_ms
        active_request = ActiveRequest(str(self._last_id), client, request, expires_at_ms)
        self._requests[active_request.id] = self._by_client[client] = active_request
        self._waiting_count += 1
        active_request.timer = self._clock.call_at(
            expires_at_ms + margin_ms * FALLBACK_MARGIN_SHARE, lambda: self._on_deadline(active_request)
        )
        self._dispatch(
            api.RequestArrived(
                active_request.id,
                request.class_index,
                max(expires_at_ms - self._clock.now_ms(), 0.0),
                request.tenant,
                request.cost_ms,
                request.is_retry,
            )
        )
        if self.max_waiting is not None and self._waiting_count > self.max_waiting:
            self._reject_unsent(active_request)

    def reject_waiting(self) -> None:
        """Reject all requests that have no attempt yet."""
        for active_request in list(self._by_client.values()):
            self._reject_unsent(active_request)

    def _reject_unsent(self, active_request: ActiveRequest[RequestT, ResponseT]) -> None:
        """Reject a request if it has no attempt yet: a retry is safe, and best started early."""
        if active_request.attempts:
            return
        client = self._detach_client(active_request)
        if client is not None:
            self._dispatch(api.ClientDisconnected(active_request.id))
            client.on_rejected(self.suggested_retry_after_ms(active_request.request))
            self._clean_up(active_request)

    def on_client_disconnected(self, client: ResponseListener[ResponseT]) -> None:
        """Cancel the client's open request, if any."""
        active_request = self._by_client.get(client)
        if active_request is not None:
            self._detach_client(active_request)
            self._dispatch(api.ClientDisconnected(active_request.id))
            self._clean_up(active_request)

    def _on_deadline(self, active_request: ActiveRequest[RequestT, ResponseT]) -> None:
        """Fail a request that the balancer has not decided on in time."""
        client = self._detach_client(active_request)
        if client is not None:
            client.on_failed()
            self._dispatch(api.ClientDisconnected(active_request.id))
            self._clean_up(active_request)

    def _detach_client(
        self, active_request: ActiveRequest[RequestT, ResponseT]
    ) -> ResponseListener[ResponseT] | None:
        """Return the client that waits for a response, if any, and mark the request as answered."""
        client, active_request.client = active_request.client, None
        if client is not None:
            if active_request.timer is not None:
                active_request.timer.cancel()
                active_request.timer = None  # breaks a reference cycle
            if not active_request.attempts:
                self._waiting_count -= 1
            del self._by_client[client]
        return client

    def fail_all(self) -> None:
        """Fail all open requests, before the process is killed."""
        for active_request in list(self._by_client.values()):
            self._on_deadline(active_request)

    def _abandon(self, request_id: str) -> None:
        active_request = self._requests.get(request_id)
        if active_request is None:
            return
        self._fail(active_request)
        for attempt in list(active_request.attempts):
            self._end_attempt(attempt, Outcome.CANCELLED)
        self._clean_up(active_request)

    # --- actions out ---

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Cancel():
                active_request = self._requests.get(action.request)
                if active_request is not None and 0 <= action.attempt < len(active_request.attempts):
                    self._end_attempt(active_request.attempts[action.attempt], Outcome.CANCELLED)
            case api.Reject():
                active_request = self._requests.get(action.request)
                if active_request is not None:
                    self._reject(active_request, action.retry_after_ms)
            case api.Fail():
                active_request = self._requests.get(action.request)
                if active_request is not None:
                    self._fail(active_request)
                    self._clean_up(active_request)
            case api.SetTimer():
                token = action.token
                self._clock.call_at(
                    self._clock.now_ms() + action.after_ms, lambda: self._dispatch(api.TimerFired(token))
                )
            case api.CloseIdleConnections():
                self._transport.close_idle(action.server)
            case api.WatchEndpoints():
                self._watch_endpoints()

    def _reject(self, active_request: ActiveRequest[RequestT, ResponseT], retry_after_ms: float) -> None:
        client = self._detach_client(active_request)
        if client is not None:
            client.on_rejected(retry_after_ms if self._settings.may_send_retry_after else 0.0)
        self._clean_up(active_request)

    def suggested_retry_after_ms(self, request: RequestT) -> float:
        """Return after how many ms a client that is rejected at a limit should retry; 0: no advice.

        Capacity is released as requests end, most of them well within their latency target.
        """
        return (
            RETRY_AFTER_TARGET_SHARE * self._latency_target_ms(request)
            if self._settings.may_send_retry_after
            else 0.0
        )

    def _latency_target_ms(self, request: RequestT) -> float:
        return self._classes[request.class_index].latency_target_ms

    def _fail(self, active_request: ActiveRequest[RequestT, ResponseT]) -> None:
        client = self._detach_client(active_request)
        if client is not None:
            client.on_failed()

    def _send(self, action: api.Send) -> None:
        active_request = self._requests.get(action.request)
        if active_request is None:
            return
        now = self._clock.now_ms()
        expires_at_ms = (
            min(active_request.expires_at_ms, now + action.timeout_ms)
            if action.timeout_ms > 0
            else active_request.expires_at_ms
        )
        attempt = ActiveAttempt(
            active_request, len(active_request.attempts), action.server, now, expires_at_ms
        )
        if not active_request.attempts and active_request.client is not None:
            self._waiting_count -= 1
        active_request.attempts.append(attempt)
        if (
            active_request.client is None
            or now >= expires_at_ms
            or len(active_request.attempts) > self._settings.balancer.max_attempts
        ):
            self._end_attempt(attempt, Outcome.NOT_SENT)
            return
        address = self._endpoints.by_name.get(action.server)
        if address is None:
            self._end_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        if self.observer is not None:
            self.observer.on_attempt_sent(
                action.server,
                (active_request.id, attempt.index),
                self._latency_target_ms(active_request.request),
                now,
            )
        attempt.timer = self._clock.call_at(expires_at_ms, lambda: self._on_attempt_timeout(attempt))
        handle_or_outcome = self._transport.send(
            action.server,
            address,
            active_request.request,
            expires_at_ms,
            lambda result, response: self._on_attempt_result(attempt, result, response),
        )
        if isinstance(handle_or_outcome, Outcome):
            self._end_attempt(attempt, handle_or_outcome)
        elif not attempt.is_ended:
            attempt.handle = handle_or_outcome

    # --- attempts ---

    def _on_attempt_timeout(self, attempt: ActiveAttempt[RequestT, ResponseT]) -> None:
        # A request that is not written by the deadline was not executed, and never will be.
        stage = AttemptStage.WRITTEN if attempt.handle is None else attempt.handle.stage()
        result = result_of_failure(stage, FailureKind.TIMED_OUT)
        self._end_attempt(attempt, result.outcome, blame=result.blame)

    def _on_attempt_result(
        self, attempt: ActiveAttempt[RequestT, ResponseT], result: AttemptResult, response: ResponseT | None
    ) -> None:
        if result.outcome is Outcome.OK and response is not None and not attempt.is_ended:
            client = self._detach_client(attempt.active_request)
            if client is not None:
                client.on_response(response)
        self._end_attempt(attempt, result.outcome, response, result.blame)

    def _end_attempt(
        self,
        attempt: ActiveAttempt[RequestT, ResponseT],
        outcome: Outcome,
        response: ResponseT | None = None,
        blame: float | None = None,
    ) -> None:
        """Report an attempt's outcome exactly once, also if it is cancelled or ends late."""
        if attempt.is_ended:
            return
        attempt.is_ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None  # breaks a reference cycle
        if attempt.handle is not None:
            attempt.handle.abort()
            attempt.handle = None
        active_request = attempt.active_request
        if self.observer is not None:
            self.observer.on_attempt_ended(
                attempt.server,
                (active_request.id, attempt.index),
                outcome,
                self._latency_target_ms(active_request.request),
                self._clock.now_ms(),
            )
        load = self._parse_load_report(response) if response is not None else {}
        self._dispatch(
            api.AttemptEnded(
                active_request.id,
                attempt.index,
                attempt.server,
                outcome,
                active_request.client is None,
                self._clock.now_ms() - attempt.sent_at,
                load,
                blame,
            )
        )
        self._clean_up(active_request)

    def _clean_up(self, active_request: ActiveRequest[RequestT, ResponseT]) -> None:
        if active_request.is_finished() and self._requests.pop(active_request.id, None) is not None:
            active_request.attempts.clear()  # breaks a reference cycle
            self._on_finished(active_request.request)
