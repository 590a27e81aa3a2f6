"""Client sessions in all short histories of a small replica group, and defects that the checker must find."""

import logging

import structlog
from ward import each, test

from simulation.planted_session_defects import DEFECTS, FLEET_DEFECTS, TRACES, find_violation, replay
from simulation.session_explorer import OPENINGS, explore_sessions, walk_sessions

structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


@test("no two events after the opening reject an accepted change or return an old state: {opening}")
def _(opening: str = each(*OPENINGS)) -> None:
    explored = explore_sessions(opening, 2)
    assert not explored.violation and explored.states > 200, explored


@test(
    "no long random execution rejects an accepted change or returns an old state, with three or five replicas"
)
def _() -> None:
    walks = [walk_sessions(seed, 30, 3 if seed % 3 else 5) for seed in range(150)]
    assert not any(walk.violation for walk in walks), [walk.violation for walk in walks if walk.violation]
    assert sum(walk.response_count for walk in walks) > 200


@test("the model checker finds a planted defect: {name}")
def _(name: str = each(*DEFECTS)) -> None:
    assert find_violation(name)


@test("the executions that expose session defects break no invariant of the sound group")
def _() -> None:
    assert len(TRACES) == len(DEFECTS) - len(FLEET_DEFECTS) == 6
    assert not any(replay(*trace) for trace in TRACES.values())
