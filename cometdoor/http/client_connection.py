"""One client's connection: parses requests, writes responses, and detects that the client disconnects.

It uses callbacks of `asyncio.Protocol` and httptools instead of coroutines: a stream and a task for each
connection would cost more than all the work here.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque
from typing import Any, cast

import httptools

from cometdoor.host.link_scheduler import ScheduledTransport
from cometdoor.http.connection_owner import ClientConnectionOwner
from cometdoor.http.messages import (
    BODILESS_STATUSES,
    REASON_PHRASES,
    BadRequestError,
    ClientRequest,
    Headers,
    Response,
    end_to_end_headers,
)
from cometdoor.http.sockets import is_readable

READ_CHUNK_BYTES = 8 * 1024  # input is parsed in chunks of this size; a request's size is exact to one chunk
MAX_PIPELINED_REQUESTS = 4  # of one connection, before reading from it pauses
MAX_REQUESTS_PER_READ = 16  # pipelined requests; with more the input is rejected
MAX_LINGER_BYTES = 1 << 20  # of input that is discarded before the connection is aborted


class ClientConnection(asyncio.Protocol):
    """A connection of one client: serves its requests one at a time, in order.

    Attributes
    ----------
    request : ClientRequest | None
        The request in progress, which waits for its response.
    timeout_queue : dict | None
        The queue of the owner's timeouts that the connection is in.
    is_unused : bool
        Whether no request has begun yet.
    is_health_check_only : bool
        Whether all its requests were health checks.
    accept_task : asyncio.Task | None
        Attaches the socket to the loop.
    service_name : str | None
        The service of the last request, where several are served.
    """

    def __init__(self, owner: ClientConnectionOwner[ClientConnection]) -> None:
        self.request: ClientRequest | None = None
        self.timeout_queue: dict[ClientConnection, float] | None = None
        self.is_unused = True
        self.is_health_check_only = True
        self.accept_task: asyncio.Task[None] | None = None
        self._owner = owner
        self._timeouts = owner.timeouts
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._target = bytearray()
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._message_bytes = self._body_bytes = self._chunk_bytes = 0
        self._incomplete_request: ClientRequest | None = None  # its head is complete, its body not
        self._is_in_request = self._is_in_head = False  # a request's, or its head's, last byte is missing
        self._pipelined: deque[ClientRequest] = deque()
        self._is_reading_paused = self._is_writing_paused = False
        self._ignores_input = False  # input is discarded: it was malformed, or the connection is closing
        self._is_closing = False
        self._discarded_bytes = 0
        self.service_name: str | None = None
        # The service that counts this client's unread response bytes, and how many it has counted.
        self._counted_unread_bytes: tuple[Any, int] | None = None
        self._linger_extensions = 10  # linger timeouts that are left while the client reads its last response

    # --- called by asyncio ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of an accepted socket."""
        self._transport = cast(asyncio.Transport, transport)
        if self._owner.link is not None:
            self._transport = self._owner.link.wrap(self._transport)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Parse input, and start to serve complete requests."""
        if self._ignores_input:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_LINGER_BYTES:
                self.abort()
            return
        for offset in range(0, len(data), READ_CHUNK_BYTES):
            self._feed_parser(
                data if len(data) <= READ_CHUNK_BYTES else data[offset : offset + READ_CHUNK_BYTES]
            )
            if self._ignores_input:
                break
        self._handle_next()

    def _feed_parser(self, data: bytes) -> None:
        """Parse a chunk.

        httptools buffers an unfinished value: only a count of received bytes limits its size.
        """
        assert self._parser is not None
        self._chunk_bytes = len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # httptools raises this instead of a parser error. The bytes after an Upgrade are not HTTP, so the
            # request is the connection's last one.
            self._ignores_input = True
            if self._pipelined:
                self._pipelined[-1].keep_alive = False
        except httptools.HttpParserError as error:
            # httptools wraps what a callback raises.
            cause = error.__context__
            if isinstance(cause, BadRequestError):
                # Without the traceback, whose frames refer to this connection and the exception (a cycle).
                self._reject_input(cause.with_traceback(None))
            else:
                self._reject_input(BadRequestError(400, "malformed"))
        else:
            self._message_bytes += len(data)
            if (
                self._is_in_request
                and self._message_bytes - self._body_bytes > self._owner.limits.max_head_bytes
            ):
                self._reject_input(BadRequestError(431, "the head is too large"))

    def pause_writing(self) -> None:
        """Start no further requests: guards against clients that send requests and read no responses."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Start requests again."""
        self._is_writing_paused = False
        self._handle_next()

    def eof_received(self) -> None:
        """Treat the end of input as the client's disconnection."""
        self._on_disconnected()
        self._timeouts.move_to(self._timeouts.lingering, self)  # it may never read its responses

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress, and remove the connection from its owner."""
        self._on_disconnected()
        self._owner.on_closed(self)
        self._transport = self._parser = None  # breaks the reference cycle of parser and connection
        if self._counted_unread_bytes is not None:
            self.update_unread_bytes()

    # --- called by httptools ---

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target.clear()
        self._headers, self._body = [], []
        self._message_bytes = self._body_bytes = 0
        self._is_in_request = self._is_in_head = True
        self.is_unused = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are discarded, since they come too late to be checked."""
        if self._is_in_head:
            self._headers.append((name, value or b""))

    def on_headers_complete(self) -> None:
        """Let the reader check the head; httptools turns its BadRequestError into a parser error."""
        assert self._parser is not None and self._transport is not None
        self._is_in_head = False
        request = self._incomplete_request = ClientRequest(
            self._parser.get_method(), bytes(self._target), self._headers
        )
        self._owner.reader.read(request)
        if (
            any(
                name.lower() == b"expect" and value.lower() == b"100-continue"
                for name, value in self._headers
            )
            and self.request is None
            and not self._pipelined
        ):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Store a part of the body, up to the limit."""
        self._body_bytes += len(body)
        if self._body_bytes > self._owner.limits.max_body_bytes:
            raise BadRequestError(413, "the body is too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        assert self._parser is not None and self._incomplete_request is not None
        request, self._incomplete_request = self._incomplete_request, None
        self._is_in_request = False
        request.body = b"".join(self._body)
        request.received_bytes = self._message_bytes + self._chunk_bytes  # at most one chunk too many
        request.keep_alive = self._parser.should_keep_alive()
        request.arrived_at = time.monotonic()
        self._pipelined.append(request)
        if len(self._pipelined) > MAX_REQUESTS_PER_READ:
            raise BadRequestError(400, "too many requests at once")

    # --- requests in turn ---

    def _handle_next(self) -> None:
        while (
            self.request is None
            and self._pipelined
            and not self._is_writing_paused
            and not self._is_finished()
        ):
            request = self.request = self._pipelined.popleft()
            if request.rejection is not None:
                self.respond(request.rejection[0], [], request.rejection[1])
            elif request.is_health_check:
                self.respond(200 if self._owner.handler.is_ready else 503, [], b"")
            else:
                self.is_health_check_only = False
                if request.service is not None:
                    self.service_name = request.service.name
                self._owner.handler.accept(self, request)
        self._update_flow()

    def _update_flow(self) -> None:
        """Pause or resume reading, and start the timeout of the state that the connection is in."""
        if self._transport is None or self._transport.is_closing():
            self._timeouts.move_to(None, self)
            return
        should_pause = not self._is_closing and (
            self._ignores_input or len(self._pipelined) >= MAX_PIPELINED_REQUESTS
        )
        if should_pause != self._is_reading_paused:
            self._is_reading_paused = should_pause
            if should_pause:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()
        if self._is_closing:
            self._timeouts.move_to(self._timeouts.lingering, self)
        elif self.request is not None:
            self._timeouts.move_to(None, self)  # the request's own deadline limits the wait
        elif self._is_in_request:
            self._timeouts.move_to(self._timeouts.awaiting_request, self)
        elif not self.is_unused:
            self._timeouts.move_to(
                self._timeouts.awaiting_health_check if self.is_health_check_only else self._timeouts.idle,
                self,
            )

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the final response to the request in progress; without a request nothing is written."""
        request, self.request = self.request, None
        if request is None or self._transport is None or self._is_finished():
            return
        # While the frontend is draining, pipelined requests still get their responses first.
        keep_alive = request.keep_alive and not (self._owner.is_draining and not self._pipelined)
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b""))]
        if status not in BODILESS_STATUSES:
            lines.append(b"Content-Length: %d\r\n" % len(body))
        lines += [b"%s: %s\r\n" % header for header in end_to_end_headers(headers)]
        lines.append(b"\r\n" if keep_alive else b"Connection: close\r\n\r\n")
        lines.append(body)
        self._transport.write(b"".join(lines))
        if request.service is not None:
            self.update_unread_bytes(request.service.http)
        if not keep_alive:
            self._half_close()
        elif self._pipelined:
            self._owner.loop.call_soon(self._handle_next)
        self._update_flow()

    # --- called by the balancer host ---

    def on_response(self, response: Response) -> None:
        """Forward a backend's response."""
        self.respond(response.status, response.headers, response.body)

    def on_rejected(self, retry_after_ms: float) -> None:
        """Respond 503: a retry is harmless; `retry_after_ms` 0: no advice when."""
        headers: Headers = []
        if retry_after_ms > 0:
            headers.append((b"Retry-After", b"%.3f" % (retry_after_ms / 1000.0)))
        self.respond(503, headers, b"")

    def on_failed(self) -> None:
        """Respond 502: the request may have been executed."""
        self.respond(502, [], b"")

    def update_unread_bytes(self, service: Any = None) -> None:
        """Update how many unread response bytes of this client the service counts.

        `service`: the service of the last request; None: the service that has counted them so far.
        """
        if self._counted_unread_bytes is not None:
            previous_service, unread_bytes = self._counted_unread_bytes
            previous_service.unread_bytes -= unread_bytes
            service = service or previous_service
            self._counted_unread_bytes = None
        unread_bytes = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if unread_bytes and service is not None:
            service.unread_bytes += unread_bytes
            self._counted_unread_bytes = service, unread_bytes
            self._owner.connections_with_unread_responses[self] = None
        else:
            self._owner.connections_with_unread_responses.pop(self, None)

    def _reject_input(self, error: BadRequestError) -> None:
        """Discard further input, and queue an error response in place of the pipelined requests."""
        self._ignores_input = True
        self._is_in_request = False
        self._incomplete_request = None
        self._pipelined.clear()
        self._pipelined.append(
            ClientRequest(b"", b"", [], keep_alive=False, rejection=(error.status, str(error).encode()))
        )

    def _half_close(self) -> None:
        """Close the connection for writing, and keep reading.

        Guards against a reset that reaches the client before the response: the kernel sends one when a socket
        with unread input is closed.
        """
        self._ignores_input = True
        self._pipelined.clear()
        if self._transport is not None and not self._is_closing:
            self._is_closing = True
            self._transport.write_eof()

    def _is_finished(self) -> bool:
        return self._is_closing or self._transport is None or self._transport.is_closing()

    def _on_disconnected(self) -> None:
        self._ignores_input = True
        self._pipelined.clear()
        self._timeouts.move_to(None, self)
        if self.request is not None:
            request, self.request = self.request, None
            self._owner.handler.on_client_disconnected(self, request)

    # --- end ---

    def on_read_timeout(self) -> None:
        """Close a connection that sends nothing; respond 408 to a request that stops in the middle."""
        if self.is_unused:
            self.abort()
            return
        self._reject_input(BadRequestError(408, "the request did not come in time"))
        self._handle_next()

    def is_idle(self) -> bool:
        """Return whether there is no request, nor any byte of one, not even in the kernel's buffer."""
        if self.request is not None or self._pipelined or self._is_in_request or self._is_finished():
            return False
        assert self._transport is not None
        if self._waits_for_link():
            return False
        return not is_readable(self._transport)

    def close_if_idle(self) -> bool:
        """Close the connection if it is idle or its client reads no responses; return whether it did."""
        if self._waits_for_link():
            self._timeouts.move_to(self._timeouts.idle, self)
            return False
        if self._is_writing_paused or (
            self._transport is not None and self._transport.get_write_buffer_size()
        ):
            self.abort()  # the client does not read its responses
        elif self.is_idle():
            assert self._transport is not None
            self._transport.close()
        else:
            return False
        return True

    def _waits_for_link(self) -> bool:
        """Return whether a part of the last response waits for the machine's link, not for the client."""
        return isinstance(self._transport, ScheduledTransport) and self._transport.has_queued

    def on_linger_timeout(self) -> None:
        """Abort the connection, unless its client is still reading the last response."""
        if (
            self._transport is not None
            and self._transport.get_write_buffer_size()
            and self._linger_extensions
        ):
            self._linger_extensions -= 1
            self._timeouts.move_to(self._timeouts.lingering, self)
        else:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()
