"""Errors of failed calls. The class gives the execution status of the call.

The names have no suffix `Error`, so that an `except` clause reads as the fact that it handles. They are
public interface and can't change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cometdoor.client.deprecated_names import accepts_former_keywords, instance_getattr, module_getattr
from cometdoor.errors import CometdoorError

if not TYPE_CHECKING:
    __getattr__ = module_getattr("errors")


class CallError(CometdoorError):
    """A call failed; the base of the classes below.

    Attributes
    ----------
    reason : str
        Why the last attempt failed.
    peer : str
        "host:port" of the proxy that the last attempt was sent to.
    status : int or None
        Status of the last response; None without a response.
    attempts : int
        Number of attempts made.
    """

    if not TYPE_CHECKING:
        __getattr__ = instance_getattr(tries="attempts")

    @accepts_former_keywords(tries="attempts")
    def __init__(self, reason: str, *, peer: str, status: int | None = None, attempts: int = 1) -> None:
        super().__init__(f"{reason} (by {peer}, status {status or 'none'}, {attempts} attempts)")
        self.reason = reason
        self.peer = peer
        self.status = status
        self.attempts = attempts


class NotExecuted(CallError):
    """The call was not executed and never will be. It may be repeated as a new call."""


class Rejected(NotExecuted):
    """The call was not executed and would be rejected again: it has no route, is malformed or too large."""


class OutcomeUnknown(CallError):
    """The call may have been executed or not.

    A call with an idempotency key may be repeated under the same key. Without a key, find out whether the
    call took effect before you repeat it.
    """


class ExecutionFailed(CallError):
    """The backend executed the call and reported a failure."""
