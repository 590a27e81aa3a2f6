"""Statistics of a service client for the log: requests, retries, hedges, and outcomes of attempts."""

from __future__ import annotations

from collections import Counter

from cometdoor.balancing import api
from cometdoor.balancing.api import Outcome
from cometdoor.host.interfaces import AttemptId
from cometdoor.wire.forwarding import ForwardResponse


class LatencyPhases:
    """Where attempts that got a response spent their time: queue, execution, or between the proxies.

    Without the split, a slow backend, one with too few slots and a congested link look alike to a caller.
    """

    def __init__(self) -> None:
        self._count = 0
        self._queued_ms = self._executed_ms = self._in_transit_ms = self._max_in_transit_ms = 0.0

    def add(self, response: ForwardResponse, elapsed_ms: float) -> None:
        """Add an attempt that took `elapsed_ms` from its call to its reply."""
        in_transit_ms = max(elapsed_ms - response.queued_ms - response.executed_ms, 0.0)
        self._count += 1
        self._queued_ms += response.queued_ms
        self._executed_ms += response.executed_ms
        self._in_transit_ms += in_transit_ms
        self._max_in_transit_ms = max(self._max_in_transit_ms, in_transit_ms)

    def means(self) -> dict[str, float]:
        """Return the mean time of each phase and the longest time in transit, in ms; empty without any."""
        if not self._count:
            return {}
        return {
            "queued_ms": round(self._queued_ms / self._count, 1),
            "executed_ms": round(self._executed_ms / self._count, 1),
            "in_transit_ms": round(self._in_transit_ms / self._count, 1),
            "max_in_transit_ms": round(self._max_in_transit_ms, 1),
        }


class RequestStatistics:
    """Observer of one host: counts its attempts.

    A hedge is an attempt that is sent while another one of the same request is in flight.
    """

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._outstanding: dict[str, set[int]] = {}  # indexes of attempts in flight, by request id
        self._hedges: set[AttemptId] = set()
        self._phases = LatencyPhases()

    def on_endpoints_changed(self, event: api.EndpointsChanged) -> None:
        """Ignore the change: it is not counted."""

    def on_attempt_sent(
        self, server: str, attempt: AttemptId, latency_target_ms: float, now_ms: float
    ) -> None:
        """Count an attempt, as the request's first, a hedge or a retry."""
        request, index = attempt
        outstanding = self._outstanding.setdefault(request, set())
        self._counts["requests" if index == 0 else "hedges" if outstanding else "retries"] += 1
        if outstanding:
            self._hedges.add(attempt)
        outstanding.add(index)

    def on_attempt_ended(
        self, server: str, attempt: AttemptId, outcome: Outcome, latency_target_ms: float, now_ms: float
    ) -> None:
        """Count an attempt's outcome, and a hedge that succeeded."""
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

    def on_response(self, response: ForwardResponse, elapsed_ms: float) -> None:
        """Add the phases of an attempt that a backend responded to, `elapsed_ms` after it was sent."""
        self._phases.add(response, elapsed_ms)

    def drain_counts(self) -> dict[str, float]:
        """Return the counts since the last call, and the mean time of each phase in ms."""
        counts, self._counts = self._counts, Counter()
        phases, self._phases = self._phases, LatencyPhases()
        return {name: count for name, count in counts.items() if count} | phases.means()
