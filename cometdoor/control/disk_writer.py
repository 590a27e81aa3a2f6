"""Writes a replica's log on a separate thread, and retries failed writes until they succeed.

Batches are written one at a time, as `WriteAheadLog` requires. The caller decides what is written and when
the log is compacted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import structlog

from cometdoor.control.durable_state import Record
from cometdoor.control.write_ahead_log import DiskError, WriteAheadLog

WRITE_RETRY_DELAY_S = 0.2  # between a failed write and its retry
log = structlog.get_logger()


class DiskWriter:
    """Runs the blocking calls of a `WriteAheadLog` for an event loop.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Loop on which the writer is called and calls back.
    log_file : WriteAheadLog
        An opened log; nothing else may write to it.
    on_written : Callable[[int], None]
        Called after each write, with the number of records of the `StorageQueue` batch that it contained.
    on_failed : Callable[[], None]
        Called when a write failed for another reason than the disk, so that repeating it would not help.
        The writer accepts no more writes; what was not written was never acknowledged.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        log_file: WriteAheadLog,
        on_written: Callable[[int], None],
        on_failed: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._log_file = log_file
        self._on_written = on_written
        self._on_failed = on_failed
        self._executor = ThreadPoolExecutor(1, "disk")
        self.is_writing = False  # while True the caller must not submit another write
        self.has_written = False  # a write of this incarnation has succeeded

    def append(self, records: Sequence[Record]) -> None:
        """Append records to the current file."""
        self._submit(partial(self._log_file.append, records), len(records))

    def rotate(self, records: Sequence[Record], count: int) -> None:
        """Start a new file with `records`, the complete state; it completes a batch of `count` records."""
        self._submit(partial(self._log_file.rotate, records), count)

    def stop(self) -> None:
        """Accept no more writes; one that is under way is not awaited."""
        self._executor.shutdown(wait=False)

    def _submit(self, write: Callable[[], None], count: int) -> None:
        self.is_writing = True
        future = self._loop.run_in_executor(self._executor, write)
        future.add_done_callback(lambda done: self._on_completed(done, write, count))

    def _on_completed(self, done: asyncio.Future[None], write: Callable[[], None], count: int) -> None:
        if done.cancelled():
            return
        error = done.exception()
        if isinstance(error, DiskError):
            # A full or failing disk must not end the process: the same write is retried without limit.
            log.warning(
                "write to the disk failed; it is repeated until it succeeds",
                step=error.step,
                peer=error.peer,
                error=str(error),
            )
            self._loop.call_later(WRITE_RETRY_DELAY_S, self._submit, write, count)
            return
        if error is not None:
            log.error("disk writer failed; the process ends", step="write", error=repr(error))
            self._on_failed()
            return
        self.is_writing, self.has_written = False, True
        self._on_written(count)
