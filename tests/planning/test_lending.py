"""Loans of sends to cold servers: whatever becomes of the notes, no window sees more than is lent."""

from __future__ import annotations

from random import Random

import pytest

from cometdoor.planning.lending import LENT_SHARE, Borrower, ColdRules, Lender, Loan

RULES = ColdRules(cold_from=0.3, overload_factor=3.0, fall_ms=2000.0)
RATE = 0.5  # sends in a ms to a warm server
PART = LENT_SHARE * RULES.window_sends(RATE)  # 180, of all planners in one window
SPAN = 4000.0  # fresh, loan and window


def lender(planners: int = 3, now: float = -SPAN) -> Lender:
    return Lender(RULES, planners, now)


def test_a_planner_lends_its_part_and_no_more_until_the_loans_are_over() -> None:
    planner = lender()
    assert planner.lend("s", 1, RATE, 50, 0.0) == Loan("s", 1, 50)
    assert planner.lend("s", 1, RATE, 50, 10.0) == Loan("s", 1, 10)
    assert planner.lend("s", 1, RATE, 50, 3999.0) is None
    assert planner.lend("t", 1, RATE, 1, 3999.0) == Loan("t", 1, 1)
    assert planner.lend("s", 1, RATE, 70, 4001.0) == Loan("s", 1, 50)


def test_a_server_that_starts_again_has_no_new_budget() -> None:
    planner = lender()
    assert planner.lend("s", 1, RATE, 60, 0.0) is not None
    assert planner.lend("s", 2, RATE, 60, 1000.0) is None


def test_a_planner_that_was_just_started_lends_nothing_that_a_former_life_may_have_lent() -> None:
    planner = lender(now=0.0)
    assert planner.lend("s", 1, RATE, 1, 3999.0) is None
    assert planner.lend("s", 1, RATE, 1, 4000.0) is not None


def test_too_little_traffic_to_lend_of_lends_nothing() -> None:
    assert lender().lend("s", 1, 0.001, 5, 0.0) is None
    assert lender().lend("s", 1, RATE, 0, 0.0) is None


def test_old_loans_are_forgotten() -> None:
    planner = lender()
    planner.lend("s", 1, RATE, 1, 0.0)
    planner.forget_old(9000.0)
    assert not planner._lent


def test_a_loan_is_good_for_its_start_and_its_time() -> None:
    borrower = Borrower()
    assert borrower.receive(Loan("s", 1, 2), 500.0, 0.0)
    assert borrower.receive(Loan("s", 2, 1), 500.0, 100.0)
    assert (borrower.available("s", 1, 0.0), borrower.available("s", 2, 0.0)) == (2, 1)
    assert [borrower.use("s", 1, 10.0) for _ in range(3)] == [True, True, False]
    assert not borrower.use("t", 1, 10.0) and not borrower.use("s", 3, 10.0)
    assert borrower.available("s", 2, 1099.0) == 1 and not borrower.use("s", 2, 1100.0)
    assert not borrower._loans


@pytest.mark.parametrize(("age", "sends"), [(None, 5), (1000.1, 5), (0.0, 0), (0.0, -3)])
def test_a_loan_that_is_late_unproven_or_empty_is_not_taken(age: float | None, sends: int) -> None:
    borrower = Borrower()
    assert not borrower.receive(Loan("s", 1, sends), age, 0.0)
    assert borrower.available("s", 1, 0.0) == 0


@pytest.mark.parametrize("seed", range(200))
def test_no_window_sees_more_than_the_part_whatever_the_network_does(seed: int) -> None:
    """Three planners that lend all that they can, and start anew; forwarders that use all that they get, as
    late or as early as they like. Loans are late, lost and reordered; doubled ones are the wire's to drop."""
    random = Random(seed)
    now, planners = 0.0, [lender() for _ in range(3)]
    forwarders = [Borrower() for _ in range(random.randint(1, 8))]
    flying: list[tuple[float, int, Loan, float]] = []  # arrival, forwarder, loan, when its echo was sent
    sent: list[float] = []
    for _ in range(400):
        now += random.uniform(0.0, 60.0)
        if random.random() < 0.01:
            planners[random.randrange(3)] = lender(now=now)
        planner, forwarder = random.choice(planners), random.randrange(len(forwarders))
        echoed_at = now - random.expovariate(0.01)
        loan = planner.lend("s", random.choice([1, 1, 2]), RATE * random.random(), random.randint(1, 90), now)
        if loan is not None and random.random() < 0.9:
            flying.append((now + random.expovariate(random.choice([0.1, 0.001])), forwarder, loan, echoed_at))
        for one in [one for one in flying if one[0] <= now]:
            flying.remove(one)
            forwarders[one[1]].receive(one[2], now - one[3], now)
        if random.random() < 0.3:
            borrower = random.choice(forwarders)
            while borrower.use("s", 1, now) or borrower.use("s", 2, now):
                sent.append(now)
    for place, at in enumerate(sent):
        assert sum(at <= other < at + RULES.fall_ms for other in sent[place:]) <= PART
