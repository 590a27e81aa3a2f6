"""Linearizability of what clients of the replica group observe: clients in virtual time, and a checker.

Clients replace the configuration, based on the revision that they read last, and read it. They call any
member that considers itself the leader, while members crash, are partitioned and return. Responses may be
lost. Then the client resends the change to any leader; sometimes it also resends a change that it got a
response to. Two clients may use one revision for different configurations. Each client logs for each call
when it began, when it ended, and its result. A call without a response may take effect at any time after it
began, or never.

The history is linearizable if the calls can be put in one order that respects those times and in which each
call has the response that it got (Herlihy and Wing, TOPLAS 1990). The search is that of Wing and Gong (JPDC
1993) and remembers visited states as in Lowe (2017). The register deduplicates: a change that arrives a
second time is acknowledged and changes nothing.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from cometdoor.control.replica import Replica
from cometdoor.control.roles import Role
from cometdoor.control.state_machine import ApplyResult
from cometdoor.wire.log_entries import Change, ConfigurationChange
from simulation.group_machine import Machine
from simulation.invariants import InvariantError
from simulation.replica_group import FAULTS, ReplicaGroup
from simulation.snapshot_schedules import COMPACT_AFTER_ENTRIES, small_chunks

CLIENT_TIMEOUT_S = 1.0  # for a response
RESEND_GIVE_UP_S = 12.0  # if responses may be lost, a client resends a change for this time
RESEND_PAUSE_S = 0.2  # before a resend, if no member accepted the change
CLIENT_COUNT = 4
START_PROBABILITY = 0.1  # that an idle client starts a call in a step of 0.01 s
SAME_REVISION_SHARE = 0.2  # share of the changes that reuse the revision of another client's change
RESEND_SHARE = 0.2  # share of the changes that are resends of a change that got a response
PARTITION_S = 20.0
PARTITION_KINDS = ("cut", "mute", "deaf", "frozen")


@dataclass(frozen=True, slots=True)
class Version:
    """A configuration as a client sees it: revision and body."""

    revision: int
    tag: int = 0  # distinguishes the changes of different clients under one revision


RegisterState = tuple[Version, ...]  # all accepted versions; the last one is in force


@dataclass
class Operation:
    """A call of a client; a read has neither `base` nor `revision`."""

    started_at: float
    base: int = -1
    revision: int = -1
    ended_at: float = math.inf
    # Of a read: the revision. Of a replacement: 1 accepted, 0 rejected. None: the result is unknown.
    response: int | None = None
    tag: int = 0  # of the version that was sent or read

    @property
    def is_read(self) -> bool:
        return self.revision < 0

    def apply_to(self, accepted: RegisterState) -> RegisterState | None:
        """Return the register after this call; None if the call can't have its response at this point."""
        if self.is_read:
            return accepted if accepted[-1] == Version(self.response or 0, self.tag) else None
        version = Version(self.revision, self.tag)
        if version in accepted:
            return accepted if self.response != 0 else None
        is_acceptable = self.base == accepted[-1].revision and self.revision > accepted[-1].revision
        if self.response is not None and is_acceptable != bool(self.response):
            return None
        return (*accepted, version) if is_acceptable else accepted


def is_linearizable(history: Sequence[Operation], first: int = 0) -> bool:
    """Return whether a register that begins with revision `first` may have produced the history."""
    # A read without a response restricts nothing.
    calls = sorted(
        (call for call in history if not call.is_read or call.response is not None),
        key=lambda call: call.started_at,
    )
    total_response_count = sum(call.response is not None for call in calls)
    visited: set[tuple[int, RegisterState]] = set()  # bit mask of the calls so far, and the register
    start: RegisterState = (Version(first),)
    stack = [(0, start, 0)]
    while stack:
        completed_mask, accepted, response_count = stack.pop()
        if response_count == total_response_count:
            return True
        if (completed_mask, accepted) in visited:
            continue
        visited.add((completed_mask, accepted))
        # Any remaining call may be next if it began before the first of the remaining calls ended.
        horizon = min(
            call.ended_at for call_index, call in enumerate(calls) if not completed_mask >> call_index & 1
        )
        for call_index, call in enumerate(calls):
            if call.started_at > horizon:
                break
            if not completed_mask >> call_index & 1 and (next_state := call.apply_to(accepted)) is not None:
                stack.append(
                    (
                        completed_mask | 1 << call_index,
                        next_state,
                        response_count + (call.response is not None),
                    )
                )
    return False


