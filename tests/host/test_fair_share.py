"""Places that are short: guaranteed parts, and a rest that no one holds whole."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cometdoor.host.fair_share import ONE_MAY_HOLD, Descriptors, Share, Stock


def take_all(share: Share) -> int:
    taken = 0
    while share.take():
        taken += 1
    return taken


def test_one_owner_gets_its_part_and_half_of_the_rest_and_the_others_theirs() -> None:
    stock = Stock(100)
    greedy, modest = stock.join(20), stock.join(20)
    assert take_all(greedy) == 20 + 30
    assert take_all(modest) == 20 + 30
    assert stock.held == 100


def test_a_lone_owner_may_hold_all() -> None:
    stock = Stock(10)
    assert take_all(stock.join(5)) == 10


def test_who_holds_most_without_need_gives_way() -> None:
    stock = Stock(10)
    idle: list[Share] = []

    def reclaim() -> bool:
        if not idle:
            return False
        idle.pop().give()
        return True

    first, second, third = stock.join(0, reclaim), stock.join(0), stock.join(0)
    while first.take():
        idle.append(first)
    take_all(second)
    assert stock.held == 10
    assert third.take() and first.held == 4
    idle.clear()
    assert not third.take()


def test_who_left_keeps_what_it_holds_until_it_gives_it_back() -> None:
    stock = Stock(10)
    old = stock.join(5)
    take_all(old)
    stock.leave(old)
    new = stock.join(5)
    assert not new.take()
    old.give()
    assert new.take()


OWNERS = 4
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["take", "give", "guarantee", "leave"]),
        st.integers(0, OWNERS - 1),
        st.integers(0, 12),
    ),
    max_size=200,
)


@given(STEPS, st.integers(1, 40))
def test_no_step_takes_more_than_there_is_or_denies_what_is_guaranteed(
    steps: list[tuple[str, int, int]], total: int
) -> None:
    stock = Stock(total)
    shares = [stock.join(0) for _ in range(OWNERS)]
    everyone = list(shares)
    for what, place, number in steps:
        share = shares[place]
        if what == "take":
            free, held = stock.held < total, share.held
            within = held < share.guaranteed
            took = share.take()
            assert took or not (within and free)
            assert not took or share.held <= max(share.guaranteed, stock.most(share))
        elif what == "give" and share.held:
            share.give()
        elif what == "guarantee":
            others = sum(other.guaranteed for other in shares if other is not share)
            stock.guarantee(share, max(min(number, total - others), 0))
        elif what == "leave":
            stock.leave(share)
            shares[place] = stock.join(0)
            everyone.append(shares[place])
        assert stock.held == sum(share.held for share in everyone) <= total
        assert all(share.held >= 0 for share in everyone)


@given(st.integers(2, 50), st.integers(1, 1000))
def test_nobody_holds_the_whole_rest(owners: int, total: int) -> None:
    stock = Stock(total)
    shares = [stock.join(total // (2 * owners)) for _ in range(owners)]
    held = take_all(shares[0])
    assert held <= shares[0].guaranteed + ONE_MAY_HOLD * total
    for share in shares[1:]:
        assert take_all(share) >= share.guaranteed


def test_descriptors_of_one_owner_end_at_the_limit() -> None:
    descriptors = Descriptors(Descriptors.RESERVE + 2)
    assert [descriptors.take(), descriptors.take(), descriptors.take()] == [True, True, False]
    descriptors.give()
    assert descriptors.take()
