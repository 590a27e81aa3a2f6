"""Collects a streamed response whole: the response to a keyed request is kept for repeated attempts."""

from __future__ import annotations

from collections.abc import Callable

from cometdoor.host.memory_account import MemoryAccount
from cometdoor.wire.forwarding import ForwardResponse
from cometdoor.wire.peer_connection import StreamedReply

MAX_COLLECTED_BYTES = 64 << 20
COPIES = 2  # the chunks, and the body that is joined from them


class ResponseCollector:
    """Consumer of the body of one response; reserves memory for all of it before it takes more than a window.

    Parameters
    ----------
    on_complete
        Called with the whole response.
    on_failed
        Called if the rest will not come, or if the body is larger than `MAX_COLLECTED_BYTES`.
    """

    def __init__(
        self,
        reply: StreamedReply,
        memory: MemoryAccount,
        on_complete: Callable[[ForwardResponse], None],
        on_failed: Callable[[], None],
    ) -> None:
        self._reply = reply
        self._on_complete = on_complete
        self._on_failed = on_failed
        self._chunks: list[bytes] = []
        self._size = self._owed_bytes = 0
        announced_bytes = reply.head.body_bytes
        self._limit_bytes = MAX_COLLECTED_BYTES if announced_bytes is None else announced_bytes
        reply.body.start(self)
        self._reservation = memory.reserve(
            COPIES * min(self._limit_bytes, MAX_COLLECTED_BYTES), self._grant_owed
        )
        if self._limit_bytes > MAX_COLLECTED_BYTES:
            self._give_up()

    def on_chunk(self, data: bytes) -> None:
        """Keep a chunk, and ask for more if there is memory for it."""
        self._chunks.append(data)
        self._size += len(data)
        self._owed_bytes += len(data)
        if self._size > self._limit_bytes:
            self._give_up()
        elif self._reservation.is_granted:
            self._grant_owed()

    def _grant_owed(self) -> None:
        owed_bytes, self._owed_bytes = self._owed_bytes, 0
        if owed_bytes:
            self._reply.body.grant(owed_bytes)

    def on_end(self) -> None:
        """Pass on the whole response."""
        body = b"".join(self._chunks)
        self._chunks.clear()
        self._reservation.release()
        self._on_complete(ForwardResponse(self._reply.head.status, self._reply.head.headers, body))

    def on_failed(self) -> None:
        """Report that there is no complete response."""
        self._chunks.clear()
        self._reservation.release()
        self._on_failed()

    def _give_up(self) -> None:
        self._reply.body.cancel()
        self.on_failed()
