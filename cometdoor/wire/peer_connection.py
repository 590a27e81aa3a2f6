"""One multiplexed connection between two processes of the mesh: many calls at once, identified by number.

It is an `asyncio.Protocol` with callbacks, without a task or a future for each call: a forwarded request
passes here twice, and waking a task each time would cost more than its entire framing. Everything written in
one iteration of the event loop is sent in one `write`.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol, cast

import structlog

from cometdoor.errors import CometdoorError
from cometdoor.host.body_stream import BodyReceiver, BodySender
from cometdoor.host.link_scheduler import LinkScheduler, ScheduledTransport
from cometdoor.wire.body_streams import BodyAborted, BodyChunk, BodyCredit
from cometdoor.wire.call_control import CallRejected, CancelCall, Ping, Pong
from cometdoor.wire.connection_bodies import ConnectionBodies
from cometdoor.wire.connection_statistics import ConnectionStatistics
from cometdoor.wire.forwarding import StreamedForwardResponse
from cometdoor.wire.frames import (
    Frame,
    FrameDecoder,
    FrameError,
    Message,
    UnencodableFrameError,
    encode,
)

# After this time without a byte from the peer's machine, on any connection, a connection on which a reply is
# awaited is closed.
KEEPALIVE_TIMEOUT_S = 1.0
WRITE_BUFFER_HIGH_WATER_BYTES = 1 << 20
LARGE_FRAME_BYTES = 4096  # larger frames are written one by one where the link is scheduled
log = structlog.get_logger()


class PeerError(CometdoorError):
    """A call failed.

    It is passed to the caller's callback in place of a reply, or returned; it is not raised.

    Attributes
    ----------
    step : str
        ``"connect"``, ``"encode"``, ``"write"`` or ``"answer"``: what the call waited for.
    peer : str
        Address that was dialled; empty for a connection that the peer opened.
    reason : str
        What happened, for the log.
    may_have_arrived : bool
        True if the peer may have received the message. A call that is not idempotent may be retried only if
        this is False.
    """

    def __init__(self, step: str, peer: str, reason: str, may_have_arrived: bool) -> None:
        super().__init__(f"{step} with {peer}: {reason}")
        self.step, self.peer, self.reason = step, peer, reason
        self.may_have_arrived = may_have_arrived


@dataclass(frozen=True, slots=True)
class StreamedReply:
    """A reply whose body follows; the body is cancelled unless its receiver is started at once."""

    head: StreamedForwardResponse
    body: BodyReceiver

    @property
    def status(self) -> int:
        """The response's status."""
        return self.head.status


OnReply = Callable[[Message | PeerError], None]
OnStreamedReply = Callable[[StreamedReply], None]


@dataclass(slots=True)
class PendingCall:
    """A call whose reply is awaited."""

    connection: PeerConnection
    call_id: int
    on_reply: OnReply | None  # None after the reply, a failure or a cancellation
    encoded_frame: bytes
    on_streamed_reply: OnStreamedReply | None = None  # None: such a reply is a failure of the peer

    def cancel(self) -> bool:
        """Stop waiting for the reply and notify the peer.

        Returns
        -------
        bool
            True if the call had not been written yet: the peer will never receive it.
        """
        if self.on_reply is None:
            return False
        self.on_reply = self.on_streamed_reply = None
        self.connection.forget_call(self.call_id)
        if not self.was_sent() and self.connection.remove_unsent(self.encoded_frame):
            return True
        if self.connection.discard_queued(-self.call_id):
            return True
        self.connection.write(Frame(0, False, CancelCall(self.call_id)))
        return False

    def send_body(self, chunks: Iterable[bytes]) -> None:
        """Send the body of a `StreamedForwardRequest` as the peer grants credit for it."""
        self.connection.bodies.send_with_call(self.call_id, chunks)

    def was_sent(self) -> bool:
        """Return whether the peer may have received any part of the call."""
        return self.connection.was_sent(self.call_id)

    def discard(self) -> None:
        """Stop waiting for the reply without notifying the peer."""
        self.on_reply = self.on_streamed_reply = None
        self.connection.forget_call(self.call_id)


