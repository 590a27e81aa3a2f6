"""Connections to backends, and what comes back as an Outcome of the decision module.

One exchange on a connection at a time. Nothing is sent again here: a kept connection that breaks
under a request is an outcome for the module.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import cast

import httptools

from cometdoor.host.attempt_outcome import End, Reading, Stage, answered, read
from cometdoor.host.connection_reuse import Keepings
from cometdoor.host.exchange.backend import KEEPS, BackendEvent, BackendState
from cometdoor.host.fair_share import Places
from cometdoor.host.host import Address
from cometdoor.http.messages import MAX_ANSWER, MAX_BODY, MAX_HEAD, Headers, read_number
from jasperhall.api import Outcome

MAX_INTERIM = 16
MAX_REPORT = 256  # bytes; the platform's have four figures at most
# Bytes of answers that a pool, and callers behind it that read slowly, hold at the most: what is over 64 KiB
# of one fails from there on. Joined and written they lie there three times for a moment: 48 of the 65 MB
# that the platform leaves beside the program.
MAX_HELD = 16 << 20
ANSWER_S = 1.0  # from an answer's first byte to its last: backends write answers whole
# A connection rests for so long after an answer: what came behind it shows before it is used again.
REST_S = 0.05
# A request that must not run twice leaves but for its last byte, which follows after as long as a connection
# that is being closed or reset needs to say so: an answer to the first bytes takes one way there and back, as
# the handshake did, and what the system's timers and two loops are late. Of 68 connections that broke under a
# request on one of the weak days 47 did so within 5 ms of it, nothing of an answer in; 35 within 1 ms.
HOLD_LEAST_S, HOLD_MOST_S = 0.003, 0.02
HOLD_HANDSHAKES = 2.0
NEVER_RAN_STATUS = (503, 504)
BODILESS = (204, 304)  # RFC 9112, 6.3: they end with the head, whatever it says
REFUSALS = (429, 503)
# A connection keeps so many ids of requests that it carried and that may come again; with more it is closed.
MAX_CARRIED = 128
NONE_CARRIED: set[bytes] = set()  # shared, never added to
LINE_ENDS = b"\r\n"


@dataclass(slots=True)
class Answer:
    status: int
    headers: Headers
    body: bytes


class BadAnswer(Exception):
    """What comes is no answer that can be passed on. The request may have run."""


class Belongs(Enum):
    """Whose an answer is, where answers say whose they are."""

    HERE = "here"  # to the request that waits
    ELSEWHERE = "elsewhere"  # to another one, by its id: this one's own may follow
    UNCLEAR = "unclear"  # it can't be told, or what it says can't be true


Done = Callable[[Reading, Answer | None], None]


def outcome_of(answer: Answer) -> Outcome:
    """The platform's: only 200 has been served, only a marked 503 or 504 has not run; all else may have."""
    if answer.status == 200:
        return Outcome.OK
    if answer.status in NEVER_RAN_STATUS:
        for name, value in answer.headers:
            if name.lower() == b"x-never-ran" and value.strip() == b"1":
                return Outcome.FULL
    return Outcome.ERROR


def load_of(answer: Answer) -> dict[str, float]:
    """The load report of an answer, by the platform's names; empty where there is none that can be read.

    `Endpoint-Load-Metrics: TEXT util=0.61, qps=12.5`. Guards against believing half of what is garbled: a
    server that seems idle by a misread figure is sent what others can't take.
    """
    found = [value for name, value in answer.headers if name.lower() == b"endpoint-load-metrics"]
    if len(found) != 1 or len(found[0]) > MAX_REPORT or found[0][:5].upper() != b"TEXT ":
        return {}
    load: dict[str, float] = {}
    try:
        for pair in found[0][5:].split(b","):
            name, value = pair.strip().split(b"=")
            if name.decode() in load:
                return {}
            load[name.decode()] = read_number(value)
    except ValueError:
        return {}
    return load


def outcome_of_any(answer: Answer) -> Outcome:
    """Elsewhere what a server has to say is an answer, but for its own faults and for what invites another
    try: an unmarked refusal does not prove that nothing ran."""
    if answer.status < 500 and answer.status not in REFUSALS:
        return Outcome.OK
    return outcome_of(answer)


