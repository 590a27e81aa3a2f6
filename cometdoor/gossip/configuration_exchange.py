"""Distribution of configurations between peers: revisions are announced, bodies are fetched.

Gossip messages announce revisions; bodies are sent only on request. The last few bodies are retained, so
that a peer that has one of them is sent only a delta.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from cometdoor.configuration import delta
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.frames import Message
from cometdoor.wire.gossip import ConfigurationReply, ConfigurationRequest
from cometdoor.wire.peer_connection import PeerError

FETCH_TIMEOUT_S = 1.0  # after this time without a reply another fetch may start
MAX_RETAINED_REVISIONS = 4  # bodies kept as bases of deltas, including the one in force
log = structlog.get_logger()

OnFetched = Callable[[int, bytes], None]  # revision and body of a newer configuration


class ConfigurationExchange:
    """Serves the configuration in force at this process to peers, and fetches newer ones from them.

    `on_fetched` is called with each newer configuration; a process that puts it in force reports that
    by `on_configuration`.

    Attributes
    ----------
    revision : int
        Revision of the configuration in force, or 0 if there is none; it never decreases.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, connections: PeerConnections, on_fetched: OnFetched
    ) -> None:
        self.revision = 0
        self._bodies: dict[int, bytes] = {}  # by revision, oldest first
        self._replies: dict[int, ConfigurationReply] = {}  # by base revision, for the revision in force
        self._loop = loop
        self._connections = connections
        self._on_fetched = on_fetched
        self._fetching_until = 0.0  # loop time before which no other fetch starts

    def on_configuration(self, revision: int, body: bytes) -> None:
        """Serve a configuration that is now in force; it must be newer than the previous one."""
        self.revision = revision
        self._bodies[revision] = body
        if len(self._bodies) > MAX_RETAINED_REVISIONS:
            del self._bodies[next(iter(self._bodies))]
        self._replies = {}

    def build_reply(self, newer_than: int) -> ConfigurationReply:
        """Return the configuration in force for a peer that has the given revision."""
        if self.revision <= newer_than or self.revision not in self._bodies:
            return ConfigurationReply(0)
        base_revision = newer_than if newer_than in self._bodies else 0
        reply = self._replies.get(base_revision)
        if reply is None:
            body = self._bodies[self.revision]
            encoded_body = (
                delta.encode_delta(self._bodies[base_revision], body)
                if base_revision
                else delta.compress(body)
            )
            reply = ConfigurationReply(self.revision, encoded_body, base_revision)
            self._replies[base_revision] = reply
        return reply

    def fetch_if_newer(self, peer: str, revision: int) -> None:
        """Fetch from a peer that announced a revision, if it is newer than the one in force."""
        if revision > self.revision:
            self._fetch(peer)

    def _fetch(self, peer: str, is_full: bool = False) -> None:
        now = self._loop.time()
        if now < self._fetching_until:
            return
        self._fetching_until = now + FETCH_TIMEOUT_S

        def on_reply(reply: Message | PeerError) -> None:
            self._fetching_until = 0.0
            if not isinstance(reply, ConfigurationReply) or reply.revision <= self.revision:
                return
            try:
                body = self._decode(reply)
            except delta.DeltaError as error:
                log.warning("configuration not read", step="fetch", peer=peer, error=str(error))
                if not is_full:
                    self._fetch(peer, is_full=True)
                return
            self._on_fetched(reply.revision, body)

        request = ConfigurationRequest(0 if is_full else self.revision)
        if isinstance(self._connections.call(peer, request, on_reply), PeerError):
            self._fetching_until = 0.0

    def _decode(self, reply: ConfigurationReply) -> bytes:
        if reply.base_revision:
            return delta.apply_delta(self._bodies.get(reply.base_revision, b""), reply.body)
        return delta.decompress(reply.body)
