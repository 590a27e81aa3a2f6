"""Defects planted in the exchange, to test its checks: each defect must be found."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

from cometdoor.balancing.api import Outcome
from cometdoor.dataplane import attempt_replies, backend_responses, inbound_proxy, inbound_request
from cometdoor.host.attempt_outcome import AttemptResult, AttemptStage, FailureKind, result_of_failure
from cometdoor.http import backend_connection, backend_pool, response_parser
from cometdoor.http.client_connection import ClientConnection
from cometdoor.http.messages import BadRequestError, Response
from cometdoor.keys.operations import KeyedOperations
from cometdoor.wire import peer_connection
from cometdoor.wire.peer_connection import PeerError
from simulation.exchange.expectations import ExchangeViolation
from simulation.exchange.fuzz import HOPS, fuzz
from simulation.exchange.fuzz_backend import ResponseForm, SendBytes, SendRequest, Step
from simulation.exchange.fuzz_backend import play as play_plan
from simulation.exchange.play_tables import play
from simulation.exchange.scripted_transports import UNLIMITED_BYTES

PlantedDefect = AbstractContextManager[Any]
EXAMPLES = 300  # plans for each hop; a third of them finds every defect that only plans find


def _retries_after_reset() -> PlantedDefect:
    """Treats a reset of a reused connection after the request was written as an idle connection's close."""

    def treat_as_idle_close(
        stage: AttemptStage,
        failure: FailureKind,
        is_reused: bool = False,
        partial_request_may_run: bool = False,
    ) -> AttemptResult:
        if stage is AttemptStage.WRITTEN and is_reused and failure is FailureKind.RESET:
            return AttemptResult(Outcome.DISCONNECTED, 0.0)
        return result_of_failure(stage, failure, is_reused, partial_request_may_run)

    return mock.patch.object(backend_connection, "result_of_failure", treat_as_idle_close)


def _treats_partial_request_as_not_executed() -> PlantedDefect:
    """Ignores that the backend may execute a partially written request."""
    return mock.patch.object(
        backend_connection,
        "result_of_failure",
        lambda stage, failure, is_reused, partial_request_may_run: result_of_failure(
            stage, failure, is_reused
        ),
    )


def _reuses_after_extra_bytes() -> PlantedDefect:
    """Reuses a connection on which bytes arrived after the response."""
    return mock.patch.object(
        backend_connection.BackendConnection,
        "_may_be_reused",
        lambda connection, result: not connection.is_closed,
    )


def _ignores_line_ends() -> PlantedDefect:
    """Passes bytes to the parser without checking line ends between responses."""
    return mock.patch.object(
        response_parser.ResponseParser,
        "feed",
        lambda parser, data: parser._parser.feed_data(data),
    )


def _skips_id_comparison() -> PlantedDefect:
    """Accepts any response as that of the pending request."""
    return mock.patch.object(
        inbound_request,
        "correlate_response",
        lambda response, id: response_parser.ResponseCorrelation.MATCHES,
    )


def _accepts_responses_without_id() -> PlantedDefect:
    """Accepts a response that has no attempt id."""
    correlate_response = backend_responses.correlate_response

    def accept_missing_id(response: Response, id: bytes) -> response_parser.ResponseCorrelation:
        if not backend_responses.header_value(response, backend_responses.ATTEMPT_ID_HEADER):
            return response_parser.ResponseCorrelation.MATCHES
        return correlate_response(response, id)

    return mock.patch.object(inbound_request, "correlate_response", accept_missing_id)


def _forgets_failed_request_ids() -> PlantedDefect:
    """Resends a rejected request on a connection where a second response to it may still arrive."""
    acquire_idle = backend_pool.BackendConnectionPool._acquire_idle

    def acquire_for_any_request(
        pool: backend_pool.BackendConnectionPool, server: str, is_not_idempotent: bool, request_id: bytes
    ) -> backend_connection.BackendConnection | None:
        return acquire_idle(pool, server, is_not_idempotent, b"")

    return mock.patch.object(backend_pool.BackendConnectionPool, "_acquire_idle", acquire_for_any_request)


def _treats_lost_connection_as_not_sent() -> PlantedDefect:
    """Reports a call whose peer connection was lost as one that the peer never read."""

    def report_as_unsent(step: str, peer: str, reason: str, may_have_arrived: bool) -> PeerError:
        return PeerError(step, peer, reason, False)

    return mock.patch.object(peer_connection, "PeerError", report_as_unsent)


def _accepts_contradictory_outcome() -> PlantedDefect:
    """Accepts `AttemptFailed` with an outcome that means that nothing was executed."""
    return mock.patch.object(
        attempt_replies, "POSSIBLY_EXECUTED_OUTCOMES", {outcome.value: outcome for outcome in Outcome}
    )


