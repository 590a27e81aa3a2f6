"""Processes of the virtual event loop, and their sockets: connections and listeners in memory."""

from __future__ import annotations

import asyncio
import contextvars
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from simulation.event_loop import VirtualLoop

ONE_WAY_DELAY_S = 0.001  # one way between machines; a tenth of it within a machine


Protocol = asyncio.BaseProtocol


class Process:
    """A process on one machine; killing it ends its callbacks, connections and listeners together."""

    def __init__(self, machine: str, name: str) -> None:
        self.machine = machine
        self.name = name
        self.is_alive = True
        self.transports: dict[VirtualTransport, None] = {}
        self.listen_addresses: list[tuple[str, int]] = []
        self.tasks: list[asyncio.Task[Any]] = []

    def __repr__(self) -> str:
        return f"{self.name} on {self.machine}"


OUTSIDE_PROCESS = Process("", "outside")


CURRENT_PROCESS: contextvars.ContextVar[Process] = contextvars.ContextVar(
    "current_process", default=OUTSIDE_PROCESS
)


class VirtualSocket:
    """A socket whose options have no effect."""

    def __init__(self, transport: VirtualTransport) -> None:
        self.transport = transport

    def setsockopt(self, *arguments: Any) -> None:
        pass

    def setblocking(self, flag: bool) -> None:
        pass

    def close(self) -> None:
        self.transport.abort()


class VirtualTransport(asyncio.Transport):
    """One end of a connection: what is written arrives at the other end after the network's delay."""

    def __init__(self, loop: VirtualLoop, process: Process, context: contextvars.Context) -> None:
        super().__init__()
        self.loop = loop
        self.process = process
        self.context = context
        self.protocol: Any = None
        self.peer: VirtualTransport | None = None
        self.is_closed = False
        self._eof_sent = False
        self._paused = False
        self._received: list[bytes | None] = []  # None: end of file
        # Data in flight, with its arrival time.
        self._in_transit: deque[tuple[float, bytes | None]] = deque()
        process.transports[self] = None

    def attach(self, protocol: Protocol) -> None:
        self.protocol = protocol
        protocol.connection_made(self)
        self.loop.call_soon(self._deliver, context=self.context)

    # --- asyncio's calls ---

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "peername" and self.peer is not None:
            return self.peer.process.machine, 0
        return VirtualSocket(self) if name == "socket" else default

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.is_closed

    def is_reading(self) -> bool:
        return not self._paused

    def set_protocol(self, protocol: Protocol) -> None:
        self.protocol = protocol

    def get_protocol(self) -> Protocol:
        return self.protocol  # type: ignore[no-any-return]

    def pause_reading(self) -> None:
        self._paused = True

    def resume_reading(self) -> None:
        if self._paused:
            self._paused = False
            self.loop.call_soon(self._deliver, context=self.context)

    def write(self, data: Any) -> None:
        if not self.is_closed and not self._eof_sent and data:
            self._transmit(bytes(data))

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if not self.is_closed and not self._eof_sent:
            self._eof_sent = True
            self._transmit(None)

    def close(self) -> None:
        if not self.is_closed:
            self.write_eof()
            self._close(None)

    def abort(self) -> None:
        if not self.is_closed:
            self._close(None)
            self._reset_peer()

    # --- the network ---

    def _transmit(self, data: bytes | None) -> None:
        peer = self.peer
        if peer is not None:
            due = self.loop.arrival_time(self.process, peer.process, len(data or b""))
            self._in_transit.append((due, data))
            if len(self._in_transit) == 1:
                self.loop.call_at(due, self._arrive, peer, context=peer.context)

    def _arrive(self, peer: VirtualTransport) -> None:
        if self.loop.is_partitioned(self.process.machine, peer.process.machine):
            # TCP retransmits until the partition has healed.
            self.loop.call_later(0.05, self._arrive, peer, context=peer.context)
            return
        while self._in_transit and self._in_transit[0][0] <= self.loop.time() + 1e-9:
            _, data = self._in_transit.popleft()
            if not peer.is_closed:
                peer._received.append(data)
            elif data is not None and not self.is_closed:
                self.reset_by_peer(ConnectionResetError("reset"))
        if self._in_transit:
            self.loop.call_at(self._in_transit[0][0], self._arrive, peer, context=peer.context)
        peer._deliver()

    def _deliver(self) -> None:
        while self._received and not self._paused and not self.is_closed and self.protocol is not None:
            data = self._received.pop(0)
            if data is not None:
                self.protocol.data_received(data)
            elif not self.protocol.eof_received():
                self.close()

    def has_unread_data(self) -> bool:
        return bool(self._received)

    def _reset_peer(self) -> None:
        peer = self.peer
        if peer is not None:
            due = self.loop.time() + self.loop.delay(self.process, peer.process)
            self.loop.call_at(due, self._arrive_reset, peer, context=peer.context)

    def _arrive_reset(self, peer: VirtualTransport) -> None:
        if not self.loop.is_partitioned(self.process.machine, peer.process.machine):
            peer.reset_by_peer(ConnectionResetError("reset"))

    def reset_by_peer(self, problem: Exception) -> None:
        if not self.is_closed:
            self._close(problem)

    def _close(self, problem: Exception | None) -> None:
        self.is_closed = True
        self.process.transports.pop(self, None)
        if self.protocol is not None:
            self.loop.call_soon(self.protocol.connection_lost, problem, context=self.context)

    def drop(self, silent: bool) -> None:
        """Drop a connection whose process is dead. `silent`: the other end is not reset."""
        self.is_closed = True
        if not silent:
            self._reset_peer()


class VirtualListener:
    """A listening socket, as `socket.create_server` returns it; the program accepts connections itself."""

    def __init__(self, loop: VirtualLoop, address: tuple[str, int]) -> None:
        self._loop = loop
        self._address = address
        self.backlog: list[VirtualTransport] = []
        self.wake: Callable[[], object] = lambda: None
        loop.listen(address, self._on_accepted)

    def _on_accepted(self, transport: VirtualTransport) -> None:
        self.backlog.append(transport)
        self.wake()

    def accept(self) -> tuple[VirtualSocket, None]:
        if not self.backlog:
            raise BlockingIOError
        return VirtualSocket(self.backlog.pop(0)), None

    def setblocking(self, flag: bool) -> None:
        pass

    def getsockname(self) -> tuple[str, int]:
        return self._address

    def close(self) -> None:
        self._loop.unlisten(self._address)
        for transport in self.backlog:
            transport.abort()


class VirtualServer:
    """A server, as the loop's `create_server` returns it."""

    def __init__(self, loop: VirtualLoop, address: tuple[str, int]) -> None:
        self._loop, self._address = loop, address

    def close(self) -> None:
        self._loop.unlisten(self._address)
