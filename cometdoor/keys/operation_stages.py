"""Stages of a keyed operation at one proxy, and the table of transitions between them.

`cometdoor.host.exchange.keyed_operations` has the same states with the actions of each event; tests compare
that table with the behaviour of `cometdoor.keys.operations`.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from cometdoor.wire.keys import OperationReply


class OperationStage(Enum):
    """State of a key's operation, as far as this proxy knows."""

    CLAIMING = "claiming"  # the claim is being ordered by the control plane
    CLAIM_UNKNOWN = "claim unknown"  # the claim was not confirmed as ordered, but may still take effect
    NOT_STARTED = "not started"  # the key is claimed here, and nothing was executed
    RUNNING = "running"  # the request of one attempt is being executed
    DONE = "done"
    UNKNOWN = "unknown"  # the request may have been executed, and there is no response
    REMOTE = "remote"  # another proxy owns the key and was queried for the outcome
    # Another proxy was notified that nothing was executed, and may claim the key. Nothing is executed here
    # under the released claim any more.
    RELEASED = "released"
    FORGOTTEN = "forgotten"  # the record is removed; the next attempt claims the key again


class OperationEvent(Enum):
    """Events that may move an operation to another stage."""

    ATTEMPT = "an attempt arrives that is not covered by the last claim"
    EXECUTION_STARTED = "an attempt that is covered by the claim is executed"
    CLAIM_GRANTED = "the key is claimed here"
    CLAIM_LOST = "another proxy owns the key"
    CLAIM_NOT_ORDERED = "the claim could not be ordered"
    OWNER_DONE = "the owner has the response"
    OWNER_RELEASED = "the owner has released the key without executing"
    OWNER_UNKNOWN = "the owner does not know the outcome"
    OWNER_RUNNING = "the owner is executing"
    OWNER_REPLY_UNRECOGNIZED = "the owner's reply is not recognized"
    OWNER_UNREACHABLE = "the owner did not reply"
    EXECUTED = "the backend responded"
    NOT_EXECUTED = "the request was not executed and never will be"
    EXECUTION_FAILED = "the request may have been executed"
    RELEASED = "another proxy was notified that nothing was executed"
    RESPONSE_DROPPED = "there is no memory to keep the response"


_Stage, _Event = OperationStage, OperationEvent
TRANSITIONS: Mapping[tuple[OperationStage, OperationEvent], OperationStage] = {
    (_Stage.CLAIMING, _Event.CLAIM_GRANTED): _Stage.NOT_STARTED,
    (_Stage.CLAIMING, _Event.CLAIM_LOST): _Stage.REMOTE,
    (_Stage.CLAIMING, _Event.CLAIM_NOT_ORDERED): _Stage.CLAIM_UNKNOWN,
    (_Stage.CLAIM_UNKNOWN, _Event.ATTEMPT): _Stage.CLAIMING,  # with a claim that supersedes itself
    (_Stage.CLAIM_UNKNOWN, _Event.RELEASED): _Stage.RELEASED,
    (_Stage.NOT_STARTED, _Event.ATTEMPT): _Stage.CLAIMING,  # with a claim that supersedes itself
    (_Stage.NOT_STARTED, _Event.EXECUTION_STARTED): _Stage.RUNNING,
    (_Stage.NOT_STARTED, _Event.RELEASED): _Stage.RELEASED,
    (_Stage.RELEASED, _Event.ATTEMPT): _Stage.CLAIMING,  # with a claim that supersedes the released one
    (_Stage.RUNNING, _Event.EXECUTED): _Stage.DONE,
    (_Stage.RUNNING, _Event.NOT_EXECUTED): _Stage.NOT_STARTED,
    (_Stage.RUNNING, _Event.EXECUTION_FAILED): _Stage.UNKNOWN,
    (_Stage.DONE, _Event.RESPONSE_DROPPED): _Stage.UNKNOWN,
    (_Stage.REMOTE, _Event.OWNER_DONE): _Stage.DONE,
    (_Stage.REMOTE, _Event.OWNER_RELEASED): _Stage.CLAIMING,  # with a claim that supersedes the owner's
    (_Stage.REMOTE, _Event.OWNER_UNKNOWN): _Stage.UNKNOWN,
    (_Stage.REMOTE, _Event.OWNER_RUNNING): _Stage.FORGOTTEN,
    (_Stage.REMOTE, _Event.OWNER_REPLY_UNRECOGNIZED): _Stage.FORGOTTEN,
    (_Stage.REMOTE, _Event.OWNER_UNREACHABLE): _Stage.FORGOTTEN,
}
"""Next stage by stage and event. Events that are not listed are late or of a former claim, and ignored."""

REPORTED_OUTCOMES: Mapping[OperationStage, str] = {
    OperationStage.CLAIM_UNKNOWN: "unrun",
    OperationStage.NOT_STARTED: "unrun",
    OperationStage.DONE: "done",
    OperationStage.UNKNOWN: "unknown",
    OperationStage.RELEASED: "unrun",
}
"""State in the `OperationReply` to another proxy, by stage; in other stages the reply is delayed."""


UNEXECUTED_STAGES = frozenset({_Stage.CLAIM_UNKNOWN, _Stage.NOT_STARTED, _Stage.RELEASED})
"""Stages of a claimed key in which nothing was executed and no attempt is open."""


def owner_reply_event(reply: OperationReply | None) -> OperationEvent:
    """Return the event that a reply of the key's owner is; None: there was no reply."""
    if reply is None:
        return OperationEvent.OWNER_UNREACHABLE
    match reply.state:
        case "done" if reply.response is not None:
            return OperationEvent.OWNER_DONE
        case "unrun":
            return OperationEvent.OWNER_RELEASED
        case "unknown":
            return OperationEvent.OWNER_UNKNOWN
        case "running":
            return OperationEvent.OWNER_RUNNING
        case _:
            return OperationEvent.OWNER_REPLY_UNRECOGNIZED