def _executes_cancelled_request() -> PlantedDefect:
    """Executes a request that was cancelled while it waited for a slot."""
    on_cancelled = inbound_proxy.InboundProxy._on_cancelled

    def cancel_only_in_flight(
        self: inbound_proxy.InboundProxy, request: inbound_request.InboundRequest
    ) -> None:
        if request in self._in_flight:
            on_cancelled(self, request)

    return mock.patch.object(inbound_proxy.InboundProxy, "_on_cancelled", cancel_only_in_flight)


def _forwards_requests_before_malformed_input() -> PlantedDefect:
    """Forwards pipelined requests that precede malformed input, although the client got 400."""
    reject_input = ClientConnection._reject_input

    def reject_but_keep_pipelined(connection: ClientConnection, problem: BadRequestError) -> None:
        pipelined = list(connection._pipelined)
        reject_input(connection, problem)
        connection._pipelined.extendleft(reversed(pipelined))

    return mock.patch.object(ClientConnection, "_reject_input", reject_but_keep_pipelined)


def _executes_failed_key_again() -> PlantedDefect:
    """Treats a failed execution of a key as if the request had not been executed."""

    def release(operations: KeyedOperations[Any], key: str) -> list[Any]:
        return operations.on_not_executed(key, now=0.0)

    return mock.patch.object(KeyedOperations, "on_execution_failed", release)


def _keeps_released_key() -> PlantedDefect:
    """Executes a key here after it was released to another proxy."""

    def notify_and_keep(operations: KeyedOperations[Any], operation: Any) -> None:
        table, stage = dict(operations._operations), operation.stage
        notify_listeners(operations, operation)
        operations._operations.update(table)
        operation.stage = stage

    notify_listeners = KeyedOperations._notify_listeners
    return mock.patch.object(KeyedOperations, "_notify_listeners", notify_and_keep)


DEFECTS: dict[str, Callable[[], PlantedDefect]] = {
    "retries after a reset of a connection on which the request was written": _retries_after_reset,
    "counts a partially written request as not executed": _treats_partial_request_as_not_executed,
    "reuses a connection after extra bytes": _reuses_after_extra_bytes,
    "ignores line ends after a response": _ignores_line_ends,
    "accepts a response without comparing ids": _skips_id_comparison,
    "accepts a response without an id": _accepts_responses_without_id,
    "sends one id twice on a connection": _forgets_failed_request_ids,
    "counts a call on a lost connection as not executed": _treats_lost_connection_as_not_sent,
    "accepts a contradictory outcome from a proxy": _accepts_contradictory_outcome,
    "executes a request that was cancelled while it waited": _executes_cancelled_request,
    "forwards pipelined requests before malformed input": _forwards_requests_before_malformed_input,
    "executes a key again whose execution failed": _executes_failed_key_again,
    "keeps a key that was released to another proxy": _keeps_released_key,
}


# Plans for defects that only certain events reveal. The correct code passes them.
COUNTEREXAMPLES: dict[str, list[Step]] = {
    "sends one id twice on a connection": [
        SendRequest(True, UNLIMITED_BYTES),
        SendBytes(
            0, (ResponseForm.OWN,), executes=False, status=503, chunks=1, sixteenths_sent=16, closes=False
        ),
        SendBytes(
            0,
            (ResponseForm.LATE_RESPONSE,),
            executes=True,
            status=0,
            chunks=1,
            sixteenths_sent=16,
            closes=False,
        ),
    ],
}


def find_by_table(name: str) -> str:
    """Return the first table cell that the code with the defect violates; empty: none."""
    with DEFECTS[name]():
        return next(iter(play(stop_at_first=True).violations), "")


def find_by_fuzzing(name: str) -> str:
    """Return the violation that a generated plan finds in the code with the defect; empty: none."""
    with DEFECTS[name]():
        for hop in HOPS:
            try:
                fuzz(hop, EXAMPLES, is_shrunk=False)
            except ExchangeViolation as problem:
                return str(problem)
    return ""


def find_by_counterexample(name: str) -> str:
    """Return the violation that the defect's counterexample, if it has one, finds in it; empty: none."""
    with DEFECTS[name]():
        try:
            play_plan(COUNTEREXAMPLES.get(name, []))
        except ExchangeViolation as problem:
            return str(problem)
    return ""


def find_violation(name: str) -> str:
    """Return the first violation that the checks find in the code with the defect; empty: none."""
    return find_by_table(name) or find_by_counterexample(name) or find_by_fuzzing(name)
