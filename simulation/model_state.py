"""State of a replica group for the model checker, and how one step changes it.

The replicas run the production modules; this module delivers their messages and performs their disk writes,
in zero time. States are immutable to their users: `World.apply` returns a new one.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from copy import copy
from dataclasses import dataclass, field, replace
from typing import Any, NoReturn

from cometdoor.control.durable_state import DurableState, HardState, Identity, LogEntries, Record
from cometdoor.control.log import Log
from cometdoor.control.replica import Replica
from cometdoor.control.roles import Role
from cometdoor.control.sizing import Sizing
from cometdoor.control.storage import OutgoingMessage
from cometdoor.wire.consensus import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    JoinRequest,
    LeaveRequest,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from cometdoor.wire.log_entries import Claim, LogEntry, Member, MembershipChange
from cometdoor.wire.revisions import decode, encode
from simulation.invariants import InvariantError
from simulation.model_invariants import check_invariants, lost_disks
from simulation.model_keys import state_key
from simulation.model_steps import FaultLimits, Step, possible_steps

EXCHANGE_ROUNDS_MAX = 12  # round trips of messages in a step; no step needs as many
STEP_INTERVAL_S = 10.0  # time between steps; all leases and timeouts expire in it
VOTE_MESSAGES = (RequestVote, RequestVoteReply)
REPLICATION_MESSAGES = (AppendEntries, AppendEntriesReply, InstallSnapshot)


@dataclass
class Node:
    """A machine of the group: its disk, and the replica that runs on it unless it is down."""

    id: str
    disk: tuple[Record, ...]  # the synced records
    replica: Replica | None = None
    incarnations: int = 1
    founders: tuple[Member, ...] = ()  # the group that its replica founds if it starts on an empty disk
    _cached_state: tuple[tuple[Record, ...], DurableState] | None = None  # recovered from that disk

    def durable_state(self) -> DurableState:
        """Return what a replica that starts on the disk now would recover."""
        if self._cached_state is None or self._cached_state[0] is not self.disk:
            durable_state = DurableState(id=self.id)
            for write in self.disk:
                durable_state.apply(write)
            self._cached_state = self.disk, durable_state
        return self._cached_state[1]

    def log(self) -> Log:
        """Return the log as the disk has it."""
        if self.replica is not None and self.replica.storage.is_flushed():
            return self.replica.log
        if self.founders and not self.disk:
            return Log(None, [LogEntry(1, 1, MembershipChange(self.founders))])
        durable_state = self.durable_state()
        return Log(durable_state.snapshot, durable_state.entries)

    def voted_for(self, candidate: Replica) -> bool:
        durable_state = self.durable_state()
        return (durable_state.term, durable_state.voted_for) == (candidate.term, candidate.me.id)


@dataclass
class World:
    """The state of a whole group, the faults that may still come, and the steps that led to the state."""

    nodes: list[Node]
    remaining: FaultLimits
    fault_tolerance: int = 1
    first_members: tuple[Member, ...] = ()
    now: float = 1000.0
    steps: tuple[Step, ...] = ()
    committed: dict[int, tuple[int, Any]] = field(default_factory=dict)  # index -> term and change
    committing_terms: dict[int, int] = field(default_factory=dict)  # index -> term of the committing leader
    leaders: dict[int, str] = field(default_factory=dict)  # term -> id
    proposed_count: int = 0

    @staticmethod
    def established(members: int, limits: FaultLimits | None = None, spares: int = 0) -> World:
        """Return an established group without a leader: `members` voters and `spares` learners."""
        all_members = tuple(
            Member(f"m{node_index}", f"a{node_index}", "", voter=node_index < members)
            for node_index in range(members + spares)
        )
        world = World([], limits or FaultLimits(), (members - 1) // 2, all_members)
        for member in all_members:
            disk = (
                Identity(member.id),
                HardState(1, ""),
                LogEntries([LogEntry(1, 1, MembershipChange(all_members))]),
            )
            world.nodes.append(Node(member.id, disk))
        for node_index in range(members + spares):
            world._start(node_index)
        return world

    @staticmethod
    def founding(members: int, founders: int, limits: FaultLimits | None = None) -> World:
        """Return machines that have not started yet; the first `founders` of them found the group."""
        all_members = tuple(Member(f"m{node_index}", f"a{node_index}", "") for node_index in range(members))
        first_members = all_members[:founders]
        world = World([], limits or FaultLimits(), (members - 1) // 2, first_members)
        for node_index, member in enumerate(all_members):
            node_founders = first_members if node_index < founders else ()
            world.nodes.append(Node(member.id, (), founders=node_founders))
        return world

    def clone(self, touched: set[int]) -> World:
        """Return a copy that shares all nodes except those at the indexes `touched`."""
        return replace(
            self,
            remaining=copy(self.remaining),
            committed=dict(self.committed),
            leaders=dict(self.leaders),
            committing_terms=dict(self.committing_terms),
            nodes=[
                Node(
                    node.id, node.disk, node.replica and node.replica.copy(), node.incarnations, node.founders
                )
                if node_index in touched
                else node
                for node_index, node in enumerate(self.nodes)
            ],
        )

    def _start(self, node_index: int) -> None:
        node = self.nodes[node_index]
        durable_state = DurableState(id=node.id)
        for write in node.disk:
            durable_state.apply(write)
        node.replica = Replica(durable_state, _member(node, node_index), random.Random(node_index), self.now)
        node.replica.sizing = Sizing(self.fault_tolerance, len(self.nodes))
        node.replica.is_bootstrapped = True
        if node.founders and not node.disk:
            node.replica.bootstrap(node.founders)

    def possible_steps(self, is_fine_grained: bool = False) -> Iterator[Step]:
        """Yield all steps that may come next; see `simulation.model_steps.possible_steps`."""
        return possible_steps(self, is_fine_grained)

    def apply(self, step: Step) -> World:
        """Return the state after a step. Raises InvariantError."""
        world = self.clone({step.actor, *step.reached})
        world.steps = (*self.steps, step)
        world.now += STEP_INTERVAL_S
        leader_logs = {
            node_index: node.replica.log.entries
            for node_index, node in enumerate(self.nodes)
            if node.replica is not None and node.replica.role is Role.LEADER
        }
        world._execute(step)
        world._check_invariants(leader_logs, self)
        return world

    def _execute(self, step: Step) -> None:
        node = self.nodes[step.actor]
        if step.action == "start":
            self._start(step.actor)
            self._sync(step, step.actor)
        elif step.action == "crash":
            node.replica = None
            self.remaining.crashes -= 1
        elif step.action == "wipe":
            self._wipe(step.actor)
        else:
            replica = node.replica
            assert replica is not None
            if step.action in ("elect", "trial"):
                replica.tick(self.now)  # a leader has not seen its followers for STEP_INTERVAL_S
                replica.tick(self.now + 1.0)
                self._exchange(step, VOTE_MESSAGES)
                return
            replica.now = self.now
            if step.action == "stand":
                self._exchange(step, VOTE_MESSAGES)
                return
            if step.action == "order":
                self.proposed_count += 1
                self.remaining.changes -= 1
                replica.propose(Claim(f"k{self.proposed_count}", f"c{self.proposed_count}", "h"))
            elif step.action in ("tend", "tend once", "let go"):
                self._reconfigure(step, replica)
            elif step.action == "hand over":
                self._transfer_leadership(step, replica)
                return
            elif step.action in ("send", "send once"):
                self._start_read_round(step, replica)
                self._exchange(
                    step, REPLICATION_MESSAGES, 1 if step.action == "send once" else EXCHANGE_ROUNDS_MAX
                )
                return
            replica.outbox.clear()
            self._sync(step, step.actor)

    def _start_read_round(self, step: Step, leader: Replica) -> None:
        """Start a read round; those the leader reaches were seen just now, all others long ago."""
        for node_index in step.reached:
            progress = leader.followers.get(self.nodes[node_index].id)
            if progress is not None:
                progress.last_seen_at = self.now
        leader.start_read_round()

    def _reconfigure(self, step: Step, leader: Replica) -> None:
        self._start_read_round(step, leader)
        self._exchange(step, REPLICATION_MESSAGES)
        for _ in range(1 if step.action == "tend once" else EXCHANGE_ROUNDS_MAX):
            if step.leaving >= 0:
                leader.receive(LeaveRequest(self.nodes[step.leaving].id), self.now)
            before = leader.log.last_index
            for node_index in sorted(step.reached):
                node = self.nodes[node_index]
                if leader.role is Role.LEADER and not leader.is_member(node.id):
                    leader.receive(JoinRequest(_member(node, node_index), supports_learners=True), self.now)
            leader.membership.tick()
            if leader.log.last_index == before:
                break
            if step.action != "tend once":
                leader.start_read_round()
                self._exchange(step, REPLICATION_MESSAGES)

    def _transfer_leadership(self, step: Step, leader: Replica) -> None:
        self._start_read_round(step, leader)
        self._exchange(step, REPLICATION_MESSAGES)
        leader.transfer_leadership()
        for outgoing in leader.outbox:
            if isinstance(outgoing.message, TimeoutNow):
                successor = int(outgoing.address[1:])
                node = self.nodes[successor]
                if successor in step.reached and node.replica is not None:
                    node.replica.receive(outgoing.message, self.now)
                    reached = step.reached - {successor} | {step.actor}
                    self._exchange(Step("elect", successor, reached), VOTE_MESSAGES)
        leader.outbox = []

    def _wipe(self, node_index: int) -> None:
        """Replace a disk by an empty one; the replica that starts on it has a new id."""
        node = self.nodes[node_index]
        self.remaining.wipes -= 1
        node.incarnations += 1
        node.id = f"m{node_index}.{node.incarnations}"
        node.disk = (Identity(node.id),)
        node.founders = ()
        node.replica = None

    def _exchange(
        self, step: Step, message_types: tuple[type, ...], max_rounds: int = EXCHANGE_ROUNDS_MAX
    ) -> None:
        """Deliver messages of these types between the actor and the nodes it reaches until there are none.

        All others are lost. In a "trial", vote requests after the pre-vote stay in the outbox for a "stand".
        """
        participants = {step.actor, *step.reached}
        deferred: list[OutgoingMessage] = []
        for _ in range(max_rounds):
            has_delivered = False
            for node_index in sorted(participants):
                replica = self.nodes[node_index].replica
                assert replica is not None
                self._sync(step, node_index)
                outbox, replica.outbox = replica.outbox, []
                for outgoing in outbox:
                    message = outgoing.message
                    to = int(outgoing.address[1:])
                    target = self.nodes[to].replica
                    if step.action == "trial" and isinstance(message, RequestVote) and not message.is_prevote:
                        deferred.append(outgoing)
                    elif (
                        to in participants
                        and step.actor in (node_index, to)
                        and isinstance(message, message_types)
                        and target is not None
                    ):
                        target.receive(_encode_and_decode(message), self.now)
                        has_delivered = True
            if not has_delivered:
                break
        for node_index in participants:
            replica = self.nodes[node_index].replica
            assert replica is not None
            replica.outbox = deferred if node_index == step.actor else []

    def _sync(self, step: Step, node_index: int) -> None:
        """Write all pending records to the disk, unless it hangs."""
        node = self.nodes[node_index]
        replica = node.replica
        assert replica is not None
        replica.flush()
        while node_index != step.hung_disk and (writes := replica.pop_writes(self.now)):
            node.disk = (*node.disk, *writes)
            replica.on_written(len(writes), self.now)

    def _check_invariants(self, leader_logs: dict[int, list[LogEntry]], before: World) -> None:
        check_invariants(self, leader_logs, before)

    def lost(self) -> set[str]:
        """Return the ids of lost disks that still count; see `lost_disks`."""
        return lost_disks(self, {node.id: node.log() for node in self.nodes})

    def fail(self, text: str) -> NoReturn:
        """Raise InvariantError with the steps that led here."""
        raise InvariantError(text + ": " + "; ".join(str(step) for step in self.steps))

    def key(self) -> bytes:
        """Return the same bytes for equivalent states."""
        return state_key(self)


def _member(node: Node, node_index: int) -> Member:
    return Member(node.id, f"a{node_index}", "")


def _encode_and_decode(message: Any) -> Any:
    """Return a message as its receiver decodes it, so that it shares no objects with the sender."""
    return decode(encode(message), type(message))
