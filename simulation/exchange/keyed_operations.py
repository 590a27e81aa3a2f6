"""Plays the table of keyed operations, on the operations of one proxy."""

from __future__ import annotations

from cometdoor.host.exchange.keyed_operations import (
    KeyedOperationAction,
    KeyedOperationCell,
    KeyedOperationEvent,
    KeyedOperationState,
)
from cometdoor.keys.actions import (
    Action,
    Execute,
    QueryOwner,
    Reject,
    ReportInProgress,
    ReportUnknown,
    Respond,
    SubmitClaim,
)
from cometdoor.keys.operation_stages import OperationStage
from cometdoor.keys.operations import KeyedOperations
from cometdoor.wire.forwarding import ForwardResponse
from cometdoor.wire.keys import OperationReply
from simulation.exchange.expectations import expect

KEY, INCARNATION, WINDOW_S = "k", "p", 60.0
REMOTE_CLAIM = "other.1"
CLAIMED_AT, EVENT_AT = 0.0, 1.0  # seconds; attempts that arrive with or after the event are not in the claim
FIRST_RESPONSE = ForwardResponse(200, [], b"first")
ACTIONS: dict[type, KeyedOperationAction] = {
    SubmitClaim: KeyedOperationAction.CLAIM,
    Execute: KeyedOperationAction.EXECUTE,
    QueryOwner: KeyedOperationAction.QUERY_OWNER,
    Respond: KeyedOperationAction.RESPOND,
    Reject: KeyedOperationAction.REJECT,
    ReportUnknown: KeyedOperationAction.UNKNOWN,
    ReportInProgress: KeyedOperationAction.REPORT_IN_PROGRESS,
}
STATES = {
    OperationStage.CLAIMING: KeyedOperationState.CLAIMING,
    OperationStage.CLAIM_UNKNOWN: KeyedOperationState.CLAIM_UNKNOWN,
    OperationStage.NOT_STARTED: KeyedOperationState.NOT_STARTED,
    OperationStage.RUNNING: KeyedOperationState.RUNNING,
    OperationStage.DONE: KeyedOperationState.DONE,
    OperationStage.UNKNOWN: KeyedOperationState.UNKNOWN,
    OperationStage.RELEASED: KeyedOperationState.RELEASED,
    OperationStage.REMOTE: KeyedOperationState.REMOTE,
}


