"""The places at one backend and who waits for them. No I/O; the time comes in, in milliseconds.

The proxy beside a backend is its only door, so it knows what is at work exactly. Places are given by the
time that each is due. Where not all who wait can be in time, who earns least for the work it takes is told at
once, while another door may still serve it: a queue is bounded by time, not by count.
"""

from __future__ import annotations

from bisect import insort
from collections import Counter
from collections.abc import Hashable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from jasperhall import api
from jasperhall.admission import Goal
from jasperhall.averages import Average

# Of its aim that a request may wait here, by what is known of those before it: the rest is for its work, and
# for another door if this one's guess was bad.
WAIT_SHARE = 0.5
PRIOR_MS = 100.0  # a piece of work is taken to last so long until some have ended
PRIOR_COUNT = 2.0
REMEMBERED = 64  # groups that were shed: what belongs to one follows within milliseconds
URGENT = 1  # routes of this rank or a higher one (0 is the highest) are worth twice the others
# What the users' deployments give the whole and the worst-served kind: with the worth alone a long shortage
# fell on the downloads until hardly one was served.
WHOLE_WEIGHT, WORST_WEIGHT = 0.5, 0.15


def worth_of(priority: int) -> float:
    return 2.0 if priority <= URGENT else 1.0


class Kind(NamedTuple):
    """Requests that are alike in what a door must know of them."""

    priority: int
    aim_ms: float
    once: bool

    def label(self) -> str:
        return f"p{self.priority} {self.aim_ms:g}ms"


@dataclass(order=True)
class Job:
    due_ms: float  # when it should be answered: the order in which places are given
    number: int
    kind: Kind = field(compare=False)
    until_ms: float = field(compare=False)  # its caller waits no longer
    arrived_ms: float = field(compare=False)
    let_through: float = field(default=1.0, compare=False)  # of its kind, by the proxy that it comes from
    # Of those of its kind that came together; None: it came alone.
    group: Hashable = field(default=None, compare=False)
    group_size: float = field(default=1.0, compare=False)
    began_ms: float = field(default=0.0, compare=False)


class Kinds:
    """What serving one more request of each kind earns for the work that it takes."""

    def __init__(self) -> None:
        self._places: dict[Kind, int] = {}
        self._work_ms: list[Average] = []
        self._settings: api.Settings | None = None
        self._goal: Goal | None = None

    def place(self, kind: Kind) -> int:
        place = self._places.get(kind)
        if place is None:
            place = self._places[kind] = len(self._work_ms)
            self._work_ms.append(Average())
            added = api.RequestClass(
                aim_ms=kind.aim_ms, deadline_ms=kind.aim_ms, worth=worth_of(kind.priority)
            )
            if self._settings is None or self._goal is None:
                self._settings = api.Settings(
                    classes=(added,), whole_weight=WHOLE_WEIGHT, worst_class_weight=WORST_WEIGHT
                )
                self._goal = Goal(self._settings)
            else:
                self._settings = replace(self._settings, classes=(*self._settings.classes, added))
                self._goal.add_class(self._settings)
        return place

    def worked(self, job: Job, now: float) -> None:
        self._work_ms[self.place(job.kind)].add(now - job.began_ms, now)

    def ended(self, job: Job, served: bool, now: float) -> None:
        """It had a place, or was turned away."""
        place = self.place(job.kind)
        assert self._goal is not None
        self._goal.ended(place, job.let_through if served else 0.0, 1.0, now)

    def value(self, job: Job, now: float) -> float:
        """Those that come together earn once."""
        place = self.place(job.kind)
        assert self._goal is not None
        work_ms = self._work_ms[place].mean(PRIOR_MS, PRIOR_COUNT, now)
        return self._goal.values(now)[place] / (work_ms * job.group_size)


