"""Closing of idle connections after one was dropped while idle."""

from __future__ import annotations

import pytest

from cometdoor.balancing import api, attempts
from cometdoor.balancing.api import Outcome
from tests.balancing.drivers import (
    UNSAFE_INDEX,
    make_checker,
    serve,
)
from tests.balancing.harness import RuleChecker, endpoints


def make_checker_after_reset(idle_ms: float, reset_after_ms: float) -> RuleChecker:
    """Return a checker after a reset, `reset_after_ms` after a send on a connection idle for `idle_ms`."""
    checker = make_checker(*endpoints(1))
    serve(checker, 1)
    checker.advance(idle_ms)
    checker.request("lost", UNSAFE_INDEX)
    checker.advance(reset_after_ms)
    checker.end_attempt("lost", 0, Outcome.RESET)
    serve(checker, 1, tag="b")
    return checker


def closes_idle_connections(checker: RuleChecker, idle_ms: float, tag: str) -> bool:
    checker.advance(idle_ms)
    actions = checker.request(tag, UNSAFE_INDEX)
    checker.advance(10.0)
    checker.end_attempt(tag, 0, Outcome.OK)
    return api.CloseIdleConnections("s0") in actions


def test_connections_idle_as_long_as_a_lost_one_are_closed_before_reuse() -> None:
    """Day valle rough-1: a sixth of all requests were reset, and unsafe ones can't be retried."""
    checker = make_checker_after_reset(2000.0, 1.0)
    assert not closes_idle_connections(checker, 900.0, "early")
    assert closes_idle_connections(checker, 1100.0, "late")
    assert not closes_idle_connections(checker, attempts.IDLE_LOSS_MEMORY_MS, "forgotten")


def test_further_idle_connections_are_closed_after_a_loss() -> None:
    checker = make_checker_after_reset(2000.0, 1.0)
    checker.request("first", UNSAFE_INDEX)
    assert api.CloseIdleConnections("s0") in checker.request("second", UNSAFE_INDEX)


@pytest.mark.parametrize(("idle_ms", "reset_after_ms"), [(2000.0, 600.0), (0.0, 1.0)])
def test_a_reset_during_execution_is_not_an_idle_connection_loss(
    idle_ms: float, reset_after_ms: float
) -> None:
    checker = make_checker_after_reset(idle_ms, reset_after_ms)
    assert not closes_idle_connections(checker, 1900.0, "late")


def test_a_lost_idle_connection_is_no_failure_of_its_server() -> None:
    checker = make_checker_after_reset(2000.0, 1.0)
    assert checker.balancer._selection.endpoints["s0"].failures.total == 0.0
