"""The hedge gate: it limits the ratio of hedges to completed attempts in a sliding window."""

from __future__ import annotations

import pytest

from cometdoor.balancing import attempts
from cometdoor.balancing.attempts import HedgeGate


def hedge_if_open(gate: HedgeGate, now: float) -> bool:
    """Count a hedge if the gate is open, and return whether it was."""
    allowed = gate.is_open(now)
    if allowed:
        gate.on_hedge_sent(now)
    return allowed


LATER_MS = 5000.0
AFTER_WINDOW_MS = attempts.HEDGE_WINDOW_MS + 2000.0


def test_an_idle_gate_is_open() -> None:
    assert hedge_if_open(HedgeGate(), 0.0)


def test_hedges_without_a_completed_attempt_close_the_gate() -> None:
    gate = HedgeGate()
    assert hedge_if_open(gate, 0.0)
    assert not hedge_if_open(gate, LATER_MS)


def test_the_hedge_ratio_is_computed_at_each_decision() -> None:
    """Day guanacaste big-2: a ratio cached for 5 s allowed bursts of hedges at each of 574 balancers."""
    gate = HedgeGate()
    assert [hedge_if_open(gate, 1.0 * ms) for ms in range(3)] == [True, False, False]
    for _ in range(30):
        gate.on_attempt_completed(3.0)
    assert [hedge_if_open(gate, 4.0), hedge_if_open(gate, 5.0)] == [True, False]


@pytest.mark.parametrize(("completed_attempts", "allowed"), [(19, False), (20, False), (21, True)])
def test_the_gate_is_closed_at_its_maximum_ratio(completed_attempts: int, allowed: bool) -> None:
    assert attempts.MAX_HEDGE_RATIO == 0.05
    gate = HedgeGate()
    assert hedge_if_open(gate, 0.0)
    for _ in range(completed_attempts):
        gate.on_attempt_completed(10.0)
    assert hedge_if_open(gate, LATER_MS) is allowed


def test_completed_attempts_reopen_the_gate() -> None:
    gate = HedgeGate()
    for _ in range(20):
        hedge_if_open(gate, 0.0)
    assert not hedge_if_open(gate, LATER_MS)
    for _ in range(400):
        gate.on_attempt_completed(LATER_MS + 1)
    assert hedge_if_open(gate, 2 * LATER_MS)


@pytest.mark.parametrize(("completed_attempts", "allowed"), [(5, False), (500, True)])
def test_an_empty_window_falls_back_to_the_lifetime_ratio(completed_attempts: int, allowed: bool) -> None:
    gate = HedgeGate()
    assert hedge_if_open(gate, 0.0)
    for _ in range(completed_attempts):
        gate.on_attempt_completed(0.0)
    assert hedge_if_open(gate, AFTER_WINDOW_MS) is allowed


def test_hedges_outside_the_window_do_not_count() -> None:
    gate = HedgeGate()
    for _ in range(20):
        hedge_if_open(gate, 0.0)
    for _ in range(5):
        gate.on_attempt_completed(AFTER_WINDOW_MS)
    assert hedge_if_open(gate, AFTER_WINDOW_MS)


def test_an_unused_gate_retains_only_its_window() -> None:
    gate = HedgeGate()
    for second in range(1000):
        gate.on_attempt_completed(1000.0 * second)
    assert len(gate._seconds) <= attempts.HEDGE_WINDOW_MS / 1000.0 + 2
