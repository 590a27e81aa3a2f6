"""A closed loop of requests on a fixed number of connections: how much goes through and how long it takes."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Sequence
from typing import cast

import httptools


class _Connection(asyncio.Protocol):
    def __init__(self, requests: Callable[[], bytes], times: list[float], failed: list[int]) -> None:
        self._requests = requests
        self._times = times
        self._failed = failed
        self._parser = httptools.HttpResponseParser(self)
        self._sent_at = 0.0
        self.transport: asyncio.Transport | None = None
        self.stopped = asyncio.Event()
        self.stop = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._ask()

    def _ask(self) -> None:
        if self.stop:
            self.stopped.set()
            return
        assert self.transport is not None
        self._sent_at = time.perf_counter()
        self.transport.write(self._requests())

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self._times.append(time.perf_counter() - self._sent_at)
        status = self._parser.get_status_code()
        if status != 200:
            self._failed.append(status)
        self._ask()

    def connection_lost(self, problem: Exception | None) -> None:
        if not self.stopped.is_set():
            self._failed.append(0)
            self.stopped.set()


async def hammer(address: tuple[str, int], requests: Callable[[], bytes], connections: int, seconds: float,
                 warm_up_s: float = 0.3) -> tuple[float, Sequence[float], int]:
    """Requests a second, their times in seconds, and how many were not answered 200."""
    times: list[float] = []
    failed: list[int] = []
    loop = asyncio.get_running_loop()
    made = [(await loop.create_connection(lambda: _Connection(requests, times, failed), *address))[1]
            for _ in range(connections)]
    await asyncio.sleep(warm_up_s)
    times.clear()
    began = time.perf_counter()
    await asyncio.sleep(seconds)
    took, done = time.perf_counter() - began, list(times)
    for connection in made:
        connection.stop = True
    for connection in made:
        await asyncio.wait_for(connection.stopped.wait(), 10.0)
        if connection.transport is not None:
            connection.transport.close()
    return len(done) / took, done, len(failed)
