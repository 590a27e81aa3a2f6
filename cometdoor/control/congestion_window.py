"""Congestion window of a chunked transfer to one follower. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

INITIAL_WINDOW_CHUNKS = 2  # of 32 KiB each; on a link of 3.5 Mbit/s they delay a heartbeat by 0.15 s
MAX_WINDOW_CHUNKS = 64  # 2 MiB: what a link of 160 Mbit/s carries in 100 ms
MAX_QUEUEING_DELAY_S = 0.05  # above the shortest round trip; the window shrinks if it is exceeded


@dataclass
class CongestionWindow:
    """Limits the number of chunks in flight to one follower according to the round-trip time.

    It works like TCP's congestion window, but reacts to delay before chunks are lost. It doubles in a round
    trip up to `slow_start_threshold`, grows by one from there, and is halved once a round trip exceeds the
    shortest one by `MAX_QUEUEING_DELAY_S`.
    """

    size_chunks: float = INITIAL_WINDOW_CHUNKS
    slow_start_threshold: float = MAX_WINDOW_CHUNKS
    min_round_trip_s: float = 1e9  # from sending a chunk to its acknowledgement
    last_decrease_at: float = -1e9

    def on_acknowledged(self, round_trip_s: float, now: float) -> None:
        """Grow or shrink the window according to the round trip of an acknowledged chunk."""
        self.min_round_trip_s = min(self.min_round_trip_s, round_trip_s)
        if round_trip_s <= self.min_round_trip_s + MAX_QUEUEING_DELAY_S:
            growth = 1.0 if self.size_chunks < self.slow_start_threshold else 1.0 / self.size_chunks
            self.size_chunks = min(self.size_chunks + growth, MAX_WINDOW_CHUNKS)
        elif now - self.last_decrease_at > round_trip_s:
            self.last_decrease_at = now
            self.size_chunks = self.slow_start_threshold = max(self.size_chunks / 2, 1.0)

    def on_loss(self) -> None:
        """Shrink the window to one chunk."""
        self.slow_start_threshold = max(self.size_chunks / 2, 1.0)
        self.size_chunks = 1.0
