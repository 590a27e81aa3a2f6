"""What may be concluded from each event in each state of an exchange, and what its connection does next.

Five tables: one for each hop, one for requests at the inbound proxy, one for keyed operations. Each has every
state against every event; those that can't meet are named as impossible. The code follows them
(`http/upstream.py` looks its cells up), a scripted peer plays every cell against the code
(`lab/exchange/play.py`), and `docs/design/exchange.md` prints them with the argument.

A conclusion is about the request: it ran, it did not and never will, or neither is proven. Only the second
lets a request be sent again that may not run twice.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar


class Conclusion(Enum):
    """What is known of the request once the event is over."""

    NOTHING = "nothing yet"  # it is still under way, or there is none
    RAN = "ran"
    NOT_RUN = "not run"  # and never will
    MAY_HAVE_RUN = "may have run"


class Connection(Enum):
    """What becomes of the connection."""

    IN_USE = "in use"  # this exchange, or one behind it, goes on
    KEPT = "kept"  # the next request may use it
    CLOSED = "closed"  # it carries nothing more


class Resend(Enum):
    """Which requests may be sent again."""

    NOT_YET = "not yet"
    ALL = "all"
    REPEATABLE = "repeatable ones"
    NONE = "none"


RESEND = {
    Conclusion.NOTHING: Resend.NOT_YET,
    Conclusion.RAN: Resend.NONE,
    Conclusion.NOT_RUN: Resend.ALL,
    Conclusion.MAY_HAVE_RUN: Resend.REPEATABLE,
}


@dataclass(frozen=True, slots=True)
class Cell:
    conclusion: Conclusion
    connection: Connection

    @property
    def resend(self) -> Resend:
        return RESEND[self.conclusion]


@dataclass(frozen=True, slots=True)
class Impossible:
    """The event can't meet the state."""

    why: str


State = TypeVar("State", bound=Enum)
Event = TypeVar("Event", bound=Enum)
Table = Mapping[tuple[State, Event], Cell | Impossible]

_UNDER_WAY = Cell(Conclusion.NOTHING, Connection.IN_USE)
_READY = Cell(Conclusion.NOTHING, Connection.KEPT)
_OVER = Cell(Conclusion.NOTHING, Connection.CLOSED)
_RAN = Cell(Conclusion.RAN, Connection.KEPT)
_RAN_LAST = Cell(Conclusion.RAN, Connection.CLOSED)
_NOT_RUN = Cell(Conclusion.NOT_RUN, Connection.KEPT)
_NOT_RUN_LAST = Cell(Conclusion.NOT_RUN, Connection.CLOSED)
_UNCLEAR = Cell(Conclusion.MAY_HAVE_RUN, Connection.CLOSED)
_UNCLEAR_KEPT = Cell(Conclusion.MAY_HAVE_RUN, Connection.KEPT)


