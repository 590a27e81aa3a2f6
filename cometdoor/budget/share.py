"""Share of one proxy in the retry budget of one service. No I/O.

In any window a proxy may make as many retries as the sum of two amounts. The local allowance is `LOCAL_SHARE`
of the budget's ratio for each of its own requests, which the decision module counts exactly. The floor, of
which the decision module is notified at each change, is one retry while there are few proxies, plus the
leader's grant, minus offers to other proxies, minus the calls of repeated executions. Times are in seconds.
"""

from __future__ import annotations

from cometdoor.budget.lease import LEASE_DURATION_S, LOCAL_SHARE, LOCAL_SLACK_SHARE, offer_hold_time_s
from cometdoor.budget.sliding_window import ExpiringMaximum, SlidingWindowSum
from cometdoor.wire.budget import LeaseDemand

MIN_RESERVED_RETRIES = 2.0  # retries per window of its local allowance that a proxy never offers
# Share that a proxy offers of its local allowance beyond `MIN_RESERVED_RETRIES` and beyond
# `DEMAND_AHEAD_FACTOR` times its use.
OFFERED_SHARE = 0.6
DEMAND_FROM_USED_SHARE = 0.5  # a proxy demands more once it uses more than this share of its allowed retries
# A proxy demands this multiple of its use plus this number of retries, since a burst arrives before a grant.
DEMAND_AHEAD_FACTOR, DEMAND_AHEAD_RETRIES = 2.0, 3.0
UNMET_DEMAND_TTL_S = 2.0  # time for which an unmet demand counts


class BudgetShare:
    """Counts one proxy's use of one service's budget; computes its floor, demands and offers.

    Parameters
    ----------
    ratio : float
        Retries that the budget allows for each request.
    slack : float
        Retries per window that the budget allows in addition.
    window_s : float
        Length of the window in seconds.
    now : float
        Start of this incarnation in seconds, on a monotonic clock.
    """

    def __init__(self, ratio: float, slack: float, window_s: float, now: float) -> None:
        self._started_at = now
        self._ratio, self._slack, self._window_s = ratio, slack, window_s
        self._requests, self._retries, self._repeated_calls = (SlidingWindowSum(window_s) for _ in range(3))
        self._unmet_demand_at = -1e9
        self._granted_retries, self._grant_expires_at = 0.0, 0.0
        self._outstanding_offers = ExpiringMaximum()  # offers that other proxies may still be using

    # --- events ---

    def record_request(self, now: float) -> None:
        """Count a request of a client."""
        self._requests.add(1.0, now)

    def record_retry(self, now: float) -> None:
        """Count a retry or hedged request."""
        self._retries.add(1.0, now)

    def record_unmet_demand(self, now: float) -> None:
        """Record a failed attempt that a retry may help, whether or not the budget allows the retry."""
        self._unmet_demand_at = now

    def record_repeated_call(self, count: float, now: float) -> None:
        """Count a call of a repeated execution; a `count` below 1 is an estimated probability."""
        self._repeated_calls.add(count, now)

    # --- allowed retries ---

    def floor(self, now: float, proxy_count: int) -> float:
        """Return the retries per window beyond the local allowance; a negative floor reduces the allowance.

        Parameters
        ----------
        now : float
            Current time in seconds.
        proxy_count : int
            Number of known proxies; the slack retries of all must fit into `LOCAL_SLACK_SHARE`.
        """
        # The previous incarnation may have used its slack retry in this window, which this one can't know.
        has_full_window = now >= self._started_at + self._window_s
        slack_retry = 1.0 if has_full_window and proxy_count <= LOCAL_SLACK_SHARE * self._slack else 0.0
        granted = self._granted_retries if now < self._grant_expires_at else 0.0
        return slack_retry + granted - self._outstanding_offers.maximum(now) - self._repeated_calls.sum(now)

    def local_allowance(self, now: float) -> float:
        """Return the retries per window that this proxy may make for its requests without a lease."""
        return LOCAL_SHARE * self._ratio * self._requests.sum(now)

    # --- reports to the leader ---

    def is_short_of_budget(self, now: float, proxy_count: int) -> bool:
        """Return whether the proxy should demand more: it uses much of its budget, or lacked a retry."""
        used = self._retries.sum(now) + self._repeated_calls.sum(now)
        allowed = self.local_allowance(now) + self.floor(now, proxy_count)
        if now - self._unmet_demand_at < UNMET_DEMAND_TTL_S and self._retries.sum(now) + 1.0 > allowed:
            return True  # the next retry would be rejected
        return used > self.local_allowance(now) or used > DEMAND_FROM_USED_SHARE * allowed

    def build_demand(self, service: str, now: float, proxy_count: int) -> LeaseDemand | None:
        """Return the demand or offer for the next report; None without requests and retries.

        An offer reduces the floor from now on, whether or not the report arrives.
        """
        requests = self._requests.sum(now)
        used = self._retries.sum(now) + self._repeated_calls.sum(now)
        if not requests and not used:
            return None
        # A grant ends the shortage, but the demand continues: otherwise the shortage would return when the
        # grant expires.
        if self.is_short_of_budget(now, proxy_count) or self.has_grant(now):
            # Earlier offers may still be in use at other proxies, and count like own use.
            wanted_retries = (
                DEMAND_AHEAD_FACTOR * used
                + DEMAND_AHEAD_RETRIES
                + self._outstanding_offers.maximum(now)
                - self.local_allowance(now)
            )
            return LeaseDemand(service, requests, max(wanted_retries, 0.0), 0.0)
        spare = OFFERED_SHARE * max(
            self.local_allowance(now) - max(DEMAND_AHEAD_FACTOR * used, MIN_RESERVED_RETRIES), 0.0
        )
        if spare:
            self._outstanding_offers.add(spare, now + offer_hold_time_s(self._window_s))
        return LeaseDemand(service, requests, 0.0, spare)

    def on_granted(self, amount: float, requested_at: float) -> None:
        """Replace the grant, in retries per window; its validity starts at the time of its request."""
        self._granted_retries, self._grant_expires_at = amount, requested_at + LEASE_DURATION_S

    def has_grant(self, now: float) -> bool:
        """Return whether a grant is in force."""
        return self._granted_retries > 0.0 and now < self._grant_expires_at
