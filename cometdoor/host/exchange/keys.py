"""Keyed operations at one proxy."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


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
