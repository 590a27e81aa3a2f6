"""The table of callers' connections, played: a front end, and a caller that is a script."""

from __future__ import annotations

import re

from cometdoor.dataplane.outbound_proxy import MeshReader
from cometdoor.host.exchange.callers import CallerEvent, CallerState
from cometdoor.host.exchange.cells import Cell, Conclusion, Connection
from cometdoor.host.fair_share import Descriptors
from cometdoor.http.caller import ClientConnection
from cometdoor.http.frontend import Frontend
from cometdoor.http.messages import ClientRequest
from cometdoor.http.upstream import Answer
from lab.exchange.judge import expect
from lab.exchange.wires import ScriptedLoop, Wire, scripted

LONG_S = 30.0
BAD = [b"\x00\x00\r\n\r\n", b"GET /a HTTP/9.9\r\n\r\n", b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"]
PROMISES = (400, 408, 503)  # 400: what could not be read was handed to nobody


def request(id: str, *fields: str) -> bytes:
    lines = ["POST /a HTTP/1.1", "Host: a", f"Cometdoor-Attempt-Id: {id}", "Content-Length: 4", *fields]
    return "\r\n".join([*lines, "", "body"]).encode()


class Taker:
    """The front end's handler: keeps what it is handed."""

    ready = True

    def __init__(self) -> None:
        self.taken: list[str] = []
        self.gone: list[str] = []

    def take(self, connection: ClientConnection, request: ClientRequest) -> None:
        self.taken.append(request.trace.decode())

    def client_gone(self, connection: ClientConnection, request: ClientRequest) -> None:
        self.gone.append(request.trace.decode())


class CallerHop:
    def __init__(self, loop: ScriptedLoop) -> None:
        self.loop = loop
        self.taker = Taker()
        self.front = Frontend(loop, MeshReader(), Descriptors(100), self.taker)
        self.connection = ClientConnection(self.front)
        self.front.connections[self.connection] = None
        self.front.descriptors.used += 1
        self.front.wait(self.connection, self.front.reading)
        self.wire = Wire(loop)
        self.wire.join(self.connection)
        self._read = 0

    def statuses(self) -> list[int]:
        """Of the answers that came since the last look."""
        data, self._read = bytes(self.wire.taken[self._read :]), len(self.wire.taken)
        return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d+)", data)]

    def serve(self) -> None:
        self.connection.served(Answer(200, [], b""))
        self.loop.wait(0.001)

    # --- states ---

    def reach(self, state: CallerState) -> None:
        match state:
            case CallerState.NEW:
                return
            case CallerState.PART:
                self.wire.feed(request("own")[:40])
            case CallerState.AT_WORK:
                self.wire.feed(request("own"))
            case CallerState.AHEAD:
                self.wire.feed(request("own"))
                self.wire.feed(request("ahead"))
            case CallerState.RESTING:
                self.wire.feed(request("own"))
                self.serve()
            case CallerState.LEAVING:
                self.wire.feed(request("own", "Connection: close"))
                self.serve()
        self.loop.wait(0.001)
        self.statuses()

    # --- events ---

    def meet(self, state: CallerState, event: CallerEvent, data: bytes) -> None:
        begun = request("own")[:40] if state is CallerState.PART else b""
        match event:
            case CallerEvent.PART_COMES:
                self.wire.feed(request("own")[len(begun) : 60])
            case CallerEvent.REQUEST_COMES:
                self.wire.feed(request("own" if begun else "more")[len(begun) :])
            case CallerEvent.BAD_BYTES:
                self.wire.feed(data)
            case CallerEvent.TIME_UP:
                for _ in range(3):
                    self.loop.now += LONG_S
                    self.front._sweep()
            case CallerEvent.ENDED:
                self.wire.end()
            case CallerEvent.RESET:
                self.wire.reset()
            case CallerEvent.SERVED:
                self.connection.served(Answer(200, [], b""))
            case CallerEvent.REFUSED:
                self.connection.refused(100.0)
            case CallerEvent.FAILED:
                self.connection.failed()
        self.loop.wait(0.001)

    # --- what follows ---

    def conclusion(self, state: CallerState, event: CallerEvent) -> Conclusion:
        """As the caller may conclude it."""
        statuses = self.statuses()
        expect(len(statuses) <= 1, True, "answers to one event")
        if statuses:
            if statuses[0] == 200:
                return Conclusion.RAN
            return Conclusion.NOT_RUN if statuses[0] in PROMISES else Conclusion.MAY_HAVE_RUN
        if state is CallerState.LEAVING:
            is_input = event in (
                CallerEvent.PART_COMES,
                CallerEvent.REQUEST_COMES,
                CallerEvent.BAD_BYTES,
            )
            expect(self.taker.taken, ["own"], "requests that were handed on")
            return Conclusion.NOT_RUN if is_input else Conclusion.NOTHING
        if event in (CallerEvent.ENDED, CallerEvent.RESET):
            if self.taker.gone:
                expect(self.taker.gone, ["own"], "requests whose caller has gone")
                return Conclusion.MAY_HAVE_RUN
            return Conclusion.NOT_RUN if state is CallerState.PART else Conclusion.NOTHING
        return Conclusion.NOTHING

    def next(self, state: CallerState) -> Connection:
        """What the connection does with one more request."""
        connection = self.connection
        if connection.request is not None or (connection._in_request and not self.wire.is_over):
            return Connection.IN_USE
        taken = list(self.taker.taken)
        self.wire.feed(request("next"))
        self.loop.wait(0.001)
        if self.taker.taken == [*taken, "next"]:
            return Connection.KEPT
        expect(self.taker.taken, taken, "requests that were handed on")
        expect(self.statuses(), [], "answers on a closed connection")
        return Connection.CLOSED

    def go_on(self, event: CallerEvent) -> None:
        """All that is in hand is answered, each request once and in turn; what is bad at the end."""
        answered = 0
        while self.connection.request is not None:
            self.serve()
            answered += 1
        statuses = self.statuses()
        if event is CallerEvent.BAD_BYTES:
            expect((statuses, self.taker.taken), ([200, 400], ["own"]), "what was answered and handed on")
        else:
            expect(statuses, [200] * answered, "answers in turn")


def play_caller(state: CallerState, event: CallerEvent, cell: Cell) -> None:
    """Raises Wrong."""
    for data in BAD if event is CallerEvent.BAD_BYTES else [b""]:
        with scripted() as loop:
            hop = CallerHop(loop)
            hop.reach(state)
            hop.meet(state, event, data)
            place = f"caller, {state.value}, {event.value}, {data!r}"
            expect(hop.conclusion(state, event), cell.conclusion, place)
            expect(hop.next(state), cell.connection, place)
            if cell.connection is Connection.IN_USE:
                hop.go_on(event)