def is_readable(transport: asyncio.Transport) -> bool:
    """Whether the machine's own buffer holds bytes, or an end, that the loop has not come to yet."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


class Exchange:
    """One attempt on the wire. `done` is called once, unless the exchange is aborted first."""

    __slots__ = ("connection", "done", "hold_s", "id", "payload", "whose")

    def __init__(
        self,
        payload: Callable[[], bytes],
        done: Done,
        hold_s: float = 0.0,
        whose: Callable[[Answer], Belongs] | None = None,
        id: bytes = b"",
    ) -> None:
        """`hold_s`: for so long at most its last byte may be held back; 0: all is written at once.
        `whose`: to whom an answer belongs, where answers say so; None: any is this one's. `id`: what they say
        it by; no connection carries one id twice, so a late answer to the first can't be the second's."""
        self.whose = whose
        self.id = id
        self.payload = payload  # made when it is written: it says how much time is left then
        self.done = done
        self.hold_s = hold_s
        self.connection: Connection | None = None

    def stage(self) -> Stage:
        return Stage.OPEN if self.connection is None else self.connection.stage()

    def abort(self) -> None:
        """Close the connection: the backend sees that nobody waits, and no late answer can be mixed up."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.exchange = None
            connection.abort()


class Connection(asyncio.Protocol):
    __slots__ = (
        "_answer",
        "_body",
        "_handshake_s",
        "_headers",
        "_in_answer",
        "_in_head",
        "_interim",
        "_kept_for_s",
        "_last_byte",
        "_opening",
        "_parser",
        "_paused",
        "_raw_size",
        "_reusable",
        "_size",
        "_surplus",
        "_too_long",
        "_transport",
        "_written_at",
        "_wrote",
        "address",
        "carried",
        "closed",
        "exchange",
        "idle_since",
        "is_retired",
        "pool",
        "server",
        "timer",
    )

    def __init__(self, pool: Pool, server: str, address: Address, exchange: Exchange) -> None:
        self.pool = pool
        self.server = server
        self.address = address
        self.exchange: Exchange | None = exchange
        self.timer: asyncio.TimerHandle | None = None  # until it is open, or the answer whole
        self.idle_since = 0.0
        self.closed = False
        self.is_retired = False  # its backend leaves, has moved or started anew: it is not used again
        self.carried: set[bytes] = NONE_CARRIED  # ids of requests that failed here and may come again
        self._transport: asyncio.Transport | None = None
        self._opening: asyncio.Task[None] | None = None
        self._kept_for_s = 0.0  # it was idle for so long before this request; 0: it is fresh
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._wrote = self._paused = False
        self._written_at = 0.0
        self._last_byte: asyncio.TimerHandle | None = None  # while it is held back
        self._handshake_s = 0.0
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._raw_size = self._size = self._interim = 0
        self._in_head = self._in_answer = self._too_long = self._surplus = False
        self._answer: Answer | None = None
        self._reusable = False

    # --- opening ---

    def open(self, timeout_ms: float) -> None:
        loop = self.pool.loop
        self._handshake_s = -loop.time()
        self._opening = loop.create_task(self._connect())
        self.timer = loop.call_later(timeout_ms / 1000.0, self._not_connected)

    async def _connect(self) -> None:
        try:
            await self.pool.loop.create_connection(lambda: self, *self.address)
        except ConnectionRefusedError:
            self._not_connected(End.REFUSED)
        except (OSError, ValueError):  # an address that is none, too
            self._not_connected(End.BROKEN)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._handshake_s += self.pool.loop.time()
        self._stop_timer()
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # With no slack for buffered bytes, pause_writing says exactly that some are not yet written.
        self._transport.set_write_buffer_limits(high=0)
        if self.closed or self.exchange is None:
            self._transport.abort()
        else:
            self._write()

    def _not_connected(self, end: End = End.SILENT) -> None:
        if self._transport is None:
            self._end(end)

    # --- one exchange ---

    def start(self, exchange: Exchange) -> None:
        self.exchange = exchange
        exchange.connection = self
        self._kept_for_s = self.idle_s()
        self._write()

    def _write(self) -> None:
        assert self._transport is not None and self.exchange is not None
        self._answer = None
        self._raw_size = self._size = self._interim = 0  # _finish or abort gave back what it held
        data = self.exchange.payload()
        self._written_at = self.pool.loop.time()
        if self.exchange.hold_s:
            hold_s = min(
                max(HOLD_HANDSHAKES * self._handshake_s, HOLD_LEAST_S), HOLD_MOST_S, self.exchange.hold_s
            )
            self._last_byte = self.pool.loop.call_later(hold_s, self._write_last, data[-1:])
            data = data[:-1]
        else:
            self._wrote = True
        self._transport.write(data)
        if self._transport.is_closing():
            # The very first write failed: the kernel took no byte of it.
            self._wrote = False
            self._end(End.BROKEN)

    def _write_last(self, data: bytes) -> None:
        """Guards against an unsafe request that is given up because a connection was being closed, or reset,
        as it left: until its last byte is written it can't have run. Harms where such a request is over
        sooner than the hold takes."""
        self._last_byte = None
        if self._transport is None or self.exchange is None:
            return
        if self._transport.is_closing():
            return
        if is_readable(self._transport):  # its end, most likely: the loop comes to it first
            self._last_byte = self.pool.loop.call_later(0.0, self._write_last, data)
            return
        self._wrote = True
        self._transport.write(data)

    def stage(self) -> Stage:
        """With no slack for buffered bytes, a paused transport says exactly that some are not yet written."""
        if self._transport is None:
            return Stage.CONNECTING
        if self._raw_size:
            return Stage.ANSWERING if self._is_written() else Stage.HALF
        if self._is_written():
            return Stage.WRITTEN
        return Stage.HALF if self._wrote or self._last_byte is not None else Stage.OPEN

    def state(self) -> BackendState:
        """Once an answer is in; the table has a row for each."""
        if not self._is_written():
            return BackendState.HALF
        return BackendState.AFTER_SURPLUS if self._surplus else BackendState.WRITTEN

    def _is_written(self) -> bool:
        return self._wrote and not self._paused

    def idle_s(self) -> float:
        return self.pool.loop.time() - self.idle_since

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False

    def data_received(self, data: bytes) -> None:
        if self.exchange is None or self._parser is None:
            self.abort()  # an answer that nobody asked for
            return
        self._raw_size += len(data)
        self.pool.held_bytes += len(data)
        try:
            self._feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._answer is None:
                self._end(End.TOO_LONG if self._too_long else End.SPOILT)
                return
            self._reusable = False  # good, with more behind it than belongs to it
        if self._answer is not None:
            self._finish(answered(self.pool.outcome_of(self._answer)), self._answer)
        elif self._raw_size - self._size > MAX_HEAD:
            self._spoilt()  # httptools keeps a value until it ends: only bytes as they came bound it
        elif not self._in_answer:
            self._stop_timer()
        elif self.timer is None:
            self.timer = self.pool.loop.call_later(ANSWER_S, self._stalled)

    def _feed(self, data: bytes) -> None:
        """The parser passes over line ends around an answer without a word: one before it is noted, the last
        one is fed by itself."""
        assert self._parser is not None
        if data[0] in LINE_ENDS and not self._in_answer:
            self._surplus = True
        if len(data) > 1 and data[-1] in LINE_ENDS:
            self._parser.feed_data(data[:-1])
            if self._answer is not None:
                self._reusable = False
                return
            data = data[-1:]
        self._parser.feed_data(data)

    def _stalled(self) -> None:
        """Guards against an answer that never ends. What came while the loop was busy is read first."""
        self.timer = self.pool.loop.call_later(REST_S, self._spoilt)

    def _spoilt(self) -> None:
        """Not a reset, which may be the fate of a kept connection: this server has failed the attempt."""
        self._end(End.SPOILT)

    def on_message_begin(self) -> None:
        self._reusable = False
        if self._answer is None:
            self._headers, self._body = [], []
            self._in_head = self._in_answer = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # else it is a trailer
            self._headers.append((name, value or b""))

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        self._in_head = False
        if self._answer is not None:
            raise BadAnswer("a second answer")
        if self._parser.get_status_code() in BODILESS:
            return
        framing = [
            (name.lower(), value.strip().lower())
            for name, value in self._headers
            if name.lower() in (b"content-length", b"transfer-encoding")
        ]
        if self._parser.get_status_code() < 200:
            self._interim += 1
            if framing or self._interim > MAX_INTERIM:
                raise BadAnswer("an interim answer with a body, or too many")
            return
        # One without a stated end can't be told from a broken one.
        if len(framing) != 1:
            raise BadAnswer("no length, or several")
        name, value = framing[0]
        if name == b"transfer-encoding":
            if value != b"chunked":
                raise BadAnswer("an unknown coding")
        elif not value.isdigit() or len(value) > 9:
            raise BadAnswer("no length")
        else:
            self._bound(int(value))

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        self._bound(self._size)
        self._body.append(body)

    def _bound(self, size: int) -> None:
        if size > MAX_ANSWER or (size > MAX_BODY and self.pool.held() > MAX_HELD):
            self._too_long = True
            raise BadAnswer("too long")

    def on_message_complete(self) -> None:
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status < 200 or self._answer is not None:
            self._in_answer, self._surplus = False, True
            return
        answer = Answer(status, self._headers, b"".join(self._body))
        exchange = self.exchange
        if exchange is not None and exchange.whose is not None:
            belongs = exchange.whose(answer)
            if belongs is Belongs.UNCLEAR:
                raise BadAnswer("it can't be told whose it is")
            if belongs is Belongs.ELSEWHERE:
                # A surplus answer to an earlier request, late: this one's own may follow.
                self._in_answer, self._size, self._surplus = False, 0, True
                return
        self._answer = answer
        self._in_answer = False
        self._reusable = self._parser.should_keep_alive()

    def eof_received(self) -> None:
        self._broken(End.CLOSED)

    def connection_lost(self, problem: Exception | None) -> None:
        self._broken(End.CLOSED if problem is None else End.BROKEN)

    def _broken(self, end: End) -> None:
        if self.exchange is None and not self.closed and not self.is_retired:
            self.pool.keepings.died(self.server, self.idle_s())
        self._end(end)

    def _end(self, end: End) -> None:
        """Not with an answer. Before the request's last byte was written nothing can have run, after it all
        may have."""
        reading = Reading(Outcome.MOOT)  # nobody waits: what is said of it is heard by nobody
        if self.exchange is not None:
            reading = read(self.stage(), end, self._kept_for_s > 0.0, self.pool.half_may_run)
        self._finish(reading)

    def _finish(self, reading: Reading, answer: Answer | None = None) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is not None and self._kept_for_s and not self.is_retired:
            # Who is dead says so at once; what ends later has been at work.
            if reading.doubtful and self.pool.loop.time() - self._written_at <= max(
                HOLD_MOST_S, HOLD_HANDSHAKES * self._handshake_s
            ):
                self.pool.keepings.died(self.server, self._kept_for_s)
            elif reading.doubtful or answer is not None:
                self.pool.keepings.outlived(self.server, self._kept_for_s)
        self._stop_timer()
        self._forget_last_byte()
        self._let_go()
        self._headers, self._body, self._answer = [], [], None
        if exchange is not None and exchange.id and reading.outcome is not Outcome.OK:
            self.carried = self.carried | {exchange.id}
        if answer is not None and self._may_be_kept(reading):
            self._wrote = False
            self.pool.keep(self)
        else:
            self.abort()
        if exchange is not None:
            exchange.connection = None
            exchange.done(reading, answer)

    def _may_be_kept(self, reading: Reading) -> bool:
        """After a whole answer, by the table."""
        if not self._reusable:
            event = BackendEvent.ANSWERED_WITH_MORE
        else:
            event = BackendEvent.TURNED_AWAY if reading.never_ran else BackendEvent.ANSWERED
        return (
            (self.state(), event) in KEEPS
            and not self.closed
            and not self.is_retired
            and len(self.carried) <= MAX_CARRIED
        )

    # --- end ---

    def _forget_last_byte(self) -> None:
        if self._last_byte is not None:
            self._last_byte.cancel()
            self._last_byte = None

    def abort(self) -> None:
        self._stop_timer()
        self._forget_last_byte()
        self._let_go()
        if not self.closed:
            self.closed = True
            self.pool.forget(self)
            self._parser = None  # parser and protocol hold one another
        if self._transport is not None:
            self._transport.abort()
        elif self._opening is not None:
            self._opening.cancel()

    def _let_go(self) -> None:
        self.pool.held_bytes -= self._raw_size
        self._raw_size = 0

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def has_strays(self) -> bool:
        """What lies unread belongs to nobody, or is the connection's end."""
        return self._transport is None or self._transport.is_closing() or is_readable(self._transport)