# --- connections from the inbound proxy to its backend ---


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
    BackendEvent.RESET: _UNCLEAR,
    BackendEvent.CLOSED: _UNCLEAR,
    BackendEvent.SILENT: _UNCLEAR,
    BackendEvent.SPOILT: _UNCLEAR,
    BackendEvent.TOO_LONG: _UNCLEAR,
    BackendEvent.INTERIM: _UNDER_WAY,
    BackendEvent.ANSWERED: _RAN,
    BackendEvent.ANSWERED_LAST: _RAN_LAST,
    BackendEvent.ANSWERED_WITH_MORE: _RAN_LAST,
    BackendEvent.TURNED_AWAY: _NOT_RUN,
    BackendEvent.ANOTHERS: _UNDER_WAY,
    BackendEvent.UNNAMED: _UNCLEAR,
    BackendEvent.ENCODED: _UNCLEAR,
    BackendEvent.UNPROVEN: _UNCLEAR,
    BackendEvent.CALLED_OFF: _UNCLEAR,
    BackendEvent.CALLED_OFF_ONCE: _UNDER_WAY,  # the work is not broken off
}
_TAINTED = _ON_WIRE | {BackendEvent.ANSWERED: _RAN_LAST, BackendEvent.TURNED_AWAY: _NOT_RUN_LAST}
_BACKEND_ROWS: dict[BackendState, dict[BackendEvent, Cell | Impossible]] = {
    BackendState.RESTING: dict.fromkeys(BackendEvent, _OVER)
    | {
        BackendEvent.REFUSED: _IS_OPEN,
        BackendEvent.CALLED_OFF: Impossible("there is no exchange"),
        BackendEvent.CALLED_OFF_ONCE: Impossible("there is no exchange"),
    },
    BackendState.CONNECTING: dict.fromkeys(BackendEvent, _NOBODY)
    | {
        BackendEvent.REFUSED: _NOT_RUN_LAST,
        BackendEvent.RESET: _NOT_RUN_LAST,
        BackendEvent.SILENT: _NOT_RUN_LAST,
        BackendEvent.CALLED_OFF: _NOT_RUN_LAST,
        BackendEvent.CALLED_OFF_ONCE: _UNDER_WAY,
    },
    BackendState.OPEN: dict.fromkeys(BackendEvent, _SAME_TURN) | {BackendEvent.RESET: _NOT_RUN_LAST},
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


# --- lines between proxies ---


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
        LineEvent.DIAL_REFUSED: _NOT_RUN_LAST,
        LineEvent.DIAL_SILENT: _NOT_RUN_LAST,
        LineEvent.OPENED: _UNDER_WAY,
        LineEvent.CALLED_OFF: _NOT_RUN,
    },
    LineState.QUEUED: {
        **_LINE_IS_OPEN,
        **dict.fromkeys(_ENDS, _NOT_RUN_LAST),
        # Its number has not left: whatever is said of it is said by a peer that does not speak the protocol.
        **dict.fromkeys(_REPLIES, _NOT_RUN_LAST),
        LineEvent.CALLED_OFF: _NOT_RUN,
    },
    LineState.SENT: {
        **_LINE_IS_OPEN,
        **dict.fromkeys(_ENDS, _UNCLEAR),
        LineEvent.RAN: _RAN,
        LineEvent.NOT_RUN: _NOT_RUN,
        LineEvent.BROKE: _UNCLEAR_KEPT,
        LineEvent.BROKE_UNRUN: _UNCLEAR_KEPT,
        LineEvent.OTHER_REPLY: _UNCLEAR_KEPT,
        LineEvent.CALLED_OFF: _UNCLEAR_KEPT,
    },
    # A number is used once in the life of a process, so a late or a second reply meets no other call.
    LineState.OVER: {
        **_LINE_IS_OPEN,
        **dict.fromkeys(_ENDS, _OVER),
        **dict.fromkeys(_REPLIES, _READY),
        LineEvent.CALLED_OFF: _READY,
    },
}
LINE: Table[LineState, LineEvent] = {
    (state, event): cell for state, row in _LINE_ROWS.items() for event, cell in row.items()
}


# --- requests at the inbound proxy ---


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


