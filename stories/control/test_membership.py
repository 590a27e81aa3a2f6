"""Voters and learners: who votes, when a learner is promoted, and how a lost voter is replaced."""

from unittest import mock

import msgspec
from ward import each, test

from cometdoor.control.membership import MEMBERSHIP_SETTLE_S
from cometdoor.control.replica import Replica
from cometdoor.control.replication import Replication
from cometdoor.wire.consensus import JoinRequest
from cometdoor.wire.log_entries import Claim, Member
from simulation.replica_group import ReplicaGroup


def make_group(machines: int, fault_tolerance: int, zones: tuple[str, ...] = ("",)) -> ReplicaGroup:
    """Return a group that has accepted a first configuration."""
    group = ReplicaGroup(1, machines, fault_tolerance=fault_tolerance, zones=zones)
    group.run_until_leader()
    group.run(1.0)
    assert group.configure()
    group.run(0.3)
    return group


def leader(group: ReplicaGroup) -> Replica:
    machine_index = group.leader()
    assert machine_index is not None
    replica = group.machines[machine_index].replica
    assert replica is not None
    return replica


def machine_indexes(group: ReplicaGroup, voter: bool) -> set[int]:
    """Return the machines of the voters, or of the learners."""
    addresses = {member.address for member in leader(group).members if member.voter == voter}
    return {
        machine_index for machine_index, machine in enumerate(group.machines) if machine.address in addresses
    }


def pick_follower(group: ReplicaGroup, voter: bool = True) -> int:
    return next(
        machine_index
        for machine_index in sorted(machine_indexes(group, voter))
        if machine_index != group.leader()
    )


@test("the group has the voters that its fault tolerance needs, and all other members are learners")
def _() -> None:
    for machines, fault_tolerance, voters in ((3, 1, 3), (6, 2, 5), (7, 2, 5), (15, 2, 5), (2, 0, 2)):
        group = make_group(machines, fault_tolerance)
        assert len(machine_indexes(group, voter=True)) == voters
        assert len(machine_indexes(group, voter=False)) == machines - voters


@test("a group of seven is complete within a second of its start")
def _() -> None:
    group = ReplicaGroup(1, 7, fault_tolerance=2)
    group.run(1.0)
    assert len(leader(group).voters) == 5 and len(leader(group).members) == 7


@test("nothing is acknowledged before the group has the voters that it needs")
def _(machines: int = each(3, 6), lost: int = each(1, 2)) -> None:
    group = ReplicaGroup(1, machines, fault_tolerance=lost)
    for machine_index in range(2 * lost, machines):
        group.kill(machine_index)
    group.run(3.0)
    assert group.leader() is None
    group.start(2 * lost)
    group.run_until_leader()


@test("if no more voters join, changes are accepted once each entry is on one disk more than may be lost")
def _() -> None:
    enough, too_few = ReplicaGroup(1, 4, fault_tolerance=2), ReplicaGroup(1, 3, fault_tolerance=2)
    for group in (enough, too_few):
        group.run(MEMBERSHIP_SETTLE_S - 1.0)
        assert group.leader() is None
        group.run(3.0)
    assert enough.leader() is not None and too_few.leader() is None


@test("learners delay no commit, start no elections and decide none")
def _() -> None:
    # Given six machines, of which the spare learner and two voters are isolated
    group = make_group(6, 2)
    spare = pick_follower(group, voter=False)
    isolated = [
        spare,
        *[
            machine_index
            for machine_index in sorted(machine_indexes(group, True))
            if machine_index != group.leader()
        ][:2],
    ]
    for machine_index in isolated:
        group.isolate(machine_index)
    before = len(group.acknowledged)
    # Then the other three continue
    assert group.propose(Claim("k", "c", "h"))
    group.run(0.2)
    assert len(group.acknowledged) == before + 1
    # When a third voter is lost, and only the spare learner is reachable again
    group.heal()
    for machine_index in isolated[1:]:
        group.isolate(machine_index)
    group.kill(
        next(
            machine_index
            for machine_index in sorted(machine_indexes(group, True))
            if machine_index not in (group.leader(), *isolated)
        )
    )
    group.run(3.0)
    # Then no replica may accept changes: two voters and a learner are not a majority
    assert group.leader() is None


@test("a leaving leader names a successor that has the complete log, and starts no more elections")
def _() -> None:
    group = make_group(3, 1)
    machine_index = group.leader()
    assert machine_index is not None
    leaving = leader(group)
    for count in range(20):
        group.propose(Claim(f"k{count}", "c", "h"))
        group.run(0.01)
    term = leaving.term
    leaving.retire()
    group.run(0.3)
    assert group.leader() not in (None, machine_index) and leader(group).term == term + 1
    group.run(2.0)
    assert leader(group).term == term + 1


