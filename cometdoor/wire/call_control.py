"""Messages that every connection of the mesh carries, whatever the protocol of its calls."""

from __future__ import annotations

import msgspec


class Ping(msgspec.Struct, tag="p", array_like=True):
    """Ask a peer that has sent nothing for a while whether it is alive; the reply is a `Pong`."""


class Pong(msgspec.Struct, tag="q", array_like=True):
    """Reply to a `Ping`."""


class CallRejected(msgspec.Struct, tag="no", array_like=True):
    """Reply to a call that this process can't accept, which had no effect then, or failed to handle."""

    reason: str
    leader: str = ""  # internal address of the leader; empty if unknown


class CancelCall(msgspec.Struct, tag="c", array_like=True):
    """Notify the peer that the caller no longer waits for the reply to one of its calls."""

    call_id: int
