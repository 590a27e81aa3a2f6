"""Cost model of three protocols that replicate a claim to a majority before it is executed.

- `log`: the leader's log, the protocol in production.
- `registers`: no leader; one consensus instance per key. The first value wins in one round if all three
  members accept it at once, else it takes two rounds (Fast Paxos, Lamport 2006).
- `holders`: each third of the keys has a lease holder that orders its claims.

Times are virtual. A disk syncs one batch at a time; writes that arrive meanwhile go with the next. The model
gives times and counts only. Faults of the production protocol are simulated elsewhere.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from simulation.timers import VirtualTimers

NETWORK_DELAY_S = 0.0009  # one way between zones; a tenth within a zone
DISK_SYNC_S = 0.001
MEMBER_COUNT = 3
ELECTION_DURATION_S = 0.58  # until there is a new leader: the median in simulation/replica_group.py
HOLDER_LEASE_S = 2.0  # claims on a lost holder's keys wait until its lease ends
MESSAGE_PROCESSING_S = 0.00015  # processor time to read, handle and write one message


@dataclass
class Member:
    """A machine of the group, with one processor and one disk."""

    index: int
    processor_free_at: float = 0.0
    is_syncing: bool = False
    waiting_writes: list[Callable[[], None]] = field(default_factory=list)
    syncs: int = 0
    messages: int = 0
    is_up: bool = True


class SimulatedReplicas(VirtualTimers):
    """Replicas in different zones, whose processors, disks and links take time."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.members = [Member(index) for index in range(MEMBER_COUNT)]
        self.latencies_s: list[float] = []
        self.failed_at = -1.0  # when the first member, the leader, was lost; -1: not yet

    def send(self, source: int, other: int, callback: Callable[[], None]) -> None:
        """Call back after the delay between two zones, given by number; member n is in zone n."""
        delay_s = (
            NETWORK_DELAY_S * self.rng.uniform(0.9, 1.3) if source % 3 != other % 3 else NETWORK_DELAY_S / 10
        )
        self.call_later(delay_s, callback)

    def process(self, member: Member, callback: Callable[[], None]) -> None:
        """Call back once the member's processor has handled a message; drop it if the member is down."""
        if not member.is_up:
            return
        member.messages += 1
        member.processor_free_at = max(member.processor_free_at, self.now) + MESSAGE_PROCESSING_S
        self.call_later(member.processor_free_at - self.now, callback)

    def sync(self, member: Member, callback: Callable[[], None]) -> None:
        """Call back once the member's disk has synced a write."""
        member.waiting_writes.append(callback)
        if not member.is_syncing:
            self._sync(member)

    def _sync(self, member: Member) -> None:
        batch, member.waiting_writes = member.waiting_writes, []
        member.is_syncing = True
        member.syncs += 1

        def on_synced() -> None:
            member.is_syncing = False
            for callback in batch:
                callback()
            if member.waiting_writes:
                self._sync(member)

        self.call_later(DISK_SYNC_S * self.rng.uniform(1.0, 1.5), on_synced)

    def record_latency(self, started_at: float, zone: int, member: Member) -> None:
        self.send(member.index, zone, lambda: self.latencies_s.append(self.now - started_at))


ClaimProtocol = Callable[[SimulatedReplicas, int, int], None]  # replicas, zone of the proxy, key


def order_claim(
    replicas: SimulatedReplicas, zone: int, first: Member, others: list[Member], started_at: float
) -> None:
    """Order a claim at `first`, which replicates it to `others`; two synced disks commit it."""
    acknowledgements = 0

    def on_acknowledged() -> None:
        nonlocal acknowledgements
        acknowledgements += 1
        if acknowledgements == 2:
            replicas.record_latency(started_at, zone, first)

    def on_processed() -> None:
        replicas.sync(first, on_acknowledged)
        for other in others:
            replicas.send(
                first.index,
                other.index,
                lambda other=other: replicas.process(  # type: ignore[misc]
                    other,
                    lambda: replicas.sync(
                        other,
                        lambda: replicas.send(
                            other.index, first.index, lambda: replicas.process(first, on_acknowledged)
                        ),
                    ),
                ),
            )

    replicas.send(zone, first.index, lambda: replicas.process(first, on_processed))


