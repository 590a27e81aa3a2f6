"""How several owners divide places that are short: descriptors, connections of callers. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

# Of the places that are guaranteed to nobody, the part that one owner may hold while there are others.
ONE_MAY_HOLD = 0.5


def callers_part(limit: int) -> int:
    """Connections that callers may hold together: half of all descriptors, the other half is for servers."""
    return max(limit // 2, 1)


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

    def __init__(self, stock: Stock, reclaim: Callable[[], bool]) -> None:
        self._stock = stock
        self.guaranteed = 0
        self.reclaim = reclaim  # gives up one place that is held without need, if there is one
        self.held = 0

    def take(self) -> bool:
        return self._stock.take(self)

    def give(self) -> None:
        self._stock.give(self)

    def claim(self) -> int:
        """Places that nobody else can have."""
        return max(self.held, self.guaranteed)


class Stock:
    """Places of which each owner has a guaranteed part, and all share the rest, no one the whole of it.

    An owner that left keeps what it holds until it gives it back, on account of the rest. Taking and giving
    cost the same however many owners there are.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.held = 0
        self._guaranteed = 0
        self._claimed = 0  # the sum of all claims, also of those that left
        self._shares: dict[Share, None] = {}

    def join(self, guaranteed: int, reclaim: Callable[[], bool] = lambda: False) -> Share:
        share = Share(self, reclaim)
        self._shares[share] = None
        self.guarantee(share, guaranteed)
        return share

    def leave(self, share: Share) -> None:
        self.guarantee(share, 0)
        self._shares.pop(share, None)

    def guarantee(self, share: Share, places: int) -> None:
        self._claimed -= share.claim()
        self._guaranteed += places - share.guaranteed
        share.guaranteed = places
        self._claimed += share.claim()

    def most(self, share: Share) -> int:
        """What the owner may hold when the others hold nothing beyond their guaranteed parts."""
        rest = max(self.total - self._guaranteed, 0)
        return share.guaranteed + (rest if len(self._shares) < 2 else int(rest * ONE_MAY_HOLD))

    def take(self, share: Share) -> bool:
        if not self._has_room(share) and not (
            self._within(share) and self._reclaim(share) and self._has_room(share)
        ):
            return False
        self._claimed -= share.claim()
        share.held += 1
        self.held += 1
        self._claimed += share.claim()
        return True

    def give(self, share: Share) -> None:
        self._claimed -= share.claim()
        share.held -= 1
        self.held -= 1
        self._claimed += share.claim()

    def _within(self, share: Share) -> bool:
        return share.held < max(share.guaranteed, self.most(share))

    def _has_room(self, share: Share) -> bool:
        if share.held < share.guaranteed:
            # Its own, unless parts were cut anew and others have yet to give back.
            return self.held < self.total
        return self._within(share) and self._claimed < self.total

    def _reclaim(self, wanted_by: Share) -> bool:
        """From who is furthest over its guaranteed part."""
        over = {
            share: share.held - share.guaranteed
            for share in self._shares
            if share is not wanted_by and share.held > share.guaranteed
        }
        return any(share.reclaim() for share in sorted(over, key=lambda share: -over[share]))
