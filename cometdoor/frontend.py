"""The listener: reads callers' requests, writes their answers, notices callers that went away."""

from __future__ import annotations

import asyncio
import math
import select
import socket
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol, cast

import httptools

from cometdoor.config import Address, NodeConfig
from cometdoor.upstream import Descriptors
from jasperhall.api import Effect

MAX_BODY = MAX_HEAD = 64 * 1024
MAX_AHEAD = 4  # requests read ahead on one connection, before reading from it pauses
READ_S = 10.0  # from a request's first byte to its last
LINGER_S = 1.0  # a caller whose input was bad may go on sending for so long; it is read and dropped
REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
           408: b"Request Timeout",
           413: b"Content Too Large", 431: b"Request Header Fields Too Large", 502: b"Bad Gateway",
           503: b"Service Unavailable"}
# Headers that belong to a connection or that are written anew at each hop.
PER_HOP = frozenset({b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"upgrade",
                     b"transfer-encoding", b"content-length", b"expect", b"x-expires-in"})

Headers = list[tuple[bytes, bytes]]


class BadRequest(Exception):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class ClientRequest:
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    arrived_at: float  # on the system's monotonic clock, seconds
    bad: BadRequest | None = None
    is_up_check: bool = False
    class_index: int = 0
    tenant: int = 0
    left_ms: float = 0.0
    cost_ms: float | None = None
    is_retry: bool = False


class Handler(Protocol):
    ready: bool

    def make_room(self) -> bool: ...

    def take(self, connection: ClientConnection, request: ClientRequest) -> None: ...

    def client_gone(self, connection: ClientConnection) -> None: ...


def read_number(text: bytes) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text!r} is no number")
    return number


class RequestReader:
    """What a request says of itself, by its headers; raises BadRequest."""

    def __init__(self, config: NodeConfig) -> None:
        self._classes = {name.encode(): place for name, place in config.classes.items()}
        self._effects = [cls.effect for cls in config.settings.classes]
        self._tenants = {name.encode(): place for name, place in config.tenants.items()}

    def read(self, request: ClientRequest) -> None:
        headers = {name.lower(): value for name, value in request.headers}
        in_path = request.target.split(b"?", 1)[0].split(b"/")[1:2]
        name = headers.get(b"x-qos") or (in_path[0] if in_path else b"")
        if in_path != [name]:
            raise BadRequest(400, "the path names another class than X-Qos")
        class_index = self._classes.get(name)
        if class_index is None:
            raise BadRequest(404, "unknown class")
        request.class_index = class_index
        effect = self._effects[class_index]
        if request.method != (b"GET" if effect is Effect.SAFE else b"POST"):
            raise BadRequest(405, "the class has another method")
        if effect is Effect.KEYED and not headers.get(b"idempotency-key"):
            raise BadRequest(400, "Idempotency-Key is missing")
        if not headers.get(b"x-trace-id"):
            raise BadRequest(400, "X-Trace-Id is missing")
        try:
            request.left_ms = read_number(headers[b"x-expires-in"]) * 1000.0
            hint = headers.get(b"x-size-hint")
            request.cost_ms = read_number(hint) / 1000.0 if hint else None
        except (KeyError, ValueError):
            raise BadRequest(400, "X-Expires-In or X-Size-Hint is missing or no number") from None
        if request.left_ms <= 0:
            raise BadRequest(400, "X-Expires-In is not above 0")
        request.tenant = self._tenants.get(headers.get(b"x-customer", b""), 0)
        request.is_retry = headers.get(b"x-second-try") == b"1"


