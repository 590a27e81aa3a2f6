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

from cometdoor.host.body_stream import CHUNK_BYTES, BodyReceiver
from cometdoor.host.link_scheduler import ScheduledTransport
from cometdoor.http.connection_owner import ClientConnectionOwner
from cometdoor.http.incoming_body import MAX_SMALL_BODY_BYTES, IncomingBody
from cometdoor.http.messages import (
    BODILESS_STATUSES,
    MAX_FRAMING_PER_BODY_BYTE,
    BadRequestError,
    ClientRequest,
    Headers,
    Response,
    announced_body_bytes,
    request_head,
    response_head,
)
from cometdoor.http.sockets import is_readable
from cometdoor.http.streamed_response import StreamedResponse

READ_CHUNK_BYTES = 8 * 1024  # maximum input parsed at once; `received_bytes` is exact to one chunk
RETRY_AFTER_REJECTION: Headers = [(b"Retry-After", b"1")]
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
        self._body = IncomingBody(owner.loop, owner.memory, self._on_memory_granted, self._on_memory_timeout)
        self._unparsed = b""  # the part of a read that is parsed once there is memory for the body
        self._message_bytes = self._chunk_bytes = 0
        self._incomplete_request: ClientRequest | None = None  # head received, body still incomplete
        # Whether a request, or its head, has begun and its last byte has not been received.
        self._is_in_request = self._is_in_head = self._is_chunked = self._is_upgrade_offered = False
        self._pipelined: deque[ClientRequest] = deque()
        self._is_reading_paused = self._is_writing_paused = False
        self._ignores_input = False  # discards input: it was malformed, or the connection is closing
        self._is_closing = False
        self.service_name: str | None = None
        # The service that counts this client's unread response bytes, and how many it has counted.
        self._counted_unread_bytes: tuple[Any, int] | None = None
        self._streamed_response: StreamedResponse | None = None  # to the request in progress
        self._linger_bytes = MAX_LINGER_BYTES  # remaining input that is discarded on a closing connection
        self._linger_extensions = 10  # remaining linger timeouts while the client reads its last response
        self._response_expires_at = 0.0  # loop time until which the client waits for its last response

    # --- called by asyncio ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of an accepted socket."""
        self._transport = cast(asyncio.Transport, transport)
        if self._owner.link is not None:
            self._transport = self._owner.link.wrap(self._transport)
            if isinstance(self._transport, ScheduledTransport):
                self._transport.on_drained = self._on_written
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Parse input, and start serving complete requests."""
        if self._ignores_input:
            self._linger_bytes -= len(data)
            if self._linger_bytes < 0:
                self.abort()
            return
        self._parse(data)
        self._handle_next()

    def _parse(self, data: bytes) -> None:
        """Parse input in pieces, up to the point from which there is no memory for the body."""
        offset = 0
        while offset < len(data) and not self._ignores_input:
            if self._body.waits_for_memory():
                self._unparsed += data[offset:]
                return
            size = CHUNK_BYTES if self._body.is_large else READ_CHUNK_BYTES
            self._feed_parser(data[offset : offset + size])
            offset += size

    def _feed_parser(self, data: bytes) -> None:
        """Parse a chunk of input.

        httptools buffers incomplete values without a limit, so received bytes are counted here.
        """
        assert self._parser is not None
        self._chunk_bytes = len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            self._decline_upgrade(data[offer.args[0] :])
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

    def _decline_upgrade(self, rest: bytes) -> None:
        """Serve a request that offers another protocol as HTTP/1.1 (RFC 9110, 7.8); `rest` follows its head.

        httptools stops at the end of such a head, and regards what follows as the other protocol. A new
        parser gets the head without the offer, and then the body.
        """
        assert self._parser is not None
        method, version = self._parser.get_method(), self._parser.get_http_version()
        head = request_head(method, bytes(self._target), version, self._headers)
        self._is_upgrade_offered = False
        self._parser = httptools.HttpRequestParser(self)
        self._feed_parser(head)
        if rest and not self._ignores_input:
            self._parse(rest)

    def _head_bytes(self) -> int:
        """Return the size of the head, with trailers and what the framing of chunks has beyond its limit."""
        framing_limit = MAX_FRAMING_PER_BODY_BYTE * self._body.size if self._is_chunked else 0
        return self._message_bytes - self._body.size - framing_limit

    def pause_writing(self) -> None:
        """Start no further requests, so that responses that the client does not read don't accumulate."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Start pending requests again."""
        self._is_writing_paused = False
        self._on_written()
        self._handle_next()

    def _on_written(self) -> None:
        """Go on with a streamed response: what was written has gone to the client or the link."""
        if self._streamed_response is not None and not self._is_behind():
            self._streamed_response.on_drained()

    def _is_behind(self) -> bool:
        """Return whether written bytes wait for the client or for the link."""
        return self._is_writing_paused or self._waits_for_link()

    def eof_received(self) -> None:
        """Treat the end of input as the client's disconnection."""
        self._on_disconnected()
        self._timeouts.move_to(self._timeouts.lingering, self)  # the client may never read its responses

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress and remove the connection from its owner."""
        self._on_disconnected()
        self._owner.on_closed(self)
        if isinstance(self._transport, ScheduledTransport):
            self._transport.on_drained = None
        self._body.close()
        self._transport = self._parser = None  # breaks the reference cycle of parser and connection
        if self._counted_unread_bytes is not None:
            self.update_unread_bytes()

    # --- called by httptools ---

    def on_message_begin(self) -> None:
        """Reset the parsing state for a new request."""
        self._target.clear()
        self._headers = []
        self._body.drop()
        self._message_bytes = 0
        self._is_in_request = self._is_in_head = True
        self._is_chunked = False
        self.is_unused = False

    def on_url(self, url: bytes) -> None:
        """Append a chunk of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are discarded, since they arrive after the head was checked."""
        if self._is_in_head:
            # httptools keeps white space at the end of a value, which is no part of it (RFC 9112, 5.1).
            self._headers.append((name, (value or b"").rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Pass the head to the reader; httptools turns a BadRequestError into a parser error."""
        assert self._parser is not None and self._transport is not None
        self._is_in_head = False
        if self._parser.get_method() == b"CONNECT":
            raise BadRequestError(400, "CONNECT is not supported")
        self._is_upgrade_offered = self._parser.should_upgrade()
        if self._is_upgrade_offered:
            return
        request = self._incomplete_request = ClientRequest(
            self._parser.get_method(), bytes(self._target), self._headers
        )
        self._owner.reader.read(request)
        self._is_chunked = any(name.lower() == b"transfer-encoding" for name, _ in self._headers)
        self._set_arrival(request)
        self._body.reserve(announced_body_bytes(self._headers), self._memory_wait_s(request))
        if not self._body.waits_for_memory():
            self._invite_body()

    def _set_arrival(self, request: ClientRequest) -> None:
        """Set the time of arrival; after a pause of the process it may have been at the pause's beginning."""
        now = time.monotonic()
        monitor = self._owner.pause_monitor
        unread_s = 0.0 if monitor is None else monitor.input_age_s(now)
        request.unread_s = max(request.unread_s, unread_s)
        request.arrived_at = now - unread_s

    def _memory_wait_s(self, request: ClientRequest) -> float:
        return request.remaining_ms / 1000.0 or self._owner.limits.read_timeout_s

    def _invite_body(self) -> None:
        """Send the interim response for which a client waits before it sends the body (RFC 9110, 10.1.1)."""
        if (
            any(
                name.lower() == b"expect" and value.lower() == b"100-continue"
                for name, value in self._headers
            )
            and self.request is None
            and not self._pipelined
            and self._transport is not None
        ):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_memory_granted(self) -> None:
        """Read the body that has waited for memory."""
        if self._ignores_input:
            return
        self._invite_body()
        unparsed, self._unparsed = self._unparsed, b""
        self._parse(unparsed)
        self._handle_next()

    def _on_memory_timeout(self) -> None:
        """Reject a request for whose body there was no memory in time; none of it was forwarded."""
        self._linger_bytes = max(self._linger_bytes, self._owner.limits.max_body_bytes)
        self._reject_input(BadRequestError(503, "no memory for the body"))
        self._handle_next()

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body, up to the size limit."""
        max_body_bytes = self._owner.limits.max_body_bytes
        self._body.append(body)
        if self._body.size > max_body_bytes:
            raise BadRequestError(413, "the body is too large")
        if self._is_chunked and self._body.size > MAX_SMALL_BODY_BYTES and not self._body.is_large:
            assert self._incomplete_request is not None
            self._body.reserve(max_body_bytes, self._memory_wait_s(self._incomplete_request))

    def on_message_complete(self) -> None:
        """Queue a complete request; one that offers another protocol is parsed once more."""
        if self._is_upgrade_offered:
            return
        assert self._parser is not None and self._incomplete_request is not None
        request, self._incomplete_request = self._incomplete_request, None
        self._is_in_request = False
        if not self._body.is_large:
            self._set_arrival(request)
        self._body.finish(request)
        request.received_bytes = self._message_bytes + self._chunk_bytes  # too high by one chunk at most
        request.keep_alive = self._parser.should_keep_alive()
        request.is_http_1_0 = self._parser.get_http_version() == "1.0"
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
                status, reason = request.rejection
                self.respond(status, RETRY_AFTER_REJECTION if status == 503 else [], reason)
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
            self._ignores_input
            or len(self._pipelined) >= MAX_PIPELINED_REQUESTS
            or self._body.waits_for_memory()
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
        elif self._body.waits_for_memory():
            self._timeouts.move_to(None, self)  # likewise, for memory
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
        if request is None:
            return
        request.release_body()
        if self._transport is None or self._is_finished():
            return
        self._response_expires_at = request.arrived_at + request.remaining_ms / 1000.0
        keep_alive = self._may_keep_alive(request)
        framing = b"" if status in BODILESS_STATUSES else b"Content-Length: %d\r\n" % len(body)
        self._transport.write(response_head(status, headers, framing, keep_alive) + body)
        self._finish_response(request, keep_alive)

    def respond_streamed(
        self, status: int, headers: Headers, body_bytes: int | None, body: BodyReceiver
    ) -> None:
        """Write the head of the final response, and then its body as it comes, until the client's deadline.

        The request stays in progress until the body is complete. A body of unknown length is chunked; for a
        client of HTTP/1.0 it ends with the connection.
        """
        request = self.request
        if request is None or self._transport is None or self._is_finished():
            return  # the body gets no consumer, and is cancelled
        request.release_body()
        is_chunked = body_bytes is None and not request.is_http_1_0
        request.keep_alive = self._may_keep_alive(request) and (body_bytes is not None or is_chunked)
        if body_bytes is not None:
            framing = b"Content-Length: %d\r\n" % body_bytes
        else:
            framing = b"Transfer-Encoding: chunked\r\n" if is_chunked else b""
        self._response_expires_at = request.arrived_at + request.remaining_ms / 1000.0
        self._transport.write(response_head(status, headers, framing, request.keep_alive))
        self._streamed_response = StreamedResponse(self, body, is_chunked)
        self._streamed_response.start(self._owner.loop, self._response_expires_at - time.monotonic())

    def write_body(self, data: bytes) -> bool:
        """Write a part of a streamed response; return whether more may be written at once."""
        if self._transport is None or self._transport.is_closing():
            return False
        self._transport.write(data)
        return not self._is_behind()

    def end_response(self) -> None:
        """Finish a streamed response."""
        request, self.request = self.request, None
        self._streamed_response = None
        if request is not None and self._transport is not None:
            self._finish_response(request, request.keep_alive)

    def _may_keep_alive(self, request: ClientRequest) -> bool:
        """Return whether the connection stays open after the response.

        A draining frontend closes the connection only after the responses to pipelined requests.
        """
        return request.keep_alive and not (self._owner.is_draining and not self._pipelined)

    def _finish_response(self, request: ClientRequest, keep_alive: bool) -> None:
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
        self._clear_pipelined()
        self._pipelined.append(
            ClientRequest(b"", b"", [], keep_alive=False, rejection=(error.status, str(error).encode()))
        )

    def _half_close(self) -> None:
        """Close the connection for writing, and keep reading.

        The kernel sends a reset when a socket with unread input is closed, and the reset could reach the
        client before the response.
        """
        self._ignores_input = True
        self._clear_pipelined()
        if self._transport is not None and not self._is_closing:
            self._is_closing = True
            self._transport.write_eof()

    def _is_finished(self) -> bool:
        return self._is_closing or self._transport is None or self._transport.is_closing()

    def _on_disconnected(self) -> None:
        self._ignores_input = True
        self._clear_pipelined()
        self._timeouts.move_to(None, self)
        streamed_response, self._streamed_response = self._streamed_response, None
        if streamed_response is not None:
            streamed_response.cancel()
        if self.request is not None:
            request, self.request = self.request, None
            self._owner.handler.on_client_disconnected(self, request)
            request.release_body()

    def _clear_pipelined(self) -> None:
        """Drop the requests that wait, and the body of an incomplete one."""
        for request in self._pipelined:
            request.release_body()
        self._pipelined.clear()
        self._body.drop()
        self._unparsed = b""

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
