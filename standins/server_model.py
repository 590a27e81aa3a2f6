"""Model of a server: slots, queue, latency, slow start, idempotency keys, and faults set by the test.

No I/O and no clock: its host passes the time in, in seconds, and carries out the results. The same model
serves on sockets (`http_server`) and in virtual time (`simulation.virtual_network`).
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from standins.request_log import ExecutionState, RequestLog, RequestLogEntry

Latency = Callable[[Random], float]  # draws the seconds of work for one request


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
    """Load limits and faults of a server; may be changed while it runs."""

    latency: Latency = field(default_factory=lambda: fixed(0.0))
    slowdown_factor: float = 1.0  # factor on the duration of work
    slots: int = 64  # concurrent requests
    queue_limit: int = 1024  # waiting requests; further ones are rejected
    error_share: float = 0.0  # of executed requests, answered 500
    rejected_share: float = 0.0  # of requests, answered as not executed
    reset_before_share: float = 0.0  # of requests whose connection is reset before their execution
    reset_after_share: float = 0.0  # of executed requests whose connection is reset before the response
    dropped_response_share: float = 0.0  # of responses that are never sent
    connections: int = 10_000  # limit; further ones are reset
    is_draining: bool = False  # finishes pending requests and rejects new ones
    body: bytes = b"ok"


@dataclass(frozen=True, slots=True)
class SlowStart:
    """Slow start of a server.

    More requests within `window_s` than `overload_factor` times its capacity crash it.
    """

    start: float = 0.3  # share of its capacity at the start
    warm_up_s: float = 9.0
    rate: float = 100.0  # requests a second that it can serve after slow start
    overload_factor: float = 3.0
    window_s: float = 3.0
    slack: float = 4.0  # requests allowed above the limit, for random variation

    def capacity_share(self, uptime_s: float) -> float:
        if uptime_s >= self.warm_up_s:
            return 1.0
        return self.start + (1.0 - self.start) * max(uptime_s, 0.0) / self.warm_up_s


class KeyStore:
    """The keys that the servers of one deduplication group retain together."""

    def __init__(self, ttl_s: float = 60.0) -> None:
        self._ttl_s = ttl_s
        self._first_seen: dict[str, float] = {}

    def is_new(self, key: str, now: float) -> bool:
        since = self._first_seen.get(key)
        if since is not None and now - since < self._ttl_s:
            return False
        self._first_seen[key] = now
        return True


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a call; status 0: its connection is reset."""

    status: int
    body: bytes = b""
    not_executed: bool = False


@dataclass(slots=True, eq=False)
class Call:
    """A request at the server, queued or running."""

    entry: RequestLogEntry
    reset_before: bool = False
    due: float = 0.0


