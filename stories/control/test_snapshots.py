"""Snapshots and large messages: sent in chunks, resumed, acknowledged only once they are on disk."""

import random
from typing import TypeVar
from unittest import mock

from ward import each, test

from cometdoor.control import chunked_transfer, congestion_window, snapshots
from cometdoor.control.durable_state import DurableState, Snapshot
from cometdoor.control.log import Log
from cometdoor.control.read_rounds import NEVER
from cometdoor.control.replica import Replica
from cometdoor.control.roles import Role
from cometdoor.control.snapshots import is_compaction_due
from cometdoor.control.state_machine import StateMachine
from cometdoor.wire.consensus import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    RequestVote,
    TransferChunk,
    TransferChunkAck,
)
from cometdoor.wire.log_entries import Claim, ConfigurationChange, LogEntry, Member, MembershipChange, Noop
from simulation.catch_up import GROWN, SMALL, Site, catch_up
from simulation.group_machine import NetworkLinks
from simulation.long_run import long_run
from simulation.planted_snapshot_defects import find_violation
from simulation.power_loss import check_power_losses
from simulation.recorded_run import record_replica_run
from simulation.replica_group import ReplicaGroup
from simulation.snapshot_schedules import run_snapshot_schedule, small_chunks

MEMBERS = tuple(Member(f"m{index}", f"a{index}", "") for index in range(3))
STATE = StateMachine(60.0).snapshot() + bytes(range(200)) * 20


def make_follower(entries: list[LogEntry] | None = None) -> Replica:
    held = DurableState("m1", 1, "", None, entries or [LogEntry(1, 1, MembershipChange(MEMBERS))])
    return Replica(held, MEMBERS[1], random.Random(1), 100.0)


def make_install(
    last_index: int, last_term: int = 1, state: bytes = STATE
) -> chunked_transfer.TransferPayload:
    snapshot = Snapshot(last_index, last_term, MEMBERS, state)
    encoded = chunked_transfer._encoder.encode(snapshot)
    install = InstallSnapshot(2, "m0", "a0", last_index, last_term, encoded, 0)
    return chunked_transfer.encode_payload(install, last_index, last_term)


def split(payload: chunked_transfer.TransferPayload, term: int = 2, size: int = 512) -> list[TransferChunk]:
    return [
        TransferChunk(
            term, "m0", "a0", payload.digest, len(payload.data), offset, payload.data[offset : offset + size]
        )
        for offset in range(0, len(payload.data), size)
    ]


Kind = TypeVar("Kind")


def pop_sent(replica: Replica, kind: type[Kind]) -> list[Kind]:
    """Return messages of that type that were sent since the last call."""
    outbox, replica.outbox = replica.outbox, []
    return [one.message for one in outbox if isinstance(one.message, kind)]


def complete_writes(replica: Replica) -> None:
    while writes := replica.pop_writes(100.0):
        replica.on_written(len(writes), 100.0)


@test("a snapshot is installed with its last chunk, and acknowledged once it is on disk")
def _() -> None:
    replica = make_follower()
    *first, last = split(make_install(50))
    for chunk in first:
        replica.receive(chunk, 100.0)
        assert replica.installed_snapshot is None and replica.log.last_index == 1
    received_bytes = [message.received_bytes for message in pop_sent(replica, TransferChunkAck)]
    assert received_bytes == [512 * count for count in range(1, len(first) + 1)]
    replica.receive(last, 100.0)
    assert replica.installed_snapshot is not None and replica.log.last_index == 50
    assert not pop_sent(replica, AppendEntriesReply)
    complete_writes(replica)
    assert [message.index for message in pop_sent(replica, AppendEntriesReply)] == [50]


@test("a heartbeat's answer does not acknowledge a snapshot that is not on disk yet")
def _(last_term: int = each(1, 2)) -> None:
    # Given a follower with entries on disk up to and past the snapshot's end, of its term or an older one
    stale = [
        LogEntry(1, 1, MembershipChange(MEMBERS)),
        *(LogEntry(index, 1, Noop()) for index in range(2, 80)),
    ]
    replica = make_follower(stale)
    for chunk in split(make_install(50, last_term)):
        replica.receive(chunk, 100.0)
    # When a heartbeat arrives whose previous entry is the snapshot's last
    replica.receive(AppendEntries(2, "m0", "a0", 50, last_term, [], 50, 9), 100.0)
    assert not [message for message in pop_sent(replica, AppendEntriesReply) if message.success]
    complete_writes(replica)
    assert {message.index for message in pop_sent(replica, AppendEntriesReply)} == {50}


@test("lost, duplicate or reordered chunks are requested again from the follower's offset")
def _() -> None:
    replica = make_follower()
    all_chunks = split(make_install(50))
    for index in (0, 1, 1, 3, 5, 0):
        replica.receive(all_chunks[index], 100.0)
    assert [message.received_bytes for message in pop_sent(replica, TransferChunkAck)] == [
        512,
        1024,
        1024,
        1024,
        1024,
        1024,
    ]
    for chunk in all_chunks[2:]:
        replica.receive(chunk, 100.0)
    assert replica.log.last_index == 50


