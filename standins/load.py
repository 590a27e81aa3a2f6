"""Clients: an open-loop load by class, with deadlines and retries, and the books that they keep.

Arrivals are drawn beforehand from a seed and leave on time, however slow the answers are. Each try is booked
with the one end that it had.
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


class End(StrEnum):
    OPEN = "open"
    ANSWERED = "answered"  # a whole answer came in time
    LEFT = "left"  # it went away before its time was up, and is owed nothing
    GAVE_UP = "gave up"  # none came before the client's time was up
    LOST = "lost"  # the connection ended without a whole answer
    NOT_TAKEN = "not taken"  # no connection came up


@dataclass(frozen=True, slots=True)
class ClassLoad:
    service: str  # in whose name it is booked
    name: str  # its X-Qos
    effect: str  # safe, keyed or unsafe
    rate: float  # requests a second, at random moments
    host: str
    path: str = "/"
    deadline_s: float = 1.0  # what a client waits in all
    retries: int = 1  # after a refusal, while there is time
    body: bytes = b"12345678"


@dataclass(slots=True)
class Try:
    order: int  # what the client wants done: its tries share it, and their key
    service: str
    cls: str
    effect: str
    request: str  # X-Trace-Id
    key: str
    sent_at: float
    until: float
    end: End = End.OPEN
    status: int = 0
    ended_at: float = 0.0
    sent_again_at: float | None = None  # its kept connection had just been closed
    retry_after_s: float = 0.0

    @property
    def seconds(self) -> float:
        return self.ended_at - self.sent_at

    @property
    def was_served(self) -> bool:
        return self.end is End.ANSWERED and self.status == 200

    @property
    def was_refused(self) -> bool:
        return self.end is End.ANSWERED and self.status in (429, 503)


@dataclass(slots=True)
class Book:
    tries: list[Try] = field(default_factory=list)

    def of(self, service: str) -> list[Try]:
        return [one for one in self.tries if one.service == service]


def percentile(values: Sequence[float], share: float) -> float:
    """0 where there are none."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0


