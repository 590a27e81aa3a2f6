"""Virtual time: the heap of timers that all simulations use.

`VirtualTimers` counts in seconds and stands in for an event loop, for modules without sockets of their own.
`simulation.virtual_network.VirtualClock` counts in milliseconds, as hosts do. `simulation.event_loop` runs
complete programs and keeps asyncio's own heap of timers, which tasks and transports need.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MAX_EVENTS_AT_ONE_TIME = 100_000  # with more, a callback probably reschedules itself without delay


class VirtualTimer:
    """A call that is due at some time, unless it is cancelled before."""

    __slots__ = ("_arguments", "_call")

    def __init__(self, call: Callable[..., object], arguments: tuple[Any, ...]) -> None:
        self._call: Callable[..., object] | None = call
        self._arguments = arguments

    def cancel(self) -> None:
        """Drop the call, if it was not made yet."""
        self._call = None

    def pop(self) -> Callable[..., object] | None:
        """Return the call and clear it, so that it is made only once; None if it was cancelled."""
        call, self._call = self._call, None
        return call

    @property
    def arguments(self) -> tuple[Any, ...]:
        """The arguments of the call."""
        return self._arguments


class TimerQueue:
    """Timers by due time, in any unit; those due at the same time run in the order of their scheduling."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now
        self._heap: list[tuple[float, int, VirtualTimer]] = []
        self._scheduled_count = 0

    def schedule(self, due: float, call: Callable[..., object], *arguments: Any) -> VirtualTimer:
        """Schedule a call; one that would be due in the past is due now."""
        timer = VirtualTimer(call, arguments)
        self._scheduled_count += 1
        heapq.heappush(self._heap, (max(due, self.now), self._scheduled_count, timer))
        return timer

    def run_until(self, end: float, after_each: Callable[[], None] | None = None) -> None:
        """Make all calls that are due until `end`, then set the time to `end`.

        `after_each` is called after each call. Raises RuntimeError if time does not advance.
        """
        events_at_this_time = 0
        while self._heap and self._heap[0][0] <= end:
            due, _, timer = heapq.heappop(self._heap)
            call = timer.pop()
            if call is None:
                continue
            events_at_this_time = events_at_this_time + 1 if due == self.now else 0
            if events_at_this_time > MAX_EVENTS_AT_ONE_TIME:
                raise RuntimeError(f"virtual time does not advance beyond {due}")
            self.now = due
            call(*timer.arguments)
            if after_each is not None:
                after_each()
        self.now = max(self.now, end)


class VirtualTimers(TimerQueue):
    """An event loop's timers in virtual time, in seconds from 0."""

    def time(self) -> float:
        """Return the time as an event loop does."""
        return self.now

    def call_later(self, seconds: float, call: Callable[..., object], *arguments: Any) -> VirtualTimer:
        """Schedule a call as an event loop does."""
        return self.schedule(self.now + seconds, call, *arguments)

    def call_soon(self, call: Callable[..., object], *arguments: Any) -> VirtualTimer:
        """Schedule a call for now, after all that is due now."""
        return self.schedule(self.now, call, *arguments)

    def run(self, seconds: float) -> None:
        """Advance the time by `seconds` and make all calls that are due by then."""
        self.run_until(self.now + seconds)
