"""Is what the core's clients saw the history of one register? Clients in virtual time, and a checker.

Clients replace the configuration on the base that they read last, and read it, at whatever member takes
itself for the leader, while members crash, are cut off and come back. Each sees for each call when it began,
when it ended and what came of it; a call without an answer may have come into force at any time after it
began, or never. The history is linearizable if the calls can be put in one order that keeps to those times
and in which each had the answer that it got (Herlihy and Wing, TOPLAS 1990; searched as Wing and Gong, JPDC
1993, with what was tried remembered as in Lowe, 2017).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from cometdoor.control.roles import Role
from cometdoor.control.state_machine import Verdict
from cometdoor.wire.messages import Change, Configure
from lab.replica_group import LOSSES, Broken, ReplicaGroup

PATIENCE_S = 1.0  # of a client
CLIENTS = 4
EAGERNESS = 0.1  # of an idle client, each hundredth of a second


@dataclass
class Operation:
    """`base` and `revision` of a replacement; a read has neither."""

    began: float
    base: int = -1
    revision: int = -1
    ended: float = math.inf
    answer: int | None = None  # a read's revision; of a replacement 1: taken, 0: refused; None: not known

    @property
    def is_read(self) -> bool:
        return self.revision < 0

    def after(self, held: int) -> int | None:
        """The register after it, if it may come now with the answer that it had; None: it may not."""
        if self.is_read:
            return held if self.answer == held else None
        fits = self.base == held and self.revision > held
        if self.answer is None:
            return self.revision if fits else held
        if fits != bool(self.answer):
            return None
        return self.revision if fits else held


def is_linearizable(history: Sequence[Operation], first: int = 0) -> bool:
    """Whether the register may have gone through it, `first` being what it held before."""
    # A read that was not answered says nothing.
    calls = sorted(
        (one for one in history if not one.is_read or one.answer is not None), key=lambda one: one.began
    )
    must = sum(one.answer is not None for one in calls)
    tried: set[tuple[int, int]] = set()  # those that have come, as bits, and what is held
    stack = [(0, first, 0)]
    while stack:
        come, held, answered = stack.pop()
        if answered == must:
            return True
        if (come, held) in tried:
            continue
        tried.add((come, held))
        # Next may come what began before any that is left has ended.
        horizon = min(one.ended for place, one in enumerate(calls) if not come >> place & 1)
        for place, one in enumerate(calls):
            if one.began > horizon:
                break
            if not come >> place & 1 and (then := one.after(held)) is not None:
                stack.append((come | 1 << place, then, answered + (one.answer is not None)))
    return False


class Client:
    def __init__(self, number: int) -> None:
        self.number = number
        self.operation: Operation | None = None
        self.known = 0  # the revision that it saw last
        self.at = 0  # the member that it asked
        self.round = 0  # of a read
        self.life = 0


class Watched(ReplicaGroup):
    """A core with clients whose calls are kept."""

    def __init__(self, seed: int, machines: int = 3, confirms_reads: bool = True) -> None:
        """`confirms_reads`: False plants the defect of members that tell what they hold, whoever leads."""
        self.history: list[Operation] = []
        self.clients = [Client(number) for number in range(CLIENTS)]
        self._by_change: dict[int, Client] = {}  # by revision, which no two share
        self._confirms_reads = confirms_reads
        self._given = 0
        super().__init__(seed, machines)

    def _step(self) -> None:
        super()._step()
        for client in self.clients:
            if client.operation is None:
                if self.chance.random() < EAGERNESS:
                    self._begin(client)
            elif self.now - client.operation.began > PATIENCE_S:
                self._end(client, None)
            elif client.operation.is_read:
                self._look(client)

    def _begin(self, client: Client) -> None:
        # Who is cut off may still take itself for the leader; clients reach it all the same.
        leading = [
            place
            for place, machine in enumerate(self.machines)
            if machine.replica is not None and machine.replica.role is Role.LEADER
        ]
        reads = self.chance.random() < 0.5
        if reads and not self._confirms_reads:
            leading = [place for place, machine in enumerate(self.machines) if machine.replica is not None]
        if not leading:
            return
        place = client.at = self.chance.choice(leading)
        machine = self.machines[place]
        replica = machine.replica
        assert replica is not None
        client.life = machine.life
        if reads:
            if self._confirms_reads:
                if not replica.leads or replica.applied < replica.committed:
                    return
                client.round = replica.begin_round()
            client.operation = Operation(self.now)
        elif replica.may_accept():
            self._given += 1
            client.operation = Operation(self.now, client.known, max(self._given, client.known + 1))
            self._given = client.operation.revision
            self._by_change[client.operation.revision] = client
            self.propose(Configure(client.known, client.operation.revision, b"%d" % self._given), place)
        else:
            return
        self.history.append(client.operation)

    def _look(self, client: Client) -> None:
        machine = self.machines[client.at]
        replica = machine.replica
        if replica is None or machine.life != client.life:
            return
        if not self._confirms_reads or replica.round_is_confirmed(client.round):
            client.known = machine.state.revision
            self._end(client, machine.state.revision)

    def _end(self, client: Client, answer: int | None) -> None:
        assert client.operation is not None
        if answer is not None:
            client.operation.ended, client.operation.answer = self.now, answer
        client.operation = None

    def _ordered(self, index: int, change: Change, verdict: Verdict) -> None:
        super()._ordered(index, change, verdict)
        if not isinstance(change, Configure):
            return
        client = self._by_change.get(change.revision)
        if (
            client is not None
            and client.operation is not None
            and (client.operation.revision == change.revision)
        ):
            client.known = verdict.revision
            self._end(client, int(verdict.taken))


def watched_schedule(
    seed: int, machines: int = 3, seconds: float = 10.0, confirms_reads: bool = True
) -> Watched:
    """Losses of one machine at a time, and of all. Raises Broken if clients saw more than one register."""
    core = Watched(seed, machines, confirms_reads)
    core.run_until_led()
    chance = core.chance
    while core.now < seconds:
        how, leader = chance.choice([*LOSSES, "hand over"]), core.leader()
        if how != "hand over":
            core.lose(how, core.someone())
        elif leader is not None and (replica := core.machines[leader].replica) is not None:
            replica.hand_over()
        core.run(chance.uniform(0.1, 1.5))
        core.restore()
        core.run(chance.uniform(2.5, 4.0))  # a machine counts as lost for some time after its return
    if not is_linearizable(core.history):
        raise Broken(f"seed {seed}: {len(core.history)} calls are no history of one register")
    return core