class PeerConnectionOwner(Protocol):
    """Interface that a connection requires of its owner, the `PeerConnections` of the process."""

    loop: asyncio.AbstractEventLoop
    handler: Handler  # called with each message that is not a reply
    last_call_id: int  # of the newest call on any connection
    statistics: ConnectionStatistics
    last_received_from: dict[str, float]  # by machine: time of the last data from it, on any connection
    link: LinkScheduler

    def discard(self, connection: PeerConnection) -> None:
        """Remove a closed connection."""


class PeerConnection(asyncio.Protocol):
    """A connection to or from another process, open or still being dialled."""

    def __init__(self, connections: PeerConnectionOwner, peer: str) -> None:
        self.peer = peer  # "ip:port" that was dialled; empty if the peer opened it
        self.machine = ""  # the peer's IP address, once the connection is open
        self.pending_calls: dict[int, PendingCall] = {}
        # By id of a call of the peer: called if the peer cancels it or the connection closes.
        self.cancel_callbacks: dict[int, Callable[[], None]] = {}
        self.bodies = ConnectionBodies(self.write, peer)
        self.is_closed = False
        self.is_open = False
        self._connections = connections
        self._frame_decoder = FrameDecoder()
        # Encoded frames, each with the id of the peer's call, or the negative id of a call of this side.
        # The flag: it must not overtake large frames that wait for the link.
        self._outgoing: list[tuple[int, bytes, bool]] = []
        self._transport: asyncio.Transport | None = None
        self._is_flush_scheduled = False
        self._last_sent_id = 0  # calls with higher ids have not been written to this connection
        self.last_received_at = self.last_used_at = connections.loop.time()
        self._pinged_at: float | None = None  # time of the oldest ping since which nothing has arrived

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options and write the frames queued while the peer was being dialled."""
        self._transport = self._connections.link.wrap(cast(asyncio.Transport, transport), keeps_order=False)
        self.machine = str((transport.get_extra_info("peername") or (id(self),))[0])
        raw_socket = transport.get_extra_info("socket")
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        # In milliseconds. Twice the keepalive timeout, which acts first while replies are awaited.
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(KEEPALIVE_TIMEOUT_S * 2000))
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_WATER_BYTES)
        self.last_received_at = self._connections.loop.time()
        if self.is_closed:
            self._transport.abort()
            return
        self.is_open = True
        self._flush()

    def data_received(self, data: bytes) -> None:
        """Dispatch complete messages; close the connection if one is invalid."""
        self.last_received_at = self._connections.loop.time()
        self._connections.last_received_from[self.machine] = self.last_received_at
        if self._pinged_at is not None:
            self._connections.statistics.on_ping_answered(self.last_received_at - self._pinged_at)
            self._pinged_at = None
        try:
            frames = self._frame_decoder.feed(data)
        except FrameError as error:
            log.warning("bad frame", peer=self.peer, step="read", error=str(error))
            self.close("not a frame of the mesh's protocol")
            return
        for frame in frames:
            if self.is_closed:
                return
            if frame.is_reply and not self.was_sent(frame.call_id):
                log.warning("unsolicited reply", peer=self.peer, step="read", call=frame.call_id)
                self.close("unsolicited reply")
                return
            self._dispatch(frame)

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the pending calls."""
        self.close(str(error or "closed"))

    # --- frames ---

    def _dispatch(self, frame: Frame) -> None:
        message = frame.message
        if isinstance(message, BodyChunk | BodyCredit | BodyAborted):
            self.bodies.dispatch(frame.call_id, message)
        elif frame.is_reply:
            call = self.pending_calls.pop(frame.call_id, None)
            self.bodies.stop_sending(frame.call_id)
            if call is not None and isinstance(message, StreamedForwardResponse):
                self._pass_streamed_reply(call, message)
            elif call is not None:
                self._pass_reply(call, message)
        elif isinstance(message, Ping):
            self.write(Frame(frame.call_id, True, Pong()))
        elif isinstance(message, CancelCall):
            on_cancel = self.cancel_callbacks.pop(message.call_id, None)
            self.bodies.end(message.call_id)
            if on_cancel is not None:
                on_cancel()
            else:
                self.discard_queued(message.call_id)  # its reply
        else:
            self._handle(message, frame.call_id)

    def _handle(self, message: Message, call_id: int) -> None:
        """Pass a message to this process; if that fails, its caller is told, and the connection goes on."""
        try:
            self._connections.handler(message, self, call_id)
        except Exception as error:
            log.error(
                "message handler failed",
                step="handle",
                peer=self.peer or self.machine,
                message=type(message).__name__,
                error=repr(error),
            )
            self.respond(call_id, CallRejected("its handler failed"))

    def _pass_streamed_reply(self, call: PendingCall, head: StreamedForwardResponse) -> None:
        """Pass the head of a reply to its caller; the body is cancelled unless its receiver is started."""

        def cancel() -> None:
            self.write(Frame(0, False, CancelCall(call.call_id)))

        body = self.bodies.receive_with_reply(call.call_id, cancel)
        on_streamed_reply, call.on_streamed_reply = call.on_streamed_reply, None
        if on_streamed_reply is None:
            self._pass_reply(call, PeerError("answer", self.peer, "a reply in parts was not expected", True))
        else:
            call.on_reply = None
            try:
                on_streamed_reply(StreamedReply(head, body))
            except Exception as error:
                log.error("reply handler failed", step="answer", peer=self.peer, error=repr(error))
        if not body.has_consumer:
            body.cancel()

    def respond_streamed(self, call_id: int, head: StreamedForwardResponse) -> BodySender:
        """Reply to a call with a head; the body goes through the returned sender.

        The call may be cancelled until all of the body was sent.
        """

        def on_sent() -> None:
            self.cancel_callbacks.pop(call_id, None)
            self.bodies.end(call_id)

        self.write(Frame(call_id, True, head))
        return self.bodies.send_with_reply(call_id, on_sent)

    def abort_body(self, call_id: int) -> None:
        """Notify the peer that the rest of the body of a reply will not come."""
        self.cancel_callbacks.pop(call_id, None)
        self.bodies.abort_reply(call_id)

    def forget_call(self, call_id: int) -> None:
        """Stop waiting for the reply to a call of this side, and stop sending its body."""
        self.pending_calls.pop(call_id, None)
        self.bodies.stop_sending(call_id)

    def has_calls(self) -> bool:
        """Return whether any call, reply or body on this connection is incomplete."""
        return bool(self.cancel_callbacks or self.bodies.is_sending or self.awaits_data())

    def awaits_data(self) -> bool:
        """Return whether the peer owes a reply or a part of one."""
        return bool(self.pending_calls) or self.bodies.is_receiving

    def _pass_reply(self, call: PendingCall, reply: Message | PeerError) -> None:
        """Pass a reply to its caller; a failure there concerns neither the connection nor its other calls."""
        on_reply, call.on_reply = call.on_reply, None
        call.on_streamed_reply = None
        if on_reply is None:
            return
        try:
            on_reply(reply)
        except Exception as error:
            log.error("reply handler failed", step="answer", peer=self.peer, error=repr(error))

    def ping(self) -> None:
        """Send a ping to a silent peer to check that it is alive."""
        if self._pinged_at is None:
            self._pinged_at = self._connections.loop.time()
        self.write(Frame(0, False, Ping()))

    def respond(self, call_id: int, message: Message) -> None:
        """Reply to a call that arrived on this connection; dropped if the connection is closed.

        For a message that awaits no reply (`call_id` 0) nothing is sent. A reply that can't be encoded is
        replaced by a rejection of the call.
        """
        self.cancel_callbacks.pop(call_id, None)
        self.bodies.end(call_id)
        if not call_id:
            return
        try:
            self.write(Frame(call_id, True, message))
        except UnencodableFrameError as error:
            log.error("message dropped", step="encode", peer=self.peer, error=str(error))
            self.write(Frame(call_id, True, CallRejected("the reply can't be encoded")))

    def write(self, frame: Frame, is_in_order: bool = False) -> bytes:
        """Queue a frame for the next flush, and return its bytes, which identify it for `remove_unsent`.

        A frame `is_in_order` overtakes no other frame that waits for the link.

        Raises
        ------
        UnencodableFrameError
            If the message can't be encoded; nothing was queued.
        """
        data = encode(frame)
        if not self.is_closed:
            key = frame.call_id if frame.is_reply else -frame.call_id
            self._outgoing.append((key, data, is_in_order))
            if self.is_open and not self._is_flush_scheduled:
                self._is_flush_scheduled = True
                self._connections.loop.call_soon(self._flush)
        return data

    def remove_unsent(self, data: bytes) -> bool:
        """Remove a queued frame; return False if it was written already.

        Otherwise a request that is cancelled while the connection is being dialled would be executed once the
        connection is open.
        """
        for index, (_, queued, _) in enumerate(self._outgoing):
            if queued is data:
                del self._outgoing[index]
                return True
        return False

    def was_sent(self, call_id: int) -> bool:
        """Return whether a call on this connection was passed to the transport.

        How much of it is still in the transport's and the kernel's buffers when the connection is lost is
        unknown, so it then counts as received by the peer.
        """
        return call_id <= self._last_sent_id

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        if self._outgoing and self._transport is not None and not self.is_closed:
            if self._transport.is_closing():
                return  # a closing transport accepts no more data; the queued frames are never sent
            outgoing, self._outgoing = self._outgoing, []
            self._last_sent_id = self._connections.last_call_id
            if isinstance(self._transport, ScheduledTransport):
                self._write_scheduled(self._transport, outgoing)
            else:
                self._transport.write(b"".join([data for _, data, _ in outgoing]))

    def _write_scheduled(
        self, transport: ScheduledTransport, outgoing: list[tuple[int, bytes, bool]]
    ) -> None:
        """Write short frames together, and each large one by itself, so that it can be discarded.

        Parts of bodies have no key: what was sent of a body can't be taken back.
        """
        transport.write_short(
            b"".join(
                [
                    data
                    for _, data, is_in_order in outgoing
                    if len(data) <= LARGE_FRAME_BYTES and not is_in_order
                ]
            )
        )
        for key, data, is_in_order in outgoing:
            if is_in_order:
                transport.write_in_order(data)
            elif len(data) > LARGE_FRAME_BYTES:
                transport.write_message(key, data)

    def discard_queued(self, key: int) -> bool:
        """Discard a large frame that waits for the link if none of it was sent; return whether there was one.

        Otherwise a cancellation could overtake its call: short frames are sent before queued large ones.
        `key` is the id of a call of the peer, for its reply, or the negative id of a call of this side.
        """
        return isinstance(self._transport, ScheduledTransport) and self._transport.discard(key)

    def unsent_bytes(self) -> int:
        """Return the number of bytes in the transport's write buffer."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def close(self, reason: str, step: str = "answer") -> None:
        """Abort the connection; its pending calls fail, and calls of the peer are cancelled.

        Parameters
        ----------
        reason : str
            Reason in the `PeerError` of each pending call.
        step : str
            Step in these errors; replaced by ``"connect"`` if the connection never opened.
        """
        if self.is_closed:
            return
        self.is_closed = True
        was_open = self.is_open
        self._connections.statistics.on_closed(reason if was_open else "connecting failed")
        self._connections.discard(self)
        if self._transport is not None:
            self._transport.abort()
        pending_calls, self.pending_calls = self.pending_calls, {}
        cancel_callbacks, self.cancel_callbacks = self.cancel_callbacks, {}
        for call in pending_calls.values():
            failed_step = step if was_open else "connect"
            may_have_arrived = self.was_sent(call.call_id)
            self._pass_reply(call, PeerError(failed_step, self.peer, reason, may_have_arrived))
        self.bodies.fail_all()
        for on_cancel in cancel_callbacks.values():
            on_cancel()


Handler = Callable[[Message, PeerConnection, int], None]
"""Called with a message, its connection, and the id of the call to respond to (0: no reply is awaited)."""
