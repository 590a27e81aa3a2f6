"""A bare relay on the proxy's libraries: two httptools parsers, reused connections, no decision.

The proxy's own cost is measured relative to it. `python -m benchmarks.relay SERVER_HOST:PORT [CORE]` prints
its own address, and ends when its standard input ends.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from typing import cast

import httptools
import uvloop

HOP_BY_HOP_HEADERS = (b"connection", b"content-length", b"transfer-encoding", b"keep-alive")


class _MessageSide(asyncio.Protocol):
    """One side of the relay: reads a complete message and passes it to the other side."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def on_message_begin(self) -> None:
        self._headers, self._body = [], []

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def serialize(self, start_line: bytes) -> bytes:
        body = b"".join(self._body)
        lines = [
            start_line,
            *(b"%s: %s\r\n" % pair for pair in self._headers if pair[0].lower() not in HOP_BY_HOP_HEADERS),
            b"Content-Length: %d\r\n\r\n" % len(body),
            body,
        ]
        return b"".join(lines)


class _ServerSide(_MessageSide):
    """A connection to the server."""

    def __init__(self, relay: Relay) -> None:
        super().__init__()
        self._relay = relay
        self._parser = httptools.HttpResponseParser(self)
        self.client: _ClientSide | None = None

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        client, self.client = self.client, None
        self._relay.idle_servers.append(self)
        if client is not None and client.transport is not None:
            client.transport.write(self.serialize(b"HTTP/1.1 %d OK\r\n" % self._parser.get_status_code()))

    def forward(self, client: _ClientSide, data: bytes) -> None:
        assert self.transport is not None
        self.client = client
        self.transport.write(data)


class _ClientSide(_MessageSide):
    """A connection from a client."""

    def __init__(self, relay: Relay) -> None:
        super().__init__()
        self._relay = relay
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self._url = url

    def on_message_complete(self) -> None:
        data = self.serialize(b"%s %s HTTP/1.1\r\n" % (self._parser.get_method(), self._url))
        if self._relay.idle_servers:
            self._relay.idle_servers.pop().forward(self, data)
        else:
            self._relay.connect_tasks.add(task := asyncio.ensure_future(self._relay.open(self, data)))
            task.add_done_callback(self._relay.connect_tasks.discard)


class Relay:
    """The relay: one connection to the server for each client with a request."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self.idle_servers: list[_ServerSide] = []
        self.connect_tasks: set[asyncio.Task[None]] = set()

    async def open(self, client: _ClientSide, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, server = await loop.create_connection(lambda: _ServerSide(self), *self._address)
        server.forward(client, data)

    async def serve(self) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: _ClientSide(self), "127.0.0.1", 0, backlog=1024)
        host, port = server.sockets[0].getsockname()[:2]
        print(f"{host}:{port}", flush=True)
        closed = asyncio.Event()
        await loop.connect_read_pipe(lambda: _InputMonitor(closed), sys.stdin)
        await closed.wait()


class _InputMonitor(asyncio.Protocol):
    """Ends the relay when its input ends."""

    def __init__(self, closed: asyncio.Event) -> None:
        self._ended = closed

    def connection_lost(self, problem: Exception | None) -> None:
        self._ended.set()


if __name__ == "__main__":
    if len(sys.argv) > 2:
        os.sched_setaffinity(0, {int(sys.argv[2])})
    host, port = sys.argv[1].rsplit(":", 1)
    uvloop.run(Relay((host, int(port))).serve())
