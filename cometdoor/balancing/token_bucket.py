"""A token bucket. No decisions are made here; the caller passes rate, capacity and time."""

from __future__ import annotations


class TokenBucket:
    """Tokens that accrue with time, up to a capacity."""

    __slots__ = ("refilled_at", "tokens")

    def __init__(self, tokens: float = 0.0) -> None:
        self.tokens = tokens
        self.refilled_at: float | None = None  # milliseconds; None: not refilled yet

    def refill(self, rate: float, capacity: float, now: float) -> float:
        """Add `rate` tokens for each millisecond since the last refill; return the number of tokens now."""
        if self.refilled_at is not None:
            self.tokens = min(self.tokens + rate * (now - self.refilled_at), capacity)
        self.refilled_at = now
        return self.tokens