class Client:
    """A client that replaces and reads the configuration, and logs each call."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.operation: Operation | None = None
        self.change: ConfigurationChange | None = None  # sent until it gets a final response
        self.last_seen_revision = 0  # base of its next change
        self.member_index = 0  # the member that it sent to; -1: no member accepted the change
        self.requested_at = 0.0  # when it sent last
        self.round = 0  # read round of its read
        self.incarnation = 0


class ObservedGroup(ReplicaGroup):
    """A replica group with clients whose calls are logged."""

    def __init__(
        self, seed: int, machines: int = 3, confirms_reads: bool = True, response_loss_share: float = 0.0
    ) -> None:
        """Set up the group and its clients.

        `confirms_reads`: False plants a defect: any member responds to reads from its own state.
        `response_loss_share`: share of the responses to changes that are lost.
        """
        self.history: list[Operation] = []
        self.clients = [Client(number) for number in range(CLIENT_COUNT)]
        self.resend_count = 0
        self.rejected_resend_count = 0  # resends that were rejected after the change had been accepted
        self.response_loss_share = response_loss_share
        self._give_up_s = RESEND_GIVE_UP_S if response_loss_share else CLIENT_TIMEOUT_S
        self.frozen: set[int] = set()
        # Bodies that were acknowledged, whether the response arrived or not.
        self._acknowledged_bodies: set[bytes] = set()
        self._last_client_by_body: dict[bytes, Client] = {}  # the client that sent it last
        self._confirms_reads = confirms_reads
        self._last_revision = 0
        super().__init__(seed, machines)

    # --- faults of members ---

    def block_inbound(self, machine_index: int) -> None:
        """Block all messages to a member; messages from it still arrive."""
        self.blocked_links |= {
            (other, machine_index) for other in range(len(self.machines)) if other != machine_index
        }

    def inject_partition(self, kind: str, machine_index: int) -> None:
        """Inject a partition of a kind (one of PARTITION_KINDS) at a member."""
        match kind:
            case "cut":
                self.isolate(machine_index)
            case "mute":
                self.isolate(machine_index, one_way=True)
            case "deaf":
                self.block_inbound(machine_index)
            case "frozen":
                self.frozen.add(machine_index)

    def restore(self) -> None:
        self.frozen.clear()
        super().restore()

    def _step(self) -> None:
        # Messages to a frozen member wait until it is thawed.
        self._in_flight = [
            (self.now + 2 * self.step_s if delivery[3] in self.frozen else delivery[0], *delivery[1:])
            for delivery in self._in_flight
        ]
        super()._step()
        for client in self.clients:
            self._step_client(client)

    def _drive_machine(self, machine_index: int, machine: Machine, replica: Replica) -> None:
        if machine_index not in self.frozen:
            super()._drive_machine(machine_index, machine, replica)

    # --- clients ---

    def _step_client(self, client: Client) -> None:
        operation = client.operation
        if operation is None:
            if self.rng.random() < START_PROBABILITY:
                self._start_operation(client)
        elif operation.is_read:
            if self.now - operation.started_at > CLIENT_TIMEOUT_S:
                self._complete(client, None)
            else:
                self._check_read(client)
        elif self.now - operation.started_at > self._give_up_s:
            self._complete(client, None)
        elif self.now - client.requested_at > (
            CLIENT_TIMEOUT_S if client.member_index >= 0 else RESEND_PAUSE_S
        ):
            self._send(client)

    def _pick_leader(self) -> int | None:
        """Return a member that considers itself the leader, as an isolated one may still do."""
        leading = [
            machine_index
            for machine_index, machine in enumerate(self.machines)
            if machine.replica is not None
            and machine.replica.role is Role.LEADER
            and machine_index not in self.frozen
        ]
        return self.rng.choice(leading) if leading else None

    def _pick_running(self) -> int | None:
        running = [machine_index for machine_index, machine in enumerate(self.machines) if machine.is_up]
        return self.rng.choice(running) if running else None

    def _start_operation(self, client: Client) -> None:
        if self.rng.random() < 0.5:
            self._start_read(client)
        else:
            self._start_replacement(client)

    def _start_read(self, client: Client) -> None:
        machine_index = self._pick_leader() if self._confirms_reads else self._pick_running()
        if machine_index is None:
            return
        machine = self.machines[machine_index]
        replica = machine.replica
        assert replica is not None
        client.member_index, client.incarnation = machine_index, machine.incarnation
        if self._confirms_reads:
            if not replica.is_leading or replica.applied < replica.committed:
                return
            client.round = replica.start_read_round()
        client.operation = Operation(self.now)
        self.history.append(client.operation)

    def _start_replacement(self, client: Client) -> None:
        change = client.change
        if change is None or self.rng.random() >= RESEND_SHARE:
            self._last_revision = max(self._last_revision, client.last_seen_revision) + (
                self.rng.random() >= SAME_REVISION_SHARE
            )
            revision = max(self._last_revision, client.last_seen_revision + 1)
            change = ConfigurationChange(
                client.last_seen_revision, revision, b"%d/%d" % (revision, client.number)
            )
        client.change = change
        self._last_client_by_body[change.body] = client
        client.operation = Operation(self.now, change.base_revision, change.revision, tag=client.number)
        self.history.append(client.operation)
        self._send(client)

    def _send(self, client: Client) -> None:
        """Propose the client's change to a leader. If none accepts it, it is resent after RESEND_PAUSE_S."""
        assert client.change is not None
        machine_index = self._pick_leader()
        client.requested_at = self.now
        client.member_index = -1 if machine_index is None else machine_index
        if machine_index is not None and not self.propose(client.change, machine_index):
            client.member_index = -1
        if client.member_index >= 0 and client.change.body in self._acknowledged_bodies:
            self.resend_count += 1

    def _check_read(self, client: Client) -> None:
        machine = self.machines[client.member_index]
        replica = machine.replica
        if replica is None or machine.incarnation != client.incarnation or client.member_index in self.frozen:
            return
        if not self._confirms_reads or replica.is_read_round_confirmed(client.round):
            client.last_seen_revision = machine.state.revision
            if client.operation is not None and machine.state.revision:
                client.operation.tag = int(machine.state.body.rpartition(b"/")[2])
            self._complete(client, machine.state.revision)

    def _complete(self, client: Client, response: int | None) -> None:
        assert client.operation is not None
        if response is not None:
            client.operation.ended_at, client.operation.response = self.now, response
        client.operation = None

    def _on_applied(self, index: int, change: Change, result: ApplyResult) -> None:
        super()._on_applied(index, change, result)
        if not isinstance(change, ConfigurationChange):
            return
        if result.accepted:
            self._acknowledged_bodies.add(change.body)
        elif change.body in self._acknowledged_bodies:
            self.rejected_resend_count += 1
        client = self._last_client_by_body.get(change.body)
        if client is None or client.operation is None or client.operation.is_read:
            return
        if (
            client.change is not None
            and client.change.body == change.body
            and self.rng.random() >= self.response_loss_share
        ):
            client.last_seen_revision = result.revision
            self._complete(client, int(result.accepted))


