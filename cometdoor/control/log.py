"""A replica's log in memory: a snapshot, the entries after it, and some that the snapshot covers. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from cometdoor.control.durable_state import Snapshot
from cometdoor.wire.log_entries import Claim, ConfigurationChange, LogEntry, Member, MembershipChange

ENTRY_OVERHEAD_BYTES = 64  # index, term, tag and lengths
MEMBER_MAX_BYTES = 128  # upper bound of one encoded member


def estimate_entry_bytes(entry: LogEntry) -> int:
    """Estimate the encoded size of the entry in bytes; the estimate is never much too low."""
    match entry.change:
        case ConfigurationChange(body=body):
            return ENTRY_OVERHEAD_BYTES + len(body)
        case Claim() as claim:
            fields = claim.key, claim.claim_id, claim.owner, claim.supersedes
            return ENTRY_OVERHEAD_BYTES + sum(map(len, fields))
        case MembershipChange(members=members):
            return ENTRY_OVERHEAD_BYTES + MEMBER_MAX_BYTES * len(members)
    return ENTRY_OVERHEAD_BYTES


def is_membership_change(entry: LogEntry) -> bool:
    """Return whether the entry changes the members of the group."""
    return isinstance(entry.change, MembershipChange)


class Log:
    """Entries of one replica, and the newest group configuration among them.

    Indices count from 1; `base_index` is the last index that only the snapshot covers (0 without one).
    Entries in (`base_index`, `snapshot_index`] are in the snapshot too. They are retained in memory alone,
    for followers that lack only a few; a restarted replica has none of them.
    """

    def __init__(self, snapshot: Snapshot | None, entries: Sequence[LogEntry]) -> None:
        self.snapshot = snapshot
        self.entries = list(entries)
        self.base_index = self.snapshot_index
        self._base_term = snapshot.last_term if snapshot else 0
        self.members: tuple[Member, ...] = ()  # newest group configuration, committed or not
        self._update_members()

    def copy(self) -> Log:
        """Return an independent copy; entries and snapshots are immutable and shared."""
        other = Log.__new__(Log)
        other.__dict__.update(self.__dict__)
        other.entries = self.entries.copy()
        return other

    @property
    def snapshot_index(self) -> int:
        """Last index that the snapshot covers; 0 without one."""
        return self.snapshot.last_index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry, or `base_index` if there is none."""
        return self.entries[-1].index if self.entries else self.base_index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term_at(self.last_index) or 0

    def term_at(self, index: int) -> int | None:
        """Return the term at that index; None if the log ends before it or the snapshot alone covers it."""
        if index == self.base_index:
            return self._base_term
        offset = index - self.base_index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else None

    def entry(self, index: int) -> LogEntry:
        """Return the entry at that index.

        Raises
        ------
        IndexError
            The log ends before it.
        """
        return self.entries[index - self.base_index - 1]

    def entries_after(
        self, index: int, max_entries: int | None = None, max_bytes: int | None = None
    ) -> list[LogEntry]:
        """Return the entries after that index, which must not lie before `base_index`.

        With limits it returns as many as both allow, but at least one if there is any.
        """
        offset = index - self.base_index
        entries = self.entries[offset : None if max_entries is None else offset + max_entries]
        if max_bytes is None:
            return entries
        size = 0
        for count, entry in enumerate(entries):
            size += estimate_entry_bytes(entry)
            if size > max_bytes and count:
                return entries[:count]
        return entries

    def append(self, entry: LogEntry) -> None:
        """Append an entry; its index must follow the last one."""
        self.entries.append(entry)
        if isinstance(entry.change, MembershipChange):
            self.members = entry.change.members

    def replace_from(self, entries: list[LogEntry]) -> None:
        """Replace all entries from the first new one's index on.

        If the new entries only extend the log, as is usual, the cost does not depend on its length.
        """
        is_truncated = entries[0].index <= self.last_index
        if is_truncated:
            self.entries = self.entries[: entries[0].index - self.base_index - 1]
            self._update_members()
        for entry in entries:
            self.append(entry)

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log by this snapshot; entries after it stay if the log agrees with it."""
        is_consistent = self.term_at(snapshot.last_index) == snapshot.last_term
        self.entries = [
            entry for entry in self.entries if is_consistent and entry.index > snapshot.last_index
        ]
        self.snapshot = snapshot
        self.base_index, self._base_term = snapshot.last_index, snapshot.last_term
        self._update_members()

    def compact(self, index: int, state: bytes, retain_bytes: int = 0) -> None:
        """Move entries up to `index` into a snapshot.

        Parameters
        ----------
        index : int
            Last index that `state` covers.
        state : bytes
            The encoded state machine.
        retain_bytes : int
            The newest of the covered entries stay in memory up to this size.
        """
        term = self.term_at(index)
        assert term is not None
        compacted = self.entries[: index - self.base_index]
        members = self.snapshot.members if self.snapshot else ()
        for entry in compacted:
            if isinstance(entry.change, MembershipChange):
                members = entry.change.members
        self.snapshot = Snapshot(index, term, members, state)
        self._drop_oldest(len(compacted) - _count_within(compacted, retain_bytes))

    def entries_after_snapshot(self) -> list[LogEntry]:
        """Return the entries that must be on disk in addition to the snapshot."""
        return self.entries_after(self.snapshot_index)

    def _drop_oldest(self, count: int) -> None:
        if count:
            last = self.entries[count - 1]
            self.base_index, self._base_term = last.index, last.term
            self.entries = self.entries[count:]

    def _update_members(self) -> None:
        for entry in reversed(self.entries):
            if isinstance(entry.change, MembershipChange):
                self.members = entry.change.members
                return
        self.members = self.snapshot.members if self.snapshot else ()


def _count_within(entries: Sequence[LogEntry], max_bytes: int) -> int:
    """Return how many of the last entries together are no longer than `max_bytes`."""
    size = 0
    for count, entry in enumerate(reversed(entries)):
        size += estimate_entry_bytes(entry)
        if size > max_bytes:
            return count
    return len(entries)
