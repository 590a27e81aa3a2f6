"""Account of the bytes that a process holds for requests and responses, with a limit. No I/O.

Large bodies reserve their whole size before the first of their bytes is read, in order of arrival. A
reservation never waits while it holds another one, so that holders always make progress. Small bodies never
wait; they are counted, so that less is left for large ones.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cometdoor.host.invariants import Invariant

MIB = 1 << 20
# Share of a process's memory for bodies. The rest is for the program, and for bodies in the buffers of
# sockets and in copies while they are forwarded.
BODY_SHARE = 0.5

RESERVED_BYTES_ARE_BOUNDED = Invariant(
    "all reservations together exceed the account's limit only if there is a single one"
)


@dataclass(eq=False)
class Reservation:
    """Bytes of one body; waits until the account has room for all of them."""

    account: MemoryAccount
    size: int
    on_granted: Callable[[], None]
    is_granted: bool = False
    is_released: bool = False

    def shrink(self, size: int) -> None:
        """Return what was reserved beyond `size` bytes, once the size of a body is known."""
        if self.is_granted and not self.is_released and size < self.size:
            self.account.reserved_bytes -= self.size - size
            self.size = size
            self.account.grant_waiting()

    def release(self) -> None:
        """Return all bytes, or stop waiting for them; only the first call has an effect."""
        if self.is_released:
            return
        self.is_released = True
        if self.is_granted:
            self.account.reserved_bytes -= self.size
        else:
            self.account.waiting.pop(self, None)
        self.account.grant_waiting()


@dataclass(eq=False)
class MemoryAccount:
    """Bytes held for bodies by all connections of one process.

    Attributes
    ----------
    limit_bytes : int
        Limit of all bytes together. One large body is admitted whatever its size.
    reserved_bytes : int
        Bytes of granted reservations.
    small_bytes : int
        Bytes of bodies that need no reservation.
    peak_bytes : int
        Largest sum of both since the last report.
    waiting : dict[Reservation, None]
        Reservations that wait for room, in order of arrival.
    """

    limit_bytes: int
    reserved_bytes: int = 0
    small_bytes: int = 0
    peak_bytes: int = 0
    waiting: dict[Reservation, None] = field(default_factory=dict)

    def used_bytes(self) -> int:
        """Return the bytes held at present."""
        return self.reserved_bytes + self.small_bytes

    def add_small(self, size: int) -> None:
        """Count `size` bytes that don't wait for room; a negative size returns them."""
        self.small_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.used_bytes())
        if size < 0:
            self.grant_waiting()

    def reserve(self, size: int, on_granted: Callable[[], None] = lambda: None) -> Reservation:
        """Reserve `size` bytes; if they must wait for room, `on_granted` is called once there is."""
        reservation = Reservation(self, size, on_granted)
        if not self.waiting and self._has_room(size):
            self._grant(reservation)
        else:
            self.waiting[reservation] = None
        return reservation

    def has_room(self, size: int) -> bool:
        """Return whether `size` bytes could be held now, before those that wait."""
        return not self.waiting and self._has_room(size)

    def grant_waiting(self) -> None:
        """Grant reservations for which there is room now, the oldest first."""
        while self.waiting:
            reservation = next(iter(self.waiting))
            if not self._has_room(reservation.size):
                return
            del self.waiting[reservation]
            self._grant(reservation)
            reservation.on_granted()

    def _has_room(self, size: int) -> bool:
        return not self.reserved_bytes or self.used_bytes() + size <= self.limit_bytes

    def _grant(self, reservation: Reservation) -> None:
        RESERVED_BYTES_ARE_BOUNDED.check(
            not self.reserved_bytes or self.reserved_bytes + reservation.size <= self.limit_bytes
        )
        reservation.is_granted = True
        self.reserved_bytes += reservation.size
        self.peak_bytes = max(self.peak_bytes, self.used_bytes())


def body_memory_bytes(memory_mb: float) -> int:
    """Return the limit of the bytes held for bodies, given a process's memory in MiB."""
    return int(BODY_SHARE * memory_mb * MIB)