@test("chunks of two snapshots are never mixed, and a corrupt transfer starts again")
def _() -> None:
    replica = make_follower()
    older, newer = split(make_install(50)), split(make_install(60, state=STATE + b"more"))
    for chunk in older[:-1] + newer[:-1]:
        replica.receive(chunk, 100.0)
    replica.receive(older[-1], 100.0)
    assert replica.log.last_index == 1
    corrupt = bytearray(older[2].data)
    corrupt[9] ^= 1
    for index, chunk in enumerate(older):
        sent = (
            chunk
            if index != 2
            else TransferChunk(2, "m0", "a0", chunk.digest, chunk.size, chunk.offset, bytes(corrupt))
        )
        replica.receive(sent, 100.0)
    assert replica.log.last_index == 1
    assert pop_sent(replica, TransferChunkAck)[-1].received_bytes == 0
    for chunk in older:
        replica.receive(chunk, 100.0)
    assert replica.log.last_index == 50


@test("a chunk of a deposed leader changes nothing and is answered with the term")
def _() -> None:
    replica = make_follower()
    replica.step_down(7)
    complete_writes(replica)
    replica.receive(split(make_install(50))[0], 100.0)
    assert [(message.term, message.success) for message in pop_sent(replica, AppendEntriesReply)] == [
        (7, False)
    ]
    assert not pop_sent(replica, TransferChunkAck)


@test("a follower with an incomplete snapshot requests votes by its own log alone")
def _() -> None:
    replica = make_follower()
    for chunk in split(make_install(50))[:-1]:
        replica.receive(chunk, 100.0)
    pop_sent(replica, TransferChunkAck)
    replica.tick(110.0)
    request = pop_sent(replica, RequestVote)[0]
    assert (request.is_prevote, request.last_index, request.last_term) == (True, 1, 1)


@test("a candidate whose snapshot is not on disk requests no votes")
def _() -> None:
    replica = make_follower()
    for chunk in split(make_install(50)):
        replica.receive(chunk, 100.0)
    pop_sent(replica, TransferChunkAck)
    replica.now = 110.0
    replica.elections.start_election(is_prevote=False)
    assert not replica.outbox
    complete_writes(replica)
    assert any(getattr(one.message, "last_index", 0) == 50 for one in replica.outbox)


@test("a leader accepts nothing before an entry of its own term is committed")
def _() -> None:
    group = ReplicaGroup(4, 3)
    group.run_until_leader()
    group.run(1.0)
    group.configure()
    group.run(0.5)
    leader = group.leader()
    assert leader is not None
    group.kill(leader)
    # When the next leader's disk is slow, and so its first entry is committed late
    for machine in group.machines:
        machine.sync_s = 0.1
    while True:
        group.run(0.01)
        for machine in group.machines:
            replica = machine.replica
            if replica is not None and replica.role is Role.LEADER:
                has_committed_in_term = replica.log.term_at(replica.committed) == replica.term
                assert replica.is_leading is has_committed_in_term and (
                    has_committed_in_term or not replica.may_accept()
                )
                if has_committed_in_term:
                    assert replica.applied == replica.committed
                    return


@test("a snapshot or a large change does not delay heartbeats on a link of 3.5 Mbit/s")
def _() -> None:
    links = NetworkLinks(3.5e6 / 8, 0.01)
    group = ReplicaGroup(5, 3, compact_after_entries=6, links=links)
    group.run_until_leader()
    group.run(1.0)
    leader = group.leader()
    assert leader is not None
    lagging = next(index for index in range(3) if index != leader)
    group.isolate(lagging)
    group.body_bytes = 300_000
    with mock.patch.object(snapshots, "RETAINED_MAX_BYTES", 0):
        for _ in range(10):
            group.configure()
            group.run(2.0)
        group.heal()
        group.run(10.0)
    assert group.snapshots_installed and group.leader() == leader
    assert len(group._leader_by_term) == 1  # only one term had a leader
    assert links.max_queueing_s < 0.25
    assert group.machines[lagging].state.revision == group.machines[leader].state.revision


