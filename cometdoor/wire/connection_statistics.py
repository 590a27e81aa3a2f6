"""Statistics of the connections to other processes, for the log: reasons of closes, delays of pings."""

from __future__ import annotations

from collections import Counter


class ConnectionStatistics:
    """Counts of closed connections by reason, and the longest time that a peer took to answer a ping.

    Both reveal problems of a peer or a link while the process at the other end is still running.
    """

    def __init__(self) -> None:
        self.closed: Counter[str] = Counter()  # closed connections by reason, since the start
        self._reported: Counter[str] = Counter()  # those of them that were already reported
        self._max_ping_s = 0.0

    def on_closed(self, reason: str) -> None:
        """Count a closed connection; `reason` is that of the errors of its pending calls, if it was open."""
        self.closed[reason] += 1

    def on_ping_answered(self, elapsed_s: float) -> None:
        """Record that data arrived `elapsed_s` seconds after a ping; any data counts as an answer."""
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