class KeyedOperationPlayer:
    """Brings an operation into a state, and causes events.

    Attempts are strings: `t1` is the first, `t2` waits for the result of its execution.
    """

    def __init__(self) -> None:
        self.operations = KeyedOperations[str](INCARNATION, WINDOW_S)
        self.outcome_replies: list[OperationReply] = []
        self.waiter = "t1"

    def local_claim(self) -> str:
        operation = self.operations._operations.get(KEY)
        return operation.claim_id if operation is not None else f"{INCARNATION}.1"

    def enter_state(self, state: KeyedOperationState) -> None:
        if state is KeyedOperationState.NEW:
            return
        operations, now = self.operations, CLAIMED_AT
        operations.on_attempt(KEY, "t1", now)
        match state:
            case KeyedOperationState.CLAIM_UNKNOWN:
                operations.on_claimed(KEY, "", "", now)
            case KeyedOperationState.NOT_STARTED | KeyedOperationState.RELEASED:
                operations.abandon(KEY, "t1")
                operations.on_claimed(KEY, "here", self.local_claim(), now)
            case (
                KeyedOperationState.RUNNING
                | KeyedOperationState.QUERIED
                | KeyedOperationState.DONE
                | KeyedOperationState.UNKNOWN
            ):
                operations.on_claimed(KEY, "here", self.local_claim(), now)
                operations.on_attempt(KEY, "t2", EVENT_AT)
                self.waiter = "t2"
            case KeyedOperationState.REMOTE:
                operations.on_claimed(KEY, "there", REMOTE_CLAIM, now)
        match state:
            case KeyedOperationState.QUERIED:
                operations.on_outcome_query(KEY, self.local_claim(), self.outcome_replies.append)
            case KeyedOperationState.RELEASED:
                operations.on_outcome_query(KEY, self.local_claim(), lambda reply: None)
            case KeyedOperationState.DONE:
                operations.on_response(KEY, FIRST_RESPONSE)
            case KeyedOperationState.UNKNOWN:
                operations.on_execution_failed(KEY)

    def apply_event(self, event: KeyedOperationEvent) -> list[Action[str]]:
        operations, now = self.operations, EVENT_AT
        match event:
            case KeyedOperationEvent.ATTEMPT_ARRIVED:
                return operations.on_attempt(KEY, "new", now)
            case KeyedOperationEvent.CLIENT_DISCONNECTED:
                return operations.abandon(KEY, self.waiter)
            case KeyedOperationEvent.WAIT_TIMED_OUT:
                return operations.abandon(KEY, self.waiter, is_timed_out=True)
            case KeyedOperationEvent.CLAIM_LOCAL:
                return operations.on_claimed(KEY, "here", self.local_claim(), now)
            case KeyedOperationEvent.CLAIM_REMOTE:
                return operations.on_claimed(KEY, "there", REMOTE_CLAIM, now)
            case KeyedOperationEvent.CLAIM_UNKNOWN:
                return operations.on_claimed(KEY, "", "", now)
            case KeyedOperationEvent.OWNER_DONE:
                return operations.on_owner_reply(
                    KEY, REMOTE_CLAIM, OperationReply("done", FIRST_RESPONSE), now
                )
            case KeyedOperationEvent.OWNER_NOT_EXECUTED:
                return operations.on_owner_reply(KEY, REMOTE_CLAIM, OperationReply("unrun"), now)
            case KeyedOperationEvent.OWNER_UNKNOWN:
                return operations.on_owner_reply(KEY, REMOTE_CLAIM, OperationReply("unknown"), now)
            case KeyedOperationEvent.OWNER_RUNNING:
                return operations.on_owner_reply(KEY, REMOTE_CLAIM, OperationReply("running"), now)
            case KeyedOperationEvent.OWNER_UNREACHABLE:
                return operations.on_owner_reply(KEY, REMOTE_CLAIM, None, now)
            case KeyedOperationEvent.EXECUTED:
                return operations.on_response(KEY, FIRST_RESPONSE)
            case KeyedOperationEvent.NOT_EXECUTED:
                return operations.on_not_executed(KEY, now)
            case KeyedOperationEvent.FAILED:
                return operations.on_execution_failed(KEY)
            case KeyedOperationEvent.QUERIED:
                operations.on_outcome_query(KEY, self.local_claim(), self.outcome_replies.append)
            case KeyedOperationEvent.WINDOW_EXPIRED:
                operations.expire(10 * WINDOW_S)
        return []

    def state(self) -> KeyedOperationState:
        operation = self.operations._operations.get(KEY)
        if operation is None:
            return KeyedOperationState.NEW
        if operation.stage is OperationStage.RUNNING and operation.outcome_listeners:
            return KeyedOperationState.QUERIED
        return STATES[operation.stage]


def play_keyed_operation(
    state: KeyedOperationState, event: KeyedOperationEvent, cell: KeyedOperationCell
) -> None:
    """Play one cell. Raises ExchangeViolation."""
    player = KeyedOperationPlayer()
    player.enter_state(state)
    expect(player.state(), state, "the state before the event")
    actions = player.apply_event(event)
    where = f"keyed operation, {state.value}, {event.value}"
    expect(tuple(ACTIONS[type(action)] for action in actions), cell.actions, where)
    expect(player.state(), cell.next_state, where)
    expect(
        [reply.state for reply in player.outcome_replies],
        [cell.reported] if cell.reported else [],
        f"{where}, reported",
    )
    for action in actions:
        if isinstance(action, Respond):
            expect(action.response, FIRST_RESPONSE, f"{where}, the response")
