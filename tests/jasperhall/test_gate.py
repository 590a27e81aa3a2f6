"""The backup gate: the windowed share of backups among completed legs."""

from __future__ import annotations

import pytest

from jasperhall import tries
from jasperhall.tries import BackupGate


def do_backup(gate: BackupGate, now: float) -> bool:
    """A copy leaves where the gate is open."""
    allowed = gate.is_open(now)
    if allowed:
        gate.backup_sent(now)
    return allowed


LATER = 5000.0
AFTER_WINDOW = tries.WINDOW_MS + 2000.0


def test_an_idle_gate_opens_at_once() -> None:
    assert do_backup(BackupGate(), 0.0)


def test_backups_without_a_completed_leg_close_it() -> None:
    gate = BackupGate()
    assert do_backup(gate, 0.0)
    assert not do_backup(gate, LATER)


def test_the_ratio_is_fresh_at_each_decision() -> None:
    """Day guanacaste big-2: a ratio kept for 5 s let bursts of copies through at each of 574 balancers."""
    gate = BackupGate()
    assert [do_backup(gate, 1.0 * ms) for ms in range(3)] == [True, False, False]
    for _ in range(30):
        gate.leg_completed(3.0)
    assert [do_backup(gate, 4.0), do_backup(gate, 5.0)] == [True, False]


@pytest.mark.parametrize(("legs", "allowed"), [(19, False), (20, False), (21, True)])
def test_the_cap_itself_closes_it(legs: int, allowed: bool) -> None:
    assert tries.MAX_BACKUP_RATIO == 0.05
    gate = BackupGate()
    assert do_backup(gate, 0.0)
    for _ in range(legs):
        gate.leg_completed(10.0)
    assert do_backup(gate, LATER) is allowed


def test_completions_open_it_again() -> None:
    gate = BackupGate()
    for _ in range(20):
        do_backup(gate, 0.0)
    assert not do_backup(gate, LATER)
    for _ in range(400):
        gate.leg_completed(LATER + 1)
    assert do_backup(gate, 2 * LATER)


@pytest.mark.parametrize(("legs", "allowed"), [(5, False), (500, True)])
def test_an_empty_window_falls_back_to_the_lifetime(legs: int, allowed: bool) -> None:
    gate = BackupGate()
    assert do_backup(gate, 0.0)
    for _ in range(legs):
        gate.leg_completed(0.0)
    assert do_backup(gate, AFTER_WINDOW) is allowed


def test_what_left_the_window_no_longer_counts() -> None:
    gate = BackupGate()
    for _ in range(20):
        do_backup(gate, 0.0)
    for _ in range(5):
        gate.leg_completed(AFTER_WINDOW)
    assert do_backup(gate, AFTER_WINDOW)


def test_a_gate_that_is_never_asked_keeps_no_more_than_its_window() -> None:
    gate = BackupGate()
    for second in range(1000):
        gate.leg_completed(1000.0 * second)
    assert len(gate._seconds) <= tries.WINDOW_MS / 1000.0 + 2
