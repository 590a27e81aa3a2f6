"""One client request at the host of the decision module, from acceptance to final response."""

from __future__ import annotations

from cometdoor.dataplane.adaptive_throttling import AdaptiveThrottle
from cometdoor.host.attempt_outcome import AttemptResult, AttemptStage
from cometdoor.host.clock import now_ms
from cometdoor.host.interfaces import ResponseListener
from cometdoor.http.large_body import LargeBody
from cometdoor.http.messages import ClientRequest
from cometdoor.wire.forwarding import ForwardResponse
from cometdoor.wire.peer_connection import PendingCall, StreamedReply

BackendReply = ForwardResponse | StreamedReply
"""A backend's response: whole, or its head and a body that follows."""


def remaining_ms(request: ClientRequest, now: float) -> float:
    """Return the time until the client's deadline; all times are in milliseconds."""
    return max(request.remaining_ms - (now - request.arrived_at * 1000.0), 0.0)


class ClientExchange:
    """Listener of the host for one request: reports the final response to the caller, and counts it.

    It never reports "not executed" for a request that may have been executed. The decision module rejects an
    idempotent request when it abandons it, since a retry is harmless; but to the caller a rejection means
    that nothing was executed. If an attempt may have been executed, the caller gets the backend's failure
    response if there is one, and otherwise a failure with an unknown outcome.
    """

    __slots__ = (
        "body",
        "caller",
        "last_failure",
        "pending_calls",
        "possible_executions",
        "request",
        "throttle",
    )

    def __init__(
        self, caller: ResponseListener[BackendReply], request: ClientRequest, throttle: AdaptiveThrottle
    ) -> None:
        self.caller = caller
        self.request = request
        self.throttle = throttle
        self.possible_executions = 0  # attempts sent, minus those known not to have been executed
        self.last_failure: ForwardResponse | None = None  # latest response with a status of 500 or above
        self.pending_calls: list[PendingCall] = []  # one for each attempt
        self.body: LargeBody | None = request.large_body
        if self.body is not None:
            self.body.hold()

    def finish(self) -> None:
        """Drop what attempts needed: none is in flight, and none follows."""
        body, self.body = self.body, None
        if body is not None:
            body.release()
        self.request.exchange = None  # breaks a reference cycle
        self.pending_calls.clear()

    def on_attempt_ended(self, result: AttemptResult, response: ForwardResponse | None) -> None:
        """Record the end of one attempt, and its response if that is a failure."""
        self.possible_executions -= result.is_not_executed
        if response is not None and response.status >= 500:
            self.last_failure = response

    def on_response(self, response: BackendReply) -> None:
        """Pass the response to the caller."""
        self.throttle.record_acceptance(True, now_ms())
        self.caller.on_response(response)

    def _cancel_unsent(self) -> None:
        """Cancel the attempts that were not sent yet, such as those whose connection is still being opened.

        This is called before the caller is notified, so that an attempt that was never sent does not count as
        possibly executed.
        """
        if self.possible_executions:
            self.possible_executions -= sum(
                call.cancel() for call in self.pending_calls if not call.was_sent()
            )

    def on_rejected(self, retry_after_ms: float) -> None:
        """Reject the request with a backoff; report a failure instead if it may have been executed."""
        now = now_ms()
        self._cancel_unsent()
        if self.possible_executions:
            self.throttle.record_acceptance(True, now)
            self._report_failure()
            return
        self.throttle.record_acceptance(False, now)
        self.caller.on_rejected(
            self.throttle.backoff_ms(retry_after_ms, remaining_ms(self.request, now), now)
        )

    def on_failed(self) -> None:
        """Report a failure; reject the request instead if nothing was executed."""
        self._cancel_unsent()
        if self.possible_executions or self.last_failure is not None:
            self._report_failure()
        else:
            self.on_rejected(0.0)

    def _report_failure(self) -> None:
        if self.last_failure is not None:
            self.caller.on_response(self.last_failure)
        else:
            self.caller.on_failed()


class ForwardedAttempt:
    """Handle by which the host observes and cancels an attempt that was sent to an inbound proxy."""

    __slots__ = ("call", "exchange")

    def __init__(self, call: PendingCall, exchange: ClientExchange) -> None:
        self.call = call
        self.exchange = exchange

    def stage(self) -> AttemptStage:
        """Return how far the attempt has progressed, as far as this process knows."""
        if self.call.was_sent():
            return AttemptStage.WRITTEN
        return AttemptStage.CONNECTED if self.call.connection.is_open else AttemptStage.CONNECTING

    def abort(self) -> None:
        """Cancel the attempt; it does not count as possibly executed if it was never sent."""
        self.exchange.possible_executions -= self.call.cancel()
