"""Actions that `KeyedOperations` returns for its proxy to carry out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from cometdoor.wire.forwarding import ForwardResponse

WaiterT = TypeVar("WaiterT")
"""One attempt of a client, in the proxy's representation."""


@dataclass(frozen=True)
class SubmitClaim:
    """Submit this proxy's claim on the key to the control plane."""

    key: str
    claim_id: str
    # Id of another proxy's claim that was released without execution, or of this claim itself to renew it.
    supersedes: str = ""


@dataclass(frozen=True)
class Execute(Generic[WaiterT]):
    """Send the request of this attempt to a backend."""

    key: str
    waiter: WaiterT


@dataclass(frozen=True)
class QueryOwner:
    """Query the proxy that owns the key for the outcome of its operation."""

    key: str
    owner: str  # internal address
    claim_id: str


@dataclass(frozen=True)
class Respond(Generic[WaiterT]):
    """Answer this attempt with the response of the operation."""

    waiter: WaiterT
    response: ForwardResponse


@dataclass(frozen=True)
class Reject(Generic[WaiterT]):
    """Reject this attempt: it was not executed and never will be."""

    waiter: WaiterT


@dataclass(frozen=True)
class ReportUnknown(Generic[WaiterT]):
    """Fail this attempt: the operation may have been executed, and there is no response."""

    waiter: WaiterT


@dataclass(frozen=True)
class ReportInProgress(Generic[WaiterT]):
    """Answer this attempt with a notice that the operation is still in progress."""

    waiter: WaiterT


Action = (
    SubmitClaim
    | Execute[WaiterT]
    | QueryOwner
    | Respond[WaiterT]
    | Reject[WaiterT]
    | ReportUnknown[WaiterT]
    | ReportInProgress[WaiterT]
)
