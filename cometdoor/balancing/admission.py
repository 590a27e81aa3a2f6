"""Admission control at the first tier: how many requests may be in flight, and which are sent first.

Part of the decision module, see cometdoor/balancing/api.py: no clock, no I/O.
"""

from __future__ import annotations

import math

from cometdoor.balancing import api
from cometdoor.balancing.constants import PRIOR_SAMPLES
from cometdoor.balancing.decaying_average import DecayingAverage
from cometdoor.balancing.requests import Request
from cometdoor.balancing.token_bucket import TokenBucket

# "Usage" is the mean latency of recent requests as a share of their latency targets.
VALUE_PRIORITY_SHARE = 0.3  # at full reserve, share of the limit that is closed to requests of value 0
RESERVE_FROM_USAGE = 0.25  # usage above which capacity is reserved for valuable requests
RESERVE_USAGE_RANGE = 0.2  # the reserve grows from zero to its maximum over this range of usage
SERVICE_DECAY_MS = 30_000.0  # time constant of the classes' earned shares; with 10 s they oscillate
VALUE_REFRESH_INTERVAL_MS = 100.0  # a busy balancer gets about five requests in this time
WORST_CLASS_RANGE = 0.03  # classes whose earned share is about this close to the lowest count as worst-served
LOW_VALUE_LIMIT_SHARE = 0.5  # share of the limit for requests above a quota or past their latency target
QUOTA_BURST_MS = 5_000.0  # a tenant can accumulate its unused quota of this time
LATENCY_TARGET_SHARE = 0.4  # desired mean latency / mean target; a higher ratio overloads the servers
BURST_DEVIATIONS = 3.0  # bursts of random arrivals up to this many standard deviations are admitted
OVERLOAD_USAGE = 0.7  # usage from which no burst is admitted
BURST_USAGE_RANGE = 0.35  # below `OVERLOAD_USAGE`; the admitted burst grows to its maximum over this range
OVERLOAD_LATENCY_SHARE = 0.25  # desired mean latency / lowest target in an overload, which slows servers
CLIENT_TIMEOUT_MEMORY_MS = 2_000.0  # a first-tier balancer gets several first attempts per class and second
CLIENT_TIMEOUT_TOLERANCE_MS = 50.0  # `remaining_ms` of equal client timeouts differs by the network's delay


class ClientTimeoutEstimate:
    """The longest recent timeout of a class's clients; a request with less time left is probably a retry.

    It expires when no client has used it for a while. Otherwise, after clients shorten their timeout, all
    their requests would be treated as retries and get a lower value.
    """

    __slots__ = ("_longest_ms", "_seen_at")

    def __init__(self) -> None:
        self._longest_ms, self._seen_at = 0.0, -math.inf

    def is_shortened(self, remaining_ms: float, now: float) -> bool:
        """Return whether a client with this much time left has already made an earlier attempt."""
        if now - self._seen_at >= CLIENT_TIMEOUT_MEMORY_MS:
            self._longest_ms = 0.0
        if remaining_ms < self._longest_ms - CLIENT_TIMEOUT_TOLERANCE_MS:
            return True
        self._longest_ms, self._seen_at = max(remaining_ms, self._longest_ms), now
        return False


class TenantQuota:
    """A tenant's rate limit, split evenly over the balancers, as a token bucket."""

    def __init__(self, tenant: api.Tenant, balancers: int) -> None:
        self.tokens_per_ms = tenant.allowance_per_s / 1000.0 / balancers
        self.max_tokens = 1.0 + self.tokens_per_ms * QUOTA_BURST_MS
        self.bucket = TokenBucket(self.max_tokens)

    def try_acquire(self, now: float) -> bool:
        """Return whether one more request is within the quota, and count it if so."""
        is_within = self.bucket.refill(self.tokens_per_ms, self.max_tokens, now) >= 1.0
        self.bucket.tokens -= is_within
        return is_within


class ClassValues:
    """What serving one more request of each class adds to the operators' goal.

    The goal may include the service of the worst-served class: by value alone, an overload affects only the
    class of the lowest value, until none of its requests is served.
    """

    def __init__(self, settings: api.Settings) -> None:
        self._settings = settings
        classes = settings.classes
        self._earned_shares = [DecayingAverage(SERVICE_DECAY_MS) for _ in classes]
        self._values = [cls.value for cls in classes]
        self._values_updated_at = -math.inf
        self.mean_latency_target_ms = sum([cls.latency_target_ms for cls in classes]) / len(classes)

    def add_class(self, settings: api.Settings) -> None:
        """Add the last class of these settings."""
        self._settings = settings
        self._earned_shares.append(DecayingAverage(SERVICE_DECAY_MS))
        self._values.append(settings.classes[-1].value)

    def on_request_ended(self, class_index: int, share: float, weight: float, now: float) -> None:
        """Count a request that earned this share of its class's value; `weight`: its `value_share`."""
        self._earned_shares[class_index].add(share, now, weight)

    def marginal_values(self, now: float) -> list[float]:
        """Return what one more request of each class adds; cached for `VALUE_REFRESH_INTERVAL_MS`."""
        if now - self._values_updated_at >= VALUE_REFRESH_INTERVAL_MS:
            self._values_updated_at = now
            self._values = self._compute_values(now)
        return self._values

    def _compute_values(self, now: float) -> list[float]:
        settings, classes = self._settings, self._settings.classes
        earned_shares = [earned.mean(1.0, PRIOR_SAMPLES, now) for earned in self._earned_shares]
        request_counts = [earned.count + PRIOR_SAMPLES for earned in self._earned_shares]
        class_counts = list(zip(classes, request_counts, strict=True))
        total_value = sum(cls.value * count for cls, count in class_counts)
        latency_targets_ms = sum(cls.latency_target_ms * count for cls, count in class_counts)
        self.mean_latency_target_ms = latency_targets_ms / sum(request_counts)
        # Gradual: with a sharp threshold, classes with similar shares would alternate as worst-served.
        nearness = [math.exp((min(earned_shares) - share) / WORST_CLASS_RANGE) for share in earned_shares]
        worst_class_factor = settings.worst_class_weight / sum(nearness)
        return [
            settings.total_value_weight * cls.value / (total_value or 1.0) + worst_class_factor * near / count
            for cls, near, count in zip(classes, nearness, request_counts, strict=True)
        ]


