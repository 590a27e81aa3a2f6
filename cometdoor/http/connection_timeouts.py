"""Timeouts of many connections without one timer each: the owner checks queues, oldest entry first."""

from __future__ import annotations

import asyncio
from typing import Any, Generic, Protocol, TypeVar


class TimedConnection(Protocol):
    """The part of a connection that its timeouts use."""

    timeout_queue: dict[Any, float] | None
    """The timeout queue that contains the connection, if any."""


ConnectionT = TypeVar("ConnectionT", bound=TimedConnection)


class ConnectionTimeouts(Generic[ConnectionT]):
    """Queues of connections by the event that they wait for; a connection is in at most one queue.

    Each queue maps its connections to the loop time at which they were added, oldest first.

    Attributes
    ----------
    awaiting_request : dict
        Connections that wait for their first request, or for the rest of a request.
    awaiting_health_check : dict
        Idle connections that have carried only health checks so far.
    idle : dict
        Other idle connections.
    lingering : dict
        Closing connections, whose further input is read and discarded.
    """

    __slots__ = ("_loop", "awaiting_health_check", "awaiting_request", "idle", "lingering")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.awaiting_request: dict[ConnectionT, float] = {}
        self.awaiting_health_check: dict[ConnectionT, float] = {}
        self.idle: dict[ConnectionT, float] = {}
        self.lingering: dict[ConnectionT, float] = {}

    def move_to(self, queue: dict[ConnectionT, float] | None, connection: ConnectionT) -> None:
        """Move a connection to a queue and start its timeout, unless it is there already; None removes it."""
        if connection.timeout_queue is queue:
            return
        if connection.timeout_queue is not None:
            del connection.timeout_queue[connection]
        connection.timeout_queue = queue
        if queue is not None:
            queue[connection] = self._loop.time()

    def pop_expired(self, queue: dict[ConnectionT, float], since: float) -> list[ConnectionT]:
        """Remove and return the connections added to a queue at the loop time `since` or earlier."""
        expired = []
        for connection, started_at in queue.items():
            if started_at > since:
                break
            expired.append(connection)
        for connection in expired:
            self.move_to(None, connection)
        return expired
