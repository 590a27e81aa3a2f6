"""The body of a response that is written to a client in chunks, no faster than the client reads."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from cometdoor.host.body_stream import BodyReceiver

LAST_CHUNK = b"0\r\n\r\n"
log = logging.getLogger(__name__)


class StreamingConnection(Protocol):
    """The client's connection, as far as a streamed response uses it."""

    def write_body(self, data: bytes) -> bool:
        """Write bytes; return whether more may be written at once."""

    def end_response(self) -> None:
        """Handle the end of the complete response."""

    def abort(self) -> None:
        """Close the connection at once: the response is incomplete."""


class StreamedResponse:
    """Consumer of a body that goes to a client.

    Parameters
    ----------
    body
        Delivers the body, and grants its sender credit.
    is_chunked
        Whether the body is sent with chunked coding (RFC 9112, 7.1), since its length is not known.
    """

    def __init__(self, connection: StreamingConnection, body: BodyReceiver, is_chunked: bool) -> None:
        self._deadline: asyncio.TimerHandle | None = None
        self._connection = connection
        self._body = body
        self._is_chunked = is_chunked
        self._unread_bytes = 0  # written, and not granted again to the sender

    def start(self, loop: asyncio.AbstractEventLoop, remaining_s: float) -> None:
        """Start to receive the body, for `remaining_s` seconds; the head has been written."""
        self._deadline = loop.call_later(max(remaining_s, 0.0), self._on_deadline)
        self._body.start(self)

    def cancel(self) -> None:
        """Take nothing any more: the client has left."""
        self._cancel_deadline()
        self._body.cancel()

    def _on_deadline(self) -> None:
        """Break off a response for which the client no longer waits."""
        self._deadline = None
        log.info("streamed response broken off at its deadline")
        self._connection.abort()

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def on_chunk(self, data: bytes) -> None:
        """Write a chunk to the client."""
        self._unread_bytes += len(data)
        coded = b"%x\r\n%s\r\n" % (len(data), data) if self._is_chunked else data
        if self._connection.write_body(coded):
            self.on_drained()

    def on_drained(self) -> None:
        """Grant the sender credit for what the client's socket has taken."""
        if self._unread_bytes:
            unread_bytes, self._unread_bytes = self._unread_bytes, 0
            self._body.grant(unread_bytes)

    def on_end(self) -> None:
        """Complete the response."""
        self._cancel_deadline()
        if self._is_chunked:
            self._connection.write_body(LAST_CHUNK)
        self._connection.end_response()

    def on_failed(self) -> None:
        """Break the response off: the client sees that it is incomplete (RFC 9112, 8)."""
        self._cancel_deadline()
        self._connection.abort()
