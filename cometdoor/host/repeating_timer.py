"""A timer that repeats for as long as its process runs, whatever happens in one of its calls."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

log = logging.getLogger(__name__)


class RepeatingTimer:
    """Calls a function at an interval; a call that fails is logged and does not end the timer.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Loop on which the function is called.
    interval_s : float
        Time in seconds from the end of a call to the next one.
    callback : Callable[[], None]
        The function.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, interval_s: float, callback: Callable[[], None]
    ) -> None:
        self._loop = loop
        self._interval_s = interval_s
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._is_stopped = False

    def start(self) -> None:
        """Call the function now, and then at the interval."""
        try:
            self._callback()
        except Exception:
            log.exception("periodic work failed, and is repeated: %s", self._callback.__qualname__)
        self.start_after_interval()

    def start_after_interval(self) -> None:
        """Call the function after the interval, and then at the interval."""
        if not self._is_stopped:
            self._handle = self._loop.call_later(self._interval_s, self.start)

    def stop(self) -> None:
        """Make no further calls."""
        self._is_stopped = True
        if self._handle is not None:
            self._handle.cancel()
