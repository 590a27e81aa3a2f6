"""Concurrency slots of one backend, and the queue for them. No I/O; callers pass the time, in milliseconds.

All requests to a backend pass through its inbound proxy, which therefore has the exact number in flight. A
free slot goes to the request with the earliest due time. If not all queued requests can be served in time,
the one with the lowest value per millisecond of execution is rejected immediately, while another backend may
still serve it. The queue is therefore bounded by time, not by count.
"""

from __future__ import annotations

from bisect import insort
from collections import Counter
from collections.abc import Hashable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from cometdoor.balancing import api
from cometdoor.balancing.admission import ClassValues
from cometdoor.balancing.decaying_average import DecayingAverage

# Share of its latency target for which a request may be queued. The rest is left for its execution, and for
# an attempt at another backend if the predicted wait was wrong.
MAX_WAIT_SHARE_OF_TARGET = 0.5
PRIOR_EXECUTION_MS = 100.0  # assumed duration of an execution until some have ended
PRIOR_COUNT = 2.0  # weight of the assumed duration, in executions
MAX_SHED_GROUPS = 64  # shed groups that are remembered; requests of a group arrive within milliseconds
URGENT_PRIORITY = 1  # requests of this or a higher priority (0 is the highest) have twice the value
# Weights of the total value and of the worst-served kind of requests, as in the users' deployments. With the
# value as the only criterion, hardly any download is served during a long shortage of capacity.
TOTAL_VALUE_WEIGHT, WORST_CLASS_WEIGHT = 0.5, 0.15


def value_of_priority(priority: int) -> float:
    """Return the value of serving one request in time, by its route's priority."""
    return 2.0 if priority <= URGENT_PRIORITY else 1.0


class RequestKind(NamedTuple):
    """The properties by which the inbound proxy groups requests."""

    priority: int
    latency_target_ms: float
    is_not_idempotent: bool

    def label(self) -> str:
        """Return the name of the kind in log lines."""
        return f"p{self.priority} {self.latency_target_ms:g}ms"


@dataclass(order=True)
class SlotRequest:
    """One request for a slot, ordered by due time and then by number."""

    due_ms: float  # arrival plus latency target
    number: int
    kind: RequestKind = field(compare=False)
    expires_at_ms: float = field(compare=False)  # deadline of its caller
    arrived_at_ms: float = field(compare=False)
    admitted_share: float = field(default=1.0, compare=False)  # of its class, at the calling proxy
    # Group of requests of the same kind that one execution of a caller sent together; None if sent alone.
    group: Hashable = field(default=None, compare=False)
    group_size: float = field(default=1.0, compare=False)  # mean size of the calling proxy's groups
    started_at_ms: float = field(default=0.0, compare=False)  # when it got a slot; 0 before that


class RequestKindValues:
    """Marginal value of serving one more request of each kind, per millisecond of its execution."""

    def __init__(self) -> None:
        self._indexes: dict[RequestKind, int] = {}
        self._execution_ms: list[DecayingAverage] = []
        self._settings: api.Settings | None = None
        self._class_values: ClassValues | None = None

    def index(self, kind: RequestKind) -> int:
        """Return the index of the class for this kind in `ClassValues`; a new kind gets a new class."""
        index = self._indexes.get(kind)
        if index is None:
            index = self._indexes[kind] = len(self._execution_ms)
            self._execution_ms.append(DecayingAverage())
            request_class = api.RequestClass(
                latency_target_ms=kind.latency_target_ms,
                deadline_ms=kind.latency_target_ms,
                value=value_of_priority(kind.priority),
            )
            if self._settings is None or self._class_values is None:
                self._settings = api.Settings(
                    classes=(request_class,),
                    total_value_weight=TOTAL_VALUE_WEIGHT,
                    worst_class_weight=WORST_CLASS_WEIGHT,
                )
                self._class_values = ClassValues(self._settings)
            else:
                self._settings = replace(self._settings, classes=(*self._settings.classes, request_class))
                self._class_values.add_class(self._settings)
        return index

    def record_execution(self, request: SlotRequest, now: float) -> None:
        """Record the duration of a completed execution."""
        self._execution_ms[self.index(request.kind)].add(now - request.started_at_ms, now)

    def record_decision(self, request: SlotRequest, granted: bool, now: float) -> None:
        """Record whether the request got a slot or was rejected."""
        index = self.index(request.kind)
        assert self._class_values is not None
        self._class_values.on_request_ended(index, request.admitted_share if granted else 0.0, 1.0, now)

    def value(self, request: SlotRequest, now: float) -> float:
        """Return the request's value per millisecond of execution; a group counts as one request."""
        index = self.index(request.kind)
        assert self._class_values is not None
        execution_ms = self._execution_ms[index].mean(PRIOR_EXECUTION_MS, PRIOR_COUNT, now)
        return self._class_values.marginal_values(now)[index] / (execution_ms * request.group_size)


