"""A directory on its lines: its messages, its time, and the fetching of a configuration that others have."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from cometdoor.news.directory import Directory
from cometdoor.wire.lines import Line, Lines, PeerError
from cometdoor.wire.messages import AskConfiguration, ConfigurationIs, Message, News

TICK_S = 0.05
FETCH_S = 1.0  # a fetch that is not over by then may be made again
log = structlog.get_logger()


class Exchange:
    def __init__(self, loop: asyncio.AbstractEventLoop, lines: Lines, directory: Directory,
                 take: Callable[[int, bytes], None]) -> None:
        """`take`: of a configuration newer than the one here, its revision and body."""
        self.directory = directory
        self.body = b""
        self._loop = loop
        self._lines = lines
        self._take = take
        self._fetching_until = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self.directory.tick(self._loop.time())
        self.flush()
        self._timer = self._loop.call_later(TICK_S, self.start)

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def flush(self) -> None:
        outbox, self.directory.outbox = self.directory.outbox, []
        for address, news in outbox:
            self._lines.send(address, news)

    def configured(self, revision: int, body: bytes) -> None:
        """That configuration is in force; it never goes back."""
        if revision > self.directory.revision:
            self.body = body
            self.directory.configured(revision)
            self.flush()

    def receive(self, message: Message, line: Line, number: int) -> bool:
        """Whether it was news."""
        match message:
            case News():
                self.directory.receive(message, self._loop.time())
                if message.revision > self.directory.revision:
                    self._fetch(message.sender)
                self.flush()
            case AskConfiguration():
                newer = self.directory.revision > message.newer_than
                line.respond(number, ConfigurationIs(self.directory.revision, self.body) if newer
                             else ConfigurationIs(0))
            case _:
                return False
        return True

    def _fetch(self, peer: str) -> None:
        now = self._loop.time()
        if now < self._fetching_until:
            return
        self._fetching_until = now + FETCH_S

        def done(reply: Message | PeerError) -> None:
            self._fetching_until = 0.0
            if isinstance(reply, ConfigurationIs) and reply.revision > self.directory.revision:
                self._take(reply.revision, reply.body)
        if isinstance(self._lines.call(peer, AskConfiguration(self.directory.revision), done), PeerError):
            self._fetching_until = 0.0
