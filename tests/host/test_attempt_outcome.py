"""The table of evidence, every cell of it."""

from __future__ import annotations

import itertools

import pytest

from cometdoor.host.attempt_outcome import FRESH, KEPT, End, Reading, Stage, answered, read
from jasperhall.api import Outcome

STAGES = list(Stage)
# What can't be: nothing is closed or spoilt before there is a connection, refused once there is one.
IMPOSSIBLE = {
    (Stage.CONNECTING, End.CLOSED),
    (Stage.CONNECTING, End.SPOILT),
    *((stage, End.REFUSED) for stage in STAGES[1:]),
    *((stage, End.TOO_LONG) for stage in (Stage.CONNECTING, Stage.OPEN, Stage.WRITTEN)),
}
UNSEEN = {End.BROKEN, End.CLOSED}  # how an idle connection ends without a word


@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize(("stage", "end"), list(itertools.product(Stage, End)))
def test_every_end_at_every_stage_says_whether_the_call_ran_and_whom_to_blame(
    stage: Stage, end: End, kept: bool
) -> None:
    if (stage, end) in IMPOSSIBLE:
        with pytest.raises(KeyError):
            read(stage, end, kept)
        return
    reading = read(stage, end, kept)
    # Rule 2: never ran only where the last byte was not written, and where that is so always, unless an
    # answer came to half a request.
    unwritten = STAGES.index(stage) < STAGES.index(Stage.WRITTEN)
    answer_came = stage is Stage.HALF and end in (End.SPOILT, End.TOO_LONG)
    assert reading.never_ran == (unwritten and not answer_came)
    assert reading.blame is not None and 0.0 <= reading.blame <= 1.0  # no failure speaks for a server
    assert reading.outcome is not Outcome.OK
    unseen = kept and stage not in (Stage.CONNECTING, Stage.ANSWERING) and end in UNSEEN
    assert reading.doubtful == unseen
    if unseen:
        assert reading.blame == 0.0  # a connection dropped while idle is nobody's fault
    assert reading.outcome is read(stage, end).outcome  # kept or fresh: what ran, ran


def test_the_table_holds_what_can_be_and_nothing_else() -> None:
    assert FRESH.keys() == KEPT.keys() == set(itertools.product(Stage, End)) - IMPOSSIBLE


def test_a_whole_answer_speaks_for_its_server_unless_it_is_a_failure() -> None:
    readings = {outcome: answered(outcome) for outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR)}
    assert [reading.blame for reading in readings.values()] == [-1.0, 0.0, 0.5]
    assert [reading.never_ran for reading in readings.values()] == [False, True, False]
    assert Reading(Outcome.RESET).blame is None
