"""Who belongs to the group: one change at a time, each committed before the next (Ongaro's dissertation, 4.1,
with the correction that a leader first commits an entry of its own term)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cometdoor.control.log import is_membership
from cometdoor.control.roles import Role
from cometdoor.wire.messages import Member, Members

if TYPE_CHECKING:
    from cometdoor.control.replica import Replica

SILENT_S = 3.0  # a member that said nothing for so long may be replaced, where the members are even in number
JOINER_S = 2.0  # who asked to join asks again within a second


class Membership:
    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._joiners: dict[str, tuple[Member, float]] = {}  # by id: who asked to join, and when last
        self._leaving: set[str] = set()

    def copy_for(self, replica: Replica) -> Membership:
        """The same state as part of another replica."""
        other = Membership.__new__(Membership)
        other._replica = replica
        other._joiners = self._joiners.copy()
        other._leaving = self._leaving.copy()
        return other

    def begin_term(self) -> None:
        self._joiners.clear()
        self._leaving.clear()

    def is_leaving(self, id: str) -> bool:
        return id in self._leaving

    # --- what members ask for ---

    def join(self, member: Member) -> None:
        replica = self._replica
        if replica.role is Role.LEADER and not replica.is_member(member.id):
            self._joiners[member.id] = member, replica.now

    def leave(self, id: str) -> None:
        replica = self._replica
        if replica.role is not Role.LEADER:
            return
        if id == replica.me.id:
            replica.hand_over()
        elif replica.is_member(id):
            self._leaving.add(id)

    # --- the leader's next step ---

    def tick(self) -> None:
        replica = self._replica
        if not replica.leads or self._change_is_under_way():
            return
        self._forget_old_joiners()
        removed = self._next_removed()
        if removed is not None and removed != replica.me.id and len(replica.members) > 1:
            self._remove(removed)
            return
        joiner = next((one for one, _ in self._joiners.values() if not replica.is_member(one.id)), None)
        if joiner is not None:
            replica.propose(Members((*replica.members, joiner)))
            replica.replication.broadcast()

    def _change_is_under_way(self) -> bool:
        replica = self._replica
        return any(map(is_membership, replica.log.after(max(replica.committed, replica.log.base))))

    def _forget_old_joiners(self) -> None:
        now = self._replica.now
        self._joiners = {id: one for id, one in self._joiners.items() if now - one[1] < JOINER_S}

    def _next_removed(self) -> str | None:
        """The id of the member that is to go, if any."""
        members = self._replica.members
        is_even = len(members) % 2 == 0
        # Who leaves in order may only start again: it stays a member unless another has come in its place.
        if is_even and (leaving := next((one.id for one in members if one.id in self._leaving), None)):
            return leaving
        fresh = {joiner.address: joiner.id for joiner, _ in self._joiners.values()}
        wiped = next((one.id for one in members if fresh.get(one.address, one.id) != one.id), None)
        if wiped is not None:
            return wiped
        return self._longest_silent() if is_even else None

    def _longest_silent(self) -> str | None:
        replica = self._replica
        heard_at = {
            member.id: replica.replication.progress[member.id].heard_at for member in replica.other_members()
        }
        silent = [id for id, heard in heard_at.items() if replica.now - heard > SILENT_S]
        return min(silent, key=heard_at.__getitem__) if silent else None

    def _remove(self, id: str) -> None:
        replica = self._replica
        replica.replication.progress.pop(id, None)
        self._leaving.discard(id)
        replica.propose(Members(tuple(member for member in replica.members if member.id != id)))
        replica.replication.broadcast()
