"""Request classes of the decision module, derived from the configured routes."""

from __future__ import annotations

from dataclasses import dataclass

from cometdoor.balancing import api
from cometdoor.balancing.api import Effect
from cometdoor.dataplane.slots import value_of_priority

IDEMPOTENT_ROUTE_TYPES = ("idempotent", "download")  # their requests may be executed more than once
LATE_VALUE = 0.4  # value of a response after the latency target, relative to one in time


@dataclass(frozen=True, slots=True)
class RequestClassKey:
    """Route properties that matter to the decision module; routes with equal ones share a class."""

    route_type: str
    timeout_ms: float
    latency_target_ms: float
    priority: int
    max_attempts: int


def request_class_of(key: RequestClassKey) -> api.RequestClass:
    """Return the decision module's class for requests of routes with these properties."""
    return api.RequestClass(
        latency_target_ms=key.latency_target_ms,
        deadline_ms=key.timeout_ms,
        effect=Effect.SAFE if key.route_type in IDEMPOTENT_ROUTE_TYPES else Effect.UNSAFE,
        value=value_of_priority(key.priority),
        late_value=LATE_VALUE,
        max_executions=max(key.max_attempts, 1),
    )
