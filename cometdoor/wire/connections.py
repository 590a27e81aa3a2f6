"""The connections of one process to its peers: dialling, listening, backoff, keepalive.

A process dials the peers that it calls and accepts connections of those that call it. A connection on which
a reply is awaited and nothing arrives is pinged, and closed if the ping is not answered either: a peer that
lost power, or is cut off by a network partition, never closes its connections.
"""

from __future__ import annotations

import asyncio

import structlog

from cometdoor.host.address import parse_address
from cometdoor.host.link_scheduler import LinkScheduler
from cometdoor.host.repeating_timer import RepeatingTimer
from cometdoor.wire.connection_statistics import ConnectionStatistics
from cometdoor.wire.frames import Frame, Message, UnencodableFrameError
from cometdoor.wire.peer_connection import (
    KEEPALIVE_TIMEOUT_S,
    Handler,
    OnReply,
    OnStreamedReply,
    PeerConnection,
    PeerError,
    PendingCall,
)

SWEEP_INTERVAL_S = 0.15  # time between checks of all connections
# A ping is sent after this time without received data while a reply is awaited. Three pings remain unanswered
# before `KEEPALIVE_TIMEOUT_S`; a busy peer answers up to 0.3 s late.
KEEPALIVE_PING_AFTER_S = 0.35
# A connection that receives nothing for this time is closed even if the peer's machine sends data on other
# connections. On a busy link, large messages on other connections can delay those of this one by more than
# `KEEPALIVE_TIMEOUT_S`.
LIVE_PEER_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 0.8
# After a failed dial, calls to the peer fail at once for this time, since each would cost a handshake.
RECONNECT_BACKOFF_S = 0.15
# A dialled connection is closed after this time without use, since gossip neighbours change.
IDLE_TIMEOUT_S = 30.0
MAX_UNSENT_BYTES = 8 << 20  # in one connection's write buffer; beyond that calls and messages are rejected
log = structlog.get_logger()


