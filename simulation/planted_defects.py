"""Defects planted in the consensus, to test its checkers: each defect must be found."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from typing import Any
from unittest import mock

from cometdoor.control import replication
from cometdoor.control.durable_state import DurableState, HardState, Identity, LogEntries, Record
from cometdoor.control.elections import Elections
from cometdoor.control.replica import Replica
from cometdoor.control.replication import Replication
from cometdoor.control.roles import Role
from cometdoor.control.storage import OutgoingMessage
from cometdoor.wire.consensus import RequestVote
from simulation.invariants import InvariantError
from simulation.model_checker import random_walk
from simulation.model_state import World
from simulation.model_steps import FaultLimits, Step


def _sends_before_sync() -> AbstractContextManager[Any]:
    """Sends messages before the writes that they depend on are synced."""

    def send(self: Replica, address: str, message: object, after_writes: bool = False) -> None:
        self.outbox.append(OutgoingMessage(address, message))

    return mock.patch.object(Replica, "send", send)


def _restarts_wiped_member_under_old_id() -> AbstractContextManager[Any]:
    """Restarts a machine with an empty disk under its former id, as the member that it was."""
    wipe = World._wipe

    def wipe_and_keep_id(self: World, node_index: int) -> None:
        id = self.nodes[node_index].id
        wipe(self, node_index)
        self.nodes[node_index].id = id
        members = next(
            write
            for write in World.established(len(self.nodes)).nodes[0].disk
            if isinstance(write, LogEntries)
        )
        self.nodes[node_index].disk = (Identity(id), members)

    return mock.patch.object(World, "_wipe", wipe_and_keep_id)


@contextmanager
def _commits_entry_of_earlier_term() -> Iterator[None]:
    """Commits an entry of an earlier term as soon as a majority has it (Raft, figure 8)."""

    def advance_commit(self: Replication) -> None:
        replica = self._replica
        if replica.role is Role.LEADER:
            match_indexes = sorted([replica.storage.durable_index, *_match_indexes(self)])
            replica.committed = max(replica.committed, match_indexes[len(match_indexes) - replica.majority()])

    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(Replication, "advance_commit", advance_commit))
        stack.enter_context(mock.patch.object(replication, "APPEND_MAX_ENTRIES", 1))
        yield


def _leader_counts_unsynced_entry() -> AbstractContextManager[Any]:
    """Counts the leader's own entry for a commit before it is on the leader's disk."""

    def advance_commit(self: Replication) -> None:
        replica = self._replica
        if replica.role is Role.LEADER:
            match_indexes = sorted([replica.log.last_index, *_match_indexes(self)])
            index = match_indexes[len(match_indexes) - replica.majority()]
            if index > replica.committed and replica.log.term_at(index) == replica.term:
                replica.committed = index

    return mock.patch.object(Replication, "advance_commit", advance_commit)


def _match_indexes(replication_state: Replication) -> list[int]:
    """Return, for each other voter, the index up to which its disk is known to match the leader's log."""
    others = replication_state._replica.other_voters()
    return [replication_state._replica.followers[member.id].match_index for member in others]


def _does_not_recover_vote() -> AbstractContextManager[Any]:
    """Does not recover the vote from disk after a restart."""
    apply = DurableState.apply

    def apply_without_vote(self: DurableState, write: Record) -> None:
        apply(self, HardState(write.term, "") if isinstance(write, HardState) else write)

    return mock.patch.object(DurableState, "apply", apply_without_vote)


def _votes_for_shorter_log() -> AbstractContextManager[Any]:
    """Votes for any candidate of a newer term, however short its log."""
    on_request_vote = Elections.on_request_vote

    def grant_regardless_of_log(self: Elections, message: RequestVote) -> None:
        message.last_term, message.last_index = 1 << 30, 1 << 30
        on_request_vote(self, message)

    return mock.patch.object(Elections, "on_request_vote", grant_regardless_of_log)


DEFECTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "votes before its disk has the vote": _sends_before_sync,
    "a wiped member counts as the old one": _restarts_wiped_member_under_old_id,
    "commits an older term's entry by count": _commits_entry_of_earlier_term,
    "a leader counts itself before its disk": _leader_counts_unsynced_entry,
    "forgets its vote when it starts again": _does_not_recover_vote,
    "votes for a log that lacks entries": _votes_for_shorter_log,
}


def _step(action: str, actor: int, *reached: int, hung_disk: int = -1) -> Step:
    return Step(action, actor, frozenset(reached), hung_disk)


# Defects that only one order of events reveals, each with that order. Random walks find the others.
TRACES: dict[str, list[Step]] = {
    "commits an older term's entry by count": [
        _step("elect", 0, 1),
        *[_step("elect", 2, 1)] * 2,
        *[_step("elect", 0, 1)] * 2,
        *[_step("send once", 0, 1)] * 2,
        _step("crash", 0),
        *[_step("elect", 2, 1)] * 2,
    ],
    "a leader counts itself before its disk": [
        _step("elect", 0, 1, 2),
        _step("send", 0, 1, 2),
        _step("order", 0, hung_disk=0),
        _step("send", 0, 1, hung_disk=0),
        _step("crash", 0),
        _step("start", 0),
        *[_step("elect", 0, 2)] * 2,
    ],
    "forgets its vote when it starts again": [
        _step("trial", 0, 1),
        _step("trial", 2, 1),
        _step("stand", 0, 1),
        _step("crash", 1),
        _step("start", 1),
        _step("stand", 2, 1),
    ],
}
RANDOM_WALK_COUNT = 400  # a quarter of them suffices to find each defect without a trace


def find_violation(name: str) -> str:
    """Return the violation that the checker finds in the code with the defect; empty: none."""
    with DEFECTS[name]():
        try:
            if name in TRACES:
                replay(TRACES[name])
            else:
                for seed in range(RANDOM_WALK_COUNT):
                    random_walk(3, seed, 24, FaultLimits(3, 4, 1))
        except InvariantError as violation:
            return str(violation)
    return ""


def replay(trace: list[Step]) -> World:
    """Return the state after the steps. Raises InvariantError."""
    world = World.established(3)
    for step in trace:
        world = world.apply(step)
    return world
