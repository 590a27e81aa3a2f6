"""How several owners divide places that are short: descriptors, connections of callers. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

# Of the places that are guaranteed to nobody, the part that one owner may hold while there are others.
ONE_MAY_HOLD = 0.5


class Places(Protocol):
    """What one owner may hold."""

    def take(self) -> bool:
        """Whether there was a place; it is the owner's until it is given back."""

    def give(self) -> None: ...


class Descriptors:
    """Guards against running out of file descriptors: what all sockets together may be. One owner alone."""

    RESERVE = 32  # standard streams, the loop's own, discovery, and sockets that are just closing

    def __init__(self, limit: int) -> None:
        self.limit = max(limit - self.RESERVE, 1)
        self.used = 0

    def take(self) -> bool:
        if self.used >= self.limit:
            return False
        self.used += 1
        return True

    def give(self) -> None:
        self.used -= 1


class Share:
    """One owner's part of a stock."""

    __slots__ = ("_stock", "guaranteed", "held", "reclaim")

    def __init__(self, stock: Stock, guaranteed: int, reclaim: Callable[[], bool]) -> None:
        self._stock = stock
        self.guaranteed = guaranteed
        self.reclaim = reclaim  # gives up one place that is held without need, if there is one
        self.held = 0

    def take(self) -> bool:
        if not self._stock.has_room(self):
            return False
        self.held += 1
        return True

    def give(self) -> None:
        self.held -= 1
        self._stock.given(self)

    def over(self) -> int:
        """Places held beyond the guaranteed ones: those come out of what all share."""
        return max(self.held - self.guaranteed, 0)


class Stock:
    """Places of which each owner has a guaranteed part, and all share the rest, no one the whole of it.

    An owner that left (`leave`) keeps what it holds until it gives it back, on account of the rest.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self._shares: dict[Share, None] = {}
        self._leaving: dict[Share, None] = {}

    def join(self, guaranteed: int, reclaim: Callable[[], bool] = lambda: False) -> Share:
        share = Share(self, guaranteed, reclaim)
        self._shares[share] = None
        return share

    def leave(self, share: Share) -> None:
        share.guaranteed = 0
        if self._shares.pop(share, 0) is None and share.held:
            self._leaving[share] = None

    def given(self, share: Share) -> None:
        if not share.held:
            self._leaving.pop(share, None)

    def shared(self) -> int:
        """Places that are guaranteed to nobody."""
        return max(self.total - sum(share.guaranteed for share in self._shares), 0)

    def most(self, share: Share) -> int:
        """What the owner may hold when the others hold nothing beyond their guaranteed parts."""
        rest = self.shared()
        return share.guaranteed + (rest if len(self._shares) < 2 else int(rest * ONE_MAY_HOLD))

    def has_room(self, share: Share) -> bool:
        if share.held < share.guaranteed:
            # Its own, unless parts were cut anew and others have yet to give back.
            return self._free() > 0 or self._reclaim(share)
        if share.held >= self.most(share):
            return False
        return self._rest() > 0 or self._reclaim(share)

    def _everyone(self) -> Iterable[Share]:
        yield from self._shares
        yield from self._leaving

    def _free(self) -> int:
        return self.total - sum(share.held for share in self._everyone())

    def _rest(self) -> int:
        """What is left of the shared places: what others are guaranteed and don't use is not to be had."""
        return self.total - sum(max(share.held, share.guaranteed) for share in self._everyone())

    def _reclaim(self, wanted_by: Share) -> bool:
        """From who is furthest over its guaranteed part."""
        others = sorted((share for share in self._everyone() if share is not wanted_by and share.over()),
                        key=Share.over, reverse=True)
        return any(share.reclaim() for share in others)
