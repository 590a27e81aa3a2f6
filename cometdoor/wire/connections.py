"""Kept lines between the processes of the mesh: many calls at once on each, told apart by number.

A process dials whom it calls and is dialled by who calls it. What is written in one turn of the loop leaves
in one write. A line on which something is awaited and nothing comes is asked for a sign of life and closed
without one: a machine without power, or behind a cut, says nothing for ever.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import structlog

from cometdoor.host.enums import read_address
from cometdoor.wire.messages import BadFrame, Cancel, Frame, Message, Ping, Pong, Splitter, encode

SWEEP_S = 0.15
ASK_AFTER_S = 0.35  # without a byte on a line on which something is awaited
SILENT_S = 1.0  # then it is closed: three signs of life are missing; a busy peer is up to 0.3 s late
CONNECT_S = 0.8
# After a refused or silent dial further calls there fail at once for so long: each would cost a handshake.
REST_S = 0.15
IDLE_S = 30.0  # a line that was dialled and not used for so long is closed: neighbours change
MAX_UNSENT = 8 << 20  # bytes waiting on one line: from there on calls are not taken
log = structlog.get_logger()


class PeerError(Exception):
    """A call that came to nothing: at which step, with whom, and whether the peer may have read it."""

    def __init__(self, step: str, peer: str, reason: str, may_have_arrived: bool) -> None:
        super().__init__(f"{step} with {peer}: {reason}")
        self.step, self.peer, self.reason = step, peer, reason
        self.may_have_arrived = may_have_arrived


Done = Callable[[Message | PeerError], None]
Respond = Callable[[Message], None]


@dataclass(slots=True)
class Call:
    line: Line
    number: int
    done: Done | None  # None once over
    frame: bytes

    def cancel(self) -> bool:
        """Nobody waits any more; the peer is told. True: it never left, and the peer will not hear of it."""
        if self.done is None:
            return False
        self.done = None
        self.line.calls.pop(self.number, None)
        if not self.has_left() and self.line.take_back(self.frame):
            return True
        self.line.write(Frame(0, False, Cancel(self.number)))
        return False

    def has_left(self) -> bool:
        """Whether the peer may have read any of it."""
        return self.line.has_left(self.number)

    def forget(self) -> None:
        """Nobody waits any more, and the peer needs not know."""
        self.done = None
        self.line.calls.pop(self.number, None)


class Line(asyncio.Protocol):
    def __init__(self, lines: Lines, peer: str) -> None:
        self.peer = peer  # "ip:port" that was dialled, empty where we were
        self.calls: dict[int, Call] = {}
        self.serving: dict[int, Callable[[], None]] = {}  # what to do if the caller calls it off
        self.is_over = False
        self.is_open = False
        self._lines = lines
        self._splitter = Splitter()
        self._out: list[bytes] = []
        self._transport: asyncio.Transport | None = None
        self._flush_due = False
        self._left = 0  # calls of higher numbers have not left on this line
        self.heard_at = self.used_at = lines.loop.time()

    # --- asyncio's calls ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(SILENT_S * 2000))
        self._transport.set_write_buffer_limits(high=1 << 20)
        self.heard_at = self._lines.loop.time()
        if self.is_over:
            self._transport.abort()
            return
        self.is_open = True
        self._flush()

    def data_received(self, data: bytes) -> None:
        self.heard_at = self._lines.loop.time()
        try:
            frames = self._splitter.feed(data)
        except BadFrame as problem:
            log.warning("bad frame", peer=self.peer, step="read", error=str(problem))
            self.end("it does not speak the mesh's protocol")
            return
        for frame in frames:
            if self.is_over:
                return
            if frame.is_reply and not self.has_left(frame.call):
                log.warning("reply never asked for", peer=self.peer, step="read", call=frame.call)
                self.end("it replies to what it was not asked")
                return
            self._take(frame)

    def connection_lost(self, problem: Exception | None) -> None:
        self.end(str(problem or "closed"))

    # --- frames ---

    def _take(self, frame: Frame) -> None:
        message = frame.message
        if frame.is_reply:
            call = self.calls.pop(frame.call, None)
            if call is not None and call.done is not None:
                done, call.done = call.done, None
                done(message)
        elif isinstance(message, Ping):
            self.write(Frame(frame.call, True, Pong()))
        elif isinstance(message, Cancel):
            stop = self.serving.pop(message.call, None)
            if stop is not None:
                stop()
        else:
            number = frame.call
            self._lines.handler(message, self, number)

    def respond(self, number: int, message: Message) -> None:
        """The reply to a call that came in on this line; it is dropped if the line is over."""
        self.serving.pop(number, None)
        if number:
            self.write(Frame(number, True, message))

    def write(self, frame: Frame) -> bytes:
        """What is written, sooner or later; see `take_back`."""
        data = encode(frame)
        if not self.is_over:
            self._out.append(data)
            if self.is_open and not self._flush_due:
                self._flush_due = True
                self._lines.loop.call_soon(self._flush)
        return data

    def take_back(self, data: bytes) -> bool:
        """Whether it had not left yet. Guards against a request that was given up while the line was being
        dialled, and would run once it is open."""
        for place, one in enumerate(self._out):
            if one is data:
                del self._out[place]
                return True
        return False

    def has_left(self, number: int) -> bool:
        """Of a call on this line: whether it was handed to the transport. How much of it lies there, and in
        the machine's buffers, when the line is lost is not known: it counts as read by the peer."""
        return number <= self._left

    def _flush(self) -> None:
        self._flush_due = False
        if self._out and self._transport is not None and not self.is_over:
            if self._transport.is_closing():
                return  # it takes nothing more: what lies here never leaves
            out, self._out = self._out, []
            self._left = self._lines.last_call
            self._transport.write(out[0] if len(out) == 1 else b"".join(out))

    def unsent(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def end(self, reason: str, step: str = "answer") -> None:
        if self.is_over:
            return
        self.is_over = True
        was_open = self.is_open
        self._lines.forget(self)
        if self._transport is not None:
            self._transport.abort()
        calls, self.calls = self.calls, {}
        serving, self.serving = self.serving, {}
        for call in calls.values():
            done, call.done = call.done, None
            if done is not None:
                done(
                    PeerError(step if was_open else "connect", self.peer, reason, self.has_left(call.number))
                )
        for stop in serving.values():
            stop()


Handler = Callable[[Message, Line, int], None]


class Lines:
    """All lines of one process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handler: Handler) -> None:
        """`handler` gets what comes in: the message, its line, and the number to respond to (0: none)."""
        self.loop = loop
        self.handler = handler
        self.last_call = 0  # numbers of calls only rise, on all lines together
        self._dialled: dict[tuple[str, str], Line] = {}  # by peer and lane
        self._taken: dict[Line, None] = {}
        self._resting: dict[str, float] = {}  # peers that were not reached: until when
        self._server: asyncio.AbstractServer | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> None:
        def taken() -> Line:
            line = Line(self, "")
            self._taken[line] = None
            return line

        self._server = await self.loop.create_server(taken, host, port, reuse_address=True, backlog=512)
        self._sweep()

    def close(self) -> None:
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for line in [*self._dialled.values(), *self._taken]:
            line.end("this process ends")

    def forget(self, line: Line) -> None:
        self._taken.pop(line, None)
        for key, held in list(self._dialled.items()):
            if held is line:
                del self._dialled[key]
                if not line.is_open:
                    self._resting[key[0]] = self.loop.time() + REST_S

    def _line(self, peer: str, lane: str) -> Line | None:
        line = self._dialled.get((peer, lane))
        if line is not None:
            return line
        if (until := self._resting.get(peer)) is not None:
            if until > self.loop.time():
                return None
            del self._resting[peer]
        line = self._dialled[peer, lane] = Line(self, peer)
        task = self.loop.create_task(self._dial(line, peer))
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        return line

    async def _dial(self, line: Line, peer: str) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                await self.loop.create_connection(lambda: line, *read_address(peer))
        except (OSError, TimeoutError, ValueError) as problem:
            line.end(str(problem) or "no answer to the dial", "connect")

    def send(self, peer: str, message: Message, lane: str = "") -> bool:
        """A message that awaits no reply; it may be lost. False: it is."""
        line = self._line(peer, lane)
        if line is None or line.unsent() > MAX_UNSENT:
            return False
        line.used_at = self.loop.time()
        line.write(Frame(0, False, message))
        return True

    def call(self, peer: str, message: Message, done: Done, lane: str = "") -> Call | PeerError:
        """`done` is called once with the reply or what went wrong, later, unless the call is given up first.

        A PeerError that is returned: nothing was written, and `done` will not be called.
        """
        line = self._line(peer, lane)
        if line is None:
            return PeerError("connect", peer, "it was not reached just now", False)
        if line.unsent() > MAX_UNSENT:
            return PeerError("write", peer, "too much lies unsent", False)
        self.last_call += 1
        written = line.write(Frame(self.last_call, False, message))
        call = line.calls[self.last_call] = Call(line, self.last_call, done, written)
        return call

    def _sweep(self) -> None:
        now = self.loop.time()
        for line in [*self._dialled.values(), *self._taken]:
            if line.calls:
                line.used_at = now
            elif line.peer and line.is_open and now - line.used_at > IDLE_S:
                line.end("nobody uses it")
            if not line.is_open or not line.calls:
                if not line.calls:
                    line.heard_at = max(line.heard_at, now - ASK_AFTER_S)
                continue
            silent = now - line.heard_at
            if silent > SILENT_S:
                line.end("it says nothing", "answer")
            elif silent > ASK_AFTER_S:
                line.write(Frame(0, False, Ping()))
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)
