"""All histories of a small replica group to a depth, and defects that the model checker must find."""

from ward import each, raises, test

from cometdoor.control.roles import Role
from simulation.invariants import InvariantError
from simulation.model_checker import explore, random_walk
from simulation.model_keys import symmetric_key
from simulation.model_state import World
from simulation.model_steps import FaultLimits
from simulation.planted_defects import DEFECTS, TRACES, find_violation, replay
from simulation.planted_membership_defects import (
    LEADER_ELECTED_WITH_SPARE,
    MEMBERSHIP_DEFECTS,
    STAGES,
    RepairStage,
    explore_from,
    stage_of,
    step,
    walk_with_repairs,
)
from simulation.planted_membership_defects import TRACES as MEMBERSHIP_TRACES
from simulation.planted_membership_defects import find_violation as find_violation_in_repairs


@test("no execution of three members to depth two, nor of five to depth one, breaks an invariant")
def _() -> None:
    assert explore(3, 2) > 500 and explore(5, 1) > 200


@test("no long random execution breaks an invariant")
def _() -> None:
    assert sum(random_walk(3, seed, 24, FaultLimits(3, 4, 1)) for seed in range(150)) > 3000
    assert sum(random_walk(5, seed, 24, FaultLimits(3, 4, 1)) for seed in range(40)) > 800


# Review report 2: while a single member formed the group, the loss of its disk left a core that never formed.
@test("three machines form one group, whichever start, crash or lose a disk, in which order, to depth five")
def _() -> None:
    limits = FaultLimits(changes=1, crashes=1, wipes=1)
    assert explore(3, 5, start=World.founding(3, founders=3, limits=limits)) > 1000


@test("a group that a single member founds does not survive the loss of that member's disk")
def _() -> None:
    with raises(InvariantError):
        explore(3, 1, start=World.founding(3, founders=1))


@test("the model checker finds each planted defect")
def _() -> None:
    assert len(DEFECTS) == 6 and all(find_violation(name) for name in DEFECTS)


@test("the executions that expose planted defects break no invariant of the sound group")
def _() -> None:
    for trace in TRACES.values():
        replay(trace)


@test("states that differ only in the members' names are one state, and no others are")
def _() -> None:
    start = World.established(3)
    keys = {str(step): symmetric_key(start.apply(step)) for step in start.possible_steps()}
    assert keys["elect 0 reaching [1]"] == keys["elect 2 reaching [0]"] == keys["elect 1 reaching [2]"]
    assert keys["wipe 0"] == keys["wipe 2"] != keys["crash 0"]
    assert keys["elect 0 reaching [1, 2]"] != keys["elect 0 reaching [1]"]
    # Few of the states are equal under more than one of the six permutations of three nodes
    plain_count, merged_count = explore(3, 2), explore(3, 2, key_of=symmetric_key)
    assert plain_count / 6 <= merged_count < plain_count / 5


@test("at no stage of a repair does a further loss break an invariant")
def _(stage: str = each(*STAGES)) -> None:
    assert explore_from(stage, 1 if STAGES[stage].spares else 2) > 30


@test("no long execution of losses and repairs breaks an invariant")
def _() -> None:
    assert sum(map(walk_with_repairs, range(120))) > 2500


@test("the model checker finds each defect planted in membership changes")
def _(name: str = each(*MEMBERSHIP_DEFECTS)) -> None:
    assert find_violation_in_repairs(name)


@test("the executions that expose membership defects break no invariant of the sound group")
def _() -> None:
    for name in MEMBERSHIP_TRACES:
        stage_of(name).world()


@test("a learner that alone has the most up-to-date log is elected, and transfers its leadership")
def _() -> None:
    # Given a promotion that only the old leader's disk has, and the next leader's entry on the spare's disk
    trace = [*LEADER_ELECTED_WITH_SPARE, step("tend once", 0, 1, 3), step("elect", 1, 2), step("send", 1, 3)]
    world = RepairStage([*trace, step("crash", 1)], spares=1).world()
    # When the others start elections: two of four voters, then one of three, are not a majority
    for voter in (0, 2, 0, 2):
        world = world.apply(step("elect", voter, *{0, 2, 3} - {voter}))
        assert not any(node.replica and node.replica.role is Role.LEADER for node in world.nodes)
    # Then the learner can be elected
    world = world.apply(step("elect", 3, 0, 2)).apply(step("elect", 3, 0, 2))
    learner = world.nodes[3].replica
    assert learner is not None and learner.role is Role.LEADER
    learner.tick(world.now)
    assert learner.is_transferring_leadership
