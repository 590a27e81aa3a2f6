"""Records membership changes and checks that they form a history of one sequential group.

The record consists of join requests, wiped disks, each membership change that any replica committed, and the
members that operators read at a leader that a read round confirmed. The sequential group admits one member at
a time, as a learner that requested to join and whose disk is not wiped. It promotes and demotes one member at
a time. It removes learners, and voters only if their disk is wiped. It always keeps as many voters as it
needs.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import pairwise

from cometdoor.control.sizing import Sizing
from cometdoor.wire.log_entries import Member, MembershipChange
from simulation.invariants import InvariantError
from simulation.replica_group import JOIN_RETRY_INTERVAL_S, ReplicaGroup

READ_INTERVAL_S = 0.05
GroupConfiguration = tuple[Member, ...]


@dataclass(frozen=True)
class RecordedChange:
    """A committed membership change; `seen_at`: when a replica first had it committed."""

    index: int
    term: int
    members: GroupConfiguration
    seen_at: float


@dataclass(frozen=True)
class RecordedRead:
    """Members that an operator read, and when the read began and ended."""

    started_at: float
    ended_at: float
    members: GroupConfiguration


@dataclass
class MembershipHistory:
    """The membership changes that were committed, checked against a sequential group."""

    sizing: Sizing
    changes: list[RecordedChange] = field(default_factory=list)
    reads: list[RecordedRead] = field(default_factory=list)
    join_requested_at: dict[str, float] = field(default_factory=dict)  # by id: time of the first request
    wiped_at: dict[str, float] = field(default_factory=dict)  # by id of the member on the disk: time

    def check(self) -> None:
        """Raise InvariantError unless the record is a history of a sequential group."""
        changes = sorted(self.changes, key=lambda change: change.index)
        max_voters = 0
        for before, after in pairwise(changes):
            if after.term < before.term:
                raise InvariantError(
                    f"entry {after.index} has a term of an older leader than entry {before.index}"
                )
            max_voters = max(max_voters, len(_voters(before.members)))
            self._check_change(before.members, after, max_voters)
        for read in self.reads:
            self._check_read(changes, read)

    def _check_change(self, before: GroupConfiguration, after: RecordedChange, max_voters: int) -> None:
        old, new = ({member.id: member for member in members} for members in (before, after.members))
        changed = [id for id in old.keys() | new.keys() if old.get(id) != new.get(id)]
        if len(changed) != 1 or len(new) != len(after.members):
            raise InvariantError(f"entry {after.index} changes {len(changed)} members at once")
        (id,) = changed
        if id not in old:
            self._check_admitted(new[id], after)
        elif id not in new:
            if old[id].voter and not self._is_wiped(id, after.seen_at):
                raise InvariantError(f"entry {after.index} removes the voter {id}, whose disk is there")
        elif old[id].voter and len(_voters(after.members)) < self.sizing.target_voters:
            raise InvariantError(f"entry {after.index} demotes the voter {id}, which is needed")
        needed = min(max_voters, self.sizing.min_voters)
        if len(_voters(after.members)) < needed:
            raise InvariantError(
                f"entry {after.index} leaves {len(_voters(after.members))} of {needed} voters"
            )

    def _check_admitted(self, joiner: Member, change: RecordedChange) -> None:
        if joiner.voter:
            raise InvariantError(f"entry {change.index} admits {joiner.id} as a voter")
        if self.join_requested_at.get(joiner.id, change.seen_at + 1.0) > change.seen_at:
            raise InvariantError(f"entry {change.index} admits {joiner.id}, which has not asked to join")
        earlier = [other for other in self.changes if other.index < change.index]
        was_member = any(member.id == joiner.id for other in earlier for member in other.members)
        if was_member and self._is_wiped(joiner.id, change.seen_at):
            raise InvariantError(f"entry {change.index} admits {joiner.id} again, whose disk is gone")

    def _is_wiped(self, id: str, by: float) -> bool:
        return self.wiped_at.get(id, by + 1.0) <= by

    def _check_read(self, changes: Sequence[RecordedChange], read: RecordedRead) -> None:
        """Check that a read returned members that were in force at some time while it was in progress."""
        older = [change for change in changes if change.seen_at <= read.started_at]
        later = [change for change in changes if read.started_at < change.seen_at <= read.ended_at]
        if read.members not in [change.members for change in [*older[-1:], *later]]:
            raise InvariantError(
                f"a read at {read.started_at:.2f} s returned members that were not in force then"
            )


def _voters(members: GroupConfiguration) -> list[Member]:
    return [member for member in members if member.voter]


class MembershipRecordedGroup(ReplicaGroup):
    """A replica group that records its membership changes."""

    def __init__(
        self, seed: int, machines: int, *, fault_tolerance: int | None = None, compact_after_entries: int = 0
    ) -> None:
        self.history = MembershipHistory(Sizing())
        self._pending_read: tuple[int, int, int, float] | None = None  # machine, incarnation, round, start
        self._next_read_at = 0.0
        self._last_recorded_index = 0
        super().__init__(seed, machines, compact_after_entries, fault_tolerance=fault_tolerance)
        self.history.sizing = Sizing(self.fault_tolerance, machines)

    def wipe(self, machine_index: int) -> None:
        id = self.machines[machine_index].disk.read_durable_state().id
        super().wipe(machine_index)
        if id:
            self.history.wiped_at[id] = self.now

    def _step(self) -> None:
        super()._step()
        for machine in self.machines:
            if machine.replica is not None and machine.next_join_at == self.now + JOIN_RETRY_INTERVAL_S:
                self.history.join_requested_at.setdefault(machine.replica.me.id, self.now)
        self._record_changes()
        self._read_members()

    def _record_changes(self) -> None:
        for index in sorted(index for index in self._committed if index > self._last_recorded_index):
            self._last_recorded_index = index
            term, change = self._committed[index]
            if isinstance(change, MembershipChange):
                self.history.changes.append(RecordedChange(index, term, change.members, self.now))

    def _read_members(self) -> None:
        """Read the members as `Core.Describe` does at a leader.

        A read is recorded once a read round has confirmed the leader, and only if no change is pending.
        """
        if self._pending_read is not None:
            machine_index, incarnation, round, started_at = self._pending_read
            machine = self.machines[machine_index]
            replica = machine.replica
            if replica is None or machine.incarnation != incarnation or not replica.is_leading:
                self._pending_read = None
            elif replica.is_read_round_confirmed(round):
                self._pending_read = None
                if not replica.membership.has_change_in_flight():
                    self.history.reads.append(RecordedRead(started_at, self.now, replica.members))
        leading = [
            (machine_index, machine)
            for machine_index, machine in enumerate(self.machines)
            if machine.replica is not None and machine.replica.is_leading
        ]
        if self._pending_read is None and leading and self.now >= self._next_read_at:
            self._next_read_at = self.now + READ_INTERVAL_S
            machine_index, machine = leading[self._sequence_number % len(leading)]
            assert machine.replica is not None
            self._pending_read = (
                machine_index,
                machine.incarnation,
                machine.replica.start_read_round(),
                self.now,
            )