class Pool:
    """Idle connections by backend, the most recently used last."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        places: Places,
        idle_close_ms: float,
        connect_timeout_ms: float,
        outcome_of: Callable[[Answer], Outcome] = outcome_of,
        behind: Callable[[], int] = lambda: 0,
        half_may_run: bool = False,
    ) -> None:
        """`behind`: bytes of answers that callers have not read yet. `half_may_run`: what was written in part
        counts as one that may have run."""
        self.half_may_run = half_may_run
        self.loop = loop
        self.outcome_of = outcome_of
        self.most: int | None = None  # connections that may be open at once, beside what `places` allow
        self.held_bytes = 0  # of answers that are coming in
        self.opened = 0  # connections so far
        self._behind = behind
        self._places = places
        self._count = 0
        # Guards against a request written to a connection that the backend is just closing.
        self._keep_s = max(0.5 * idle_close_ms, 0.9 * idle_close_ms - 250.0) / 1000.0
        self._connect_timeout_ms = connect_timeout_ms
        self._open: dict[str, set[Connection]] = {}  # all by backend, those in use too
        self._idle: dict[str, list[Connection]] = {}
        self._by_age: dict[Connection, None] = {}  # all idle ones, the longest idle first
        self._closer: asyncio.TimerHandle | None = None  # while any is idle
        self.keepings = Keepings()

    def send(self, server: str, address: Address, exchange: Exchange) -> bool:
        """False: no connection may be opened, and no byte will be written."""
        if kept := self._take_kept(server, once=exchange.hold_s > 0.0, id=exchange.id):
            kept.start(exchange)
            return True
        if not self._take_place():
            return False
        connection = Connection(self, server, address, exchange)
        exchange.connection = connection
        self._open.setdefault(server, set()).add(connection)
        connection.open(self._connect_timeout_ms)
        return True

    def _take_place(self) -> bool:
        if self.most is not None and self._count >= self.most and not self.close_oldest_idle():
            return False
        if not self._places.take() and not (self.close_oldest_idle() and self._places.take()):
            return False
        self._count += 1
        self.opened += 1
        return True

    def held(self) -> int:
        return self.held_bytes + self._behind()

    def _take_kept(self, server: str, once: bool, id: bytes) -> Connection | None:
        """Guards against a stray behind an answer that would be taken for the next request's. `once`: the
        call may not be made again, should the connection have ended unseen. `id`: the request's; a connection
        that carried it before is not its."""
        rested = self.loop.time() - REST_S
        for connection in reversed(list(self._idle.get(server, ()))):
            if connection.idle_since > rested or (connection.carried and id in connection.carried):
                continue
            if connection.has_strays():
                connection.abort()
            elif self.keepings.is_worth(server, connection.idle_s(), once):
                self._take_out(connection)
                return connection
            elif not self.keepings.is_worth(server, connection.idle_s(), once=False):
                if not once and self.keepings.is_trial():
                    self._take_out(connection)
                    return connection
                connection.abort()  # it only gets older
        return None

    def keep(self, connection: Connection) -> None:
        self._idle.setdefault(connection.server, []).append(connection)
        self._by_age[connection] = None
        connection.idle_since = self.loop.time()
        if self._closer is None:
            self._closer = self.loop.call_later(self._keep_s, self._close_due)

    def _close_due(self) -> None:
        """One timer for all: one for each connection was set and stopped with every request."""
        self._closer = None
        due = self.loop.time() - self._keep_s
        for connection in list(self._by_age):
            if connection.idle_since > due:
                self._closer = self.loop.call_later(connection.idle_since - due, self._close_due)
                return
            connection.abort()

    def forget(self, connection: Connection) -> None:
        self._places.give()
        self._count -= 1
        of_server = self._open[connection.server]
        of_server.remove(connection)
        if not of_server:
            del self._open[connection.server]
        if connection in self._by_age:
            self._take_out(connection)

    def close_idle(self, server: str) -> None:
        for connection in list(self._idle.get(server, ())):
            connection.abort()

    def retire(self, server: str) -> None:
        """Nothing of what is open now is used again; what is under way on it may end."""
        for connection in self._open.get(server, ()):
            connection.is_retired = True
        self.keepings.forget(server)  # what comes is another process, or none
        self.close_idle(server)

    def close_oldest_idle(self) -> bool:
        oldest = next(iter(self._by_age), None)
        if oldest is None:
            return False
        oldest.abort()
        return True

    def close_all_idle(self) -> None:
        while self.close_oldest_idle():
            pass

    def _take_out(self, connection: Connection) -> None:
        del self._by_age[connection]
        idle = self._idle[connection.server]
        idle.remove(connection)
        if not idle:
            del self._idle[connection.server]
