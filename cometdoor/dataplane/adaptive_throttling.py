"""Adaptive throttling of request classes that are mostly rejected.

No I/O; callers pass the time, in ms.

The purpose is to avoid wasted executions. An execution that makes several calls to an overloaded service
needs a slot for each of them; if only half of them get one, it fails and its work is wasted. The admitted
share falls while inbound proxies reject too many requests, and grows in steps that double while they reject
hardly any. Executions that fail for other reasons count as well, but only while requests contend for the
service's slots: with free capacity a failed execution takes nothing from other requests.

Admission by a multiple of the accepted requests (Site Reliability Engineering, ch. 21, "client-side
throttling") recovers too slowly: with a factor small enough to avoid wasted work it takes tens of seconds to
admit all requests again, which costs an overloaded day a tenth of its value.
"""

from __future__ import annotations

import random
from collections import deque

from cometdoor.balancing.decaying_average import DecayingAverage

WINDOW_MS = 500.0  # length of a window, and interval between adjustments of the admitted share
# Number of windows that are evaluated: about a dozen executions of a busy class at one proxy. With windows of
# 3 s in total, all requests are retried 3 s later.
WINDOW_COUNT = 3
# A window counts for at most this many requests. Without the limit, a surge outweighs the few requests that
# are admitted, and all served, in the ten seconds after it, and more and more requests are throttled.
MAX_WINDOW_WEIGHT = 16.0
DECREASE_BELOW_SUCCESS_RATE = 0.75  # the admitted share falls below this success rate
INCREASE_ABOVE_SUCCESS_RATE = 0.85  # the admitted share grows above this success rate
DECREASE_FACTOR = 0.9  # multiplies the admitted share at each decrease
INCREASE_STEP_MIN, INCREASE_STEP_MAX = 0.05, 0.2  # first and largest increase of the admitted share
MIN_ADMITTED_SHARE = 0.1  # share of requests that is always admitted, to detect free slots
PRIOR_COUNT = 8.0  # assumed prior successes, so that a few chance failures do not count as overload
CONTENTION_BELOW_ACCEPTANCE_RATE = 0.95  # requests contend for slots if a smaller share of them gets one
RETRY_AFTER_MAX_SHARE = 0.33  # share of the remaining time; clients wait for at most a third of it
REJECTION_RATE_OF_MAX_RETRY_AFTER = 0.3  # rejection rate from which on the backoff has its maximum
JITTER_MIN = 0.6  # random factor from this to 1, so that clients do not all retry at once
# Requests within this time of the first one of a group most likely come from one execution: they are admitted
# or throttled together. The time is not measured from the previous request: a surge at one proxy would then
# form an endless group, and all of it would be shed.
GROUP_WINDOW_MS = 3.0
MIN_GROUP_SIZE = 1.3  # mean group size below which requests are taken to coincide by chance
# Below this success rate a retry mostly adds to the load that made the first execution fail.
RETRY_MIN_SUCCESS_RATE = 0.75


class RecentSuccessRate:
    """Success rate over the last `WINDOW_COUNT` windows; each counts for `MAX_WINDOW_WEIGHT` at most."""

    def __init__(self) -> None:
        self._windows: deque[list[float]] = deque()  # [window, successes, total], oldest first

    def add(self, success: bool, now: float) -> None:
        """Count one success or failure in the current window."""
        window = now // WINDOW_MS
        if not self._windows or self._windows[-1][0] != window:
            self._windows.append([window, 0.0, 0.0])
        self._windows[-1][1] += success
        self._windows[-1][2] += 1.0

    def rate(self, now: float) -> float:
        """Return the success rate, from 0 to 1, and remove windows that are too old."""
        while self._windows and self._windows[0][0] <= now // WINDOW_MS - WINDOW_COUNT:
            self._windows.popleft()
        total_weight = total = PRIOR_COUNT
        for _, successes, count in self._windows:
            window_weight = min(count, MAX_WINDOW_WEIGHT)
            total_weight += window_weight
            total += window_weight * successes / count
        return total / total_weight


