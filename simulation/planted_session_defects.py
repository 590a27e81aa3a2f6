"""Defects planted in responses to clients, to test the checks of them: each defect must be found.

Each defect in the handling of resends and reads has a trace in the model of client sessions
(simulation/client_sessions.py) that begins with one of its openings. Defects that depend on time are found in
whole simulated meshes (simulation/isolated_replica.py).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from typing import Any
from unittest import mock
from zlib import crc32

from cometdoor.control import accepted_configurations
from cometdoor.control.accepted_configurations import AcceptedConfigurations, AcceptedConfigurationsSnapshot
from cometdoor.control.leader_contact import ContactStatus, LeaderContact, LeaderContactMonitor
from cometdoor.control.pending_requests import PendingRequests, ProposalCompleted, ReadCompleted
from cometdoor.control.replica import Replica
from cometdoor.control.replica_server import ReplicaServer
from cometdoor.control.roles import Role
from cometdoor.control.state_machine import ApplyResult, StateMachine
from cometdoor.wire.log_entries import ConfigurationChange
from simulation.client_sessions import ORDERS, SessionStep, SessionWorld
from simulation.invariants import InvariantError
from simulation.isolated_replica import run_partition
from simulation.model_steps import Step
from simulation.session_explorer import state_after_opening

PlantedDefect = AbstractContextManager[Any]


def _rejects_when_deposed() -> PlantedDefect:
    """Rejects with 412 a change that a deposed leader could not commit, though its result is unknown."""

    def expire_proposals(self: PendingRequests[Any, Any], replica: Replica) -> list[ProposalCompleted[Any]]:
        leading_term = replica.term if replica.role is Role.LEADER else -1
        expired = [index for index, pending in self._proposals.items() if pending.term != leading_term]
        return [
            ProposalCompleted(self._proposals.pop(index).caller, ApplyResult(False, 99)) for index in expired
        ]

    return mock.patch.object(PendingRequests, "expire_proposals", expire_proposals)


@contextmanager
def _compares_base_when_submitted() -> Iterator[None]:
    """Compares a change's base when it is submitted, and applies every change in the log."""

    def submit(self: SessionWorld, node_index: int, order: int) -> None:
        state, change = self.states[node_index], ORDERS[order]
        if state.was_accepted(change.revision, change.body) or change.base_revision == state.revision:
            self.pending_requests[node_index].propose(self._replica(node_index), change, order)
        else:
            self._on_order_result(order, ApplyResult(False, state.revision))

    def apply_without_comparison(self: StateMachine, change: ConfigurationChange) -> ApplyResult:
        self.revision, self.body = change.revision, change.body
        self._accepted.add(change.revision, change.body)
        return ApplyResult(True, self.revision)

    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(SessionWorld, "_submit", submit))
        stack.enter_context(mock.patch.object(StateMachine, "_apply_configuration", apply_without_comparison))
        yield


def _snapshot_omits_digests() -> PlantedDefect:
    """Leaves the digests of accepted configurations out of snapshots."""
    return mock.patch.object(
        AcceptedConfigurations, "snapshot", lambda self: AcceptedConfigurationsSnapshot([], [], 0)
    )


def _compares_by_checksum() -> PlantedDefect:
    """Treats configurations with the same CRC-32 as the same configuration."""
    return mock.patch.object(
        accepted_configurations, "compute_digest", lambda body: crc32(body).to_bytes(4, "big")
    )


def _reads_without_read_round() -> PlantedDefect:
    """Responds to reads at any replica that considers itself the leader, without a read round."""

    def complete_reads(
        self: PendingRequests[Any, Any], replica: Replica, now: float
    ) -> list[ReadCompleted[Any]]:
        reads, self._reads = self._reads, []
        return [ReadCompleted(pending.caller, replica.role is Role.LEADER) for pending in reads]

    return mock.patch.object(PendingRequests, "complete_reads", complete_reads)


@contextmanager
def _matches_results_by_index_alone() -> Iterator[None]:
    """Responds to a caller with the result of the entry at its index, whoever proposed that entry."""
    apply = PendingRequests.apply_committed

    def apply_any_term(
        self: PendingRequests[Any, Any], replica: Replica, state: StateMachine
    ) -> list[ProposalCompleted[Any]]:
        for index, pending in self._proposals.items():
            term = replica.log.term_at(index)
            self._proposals[index] = type(pending)(pending.term if term is None else term, pending.caller)
        return apply(self, replica, state)

    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(PendingRequests, "apply_committed", apply_any_term))
        stack.enter_context(mock.patch.object(PendingRequests, "expire_proposals", lambda self, replica: []))
        yield


