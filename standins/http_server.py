"""A server model on a socket: HTTP/1.1, one request at a time per connection."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import cast

import httptools

from standins.server_model import Call, Reply, ServerModel

REASONS = {200: b"OK", 400: b"Bad Request", 500: b"Internal Server Error", 503: b"Service Unavailable"}


class StandInServer:
    """A listening server that keeps its address when it is stopped and started again."""

    def __init__(self, model: ServerModel) -> None:
        self.model = model
        self.connections: dict[_Connection, None] = {}
        self.address = ("127.0.0.1", 0)
        self._server: asyncio.Server | None = None
        self._calls: dict[Call, _Connection] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> StandInServer:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), *self.address, reuse_address=True, backlog=1024
        )
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    def host_port(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"

    def stop(self) -> None:
        """Stop as a killed process would: reset open connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.abort()

    # --- control by the test while it runs ---

    def freeze(self) -> None:
        self.model.freeze(time.monotonic())

    def thaw(self) -> None:
        self.model.thaw(time.monotonic())
        self.process_due()

    async def restart(self) -> None:
        self.stop()
        self.model.restart(time.monotonic())
        await self.start()

    # --- called by connections ---

    def on_request(self, connection: _Connection, request: str, key: str, first_byte_at: float) -> None:
        call, reply = self.model.arrive(time.monotonic(), request, key, first_byte_at)
        if reply is not None:
            connection.reply(reply)
            return
        connection.call = call
        self._calls[call] = connection
        self.process_due()

    def on_disconnected(self, connection: _Connection) -> None:
        self.connections.pop(connection, None)
        if connection.call is not None:
            self.model.abandon(time.monotonic(), connection.call)
            self._calls.pop(connection.call, None)
            connection.call = None
            self.process_due()

    def process_due(self) -> None:
        for call, reply in self.model.advance(time.monotonic()):
            connection = self._calls.pop(call, None)
            if connection is not None:
                connection.call = None
                connection.reply(reply)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self.model.next_due()
        if due is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(due - time.monotonic(), 0.0), self.process_due)


class _Connection(asyncio.Protocol):
    """A client's connection: one request at a time."""

    def __init__(self, server: StandInServer) -> None:
        self.call: Call | None = None
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._first_byte_at = 0.0
        self._request = self._key = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if len(self._server.connections) >= self._server.model.behaviour.connections:
            self.abort()
            return
        self._server.connections[self] = None

    def connection_lost(self, problem: Exception | None) -> None:
        self._server.on_disconnected(self)
        self._transport = None

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        self._first_byte_at = time.monotonic()
        self._request = self._key = ""

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(name) == 10 and name.lower() == b"x-trace-id":
            self._request = value.decode("latin-1")
        elif len(name) == 15 and name.lower() == b"idempotency-key":
            self._key = value.decode("latin-1")

    def on_message_complete(self) -> None:
        self._server.on_request(self, self._request, self._key, self._first_byte_at)

    def reply(self, reply: Reply) -> None:
        if self._transport is None:
            return
        if not reply.status:
            self.abort()
            return
        not_executed_header = b"X-Never-Ran: 1\r\n" if reply.not_executed else b""
        self._transport.write(
            b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s"
            % (reply.status, REASONS[reply.status], not_executed_header, len(reply.body), reply.body)
        )

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
