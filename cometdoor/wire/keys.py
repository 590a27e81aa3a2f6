"""Messages for idempotency keys: claims ordered by the control plane, operations queried between proxies."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from cometdoor.wire.forwarding import ForwardResponse
from cometdoor.wire.log_entries import Claim

KEYS_CLOSED = "-"  # value of `KeyOwner.owner`: no new claims are accepted for now


class ClaimRequest(msgspec.Struct, tag="k", array_like=True):
    """Claims that one proxy submits in one batch."""

    claims: list[Claim]


class KeyOwner(NamedTuple):
    """The owner of an idempotency key."""

    owner: str  # internal address of its proxy
    claim_id: str


class ClaimReply(msgspec.Struct, tag="kr", array_like=True):
    """For each claim of the request in turn, the owner of its key.

    Both fields are empty where the claim could not be ordered. `KEYS_CLOSED` without a claim id: no new
    claims are accepted for now, and an immediate retry will not help.
    """

    owners: list[KeyOwner]


class OperationRequest(msgspec.Struct, tag="o", array_like=True):
    """Ask the owner of a key for the outcome of its operation."""

    key: str
    claim_id: str


class OperationReply(msgspec.Struct, tag="or", array_like=True):
    """Outcome of an operation, as known to its owner."""

    state: str  # "done", "running", "unrun" (released by its owner without executing) or "unknown"
    response: ForwardResponse | None = None  # if the state is "done"
