"""Ways of putting a claim on a majority's disks before its work is sent, in virtual time: what each adds.

The leader's log, as it is in service; registers without a leader, one consensus for each key, whose first
value wins if all three take it at once and which else takes two rounds (Fast Paxos, Lamport 2006); and a
holder for each third of the keys, with a lease. Disks sync one lot at a time, and what came meanwhile
goes with the next. A model of times and counts, not of what goes wrong: that is for the way that is taken.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from lab.timers import Timers

WAY_S = 0.0009  # one way between zones; within one a tenth
SYNC_S = 0.001
MEMBERS = 3
ELECTION_S = 0.58  # until another leads, as lab/replica_group.py has it in the median
LEASE_S = 2.0  # of a holder; its range waits for the end of that
HANDS_S = 0.00015  # of a process, for a message: read, decide, write


@dataclass
class Member:
    """A machine of the core: one pair of hands, one disk."""

    place: int
    free_at: float = 0.0
    is_syncing: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)
    syncs: int = 0
    messages: int = 0
    is_up: bool = True


class Core(Timers):
    def __init__(self, seed: int) -> None:
        super().__init__()
        self.chance = random.Random(seed)
        self.members = [Member(place) for place in range(MEMBERS)]
        self.taken_s: list[float] = []
        self.lost_at = -1.0  # when the first member, the leader, lost its power

    def send(self, one: int, other: int, work: Callable[[], None]) -> None:
        """Places of zones: proxies are in one too."""
        way = WAY_S * self.chance.uniform(0.9, 1.3) if one % 3 != other % 3 else WAY_S / 10
        self.call_later(way, work)

    def take(self, member: Member, work: Callable[[], None]) -> None:
        """A message: it waits for the hands."""
        if not member.is_up:
            return
        member.messages += 1
        member.free_at = max(member.free_at, self.now) + HANDS_S
        self.call_later(member.free_at - self.now, work)

    def sync(self, member: Member, work: Callable[[], None]) -> None:
        member.waiting.append(work)
        if not member.is_syncing:
            self._sync(member)

    def _sync(self, member: Member) -> None:
        lot, member.waiting = member.waiting, []
        member.is_syncing = True
        member.syncs += 1

        def done() -> None:
            member.is_syncing = False
            for work in lot:
                work()
            if member.waiting:
                self._sync(member)

        self.call_later(SYNC_S * self.chance.uniform(1.0, 1.5), done)

    def ordered(self, began: float, zone: int, member: Member) -> None:
        self.send(member.place, zone, lambda: self.taken_s.append(self.now - began))


Claim = Callable[[Core, int, int], None]  # zone of the proxy, number of the key


def through(core: Core, zone: int, first: Member, others: list[Member], began: float) -> None:
    """By one member, which asks the others as it writes itself; two disks of three are needed."""
    have = 0

    def one_more() -> None:
        nonlocal have
        have += 1
        if have == 2:
            core.ordered(began, zone, first)

    def arrived() -> None:
        core.sync(first, one_more)
        for other in others:
            core.send(
                first.place,
                other.place,
                lambda other=other: core.take(  # type: ignore[misc]
                    other,
                    lambda: core.sync(
                        other, lambda: core.send(other.place, first.place, lambda: core.take(first, one_more))
                    ),
                ),
            )

    core.send(zone, first.place, lambda: core.take(first, arrived))


def log(core: Core, zone: int, key: int) -> None:
    leader = core.members[0]
    if not leader.is_up:
        wait = max(core.lost_at + ELECTION_S - core.now, 0.0)
        second, third = core.members[1], core.members[2]
        core.call_later(wait, through, core, zone, second, [third], core.now)
        return
    through(core, zone, leader, core.members[1:], core.now)


def holders(core: Core, zone: int, key: int) -> None:
    place = key % MEMBERS
    holder = core.members[place]
    others = [member for member in core.members if member is not holder]
    if not holder.is_up:
        wait = max(core.lost_at + LEASE_S - core.now, 0.0)
        core.call_later(wait, through, core, zone, others[0], others[1:], core.now)
        return
    through(core, zone, holder, others, core.now)


def registers(core: Core, zone: int, key: int) -> None:
    began = core.now
    up = [member for member in core.members if member.is_up]

    def round_of(need: int, then: Callable[[Member], None]) -> None:
        have = 0

        def one_more(member: Member) -> None:
            nonlocal have
            have += 1
            if have == need:
                then(member)

        for member in up:
            core.send(
                zone,
                member.place,
                lambda member=member: core.take(  # type: ignore[misc]
                    member,
                    lambda: core.sync(
                        member, lambda: core.send(member.place, zone, lambda: one_more(member))
                    ),
                ),
            )

    def taken(member: Member) -> None:
        core.taken_s.append(core.now - began)

    # All three must take it at once; with a repeat elsewhere at that moment, or one down: two rounds.
    if len(up) == MEMBERS and core.chance.random() >= 0.02:
        round_of(MEMBERS, taken)
    else:
        round_of(2, lambda member: round_of(2, taken))


WAYS: dict[str, Claim] = {"log": log, "registers": registers, "holders": holders}


@dataclass
class Cost:
    p50_ms: float
    p99_ms: float
    syncs_per_claim: float  # of all disks
    messages_per_claim: float  # that members take
    busiest_hands: float  # share of its time that the busiest member works
    loss_p50_ms: float  # of the claims that are made within a second of the loss of the first member
    loss_worst_ms: float


def cost(name: str, per_s: float, seed: int = 1, seconds: float = 20.0) -> Cost:
    def play(loses: bool) -> Core:
        core = Core(seed)
        if loses:

            def lose() -> None:
                core.members[0].is_up = False
                core.lost_at = core.now

            core.call_later(1.0, lose)
        at, key, end = 0.0, 0, 2.0 if loses else seconds
        while (at := at + core.chance.expovariate(per_s)) < end:
            key += 1
            if loses and at < 1.0:
                continue
            core.call_later(at, WAYS[name], core, core.chance.randrange(MEMBERS), key)
        core.run(end + 5.0)
        core.taken_s.sort()
        return core

    calm, lossy = play(False), play(True)
    count = len(calm.taken_s)

    def at_share(times: list[float], share: float) -> float:
        return 1000.0 * times[min(int(len(times) * share), len(times) - 1)]

    return Cost(
        at_share(calm.taken_s, 0.5),
        at_share(calm.taken_s, 0.99),
        sum(member.syncs for member in calm.members) / count,
        sum(member.messages for member in calm.members) / count,
        max(member.messages for member in calm.members) * HANDS_S / seconds,
        at_share(lossy.taken_s, 0.5),
        at_share(lossy.taken_s, 1.0),
    )
