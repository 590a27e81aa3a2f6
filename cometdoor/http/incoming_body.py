"""The body of a request that is being read from a client: small ones in memory, large ones by reservation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cometdoor.host.memory_account import MemoryAccount
from cometdoor.http.large_body import LargeBody
from cometdoor.http.messages import ClientRequest

MAX_SMALL_BODY_BYTES = 64 << 10  # of a body that is held without a reservation of memory, in some copies
# Share of its remaining time for which a request waits for memory before it is rejected.
MAX_WAIT_SHARE = 0.9


def _ignore() -> None:
    pass


class IncomingBody:
    """Collects the body of one request at a time on a client's connection.

    Parameters
    ----------
    memory
        The process's account; None holds each body up to its limit, and never waits.
    on_granted
        Called once there is memory for a body that had to wait for it.
    on_timeout
        Called if there was none in time; none of the request was forwarded.

    Attributes
    ----------
    size : int
        Bytes received so far.
    """

    __slots__ = (
        "_large_body",
        "_loop",
        "_memory",
        "_on_granted",
        "_on_timeout",
        "_small_parts",
        "_timer",
        "size",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        memory: MemoryAccount | None,
        on_granted: Callable[[], None],
        on_timeout: Callable[[], None],
    ) -> None:
        self.size = 0
        self._loop = loop
        self._memory = memory
        self._on_granted = on_granted
        self._on_timeout = on_timeout
        self._small_parts: list[bytes] = []
        self._large_body: LargeBody | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_large(self) -> bool:
        """Whether the body has a reservation, granted or not."""
        return self._large_body is not None

    def waits_for_memory(self) -> bool:
        """Return whether no more of the body may be read yet."""
        return self._large_body is not None and not self._large_body.has_memory

    def reserve(self, size: int, wait_s: float) -> None:
        """Reserve memory if `size` is that of a large body; give up after a share of `wait_s` seconds."""
        if self._memory is None or self._large_body is not None or size <= MAX_SMALL_BODY_BYTES:
            return
        reservation = self._memory.reserve(size, self._schedule_grant)
        self._large_body = LargeBody(reservation)
        for small_part in self._small_parts:
            self._large_body.append(small_part)
        self._small_parts.clear()
        if not reservation.is_granted:
            self._timer = self._loop.call_later(MAX_WAIT_SHARE * wait_s, self._give_up)

    def append(self, part: bytes) -> None:
        """Add a part that was received."""
        self.size += len(part)
        if self._large_body is None:
            self._small_parts.append(part)
        else:
            self._large_body.append(part)

    def finish(self, request: ClientRequest) -> None:
        """Pass the complete body to its request."""
        self._cancel_timer()
        if self._large_body is not None:
            self._large_body.finish()
            request.large_body, self._large_body = self._large_body, None
        else:
            request.body = b"".join(self._small_parts)
        self.drop()

    def drop(self) -> None:
        """Drop an incomplete body, and return its memory."""
        self._cancel_timer()
        self._small_parts = []
        self.size = 0
        body, self._large_body = self._large_body, None
        if body is not None:
            body.release()

    def close(self) -> None:
        """Drop an incomplete body, and the callbacks, which form a cycle with the connection."""
        self.drop()
        self._on_granted = self._on_timeout = _ignore

    def _schedule_grant(self) -> None:
        self._loop.call_soon(self._grant)

    def _grant(self) -> None:
        if self._large_body is not None and self._large_body.has_memory:
            self._cancel_timer()
            self._on_granted()

    def _give_up(self) -> None:
        self._timer = None
        self._on_timeout()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
