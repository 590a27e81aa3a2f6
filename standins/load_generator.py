"""Clients that generate an open-loop load by class, with deadlines and retries, and log every attempt.

Arrivals are drawn in advance from a seed and start on time, however slow the responses are. Each attempt is
logged with exactly one outcome.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import cast

import httptools

Address = tuple[str, int]


class ClientOutcome(StrEnum):
    """How a client's attempt ended."""

    PENDING = "pending"
    ANSWERED = "answered"  # a complete response in time
    CANCELLED = "cancelled"  # the client disconnected before its deadline and expects no response
    TIMED_OUT = "timed out"  # no response by the client's deadline
    CONNECTION_LOST = "connection lost"  # the connection ended without a complete response
    CONNECT_FAILED = "connect failed"  # no connection could be opened


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """Rate, deadline and retries of one request class."""

    service: str  # name under which its attempts are logged
    name: str  # value of the X-Qos header
    effect: str  # safe, keyed or unsafe
    rate: float  # requests a second, with exponentially distributed intervals
    host: str
    path: str = "/"
    deadline_s: float = 1.0  # over all attempts of an operation
    retries: int = 1  # after rejections, if they fit within the deadline
    body: bytes = b"12345678"


@dataclass(slots=True)
class ClientAttempt:
    """One attempt as its client logged it. Times are in seconds."""

    operation: int  # number of the operation; its attempts share it and their key
    service: str
    cls: str
    effect: str
    request: str  # value of the X-Trace-Id header
    key: str
    sent_at: float
    deadline_at: float
    outcome: ClientOutcome = ClientOutcome.PENDING
    status: int = 0
    ended_at: float = 0.0
    resent_at: float | None = None  # when it was resent because its reused connection had been closed
    retry_after_s: float = 0.0

    @property
    def seconds(self) -> float:
        return self.ended_at - self.sent_at

    @property
    def was_served(self) -> bool:
        return self.outcome is ClientOutcome.ANSWERED and self.status == 200

    @property
    def was_rejected(self) -> bool:
        return self.outcome is ClientOutcome.ANSWERED and self.status in (429, 503)


@dataclass(slots=True)
class ClientLog:
    """All attempts of the clients, for the check of the rules."""

    attempts: list[ClientAttempt] = field(default_factory=list)

    def for_service(self, service: str) -> list[ClientAttempt]:
        return [attempt for attempt in self.attempts if attempt.service == service]


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value at a share of the sorted values; 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0


