"""Time that a replica takes to catch up after it missed a thousand changes of a large configuration.

In virtual time, with links of limited bandwidth and disks that take time for each sync and byte. Changes
continue while it catches up. The start of the process is not included.
"""

from __future__ import annotations

from dataclasses import dataclass

from cometdoor.control.replica import Replica
from cometdoor.control.snapshots import is_compaction_due
from cometdoor.control.state_machine import ApplyResult
from cometdoor.wire.log_entries import Change, Claim
from simulation.group_machine import Machine, NetworkLinks
from simulation.invariants import InvariantError
from simulation.replica_group import NETWORK_DELAY_S, ReplicaGroup

CHANGES = 1000
BODY_BYTES = 250_000
CHANGES_PER_S = 3
CLAIMS_PER_S = 154
STEP_S = 0.001
DISK_BYTES_PER_S = 60e6
FAST_BYTES_PER_S = 1e9  # bandwidth while the replica is down, to shorten the simulation
CATCH_UP_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class Site:
    """The links, disks and number of replicas of a site."""

    name: str
    machines: int
    bits_per_s: float
    delay_s: float  # one way
    sync_s: float
    body_bytes: int = BODY_BYTES


SMALL = Site("small", 3, 1000e6, 0.001, 0.001)
GROWN = Site("grown", 5, 86e6, 0.0014, 0.001)
SLOW = Site("slow", 3, 3.5e6, 0.02, 0.001, body_bytes=20_000)
LARGEST = Site("largest", 3, 1000e6, 0.001, 0.001, body_bytes=8_000_000)


@dataclass(frozen=True, slots=True)
class CatchUpResult:
    """How long a replica took to catch up, and what was sent to it until then."""

    seconds: float
    bytes: int  # received by the replica until it had caught up
    snapshots: int  # sent to it until then
    terms: int  # new terms until then
    max_queueing_s: float  # longest time that a message waited for earlier ones on a link


class _Group(ReplicaGroup):
    """A replica group that keeps no history, since thousands of large changes would fill the memory."""

    def should_compact(self, machine: Machine, replica: Replica) -> bool:
        applied_since = replica.applied - replica.log.snapshot_index
        return is_compaction_due(len(machine.disk.data), machine.disk.initial_size_bytes, applied_since)

    def _check_invariants(self) -> None:
        pass

    def _check_snapshot(self, index: int, snapshot: bytes) -> None:
        pass

    def _on_applied(self, index: int, change: Change, result: ApplyResult) -> None:
        pass


def catch_up(
    site: Site, changes: int = CHANGES, seed: int = 1, killed_at_s: float = 0.0, disk_stall_s: float = 0.0
) -> CatchUpResult:
    """Stop a replica while `changes` changes are made, restart it, and return how it caught up.

    `killed_at_s`: time after its return when it is killed again and restarted at once. `disk_stall_s`: time
    for which its disk stalls then. Raises InvariantError if it does not catch up within CATCH_UP_TIMEOUT_S.
    """
    group = _Group(seed, site.machines)
    group.run_until_leader()
    group.run(2.0)
    group.body_bytes = site.body_bytes
    leader = group.leader()
    assert leader is not None
    returning = next(machine_index for machine_index in range(site.machines) if machine_index != leader)
    group.kill(returning)
    group.links = NetworkLinks(FAST_BYTES_PER_S, NETWORK_DELAY_S)
    _propose_changes(group, changes)
    links = group.links = NetworkLinks(site.bits_per_s / 8, site.delay_s)
    group.step_s, group.disk_bytes_per_s = STEP_S, DISK_BYTES_PER_S
    for machine in group.machines:
        machine.sync_s = site.sync_s
    group.run(0.5)
    term = _term(group, leader)
    started_at, group.snapshots_installed = group.now, 0
    carried_bytes = _bytes_carried_to(links, returning)
    group.start(returning)
    workload = _Workload(group)
    if killed_at_s:
        workload.run(killed_at_s)
        group.kill(returning)
        group.start(returning)
    if disk_stall_s:
        group.machines[returning].sync_s = disk_stall_s
        workload.run(0.2)
        group.machines[returning].sync_s = site.sync_s
    while not _is_caught_up(group, leader, returning):
        workload.run(STEP_S)
        if group.now - started_at > CATCH_UP_TIMEOUT_S:
            raise InvariantError(f"{site.name}: not caught up after {CATCH_UP_TIMEOUT_S} s")
    return CatchUpResult(
        group.now - started_at,
        _bytes_carried_to(links, returning) - carried_bytes,
        group.snapshots_installed,
        _term(group, leader) - term,
        links.max_queueing_s,
    )


def _propose_changes(group: ReplicaGroup, changes: int) -> None:
    for _ in range(changes):
        while not group.configure():
            group.run(0.1)
        group.run(0.05)


class _Workload:
    """Submits changes and claims at the rate of the operators' busier site."""

    def __init__(self, group: ReplicaGroup) -> None:
        self._group = group
        self._started_at = group.now
        self._changes = self._claims = 0

    def run(self, seconds: float) -> None:
        group = self._group
        end = group.now + seconds
        while group.now < end - STEP_S / 2:
            elapsed_s = group.now - self._started_at
            while self._claims < elapsed_s * CLAIMS_PER_S:
                self._claims += 1
                group.propose(Claim(f"k{self._claims}", f"c{self._claims}", "10.1.0.1:1"))
            if self._changes < elapsed_s * CHANGES_PER_S:
                self._changes += 1
                group.configure()
            group.run(STEP_S)


def _is_caught_up(group: ReplicaGroup, leader: int, returning: int) -> bool:
    """Return whether the replica has applied what the leader had committed one heartbeat ago."""
    leader_replica, returned_replica = group.machines[leader].replica, group.machines[returning].replica
    assert leader_replica is not None and returned_replica is not None
    progress = leader_replica.followers.get(returned_replica.me.id)
    return (
        returned_replica.is_member(returned_replica.me.id)
        and progress is not None
        and progress.match_index >= leader_replica.committed - 2 * CLAIMS_PER_S // 10
        and returned_replica.applied >= leader_replica.committed - 2 * CLAIMS_PER_S // 10
        and group.machines[returning].state.revision >= group.machines[leader].state.revision - 1
    )


def _bytes_carried_to(links: NetworkLinks, machine_index: int) -> int:
    return sum(count for (_, receiver), count in links.carried_bytes.items() if receiver == machine_index)


def _term(group: ReplicaGroup, machine_index: int) -> int:
    replica = group.machines[machine_index].replica
    assert replica is not None
    return replica.term
