"""Hedged requests, cancellation of losing attempts, and streams."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cometdoor.balancing import api
from cometdoor.balancing.api import Outcome
from tests.balancing.drivers import (
    HEDGE_DELAY_MS,
    KEYED_INDEX,
    SAFE_INDEX,
    UNSAFE_INDEX,
    make_checker,
)
from tests.balancing.harness import SAFE, SETTINGS, endpoints


def test_one_hedge_is_sent_after_the_delay_and_the_losing_attempt_is_cancelled() -> None:
    checker = make_checker(*endpoints(4))
    checker.request("r")
    checker.advance(HEDGE_DELAY_MS - 1)
    assert len(checker.requests["r"].sent) == 1
    checker.advance(HEDGE_DELAY_MS / 2)
    first, hedge = checker.requests["r"].sent
    assert hedge.server != first.server
    assert checker.end_attempt("r", 1, Outcome.OK) == [api.Cancel("r", 0)]


def test_an_answered_request_is_not_hedged() -> None:
    checker = make_checker(*endpoints(4))
    checker.request("r")
    checker.end_attempt("r", 0, Outcome.OK)
    checker.advance(3 * HEDGE_DELAY_MS)
    assert len(checker.requests["r"].sent) == 1


@pytest.mark.parametrize(
    ("class_index", "changes", "hedges"),
    [
        (SAFE_INDEX, {}, 1),
        (SAFE_INDEX, {"may_duplicate": False}, 0),
        (SAFE_INDEX, {"max_attempts": 1}, 0),
        (KEYED_INDEX, {}, 1),
        (UNSAFE_INDEX, {}, 0),
    ],
)
def test_hedges_are_sent_only_where_permitted(class_index: int, changes: dict[str, int], hedges: int) -> None:
    checker = make_checker(*endpoints(9), settings=replace(SETTINGS, **changes))  # type: ignore[arg-type]
    checker.request("r", class_index)
    checker.advance(HEDGE_DELAY_MS + 1)
    assert len(checker.requests["r"].sent) == 1 + hedges
    assert len({sent.server.cell for sent in checker.requests["r"].sent}) <= 1 + (class_index == SAFE_INDEX)


def test_the_losing_attempt_continues_where_cancellation_is_not_permitted() -> None:
    checker = make_checker(*endpoints(4), settings=replace(SETTINGS, may_cancel=False))
    checker.request("r")
    checker.advance(HEDGE_DELAY_MS + 1)
    assert checker.end_attempt("r", 0, Outcome.OK) == []
    assert checker.end_attempt("r", 1, Outcome.OK) == []


def test_an_attempt_and_its_hedge_that_end_together_give_one_answer() -> None:
    checker = make_checker(*endpoints(4))
    checker.request("r")
    checker.advance(HEDGE_DELAY_MS + 1)
    assert checker.end_attempt("r", 0, Outcome.OK) == [api.Cancel("r", 1)]
    assert checker.end_attempt("r", 1, Outcome.OK) == []
    assert checker.disconnect("r") == []


def test_a_hedge_that_no_server_can_accept_is_not_counted() -> None:
    checker = make_checker(*endpoints(1))
    for number in range(3):
        checker.request(f"r{number}")
    checker.advance(HEDGE_DELAY_MS + 1)
    assert checker.balancer._hedge_gate._lifetime == [0, 0]
    assert all(request.hedge_index == 0 for request in checker.balancer._requests.values())


def test_a_started_stream_is_neither_hedged_nor_timed_out() -> None:
    settings = replace(SETTINGS, classes=(replace(SAFE, stream=True),))
    checker = make_checker(*endpoints(4), settings=settings)
    checker.request("r")
    checker.advance(HEDGE_DELAY_MS + 1)
    assert len(checker.requests["r"].sent) == 2
    assert checker.feed(api.StreamStarted("r", 1)) == [api.Cancel("r", 0)]
    assert checker.end_attempt("r", 0, Outcome.CANCELLED) == []
    checker.requests["r"].answered = "stream"  # the checker applies no deadline from here on
    checker.advance(5 * HEDGE_DELAY_MS)
    assert checker.disconnect("r") == []
    assert len(checker.requests["r"].sent) == 2


def test_a_stream_is_not_hedged() -> None:
    settings = replace(SETTINGS, classes=(replace(SAFE, stream=True),))
    checker = make_checker(*endpoints(4), settings=settings)
    checker.request("r")
    assert checker.feed(api.StreamStarted("r", 0)) == []
    checker.requests["r"].answered = "stream"
    checker.advance(5 * HEDGE_DELAY_MS)
    assert len(checker.requests["r"].sent) == 1
