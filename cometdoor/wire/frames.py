"""Framing: every message between the processes of the mesh, as bytes.

A frame is a four-byte length (big-endian) followed by a `Frame` in msgpack. Messages are arrays that start
with a tag of one or two letters. A call and its reply carry the same number; 0 stands for a message that
awaits no reply. Fields are only ever added at the end, with a default, so that processes of two versions can
communicate during a rolling upgrade.
"""

from __future__ import annotations

import msgspec

from cometdoor.errors import CometdoorError
from cometdoor.wire.body_streams import BodyAborted, BodyChunk, BodyCredit
from cometdoor.wire.budget import LeaseGrant, LeaseRequest
from cometdoor.wire.call_control import CallRejected, CancelCall, Ping, Pong
from cometdoor.wire.consensus import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    JoinRequest,
    LeaderReply,
    LeaderRequest,
    LeaveRequest,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
    TransferChunk,
    TransferChunkAck,
)
from cometdoor.wire.forwarding import (
    AttemptFailed,
    ForwardRequest,
    ForwardResponse,
    NotExecuted,
    StreamedForwardRequest,
    StreamedForwardResponse,
)
from cometdoor.wire.gossip import (
    ConfigurationReply,
    ConfigurationRequest,
    DigestReply,
    DigestRequest,
    GossipUpdate,
    IndirectProbe,
    IndirectProbeReply,
)
from cometdoor.wire.keys import ClaimReply, ClaimRequest, OperationReply, OperationRequest
from cometdoor.wire.log_entries import ENCODING_ERRORS
from cometdoor.wire.revisions import decode_revision, encode_revision

MAX_FRAME_BYTES = 80 << 20  # the body of a forwarded request may have 64 MiB

Message = (
    Ping
    | Pong
    | CallRejected
    | ForwardRequest
    | ForwardResponse
    | NotExecuted
    | AttemptFailed
    | CancelCall
    | GossipUpdate
    | DigestRequest
    | DigestReply
    | IndirectProbe
    | IndirectProbeReply
    | ConfigurationRequest
    | ConfigurationReply
    | RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | TransferChunk
    | TransferChunkAck
    | TimeoutNow
    | JoinRequest
    | LeaveRequest
    | LeaderRequest
    | LeaderReply
    | ClaimRequest
    | ClaimReply
    | LeaseRequest
    | LeaseGrant
    | OperationRequest
    | OperationReply
    | StreamedForwardRequest
    | StreamedForwardResponse
    | BodyChunk
    | BodyCredit
    | BodyAborted
)


class Frame(msgspec.Struct, array_like=True):
    """A message with the number of its call."""

    call_id: int  # 0: the message awaits no reply
    is_reply: bool
    message: Message


_encoder = msgspec.msgpack.Encoder(enc_hook=encode_revision)
_decoder = msgspec.msgpack.Decoder(Frame, dec_hook=decode_revision)


class FrameError(CometdoorError):
    """The peer sent bytes that are not a valid frame of this protocol; its connection must be closed."""


class UnencodableFrameError(CometdoorError):
    """A message has a value that msgpack can't contain; nothing was sent."""


def encode(frame: Frame) -> bytes:
    """Encode a frame with its length.

    Raises
    ------
    UnencodableFrameError
        If the message has a value that msgpack can't contain.
    """
    try:
        body = _encoder.encode(frame)
    except ENCODING_ERRORS as error:
        raise UnencodableFrameError(f"{type(frame.message).__name__}: {error}") from error
    return len(body).to_bytes(4, "big") + body


class FrameDecoder:
    """Reassembles frames from the bytes of one connection."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that are complete with these bytes.

        Raises
        ------
        FrameError
            If any of them is invalid; the frames before it are dropped with it.
        """
        buffer = self._buffer
        buffer += data
        frames: list[Frame] = []
        offset = 0
        while len(buffer) - offset >= 4:
            size = int.from_bytes(buffer[offset : offset + 4], "big")
            if size > MAX_FRAME_BYTES:
                raise FrameError(f"the frame length of {size} bytes exceeds the limit")
            if len(buffer) - offset - 4 < size:
                break
            try:
                frames.append(_decoder.decode(memoryview(buffer)[offset + 4 : offset + 4 + size].tobytes()))
            except msgspec.MsgspecError as error:
                raise FrameError(str(error)) from error
            offset += 4 + size
        if offset:
            del buffer[:offset]
        return frames
