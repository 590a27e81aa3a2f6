"""The host's clock and timers. A simulation hands in its own."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    def cancel(self) -> None: ...


class Clock(Protocol):
    def now_ms(self) -> float:
        """Milliseconds; never runs back."""

    def at(self, due_ms: float, call: Callable[[], None]) -> Timer:
        """Call once, never early: a time-out that comes before its time would leave room for a senseless
        further try."""


def now_ms() -> float:
    """Milliseconds on the system's monotonic clock: the one clock of the module and its host."""
    return time.monotonic() * 1000.0


class LoopClock:
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now_ms(self) -> float:
        return now_ms()

    def at(self, due_ms: float, call: Callable[[], None]) -> Timer:
        return _LoopTimer(self._loop, due_ms, call)


class _LoopTimer:
    __slots__ = ("_call", "_due", "_handle", "_loop")

    def __init__(self, loop: asyncio.AbstractEventLoop, due_ms: float, call: Callable[[], None]) -> None:
        self._loop = loop
        self._due = due_ms
        self._call = call
        self._handle = loop.call_later(max(due_ms - now_ms(), 0.0) / 1000.0, self._ring)

    def _ring(self) -> None:
        left = self._due - now_ms()
        if left > 0.0:
            self._handle = self._loop.call_later(max(left, 1.0) / 1000.0, self._ring)
        else:
            self._call()

    def cancel(self) -> None:
        self._handle.cancel()
