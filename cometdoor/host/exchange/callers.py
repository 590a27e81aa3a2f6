"""Callers' connections."""

from __future__ import annotations

from enum import Enum

from cometdoor.host.exchange.cells import (
    NOT_RUN,
    NOT_RUN_LAST,
    OVER,
    RAN,
    READY,
    UNCLEAR,
    UNCLEAR_KEPT,
    UNDER_WAY,
    Cell,
    Conclusion,
    Connection,
    Impossible,
    Table,
)


class CallerState(Enum):
    NEW = "new"  # nothing has come
    PART = "part"  # some bytes of a request are in
    AT_WORK = "at work"  # a whole request was handed on and is not answered
    AHEAD = "one ahead"  # another whole request is read behind it
    RESTING = "resting"  # answered; the connection is kept
    LEAVING = "leaving"  # answered with Connection: close


class CallerEvent(Enum):
    PART_COMES = "part comes"
    REQUEST_COMES = "request comes"  # its last byte
    BAD_BYTES = "bad bytes"
    TIME_UP = "time up"  # the limit on reading, on resting or on leaving
    ENDED = "ended"  # the caller sends no more
    RESET = "reset"
    SERVED = "served"
    REFUSED = "refused"  # 503
    FAILED = "failed"  # 502


_DROPPED = (CallerEvent.SERVED, CallerEvent.REFUSED, CallerEvent.FAILED)  # where no request is in hand
_NO_LIMIT = Impossible("the request's own deadline runs, no limit of the connection's")
_HAND_ON = {CallerEvent.PART_COMES: UNDER_WAY, CallerEvent.REQUEST_COMES: UNDER_WAY}
_CALLER_ROWS: dict[CallerState, dict[CallerEvent, Cell | Impossible]] = {
    CallerState.NEW: {
        **_HAND_ON,
        CallerEvent.BAD_BYTES: NOT_RUN_LAST,  # 400
        CallerEvent.TIME_UP: OVER,
        CallerEvent.ENDED: OVER,
        CallerEvent.RESET: OVER,
        **dict.fromkeys(_DROPPED, READY),
    },
    CallerState.PART: {
        **_HAND_ON,
        CallerEvent.BAD_BYTES: NOT_RUN_LAST,  # 400
        CallerEvent.TIME_UP: NOT_RUN_LAST,  # 408
        CallerEvent.ENDED: NOT_RUN_LAST,
        CallerEvent.RESET: NOT_RUN_LAST,
        **dict.fromkeys(_DROPPED, UNDER_WAY),
    },
    CallerState.AT_WORK: {
        **_HAND_ON,
        CallerEvent.BAD_BYTES: UNDER_WAY,  # its answer comes first, 400 behind it
        CallerEvent.TIME_UP: _NO_LIMIT,
        CallerEvent.ENDED: UNCLEAR,
        CallerEvent.RESET: UNCLEAR,
        CallerEvent.SERVED: RAN,
        CallerEvent.REFUSED: NOT_RUN,
        CallerEvent.FAILED: UNCLEAR_KEPT,
    },
    CallerState.AHEAD: {
        **_HAND_ON,
        CallerEvent.BAD_BYTES: UNDER_WAY,  # what was read ahead is dropped unsent, 400 in its place
        CallerEvent.TIME_UP: _NO_LIMIT,
        CallerEvent.ENDED: UNCLEAR,  # of the first; the one ahead is never handed on
        CallerEvent.RESET: UNCLEAR,
        CallerEvent.SERVED: Cell(Conclusion.RAN, Connection.IN_USE),  # the one ahead is handed on
        CallerEvent.REFUSED: Cell(Conclusion.NOT_RUN, Connection.IN_USE),
        CallerEvent.FAILED: Cell(Conclusion.MAY_HAVE_RUN, Connection.IN_USE),
    },
    CallerState.RESTING: {
        **_HAND_ON,
        CallerEvent.BAD_BYTES: NOT_RUN_LAST,
        CallerEvent.TIME_UP: OVER,
        CallerEvent.ENDED: OVER,
        CallerEvent.RESET: OVER,
        **dict.fromkeys(_DROPPED, READY),
    },
    CallerState.LEAVING: {
        **dict.fromkeys(CallerEvent, OVER),
        CallerEvent.PART_COMES: NOT_RUN_LAST,  # dropped unread
        CallerEvent.REQUEST_COMES: NOT_RUN_LAST,
        CallerEvent.BAD_BYTES: NOT_RUN_LAST,
    },
}
CALLER: Table[CallerState, CallerEvent] = {
    (state, event): cell for state, row in _CALLER_ROWS.items() for event, cell in row.items()
}
