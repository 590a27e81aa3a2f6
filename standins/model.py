"""A server as a model: slots, a queue, latency, warmth, keys, and the faults that a test lays on it.

No I/O and no clock: whoever hosts it hands in the time, in seconds, and carries out what comes back. The same
model serves on sockets (`server.py`) and in virtual time.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from standins.ledger import Entry, Fate, Ledger

Latency = Callable[[Random], float]  # seconds of work for one request


def fixed(seconds: float) -> Latency:
    return lambda random: seconds


def exponential(mean: float) -> Latency:
    return lambda random: random.expovariate(1.0 / mean)


def lognormal(mean: float, cv: float) -> Latency:
    """`cv`: standard deviation over mean."""
    sigma = math.sqrt(math.log(1.0 + cv * cv))
    return lambda random: random.lognormvariate(math.log(mean) - sigma * sigma / 2.0, sigma)


@dataclass(slots=True)
class Behaviour:
    """May be changed while the server works."""

    latency: Latency = field(default_factory=lambda: fixed(0.0))
    slow: float = 1.0  # work takes so many times as long
    slots: int = 64  # requests in work at once
    queue: int = 1024  # and waiting; more are turned away
    error_share: float = 0.0  # of requests that ran, answered 500
    turn_away_share: float = 0.0  # of requests, answered that they never ran
    reset_before_share: float = 0.0  # of requests whose connection breaks before they run
    reset_after_share: float = 0.0  # and of those that ran, before they are answered
    lose_share: float = 0.0  # of answers, that are never sent
    connections: int = 10_000  # more are reset
    draining: bool = False  # finishes what it has and turns away what is new
    body: bytes = b"ok"


@dataclass(frozen=True, slots=True)
class Cold:
    """How a server warms up; more than `factor` times what it can do, in a window, pushes it over."""

    start: float = 0.3  # the share of its capacity at the start
    warm_up_s: float = 9.0
    rate: float = 100.0  # requests a second that it can do when warm
    factor: float = 3.0
    window_s: float = 3.0
    slack: float = 4.0  # requests more, for chance

    def warmth(self, age_s: float) -> float:
        if age_s >= self.warm_up_s:
            return 1.0
        return self.start + (1.0 - self.start) * max(age_s, 0.0) / self.warm_up_s


class KeyStore:
    """The keys that the servers of one group remember together."""

    def __init__(self, ttl_s: float = 60.0) -> None:
        self._ttl_s = ttl_s
        self._seen: dict[str, float] = {}

    def is_new(self, key: str, now: float) -> bool:
        since = self._seen.get(key)
        if since is not None and now - since < self._ttl_s:
            return False
        self._seen[key] = now
        return True


@dataclass(frozen=True, slots=True)
class Reply:
    """What to do for a call; status 0: its connection is reset."""

    status: int
    body: bytes = b""
    never_ran: bool = False


@dataclass(slots=True, eq=False)
class Call:
    """One request at the server, as long as it is there."""

    entry: Entry
    reset_before: bool = False
    due: float = 0.0


class ServerModel:
    def __init__(
        self,
        name: str,
        ledger: Ledger,
        *,
        behaviour: Behaviour | None = None,
        seed: int = 1,
        cell: int = 0,
        keys: KeyStore | None = None,
        cold: Cold | None = None,
        started_at: float = -math.inf,
    ) -> None:
        self.name = name
        self.cell = cell
        self.behaviour = behaviour or Behaviour()
        self.ledger = ledger
        self.cold = cold
        self.started_at = started_at
        self.fallen = False
        self.cold_peak = 0.0  # the most that came within a window while it was cold, over what pushes it over
        self._keys = keys or KeyStore()
        self._random = Random(f"{seed}:{name}")
        self._waiting: deque[Call] = deque()
        self._running: list[tuple[float, int, Call]] = []  # heap by due time
        self._count = 0
        self._arrivals: deque[float] = deque()
        self._frozen_at: float | None = None

    @property
    def is_frozen(self) -> bool:
        return self._frozen_at is not None

    def held(self) -> int:
        return len(self._waiting) + len(self._running)

    def freeze(self, now: float) -> None:
        """It takes connections and requests, and does nothing."""
        if self._frozen_at is None:
            self._frozen_at = now

    def thaw(self, now: float) -> None:
        if self._frozen_at is not None:
            stood_s, self._frozen_at = now - self._frozen_at, None
            self._running = [(due + stood_s, number, call) for due, number, call in self._running]

    def restart(self, now: float) -> None:
        """The process anew: cold, nothing in hand. Its keys are the group's, and stay."""
        for call in [*self._waiting, *(call for _, _, call in self._running)]:
            self._end(call, now, "the server restarted")
        self._waiting.clear()
        self._running.clear()
        self._arrivals.clear()
        self.fallen, self._frozen_at, self.started_at = False, None, now

    def warmth(self, now: float) -> float:
        return 1.0 if self.cold is None else self.cold.warmth(now - self.started_at)

    def arrive(self, now: float, request: str, key: str, first_byte_at: float) -> tuple[Call, Reply | None]:
        """A whole request. A reply that comes with it ends it."""
        entry = Entry(request, key, self.name, self.cell, first_byte_at, now)
        self.ledger.entries.append(entry)
        call = Call(entry)
        behaviour = self.behaviour
        if self._falls_over(now) or self._chance(behaviour.reset_before_share):
            self._end(call, now, "reset before it ran")
            return call, Reply(0)
        if (
            behaviour.draining
            or self._chance(behaviour.turn_away_share)
            or len(self._waiting) >= behaviour.queue
        ):
            self._end(call, now, "turned away")
            return call, Reply(503, never_ran=True)
        self._waiting.append(call)
        return call, None

    def give_up(self, now: float, call: Call) -> None:
        """Its connection has ended: what waits is dropped, what runs has run."""
        if call.entry.ended_at is not None:
            return
        if call in self._waiting:
            self._waiting.remove(call)
        else:
            self._running = [item for item in self._running if item[2] is not call]
            heapq.heapify(self._running)
        self._end(call, now, "given up")

    def advance(self, now: float) -> list[tuple[Call, Reply]]:
        """What is done by now."""
        done: list[tuple[Call, Reply]] = []
        if self._frozen_at is not None:
            return done
        while True:
            self._start_work(now)
            if not self._running or self._running[0][0] > now:
                return done
            call = heapq.heappop(self._running)[2]
            done.append((call, self._finish(call, now)))

    def next_due(self) -> float | None:
        """When `advance` has something to do again, if nothing else happens."""
        return self._running[0][0] if self._running and self._frozen_at is None else None

    # --- inside ---

    def _start_work(self, now: float) -> None:
        while self._waiting and len(self._running) < self.behaviour.slots:
            call = self._waiting.popleft()
            entry = call.entry
            if entry.key and not self._keys.is_new(entry.key, now):
                entry.fate = Fate.REPEAT
            else:
                entry.fate, entry.ran_at = Fate.RUNNING, now
            work_s = self.behaviour.latency(self._random) * self.behaviour.slow / self.warmth(now)
            call.due = now + work_s
            self._count += 1
            heapq.heappush(self._running, (call.due, self._count, call))

    def _finish(self, call: Call, now: float) -> Reply:
        if self._chance(self.behaviour.reset_after_share):
            self._end(call, now, "reset after it ran")
            return Reply(0)
        status = 500 if self._chance(self.behaviour.error_share) else 200
        self._end(call, now, f"answered {status}")
        return Reply(status, self.behaviour.body if status == 200 else b"")

    def _end(self, call: Call, now: float, how: str) -> None:
        entry = call.entry
        entry.ended_at, entry.how = now, how
        if entry.fate is Fate.RUNNING:
            entry.fate = Fate.RAN
        elif entry.fate is Fate.WAITING:
            entry.fate = Fate.DROPPED

    def loses(self) -> bool:
        """Whether this answer is never sent."""
        return self._chance(self.behaviour.lose_share)

    def _chance(self, share: float) -> bool:
        return share > 0.0 and self._random.random() < share

    def _falls_over(self, now: float) -> bool:
        cold = self.cold
        if cold is None or self.fallen:
            return self.fallen
        self._arrivals.append(now)
        while self._arrivals[0] <= now - cold.window_s:
            self._arrivals.popleft()
        if self.warmth(now) < 1.0:
            bearable = cold.factor * cold.rate * self.warmth(now) * cold.window_s
            self.cold_peak = max(self.cold_peak, len(self._arrivals) / (bearable + cold.slack))
            if len(self._arrivals) > bearable + cold.slack:
                self.fallen = True
                self.ledger.falls.append((self.name, now))
        return self.fallen
