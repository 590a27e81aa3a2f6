"""Retry policy of the client: decides whether and when a call is retried.

This module does no I/O: callers pass in the time as `now`, in seconds of one monotonic clock.

The statuses 408, 421, 429 and 503 guarantee that the attempt was not executed and never will be. 502, 504 and
a lost connection guarantee nothing. Any other response comes from the backend, so the attempt was executed.
An idempotent call is retried after any failure. A keyed call is retried too, since the mesh executes each key
once, except after a failure of the backend itself. Any other call is retried only if it was certainly not
executed.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from cometdoor.balancing import api
from cometdoor.balancing.attempts import RetryLimiter
from cometdoor.client.deprecated_names import accepts_former_keywords, instance_getattr

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
REJECTED_STATUSES = (400, 401, 403, 404, 405, 411, 413, 414, 431)
IN_PROGRESS_STATUS = 409  # another attempt with the same key is being executed
BACKOFF_MIN_S, BACKOFF_MAX_S = 0.05, 1.0  # delay without a Retry-After; doubles each time
RETRY_AFTER_MAX_SHARE = 1 / 3  # share of the remaining time that a Retry-After may take
ATTEMPT_TIME_MIN_S = 0.02  # no attempt is made with less time remaining


class RequestKind(Enum):
    """How often a call may be executed."""

    IDEMPOTENT = "repeatable"  # any number of times
    KEYED = "keyed"  # the mesh executes an idempotency key once, however often it is sent
    NOT_IDEMPOTENT = "once"  # at most once
    # Former names of members.
    REPEATABLE = IDEMPOTENT
    ONCE = NOT_IDEMPOTENT


class ExecutionStatus(Enum):
    """What is known about the execution of an attempt."""

    NOT_EXECUTED = "not executed"
    REJECTED = "rejected"  # not executed, and would be rejected again
    UNKNOWN = "unknown"
    EXECUTED = "executed"  # and failed
    SUCCEEDED = "succeeded"
    # Former names of members.
    NOT_RUN = NOT_EXECUTED
    MAY_HAVE_RUN = UNKNOWN
    RAN = EXECUTED
    SERVED = SUCCEEDED


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended.

    Attributes
    ----------
    status : int or None
        Status of the response; None without a complete response.
    sent : bool
        Whether the peer may have read a byte of the request.
    retry_after_s : float or None
        The response's Retry-After.
    """

    if not TYPE_CHECKING:
        __getattr__ = instance_getattr(known="execution_status")

    status: int | None
    sent: bool = True
    retry_after_s: float | None = None

    def execution_status(self) -> ExecutionStatus:
        """Return the execution status of the attempt."""
        if self.status is None:
            return ExecutionStatus.UNKNOWN if self.sent else ExecutionStatus.NOT_EXECUTED
        if 200 <= self.status < 300:
            return ExecutionStatus.SUCCEEDED
        if self.status in NOT_EXECUTED_STATUSES:
            return ExecutionStatus.NOT_EXECUTED
        if self.status in REJECTED_STATUSES:
            return ExecutionStatus.REJECTED
        return (
            ExecutionStatus.UNKNOWN
            if self.status in (IN_PROGRESS_STATUS, 502, 504)
            else ExecutionStatus.EXECUTED
        )


class ClientRetryBudget:
    """Limits the retries of one client to a share of its calls, so that they add little to an overload.

    Parameters
    ----------
    ratio
        Retries allowed per call in the window.
    floor
        Retries allowed in a window regardless of the number of calls.
    window_s
        Length of the sliding window, in seconds.
    """

    if not TYPE_CHECKING:
        __getattr__ = instance_getattr(called="record_call", take="try_acquire")

    @accepts_former_keywords(span_s="window_s")
    def __init__(self, ratio: float = 0.2, floor: int = 10, window_s: float = 10.0) -> None:
        self._retry_limiter = RetryLimiter(api.RetryBudget(float(floor), ratio, window_s * 1000.0))

    def record_call(self, now: float) -> None:
        """Count one call."""
        self._retry_limiter.on_request(now * 1000.0)

    def try_acquire(self, now: float) -> bool:
        """Count a retry and return True, or return False if the budget is used up."""
        if not self._retry_limiter.allows_retry(now * 1000.0):
            return False
        self._retry_limiter.on_retry_sent(now * 1000.0)
        return True


class CallAttempts:
    """State of one call: decides after each attempt whether and when to retry.

    Attributes
    ----------
    made : int
        Number of attempts that have ended.
    may_have_executed : bool
        Whether any of them may have been executed.
    """

    if not TYPE_CHECKING:
        __getattr__ = instance_getattr(
            again_after="next_retry_delay_s", left_s="remaining_s", may_have_run="may_have_executed"
        )

    @accepts_former_keywords(chance="rng", most="max_attempts")
    def __init__(
        self,
        kind: RequestKind,
        deadline_at: float,
        max_attempts: int,
        budget: ClientRetryBudget,
        rng: random.Random,
    ) -> None:
        self.kind = kind
        self.made = 0
        self.may_have_executed = False
        self._deadline_at = deadline_at
        self._max_attempts = max_attempts
        self._budget = budget
        self._rng = rng

    def remaining_s(self, now: float) -> float:
        """Return the time until the deadline, in seconds."""
        return self._deadline_at - now

    def execution_status(self, last: AttemptResult) -> ExecutionStatus:
        """Return the execution status of the call after its last attempt."""
        status = last.execution_status()
        if self.may_have_executed and status in (ExecutionStatus.NOT_EXECUTED, ExecutionStatus.REJECTED):
            return ExecutionStatus.UNKNOWN  # an earlier attempt may have been executed
        return status

    def next_retry_delay_s(self, result: AttemptResult, now: float) -> float | None:
        """Count an attempt that has ended, and return the delay before the next attempt in seconds.

        Returns
        -------
        float or None
            None if no further attempt is made.
        """
        self.made += 1
        execution_status = result.execution_status()
        self.may_have_executed |= execution_status is ExecutionStatus.UNKNOWN
        if execution_status in (ExecutionStatus.SUCCEEDED, ExecutionStatus.REJECTED):
            return None
        if self.kind is RequestKind.NOT_IDEMPOTENT and execution_status is not ExecutionStatus.NOT_EXECUTED:
            return None
        if self.kind is RequestKind.KEYED and execution_status is ExecutionStatus.EXECUTED:
            return None  # the mesh has stored this response under the key and would return it again
        remaining_s = self.remaining_s(now)
        if result.retry_after_s is not None:
            delay_s = min(result.retry_after_s, remaining_s * RETRY_AFTER_MAX_SHARE)
        else:
            delay_s = min(BACKOFF_MIN_S * 2 ** (self.made - 1), BACKOFF_MAX_S) * self._rng.uniform(0.5, 1.0)
        if (
            self.made >= self._max_attempts
            or remaining_s - delay_s < ATTEMPT_TIME_MIN_S
            or not self._budget.try_acquire(now)
        ):
            return None
        return delay_s
