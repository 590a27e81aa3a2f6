"""The checkers of the rules object to each breach, and to nothing else."""

from __future__ import annotations

from dataclasses import replace

import pytest

from standins.ledger import Entry, Fate, Ledger
from standins.load import Book, End, Try, percentile
from standins.rules import Breach, check

SERVED = Try(1, "a", "charge", "unsafe", "c-1", "", 10.0, 11.0, End.ANSWERED, 200, 10.2)
RAN = Entry("c-1", "", "s1", 0, 10.05, 10.06, Fate.RAN, 10.06, 10.1, "answered 200")


def rules(breaches: list[Breach]) -> list[int]:
    return [breach.rule for breach in breaches]


def test_a_request_that_was_served_once_breaks_nothing() -> None:
    assert check(Book([SERVED]), Ledger([RAN]), {"s1": 10.0}) == []


def test_a_safe_request_may_run_twice_and_a_refused_one_may_come_again() -> None:
    safe = replace(SERVED, effect="safe")
    assert check(Book([safe]), Ledger([RAN, replace(RAN, server="s2")])) == []
    refused = replace(SERVED, status=503)
    again = replace(SERVED, request="c-2", sent_at=10.3, ended_at=10.5)
    assert check(Book([refused, again]), Ledger([replace(RAN, request="c-2")])) == []


@pytest.mark.parametrize(
    ("book", "ledger", "rule"),
    [
        ([replace(SERVED, end=End.LOST)], [RAN], 1),
        ([replace(SERVED, end=End.GAVE_UP)], [RAN], 1),
        ([replace(SERVED, end=End.OPEN)], [RAN], 1),
        ([SERVED], [RAN, replace(RAN, ran_at=None, first_byte_at=10.3)], 1),
        ([replace(SERVED, sent_again_at=10.2, ended_at=10.4)], [RAN], 1),
        ([], [RAN], 1),
        ([SERVED], [RAN, replace(RAN, server="s2")], 2),
        ([replace(SERVED, effect="keyed")], [RAN, replace(RAN, server="s2", cell=1)], 2),
        ([replace(SERVED, status=503)], [RAN], 2),
        (
            [replace(SERVED, status=503), replace(SERVED, request="c-2")],
            [RAN, replace(RAN, request="c-2")],
            2,
        ),
    ],
)
def test_each_breach_of_the_first_two_rules_is_seen(book: list[Try], ledger: list[Entry], rule: int) -> None:
    assert rule in rules(check(Book(book), Ledger(ledger)))


def test_a_breach_of_a_drain_is_seen_from_a_quarter_of_a_second_on() -> None:
    for told_at, broken in ((9.9, []), (9.7, [3])):
        assert rules(check(Book([SERVED]), Ledger([RAN]), {"s1": told_at})) == broken


def test_a_server_that_was_pushed_over_is_seen() -> None:
    assert rules(check(Book([SERVED]), Ledger([RAN], [("s1", 10.0)]))) == [4]


def test_percentiles_are_of_what_there_is() -> None:
    assert (percentile([], 0.5), percentile([3.0, 1.0, 2.0], 0.5), percentile([1.0], 0.99)) == (0.0, 2.0, 1.0)
