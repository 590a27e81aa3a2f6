"""Every cell of the tables of attempt results."""

from __future__ import annotations

import itertools

import pytest

from cometdoor.balancing.api import Outcome
from cometdoor.host.attempt_outcome import (
    FRESH_CONNECTION_RESULTS,
    REUSED_CONNECTION_RESULTS,
    AttemptResult,
    AttemptStage,
    FailureKind,
    result_of_failure,
    result_of_response,
)

STAGES = list(AttemptStage)
# A connection is not closed and receives no bytes before it is open, and is not refused after that.
IMPOSSIBLE = {
    (AttemptStage.CONNECTING, FailureKind.CLOSED),
    (AttemptStage.CONNECTING, FailureKind.MALFORMED),
    *((stage, FailureKind.REFUSED) for stage in STAGES[1:]),
    *(
        (stage, FailureKind.TOO_LARGE)
        for stage in (AttemptStage.CONNECTING, AttemptStage.CONNECTED, AttemptStage.WRITTEN)
    ),
}
IDLE_CLOSE_FAILURES = {FailureKind.RESET, FailureKind.CLOSED}  # failures of a connection closed while idle


@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize(("stage", "failure"), list(itertools.product(AttemptStage, FailureKind)))
def test_every_failure_at_every_stage_yields_an_outcome_and_blame(
    stage: AttemptStage, failure: FailureKind, is_reused: bool
) -> None:
    if (stage, failure) in IMPOSSIBLE:
        with pytest.raises(KeyError):
            result_of_failure(stage, failure, is_reused)
        return
    result = result_of_failure(stage, failure, is_reused)
    # "Not executed" if and only if the last byte was not written and no response to the partial request was
    # received.
    is_unwritten = STAGES.index(stage) < STAGES.index(AttemptStage.WRITTEN)
    got_response = stage is AttemptStage.PARTIALLY_WRITTEN and failure in (
        FailureKind.MALFORMED,
        FailureKind.TOO_LARGE,
    )
    assert result.is_not_executed == (is_unwritten and not got_response)
    assert result.blame is not None and 0.0 <= result.blame <= 1.0  # failures never improve a server's rating
    assert result.outcome is not Outcome.OK
    is_idle_close = (
        is_reused
        and stage not in (AttemptStage.CONNECTING, AttemptStage.RECEIVING)
        and failure in IDLE_CLOSE_FAILURES
    )
    assert result.closed_while_idle == is_idle_close
    if is_idle_close:
        assert result.blame == 0.0  # a connection closed while idle is not blamed on the server
    assert result.outcome is result_of_failure(stage, failure).outcome  # the same whether fresh or reused


def test_table_has_all_possible_stages_and_failures_and_no_other() -> None:
    assert (
        FRESH_CONNECTION_RESULTS.keys()
        == REUSED_CONNECTION_RESULTS.keys()
        == set(itertools.product(AttemptStage, FailureKind)) - IMPOSSIBLE
    )


def test_complete_response_clears_its_server_unless_it_is_a_failure() -> None:
    results = {
        outcome: result_of_response(outcome) for outcome in (Outcome.OK, Outcome.REJECTED, Outcome.ERROR)
    }
    assert [result.blame for result in results.values()] == [-1.0, 0.0, 0.5]
    assert [result.is_not_executed for result in results.values()] == [False, True, False]
    assert AttemptResult(Outcome.RESET).blame is None
