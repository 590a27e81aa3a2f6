"""A core machine that is cut off from the others for some twenty seconds, and asked all the while.

It is cut both ways, or it hears nothing ("deaf"), or nothing of it is heard ("mute"), or its program stands
still; it leads at that moment or it doesn't. Callers reach it throughout. The others take a change every two
seconds, and one more at the very moment of its return. What it answered is held against three rules:

- while it is cut it says 503, or names a leader that lives and is not itself; it neither acknowledges nor
refuses; - nowhere and at no time is an order refused that was or is taken, and of two orders on one base one
is taken; - no read, wherever it is answered, tells less than what had been acknowledged before it began.

    python -m lab.cuts [SEEDS]   as many seeds of each kind
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import sys
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import structlog

from cometdoor.control.roles import Role
from lab.fleet import Fleet, fleet
from lab.operators import Call, Exchange, FleetOperator, Order
from standins.mesh import configuration, route

CUT_S = 20.0
AFTER_S = 3.0
ASKED_EVERY_S = 0.11
CHANGED_EVERY_S = 2.0
LED_WITHIN_S = 0.4  # a leader may be named for so long after it led last
HOWS = ("both", "deaf", "mute", "frozen")
REFUSED = (400, 409, 412, 413, 422)


@dataclass
class CutReport:
    how: str
    led: bool  # at the moment of the cut
    answers: Counter[int] = field(default_factory=Counter)  # of the replica while it was cut, by status
    slowest_s: float = 0.0  # of its answers from two seconds after the cut on
    met_s: float = 0.0  # from its return until it had the change that was sent at that moment
    wrong: list[str] = field(default_factory=list)

    @property
    def looked_at(self) -> int:
        return sum(self.answers.values())


def body_of(revision: int, tag: str) -> bytes:
    """Configurations of one number and different content where the tags differ."""
    return configuration(revision, [route("idempotent"), route(tag)])


def contradictions(calls: Iterable[Call]) -> list[str]:
    """What all answers together say that can't be true of one register."""
    calls = list(calls)
    taken: dict[bytes, float] = {}  # bodies and when the first acknowledgement came
    on_base: dict[int, set[bytes]] = {}
    for call in calls:
        if call.order is not None and call.status == 200:
            taken[call.order.body] = min(taken.get(call.order.body, call.ended), call.ended)
            on_base.setdefault(call.order.base, set()).add(call.order.body)
    wrong = [
        f"{len(bodies)} orders on base {base} were taken"
        for base, bodies in on_base.items()
        if len(bodies) > 1
    ]
    acknowledged = sorted(
        (taken[call.order.body], call.order.revision)
        for call in calls
        if call.order is not None and call.status == 200
    )
    for call in calls:
        if call.order is not None:
            refused = [one.status for one in call.exchanges if one.status in REFUSED]
            if refused and call.order.body in taken:
                wrong.append(f"order {call.order.revision} was taken, and refused with {refused[0]}")
        elif call.status in (200, 404):
            told = int(json.loads(call.body)["revision"]) if call.status == 200 else 0
            newest = max((revision for at, revision in acknowledged if at < call.began), default=0)
            if told < newest:
                wrong.append(f"{told} was read after {newest} had been acknowledged")
    return wrong