def run_observed_schedule(
    seed: int, machines: int = 3, seconds: float = 10.0, confirms_reads: bool = True
) -> ObservedGroup:
    """Inject random faults into one machine at a time, or into all.

    Raises InvariantError if the history of the clients is not linearizable.
    """
    group = ObservedGroup(seed, machines, confirms_reads)
    group.run_until_leader()
    rng = group.rng
    while group.now < seconds:
        kind, leader = rng.choice([*FAULTS, "hand over"]), group.leader()
        if kind != "hand over":
            group.inject_fault(kind, group.pick_victim())
        elif leader is not None and (replica := group.machines[leader].replica) is not None:
            replica.transfer_leadership()
        group.run(rng.uniform(0.1, 1.5))
        group.restore()
        group.run(rng.uniform(2.5, 4.0))  # a returned machine counts as lost until it has caught up
    return _verify(group)


def run_long_partition_schedule(
    seed: int, machines: int = 3, partitions: int = 3, response_loss_share: float = 0.8
) -> ObservedGroup:
    """Partition one member after the other, for about twenty seconds each, while most responses are lost.

    A partition is in both directions or one, or the member is frozen. A member that returns needs a snapshot.
    Raises InvariantError if the history of the clients is not linearizable.
    """
    group = ObservedGroup(seed, machines, response_loss_share=response_loss_share)
    group.compact_after_entries = COMPACT_AFTER_ENTRIES
    rng = group.rng
    with small_chunks():
        group.run_until_leader()
        for _ in range(partitions):
            group.inject_partition(rng.choice(PARTITION_KINDS), group.pick_victim())
            group.run(PARTITION_S * rng.uniform(0.9, 1.1))
            group.restore()
            group.run(rng.uniform(3.0, 5.0))
    return _verify(group)


def _verify(group: ObservedGroup) -> ObservedGroup:
    if group.rejected_resend_count:
        raise InvariantError(
            f"seed {group.seed}: {group.rejected_resend_count} accepted changes were rejected when resent"
        )
    if not is_linearizable(group.history):
        raise InvariantError(
            f"seed {group.seed}: the history of {len(group.history)} calls is not linearizable"
        )
    return group
