"""Plays the table of connections to backends: an inbound proxy, and a scripted backend."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import product
from typing import cast

from cometdoor.dataplane.inbound_proxy import MAX_WHOLE_RESPONSE_BYTES, InboundProxy
from cometdoor.host.body_stream import BodySender
from cometdoor.host.exchange.backend_exchanges import BackendExchangeEvent, BackendExchangeState
from cometdoor.host.exchange.table import Conclusion, ConnectionState, TableCell
from cometdoor.host.fair_share import DescriptorQuota
from cometdoor.wire.forwarding import AttemptFailed, ForwardResponse, NotExecuted, StreamedForwardResponse
from cometdoor.wire.frames import Message
from cometdoor.wire.gossip import Backend
from cometdoor.wire.peer_connection import PeerConnection
from simulation.exchange.backend_messages import (
    INSTANCE,
    SERVICE,
    forward_request,
    serialize_head,
    serialize_rejection,
    serialize_response,
)
from simulation.exchange.expectations import ExchangeViolation, expect
from simulation.exchange.scripted_transports import (
    UNLIMITED_BYTES,
    ScriptedLoop,
    ScriptedTransport,
    scripted_loop,
)

PAST_ALL_TIMEOUTS_S = 30.0  # longer than all timeouts together


OWN_ID, OTHER_ID = "own", "other"
INPUTS: dict[BackendExchangeEvent, list[bytes]] = {
    BackendExchangeEvent.MALFORMED: [
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 2x0 X\r\n\r\n",
        serialize_head(200, ("Content-Length", "1"), ("Content-Length", "2")) + b"a",
        serialize_head(200, ("Content-Length", "1"), ("Transfer-Encoding", "chunked")) + b"a",
        serialize_head(200, ("Transfer-Encoding", "gzip")) + b"a",
        serialize_head(200, ("Content-Length", "-1")) + b"a",
        serialize_head(200, ("Transfer-Encoding", "chunked")) + b"zz\r\na\r\n0\r\n\r\n",
        serialize_head(103, ("Content-Length", "1")) + b"a",
        serialize_head(101, ("Upgrade", "else"), ("Connection", "upgrade")),
    ],
    BackendExchangeEvent.TOO_LARGE: [
        serialize_head(
            503,
            ("Cometdoor-Attempt-Id", OWN_ID),
            ("Cometdoor-Not-Executed", "1"),
            ("Content-Length", str(MAX_WHOLE_RESPONSE_BYTES + 1)),
        )
        + b"a"
    ],
    BackendExchangeEvent.INTERIM: [serialize_head(100), serialize_head(103, ("Link", "x"))],
    BackendExchangeEvent.RESPONSE: [
        serialize_response(OWN_ID),
        serialize_response(OWN_ID, body=b""),
        serialize_response(OWN_ID, body=b"a line\n"),
        serialize_response(OWN_ID, body=b"x" * (MAX_WHOLE_RESPONSE_BYTES + 1)),
        serialize_response(OWN_ID, 404, is_sealed=False),
        serialize_response(OWN_ID, 409),
        serialize_response(OWN_ID, 500),
        serialize_response(OWN_ID, 503, is_sealed=False),
        serialize_head(204, ("Cometdoor-Attempt-Id", OWN_ID), ("Cometdoor-Response-Seal", "seal-own")),
        serialize_head(
            200,
            ("cometdoor-attempt-id", OWN_ID),
            ("cometdoor-response-seal", "seal-own"),
            ("Transfer-Encoding", "chunked"),
        )
        + b"4\r\nbody\r\n0\r\n\r\n",
    ],
    BackendExchangeEvent.RESPONSE_WITH_CLOSE: [
        serialize_response(OWN_ID, 200, ("Connection", "close")),
        serialize_response(OWN_ID, 500, ("Connection", "close")),
    ],
    BackendExchangeEvent.RESPONSE_UNTIL_CLOSE: [
        serialize_head(200, ("Cometdoor-Attempt-Id", OWN_ID), ("Cometdoor-Response-Seal", "seal-own")) + body
        for body in (b"until it closes", b"", b"a line\r\n")
    ],
    BackendExchangeEvent.RESPONSE_WITH_EXTRA_BYTES: [
        serialize_response(OWN_ID) + trailing_bytes
        for trailing_bytes in (
            b"\r\n",
            b"\n",
            b"H",
            b"junk",
            serialize_response(OWN_ID),
            serialize_response(OTHER_ID),
            b"HTTP/1.1 200 X\r\n",
        )
    ],
    BackendExchangeEvent.REJECTED: [
        *(serialize_rejection(OWN_ID, status) for status in (503, 429, 400)),
        serialize_response(OWN_ID, 421, is_sealed=False),
    ],
    BackendExchangeEvent.RESPONSE_TO_ANOTHER: [
        serialize_response(OTHER_ID),
        serialize_response(OTHER_ID, 500),
        serialize_rejection(OTHER_ID),
    ],
    BackendExchangeEvent.WITHOUT_ID: [
        serialize_response(""),
        serialize_rejection(""),
        serialize_response(OWN_ID, 200, ("Cometdoor-Attempt-Id", OTHER_ID)),
    ],
    BackendExchangeEvent.ENCODED: [
        serialize_response(OWN_ID, 200, ("Content-Encoding", "gzip")),
        serialize_response(OWN_ID, 404, ("content-encoding", "br")),
    ],
    BackendExchangeEvent.UNPROVEN: [
        serialize_response(OWN_ID, is_sealed=False),
        serialize_response(OWN_ID, 200, ("Cometdoor-Not-Executed", "1")),
    ],
}
EXTRA_BYTES = [serialize_response(OTHER_ID), serialize_rejection(OTHER_ID), serialize_head(103), b"\r\n"]
STATUS_LINE_PREFIX_BYTES = len(b"HTTP/1.1 ")


class FakePeerConnection:
    """Stands in for the connection to the proxies that forward requests."""

    def __init__(self) -> None:
        self.cancel_callbacks: dict[int, Callable[[], None]] = {}
        self.replies: list[Message] = []

    def respond(self, number: int, message: Message) -> None:
        self.cancel_callbacks.pop(number, None)
        self.replies.append(message)

    def respond_streamed(self, number: int, head: StreamedForwardResponse) -> BodySender:
        """Record a response once its last chunk was sent."""

        def write(data: bytes, is_last: bool) -> None:
            if is_last:
                self.respond(number, ForwardResponse(head.status, head.headers, b""))

        return BodySender(write, UNLIMITED_BYTES)

    def abort_body(self, number: int) -> None:
        self.respond(number, AttemptFailed("reset", 1.0))


class BackendExchangePlayer:
    """Brings an exchange with a scripted backend into a state, and causes events."""

    def __init__(self, loop: ScriptedLoop) -> None:
        self.loop = loop
        self.inbound_proxy = InboundProxy(loop, DescriptorQuota(100), 2.0)
        self.inbound_proxy.update_backend(Backend(INSTANCE, SERVICE, "127.0.0.1:80", "v1", 8, "ready"))
        self.peer_connection = FakePeerConnection()
        self._last_call = 0

    def send(self, id: str, is_not_idempotent: bool = False, body: bytes = b"") -> None:
        self._last_call += 1
        request = forward_request(id, body=body, is_not_idempotent=is_not_idempotent)
        self.inbound_proxy.accept(request, cast(PeerConnection, self.peer_connection), self._last_call)
        self.loop.wait(0.001)

    def transport(self) -> ScriptedTransport:
        return self.loop.transports[-1]

    # --- states ---

    def enter_state(
        self, state: BackendExchangeState, is_reused: bool, is_not_idempotent: bool, extra_bytes: bytes
    ) -> None:
        """Bring the exchange into the state.

        `is_reused`: use a connection that has carried a response. `extra_bytes`: received before the event,
        in the state AFTER_EXTRA_BYTES.
        """
        if is_reused:
            self.send("first")
            self.transport().feed(serialize_response("first"))
            self.loop.wait(0.1)
            self.peer_connection.replies.clear()
        if state is BackendExchangeState.IDLE:
            return
        self.loop.delays_connects = state is BackendExchangeState.CONNECTING
        writable_bytes = 20 if state is BackendExchangeState.PARTIALLY_WRITTEN else UNLIMITED_BYTES
        fails_writes = state is BackendExchangeState.CONNECTED
        if is_reused:
            self.transport().writable_bytes, self.transport().fails_writes = writable_bytes, fails_writes
        else:
            self.loop.writable_bytes, self.loop.fails_writes = writable_bytes, fails_writes
        self.send(OWN_ID, is_not_idempotent)
        self.loop.writable_bytes, self.loop.fails_writes = UNLIMITED_BYTES, False
        if state is BackendExchangeState.AFTER_EXTRA_BYTES:
            self.transport().feed(extra_bytes)

    # --- events ---

    def apply_event(self, state: BackendExchangeState, event: BackendExchangeEvent, data: bytes) -> None:
        if state is BackendExchangeState.RECEIVING:
            self.transport().feed((data or serialize_response(OWN_ID))[:STATUS_LINE_PREFIX_BYTES])
            data = data[STATUS_LINE_PREFIX_BYTES:]
        if state is BackendExchangeState.CONNECTED:
            pass  # the write has already failed with this event
        elif data:
            self.transport().feed(data)
            if event is BackendExchangeEvent.RESPONSE_UNTIL_CLOSE:
                self.transport().close_by_peer()
        elif event is BackendExchangeEvent.TIMED_OUT:
            self.loop.wait(PAST_ALL_TIMEOUTS_S)
        elif event in (BackendExchangeEvent.CANCELLED, BackendExchangeEvent.CANCELLED_NON_IDEMPOTENT):
            self.peer_connection.cancel_callbacks.pop(self._last_call)()
        elif state is BackendExchangeState.CONNECTING:
            refused = event is BackendExchangeEvent.REFUSED
            self.loop.connects[-1].fail(ConnectionRefusedError() if refused else ConnectionResetError())
        elif event is BackendExchangeEvent.RESET:
            self.transport().reset()
        else:
            self.transport().close_by_peer()
        self.loop.wait(0.001)

    # --- results ---

    def conclusion(self, event: BackendExchangeEvent) -> Conclusion:
        if event is BackendExchangeEvent.CANCELLED:
            expect(self.peer_connection.replies, [], "replies to a cancelled call")
            was_written = bool(self.loop.transports and self.transport().accepted)
            return Conclusion.MAY_HAVE_EXECUTED if was_written else Conclusion.NOT_EXECUTED
        expect(len(self.peer_connection.replies) <= 1, True, "at most one reply")
        match self.peer_connection.replies:
            case []:
                return Conclusion.PENDING
            case [ForwardResponse()]:
                return Conclusion.EXECUTED
            case [NotExecuted()]:
                return Conclusion.NOT_EXECUTED
            case [AttemptFailed()]:
                return Conclusion.MAY_HAVE_EXECUTED
        raise ExchangeViolation(f"unexpected replies: {self.peer_connection.replies}")

    def connection(self) -> ConnectionState:
        """Return the state of the connection, determined by where the next request goes."""
        if self.inbound_proxy.in_flight_count():
            return ConnectionState.IN_USE
        self.loop.delays_connects = False
        self.loop.wait(0.1)
        transport = self.transport() if self.loop.transports else None
        accepted_before, connects = bytes(transport.accepted) if transport else b"", len(self.loop.connects)
        self.send("next")
        if len(self.loop.connects) == connects:
            return ConnectionState.REUSABLE
        if transport is not None:
            expect(
                (transport.is_closed, bytes(transport.accepted)),
                (True, accepted_before),
                "state of a closed connection, and the bytes written on it",
            )
        return ConnectionState.CLOSED

    def finish_exchange(self, state: BackendExchangeState) -> None:
        """Respond to requests that are still in flight."""
        if state is BackendExchangeState.CONNECTING:
            self.loop.connects[-1].open()
        self.loop.wait(0.001)
        self.transport().feed(serialize_response(OWN_ID))
        self.loop.wait(0.001)


def _check_reply(replies: list[Message], data: bytes) -> None:
    for reply in replies:
        if isinstance(reply, ForwardResponse):
            expect(
                dict(reply.headers)[_id_header_name(reply)],
                OWN_ID.encode(),
                "attempt id of the forwarded response",
            )
            expect(
                b" %d X" % reply.status in data,
                True,
                "status of the forwarded response is one that the backend sent",
            )


def _id_header_name(reply: ForwardResponse) -> bytes:
    return next(name for name, _ in reply.headers if name.lower() == b"cometdoor-attempt-id")


def play_backend_exchange(state: BackendExchangeState, event: BackendExchangeEvent, cell: TableCell) -> None:
    """Play one cell. Raises ExchangeViolation."""
    inputs: Iterable[bytes] = INPUTS.get(event, [b""])
    if state is BackendExchangeState.RECEIVING:
        inputs = [
            input_bytes for input_bytes in inputs if not input_bytes or input_bytes.startswith(b"HTTP/1.1 ")
        ]
    reuse_cases = {BackendExchangeState.IDLE: [True], BackendExchangeState.CONNECTING: [False]}.get(
        state, [False, True]
    )
    extra_bytes_cases = EXTRA_BYTES if state is BackendExchangeState.AFTER_EXTRA_BYTES else [b""]
    for data, is_reused, extra_bytes in product(inputs, reuse_cases, extra_bytes_cases):
        with scripted_loop() as loop:
            player = BackendExchangePlayer(loop)
            player.enter_state(
                state, is_reused, event is BackendExchangeEvent.CANCELLED_NON_IDEMPOTENT, extra_bytes
            )
            player.apply_event(state, event, data)
            where = (
                f"backend, {state.value}, {event.value}, {'reused' if is_reused else 'fresh'}, {data[:60]!r}"
            )
            _check(player, state, event, cell, data, where)


def _check(
    player: BackendExchangePlayer,
    state: BackendExchangeState,
    event: BackendExchangeEvent,
    cell: TableCell,
    data: bytes,
    where: str,
) -> None:
    expect(player.conclusion(event), cell.conclusion, where)
    _check_reply(player.peer_connection.replies, data)
    expect(player.connection(), cell.connection, where)
    if cell.connection is ConnectionState.IN_USE:
        player.finish_exchange(state)
        expect(player.inbound_proxy.in_flight_count(), 0, f"{where}: then a response")
        if event is not BackendExchangeEvent.CANCELLED_NON_IDEMPOTENT:
            expect(player.conclusion(event), Conclusion.EXECUTED, f"{where}: then a response")
