"""Connections from the inbound proxy to its backend."""

from __future__ import annotations

from enum import Enum

from cometdoor.host.exchange.cells import (
    NOT_RUN,
    NOT_RUN_LAST,
    OVER,
    RAN,
    RAN_LAST,
    UNCLEAR,
    UNDER_WAY,
    Cell,
    Connection,
    Impossible,
    Table,
)


class BackendState(Enum):
    """How far an exchange has come before the event."""

    RESTING = "resting"  # kept, no exchange on it
    CONNECTING = "connecting"
    OPEN = "open"  # connected; no byte of the request was accepted
    HALF = "half written"  # some were, not the last
    WRITTEN = "written"  # all were; nothing of an answer is in
    ANSWERING = "answering"  # some bytes of an answer are in
    AFTER_SURPLUS = "after surplus"  # all were written; another's answer, an interim one or line ends came


class BackendEvent(Enum):
    REFUSED = "refused"
    RESET = "reset"  # or no way there
    CLOSED = "closed"  # in order
    SILENT = "silent"  # the time is up
    SPOILT = "no answer"  # bytes that form none, or one whose end can't be told
    TOO_LONG = "too long"
    INTERIM = "interim"  # 1xx
    ANSWERED = "answered"  # a whole answer with the request's id; its failures too
    ANSWERED_LAST = "answered, last"  # with Connection: close
    ANSWERED_WITH_MORE = "answered, with more"  # and bytes behind it
    TURNED_AWAY = "turned away"  # it says with the id that it has not run
    ANOTHERS = "another's"  # a whole answer with another id
    UNNAMED = "unnamed"  # a whole answer without an id, or with several
    ENCODED = "encoded"  # with the id and a Content-Encoding: not the backend's body
    UNPROVEN = "unproven"  # a success without its seal, or one that says that it has not run
    CALLED_OFF = "called off"  # nobody waits any more, and it may run again
    CALLED_OFF_ONCE = "called off, once"  # nobody waits any more, and it may not


_NOBODY = Impossible("there is no connection yet")
_SAME_TURN = Impossible("the first write follows in the same turn of the loop")
_IS_OPEN = Impossible("it is connected")
_ON_WIRE: dict[BackendEvent, Cell | Impossible] = {
    BackendEvent.REFUSED: _IS_OPEN,
    BackendEvent.RESET: UNCLEAR,
    BackendEvent.CLOSED: UNCLEAR,
    BackendEvent.SILENT: UNCLEAR,
    BackendEvent.SPOILT: UNCLEAR,
    BackendEvent.TOO_LONG: UNCLEAR,
    BackendEvent.INTERIM: UNDER_WAY,
    BackendEvent.ANSWERED: RAN,
    BackendEvent.ANSWERED_LAST: RAN_LAST,
    BackendEvent.ANSWERED_WITH_MORE: RAN_LAST,
    BackendEvent.TURNED_AWAY: NOT_RUN,
    BackendEvent.ANOTHERS: UNDER_WAY,
    BackendEvent.UNNAMED: UNCLEAR,
    BackendEvent.ENCODED: UNCLEAR,
    BackendEvent.UNPROVEN: UNCLEAR,
    BackendEvent.CALLED_OFF: UNCLEAR,
    BackendEvent.CALLED_OFF_ONCE: UNDER_WAY,  # the work is not broken off
}
_TAINTED = _ON_WIRE | {BackendEvent.ANSWERED: RAN_LAST, BackendEvent.TURNED_AWAY: NOT_RUN_LAST}
_BACKEND_ROWS: dict[BackendState, dict[BackendEvent, Cell | Impossible]] = {
    BackendState.RESTING: dict.fromkeys(BackendEvent, OVER)
    | {
        BackendEvent.REFUSED: _IS_OPEN,
        BackendEvent.CALLED_OFF: Impossible("there is no exchange"),
        BackendEvent.CALLED_OFF_ONCE: Impossible("there is no exchange"),
    },
    BackendState.CONNECTING: dict.fromkeys(BackendEvent, _NOBODY)
    | {
        BackendEvent.REFUSED: NOT_RUN_LAST,
        BackendEvent.RESET: NOT_RUN_LAST,
        BackendEvent.SILENT: NOT_RUN_LAST,
        BackendEvent.CALLED_OFF: NOT_RUN_LAST,
        BackendEvent.CALLED_OFF_ONCE: UNDER_WAY,
    },
    BackendState.OPEN: dict.fromkeys(BackendEvent, _SAME_TURN) | {BackendEvent.RESET: NOT_RUN_LAST},
    BackendState.HALF: _TAINTED,
    BackendState.WRITTEN: _ON_WIRE,
    BackendState.ANSWERING: _ON_WIRE,
    BackendState.AFTER_SURPLUS: _TAINTED,
}
BACKEND: Table[BackendState, BackendEvent] = {
    (state, event): cell for state, row in _BACKEND_ROWS.items() for event, cell in row.items()
}
# The cells after which a connection is used again, for the code that asks at each answer.
KEEPS = frozenset(
    place for place, cell in BACKEND.items() if isinstance(cell, Cell) and cell.connection is Connection.KEPT
)