def via_leader_log(replicas: SimulatedReplicas, zone: int, key: int) -> None:
    leader = replicas.members[0]
    if not leader.is_up:
        delay_s = max(replicas.failed_at + ELECTION_DURATION_S - replicas.now, 0.0)
        second, third = replicas.members[1], replicas.members[2]
        replicas.call_later(delay_s, order_claim, replicas, zone, second, [third], replicas.now)
        return
    order_claim(replicas, zone, leader, replicas.members[1:], replicas.now)


def via_key_holders(replicas: SimulatedReplicas, zone: int, key: int) -> None:
    index = key % MEMBER_COUNT
    holder = replicas.members[index]
    others = [member for member in replicas.members if member is not holder]
    if not holder.is_up:
        delay_s = max(replicas.failed_at + HOLDER_LEASE_S - replicas.now, 0.0)
        replicas.call_later(delay_s, order_claim, replicas, zone, others[0], others[1:], replicas.now)
        return
    order_claim(replicas, zone, holder, others, replicas.now)


def via_registers(replicas: SimulatedReplicas, zone: int, key: int) -> None:
    started_at = replicas.now
    live_members = [member for member in replicas.members if member.is_up]

    def run_round(quorum: int, on_quorum: Callable[[Member], None]) -> None:
        acknowledgements = 0

        def on_acknowledged(member: Member) -> None:
            nonlocal acknowledgements
            acknowledgements += 1
            if acknowledgements == quorum:
                on_quorum(member)

        for member in live_members:
            replicas.send(
                zone,
                member.index,
                lambda member=member: replicas.process(  # type: ignore[misc]
                    member,
                    lambda: replicas.sync(
                        member, lambda: replicas.send(member.index, zone, lambda: on_acknowledged(member))
                    ),
                ),
            )

    def on_accepted(member: Member) -> None:
        replicas.latencies_s.append(replicas.now - started_at)

    # One round if all three members accept it at once; two if one is down or another proxy claims the key.
    if len(live_members) == MEMBER_COUNT and replicas.rng.random() >= 0.02:
        run_round(MEMBER_COUNT, on_accepted)
    else:
        run_round(2, lambda member: run_round(2, on_accepted))


PROTOCOLS: dict[str, ClaimProtocol] = {
    "log": via_leader_log,
    "registers": via_registers,
    "holders": via_key_holders,
}


@dataclass
class Cost:
    """Latencies and work of one protocol, without and with the loss of a member."""

    p50_ms: float
    p99_ms: float
    syncs_per_claim: float  # on all disks together
    messages_per_claim: float  # handled by all members together
    busiest_member_share: float  # share of its time that the busiest member's processor is in use
    loss_p50_ms: float  # of claims made in the second after the loss of the first member
    loss_worst_ms: float


def measure_cost(name: str, claims_per_s: float, seed: int = 1, seconds: float = 20.0) -> Cost:
    def play_claims(loses_first_member: bool) -> SimulatedReplicas:
        replicas = SimulatedReplicas(seed)
        if loses_first_member:

            def lose_first_member() -> None:
                replicas.members[0].is_up = False
                replicas.failed_at = replicas.now

            replicas.call_later(1.0, lose_first_member)
        arrives_at, key, end = 0.0, 0, 2.0 if loses_first_member else seconds
        while (arrives_at := arrives_at + replicas.rng.expovariate(claims_per_s)) < end:
            key += 1
            if loses_first_member and arrives_at < 1.0:
                continue
            replicas.call_later(
                arrives_at, PROTOCOLS[name], replicas, replicas.rng.randrange(MEMBER_COUNT), key
            )
        replicas.run(end + 5.0)
        replicas.latencies_s.sort()
        return replicas

    without_loss, with_loss = play_claims(False), play_claims(True)
    count = len(without_loss.latencies_s)

    def percentile_ms(times: list[float], share: float) -> float:
        return 1000.0 * times[min(int(len(times) * share), len(times) - 1)]

    return Cost(
        percentile_ms(without_loss.latencies_s, 0.5),
        percentile_ms(without_loss.latencies_s, 0.99),
        sum(member.syncs for member in without_loss.members) / count,
        sum(member.messages for member in without_loss.members) / count,
        max(member.messages for member in without_loss.members) * MESSAGE_PROCESSING_S / seconds,
        percentile_ms(with_loss.latencies_s, 0.5),
        percentile_ms(with_loss.latencies_s, 1.0),
    )
