"""One leader orders all changes in a log that a majority of the core has on disk. No I/O, no clock, no chance
but what is handed in.

Raft (Ongaro and Ousterhout, USENIX ATC 2014) with prevote, check-quorum, hand-over of the lead and
single-server changes of the members (Ongaro's dissertation, 4 and 9.6, with the correction that a leader
first commits an entry of its own term). A member's id belongs to a disk, not to an address: an empty disk is
a stranger, which neither votes nor counts until the members have taken it in (docs/design/mesh.md).

Whoever drives it calls `tick` often, `receive` with what comes, takes what is to be written with
`take_writes`, says with `written` when it is on disk, and sends what lies in `outbox`. No promise leaves
before the write that it rests on.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from cometdoor.wire.messages import (
    Append,
    Appended,
    AskVote,
    Change,
    Entry,
    Install,
    Join,
    Leave,
    Member,
    Members,
    Noop,
    TakeOver,
    Vote,
)

HEARTBEAT_S = 0.1
# A leader is missed after three to six heartbeats; all that is keyed waits meanwhile.
ELECTION_LEAST_S, ELECTION_MOST_S = 0.4, 0.8
# Until it has heard any leader in this life: where all power was gone nobody leads, and all wait. Where
# somebody does, the trial vote is denied and nothing comes of it.
FIRST_LEAST_S, FIRST_MOST_S = 0.06, 0.25
QUORUM_S = 1.0  # a leader that heard no majority for so long steps down
RESEND_S = 0.25  # an append without an answer is taken for lost
BATCH = 400  # entries in one append
# A leader whose write has been under way for so long hands over: all that is ordered waits for it.
SLOW_WRITE_S = 0.25
SILENT_S = 3.0  # a member that said nothing for so long may be replaced, where the members are even in number
JOINER_S = 2.0  # who asked to join asks again within a second


class Role(Enum):
    FOLLOWER = "follower"
    TRIAL = "trial"  # asks whether it would be elected
    CANDIDATE = "candidate"
    LEADER = "leader"


# --- what is written ---


class Identity(msgspec.Struct, tag="i", array_like=True, frozen=True):
    id: str


class Promise(msgspec.Struct, tag="p", array_like=True, frozen=True):
    term: int
    voted_for: str


class Stored(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """What stood from the first one's index on is gone."""

    entries: list[Entry]


class Snapshot(msgspec.Struct, tag="n", array_like=True, frozen=True):
    last_index: int
    last_term: int
    members: tuple[Member, ...]
    state: bytes
    alone: bool = False  # what was stored before goes, also what lies behind it


class Known(msgspec.Struct, tag="k", array_like=True, frozen=True):
    """Up to where the log was known to be committed. Goes along with other writes; nothing rests on it but
    what may be told before anybody leads."""

    committed: int


Write = Identity | Promise | Stored | Snapshot | Known


@dataclass
class Held:
    """What a disk holds, read from its writes in order."""

    id: str = ""
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)  # those after the snapshot
    committed: int = 0  # known to be

    def take(self, write: Write) -> None:
        match write:
            case Identity():
                self.id = write.id
            case Promise():
                self.term, self.voted_for = write.term, write.voted_for
            case Snapshot():
                self.snapshot = write
                self.entries = [
                    entry for entry in self.entries if entry.index > write.last_index and not write.alone
                ]
            case Stored() if write.entries:
                first = write.entries[0].index
                self.entries = [entry for entry in self.entries if entry.index < first]
                self.entries += write.entries
            case Known():
                self.committed = write.committed


@dataclass
class Peer:
    """A member as the leader sees it."""

    next: int
    match: int = 0
    sent_at: float = -1e9  # of an append that is not answered yet; long ago: none is
    heard_at: float = -1e9
    round: int = 0  # of the last heartbeat that it answered


