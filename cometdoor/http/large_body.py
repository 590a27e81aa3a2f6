"""The body of a client's request that is too large to be held in several copies."""

from __future__ import annotations

from cometdoor.host.memory_account import Reservation


class LargeBody:
    """A body as the chunks in which it was read, and their reservation in the memory account.

    It is kept whole, and once, for as long as someone may have to send it: its client's connection until that
    is answered, and the service client while an attempt may follow. The last holder's release drops it.
    """

    __slots__ = ("_holders", "_reservation", "chunks", "size")

    def __init__(self, reservation: Reservation) -> None:
        """Start empty, with one holder."""
        self.chunks: list[bytes] = []
        self.size = 0
        self._reservation = reservation
        self._holders = 1

    @property
    def has_memory(self) -> bool:
        """Whether its bytes may be read."""
        return self._reservation.is_granted

    def append(self, chunk: bytes) -> None:
        """Add a chunk that was read."""
        self.chunks.append(chunk)
        self.size += len(chunk)

    def finish(self) -> None:
        """Return the memory that was reserved beyond its size, now that all of it was read."""
        self._reservation.shrink(self.size)

    def hold(self) -> None:
        """Add a holder."""
        self._holders += 1

    def release(self) -> None:
        """Remove a holder; without any, the body and its reservation are dropped."""
        self._holders -= 1
        if not self._holders:
            self.chunks = []
            self._reservation.release()
