"""Calls on the lines between proxies."""

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
    Impossible,
    Table,
)


class LineState(Enum):
    """Of one call on a line, before the event."""

    DIALLING = "dialling"  # it waits until the line is open
    QUEUED = "queued"  # the line is open; the call was not handed to the transport yet
    SENT = "sent"  # it was, in whole; how much of it left is not known
    OVER = "over"  # answered, or given up after it was sent


class LineEvent(Enum):
    DIAL_REFUSED = "dial refused"
    DIAL_SILENT = "dial silent"
    OPENED = "opened"
    RESET = "reset"
    CLOSED = "closed"
    PEER_SILENT = "peer silent"  # no sign of life when asked for one
    BAD_FRAME = "bad frame"
    RAN = "reply Ran"
    NOT_RUN = "reply NotRun"
    BROKE = "reply Broke"
    BROKE_UNRUN = "reply Broke, contradicting"  # its outcome is unknown, or one that never ran
    OTHER_REPLY = "reply of another kind"
    NEVER_ASKED = "reply never asked for"  # to a number that has not left on this line
    CALLED_OFF = "called off"  # its time is up, or nobody waits for it


_DIALS = (LineEvent.DIAL_REFUSED, LineEvent.DIAL_SILENT, LineEvent.OPENED)
_REPLIES = (
    LineEvent.RAN,
    LineEvent.NOT_RUN,
    LineEvent.BROKE,
    LineEvent.BROKE_UNRUN,
    LineEvent.OTHER_REPLY,
)
_ENDS = (
    LineEvent.RESET,
    LineEvent.CLOSED,
    LineEvent.PEER_SILENT,
    LineEvent.BAD_FRAME,
    LineEvent.NEVER_ASKED,
)
_LINE_IS_OPEN = dict.fromkeys(_DIALS, Impossible("the line is open"))
_LINE_ROWS: dict[LineState, dict[LineEvent, Cell | Impossible]] = {
    LineState.DIALLING: dict.fromkeys(LineEvent, Impossible("there is no connection yet"))
    | {
        LineEvent.DIAL_REFUSED: NOT_RUN_LAST,
        LineEvent.DIAL_SILENT: NOT_RUN_LAST,
        LineEvent.OPENED: UNDER_WAY,
        LineEvent.CALLED_OFF: NOT_RUN,
    },
    LineState.QUEUED: {
        **_LINE_IS_OPEN,
        **dict.fromkeys(_ENDS, NOT_RUN_LAST),
        # Its number has not left: whatever is said of it is said by a peer that does not speak the protocol.
        **dict.fromkeys(_REPLIES, NOT_RUN_LAST),
        LineEvent.CALLED_OFF: NOT_RUN,
    },
    LineState.SENT: {
        **_LINE_IS_OPEN,
        **dict.fromkeys(_ENDS, UNCLEAR),
        LineEvent.RAN: RAN,
        LineEvent.NOT_RUN: NOT_RUN,
        LineEvent.BROKE: UNCLEAR_KEPT,
        LineEvent.BROKE_UNRUN: UNCLEAR_KEPT,
        LineEvent.OTHER_REPLY: UNCLEAR_KEPT,
        LineEvent.CALLED_OFF: UNCLEAR_KEPT,
    },
    # A number is used once in the life of a process, so a late or a second reply meets no other call.
    LineState.OVER: {
        **_LINE_IS_OPEN,
        **dict.fromkeys(_ENDS, OVER),
        **dict.fromkeys(_REPLIES, READY),
        LineEvent.CALLED_OFF: READY,
    },
}
LINE: Table[LineState, LineEvent] = {
    (state, event): cell for state, row in _LINE_ROWS.items() for event, cell in row.items()
}
