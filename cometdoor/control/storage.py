"""Queue of a replica's pending writes, and of messages that must not be sent before them. No I/O.

The replica server takes the pending records as one batch (group commit), writes and syncs them, and reports
completion. No batch is returned while another one is being written.
"""

from __future__ import annotations

from dataclasses import dataclass

from cometdoor.control.durable_state import CommitIndex, LogEntries, Record

# A replica whose batch takes longer than this neither votes nor continues to lead, as every change would wait
# for its disk.
SLOW_WRITE_THRESHOLD_S = 0.25


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message and the internal address ("ip:port") of its receiver."""

    address: str
    message: object


@dataclass(frozen=True, slots=True)
class DeferredMessage:
    """A message that must not be sent before `record_count` records are on disk."""

    record_count: int
    outgoing: OutgoingMessage


@dataclass(frozen=True, slots=True)
class LogWatermark:
    """The durable log reaches `last_index` once `record_count` records are on disk."""

    record_count: int
    last_index: int


class StorageQueue:
    """Queue of one replica's pending writes, and of the messages that wait for them.

    Parameters
    ----------
    last_index : int
        Last index of the log that is on disk already.
    committed : int
        Commit index that is on disk already.
    """

    def __init__(self, last_index: int, committed: int) -> None:
        self.durable_index = last_index  # last index of the log that is on disk
        self._pending: list[Record] = []
        self._requested_records = self._written_records = 0  # numbers of records added, and on disk
        self._deferred: list[DeferredMessage] = []
        self._watermarks: list[LogWatermark] = []
        self._batch_started_at: float | None = None
        self._stored_commit_index = committed  # in the last `CommitIndex` record that was written

    def copy(self) -> StorageQueue:
        """Return an independent copy; everything in the lists is immutable."""
        other = StorageQueue.__new__(StorageQueue)
        other.__dict__.update(self.__dict__)
        other._pending, other._watermarks = self._pending.copy(), self._watermarks.copy()
        other._deferred = self._deferred.copy()
        return other

    @property
    def pending(self) -> list[Record]:
        """Records of the next batch."""
        return self._pending

    def is_flushed(self) -> bool:
        """Return whether all records added so far are on disk."""
        return self._written_records >= self._requested_records

    def is_slow(self, now: float) -> bool:
        """Return whether the current batch takes so long that this replica should neither vote nor lead."""
        return self._batch_started_at is not None and now - self._batch_started_at > SLOW_WRITE_THRESHOLD_S

    def add(self, *records: Record, last_index: int) -> None:
        """Add records; `last_index` is that of the log once they are written."""
        self._pending += records
        self._requested_records += len(records)
        if any(isinstance(record, LogEntries) for record in records):
            self._watermarks.append(LogWatermark(self._requested_records, last_index))

    def replace_log(self, *records: Record, last_index: int, agreed_index: int) -> None:
        """Add records that replace the log; earlier watermarks no longer apply.

        Until the records are on disk, the durable log ends at `agreed_index`: up to there the old log agrees
        with the new one.
        """
        self._watermarks.clear()
        self.durable_index = min(self.durable_index, agreed_index)
        self._pending += records
        self._requested_records += len(records)
        self._watermarks.append(LogWatermark(self._requested_records, last_index))

    def truncate(self, last_index: int) -> None:
        """Exclude entries after that index from the durable log: they were replaced.

        It also applies to records of such entries that are still being written.
        """
        self.durable_index = min(self.durable_index, last_index)
        self._watermarks = [
            LogWatermark(watermark.record_count, min(watermark.last_index, last_index))
            for watermark in self._watermarks
        ]

    def defer(self, outgoing: OutgoingMessage) -> bool:
        """Defer a message until all pending records are on disk; return False if there are none."""
        if self.is_flushed():
            return False
        self._deferred.append(DeferredMessage(self._requested_records, outgoing))
        return True

    def pop_batch(self, now: float, committed: int) -> list[Record]:
        """Return the next batch, in order; empty if nothing is pending or a batch is under way.

        A commit index that has advanced is added to the batch, never written alone.
        """
        if self._batch_started_at is not None or not self._pending:
            return []
        records, self._pending = self._pending, []
        if committed > self._stored_commit_index:
            self._stored_commit_index = committed
            self._requested_records += 1
            records.append(CommitIndex(committed))
        self._batch_started_at = now
        return records

    def on_batch_written(self, count: int, last_index: int) -> list[OutgoingMessage]:
        """Record that the last batch, of `count` records, is on disk; return the messages it releases."""
        self._batch_started_at = None
        self._written_records += count
        while self._watermarks and self._watermarks[0].record_count <= self._written_records:
            self.durable_index = self._watermarks.pop(0).last_index
        self.durable_index = min(self.durable_index, last_index)
        released = [
            deferred.outgoing for deferred in self._deferred if deferred.record_count <= self._written_records
        ]
        self._deferred = [
            deferred for deferred in self._deferred if deferred.record_count > self._written_records
        ]
        return released