class Cut:
    """One run."""

    def __init__(self, town: Fleet, seed: int, how: str, leads: bool) -> None:
        self.town = town
        self.chance = random.Random(seed)
        self.report = CutReport(how, leads)
        self.alone = ""
        self.others: list[str] = []
        self._led_at: dict[str, float] = {}  # when each machine led last
        self._revision = 1
        self._asked = 0
        self._is_cut = False
        self.asker = FleetOperator(lambda: [self.alone], self.chance)
        self.operator = FleetOperator(lambda: self.others, self.chance)

    async def play(self) -> None:
        town, report = self.town, self.report
        leader = town.leader()
        followers = [address for address in town.core if address != leader]
        self.alone = leader if report.led else self.chance.choice(followers)
        self.others = [address for address in town.core if address != self.alone]
        known = await self.operator.replace(Order(1, 2, body_of(2, "known")))
        assert known.status == 200 and known.order is not None
        self._revision = 2
        asks: set[asyncio.Task[None]] = set()
        began = changed_at = town.loop.time()
        handed = False
        self._cut()
        until = began + CUT_S + self.chance.uniform(-1.0, 1.0)
        while (now := town.loop.time()) < until + AFTER_S:
            self._note_leaders()
            if self._is_cut and now >= until:
                self._join()
                asks.add(asyncio.create_task(self._meet(now)))
            elif not handed and now >= began + CUT_S / 2:
                handed = True
                town.core_program(town.leader()).driver.hand_over()
            elif self._is_cut and now >= changed_at + CHANGED_EVERY_S:
                changed_at = now
                asks.add(asyncio.create_task(self._change()))
            asks.add(asyncio.create_task(self._ask(known.order, now - began)))
            await asyncio.sleep(ASKED_EVERY_S * self.chance.uniform(0.5, 1.5))
        await asyncio.gather(*asks)
        await self._look_at_the_end()

    def _cut(self) -> None:
        town, core = self.town, self.town.core
        self._is_cut = True
        match self.report.how:
            case "both":
                town.cut([self.alone], core)
            case "deaf":
                town.cut_one_way(self.others, [self.alone])
            case "mute":
                town.cut_one_way([self.alone], self.others)
            case "frozen":
                town.freeze(self.alone)

    def _join(self) -> None:
        self._is_cut = False
        self.town.heal()
        if self.report.how == "frozen":
            self.town.thaw(self.alone)

    def _note_leaders(self) -> None:
        for address in self.town.core:
            if self.town.core_program(address).driver.replica.role is Role.LEADER:
                self._led_at[address] = self.town.loop.time()

    # --- what is asked ---

    async def _change(self) -> None:
        """The next one on top of the newest, which may be one of those that had no clear answer."""
        base, self._revision = self._revision, self._revision + 1
        order = Order(base, self._revision, body_of(self._revision, "next"))
        call = await self.operator.replace(order)
        if call.status == 412:
            read = await self.operator.describe()
            base = int(json.loads(read.body)["revision"])
            self._revision = base + 1
            call = await self.operator.replace(Order(base, base + 1, body_of(base + 1, "next")))
        if call.status != 200:
            self.report.wrong.append(f"a change of the others ended with {call.status}")

    async def _meet(self, returned_at: float) -> None:
        """A change at the moment of the return; the replica has it soon after."""
        await self._change()
        state = self.town.core_program(self.alone).driver.state
        while state.revision < self._revision and self.town.loop.time() < returned_at + AFTER_S:
            await asyncio.sleep(0.01)
        self.report.met_s = self.town.loop.time() - returned_at

    async def _ask(self, known: Order, since_s: float) -> None:
        self._asked += 1
        number = self._asked
        # A read, what was taken, what comes too late, what may be in time, what can't be read.
        order = [
            None,
            known,
            Order(1, 900_000 + number, body_of(900_000 + number, "late")),
            Order(self._revision, 500_000 + number, body_of(500_000 + number, "early")),
            Order(self._revision, 1, b"{"),
        ][number % 5]
        if order is not None and order.revision > 500_000 and not self._is_cut:
            order = known  # it could be taken, and the others' changes are told apart by their numbers
        was_cut = self._is_cut
        call = await self.asker.ask_once(self.alone, order)
        if was_cut and self._is_cut:
            self._look(call.exchanges[0], since_s)

    def _look(self, exchange: Exchange, since_s: float) -> None:
        report = self.report
        report.answers[exchange.status] += 1
        if since_s > 2.0 and report.how != "frozen":
            report.slowest_s = max(report.slowest_s, exchange.ended - exchange.began)
        self._note_leaders()
        if exchange.status == 307:
            led_at = self._led_at.get(exchange.location, -1.0)
            is_deaf = report.how in ("both", "deaf") and since_s > LED_WITHIN_S
            if is_deaf or exchange.location == self.alone or exchange.ended - led_at > LED_WITHIN_S:
                report.wrong.append(f"{since_s:.2f} s after the cut: 307 to {exchange.location}, no leader")
        elif exchange.status not in (0, 503):
            report.wrong.append(f"{since_s:.2f} s after the cut it answered {exchange.status}")

    async def _look_at_the_end(self) -> None:
        read = await self.operator.describe()
        if read.status != 200 or json.loads(read.body)["revision"] != self._revision:
            self.report.wrong.append(f"the end reads {read.status} {read.body[:40]!r}, not {self._revision}")
        self.report.wrong += contradictions([*self.operator.calls, *self.asker.calls])


def cut_off(seed: int, how: str, leads: bool, machines: int = 3) -> CutReport:
    """`how`: one of HOWS; `leads`: whether it falls on the leader."""
    with fleet(seed=seed, core=machines, planes=1) as town:
        town.run(town.begin())
        cut = Cut(town, seed, how, leads)
        town.run(cut.play())
        return cut.report


def main(seeds: int) -> int:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    wrong = 0
    for seed in range(seeds):
        for how in HOWS:
            for leads in (True, False):
                report = cut_off(seed, how, leads, 3 if seed % 2 else 5)
                wrong += len(report.wrong)
                print(seed, report)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else 2))
