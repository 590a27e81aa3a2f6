"""A closed loop of requests on a fixed number of connections: throughput and latencies."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Sequence
from typing import cast

import httptools


class _Connection(asyncio.Protocol):
    """A connection that sends successive requests."""

    def __init__(self, requests: Callable[[], bytes], times: list[float], failed: list[int]) -> None:
        self._requests = requests
        self._times = times
        self._failed = failed
        self._parser = httptools.HttpResponseParser(self)
        self._sent_at = 0.0
        self.transport: asyncio.Transport | None = None
        self.stopped = asyncio.Event()
        self.is_stopping = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send_next(self) -> None:
        assert self.transport is not None
        self._sent_at = time.perf_counter()
        self.transport.write(self._requests())

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status == 200:
            self._times.append(time.perf_counter() - self._sent_at)
        else:
            self._failed.append(status)
        if self.is_stopping:
            self.stopped.set()
        else:
            self.send_next()

    def connection_lost(self, problem: Exception | None) -> None:
        if not self.stopped.is_set():
            self._failed.append(0)
            self.stopped.set()


class ClosedLoopClients:
    """Connections that stay open between rounds."""

    def __init__(self, address: tuple[str, int], requests: Callable[[], bytes], connections: int) -> None:
        self._address = address
        self._requests = requests
        self._count = connections
        self._times: list[float] = []
        self._failed: list[int] = []
        self._connections: list[_Connection] = []

    async def open(self) -> ClosedLoopClients:
        loop = asyncio.get_running_loop()
        for _ in range(self._count):
            clients = await loop.create_connection(
                lambda: _Connection(self._requests, self._times, self._failed), *self._address
            )
            self._connections.append(clients[1])
        return self

    async def measure_round(
        self, seconds: float, warm_up_s: float = 0.3
    ) -> tuple[float, Sequence[float], int]:
        """Return the rate and the latencies in seconds of requests answered 200, and the number of others.

        The number of others includes those of the warm-up.
        """
        for connection in self._connections:
            connection.is_stopping = False
            connection.stopped.clear()
            connection.send_next()
        await asyncio.sleep(warm_up_s)
        self._times.clear()
        started_at = time.perf_counter()
        await asyncio.sleep(seconds)
        elapsed_s, done = time.perf_counter() - started_at, list(self._times)
        for connection in self._connections:
            connection.is_stopping = True
        for connection in self._connections:
            await asyncio.wait_for(connection.stopped.wait(), 10.0)
        failed = len(self._failed)
        self._failed.clear()
        return len(done) / elapsed_s, done, failed

    def close(self) -> None:
        for connection in self._connections:
            if connection.transport is not None:
                connection.transport.close()


async def run_closed_loop(
    address: tuple[str, int], requests: Callable[[], bytes], connections: int, seconds: float
) -> tuple[float, Sequence[float], int]:
    """Measure one round on new connections."""
    clients = await ClosedLoopClients(address, requests, connections).open()
    try:
        return await clients.measure_round(seconds)
    finally:
        clients.close()
