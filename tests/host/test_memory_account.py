"""The account of bytes held for bodies: its limit, the order of its grants, and what it returns."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cometdoor.host.memory_account import MemoryAccount, Reservation

LIMIT_BYTES = 100


@given(st.lists(st.tuples(st.sampled_from(("reserve", "release", "shrink", "small")), st.integers(1, 150))))
def test_the_limit_holds_in_any_order_and_every_reservation_is_granted_in_its_turn(
    steps: list[tuple[str, int]],
) -> None:
    account, reservations, small = MemoryAccount(LIMIT_BYTES), list[Reservation](), list[int]()
    granted: list[Reservation] = []

    def release(reservation: Reservation) -> None:
        reservation.release()
        if reservation in waiting_order:
            waiting_order.remove(reservation)

    waiting_order: list[Reservation] = []
    for step, number in steps:
        if step == "reserve":
            reservation = account.reserve(number)
            reservations.append(reservation)
            if not reservation.is_granted:
                reservation.on_granted = lambda reservation=reservation: granted.append(reservation)  # type: ignore[misc]
                waiting_order.append(reservation)
        elif step == "small":
            account.add_small(number)
            small.append(number)
        elif reservations and step == "release":
            release(reservations.pop(number % len(reservations)))
        elif reservations:
            reservations[number % len(reservations)].shrink(number // 2)
        held = [reservation for reservation in reservations if reservation.is_granted]
        assert account.reserved_bytes == sum(reservation.size for reservation in held)
        assert account.reserved_bytes <= LIMIT_BYTES or len(held) == 1
        assert list(account.waiting) == [item for item in waiting_order if not item.is_granted]
    for number in small:
        account.add_small(-number)
    for reservation in reservations:
        release(reservation)
    assert account.used_bytes() == 0 and not account.waiting
    assert all(reservation.is_granted for reservation in granted)


def test_small_bodies_never_wait_and_leave_less_for_large_ones() -> None:
    account = MemoryAccount(LIMIT_BYTES)
    first = account.reserve(50)
    account.add_small(60)
    assert not account.reserve(1).is_granted
    first.release()
    assert not account.waiting and account.used_bytes() == 61
