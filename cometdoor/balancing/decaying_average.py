"""Exponentially decaying averages. No decisions are made here; the caller passes the time."""

from __future__ import annotations

import math

from cometdoor.balancing.constants import DECAY_MS


class DecayingAverage:
    """A mean over the recent past: each observation's weight decays with time constant `decay_ms`.

    `count` is the decayed sum of the weights, `total` the decayed sum of the weighted values.
    """

    __slots__ = ("count", "decay_ms", "total", "updated_at")

    def __init__(self, decay_ms: float = DECAY_MS) -> None:
        self.decay_ms = decay_ms
        self.count = self.total = self.updated_at = 0.0

    def add(self, value: float, now: float, weight: float = 1.0) -> None:
        """Add one observation at the time `now`, in milliseconds."""
        self.decay(now)
        self.count += weight
        self.total += weight * value

    def mean(self, prior: float, prior_count: float, now: float) -> float:
        """Return the mean, with `prior` counted as `prior_count` observations made just now."""
        self.decay(now)
        return (self.total + prior * prior_count) / (self.count + prior_count)

    def mean_without(self, part: DecayingAverage, prior: float, prior_count: float, now: float) -> float:
        """Return the mean of the observations that are not in `part`, an average of some of the same ones."""
        self.decay(now)
        part.decay(now)
        count, total = max(self.count - part.count, 0.0), max(self.total - part.total, 0.0)
        return (total + prior * prior_count) / (count + prior_count)

    def decay(self, now: float) -> None:
        """Let the weights decay until `now`."""
        if now == self.updated_at:
            return
        remaining_share = math.exp((self.updated_at - now) / self.decay_ms)
        self.count *= remaining_share
        self.total *= remaining_share
        self.updated_at = now
