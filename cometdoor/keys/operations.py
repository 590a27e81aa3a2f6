"""Operations of idempotency keys at one proxy: each key's request is executed at most once. No I/O.

A claim on a key is on disk at a majority of the control plane before the request is sent to a backend. A
repeated attempt at any proxy gets the response of the first execution, or an error that states whether the
request may have been executed. An operation that was never executed may be executed for the next attempt
here, once the claim is renewed, or by another proxy with a claim that supersedes this one.

The control plane counts the window from the claim, and clients count it from the attempt that was executed.
So an attempt is executed only under a claim that was submitted or renewed after the attempt had arrived: the
window of the claim then ends later than that of the client.

Methods take events and the time in seconds, and return the actions to carry out. `operation_stages` defines
the stages of an operation and the events that move it from one to the next.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Generic

from cometdoor.keys.actions import (
    Action,
    Execute,
    QueryOwner,
    Reject,
    ReportInProgress,
    ReportUnknown,
    Respond,
    SubmitClaim,
    WaiterT,
)
from cometdoor.keys.operation import Operation, WaitingAttempt
from cometdoor.keys.operation_stages import (
    REPORTED_OUTCOMES,
    TRANSITIONS,
    UNEXECUTED_STAGES,
    OperationEvent,
    OperationStage,
    owner_reply_event,
)
from cometdoor.keys.stored_responses import DEFAULT_MAX_STORED_BYTES, StoredResponses
from cometdoor.wire.forwarding import ForwardResponse
from cometdoor.wire.keys import OperationReply

WINDOW_SLACK_S = 5.0  # records outlive the window by this: clocks differ, and claims take some time


class KeyedOperations(Generic[WaiterT]):
    """Decides for each attempt with a key whether it is executed, waits, or gets an earlier outcome."""

    def __init__(
        self, incarnation: str, window_s: float, max_stored_bytes: int = DEFAULT_MAX_STORED_BYTES
    ) -> None:
        """Start without operations.

        Parameters
        ----------
        incarnation : str
            Random id of this process. It is part of claim ids, so that no claim is mistaken for one of a
            former incarnation.
        window_s : float
            Time after an executed attempt in which a repeated one is recognised, in seconds.
        max_stored_bytes : int
            Limit of the responses that are kept for repeated attempts; beyond it the oldest are dropped, and
            their outcome is unknown to repeated attempts.
        """
        self._stored_responses = StoredResponses(max_stored_bytes)
        self._incarnation = incarnation
        self._window_s = window_s + WINDOW_SLACK_S
        self._operations: dict[str, Operation[WaiterT]] = {}  # by time of the claim, oldest first
        self._last_claim_number = 0
        self._counts: Counter[str] = Counter()

    def report(self) -> dict[str, int]:
        """Return counts of the results of attempts with keys since the last report, for the log."""
        counts, self._counts = self._counts, Counter()
        return dict(counts)

    def stored_bytes(self) -> int:
        """Return the bytes of the responses that are kept for repeated attempts."""
        return self._stored_responses.stored_bytes

    def __len__(self) -> int:
        return len(self._operations)

    def _new_claim_id(self) -> str:
        self._last_claim_number += 1
        return f"{self._incarnation}.{self._last_claim_number}"

    def _advance(self, operation: Operation[WaiterT], event: OperationEvent) -> bool:
        """Move an operation to its next stage; return False if the event does not apply to its stage."""
        next_stage = TRANSITIONS.get((operation.stage, event))
        if next_stage is None:
            return False
        operation.stage = next_stage
        if next_stage is OperationStage.FORGOTTEN:
            self._operations.pop(operation.key, None)
        return True

    # --- attempts of clients ---

    def on_attempt(self, key: str, waiter: WaiterT, now: float) -> list[Action[WaiterT]]:
        """Start the operation of a key, or join the existing one."""
        operation = self._operations.get(key)
        if operation is None:
            operation = self._operations[key] = Operation(key, self._new_claim_id(), now)
            operation.waiting.append(WaitingAttempt(waiter, now))
            return [SubmitClaim(key, operation.claim_id)]
        match operation.stage:
            case OperationStage.DONE:
                assert operation.response is not None
                self._counts["repeat_answered"] += 1
                return [Respond(waiter, operation.response)]
            case OperationStage.UNKNOWN:
                self._counts["repeat_unknown"] += 1
                return [ReportUnknown(waiter)]
            case OperationStage.NOT_STARTED | OperationStage.CLAIM_UNKNOWN:
                operation.waiting.append(WaitingAttempt(waiter, now))
                return self._renew_claim(operation, now)
            case OperationStage.RELEASED:
                operation.waiting.append(WaitingAttempt(waiter, now))
                return self._supersede_released_claim(operation, now)
            case _:
                operation.waiting.append(WaitingAttempt(waiter, now))
                return []

    def abandon(self, key: str, waiter: WaiterT, is_timed_out: bool = False) -> list[Action[WaiterT]]:
        """Remove an attempt that no longer waits; an execution on its behalf continues.

        Parameters
        ----------
        key : str
            Key of the attempt.
        waiter : WaiterT
            The attempt.
        is_timed_out : bool
            True if the client is still connected and gets an answer, False if it has disconnected.
        """
        operation = self._operations.get(key)
        if operation is None:
            return []
        remaining = [attempt for attempt in operation.waiting if attempt.waiter != waiter]
        was_waiting = len(remaining) < len(operation.waiting)
        operation.waiting = remaining
        if not was_waiting or not is_timed_out:
            return []
        # While claiming, nothing was executed. After that another attempt may be executing.
        is_claiming = operation.stage is OperationStage.CLAIMING
        self._counts["claim_too_late" if is_claiming else "at_work"] += 1
        return [Reject(waiter) if is_claiming else ReportInProgress(waiter)]

    def _submit_claim(
        self, operation: Operation[WaiterT], supersedes: str, now: float
    ) -> list[Action[WaiterT]]:
        # The record outlives the window of the claim, which begins now; the oldest record stays first.
        operation.claimed_at = now
        self._operations[operation.key] = self._operations.pop(operation.key)
        return [SubmitClaim(operation.key, operation.claim_id, supersedes)]

    def _renew_claim(self, operation: Operation[WaiterT], now: float) -> list[Action[WaiterT]]:
        """Claim the key once more for attempts that arrived after the last claim.

        A claim that supersedes itself begins a new window, or takes effect if it never did or has expired.
        """
        self._advance(operation, OperationEvent.ATTEMPT)
        return self._submit_claim(operation, operation.claim_id, now)

    def _supersede_released_claim(self, operation: Operation[WaiterT], now: float) -> list[Action[WaiterT]]:
        """Claim the key anew; another proxy may have done so since this one released it."""
        self._advance(operation, OperationEvent.ATTEMPT)
        released_claim_id, operation.claim_id = operation.claim_id, self._new_claim_id()
        return self._submit_claim(operation, released_claim_id, now)

    def _execute_next(self, operation: Operation[WaiterT], now: float) -> list[Action[WaiterT]]:
        """Execute the first waiting attempt, or renew the claim if it is older than that attempt."""
        if operation.waiting[0].arrived_at > operation.claimed_at:
            return self._renew_claim(operation, now)
        self._advance(operation, OperationEvent.EXECUTION_STARTED)
        operation.executing_waiter = operation.waiting.pop(0).waiter
        return [Execute(operation.key, operation.executing_waiter)]

    def _reject_all(self, operation: Operation[WaiterT]) -> list[Action[WaiterT]]:
        return [Reject(waiter) for waiter in operation.pop_waiters()]

    # --- claims ---

    def on_claimed(self, key: str, owner: str, claim_id: str, now: float) -> list[Action[WaiterT]]:
        """Process the control plane's answer to a claim.

        Parameters
        ----------
        key : str
            The key that was claimed.
        owner, claim_id : str
            Current owner of the key and id of its claim. The id is empty if the claim could not be ordered;
            the claim may still take effect then, unless the owner is `KEYS_CLOSED`.
        now : float
            The time in seconds.
        """
        operation = self._operations.get(key)
        if operation is None or operation.stage is not OperationStage.CLAIMING:
            return []
        if not claim_id:
            self._advance(operation, OperationEvent.CLAIM_NOT_ORDERED)
            self._counts["claim_not_ordered"] += len(operation.waiting)
            self._notify_listeners(operation)
            return self._reject_all(operation)
        if claim_id == operation.claim_id:
            self._advance(operation, OperationEvent.CLAIM_GRANTED)
            if operation.waiting:
                return self._execute_next(operation, now)
            self._notify_listeners(operation)
            return []
        self._advance(operation, OperationEvent.CLAIM_LOST)
        outcome_listeners, operation.outcome_listeners = operation.outcome_listeners, []
        for respond in outcome_listeners:
            respond(OperationReply("running"))  # as in `on_outcome_query`
        return [QueryOwner(key, owner, claim_id)]

    def on_owner_reply(
        self, key: str, claim_id: str, reply: OperationReply | None, now: float
    ) -> list[Action[WaiterT]]:
        """Process the reply of the proxy that owns the key, which is None if it did not reply."""
        operation = self._operations.get(key)
        event = owner_reply_event(reply)
        if operation is None or not self._advance(operation, event):
            return []
        if event is OperationEvent.OWNER_DONE and reply is not None and reply.response is not None:
            return self._complete(operation, reply.response)
        if event is OperationEvent.OWNER_RELEASED:
            # The own claim that lost may still take effect, and nothing is executed under it either.
            operation.released_claim_ids.add(operation.claim_id)
            operation.claim_id = self._new_claim_id()
            return self._submit_claim(operation, claim_id, now)
        waiters = operation.pop_waiters()
        if event is OperationEvent.OWNER_RUNNING:
            self._counts["at_work"] += len(waiters)
            return [ReportInProgress(waiter) for waiter in waiters]
        is_unreachable = event is OperationEvent.OWNER_UNREACHABLE
        self._counts["holder_not_reached" if is_unreachable else "holder_forgot"] += len(waiters)
        return [ReportUnknown(waiter) for waiter in waiters]

    # --- the end of an execution ---

    def on_response(self, key: str, response: ForwardResponse) -> list[Action[WaiterT]]:
        """Complete an operation with the backend's response."""
        operation = self._operations.get(key)
        if operation is None or not self._advance(operation, OperationEvent.EXECUTED):
            return []
        waiter, operation.executing_waiter = operation.executing_waiter, None
        actions: list[Action[WaiterT]] = [Respond(waiter, response)] if waiter is not None else []
        self._counts["served"] += 1
        return actions + self._complete(operation, response)

    def _complete(self, operation: Operation[WaiterT], response: ForwardResponse) -> list[Action[WaiterT]]:
        operation.response = response
        waiters = operation.pop_waiters()
        self._notify_listeners(operation)
        for dropped_key in self._stored_responses.add(operation.key, response):
            self._drop_response(self._operations[dropped_key])
        return [Respond(waiter, response) for waiter in waiters]

    def _drop_response(self, operation: Operation[WaiterT]) -> None:
        operation.response = None
        self._advance(operation, OperationEvent.RESPONSE_DROPPED)
        self._counts["response_dropped"] += 1

    def on_not_executed(self, key: str, now: float) -> list[Action[WaiterT]]:
        """Release the key, or go on with the next waiting attempt: no backend executed the request."""
        operation = self._operations.get(key)
        if operation is None or not self._advance(operation, OperationEvent.NOT_EXECUTED):
            return []
        waiter, operation.executing_waiter = operation.executing_waiter, None
        actions: list[Action[WaiterT]] = [Reject(waiter)] if waiter is not None else []
        if operation.outcome_listeners:
            self._notify_listeners(operation)
            return actions + self._reject_all(operation)
        if operation.waiting:
            return actions + self._execute_next(operation, now)
        return actions

    def on_execution_failed(self, key: str) -> list[Action[WaiterT]]:
        """Fail all attempts: the request may have been executed, and is never sent again."""
        operation = self._operations.get(key)
        if operation is None or not self._advance(operation, OperationEvent.EXECUTION_FAILED):
            return []
        waiter, operation.executing_waiter = operation.executing_waiter, None
        waiters = [waiter] if waiter is not None else []
        waiters += operation.pop_waiters()
        self._counts["run_failed"] += len(waiters)
        self._notify_listeners(operation)
        return [ReportUnknown(waiter) for waiter in waiters]

    # --- other proxies ---

    def on_outcome_query(self, key: str, claim_id: str, respond: Callable[[OperationReply], None]) -> None:
        """Report the outcome of a local claim to another proxy, now or once it is known."""
        operation = self._operations.get(key)
        if operation is not None and claim_id in operation.released_claim_ids:
            respond(OperationReply(REPORTED_OUTCOMES[OperationStage.RELEASED]))
            return
        if operation is None or operation.claim_id != claim_id:
            respond(OperationReply("unknown"))
            return
        if operation.stage is OperationStage.REMOTE:
            # The local claim lost: the other proxy will get the valid one from the control plane.
            respond(OperationReply("running"))
            return
        operation.outcome_listeners.append(respond)
        if operation.stage in REPORTED_OUTCOMES:
            self._notify_listeners(operation)

    def _notify_listeners(self, operation: Operation[WaiterT]) -> None:
        outcome_listeners, operation.outcome_listeners = operation.outcome_listeners, []
        if not outcome_listeners:
            return
        reply = OperationReply(REPORTED_OUTCOMES[operation.stage], operation.response)
        # Another proxy may claim a released key now, so the next attempt here must claim it anew.
        if self._advance(operation, OperationEvent.RELEASED):
            operation.released_claim_ids.add(operation.claim_id)
        for respond in outcome_listeners:
            respond(reply)

    def expire(self, now: float) -> None:
        """Remove operations whose claim is older than the window, except those with open attempts.

        Unexecuted ones are kept longer: the control plane's clock stops without a leader, and a claim that
        outlived its record would be taken for one that may have been executed.
        """
        for key in list(self._operations):
            operation = self._operations[key]
            age_s = now - operation.claimed_at
            if age_s < self._window_s:
                break
            is_open = operation.stage is OperationStage.RUNNING or operation.waiting
            is_kept = operation.stage in UNEXECUTED_STAGES and age_s < 2.0 * self._window_s
            if not is_open and not is_kept:
                del self._operations[key]
                self._stored_responses.remove(key)
