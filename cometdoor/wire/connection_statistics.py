"""Statistics of the connections to other processes, for the log: reasons of closes, silence of peers."""

from __future__ import annotations

from collections import Counter


class ConnectionStatistics:
    """Counts of closed connections by reason, and the longest time that a peer took to answer a ping.

    Both show a peer or a link that is in trouble while the process at the other end runs.
    """

    def __init__(self) -> None:
        self.closed: Counter[str] = Counter()  # closed connections by reason, since the start
        self._reported: Counter[str] = Counter()  # what of them was reported
        self._max_ping_s = 0.0

    def on_closed(self, reason: str) -> None:
        """Count a connection that was closed; `reason`: as its pending calls are told."""
        self.closed[reason] += 1

    def on_ping_answered(self, elapsed_s: float) -> None:
        """Record that something arrived `ping_s` seconds after a ping."""
        self._max_ping_s = max(self._max_ping_s, elapsed_s)

    def report(self) -> dict[str, object]:
        """Return the statistics since the last report; empty if there are none."""
        counts: dict[str, object] = {}
        if closed := self.closed - self._reported:
            counts["closed"] = dict(closed)
        if self._max_ping_s:
            counts["max_ping_ms"] = round(self._max_ping_s * 1000.0, 1)
        self._reported, self._max_ping_s = self.closed.copy(), 0.0
        return counts
