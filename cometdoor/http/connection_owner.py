"""Interfaces that a client connection uses: the frontend that accepted it, and the request handler."""

from __future__ import annotations

import asyncio
from typing import Protocol, TypeVar

from cometdoor.host.link_scheduler import LinkScheduler
from cometdoor.host.memory_account import MemoryAccount
from cometdoor.host.pause_monitor import PauseMonitor
from cometdoor.http.client_limits import ClientLimits
from cometdoor.http.connection_timeouts import ConnectionTimeouts, TimedConnection
from cometdoor.http.messages import ClientRequest, RequestReader

ConnectionT = TypeVar("ConnectionT", bound=TimedConnection)
ConnectionT_contra = TypeVar("ConnectionT_contra", contravariant=True)


class RequestHandler(Protocol[ConnectionT_contra]):
    """Serves the requests of a frontend's connections."""

    @property
    def is_ready(self) -> bool:
        """Whether health checks get the status 200 instead of 503."""

    def accept(self, connection: ConnectionT_contra, request: ClientRequest) -> None:
        """Serve a request; `connection` gets exactly one response, now or later."""

    def on_client_disconnected(self, connection: ConnectionT_contra, request: ClientRequest) -> None:
        """Cancel a request whose client has disconnected before the response."""


class ClientConnectionOwner(Protocol[ConnectionT]):
    """The part of a frontend that its connections use."""

    loop: asyncio.AbstractEventLoop
    reader: RequestReader
    handler: RequestHandler[ConnectionT]
    limits: ClientLimits
    is_draining: bool
    timeouts: ConnectionTimeouts[ConnectionT]
    connections_with_unread_responses: dict[ConnectionT, None]
    link: LinkScheduler | None
    memory: MemoryAccount | None
    pause_monitor: PauseMonitor | None

    def on_closed(self, connection: ConnectionT) -> None:
        """Remove a closed connection."""
