"""One caller's connection: reads its requests, writes their answers, notices that it went away."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque
from typing import TYPE_CHECKING, Any, cast

import httptools

from cometdoor.http.messages import BadRequest, ClientRequest, Headers, end_to_end
from cometdoor.http.upstream import BODILESS, Answer, is_readable

if TYPE_CHECKING:
    from cometdoor.http.frontend import Frontend

PIECE = 8 * 1024  # what came is read in such pieces, so that a count is never further off than by one
MAX_AHEAD = 4  # requests read ahead on one connection, before reading from it pauses
MAX_AT_ONCE = 16  # that come together in one read: who sends more is turned away
LINGER_BYTES = 1 << 20  # and so much of it
REASONS = {
    200: b"OK",
    307: b"Temporary Redirect",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    412: b"Precondition Failed",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class ClientConnection(asyncio.Protocol):
    def __init__(self, front: Frontend) -> None:
        self.request: ClientRequest | None = None  # the one that an answer is owed to
        self.waits_in: dict[ClientConnection, float] | None = None  # which of the front's time limits runs
        self.is_silent = True  # it has not begun a request yet
        self.only_checks = True  # all that it has asked is whether we are up
        self.opening: asyncio.Task[None] | None = None
        self._front = front
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._target = bytearray()
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._raw_size = self._body_size = self._piece = 0
        self._coming: ClientRequest | None = None  # its head is in, its body not yet
        self._in_request = self._in_head = False  # some bytes of a request are in, but not all
        self._ahead: deque[ClientRequest] = deque()
        self._reading_paused = self._writing_paused = False
        self._deaf = False  # what comes is dropped: the input was bad, or the connection is over
        self._is_ending = False
        self._dropped = 0
        self.owner: str | None = None  # where several services are served: the one that it asked last
        self._unread: tuple[Any, int] | None = None  # a service, and bytes of its answers that lie here
        self._graces = 10  # so often is it looked whether a caller has read its last answer

    # --- asyncio's calls ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        if self._deaf:
            self._dropped += len(data)
            if self._dropped > LINGER_BYTES:
                self.abort()
            return
        for place in range(0, len(data), PIECE):
            self._read(data if len(data) <= PIECE else data[place : place + PIECE])
            if self._deaf:
                break
        self._next()

    def _read(self, data: bytes) -> None:
        """httptools keeps a value until it ends: only bytes counted as they come bound what is held."""
        assert self._parser is not None
        self._piece = len(data)
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
            if isinstance(cause, BadRequest):
                # Its traceback's frames hold this connection and the exception itself.
                self._bad_input(cause.with_traceback(None))
            else:
                self._bad_input(BadRequest(400, "malformed"))
        else:
            self._raw_size += len(data)
            if self._in_request and self._raw_size - self._body_size > self._front.bounds.head_bytes:
                self._bad_input(BadRequest(431, "the head is too large"))

    def pause_writing(self) -> None:
        """Guards against a caller that asks and asks and reads no answer."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        self._writing_paused = False
        self._next()

    def eof_received(self) -> None:
        self._gone()
        self._front.wait(self, self._front.ending)  # it may leave answers unread

    def connection_lost(self, problem: Exception | None) -> None:
        self._gone()
        self._front.closed(self)
        self._transport = self._parser = None  # parser and protocol hold one another
        if self._unread is not None:
            self.count_unread()

    # --- httptools' calls ---

    def on_message_begin(self) -> None:
        self._target.clear()
        self._headers, self._body = [], []
        self._raw_size = self._body_size = 0
        self._in_request = self._in_head = True
        self.is_silent = False

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # else it is a trailer: too late to be checked, and nobody needs it
            self._headers.append((name, value or b""))

    def on_headers_complete(self) -> None:
        assert self._parser is not None and self._transport is not None
        self._in_head = False
        request = self._coming = ClientRequest(self._parser.get_method(), bytes(self._target), self._headers)
        self._front.reader.read(request)
        if (
            any(
                name.lower() == b"expect" and value.lower() == b"100-continue"
                for name, value in self._headers
            )
            and self.request is None
            and not self._ahead
        ):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body_size += len(body)
        if self._body_size > self._front.bounds.body_bytes:
            raise BadRequest(413, "the body is too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        assert self._parser is not None and self._coming is not None
        request, self._coming = self._coming, None
        self._in_request = False
        request.body = b"".join(self._body)
        request.size = self._raw_size + self._piece  # at most a piece too much
        request.keep_alive = self._parser.should_keep_alive()
        request.arrived_at = time.monotonic()
        self._ahead.append(request)
        if len(self._ahead) > MAX_AT_ONCE:
            raise BadRequest(400, "too many requests at once")

    # --- requests in turn ---

    def _next(self) -> None:
        while self.request is None and self._ahead and not self._writing_paused and not self._is_over():
            request = self.request = self._ahead.popleft()
            if request.bad is not None:
                self.answer(request.bad[0], [], request.bad[1])
            elif request.is_up_check:
                self.answer(200 if self._front.handler.ready else 503, [], b"")
            else:
                self.only_checks = False
                if request.service is not None:
                    self.owner = request.service.name
                self._front.handler.take(self, request)
        self._settle()

    def _settle(self) -> None:
        """Whether bytes are wanted now, and which time limit runs."""
        if self._transport is None or self._transport.is_closing():
            self._front.wait(self, None)
            return
        full = not self._is_ending and (self._deaf or len(self._ahead) >= MAX_AHEAD)
        if full != self._reading_paused:
            self._reading_paused = full
            if full:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()
        if self._is_ending:
            self._front.wait(self, self._front.ending)
        elif self.request is not None:
            self._front.wait(self, None)  # the request's own deadline
        elif self._in_request:
            self._front.wait(self, self._front.reading)
        elif not self.is_silent:
            self._front.wait(self, self._front.checking if self.only_checks else self._front.idle)

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """The final answer to the request in hand."""
        request, self.request = self.request, None
        if request is None or self._transport is None or self._is_over():
            return
        # While the front end is closing, what was sent ahead on the connection is still answered first.
        keep = request.keep_alive and not (self._front.closing and not self._ahead)
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b""))]
        if status not in BODILESS:
            lines.append(b"Content-Length: %d\r\n" % len(body))
        lines += [b"%s: %s\r\n" % header for header in end_to_end(headers)]
        lines.append(b"\r\n" if keep else b"Connection: close\r\n\r\n")
        lines.append(body)
        self._transport.write(b"".join(lines))
        if request.service is not None:
            self.count_unread(request.service.http)
        if not keep:
            self._end()
        elif self._ahead:
            self._front.loop.call_soon(self._next)
        self._settle()

    # --- the core's calls ---

    def served(self, answer: Answer) -> None:
        self.answer(answer.status, answer.headers, answer.body)

    def refused(self, retry_after_ms: float) -> None:
        headers: Headers = []
        if retry_after_ms > 0:
            headers.append((b"Retry-After", b"%.3f" % (retry_after_ms / 1000.0)))
        self.answer(503, headers, b"")

    def failed(self) -> None:
        self.answer(502, [], b"")

    def count_unread(self, service: Any = None) -> None:
        """Bytes of answers that lie here unread are on the account of the service that was asked last."""
        if self._unread is not None:
            before, size = self._unread
            before.unread_bytes -= size
            service = service or before
            self._unread = None
        size = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if size and service is not None:
            service.unread_bytes += size
            self._unread = service, size
            self._front.unread[self] = None
        else:
            self._front.unread.pop(self, None)

    def _bad_input(self, problem: BadRequest) -> None:
        """What follows can't be read, and what came with it unread by anybody is not passed on."""
        self._deaf = True
        self._in_request = False
        self._coming = None
        self._ahead.clear()
        self._ahead.append(
            ClientRequest(b"", b"", [], keep_alive=False, bad=(problem.status, str(problem).encode()))
        )

    def _end(self) -> None:
        """Guards against a reset that overtakes the answer: what the caller still sends is read first."""
        self._deaf = True
        self._ahead.clear()
        if self._transport is not None and not self._is_ending:
            self._is_ending = True
            self._transport.write_eof()

    def _is_over(self) -> bool:
        return self._is_ending or self._transport is None or self._transport.is_closing()

    def _gone(self) -> None:
        self._deaf = True
        self._ahead.clear()
        self._front.wait(self, None)
        if self.request is not None:
            request, self.request = self.request, None
            self._front.handler.client_gone(self, request)

    # --- end ---

    def too_slow(self) -> None:
        """Guards against callers that say nothing, or stop in the middle of a request."""
        if self.is_silent:
            self.abort()
            return
        self._bad_input(BadRequest(408, "the request did not come in time"))
        self._next()

    def is_idle(self) -> bool:
        """Nothing of a request has come, not even to the machine's own buffer."""
        if self.request is not None or self._ahead or self._in_request or self._is_over():
            return False
        assert self._transport is not None
        return not is_readable(self._transport)

    def close_if_idle(self) -> bool:
        if self._writing_paused or (self._transport is not None and self._transport.get_write_buffer_size()):
            self.abort()  # it does not read its answers
        elif self.is_idle():
            assert self._transport is not None
            self._transport.close()
        else:
            return False
        return True

    def finish(self) -> None:
        if self._transport is not None and self._transport.get_write_buffer_size() and self._graces:
            self._graces -= 1
            self._front.wait(self, self._front.ending)
        else:
            self.abort()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