# --- callers' connections ---


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
_HAND_ON = {CallerEvent.PART_COMES: _UNDER_WAY, CallerEvent.REQUEST_COMES: _UNDER_WAY}
_CALLER_ROWS: dict[CallerState, dict[CallerEvent, Cell | Impossible]] = {
    CallerState.NEW: {
        **_HAND_ON,
        CallerEvent.BAD_BYTES: _NOT_RUN_LAST,  # 400
        CallerEvent.TIME_UP: _OVER,
        CallerEvent.ENDED: _OVER,
        CallerEvent.RESET: _OVER,
        **dict.fromkeys(_DROPPED, _READY),
    },
    CallerState.PART: {
        **_HAND_ON,
        CallerEvent.BAD_BYTES: _NOT_RUN_LAST,  # 400
        CallerEvent.TIME_UP: _NOT_RUN_LAST,  # 408
        CallerEvent.ENDED: _NOT_RUN_LAST,
        CallerEvent.RESET: _NOT_RUN_LAST,
        **dict.fromkeys(_DROPPED, _UNDER_WAY),
    },
    CallerState.AT_WORK: {
        **_HAND_ON,
        CallerEvent.BAD_BYTES: _UNDER_WAY,  # its answer comes first, 400 behind it
        CallerEvent.TIME_UP: _NO_LIMIT,
        CallerEvent.ENDED: _UNCLEAR,
        CallerEvent.RESET: _UNCLEAR,
        CallerEvent.SERVED: _RAN,
        CallerEvent.REFUSED: _NOT_RUN,
        CallerEvent.FAILED: _UNCLEAR_KEPT,
    },
    CallerState.AHEAD: {
        **_HAND_ON,
        CallerEvent.BAD_BYTES: _UNDER_WAY,  # what was read ahead is dropped unsent, 400 in its place
        CallerEvent.TIME_UP: _NO_LIMIT,
        CallerEvent.ENDED: _UNCLEAR,  # of the first; the one ahead is never handed on
        CallerEvent.RESET: _UNCLEAR,
        CallerEvent.SERVED: Cell(Conclusion.RAN, Connection.IN_USE),  # the one ahead is handed on
        CallerEvent.REFUSED: Cell(Conclusion.NOT_RUN, Connection.IN_USE),
        CallerEvent.FAILED: Cell(Conclusion.MAY_HAVE_RUN, Connection.IN_USE),
    },
    CallerState.RESTING: {
        **_HAND_ON,
        CallerEvent.BAD_BYTES: _NOT_RUN_LAST,
        CallerEvent.TIME_UP: _OVER,
        CallerEvent.ENDED: _OVER,
        CallerEvent.RESET: _OVER,
        **dict.fromkeys(_DROPPED, _READY),
    },
    CallerState.LEAVING: {
        **dict.fromkeys(CallerEvent, _OVER),
        CallerEvent.PART_COMES: _NOT_RUN_LAST,  # dropped unread
        CallerEvent.REQUEST_COMES: _NOT_RUN_LAST,
        CallerEvent.BAD_BYTES: _NOT_RUN_LAST,
    },
}
CALLER: Table[CallerState, CallerEvent] = {
    (state, event): cell for state, row in _CALLER_ROWS.items() for event, cell in row.items()
}


# --- keyed operations at one proxy ---


class KeyState(Enum):
    NEW = "new"  # nothing is known of the key
    CLAIMING = "claiming"  # its claim is being ordered; a try waits
    UNORDERED = "unordered"  # the claim's reply was lost: it may stand
    FREE = "free"  # claimed, and nothing has run
    RUNNING = "running"  # one try's run is out; another try waits
    ASKED = "running, asked"  # and another proxy has asked what comes of it
    DONE = "done"
    UNKNOWN = "unknown"  # it may have run, and no answer came
    FOREIGN = "foreign"  # another proxy holds the claim and was asked; a try waits


class KeyEvent(Enum):
    ARRIVES = "a try arrives"
    LEAVES = "the waiting try leaves"
    TOO_LATE = "the waiting try's time is up"
    CLAIM_OURS = "claim: ours"
    CLAIM_FOREIGN = "claim: another's"
    CLAIM_LOST = "claim: not known"
    TOLD_DONE = "holder: done"
    TOLD_UNRUN = "holder: unrun"
    TOLD_UNKNOWN = "holder: unknown"
    TOLD_RUNNING = "holder: running"
    TOLD_NOTHING = "holder: not reached"
    SERVED = "run: served"
    NEVER_RAN = "run: not run"
    FAILED = "run: may have run"
    ASKED = "another proxy asks"
    EXPIRES = "the window is over"


class KeyAction(Enum):
    CLAIM = "claim"
    RUN = "run"
    ASK = "ask the holder"
    ANSWER = "answer"  # the first run's
    REFUSE = "503"  # this try has not run and never will
    UNKNOWN = "502"
    AT_WORK = "409"


@dataclass(frozen=True, slots=True)
class KeyCell:
    after: KeyState
    actions: tuple[KeyAction, ...] = ()
    tells: str = ""  # what proxies that asked are told, as OperationIs says it; empty: nothing yet


def _key_row(state: KeyState, met: dict[KeyEvent, KeyCell]) -> dict[KeyEvent, KeyCell]:
    """What is not named changes nothing: it is late, or of a former claim."""
    expired = KeyCell(KeyState.NEW)
    return dict.fromkeys(KeyEvent, KeyCell(state)) | {KeyEvent.EXPIRES: expired} | met


