"""Sums over a sliding window, and maxima of amounts that expire."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

SLOT_S = 0.5  # time resolution of a sum


class SlidingWindowSum:
    """Sum of amounts over a sliding window of `window_s` seconds.

    Amounts are accumulated in slots of `SLOT_S`; a slot counts in full while any part of it is in the window.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._slots: deque[list[float]] = deque()  # [slot number, sum]

    def add(self, amount: float, now: float) -> None:
        """Add an amount; `now`, in seconds, must not decrease from call to call."""
        slot = now // SLOT_S
        if not self._slots or self._slots[-1][0] != slot:
            self._slots.append([slot, 0.0])
        self._slots[-1][1] += amount

    def sum(self, now: float) -> float:
        """Return the sum over the window that ends now."""
        while self._slots and (self._slots[0][0] + 1) * SLOT_S <= now - self._window_s:
            self._slots.popleft()
        return sum(amount for _, amount in self._slots)


class _Amount(NamedTuple):
    expires_at: float
    amount: float


class ExpiringMaximum:
    """Maximum of the amounts that have not expired."""

    def __init__(self) -> None:
        self._amounts: deque[_Amount] = deque()  # ordered by expiry

    def add(self, amount: float, expires_at: float) -> None:
        """Add an amount; `expires_at`, in seconds, must not decrease from call to call."""
        self._amounts.append(_Amount(expires_at, amount))

    def maximum(self, now: float) -> float:
        """Return the largest amount, or 0 if all have expired."""
        while self._amounts and self._amounts[0].expires_at <= now:
            self._amounts.popleft()
        return max((amount for _, amount in self._amounts), default=0.0)
