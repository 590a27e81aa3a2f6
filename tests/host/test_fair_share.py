"""Shared quotas: guaranteed shares, and a rest that no single owner can use up."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cometdoor.host.fair_share import MAX_UNRESERVED_SHARE, DescriptorQuota, QuotaShare, SharedQuota


def acquire_all(share: QuotaShare) -> int:
    acquired_count = 0
    while share.acquire():
        acquired_count += 1
    return acquired_count


def test_one_owner_gets_its_guarantee_and_half_of_the_rest() -> None:
    quota = SharedQuota(100)
    greedy, modest = quota.add_share(20), quota.add_share(20)
    assert acquire_all(greedy) == 20 + 30
    assert acquire_all(modest) == 20 + 30
    assert quota.used == 100


def test_single_owner_may_hold_all() -> None:
    quota = SharedQuota(10)
    assert acquire_all(quota.add_share(5)) == 10


def test_owner_furthest_over_its_guarantee_releases_first() -> None:
    quota = SharedQuota(10)
    idle: list[QuotaShare] = []

    def reclaim() -> bool:
        if not idle:
            return False
        idle.pop().release()
        return True

    first, second, third = quota.add_share(0, reclaim), quota.add_share(0), quota.add_share(0)
    while first.acquire():
        idle.append(first)
    acquire_all(second)
    assert quota.used == 10
    assert third.acquire() and first.used == 4
    idle.clear()
    assert not third.acquire()


def test_removed_owner_keeps_its_units_until_it_releases_them() -> None:
    quota = SharedQuota(10)
    old = quota.add_share(5)
    acquire_all(old)
    quota.remove_share(old)
    new = quota.add_share(5)
    assert not new.acquire()
    old.release()
    assert new.acquire()


OWNERS = 4
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["acquire", "release", "set_guaranteed", "remove_share"]),
        st.integers(0, OWNERS - 1),
        st.integers(0, 12),
    ),
    max_size=200,
)


@given(STEPS, st.integers(1, 40))
def test_total_is_never_exceeded_and_guarantees_are_never_denied(
    steps: list[tuple[str, int, int]], total: int
) -> None:
    quota = SharedQuota(total)
    shares = [quota.add_share(0) for _ in range(OWNERS)]
    all_shares = list(shares)
    for step, index, count in steps:
        share = shares[index]
        if step == "acquire":
            has_free_unit, used = quota.used < total, share.used
            is_within_guarantee = used < share.guaranteed
            acquired = share.acquire()
            assert acquired or not (is_within_guarantee and has_free_unit)
            assert not acquired or share.used <= max(share.guaranteed, quota.max_usable(share))
        elif step == "release" and share.used:
            share.release()
        elif step == "set_guaranteed":
            others = sum(other.guaranteed for other in shares if other is not share)
            quota.set_guaranteed(share, max(min(count, total - others), 0))
        elif step == "remove_share":
            quota.remove_share(share)
            shares[index] = quota.add_share(0)
            all_shares.append(shares[index])
        assert quota.used == sum(share.used for share in all_shares) <= total
        assert all(share.used >= 0 for share in all_shares)


@given(st.integers(2, 50), st.integers(1, 1000))
def test_no_owner_holds_all_unreserved_units(owners: int, total: int) -> None:
    quota = SharedQuota(total)
    shares = [quota.add_share(total // (2 * owners)) for _ in range(owners)]
    used = acquire_all(shares[0])
    assert used <= shares[0].guaranteed + MAX_UNRESERVED_SHARE * total
    for share in shares[1:]:
        assert acquire_all(share) >= share.guaranteed


def test_descriptors_of_one_owner_stop_at_the_limit() -> None:
    descriptors = DescriptorQuota(DescriptorQuota.RESERVED_DESCRIPTORS + 2)
    assert [descriptors.acquire(), descriptors.acquire(), descriptors.acquire()] == [True, True, False]
    descriptors.release()
    assert descriptors.acquire()
