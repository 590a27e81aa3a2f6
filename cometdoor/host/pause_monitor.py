"""Notices that the process stood still, and tells how old input that is read afterwards may be. No I/O.

A process that was stopped, or whose machine was suspended, goes on as if no time had passed. What lies in its
sockets then may have been sent at any time since the pause began, and nothing in it says when.
"""

from __future__ import annotations

TICK_INTERVAL_S = 0.1
# A tick that is later than this shows a pause. A shorter one counts as input that was read at once.
PAUSE_DETECTION_S = 0.3
# Time after a pause in which everything that lay in the process's sockets is read.
BACKLOG_READ_S = 0.5


class PauseMonitor:
    """Compares the times of a repeating timer; all times are in seconds on a monotonic clock.

    Parameters
    ----------
    now
        The present time.
    """

    def __init__(self, now: float) -> None:
        self.pause_count = 0
        self._last_tick_at = now
        self._pause_began_at = self._backlog_read_at = now

    def tick(self, now: float) -> None:
        """Record that the timer has fired."""
        self._notice_pause(now)
        self._last_tick_at = now

    def input_age_s(self, now: float) -> float:
        """Return how long input that is read now may have lain unread; 0 unless there was a pause."""
        self._notice_pause(now)
        return now - self._pause_began_at if now < self._backlog_read_at else 0.0

    def _notice_pause(self, now: float) -> None:
        """Notice a pause, perhaps before the timer fires: input is read first."""
        if now - self._last_tick_at <= PAUSE_DETECTION_S:
            return
        if now >= self._backlog_read_at:  # otherwise two pauses overlap, and the first one counts
            self._pause_began_at = self._last_tick_at
        self._backlog_read_at = now + BACKLOG_READ_S
        self._last_tick_at = now
        self.pause_count += 1
