"""Disk space of one replica over an hour of large changes, in virtual time over real files.

`ReplicaServer`, the replica and the log are the production code. The clock, the event loop and the duration
of disk operations are simulated, and `fsync` is not called. The disk is slow for five minutes, hangs for
twenty seconds, and for a minute fails every write after it has written the bytes.

    python -m simulation.long_run [SECONDS]
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import mock

import msgspec

from cometdoor.budget.allocator import BudgetAllocator
from cometdoor.control import write_ahead_log
from cometdoor.control.replica_server import ReplicaServer
from cometdoor.control.sizing import Sizing
from cometdoor.control.state_machine import ApplyResult
from cometdoor.control.write_ahead_log import recover_log
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.log_entries import ConfigurationChange, Member
from simulation.event_loop import VirtualLoop
from simulation.invariants import InvariantError
from simulation.virtual_transport import Process

HOUR_S = 3600.0
CHANGES_PER_S = 3
BODY_BYTES = 250_000
MAX_IN_FLIGHT = 8  # pending changes of the operator
POLL_INTERVAL_S = 1.0  # while the last changes are pending
SLOW_WRITE_S = 0.5
NO_SPACE_ERRNO = 28


@dataclass(frozen=True, slots=True)
class DiskFault:
    """A fault of the disk and when it begins."""

    starts_at_share: float  # start of the fault, as a share of the run's duration
    duration_s: float
    write_s: float = 0.0
    fails_syncs: bool = False


DISK_FAULTS = (
    DiskFault(0.2, 300.0, write_s=SLOW_WRITE_S),
    DiskFault(0.5, 20.0, write_s=20.0),
    DiskFault(0.7, 60.0, fails_syncs=True),
)


class _DiskLoop(VirtualLoop):
    """An event loop that delays work in the disk's thread according to the active fault."""

    def __init__(self, seconds: float) -> None:
        super().__init__()
        self._started_at, self._seconds = self.time(), seconds

    def active_fault(self) -> DiskFault | None:
        elapsed_s = self.time() - self._started_at
        for fault in DISK_FAULTS:
            starts_at = fault.starts_at_share * self._seconds
            if starts_at <= elapsed_s < starts_at + min(fault.duration_s, self._seconds / 10):
                return fault
        return None

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, work: Callable[..., Any], *arguments: Any
    ) -> asyncio.Future[Any]:
        active_fault = self.active_fault()
        if active_fault is None or not active_fault.write_s:
            return super().run_in_executor(executor, work, *arguments)
        future: asyncio.Future[Any] = self.create_future()
        done = super().run_in_executor(executor, work, *arguments)
        remaining_s = (
            active_fault.write_s
            if active_fault.write_s == SLOW_WRITE_S
            else self._remaining_fault_s(active_fault)
        )
        done.add_done_callback(lambda finished: self.call_later(remaining_s, _copy_outcome, finished, future))
        return future

    def _remaining_fault_s(self, active_fault: DiskFault) -> float:
        elapsed_s = self.time() - self._started_at
        return max(active_fault.starts_at_share * self._seconds + active_fault.duration_s - elapsed_s, 0.0)


def _copy_outcome(done: asyncio.Future[Any], target: asyncio.Future[Any]) -> None:
    error = done.exception()
    if error is None:
        target.set_result(done.result())
    else:
        target.set_exception(error)


@dataclass
class LongRunFigures:
    """Disk space, writes and failures of one run."""

    seconds: float
    acknowledged: int = 0
    failed_syncs: int = 0
    compactions: int = 0
    peak_bytes: int = 0  # of all files in the directory
    written_bytes: int = 0
    max_acknowledgement_s: float = 0.0
    lost: int = 0  # acknowledged changes that are not on disk at the end