@test("a log retains entries that its snapshot covers, and its base precedes them")
def _() -> None:
    log = Log(
        None, [LogEntry(index, 1 + index // 10, Claim(f"k{index}", "c", "h")) for index in range(1, 41)]
    )
    size = 64 + len("k30ch")
    log.compact(30, b"state", retain_bytes=5 * size)
    assert (log.snapshot_index, log.base_index, log.term_at(25)) == (30, 25, 3)
    assert [entry.index for entry in log.entries_after(25)] == list(range(26, 41))
    assert [entry.index for entry in log.entries_after_snapshot()] == list(range(31, 41))
    assert log.term_at(24) is None and log.entry(26).index == 26


@test("an append is limited in bytes, and has at least one entry")
def _() -> None:
    entries = [
        LogEntry(index, 1, ConfigurationChange(index - 1, index, bytes(1000))) for index in range(1, 9)
    ]
    log = Log(None, entries)
    assert [entry.index for entry in log.entries_after(2, 400, 3500)] == [3, 4, 5]
    assert [entry.index for entry in log.entries_after(2, 400, 10)] == [3]


@test("compaction is due by bytes, by the snapshot's size, and by entries")
def _(
    case: tuple[int, int, int, bool] = each(
        (8 << 20, 4096, 0, False),
        (9 << 20, 4096, 0, True),
        (33 << 20, 9 << 20, 0, False),
        (37 << 20, 9 << 20, 0, True),
        (4096, 4096, 20_001, True),
    ),
) -> None:
    assert is_compaction_due(*case[:3]) is case[3]


@test("a replica of an earlier build is sent a snapshot in one message")
def _() -> None:
    plain = AppendEntriesReply(1, "m", False, 1, 0)
    assert not plain.accepts_chunks
    with (
        small_chunks(),
        mock.patch.object(
            chunked_transfer.ChunkedTransfer,
            "record_chunk_support",
            lambda self, id, is_supported: self._accepts_chunks.update({id: False}),
        ),
    ):
        groups = [run_snapshot_schedule(seed) for seed in (2, 3)]
    assert groups[0].snapshots_installed


@test("schedules with continuous snapshots and losses lose no acknowledged change")
def _(seed: int = each(1, 2, 3, 4)) -> None:
    assert run_snapshot_schedule(seed).acknowledged


def make_leader() -> Replica:
    """Return the leader of three, with forty applied configurations of 100 kB and nothing in flight."""
    replica = make_follower()
    replica.become_leader()
    replica.term = 2
    for revision in range(1, 41):
        replica.propose(ConfigurationChange(revision - 1, revision, bytes(100_000)))
    complete_writes(replica)
    replica.committed = replica.applied = replica.log.last_index
    replica.snapshot_state = lambda: STATE
    for member in replica.other_members():
        replica.chunked_transfer.record_chunk_support(member.id, accepts_chunks=True)
        replica.followers[member.id].append_sent_at = NEVER
    replica.outbox.clear()
    return replica


def make_ack(chunks_sent: list[TransferChunk], received_bytes: int) -> TransferChunkAck:
    return TransferChunkAck(2, "m2", chunks_sent[0].digest, received_bytes)


@test("a follower far behind is sent a new snapshot, one that lacks little is sent entries")
def _(next_index: int = each(2, 39)) -> None:
    replica = make_leader()
    replica.followers["m2"].next_index = next_index
    replica.replication.send_append(MEMBERS[2])
    sent = pop_sent(replica, TransferChunk)
    assert sent[0].offset == 0 and len(sent) <= congestion_window.INITIAL_WINDOW_CHUNKS
    assert replica.chunked_transfer.is_sending_snapshot() is (next_index == 2)
    assert replica.log.snapshot_index == (replica.applied if next_index == 2 else 0)


@test("a late acknowledgement rewinds nothing; one after a timeout does")
def _() -> None:
    replica = make_leader()
    replica.followers["m2"].next_index = 39
    replica.replication.send_append(MEMBERS[2])
    sent = pop_sent(replica, TransferChunk)
    size = chunked_transfer.CHUNK_BYTES
    replica.receive(make_ack(sent, 2 * size), 100.01)
    replica.receive(make_ack(sent, size), 100.01)
    assert all(message.offset >= 2 * size for message in pop_sent(replica, TransferChunk))
    replica.now = 101.0
    replica.chunked_transfer.continue_transfer(MEMBERS[2])
    pop_sent(replica, TransferChunk)
    replica.receive(make_ack(sent, 0), 101.0)
    assert [message.offset for message in pop_sent(replica, TransferChunk)] == [0]


@test("after a loss of power at any disk operation a replica has everything that it acknowledged")
def _(disk_fault_one_in: int = each(0, 12)) -> None:
    run = record_replica_run(1, disk_fault_one_in)
    report = check_power_losses(run, 1)
    assert report.tried > 500 and report.recovered == report.tried and not report.violations


@test("planted defects in snapshots, files and compaction are found")
def _(
    name: str = each(
        "a snapshot is installed before all parts are there",
        "older files go before the new one is on disk",
        "the new file's name is not synced",
        "the entries' base is not the snapshot's",
        "a compaction forgets the vote",
    ),
) -> None:
    assert find_violation(name)


@test("minutes of large changes on real files lose nothing and take at most a tenth of the disk")
def _() -> None:
    figures = long_run(200.0)
    assert figures.compactions > 5 and figures.failed_syncs > 10
    assert figures.acknowledged > 350 and not figures.lost
    assert figures.peak_bytes < 25 << 20


@test("a replica that missed many large changes, is killed meanwhile or has a slow disk catches up")
def _(
    case: tuple[Site, float, float] = each((SMALL, 0.0, 0.0), (GROWN, 0.1, 0.0), (GROWN, 0.0, 3.0)),
) -> None:
    site, killed_at_s, disk_stall_s = case
    result = catch_up(site, 60, killed_at_s=killed_at_s, disk_stall_s=disk_stall_s)
    assert result.snapshots and result.terms == 0
    assert result.seconds < 1.0 + disk_stall_s
