"""Estimates of latency and success, by class, kind and endpoint.

Part of the decision module, see cometdoor/balancing/api.py: no clock, no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping

from cometdoor.balancing import api
from cometdoor.balancing.api import Outcome
from cometdoor.balancing.constants import PRIOR_SAMPLES
from cometdoor.balancing.decaying_average import DecayingAverage
from cometdoor.balancing.endpoints import EndpointRecord
from cometdoor.balancing.requests import Attempt, Request

MAX_SLOWDOWN = 3.0  # upper bound, so that slow endpoints keep enough turns to notice a recovery


class LatencyEstimator:
    """Recent latencies by class, and slowdowns and failures by endpoint and kind, from ended attempts."""

    def __init__(self, settings: api.Settings) -> None:
        self.failures = DecayingAverage()  # of all endpoints
        self._class_latency = [DecayingAverage() for _ in settings.classes]
        self._kind_slowdown: dict[int, DecayingAverage] = {}

    def add_class(self) -> None:
        """Add a class, which has no observations yet."""
        self._class_latency.append(DecayingAverage())

    def success_ratio(self, endpoint: EndpointRecord, now: float) -> float:
        """Return the endpoint's success rate divided by that of all endpoints, at most 1.

        If all fail equally, as when a dependency is down, no endpoint is avoided.
        """
        success = 1.0 - endpoint.failures.mean(0.0, PRIOR_SAMPLES, now)
        return min(success / max(1.0 - self.failures.mean(0.0, PRIOR_SAMPLES, now), 1e-3), 1.0)

    def slowdown(self, endpoint: EndpointRecord, now: float) -> float:
        """Return the endpoint's latency as a multiple of its class's mean, from 0.5 to `MAX_SLOWDOWN`."""
        kind = self._kind_slowdown.get(endpoint.entry.kind)
        prior = kind.mean(1.0, PRIOR_SAMPLES, now) if kind else 1.0
        return min(max(endpoint.slowdown.mean(prior, PRIOR_SAMPLES, now), 0.5), MAX_SLOWDOWN)

    def expected_ms(self, request: Request, endpoint: EndpointRecord, now: float) -> float:
        """Return the expected latency of the request at the endpoint, in ms, at least 1."""
        class_latency = self._class_latency[request.class_index]
        mean = class_latency.mean(request.cls.latency_target_ms / 2, PRIOR_SAMPLES, now)
        return max(mean * self.slowdown(endpoint, now), 1.0)

    def record_outcome(self, attempt: Attempt, request: Request, outcome: Outcome, now: float) -> None:
        """Count the latency and the outcome of an attempt that ended."""
        latency, endpoint = now - attempt.sent_at, attempt.endpoint
        if outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            failed = float(outcome is not Outcome.OK)
            endpoint.failures.add(failed, now)
            self.failures.add(failed, now)
        class_latency = self._class_latency[request.class_index]
        if outcome is Outcome.OK:
            class_latency.add(latency, now)
        elif outcome not in (Outcome.CANCELLED, Outcome.TIMEOUT):
            return
        ratio = latency / max(class_latency.mean(latency, 1.0, now), 1.0)
        if outcome is not Outcome.OK and ratio < self.slowdown(endpoint, now):
            return  # ended too early to show that the endpoint is slower than estimated
        endpoint.slowdown.add(ratio, now)
        endpoint.locality.slowdown.add(ratio, now)
        self._kind_slowdown.setdefault(endpoint.entry.kind, DecayingAverage()).add(ratio, now)

    def record_load(self, endpoint: EndpointRecord, load: Mapping[str, float], now: float) -> None:
        """Count the utilization in a response's load report, unless the report equals the last one."""
        utilization = load.get("util", -1.0)
        report = tuple(load.values())
        if utilization >= 0.0 and report != endpoint.last_load_report:
            endpoint.last_load_report = report
            endpoint.locality.utilization.add(min(utilization, 1.0), now)
