"""Second losses after each kind of repair, and tests of the checker of membership histories."""

from dataclasses import replace

from msgspec.structs import replace as with_fields
from ward import each, raises, test

from cometdoor.control.sizing import Sizing
from cometdoor.wire.log_entries import Member
from simulation.invariants import InvariantError
from simulation.membership_history import (
    MembershipHistory,
    MembershipRecordedGroup,
    RecordedChange,
    RecordedRead,
)
from simulation.planted_membership_defects import MEMBERSHIP_DEFECTS
from simulation.second_losses import LOSS_PATHS, SECOND_LOSSES, make_scenario, run_scenario, summarize

SCENARIO_COUNT = 27


@test("after each kind of repair a second loss loses no change, and the group soon accepts changes again")
def _() -> None:
    scenarios = [make_scenario(number) for number in range(SCENARIO_COUNT)]
    assert {path for scenario in scenarios for path in scenario.paths} == set(LOSS_PATHS)
    outcomes = [run_scenario(scenario) for scenario in scenarios]
    assert not [outcome.violation for outcome in outcomes if outcome.violation]
    assert summarize(outcomes)["second_losses_survived"] == SCENARIO_COUNT


@test("runs go through all second losses in turn")
def _() -> None:
    assert {make_scenario(number).second_loss for number in range(200)} == set(SECOND_LOSSES)


@test("the history shows a member that is counted before it has the log")
def _() -> None:
    with MEMBERSHIP_DEFECTS["a joiner votes before it has the log"](), raises(InvariantError) as violation:
        group = MembershipRecordedGroup(1, 3)
        group.run(2.0)
        group.history.check()
    assert "as a voter" in str(violation.raised)


A, B, C, D, E = (Member(name, f"{name}:1", "") for name in "abcde")


def as_learner(member: Member) -> Member:
    return with_fields(member, voter=False)


def make_history() -> MembershipHistory:
    """Return the history of three voters, of which one is replaced after its disk was lost."""
    memberships = [(A, B, C), (A, B), (A, B, as_learner(D)), (A, B, D), (A, B, D, as_learner(E))]
    changes = [
        RecordedChange(index, 1 + index // 3, members, float(index))
        for index, members in enumerate(memberships)
    ]
    reads = [
        RecordedRead(2.1, 2.2, memberships[2]),
        RecordedRead(2.1, 3.2, memberships[2]),
        RecordedRead(2.1, 3.2, memberships[3]),
    ]
    return MembershipHistory(Sizing(1, 3), changes, reads, {"d": 1.0, "e": 1.0, "c": 0.0}, {"c": 0.5})


def check_fails_with(history: MembershipHistory) -> str:
    with raises(InvariantError) as violation:
        history.check()
    return str(violation.raised)


@test("a sound history passes")
def _() -> None:
    make_history().check()


@test("a history that no sequential group has is detected: {message}")
def _(
    message: str = each(
        "2 members at once",
        "as a voter",
        "has not asked",
        "again, whose disk is gone",
        "whose disk is there",
        "which is needed",
        "leaves 3 of 4 voters",
        "of an older leader",
        "not in force then",
    ),
) -> None:
    history = make_history()
    changes = history.changes

    def set_last_members(*members: Member) -> None:
        changes[4] = replace(changes[4], members=members)

    match message:
        case "2 members at once":
            set_last_members(A, B, D, as_learner(E), as_learner(C))
        case "as a voter":
            set_last_members(A, B, D, E)
        case "has not asked":
            del history.join_requested_at["e"]
        case "again, whose disk is gone":
            set_last_members(A, B, D, as_learner(C))
        case "whose disk is there":
            set_last_members(A, B)
        case "which is needed":
            set_last_members(A, B, as_learner(D))
        case "leaves 3 of 4 voters":
            history.sizing = Sizing(2, 5)
            changes.insert(0, RecordedChange(-1, 1, (A, B, C, D), -1.0))
            history.wiped_at["d"] = -1.0
        case "of an older leader":
            changes[4] = replace(changes[4], term=1)
        case _:
            history.reads.append(RecordedRead(3.1, 3.2, changes[2].members))
    assert message in check_fails_with(history)