class PeerConnections:
    """Owns all connections of one process, by peer and channel; dials them when they are needed."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, handler: Handler, link: LinkScheduler | None = None
    ) -> None:
        """Prepare without listening.

        Parameters
        ----------
        loop : asyncio.AbstractEventLoop
            Event loop of the process.
        handler : Handler
            Called with each received message that is not a reply: the message, its connection, and the
            number of its call for `PeerConnection.respond` (0 if it awaits no reply).
        link : LinkScheduler | None
            Schedules outgoing data; with None it is sent at once.
        """
        self.link = link or LinkScheduler(loop, 0.0, "")
        self.loop = loop
        self.handler = handler
        self.statistics = ConnectionStatistics()
        self.last_received_from: dict[str, float] = {}
        self.last_call_id = 0  # ids increase across all connections; see `PeerConnection.was_sent`
        self._outbound: dict[tuple[str, str], PeerConnection] = {}  # by peer and channel
        self._inbound: dict[PeerConnection, None] = {}
        self._backoff_until: dict[str, float] = {}  # on the loop's clock, by peer that could not be dialled
        self._server: asyncio.AbstractServer | None = None
        self._sweep_timer = RepeatingTimer(loop, SWEEP_INTERVAL_S, self._sweep)

    async def listen(self, host: str, port: int) -> None:
        """Accept connections and start the keepalive checks.

        Raises
        ------
        OSError
            If the address can't be bound.
        """

        def accept() -> PeerConnection:
            connection = PeerConnection(self, "")
            self._inbound[connection] = None
            return connection

        self._server = await self.loop.create_server(accept, host, port, reuse_address=True, backlog=512)
        self._sweep_timer.start()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._sweep_timer.stop()
        if self._server is not None:
            self._server.close()
        for connection in [*self._outbound.values(), *self._inbound]:
            connection.close("this process shuts down")

    def discard(self, connection: PeerConnection) -> None:
        """Remove a closed connection; if it never opened, start the backoff for its peer."""
        self._inbound.pop(connection, None)
        for key, outbound in list(self._outbound.items()):
            if outbound is connection:
                del self._outbound[key]
                if not connection.is_open:
                    self._backoff_until[key[0]] = self.loop.time() + RECONNECT_BACKOFF_S

    def has_calls(self) -> bool:
        """Return whether any call to or from a peer is incomplete."""
        return any(connection.has_calls() for connection in [*self._outbound.values(), *self._inbound])

    def sends_bodies(self) -> bool:
        """Return whether the body of any call or reply was not sent to its end."""
        return any(connection.bodies.is_sending for connection in [*self._outbound.values(), *self._inbound])

    def _connection_to(self, peer: str, channel: str) -> PeerConnection | None:
        """Return the connection to a peer, dialling it if there is none; None while backing off."""
        connection = self._outbound.get((peer, channel))
        if connection is not None:
            return connection
        if (until := self._backoff_until.get(peer)) is not None:
            if until > self.loop.time():
                return None
            del self._backoff_until[peer]
        connection = self._outbound[peer, channel] = PeerConnection(self, peer)
        task = self.loop.create_task(self._dial(connection, peer))
        # Retrieves the task's exception, which asyncio would log otherwise.
        task.add_done_callback(lambda task: task.cancelled() or task.exception())
        return connection

    async def _dial(self, connection: PeerConnection, peer: str) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(lambda: connection, *parse_address(peer))
        except (OSError, TimeoutError, ValueError) as error:
            connection.close(str(error) or "connect timeout", "connect")

    def send(self, peer: str, message: Message, channel: str = "") -> bool:
        """Send a message that awaits no reply and may be lost; return False if it was dropped at once."""
        connection = self._connection_to(peer, channel)
        if connection is None or connection.unsent_bytes() > MAX_UNSENT_BYTES:
            return False
        connection.last_used_at = self.loop.time()
        try:
            connection.write(Frame(0, False, message))
        except UnencodableFrameError as error:
            log.error("message dropped", step="encode", peer=peer, error=str(error))
            return False
        return True

    def call(
        self,
        peer: str,
        message: Message,
        on_reply: OnReply,
        channel: str = "",
        on_streamed_reply: OnStreamedReply | None = None,
    ) -> PendingCall | PeerError:
        """Send a message that awaits a reply.

        Parameters
        ----------
        peer : str
            Internal address, "ip:port".
        message : Message
            The request.
        on_reply : OnReply
            Called once, later, with the reply or a `PeerError`, unless the call is cancelled or discarded.
        channel : str
            Name of a separate connection to the peer; calls of one channel share it.
        on_streamed_reply : OnStreamedReply | None
            Called in place of `on_reply` with a reply whose body follows in chunks.

        Returns
        -------
        PendingCall | PeerError
            A `PeerError` if nothing was written; `on_reply` is not called then.
        """
        connection = self._connection_to(peer, channel)
        if connection is None:
            return PeerError("connect", peer, "the last connection attempt failed; backing off", False)
        if connection.unsent_bytes() > MAX_UNSENT_BYTES:
            return PeerError("write", peer, "the send buffer is full", False)
        self.last_call_id += 1
        try:
            written = connection.write(Frame(self.last_call_id, False, message))
        except UnencodableFrameError as error:
            log.error("message dropped", step="encode", peer=peer, error=str(error))
            return PeerError("encode", peer, str(error), False)
        call = connection.pending_calls[self.last_call_id] = PendingCall(
            connection, self.last_call_id, on_reply, written, on_streamed_reply
        )
        return call

    def _sweep(self) -> None:
        """Close idle and unresponsive connections, and ping silent ones that owe a reply."""
        now = self.loop.time()
        for connection in [*self._outbound.values(), *self._inbound]:
            if connection.awaits_data():
                connection.last_used_at = now
            elif connection.peer and connection.is_open and now - connection.last_used_at > IDLE_TIMEOUT_S:
                connection.close("idle timeout")
            if not connection.is_open or not connection.awaits_data():
                if not connection.awaits_data():
                    # Silence is normal without a call; the next call must lead to a ping before the timeout.
                    connection.last_received_at = max(
                        connection.last_received_at, now - KEEPALIVE_PING_AFTER_S
                    )
                continue
            silent_for_s = now - connection.last_received_at
            machine_silent_for_s = now - self.last_received_from.get(
                connection.machine, connection.last_received_at
            )
            if silent_for_s > LIVE_PEER_TIMEOUT_S or (
                silent_for_s > KEEPALIVE_TIMEOUT_S and machine_silent_for_s > KEEPALIVE_TIMEOUT_S
            ):
                connection.close("keepalive timeout", "answer")
            elif silent_for_s > KEEPALIVE_PING_AFTER_S:
                connection.ping()