class LoadGenerator:
    """Generates an open-loop load; `on_attempt_ended` is called with each attempt when it ends."""

    def __init__(
        self,
        address: Address,
        classes: Sequence[ClassLoad],
        seed: int = 1,
        name: str = "c",
        on_attempt_ended: Callable[[ClientAttempt], None] = lambda attempt: None,
    ) -> None:
        self.client_log = ClientLog()
        self.address = address
        self.classes = classes
        self._name = name
        self._random = Random(seed)
        self._on_ended = on_attempt_ended
        self._attempt_numbers = itertools.count(1)
        self._operation_numbers = itertools.count(1)
        self._idle_connections: list[_ClientConnection] = []
        self._open_connections: dict[_ClientConnection, None] = {}
        self._pending = 0
        self._all_done = asyncio.Event()
        self.is_stopped = False

    async def run(self, seconds: float) -> ClientLog:
        """Run the load, and return when all attempts have ended."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        next_at = [
            (started_at + self._random.expovariate(cls.rate), class_index)
            for class_index, cls in enumerate(self.classes)
            if cls.rate > 0
        ]
        heapq.heapify(next_at)
        while next_at and not self.is_stopped and next_at[0][0] < started_at + seconds:
            at, class_index = next_at[0]
            if at > loop.time():
                await asyncio.sleep(at - loop.time())
                continue
            cls = self.classes[class_index]
            heapq.heapreplace(next_at, (at + self._random.expovariate(cls.rate), class_index))
            self.start_operation(cls)
        while self._pending:
            self._all_done.clear()
            await self._all_done.wait()
        self.close()
        return self.client_log

    def close(self) -> None:
        for connection in list(self._open_connections):
            connection.abort()

    def start_operation(self, cls: ClassLoad) -> int:
        """Start an operation, which may take several attempts."""
        number = next(self._operation_numbers)
        key = f"{self._name}-k{number}" if cls.effect == "keyed" else ""
        self._start_attempt(cls, number, key, time.monotonic() + cls.deadline_s, cls.retries)
        return number

    def _start_attempt(
        self, cls: ClassLoad, operation: int, key: str, deadline_at: float, retries: int
    ) -> None:
        now = time.monotonic()
        request = f"{self._name}-{next(self._attempt_numbers)}"
        attempt = ClientAttempt(operation, cls.service, cls.name, cls.effect, request, key, now, deadline_at)
        self.client_log.attempts.append(attempt)
        self._pending += 1
        pending_attempt = _PendingAttempt(
            attempt, self._encode_request(cls, attempt), lambda: self._on_attempt_ended(cls, attempt, retries)
        )
        pending_attempt.timer = asyncio.get_running_loop().call_later(
            deadline_at - now, pending_attempt.abandon
        )
        self._send(pending_attempt)

    def _send(self, pending_attempt: _PendingAttempt) -> None:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_usable():
                connection.send(pending_attempt)
                return
        connection = _ClientConnection(self, pending_attempt)
        self._open_connections[connection] = None
        connection.opening = asyncio.get_running_loop().create_task(connection.open())

    @staticmethod
    def _encode_request(cls: ClassLoad, attempt: ClientAttempt) -> bytes:
        lines = [
            f"{'GET' if cls.effect == 'safe' else 'POST'} {cls.path} HTTP/1.1",
            f"Host: {cls.host}",
            f"X-Trace-Id: {attempt.request}",
            f"X-Qos: {cls.name}",
            f"X-Expires-In: {attempt.deadline_at - attempt.sent_at:.4f}",
        ]
        if attempt.key:
            lines.append(f"Idempotency-Key: {attempt.key}")
        body = b"" if cls.effect == "safe" else cls.body
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    def _on_attempt_ended(self, cls: ClassLoad, attempt: ClientAttempt, retries: int) -> None:
        """Retry after a rejection, which guarantees that a retry is harmless; any other outcome is final."""
        self._on_ended(attempt)
        pause_s = max(attempt.retry_after_s, 0.02)
        if (
            attempt.was_rejected
            and retries
            and attempt.ended_at + pause_s < attempt.deadline_at
            and not self.is_stopped
        ):
            asyncio.get_running_loop().call_later(
                pause_s, self._retry, cls, attempt.operation, attempt.key, attempt.deadline_at, retries - 1
            )
        else:
            self._on_operation_finished()

    def _retry(self, cls: ClassLoad, operation: int, key: str, deadline_at: float, retries: int) -> None:
        self._start_attempt(cls, operation, key, deadline_at, retries)
        self._on_operation_finished()

    def _on_operation_finished(self) -> None:
        self._pending -= 1
        if not self._pending:
            self._all_done.set()

    # --- called by connections ---

    def on_idle(self, connection: _ClientConnection) -> None:
        self._idle_connections.append(connection)

    def resend(self, pending_attempt: _PendingAttempt) -> None:
        pending_attempt.attempt.resent_at = time.monotonic()
        self._send(pending_attempt)

    def on_closed(self, connection: _ClientConnection) -> None:
        self._open_connections.pop(connection, None)


class _PendingAttempt:
    """An attempt in flight."""

    def __init__(self, attempt: ClientAttempt, data: bytes, on_ended: Callable[[], None]) -> None:
        self.attempt = attempt
        self.data = data
        self.on_ended = on_ended
        self.timer: asyncio.TimerHandle | None = None
        self.connection: _ClientConnection | None = None

    def finish(self, outcome: ClientOutcome, status: int = 0) -> None:
        if self.attempt.outcome is not ClientOutcome.PENDING:
            return
        self.attempt.outcome, self.attempt.status, self.attempt.ended_at = outcome, status, time.monotonic()
        if self.timer is not None:
            self.timer.cancel()
        self.connection = None
        self.on_ended()

    def abandon(self) -> None:
        connection = self.connection
        self.finish(ClientOutcome.TIMED_OUT)
        if connection is not None:
            connection.abort()


class _ClientConnection(asyncio.Protocol):
    """A connection to the proxy, which is reused for successive attempts."""

    def __init__(self, load: LoadGenerator, pending_attempt: _PendingAttempt) -> None:
        self.opening: asyncio.Task[None] | None = None
        self._load = load
        self._pending_attempt: _PendingAttempt | None = pending_attempt
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._has_responded_before = self._response_started = False
        pending_attempt.connection = self

    async def open(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: self, *self._load.address)
        except OSError:
            self._load.on_closed(self)
            if self._pending_attempt is not None:
                self._pending_attempt.finish(ClientOutcome.CONNECT_FAILED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._pending_attempt is not None:
            self._transport.write(self._pending_attempt.data)

    def is_usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def send(self, pending_attempt: _PendingAttempt) -> None:
        assert self._transport is not None
        self._pending_attempt, pending_attempt.connection = pending_attempt, self
        self._response_started = False
        self._transport.write(pending_attempt.data)

    def data_received(self, data: bytes) -> None:
        self._response_started = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._pending_attempt is not None and name.lower() == b"retry-after":
            self._pending_attempt.attempt.retry_after_s = float(value)

    def on_message_complete(self) -> None:
        pending_attempt, self._pending_attempt = self._pending_attempt, None
        keeps_alive = self._parser.should_keep_alive()
        if keeps_alive:
            self._has_responded_before = True
            self._load.on_idle(self)
        elif self._transport is not None:
            self._transport.close()
        if pending_attempt is not None:
            pending_attempt.finish(ClientOutcome.ANSWERED, self._parser.get_status_code())

    def connection_lost(self, problem: Exception | None) -> None:
        self._load.on_closed(self)
        self._transport = None
        pending_attempt, self._pending_attempt = self._pending_attempt, None
        if pending_attempt is None or pending_attempt.attempt.outcome is not ClientOutcome.PENDING:
            return
        if (
            self._has_responded_before
            and not self._response_started
            and pending_attempt.attempt.resent_at is None
        ):
            self._load.resend(pending_attempt)
        else:
            pending_attempt.finish(ClientOutcome.CONNECTION_LOST)

    def abort(self) -> None:
        self._pending_attempt = None
        if self._transport is not None:
            self._transport.abort()
        elif self.opening is not None:
            self.opening.cancel()
            self._load.on_closed(self)
