"""Client sessions for the model checker: changes that are resent, lost responses, reads at any replica.

It is the group of `simulation.model_checker` together with the production modules between it and its clients:
`PendingRequests` and the state machine. There is no time in the model, so no replica ever finds out that it
is isolated: each one that considers itself the leader accepts changes and reads, which is the worst case of
any clock. A response counts as delivered whether it arrives or not, and a change may be sent again at any
moment, to any replica that accepts it. This covers lost responses, resends to another replica, and resends of
changes that already had a response.

Two clients send different configurations with one revision on one base, with bodies of one CRC-32; a third
builds on that revision. After each step, these must hold besides the invariants of the checker:

- a change that is or ever becomes accepted was never rejected, and is never rejected later (`accepted is not
  rejected`);
- an acknowledged change is accepted (`acknowledged is accepted`), and at most one of several changes on one
  base is (`one change on a base`);
- a read returns a configuration that is committed, and none older than what was acknowledged before it began
  (`reads are current`).

Which changes are accepted is computed by a plain register that compares complete bodies, over the committed
entries.
`simulation.session_explorer` visits the states.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from cometdoor.control.admin_api import build_replace_response
from cometdoor.control.pending_requests import PendingRequests
from cometdoor.control.replica import Replica
from cometdoor.control.roles import Role
from cometdoor.control.state_machine import ApplyResult, StateMachine
from cometdoor.wire.log_entries import ConfigurationChange
from cometdoor.wire.revisions import encode
from simulation.crc_collisions import PADDING_LETTERS, make_crc32_collision
from simulation.model_state import Node, World
from simulation.model_steps import FaultLimits, Step

PADDING = b"a" * PADDING_LETTERS
FOREVER = float("inf")
WINDOW_S = 60.0
ORDERS = (
    ConfigurationChange(0, 1, PADDING),
    ConfigurationChange(0, 1, make_crc32_collision(PADDING, PADDING)),
    ConfigurationChange(1, 2, b"two"),
)
REJECTED_STATUSES = (400, 412)


@dataclass(frozen=True, slots=True)
class SessionStep(Step):
    """A step of a client: "submit" a change to a replica, "read" there, or "compact" the replica's log."""

    order: int = -1

    def __str__(self) -> str:
        hung_disk = f", disk of {self.hung_disk} hangs" if self.hung_disk >= 0 else ""
        return f"{self.action} {self.actor}" + (f" order {self.order}" if self.order >= 0 else "") + hung_disk


@dataclass(frozen=True, slots=True)
class PendingSessionRead:
    """A read in progress; `min_revision`: the newest revision acknowledged when it began."""

    min_revision: int


SessionRequests = PendingRequests[int, PendingSessionRead]


@dataclass
class SessionLimits:
    """How many submissions, reads and compactions may still happen in a history."""

    submissions: int = 3
    reads: int = 1
    compactions: int = 1


@dataclass
class ClientObservations:
    """All responses that clients had so far."""

    acknowledged: set[int] = field(default_factory=set)  # orders
    rejected: set[int] = field(default_factory=set)
    observed_reads: list[tuple[int, bytes]] = field(default_factory=list)  # revision and body
    response_count: int = 0

    def copy(self) -> ClientObservations:
        return ClientObservations(
            self.acknowledged.copy(), self.rejected.copy(), self.observed_reads.copy(), self.response_count
        )

    def min_revision(self) -> int:
        return max((ORDERS[order].revision for order in self.acknowledged), default=0)


