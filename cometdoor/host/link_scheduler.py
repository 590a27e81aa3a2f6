"""Scheduling of a process's writes to its machine's link: short messages immediately, large ones in chunks.

Without scheduling, a large message is passed to the kernel in one write, and messages to all other machines
wait until the link has sent it: 200 ms for 90 kB at 3.5 Mbit/s. Large messages are sent one after the other.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from cometdoor.host.link_budget import LinkBudget

MIN_WAIT_S = 0.001  # resolution of timers


class LinkScheduler:
    """Sends the large messages of all connections over one link, within the link's budget.

    Parameters
    ----------
    bandwidth_mbps
        Bandwidth of the link in megabits per second; 0: unlimited, and writes are not scheduled.
    local_host
        The machine's own IP address; connections to it don't use the link.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, bandwidth_mbps: float, local_host: str) -> None:
        self._loop = loop
        self._local_host = local_host
        self._budget = LinkBudget(bandwidth_mbps, loop.time()) if bandwidth_mbps > 0 else None
        self._queue: deque[ScheduledTransport] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self.queued_bytes = 0  # bytes of large messages that wait for the link

    def wrap(self, transport: asyncio.Transport, keeps_order: bool = True) -> asyncio.Transport:
        """Return a transport that sends over this link; `transport` itself if it does not use the link.

        `keeps_order`: whether writes stay in order. Otherwise each write is a complete message, and a short
        one is sent before queued large ones of which no byte was sent.
        """
        peer = transport.get_extra_info("peername")
        if self._budget is None or (peer and peer[0] == self._local_host):
            return transport
        return ScheduledTransport(transport, self, self._budget.chunk_bytes, keeps_order)

    def on_written(self, size: int) -> None:
        """Count bytes that a connection has written without queuing them."""
        assert self._budget is not None
        self._budget.spend(size, self._loop.time())

    def enqueue(self, transport: ScheduledTransport) -> None:
        """Add a connection to the queue; it has a large message to send."""
        self._queue.append(transport)
        if self._timer is None:
            self._send_chunks()

    def _send_chunks(self) -> None:
        """Send chunks until the link is busy; then wait until it is free."""
        assert self._budget is not None
        self._timer = None
        while self._queue:
            wait_s = self._budget.seconds_until_free(self._loop.time())
            if wait_s > 0.0:
                self._timer = self._loop.call_later(max(wait_s, MIN_WAIT_S), self._send_chunks)
                return
            transport = self._queue[0]
            size, is_message_sent = transport.send_chunk(self._budget.chunk_bytes)
            self._budget.spend_chunk(size, self._loop.time())
            if is_message_sent:
                self._queue.popleft()
                if transport.has_queued:
                    self._queue.append(transport)