class Places:
    def __init__(self) -> None:
        self.capacity = 1
        self.at_work = 0
        self.waiting: list[Job] = []  # the one due first in front
        self._kinds = Kinds()
        self._counts: Counter[str] = Counter()
        self._shed: dict[tuple[Kind, Hashable], None] = {}  # groups of which one was shed, the last ones
        self._work_ms = Average()
        self._last = 0

    def job(
        self,
        kind: Kind,
        left_ms: float,
        now: float,
        let_through: float = 1.0,
        group: Hashable = None,
        group_size: float = 1.0,
    ) -> Job:
        self._last += 1
        return Job(now + kind.aim_ms, self._last, kind, now + left_ms, now, let_through, group, group_size)

    def usual_ms(self, now: float) -> float:
        return self._work_ms.mean(PRIOR_MS, PRIOR_COUNT, now)

    def wait_ms(self, ahead: int, now: float) -> float:
        """How long one waits with so many of those that wait ahead of it."""
        before = self.at_work - self.capacity + 1 + ahead
        # The next place is free after a part of a piece of work, each further one after a whole.
        return max(before - 0.5, 0.0) * self.usual_ms(now) / self.capacity if before > 0 else 0.0

    def offer(self, job: Job, now: float) -> list[Job]:
        """It has a place now, or waits for one. Who is turned away for it, itself or others."""
        if self.at_work < self.capacity and not self.waiting:
            self._begin(job, now)
            return []
        if job.group is not None and (job.kind, job.group) in self._shed:
            self._turned_away(job, "shed", now)
            return [job]
        insort(self.waiting, job)
        out = []
        while (late := self._first_late(now)) is not None:
            # Of it and those before it, who earns least goes; among equals who came last.
            least = min(self.waiting[: late + 1], key=lambda one: (self._kinds.value(one, now), -one.number))
            out += self._shed_group(least, now)
        return out

    def _shed_group(self, job: Job, now: float) -> list[Job]:
        """Those that came together serve one run, which needs all of them."""
        out = [
            one
            for one in self.waiting
            if one is job or (one.group is not None and one.group == job.group and one.kind == job.kind)
        ]
        for one in out:
            self.waiting.remove(one)
            self._turned_away(one, "shed", now)
        if job.group is not None:
            self._shed[job.kind, job.group] = None
            if len(self._shed) > REMEMBERED:
                del self._shed[next(iter(self._shed))]
        return out

    def _first_late(self, now: float) -> int | None:
        """Of those that wait, the first that would not be in time."""
        usual = self.usual_ms(now)
        for ahead, job in enumerate(self.waiting):
            wait = self.wait_ms(ahead, now)
            if (
                now - job.arrived_ms + wait > WAIT_SHARE * job.kind.aim_ms
                or now + wait + 0.5 * usual > job.until_ms
            ):
                return ahead
        return None

    def _begin(self, job: Job, now: float) -> None:
        job.began_ms = now
        self.at_work += 1
        self._kinds.ended(job, True, now)
        self._counts[f"{job.kind.label()} begun"] += 1

    def ended(self, job: Job, now: float, whole: bool) -> None:
        """`whole`: it tells how long a piece of work lasts."""
        self.at_work -= 1
        if whole:
            self._work_ms.add(now - job.began_ms, now)
            self._kinds.worked(job, now)

    def next(self, now: float) -> Job | None:
        """Who has a place now."""
        if not self.waiting or self.at_work >= self.capacity:
            return None
        job = self.waiting.pop(0)
        self._begin(job, now)
        return job

    def overdue(self, now: float) -> list[Job]:
        """Who has waited for longer than it may; they are out."""
        out = [
            job
            for job in self.waiting
            if now - job.arrived_ms > WAIT_SHARE * job.kind.aim_ms or now >= job.until_ms
        ]
        if out:
            gone = {job.number for job in out}
            self.waiting = [job for job in self.waiting if job.number not in gone]
            for job in out:
                self._turned_away(job, "overdue", now)
        return out

    def _turned_away(self, job: Job, why: str, now: float) -> None:
        self._kinds.ended(job, False, now)
        self._counts[f"{job.kind.label()} {why}"] += 1

    def report(self, now: float) -> dict[str, float]:
        """For the log, since the last report: by kind, how many began, were shed and became overdue."""
        counts, self._counts = self._counts, Counter()
        return {**counts, "usual_ms": round(self.usual_ms(now), 1)} if counts else {}

    def withdraw(self, job: Job) -> bool:
        """False: it did not wait."""
        if job in self.waiting:
            self.waiting.remove(job)
            return True
        return False