_KEY_ROWS: dict[KeyState, dict[KeyEvent, KeyCell]] = {
    KeyState.NEW: {
        KeyEvent.ARRIVES: KeyCell(KeyState.CLAIMING, (KeyAction.CLAIM,)),
        KeyEvent.ASKED: KeyCell(KeyState.NEW, tells="unknown"),
    },
    KeyState.CLAIMING: {
        KeyEvent.TOO_LATE: KeyCell(KeyState.CLAIMING, (KeyAction.REFUSE,)),
        KeyEvent.CLAIM_OURS: KeyCell(KeyState.RUNNING, (KeyAction.RUN,)),
        KeyEvent.CLAIM_FOREIGN: KeyCell(KeyState.FOREIGN, (KeyAction.ASK,)),
        KeyEvent.CLAIM_LOST: KeyCell(KeyState.UNORDERED, (KeyAction.REFUSE,)),
    },
    KeyState.UNORDERED: {
        KeyEvent.ARRIVES: KeyCell(KeyState.CLAIMING, (KeyAction.CLAIM,)),
        KeyEvent.ASKED: KeyCell(KeyState.NEW, tells="unrun"),
    },
    KeyState.FREE: {
        KeyEvent.ARRIVES: KeyCell(KeyState.RUNNING, (KeyAction.RUN,)),
        KeyEvent.ASKED: KeyCell(KeyState.NEW, tells="unrun"),
    },
    KeyState.RUNNING: {
        KeyEvent.TOO_LATE: KeyCell(KeyState.RUNNING, (KeyAction.AT_WORK,)),
        KeyEvent.SERVED: KeyCell(KeyState.DONE, (KeyAction.ANSWER, KeyAction.ANSWER)),
        KeyEvent.NEVER_RAN: KeyCell(KeyState.RUNNING, (KeyAction.REFUSE, KeyAction.RUN)),
        KeyEvent.FAILED: KeyCell(KeyState.UNKNOWN, (KeyAction.UNKNOWN, KeyAction.UNKNOWN)),
        KeyEvent.ASKED: KeyCell(KeyState.ASKED),
        KeyEvent.EXPIRES: KeyCell(KeyState.RUNNING),
    },
    KeyState.ASKED: {
        KeyEvent.TOO_LATE: KeyCell(KeyState.ASKED, (KeyAction.AT_WORK,)),
        KeyEvent.SERVED: KeyCell(KeyState.DONE, (KeyAction.ANSWER, KeyAction.ANSWER), "done"),
        # It is the other proxy's from here on: nothing of it may run here.
        KeyEvent.NEVER_RAN: KeyCell(KeyState.NEW, (KeyAction.REFUSE, KeyAction.REFUSE), "unrun"),
        KeyEvent.FAILED: KeyCell(KeyState.UNKNOWN, (KeyAction.UNKNOWN, KeyAction.UNKNOWN), "unknown"),
        KeyEvent.EXPIRES: KeyCell(KeyState.ASKED),
    },
    KeyState.DONE: {
        KeyEvent.ARRIVES: KeyCell(KeyState.DONE, (KeyAction.ANSWER,)),
        KeyEvent.ASKED: KeyCell(KeyState.DONE, tells="done"),
    },
    KeyState.UNKNOWN: {
        KeyEvent.ARRIVES: KeyCell(KeyState.UNKNOWN, (KeyAction.UNKNOWN,)),
        KeyEvent.ASKED: KeyCell(KeyState.UNKNOWN, tells="unknown"),
    },
    KeyState.FOREIGN: {
        KeyEvent.TOO_LATE: KeyCell(KeyState.FOREIGN, (KeyAction.AT_WORK,)),
        KeyEvent.TOLD_DONE: KeyCell(KeyState.DONE, (KeyAction.ANSWER,)),
        KeyEvent.TOLD_UNRUN: KeyCell(KeyState.CLAIMING, (KeyAction.CLAIM,)),
        KeyEvent.TOLD_UNKNOWN: KeyCell(KeyState.UNKNOWN, (KeyAction.UNKNOWN,)),
        KeyEvent.TOLD_RUNNING: KeyCell(KeyState.NEW, (KeyAction.AT_WORK,)),
        KeyEvent.TOLD_NOTHING: KeyCell(KeyState.NEW, (KeyAction.UNKNOWN,)),
        KeyEvent.ASKED: KeyCell(KeyState.FOREIGN, tells="running"),
    },
}
KEYS: Mapping[tuple[KeyState, KeyEvent], KeyCell] = {
    (state, event): cell for state in KeyState for event, cell in _key_row(state, _KEY_ROWS[state]).items()
}
