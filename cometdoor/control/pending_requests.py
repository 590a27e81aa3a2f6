"""Proposals that wait for their entry to be applied, and reads that wait for a confirmed round. No I/O.

A proposal is answered with the result of its entry, if the applied entry has the term of the proposal. A
read is answered with the state after a heartbeat round that began after the read arrived (read index:
Ongaro's dissertation, 6.4). When the replica stops leading, or leads in another term, proposals are answered
at once with an unknown outcome and reads as not current.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from cometdoor.control.replica import Replica
from cometdoor.control.roles import Role
from cometdoor.control.state_machine import ApplyResult, StateMachine
from cometdoor.wire.log_entries import Change

ProposalT = TypeVar("ProposalT")
ReadT = TypeVar("ReadT")


@dataclass(frozen=True, slots=True)
class PendingProposal(Generic[ProposalT]):
    """A proposal whose entry is not applied yet."""

    term: int
    caller: ProposalT


@dataclass(frozen=True, slots=True)
class PendingRead(Generic[ReadT]):
    """A read whose round is not confirmed yet; `deadline` is on the steady clock."""

    term: int
    round: int
    deadline: float
    caller: ReadT


@dataclass(frozen=True, slots=True)
class ProposalCompleted(Generic[ProposalT]):
    """A proposal that no longer waits, and its result."""

    caller: ProposalT
    result: ApplyResult | None  # None: the outcome is unknown to this replica


@dataclass(frozen=True, slots=True)
class ReadCompleted(Generic[ReadT]):
    """A read that no longer waits; if `is_current`, the state may be returned."""

    caller: ReadT
    is_current: bool  # the state has everything acknowledged before the read


class PendingRequests(Generic[ProposalT, ReadT]):
    """Pending proposals and reads of one replica; the type parameters identify their callers."""

    def __init__(self) -> None:
        self._proposals: dict[int, PendingProposal[ProposalT]] = {}  # by index of the entry
        self._oldest_term = 0  # lowest term of a pending proposal
        self._reads: list[PendingRead[ReadT]] = []

    def copy(self) -> PendingRequests[ProposalT, ReadT]:
        """Return an independent copy."""
        other = PendingRequests[ProposalT, ReadT]()
        other._proposals, other._reads = self._proposals.copy(), self._reads.copy()
        other._oldest_term = self._oldest_term
        return other

    def propose(self, replica: Replica, change: Change, caller: ProposalT) -> None:
        """Propose a change; the replica must lead."""
        if not self._proposals:
            self._oldest_term = replica.term
        self._proposals[replica.propose(change)] = PendingProposal(replica.term, caller)

    def read(self, replica: Replica, deadline: float, caller: ReadT) -> None:
        """Begin a round for a read; the replica must lead."""
        self._reads.append(PendingRead(replica.term, replica.start_read_round(), deadline, caller))

    def apply_committed(self, replica: Replica, state: StateMachine) -> list[ProposalCompleted[ProposalT]]:
        """Apply all committed entries to `state` and return the results of pending proposals among them."""
        completed: list[ProposalCompleted[ProposalT]] = []
        while replica.applied < replica.committed:
            replica.applied += 1
            entry = replica.log.entry(replica.applied)
            result = state.apply(entry.change)
            pending = self._proposals.pop(entry.index, None)
            if pending is not None:
                completed.append(
                    ProposalCompleted(pending.caller, result if pending.term == entry.term else None)
                )
        return completed

    def expire_proposals(
        self, replica: Replica, has_quorum: bool = True
    ) -> list[ProposalCompleted[ProposalT]]:
        """Remove and return the proposals of terms that this replica no longer leads.

        Without `has_quorum` (recent contact with a majority), all proposals are removed and returned.
        """
        if not self._proposals or (has_quorum and _is_leader_in_term(replica, self._oldest_term)):
            return []  # terms never decrease: if the oldest proposal is of this term, all are
        expired = {
            index: pending
            for index, pending in self._proposals.items()
            if not (has_quorum and _is_leader_in_term(replica, pending.term))
        }
        for index in expired:
            del self._proposals[index]
        self._oldest_term = replica.term
        return [ProposalCompleted(pending.caller, None) for pending in expired.values()]

    def complete_reads(
        self, replica: Replica, now: float, has_quorum: bool = True
    ) -> list[ReadCompleted[ReadT]]:
        """Remove and return the reads that no longer wait.

        A read ends when its round is confirmed and everything committed is applied, at its deadline, when
        the replica no longer leads in its term, or when `has_quorum` (recent contact with a majority) is
        lost.
        """
        completed: list[ReadCompleted[ReadT]] = []
        remaining: list[PendingRead[ReadT]] = []
        for pending in self._reads:
            is_still_leader = _is_leader_in_term(replica, pending.term)
            if (
                is_still_leader
                and replica.applied >= replica.committed
                and replica.is_read_round_confirmed(pending.round)
            ):
                completed.append(ReadCompleted(pending.caller, True))
            elif not is_still_leader or not has_quorum or now >= pending.deadline:
                completed.append(ReadCompleted(pending.caller, False))
            else:
                remaining.append(pending)
        self._reads = remaining
        return completed


def _is_leader_in_term(replica: Replica, term: int) -> bool:
    return replica.role is Role.LEADER and replica.term == term
