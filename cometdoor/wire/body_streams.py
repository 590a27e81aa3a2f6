"""Messages that carry a body in chunks behind the head of a forwarded request or response."""

from __future__ import annotations

import msgspec


class BodyChunk(msgspec.Struct, tag="bc", array_like=True):
    """A part of the body of a call, or of its reply; parts arrive in order."""

    data: bytes
    is_last: bool = False


class BodyCredit(msgspec.Struct, tag="bg", array_like=True):
    """Allow the sender of a body to send more of it."""

    call_id: int
    size: int  # in bytes


class BodyAborted(msgspec.Struct, tag="bx", array_like=True):
    """The rest of the body of a reply will not come."""
