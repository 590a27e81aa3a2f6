"""The places at one backend and who waits for them. No I/O; the time comes in, in milliseconds.

The proxy beside a backend is its only door, so it knows what is at work exactly. Whoever can't be served in
time is told at once, while another door may still serve it: a queue is bounded by time, not by count.
"""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass, field

from jasperhall.averages import Average

# Of its aim that a request may wait here, by what is known of those before it: the rest is for its work, and
# for another door if this one's guess was bad.
WAIT_SHARE = 0.5
PRIOR_MS = 100.0  # a piece of work is taken to last so long until some have ended
PRIOR_COUNT = 2.0


@dataclass(order=True)
class Job:
    due_ms: float  # when it should be answered: the order in which places are given
    number: int
    aim_ms: float = field(compare=False)
    until_ms: float = field(compare=False)  # its caller waits no longer
    arrived_ms: float = field(compare=False)
    began_ms: float = field(default=0.0, compare=False)


class Places:
    def __init__(self) -> None:
        self.capacity = 1
        self.at_work = 0
        self.waiting: list[Job] = []  # the one due first in front
        self._work_ms = Average()
        self._last = 0

    def job(self, aim_ms: float, left_ms: float, now: float) -> Job:
        self._last += 1
        return Job(now + aim_ms, self._last, aim_ms, now + left_ms, now)

    def usual_ms(self, now: float) -> float:
        return self._work_ms.mean(PRIOR_MS, PRIOR_COUNT, now)

    def wait_ms(self, due_ms: float, now: float) -> float:
        """How long one who is due then would wait."""
        ahead = self.at_work - self.capacity + 1 + sum(job.due_ms <= due_ms for job in self.waiting)
        # The next place is free after a part of a piece of work, each further one after a whole.
        return max(ahead - 0.5, 0.0) * self.usual_ms(now) / self.capacity if ahead > 0 else 0.0

    def offer(self, job: Job, now: float) -> float:
        """0: it has a place, or waits for one; above: it is turned away, and may come back after so long."""
        if self.at_work < self.capacity and not self.waiting:
            self._begin(job, now)
            return 0.0
        wait = self.wait_ms(job.due_ms, now)
        if wait > WAIT_SHARE * job.aim_ms or now + wait + 0.5 * self.usual_ms(now) > job.until_ms:
            return wait
        insort(self.waiting, job)
        return 0.0

    def _begin(self, job: Job, now: float) -> None:
        job.began_ms = now
        self.at_work += 1

    def ended(self, job: Job, now: float, whole: bool) -> None:
        """`whole`: it tells how long a piece of work lasts."""
        self.at_work -= 1
        if whole:
            self._work_ms.add(now - job.began_ms, now)

    def next(self, now: float) -> Job | None:
        """Who has a place now."""
        if not self.waiting or self.at_work >= self.capacity:
            return None
        job = self.waiting.pop(0)
        self._begin(job, now)
        return job

    def overdue(self, now: float) -> list[Job]:
        """Who has waited for longer than it may; they are out."""
        out = [job for job in self.waiting
               if now - job.arrived_ms > WAIT_SHARE * job.aim_ms or now >= job.until_ms]
        if out:
            gone = {job.number for job in out}
            self.waiting = [job for job in self.waiting if job.number not in gone]
        return out

    def withdraw(self, job: Job) -> bool:
        """False: it did not wait."""
        if job in self.waiting:
            self.waiting.remove(job)
            return True
        return False
