"""Replication of the leader's log: appends, their answers, the commit index, and confirmed read rounds.

Raft, 5.3 and 5.4.2; Ongaro's dissertation, 6.4 for the read index.
"""

from __future__ import annotations

from cometdoor.control.chunked_transfer import ChunkedTransfer, TransferPayload, encode_payload, is_large
from cometdoor.control.durable_state import LogEntries
from cometdoor.control.follower_progress import HEARTBEAT_INTERVAL_S, FollowerProgress
from cometdoor.control.log import estimate_entry_bytes
from cometdoor.control.read_rounds import NEVER, ReadRounds
from cometdoor.control.replica_state import ReplicaContext
from cometdoor.control.roles import Role
from cometdoor.control.snapshots import Snapshots
from cometdoor.wire.consensus import AppendEntries, AppendEntriesReply
from cometdoor.wire.log_entries import LogEntry, Member

CHECK_QUORUM_TIMEOUT_S = 1.0  # a leader that hears from no majority for this time steps down
APPEND_MAX_ENTRIES = 400  # per append
APPEND_MAX_BYTES = 1 << 20  # size of the entries per append, unless it has only one


class Replication:
    """Sends the leader's log to its followers, and stores it on a follower.

    On the leader it also owns the heartbeat rounds, check quorum and the commit index.
    """

    def __init__(
        self, replica: ReplicaContext, chunked_transfer: ChunkedTransfer, snapshots: Snapshots
    ) -> None:
        self._replica = replica
        self._chunked_transfer = chunked_transfer
        self._snapshots = snapshots
        self.read_rounds = ReadRounds()
        self._next_heartbeat_at = 0.0
        self._cached_payload: TransferPayload | None = None  # an encoded append that followers may share
        self._cached_payload_key = (0, 0, 0)  # its term, the index before it, its last index

    def copy_for(
        self, replica: ReplicaContext, chunked_transfer: ChunkedTransfer, snapshots: Snapshots
    ) -> Replication:
        """Return an independent copy as a part of another replica."""
        other = Replication.__new__(Replication)
        other.__dict__.update(self.__dict__)
        other._replica = replica
        other._chunked_transfer, other._snapshots = chunked_transfer, snapshots
        other.read_rounds = self.read_rounds.copy()
        return other

    @property
    def round(self) -> int:
        """Number of the newest heartbeat round."""
        return self.read_rounds.last_number

    # --- the leader ---

    def start_term(self) -> None:
        """Reset the progress of all followers: each is assumed to have the complete log until it answers."""
        replica = self._replica
        self.read_rounds.start_term()
        replica.followers = {
            member.id: FollowerProgress(replica.log.last_index + 1, last_seen_at=replica.now)
            for member in replica.other_members()
        }

    def has_recent_quorum(self) -> bool:
        """Return whether a majority, with this leader, answered within `CHECK_QUORUM_TIMEOUT_S`."""
        replica = self._replica
        responsive = sum(
            replica.now - item.last_seen_at < CHECK_QUORUM_TIMEOUT_S for item in replica.voter_progress()
        )
        return responsive + replica.is_voter(replica.me.id) >= replica.majority()

    def tick(self) -> None:
        """Send heartbeats when they are due."""
        if self._replica.now >= self._next_heartbeat_at:
            self.broadcast_heartbeat()

    def flush(self) -> None:
        """Send each member the entries that were appended to the log since the last append to it."""
        for member in self._replica.other_members():
            self.send_append(member)

    def broadcast_heartbeat(self) -> None:
        """Send a heartbeat to all members, which begins a new round."""
        self.read_rounds.start(self._replica.now)
        self._next_heartbeat_at = self._replica.now + HEARTBEAT_INTERVAL_S
        self._chunked_transfer.cancel_transfers_except(self._replica.other_members())
        for member in self._replica.other_members():
            self.send_append(member, heartbeat=True)
        self.read_rounds.confirm(self._is_round_answered)

    def send_append(self, member: Member, heartbeat: bool = False) -> None:
        """Send a member the next part that its log lacks: entries, chunks of a transfer, or a snapshot.

        With `heartbeat` an append is sent in any case, empty if another one is in flight.
        """
        replica, log = self._replica, self._replica.log
        progress = replica.track_follower(member, log.last_index + 1)
        is_chunked = self._chunked_transfer.is_sending_to(member.id)
        if is_chunked:
            self._chunked_transfer.continue_transfer(member)
        may_append = not is_chunked and not progress.has_append_in_flight(replica.now)
        if not heartbeat and (not may_append or progress.next_index > log.last_index):
            return
        if may_append and progress.next_index > log.base_index:
            self._compact_if_lagging(progress.next_index)
        if (
            may_append
            and progress.next_index <= log.base_index
            and self._chunked_transfer.accepts_chunks(member.id) is not None
        ):
            self._snapshots.send_snapshot(member, progress, self.round)
            if not heartbeat:
                return
            may_append = False
        previous = progress.next_index - 1
        previous_term = log.term_at(previous)
        entries: list[LogEntry] = []
        if previous_term is None:  # the entry was compacted; the member receives the snapshot instead
            previous, previous_term = log.base_index, log.term_at(log.base_index) or 0
        elif may_append and progress.next_index <= log.last_index:
            entries = log.entries_after(previous, APPEND_MAX_ENTRIES, APPEND_MAX_BYTES)
            if self._needs_chunking(member, entries):
                self._chunked_transfer.start_transfer(
                    member, self._encoded_append(previous, previous_term, entries)
                )
                if not heartbeat:
                    return
                entries = []
            else:
                progress.append_sent_at = replica.now
        replica.send(member.address, self._build_append(previous, previous_term, entries, self.round))

    def _compact_if_lagging(self, next_index: int) -> None:
        """Take a new snapshot if it is smaller than the entries from `next_index` on."""
        log = self._replica.log
        entries = log.entries_after(next_index - 1, APPEND_MAX_ENTRIES, APPEND_MAX_BYTES)
        if entries and entries[-1].index < self._replica.applied:
            self._snapshots.compact_for_lagging_follower(next_index)

    def _build_append(
        self, previous: int, previous_term: int, entries: list[LogEntry], round: int
    ) -> AppendEntries:
        replica = self._replica
        return AppendEntries(
            replica.term,
            replica.me.id,
            replica.me.address,
            previous,
            previous_term,
            entries,
            replica.committed,
            round,
        )

    def _needs_chunking(self, member: Member, entries: list[LogEntry]) -> bool:
        accepts_chunks = self._chunked_transfer.accepts_chunks(member.id)
        return bool(accepts_chunks) and is_large(sum(map(estimate_entry_bytes, entries)))

    def _encoded_append(self, previous: int, previous_term: int, entries: list[LogEntry]) -> TransferPayload:
        """Return the encoded append, which followers at the same index share."""
        last = entries[-1]
        key = self._replica.term, previous, last.index
        if self._cached_payload is None or self._cached_payload_key != key:
            append = self._build_append(previous, previous_term, entries, round=0)
            self._cached_payload, self._cached_payload_key = (
                encode_payload(append, last.index, last.term),
                key,
            )
        return self._cached_payload

    def on_append_entries_reply(self, reply: AppendEntriesReply) -> bool:
        """Handle a follower's answer; return whether it counts in the current term."""
        replica = self._replica
        if reply.term > replica.term:
            replica.step_down(reply.term)
            return False
        progress = replica.followers.get(reply.follower)
        if replica.role is not Role.LEADER or reply.term < replica.term or progress is None:
            return False
        progress.last_seen_at = replica.now
        progress.round = max(progress.round, reply.round)
        self.read_rounds.confirm(self._is_round_answered)
        self._chunked_transfer.record_chunk_support(reply.follower, reply.accepts_chunks)
        self._chunked_transfer.on_append_entries_reply(reply.follower, reply.success, reply.index)
        progress.supports_learners = reply.supports_learners
        if reply.success:
            if reply.index >= progress.next_index or reply.index > progress.match_index:
                progress.append_sent_at = NEVER
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self.advance_commit()
        else:
            progress.append_sent_at = NEVER
            progress.next_index = max(min(reply.index, progress.next_index), progress.match_index + 1, 1)
        member = replica.find_member(reply.follower)
        if member is not None:
            self.send_append(member)
        return True

    def advance_commit(self) -> None:
        """Commit what a majority of the voters has on disk, up to an entry of this term (Raft, 5.4.2)."""
        replica = self._replica
        if replica.role is not Role.LEADER:
            return
        match_indexes = [replica.followers[voter.id].match_index for voter in replica.other_voters()]
        if replica.is_voter(replica.me.id):
            match_indexes.append(replica.storage.durable_index)
        match_indexes.sort(reverse=True)
        majority = replica.majority()
        index = match_indexes[majority - 1] if len(match_indexes) >= majority else 0
        if index > replica.committed and replica.log.term_at(index) == replica.term:
            replica.committed = index

    # --- reads ---

    def start_read_round(self) -> int:
        """Send heartbeats to all members and return the round's number.

        Once `is_read_round_confirmed`, this replica was still the leader when the round began.
        """
        self.broadcast_heartbeat()
        return self.round

    def is_read_round_confirmed(self, round: int) -> bool:
        """Return whether this replica leads and a majority has answered that round."""
        return self._replica.is_leading and self._is_round_answered(round)

    def _is_round_answered(self, round: int) -> bool:
        """Return whether a majority has answered that round or a later one."""
        replica = self._replica
        responsive = sum(item.round >= round for item in replica.voter_progress()) + replica.is_voter(
            replica.me.id
        )
        return responsive >= replica.majority()

    # --- followers ---

    def on_append_entries(self, append: AppendEntries) -> None:
        """Handle a leader's entries or heartbeat."""
        replica, log = self._replica, self._replica.log
        if append.term < replica.term:
            replica.send_append_reply(append.address, False, 0, append.round)
            return
        replica.become_follower(append.term, append.leader)
        if append.previous_index < log.base_index:
            # Entries in the snapshot are committed, so they agree with the leader's.
            append.entries = [entry for entry in append.entries if entry.index > log.base_index]
            append.previous_index, append.previous_term = log.base_index, log.term_at(log.base_index) or 0
        local_term = log.term_at(append.previous_index)
        if local_term != append.previous_term:
            replica.send_append_reply(
                append.address, False, self._conflict_start(append.previous_index, local_term), append.round
            )
            return
        self._store_new_entries(append.entries)
        last_known_index = append.previous_index + len(append.entries)
        replica.committed = max(replica.committed, min(append.commit_index, last_known_index))
        # A heartbeat without new entries acknowledges only what is on disk already.
        needs_flush = last_known_index > replica.storage.durable_index
        replica.send_append_reply(
            append.address, True, last_known_index, append.round, after_writes=needs_flush
        )

    def _conflict_start(self, previous: int, local_term: int | None) -> int:
        """Return the first index of the conflicting term, so that the leader skips it at once."""
        log = self._replica.log
        index = min(previous, log.last_index + 1)
        while index - 1 > log.base_index and local_term is not None and log.term_at(index - 1) == local_term:
            index -= 1
        return max(index, 1)

    def _store_new_entries(self, entries: list[LogEntry]) -> None:
        replica, log = self._replica, self._replica.log
        first_new = next(
            (position for position, item in enumerate(entries) if log.term_at(item.index) != item.term), None
        )
        if first_new is None:
            return
        entries = entries[first_new:]
        log.replace_from(entries)
        replica.storage.truncate(entries[0].index - 1)
        replica.persist(LogEntries(entries))
