"""Connections whose other end is a script: bytes in memory, in virtual time.

The programs' own protocols run on these transports. The script decides how many written bytes the socket's
buffer takes, feeds bytes to the program, closes or resets the connection, and reads what was written.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterator
from typing import Any
from unittest import mock

import structlog

import cometdoor.http.backend_connection
import cometdoor.http.client_connection
from simulation.event_loop import VirtualLoop

UNLIMITED_BYTES = 1 << 40


class _Socket:
    """A socket whose options have no effect."""

    def setsockopt(self, *arguments: Any) -> None:
        pass


class ScriptedTransport(asyncio.Transport):
    """One connection, from the program's side."""

    def __init__(
        self, loop: ScriptedLoop, writable_bytes: int = UNLIMITED_BYTES, fails_writes: bool = False
    ) -> None:
        """Open a connection.

        `writable_bytes`: bytes that the socket's buffer takes. `fails_writes`: the first write fails, because
        of a reset that the program has not seen yet.
        """
        super().__init__()
        self.loop = loop
        self.writable_bytes = writable_bytes
        self.fails_writes = fails_writes
        self.protocol: Any = None
        self.accepted = bytearray()  # bytes written to the socket, in order
        self.is_closed = False
        self.has_sent_eof = False  # the program has closed its writing side
        self._buffered = bytearray()  # written by the program while the socket's buffer is full
        self._is_paused = False

    def attach(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol
        self.protocol.connection_made(self)

    # --- the script's calls ---

    def feed(self, data: bytes) -> None:
        """Deliver bytes to the program."""
        if not self.is_closed:
            self.protocol.data_received(data)

    def close_by_peer(self) -> None:
        """Close the connection from the other side, without a reset."""
        if not self.is_closed and not self.protocol.eof_received():
            self.close()

    def reset(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self._buffered.clear()
            self.protocol.connection_lost(ConnectionResetError("reset"))

    def accept_more(self, size: int = UNLIMITED_BYTES) -> None:
        """Read more on the other side, so that the socket's buffer takes more."""
        self.writable_bytes += size
        buffered, self._buffered = bytes(self._buffered), bytearray()
        self._accept(buffered)
        if self._is_paused and not self._buffered:
            self._is_paused = False
            self.protocol.resume_writing()

    # --- the program's calls ---

    def write(self, data: Any) -> None:
        if self.is_closed or self.has_sent_eof:
            return
        if self.fails_writes:
            self._disconnect(BrokenPipeError("reset"))
        elif self._buffered:
            self._buffered += data
        else:
            self._accept(bytes(data))

    def _accept(self, data: bytes) -> None:
        self.accepted += data[: self.writable_bytes]
        remainder = data[self.writable_bytes :]
        self.writable_bytes -= len(data) - len(remainder)
        if remainder:
            self._buffered += remainder
            if not self._is_paused:
                self._is_paused = True
                self.protocol.pause_writing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return _Socket() if name == "socket" else default

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return len(self._buffered)

    def is_closing(self) -> bool:
        return self.is_closed

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.has_sent_eof = True

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if not self.is_closed:
            self._disconnect(None)

    def _disconnect(self, error: Exception | None) -> None:
        self.is_closed = True
        self._buffered.clear()
        self.loop.call_soon(self.protocol.connection_lost, error)


class PendingConnect:
    """A connection that is being opened."""

    def __init__(self, loop: ScriptedLoop, factory: Any) -> None:
        self._loop = loop
        self._factory = factory
        self.outcome: asyncio.Future[tuple[ScriptedTransport, Any]] = loop.create_future()

    def open(self) -> ScriptedTransport:
        transport = ScriptedTransport(self._loop, self._loop.writable_bytes, self._loop.fails_writes)
        self._loop.transports.append(transport)
        protocol = self._factory()
        transport.attach(protocol)
        if not self.outcome.done():
            self.outcome.set_result((transport, protocol))
        return transport

    def fail(self, error: OSError) -> None:
        if not self.outcome.done():
            self.outcome.set_exception(error)


class ScriptedLoop(VirtualLoop):
    """Event loop in virtual time whose connections are scripted."""

    def __init__(self) -> None:
        super().__init__()
        self.transports: list[ScriptedTransport] = []  # all opened connections
        self.connects: list[PendingConnect] = []  # all attempts to connect
        self.delays_connects = False  # attempts to connect stay pending until the script ends them
        self.writable_bytes = UNLIMITED_BYTES  # of the next connection
        self.fails_writes = False

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> tuple[ScriptedTransport, Any]:
        pending_connect = PendingConnect(self, factory)
        self.connects.append(pending_connect)
        if not self.delays_connects:
            pending_connect.open()
        return await pending_connect.outcome

    def wait(self, seconds: float) -> None:
        self.run_until_complete(asyncio.sleep(seconds))


@contextlib.contextmanager
def scripted_loop() -> Iterator[ScriptedLoop]:
    """Yield a loop in virtual time, which also replaces the programs' clocks."""
    loop = ScriptedLoop()
    never_readable = lambda transport: False  # noqa: E731
    with (
        mock.patch.object(time, "monotonic", loop.time),
        mock.patch.object(cometdoor.http.backend_connection, "is_readable", never_readable),
        mock.patch.object(cometdoor.http.client_connection, "is_readable", never_readable),
        structlog.testing.capture_logs(),
    ):
        yield loop
    loop.close()
