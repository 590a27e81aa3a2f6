"""Plays the table of client connections: a front end, and a scripted client."""

from __future__ import annotations

import re

from cometdoor.dataplane.outbound_request import OutboundRequestReader
from cometdoor.host.exchange.client_requests import ClientRequestEvent, ClientRequestState
from cometdoor.host.exchange.table import Conclusion, ConnectionState, TableCell
from cometdoor.host.fair_share import DescriptorQuota
from cometdoor.http.client_connection import ClientConnection
from cometdoor.http.frontend import Frontend
from cometdoor.http.messages import ClientRequest, Response
from simulation.exchange.expectations import expect
from simulation.exchange.scripted_transports import ScriptedLoop, ScriptedTransport, scripted_loop

PAST_ALL_TIMEOUTS_S = 30.0
MALFORMED_INPUTS = [b"\x00\x00\r\n\r\n", b"GET /a HTTP/9.9\r\n\r\n", b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"]
NOT_EXECUTED_STATUSES = (400, 408, 503)  # 400: a malformed request was not forwarded


def request(id: str, *fields: str) -> bytes:
    lines = ["POST /a HTTP/1.1", "Host: a", f"Cometdoor-Attempt-Id: {id}", "Content-Length: 4", *fields]
    return "\r\n".join([*lines, "", "body"]).encode()


class RecordingHandler:
    """Handler of the front end that records requests and disconnects."""

    is_ready = True

    def __init__(self) -> None:
        self.accepted: list[str] = []
        self.disconnected: list[str] = []

    def accept(self, connection: ClientConnection, request: ClientRequest) -> None:
        self.accepted.append(request.trace.decode())

    def on_client_disconnected(self, connection: ClientConnection, request: ClientRequest) -> None:
        self.disconnected.append(request.trace.decode())


class ClientRequestPlayer:
    """Brings a client connection into a state, and causes events."""

    def __init__(self, loop: ScriptedLoop) -> None:
        self.loop = loop
        self.handler = RecordingHandler()
        self.frontend = Frontend(loop, OutboundRequestReader(), DescriptorQuota(100), self.handler)
        self.connection = ClientConnection(self.frontend)
        self.frontend.connections[self.connection] = None
        self.frontend.descriptors.used += 1
        self.frontend.timeouts.move_to(self.frontend.timeouts.awaiting_request, self.connection)
        self.transport = ScriptedTransport(loop)
        self.transport.attach(self.connection)
        self._seen_bytes = 0

    def statuses(self) -> list[int]:
        """Return the statuses of the responses since the last call."""
        data, self._seen_bytes = (
            bytes(self.transport.accepted[self._seen_bytes :]),
            len(self.transport.accepted),
        )
        return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d+)", data)]

    def respond(self) -> None:
        self.connection.on_response(Response(200, [], b""))
        self.loop.wait(0.001)

    # --- states ---

    def enter_state(self, state: ClientRequestState) -> None:
        match state:
            case ClientRequestState.NEW:
                return
            case ClientRequestState.PARTIAL:
                self.transport.feed(request("own")[:40])
            case ClientRequestState.EXECUTING:
                self.transport.feed(request("own"))
            case ClientRequestState.PIPELINED:
                self.transport.feed(request("own"))
                self.transport.feed(request("ahead"))
            case ClientRequestState.IDLE:
                self.transport.feed(request("own"))
                self.respond()
            case ClientRequestState.CLOSING:
                self.transport.feed(request("own", "Connection: close"))
                self.respond()
        self.loop.wait(0.001)
        self.statuses()

    # --- events ---

    def apply_event(self, state: ClientRequestState, event: ClientRequestEvent, data: bytes) -> None:
        received = request("own")[:40] if state is ClientRequestState.PARTIAL else b""
        match event:
            case ClientRequestEvent.PARTIAL_REQUEST:
                self.transport.feed(request("own")[len(received) : 60])
            case ClientRequestEvent.COMPLETE_REQUEST:
                self.transport.feed(request("own" if received else "more")[len(received) :])
            case ClientRequestEvent.MALFORMED_INPUT:
                self.transport.feed(data)
            case ClientRequestEvent.TIMED_OUT:
                for _ in range(3):
                    self.loop.now += PAST_ALL_TIMEOUTS_S
                    self.frontend._sweep()
            case ClientRequestEvent.END_OF_INPUT:
                self.transport.close_by_peer()
            case ClientRequestEvent.RESET:
                self.transport.reset()
            case ClientRequestEvent.RESPONSE:
                self.connection.on_response(Response(200, [], b""))
            case ClientRequestEvent.REJECTED:
                self.connection.on_rejected(100.0)
            case ClientRequestEvent.FAILED:
                self.connection.on_failed()
        self.loop.wait(0.001)

    # --- results ---

    def conclusion(self, state: ClientRequestState, event: ClientRequestEvent) -> Conclusion:
        """Return what the client may conclude about its request."""
        statuses = self.statuses()
        expect(len(statuses) <= 1, True, "at most one response to an event")
        if statuses:
            if statuses[0] == 200:
                return Conclusion.EXECUTED
            return (
                Conclusion.NOT_EXECUTED
                if statuses[0] in NOT_EXECUTED_STATUSES
                else Conclusion.MAY_HAVE_EXECUTED
            )
        if state is ClientRequestState.CLOSING:
            is_input = event in (
                ClientRequestEvent.PARTIAL_REQUEST,
                ClientRequestEvent.COMPLETE_REQUEST,
                ClientRequestEvent.MALFORMED_INPUT,
            )
            expect(self.handler.accepted, ["own"], "forwarded requests")
            return Conclusion.NOT_EXECUTED if is_input else Conclusion.PENDING
        if event in (ClientRequestEvent.END_OF_INPUT, ClientRequestEvent.RESET):
            if self.handler.disconnected:
                expect(self.handler.disconnected, ["own"], "requests whose client disconnected")
                return Conclusion.MAY_HAVE_EXECUTED
            return Conclusion.NOT_EXECUTED if state is ClientRequestState.PARTIAL else Conclusion.PENDING
        return Conclusion.PENDING

    def connection_state(self, state: ClientRequestState) -> ConnectionState:
        """Return the state of the connection, determined by how it handles one more request."""
        connection = self.connection
        if connection.request is not None or (connection._is_in_request and not self.transport.is_closed):
            return ConnectionState.IN_USE
        accepted = list(self.handler.accepted)
        self.transport.feed(request("next"))
        self.loop.wait(0.001)
        if self.handler.accepted == [*accepted, "next"]:
            return ConnectionState.REUSABLE
        expect(self.handler.accepted, accepted, "forwarded requests")
        expect(self.statuses(), [], "responses on a closed connection")
        return ConnectionState.CLOSED

    def finish_requests(self, event: ClientRequestEvent) -> None:
        """Respond to all pending requests; check that each gets one response, in order."""
        response_count = 0
        while self.connection.request is not None:
            self.respond()
            response_count += 1
        statuses = self.statuses()
        if event is ClientRequestEvent.MALFORMED_INPUT:
            expect(
                (statuses, self.handler.accepted), ([200, 400], ["own"]), "responses and forwarded requests"
            )
        else:
            expect(statuses, [200] * response_count, "responses in order")


def play_client_request(state: ClientRequestState, event: ClientRequestEvent, cell: TableCell) -> None:
    """Play one cell. Raises ExchangeViolation."""
    for data in MALFORMED_INPUTS if event is ClientRequestEvent.MALFORMED_INPUT else [b""]:
        with scripted_loop() as loop:
            player = ClientRequestPlayer(loop)
            player.enter_state(state)
            player.apply_event(state, event, data)
            where = f"client request, {state.value}, {event.value}, {data!r}"
            expect(player.conclusion(state, event), cell.conclusion, where)
            expect(player.connection_state(state), cell.connection, where)
            if cell.connection is ConnectionState.IN_USE:
                player.finish_requests(event)
