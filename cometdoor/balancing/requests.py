"""Records of requests and their attempts. No decisions are made here.

Plain classes instead of dataclasses, which would take 2 ms more to import.
"""

from __future__ import annotations

from cometdoor.balancing import api
from cometdoor.balancing.endpoints import EndpointRecord


class Attempt:
    """An attempt: a request sent to one endpoint. Times are in milliseconds."""

    __slots__ = ("endpoint", "expected_ms", "has_ended", "idle_ms", "not_executed", "sent_at")

    def __init__(self, endpoint: EndpointRecord, sent_at: float, expected_ms: float, idle_ms: float) -> None:
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.expected_ms = expected_ms  # latency that was expected when it was sent
        self.idle_ms = idle_ms  # how long its connection had been idle; 0 for a new one
        self.has_ended = self.not_executed = False


class Request:
    """A request from its arrival until its last attempt has ended. Times are in milliseconds."""

    __slots__ = (
        "abandon_at",
        "arrived_at",
        "attempts",
        "class_index",
        "cls",
        "hedge_index",
        "id",
        "is_late",
        "is_open",
        "is_queued",
        "is_stalled",
        "is_streaming",
        "timer_token",
        "value_share",
    )

    def __init__(
        self,
        id: str,
        class_index: int,
        cls: api.RequestClass,
        value_share: float,
        *,
        arrived_at: float,
        abandon_at: float,
    ) -> None:
        self.id = id
        self.class_index = class_index
        self.cls = cls
        self.value_share = value_share  # share of its class's value that it can still earn
        self.arrived_at = arrived_at
        self.abandon_at = abandon_at
        self.is_queued = False  # in the admission queue
        self.is_late = False  # the hedge delay has passed
        self.is_stalled = False  # overdue: no longer counted as in flight by admission control
        self.is_streaming = False  # a streamed response has started: no other attempt may respond
        self.timer_token = 0  # token of its current timer; timers with other tokens are ignored
        self.attempts: list[Attempt] = []
        self.hedge_index = 0  # index of the hedge among the attempts; 0: there is none
        self.is_open = True  # the client has no final response yet

    def outstanding(self) -> int:
        """Return the number of attempts in flight."""
        return sum(not attempt.has_ended for attempt in self.attempts)

    def first_execution(self) -> Attempt | None:
        """Return the first attempt that was executed or still can be."""
        return next((attempt for attempt in self.attempts if not attempt.not_executed), None)
