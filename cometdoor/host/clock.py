"""Clock and timers of the balancer host; simulations provide their own implementation."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call; has no effect after the call was made."""


class Clock(Protocol):
    """Monotonic time and timers."""

    def now_ms(self) -> float:
        """Return the time in milliseconds on a monotonic clock."""

    def call_at(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Call once, never early: after an early timeout the balancer would start a useless retry."""


def now_ms() -> float:
    """Return milliseconds on the system's monotonic clock, which the balancer and its host use throughout."""
    return time.monotonic() * 1000.0


class LoopClock:
    """The system's clock and an event loop's timers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now_ms(self) -> float:
        """Return milliseconds on the system's monotonic clock."""
        return now_ms()

    def call_at(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Call once, never early."""
        return _LoopTimer(self._loop, due_ms, callback)


class _LoopTimer:
    """A timer that never fires early: the event loop's own timers may fire slightly early."""

    __slots__ = ("_callback", "_due_ms", "_handle", "_loop")

    def __init__(self, loop: asyncio.AbstractEventLoop, due_ms: float, callback: Callable[[], None]) -> None:
        self._loop = loop
        self._due_ms = due_ms
        self._callback = callback
        self._handle = loop.call_later(max(due_ms - now_ms(), 0.0) / 1000.0, self._fire)

    def _fire(self) -> None:
        remaining_ms = self._due_ms - now_ms()
        if remaining_ms > 0.0:
            self._handle = self._loop.call_later(max(remaining_ms, 1.0) / 1000.0, self._fire)
        else:
            self._callback()

    def cancel(self) -> None:
        self._handle.cancel()
