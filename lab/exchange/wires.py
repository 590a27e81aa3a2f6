"""Connections whose other end is a script: bytes in memory, in virtual time.

The programs' own protocols run on these transports. The script says how much of what is written the machine
takes, feeds bytes, ends or resets, and reads what came.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterator
from typing import Any
from unittest import mock

import structlog

import cometdoor.http.caller
import cometdoor.http.upstream
from lab.loop import VirtualLoop

ENDLESS = 1 << 40


class _Socket:
    """What programs set on sockets has no meaning here."""

    def setsockopt(self, *arguments: Any) -> None:
        pass


class Wire(asyncio.Transport):
    """One connection, with the program's end of it."""

    def __init__(self, loop: ScriptedLoop, takes: int = ENDLESS, refuses_writes: bool = False) -> None:
        """`takes`: bytes until the machine's buffer is full. `refuses_writes`: the first write meets a reset
        that the program has not heard of."""
        super().__init__()
        self.loop = loop
        self.takes = takes
        self.refuses_writes = refuses_writes
        self.protocol: Any = None
        self.taken = bytearray()  # by the machine, in order
        self.is_over = False
        self.has_ended = False  # the program writes no more
        self._held = bytearray()  # by the transport, until there is room
        self._is_paused = False

    def join(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol
        self.protocol.connection_made(self)

    # --- the script's calls ---

    def feed(self, data: bytes) -> None:
        """Bytes for the program."""
        if not self.is_over:
            self.protocol.data_received(data)

    def end(self) -> None:
        """The other side closes in order."""
        if not self.is_over and not self.protocol.eof_received():
            self.close()

    def reset(self) -> None:
        if not self.is_over:
            self.is_over = True
            self._held.clear()
            self.protocol.connection_lost(ConnectionResetError("reset"))

    def give_room(self, size: int = ENDLESS) -> None:
        """The other side reads on."""
        self.takes += size
        held, self._held = bytes(self._held), bytearray()
        self._take(held)
        if self._is_paused and not self._held:
            self._is_paused = False
            self.protocol.resume_writing()

    # --- the program's calls ---

    def write(self, data: Any) -> None:
        if self.is_over or self.has_ended:
            return
        if self.refuses_writes:
            self._lose(BrokenPipeError("reset"))
        elif self._held:
            self._held += data
        else:
            self._take(bytes(data))

    def _take(self, data: bytes) -> None:
        self.taken += data[: self.takes]
        rest = data[self.takes :]
        self.takes -= len(data) - len(rest)
        if rest:
            self._held += rest
            if not self._is_paused:
                self._is_paused = True
                self.protocol.pause_writing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return _Socket() if name == "socket" else default

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return len(self._held)

    def is_closing(self) -> bool:
        return self.is_over

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.has_ended = True

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if not self.is_over:
            self._lose(None)

    def _lose(self, problem: Exception | None) -> None:
        self.is_over = True
        self._held.clear()
        self.loop.call_soon(self.protocol.connection_lost, problem)


class Dial:
    """A connection that is being opened."""

    def __init__(self, loop: ScriptedLoop, factory: Any) -> None:
        self._loop = loop
        self._factory = factory
        self.outcome: asyncio.Future[tuple[Wire, Any]] = loop.create_future()

    def open(self) -> Wire:
        wire = Wire(self._loop, self._loop.takes, self._loop.refuses_writes)
        self._loop.wires.append(wire)
        protocol = self._factory()
        wire.join(protocol)
        if not self.outcome.done():
            self.outcome.set_result((wire, protocol))
        return wire

    def fail(self, problem: OSError) -> None:
        if not self.outcome.done():
            self.outcome.set_exception(problem)


class ScriptedLoop(VirtualLoop):
    def __init__(self) -> None:
        super().__init__()
        self.wires: list[Wire] = []  # all that were opened
        self.dials: list[Dial] = []  # all that were asked for
        self.holds_dials = False  # they wait for the script
        self.takes = ENDLESS  # of the next wire
        self.refuses_writes = False

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> tuple[Wire, Any]:
        dial = Dial(self, factory)
        self.dials.append(dial)
        if not self.holds_dials:
            dial.open()
        return await dial.outcome

    def wait(self, seconds: float) -> None:
        self.run_until_complete(asyncio.sleep(seconds))


@contextlib.contextmanager
def scripted() -> Iterator[ScriptedLoop]:
    """A loop whose time the programs see."""
    loop = ScriptedLoop()
    nothing_unread = lambda transport: False  # noqa: E731
    with (
        mock.patch.object(time, "monotonic", loop.time),
        mock.patch.object(cometdoor.http.upstream, "is_readable", nothing_unread),
        mock.patch.object(cometdoor.http.caller, "is_readable", nothing_unread),
        structlog.testing.capture_logs(),
    ):
        yield loop
    loop.close()
