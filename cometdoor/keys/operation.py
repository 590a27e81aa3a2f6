"""Record of one key's operation at one proxy. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic

from cometdoor.keys.actions import WaiterT
from cometdoor.keys.operation_stages import OperationStage
from cometdoor.wire.forwarding import ForwardResponse
from cometdoor.wire.keys import OperationReply


@dataclass(frozen=True, slots=True)
class WaitingAttempt(Generic[WaiterT]):
    """An attempt that waits for the outcome of an operation."""

    waiter: WaiterT
    arrived_at: float  # seconds


@dataclass
class Operation(Generic[WaiterT]):
    """Record of one key's operation."""

    key: str
    claim_id: str  # id of this proxy's latest claim on the key
    claimed_at: float  # when the claim was submitted or renewed last, seconds
    stage: OperationStage = OperationStage.CLAIMING
    response: ForwardResponse | None = None
    waiting: list[WaitingAttempt[WaiterT]] = field(default_factory=list)  # by time of arrival
    executing_waiter: WaiterT | None = None  # attempt whose request is being executed
    # Claims under which nothing is executed any more.
    released_claim_ids: set[str] = field(default_factory=set)
    # Callbacks that send the outcome to other proxies which have queried it.
    outcome_listeners: list[Callable[[OperationReply], None]] = field(default_factory=list)

    def pop_waiters(self) -> list[WaiterT]:
        """Remove and return all waiting attempts."""
        waiters = [attempt.waiter for attempt in self.waiting]
        self.waiting = []
        return waiters