@dataclass
class SessionWorld(World):
    """The state of a group with the sessions of its clients."""

    session_limits: SessionLimits = field(default_factory=SessionLimits)
    pending_requests: list[SessionRequests] = field(default_factory=list)  # by index of the replica
    states: list[StateMachine] = field(default_factory=list)
    observations: ClientObservations = field(default_factory=ClientObservations)

    # --- set-up ---

    @staticmethod
    def with_leader(members: int, limits: FaultLimits, session_limits: SessionLimits) -> SessionWorld:
        """Return a group that is led by its first replica, without any change submitted."""
        base = World.established(members, limits)
        world = SessionWorld(
            base.nodes,
            base.remaining,
            base.fault_tolerance,
            base.first_members,
            session_limits=session_limits,
            pending_requests=[SessionRequests() for _ in range(members)],
            states=[StateMachine(WINDOW_S) for _ in range(members)],
        )
        others = frozenset(range(1, members))
        return world.apply_steps(Step("elect", 0, others), Step("send", 0, others))

    def apply_steps(self, *steps: Step) -> SessionWorld:
        """Return the state after the steps. Raises InvariantError."""
        world: World = self
        for step in steps:
            world = world.apply(step)
        assert isinstance(world, SessionWorld)
        return world

    def clone(self, touched: set[int]) -> SessionWorld:
        world = super().clone(set(range(len(self.nodes))))  # applied entries may end calls at any replica
        assert isinstance(world, SessionWorld)
        world.session_limits = replace(self.session_limits)
        world.pending_requests = [requests.copy() for requests in self.pending_requests]
        world.states = list(self.states)  # shared: `_run_turn` copies a state machine before it changes
        world.observations = self.observations.copy()
        return world

    def _start(self, node_index: int) -> None:
        super()._start(node_index)
        if node_index < len(self.states):
            replica = self._replica(node_index)
            self.pending_requests[node_index] = SessionRequests()
            self.states[node_index] = StateMachine(WINDOW_S)
            if replica.log.snapshot is not None:
                self.states[node_index].load(replica.log.snapshot.state)
            self._run_turn(node_index)

    def _replica(self, node_index: int) -> Replica:
        replica = self.nodes[node_index].replica
        assert replica is not None
        return replica

    # --- steps ---

    def possible_steps(self, is_fine_grained: bool = False) -> Iterator[Step]:
        for step in super().possible_steps(is_fine_grained):
            # simulation.model_checker covers hung disks; here they matter only for a change that is in the
            # leader's log and on no disk.
            if step.hung_disk < 0 or step.action == "submit":
                yield step
        limits = self.session_limits
        for node_index, node in enumerate(self.nodes):
            replica = node.replica
            if replica is None:
                continue
            if replica.role is Role.LEADER and replica.is_leading:
                if limits.submissions:
                    for order in self._submittable_orders():
                        yield SessionStep("submit", node_index, order=order)
                        yield SessionStep("submit", node_index, order=order, hung_disk=node_index)
                if limits.reads:
                    yield SessionStep("read", node_index)
            if limits.compactions and replica.applied > replica.log.snapshot_index:
                yield SessionStep("compact", node_index)

    def _submittable_orders(self) -> list[int]:
        """Return the changes that build on a revision that a client may know."""
        known = {0} | {ORDERS[order].revision for order in self._accepted_orders()}
        return [number for number, order in enumerate(ORDERS) if order.base_revision in known]

    def _execute(self, step: Step) -> None:
        if not isinstance(step, SessionStep):
            super()._execute(step)
        else:
            replica = self._replica(step.actor)
            replica.now = self.now
            match step.action:
                case "submit":
                    self.session_limits.submissions -= 1
                    self._submit(step.actor, step.order)
                case "read":
                    self.session_limits.reads -= 1
                    self.pending_requests[step.actor].read(
                        replica, FOREVER, PendingSessionRead(self.observations.min_revision())
                    )
                case "compact":
                    self.session_limits.compactions -= 1
                    self._compact(self.nodes[step.actor], replica, self.states[step.actor])
            replica.outbox.clear()
            self._sync(step, step.actor)
        for node_index, node in enumerate(self.nodes):
            if node.replica is not None:
                self._run_turn(node_index)

    def _submit(self, node_index: int, order: int) -> None:
        """Propose a change as `ReplicaServer` does, without its check of the leader contact."""
        self.pending_requests[node_index].propose(self._replica(node_index), ORDERS[order], order)

    def _compact(self, node: Node, replica: Replica, state: StateMachine) -> None:
        """Replace the replica's disk by a compacted log, which includes pending writes."""
        replica.snapshot_state = state.snapshot
        while writes := replica.pop_writes(self.now):
            node.disk = (*node.disk, *writes)
            replica.on_written(len(writes), self.now)
        node.disk = tuple(replica.compact())

    def _sync(self, step: Step, node_index: int) -> None:
        super()._sync(step, node_index)
        self._run_turn(node_index)

    def _run_turn(self, node_index: int) -> None:
        """Do what `ReplicaServer` does after each turn of the event loop."""
        replica, pending_requests = self._replica(node_index), self.pending_requests[node_index]
        if replica.installed_snapshot is not None or replica.applied < replica.committed:
            state = self.states[node_index] = self.states[node_index].copy()
            if replica.installed_snapshot is not None:
                state.load(replica.installed_snapshot.state)
                replica.on_snapshot_loaded()
            for ended in pending_requests.apply_committed(replica, state):
                self._on_order_result(ended.caller, ended.result)
        for ended in pending_requests.expire_proposals(replica):
            self._on_order_result(ended.caller, ended.result)
        for read in pending_requests.complete_reads(replica, 0.0):
            if read.is_current:
                self._on_read_result(read.caller, self.states[node_index])

    # --- checks ---

    def _on_order_result(self, order: int, result: ApplyResult | None) -> None:
        status = build_replace_response(ORDERS[order], result).status
        self.observations.response_count += 1
        if status == 200:
            self.observations.acknowledged.add(order)
        elif status in REJECTED_STATUSES:
            self.observations.rejected.add(order)

    def _on_read_result(self, pending_read: PendingSessionRead, state: StateMachine) -> None:
        self.observations.response_count += 1
        if state.revision < pending_read.min_revision:
            self.fail(
                f"reads are current: revision {state.revision} was read after "
                f"revision {pending_read.min_revision} was acknowledged"
            )
        self.observations.observed_reads.append((state.revision, state.body))

    def _check_invariants(self, leader_logs: dict[int, list[Any]], before: World) -> None:
        super()._check_invariants(leader_logs, before)
        accepted = self._accepted_orders()
        for order in self.observations.rejected & accepted:
            self.fail(f"accepted is not rejected: order {order} is both")
        for order in self.observations.acknowledged - accepted:
            self.fail(f"acknowledged is accepted: order {order} is not accepted")
        for revision, body in self.observations.observed_reads:
            if revision and not any(
                ORDERS[order].revision == revision and ORDERS[order].body == body for order in accepted
            ):
                self.fail(f"reads are current: revision {revision} was read but is not accepted")
        bases = [ORDERS[order].base_revision for order in accepted]
        if len(bases) != len(set(bases)):
            self.fail(f"one change on a base: orders {sorted(accepted)} were accepted")

    def _accepted_orders(self) -> set[int]:
        """Return the accepted changes, by a plain register over the committed entries."""
        in_force, accepted = 0, set()
        for index in sorted(self.committed):
            change = self.committed[index][1]
            if (
                isinstance(change, ConfigurationChange)
                and change.base_revision == in_force
                and change.revision > in_force
            ):
                in_force = change.revision
                accepted.add(ORDERS.index(change))
        return accepted

    def key(self) -> bytes:
        """Return the same bytes for equivalent states.

        For read rounds it includes which followers have responded, not the rounds' numbers.
        """
        sessions: list[Any] = []
        for node, pending_requests in zip(self.nodes, self.pending_requests, strict=True):
            if node.replica is None:
                sessions.append(None)
                continue
            peers = node.replica.followers
            reads = [
                (
                    read.term,
                    read.caller.min_revision,
                    sorted(id for id, peer in peers.items() if peer.round >= read.round),
                )
                for read in pending_requests._reads
            ]
            orders = [
                (index, proposal.term, proposal.caller)
                for index, proposal in sorted(pending_requests._proposals.items())
            ]
            sessions.append((node.replica.log.snapshot_index, orders, reads))
        limits = self.session_limits
        observations = sorted(self.observations.acknowledged), sorted(self.observations.rejected)
        remaining = limits.submissions, limits.reads, limits.compactions
        return super().key() + encode((sessions, observations, remaining))
