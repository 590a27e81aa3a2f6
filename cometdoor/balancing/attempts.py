"""Retries and hedges: which of them may be sent, and when.

Part of the decision module, see cometdoor/balancing/api.py: no clock, no I/O.
"""

from __future__ import annotations

import math
from collections import deque

from cometdoor.balancing import api
from cometdoor.balancing.api import Outcome
from cometdoor.balancing.constants import PRIOR_SAMPLES
from cometdoor.balancing.decaying_average import DecayingAverage
from cometdoor.balancing.endpoints import EndpointRecord
from cometdoor.balancing.requests import Attempt, Request

MAX_HEDGE_RATIO = 0.05  # hedges over completed attempts
HEDGE_WINDOW_MS = 10_000.0
OVERDUE_LATENCY_FACTOR = 4.0  # multiple of the expected latency: two in a hundred responses are later
HEDGE_DELAY_SHARE = 0.625  # of the time left for a timely response; most responses arrive earlier
WINDOW_EDGE_MS = 0.002  # hosts may round to microseconds: this close to an edge the stricter count applies
IDLE_LOSS_MEMORY_MS = 30_000.0  # after this time without a loss, long-idle connections are reused again
SAFE_IDLE_SHARE = 0.5  # share of the shortest idle time of a lost connection that is still safe


def abandon_at(cls: api.RequestClass, remaining_ms: float, now: float) -> float:
    """Return when to abandon a request: at its deadline, or at its target if late responses earn nothing."""
    return now + (remaining_ms if cls.late_value else min(remaining_ms, cls.latency_target_ms))


def overdue_at(request: Request) -> float:
    """Return the time after which a response to an attempt in flight is unlikely; infinite without one."""
    pending = (attempt for attempt in request.attempts if not attempt.has_ended)
    due_times = (attempt.sent_at + OVERDUE_LATENCY_FACTOR * attempt.expected_ms for attempt in pending)
    return max(due_times, default=math.inf)


def hedge_delay_ms(request: Request, now: float) -> float:
    """Return how long the first attempt may take before a hedge is due."""
    return HEDGE_DELAY_SHARE * min(request.cls.latency_target_ms, request.abandon_at - now)


class RetryLimiter:
    """Limits retries and hedges in a sliding window to a floor plus a share of the requests (rule 5).

    The limit is exact at every send; a token bucket would allow more than its rate in some windows. The cost:
    when many first attempts fail by chance at once, retries are denied that would have succeeded.
    """

    def __init__(self, budget: api.RetryBudget) -> None:
        self._budget, self.floor = budget, budget.floor
        self._request_times: deque[float] = deque()  # oldest first; rejected requests are included
        self._retry_times: deque[float] = deque()

    def on_request(self, now: float) -> None:
        """Count a request."""
        self._expire(now)
        self._request_times.append(now)

    def allows_retry(self, now: float) -> bool:
        """Return whether one more retry or hedge may be sent now."""
        self._expire(now)
        return len(self._retry_times) + 1 <= self.floor + self._budget.per_request * len(self._request_times)

    def on_retry_sent(self, now: float) -> None:
        """Count a retry or hedge."""
        self._retry_times.append(now)

    def on_not_sent(self, sent_at: float) -> None:
        """Uncount a retry or hedge that was never sent, if it is still in the window."""
        if sent_at in self._retry_times:
            self._retry_times.remove(sent_at)

    def _expire(self, now: float) -> None:
        oldest = now - self._budget.window_ms
        while self._request_times and self._request_times[0] <= oldest + WINDOW_EDGE_MS:
            self._request_times.popleft()
        while self._retry_times and self._retry_times[0] < oldest - WINDOW_EDGE_MS:
            self._retry_times.popleft()


class HedgeGate:
    """Limits the ratio of hedges to completed attempts over a sliding window (as DoBackup of brpc does)."""

    def __init__(self) -> None:
        self._seconds: deque[list[float]] = deque()  # [second, hedges, attempts], oldest first
        self._lifetime = [0, 0]
        self.win_rate = DecayingAverage()  # share of the hedged requests that the hedge answered

    def _count(self, now: float, column: int) -> None:
        second = now // 1000.0
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append([second, 0, 0])
            self._expire(now)
        self._seconds[-1][1 + column] += 1
        self._lifetime[column] += 1

    def on_attempt_completed(self, now: float) -> None:
        """Count an attempt that ended."""
        self._count(now, 1)

    def on_hedge_sent(self, now: float) -> None:
        """Count a hedge."""
        self._count(now, 0)

    def is_open(self, now: float) -> bool:
        """Return whether a hedge may be sent: always the first one in a window that has attempts.

        In a window without attempts, the ratio since the start decides.
        Computed at each call: a ratio cached for seconds would let bursts of hedges through.
        """
        self._expire(now)
        hedges, attempts = (sum(row[column] for row in self._seconds) for column in (1, 2))
        if not attempts:
            hedges, attempts = self._lifetime
        ratio = hedges / attempts if attempts else float(hedges > 0)
        # Fewer hedges if they rarely win: they don't help requests that are slow because they are expensive.
        return ratio < MAX_HEDGE_RATIO * self.win_rate.mean(1.0, PRIOR_SAMPLES, now)

    def _expire(self, now: float) -> None:
        while self._seconds and self._seconds[0][0] * 1000.0 < now - HEDGE_WINDOW_MS:
            self._seconds.popleft()


class IdleConnectionGuard:
    """Detects connections that a middlebox has silently dropped while they were idle.

    A request sent on one is lost, and an unsafe one can't be retried, so stale ones are closed before use.
    The sign is a loss after less than a quarter of the time for which the connection had been idle. A server
    that crashes rarely causes the same pattern, and a false alarm costs only a few handshakes.
    """

    def __init__(self) -> None:
        self._min_loss_idle_ms = math.inf  # shortest idle time of a recently lost connection
        self._suspicious_until = -math.inf

    def is_idle_loss(self, attempt: Attempt, outcome: Outcome, now: float) -> bool:
        """Return whether the attempt was lost with a connection that had been dropped while idle."""
        if outcome not in (Outcome.RESET, Outcome.DISCONNECTED):
            return False
        idle_ms = attempt.idle_ms
        if not 0.0 <= now - attempt.sent_at < idle_ms / 4:
            return False
        shortest_ms = self._min_loss_idle_ms if now < self._suspicious_until else math.inf
        self._min_loss_idle_ms = min(idle_ms, shortest_ms)
        self._suspicious_until = now + IDLE_LOSS_MEMORY_MS
        return True

    def may_be_stale(self, endpoint: EndpointRecord, now: float) -> bool:
        """Return whether an idle connection to the endpoint may have been dropped."""
        if now >= self._suspicious_until or endpoint.idle_since == math.inf:
            return False
        # A second connection may have been idle for longer than the one in use.
        safe_ms = SAFE_IDLE_SHARE * self._min_loss_idle_ms
        return endpoint.outstanding > 0 or now - endpoint.idle_since > safe_ms
