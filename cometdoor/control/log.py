"""A replica's log in memory: a snapshot, and the entries after it. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from cometdoor.control.durable import Snapshot
from cometdoor.wire.messages import Entry, Member, Members


def is_membership(entry: Entry) -> bool:
    """Whether the entry changes who belongs to the group."""
    return isinstance(entry.change, Members)


class Log:
    """Indices count from 1; `base` is the last index that only the snapshot covers (0 without one)."""

    def __init__(self, snapshot: Snapshot | None, entries: Sequence[Entry]) -> None:
        self.snapshot = snapshot
        self.entries = list(entries)
        self.members: tuple[Member, ...] = ()  # of the newest configuration of the group, committed or not
        self._find_members()

    def copy(self) -> Log:
        """Independent of this one; entries and snapshots are immutable and shared."""
        other = Log.__new__(Log)
        other.snapshot, other.entries, other.members = self.snapshot, self.entries.copy(), self.members
        return other

    @property
    def base(self) -> int:
        return self.snapshot.last_index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        return self.entries[-1].index if self.entries else self.base

    @property
    def last_term(self) -> int:
        return self.term_at(self.last_index) or 0

    def term_at(self, index: int) -> int | None:
        """None: the log has no such entry, or it lies inside the snapshot."""
        if index == self.base:
            return self.snapshot.last_term if self.snapshot else 0
        place = index - self.base - 1
        return self.entries[place].term if 0 <= place < len(self.entries) else None

    def entry(self, index: int) -> Entry:
        """IndexError: it is not here."""
        return self.entries[index - self.base - 1]

    def after(self, index: int, limit: int | None = None) -> list[Entry]:
        """Entries behind that index, which must not lie before `base`."""
        place = index - self.base
        return self.entries[place : None if limit is None else place + limit]

    def append(self, entry: Entry) -> None:
        self.entries.append(entry)
        if isinstance(entry.change, Members):
            self.members = entry.change.members

    def replace_from(self, entries: list[Entry]) -> None:
        """The entries take the place of whatever stood from the first one's index on."""
        self.entries = [*self.entries[: entries[0].index - self.base - 1], *entries]
        self._find_members()

    def install(self, snapshot: Snapshot) -> None:
        """Begin with this snapshot; entries behind it stay if the log agrees with it."""
        agrees = self.term_at(snapshot.last_index) == snapshot.last_term
        self.entries = [entry for entry in self.entries if agrees and entry.index > snapshot.last_index]
        self.snapshot = snapshot
        self._find_members()

    def compact(self, index: int, state: bytes) -> None:
        """Entries up to `index` go into a snapshot whose state machine is `state`."""
        term = self.term_at(index)
        assert term is not None
        dropped = self.entries[: index - self.base]
        members = self.snapshot.members if self.snapshot else ()
        for entry in dropped:
            if isinstance(entry.change, Members):
                members = entry.change.members
        self.entries = self.entries[index - self.base :]
        self.snapshot = Snapshot(index, term, members, state)

    def _find_members(self) -> None:
        for entry in reversed(self.entries):
            if isinstance(entry.change, Members):
                self.members = entry.change.members
                return
        self.members = self.snapshot.members if self.snapshot else ()
