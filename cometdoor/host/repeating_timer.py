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
        self._is_running = False

    def start(self) -> None:
        """Call the function now, and then at the interval; no effect while the timer runs."""
        if not self._is_running:
            self._is_running = True
            self._run()

    def start_after_interval(self) -> None:
        """Call the function after the interval, and then at the interval."""
        self._is_running = True
        self._schedule()

    def stop(self) -> None:
        """Make no further calls until the next start; may be called by the function."""
        self._is_running = False
        if self._handle is not None:
            self._handle.cancel()

    def _run(self) -> None:
        try:
            self._callback()
        except Exception:
            log.exception("periodic work failed, and is repeated: %s", self._callback.__qualname__)
        self._schedule()

    def _schedule(self) -> None:
        if self._is_running:
            self._handle = self._loop.call_later(self._interval_s, self._run)