class Admission:
    """Limits the requests in flight; the others are queued, and the most valuable starts first.

    Without a limit, a queue that has built up at the servers never shrinks: clients time out and retry, and
    all work goes into late responses.
    """

    def __init__(self, settings: api.Settings) -> None:
        targets_ms = [cls.latency_target_ms for cls in settings.classes]
        self.class_values = ClassValues(settings)
        self.min_latency_target_ms = min(targets_ms)
        self.min_limit = 1.0
        self.in_flight = 0
        # By class index and `value_share`: the queued requests by id, the newest last.
        self.queues: dict[tuple[int, float], dict[str, Request]] = {}
        self.responses = DecayingAverage(max(targets_ms))
        self.target_usage = DecayingAverage(2.0 * max(targets_ms))  # latency / latency target of requests
        self.started_at: float | None = None

    def add_class(self, settings: api.Settings) -> None:
        """Add the last class of these settings."""
        self.class_values.add_class(settings)
        self.min_latency_target_ms = min(self.min_latency_target_ms, settings.classes[-1].latency_target_ms)

    def concurrency_limit(self, now: float) -> float:
        """Return how many requests may be in flight: completion rate times normal latency (Little's law)."""
        if self.started_at is None:
            self.started_at = now
        self.responses.decay(now)
        decay_ms = self.responses.decay_ms
        observed_share = 1.0 - math.exp(min(self.started_at - now, -1.0) / decay_ms)
        completion_rate = self.responses.count / decay_ms / observed_share
        # With many balancers each gets few requests, so arrivals vary: short bursts are admitted.
        target_usage = self.target_usage.mean(0.0, 1.0, now)
        burst_share = min(max((OVERLOAD_USAGE - target_usage) / BURST_USAGE_RANGE, 0.0), 1.0)
        normal_latency_ms = LATENCY_TARGET_SHARE * self.class_values.mean_latency_target_ms
        overload_latency_ms = OVERLOAD_LATENCY_SHARE * self.min_latency_target_ms
        latency_ms = burst_share * normal_latency_ms + (1.0 - burst_share) * overload_latency_ms
        mean = completion_rate * latency_ms
        return self.min_limit + max(mean, burst_share * BURST_DEVIATIONS * math.sqrt(mean))

    def has_capacity(self, request: Request, now: float) -> bool:
        """Return whether the request may be sent now. Capacity is reserved by value only as latencies grow.

        If it always were, low-value requests would be rejected below the limit and retried repeatedly.
        """
        target_usage = self.target_usage.mean(0.0, 1.0, now)
        reserved_share = min(max((target_usage - RESERVE_FROM_USAGE) / RESERVE_USAGE_RANGE, 0.0), 1.0)
        values = self.class_values.marginal_values(now)
        value = values[request.class_index] / (max(values) or 1.0)
        share = 1.0 - VALUE_PRIORITY_SHARE * reserved_share * (1.0 - value)
        if request.value_share < 1.0:
            share *= LOW_VALUE_LIMIT_SHARE
        return self.in_flight < max(1.0, self.concurrency_limit(now) * share)

    def enqueue(self, request: Request) -> None:
        """Put the request into the queue."""
        request.is_queued = True
        self.queues.setdefault((request.class_index, request.value_share), {})[request.id] = request

    def dequeue(self, request: Request) -> None:
        """Remove the request from the queue."""
        request.is_queued = False
        queue = self.queues[request.class_index, request.value_share]
        del queue[request.id]
        if not queue:
            del self.queues[request.class_index, request.value_share]

    def next_request(self, now: float) -> Request | None:
        """Dequeue the newest (most time left) of the most valuable requests, if it may be sent now."""
        if not self.queues:
            return None
        values = self.class_values.marginal_values(now)
        queue = max(self.queues, key=lambda queue: (values[queue[0]] * queue[1], queue))
        request = next(reversed(self.queues[queue].values()))
        if not self.has_capacity(request, now):
            return None
        self.dequeue(request)
        return request
