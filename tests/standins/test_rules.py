"""The checks of the rules find each violation, and report nothing else."""

from __future__ import annotations

from dataclasses import replace

import pytest

from standins.load_generator import ClientAttempt, ClientLog, ClientOutcome, percentile
from standins.request_log import ExecutionState, RequestLog, RequestLogEntry
from standins.rules import RuleViolation, check_rules

SERVED = ClientAttempt(1, "a", "charge", "unsafe", "c-1", "", 10.0, 11.0, ClientOutcome.ANSWERED, 200, 10.2)
EXECUTED = RequestLogEntry(
    "c-1", "", "s1", 0, 10.05, 10.06, ExecutionState.EXECUTED, 10.06, 10.1, "answered 200"
)


def rules(violations: list[RuleViolation]) -> list[int]:
    return [violation.rule for violation in violations]


def test_a_request_that_was_served_once_breaks_no_rule() -> None:
    assert check_rules(ClientLog([SERVED]), RequestLog([EXECUTED]), {"s1": 10.0}) == []


def test_a_safe_request_may_run_twice_and_a_rejected_one_may_be_retried() -> None:
    safe = replace(SERVED, effect="safe")
    assert check_rules(ClientLog([safe]), RequestLog([EXECUTED, replace(EXECUTED, server="s2")])) == []
    rejected = replace(SERVED, status=503)
    retry = replace(SERVED, request="c-2", sent_at=10.3, ended_at=10.5)
    assert check_rules(ClientLog([rejected, retry]), RequestLog([replace(EXECUTED, request="c-2")])) == []


@pytest.mark.parametrize(
    ("client_log", "request_log", "rule"),
    [
        ([replace(SERVED, outcome=ClientOutcome.CONNECTION_LOST)], [EXECUTED], 1),
        ([replace(SERVED, outcome=ClientOutcome.TIMED_OUT)], [EXECUTED], 1),
        ([replace(SERVED, outcome=ClientOutcome.PENDING)], [EXECUTED], 1),
        ([SERVED], [EXECUTED, replace(EXECUTED, executed_at=None, first_byte_at=10.3)], 1),
        ([replace(SERVED, resent_at=10.2, ended_at=10.4)], [EXECUTED], 1),
        ([], [EXECUTED], 1),
        ([SERVED], [EXECUTED, replace(EXECUTED, server="s2")], 2),
        ([replace(SERVED, effect="keyed")], [EXECUTED, replace(EXECUTED, server="s2", cell=1)], 2),
        ([replace(SERVED, status=503)], [EXECUTED], 2),
        (
            [replace(SERVED, status=503), replace(SERVED, request="c-2")],
            [EXECUTED, replace(EXECUTED, request="c-2")],
            2,
        ),
    ],
)
def test_each_violation_of_the_first_two_rules_is_found(
    client_log: list[ClientAttempt], request_log: list[RequestLogEntry], rule: int
) -> None:
    assert rule in rules(check_rules(ClientLog(client_log), RequestLog(request_log)))


def test_a_drain_violation_is_found_from_a_quarter_of_a_second_on() -> None:
    for notified_at, expected in ((9.9, []), (9.7, [3])):
        assert (
            rules(check_rules(ClientLog([SERVED]), RequestLog([EXECUTED]), {"s1": notified_at})) == expected
        )


def test_an_overload_crash_is_found() -> None:
    assert rules(check_rules(ClientLog([SERVED]), RequestLog([EXECUTED], [("s1", 10.0)]))) == [4]


def test_percentiles_of_few_and_of_no_values() -> None:
    assert (percentile([], 0.5), percentile([3.0, 1.0, 2.0], 0.5), percentile([1.0], 0.99)) == (0.0, 2.0, 1.0)
