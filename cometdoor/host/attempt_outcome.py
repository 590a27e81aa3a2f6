"""Results of attempts: whether the request was executed, and how far a failure is blamed on the server.

This module does no I/O. A transport reports how far an exchange had come and how it ended; the tables below
give the result. A request counts as not executed only where that is certain, because a server can't read
bytes that were not written (RFC 9112, 9.3.1, and RFC 9110, 9.2.2). The blame is a weight for the balancer's
outlier detection, from -1 (a normal response) to 1 (a failure by which an unhealthy server ends all
requests). A connection that was closed while idle is not blamed on the server, and failures that the network
may have caused are marked as such.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from cometdoor.balancing.api import NOT_EXECUTED, Outcome


class AttemptStage(Enum):
    """How far an exchange had come, as seen by the sender of the request."""

    CONNECTING = "connecting"
    CONNECTED = "connected"  # no byte of the request was written
    PARTIALLY_WRITTEN = "partially written"  # some bytes were written, but not the last
    WRITTEN = "written"  # all bytes were written; no byte of a response was received
    RECEIVING = "receiving"  # a part of the response was received


class FailureKind(Enum):
    """How an exchange ended without a response."""

    REFUSED = "refused"  # no process listens at the address
    RESET = "reset"  # the connection was reset, or the host is unreachable
    CLOSED = "closed"  # the other side closed the connection without an error
    TIMED_OUT = "timed out"
    MALFORMED = "malformed"  # the received bytes are not a valid response
    TOO_LARGE = "too large"  # the response exceeds the limit for forwarding, or the available memory


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt, for the balancer.

    Attributes
    ----------
    outcome : Outcome
        Whether the attempt succeeded, failed, or was not executed.
    blame : float | None
        Weight against the server, -1 to 1; None: the decision module's default for the outcome.
    closed_while_idle : bool
        Whether the connection was probably closed while idle; others to that server may be closed, too.
    may_be_network_fault : bool
        Whether the failure may be due to the network instead of the server.
    """

    outcome: Outcome
    blame: float | None = None
    closed_while_idle: bool = False
    may_be_network_fault: bool = False

    @property
    def is_not_executed(self) -> bool:
        """Whether it is proven that the request was not executed."""
        return self.outcome in NOT_EXECUTED


