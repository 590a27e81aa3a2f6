"""Loans of sends to cold servers: whatever becomes of the notes, no window sees more than is lent."""

from __future__ import annotations

from random import Random

import pytest

from cometdoor.planning.lending import (
    FRESH_MS,
    LENT_SHARE,
    LOAN_MS,
    BadLoan,
    ColdRules,
    Lender,
    Loan,
    read_loan,
    write_loan,
)
from cometdoor.planning.reports import server_id
from jasperhall.api import Server
from jasperhall.members import Member, Side

RULES = ColdRules(cold_from=0.3, overload_factor=3.0, fall_ms=2000.0)
RATE = 0.5  # sends in a ms to a warm server
PART = LENT_SHARE * RULES.window_sends(RATE)  # 180, of all planners in one window
S, T = server_id("s"), server_id("t")
SPAN = 4000.0  # fresh, loan and window


def lender(planners: int = 3, now: float = -SPAN) -> Lender:
    return Lender(RULES, planners, now)


def test_a_planner_lends_its_part_and_no_more_until_the_loans_are_over() -> None:
    planner = lender()
    assert planner.lend(S, 1, RATE, 50, 0.0) == Loan(S, 1, 50)
    assert planner.lend(S, 1, RATE, 50, 10.0) == Loan(S, 1, 10)
    assert planner.lend(S, 1, RATE, 50, 3999.0) is None
    assert planner.lend(T, 1, RATE, 1, 3999.0) == Loan(T, 1, 1)
    assert planner.lend(S, 1, RATE, 70, 4001.0) == Loan(S, 1, 50)


def test_a_server_that_starts_again_has_no_new_budget() -> None:
    planner = lender()
    assert planner.lend(S, 1, RATE, 60, 0.0) is not None
    assert planner.lend(S, 2, RATE, 60, 1000.0) is None


def test_a_planner_that_was_just_started_lends_nothing_that_a_former_life_may_have_lent() -> None:
    planner = lender(now=0.0)
    assert planner.lend(S, 1, RATE, 1, 3999.0) is None
    assert planner.lend(S, 1, RATE, 1, 4000.0) is not None


def test_too_little_traffic_to_lend_of_lends_nothing() -> None:
    assert lender().lend(S, 1, 0.001, 5, 0.0) is None
    assert lender().lend(S, 1, RATE, 0, 0.0) is None


def test_old_loans_are_forgotten() -> None:
    planner = lender()
    planner.lend(S, 1, RATE, 1, 0.0)
    planner.forget_old(9000.0)
    assert not planner._lent


def test_a_loan_is_read_as_it_was_written_and_garbage_is_not() -> None:
    loan = Loan(S, 7, 12)
    assert read_loan(write_loan(loan)) == loan
    for body in (b"", b"x", write_loan(Loan(b"s", 1, 1)), write_loan(Loan(S, 1, 0)), write_loan(loan)[:-1]):
        with pytest.raises(BadLoan):
            read_loan(body)


def member() -> Member:
    """As a forwarder's module keeps its loans."""
    return Member(Server("s"), 1, Side())


@pytest.mark.parametrize("seed", range(200))
def test_no_window_sees_more_than_the_part_whatever_the_network_does(seed: int) -> None:
    """Three planners that lend all that they can, and start anew; forwarders that use all that they get, as
    late or as early as they like. Loans are late, lost and reordered; doubled ones are the wire's to drop."""
    random = Random(seed)
    now, planners = 0.0, [lender() for _ in range(3)]
    forwarders = [member() for _ in range(random.randint(1, 8))]
    flying: list[tuple[float, int, Loan, float]] = []  # arrival, forwarder, loan, when its echo was sent
    sent: list[float] = []
    for _ in range(400):
        now += random.uniform(0.0, 60.0)
        if random.random() < 0.01:
            planners[random.randrange(3)] = lender(now=now)
        planner, forwarder = random.choice(planners), random.randrange(len(forwarders))
        echoed_at = now - random.expovariate(0.01)
        loan = planner.lend(S, random.choice([1, 1, 2]), RATE * random.random(), random.randint(1, 90), now)
        if loan is not None and random.random() < 0.9:
            flying.append((now + random.expovariate(random.choice([0.1, 0.001])), forwarder, loan, echoed_at))
        for one in [one for one in flying if one[0] <= now]:
            flying.remove(one)
            if now - one[3] <= FRESH_MS:
                forwarders[one[1]].lent.append([now + LOAN_MS, one[2].sends])
        if random.random() < 0.3:
            borrower = random.choice(forwarders)
            while borrower.borrows(now, 1):
                sent.append(now)
    for place, at in enumerate(sent):
        assert sum(at <= other < at + RULES.fall_ms for other in sent[place:]) <= PART
