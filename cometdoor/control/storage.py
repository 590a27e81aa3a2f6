"""What a replica has yet to write, and the messages that must not leave before it is written. No I/O.

Whoever drives the replica takes the pending records as one batch (group commit), writes and syncs them, and
says so. Batches follow one another: none is handed out while one is under way.
"""

from __future__ import annotations

from dataclasses import dataclass

from cometdoor.control.durable import CommitIndex, LogEntries, Record

# A replica whose batch has been under way for so long neither votes nor leads on: all that is ordered waits.
SLOW_WRITE_S = 0.25


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the internal address ("ip:port") that it goes to."""

    address: str
    message: object


@dataclass(frozen=True, slots=True)
class HeldBack:
    """A message that waits until `records` records are on disk."""

    records: int
    outgoing: Outgoing


@dataclass(frozen=True, slots=True)
class LogMark:
    """With `records` records on disk the log is there up to `last_index`."""

    records: int
    last_index: int


class StorageQueue:
    def __init__(self, last_index: int, committed: int) -> None:
        self.durable_index = last_index  # up to where this replica's log is on its disk
        self._pending: list[Record] = []
        self._requested = self._written = 0  # records: all that were asked for, and those on disk
        self._held_back: list[HeldBack] = []
        self._marks: list[LogMark] = []
        self._batch_began: float | None = None
        self._stored_commit_index = committed

    def copy(self) -> StorageQueue:
        """Independent of this one; all that the lists hold is immutable."""
        other = StorageQueue.__new__(StorageQueue)
        other.__dict__.update(self.__dict__)
        other._pending, other._marks = self._pending.copy(), self._marks.copy()
        other._held_back = self._held_back.copy()
        return other

    @property
    def pending(self) -> list[Record]:
        return self._pending

    def is_drained(self) -> bool:
        """Whether all that was asked for is on disk."""
        return self._written >= self._requested

    def is_slow(self, now: float) -> bool:
        return self._batch_began is not None and now - self._batch_began > SLOW_WRITE_S

    def add(self, *records: Record, last_index: int) -> None:
        """`last_index`: of the log once these records are written."""
        self._pending += records
        self._requested += len(records)
        if any(isinstance(record, LogEntries) for record in records):
            self._marks.append(LogMark(self._requested, last_index))

    def replace_log(self, *records: Record, last_index: int, agreed: int) -> None:
        """As `add`, where the records begin the log anew: earlier marks mean nothing any more. Until they are
        on disk, what lies there counts up to `agreed` only: up to where the old log is like the new one."""
        self._marks.clear()
        self.durable_index = min(self.durable_index, agreed)
        self._pending += records
        self._requested += len(records)
        self._marks.append(LogMark(self._requested, last_index))

    def truncate(self, last_index: int) -> None:
        """Entries behind that index were replaced: what is or comes on disk of them does not count."""
        self.durable_index = min(self.durable_index, last_index)
        self._marks = [LogMark(mark.records, min(mark.last_index, last_index)) for mark in self._marks]

    def hold_back(self, outgoing: Outgoing) -> bool:
        """Keep the message until all that is pending now is on disk; False: nothing is pending."""
        if self.is_drained():
            return False
        self._held_back.append(HeldBack(self._requested, outgoing))
        return True

    def take(self, now: float, committed: int) -> list[Record]:
        """The next batch, in order; empty while there is none or the last one is still under way."""
        if self._batch_began is not None or not self._pending:
            return []
        records, self._pending = self._pending, []
        if committed > self._stored_commit_index:
            self._stored_commit_index = committed
            self._requested += 1
            records.append(CommitIndex(committed))
        self._batch_began = now
        return records

    def completed(self, count: int, last_index: int) -> list[Outgoing]:
        """The batch that was taken last, of `count` records, is on disk; the messages that may leave now."""
        self._batch_began = None
        self._written += count
        while self._marks and self._marks[0].records <= self._written:
            self.durable_index = self._marks.pop(0).last_index
        self.durable_index = min(self.durable_index, last_index)
        ready = [one.outgoing for one in self._held_back if one.records <= self._written]
        self._held_back = [one for one in self._held_back if one.records > self._written]
        return ready