class ServerModel:
    """A server without a clock: decides how each call ends, at the times that are passed in."""

    def __init__(
        self,
        name: str,
        request_log: RequestLog,
        *,
        behaviour: Behaviour | None = None,
        seed: int = 1,
        cell: int = 0,
        keys: KeyStore | None = None,
        slow_start: SlowStart | None = None,
        started_at: float = -math.inf,
    ) -> None:
        self.name = name
        self.cell = cell
        self.behaviour = behaviour or Behaviour()
        self.request_log = request_log
        self.slow_start = slow_start
        self.started_at = started_at
        self.has_crashed = False
        # Maximum number of requests in a window during slow start, relative to the number that crashes it.
        self.slow_start_peak = 0.0
        self._keys = keys or KeyStore()
        self._random = Random(f"{seed}:{name}")
        self._queue: deque[Call] = deque()
        self._running: list[tuple[float, int, Call]] = []  # heap by due time
        self._started_count = 0
        self._arrivals: deque[float] = deque()
        self._frozen_at: float | None = None

    @property
    def is_frozen(self) -> bool:
        return self._frozen_at is not None

    def pending_count(self) -> int:
        return len(self._queue) + len(self._running)

    def freeze(self, now: float) -> None:
        """Freeze: keep accepting connections and requests, but process nothing."""
        if self._frozen_at is None:
            self._frozen_at = now

    def thaw(self, now: float) -> None:
        if self._frozen_at is not None:
            frozen_s, self._frozen_at = now - self._frozen_at, None
            self._running = [(due + frozen_s, number, call) for due, number, call in self._running]

    def restart(self, now: float) -> None:
        """Restart the process with slow start and without pending requests; the group's keys are kept."""
        for call in [*self._queue, *(call for _, _, call in self._running)]:
            self._end(call, now, "the server restarted")
        self._queue.clear()
        self._running.clear()
        self._arrivals.clear()
        self.has_crashed, self._frozen_at, self.started_at = False, None, now

    def capacity_share(self, now: float) -> float:
        return 1.0 if self.slow_start is None else self.slow_start.capacity_share(now - self.started_at)

    def arrive(self, now: float, request: str, key: str, first_byte_at: float) -> tuple[Call, Reply | None]:
        """Accept a complete request; if a reply is returned with it, the call has ended."""
        entry = RequestLogEntry(request, key, self.name, self.cell, first_byte_at, now)
        self.request_log.entries.append(entry)
        call = Call(entry)
        behaviour = self.behaviour
        if self._crashes_under_load(now) or self._happens(behaviour.reset_before_share):
            self._end(call, now, "connection reset before execution")
            return call, Reply(0)
        if (
            behaviour.is_draining
            or self._happens(behaviour.rejected_share)
            or len(self._queue) >= behaviour.queue_limit
        ):
            self._end(call, now, "rejected")
            return call, Reply(503, not_executed=True)
        self._queue.append(call)
        return call, None

    def abandon(self, now: float, call: Call) -> None:
        """Handle a closed connection: drop a queued call; a running one counts as executed."""
        if call.entry.ended_at is not None:
            return
        if call in self._queue:
            self._queue.remove(call)
        else:
            self._running = [item for item in self._running if item[2] is not call]
            heapq.heapify(self._running)
        self._end(call, now, "given up")

    def advance(self, now: float) -> list[tuple[Call, Reply]]:
        """Return the calls that have ended by now."""
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
        """Return when `advance` must be called next if nothing else happens."""
        return self._running[0][0] if self._running and self._frozen_at is None else None

    # --- internal ---

    def _start_work(self, now: float) -> None:
        while self._queue and len(self._running) < self.behaviour.slots:
            call = self._queue.popleft()
            entry = call.entry
            if entry.key and not self._keys.is_new(entry.key, now):
                entry.execution_state = ExecutionState.DEDUPLICATED
            else:
                entry.execution_state, entry.executed_at = ExecutionState.RUNNING, now
            work_s = (
                self.behaviour.latency(self._random)
                * self.behaviour.slowdown_factor
                / self.capacity_share(now)
            )
            call.due = now + work_s
            self._started_count += 1
            heapq.heappush(self._running, (call.due, self._started_count, call))

    def _finish(self, call: Call, now: float) -> Reply:
        if self._happens(self.behaviour.reset_after_share):
            self._end(call, now, "connection reset after execution")
            return Reply(0)
        status = 500 if self._happens(self.behaviour.error_share) else 200
        self._end(call, now, f"answered {status}")
        return Reply(status, self.behaviour.body if status == 200 else b"")

    def _end(self, call: Call, now: float, end_reason: str) -> None:
        entry = call.entry
        entry.ended_at, entry.end_reason = now, end_reason
        if entry.execution_state is ExecutionState.RUNNING:
            entry.execution_state = ExecutionState.EXECUTED
        elif entry.execution_state is ExecutionState.QUEUED:
            entry.execution_state = ExecutionState.DROPPED

    def drops_response(self) -> bool:
        """Draw whether this response is never sent."""
        return self._happens(self.behaviour.dropped_response_share)

    def _happens(self, share: float) -> bool:
        return share > 0.0 and self._random.random() < share

    def _crashes_under_load(self, now: float) -> bool:
        slow_start = self.slow_start
        if slow_start is None or self.has_crashed:
            return self.has_crashed
        self._arrivals.append(now)
        while self._arrivals[0] <= now - slow_start.window_s:
            self._arrivals.popleft()
        if self.capacity_share(now) < 1.0:
            limit = (
                slow_start.overload_factor * slow_start.rate * self.capacity_share(now) * slow_start.window_s
            )
            self.slow_start_peak = max(self.slow_start_peak, len(self._arrivals) / (limit + slow_start.slack))
            if len(self._arrivals) > limit + slow_start.slack:
                self.has_crashed = True
                self.request_log.overload_crashes.append((self.name, now))
        return self.has_crashed
