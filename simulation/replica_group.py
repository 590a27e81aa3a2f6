"""A replica group in virtual time: the production modules on disks that lose power and links that fail.

A seed determines the schedule. After every step it is checked that no term has two leaders and that all
members agree on what is committed. `ReplicaGroup.check_nothing_lost` checks that a leader's state includes
everything that was acknowledged. `simulation.group_schedules` injects random faults.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from cometdoor.control.durable_state import DurableState, Record
from cometdoor.control.replica import Replica
from cometdoor.control.roles import Role
from cometdoor.control.sizing import Sizing
from cometdoor.control.state_machine import ApplyResult, StateMachine
from cometdoor.control.write_ahead_log import DiskError
from cometdoor.wire import revisions
from cometdoor.wire.consensus import JoinRequest
from cometdoor.wire.frames import Frame, FrameDecoder, encode
from cometdoor.wire.log_entries import Change, Claim, ConfigurationChange, Member
from simulation.group_machine import DISK_SYNC_S, Batch, Disk, Machine, NetworkLinks
from simulation.invariants import InvariantError

STEP_S = 0.01
WINDOW_S = 60.0  # idempotency window
NETWORK_DELAY_S = 0.002
SLOW_DISK_SYNC_S = 0.5  # duration of a sync on a slow disk
WRITE_RETRY_DELAY_S = 0.2
JOIN_RETRY_INTERVAL_S = 0.3
FAULTS = ("kill", "wipe", "cut", "one_way", "slow", "all")
LEADER_FAULT_SHARE = 0.6  # share of the faults that target the leader; the others hit a random machine


class ReplicaGroup:
    """Machines with their replicas and the network between them, driven step by step."""

    def __init__(
        self,
        seed: int,
        machines: int = 3,
        compact_after_entries: int = 0,
        links: NetworkLinks | None = None,
        *,
        fault_tolerance: int | None = None,
        zones: Sequence[str] = ("",),
        window_s: float = WINDOW_S,
    ) -> None:
        """Start all machines; the first one bootstraps the group.

        `compact_after_entries`: entries applied since the last snapshot after which a log is compacted; 0:
        never. `fault_tolerance`: by default the most that this number of machines allows. `zones`: assigned
        to the machines in turn. `window_s`: idempotency window.
        """
        self.seed = seed
        self.window_s = window_s
        self.fault_tolerance = (machines - 1) // 2 if fault_tolerance is None else fault_tolerance
        self.compact_after_entries = compact_after_entries
        self.links = links
        self.disk_bytes_per_s = 0.0  # of each disk; 0: unlimited, only syncs take time
        self.step_s = STEP_S
        self.body_bytes = 0  # minimum size of each configuration
        self.snapshots_installed = 0
        self.disk_bytes = 0  # written to all disks while `disk_bytes_per_s` is set
        self._snapshots: dict[int, bytes] = {}  # by last index: the encoded state machine
        self.rng = random.Random(seed)
        self.now = 0.0
        self.machines = [
            Machine(
                f"10.0.0.{machine_index}:1",
                disk=self.new_disk(machine_index),
                zone=zones[machine_index % len(zones)],
            )
            for machine_index in range(machines)
        ]
        self.blocked_links: set[tuple[int, int]] = set()  # (from, to)
        self.acknowledged: list[tuple[int, Change]] = []
        # (machine, incarnation, index) -> term, change
        self._pending_proposals: dict[tuple[int, int, int], tuple[int, Change]] = {}
        self._in_flight: list[tuple[float, int, int, int, Any]] = []  # arrival, number, from, to, message
        self._sequence_number = 0
        self._last_id = 0
        self._leader_by_term: dict[int, str] = {}
        self._committed: dict[int, tuple[int, Change]] = {}  # index -> term and change, as first seen
        self._revision = 0
        for machine_index in range(machines):
            self.start(machine_index, bootstraps=machine_index == 0)

    # --- faults ---

    def new_disk(self, machine_index: int) -> Disk:
        return Disk()

    def start(self, machine_index: int, bootstraps: bool = False) -> None:
        machine = self.machines[machine_index]
        durable_state = machine.disk.read_durable_state()
        if not durable_state.id:
            self._last_id += 1
            durable_state = DurableState(id=f"m{self._last_id}")
        me = Member(durable_state.id, machine.address, machine.address, zone=machine.zone)
        machine.replica = Replica(durable_state, me, random.Random(self.rng.getrandbits(32)), self.now)
        machine.state = StateMachine(self.window_s)
        machine.replica.snapshot_state = machine.state.snapshot
        machine.replica.sizing = Sizing(self.fault_tolerance, len(self.machines))
        if durable_state.snapshot is not None:
            machine.state.load(durable_state.snapshot.state)
            self._check_snapshot(durable_state.snapshot.last_index, durable_state.snapshot.state)
            machine.replica.is_bootstrapped = machine.state.revision > 0
        machine.incarnation += 1
        machine.batch_in_flight = None
        machine.next_join_at = 0.0
        machine.disk = machine.disk.reopen()
        machine.batch_in_flight = Batch(self.now, machine.replica.compact(), 0, is_rotation=True)
        self._complete_write(machine, machine.replica)
        if bootstraps and machine.incarnation == 1:
            machine.replica.bootstrap((me,))

    def kill(self, machine_index: int) -> None:
        """Kill a machine. Unsynced writes are lost, as in a loss of power."""
        machine = self.machines[machine_index]
        machine.replica = None
        machine.batch_in_flight = None

    def wipe(self, machine_index: int) -> None:
        self.kill(machine_index)
        self.machines[machine_index].disk = Disk(wipe_count=self.machines[machine_index].disk.wipe_count + 1)

    def isolate(self, machine_index: int, one_way: bool = False) -> None:
        for other in range(len(self.machines)):
            if other != machine_index:
                self.blocked_links.add((machine_index, other))
                if not one_way:
                    self.blocked_links.add((other, machine_index))

    def heal(self) -> None:
        self.blocked_links.clear()

    def inject_fault(self, kind: str, machine_index: int) -> None:
        """Inject one of FAULTS."""
        match kind:
            case "kill":
                self.kill(machine_index)
            case "wipe":
                self.wipe(machine_index)
            case "cut":
                self.isolate(machine_index)
            case "one_way":
                self.isolate(machine_index, one_way=True)
            case "slow":
                self.machines[machine_index].sync_s = SLOW_DISK_SYNC_S
            case "all":
                for index in range(len(self.machines)):
                    self.kill(index)

    def restore(self) -> None:
        """Heal the network and slow disks, and start all machines that are down. Wiped disks stay empty."""
        self.heal()
        for machine_index, machine in enumerate(self.machines):
            machine.sync_s = DISK_SYNC_S
            if not machine.is_up:
                self.start(machine_index)

    def pick_victim(self) -> int:
        """Return the index of a machine to fail: with LEADER_FAULT_SHARE the leader, else a random one."""
        leader = self.leader()
        victim = self.rng.randrange(len(self.machines))
        return leader if leader is not None and self.rng.random() < LEADER_FAULT_SHARE else victim

    # --- steps ---

    def leader(self) -> int | None:
        """Return the index of a machine whose replica leads and may accept proposals; None: there is none."""
        for machine_index, machine in enumerate(self.machines):
            if machine.replica is not None and machine.replica.may_accept():
                return machine_index
        return None

    def propose(self, change: Change, machine_index: int | None = None) -> bool:
        machine_index = self.leader() if machine_index is None else machine_index
        if machine_index is None:
            return False
        machine = self.machines[machine_index]
        replica = machine.replica
        if replica is None or not replica.may_accept():
            return False
        index = replica.propose(change)
        self._pending_proposals[machine_index, machine.incarnation, index] = replica.term, change
        return True

    def configure(self) -> bool:
        """Propose the next configuration, based on the newest accepted one."""
        machine_index = self.leader()
        if machine_index is None:
            return False
        base = self.machines[machine_index].state.revision
        self._revision = max(self._revision, base) + 1
        body = (b"%d " % self._revision).ljust(self.body_bytes, b".")
        return self.propose(ConfigurationChange(base, self._revision, body), machine_index)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self._step()

    def run_until_leader(self, within_s: float = 5.0) -> float:
        """Run until a replica leads and return the elapsed seconds. Raises InvariantError."""
        started_at = self.now
        while self.leader() is None:
            self._step()
            if self.now - started_at > within_s:
                raise InvariantError(f"seed {self.seed}: no leader after {within_s} s")
        return self.now - started_at

    def _step(self) -> None:
        self.now += self.step_s
        due = [delivery for delivery in self._in_flight if delivery[0] <= self.now]
        self._in_flight = [delivery for delivery in self._in_flight if delivery[0] > self.now]
        for _, _, sender, machine_index, message in sorted(due, key=lambda delivery: delivery[:2]):
            replica = self.machines[machine_index].replica
            if replica is not None and (sender, machine_index) not in self.blocked_links:
                replica.receive(_encode_and_decode(message), self.now)
        for machine_index, machine in enumerate(self.machines):
            if machine.replica is not None:
                self._drive_machine(machine_index, machine, machine.replica)
        self._check_invariants()

    def _drive_machine(self, machine_index: int, machine: Machine, replica: Replica) -> None:
        replica.tick(self.now)
        replica.flush()
        if machine.batch_in_flight is not None and machine.batch_in_flight.due_at <= self.now:
            self._complete_write(machine, replica)
        if machine.batch_in_flight is None and (writes := replica.pop_writes(self.now)):
            machine.batch_in_flight = self._batch(machine, replica, writes)
        if replica.installed_snapshot is not None:
            self._check_snapshot(replica.installed_snapshot.last_index, replica.installed_snapshot.state)
            machine.state.load(replica.installed_snapshot.state)
            replica.on_snapshot_loaded()
            self.snapshots_installed += 1
        while replica.applied < replica.committed:
            replica.applied += 1
            entry = replica.log.entry(replica.applied)
            result = machine.state.apply(entry.change)
            replica.is_bootstrapped = machine.state.revision > 0
            pending = self._pending_proposals.pop((machine_index, machine.incarnation, entry.index), None)
            if pending is not None and pending[0] == entry.term:
                self._on_applied(entry.index, pending[1], result)
        is_member = any(member.id == replica.me.id for member in replica.members)
        if (
            replica.role is not Role.LEADER
            and self.now >= machine.next_join_at
            and (not is_member or self.now - replica.elections.leader_last_seen_at > 1.5)
        ):
            machine.next_join_at = self.now + JOIN_RETRY_INTERVAL_S
            for other in self.machines:
                if other is not machine:
                    replica.send(other.address, JoinRequest(replica.me, supports_learners=True))
        outbox, replica.outbox = replica.outbox, []
        for outgoing in outbox:
            to = self._index_of(outgoing.address)
            self.on_sent(machine_index, replica, outgoing.message)
            if to is not None and (machine_index, to) not in self.blocked_links:
                self._sequence_number += 1
                due_at = self._arrival_time(machine_index, to, outgoing.message)
                self._in_flight.append((due_at, self._sequence_number, machine_index, to, outgoing.message))

    def on_sent(self, machine_index: int, replica: Replica, message: object) -> None:
        """Hook for subclasses, called for each message that is sent."""

    def _complete_write(self, machine: Machine, replica: Replica) -> None:
        batch, machine.batch_in_flight = machine.batch_in_flight, None
        assert batch is not None
        try:
            (machine.disk.rotate if batch.is_rotation else machine.disk.append)(batch.records)
        except DiskError:
            machine.batch_in_flight = replace(batch, due_at=self.now + WRITE_RETRY_DELAY_S)
            return
        replica.on_written(batch.count, self.now)

    def _arrival_time(self, sender: int, receiver: int, message: Any) -> float:
        if self.links is None:
            return self.now + NETWORK_DELAY_S * self.rng.uniform(0.5, 3.0)
        return self.links.schedule_arrival(sender, receiver, len(encode(Frame(0, False, message))), self.now)

    def should_compact(self, machine: Machine, replica: Replica) -> bool:
        return 0 < self.compact_after_entries < replica.applied - replica.log.snapshot_index

    def _batch(self, machine: Machine, replica: Replica, writes: list[Record]) -> Batch:
        count = len(writes)
        is_rotation = replica.installed_snapshot is None and self.should_compact(machine, replica)
        if is_rotation:
            writes = replica.compact()
            assert replica.log.snapshot is not None
            self._check_snapshot(replica.log.snapshot_index, replica.log.snapshot.state)
        sync_s = machine.sync_s
        if self.disk_bytes_per_s:
            size = len(revisions.encode(writes))
            self.disk_bytes += size
            sync_s += size / self.disk_bytes_per_s
        return Batch(self.now + sync_s, writes, count, is_rotation)

    def _index_of(self, address: str) -> int | None:
        return next(
            (machine_index for machine_index, other in enumerate(self.machines) if other.address == address),
            None,
        )

    def _on_applied(self, index: int, change: Change, result: ApplyResult) -> None:
        """Hook for subclasses, called with the result of each change at the replica that proposed it."""
        self.acknowledged.append((index, change))

    # --- checks ---

    def _check_invariants(self) -> None:
        for machine in self.machines:
            replica = machine.replica
            if replica is None:
                continue
            if replica.role is Role.LEADER:
                first_leader_id = self._leader_by_term.setdefault(replica.term, replica.me.id)
                if first_leader_id != replica.me.id:
                    raise InvariantError(f"seed {self.seed}: term {replica.term} has two leaders")
            for index in range(
                max(replica.log.base_index, replica.committed - 50) + 1, replica.committed + 1
            ):
                entry = replica.log.entry(index)
                first_seen = self._committed.setdefault(index, (entry.term, entry.change))
                if first_seen != (entry.term, entry.change):
                    raise InvariantError(
                        f"seed {self.seed}: entry {index} was committed twice, with different contents"
                    )

    def _check_snapshot(self, index: int, snapshot: bytes) -> None:
        if self._snapshots.setdefault(index, snapshot) != snapshot:
            raise InvariantError(f"seed {self.seed}: two snapshots up to entry {index} differ")

    def check_nothing_lost(self) -> None:
        """Raise InvariantError unless a leader's state has everything that was acknowledged."""
        machine_index = self.leader()
        if machine_index is None:
            raise InvariantError(f"seed {self.seed}: there is no leader")
        state = self.machines[machine_index].state
        for index, change in self.acknowledged:
            match change:
                case ConfigurationChange():
                    if self._was_accepted(index) and not state.was_accepted(change.revision, change.body):
                        raise InvariantError(f"seed {self.seed}: configuration {change.revision} is lost")
                case Claim():
                    if change.key not in state.keys:
                        raise InvariantError(f"seed {self.seed}: the claim on {change.key} is lost")
                case _:
                    pass

    def _was_accepted(self, index: int) -> bool:
        """Return whether the configuration at an index was accepted: its base was the newest revision."""
        newest = 0
        for committed_index in sorted(self._committed):
            change = self._committed[committed_index][1]
            if (
                isinstance(change, ConfigurationChange)
                and change.base_revision == newest
                and change.revision > newest
            ):
                if committed_index == index:
                    return True
                newest = change.revision
        return False


def _encode_and_decode(message: Any) -> Any:
    """Return a message as its receiver decodes it, so that two members share no objects."""
    return FrameDecoder().feed(encode(Frame(0, False, message)))[0].message
