"""The replicated log on simulated machines and disks."""

from unittest import mock

from ward import each, raises, test

from cometdoor.control import snapshots
from cometdoor.control.durable_state import DurableState
from cometdoor.control.replica import Replica
from cometdoor.control.roles import Role
from cometdoor.wire.log_entries import Claim, ConfigurationChange
from simulation.group_schedules import run_schedule
from simulation.invariants import InvariantError
from simulation.replica_group import ReplicaGroup


def make_group(seed: int = 1, machines: int = 5) -> ReplicaGroup:
    """Return a group that has accepted a first configuration."""
    group = ReplicaGroup(seed, machines)
    group.run_until_leader()
    group.run(0.5)
    assert group.configure()
    group.run(0.5)
    assert len(group.acknowledged) == 1
    return group


def members(group: ReplicaGroup) -> set[str]:
    machine_index = group.leader()
    assert machine_index is not None
    replica = group.machines[machine_index].replica
    assert replica is not None
    return {member.address for member in replica.members}


@test("machines that start together become one group")
def _() -> None:
    group = ReplicaGroup(3, 5)
    group.run(2.0)
    assert members(group) == {machine.address for machine in group.machines}
    assert (
        sum(machine.replica is not None and machine.replica.role is Role.LEADER for machine in group.machines)
        == 1
    )


@test("nothing is accepted before the group is large enough to survive a loss")
def _() -> None:
    group = ReplicaGroup(1, 3)
    group.isolate(0)
    group.run(2.0)
    assert group.leader() is None
    group.heal()
    group.run_until_leader()
    group.run(0.5)
    assert len(members(group)) == 3


@test("a change survives the loss of the leader that acknowledged it")
def _(machines: int = each(3, 5), seed: int = each(1, 2)) -> None:
    group = make_group(seed, machines)
    leader = group.leader()
    assert leader is not None
    group.kill(leader)
    election_s = group.run_until_leader()
    assert election_s < 2.5
    group.check_nothing_lost()


@test("a restarted member knows what was committed before it hears from a leader")
def _(machine_index: int = each(0, 1, 2)) -> None:
    # Given a group whose members have written an entry after they learned of the commit
    group = make_group(5, 3)
    group.propose(Claim("k", "c", "h"))
    group.run(0.5)
    # When all lose power, and one comes back alone
    for index in range(3):
        group.kill(index)
    group.start(machine_index)
    group.run(1.0)
    # Then it has the configuration, and there is no leader to accept changes
    assert group.machines[machine_index].state.revision == 1 and group.leader() is None


@test("a change survives the wiping of the disk of the leader that acknowledged it")
def _(machines: int = each(3, 5)) -> None:
    group = make_group(4, machines)
    leader = group.leader()
    assert leader is not None
    before = group.machines[leader].replica
    assert before is not None
    group.wipe(leader)
    group.start(leader)
    group.run(4.0)
    after = group.machines[leader].replica
    assert after is not None
    assert after.me.id != before.me.id  # a new member, which the others have accepted
    assert len(members(group)) == machines
    group.check_nothing_lost()


@test("a change survives a loss of all power together with one disk")
def _(wiped: int = each(0, 1, 2)) -> None:
    group = make_group(5, 3)
    assert group.configure()
    group.run(0.3)
    for machine_index in range(3):
        group.kill(machine_index)
    group.wipe(wiped)
    for machine_index in range(3):
        group.start(machine_index)
    group.run_until_leader()
    group.run(1.0)
    group.check_nothing_lost()
    assert len(members(group)) == 3


@test("a partitioned leader soon accepts nothing, and what it accepted alone is not in force")
def _() -> None:
    group = make_group(6, 5)
    old_leader = group.leader()
    assert old_leader is not None
    group.isolate(old_leader)
    group.propose(ConfigurationChange(1, 99, b"lost"), old_leader)
    group.run(3.0)
    replica = group.machines[old_leader].replica
    assert replica is not None and replica.role is not Role.LEADER
    group.heal()
    group.run_until_leader()
    group.run(1.0)
    assert all(machine.state.revision == 1 for machine in group.machines)


@test("of two configurations on one base one is accepted")
def _() -> None:
    group = make_group(7, 3)
    leader = group.leader()
    assert leader is not None
    group.propose(ConfigurationChange(1, 5, b"five"), leader)
    group.propose(ConfigurationChange(1, 6, b"six"), leader)
    group.run(0.5)
    assert {machine.state.revision for machine in group.machines} == {5}


