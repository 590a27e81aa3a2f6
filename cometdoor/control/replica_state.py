"""State that all parts of a replica share, and the operations of the replica that the parts may call.

`elections`, `replication`, `membership`, `snapshots` and `chunked_transfer` each implement one part of the
protocol. They depend on `ReplicaContext` and, without cycles, on one another, but never on `Replica`, which
is composed of them.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from cometdoor.control.durable_state import DurableState, Record
from cometdoor.control.follower_progress import FollowerProgress
from cometdoor.control.log import Log
from cometdoor.control.roles import Role
from cometdoor.control.sizing import Sizing
from cometdoor.control.storage import OutgoingMessage, StorageQueue
from cometdoor.wire.consensus import AppendEntriesReply
from cometdoor.wire.log_entries import Change, Member


class ReplicaState:
    """Term, role, log, pending writes and outgoing messages of one replica; times are seconds.

    Parameters
    ----------
    durable : DurableState
        State read from the replica's disk.
    me : Member
        The replica itself; its id belongs to the disk.
    rng : random.Random
        Source of election timeouts.
    now : float
        Current time on a steady clock.
    """

    def __init__(self, durable: DurableState, me: Member, rng: random.Random, now: float) -> None:
        self.me = me
        self.now = now
        self.rng = rng
        self.term, self.voted_for = durable.term, durable.voted_for
        self.log = Log(durable.snapshot, durable.entries)
        self.role = Role.FOLLOWER
        self.leader = ""  # id of this term's leader; empty if unknown
        # The commit index of the last write is restored, so that a restarted replica knows what was committed
        # before it hears from a leader. Anything committed after that write comes with the next append.
        self.committed = max(self.log.base_index, min(durable.committed, self.log.last_index))
        self.applied = self.log.base_index  # last index applied; `PendingRequests` advances it
        self.storage = StorageQueue(self.log.last_index, self.committed)
        self.outbox: list[OutgoingMessage] = []
        self.followers: dict[str, FollowerProgress] = {}  # by member id; maintained while this replica leads
        self.snapshot_state: Callable[[], bytes] = lambda: b""  # encodes the state as of `applied`
        self.sizing = Sizing()
        self.is_bootstrapped = False  # a configuration was accepted, so the group once had enough voters
        self.is_retiring = False  # the process is shutting down, so the replica starts no elections
        self._voters_computed_from: tuple[Member, ...] = ()  # members from which `_voters` was computed
        self._voters: tuple[Member, ...] = ()

    # --- members ---

    @property
    def members(self) -> tuple[Member, ...]:
        """Voters and learners of the newest configuration in the log, committed or not."""
        return self.log.members

    @property
    def voters(self) -> tuple[Member, ...]:
        """Members that vote and count towards a majority; all others are learners."""
        members = self.log.members
        if members is not self._voters_computed_from:
            self._voters_computed_from = members
            self._voters = tuple(member for member in members if member.voter)
        return self._voters

    def find_member(self, id: str) -> Member | None:
        """Return the member with that id."""
        return next((member for member in self.members if member.id == id), None)

    def is_member(self, id: str) -> bool:
        """Return whether that id belongs to the group, as a voter or a learner."""
        return any(member.id == id for member in self.members)

    def is_voter(self, id: str) -> bool:
        """Return whether that id belongs to a voter."""
        return any(voter.id == id for voter in self.voters)

    def majority(self) -> int:
        """Return the number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    def find_leader(self) -> Member | None:
        """Return this term's leader, if it is known and a member."""
        return self.find_member(self.leader)

    def other_members(self) -> list[Member]:
        """Return all members but this replica."""
        return [member for member in self.members if member.id != self.me.id]

    def other_voters(self) -> list[Member]:
        """Return all voters but this replica."""
        return [voter for voter in self.voters if voter.id != self.me.id]

    def track_follower(self, member: Member, next_index: int) -> FollowerProgress:
        """Return the member's progress; if it is not tracked yet, start with `next_index`."""
        return self.followers.setdefault(member.id, FollowerProgress(next_index, last_seen_at=self.now))

    def voter_progress(self) -> list[FollowerProgress]:
        """Return the progress of all other voters that are tracked."""
        voters = self.other_voters()
        return [self.followers[voter.id] for voter in voters if voter.id in self.followers]

    # --- disk and outbox ---

    def persist(self, *records: Record) -> None:
        """Queue records for the next write."""
        self.storage.add(*records, last_index=self.log.last_index)

    def send(self, address: str, message: object, after_writes: bool = False) -> None:
        """Send a message; with `after_writes` only once all records queued so far are on disk."""
        outgoing = OutgoingMessage(address, message)
        if not after_writes or not self.storage.defer(outgoing):
            self.outbox.append(outgoing)

    def send_append_reply(
        self, address: str, success: bool, index: int, round: int, after_writes: bool = False
    ) -> None:
        """Answer a leader's append, snapshot or chunk.

        On success `index` is the last entry that agrees with the leader's log, otherwise the entry from which
        the leader is to send again.
        """
        reply = AppendEntriesReply(
            self.term, self.me.id, success, index, round, accepts_chunks=True, supports_learners=True
        )
        self.send(address, reply, after_writes)


class ReplicaContext(ReplicaState, ABC):
    """Interface of a replica to its parts: the shared state, and operations that involve several parts."""

    @property
    @abstractmethod
    def is_leading(self) -> bool:
        """True if this replica is the leader and has committed an entry of its own term."""

    @property
    @abstractmethod
    def is_transferring_leadership(self) -> bool:
        """True while a leadership transfer is under way; no changes are accepted then."""

    @abstractmethod
    def become_leader(self) -> None:
        """Become the leader; a majority has voted for this replica in the current term."""

    @abstractmethod
    def become_follower(self, term: int, leader: str) -> None:
        """Follow the leader of that term, after a message from it."""

    @abstractmethod
    def step_down(self, term: int) -> None:
        """Become a follower in that term, which is not lower than the current one."""

    @abstractmethod
    def transfer_leadership(self) -> None:
        """Transfer the leadership to the most up-to-date voter in contact."""

    @abstractmethod
    def propose(self, change: Change) -> int:
        """Append a change to the leader's log and return its index."""

    @abstractmethod
    def receive(self, message: object, now: float) -> None:
        """Handle a message of the group."""
