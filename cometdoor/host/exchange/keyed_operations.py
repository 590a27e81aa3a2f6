"""Table of the state of one idempotency key at one proxy."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class KeyedOperationState(Enum):
    """State of the operation with the key, as known to the proxy."""

    NEW = "new"  # the proxy has no information about the key
    CLAIMING = "claiming"  # a claim was submitted to the core; an attempt waits
    CLAIM_UNKNOWN = "claim unknown"  # no reply to the claim was received: it may be in force
    NOT_STARTED = "not started"  # this proxy owns the claim, and nothing was executed
    RUNNING = "running"  # an attempt is being executed; another one waits
    QUERIED = "running, queried"  # likewise, and another proxy has queried the outcome
    DONE = "done"  # executed, and the response is known
    UNKNOWN = "unknown"  # it may have been executed, and there is no response
    RELEASED = "released"  # another proxy may claim the key: nothing was executed here
    REMOTE = "remote"  # another proxy owns the claim and was queried; an attempt waits


class KeyedOperationEvent(Enum):
    """Events from clients, the control plane, other proxies, or the execution."""

    ATTEMPT_ARRIVED = "attempt arrived"
    CLIENT_DISCONNECTED = "client disconnected"
    WAIT_TIMED_OUT = "wait timed out"
    CLAIM_LOCAL = "claim: local"
    CLAIM_REMOTE = "claim: remote"
    CLAIM_UNKNOWN = "claim: unknown"
    OWNER_DONE = "owner: done"
    OWNER_NOT_EXECUTED = "owner: not executed"
    OWNER_UNKNOWN = "owner: unknown"
    OWNER_RUNNING = "owner: running"
    OWNER_UNREACHABLE = "owner: unreachable"
    EXECUTED = "execution: done"
    NOT_EXECUTED = "execution: not executed"
    FAILED = "execution: failed"
    QUERIED = "queried by another proxy"
    WINDOW_EXPIRED = "window expired"


class KeyedOperationAction(Enum):
    """An action of the proxy; a number is the status of its response to an attempt."""

    CLAIM = "claim"
    EXECUTE = "execute"
    QUERY_OWNER = "query the owner"
    RESPOND = "respond"  # with the response of the first execution
    REJECT = "503"  # this attempt was not executed and never will be
    UNKNOWN = "502"  # the operation may have been executed
    REPORT_IN_PROGRESS = "409"  # it is still being executed


@dataclass(frozen=True, slots=True)
class KeyedOperationCell:
    """The result of an event.

    Attributes
    ----------
    next_state : KeyedOperationState
        The state after the event.
    actions : tuple[KeyedOperationAction, ...]
        Actions of the proxy, in order; a response is listed once for each attempt that it answers.
    reported : str
        The reply to proxies that have queried, as in `OperationReply.state`; empty: no reply yet.
    """

    next_state: KeyedOperationState
    actions: tuple[KeyedOperationAction, ...] = ()
    reported: str = ""


def _complete_row(
    state: KeyedOperationState, transitions: dict[KeyedOperationEvent, KeyedOperationCell]
) -> dict[KeyedOperationEvent, KeyedOperationCell]:
    """Add cells for the other events, which are late or concern a former claim: they change nothing."""
    expired = KeyedOperationCell(KeyedOperationState.NEW)
    return (
        dict.fromkeys(KeyedOperationEvent, KeyedOperationCell(state))
        | {KeyedOperationEvent.WINDOW_EXPIRED: expired}
        | transitions
    )


_KEYED_OPERATION_ROWS: dict[KeyedOperationState, dict[KeyedOperationEvent, KeyedOperationCell]] = {
    KeyedOperationState.NEW: {
        KeyedOperationEvent.ATTEMPT_ARRIVED: KeyedOperationCell(
            KeyedOperationState.CLAIMING, (KeyedOperationAction.CLAIM,)
        ),
        KeyedOperationEvent.QUERIED: KeyedOperationCell(KeyedOperationState.NEW, reported="unknown"),
    },
    KeyedOperationState.CLAIMING: {
        KeyedOperationEvent.WAIT_TIMED_OUT: KeyedOperationCell(
            KeyedOperationState.CLAIMING, (KeyedOperationAction.REJECT,)
        ),
        KeyedOperationEvent.CLAIM_LOCAL: KeyedOperationCell(
            KeyedOperationState.RUNNING, (KeyedOperationAction.EXECUTE,)
        ),
        KeyedOperationEvent.CLAIM_REMOTE: KeyedOperationCell(
            KeyedOperationState.REMOTE, (KeyedOperationAction.QUERY_OWNER,)
        ),
        KeyedOperationEvent.CLAIM_UNKNOWN: KeyedOperationCell(
            KeyedOperationState.CLAIM_UNKNOWN, (KeyedOperationAction.REJECT,)
        ),
        KeyedOperationEvent.WINDOW_EXPIRED: KeyedOperationCell(KeyedOperationState.CLAIMING),
    },
    KeyedOperationState.CLAIM_UNKNOWN: {
        KeyedOperationEvent.ATTEMPT_ARRIVED: KeyedOperationCell(
            KeyedOperationState.CLAIMING, (KeyedOperationAction.CLAIM,)
        ),
        KeyedOperationEvent.QUERIED: KeyedOperationCell(KeyedOperationState.RELEASED, reported="unrun"),
    },
    KeyedOperationState.NOT_STARTED: {
        # The claim is renewed first: its window began before this attempt arrived.
        KeyedOperationEvent.ATTEMPT_ARRIVED: KeyedOperationCell(
            KeyedOperationState.CLAIMING, (KeyedOperationAction.CLAIM,)
        ),
        KeyedOperationEvent.QUERIED: KeyedOperationCell(KeyedOperationState.RELEASED, reported="unrun"),
    },
    KeyedOperationState.RUNNING: {
        KeyedOperationEvent.WAIT_TIMED_OUT: KeyedOperationCell(
            KeyedOperationState.RUNNING, (KeyedOperationAction.REPORT_IN_PROGRESS,)
        ),
        KeyedOperationEvent.EXECUTED: KeyedOperationCell(
            KeyedOperationState.DONE, (KeyedOperationAction.RESPOND, KeyedOperationAction.RESPOND)
        ),
        KeyedOperationEvent.NOT_EXECUTED: KeyedOperationCell(
            KeyedOperationState.CLAIMING, (KeyedOperationAction.REJECT, KeyedOperationAction.CLAIM)
        ),
        KeyedOperationEvent.FAILED: KeyedOperationCell(
            KeyedOperationState.UNKNOWN, (KeyedOperationAction.UNKNOWN, KeyedOperationAction.UNKNOWN)
        ),
        KeyedOperationEvent.QUERIED: KeyedOperationCell(KeyedOperationState.QUERIED),
        KeyedOperationEvent.WINDOW_EXPIRED: KeyedOperationCell(KeyedOperationState.RUNNING),
    },
    KeyedOperationState.QUERIED: {
        KeyedOperationEvent.WAIT_TIMED_OUT: KeyedOperationCell(
            KeyedOperationState.QUERIED, (KeyedOperationAction.REPORT_IN_PROGRESS,)
        ),
        KeyedOperationEvent.EXECUTED: KeyedOperationCell(
            KeyedOperationState.DONE, (KeyedOperationAction.RESPOND, KeyedOperationAction.RESPOND), "done"
        ),
        # The other proxy may execute it after this reply, so this proxy must not execute it any more.
        KeyedOperationEvent.NOT_EXECUTED: KeyedOperationCell(
            KeyedOperationState.RELEASED,
            (KeyedOperationAction.REJECT, KeyedOperationAction.REJECT),
            "unrun",
        ),
        KeyedOperationEvent.FAILED: KeyedOperationCell(
            KeyedOperationState.UNKNOWN,
            (KeyedOperationAction.UNKNOWN, KeyedOperationAction.UNKNOWN),
            "unknown",
        ),
        KeyedOperationEvent.WINDOW_EXPIRED: KeyedOperationCell(KeyedOperationState.QUERIED),
    },
    KeyedOperationState.DONE: {
        KeyedOperationEvent.ATTEMPT_ARRIVED: KeyedOperationCell(
            KeyedOperationState.DONE, (KeyedOperationAction.RESPOND,)
        ),
        KeyedOperationEvent.QUERIED: KeyedOperationCell(KeyedOperationState.DONE, reported="done"),
    },
    KeyedOperationState.UNKNOWN: {
        KeyedOperationEvent.ATTEMPT_ARRIVED: KeyedOperationCell(
            KeyedOperationState.UNKNOWN, (KeyedOperationAction.UNKNOWN,)
        ),
        KeyedOperationEvent.QUERIED: KeyedOperationCell(KeyedOperationState.UNKNOWN, reported="unknown"),
    },
    KeyedOperationState.RELEASED: {
        KeyedOperationEvent.ATTEMPT_ARRIVED: KeyedOperationCell(
            KeyedOperationState.CLAIMING, (KeyedOperationAction.CLAIM,)
        ),
        KeyedOperationEvent.QUERIED: KeyedOperationCell(KeyedOperationState.RELEASED, reported="unrun"),
    },
    KeyedOperationState.REMOTE: {
        KeyedOperationEvent.WAIT_TIMED_OUT: KeyedOperationCell(
            KeyedOperationState.REMOTE, (KeyedOperationAction.REPORT_IN_PROGRESS,)
        ),
        KeyedOperationEvent.OWNER_DONE: KeyedOperationCell(
            KeyedOperationState.DONE, (KeyedOperationAction.RESPOND,)
        ),
        KeyedOperationEvent.OWNER_NOT_EXECUTED: KeyedOperationCell(
            KeyedOperationState.CLAIMING, (KeyedOperationAction.CLAIM,)
        ),
        KeyedOperationEvent.OWNER_UNKNOWN: KeyedOperationCell(
            KeyedOperationState.UNKNOWN, (KeyedOperationAction.UNKNOWN,)
        ),
        KeyedOperationEvent.OWNER_RUNNING: KeyedOperationCell(
            KeyedOperationState.NEW, (KeyedOperationAction.REPORT_IN_PROGRESS,)
        ),
        KeyedOperationEvent.OWNER_UNREACHABLE: KeyedOperationCell(
            KeyedOperationState.NEW, (KeyedOperationAction.UNKNOWN,)
        ),
        KeyedOperationEvent.QUERIED: KeyedOperationCell(KeyedOperationState.REMOTE, reported="running"),
        KeyedOperationEvent.WINDOW_EXPIRED: KeyedOperationCell(KeyedOperationState.REMOTE),
    },
}
KEYED_OPERATION: Mapping[tuple[KeyedOperationState, KeyedOperationEvent], KeyedOperationCell] = {
    (state, event): cell
    for state in KeyedOperationState
    for event, cell in _complete_row(state, _KEYED_OPERATION_ROWS[state]).items()
}
