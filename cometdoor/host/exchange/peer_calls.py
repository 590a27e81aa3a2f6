"""Table of calls on the connections between proxies."""

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
    Impossible,
    Table,
    TableCell,
)


class PeerCallState(Enum):
    """State of one call on a peer connection, before the event."""

    CONNECTING = "connecting"  # the call waits until the connection is open
    QUEUED = "queued"  # the call has not been passed to the transport yet
    SENT = "sent"  # it was passed to the transport; how much the peer has received is unknown
    FINISHED = "finished"  # the call has a reply, or was cancelled after it was sent


class PeerCallEvent(Enum):
    """What happens on the connection, or to the call."""

    CONNECT_REFUSED = "connect refused"
    CONNECT_TIMED_OUT = "connect timed out"
    CONNECTED = "connected"
    RESET = "reset"
    CLOSED = "closed"
    PEER_TIMED_OUT = "peer timed out"  # the peer did not reply to pings
    FRAME_ERROR = "frame error"
    EXECUTED = "reply ForwardResponse"
    NOT_EXECUTED = "reply NotExecuted"
    ATTEMPT_FAILED = "reply AttemptFailed"
    ATTEMPT_FAILED_CONTRADICTORY = "reply AttemptFailed, contradictory"  # outcome unknown or not executed
    OTHER_REPLY = "reply of another kind"
    UNKNOWN_CALL = "unknown call"  # a reply to a call id that was not sent on this connection
    CANCELLED = "cancelled"  # its deadline has passed, or its caller no longer waits


_CONNECT_EVENTS = (PeerCallEvent.CONNECT_REFUSED, PeerCallEvent.CONNECT_TIMED_OUT, PeerCallEvent.CONNECTED)
_REPLIES = (
    PeerCallEvent.EXECUTED,
    PeerCallEvent.NOT_EXECUTED,
    PeerCallEvent.ATTEMPT_FAILED,
    PeerCallEvent.ATTEMPT_FAILED_CONTRADICTORY,
    PeerCallEvent.OTHER_REPLY,
)
_CONNECTION_LOST_EVENTS = (
    PeerCallEvent.RESET,
    PeerCallEvent.CLOSED,
    PeerCallEvent.PEER_TIMED_OUT,
    PeerCallEvent.FRAME_ERROR,
    PeerCallEvent.UNKNOWN_CALL,
)
_ALREADY_CONNECTED = dict.fromkeys(_CONNECT_EVENTS, Impossible("it is connected"))
_PEER_CALL_ROWS: dict[PeerCallState, dict[PeerCallEvent, TableCell | Impossible]] = {
    PeerCallState.CONNECTING: dict.fromkeys(PeerCallEvent, Impossible("there is no connection yet"))
    | {
        PeerCallEvent.CONNECT_REFUSED: NOT_EXECUTED_CLOSED,
        PeerCallEvent.CONNECT_TIMED_OUT: NOT_EXECUTED_CLOSED,
        PeerCallEvent.CONNECTED: IN_PROGRESS,
        PeerCallEvent.CANCELLED: NOT_EXECUTED,
    },
    PeerCallState.QUEUED: {
        **_ALREADY_CONNECTED,
        **dict.fromkeys(_CONNECTION_LOST_EVENTS, NOT_EXECUTED_CLOSED),
        # The call's id was not sent yet, so a peer that replies to it violates the protocol.
        **dict.fromkeys(_REPLIES, NOT_EXECUTED_CLOSED),
        PeerCallEvent.CANCELLED: NOT_EXECUTED,
    },
    PeerCallState.SENT: {
        **_ALREADY_CONNECTED,
        **dict.fromkeys(_CONNECTION_LOST_EVENTS, UNKNOWN_CLOSED),
        PeerCallEvent.EXECUTED: EXECUTED,
        PeerCallEvent.NOT_EXECUTED: NOT_EXECUTED,
        PeerCallEvent.ATTEMPT_FAILED: UNKNOWN_REUSABLE,
        PeerCallEvent.ATTEMPT_FAILED_CONTRADICTORY: UNKNOWN_REUSABLE,
        PeerCallEvent.OTHER_REPLY: UNKNOWN_REUSABLE,
        PeerCallEvent.CANCELLED: UNKNOWN_REUSABLE,
    },
    # A process uses each call id once, so a late or second reply can't belong to another call.
    PeerCallState.FINISHED: {
        **_ALREADY_CONNECTED,
        **dict.fromkeys(_CONNECTION_LOST_EVENTS, FINISHED),
        **dict.fromkeys(_REPLIES, REUSABLE),
        PeerCallEvent.CANCELLED: REUSABLE,
    },
}
PEER_CALL: Table[PeerCallState, PeerCallEvent] = {
    (state, event): cell for state, row in _PEER_CALL_ROWS.items() for event, cell in row.items()
}