class Load:
    """`ended` hears of each try, when it has ended."""

    def __init__(
        self,
        address: Address,
        classes: Sequence[ClassLoad],
        seed: int = 1,
        name: str = "c",
        ended: Callable[[Try], None] = lambda one: None,
    ) -> None:
        self.book = Book()
        self.address = address
        self.classes = classes
        self._name = name
        self._random = Random(seed)
        self._ended = ended
        self._ids = itertools.count(1)
        self._orders = itertools.count(1)
        self._idle: list[_Client] = []
        self._open: dict[_Client, None] = {}
        self._pending = 0
        self._done = asyncio.Event()
        self.stopped = False

    async def run(self, seconds: float) -> Book:
        """All tries have ended when it returns."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        next_at = [
            (began + self._random.expovariate(cls.rate), place)
            for place, cls in enumerate(self.classes)
            if cls.rate > 0
        ]
        heapq.heapify(next_at)
        while next_at and not self.stopped and next_at[0][0] < began + seconds:
            at, place = next_at[0]
            if at > loop.time():
                await asyncio.sleep(at - loop.time())
                continue
            cls = self.classes[place]
            heapq.heapreplace(next_at, (at + self._random.expovariate(cls.rate), place))
            self.order(cls)
        while self._pending:
            self._done.clear()
            await self._done.wait()
        self.close()
        return self.book

    def close(self) -> None:
        for client in list(self._open):
            client.abort()

    def order(self, cls: ClassLoad) -> int:
        """One more request that a client wants done."""
        number = next(self._orders)
        key = f"{self._name}-k{number}" if cls.effect == "keyed" else ""
        self._try(cls, number, key, time.monotonic() + cls.deadline_s, cls.retries)
        return number

    def _try(self, cls: ClassLoad, order: int, key: str, until: float, retries: int) -> None:
        now = time.monotonic()
        request = f"{self._name}-{next(self._ids)}"
        one = Try(order, cls.service, cls.name, cls.effect, request, key, now, until)
        self.book.tries.append(one)
        self._pending += 1
        sent = _Sent(one, self._bytes(cls, one), lambda: self._over(cls, one, retries))
        sent.timer = asyncio.get_running_loop().call_later(until - now, sent.give_up)
        self._send(sent)

    def _send(self, sent: _Sent) -> None:
        while self._idle:
            client = self._idle.pop()
            if client.is_usable():
                client.ask(sent)
                return
        client = _Client(self, sent)
        self._open[client] = None
        client.opening = asyncio.get_running_loop().create_task(client.open())

    @staticmethod
    def _bytes(cls: ClassLoad, one: Try) -> bytes:
        lines = [
            f"{'GET' if cls.effect == 'safe' else 'POST'} {cls.path} HTTP/1.1",
            f"Host: {cls.host}",
            f"X-Trace-Id: {one.request}",
            f"X-Qos: {cls.name}",
            f"X-Expires-In: {one.until - one.sent_at:.4f}",
        ]
        if one.key:
            lines.append(f"Idempotency-Key: {one.key}")
        body = b"" if cls.effect == "safe" else cls.body
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    def _over(self, cls: ClassLoad, one: Try, retries: int) -> None:
        """A refusal says that trying again is harmless; all else is final for a client."""
        self._ended(one)
        pause_s = max(one.retry_after_s, 0.02)
        if one.was_refused and retries and one.ended_at + pause_s < one.until and not self.stopped:
            asyncio.get_running_loop().call_later(
                pause_s, self._again, cls, one.order, one.key, one.until, retries - 1
            )
        else:
            self._finished()

    def _again(self, cls: ClassLoad, order: int, key: str, until: float, retries: int) -> None:
        self._try(cls, order, key, until, retries)
        self._finished()

    def _finished(self) -> None:
        self._pending -= 1
        if not self._pending:
            self._done.set()

    # --- the connections' calls ---

    def idle(self, client: _Client) -> None:
        self._idle.append(client)

    def send_again(self, sent: _Sent) -> None:
        sent.one.sent_again_at = time.monotonic()
        self._send(sent)

    def forget(self, client: _Client) -> None:
        self._open.pop(client, None)


class _Sent:
    """One try under way."""

    def __init__(self, one: Try, data: bytes, over: Callable[[], None]) -> None:
        self.one = one
        self.data = data
        self.over = over
        self.timer: asyncio.TimerHandle | None = None
        self.client: _Client | None = None

    def end(self, how: End, status: int = 0) -> None:
        if self.one.end is not End.OPEN:
            return
        self.one.end, self.one.status, self.one.ended_at = how, status, time.monotonic()
        if self.timer is not None:
            self.timer.cancel()
        self.client = None
        self.over()

    def give_up(self) -> None:
        client = self.client
        self.end(End.GAVE_UP)
        if client is not None:
            client.abort()


class _Client(asyncio.Protocol):
    def __init__(self, load: Load, sent: _Sent) -> None:
        self.opening: asyncio.Task[None] | None = None
        self._load = load
        self._sent: _Sent | None = sent
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._has_served = self._has_answered = False
        sent.client = self

    async def open(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: self, *self._load.address)
        except OSError:
            self._load.forget(self)
            if self._sent is not None:
                self._sent.end(End.NOT_TAKEN)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._sent is not None:
            self._transport.write(self._sent.data)

    def is_usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def ask(self, sent: _Sent) -> None:
        assert self._transport is not None
        self._sent, sent.client = sent, self
        self._has_answered = False
        self._transport.write(sent.data)

    def data_received(self, data: bytes) -> None:
        self._has_answered = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._sent is not None and name.lower() == b"retry-after":
            self._sent.one.retry_after_s = float(value)

    def on_message_complete(self) -> None:
        sent, self._sent = self._sent, None
        keep = self._parser.should_keep_alive()
        if keep:
            self._has_served = True
            self._load.idle(self)
        elif self._transport is not None:
            self._transport.close()
        if sent is not None:
            sent.end(End.ANSWERED, self._parser.get_status_code())

    def connection_lost(self, problem: Exception | None) -> None:
        self._load.forget(self)
        self._transport = None
        sent, self._sent = self._sent, None
        if sent is None or sent.one.end is not End.OPEN:
            return
        if self._has_served and not self._has_answered and sent.one.sent_again_at is None:
            self._load.send_again(sent)
        else:
            sent.end(End.LOST)

    def abort(self) -> None:
        self._sent = None
        if self._transport is not None:
            self._transport.abort()
        elif self.opening is not None:
            self.opening.cancel()
            self._load.forget(self)
