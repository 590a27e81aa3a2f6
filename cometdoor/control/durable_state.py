"""Records in a replica's write-ahead log, and the state that results from reading them in order.

The one-letter tags belong to the format on disk and never change. A record with an unknown tag makes its
batch unreadable (see `write_ahead_log`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from cometdoor.wire.log_entries import LogEntry, Member


class Identity(msgspec.Struct, tag="i", array_like=True, frozen=True):
    """The replica's id. It belongs to the disk: a replica on an empty disk generates a new one."""

    id: str


class HardState(msgspec.Struct, tag="p", array_like=True, frozen=True):
    """The current term and the vote in it (Raft, figure 2); on disk before any message that depends on it."""

    term: int
    voted_for: str


class LogEntries(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """Entries appended to the log; they replace all entries from the first one's index on."""

    entries: list[LogEntry]


class Snapshot(msgspec.Struct, tag="n", array_like=True, frozen=True):
    """The state machine as of `last_index`.

    With `replaces_log` all entries read before this record are dropped, also those after `last_index`.
    """

    last_index: int
    last_term: int
    members: tuple[Member, ...]
    state: bytes
    replaces_log: bool = False


class CommitIndex(msgspec.Struct, tag="k", array_like=True, frozen=True):
    """A lower bound of the commit index, written along with other records.

    It decides only what a restarted replica may report before it hears from a leader.
    """

    committed: int


Record = Identity | HardState | LogEntries | Snapshot | CommitIndex


@dataclass
class DurableState:
    """The state on a replica's disk, recovered by applying its records in order."""

    id: str = ""
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(default_factory=list)  # after the snapshot
    committed: int = 0  # lower bound of the commit index

    def apply(self, record: Record) -> None:
        """Apply the next record."""
        match record:
            case Identity():
                self.id = record.id
            case HardState():
                self.term, self.voted_for = record.term, record.voted_for
            case Snapshot():
                self.snapshot = record
                self.entries = [
                    entry
                    for entry in self.entries
                    if entry.index > record.last_index and not record.replaces_log
                ]
            case LogEntries() if record.entries:
                first = record.entries[0].index
                self.entries = [entry for entry in self.entries if entry.index < first]
                self.entries += record.entries
            case CommitIndex():
                self.committed = record.committed