class ScheduledTransport(asyncio.Transport):
    """A transport whose large writes are sent in chunks as the link permits."""

    def __init__(
        self,
        transport: asyncio.Transport,
        scheduler: LinkScheduler,
        max_short_bytes: int,
        keeps_order: bool,
    ) -> None:
        super().__init__()
        self._transport = transport
        self._scheduler = scheduler
        self._max_short_bytes = max_short_bytes
        self._keeps_order = keeps_order
        self._queued: deque[tuple[int, bytes]] = deque()  # key and bytes; the first may be partially sent
        self._offset = 0  # number of bytes of the first queued message that were sent
        self._deferred_short: list[bytes] = []  # sent when the partially sent message is complete
        self._ends_with_eof = self._is_closing = False
        self.on_drained: Callable[[], None] | None = None  # called when no message is queued any more

    @property
    def has_queued(self) -> bool:
        """Whether some bytes wait for the link."""
        return bool(self._queued)

    def write(self, data: Any) -> None:
        """Send bytes, immediately if they are short and need not wait for queued messages."""
        self.write_message(0, data)

    def write_message(self, key: int, data: bytes) -> None:
        """Send bytes that `discard` can remove by their key while they are queued; 0: no key."""
        if self._is_closing or self._ends_with_eof or not data:
            return
        if len(data) <= self._max_short_bytes and not (self._queued and self._keeps_order):
            self.write_short(data)
            return
        self._enqueue(key, data)

    def _enqueue(self, key: int, data: bytes) -> None:
        if self._is_closing or self._ends_with_eof or not data:
            return
        self._queued.append((key, bytes(data)))
        self._scheduler.queued_bytes += len(data)
        if len(self._queued) == 1:
            self._scheduler.enqueue(self)

    def write_in_order(self, data: bytes) -> None:
        """Send bytes after everything that is queued, whatever their size."""
        if self._queued or self._offset:
            self._enqueue(0, data)
        else:
            self.write_message(0, data)

    def write_short(self, data: bytes) -> None:
        """Send short messages before queued large ones, whatever the total size of the short ones."""
        if self._is_closing or self._ends_with_eof or not data:
            return
        if self._offset:
            self._deferred_short.append(data)
        else:
            self._write_now(data)

    def _write_now(self, data: bytes) -> None:
        self._scheduler.on_written(len(data))
        self._transport.write(data)

    def discard(self, key: int) -> bool:
        """Remove a queued message of which no byte was sent; return whether there was one."""
        for index, (queued_key, data) in enumerate(self._queued):
            if key and queued_key == key and (index or not self._offset):
                del self._queued[index]
                self._scheduler.queued_bytes -= len(data)
                return True
        return False

    def send_chunk(self, max_bytes: int) -> tuple[int, bool]:
        """Send a chunk of the first queued message; return its size, and whether the message is complete."""
        if self._transport.is_closing():
            self._drop_queued()
        if not self._queued:
            return 0, True
        _, data = self._queued[0]
        chunk = data[self._offset : self._offset + max_bytes]
        self._transport.write(chunk)
        self._scheduler.queued_bytes -= len(chunk)
        self._offset += len(chunk)
        if self._offset < len(data):
            return len(chunk), False
        self._queued.popleft()
        self._offset = 0
        if self._deferred_short:
            short, self._deferred_short = b"".join(self._deferred_short), []
            self._write_now(short)
        if not self._queued:
            self._finish_closing()
            if self.on_drained is not None:
                self.on_drained()
        return len(chunk), True

    def _finish_closing(self) -> None:
        """Send the end of file and close the connection, if requested while messages were queued."""
        if self._ends_with_eof and not self._transport.is_closing():
            self._transport.write_eof()
        if self._is_closing:
            self._transport.close()

    def _drop_queued(self) -> None:
        self._scheduler.queued_bytes -= sum(len(data) for _, data in self._queued) - self._offset
        self._queued.clear()
        self._deferred_short.clear()
        self._offset = 0

    def write_eof(self) -> None:
        """Close the sending side after all queued messages were sent."""
        if not self._ends_with_eof:
            self._ends_with_eof = True
            if not self._queued:
                self._transport.write_eof()

    def close(self) -> None:
        """Close after all queued messages were sent."""
        self._is_closing = True
        if not self._queued:
            self._transport.close()

    def abort(self) -> None:
        """Close immediately and drop queued messages."""
        self._is_closing = True
        self._drop_queued()
        self._transport.abort()

    def is_closing(self) -> bool:
        """Return whether the transport is closed, or will be closed after all queued messages were sent."""
        return self._is_closing or self._transport.is_closing()

    def get_write_buffer_size(self) -> int:
        """Return the number of written bytes that were not passed to the kernel yet."""
        queued = sum(len(data) for _, data in self._queued) - self._offset
        queued += sum(len(data) for data in self._deferred_short)
        return self._transport.get_write_buffer_size() + queued

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the connection."""
        return self._transport.get_extra_info(name, default)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the limits for pausing the protocol's writes; bytes queued here don't count."""
        self._transport.set_write_buffer_limits(high=high, low=low)

    def pause_reading(self) -> None:
        """Stop reading."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        self._transport.resume_reading()
