"""The host of the decision module: clock, timers, live requests and attempts. No decision is made here.

Events go into `Balancer.handle` one at a time, its actions are carried out in order. What they bring
about at once waits in a queue for its turn.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable

from cometdoor.config import Address, NodeConfig
from cometdoor.discovery import Discovery, ListReader
from cometdoor.frontend import ClientConnection, ClientRequest, Headers, end_to_end
from cometdoor.upstream import Answer, Descriptors, Exchange, Pool
from jasperhall import Balancer, api
from jasperhall.api import ListKind, Outcome, State

log = logging.getLogger(__name__)

# The client counts from its sending and must have the whole answer when it stops counting: this much
# is kept for the way here and back, and for the loop to get round to it.
MARGIN_MS = 20.0
MARGIN_SHARE = 0.25  # but not more than this share of a very short time
# So much of the margin is left for the module's answer to the time-out of its attempts, before the host
# answers in its place.
LAST_WORD = 0.5


class LiveRequest:
    __slots__ = ("attempts", "client", "id", "message", "timer", "until")

    def __init__(self, id: str, client: ClientConnection, message: ClientRequest, until: float) -> None:
        self.id = id
        self.client: ClientConnection | None = client  # None once nothing is owed to it
        self.message = message
        self.until = until  # when its attempts are over at the latest
        self.attempts: list[Attempt] = []
        self.timer: Timer | None = None  # for the host's own last word

    def is_over(self) -> bool:
        return self.client is None and all(attempt.ended for attempt in self.attempts)


class Attempt:
    __slots__ = ("ended", "exchange", "index", "request", "sent_at", "server", "timer", "until")

    def __init__(self, request: LiveRequest, index: int, server: str, sent_at: float, until: float) -> None:
        self.request = request
        self.index = index
        self.server = server
        self.sent_at = sent_at
        self.until = until
        self.ended = False
        self.exchange: Exchange | None = None
        self.timer: Timer | None = None


class Timer:
    """Never early: a time-out that comes before its time would leave room for a senseless further try."""

    __slots__ = ("_call", "_due", "_handle", "_loop")

    def __init__(self, loop: asyncio.AbstractEventLoop, due_ms: float, call: Callable[[], None]) -> None:
        self._loop = loop
        self._due = due_ms
        self._call = call
        self._handle = loop.call_later(max(due_ms - now_ms(), 0.0) / 1000.0, self._ring)

    def _ring(self) -> None:
        left = self._due - now_ms()
        if left > 0.0:
            self._handle = self._loop.call_later(max(left, 1.0) / 1000.0, self._ring)
        else:
            self._call()

    def cancel(self) -> None:
        self._handle.cancel()


def now_ms() -> float:
    return time.monotonic() * 1000.0


class Proxy:
    def __init__(self, config: NodeConfig, loop: asyncio.AbstractEventLoop, descriptors: Descriptors) -> None:
        self.ready = False
        self._config = config
        self._loop = loop
        self._balancer = Balancer(config.settings, config.seed)
        self._pool = Pool(loop, descriptors, config.idle_close_ms, config.connect_timeout_ms)
        self._requests: dict[str, LiveRequest] = {}
        self._by_client: dict[ClientConnection, LiveRequest] = {}
        self._open_traces: set[bytes] = set()
        self._addresses: dict[str, Address] = {}
        self._started_at: dict[str, float] = {}
        self._last_id = 0
        self._events: deque[api.Event] = deque()
        self._handling = False
        reader = ListReader(config.zones, config.kinds)
        self._discovery = Discovery(
            loop, config.discovery, reader, config.settings.must_ask,
            int(config.known.get("revision") or 0), self._list_changed)
        servers, addresses = reader.read(config.known)
        self._list_changed(api.ListChanged(ListKind.CACHED, tuple(servers)), addresses)

    def start(self) -> None:
        self._discovery.start()

    def stop(self) -> None:
        self._discovery.stop()

    def move_discovery(self, address: Address) -> None:
        self._discovery.move(address)

    def open_requests(self) -> int:
        return len(self._by_client)

    def owes_answers(self) -> bool:
        return bool(self._by_client)

    # --- events in ---

    def _dispatch(self, event: api.Event) -> None:
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self._balancer.handle(event, now_ms())
        except Exception:
            # Guards against losing what a fault in the module touches: its request fails, all else goes on.
            log.exception("the module failed on %s", type(event).__name__)
            if isinstance(event, api.RequestArrived | api.AttemptEnded | api.ClientGone | api.StreamStarted):
                self._abandon(event.request)
            return
        for action in actions:
            self._carry_out(action)

    def _list_changed(self, event: api.ListChanged, addresses: dict[str, Address]) -> None:
        if event.kind is not ListKind.FAILED:
            if event.kind is not ListKind.DELTA:
                for name in self._addresses.keys() - {server.name for server in event.servers}:
                    self._forget_server(name)
            for server in event.servers:
                name = server.name
                if (server.state is not State.READY or addresses.get(name) != self._addresses.get(name)
                        or server.started_at != self._started_at.get(name)):
                    self._pool.retire(name)
                if server.state is State.GONE:
                    self._forget_server(name)
                else:
                    self._addresses[name] = addresses[name]
                    self._started_at[name] = server.started_at
            self.ready = self.ready or bool(self._addresses)
        self._dispatch(event)

    def _forget_server(self, name: str) -> None:
        self._pool.retire(name)
        self._addresses.pop(name, None)
        self._started_at.pop(name, None)

    def take(self, connection: ClientConnection, message: ClientRequest) -> None:
        if len(self._by_client) >= self._config.max_open:
            connection.answer(503, [], b"")
            return
        if message.trace in self._open_traces:
            # A backend would take it for a second copy of the other caller's request.
            connection.answer(409, [], b"X-Trace-Id is that of an open request")
            return
        self._open_traces.add(message.trace)
        self._last_id += 1
        left_ms = message.left_ms
        margin = min(MARGIN_MS, MARGIN_SHARE * left_ms)
        until = message.arrived_at * 1000.0 + left_ms - margin
        request = LiveRequest(str(self._last_id), connection, message, until)
        self._requests[request.id] = self._by_client[connection] = request
        request.timer = Timer(self._loop, until + margin * LAST_WORD, lambda: self._out_of_time(request))
        self._dispatch(api.RequestArrived(
            request.id, message.class_index, max(until - now_ms(), 0.0), message.tenant, message.cost_ms,
            message.is_retry))

    def client_gone(self, connection: ClientConnection) -> None:
        request = self._by_client.pop(connection, None)
        if request is not None:
            request.client = None
            self._stop_timer(request)
            self._dispatch(api.ClientGone(request.id))
            self._clean_up(request)

    def _out_of_time(self, request: LiveRequest) -> None:
        """Guards against a request that the module is silent about: its client gets an answer in time."""
        if request.client is not None:
            self._answer(request, 502, [], b"")
            self._dispatch(api.ClientGone(request.id))
            self._clean_up(request)

    @staticmethod
    def _stop_timer(request: LiveRequest) -> None:
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None  # it holds the request in turn

    def fail_all(self) -> None:
        """The last word before the program is killed: what is still out fails, and is not lost."""
        for request in list(self._by_client.values()):
            self._out_of_time(request)

    def _abandon(self, request_id: str) -> None:
        request = self._requests.get(request_id)
        if request is None:
            return
        self._answer(request, 502, [], b"")
        for attempt in list(request.attempts):
            self._end_attempt(attempt, Outcome.CANCELLED)
        self._clean_up(request)

    # --- actions out ---

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Cancel():
                request = self._requests.get(action.request)
                if request is not None and 0 <= action.attempt < len(request.attempts):
                    self._end_attempt(request.attempts[action.attempt], Outcome.CANCELLED)
            case api.Refuse():
                headers: Headers = []
                if action.retry_after_ms > 0 and self._config.may_advise_pause:
                    headers.append((b"Retry-After", b"%.3f" % (action.retry_after_ms / 1000.0)))
                self._final(action.request, 503, headers)
            case api.Fail():
                self._final(action.request, 502, [])
            case api.SetTimer():
                token = action.token
                Timer(self._loop, now_ms() + action.after_ms, lambda: self._dispatch(api.TimerFired(token)))
            case api.Close():
                self._pool.close_idle(action.server)
            case api.Watch():
                self._discovery.watch()

    def _final(self, request_id: str, status: int, headers: Headers) -> None:
        request = self._requests.get(request_id)
        if request is not None:
            self._answer(request, status, headers, b"")
            self._clean_up(request)

    def _answer(self, request: LiveRequest, status: int, headers: Headers, body: bytes) -> None:
        client, request.client = request.client, None
        if client is not None:
            self._stop_timer(request)
            del self._by_client[client]
            client.answer(status, headers, body)

    def _send(self, action: api.Send) -> None:
        request = self._requests.get(action.request)
        if request is None:
            return
        now = now_ms()
        until = min(request.until, now + action.timeout_ms) if action.timeout_ms > 0 else request.until
        attempt = Attempt(request, len(request.attempts), action.server, now, until)
        request.attempts.append(attempt)
        if (request.client is None or now >= until
                or len(request.attempts) > self._config.settings.max_attempts):
            self._end_attempt(attempt, Outcome.MOOT)
            return
        address = self._addresses.get(action.server)
        if address is None:
            self._end_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        attempt.exchange = Exchange(
            lambda: self._payload(request.message, attempt.until),
            lambda outcome, answer: self._attempt_done(attempt, outcome, answer))
        attempt.timer = Timer(self._loop, until, lambda: self._timed_out(attempt))
        if not self._pool.send(action.server, address, attempt.exchange):
            log.warning("no descriptor is left for a connection to %s", action.server)
            self._end_attempt(attempt, Outcome.CONNECT_FAILED)

    @staticmethod
    def _payload(message: ClientRequest, until: float) -> bytes:
        lines = [b"%s %s HTTP/1.1\r\n" % (message.method, message.target)]
        lines += [b"%s: %s\r\n" % header for header in end_to_end(message.headers)]
        lines.append(b"X-Expires-In: %.4f\r\n" % (max(until - now_ms(), 0.1) / 1000.0))
        if message.body or message.method != b"GET":
            lines.append(b"Content-Length: %d\r\n" % len(message.body))
        lines.append(b"\r\n")
        lines.append(message.body)
        return b"".join(lines)

    # --- attempts ---

    def _timed_out(self, attempt: Attempt) -> None:
        # What was not written when the time was up has not run, and is never written.
        written = attempt.exchange is None or attempt.exchange.is_written()
        self._end_attempt(attempt, Outcome.TIMEOUT if written else Outcome.CONNECT_FAILED)

    def _attempt_done(self, attempt: Attempt, outcome: Outcome, answer: Answer | None) -> None:
        request = attempt.request
        if outcome is Outcome.OK and answer is not None and not attempt.ended:
            self._answer(request, 200, answer.headers, answer.body)
        self._end_attempt(attempt, outcome)

    def _end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """An attempt has exactly one outcome, also one that is called off or ends late."""
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None  # it holds the attempt in turn
        if attempt.exchange is not None:
            attempt.exchange.abort()
            attempt.exchange = None
        request = attempt.request
        self._dispatch(api.AttemptEnded(
            request.id, attempt.index, attempt.server, outcome, request.client is None,
            now_ms() - attempt.sent_at))
        self._clean_up(request)

    def _clean_up(self, request: LiveRequest) -> None:
        if request.is_over() and self._requests.pop(request.id, None) is not None:
            self._open_traces.discard(request.message.trace)
            request.attempts.clear()  # they hold the request in turn