class ConcurrencySlots:
    """Assigns the slots of one backend to requests, queues requests, and rejects those that would be late."""

    def __init__(self) -> None:
        self.capacity = 1
        self.in_flight = 0
        self.queued: list[SlotRequest] = []  # ordered by due time
        self._kind_values = RequestKindValues()
        self._counts: Counter[str] = Counter()
        self._shed_groups: dict[tuple[RequestKind, Hashable], None] = {}  # oldest first
        self._execution_ms = DecayingAverage()
        self._wait_ms = DecayingAverage()
        self._last_number = 0

    def new_request(
        self,
        kind: RequestKind,
        remaining_ms: float,
        now: float,
        *,
        admitted_share: float = 1.0,
        group: Hashable = None,
        group_size: float = 1.0,
    ) -> SlotRequest:
        """Create a request that arrived at `now`, for use with `submit`."""
        self._last_number += 1
        return SlotRequest(
            now + kind.latency_target_ms,
            self._last_number,
            kind,
            now + remaining_ms,
            now,
            admitted_share,
            group,
            group_size,
        )

    def mean_execution_ms(self, now: float) -> float:
        """Return the mean duration of recent executions of all kinds."""
        return self._execution_ms.mean(PRIOR_EXECUTION_MS, PRIOR_COUNT, now)

    def expected_wait_ms(self, ahead: int, now: float) -> float:
        """Return the predicted queueing time of a request with `ahead` others in front of it."""
        excess = self.in_flight - self.capacity + 1 + ahead
        # On average, the first slot is released after half an execution, each later one after a whole one.
        return max(excess - 0.5, 0.0) * self.mean_execution_ms(now) / self.capacity if excess > 0 else 0.0

    def submit(self, request: SlotRequest, now: float) -> list[SlotRequest]:
        """Start or queue the request; return the requests that are shed, which may include this one."""
        if self.in_flight < self.capacity and not self.queued:
            self._start(request, now)
            return []
        if request.group is not None and (request.kind, request.group) in self._shed_groups:
            self._record_rejection(request, "shed", now)
            return [request]
        insort(self.queued, request)
        rejected = []
        while (late_index := self._first_late_index(now)) is not None:
            # Shed the least valuable among the first late request and those ahead of it; of equally valuable
            # ones the newest.
            least_valuable = min(
                self.queued[: late_index + 1],
                key=lambda candidate: (self._kind_values.value(candidate, now), -candidate.number),
            )
            rejected += self._shed_group(least_valuable, now)
        return rejected

    def _shed_group(self, request: SlotRequest, now: float) -> list[SlotRequest]:
        """Remove a request and its group, since the execution that sent them needs all of them."""
        rejected = [
            candidate
            for candidate in self.queued
            if candidate is request
            or (
                candidate.group is not None
                and candidate.group == request.group
                and candidate.kind == request.kind
            )
        ]
        for candidate in rejected:
            self.queued.remove(candidate)
            self._record_rejection(candidate, "shed", now)
        if request.group is not None:
            self._shed_groups[request.kind, request.group] = None
            if len(self._shed_groups) > MAX_SHED_GROUPS:
                del self._shed_groups[next(iter(self._shed_groups))]
        return rejected

    def _first_late_index(self, now: float) -> int | None:
        """Return the index of the first queued request that is predicted to be late."""
        mean_ms = self.mean_execution_ms(now)
        for ahead, request in enumerate(self.queued):
            wait_ms = self.expected_wait_ms(ahead, now)
            if (
                now - request.arrived_at_ms + wait_ms
                > MAX_WAIT_SHARE_OF_TARGET * request.kind.latency_target_ms
                or now + wait_ms + 0.5 * mean_ms > request.expires_at_ms
            ):
                return ahead
        return None

    def _start(self, request: SlotRequest, now: float) -> None:
        request.started_at_ms = now
        self._wait_ms.add(now - request.arrived_at_ms, now)
        self.in_flight += 1
        self._kind_values.record_decision(request, True, now)
        self._counts[f"{request.kind.label()} started"] += 1

    def release(self, request: SlotRequest, now: float, completed: bool) -> None:
        """Release the request's slot; only durations of completed executions are used for predictions."""
        self.in_flight -= 1
        if completed:
            self._execution_ms.add(now - request.started_at_ms, now)
            self._kind_values.record_execution(request, now)

    def start_next(self, now: float) -> SlotRequest | None:
        """Start and return the request with the earliest due time, if a slot is free."""
        if not self.queued or self.in_flight >= self.capacity:
            return None
        request = self.queued.pop(0)
        self._start(request, now)
        return request

    def remove_overdue(self, now: float) -> list[SlotRequest]:
        """Remove and return requests that were queued for too long or whose deadline has passed."""
        rejected = [
            request
            for request in self.queued
            if now - request.arrived_at_ms > MAX_WAIT_SHARE_OF_TARGET * request.kind.latency_target_ms
            or now >= request.expires_at_ms
        ]
        if rejected:
            removed_numbers = {request.number for request in rejected}
            self.queued = [request for request in self.queued if request.number not in removed_numbers]
            for request in rejected:
                self._record_rejection(request, "overdue", now)
        return rejected

    def _record_rejection(self, request: SlotRequest, reason: str, now: float) -> None:
        self._kind_values.record_decision(request, False, now)
        self._counts[f"{request.kind.label()} {reason}"] += 1

    def report(self, now: float) -> dict[str, float]:
        """Return counts since the last report for the log: started, shed and overdue requests by kind."""
        counts, self._counts = self._counts, Counter()
        if not counts:
            return {}
        return {
            **counts,
            "mean_wait_ms": round(self._wait_ms.mean(0.0, 1.0, now), 1),
            "mean_execution_ms": round(self.mean_execution_ms(now), 1),
        }

    def cancel(self, request: SlotRequest) -> bool:
        """Remove a request from the queue; return whether it was queued."""
        if request in self.queued:
            self.queued.remove(request)
            return True
        return False
