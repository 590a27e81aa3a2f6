"""Cost of a control plane replica by module: claims, snapshots, leases.

`ReplicaGroup` runs replicas in memory and times each one's decisions and codec, without sockets and disk;
`benchmarks.capacity_replica_processes` measures real control planes.
"""

from __future__ import annotations

import random
import resource
import time
import tracemalloc
from dataclasses import dataclass
from pathlib import Path

from cometdoor.budget.allocator import BudgetAllocator
from cometdoor.budget.lease import quarantine_s

# The only imports here that depend on how the control plane is split into modules.
from cometdoor.control.durable_state import DurableState
from cometdoor.control.replica import Replica
from cometdoor.control.roles import Role
from cometdoor.control.state_machine import StateMachine
from cometdoor.control.write_ahead_log import encode_batch
from cometdoor.wire.budget import LeaseDemand
from cometdoor.wire.frames import Frame, FrameDecoder, encode
from cometdoor.wire.keys import ClaimReply, ClaimRequest, KeyOwner
from cometdoor.wire.log_entries import Claim, ConfigurationChange, LogEntry, Member, MembershipChange

BLOCK_BYTES = 512  # a value of the log is padded to multiples of this on disk
STEP_S = 0.01  # of the clock that is passed to replicas
WINDOW_S = 60.0
BATCHES = (1, 10, 100)
PAGE_BYTES = resource.getpagesize()

Figures = dict[str, float]


def claim_of(number: int) -> Claim:
    """Return a claim whose key, claim id and owner are as long as those in service."""
    return Claim(f"{number:032x}", f"5f2ac18e.{number}", "10.1.0.38:7380")


def resident_bytes(pid: int | str = "self") -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


