"""Defects planted in membership changes, to test the model checker: each defect must be found."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from msgspec.structs import replace

from cometdoor.control.elections import Elections
from cometdoor.control.membership import GroupConfiguration, Membership
from cometdoor.control.replica import Replica
from cometdoor.control.replication import Replication
from simulation.invariants import InvariantError
from simulation.model_checker import explore, random_walk
from simulation.model_state import World
from simulation.model_steps import FaultLimits, Step

RANDOM_WALK_COUNT = 400  # of 24 steps each
LIMITS = FaultLimits(changes=3, crashes=3, wipes=3)


def _adds_joiner_as_voter() -> AbstractContextManager[Any]:
    """Adds a joining node as a voter, with an empty log."""
    with_joiner = Membership._with_joiner

    def with_voting_joiner(self: Membership) -> GroupConfiguration | None:
        with_joiner_voting = with_joiner(self)
        return with_joiner_voting and (*with_joiner_voting[:-1], replace(with_joiner_voting[-1], voter=True))

    return mock.patch.object(Membership, "_with_joiner", with_voting_joiner)


def _promotes_too_early() -> AbstractContextManager[Any]:
    """Promotes a learner to voter before it has all committed entries."""
    return mock.patch.object(Membership, "_is_caught_up", lambda self, learner: True)


def _proposes_second_change_early() -> AbstractContextManager[Any]:
    """Starts a membership change before the last one is committed."""
    tick = Membership.tick

    def tick_despite_pending_change(self: Membership) -> None:
        self._proposed_index = 0
        tick(self)

    return mock.patch.object(Membership, "tick", tick_despite_pending_change)


def _removes_without_replacement() -> AbstractContextManager[Any]:
    """Removes a leaving voter at once, before a successor has its entries."""
    next_configuration = Membership._next_configuration

    def remove_at_once(self: Membership) -> GroupConfiguration | None:
        leaving = [voter for voter in self._replica.voters if self.is_leaving(voter.id)]
        return self._without(leaving[0]) if leaving else next_configuration(self)

    return mock.patch.object(Membership, "_next_configuration", remove_at_once)


@contextmanager
def _counts_votes_of_learners() -> Iterator[None]:
    """Requests votes of learners and counts them."""
    start_election, count_votes = Elections.start_election, Elections.count_votes

    def start_election_among_all(
        self: Elections, is_prevote: bool, is_leadership_transfer: bool = False
    ) -> None:
        with mock.patch.object(Replica, "other_voters", Replica.other_members):
            start_election(self, is_prevote, is_leadership_transfer)

    def count_all_members(self: Elections) -> None:
        with mock.patch.object(Replica, "is_voter", Replica.is_member):
            count_votes(self)

    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(Elections, "start_election", start_election_among_all))
        stack.enter_context(mock.patch.object(Elections, "count_votes", count_all_members))
        yield


def _counts_learners_for_commits() -> AbstractContextManager[Any]:
    """Counts the disks of learners for commits."""
    advance_commit = Replication.advance_commit

    def count_all_members(self: Replication) -> None:
        with mock.patch.object(Replica, "other_voters", Replica.other_members):
            advance_commit(self)

    return mock.patch.object(Replication, "advance_commit", count_all_members)


MEMBERSHIP_DEFECTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "a joiner votes before it has the log": _adds_joiner_as_voter,
    "a learner is promoted before it has the log": _promotes_too_early,
    "a second change begins before the first is committed": _proposes_second_change_early,
    "a leaving voter is let go without a successor": _removes_without_replacement,
    "a learner votes": _counts_votes_of_learners,
    "a learner's disk counts for a commit": _counts_learners_for_commits,
}


def step(action: str, actor: int, *reached: int, hung_disk: int = -1) -> Step:
    return Step(action, actor, frozenset(reached), hung_disk)


LEADER_ELECTED = [step("elect", 0, 1, 2), step("send", 0, 1, 2), step("order", 0), step("send", 0, 1, 2)]
LEADER_ELECTED_WITH_SPARE = [step("elect", 0, 1, 2, 3), step("order", 0), step("send", 0, 1, 2, 3)]
MEMBER_WIPED = [*LEADER_ELECTED, step("wipe", 2), step("start", 2)]
# The spare learner is promoted, and the leader is about to demote the unresponsive voter.
SPARE_PROMOTED = [*LEADER_ELECTED_WITH_SPARE, step("tend once", 0, 1, 3), step("send once", 0, 1, 3)]
# Defects that only one order of events reveals, each with that order. Random walks find the others.
TRACES: dict[str, list[Step]] = {
    "a learner is promoted before it has the log": [*MEMBER_WIPED, step("tend", 0, 1, 2, hung_disk=2)],
    "a second change begins before the first is committed": [
        *LEADER_ELECTED_WITH_SPARE,
        step("tend once", 0, 1, 3),
        step("tend once", 0, 3),
    ],
    "a joiner votes before it has the log": [*MEMBER_WIPED, step("tend", 0, 1, 2, hung_disk=2)],
    "a learner's disk counts for a commit": [
        *LEADER_ELECTED_WITH_SPARE,
        step("order", 0),
        step("send", 0, 3),
    ],
}


@dataclass(frozen=True)
class RepairStage:
    """A stage in the repair of a group of three voters, from which a search may start."""

    trace: list[Step]
    spares: int = 0

    def world(self) -> World:
        """Return the state at this stage. Raises InvariantError."""
        world = World.established(3, LIMITS, self.spares)
        for next_step in self.trace:
            world = world.apply(next_step)
        return world


STAGES: dict[str, RepairStage] = {
    "a wiped member is back": RepairStage(MEMBER_WIPED),
    "the wiped member's old id goes": RepairStage([*MEMBER_WIPED, step("tend once", 0, 1, 2)]),
    "a wiped member is whole again": RepairStage([*MEMBER_WIPED, step("tend", 0, 1, 2)]),
    "a spare stands by": RepairStage(LEADER_ELECTED_WITH_SPARE, 1),
    "a spare is promoted, and nobody knows": RepairStage(
        [*LEADER_ELECTED_WITH_SPARE, step("tend once", 0, 1, 3)], 1
    ),
    "the silent voter is about to be demoted": RepairStage(SPARE_PROMOTED, 1),
    "a spare has taken a silent voter's place": RepairStage(
        [*LEADER_ELECTED_WITH_SPARE, step("tend", 0, 1, 3)], 1
    ),
}


def stage_of(defect: str) -> RepairStage:
    """Return the stage at the end of the defect's trace."""
    trace = TRACES[defect]
    return RepairStage(
        trace, spares=int(trace[: len(LEADER_ELECTED_WITH_SPARE)] == LEADER_ELECTED_WITH_SPARE)
    )


def explore_from(stage: str, depth: int) -> int:
    """Visit all states within `depth` steps of a stage and return their number. Raises InvariantError."""
    return explore(3, depth, start=STAGES[stage].world())


def walk_with_repairs(seed: int) -> int:
    """Take a random walk with three or five voters, every second one with a spare learner.

    See `simulation.model_checker.random_walk`.
    """
    return random_walk(3 if seed % 4 < 2 else 5, seed, 24, LIMITS, spares=seed % 2)


def find_violation(name: str) -> str:
    """Return the violation that the checker finds in the code with the defect; empty: none."""
    with MEMBERSHIP_DEFECTS[name]():
        try:
            if name in TRACES:
                stage_of(name).world()
            else:
                for seed in range(RANDOM_WALK_COUNT):
                    walk_with_repairs(seed)
        except InvariantError as violation:
            return str(violation)
    return ""
