"""A replica of the group that replicates one log of all changes. No I/O; clock and randomness are passed in.

Raft (Ongaro and Ousterhout, USENIX ATC 2014) with prevote, check quorum, leadership transfer and changes of
one member at a time (Ongaro's dissertation, 3.10, 4 and 9.6). A replica's id belongs to a disk, not to an
address: a replica with an empty disk is unknown to the group, and neither votes nor counts until the
members have accepted it (docs/design/mesh.md).

`elections`, `replication`, `membership`, `snapshots` and `chunked_transfer` implement the protocol on the
shared state in `replica_state`. The caller calls `tick` often and `receive` with each message, writes what
`pop_writes` returns, calls `on_written` when it is on disk, and sends what is in `outbox`. A message that
depends on a write enters `outbox` only after that write is on disk.
"""

from __future__ import annotations

import random

from cometdoor.control.chunked_transfer import ChunkedTransfer
from cometdoor.control.durable_state import DurableState, HardState, LogEntries, Record, Snapshot
from cometdoor.control.elections import ELECTION_TIMEOUT_MAX_S, Elections
from cometdoor.control.follower_progress import FOLLOWER_CONTACT_MAX_AGE_S
from cometdoor.control.log import Log
from cometdoor.control.membership import Membership
from cometdoor.control.read_rounds import NEVER
from cometdoor.control.replica_state import ReplicaContext
from cometdoor.control.replication import CHECK_QUORUM_TIMEOUT_S, Replication
from cometdoor.control.roles import Role
from cometdoor.control.snapshots import Snapshots
from cometdoor.wire.consensus import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    JoinRequest,
    LeaveRequest,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
    TransferChunk,
    TransferChunkAck,
)
from cometdoor.wire.log_entries import Change, LogEntry, Member, MembershipChange, Noop

# A leader waits at most this long for its successor to receive the last entries before it names it.
SUCCESSOR_WAIT_S = 0.3
LEADERSHIP_TRANSFER_TIMEOUT_S = 2 * ELECTION_TIMEOUT_MAX_S  # meanwhile no changes are accepted


