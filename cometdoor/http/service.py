"""One service over HTTP: a host of the module, connections to the servers, and the ids of open requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from cometdoor.core.clock import now_ms
from cometdoor.core.host import Address, Host, HostSettings, OnWire
from cometdoor.core.shares import Places
from cometdoor.http.frontend import ClientConnection
from cometdoor.http.messages import ClientRequest, end_to_end
from cometdoor.http.upstream import Answer, Exchange, Pool, outcome_of
from jasperhall import api
from jasperhall.api import Outcome


class HttpService:
    """Handler of a front end, and the carrier of its host."""

    def __init__(self, settings: HostSettings, loop: asyncio.AbstractEventLoop, places: Places, *,
                 max_open: int, idle_close_ms: float, connect_timeout_ms: float,
                 watch: Callable[[], None] = lambda: None, max_connections: int | None = None,
                 shortage: Outcome = Outcome.CONNECT_FAILED,
                 judge: Callable[[Answer], Outcome] = outcome_of) -> None:
        """`shortage`: the outcome of an attempt for which no connection may be opened."""
        self._max_open = max_open
        self._shortage = shortage
        self._pool = Pool(loop, places, idle_close_ms, connect_timeout_ms, max_connections, judge)
        self._open_traces: set[bytes] = set()
        self.ready = False  # a server was listed once
        self._host: Host[ClientRequest, Answer] = Host(settings, loop, self, watch=watch, over=self._over)

    def list_changed(self, event: api.ListChanged, addresses: Mapping[str, Address]) -> None:
        self._host.list_changed(event, addresses)
        self.ready = self.ready or self._host.knows_servers

    def open_requests(self) -> int:
        return self._host.open_requests()

    def owes_answers(self) -> bool:
        return bool(self._host.open_requests())

    def fail_all(self) -> None:
        self._host.fail_all()

    # --- the front's calls ---

    def take(self, connection: ClientConnection, request: ClientRequest) -> None:
        if self._host.open_requests() >= self._max_open:
            connection.refused(0.0)
        elif request.trace in self._open_traces:
            # A backend would take it for a second copy of the other caller's request.
            connection.answer(409, [], b"X-Trace-Id is that of an open request")
        else:
            self._open_traces.add(request.trace)
            self._host.take(connection, request)

    def client_gone(self, connection: ClientConnection, request: ClientRequest) -> None:
        self._host.caller_gone(connection)

    def _over(self, request: ClientRequest) -> None:
        self._open_traces.discard(request.trace)

    # --- the host's calls ---

    def send(self, server: str, address: Address, request: ClientRequest, until_ms: float,
             done: Callable[[Outcome, Answer | None], None]) -> OnWire | Outcome:
        exchange = Exchange(lambda: payload(request, until_ms), done)
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