@test("the first claim on a key holds it, until one that supersedes it")
def _() -> None:
    group = make_group(8, 3)
    group.propose(Claim("key", "a", "one"))
    group.propose(Claim("key", "b", "two"))
    group.run(0.5)
    assert {machine.state.keys["key"].claim for machine in group.machines} == {"a"}
    group.propose(Claim("key", "b", "two", supersedes="other"))
    group.propose(Claim("key", "c", "three", supersedes="a"))
    group.run(0.5)
    assert {machine.state.keys["key"].claim for machine in group.machines} == {"c"}


@test("a leader whose disk hangs transfers its leadership")
def _() -> None:
    group = make_group(9, 5)
    leader = group.leader()
    assert leader is not None
    group.machines[leader].sync_s = 5.0
    group.propose(Claim("key", "a", "one"), leader)
    group.run(1.5)
    assert group.leader() not in (None, leader)


@test("a machine that is lost for good is replaced by one at another address")
def _() -> None:
    group = make_group(10, 3)
    lost_leader = group.leader()
    assert lost_leader is not None
    group.kill(lost_leader)
    group.machines[lost_leader].address = "10.0.0.9:1"
    group.wipe(lost_leader)
    group.start(lost_leader)
    group.run(8.0)
    assert members(group) == {machine.address for machine in group.machines}
    group.check_nothing_lost()


@test("a member that is far behind is sent a snapshot")
def _() -> None:
    group = make_group(11, 3)
    lagging = next(machine_index for machine_index in range(3) if machine_index != group.leader())
    group.kill(lagging)
    for count in range(20):
        group.propose(Claim(f"k{count}", "a", "one"))
        group.run(0.05)
    with mock.patch.object(snapshots, "RETAINED_MAX_BYTES", 0):  # retain no entries that the snapshot covers
        for machine in group.machines:
            if machine.replica is not None:
                machine.disk.append(machine.replica.compact())
    group.start(lagging)
    group.run(2.0)
    assert len(group.machines[lagging].state.keys) == 20 and group.snapshots_installed == 1


@test("under random losses all acknowledged changes survive, and each term has one leader")
def _(seed: int = each(101, 102, 103, 104, 105, 106)) -> None:
    group = run_schedule(seed, 3 if seed % 2 else 5, seconds=12.0)
    assert group.acknowledged


@test("the checker finds a member that acknowledges before its disk is synced")
def _() -> None:
    original_send = Replica.send

    def send_without_waiting(
        self: Replica, address: str, message: object, after_writes: bool = False
    ) -> None:
        original_send(self, address, message, False)

    with mock.patch.object(Replica, "send", send_without_waiting), raises(InvariantError) as violation:
        for seed in range(60):
            group = ReplicaGroup(seed, 3)
            group.run_until_leader()
            group.run(0.5)
            leader = group.leader()
            assert leader is not None
            for machine in group.machines:
                machine.sync_s = 0.004 if machine is group.machines[leader] else 0.2
            group.configure()
            group.run(0.15)
            group.wipe(leader)
            for machine_index in range(3):
                group.kill(machine_index)
            for machine_index in range(3):
                group.machines[machine_index].sync_s = 0.002
                group.start(machine_index)
            group.run_until_leader()
            group.run(0.5)
            group.check_nothing_lost()
    assert "committed twice" in str(violation.raised)


@test("the checker finds a wiped disk that counts as the former member")
def _() -> None:
    with raises(InvariantError) as violation:
        for seed in range(60):
            group = ReplicaGroup(seed, 3)
            group.run_until_leader()
            group.run(0.5)
            leader = group.leader()
            assert leader is not None
            follower, other = [machine_index for machine_index in range(3) if machine_index != leader]
            replica = group.machines[follower].replica
            assert replica is not None
            id = replica.me.id
            group.isolate(other)
            group.configure()
            group.run(0.2)
            assert group.acknowledged
            group.wipe(follower)
            group.kill(leader)
            group.heal()
            with mock.patch.object(
                type(group.machines[follower].disk),
                "read_durable_state",
                lambda disk, id=id: DurableState(id=id),
            ):
                group.start(follower)
            wiped = group.machines[follower].replica
            ahead = group.machines[other].replica
            assert wiped is not None and ahead is not None
            wiped.log.members = ahead.members  # as if it were still a member
            group.run_until_leader()
            group.check_nothing_lost()
    assert "committed twice" in str(violation.raised)


@test("a group that lost its majority accepts nothing, and forgets nothing")
def _() -> None:
    group = make_group(12, 3)
    leader = group.leader()
    assert leader is not None
    follower, lagging = (machine_index for machine_index in range(3) if machine_index != leader)
    group.isolate(lagging)
    group.configure()
    group.run(0.2)
    assert len(group.acknowledged) == 2
    group.wipe(follower)
    group.kill(leader)
    group.heal()
    group.start(follower)
    group.run(5.0)
    assert group.leader() is None
    group.start(leader)
    group.run_until_leader()
    group.check_nothing_lost()
