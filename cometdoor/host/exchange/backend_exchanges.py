"""Table of exchanges on a connection from the inbound proxy to its backend."""

from __future__ import annotations

from enum import Enum

from cometdoor.host.exchange.table import (
    EXECUTED,
    EXECUTED_CLOSED,
    FINISHED,
    IN_PROGRESS,
    NOT_EXECUTED,
    NOT_EXECUTED_CLOSED,
    UNKNOWN_CLOSED,
    ConnectionState,
    Impossible,
    Table,
    TableCell,
)


class BackendExchangeState(Enum):
    """How far the exchange has come before the event."""

    IDLE = "idle"  # the connection has no exchange
    CONNECTING = "connecting"
    CONNECTED = "connected"  # the kernel has accepted no byte of the request yet
    PARTIALLY_WRITTEN = "partially written"  # some bytes were written, but not the last
    WRITTEN = "written"  # all bytes were written; no byte of a response was received
    RECEIVING = "receiving"  # some bytes of a response were received
    AFTER_EXTRA_BYTES = "after extra bytes"  # written; line ends, or an interim or other response came


class BackendExchangeEvent(Enum):
    """What happens on the connection, or to the request."""

    REFUSED = "refused"
    RESET = "reset"  # the connection was reset, or the host is unreachable
    CLOSED = "closed"  # the backend closed the connection without an error
    TIMED_OUT = "timed out"
    MALFORMED = "malformed"  # not a valid response
    TOO_LARGE = "too large"
    INTERIM = "interim"  # 1xx
    RESPONSE = "response"  # a complete response with the request's id and any status
    RESPONSE_WITH_CLOSE = "response with close"  # with Connection: close
    RESPONSE_UNTIL_CLOSE = "response until close"  # without a length, complete when the connection ends
    RESPONSE_WITH_EXTRA_BYTES = "response with extra bytes"  # followed by bytes that don't belong to it
    REJECTED = "rejected"  # a complete response with the request's id: it was not executed
    RESPONSE_TO_ANOTHER = "response to another"  # a complete response with another id
    WITHOUT_ID = "without id"  # a complete response without an id, or with several ids
    ENCODED = "encoded"  # with the id and a Content-Encoding: not the backend's body
    UNPROVEN = "unproven"  # a success without a seal, or one that reports "not executed"
    CANCELLED = "cancelled"  # the caller no longer waits, and the request is idempotent
    CANCELLED_NON_IDEMPOTENT = "cancelled, not idempotent"  # likewise, but it is not idempotent


_NOT_CONNECTED = Impossible("there is no connection yet")
_WRITTEN_IMMEDIATELY = Impossible("the first write follows in the same turn of the loop")
_ALREADY_CONNECTED = Impossible("it is connected")
_WRITTEN_ROW: dict[BackendExchangeEvent, TableCell | Impossible] = {
    BackendExchangeEvent.REFUSED: _ALREADY_CONNECTED,
    BackendExchangeEvent.RESET: UNKNOWN_CLOSED,
    BackendExchangeEvent.CLOSED: UNKNOWN_CLOSED,
    BackendExchangeEvent.TIMED_OUT: UNKNOWN_CLOSED,
    BackendExchangeEvent.MALFORMED: UNKNOWN_CLOSED,
    BackendExchangeEvent.TOO_LARGE: UNKNOWN_CLOSED,
    BackendExchangeEvent.INTERIM: IN_PROGRESS,
    BackendExchangeEvent.RESPONSE: EXECUTED,
    BackendExchangeEvent.RESPONSE_WITH_CLOSE: EXECUTED_CLOSED,
    BackendExchangeEvent.RESPONSE_UNTIL_CLOSE: EXECUTED_CLOSED,
    BackendExchangeEvent.RESPONSE_WITH_EXTRA_BYTES: EXECUTED_CLOSED,
    BackendExchangeEvent.REJECTED: NOT_EXECUTED,
    BackendExchangeEvent.RESPONSE_TO_ANOTHER: IN_PROGRESS,
    BackendExchangeEvent.WITHOUT_ID: UNKNOWN_CLOSED,
    BackendExchangeEvent.ENCODED: UNKNOWN_CLOSED,
    BackendExchangeEvent.UNPROVEN: UNKNOWN_CLOSED,
    BackendExchangeEvent.CANCELLED: UNKNOWN_CLOSED,
    BackendExchangeEvent.CANCELLED_NON_IDEMPOTENT: IN_PROGRESS,  # the execution is not aborted
}
_EXTRA_BYTES_ROW = _WRITTEN_ROW | {
    BackendExchangeEvent.RESPONSE: EXECUTED_CLOSED,
    BackendExchangeEvent.REJECTED: NOT_EXECUTED_CLOSED,
}
_BACKEND_ROWS: dict[BackendExchangeState, dict[BackendExchangeEvent, TableCell | Impossible]] = {
    BackendExchangeState.IDLE: dict.fromkeys(BackendExchangeEvent, FINISHED)
    | {
        BackendExchangeEvent.REFUSED: _ALREADY_CONNECTED,
        BackendExchangeEvent.CANCELLED: Impossible("there is no exchange"),
        BackendExchangeEvent.CANCELLED_NON_IDEMPOTENT: Impossible("there is no exchange"),
    },
    BackendExchangeState.CONNECTING: dict.fromkeys(BackendExchangeEvent, _NOT_CONNECTED)
    | {
        BackendExchangeEvent.REFUSED: NOT_EXECUTED_CLOSED,
        BackendExchangeEvent.RESET: NOT_EXECUTED_CLOSED,
        BackendExchangeEvent.TIMED_OUT: NOT_EXECUTED_CLOSED,
        BackendExchangeEvent.CANCELLED: NOT_EXECUTED_CLOSED,
        BackendExchangeEvent.CANCELLED_NON_IDEMPOTENT: IN_PROGRESS,
    },
    BackendExchangeState.CONNECTED: dict.fromkeys(BackendExchangeEvent, _WRITTEN_IMMEDIATELY)
    | {BackendExchangeEvent.RESET: NOT_EXECUTED_CLOSED},
    BackendExchangeState.PARTIALLY_WRITTEN: _EXTRA_BYTES_ROW,
    BackendExchangeState.WRITTEN: _WRITTEN_ROW,
    BackendExchangeState.RECEIVING: _WRITTEN_ROW,
    BackendExchangeState.AFTER_EXTRA_BYTES: _EXTRA_BYTES_ROW,
}
BACKEND_EXCHANGE: Table[BackendExchangeState, BackendExchangeEvent] = {
    (state, event): cell for state, row in _BACKEND_ROWS.items() for event, cell in row.items()
}
# Keys of the cells after which the connection is reused; http/backend_connection.py looks them up.
REUSABLE_CELLS = frozenset(
    key
    for key, cell in BACKEND_EXCHANGE.items()
    if isinstance(cell, TableCell) and cell.connection is ConnectionState.REUSABLE
)
