"""One service over HTTP: a host of the module, connections to the servers, and the ids of open requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from cometdoor.host.attempt_outcome import Reading
from cometdoor.host.clock import LoopClock, now_ms
from cometdoor.host.fair_share import Places
from cometdoor.host.host import Address, Host, HostSettings, Observer, OnWire
from cometdoor.http.caller import ClientConnection
from cometdoor.http.messages import ClientRequest, end_to_end
from cometdoor.http.upstream import Answer, Exchange, Pool, load_of, outcome_of
from jasperhall import api
from jasperhall.api import Effect, Outcome

LAST_BYTE_SHARE = 0.02  # of what time a request has left, that its last byte may be held back


@dataclass(frozen=True, slots=True)
class Caps:
    """What a service may hold at most; None: no more is said."""

    open: int | None = None  # requests that are owed an answer
    waiting: int | None = None  # of these, that wait to be sent for the first time
    connections: int | None = None  # to servers
    held_bytes: int | None = None  # of requests, of answers that come in or that callers leave unread


class HttpService:
    """Handler of a front end, and the carrier of its host."""

    def __init__(
        self,
        settings: HostSettings,
        loop: asyncio.AbstractEventLoop,
        places: Places,
        *,
        caps: Caps,
        idle_close_ms: float,
        connect_timeout_ms: float,
        watch: Callable[[], None] = lambda: None,
        callers: Places | None = None,
        shortage: Outcome = Outcome.CONNECT_FAILED,
        judge: Callable[[Answer], Outcome] = outcome_of,
        emptied: Callable[[], None] | None = None,
        reports: bool = False,
    ) -> None:
        """`places`: for connections to servers; `callers`: for requests that keep a caller's connection busy;
        `shortage`: the outcome of an attempt for which no connection may be opened; `emptied`: called
        whenever nothing is open any more; `reports`: servers say in their answers how loaded they are."""
        self._classes = settings.module.classes
        self._callers = callers
        self._shortage = shortage
        self._emptied = emptied
        self._pool = Pool(loop, places, idle_close_ms, connect_timeout_ms, judge, lambda: self.unread_bytes)
        self._open_traces: set[bytes] = set()
        self._request_bytes = 0
        self.unread_bytes = 0  # of answers, kept by the front end
        self.ready = False  # a server was listed once
        self._host: Host[ClientRequest, Answer] = Host(
            settings,
            LoopClock(loop),
            self,
            watch=watch,
            over=self._over,
            load_of=load_of if reports else lambda answer: {},
        )
        self.set_caps(caps)

    def set_caps(self, caps: Caps) -> None:
        """What is over a new cap already stays; newcomers are held to it."""
        self._caps = caps
        self._host.max_waiting = caps.waiting
        self._pool.most = caps.connections

    def list_changed(self, event: api.ListChanged, addresses: Mapping[str, Address]) -> None:
        self._host.list_changed(event, addresses)
        self.ready = self.ready or self._host.knows_servers

    def observe(self, observer: Observer) -> None:
        self._host.observer = observer

    def tell(self, event: api.Advised | api.Lent) -> None:
        self._host.tell(event)

    def open_requests(self) -> int:
        return self._host.open_requests()

    def is_empty(self) -> bool:
        return self._host.is_empty()

    def refuse_waiting(self) -> None:
        self._host.refuse_waiting()

    def close_all_idle(self) -> None:
        self._pool.close_all_idle()

    def close_oldest_idle(self) -> bool:
        return self._pool.close_oldest_idle()

    def held_bytes(self) -> int:
        return self._request_bytes + self._pool.held_bytes + self.unread_bytes

    def owes_answers(self) -> bool:
        return bool(self._host.open_requests())

    def fail_all(self) -> None:
        self._host.fail_all()

    # --- the front's calls ---

    def take(self, connection: ClientConnection, request: ClientRequest) -> None:
        if self._is_full():
            connection.refused(self._host.pause_ms(request))
        elif request.trace in self._open_traces:
            # A backend would take it for a second copy of the other caller's request.
            connection.answer(409, [], b"X-Trace-Id is that of an open request")
        elif self._callers is not None and not self._callers.take():
            connection.refused(self._host.pause_ms(request))
        else:
            self._open_traces.add(request.trace)
            self._request_bytes += request.size
            self._host.take(connection, request)

    def _is_full(self) -> bool:
        caps = self._caps
        return (caps.open is not None and self._host.open_requests() >= caps.open) or (
            caps.held_bytes is not None and self.held_bytes() >= caps.held_bytes
        )

    def client_gone(self, connection: ClientConnection, request: ClientRequest) -> None:
        self._host.caller_gone(connection)

    def _over(self, request: ClientRequest) -> None:
        self._open_traces.discard(request.trace)
        self._request_bytes -= request.size
        if self._callers is not None:
            self._callers.give()
        if self._emptied is not None and self._host.is_empty():
            self._emptied()

    # --- the host's calls ---

    def send(
        self,
        server: str,
        address: Address,
        request: ClientRequest,
        until_ms: float,
        done: Callable[[Reading, Answer | None], None],
    ) -> OnWire | Outcome:
        unsafe = self._classes[request.class_index].effect is not Effect.SAFE
        hold_s = LAST_BYTE_SHARE * max(until_ms - now_ms(), 0.0) / 1000.0 if unsafe else 0.0
        exchange = Exchange(lambda: payload(request, until_ms), done, hold_s)
        return exchange if self._pool.send(server, address, exchange) else self._shortage

    def close_idle(self, server: str) -> None:
        self._pool.close_idle(server)

    def retire(self, server: str) -> None:
        self._pool.retire(server)


def payload(request: ClientRequest, until_ms: float) -> bytes:
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    lines += [b"%s: %s\r\n" % header for header in end_to_end(request.headers)]
    lines.append(b"X-Expires-In: %.4f\r\n" % (max(until_ms - now_ms(), 0.1) / 1000.0))
    if request.body or request.method != b"GET":
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    lines.append(request.body)
    return b"".join(lines)
