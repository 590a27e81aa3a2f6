"""Connection pool: selects a connection for each exchange, and closes idle ones before the backend does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cometdoor.balancing.api import Outcome
from cometdoor.host.address import Address
from cometdoor.host.connection_reuse import ConnectionReuse
from cometdoor.host.fair_share import Quota
from cometdoor.http.backend_connection import BackendConnection
from cometdoor.http.backend_exchange import BackendExchange
from cometdoor.http.messages import Response
from cometdoor.http.response_classification import classify_platform_response
from cometdoor.http.response_limits import PLATFORM_RESPONSE_LIMITS, ResponseLimits

# Limit of response bytes that are being received in a pool or wait for slow clients to read them. Above it,
# responses larger than 64 KiB fail. While chunks are joined and written, up to three copies exist: 48 of the
# 65 MB that the platform's memory limit leaves beside the program.
MAX_BUFFERED_BYTES = 16 << 20
# Minimum time between a response and the connection's reuse, so that extra bytes after it are detected.
REUSE_DELAY_S = 0.05


class BackendConnectionPool:
    """Connections to the backends of one service; the most recently used idle one is reused first."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        quota: Quota,
        *,
        idle_close_ms: float,
        connect_timeout_ms: float,
        classify_response: Callable[[Response], Outcome] = classify_platform_response,
        count_unread_bytes: Callable[[], int] = lambda: 0,
        partial_request_may_run: bool = False,
        response_limits: ResponseLimits = PLATFORM_RESPONSE_LIMITS,
    ) -> None:
        """Create a pool without connections.

        Parameters
        ----------
        loop
            The event loop on which connections are opened.
        quota
            Limits the connections, together with other users of file descriptors.
        idle_close_ms
            Idle timeout of the backends; the pool closes idle connections somewhat earlier.
        connect_timeout_ms
            Timeout for opening a connection.
        classify_response
            Returns the outcome of an attempt for its response.
        count_unread_bytes
            Returns the bytes of responses that clients have not read yet.
        partial_request_may_run
            Whether a partially written request may have been executed.
        response_limits
            Which responses are accepted.
        """
        self.response_limits = response_limits
        self.partial_request_may_run = partial_request_may_run
        self.loop = loop
        self.classify_response = classify_response
        self.max_connections: int | None = None  # at the same time; `quota` may allow fewer
        self.buffered_bytes = 0  # of responses that are being received
        self.opened_count = 0  # connections opened so far
        self._count_unread_bytes = count_unread_bytes
        self._quota = quota
        self._open_count = 0
        # Shorter than the backend's timeout: otherwise a request could meet a connection that it is closing.
        self._max_idle_s = max(0.5 * idle_close_ms, 0.9 * idle_close_ms - 250.0) / 1000.0
        self._connect_timeout_ms = connect_timeout_ms
        # All connections, both idle and in use.
        self._connections_by_server: dict[str, set[BackendConnection]] = {}
        # Idle connections, the most recently used last.
        self._idle_by_server: dict[str, list[BackendConnection]] = {}
        self._idle_by_age: dict[BackendConnection, None] = {}  # all idle connections, the longest idle first
        self._idle_timer: asyncio.TimerHandle | None = None  # set while any connection is idle
        self.reuse = ConnectionReuse()

    def send(self, server: str, address: Address, exchange: BackendExchange) -> bool:
        """Write the exchange on an idle connection, or on a new one.

        Returns
        -------
        bool
            False if no connection may be opened; then no byte is written.
        """
        if idle_connection := self._acquire_idle(
            server, is_not_idempotent=exchange.max_last_byte_delay_s > 0.0, request_id=exchange.request_id
        ):
            idle_connection.start(exchange)
            return True
        if not self._acquire_quota():
            return False
        connection = BackendConnection(self, server, address, exchange)
        exchange.connection = connection
        self._connections_by_server.setdefault(server, set()).add(connection)
        connection.open(self._connect_timeout_ms)
        return True

    def _acquire_quota(self) -> bool:
        if (
            self.max_connections is not None
            and self._open_count >= self.max_connections
            and not self.close_oldest_idle()
        ):
            return False
        if not self._quota.acquire() and not (self.close_oldest_idle() and self._quota.acquire()):
            return False
        self._open_count += 1
        self.opened_count += 1
        return True

    def is_buffer_full(self) -> bool:
        """Return whether large responses are rejected for lack of memory."""
        return self.buffered_bytes + self._count_unread_bytes() > MAX_BUFFERED_BYTES

    def _acquire_idle(
        self, server: str, is_not_idempotent: bool, request_id: bytes
    ) -> BackendConnection | None:
        """Remove and return an idle connection that is worth reusing, or None if there is none.

        Connections with extra bytes after their last response are not reused: the bytes would be mistaken for
        the next request's response.

        Parameters
        ----------
        server
            The backend's name.
        is_not_idempotent
            Whether the request must not be retried if the connection turns out to be closed.
        request_id
            Connections on which a request with this id has failed are not used.
        """
        idle_since_max = self.loop.time() - REUSE_DELAY_S
        for connection in reversed(list(self._idle_by_server.get(server, ()))):
            if connection.idle_since > idle_since_max or (
                connection.failed_request_ids and request_id in connection.failed_request_ids
            ):
                continue
            if connection.has_unread_input():
                connection.abort()
            elif self.reuse.is_worth_reusing(server, connection.idle_s(), is_not_idempotent):
                self._remove_idle(connection)
                return connection
            elif not self.reuse.is_worth_reusing(server, connection.idle_s(), is_not_idempotent=False):
                if not is_not_idempotent and self.reuse.is_trial_due():
                    self._remove_idle(connection)
                    return connection
                connection.abort()  # with more idle time it would only become less likely to be alive
        return None

    def release(self, connection: BackendConnection) -> None:
        """Add a reusable connection to the idle connections."""
        self._idle_by_server.setdefault(connection.server, []).append(connection)
        self._idle_by_age[connection] = None
        connection.idle_since = self.loop.time()
        if self._idle_timer is None:
            self._idle_timer = self.loop.call_later(self._max_idle_s, self._close_expired)

    def _close_expired(self) -> None:
        """Close the connections that have been idle for too long.

        All connections share one timer: one for each would be set and cancelled with every request.
        """
        self._idle_timer = None
        expires_at = self.loop.time() - self._max_idle_s
        for connection in list(self._idle_by_age):
            if connection.idle_since > expires_at:
                self._idle_timer = self.loop.call_later(
                    connection.idle_since - expires_at, self._close_expired
                )
                return
            connection.abort()

    def on_connection_closed(self, connection: BackendConnection) -> None:
        """Remove a closed connection and release its descriptor; called once for each connection."""
        self._quota.release()
        self._open_count -= 1
        server_connections = self._connections_by_server[connection.server]
        server_connections.remove(connection)
        if not server_connections:
            del self._connections_by_server[connection.server]
        if connection in self._idle_by_age:
            self._remove_idle(connection)

    def close_idle(self, server: str) -> None:
        """Close the idle connections to one backend."""
        for connection in list(self._idle_by_server.get(server, ())):
            connection.abort()

    def retire(self, server: str) -> None:
        """Stop reusing this backend's open connections; exchanges in progress may finish."""
        for connection in self._connections_by_server.get(server, ()):
            connection.is_retired = True
        self.reuse.forget_server(server)  # a later process at its address may behave differently
        self.close_idle(server)

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle for longest; return False if none is idle."""
        oldest = next(iter(self._idle_by_age), None)
        if oldest is None:
            return False
        oldest.abort()
        return True

    def close_all_idle(self) -> None:
        """Close all idle connections."""
        while self.close_oldest_idle():
            pass

    def _remove_idle(self, connection: BackendConnection) -> None:
        del self._idle_by_age[connection]
        idle_connections = self._idle_by_server[connection.server]
        idle_connections.remove(connection)
        if not idle_connections:
            del self._idle_by_server[connection.server]
