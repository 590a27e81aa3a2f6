"""Table of requests at the inbound proxy, waiting for a slot or executing."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from cometdoor.host.exchange.table import Conclusion, Impossible


class InboundRequestState(Enum):
    """State of one request that a peer has sent to the inbound proxy."""

    WAITING = "waiting"  # it waits for a slot at the backend; no byte of it was written
    EXECUTING = "executing"  # it has a slot, and was written to the backend
    EXECUTING_NON_IDEMPOTENT = "executing, not idempotent"  # likewise, and it is not idempotent
    FINISHED = "finished"  # a reply was sent


class InboundRequestEvent(Enum):
    """Events from the caller's proxy, the backend, or the timeouts."""

    CANCELLED = "cancelled"  # the caller's proxy cancelled the request
    CONNECTION_LOST = "connection lost"
    BACKEND_REMOVED = "backend removed"
    BACKEND_REPLACED = "backend replaced"  # another incarnation listens at its address
    DRAIN_ENDING = "drain ending"
    WAIT_TIMED_OUT = "wait timed out"  # the maximum wait for a slot has passed
    SLOT_FREE = "slot free"


class Slot(Enum):
    """Whether the request has a concurrency slot at the backend."""

    NONE = "no slot"  # the request has none and will not get one
    HELD = "holds a slot"


@dataclass(frozen=True, slots=True)
class InboundRequestCell:
    """The result of an event; `is_reported`: whether a reply is sent to the caller's proxy."""

    conclusion: Conclusion
    slot: Slot
    is_reported: bool = False


_CANCELLED_WAITING = InboundRequestCell(Conclusion.NOT_EXECUTED, Slot.NONE)
_REJECTED = InboundRequestCell(Conclusion.NOT_EXECUTED, Slot.NONE, is_reported=True)
_ABORTED = InboundRequestCell(Conclusion.MAY_HAVE_EXECUTED, Slot.NONE)
_CONTINUES = InboundRequestCell(Conclusion.PENDING, Slot.HELD)
_ALREADY_FINISHED = InboundRequestCell(Conclusion.PENDING, Slot.NONE)
_HAS_SLOT = Impossible("it has a slot")
_EXECUTING_ROW: dict[InboundRequestEvent, InboundRequestCell | Impossible] = {
    # Requests in flight may complete; their connections are not reused if the backend was replaced.
    InboundRequestEvent.BACKEND_REMOVED: _CONTINUES,
    InboundRequestEvent.BACKEND_REPLACED: _CONTINUES,
    InboundRequestEvent.DRAIN_ENDING: _CONTINUES,
    InboundRequestEvent.WAIT_TIMED_OUT: _HAS_SLOT,
    InboundRequestEvent.SLOT_FREE: _HAS_SLOT,
}
_INBOUND_REQUEST_ROWS: dict[
    InboundRequestState, dict[InboundRequestEvent, InboundRequestCell | Impossible]
] = {
    InboundRequestState.WAITING: {
        InboundRequestEvent.CANCELLED: _CANCELLED_WAITING,
        InboundRequestEvent.CONNECTION_LOST: _CANCELLED_WAITING,
        InboundRequestEvent.BACKEND_REMOVED: _REJECTED,
        InboundRequestEvent.BACKEND_REPLACED: _REJECTED,
        InboundRequestEvent.DRAIN_ENDING: _REJECTED,
        InboundRequestEvent.WAIT_TIMED_OUT: _REJECTED,
        InboundRequestEvent.SLOT_FREE: _CONTINUES,
    },
    InboundRequestState.EXECUTING: {
        InboundRequestEvent.CANCELLED: _ABORTED,
        InboundRequestEvent.CONNECTION_LOST: _ABORTED,
        **_EXECUTING_ROW,
    },
    InboundRequestState.EXECUTING_NON_IDEMPOTENT: {
        InboundRequestEvent.CANCELLED: _CONTINUES,
        InboundRequestEvent.CONNECTION_LOST: _CONTINUES,
        **_EXECUTING_ROW,
    },
    InboundRequestState.FINISHED: {
        **dict.fromkeys(InboundRequestEvent, _ALREADY_FINISHED),
        InboundRequestEvent.WAIT_TIMED_OUT: Impossible("it waits for nothing"),
        InboundRequestEvent.SLOT_FREE: Impossible("it waits for nothing"),
    },
}
INBOUND_REQUEST: Mapping[tuple[InboundRequestState, InboundRequestEvent], InboundRequestCell | Impossible] = {
    (state, event): cell for state, row in _INBOUND_REQUEST_ROWS.items() for event, cell in row.items()
}
