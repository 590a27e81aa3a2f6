"""Table of requests on a client's connection."""

from __future__ import annotations

from enum import Enum

from cometdoor.host.exchange.table import (
    EXECUTED,
    FINISHED,
    IN_PROGRESS,
    NOT_EXECUTED,
    NOT_EXECUTED_CLOSED,
    REUSABLE,
    UNKNOWN_CLOSED,
    UNKNOWN_REUSABLE,
    Conclusion,
    ConnectionState,
    Impossible,
    Table,
    TableCell,
)


class ClientRequestState(Enum):
    """State of the connection before the event."""

    NEW = "new"  # no byte was received
    PARTIAL = "partial"  # some bytes of a request were received
    EXECUTING = "executing"  # a complete request was forwarded and has no response yet
    PIPELINED = "pipelined"  # likewise, and another complete request was received after it
    IDLE = "idle"  # the response is written; the connection stays open
    CLOSING = "closing"  # the response had Connection: close


class ClientRequestEvent(Enum):
    """Events from the client, the connection's timeouts, or the balancer's host."""

    PARTIAL_REQUEST = "partial request"
    COMPLETE_REQUEST = "complete request"  # the last byte of a request
    MALFORMED_INPUT = "malformed input"
    TIMED_OUT = "timed out"  # the timeout for reading, idling, or closing
    END_OF_INPUT = "end of input"  # the client has closed its sending side
    RESET = "reset"
    RESPONSE = "response"
    REJECTED = "rejected"  # 503
    FAILED = "failed"  # 502


_LATE_RESPONSES = (
    ClientRequestEvent.RESPONSE,
    ClientRequestEvent.REJECTED,
    ClientRequestEvent.FAILED,
)  # events that are late in states without a current request
_NO_CONNECTION_TIMEOUT = Impossible("the request's own deadline runs, no limit of the connection's")
_INPUT = {ClientRequestEvent.PARTIAL_REQUEST: IN_PROGRESS, ClientRequestEvent.COMPLETE_REQUEST: IN_PROGRESS}
_CLIENT_REQUEST_ROWS: dict[ClientRequestState, dict[ClientRequestEvent, TableCell | Impossible]] = {
    ClientRequestState.NEW: {
        **_INPUT,
        ClientRequestEvent.MALFORMED_INPUT: NOT_EXECUTED_CLOSED,  # 400
        ClientRequestEvent.TIMED_OUT: FINISHED,
        ClientRequestEvent.END_OF_INPUT: FINISHED,
        ClientRequestEvent.RESET: FINISHED,
        **dict.fromkeys(_LATE_RESPONSES, REUSABLE),
    },
    ClientRequestState.PARTIAL: {
        **_INPUT,
        ClientRequestEvent.MALFORMED_INPUT: NOT_EXECUTED_CLOSED,  # 400
        ClientRequestEvent.TIMED_OUT: NOT_EXECUTED_CLOSED,  # 408
        ClientRequestEvent.END_OF_INPUT: NOT_EXECUTED_CLOSED,
        ClientRequestEvent.RESET: NOT_EXECUTED_CLOSED,
        **dict.fromkeys(_LATE_RESPONSES, IN_PROGRESS),
    },
    ClientRequestState.EXECUTING: {
        **_INPUT,
        ClientRequestEvent.MALFORMED_INPUT: IN_PROGRESS,  # the response is sent first, then 400
        ClientRequestEvent.TIMED_OUT: _NO_CONNECTION_TIMEOUT,
        ClientRequestEvent.END_OF_INPUT: UNKNOWN_CLOSED,
        ClientRequestEvent.RESET: UNKNOWN_CLOSED,
        ClientRequestEvent.RESPONSE: EXECUTED,
        ClientRequestEvent.REJECTED: NOT_EXECUTED,
        ClientRequestEvent.FAILED: UNKNOWN_REUSABLE,
    },
    ClientRequestState.PIPELINED: {
        **_INPUT,
        ClientRequestEvent.MALFORMED_INPUT: IN_PROGRESS,  # pipelined requests are dropped, then 400
        ClientRequestEvent.TIMED_OUT: _NO_CONNECTION_TIMEOUT,
        ClientRequestEvent.END_OF_INPUT: UNKNOWN_CLOSED,  # for the first; the pipelined one is not forwarded
        ClientRequestEvent.RESET: UNKNOWN_CLOSED,
        ClientRequestEvent.RESPONSE: TableCell(
            Conclusion.EXECUTED, ConnectionState.IN_USE
        ),  # the pipelined one is forwarded
        ClientRequestEvent.REJECTED: TableCell(Conclusion.NOT_EXECUTED, ConnectionState.IN_USE),
        ClientRequestEvent.FAILED: TableCell(Conclusion.MAY_HAVE_EXECUTED, ConnectionState.IN_USE),
    },
    ClientRequestState.IDLE: {
        **_INPUT,
        ClientRequestEvent.MALFORMED_INPUT: NOT_EXECUTED_CLOSED,
        ClientRequestEvent.TIMED_OUT: FINISHED,
        ClientRequestEvent.END_OF_INPUT: FINISHED,
        ClientRequestEvent.RESET: FINISHED,
        **dict.fromkeys(_LATE_RESPONSES, REUSABLE),
    },
    ClientRequestState.CLOSING: {
        **dict.fromkeys(ClientRequestEvent, FINISHED),
        ClientRequestEvent.PARTIAL_REQUEST: NOT_EXECUTED_CLOSED,  # discarded without parsing
        ClientRequestEvent.COMPLETE_REQUEST: NOT_EXECUTED_CLOSED,
        ClientRequestEvent.MALFORMED_INPUT: NOT_EXECUTED_CLOSED,
    },
}
CLIENT_REQUEST: Table[ClientRequestState, ClientRequestEvent] = {
    (state, event): cell for state, row in _CLIENT_REQUEST_ROWS.items() for event, cell in row.items()
}
