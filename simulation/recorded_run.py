"""A replica group whose first machine writes real files, with a record of what its disk must guarantee.

The run includes elections, snapshots installed in chunks, compactions, restarts and failing disks.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from tempfile import TemporaryDirectory

from cometdoor.control.durable_state import DurableState, Record, Snapshot
from cometdoor.control.replica import Replica
from cometdoor.control.state_machine import StateMachineSnapshot
from cometdoor.control.write_ahead_log import WriteAheadLog, recover_log
from cometdoor.wire.consensus import AppendEntriesReply, RequestVote, RequestVoteReply
from cometdoor.wire.log_entries import Claim
from cometdoor.wire.revisions import decode
from simulation.disk_recorder import (
    DiskOperation,
    OperationRecorder,
)
from simulation.group_machine import Disk
from simulation.invariants import InvariantError
from simulation.replica_group import ReplicaGroup
from simulation.snapshot_schedules import BODY_BYTES, COMPACT_AFTER_ENTRIES, small_chunks


@dataclass
class RecordedBatch:
    """A batch of records, the durable state after it, and between which operations it was written."""

    records: Sequence[Record]
    durable_state: DurableState
    started_after: int  # number of operations before the first attempt to write it
    durable_after: float = inf  # number of operations after which it is durable


@dataclass(frozen=True, slots=True)
class Guarantee:
    """What a message promises: after `operations` recorded operations, recovery must confirm it."""

    operations: int
    term: int
    voted_for: str = ""
    index: int = 0  # acknowledged index, with the term of its entry
    index_term: int = 0


def copy_durable_state(durable_state: DurableState) -> DurableState:
    """Return a copy to which further records can be applied."""
    return DurableState(
        durable_state.id,
        durable_state.term,
        durable_state.voted_for,
        durable_state.snapshot,
        list(durable_state.entries),
        durable_state.committed,
    )


@dataclass
class FileDisk(Disk):
    """Real files. Each start of the replica opens the same directory again."""

    recorder: OperationRecorder | None = None
    batches: list[RecordedBatch] = field(default_factory=list)
    log_file: WriteAheadLog | None = None

    def reopen(self) -> FileDisk:
        assert self.recorder is not None
        if self.log_file is not None:
            self.log_file.close()
        log_file = WriteAheadLog(self.recorder.directory)
        log_file.open()
        return FileDisk(recorder=self.recorder, batches=self.batches, log_file=log_file)

    def rotate(self, records: list[Record]) -> None:
        assert self.log_file is not None
        self._record(records, DurableState(), self.log_file.rotate)

    def append(self, records: list[Record]) -> None:
        assert self.log_file is not None
        last = next(batch for batch in reversed(self.batches) if batch.durable_after < inf)
        self._record(records, copy_durable_state(last.durable_state), self.log_file.append)

    def _record(
        self, records: list[Record], durable_state: DurableState, write: Callable[[Sequence[Record]], None]
    ) -> None:
        assert self.recorder is not None
        if not self.batches or self.batches[-1].records is not records:
            for record in records:
                durable_state.apply(record)
            self.batches.append(RecordedBatch(records, durable_state, len(self.recorder.operations)))
        write(records)
        self.batch_count += 1
        self.batches[-1].durable_after = len(self.recorder.operations)

    def read_durable_state(self) -> DurableState:
        assert self.recorder is not None
        recovered, _ = recover_log(self.recorder.directory)
        if recovered.is_corrupt:
            raise InvariantError("recovery reports an intact disk as corrupt")
        return recovered.durable_state


@dataclass
class RecordedRun:
    """The operations, batches and guarantees of the first machine."""

    operations: list[DiskOperation]
    batches: list[RecordedBatch]
    guarantees: list[Guarantee]
    snapshots: dict[int, bytes]
    failed_operations: int

    @property
    def snapshots_installed(self) -> int:
        """Return how many snapshots came from a leader."""
        records = (record for batch in self.batches for record in batch.records)
        return sum(isinstance(record, Snapshot) and record.replaces_log for record in records)

    def check(self, count: int, durable_state: DurableState) -> str:
        """Return what is wrong with the state recovered after `count` operations; empty: nothing."""
        started = [batch for batch in self.batches if batch.started_after < count]
        last_durable = max(
            (index for index, batch in enumerate(started) if batch.durable_after <= count), default=-1
        )
        # Any batch that was started since then may be on disk, even if it was not reported as written.
        allowed_states = [batch.durable_state for batch in started[max(last_durable, 0) :]]
        if last_durable < 0:
            allowed_states.append(DurableState())
        for guarantee in self.guarantees:
            if guarantee.operations <= count and (
                violation := _find_broken_guarantee(guarantee, durable_state)
            ):
                return violation
        if durable_state not in allowed_states:
            return f"after {count} operations recovery returns a state that was never written"
        return self._check_consistency(durable_state)

    def _check_consistency(self, durable_state: DurableState) -> str:
        base = 0
        if durable_state.snapshot is not None:
            base = durable_state.snapshot.last_index
            decode(durable_state.snapshot.state, StateMachineSnapshot)
            if self.snapshots.get(base, durable_state.snapshot.state) != durable_state.snapshot.state:
                return f"the snapshot up to entry {base} is not one that the group made"
        if [entry.index for entry in durable_state.entries] != list(
            range(base + 1, base + 1 + len(durable_state.entries))
        ):
            return f"the entries do not follow the snapshot up to entry {base}"
        return ""


def _find_broken_guarantee(guarantee: Guarantee, durable_state: DurableState) -> str:
    """Return how a guarantee is broken. A term alone is not a guarantee, since only votes elect a leader."""
    if guarantee.voted_for:
        if durable_state.term < guarantee.term:
            return f"term {guarantee.term}, in which it voted, is not recovered"
        if durable_state.term == guarantee.term and durable_state.voted_for != guarantee.voted_for:
            return f"the vote of term {guarantee.term} for {guarantee.voted_for} is not recovered"
    # In a later term a leader may have replaced the entry.
    if guarantee.index and durable_state.term <= guarantee.term:
        base = durable_state.snapshot.last_index if durable_state.snapshot else 0
        index = guarantee.index - base - 1
        is_recovered = index < 0 or (
            index < len(durable_state.entries) and durable_state.entries[index].term == guarantee.index_term
        )
        if not is_recovered:
            return f"entry {guarantee.index}, which was acknowledged, is lost"
    return ""


class DiskRecordedGroup(ReplicaGroup):
    """A replica group that records each guarantee that its first machine gives in a message."""

    def __init__(self, seed: int, recorder: OperationRecorder) -> None:
        self.guarantees: list[Guarantee] = []
        self._recorder = recorder
        super().__init__(seed, 3, COMPACT_AFTER_ENTRIES)

    def new_disk(self, machine_index: int) -> Disk:
        return Disk() if machine_index else FileDisk(recorder=self._recorder)

    def on_sent(self, index: int, replica: Replica, message: object) -> None:
        if index:
            return
        count = len(self._recorder.operations)
        match message:
            case RequestVoteReply(granted=True, is_prevote=False):
                self.guarantees.append(Guarantee(count, message.term, replica.voted_for))
            case RequestVote(is_prevote=False):
                self.guarantees.append(Guarantee(count, message.term, message.candidate))
            case AppendEntriesReply(success=True) if message.term == replica.term:
                term = replica.log.term_at(message.index) or 0
                self.guarantees.append(Guarantee(count, message.term, "", message.index if term else 0, term))


def record_replica_run(seed: int, disk_fault_one_in: int = 0) -> RecordedRun:
    """Run the group with a seed and return the record. Raises InvariantError.

    `disk_fault_one_in`: on average one in this many operations of the first machine's disk fails; 0: none.
    """
    rng = random.Random(seed * 7919 + disk_fault_one_in)
    with TemporaryDirectory(prefix="cometdoor-simulation-") as name, small_chunks():
        recorder = OperationRecorder(
            Path(name), lambda count: bool(disk_fault_one_in) and rng.randrange(disk_fault_one_in) == 0
        )
        with recorder.recording():
            group = DiskRecordedGroup(seed, recorder)
            try:
                _inject_faults(group, rng)
            finally:
                disk = group.machines[0].disk
                assert isinstance(disk, FileDisk) and disk.log_file is not None
                disk.log_file.close()
        return RecordedRun(
            recorder.operations, disk.batches, group.guarantees, group._snapshots, recorder.failed_operations
        )


def _inject_faults(group: DiskRecordedGroup, rng: random.Random) -> None:
    group.body_bytes = BODY_BYTES
    group.run_until_leader()
    group.run(1.0)
    for event in ("cut", "kill", "others", "cut", "kill", "cut", "leader"):
        _propose_changes(group, rng, 2)
        match event:
            case "cut":
                group.isolate(0)
            case "kill":
                group.kill(0)
            case "others":
                group.kill(rng.randrange(1, 3))
            case "leader":
                group.inject_fault("kill", group.pick_victim())
        group.run(rng.uniform(0.1, 1.5))
        _propose_changes(group, rng, COMPACT_AFTER_ENTRIES)
        group.restore()
        group.run(rng.uniform(0.2, 1.0))
        group.run_until_leader(within_s=8.0)
    group.run(2.0)
    group.check_nothing_lost()


def _propose_changes(group: ReplicaGroup, rng: random.Random, count: int) -> None:
    for _ in range(count):
        if rng.random() < 0.5:
            group.configure()
        else:
            key = rng.getrandbits(32)
            group.propose(Claim(f"k{key}", f"c{key}", "10.1.0.1:1"))
        group.run(0.05)
