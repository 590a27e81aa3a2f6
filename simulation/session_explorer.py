"""Exploration of the session model: openings, all states to a depth, random walks.

An opening is a sequence of first steps, so that a short exploration after it reaches deep states.

    python -m simulation.session_explorer [DEPTH [MEMBERS]]   all states to a depth after each opening
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass, replace
from multiprocessing import Pool

from simulation.client_sessions import SessionLimits, SessionStep, SessionWorld
from simulation.invariants import InvariantError
from simulation.model_state import World
from simulation.model_steps import FaultLimits, Step

LIMITS = FaultLimits(changes=0, crashes=1, wipes=0)


OPENINGS = (
    "led",
    "an order in the leader's log alone",
    "an order on another's disk alone",
    "taken, and a later one on top",
    "a leader that another has replaced",
    "taken, and the leader that told it replaced",
)


def opening_steps(name: str, members: int) -> list[Step]:
    """Return the steps of one of OPENINGS. Replica 0 leads; where another replaces it, that is replica 1."""
    # Together with replica 1 a majority without replica 0.
    voters_for_1 = frozenset(range(2, members // 2 + 2))
    submitted: list[Step] = [SessionStep("submit", 0, order=0)]
    # On one follower's disk and not on the leader's, so no replica can tell whether it is committed.
    on_one_follower: list[Step] = [
        SessionStep("submit", 0, order=0, hung_disk=0),
        Step("send once", 0, frozenset({1}), hung_disk=0),
    ]
    replicated = [Step("send", 0, frozenset(range(1, members)))] * 2
    leader_replaced = [*[Step("elect", 1, voters_for_1)] * 2, Step("send", 1, voters_for_1)]
    later_change: list[Step] = [SessionStep("submit", 0, order=2)]
    steps: dict[str, list[Step]] = {
        "led": [],
        "an order in the leader's log alone": submitted,
        "an order on another's disk alone": on_one_follower,
        "taken, and a later one on top": [*submitted, *replicated, *later_change, *replicated],
        "a leader that another has replaced": [*submitted, *leader_replaced],
        "taken, and the leader that told it replaced": [*submitted, *replicated, *leader_replaced],
    }
    return steps[name]


def state_after_opening(name: str, members: int = 3, limits: SessionLimits | None = None) -> SessionWorld:
    """Return the state after an opening; the limits apply from there on."""
    world = SessionWorld.with_leader(members, replace(LIMITS), SessionLimits())
    world = world.apply_steps(*opening_steps(name, members))
    world.session_limits = limits or SessionLimits()
    return world


@dataclass(frozen=True, slots=True)
class ExplorationResult:
    """How much was explored, and the violation if there is one."""

    states: int
    response_count: int  # responses that were checked
    violation: str = ""  # the violated invariant, with the steps that led there; empty: none


def explore_sessions(
    opening: str, depth: int, members: int = 3, first_step: int | None = None
) -> ExplorationResult:
    """Visit all states to a depth after an opening, each once.

    `first_step`: index of the only first step to take; by default all are taken.
    """
    start = state_after_opening(opening, members)
    level: list[World] = [start]
    response_count = 0
    try:
        if first_step is not None:
            level, depth = [start.apply(list(start.possible_steps())[first_step])], depth - 1
        seen = {world.key() for world in level}
        for _ in range(depth):
            next_level: list[World] = []
            for world in level:
                for step in world.possible_steps():
                    child = world.apply(step)
                    key = child.key()
                    if key not in seen:
                        seen.add(key)
                        next_level.append(child)
                        assert isinstance(child, SessionWorld) and isinstance(world, SessionWorld)
                        response_count += (
                            child.observations.response_count - world.observations.response_count
                        )
            level = next_level
    except InvariantError as violation:
        return ExplorationResult(0, 0, f"{opening}: {violation}")
    return ExplorationResult(len(seen), response_count)


def walk_sessions(seed: int, steps: int, members: int = 3) -> ExplorationResult:
    """Take random steps from a random opening."""
    rng = random.Random(seed)
    world: World = state_after_opening(rng.choice(OPENINGS), members, SessionLimits(8, 4, 2))
    world.remaining.crashes = 3
    try:
        for _ in range(steps):
            possible_steps = list(world.possible_steps(is_fine_grained=True))
            action = rng.choice(sorted({step.action for step in possible_steps}))
            world = world.apply(rng.choice([step for step in possible_steps if step.action == action]))
    except InvariantError as violation:
        return ExplorationResult(0, 0, f"walk {seed}: {violation}")
    assert isinstance(world, SessionWorld)
    return ExplorationResult(steps, world.observations.response_count)


def exploration_jobs(depth: int, members: int = 3) -> list[tuple[str, int, int, int]]:
    """Return arguments of `explore_sessions`, for each opening and first step."""
    counts = {
        opening: len(list(state_after_opening(opening, members).possible_steps())) for opening in OPENINGS
    }
    return [
        (opening, depth, members, first_step)
        for opening, count in counts.items()
        for first_step in range(count)
    ]


def main(depth: int, members: int) -> int:
    """Explore from all openings and print the counts. Returns 1 if there is a violation."""
    with Pool(2) as pool:
        results = pool.starmap(explore_sessions, exploration_jobs(depth, members), chunksize=1)
    for result in results:
        if result.violation:
            print(result.violation)
    print(
        sum(result.states for result in results),
        "states,",
        sum(result.response_count for result in results),
        "answers",
    )
    return 1 if any(result.violation for result in results) else 0


if __name__ == "__main__":
    arguments = [int(argument) for argument in sys.argv[1:]]
    sys.exit(main(arguments[0] if arguments else 3, arguments[1] if len(arguments) > 1 else 3))
