"""Defects planted in snapshots, compaction and log files, to test the checks: each must be found.

The checks are the power losses of `simulation.power_loss` and the schedules of
`simulation.snapshot_schedules`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager, ExitStack, contextmanager
from typing import Any
from unittest import mock

import msgspec

from cometdoor.control import write_ahead_log
from cometdoor.control.chunked_transfer import ChunkedTransfer, IncomingTransfer, LargeMessage, _decoder
from cometdoor.control.durable_state import HardState, Record
from cometdoor.control.log import Log
from cometdoor.control.replica import Replica
from cometdoor.control.snapshots import Snapshots
from cometdoor.control.write_ahead_log import WriteAheadLog
from cometdoor.wire.consensus import TransferChunk
from simulation.invariants import InvariantError
from simulation.power_loss import check_power_losses
from simulation.recorded_run import record_replica_run
from simulation.snapshot_schedules import run_snapshot_schedule

SEED_COUNT = 4  # recorded runs with power losses; the first two find all that these can find
SCHEDULE_COUNT = 40
DISK_FAULT_ONE_IN = 12  # on average one disk operation in 12 fails, in every second recorded run


@contextmanager
def _installs_incomplete_snapshot() -> Any:
    """Accepts a chunk that arrives before its predecessor, and does not check the digest."""
    on_transfer_chunk = ChunkedTransfer.on_transfer_chunk

    def accept_any_chunk(self: ChunkedTransfer, chunk: TransferChunk) -> None:
        transfer = self._incoming_transfer_for(chunk)
        transfer.data.extend(bytes(max(chunk.offset - len(transfer.data), 0)))
        on_transfer_chunk(self, chunk)

    def decode_unchecked(self: ChunkedTransfer, transfer: IncomingTransfer, term: int) -> LargeMessage | None:
        try:
            return _decoder.decode(transfer.data)
        except msgspec.MsgspecError:
            return None

    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(ChunkedTransfer, "on_transfer_chunk", accept_any_chunk))
        stack.enter_context(mock.patch.object(ChunkedTransfer, "_decode", decode_unchecked))
        yield


def _removes_older_files_first() -> AbstractContextManager[Any]:
    """Removes older files before the new file is on disk."""

    def rotate(self: WriteAheadLog, records: Sequence[Record]) -> None:
        self._remove_older_files(self._file_number + 1)
        write_ahead_log.sync_directory(self.directory)
        self._create_file(records)
        write_ahead_log.sync_directory(self.directory)

    return mock.patch.object(WriteAheadLog, "rotate", rotate)


def _does_not_sync_directory() -> AbstractContextManager[Any]:
    """Syncs the new file but not the directory with its name."""

    def rotate(self: WriteAheadLog, records: Sequence[Record]) -> None:
        self._create_file(records)
        self._remove_older_files(self._file_number)

    return mock.patch.object(WriteAheadLog, "rotate", rotate)


def _writes_entries_after_log_base() -> AbstractContextManager[Any]:
    """Writes a snapshot with the entries after the log's base, not with those after the snapshot."""
    return mock.patch.object(Log, "entries_after_snapshot", lambda self: self.entries_after(self.base_index))


def _compaction_drops_vote() -> AbstractContextManager[Any]:
    """Leaves the vote out of the compacted log."""
    compact = Snapshots.compact

    def compact_without_vote(self: Snapshots) -> list[Record]:
        return [
            HardState(record.term, "") if isinstance(record, HardState) else record
            for record in compact(self)
        ]

    return mock.patch.object(Snapshots, "compact", compact_without_vote)


def _acknowledges_snapshots_too_early() -> AbstractContextManager[Any]:
    """Acknowledges an installed snapshot before it is on disk."""
    send_append_reply = Replica.send_append_reply

    def reply_before_sync(
        self: Replica, address: str, success: bool, index: int, *arguments: Any, **options: Any
    ) -> None:
        is_snapshot = index == self.log.snapshot_index
        send_append_reply(
            self,
            address,
            success,
            index,
            arguments[0],
            options.get("after_writes", False) and not is_snapshot,
        )

    return mock.patch.object(Replica, "send_append_reply", reply_before_sync)


def _accepts_torn_batch() -> AbstractContextManager[Any]:
    """Reads a first value with a wrong checksum as an empty batch."""
    scan_batches = write_ahead_log.scan_batches

    def scan_leniently(data: bytes) -> Any:
        batches = list(scan_batches(data))
        last_number = max((batch.number for batch in batches), default=0)
        if len(data) >= write_ahead_log.HEADER.size and not batches:
            batches.append(write_ahead_log.WriteBatch(last_number + 1, last_number, [], 0))
        return iter(batches)

    return mock.patch.object(write_ahead_log, "scan_batches", scan_leniently)


DEFECTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "a snapshot is installed before all parts are there": _installs_incomplete_snapshot,
    "older files go before the new one is on disk": _removes_older_files_first,
    "the new file's name is not synced": _does_not_sync_directory,
    "the entries' base is not the snapshot's": _writes_entries_after_log_base,
    "a compaction forgets the vote": _compaction_drops_vote,
    "a snapshot is told of before it is on disk": _acknowledges_snapshots_too_early,
    "a torn new file is taken for a whole one": _accepts_torn_batch,
}


def find_violation(name: str) -> str:
    """Return the first violation that the checks find in the code with the defect; empty: none."""
    with DEFECTS[name]():
        try:
            for seed in range(SEED_COUNT):
                report = check_power_losses(
                    record_replica_run(seed, DISK_FAULT_ONE_IN * (seed % 2)), seed, stop_at_first=True
                )
                if report.violations:
                    return report.violations[0]
            for seed in range(SCHEDULE_COUNT):
                run_snapshot_schedule(seed)
        except InvariantError as violation:
            return str(violation)
    return ""
