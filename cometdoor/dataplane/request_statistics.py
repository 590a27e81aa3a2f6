"""Statistics of a service client for the log: requests, retries, hedges, and attempt outcomes."""

from __future__ import annotations

from collections import Counter

from cometdoor.balancing import api
from cometdoor.balancing.api import Outcome
from cometdoor.host.interfaces import AttemptId


class RequestStatistics:
    """Observer of one host that counts its attempts.

    A hedge is an attempt that is sent while another attempt of the same request is in flight.
    """

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._outstanding: dict[str, set[int]] = {}  # indexes of attempts in flight, by request id
        self._hedges: set[AttemptId] = set()
        self._latency_sum_ms = self._max_latency_ms = 0.0  # of attempts with a response
        self._response_count = 0

    def on_endpoints_changed(self, event: api.EndpointsChanged) -> None:
        """Do nothing: endpoint changes are not counted."""

    def on_attempt_sent(
        self, server: str, attempt: AttemptId, latency_target_ms: float, now_ms: float
    ) -> None:
        """Count an attempt as the request's first attempt, a hedge or a retry."""
        request, index = attempt
        outstanding = self._outstanding.setdefault(request, set())
        self._counts["requests" if index == 0 else "hedges" if outstanding else "retries"] += 1
        if outstanding:
            self._hedges.add(attempt)
        outstanding.add(index)

    def on_attempt_ended(
        self, server: str, attempt: AttemptId, outcome: Outcome, latency_target_ms: float, now_ms: float
    ) -> None:
        """Count an attempt's outcome, and whether it is a successful hedge."""
        request, index = attempt
        outstanding = self._outstanding.get(request)
        if outstanding is None or index not in outstanding:
            return
        outstanding.discard(index)
        if not outstanding:
            del self._outstanding[request]
        self._counts[outcome.value] += 1
        if attempt in self._hedges:
            self._hedges.discard(attempt)
            self._counts["hedges_won"] += outcome is Outcome.OK

    def on_response(self, latency_ms: float) -> None:
        """Count an attempt that a backend responded to, `latency_ms` after it was sent."""
        self._response_count += 1
        self._latency_sum_ms += latency_ms
        self._max_latency_ms = max(self._max_latency_ms, latency_ms)

    def drain_counts(self) -> dict[str, float]:
        """Return and reset the counts, and the mean and longest latency of attempts in ms."""
        counts: dict[str, float] = {name: count for name, count in self._counts.items() if count}
        if self._response_count:
            counts["mean_latency_ms"] = round(self._latency_sum_ms / self._response_count, 1)
            counts["max_latency_ms"] = round(self._max_latency_ms, 1)
        self._counts.clear()
        self._latency_sum_ms = self._max_latency_ms = 0.0
        self._response_count = 0
        return counts
