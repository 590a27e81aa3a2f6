"""Token bucket for the bytes that a machine's link can send, without I/O; times are in seconds.

The bucket may go into debt. Short messages are always sent and only counted. Large messages are sent in
chunks, and each chunk only when the debt from earlier messages is paid. The link then queues at most one
chunk and the bucket's size, so that no short message waits for more than that.
"""

from __future__ import annotations

from cometdoor.host.invariants import Invariant

LINK_SHARE = 0.95  # share of the bandwidth that is used; the rest is for headers and acknowledgements
# Time in which the link sends a chunk, and thus the maximum wait of a short message for one chunk.
CHUNK_S = 0.02
BURST_S = 0.01  # size of the bucket in seconds of the rate; timers fire some milliseconds late
MIN_CHUNK_BYTES = 4096  # lower limit, because each chunk costs a wake-up and a system call
# The maximum debt, in seconds of the rate. If short messages alone exceed the configured bandwidth, large
# messages continue soon after them, because the link may be faster than the settings say.
MAX_DEBT_S = 0.5
ROUNDING_BYTES = 1.0  # tolerance for rounding errors in sums of fractions

SHORT_WAIT_IS_BOUNDED = Invariant(
    "a short message never waits for more bytes of large messages than one chunk and the bucket size"
)


class LinkBudget:
    """The bytes that may be sent now, refilled at the rate of a link.

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
        self._large_debt = 0.0  # bytes of large messages that the link has not sent yet
        self._refilled_at = now

    def _refill(self, now: float) -> None:
        refill = max(now - self._refilled_at, 0.0) * self.bytes_per_s
        self._refilled_at = now
        self._tokens = min(self._tokens + refill, self._max_tokens)
        self._large_debt = max(self._large_debt - refill, 0.0)

    def spend(self, size: int, now: float) -> None:
        """Count a short message, which is sent regardless of the debt."""
        self._refill(now)
        self._tokens = max(self._tokens - size, -MAX_DEBT_S * self.bytes_per_s)
        limit = self.chunk_bytes + self._max_tokens + ROUNDING_BYTES
        SHORT_WAIT_IS_BOUNDED.check(self._large_debt <= limit)

    def spend_chunk(self, size: int, now: float) -> None:
        """Count a chunk of a large message; callers check `seconds_until_free` first."""
        self._refill(now)
        self._tokens -= size
        self._large_debt += size

    def seconds_until_free(self, now: float) -> float:
        """Return the time in seconds until a chunk may be sent; 0: now."""
        self._refill(now)
        return max(-self._tokens / self.bytes_per_s, 0.0)
