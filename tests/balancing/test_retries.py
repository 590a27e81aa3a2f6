"""Outcomes of attempts, retries after failures, and their budget."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cometdoor.balancing import api, balancer
from cometdoor.balancing.api import Outcome
from tests.balancing.drivers import (
    HEDGE_DELAY_MS,
    KEYED_ALL_INDEX,
    KEYED_INDEX,
    SAFE_INDEX,
    UNSAFE_INDEX,
    make_checker,
    sent_to,
)
from tests.balancing.harness import KEYED, KEYED_ALL, SAFE, SETTINGS, UNSAFE, RuleChecker, endpoints

FAILURES = [o for o in Outcome if o not in (Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED)]


@pytest.mark.parametrize("outcome", FAILURES)
@pytest.mark.parametrize("cls", [SAFE, KEYED, KEYED_ALL, UNSAFE])
def test_a_failed_attempt_is_retried_where_its_class_allows(cls: api.RequestClass, outcome: Outcome) -> None:
    checker = make_checker(*endpoints(9))
    checker.request("r", SETTINGS.classes.index(cls))
    actions = checker.end_attempt("r", 0, outcome)
    if cls is UNSAFE and outcome not in api.NOT_EXECUTED:
        assert actions == [api.Fail("r")]
    else:
        assert len(sent_to(actions)) == 1
        assert checker.requests["r"].sent[0].server != checker.requests["r"].sent[1].server


def test_a_safe_request_is_not_retried_at_the_server_that_failed_it() -> None:
    checker = make_checker(*endpoints(1))
    checker.request("r")
    assert not sent_to(checker.end_attempt("r", 0, Outcome.ERROR))


def test_a_keyed_request_is_retried_at_the_only_server_of_its_cell() -> None:
    """Over sockets a zone had one server: each of its errors failed a request; the class was served worst."""
    servers = (api.Endpoint("a", cell=0), api.Endpoint("b", cell=1), api.Endpoint("c", cell=2))
    checker = make_checker(*servers)
    (first,) = sent_to(checker.request("r", KEYED_INDEX))
    assert sent_to(checker.end_attempt("r", 0, Outcome.ERROR)) == [first]
    checker.end_attempt("r", 1, Outcome.OK)
    (rejecting,) = sent_to(checker.request("f", KEYED_INDEX))
    others = {name for i in range(2) for name in sent_to(checker.end_attempt("f", i, Outcome.REJECTED))}
    assert len(others) == 2 and rejecting not in others
    # A server that rejected the request is not tried again.
    assert not sent_to(checker.end_attempt("f", 2, Outcome.REJECTED))


def test_a_keyed_request_is_not_retried_after_its_key_may_have_expired() -> None:
    settings = replace(SETTINGS, classes=(replace(KEYED_ALL, late_value=0.2),))
    checker = make_checker(*endpoints(9), settings=settings)
    checker.request("r")
    checker.advance(KEYED_ALL.key_ttl_ms + 1)
    assert checker.end_attempt("r", 1, Outcome.CONNECT_FAILED) == []
    assert checker.end_attempt("r", 0, Outcome.ERROR) == [
        api.Reject("r", balancer.MAX_QUEUE_WAIT_SHARE * KEYED_ALL.latency_target_ms)
    ]


def test_the_first_attempt_that_may_have_executed_determines_the_cell() -> None:
    """Deduplication scope and key TTL are those of the first attempt that may have been executed."""
    checker = make_checker(*endpoints(9))
    checker.request("r", KEYED_INDEX)
    checker.end_attempt("r", 0, Outcome.CONNECT_FAILED)
    checker.end_attempt("r", 1, Outcome.ERROR)
    cells = [sent.server.cell for sent in checker.requests["r"].sent]
    assert len(cells) == 3 and cells[1] == cells[2]


def test_a_broken_stream_is_not_retried() -> None:
    settings = replace(SETTINGS, classes=(replace(SAFE, stream=True),))
    checker = make_checker(*endpoints(4), settings=settings)
    checker.request("r")
    checker.feed(api.StreamStarted("r", 0))
    server = checker.requests["r"].sent[0].server.name
    assert not sent_to(checker.feed(api.AttemptEnded("r", 0, server, Outcome.RESET, is_final=False)))


@pytest.mark.parametrize(
    ("cls", "answer"), [(SAFE, api.Reject), (KEYED, api.Fail), (KEYED_ALL, api.Reject), (UNSAFE, api.Fail)]
)
def test_a_request_past_its_deadline_gets_its_final_answer(cls: api.RequestClass, answer: type) -> None:
    checker = make_checker(*endpoints(9))
    checker.request("r", SETTINGS.classes.index(cls), remaining_ms=100.0)
    checker.advance(101.0)
    assert [type(a) for a in checker.log if isinstance(a, api.Reject | api.Fail)] == [answer]


def test_attempts_are_cancelled_when_their_client_disconnects() -> None:
    checker = make_checker(*endpoints(4))
    checker.request("r")
    assert checker.disconnect("r") == [api.Cancel("r", 0)]
    assert checker.end_attempt("r", 0, Outcome.ERROR) == []


def count_retries(checker: RuleChecker, count: int, outcome: Outcome = Outcome.ERROR, tag: str = "r") -> int:
    """Return the number of retries for concurrent requests whose every attempt fails."""
    before = sum(isinstance(action, api.Send) for action in checker.log)
    for number in range(count):
        checker.request(f"{tag}{number}")
        while pending := checker.requests[f"{tag}{number}"].outstanding():
            checker.end_attempt(f"{tag}{number}", pending[0], outcome)
    return sum(isinstance(action, api.Send) for action in checker.log) - before - count


def test_retries_stay_within_the_default_budget_if_none_is_configured() -> None:
    """If all servers fail, each tier would multiply the requests by its allowed attempts."""
    budget = balancer.DEFAULT_RETRY_BUDGET
    retries = count_retries(make_checker(*endpoints(9)), 200)
    assert 0 < retries <= budget.floor + budget.per_request * 200


BUDGET = api.RetryBudget(floor=2.0, per_request=0.1, window_ms=5000.0)


def make_checker_with_budget(budget: api.RetryBudget = BUDGET) -> RuleChecker:
    return make_checker(*endpoints(9), settings=replace(SETTINGS, retry_budget=budget))


def test_the_retry_budget_is_used_completely_and_not_exceeded() -> None:
    assert count_retries(make_checker_with_budget(), 30) == 5


@pytest.mark.parametrize(("floor", "retries"), [(0.0, 3), (7.0, 10), (-2.0, 1), (-50.0, 0)])
def test_a_changed_share_of_the_retry_budget_applies_immediately(floor: float, retries: int) -> None:
    checker = make_checker_with_budget()
    checker.settings = replace(SETTINGS, retry_budget=replace(BUDGET, floor=max(floor, 0.0)))
    checker.feed(api.BudgetChanged(floor))
    assert count_retries(checker, 30) == retries


@pytest.mark.parametrize(("later_ms", "retries"), [(4999.0, 0), (5000.0, 0), (5001.0, 2)])
def test_a_retry_counts_until_it_leaves_the_window(later_ms: float, retries: int) -> None:
    checker = make_checker_with_budget()
    assert count_retries(checker, 5) == 2
    checker.advance(later_ms)
    assert count_retries(checker, 4, tag="b") == retries


@pytest.mark.parametrize(("later_ms", "retries"), [(4999.0, 1), (5000.0, 0)])
def test_a_request_adds_no_budget_after_it_leaves_the_window(later_ms: float, retries: int) -> None:
    checker = make_checker_with_budget(replace(BUDGET, floor=0.0))
    for number in range(9):
        checker.request(f"q{number}")
        checker.end_attempt(f"q{number}", 0, Outcome.OK)
    checker.advance(later_ms)
    assert count_retries(checker, 1) == retries


def test_rejected_requests_add_retry_budget() -> None:
    checker = RuleChecker(replace(SETTINGS, retry_budget=replace(BUDGET, floor=0.0)))
    for number in range(9):
        assert checker.request(f"q{number}") == [
            api.Reject(f"q{number}", balancer.MAX_QUEUE_WAIT_SHARE * SAFE.latency_target_ms)
        ]
    checker.list_servers(*endpoints(9))
    assert count_retries(checker, 1) == 1


def test_an_attempt_that_was_not_sent_uses_no_budget() -> None:
    checker = make_checker_with_budget(replace(BUDGET, floor=1.0, per_request=0.0))
    checker.request("r")
    checker.end_attempt("r", 0, Outcome.ERROR)
    checker.end_attempt("r", 1, Outcome.NOT_SENT)
    assert len(checker.requests["r"].sent) == 3


def test_hedges_and_retries_share_one_budget() -> None:
    checker = make_checker_with_budget(replace(BUDGET, floor=1.0, per_request=0.0))
    checker.request("r")
    checker.advance(HEDGE_DELAY_MS + 1)
    assert len(checker.requests["r"].sent) == 2
    assert count_retries(checker, 3, tag="b") == 0


@pytest.mark.parametrize(
    ("class_index", "answer"),
    [
        (SAFE_INDEX, api.Reject),
        (KEYED_INDEX, api.Fail),
        (KEYED_ALL_INDEX, api.Reject),
        (UNSAFE_INDEX, api.Fail),
    ],
)
def test_a_request_gets_its_final_answer_when_the_budget_is_exhausted(class_index: int, answer: type) -> None:
    checker = make_checker_with_budget(api.RetryBudget())
    checker.request("r", class_index)
    assert [type(action) for action in checker.end_attempt("r", 0, Outcome.ERROR)] == [answer]
