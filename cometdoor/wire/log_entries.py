"""Entries of the control plane's replicated log, as they are sent and stored."""

from __future__ import annotations

import msgspec

from cometdoor.errors import CometdoorError
from cometdoor.wire.revisions import Revision, encode_revision

# What msgspec raises for values that msgpack can't contain: whole numbers beyond 64 bits, texts that are not
# Unicode, objects of other types.
ENCODING_ERRORS = (NotImplementedError, OverflowError, TypeError, ValueError, msgspec.MsgspecError)


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A member of the replica group. Its id belongs to its disk: on an empty disk it is a new member."""

    id: str
    address: str  # internal
    control_address: str  # where it serves the admin API
    node: str = ""
    zone: str = ""
    voter: bool = True  # False: a learner, which receives the log but is not counted in majorities


class Noop(msgspec.Struct, tag="e0", array_like=True, frozen=True):
    """First entry of a term: once it is committed, so are all entries before it (Raft, section 8)."""


class ConfigurationChange(msgspec.Struct, tag="e1", array_like=True, frozen=True):
    """A new configuration; it takes effect if the one in force has the base revision."""

    base_revision: Revision
    revision: Revision
    body: bytes


class MembershipChange(msgspec.Struct, tag="e2", array_like=True, frozen=True):
    """The members of the group from this entry on, whether it is committed or not.

    It differs from the previous one in one member, which is added, removed, promoted or demoted, or in the
    nodes and zones of members.
    """

    members: tuple[Member, ...]


class Claim(msgspec.Struct, tag="e3", array_like=True, frozen=True):
    """A claim to own an idempotency key, which is the right to execute its operation."""

    key: str
    claim_id: str
    owner: str  # internal address of the claiming proxy
    # Id of a claim whose owner released it without executing, or the id of this claim to renew its window.
    supersedes: str = ""


class ClockAdvance(msgspec.Struct, tag="e4", array_like=True, frozen=True):
    """Time that passed on the leader's monotonic clock since its election or its last such entry."""

    elapsed_ms: int


Change = Noop | ConfigurationChange | MembershipChange | Claim | ClockAdvance


class UnencodableChangeError(CometdoorError):
    """A change has a value that msgpack can't contain: it can be neither stored nor sent."""

    step = "propose"


_encoder = msgspec.msgpack.Encoder(enc_hook=encode_revision)


def check_encodable(change: Change) -> None:
    """Check that a change can be stored and sent; it must not enter a log before.

    Raises
    ------
    UnencodableChangeError
        If it has a value that msgpack can't contain.
    """
    try:
        _encoder.encode(change)
    except ENCODING_ERRORS as error:
        raise UnencodableChangeError(f"{type(change).__name__} can't be encoded: {error}") from error


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the replicated log."""

    index: int
    term: int
    change: Change
