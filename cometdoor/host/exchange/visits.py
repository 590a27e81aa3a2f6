"""Requests at the inbound proxy, waiting or at work."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from cometdoor.host.exchange.cells import Conclusion, Impossible


class VisitState(Enum):
    """Of one request that a line has handed to the inbound proxy."""

    WAITING = "waiting"  # for a slot at the backend; nothing of it was written
    AT_WORK = "at work"  # it has a slot, and was written
    AT_WORK_ONCE = "at work, once"  # likewise, and it may not run twice
    OVER = "over"  # replied to


class VisitEvent(Enum):
    CALLED_OFF = "called off"  # by its caller's proxy
    LINE_LOST = "line lost"
    GONE = "backend gone"
    REPLACED = "backend replaced"  # by another life at its address
    DRAINED = "drain nearly over"
    OVERDUE = "overdue"  # it has waited for longer than it may
    SLOT_FREE = "slot free"


class Slot(Enum):
    """The request's place at the backend."""

    NONE = "no slot"  # it has none, and never will have one
    HELD = "holds a slot"


@dataclass(frozen=True, slots=True)
class VisitCell:
    conclusion: Conclusion
    slot: Slot
    is_told: bool = False  # whether the caller's proxy is told so


_WITHDRAWN = VisitCell(Conclusion.NOT_RUN, Slot.NONE)
_TURNED_AWAY = VisitCell(Conclusion.NOT_RUN, Slot.NONE, is_told=True)
_BROKEN_OFF = VisitCell(Conclusion.MAY_HAVE_RUN, Slot.NONE)
_GOES_ON = VisitCell(Conclusion.NOTHING, Slot.HELD)
_PAST = VisitCell(Conclusion.NOTHING, Slot.NONE)
_HAS_SLOT = Impossible("it has a slot")
_WORKS: dict[VisitEvent, VisitCell | Impossible] = {
    # What is under way may end; its connection is not used again where the backend is another.
    VisitEvent.GONE: _GOES_ON,
    VisitEvent.REPLACED: _GOES_ON,
    VisitEvent.DRAINED: _GOES_ON,
    VisitEvent.OVERDUE: _HAS_SLOT,
    VisitEvent.SLOT_FREE: _HAS_SLOT,
}
_VISIT_ROWS: dict[VisitState, dict[VisitEvent, VisitCell | Impossible]] = {
    VisitState.WAITING: {
        VisitEvent.CALLED_OFF: _WITHDRAWN,
        VisitEvent.LINE_LOST: _WITHDRAWN,
        VisitEvent.GONE: _TURNED_AWAY,
        VisitEvent.REPLACED: _TURNED_AWAY,
        VisitEvent.DRAINED: _TURNED_AWAY,
        VisitEvent.OVERDUE: _TURNED_AWAY,
        VisitEvent.SLOT_FREE: _GOES_ON,
    },
    VisitState.AT_WORK: {
        VisitEvent.CALLED_OFF: _BROKEN_OFF,
        VisitEvent.LINE_LOST: _BROKEN_OFF,
        **_WORKS,
    },
    VisitState.AT_WORK_ONCE: {
        VisitEvent.CALLED_OFF: _GOES_ON,
        VisitEvent.LINE_LOST: _GOES_ON,
        **_WORKS,
    },
    VisitState.OVER: {
        **dict.fromkeys(VisitEvent, _PAST),
        VisitEvent.OVERDUE: Impossible("it waits for nothing"),
        VisitEvent.SLOT_FREE: Impossible("it waits for nothing"),
    },
}
VISIT: Mapping[tuple[VisitState, VisitEvent], VisitCell | Impossible] = {
    (state, event): cell for state, row in _VISIT_ROWS.items() for event, cell in row.items()
}
