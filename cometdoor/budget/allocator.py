"""Leases of the retry budgets of all services, granted by the control plane's leader. No I/O.

Leases are kept in memory only. A newly elected leader grants nothing until all grants of its predecessor have
left the window; the local shares of the proxies are not affected. Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from cometdoor.budget.lease import (
    LEASE_DURATION_S,
    MAX_REPORT_AGE_S,
    OFFER_DURATION_S,
    POOLED_SHARE,
    POOLED_SLACK_SHARE,
    grant_hold_time_s,
    quarantine_s,
)
from cometdoor.budget.sliding_window import ExpiringMaximum
from cometdoor.wire.budget import LeaseDemand

GRANTED_SHARE_OF_FREE = 0.5  # largest share of the free retries for one demand; the rest is for later ones


@dataclass
class LeasedAllocation:
    """Last report of one proxy incarnation for one service, and the grants to it."""

    requests: float = 0.0  # in the window
    reported_at: float = -1e9
    offered: float = 0.0  # retries per window
    offer_expires_at: float = 0.0
    grants: ExpiringMaximum = field(default_factory=ExpiringMaximum)  # retries per window

    def outstanding(self, now: float) -> float:
        """Return the largest grant that may still be in use in any window that contains `now`.

        Each grant replaces the previous one, so grants are not added up.
        """
        return self.grants.maximum(now)


class BudgetAllocator:
    """Grants leases of retry budgets while this replica is the leader."""

    def __init__(self, ratio: float, slack: float, window_s: float, now: float) -> None:
        """Start without leases, when this replica becomes the leader.

        Parameters
        ----------
        ratio : float
            Retries that the budget allows for each request.
        slack : float
            Retries per window that the budget allows in addition.
        window_s : float
            Length of the window in seconds.
        now : float
            Time of the election in seconds, on this process's monotonic clock.
        """
        self._ratio, self._slack, self._window_s = ratio, slack, window_s
        self._grants_from = now + quarantine_s(window_s)
        self._allocations: dict[str, dict[str, LeasedAllocation]] = {}  # by service and incarnation
        self._swept_at = now

    def allocate(
        self, incarnation: str, leader_time_s: float, demands: Sequence[LeaseDemand], now: float
    ) -> list[float]:
        """Grant leases for the demands of one proxy.

        Parameters
        ----------
        incarnation : str
            Incarnation of the proxy.
        leader_time_s : float
            Leader's time in the last grant that the proxy received, which bounds the age of the report.
        demands : Sequence[LeaseDemand]
            Demands and offers of the proxy, at most one for each service.
        now : float
            Current time in seconds, on the clock of the election time.

        Returns
        -------
        list[float]
            Granted retries per window, for each demand in turn.
        """
        self._sweep(now)
        if not now - MAX_REPORT_AGE_S <= leader_time_s <= now:
            return [0.0] * len(demands)  # the report may have been in flight for an unknown time
        return [self._allocate(incarnation, demand, now) for demand in demands]

    def _allocate(self, incarnation: str, demand: LeaseDemand, now: float) -> float:
        allocations = self._allocations.setdefault(demand.service, {})
        allocation = allocations.setdefault(incarnation, LeasedAllocation())
        allocation.requests, allocation.reported_at = demand.requests, now
        allocation.offered, allocation.offer_expires_at = demand.offered_retries, now + OFFER_DURATION_S
        if now < self._grants_from or demand.wanted_retries <= 0.0:
            return 0.0
        free = max(
            self.leasable_retries(demand.service, now)
            - sum(other.outstanding(now) for owner, other in allocations.items() if owner != incarnation),
            0.0,
        )
        already_granted = allocation.outstanding(now)
        amount = min(
            demand.wanted_retries,
            free,
            already_granted + GRANTED_SHARE_OF_FREE * max(free - already_granted, 0.0),
        )
        allocation.grants.add(amount, now + grant_hold_time_s(self._window_s))
        return amount

    def leasable_retries(self, service: str, now: float) -> float:
        """Return the retries per window that may be leased from one service's budget."""
        allocations = self._allocations.get(service, {}).values()
        requests = sum(
            allocation.requests
            for allocation in allocations
            if allocation.reported_at > now - MAX_REPORT_AGE_S
        )
        offered = sum(
            allocation.offered
            for allocation in allocations
            if allocation.offer_expires_at > now + LEASE_DURATION_S
        )
        return POOLED_SHARE * self._ratio * requests + POOLED_SLACK_SHARE * self._slack + offered

    def _sweep(self, now: float) -> None:
        """Remove proxies that no longer report; runs once per window."""
        if now < self._swept_at + self._window_s:
            return
        self._swept_at = now
        for service, allocations in list(self._allocations.items()):
            for incarnation, allocation in list(allocations.items()):
                if allocation.reported_at < now - MAX_REPORT_AGE_S and not allocation.outstanding(now):
                    del allocations[incarnation]
            if not allocations:
                del self._allocations[service]
