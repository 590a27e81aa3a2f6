"""Transfer of a leader's large messages in chunks: snapshots, and appends with a large configuration.

A chunk is small enough that heartbeats after it on the same connection are not delayed for long, even on a
slow link. Chunks are acknowledged; a congestion window controlled by delay limits those in flight. What a
follower has lost by a reset connection or a restart is sent again from the offset that it reports. A message
is handled only when it is complete and its digest is correct. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from hashlib import sha256

import msgspec

from cometdoor.control.congestion_window import INITIAL_WINDOW_CHUNKS, CongestionWindow
from cometdoor.control.replica_state import ReplicaContext
from cometdoor.control.roles import Role
from cometdoor.wire.consensus import AppendEntries, InstallSnapshot, TransferChunk, TransferChunkAck
from cometdoor.wire.frames import MAX_FRAME_BYTES
from cometdoor.wire.log_entries import Member
from cometdoor.wire.revisions import decode_revision, encode_revision

CHUNK_BYTES = 32 << 10  # 75 ms on a link of 3.5 Mbit/s
CHUNK_RESEND_TIMEOUT_S = 0.5  # after this time without an acknowledgement chunks in flight count as lost

LargeMessage = AppendEntries | InstallSnapshot
_encoder = msgspec.msgpack.Encoder(enc_hook=encode_revision)
_decoder = msgspec.msgpack.Decoder(LargeMessage, dec_hook=decode_revision)


@dataclass(frozen=True, slots=True)
class TransferPayload:
    """An encoded message; transfers of the same message to several followers share it."""

    data: bytes
    digest: bytes  # SHA-256 of `data`
    last_index: int  # last index of the follower's log once it has the payload
    last_term: int
    is_snapshot: bool


def is_large(size: int) -> bool:
    """Return whether a message of that many bytes is sent in chunks."""
    return size > INITIAL_WINDOW_CHUNKS * CHUNK_BYTES


def encode_payload(message: LargeMessage, last_index: int, last_term: int) -> TransferPayload:
    """Encode a message, which brings a follower up to the entry `last_index` of term `last_term`."""
    data = _encoder.encode(message)
    return TransferPayload(
        data, sha256(data).digest(), last_index, last_term, isinstance(message, InstallSnapshot)
    )


@dataclass
class OutgoingTransfer:
    """A payload that is being sent to one follower; offsets in bytes, times on the steady clock."""

    payload: TransferPayload
    last_activity_at: float  # when a chunk was last sent or an acknowledgement last arrived
    received_bytes: int = 0  # as reported by the follower
    sent_bytes: int = 0
    is_in_doubt: bool = False  # acknowledgements are missing: the follower may have lost its data
    is_resent: bool = False  # chunks were sent again since the last acknowledged progress
    chunk_sent_at: dict[int, float] = field(default_factory=dict)  # by end offset of each chunk in flight

    def rewind(self, to: int) -> None:
        """Send again from that offset on."""
        self.sent_bytes = to
        self.chunk_sent_at.clear()


@dataclass
class IncomingTransfer:
    """The part of a payload that a follower has received."""

    digest: bytes
    size: int
    data: bytearray


@dataclass(frozen=True, slots=True)
class CompletedTransfer:
    """The last payload that was complete, and the last log entry that it contained."""

    digest: bytes
    last_index: int
    last_term: int


class ChunkedTransfer:
    """Sends large messages to followers in chunks, and reassembles the one that a leader sends."""

    def __init__(self, replica: ReplicaContext) -> None:
        self._replica = replica
        self._outgoing: dict[str, OutgoingTransfer] = {}  # by follower id, like the next two
        self._windows: dict[str, CongestionWindow] = {}
        self._accepts_chunks: dict[str, bool] = {}
        self._incoming: IncomingTransfer | None = None
        self._last_completed: CompletedTransfer | None = None

    def copy_for(self, replica: ReplicaContext) -> ChunkedTransfer:
        """Return an independent copy as a part of another replica."""
        other = ChunkedTransfer.__new__(ChunkedTransfer)
        other.__dict__.update(self.__dict__)
        other._replica = replica
        other._outgoing = {
            id: replace(state, chunk_sent_at=state.chunk_sent_at.copy())
            for id, state in self._outgoing.items()
        }
        other._windows = {id: replace(state) for id, state in self._windows.items()}
        other._accepts_chunks = self._accepts_chunks.copy()
        if self._incoming is not None:
            other._incoming = replace(self._incoming, data=self._incoming.data.copy())
        return other

    # --- the leader ---

    def start_term(self) -> None:
        """Forget the transfers of an earlier term."""
        self._outgoing.clear()
        self._windows.clear()

    def cancel_transfers_except(self, members: list[Member]) -> None:
        """Cancel transfers to all followers that are not among these members."""
        ids = {member.id for member in members}
        for removed in [id for id in self._outgoing if id not in ids]:
            del self._outgoing[removed]

    def record_chunk_support(self, follower: str, accepts_chunks: bool) -> None:
        """Record whether the follower's build accepts chunks."""
        self._accepts_chunks[follower] = accepts_chunks

    def accepts_chunks(self, follower: str) -> bool | None:
        """Return whether the follower accepts chunks; None if it has not answered yet."""
        return self._accepts_chunks.get(follower)

    def is_sending_to(self, follower: str) -> bool:
        """Return whether a transfer to that follower is under way."""
        return follower in self._outgoing

    def is_sending_snapshot(self) -> bool:
        """Return whether a snapshot is being sent to any follower."""
        return any(state.payload.is_snapshot for state in self._outgoing.values())

    def start_transfer(self, member: Member, payload: TransferPayload) -> None:
        """Start sending a payload to a member; it replaces a transfer under way."""
        self._outgoing[member.id] = OutgoingTransfer(payload, self._replica.now)
        self.continue_transfer(member)

    def continue_transfer(self, member: Member) -> None:
        """Send the chunks that the window allows now, including those that count as lost."""
        transfer = self._outgoing[member.id]
        window = self._windows.setdefault(member.id, CongestionWindow())
        payload, now = transfer.payload, self._replica.now
        if transfer.sent_bytes > 0 and now - transfer.last_activity_at > CHUNK_RESEND_TIMEOUT_S:
            transfer.is_in_doubt = True
            if transfer.received_bytes < len(payload.data):
                window.on_loss()
            last_chunk_offset = (len(payload.data) - 1) // CHUNK_BYTES * CHUNK_BYTES
            transfer.rewind(min(transfer.received_bytes, last_chunk_offset))
        end_offset = min(transfer.received_bytes + int(window.size_chunks) * CHUNK_BYTES, len(payload.data))
        while transfer.sent_bytes < end_offset:
            self._send_chunk(member, transfer)

    def _send_chunk(self, member: Member, transfer: OutgoingTransfer) -> None:
        replica, payload, offset = self._replica, transfer.payload, transfer.sent_bytes
        data = payload.data[offset : offset + CHUNK_BYTES]
        chunk = TransferChunk(
            replica.term, replica.me.id, replica.me.address, payload.digest, len(payload.data), offset, data
        )
        transfer.sent_bytes += len(data)
        transfer.chunk_sent_at[transfer.sent_bytes] = transfer.last_activity_at = replica.now
        replica.send(member.address, chunk)

    def on_transfer_chunk_ack(self, ack: TransferChunkAck) -> None:
        """Handle a follower's acknowledgement."""
        replica = self._replica
        if ack.term > replica.term:
            replica.step_down(ack.term)
            return
        progress = replica.followers.get(ack.follower)
        if replica.role is not Role.LEADER or ack.term < replica.term or progress is None:
            return
        progress.last_seen_at = replica.now
        transfer, member = self._outgoing.get(ack.follower), replica.find_member(ack.follower)
        if transfer is None or member is None or transfer.payload.digest != ack.digest:
            return
        self._on_bytes_received(transfer, ack)
        self.continue_transfer(member)

    def _on_bytes_received(self, transfer: OutgoingTransfer, ack: TransferChunkAck) -> None:
        now = self._replica.now
        if ack.received_bytes < transfer.received_bytes:
            if transfer.is_in_doubt:  # otherwise it is an earlier acknowledgement that was delayed
                transfer.received_bytes, transfer.is_in_doubt = ack.received_bytes, False
                transfer.rewind(ack.received_bytes)
                transfer.last_activity_at = now
        elif ack.received_bytes > transfer.received_bytes:
            chunk_sent_at = transfer.chunk_sent_at.pop(ack.received_bytes, None)
            if chunk_sent_at is not None:
                self._windows[ack.follower].on_acknowledged(now - chunk_sent_at, now)
            transfer.received_bytes = min(ack.received_bytes, len(transfer.payload.data))
            transfer.sent_bytes = max(transfer.sent_bytes, transfer.received_bytes)
            transfer.last_activity_at, transfer.is_in_doubt, transfer.is_resent = now, False, False
        elif transfer.sent_bytes > transfer.received_bytes and not transfer.is_resent:
            # The acknowledged chunk was not the next one: a chunk before it is missing.
            self._windows[ack.follower].on_loss()
            transfer.is_resent = True
            transfer.rewind(transfer.received_bytes)

    def on_append_entries_reply(self, follower: str, success: bool, index: int) -> None:
        """End the transfer if the follower's reply shows that it is complete or obsolete."""
        transfer = self._outgoing.get(follower)
        if transfer is None:
            return
        is_complete = success and index >= transfer.payload.last_index
        # While a snapshot is being sent, replies to heartbeats report failure. A failed append has to start
        # at another entry.
        if is_complete or (not success and not transfer.payload.is_snapshot):
            del self._outgoing[follower]

    # --- followers ---

    def on_transfer_chunk(self, chunk: TransferChunk) -> None:
        """Handle a chunk from the leader, and the message once it is complete."""
        replica = self._replica
        if chunk.term < replica.term:
            replica.send_append_reply(chunk.address, False, 0, 0)
            return
        replica.become_follower(chunk.term, chunk.leader)
        if self._has_completed(chunk.digest):
            assert self._last_completed is not None
            self._acknowledge(chunk, chunk.size)
            replica.send_append_reply(
                chunk.address, True, self._last_completed.last_index, 0, after_writes=True
            )
            return
        transfer = self._incoming_transfer_for(chunk)
        if chunk.offset == len(transfer.data) and chunk.offset + len(chunk.data) <= transfer.size:
            transfer.data += chunk.data
        if len(transfer.data) < transfer.size:
            self._acknowledge(chunk, len(transfer.data))
            return
        self._incoming = None
        message = self._decode(transfer, chunk.term)
        self._acknowledge(chunk, 0 if message is None else chunk.size)
        if message is not None:
            self._deliver(message, chunk.digest)

    def _incoming_transfer_for(self, chunk: TransferChunk) -> IncomingTransfer:
        """Return the transfer of this payload; chunks of two payloads are never mixed."""
        transfer = self._incoming
        if transfer is None or (transfer.digest, transfer.size) != (chunk.digest, chunk.size):
            transfer = self._incoming = IncomingTransfer(
                chunk.digest, min(chunk.size, MAX_FRAME_BYTES), bytearray()
            )
        return transfer

    def _decode(self, transfer: IncomingTransfer, term: int) -> LargeMessage | None:
        """Return the message; None if its digest is wrong or it is not of this term's leader."""
        if sha256(transfer.data).digest() != transfer.digest:
            return None
        try:
            message = _decoder.decode(transfer.data)
        except msgspec.MsgspecError:
            return None
        return message if message.term == term else None

    def _deliver(self, message: LargeMessage, digest: bytes) -> None:
        replica = self._replica
        if isinstance(message, InstallSnapshot):
            self._last_completed = CompletedTransfer(digest, message.last_index, message.last_term)
        elif message.entries:
            last = message.entries[-1]
            self._last_completed = CompletedTransfer(digest, last.index, last.term)
        else:
            return
        replica.receive(message, replica.now)

    def _has_completed(self, digest: bytes) -> bool:
        """Return whether that payload was received completely, and the log still contains its last entry."""
        completed, replica = self._last_completed, self._replica
        if completed is None or completed.digest != digest:
            return False
        return (
            completed.last_index <= replica.committed
            or replica.log.term_at(completed.last_index) == completed.last_term
        )

    def _acknowledge(self, chunk: TransferChunk, received_bytes: int) -> None:
        replica = self._replica
        replica.send(
            chunk.address, TransferChunkAck(replica.term, replica.me.id, chunk.digest, received_bytes)
        )
