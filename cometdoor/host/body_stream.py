"""Bodies that are forwarded in chunks as they come, and never faster than their receiver takes them. No I/O.

The receiver grants the sender credit in bytes, and more of it as its own output accepts what came. A sender
without credit stops reading its source, down to the socket of the client or the backend.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

WINDOW_BYTES = 256 << 10  # of one body on its way between two processes
CHUNK_BYTES = 64 << 10  # largest chunk that is sent at once


class BodyConsumer(Protocol):
    """Gets the chunks of a body, in order; exactly one of the other two methods is called at its end."""

    def on_chunk(self, data: bytes) -> None:
        """Take a chunk; `BodyReceiver.grant` is called once it has gone on."""

    def on_end(self) -> None:
        """Handle the end of a complete body."""

    def on_failed(self) -> None:
        """Handle a body of which the rest will not come."""


class BodySender:
    """Sends a body as far as the receiver's credit allows, and queues the rest.

    Parameters
    ----------
    write
        Writes one chunk; the flag is True for the last one, which may be empty.
    credit_bytes
        Bytes that may be sent before the receiver grants more.
    """

    def __init__(self, write: Callable[[bytes, bool], None], credit_bytes: int = 0) -> None:
        self.queued_bytes = 0
        self.on_drained: Callable[[], None] = lambda: None  # called when the queue has become empty
        self._write = write
        self._credit_bytes = credit_bytes
        self._queue: deque[bytes] = deque()
        self._has_end = self._is_over = False

    def send(self, chunks: Iterable[bytes], is_last: bool) -> None:
        """Send or queue chunks of the body; with `is_last`, nothing follows them."""
        for chunk in chunks:
            if chunk:
                self._queue.append(chunk)
                self.queued_bytes += len(chunk)
        self._has_end = self._has_end or is_last
        self._send_queued()

    def add_credit(self, size: int) -> None:
        """Send on with more credit."""
        self._credit_bytes += size
        was_queued = bool(self._queue)
        self._send_queued()
        if was_queued and not self._queue:
            self.on_drained()

    def stop(self) -> None:
        """Send nothing any more, and drop what is queued."""
        self._is_over = True
        self._queue.clear()
        self.queued_bytes = 0

    def _send_queued(self) -> None:
        if self._is_over:
            return
        while self._queue and self._credit_bytes > 0:
            chunk = self._queue.popleft()
            self._credit_bytes -= len(chunk)
            self.queued_bytes -= len(chunk)
            self._write_chunk(chunk, self._has_end and not self._queue)
        if self._has_end and not self._queue and not self._is_over:
            self._write_chunk(b"", True)

    def _write_chunk(self, chunk: bytes, is_last: bool) -> None:
        self._is_over = is_last
        self._write(chunk, is_last)


class BodyReceiver:
    """Passes the chunks of a body that arrive from a peer to its consumer.

    Parameters
    ----------
    grant
        Grants the sender credit in bytes.
    cancel
        Notifies the sender that nobody takes the body any more.
    """

    def __init__(self, grant: Callable[[int], None], cancel: Callable[[], None]) -> None:
        self.grant = grant
        self._cancel = cancel
        self._consumer: BodyConsumer | None = None
        self._is_over = False

    @property
    def has_consumer(self) -> bool:
        """Whether anyone takes the body."""
        return self._consumer is not None

    def start(self, consumer: BodyConsumer) -> None:
        """Pass all chunks to `consumer`; must be called before the first one arrives."""
        self._consumer = consumer

    def receive(self, data: bytes, is_last: bool) -> None:
        """Pass a chunk on."""
        if self._is_over or self._consumer is None:
            return
        consumer = self._consumer
        if data:
            consumer.on_chunk(data)
        if is_last and not self._is_over:
            self._end()
            consumer.on_end()

    def fail(self) -> None:
        """Report that the rest will not come."""
        if not self._is_over:
            consumer = self._consumer
            self._end()
            if consumer is not None:
                consumer.on_failed()

    def cancel(self) -> None:
        """Take nothing any more; the sender is notified unless the body is complete."""
        if not self._is_over:
            self._end()
            self._cancel()

    def _end(self) -> None:
        self._is_over = True
        self._consumer = None