class ClientConnection(asyncio.Protocol):
    def __init__(self, front: Frontend) -> None:
        self._front = front
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = bytearray()
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._head_size = self._body_size = 0
        self._in_request = False  # some bytes of a request are in, but not all
        self._ahead: deque[ClientRequest] = deque()
        self._reading_paused = False
        self._deaf = False  # what comes is dropped: the input was bad, or the connection is over
        self._linger: asyncio.TimerHandle | None = None
        self._read_timer: asyncio.TimerHandle | None = None
        self.request: ClientRequest | None = None  # the one that an answer is owed to

    # --- asyncio's calls ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._front.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._deaf:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Not a parser error to httptools. What follows is not HTTP: the request is the connection's last.
            self._deaf = True
            if self._ahead:
                self._ahead[-1].keep_alive = False
        except httptools.HttpParserError as problem:
            # What a callback raises comes wrapped.
            cause = problem.__context__
            self._bad_input(cause if isinstance(cause, BadRequest) else BadRequest(400, "malformed"))
        if not self._in_request:
            self._stop_read_timer()
        elif self._read_timer is None:
            self._read_timer = self._front.loop.call_later(READ_S, self._too_slow)
        self._next()

    def _too_slow(self) -> None:
        """Guards against callers that stop in the middle of a request and keep their connection for ever."""
        self._read_timer = None
        self._bad_input(BadRequest(408, "the request did not come in time"))
        self._next()

    def _stop_read_timer(self) -> None:
        if self._read_timer is not None:
            self._read_timer.cancel()
            self._read_timer = None

    def eof_received(self) -> None:
        self._gone()

    def connection_lost(self, problem: Exception | None) -> None:
        self._gone()
        self._stop_read_timer()
        if self._linger is not None:
            self._linger.cancel()
        self._front.closed(self)

    # --- httptools' calls ---

    def on_message_begin(self) -> None:
        self._target.clear()
        self._headers, self._body = [], []
        self._head_size = self._body_size = 0
        self._in_request = True

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value or b""))
        self._count_head(len(name) + len(value or b""))

    def on_headers_complete(self) -> None:
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue" and self._transport:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body_size += len(body)
        if self._body_size > MAX_BODY:
            raise BadRequest(413, "the body is too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._in_request = False
        request = ClientRequest(
            self._parser.get_method(), bytes(self._target), self._headers, b"".join(self._body),
            self._parser.should_keep_alive(), time.monotonic())
        if request.target.split(b"?", 1)[0] == b"/up" and request.method == b"GET":
            request.is_up_check = True
        else:
            try:
                self._front.reader.read(request)
            except BadRequest as problem:
                request.bad = problem
        self._ahead.append(request)

    def _count_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > MAX_HEAD:
            raise BadRequest(431, "the head is too large")

    # --- requests in turn ---

    def _next(self) -> None:
        while self.request is None and self._ahead and not self._is_over():
            request = self.request = self._ahead.popleft()
            if request.bad is not None:
                self.answer(request.bad.status, [], str(request.bad).encode())
            elif request.is_up_check:
                self.answer(200 if self._front.handler.ready else 503, [], b"")
            elif self._front.is_over_limit():
                self.answer(503, [], b"")
            else:
                self._front.handler.take(self, request)
        if self._transport is not None and not self._is_over():
            full = len(self._ahead) >= MAX_AHEAD
            if full != self._reading_paused:
                self._reading_paused = full
                if full:
                    self._transport.pause_reading()
                else:
                    self._transport.resume_reading()

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """The final answer to the request in hand."""
        request, self.request = self.request, None
        if request is None or self._transport is None or self._is_over():
            return
        # While the front end is closing, what was sent ahead on the connection is still answered first.
        keep = request.keep_alive and not (self._front.closing and not self._ahead)
        lines = [b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, REASONS[status], len(body))]
        lines += [b"%s: %s\r\n" % header for header in headers if header[0].lower() not in PER_HOP]
        lines.append(b"\r\n" if keep else b"Connection: close\r\n\r\n")
        lines.append(body)
        self._transport.write(b"".join(lines))
        if not keep:
            self._end()
        elif self._ahead:
            self._front.loop.call_soon(self._next)

    def _bad_input(self, problem: BadRequest) -> None:
        """What follows can't be read. Requests taken before it are answered first."""
        self._deaf = True
        self._in_request = False
        self._ahead.append(ClientRequest(b"", b"", [], b"", False, time.monotonic(), bad=problem))

    def _end(self) -> None:
        """Guards against a reset that overtakes the answer: what the caller still sends is read first."""
        self._deaf = True
        self._ahead.clear()
        if self._transport is not None and self._linger is None:
            self._transport.write_eof()
            self._linger = self._front.loop.call_later(LINGER_S, self._transport.abort)

    def _is_over(self) -> bool:
        return self._linger is not None or self._transport is None or self._transport.is_closing()

    def _gone(self) -> None:
        self._deaf = True
        self._ahead.clear()
        if self.request is not None:
            self.request = None
            self._front.handler.client_gone(self)

    # --- end ---

    def is_idle(self) -> bool:
        """Nothing of a request has come, not even to the machine's own buffer."""
        if self.request is not None or self._ahead or self._in_request or self._is_over():
            return False
        assert self._transport is not None
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()


@dataclass
class Frontend:
    loop: asyncio.AbstractEventLoop
    reader: RequestReader
    descriptors: Descriptors
    handler: Handler
    closing: bool = False  # answers end their connections
    connections: dict[ClientConnection, None] = field(default_factory=dict)  # the oldest first
    _server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        self._server = await self.loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=1024, reuse_address=True)

    def address(self) -> Address:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        for connection in list(self.connections):
            if connection.is_idle():
                connection.close()

    def opened(self, connection: ClientConnection) -> None:
        """Guards against running out of descriptors: idle connections go, to backends before callers'."""
        self.connections[connection] = None
        self.descriptors.used += 1
        if self.is_over_limit() and not self.handler.make_room():
            for other in self.connections:
                if other is not connection and other.is_idle():
                    other.close()
                    break

    def closed(self, connection: ClientConnection) -> None:
        del self.connections[connection]
        self.descriptors.used -= 1

    def is_over_limit(self) -> bool:
        return self.descriptors.used > self.descriptors.limit