class TimedReplica:
    """A replica in memory whose processor time, bytes and log values are counted."""

    def __init__(self, me: Member, members: tuple[Member, ...], seed: int) -> None:
        founding = [LogEntry(1, 1, MembershipChange(members))]
        durable = DurableState(id=me.id, term=1, entries=founding, committed=1)
        self.state = StateMachine(WINDOW_S)
        self.replica = Replica(durable, me, random.Random(seed), 0.0)
        self.replica.snapshot_state = self.state.snapshot
        self.frame_decoder = FrameDecoder()
        self.spent_s = 0.0
        self.values = 0  # number of values written to its log
        self.disk_bytes = 0
        self.sent_bytes = 0
        self.sent = 0

    def settle(self, now: float) -> list[tuple[str, bytes]]:
        """Do what the process does after each turn of its loop, without the disk's delay; return frames."""
        replica = self.replica
        replica.flush()
        self._apply()
        frames = self._frames()
        if writes := replica.pop_writes(now):
            self.values += 1
            value = encode_batch(self.values, self.values - 1, writes)
            self.disk_bytes += -(-len(value) // BLOCK_BYTES) * BLOCK_BYTES
            replica.on_written(len(writes), now)
            self._apply()
            frames += self._frames()
        return frames

    def _apply(self) -> None:
        replica = self.replica
        while replica.applied < replica.committed:
            replica.applied += 1
            self.state.apply(replica.log.entry(replica.applied).change)

    def _frames(self) -> list[tuple[str, bytes]]:
        outbox, self.replica.outbox = self.replica.outbox, []
        frames = [(outgoing.address, encode(Frame(0, False, outgoing.message))) for outgoing in outbox]  # type: ignore[arg-type]
        self.sent += len(frames)
        self.sent_bytes += sum(len(frame) for _, frame in frames)
        return frames


class ReplicaGroup:
    """Replicas of one group; the processor time of each is counted separately."""

    def __init__(self, size: int) -> None:
        members = tuple(Member(f"m{index}", f"10.0.0.{index}:7381", "") for index in range(size))
        self.replicas = {
            member.address: TimedReplica(member, members, index) for index, member in enumerate(members)
        }
        self.now = 0.0
        self.leader = self._elect()
        self._numbers = iter(range(1, 1 << 40))

    def _elect(self) -> TimedReplica:
        while True:
            self.now += STEP_S
            for replica in self.replicas.values():
                replica.replica.tick(self.now)
            self.exchange()
            for replica in self.replicas.values():
                if replica.replica.role is Role.LEADER:
                    return replica

    def followers(self) -> list[TimedReplica]:
        return [replica for replica in self.replicas.values() if replica is not self.leader]

    def exchange(self) -> None:
        """Deliver messages until none is left."""
        queue = [frame for replica in self.replicas.values() for frame in self._settle(replica)]
        while queue:
            address, data = queue.pop(0)
            replica = self.replicas[address]
            started_at = time.process_time()
            for frame in replica.frame_decoder.feed(data):
                replica.replica.receive(frame.message, self.now)
            replica.spent_s += time.process_time() - started_at
            queue += self._settle(replica)

    def _settle(self, replica: TimedReplica) -> list[tuple[str, bytes]]:
        started_at = time.process_time()
        frames = replica.settle(self.now)
        replica.spent_s += time.process_time() - started_at
        return frames

    def replicate_claims(self, count: int) -> None:
        """Replicate claims that arrive in one turn of the leader's loop, each in a call of its own."""
        calls = [
            encode(Frame(number, False, ClaimRequest([claim_of(number)])))
            for number in (next(self._numbers) for _ in range(count))
        ]
        leader = self.leader
        started_at = time.process_time()
        for call in calls:
            for frame in leader.frame_decoder.feed(call):
                assert isinstance(frame.message, ClaimRequest)
                leader.replica.propose(frame.message.claims[0])
        leader.spent_s += time.process_time() - started_at
        self.exchange()
        started_at = time.process_time()
        for number in range(count):
            encode(Frame(number + 1, True, ClaimReply([KeyOwner("10.1.0.38:7380", "5f2ac18e.1")])))
        leader.spent_s += time.process_time() - started_at

    def reset(self) -> None:
        for replica in self.replicas.values():
            replica.spent_s = 0.0
            replica.values = replica.disk_bytes = replica.sent_bytes = replica.sent = 0


@dataclass(frozen=True)
class ClaimCost:
    """Mean cost of one claim."""

    leader_us: float
    follower_us: float
    log_bytes: float  # on each disk
    leader_sent_bytes: float  # to the other replicas, without TCP and IP headers
    follower_sent_bytes: float


def claim_cost(voters: int, batch: int, claims: int, existing_entries: int = 0) -> ClaimCost:
    """Measure claims. `existing_entries`: entries already in the log."""
    group = ReplicaGroup(voters)
    for _ in range(existing_entries // 400):
        group.replicate_claims(400)
    group.reset()
    for _ in range(claims // batch):
        group.replicate_claims(batch)
    followers = group.followers()
    return ClaimCost(
        1e6 * group.leader.spent_s / claims,
        1e6 * sum(follower.spent_s for follower in followers) / len(followers) / claims,
        group.leader.disk_bytes / claims,
        group.leader.sent_bytes / claims,
        sum(follower.sent_bytes for follower in followers) / len(followers) / claims,
    )


def claim_slopes(quick: bool) -> Figures:
    count = 2_000 if quick else 10_000
    figures: Figures = {}
    for voters in (5,) if quick else (3, 5, 7):
        for batch in BATCHES:
            cost = claim_cost(voters, batch, count)
            name = f"claim_{voters}_voters_batch_{batch}"
            figures[f"{name}_leader_us"] = cost.leader_us
            figures[f"{name}_follower_us"] = cost.follower_us
            if voters == 5:
                figures[f"{name}_log_bytes"] = cost.log_bytes
                figures[f"{name}_leader_sent_bytes"] = cost.leader_sent_bytes
                figures[f"{name}_follower_sent_bytes"] = cost.follower_sent_bytes
    for existing_entries in (4_000, 16_000):
        cost = claim_cost(3, 10, 500, existing_entries)
        figures[f"claim_behind_{existing_entries}_entries_follower_us"] = cost.follower_us
        figures[f"claim_behind_{existing_entries}_entries_leader_us"] = cost.leader_us
    return figures


def snapshot_slopes(quick: bool, body: bytes) -> Figures:
    """Measure snapshots of a state with 1,000 changes and various numbers of keys.

    `body`: the configuration in force.
    """
    figures: Figures = {}
    for keys in (0, 10_000, 100_000) if quick else (0, 10_000, 100_000, 656_000):
        state = StateMachine(WINDOW_S)
        for revision in range(1, 1_001):
            state.apply(ConfigurationChange(revision - 1, revision, body))
        for number in range(keys):
            state.apply(claim_of(number))
        started_at = time.process_time()
        snapshot = state.snapshot()
        snapshot_taken_at = time.process_time()
        StateMachine(WINDOW_S).load(snapshot)
        loaded_at = time.process_time()
        name = f"snapshot_{keys}_keys"
        figures[f"{name}_ms"] = 1e3 * (snapshot_taken_at - started_at)
        figures[f"{name}_load_ms"] = 1e3 * (loaded_at - snapshot_taken_at)
        figures[f"{name}_bytes"] = len(snapshot)
    figures["memory_per_key"] = _memory_per_key(20_000)
    return figures


def _memory_per_key(keys: int) -> float:
    """Return the bytes that Python allocates for a claim that arrived in a frame."""
    state = StateMachine(WINDOW_S)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(keys):
        [frame] = FrameDecoder().feed(encode(Frame(1, False, ClaimRequest([claim_of(number)]))))
        assert isinstance(frame.message, ClaimRequest)
        state.apply(frame.message.claims[0])
    del frame
    allocated_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return allocated_bytes / keys


def lease_slopes(quick: bool) -> Figures:
    """Measure one demand in a proxy's report to the leader, by how many proxies call the service."""
    figures: Figures = {}
    for proxies in (12, 100, 980):
        allocator = BudgetAllocator(0.2, 10.0, 10.0, 0.0)
        now = quarantine_s(10.0) + 1.0
        calm, needy = LeaseDemand("service", 100.0, 0.0, 3.0), LeaseDemand("service", 100.0, 2.0, 0.0)
        for proxy in range(proxies):
            allocator.allocate(f"life{proxy}", now, [calm], now)
        count = 1_000 if quick else 3_000
        for kind, demand in (("calm", calm), ("wanted", needy)):
            started_at = time.process_time()
            for number in range(count):
                now += 1.0 / proxies  # each proxy reports once a second
                allocator.allocate(f"life{number % proxies}", now, [demand], now)
            figures[f"lease_{kind}_{proxies}_proxies_us"] = 1e6 * (time.process_time() - started_at) / count
    return figures
