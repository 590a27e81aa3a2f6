"""One client's connection: parses requests, writes responses, and detects when the client disconnects.

It uses callbacks of `asyncio.Protocol` and httptools instead of coroutines, because a stream and a task for
each connection would cost more than parsing and writing its messages.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import deque
from typing import Any, cast

import httptools

from cometdoor.host.link_scheduler import ScheduledTransport
from cometdoor.http.connection_owner import ClientConnectionOwner
from cometdoor.http.messages import (
    BODILESS_STATUSES,
    MAX_FRAMING_PER_BODY_BYTE,
    REASON_PHRASES,
    BadRequestError,
    ClientRequest,
    Headers,
    Response,
    end_to_end_headers,
)
from cometdoor.http.sockets import is_readable

READ_CHUNK_BYTES = 8 * 1024  # maximum input parsed at once; `received_bytes` is exact to one chunk
MAX_PIPELINED_REQUESTS = 4  # requests waiting on one connection; at this number reading from it pauses
MAX_REQUESTS_PER_READ = 16  # pipelined requests in one read; input with more is rejected
MAX_LINGER_BYTES = 1 << 20  # maximum input discarded on a closing connection; with more it is aborted
log = logging.getLogger(__name__)


class ClientConnection(asyncio.Protocol):
    """One client connection, whose requests are served one at a time and in order.

    Attributes
    ----------
    request : ClientRequest | None
        The request in progress, which has no response yet.
    timeout_queue : dict | None
        The owner's timeout queue that contains the connection.
    is_unused : bool
        Whether no byte of a request has been received yet.
    is_health_check_only : bool
        Whether all its requests were health checks.
    accept_task : asyncio.Task | None
        The task that attaches the accepted socket to the event loop; None once it has ended.
    service_name : str | None
        The service of the last request, if the frontend serves several.
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
        self._incomplete_request: ClientRequest | None = None  # head received, body still incomplete
        # Whether a request, or its head, has begun and its last byte has not been received.
        self._is_in_request = self._is_in_head = self._is_chunked = False
        self._pipelined: deque[ClientRequest] = deque()
        self._is_reading_paused = self._is_writing_paused = False
        self._ignores_input = False  # discards input: it was malformed, or the connection is closing
        self._is_closing = False
        self._discarded_bytes = 0
        self.service_name: str | None = None
        # The service that counts this client's unread response bytes, and how many it has counted.
        self._counted_unread_bytes: tuple[Any, int] | None = None
        self._linger_extensions = 10  # remaining linger timeouts while the client reads its last response
        self._response_expires_at = 0.0  # loop time until which the client waits for its last response

    # --- called by asyncio ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of an accepted socket."""
        self._transport = cast(asyncio.Transport, transport)
        if self._owner.link is not None:
            self._transport = self._owner.link.wrap(self._transport)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Parse input, and start serving complete requests."""
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
        """Parse a chunk of input.

        httptools buffers incomplete values without a limit, so received bytes are counted here.
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
            # httptools wraps exceptions of callbacks; the original exception is the context.
            cause = error.__context__
            if isinstance(cause, BadRequestError):
                # The traceback is dropped: its frames refer to this connection and the exception (a cycle).
                self._reject_input(cause.with_traceback(None))
            else:
                self._reject_input(BadRequestError(400, "malformed"))
        else:
            self._message_bytes += len(data)
            if self._is_in_request and self._head_bytes() > self._owner.limits.max_head_bytes:
                self._reject_input(BadRequestError(431, "the head is too large"))

    def _head_bytes(self) -> int:
        """Return the size of the head, with trailers and what the framing of chunks has beyond its limit."""
        framing_limit = MAX_FRAMING_PER_BODY_BYTE * self._body_bytes if self._is_chunked else 0
        return self._message_bytes - self._body_bytes - framing_limit

    def pause_writing(self) -> None:
        """Start no further requests, so that responses that the client does not read don't accumulate."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Start pending requests again."""
        self._is_writing_paused = False
        self._handle_next()

    def eof_received(self) -> None:
        """Treat the end of input as the client's disconnection."""
        self._on_disconnected()
        self._timeouts.move_to(self._timeouts.lingering, self)  # the client may never read its responses

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress and remove the connection from its owner."""
        self._on_disconnected()
        self._owner.on_closed(self)
        self._transport = self._parser = None  # breaks the reference cycle of parser and connection
        if self._counted_unread_bytes is not None:
            self.update_unread_bytes()

    # --- called by httptools ---

    def on_message_begin(self) -> None:
        """Reset the parsing state for a new request."""
        self._target.clear()
        self._headers, self._body = [], []
        self._message_bytes = self._body_bytes = 0
        self._is_in_request = self._is_in_head = True
        self._is_chunked = False
        self.is_unused = False

    def on_url(self, url: bytes) -> None:
        """Append a chunk of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are discarded, since they arrive after the head was checked."""
        if self._is_in_head:
            self._headers.append((name, value or b""))

    def on_headers_complete(self) -> None:
        """Pass the head to the reader; httptools turns a BadRequestError into a parser error."""
        assert self._parser is not None and self._transport is not None
        self._is_in_head = False
        request = self._incomplete_request = ClientRequest(
            self._parser.get_method(), bytes(self._target), self._headers
        )
        self._owner.reader.read(request)
        self._is_chunked = any(name.lower() == b"transfer-encoding" for name, _ in self._headers)
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
        """Store a chunk of the body, up to the size limit."""
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
        request.received_bytes = self._message_bytes + self._chunk_bytes  # too high by one chunk at most
        request.keep_alive = self._parser.should_keep_alive()
        request.arrived_at = time.monotonic()
        self._pipelined.append(request)
        if len(self._pipelined) > MAX_REQUESTS_PER_READ:
            raise BadRequestError(400, "too many requests at once")

    # --- serving requests ---

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
                self._accept(request)
        self._update_flow()

    def _accept(self, request: ClientRequest) -> None:
        """Pass a request to the handler; if that fails, the client gets 500, which promises nothing."""
        try:
            self._owner.handler.accept(self, request)
        except Exception:
            log.exception("request handler failed; the request gets 500")
            if self.request is request:
                self.respond(500, [], b"")

    def _update_flow(self) -> None:
        """Pause or resume reading, and start the timeout for the connection's current state."""
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
        """Write the final response to the request in progress; does nothing without a request."""
        request, self.request = self.request, None
        if request is None or self._transport is None or self._is_finished():
            return
        # A draining frontend closes the connection only after the responses to pipelined requests.
        self._response_expires_at = request.arrived_at + request.remaining_ms / 1000.0
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
        """Respond 503, after which a retry is harmless; with `retry_after_ms` 0 without a Retry-After."""
        headers: Headers = []
        if retry_after_ms > 0:
            headers.append((b"Retry-After", b"%.3f" % (retry_after_ms / 1000.0)))
        self.respond(503, headers, b"")

    def on_failed(self) -> None:
        """Respond 502, since the request may have been executed."""
        self.respond(502, [], b"")

    def update_unread_bytes(self, service: Any = None) -> None:
        """Update the unread response bytes of this client that a service counts.

        `service` is that of the last request; None keeps the service that has counted them so far.
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
        """Discard further input, and replace the pipelined requests by an error response."""
        self._ignores_input = True
        self._is_in_request = False
        self._incomplete_request = None
        self._pipelined.clear()
        self._pipelined.append(
            ClientRequest(b"", b"", [], keep_alive=False, rejection=(error.status, str(error).encode()))
        )

    def _half_close(self) -> None:
        """Close the connection for writing, and keep reading.

        The kernel sends a reset when a socket with unread input is closed, and the reset could reach the
        client before the response.
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

    # --- timeouts and closing ---

    def on_read_timeout(self) -> None:
        """Close a connection that has sent no request; respond 408 to an incomplete request."""
        if self.is_unused:
            self.abort()
            return
        self._reject_input(BadRequestError(408, "the request did not come in time"))
        self._handle_next()

    def is_idle(self) -> bool:
        """Return whether no byte of a request is pending, not even in the kernel's buffer."""
        if self.request is not None or self._pipelined or self._is_in_request or self._is_finished():
            return False
        assert self._transport is not None
        if self._waits_for_link() or self.is_response_being_read():
            return False
        return not is_readable(self._transport)

    def close_if_idle(self) -> bool:
        """Close the connection if it is idle or its client reads no responses; return whether it did so."""
        if self._waits_for_link() or self.is_response_being_read():
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
        """Return whether bytes of the last response wait for the machine's link instead of the client."""
        return isinstance(self._transport, ScheduledTransport) and self._transport.has_queued

    def is_response_being_read(self) -> bool:
        """Return whether the client has not received all of its last response, and still waits for it."""
        return (
            self._transport is not None
            and self._transport.get_write_buffer_size() > 0
            and self._owner.loop.time() < self._response_expires_at
        )

    def on_linger_timeout(self) -> None:
        """Abort the connection, unless the client may still read its last response."""
        if self.is_response_being_read():
            self._timeouts.move_to(self._timeouts.lingering, self)
        elif (
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
