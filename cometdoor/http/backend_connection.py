"""One connection to a backend, and the exchange in progress on it.

A connection carries one exchange at a time. It never retries: a reused connection that turns out to be broken
gives a result like any other failure, and the balancer decides whether to retry. The implementation uses
callbacks of `asyncio.Protocol` instead of coroutines, because a stream and a task for each exchange would
cost more than the exchange itself.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol, cast

import httptools

from cometdoor.balancing.api import Outcome
from cometdoor.host.address import Address
from cometdoor.host.attempt_outcome import (
    AttemptResult,
    AttemptStage,
    FailureKind,
    result_of_failure,
    result_of_response,
)
from cometdoor.host.body_stream import BodySender
from cometdoor.host.connection_reuse import ConnectionReuse
from cometdoor.host.exchange.backend_exchanges import (
    REUSABLE_CELLS,
    BackendExchangeEvent,
    BackendExchangeState,
)
from cometdoor.http.backend_exchange import BackendExchange
from cometdoor.http.messages import MAX_HEAD_BYTES, Response
from cometdoor.http.response_limits import ResponseLimits
from cometdoor.http.response_parser import MalformedResponseError, ResponseParser
from cometdoor.http.sockets import is_readable

# Timeout from a response's first byte to its last, where the limits of responses have one.
RESPONSE_READ_TIMEOUT_S = 1.0
# Added to the timeout so that bytes in the kernel's buffer are read first if the event loop was blocked.
RESPONSE_READ_GRACE_S = 0.05
# The last byte of a request that must not be executed twice is delayed until a FIN or RST that the backend
# may already have sent would have arrived. That takes one round trip, like the handshake, plus the delays of
# system timers and of two event loops. Of 68 connections that broke during a request on a bad
# day, 47 did so within 5 ms of its start and before any byte of a response, 35 of these within 1 ms.
LAST_BYTE_DELAY_MIN_S, LAST_BYTE_DELAY_MAX_S = 0.003, 0.02
LAST_BYTE_DELAY_HANDSHAKES = 2.0
# Limit of the failed request ids stored for a connection; a connection that exceeds it is closed.
MAX_FAILED_REQUEST_IDS = 128
NO_REQUEST_IDS: set[bytes] = set()  # shared by all connections and never modified


class BackendConnectionOwner(Protocol):
    """The part of the pool that its connections use."""

    loop: asyncio.AbstractEventLoop
    reuse: ConnectionReuse
    partial_request_may_run: bool
    buffered_bytes: int
    classify_response: Callable[[Response], Outcome]
    response_limits: ResponseLimits

    def is_buffer_full(self) -> bool:
        """Return whether large responses are rejected for lack of memory."""

    def release(self, connection: BackendConnection) -> None:
        """Return a reusable connection to the pool."""

    def on_connection_closed(self, connection: BackendConnection) -> None:
        """Remove a closed connection; called once for each."""


class BackendConnection(asyncio.Protocol):
    """A connection to one backend: writes a request, parses the response, and reports the attempt's result.

    Attributes
    ----------
    exchange : BackendExchange | None
        The exchange in progress.
    timer : asyncio.TimerHandle | None
        Timeout of connecting, and later of receiving a response after its first byte.
    idle_since : float
        Loop time in seconds at which the last response was complete.
    is_retired : bool
        Whether the backend is draining, has moved or was restarted: the connection is not reused.
    failed_request_ids : set[bytes]
        Ids of requests that failed on this connection. Their retries use other connections, so that a late
        response to the failed request can't be mistaken for the retry's.
    """

    __slots__ = (
        "_buffered_bytes",
        "_connect_task",
        "_handshake_s",
        "_has_body_begun",
        "_idle_before_s",
        "_is_sent",
        "_is_write_paused",
        "_last_byte_timer",
        "_parser",
        "_received_bytes",
        "_response_sender",
        "_sent_at",
        "_transport",
        "address",
        "exchange",
        "failed_request_ids",
        "idle_since",
        "is_closed",
        "is_retired",
        "pool",
        "server",
        "timer",
    )

    def __init__(
        self, pool: BackendConnectionOwner, server: str, address: Address, exchange: BackendExchange
    ) -> None:
        self.pool = pool
        self.server = server
        self.address = address
        self.exchange: BackendExchange | None = exchange
        self.timer: asyncio.TimerHandle | None = None
        self.idle_since = 0.0
        self.is_closed = False
        self.is_retired = False
        self.failed_request_ids: set[bytes] = NO_REQUEST_IDS
        self._transport: asyncio.Transport | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._idle_before_s = 0.0  # idle time before this request; 0 on a new connection
        self._parser = ResponseParser(pool.is_buffer_full, pool.response_limits)
        # Whether all bytes were passed to the transport, and whether it has not written some of them yet.
        self._is_sent = self._is_write_paused = False
        self._sent_at = 0.0  # loop time at which the request's first bytes were written
        self._last_byte_timer: asyncio.TimerHandle | None = None  # set while the last byte is delayed
        self._handshake_s = 0.0  # duration of the TCP handshake
        self._received_bytes = 0  # of the response
        self._buffered_bytes = 0  # of the response; included in the pool's `buffered_bytes`
        self._has_body_begun = False  # a request's head was written whose body follows in chunks
        self._response_sender: BodySender | None = None  # of a response that is streamed

    # --- opening ---

    def open(self, timeout_ms: float) -> None:
        """Start connecting; the exchange is written once the connection is open."""
        loop = self.pool.loop
        self._handshake_s = -loop.time()
        self._connect_task = loop.create_task(self._connect())
        self.timer = loop.call_later(timeout_ms / 1000.0, self._on_connect_timeout)

    async def _connect(self) -> None:
        try:
            await self.pool.loop.create_connection(lambda: self, *self.address)
        except ConnectionRefusedError:
            self._on_connect_failed(FailureKind.REFUSED)
        except (OSError, ValueError):  # ValueError: the address is not valid
            self._on_connect_failed(FailureKind.RESET)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the exchange, unless it was aborted meanwhile."""
        self._transport = cast(asyncio.Transport, transport)
        self._handshake_s += self.pool.loop.time()
        self._cancel_timer()
        tcp_socket = transport.get_extra_info("socket")
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # With a limit of 0, asyncio calls pause_writing whenever some bytes are buffered and not yet written.
        self._transport.set_write_buffer_limits(high=0)
        if self.is_closed or self.exchange is None:
            self._transport.abort()
        else:
            self._write_request()

    def _on_connect_timeout(self) -> None:
        self._on_connect_failed(FailureKind.TIMED_OUT)

    def _on_connect_failed(self, failure: FailureKind) -> None:
        if self._transport is None:
            self._fail(failure)

    # --- writing a request ---

    def start(self, exchange: BackendExchange) -> None:
        """Write another exchange on an idle connection."""
        self.exchange = exchange
        exchange.connection = self
        self._idle_before_s = self.idle_s()
        self._write_request()

    def _write_request(self) -> None:
        assert self._transport is not None and self.exchange is not None
        self._parser.correlate = self.exchange.correlate
        self._parser.may_stream = self.exchange.start_streaming is not None
        data = self.exchange.serialize()
        self._sent_at = self.pool.loop.time()
        if self.exchange.max_last_byte_delay_s:
            delay_s = min(
                max(LAST_BYTE_DELAY_HANDSHAKES * self._handshake_s, LAST_BYTE_DELAY_MIN_S),
                LAST_BYTE_DELAY_MAX_S,
                self.exchange.max_last_byte_delay_s,
            )
            self._last_byte_timer = self.pool.loop.call_later(delay_s, self._write_last_byte, data[-1:])
            data = data[:-1]
        elif self.exchange.request_body is not None:
            self._has_body_begun = True
        else:
            self._is_sent = True
        self._transport.write(data)
        if self._transport.is_closing():
            # The first write failed, so the kernel accepted no byte of the request.
            self._is_sent = self._has_body_begun = False
            self._fail(FailureKind.RESET)
        elif self.exchange.request_body is not None:
            self.exchange.request_body.start(self)

    def write_body(self, data: bytes, is_last: bool) -> bool:
        """Write a chunk of a request's body; return whether more may be written at once."""
        if self._transport is None or self._transport.is_closing() or self.exchange is None:
            return False
        self._is_sent = is_last
        if data:
            self._transport.write(data)
        return not self._is_write_paused

    def _write_last_byte(self, data: bytes) -> None:
        """Write the delayed last byte, unless the connection has ended meanwhile.

        The delay prevents unknown outcomes of non-idempotent requests whose connection was being closed or
        reset while they were written: a request without its last byte can't be executed, so that it may be
        retried. The delay is added to the latency of each such request.
        """
        self._last_byte_timer = None
        if self._transport is None or self.exchange is None:
            return
        if self._transport.is_closing():
            return
        if is_readable(self._transport):  # probably the end of the connection: the loop has to read it first
            self._last_byte_timer = self.pool.loop.call_later(0.0, self._write_last_byte, data)
            return
        self._is_sent = True
        self._transport.write(data)

    def stage(self) -> AttemptStage:
        """Return how far the exchange has come."""
        if self._transport is None:
            return AttemptStage.CONNECTING
        if self._received_bytes:
            return AttemptStage.RECEIVING if self._is_written() else AttemptStage.PARTIALLY_WRITTEN
        if self._is_written():
            return AttemptStage.WRITTEN
        return (
            AttemptStage.PARTIALLY_WRITTEN
            if self._is_sent or self._has_body_begun or self._last_byte_timer is not None
            else AttemptStage.CONNECTED
        )

    def exchange_state(self) -> BackendExchangeState:
        """Return the exchange's state after a complete response, for the exchange table."""
        if not self._is_written():
            return BackendExchangeState.PARTIALLY_WRITTEN
        return (
            BackendExchangeState.AFTER_EXTRA_BYTES
            if self._parser.has_extra_bytes
            else BackendExchangeState.WRITTEN
        )

    def _is_written(self) -> bool:
        return self._is_sent and not self._is_write_paused

    def idle_s(self) -> float:
        """Return the seconds since the last response."""
        return self.pool.loop.time() - self.idle_since

    def pause_writing(self) -> None:
        """Record that the transport has unwritten bytes."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Record that the transport has written all bytes, and go on with a request's body."""
        self._is_write_paused = False
        if self._has_body_begun and self.exchange is not None and self.exchange.request_body is not None:
            self.exchange.request_body.on_drained()

    # --- reading the response ---

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; the exchange ends with a complete response, or with an invalid one."""
        if self.exchange is None or self.is_closed:
            self.abort()  # no request is in progress that the bytes could answer
            return
        self._received_bytes += len(data)
        self._buffered_bytes += len(data)
        self.pool.buffered_bytes += len(data)
        parser = self._parser
        try:
            parser.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if parser.response is None:
                self._fail(FailureKind.TOO_LARGE if parser.is_too_large else FailureKind.MALFORMED)
                return
            parser.is_reusable = False  # extra bytes followed a valid response
        if parser.streamed_head is not None:
            if not self._send_on(parser.streamed_head):
                self._fail(FailureKind.TOO_LARGE)
                return
            self._release_buffer()
        if parser.response is not None:
            self._finish_with_response(parser.response)
        elif self._received_bytes - parser.body_bytes - parser.framing_limit() > MAX_HEAD_BYTES:
            self._fail_malformed()  # httptools buffers incomplete values without a limit
        elif not parser.is_in_response:
            self._cancel_timer()
        elif self.timer is None and self.pool.response_limits.has_read_timeout:
            self.timer = self.pool.loop.call_later(RESPONSE_READ_TIMEOUT_S, self._on_response_timeout)

    def _send_on(self, head: Response) -> bool:
        """Pass on what was received of a streamed response, and stop reading until it has been sent.

        Returns False if the owner of the exchange does not take it.
        """
        assert self.exchange is not None and self._transport is not None
        if self._response_sender is None:
            assert self.exchange.start_streaming is not None
            sender = self.exchange.start_streaming(head, self._parser.announced_bytes)
            if sender is None:
                return False
            sender.on_drained = self._resume_reading
            self._response_sender = sender
        sender = self._response_sender
        sender.send(self._parser.take_body(), is_last=self._parser.response is not None)
        if sender.queued_bytes and not self._transport.is_closing():
            self._transport.pause_reading()
        return True

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _finish_with_response(self, response: Response) -> None:
        self._finish(result_of_response(self.pool.classify_response(response)), response)

    def _on_response_timeout(self) -> None:
        """Fail an incomplete response, after a grace time for bytes that came while the loop was blocked."""
        self.timer = self.pool.loop.call_later(RESPONSE_READ_GRACE_S, self._fail_malformed)

    def _fail_malformed(self) -> None:
        """Fail the exchange as the server's fault: a reused connection may be reset, but not send garbage."""
        self._fail(FailureKind.MALFORMED)

    def eof_received(self) -> None:
        """Complete a response that ends with the connection; otherwise the exchange fails."""
        if self.exchange is not None and self._parser.needs_end_of_connection:
            try:
                self._parser.feed_end_of_connection()
            except MalformedResponseError:
                self._fail_malformed()
                return
            if self._parser.response is not None:
                if self._parser.streamed_head is None or self._send_on(self._parser.streamed_head):
                    self._finish_with_response(self._parser.response)
                return
        self._on_disconnected(FailureKind.CLOSED)

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange, if there is one: its response is incomplete."""
        self._on_disconnected(FailureKind.CLOSED if error is None else FailureKind.RESET)

    def _on_disconnected(self, failure: FailureKind) -> None:
        if self.exchange is None and not self.is_closed and not self.is_retired:
            self.pool.reuse.record_closed(self.server, self.idle_s())
        self._fail(failure)

    # --- the exchange's end ---

    def _fail(self, failure: FailureKind) -> None:
        """End the exchange without a response, and close the connection.

        The exchange's stage decides whether the request may have been executed; see `result_of_failure`.
        """
        result = AttemptResult(Outcome.NOT_SENT)  # without an exchange nobody receives the result
        if self.exchange is not None:
            result = result_of_failure(
                self.stage(), failure, self._idle_before_s > 0.0, self.pool.partial_request_may_run
            )
        self._finish(result)

    def _finish(self, result: AttemptResult, response: Response | None = None) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is not None and self._idle_before_s and not self.is_retired:
            # A connection that was already dead fails at once; one that fails later was alive when reused.
            if result.closed_while_idle and self.pool.loop.time() - self._sent_at <= max(
                LAST_BYTE_DELAY_MAX_S, LAST_BYTE_DELAY_HANDSHAKES * self._handshake_s
            ):
                self.pool.reuse.record_closed(self.server, self._idle_before_s)
            elif result.closed_while_idle or response is not None:
                self.pool.reuse.record_reused(self.server, self._idle_before_s)
        self._cancel_timer()
        self._cancel_last_byte()
        self._release_buffer()
        self._received_bytes = 0
        self._has_body_begun = False
        if self._response_sender is not None:
            self._response_sender.on_drained = lambda: None
            self._response_sender = None
            self._resume_reading()
        self._parser.reset()
        if exchange is not None and exchange.request_id and result.outcome is not Outcome.OK:
            self.failed_request_ids = self.failed_request_ids | {exchange.request_id}
        if response is not None and self._may_be_reused(result):
            self._is_sent = False
            self.pool.release(self)
        else:
            self.abort()
        if exchange is not None:
            exchange.connection = None
            exchange.on_result(result, response)

    def _may_be_reused(self, result: AttemptResult) -> bool:
        """Return whether the exchange table allows another request on the connection after a response."""
        if not self._parser.is_reusable:
            event = BackendExchangeEvent.RESPONSE_WITH_EXTRA_BYTES
        else:
            event = BackendExchangeEvent.REJECTED if result.is_not_executed else BackendExchangeEvent.RESPONSE
        return (
            (self.exchange_state(), event) in REUSABLE_CELLS
            and not self.is_closed
            and not self.is_retired
            and len(self.failed_request_ids) <= MAX_FAILED_REQUEST_IDS
        )

    # --- closing ---

    def _cancel_last_byte(self) -> None:
        if self._last_byte_timer is not None:
            self._last_byte_timer.cancel()
            self._last_byte_timer = None

    def abort(self) -> None:
        """Close the connection at once; no result is reported for the exchange, if there is one."""
        self._cancel_timer()
        self._cancel_last_byte()
        self._release_buffer()
        if not self.is_closed:
            self.is_closed = True
            self.pool.on_connection_closed(self)
            self._parser.close()
        if self._transport is not None:
            self._transport.abort()
        elif self._connect_task is not None:
            self._connect_task.cancel()

    def _release_buffer(self) -> None:
        self.pool.buffered_bytes -= self._buffered_bytes
        self._buffered_bytes = 0

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def has_unread_input(self) -> bool:
        """Return whether the connection has ended or has unread bytes that can't belong to a response."""
        return self._transport is None or self._transport.is_closing() or is_readable(self._transport)
