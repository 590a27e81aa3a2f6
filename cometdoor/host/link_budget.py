"""How many bytes a machine's link has room for. No I/O; callers pass the time, in seconds.

The budget is a token bucket that may go into debt: short messages are always sent and only counted, large
ones are sent in chunks, and a chunk only when the debt of what was sent before is paid. What is queued in the
link is then at most one chunk and the bucket's size, and no short message waits behind more than that.
"""

from __future__ import annotations

from cometdoor.host.invariants import Invariant

LINK_SHARE = 0.95  # of the bandwidth: the rest is for headers and for acknowledgements
# Time in which the link sends a chunk: the longest that a short message waits behind one.
CHUNK_S = 0.02
BURST_S = 0.01  # of the rate that the bucket holds: timers are late by some milliseconds
MIN_CHUNK_BYTES = 4096  # each chunk costs a wake-up and a system call
# Of the rate: the largest debt. Where short messages alone are more than the link is said to carry, large
# ones go on soon after: the link may be faster than the settings say.
MAX_DEBT_S = 0.5
ROUNDING_BYTES = 1.0  # that sums of fractions may be off

SHORT_WAIT_IS_BOUNDED = Invariant(
    "a short message never waits for more large ones than one chunk and the bucket hold"
)


class LinkBudget:
    """Bytes that may be sent at once, refilled at the rate of a link.

    Parameters
    ----------
    bandwidth_mbps
        Bandwidth of the link in megabits per second; above 0.
    now
        Current time in seconds.
    """

    def __init__(self, bandwidth_mbps: float, now: float) -> None:
        self.bytes_per_s = LINK_SHARE * bandwidth_mbps * 1e6 / 8.0
        self.chunk_bytes = max(int(CHUNK_S * self.bytes_per_s), MIN_CHUNK_BYTES)
        self._max_tokens = BURST_S * self.bytes_per_s
        self._tokens = self._max_tokens
        self._large_debt = 0.0  # of the large messages sent, less what the link has sent since
        self._refilled_at = now

    def _refill(self, now: float) -> None:
        refill = max(now - self._refilled_at, 0.0) * self.bytes_per_s
        self._refilled_at = now
        self._tokens = min(self._tokens + refill, self._max_tokens)
        self._large_debt = max(self._large_debt - refill, 0.0)

    def spend(self, size: int, now: float) -> None:
        """Count a short message, which is sent whatever the debt."""
        self._refill(now)
        self._tokens = max(self._tokens - size, -MAX_DEBT_S * self.bytes_per_s)
        limit = self.chunk_bytes + self._max_tokens + ROUNDING_BYTES
        SHORT_WAIT_IS_BOUNDED.check(self._large_debt <= limit)

    def spend_chunk(self, size: int, now: float) -> None:
        """Count a chunk of a large message; the caller has asked `seconds_until_free`."""
        self._refill(now)
        self._tokens -= size
        self._large_debt += size

    def seconds_until_free(self, now: float) -> float:
        """Return after how many seconds a chunk may be sent; 0: now."""
        self._refill(now)
        return max(-self._tokens / self.bytes_per_s, 0.0)
