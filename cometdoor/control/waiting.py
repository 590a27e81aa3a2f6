"""What waits for the log: orders until they are applied, reads until a round is confirmed. No I/O.

An order is answered with what came of its entry when it was applied, under the term in which it was proposed,
and a read with the state after a round that began when the read came (read index: Ongaro's dissertation,
6.4). Whatever waits when the replica leads no more, or leads in another term, is told at once that nothing is
known here."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from cometdoor.control.replica import Replica
from cometdoor.control.roles import Role
from cometdoor.control.state_machine import StateMachine, Verdict
from cometdoor.wire.messages import Change

OrderT = TypeVar("OrderT")
ReadT = TypeVar("ReadT")


@dataclass(frozen=True, slots=True)
class PendingOrder(Generic[OrderT]):
    term: int
    caller: OrderT


@dataclass(frozen=True, slots=True)
class PendingRead(Generic[ReadT]):
    term: int
    round: int
    until: float
    caller: ReadT


@dataclass(frozen=True, slots=True)
class OrderEnded(Generic[OrderT]):
    caller: OrderT
    verdict: Verdict | None  # None: what came of it is not known here


@dataclass(frozen=True, slots=True)
class ReadEnded(Generic[ReadT]):
    caller: ReadT
    is_newest: bool  # the state holds all that was acknowledged before the read came


class WaitingCalls(Generic[OrderT, ReadT]):
    """`OrderT`, `ReadT`: whatever tells its driver who waits."""

    def __init__(self) -> None:
        self._orders: dict[int, PendingOrder[OrderT]] = {}  # by the index of the entry
        self._oldest_term = 0  # of all those
        self._reads: list[PendingRead[ReadT]] = []

    def copy(self) -> WaitingCalls[OrderT, ReadT]:
        other = WaitingCalls[OrderT, ReadT]()
        other._orders, other._reads = self._orders.copy(), self._reads.copy()
        other._oldest_term = self._oldest_term
        return other

    def order(self, replica: Replica, change: Change, caller: OrderT) -> None:
        """Propose the change; the replica must lead."""
        if not self._orders:
            self._oldest_term = replica.term
        self._orders[replica.propose(change)] = PendingOrder(replica.term, caller)

    def read(self, replica: Replica, until: float, caller: ReadT) -> None:
        """Begin a round; the replica must lead."""
        self._reads.append(PendingRead(replica.term, replica.begin_round(), until, caller))

    def apply(self, replica: Replica, state: StateMachine) -> list[OrderEnded[OrderT]]:
        """Apply what is committed."""
        ended: list[OrderEnded[OrderT]] = []
        while replica.applied < replica.committed:
            replica.applied += 1
            entry = replica.log.entry(replica.applied)
            verdict = state.apply(entry.change)
            pending = self._orders.pop(entry.index, None)
            if pending is not None:
                ended.append(OrderEnded(pending.caller, verdict if pending.term == entry.term else None))
        return ended

    def end_orders(self, replica: Replica, in_touch: bool = True) -> list[OrderEnded[OrderT]]:
        """Those that were proposed in a term in which the replica leads no more; all where it isn't
        `in_touch` with a majority."""
        if not self._orders or (in_touch and _leads_in(replica, self._oldest_term)):
            return []  # terms only rise: the others are of this one too
        over = {
            index: one
            for index, one in self._orders.items()
            if not (in_touch and _leads_in(replica, one.term))
        }
        for index in over:
            del self._orders[index]
        self._oldest_term = replica.term
        return [OrderEnded(one.caller, None) for one in over.values()]

    def end_reads(self, replica: Replica, now: float, in_touch: bool = True) -> list[ReadEnded[ReadT]]:
        """Those that are confirmed, came too late, began in a term in which the replica leads no more, or
        wait where it isn't `in_touch`."""
        ended: list[ReadEnded[ReadT]] = []
        left: list[PendingRead[ReadT]] = []
        for one in self._reads:
            is_led = _leads_in(replica, one.term)
            if is_led and replica.applied >= replica.committed and replica.round_is_confirmed(one.round):
                ended.append(ReadEnded(one.caller, True))
            elif not is_led or not in_touch or now >= one.until:
                ended.append(ReadEnded(one.caller, False))
            else:
                left.append(one)
        self._reads = left
        return ended


def _leads_in(replica: Replica, term: int) -> bool:
    return replica.role is Role.LEADER and replica.term == term
