"""Quotas of file descriptors and client connections that several owners share, without I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

# Maximum share of the units without a guarantee that one owner may hold while there are other owners.
MAX_UNRESERVED_SHARE = 0.5


def client_connection_limit(limit: int) -> int:
    """Return the maximum number of connections of all clients: half of all descriptors."""
    return max(limit // 2, 1)


class Quota(Protocol):
    """Limits how many units of a resource one owner may hold."""

    def acquire(self) -> bool:
        """Acquire a unit until it is released; return False if none is available."""

    def release(self) -> None:
        """Release a unit."""


class DescriptorQuota:
    """Quota of the open sockets of a process, so that it doesn't run out of file descriptors.

    It has one owner; `SharedQuota` divides a quota among several.
    """

    RESERVED_DESCRIPTORS = 32  # for standard streams, the event loop, discovery, and sockets being closed

    def __init__(self, limit: int) -> None:
        self.limit = max(limit - self.RESERVED_DESCRIPTORS, 1)
        self.used = 0

    def acquire(self) -> bool:
        """Acquire a descriptor; return False if none is available."""
        if self.used >= self.limit:
            return False
        self.used += 1
        return True

    def release(self) -> None:
        """Release a descriptor."""
        self.used -= 1


class QuotaShare:
    """One owner's share of a `SharedQuota`."""

    __slots__ = ("_quota", "guaranteed", "reclaim", "used")

    def __init__(self, quota: SharedQuota, reclaim: Callable[[], bool]) -> None:
        self._quota = quota
        self.guaranteed = 0
        self.reclaim = reclaim  # releases one idle unit; returns False if there is none
        self.used = 0

    def acquire(self) -> bool:
        """Acquire a unit; return False if none is available to this owner."""
        return self._quota.acquire(self)

    def release(self) -> None:
        """Release a unit."""
        self._quota.release(self)

    def reserved(self) -> int:
        """Return how many units are not available to other owners."""
        return max(self.used, self.guaranteed)


class SharedQuota:
    """A quota of which each owner has a guaranteed share; owners compete for the rest.

    While there are several owners, none may hold more than `MAX_UNRESERVED_SHARE` of that rest.

    A removed owner keeps its units until it releases them; they count against the rest. The cost of acquiring
    and releasing does not grow with the number of owners, unless units must be reclaimed.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.used = 0
        self._guaranteed = 0
        self._reserved = 0  # sum over all owners, including removed ones
        self._shares: dict[QuotaShare, None] = {}

    def add_share(self, guaranteed: int, reclaim: Callable[[], bool] = lambda: False) -> QuotaShare:
        """Add an owner; `reclaim` releases one idle unit of it, and returns False if it has none."""
        share = QuotaShare(self, reclaim)
        self._shares[share] = None
        self.set_guaranteed(share, guaranteed)
        return share

    def remove_share(self, share: QuotaShare) -> None:
        """Remove an owner; it keeps its units until it releases them."""
        self.set_guaranteed(share, 0)
        self._shares.pop(share, None)

    def set_guaranteed(self, share: QuotaShare, count: int) -> None:
        """Set the number of units that are guaranteed to an owner."""
        self._reserved -= share.reserved()
        self._guaranteed += count - share.guaranteed
        share.guaranteed = count
        self._reserved += share.reserved()

    def max_usable(self, share: QuotaShare) -> int:
        """Return the limit of an owner's units while no other owner exceeds its guarantee."""
        unreserved = max(self.total - self._guaranteed, 0)
        return share.guaranteed + (
            unreserved if len(self._shares) < 2 else int(unreserved * MAX_UNRESERVED_SHARE)
        )

    def acquire(self, share: QuotaShare) -> bool:
        """Acquire a unit for an owner, reclaiming an idle one if necessary; return False if there is none."""
        if not self._has_capacity(share) and not (
            self._is_within_limit(share) and self._reclaim_one(share) and self._has_capacity(share)
        ):
            return False
        self._reserved -= share.reserved()
        share.used += 1
        self.used += 1
        self._reserved += share.reserved()
        return True

    def release(self, share: QuotaShare) -> None:
        """Release a unit of an owner."""
        self._reserved -= share.reserved()
        share.used -= 1
        self.used -= 1
        self._reserved += share.reserved()

    def _is_within_limit(self, share: QuotaShare) -> bool:
        return share.used < max(share.guaranteed, self.max_usable(share))

    def _has_capacity(self, share: QuotaShare) -> bool:
        if share.used < share.guaranteed:
            # A unit is available unless guarantees have changed and other owners still have to release units.
            return self.used < self.total
        return self._is_within_limit(share) and self._reserved < self.total

    def _reclaim_one(self, requester: QuotaShare) -> bool:
        """Make another owner release an idle unit, starting with the one furthest above its guarantee."""
        over_guarantee = {
            share: share.used - share.guaranteed
            for share in self._shares
            if share is not requester and share.used > share.guaranteed
        }
        return any(
            share.reclaim() for share in sorted(over_guarantee, key=lambda share: -over_guarantee[share])
        )