# Results on a fresh connection. Missing combinations are impossible, such as a close or a malformed response
# on a connection that is not open yet.
FRESH_CONNECTION_RESULTS = {
    (AttemptStage.CONNECTING, FailureKind.REFUSED): AttemptResult(Outcome.CONNECT_FAILED, 1.0),
    (AttemptStage.CONNECTING, FailureKind.RESET): AttemptResult(
        Outcome.CONNECT_FAILED, 0.5, may_be_network_fault=True
    ),
    (AttemptStage.CONNECTING, FailureKind.TIMED_OUT): AttemptResult(
        Outcome.CONNECT_FAILED, 0.5, may_be_network_fault=True
    ),
    # The connection was accepted, and ended before any byte was read: by a listener without a serving
    # process, a full connection table, or a middlebox.
    (AttemptStage.CONNECTED, FailureKind.RESET): AttemptResult(
        Outcome.DISCONNECTED, 0.5, may_be_network_fault=True
    ),
    (AttemptStage.CONNECTED, FailureKind.CLOSED): AttemptResult(
        Outcome.DISCONNECTED, 0.5, may_be_network_fault=True
    ),
    (AttemptStage.CONNECTED, FailureKind.TIMED_OUT): AttemptResult(
        Outcome.DISCONNECTED, 0.0
    ),  # the deadline passed while the connection opened
    (AttemptStage.CONNECTED, FailureKind.MALFORMED): AttemptResult(
        Outcome.DISCONNECTED, 0.5
    ),  # the server sent bytes before it had received a request
    (AttemptStage.PARTIALLY_WRITTEN, FailureKind.RESET): AttemptResult(
        Outcome.DISCONNECTED, 0.7, may_be_network_fault=True
    ),
    (AttemptStage.PARTIALLY_WRITTEN, FailureKind.CLOSED): AttemptResult(Outcome.DISCONNECTED, 0.7),
    (AttemptStage.PARTIALLY_WRITTEN, FailureKind.TIMED_OUT): AttemptResult(
        Outcome.DISCONNECTED, 1.0
    ),  # the server does not read the request
    (AttemptStage.PARTIALLY_WRITTEN, FailureKind.MALFORMED): AttemptResult(
        Outcome.ERROR, 0.7
    ),  # a response to a partial request
    (AttemptStage.PARTIALLY_WRITTEN, FailureKind.TOO_LARGE): AttemptResult(Outcome.ERROR, 0.0),
    (AttemptStage.WRITTEN, FailureKind.RESET): AttemptResult(Outcome.RESET, 1.0, may_be_network_fault=True),
    (AttemptStage.WRITTEN, FailureKind.CLOSED): AttemptResult(Outcome.RESET, 1.0),
    (AttemptStage.WRITTEN, FailureKind.TIMED_OUT): AttemptResult(Outcome.TIMEOUT, 1.0),
    (AttemptStage.WRITTEN, FailureKind.MALFORMED): AttemptResult(Outcome.ERROR, 0.7),
    (AttemptStage.RECEIVING, FailureKind.RESET): AttemptResult(Outcome.RESET, 1.0, may_be_network_fault=True),
    (AttemptStage.RECEIVING, FailureKind.CLOSED): AttemptResult(Outcome.RESET, 1.0),
    (AttemptStage.RECEIVING, FailureKind.TIMED_OUT): AttemptResult(Outcome.TIMEOUT, 1.0),
    (AttemptStage.RECEIVING, FailureKind.MALFORMED): AttemptResult(Outcome.ERROR, 0.7),
    (AttemptStage.RECEIVING, FailureKind.TOO_LARGE): AttemptResult(Outcome.ERROR, 0.0),
}
# A reused connection that ends before any byte of a response was probably closed while it was idle, by the
# server's idle timeout or by a middlebox. Other connections of the same age are probably closed as well.
REUSED_CONNECTION_RESULTS = FRESH_CONNECTION_RESULTS | {
    (stage, failure): AttemptResult(
        FRESH_CONNECTION_RESULTS[stage, failure].outcome,
        0.0,
        closed_while_idle=True,
        may_be_network_fault=True,
    )
    for stage in (AttemptStage.CONNECTED, AttemptStage.PARTIALLY_WRITTEN, AttemptStage.WRITTEN)
    for failure in (FailureKind.RESET, FailureKind.CLOSED)
}


# For servers that may execute an incomplete request: a partially written request counts as a written one.
PARTIAL_REQUEST_OUTCOMES = {
    (AttemptStage.PARTIALLY_WRITTEN, FailureKind.RESET): Outcome.RESET,
    (AttemptStage.PARTIALLY_WRITTEN, FailureKind.CLOSED): Outcome.RESET,
    (AttemptStage.PARTIALLY_WRITTEN, FailureKind.TIMED_OUT): Outcome.TIMEOUT,
}


def result_of_failure(
    stage: AttemptStage, failure: FailureKind, is_reused: bool = False, partial_request_may_run: bool = False
) -> AttemptResult:
    """Return the result of an attempt that ended without a response.

    Parameters
    ----------
    stage
        How far the exchange had come.
    failure
        How it ended.
    is_reused
        Whether the connection was idle before the exchange.
    partial_request_may_run
        Whether the server may execute a request that it has received only in part.

    Raises
    ------
    KeyError
        If that failure is impossible at that stage.
    """
    result = (REUSED_CONNECTION_RESULTS if is_reused else FRESH_CONNECTION_RESULTS)[stage, failure]
    if partial_request_may_run and (outcome := PARTIAL_REQUEST_OUTCOMES.get((stage, failure))) is not None:
        return replace(result, outcome=outcome)
    return result


def result_of_response(outcome: Outcome) -> AttemptResult:
    """Return the result of an attempt that follows from its outcome, such as that of a complete response.

    A rejection is not blamed on the server, because it is a sign of load and not of a fault.
    """
    return AttemptResult(outcome, {Outcome.OK: -1.0, Outcome.REJECTED: 0.0, Outcome.ERROR: 0.5}.get(outcome))
