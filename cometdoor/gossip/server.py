"""Gossip over a process's connections: runs the timer of a `Directory` and transmits its messages."""

from __future__ import annotations

import asyncio

from cometdoor.gossip.configuration_exchange import ConfigurationExchange, OnFetched
from cometdoor.gossip.directory import Directory, GossipRequest
from cometdoor.host.repeating_timer import RepeatingTimer
from cometdoor.wire.call_control import Ping, Pong
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.frames import Message
from cometdoor.wire.gossip import (
    ConfigurationRequest,
    DigestReply,
    DigestRequest,
    GossipUpdate,
    IndirectProbe,
    IndirectProbeReply,
)
from cometdoor.wire.peer_connection import PeerConnection, PeerError

TICK_INTERVAL_S = 0.05  # period of the directory's timer


class GossipServer:
    """Sends the messages of a `Directory`, passes it those of peers, and distributes configurations."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connections: PeerConnections,
        directory: Directory,
        on_fetched: OnFetched,
    ) -> None:
        """Prepare without starting; `on_fetched` is called with each newer configuration of a peer."""
        self.directory = directory
        self._configurations = ConfigurationExchange(loop, connections, on_fetched)
        self._loop = loop
        self._connections = connections
        self._timer = RepeatingTimer(loop, TICK_INTERVAL_S, self._tick)

    def start(self) -> None:
        """Start the timer."""
        self._timer.start()

    def stop(self) -> None:
        """Stop the timer; messages are still answered."""
        self._timer.stop()

    def _tick(self) -> None:
        self.directory.tick(self._loop.time())
        self.flush()

    def flush(self) -> None:
        """Send the directory's updates and requests."""
        outbox, self.directory.outbox = self.directory.outbox, []
        for address, update in outbox:
            self._connections.send(address, update)
        requests, self.directory.requests = self.directory.requests, []
        for address, request in requests:
            self._send_request(address, request)

    def _send_request(self, address: str, request: GossipRequest) -> None:
        def on_reply(reply: Message | PeerError) -> None:
            now = self._loop.time()
            if isinstance(request, IndirectProbe):
                is_reachable = reply.is_reachable if isinstance(reply, IndirectProbeReply) else None
                self.directory.on_indirect_probe_reply(request.address, is_reachable, now)
            elif isinstance(reply, DigestReply):
                self.directory.on_digest_reply(address, reply, now)
                self._configurations.fetch_if_newer(address, reply.revision)
            elif isinstance(reply, PeerError):
                self.directory.on_request_failed(address, now)
            self.flush()

        call = self._connections.call(address, request, on_reply)
        if isinstance(call, PeerError):
            self._loop.call_soon(on_reply, call)

    def receive(self, message: Message, connection: PeerConnection, call_id: int) -> bool:
        """Handle a message of the gossip protocol; return False for a message of another protocol."""
        match message:
            case GossipUpdate():
                self.directory.on_update(message, self._loop.time())
                self._configurations.fetch_if_newer(message.sender, message.revision)
                self.flush()
            case DigestRequest():
                connection.respond(call_id, self.directory.on_digest_request(message, self._loop.time()))
                self._configurations.fetch_if_newer(message.sender, message.revision)
                self.flush()
            case IndirectProbe():
                self._probe(message.address, connection, call_id)
            case ConfigurationRequest():
                connection.respond(call_id, self._configurations.build_reply(message.newer_than))
            case _:
                return False
        return True

    def _probe(self, address: str, connection: PeerConnection, call_id: int) -> None:
        def on_reply(reply: Message | PeerError) -> None:
            connection.respond(call_id, IndirectProbeReply(isinstance(reply, Pong)))

        call = self._connections.call(address, Ping(), on_reply)
        if isinstance(call, PeerError):
            on_reply(call)

    def on_configuration(self, revision: int, body: bytes) -> None:
        """Announce and serve a configuration that is in force here; older ones are ignored."""
        if revision > self.directory.revision:
            self._configurations.on_configuration(revision, body)
            self.directory.on_configuration(revision)
            self.flush()