@test("a silent voter is replaced by a learner, and is a learner when it returns")
def _() -> None:
    group = make_group(6, 2)
    spare, lost = pick_follower(group, voter=False), pick_follower(group)
    group.kill(lost)
    group.run(2.0)
    assert spare in machine_indexes(group, True) and len(machine_indexes(group, True)) == 5
    group.start(lost)
    group.run(2.0)
    assert machine_indexes(group, voter=False) == {lost}


@test("without a learner a silent voter remains a voter")
def _() -> None:
    group = make_group(3, 1)
    lost = pick_follower(group)
    group.kill(lost)
    group.run(20.0)
    assert lost in machine_indexes(group, True)


@test("a wiped voter is a learner under its new id until it has the complete log")
def _(machines: int = each(3, 5)) -> None:
    # Given a group whose leader sends nothing to learners
    group = make_group(machines, (machines - 1) // 2)
    wiped = pick_follower(group)
    former_id = next(
        member.id for member in leader(group).members if member.address == group.machines[wiped].address
    )
    send_append = Replication.send_append

    def send_to_voters(self: Replication, member: Member, heartbeat: bool = False) -> None:
        if member.voter:
            send_append(self, member, heartbeat)

    group.wipe(wiped)
    with mock.patch.object(Replication, "send_append", send_to_voters):
        group.start(wiped)
        group.run(2.0)
        # Then it is not a voter, and its former id has been removed
        assert (
            wiped in machine_indexes(group, voter=False) and len(machine_indexes(group, True)) == machines - 1
        )
        assert not leader(group).is_member(former_id)
    # When it has been sent the log, it is a voter again
    group.run(1.0)
    assert len(machine_indexes(group, True)) == machines


@test("of two voters wiped at once the second is removed only after the first is replaced")
def _() -> None:
    group = make_group(5, 2)
    for machine_index in [machine_index for machine_index in range(5) if machine_index != group.leader()][:2]:
        group.wipe(machine_index)
        group.start(machine_index)
    fewest_voters = 5
    for _ in range(300):
        group.run(0.01)
        fewest_voters = min(fewest_voters, len(leader(group).voters))
    assert fewest_voters == 4 and len(machine_indexes(group, True)) == 5
    group.check_nothing_lost()


@test("the learner of the emptiest zone is promoted, and voters move from fuller zones to emptier ones")
def _() -> None:
    # Given two machines in each of three zones
    group = make_group(6, 2, ("a", "b", "c"))
    voters_per_zone = [
        sum(machine_index % 3 == zone for machine_index in machine_indexes(group, True)) for zone in range(3)
    ]
    assert sorted(voters_per_zone) == [1, 2, 2]
    # And four machines in one zone and one in each of two others
    group = make_group(6, 1, ("a", "a", "a", "a", "b", "c"))
    group.run(1.0)
    assert len(machine_indexes(group, True) & {0, 1, 2, 3}) == 1 and {4, 5} <= machine_indexes(group, True)


@test("a late join request of an earlier incarnation removes no member")
def _() -> None:
    group = make_group(3, 1)
    wiped = pick_follower(group)
    former = next(
        member for member in leader(group).members if member.address == group.machines[wiped].address
    )
    group.wipe(wiped)
    group.start(wiped)
    group.run(3.0)
    before = leader(group).members
    leader(group).receive(JoinRequest(former, supports_learners=True), group.now)
    group.run(3.0)
    assert leader(group).members == before and not leader(group).is_member(former.id)


@test("no learner joins while a member's build would count it as a voter")
def _() -> None:
    group = make_group(3, 1)
    replica = leader(group)
    joiner = Member("new", "10.0.0.9:1", "10.0.0.9:1")
    for progress in replica.followers.values():
        progress.supports_learners = False
    replica.receive(JoinRequest(joiner, supports_learners=True), group.now)
    assert not replica.is_member("new")
    for progress in replica.followers.values():
        progress.supports_learners = True
    replica.receive(JoinRequest(joiner), group.now)
    assert not replica.is_member("new")
    replica.receive(JoinRequest(joiner, supports_learners=True), group.now)
    assert replica.is_member("new") and not replica.is_voter("new")


@test("a member record of the former build is a voter")
def _() -> None:
    former = msgspec.msgpack.encode(["id", "10.0.0.1:1", "10.0.0.1:2", "node"])
    assert msgspec.msgpack.decode(former, type=Member).voter
