"""How long does a replica take that was away for all of a thousand changes of a large configuration?

In virtual time, with links that carry so many bytes a second and disks that take so long for each sync and
byte; changes go on while it catches up. The start of a process is no part of it.
"""

from __future__ import annotations

from dataclasses import dataclass

from cometdoor.control.replica import Replica
from cometdoor.control.snapshots import is_due
from cometdoor.control.state_machine import Verdict
from cometdoor.wire.messages import Change, Claim
from lab.replica_group import DELAY_S, Broken, Links, Machine, ReplicaGroup

CHANGES = 1000
BODY_BYTES = 250_000
CHANGES_PER_S = 3
CLAIMS_PER_S = 154
STEP_S = 0.001
DISK_BYTES_PER_S = 60e6
FAST_BYTES_PER_S = 1e9  # while it is away: only what is left of it matters
MOST_S = 60.0


@dataclass(frozen=True, slots=True)
class Site:
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
class CaughtUp:
    seconds: float
    bytes: int  # that came to it meanwhile
    snapshots: int
    terms: int  # that began meanwhile
    longest_wait_s: float  # of any message behind others on a link


class _Group(ReplicaGroup):
    """Keeps no history: thousands of large changes would fill the memory."""

    def compaction_is_due(self, machine: Machine, replica: Replica) -> bool:
        applied_since = replica.applied - replica.log.snapshot_index
        return is_due(len(machine.disk.data), machine.disk.begun_size, applied_since)

    def _check(self) -> None:
        pass

    def _check_image(self, index: int, image: bytes) -> None:
        pass

    def _ordered(self, index: int, change: Change, verdict: Verdict) -> None:
        pass


def catch_up(
    site: Site, changes: int = CHANGES, seed: int = 1, killed_at_s: float = 0.0, stalled_s: float = 0.0
) -> CaughtUp:
    """`killed_at_s`: after its return it is killed once more, and comes back at once; `stalled_s`: its disk
    stands still for so long then. Raises Broken if it does not catch up within a minute."""
    group = _Group(seed, site.machines)
    group.run_until_led()
    group.run(2.0)
    group.body_bytes = site.body_bytes
    leader = group.leader()
    assert leader is not None
    away = next(place for place in range(site.machines) if place != leader)
    group.kill(away)
    group.links = Links(FAST_BYTES_PER_S, DELAY_S)
    _order(group, changes)
    links = group.links = Links(site.bits_per_s / 8, site.delay_s)
    group.step_s, group.disk_bytes_per_s = STEP_S, DISK_BYTES_PER_S
    for machine in group.machines:
        machine.sync_s = site.sync_s
    group.run(0.5)
    term = _term(group, leader)
    began, group.installed = group.now, 0
    carried = _carried_to(links, away)
    group.start(away)
    load = _Load(group)
    if killed_at_s:
        load.run(killed_at_s)
        group.kill(away)
        group.start(away)
    if stalled_s:
        group.machines[away].sync_s = stalled_s
        load.run(0.2)
        group.machines[away].sync_s = site.sync_s
    while not _is_caught_up(group, leader, away):
        load.run(STEP_S)
        if group.now - began > MOST_S:
            raise Broken(f"{site.name}: not caught up after {MOST_S} s")
    return CaughtUp(
        group.now - began,
        _carried_to(links, away) - carried,
        group.installed,
        _term(group, leader) - term,
        links.longest_wait_s,
    )


def _order(group: ReplicaGroup, changes: int) -> None:
    for _ in range(changes):
        while not group.configure():
            group.run(0.1)
        group.run(0.05)


class _Load:
    """Changes and claims on keys, as the busier of the users' sites orders them."""

    def __init__(self, group: ReplicaGroup) -> None:
        self._group = group
        self._began = group.now
        self._changes = self._claims = 0

    def run(self, seconds: float) -> None:
        group = self._group
        end = group.now + seconds
        while group.now < end - STEP_S / 2:
            past = group.now - self._began
            while self._claims < past * CLAIMS_PER_S:
                self._claims += 1
                group.propose(Claim(f"k{self._claims}", f"c{self._claims}", "10.1.0.1:1"))
            if self._changes < past * CHANGES_PER_S:
                self._changes += 1
                group.configure()
            group.run(STEP_S)


def _is_caught_up(group: ReplicaGroup, leader: int, away: int) -> bool:
    """It has applied all that the leader knew to be committed one heartbeat ago or later."""
    ahead, behind = group.machines[leader].replica, group.machines[away].replica
    assert ahead is not None and behind is not None
    progress = ahead.replication.progress.get(behind.me.id)
    return (
        behind.is_member(behind.me.id)
        and progress is not None
        and progress.match >= ahead.committed - 2 * CLAIMS_PER_S // 10
        and behind.applied >= ahead.committed - 2 * CLAIMS_PER_S // 10
        and group.machines[away].state.revision >= group.machines[leader].state.revision - 1
    )


def _carried_to(links: Links, place: int) -> int:
    return sum(count for (_, receiver), count in links.carried.items() if receiver == place)


def _term(group: ReplicaGroup, place: int) -> int:
    replica = group.machines[place].replica
    assert replica is not None
    return replica.term