class AdaptiveThrottle:
    """Decides which requests of one class this proxy admits, and when throttled ones should be retried."""

    def __init__(self, rng: random.Random) -> None:
        self.admitted_share = 1.0  # share of requests admitted, from MIN_ADMITTED_SHARE to 1
        self._rng = rng
        self._acceptance = RecentSuccessRate()  # success: the request was given a slot; failure: rejected
        self._execution_success = RecentSuccessRate()  # success: a status below 500
        self._step = INCREASE_STEP_MIN
        self._next_adjustment_ms = 0.0
        self._group_started_ms = -GROUP_WINDOW_MS - 1.0  # first request of the current group
        self._group_admitted = True
        self.group = 0  # number of the latest request group
        # Requests that joined a group, minus those in a window of equal length after it: the latter came by
        # chance, so about as many of the former did too.
        self._excess_joins = DecayingAverage()
        self._previous_group_started_ms = -GROUP_WINDOW_MS - 1.0  # first request of the previous group

    def admit(self, now: float) -> bool:
        """Return whether a request is admitted; all requests of one group are treated alike."""
        if now >= self._next_adjustment_ms:
            self._next_adjustment_ms = now + WINDOW_MS
            self._adjust(now)
        starts_group = now - self._group_started_ms > GROUP_WINDOW_MS
        if (
            now - self._previous_group_started_ms > GROUP_WINDOW_MS
            and now - self._previous_group_started_ms <= 2.0 * GROUP_WINDOW_MS
        ):
            self._excess_joins.total -= 1.0
        if starts_group:
            self.group += 1
            if now - self._group_started_ms <= 2.0 * GROUP_WINDOW_MS:
                self._excess_joins.total -= 1.0
            self._previous_group_started_ms, self._group_started_ms = self._group_started_ms, now
            self._excess_joins.add(0.0, now)
            self._group_admitted = self.admitted_share >= 1.0 or self._rng.random() < self.admitted_share
        else:
            self._excess_joins.total += 1.0
        return self._group_admitted

    def group_size(self, now: float) -> float:
        """Return the mean size of a request group, without the requests that coincide by chance.

        Without this correction a surge is mistaken for the calls of one execution. Inbound proxies value the
        requests of large groups less, so they would shed the whole surge, and its retries make it worse.
        """
        return 1.0 + max(self._excess_joins.mean(0.0, PRIOR_COUNT, now), 0.0)

    def _adjust(self, now: float) -> None:
        rate = self._acceptance.rate(now)
        if rate < CONTENTION_BELOW_ACCEPTANCE_RATE:
            rate = min(rate, self._execution_success.rate(now))
        if rate < DECREASE_BELOW_SUCCESS_RATE:
            self.admitted_share, self._step = (
                max(self.admitted_share * DECREASE_FACTOR, MIN_ADMITTED_SHARE),
                INCREASE_STEP_MIN,
            )
        elif rate > INCREASE_ABOVE_SUCCESS_RATE:
            self.admitted_share, self._step = (
                min(self.admitted_share + self._step, 1.0),
                min(2.0 * self._step, INCREASE_STEP_MAX),
            )

    def backoff_ms(self, min_backoff_ms: float, remaining_ms: float, now: float) -> float:
        """Return the backoff of a rejected request in ms; it is longer the more requests are rejected.

        A retry during the same surge would be rejected again with no time left for another one. The longer
        backoff costs latency if the surge ends earlier.

        Parameters
        ----------
        min_backoff_ms
            Backoff while hardly any request is rejected.
        remaining_ms
            Time until the client's deadline.
        now
            Current time in ms.
        """
        max_ms = RETRY_AFTER_MAX_SHARE * remaining_ms
        min_ms = min(min_backoff_ms, max_ms)
        contention = min((1.0 - self._acceptance.rate(now)) / REJECTION_RATE_OF_MAX_RETRY_AFTER, 1.0)
        return min_ms + (max_ms - min_ms) * contention * self._rng.uniform(JITTER_MIN, 1.0)

    def record_acceptance(self, accepted: bool, now: float) -> None:
        """Count whether an admitted request found a slot."""
        self._acceptance.add(accepted, now)

    def on_attempt_ended(self, succeeded: bool, now: float) -> None:
        """Count an attempt that the backend responded to; `succeeded` means a status below 500."""
        self._execution_success.add(succeeded, now)

    def may_retry(self, now: float) -> bool:
        """Return whether a failed execution should be retried, by the recent success rate."""
        return self._execution_success.rate(now) >= RETRY_MIN_SUCCESS_RATE