class LongRun:
    """One replica under a load of changes, on a disk with the faults of DISK_FAULTS."""

    def __init__(self, directory: Path, seconds: float) -> None:
        self._directory = directory
        self.loop = _DiskLoop(seconds)
        self.figures = LongRunFigures(seconds)
        self._in_flight = 0
        self._revision = 0
        self._acknowledged = 0  # newest acknowledged revision
        me = Member("", "10.0.0.1:1", "10.0.0.1:2")
        self._replica_server = ReplicaServer(
            self.loop,
            PeerConnections(self.loop, lambda message, connection, call_id: None),
            directory,
            me,
            60.0,
            on_changed=lambda: None,
            on_disk_writer_failed=self._on_disk_writer_failed,
            new_budget_allocator=lambda now: BudgetAllocator(0.2, 10.0, 10.0, now),
            seeds=[],
            founders=(msgspec.structs.replace(me, id="founder"),),
            sizing=Sizing(),
        )

    def _on_disk_writer_failed(self) -> None:
        raise InvariantError("the disk writer failed for another reason than the disk")

    def run(self) -> LongRunFigures:
        self.loop.run_as(Process("10.0.0.1:1", "controlplane"), self._replica_server.start)
        self.loop.run_until_complete(self._propose_all())
        self._replica_server.stop()
        self._replica_server.log_file.close()
        recovered, _ = recover_log(self._directory)
        durable_revisions = [
            entry.change.revision
            for entry in recovered.durable_state.entries
            if isinstance(entry.change, ConfigurationChange)
        ]
        newest = durable_revisions[-1] if durable_revisions else self._replica_server.state.revision
        self.figures.lost = max(self._acknowledged - newest, 0)
        return self.figures

    async def _propose_all(self) -> None:
        started_at = self.loop.time()
        while self.loop.time() - started_at < self.figures.seconds:
            await asyncio.sleep(1 / CHANGES_PER_S)
            if self._in_flight < MAX_IN_FLIGHT and self._replica_server.is_leading:
                self._propose_change()
        while self._in_flight:
            await asyncio.sleep(POLL_INTERVAL_S)

    def _propose_change(self) -> None:
        # Each change is based on the previous one, even while that is pending. If one fails, so do all that
        # are based on it.
        base = self._revision if self._in_flight else self._replica_server.state.revision
        self._revision += 1
        self._in_flight += 1
        revision, started_at = self._revision, self.loop.time()
        body = (b"%d " % revision).ljust(BODY_BYTES, b".")

        def on_applied(result: ApplyResult | None) -> None:
            self._in_flight -= 1
            if result is not None and result.accepted:
                self.figures.acknowledged += 1
                self._acknowledged = max(self._acknowledged, revision)
                self.figures.max_acknowledgement_s = max(
                    self.figures.max_acknowledgement_s, self.loop.time() - started_at
                )

        self._replica_server.propose(ConfigurationChange(base, revision, body), on_applied)

    # --- the disk ---

    def sync_file(self, path: Path) -> None:
        self._measure()
        active_fault = self.loop.active_fault()
        if active_fault is not None and active_fault.fails_syncs:
            self.figures.failed_syncs += 1
            raise OSError(NO_SPACE_ERRNO, "No space left on device")

    def remove_file(self, path: Path) -> None:
        self._measure()
        size = path.stat().st_size
        self.figures.written_bytes += size
        for file in (path, path.with_suffix(".dir"), path.with_suffix(".bak")):
            file.unlink(missing_ok=True)
        self.figures.compactions += 1

    def _measure(self) -> None:
        size = sum(entry.stat().st_size for entry in os.scandir(self._directory))
        self.figures.peak_bytes = max(self.figures.peak_bytes, size)


def long_run(seconds: float = HOUR_S) -> LongRunFigures:
    with TemporaryDirectory(prefix="cometdoor-simulation-") as name, ExitStack() as stack:
        run = LongRun(Path(name), seconds)
        for function in (run.sync_file, run.remove_file):
            stack.enter_context(mock.patch.object(write_ahead_log, function.__name__, function))
        try:
            return run.run()
        finally:
            run.loop.close()


if __name__ == "__main__":
    figures = long_run(float(sys.argv[1]) if len(sys.argv) > 1 else HOUR_S)
    print(msgspec.json.encode(figures).decode())