def _redirects_to_stale_leader() -> PlantedDefect:
    """Redirects callers to the last known leader, however long ago it was last seen."""

    def contact_status(
        self: LeaderContactMonitor, now: float, is_leader_connection_broken: bool = False
    ) -> ContactStatus:
        leader = self._replica.find_leader()
        if leader is not None and leader.id != self._replica.me.id:
            return ContactStatus(LeaderContact.FOLLOWING, 0.0, leader)
        return unpatched_status(self, now, is_leader_connection_broken)

    unpatched_status = LeaderContactMonitor.contact_status
    return mock.patch.object(LeaderContactMonitor, "contact_status", contact_status)


def _rejects_without_contact() -> PlantedDefect:
    """Rejects an invalid change at any replica that considers itself the leader, without a read round."""
    return mock.patch.object(ReplicaServer, "read", lambda self, done: done(self.replica.is_leading))


SESSION_DEFECTS: dict[str, Callable[[], PlantedDefect]] = {
    "a 412 from a deposed leader": _rejects_when_deposed,
    "a comparison made before the log": _compares_base_when_submitted,
    "a snapshot that forgets the digests": _snapshot_omits_digests,
    "a checksum in place of the digest": _compares_by_checksum,
    "a read without a round": _reads_without_read_round,
    "an answer by the index alone": _matches_results_by_index_alone,
}
# Each with the kind of partition, and whether the isolated replica leads.
FLEET_DEFECTS: dict[str, tuple[Callable[[], PlantedDefect], str, bool]] = {
    "a 307 to a leader long unheard": (_redirects_to_stale_leader, "both", False),
    "a 400 and a read without contact": (_rejects_without_contact, "both", True),
}
REPLICATE_FROM_SECOND = Step("send", 1, frozenset({2}))
# For each defect, an opening and the events after it that reveal the defect. The correct code passes them.
TRACES: dict[str, tuple[str, list[Step]]] = {
    "a 412 from a deposed leader": (
        "an order on another's disk alone",
        [*[Step("elect", 0, frozenset({2}))] * 2, *[Step("send", 0, frozenset({1, 2}))] * 2],
    ),
    "a comparison made before the log": (
        "led",
        [
            SessionStep("submit", 0, order=0),
            SessionStep("submit", 0, order=1),
            *[Step("send", 0, frozenset({1}))] * 2,
        ],
    ),
    "a snapshot that forgets the digests": (
        "taken, and a later one on top",
        [
            SessionStep("compact", 1),
            Step("crash", 1),
            Step("start", 1),
            *[Step("elect", 1, frozenset({2}))] * 2,
            *[REPLICATE_FROM_SECOND] * 2,
            SessionStep("submit", 1, order=0),
            *[REPLICATE_FROM_SECOND] * 2,
        ],
    ),
    "a checksum in place of the digest": (
        "taken, and a later one on top",
        [SessionStep("submit", 0, order=1), *[Step("send", 0, frozenset({1}))] * 2],
    ),
    "a read without a round": (
        "a leader that another has replaced",
        [SessionStep("submit", 1, order=0), *[REPLICATE_FROM_SECOND] * 2, SessionStep("read", 0)],
    ),
    "an answer by the index alone": (
        "a leader that another has replaced",
        [Step("send", 0, frozenset({1})), *[Step("send", 1, frozenset({0, 2}))] * 2],
    ),
}
DEFECTS = [*SESSION_DEFECTS, *FLEET_DEFECTS]


def find_violation(name: str) -> str:
    """Return the violation that the checks find in the code with the defect; empty: none."""
    if name in FLEET_DEFECTS:
        plant_defect, kind, is_leader = FLEET_DEFECTS[name]
        with plant_defect():
            return "; ".join(run_partition(1, kind, is_leader).violations)
    with SESSION_DEFECTS[name]():
        return replay(*TRACES[name])


def replay(opening: str, trace: list[Step]) -> str:
    """Return the violation found on this trace; empty: none."""
    try:
        state_after_opening(opening).apply_steps(*trace)
    except InvariantError as violation:
        return str(violation)
    return ""