class Consensus:
    def __init__(self, held: Held, me: Member, chance: random.Random, now: float) -> None:
        self.me = me
        self.term, self.voted_for = held.term, held.voted_for
        self.snapshot = held.snapshot
        self.entries = list(held.entries)
        self.role = Role.FOLLOWER
        self.leader = ""  # id of the one of this term, where known
        # What is committed stays so, and lies here as it was committed: a member knows it before it hears of
        # any leader. All that was acknowledged after its last write it hears from the next one.
        self.committed = max(self.base, min(held.committed, self.last_index))
        self.outbox: list[tuple[str, object]] = []  # address and message
        self.peers: dict[str, Peer] = {}
        self.state_of: Callable[[], bytes] = lambda: b""  # of all that is committed and applied
        self.applied = self.base  # kept by the driver
        self.installed: Snapshot | None = None  # a leader's state, for the driver to take
        self.least_members = 1  # from where on the first change is accepted
        self.is_established = False  # one was: the core has been that large
        self._chance = chance
        self._now = now
        self.heard_leader_at = -1e9
        self._election_at = now + chance.uniform(FIRST_LEAST_S, FIRST_MOST_S)
        self._votes: set[str] = set()
        self._writes: list[Write] = []
        self._written = self._asked = 0  # writes on disk, and all that were asked for
        self._told = self.committed  # what the disk was told of that
        self._rests: list[tuple[int, str, object]] = []  # sent once so many writes are on disk
        self._on_disk = self.last_index  # of my own log, up to where
        self._pending_disk: list[tuple[int, int]] = []  # (writes, last index) not yet on disk
        self._write_began: float | None = None
        self._heartbeat_at = 0.0
        self.round = 0
        self._joiners: dict[str, tuple[Member, float]] = {}
        self._leaving: set[str] = set()
        self._own_noop = 0  # the index of this term's first entry
        self._handed_at = -1e9
        self._members = self._newest_members()

    # --- the log ---

    @property
    def base(self) -> int:
        return self.snapshot.last_index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        return self.entries[-1].index if self.entries else self.base

    def term_at(self, index: int) -> int | None:
        """None: it is not here, or it lies in the snapshot."""
        if index == self.base:
            return self.snapshot.last_term if self.snapshot else 0
        place = index - self.base - 1
        return self.entries[place].term if 0 <= place < len(self.entries) else None

    def entry(self, index: int) -> Entry:
        return self.entries[index - self.base - 1]

    @property
    def members(self) -> tuple[Member, ...]:
        return self._members

    def _newest_members(self) -> tuple[Member, ...]:
        for entry in reversed(self.entries):
            if isinstance(entry.change, Members):
                return entry.change.members
        return self.snapshot.members if self.snapshot else ()

    def _is_member(self, id: str) -> bool:
        return any(member.id == id for member in self._members)

    def _majority(self) -> int:
        return len(self._members) // 2 + 1

    def leader_member(self) -> Member | None:
        return next((member for member in self._members if member.id == self.leader), None)

    def _others(self) -> list[Member]:
        return [member for member in self._members if member.id != self.me.id]

    # --- disk ---

    def _write(self, *writes: Write) -> None:
        self._writes += writes
        self._asked += len(writes)
        if any(isinstance(write, Stored) for write in writes):
            self._pending_disk.append((self._asked, self.last_index))

    def take_writes(self, now: float) -> list[Write]:
        """All that is to be written now, in order; nothing while the last lot is still under way."""
        if self._write_began is not None or not self._writes:
            return []
        writes, self._writes = self._writes, []
        if self.committed > self._told:
            self._told = self.committed
            self._asked += 1
            writes.append(Known(self.committed))
        self._write_began = now
        return writes

    def written(self, count: int, now: float) -> None:
        """The lot that was taken last is on disk."""
        self._now = now
        self._write_began = None
        self._written += count
        while self._pending_disk and self._pending_disk[0][0] <= self._written:
            self._on_disk = self._pending_disk.pop(0)[1]
        self._on_disk = min(self._on_disk, self.last_index)
        ready = [rest for rest in self._rests if rest[0] <= self._written]
        self._rests = [rest for rest in self._rests if rest[0] > self._written]
        self.outbox += [(address, message) for _, address, message in ready]
        if self.role is Role.CANDIDATE:
            self._count_votes()
        self._advance()

    def disk_is_stuck(self, now: float) -> bool:
        return self._write_began is not None and now - self._write_began > SLOW_WRITE_S

    def _send(self, address: str, message: object, after_writes: bool = False) -> None:
        if after_writes and self._written < self._asked:
            self._rests.append((self._asked, address, message))
        else:
            self.outbox.append((address, message))

    # --- time ---

    def tick(self, now: float) -> None:
        self._now = now
        if self.role is Role.LEADER:
            heard = sum(now - peer.heard_at < QUORUM_S for peer in self._voters())
            heard += self._is_member(self.me.id)
            if heard < self._majority():
                self._step_down(self.term)
                return
            if self.disk_is_stuck(now) and now - self._handed_at > QUORUM_S:
                self.hand_over()
            if now >= self._heartbeat_at:
                self._broadcast()
            self._next_members()
        elif now >= self._election_at:
            self._rest_election()
            if self._is_member(self.me.id) and not self.disk_is_stuck(now):
                self._stand(trial=True)

    def _voters(self) -> list[Peer]:
        return [self.peers[member.id] for member in self._others() if member.id in self.peers]

    def _rest_election(self) -> None:
        least, most = ELECTION_LEAST_S, ELECTION_MOST_S
        if self.heard_leader_at < 0.0 and self.role is not Role.CANDIDATE:
            least, most = FIRST_LEAST_S, FIRST_MOST_S
        self._election_at = self._now + self._chance.uniform(least, most)

    # --- elections ---

    def bootstrap(self) -> None:
        """The very first start of the whole system, at the one of its members that founds the core."""
        entry = Entry(1, 1, Members((self.me,)))
        self.term = 1
        self.entries = [entry]
        self._members = (self.me,)
        self._write(Promise(1, ""), Stored([entry]))
        self._stand(trial=False)

    def _stand(self, trial: bool, handed: bool = False) -> None:
        self.role = Role.TRIAL if trial else Role.CANDIDATE
        self._votes = {self.me.id}
        if not trial:
            self.term += 1
            self.voted_for, self.leader = self.me.id, ""
            self._write(Promise(self.term, self.me.id))
        term = self.term + 1 if trial else self.term
        ask = AskVote(
            term,
            self.me.id,
            self.last_index,
            self.term_at(self.last_index) or 0,
            trial,
            self.me.address,
            handed,
        )
        for member in self._others():
            self._send(member.address, ask, after_writes=not trial)
        self._count_votes()

    def _count_votes(self) -> None:
        if sum(self._is_member(voter) for voter in self._votes) < self._majority():
            return
        if self.role is Role.TRIAL:
            self._stand(trial=False)
        elif self.role is Role.CANDIDATE and self._written >= self._asked:
            self._lead()

    def _on_ask_vote(self, ask: AskVote, address: str) -> None:
        last = self.last_index
        is_current = (ask.last_term, ask.last_index) >= (self.term_at(last) or 0, last)
        has_leader = (
            self.role is Role.LEADER or self._now - self.heard_leader_at < ELECTION_LEAST_S
        ) and not ask.handed
        if ask.trial:
            granted = (
                ask.term > self.term and is_current and not has_leader and not self.disk_is_stuck(self._now)
            )
            self._send(address, Vote(ask.term if granted else self.term, self.me.id, granted, True))
            return
        if ask.term > self.term:
            if has_leader:
                return  # it can't have been told by a majority that there is none
            self._step_down(ask.term)
        granted = (
            ask.term == self.term
            and is_current
            and self.voted_for in ("", ask.candidate)
            and self.role is Role.FOLLOWER
            and bool(self._members)
        )
        if granted and not self.voted_for:
            self.voted_for = ask.candidate
            self._write(Promise(self.term, ask.candidate))
            self._rest_election()
        self._send(address, Vote(self.term, self.me.id, granted, False), after_writes=True)

    def _on_vote(self, vote: Vote) -> None:
        if vote.term > self.term and not vote.trial:
            self._step_down(vote.term)
            return
        if vote.trial and not vote.granted:
            if vote.term > self.term:
                self._step_down(vote.term)
            return
        if vote.granted and vote.trial == (self.role is Role.TRIAL) and vote.term == self.term + vote.trial:
            self._votes.add(vote.voter)
            if self.role in (Role.TRIAL, Role.CANDIDATE):
                self._count_votes()

    def _lead(self) -> None:
        self.role, self.leader = Role.LEADER, self.me.id
        self.peers = {member.id: Peer(self.last_index + 1, heard_at=self._now) for member in self._others()}
        self._joiners.clear()
        self._leaving.clear()
        self._handed_at = -1e9
        self._own_noop = self._add(Noop())
        self._broadcast()

    def _step_down(self, term: int) -> None:
        if term > self.term:
            self.term, self.voted_for = term, ""
            self._write(Promise(term, ""))
            self.leader = ""
        elif self.role is Role.LEADER:
            self.leader = ""
        self.role = Role.FOLLOWER
        self._rest_election()

    def hand_over(self) -> None:
        """To the member that has most of the log and was heard last; it stands for election at once."""
        if self.role is not Role.LEADER:
            return
        self._handed_at = self._now
        fresh = [
            member
            for member in self._others()
            if member.id in self.peers
            and member.id not in self._leaving
            and self._now - self.peers[member.id].heard_at < 3 * HEARTBEAT_S
        ]
        if fresh:
            heir = max(fresh, key=lambda member: self.peers[member.id].match)
            self._send(heir.address, TakeOver(self.term, self.me.id))

    # --- changes ---

    @property
    def leads(self) -> bool:
        """And has what its predecessors committed."""
        return self.role is Role.LEADER and self.committed >= self._own_noop

    def may_accept(self) -> bool:
        return (
            self.leads
            and (self.is_established or len(self._members) >= self.least_members)
            and self._now - self._handed_at > 2 * ELECTION_MOST_S
        )

    def propose(self, change: Change) -> int:
        """Its index; it is ordered if the entry that is committed there has the present term."""
        return self._add(change)

    def flush(self) -> None:
        """Append what was proposed since."""
        if self.role is Role.LEADER:
            for member in self._others():
                self._append_to(member)

    def _add(self, change: Change) -> int:
        entry = Entry(self.last_index + 1, self.term, change)
        self.entries.append(entry)
        if isinstance(change, Members):
            self._members = change.members
            for member in self._others():
                self.peers.setdefault(member.id, Peer(self.base + 1, heard_at=self._now))
        self._write(Stored([entry]))
        self._advance()
        return entry.index

    def begin_round(self) -> int:
        """A heartbeat to all; once `round_is_confirmed`, this was still the leader when it began."""
        self._broadcast()
        return self.round

    def round_is_confirmed(self, round: int) -> bool:
        heard = sum(peer.round >= round for peer in self._voters()) + self._is_member(self.me.id)
        return self.leads and heard >= self._majority()

    def _broadcast(self) -> None:
        self.round += 1
        self._heartbeat_at = self._now + HEARTBEAT_S
        for member in self._others():
            self._append_to(member, heartbeat=True)

    def _append_to(self, member: Member, heartbeat: bool = False) -> None:
        peer = self.peers.setdefault(member.id, Peer(self.last_index + 1, heard_at=self._now))
        is_free = self._now - peer.sent_at > RESEND_S
        if not heartbeat and (not is_free or peer.next > self.last_index):
            return
        if is_free and peer.next <= self.base:
            state = self.snapshot
            assert state is not None
            peer.sent_at = self._now + 4 * RESEND_S  # it is large
            self._send(
                member.address,
                Install(
                    self.term,
                    self.me.id,
                    self.me.address,
                    state.last_index,
                    state.last_term,
                    msgspec.msgpack.encode(state),
                    self.round,
                ),
            )
            return
        previous = peer.next - 1
        previous_term = self.term_at(previous)
        entries: list[Entry] = []
        if previous_term is None:  # it is being sent the snapshot
            previous, previous_term = self.base, self.term_at(self.base) or 0
        elif is_free and peer.next <= self.last_index:
            place = previous - self.base
            entries = self.entries[place : place + BATCH]
            peer.sent_at = self._now
        self._send(
            member.address,
            Append(
                self.term,
                self.me.id,
                self.me.address,
                previous,
                previous_term,
                entries,
                self.committed,
                self.round,
            ),
        )

    def _on_append(self, append: Append, address: str) -> None:
        if append.term < self.term:
            self._send(address, Appended(self.term, self.me.id, False, 0, append.round))
            return
        self._follow(append.term, append.leader)
        if append.previous_index < self.base:
            # What the snapshot holds is committed, so it is as the leader has it.
            append.entries = [entry for entry in append.entries if entry.index > self.base]
            append.previous_index, append.previous_term = self.base, self.term_at(self.base) or 0
        have = self.term_at(append.previous_index)
        if have != append.previous_term:
            # Back to where this term of ours began, at once.
            retry = min(append.previous_index, self.last_index + 1)
            while retry - 1 > self.base and have is not None and self.term_at(retry - 1) == have:
                retry -= 1
            self._send(address, Appended(self.term, self.me.id, False, max(retry, 1), append.round))
            return
        fresh = [entry for entry in append.entries if self.term_at(entry.index) != entry.term]
        if fresh:
            first = fresh[0].index
            fresh = [entry for entry in append.entries if entry.index >= first]
            self.entries = [*self.entries[: first - self.base - 1], *fresh]
            self._on_disk = min(self._on_disk, first - 1)
            self._pending_disk = [(count, min(index, first - 1)) for count, index in self._pending_disk]
            self._write(Stored(fresh))
            self._members = self._newest_members()
        known = append.previous_index + len(append.entries)
        self.committed = max(self.committed, min(append.committed, known))
        # A heartbeat without news speaks of nothing that is not on disk already.
        needs_disk = known > self._on_disk
        self._send(
            address, Appended(self.term, self.me.id, True, known, append.round), after_writes=needs_disk
        )

    def _follow(self, term: int, leader: str) -> None:
        if term > self.term:
            self._step_down(term)
        self.role, self.leader = Role.FOLLOWER, leader
        self.heard_leader_at = self._now
        self._rest_election()

    def _on_appended(self, appended: Appended) -> None:
        if appended.term > self.term:
            self._step_down(appended.term)
            return
        peer = self.peers.get(appended.follower)
        if self.role is not Role.LEADER or appended.term < self.term or peer is None:
            return
        peer.heard_at = self._now
        peer.round = max(peer.round, appended.round)
        if appended.success:
            if appended.index >= peer.next or appended.index > peer.match:
                peer.sent_at = -1e9
            peer.match = max(peer.match, appended.index)
            peer.next = max(peer.next, peer.match + 1)
            self._advance()
        else:
            peer.sent_at = -1e9
            peer.next = max(min(appended.index, peer.next), peer.match + 1, 1)
        member = next((one for one in self._members if one.id == appended.follower), None)
        if member is not None:
            self._append_to(member)

    def _advance(self) -> None:
        """Commit what a majority has on disk, if it is of this term (Raft, 5.4.2)."""
        if self.role is not Role.LEADER:
            return
        marks = [self.peers[member.id].match for member in self._others()]
        if self._is_member(self.me.id):
            marks.append(self._on_disk)
        marks.sort(reverse=True)
        index = marks[self._majority() - 1] if len(marks) >= self._majority() else 0
        if index > self.committed and self.term_at(index) == self.term:
            self.committed = index

    def _on_install(self, install: Install, address: str) -> None:
        if install.term < self.term:
            self._send(address, Appended(self.term, self.me.id, False, 0, install.round))
            return
        self._follow(install.term, install.leader)
        if install.last_index > self.committed:
            snapshot = msgspec.msgpack.decode(install.state, type=Snapshot)
            keep = self.term_at(install.last_index) == install.last_term
            self.entries = [e for e in self.entries if keep and e.index > install.last_index]
            self.snapshot = self.installed = snapshot
            self.committed = install.last_index
            self._pending_disk.clear()
            self._write(
                msgspec.structs.replace(snapshot, alone=True),
                *([Stored(self.entries)] if self.entries else []),
            )
            self._pending_disk.append((self._asked, self.last_index))
            self._members = self._newest_members()
        self._send(
            address,
            Appended(self.term, self.me.id, True, max(install.last_index, 0), install.round),
            after_writes=True,
        )

    def compact(self) -> list[Write]:
        """Forget what is applied; returns all that a fresh disk file must begin with, in order."""
        if self.applied > self.base:
            term = self.term_at(self.applied)
            assert term is not None
            done, rest = self.entries[: self.applied - self.base], self.entries[self.applied - self.base :]
            members = self.snapshot.members if self.snapshot else ()
            for entry in done:
                if isinstance(entry.change, Members):
                    members = entry.change.members
            self.snapshot = Snapshot(self.applied, term, members, self.state_of())
            self.entries = rest
        writes: list[Write] = [Identity(self.me.id), Promise(self.term, self.voted_for)]
        if self.snapshot is not None:
            writes.append(self.snapshot)
        if self.entries:
            writes.append(Stored(list(self.entries)))
        if self.committed > self.base:
            writes.append(Known(self.committed))
        return writes

    # --- members ---

    def _next_members(self) -> None:
        """One change at a time, each committed before the next (dissertation, 4.1)."""
        if not self.leads or any(
            isinstance(entry.change, Members) for entry in self.entries[max(self.committed - self.base, 0) :]
        ):
            return
        now = self._now
        self._joiners = {id: one for id, one in self._joiners.items() if now - one[1] < JOINER_S}
        here = self._members
        goes: str | None = None
        # Who leaves in order may only start again: it stays a member unless another has come in its place.
        if len(here) % 2 == 0:
            goes = next((member.id for member in here if member.id in self._leaving), None)
        if goes is None:
            fresh = {joiner.address: joiner.id for joiner, _ in self._joiners.values()}
            goes = next(
                (member.id for member in here if fresh.get(member.address, member.id) != member.id), None
            )
        if goes is None and len(here) % 2 == 0:
            silent = [member for member in self._others() if now - self.peers[member.id].heard_at > SILENT_S]
            if silent:
                goes = min(silent, key=lambda member: self.peers[member.id].heard_at).id
        if goes is not None and goes != self.me.id and len(here) > 1:
            self.peers.pop(goes, None)
            self._leaving.discard(goes)
            self._add(Members(tuple(member for member in here if member.id != goes)))
            self._broadcast()
            return
        for joiner, _ in self._joiners.values():
            if not self._is_member(joiner.id):
                self._add(Members((*here, joiner)))
                self._broadcast()
                return

    def join(self, member: Member) -> None:
        if self.role is Role.LEADER and not self._is_member(member.id):
            self._joiners[member.id] = member, self._now

    def leave(self, id: str) -> None:
        if self.role is Role.LEADER:
            if id == self.me.id:
                self.hand_over()
            elif self._is_member(id):
                self._leaving.add(id)

    # --- what comes ---

    def receive(self, message: object, now: float) -> None:
        """Of consensus; anything else is passed by."""
        self._now = now
        match message:
            case AskVote():
                self._on_ask_vote(message, message.address)
            case Vote():
                self._on_vote(message)
            case Append():
                self._on_append(message, message.address)
            case Appended():
                self._on_appended(message)
            case Install():
                self._on_install(message, message.address)
            case TakeOver():
                if message.term == self.term and self._is_member(self.me.id) and not self.disk_is_stuck(now):
                    self._stand(trial=False, handed=True)
            case Join():
                self.join(message.member)
            case Leave():
                self.leave(message.member)