class Replica(ReplicaContext):
    """One replica: a member of the group, or a process that asks to join it.

    It dispatches messages and ticks to the parts of the protocol, changes the role, transfers the leadership
    and accepts changes. Its parameters are those of `ReplicaState`.
    """

    def __init__(self, durable: DurableState, me: Member, rng: random.Random, now: float) -> None:
        super().__init__(durable, me, rng, now)
        self.elections = Elections(self, now)
        self.chunked_transfer = ChunkedTransfer(self)
        self.snapshots = Snapshots(self, self.chunked_transfer)
        self.replication = Replication(self, self.chunked_transfer, self.snapshots)
        self.membership = Membership(self, self.replication)
        self._first_index_of_term = 0  # index of this term's first entry, while this replica leads
        self._transfer_started_at = NEVER
        self._is_successor_named = True

    def copy(self) -> Replica:
        """Return an independent copy, for searches through possible executions; `rng` is shared."""
        other = Replica.__new__(Replica)
        other.__dict__.update(self.__dict__)
        other.log, other.storage, other.outbox = self.log.copy(), self.storage.copy(), self.outbox.copy()
        other.followers = {id: progress.copy() for id, progress in self.followers.items()}
        other.elections = self.elections.copy_for(other)
        other.chunked_transfer = self.chunked_transfer.copy_for(other)
        other.snapshots = self.snapshots.copy_for(other, other.chunked_transfer)
        other.replication = self.replication.copy_for(other, other.chunked_transfer, other.snapshots)
        other.membership = self.membership.copy_for(other, other.replication)
        return other

    # --- disk and outbox ---

    def pop_writes(self, now: float) -> list[Record]:
        """Return the records that are to be written now, in order; none while a batch is under way."""
        return self.storage.pop_batch(now, self.committed)

    def on_written(self, count: int, now: float) -> None:
        """Handle the completed write of the last batch, of `count` records.

        Send the replies that waited for it, count votes and advance the commit index.
        """
        self.now = now
        self.outbox += self.storage.on_batch_written(count, self.log.last_index)
        if self.role is Role.CANDIDATE:
            self.elections.count_votes()
        self.replication.advance_commit()
        self.membership.on_follower_reply()

    # --- time ---

    def tick(self, now: float) -> None:
        """Handle expired timeouts: of elections or, on the leader, of heartbeats and members."""
        self.now = now
        if self.role is not Role.LEADER:
            self.elections.tick()
            return
        if not self.replication.has_recent_quorum():
            self.step_down(self.term)
            return
        is_unfit_to_lead = self.is_retiring or self.storage.is_slow(now) or not self.is_voter(self.me.id)
        if is_unfit_to_lead and now - self._transfer_started_at > CHECK_QUORUM_TIMEOUT_S:
            self.transfer_leadership()
        self._name_successor()
        self.replication.tick()
        self.membership.tick()

    # --- roles ---

    def bootstrap(self, founders: tuple[Member, ...]) -> None:
        """Start as one of the group's first members, at the first start of the whole system.

        All founders call this with the same members, and so have the same first entry. A single one elects
        itself; otherwise a majority of them elects a leader once it has met.
        """
        entry = LogEntry(1, 1, MembershipChange(founders))
        self.term = 1
        self.log = Log(None, [entry])
        self.persist(HardState(1, ""), LogEntries([entry]))
        if len(founders) == 1:
            self.elections.start_election(is_prevote=False)

    def become_leader(self) -> None:
        """Become the leader, after a majority has voted for this replica."""
        self.role, self.leader = Role.LEADER, self.me.id
        self.replication.start_term()
        self.chunked_transfer.start_term()
        self.membership.start_term()
        self._transfer_started_at, self._is_successor_named = NEVER, True
        self._first_index_of_term = self.propose(Noop())
        self.replication.broadcast_heartbeat()

    def become_follower(self, term: int, leader: str) -> None:
        """Follow the leader of that term, after a message from it."""
        if term > self.term:
            self.step_down(term)
        self.role, self.leader = Role.FOLLOWER, leader
        self.elections.on_leader_contact()

    def step_down(self, term: int) -> None:
        """Become a follower in that term, which is not lower than the current one."""
        if term > self.term:
            self.term, self.voted_for = term, ""
            self.persist(HardState(term, ""))
            self.leader = ""
        elif self.role is Role.LEADER:
            self.leader = ""
        self.role = Role.FOLLOWER
        self.elections.reset_election_timeout()

    def transfer_leadership(self) -> None:
        """Transfer the leadership to a voter in contact, once it has the complete log (dissertation, 3.10).

        No changes are accepted meanwhile.
        """
        if self.role is not Role.LEADER:
            return
        self._transfer_started_at = self.now
        self._is_successor_named = False
        self._name_successor()

    def retire(self) -> None:
        """Transfer the leadership and start no more elections: the process is about to end."""
        self.is_retiring = True
        self.transfer_leadership()

    @property
    def is_transferring_leadership(self) -> bool:
        """True while a transfer that was started recently may be under way; no changes are accepted then."""
        return self.now - self._transfer_started_at <= LEADERSHIP_TRANSFER_TIMEOUT_S

    def _name_successor(self) -> None:
        if self._is_successor_named or self.role is not Role.LEADER:
            return
        followers = self.followers
        candidates = [
            member
            for member in self.other_voters()
            if member.id in followers
            and not self.membership.is_leaving(member.id)
            and self.now - followers[member.id].last_seen_at < FOLLOWER_CONTACT_MAX_AGE_S
        ]
        if not candidates:
            return
        successor = max(candidates, key=lambda member: followers[member.id].match_index)
        waiting_s = self.now - self._transfer_started_at
        if followers[successor.id].match_index >= self.log.last_index or waiting_s > SUCCESSOR_WAIT_S:
            self._is_successor_named = True
            self.elections.send_timeout_now(successor)

    # --- changes ---

    @property
    def is_leading(self) -> bool:
        """True if this replica is the leader and has committed everything of its predecessors."""
        return self.role is Role.LEADER and self.committed >= self._first_index_of_term

    def may_accept(self) -> bool:
        """Return whether this replica may accept changes, apart from contact with a majority."""
        return (
            self.is_leading
            and (self.is_bootstrapped or self.membership.may_accept_first_change())
            and not self.is_transferring_leadership
        )

    def propose(self, change: Change) -> int:
        """Append a change to the log and return its index.

        The change is committed if the entry that is later committed at that index has the current term.
        Otherwise another leader's entry has replaced it.
        """
        entry = LogEntry(self.log.last_index + 1, self.term, change)
        self.log.append(entry)
        if isinstance(change, MembershipChange):
            for member in self.other_members():
                self.track_follower(member, self.log.base_index + 1)
        self.persist(LogEntries([entry]))
        self.replication.advance_commit()
        return entry.index

    def flush(self) -> None:
        """Send all followers the entries that were proposed since their last append."""
        if self.role is Role.LEADER:
            self.replication.flush()

    def start_read_round(self) -> int:
        """Begin a read round; see `Replication.start_read_round`."""
        return self.replication.start_read_round()

    def is_read_round_confirmed(self, round_number: int) -> bool:
        """Return whether a majority has confirmed that read round."""
        return self.replication.is_read_round_confirmed(round_number)

    @property
    def installed_snapshot(self) -> Snapshot | None:
        """A leader's snapshot that is to be loaded into the state machine."""
        return self.snapshots.installed_snapshot

    def on_snapshot_loaded(self) -> None:
        """Advance `applied` after the installed snapshot was loaded into the state machine."""
        assert self.snapshots.installed_snapshot is not None
        self.applied = self.snapshots.installed_snapshot.last_index
        self.snapshots.installed_snapshot = None

    def compact(self) -> list[Record]:
        """Compact the log and return the records of a new file; see `Snapshots.compact`."""
        return self.snapshots.compact()

    # --- messages ---

    def receive(self, message: object, now: float) -> None:
        """Handle a message of the group; others are ignored."""
        self.now = now
        match message:
            case RequestVote():
                self.elections.on_request_vote(message)
            case RequestVoteReply():
                self.elections.on_request_vote_reply(message)
            case AppendEntries():
                self.replication.on_append_entries(message)
            case AppendEntriesReply():
                if self.replication.on_append_entries_reply(message):
                    self.membership.on_follower_reply()
                self._name_successor()
            case InstallSnapshot():
                self.snapshots.on_install_snapshot(message)
            case TransferChunk():
                self.chunked_transfer.on_transfer_chunk(message)
            case TransferChunkAck():
                self.chunked_transfer.on_transfer_chunk_ack(message)
            case TimeoutNow():
                self.elections.on_timeout_now(message)
            case JoinRequest():
                self.membership.on_join_request(message)
            case LeaveRequest():
                self.membership.on_leave_request(message.member_id)
