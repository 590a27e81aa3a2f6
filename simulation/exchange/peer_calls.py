"""Plays the table of calls between proxies: a call on a real peer connection, and a scripted peer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cometdoor.dataplane.attempt_replies import classify_reply
from cometdoor.host.exchange.peer_calls import PeerCallEvent, PeerCallState
from cometdoor.host.exchange.table import Conclusion, ConnectionState, TableCell
from cometdoor.wire.call_control import CancelCall, Pong
from cometdoor.wire.connections import CONNECT_TIMEOUT_S, PeerConnections
from cometdoor.wire.forwarding import AttemptFailed, ForwardRequest, ForwardResponse, NotExecuted
from cometdoor.wire.frames import Frame, FrameDecoder, Message, encode
from cometdoor.wire.peer_connection import KEEPALIVE_TIMEOUT_S, PeerError, PendingCall
from simulation.exchange.backend_messages import forward_request
from simulation.exchange.expectations import ExchangeViolation, expect
from simulation.exchange.scripted_transports import ScriptedLoop, ScriptedTransport, scripted_loop

PEER_ADDRESS = "127.0.0.1:1"
RECONNECT_DELAY_S = 0.2  # until the next attempt to connect to an unreachable peer
REPLIES: dict[PeerCallEvent, list[Message]] = {
    PeerCallEvent.EXECUTED: [ForwardResponse(200, [], b"a"), ForwardResponse(500, [], b"a")],
    PeerCallEvent.NOT_EXECUTED: [NotExecuted("full")],
    PeerCallEvent.ATTEMPT_FAILED: [
        AttemptFailed("reset", 1.0),
        AttemptFailed("timeout", 1.0),
        AttemptFailed("error", 0.5),
    ],
    PeerCallEvent.ATTEMPT_FAILED_CONTRADICTORY: [
        AttemptFailed(word, 0.5) for word in ("full", "cut", "moot", "connect_failed", "?")
    ],
    PeerCallEvent.OTHER_REPLY: [Pong()],
}


class PeerCallPlayer:
    """Brings a call on a peer connection into a state, and causes events."""

    def __init__(self, loop: ScriptedLoop) -> None:
        self.loop = loop
        self.connections = PeerConnections(loop, lambda message, connection, call_id: None)
        self.replies: list[Message | PeerError] = []
        self.call: PendingCall

    def send_call(self, id: str, on_reply: Callable[[Message | PeerError], None]) -> PendingCall:
        call = self.connections.call(PEER_ADDRESS, forward_request(id, is_not_idempotent=True), on_reply)
        if isinstance(call, PeerError):
            raise ExchangeViolation(f"the call was not accepted: {call}")
        return call

    def transport(self) -> ScriptedTransport:
        return self.loop.transports[-1]

    def requests_read(self, transport: ScriptedTransport) -> list[str]:
        """Return the ids of the requests that a peer has read on that connection."""
        frames = FrameDecoder().feed(bytes(transport.accepted))
        return [
            frame.message.attempt_id.decode() for frame in frames if isinstance(frame.message, ForwardRequest)
        ]

    def enter_state(self, state: PeerCallState, has_reply: bool) -> None:
        """Bring the call into the state. `has_reply`: a finished call had a reply, else it was cancelled."""
        self.loop.delays_connects = state is PeerCallState.CONNECTING
        if state is PeerCallState.QUEUED:
            earlier_call = self.send_call("before", lambda reply: None)
            self.loop.wait(0.01)
            self.transport().feed(encode(Frame(earlier_call.call_id, True, Pong())))
        self.call = self.send_call("own", self.replies.append)
        if state is PeerCallState.QUEUED:
            return
        self.loop.wait(0.01)
        if state is PeerCallState.FINISHED:
            if has_reply:
                self.transport().feed(encode(Frame(self.call.call_id, True, ForwardResponse(200, [], b"a"))))
                self.replies.clear()
            else:
                self.call.cancel()

    def apply_event(self, event: PeerCallEvent, reply: Message | None) -> Conclusion:
        """Cause the event, and return what the caller concludes."""
        if event is PeerCallEvent.CANCELLED:
            was_pending = self.call.on_reply is not None
            if self.call.cancel():
                return Conclusion.NOT_EXECUTED
            return Conclusion.MAY_HAVE_EXECUTED if was_pending else Conclusion.PENDING
        self._cause_event(event, reply)
        return self.conclusion()

    def _cause_event(self, event: PeerCallEvent, reply: Message | None) -> None:
        match event:
            case PeerCallEvent.CONNECT_REFUSED:
                self.loop.connects[-1].fail(ConnectionRefusedError())
            case PeerCallEvent.CONNECT_TIMED_OUT:
                self.loop.wait(CONNECT_TIMEOUT_S)
            case PeerCallEvent.CONNECTED:
                self.loop.connects[-1].open()
            case PeerCallEvent.RESET:
                self.transport().reset()
            case PeerCallEvent.CLOSED:
                self.transport().close_by_peer()
            case PeerCallEvent.PEER_TIMED_OUT:
                self.call.connection.last_received_at -= 2 * KEEPALIVE_TIMEOUT_S
                self.connections.last_received_from.clear()  # nothing arrived on other connections either
                self.connections._sweep()
                if not self.call.connection.pending_calls:
                    self.call.connection.close(
                        "keepalive timeout"
                    )  # the sweep checks only connections with pending calls
            case PeerCallEvent.FRAME_ERROR:
                self.transport().feed(b"\xff\xff\xff\xff")
            case PeerCallEvent.UNKNOWN_CALL:
                self.transport().feed(encode(Frame(self.connections.last_call_id + 1, True, Pong())))
            case _:
                assert reply is not None
                self.transport().feed(encode(Frame(self.call.call_id, True, reply)))
        self.loop.wait(0.01)

    def conclusion(self) -> Conclusion:
        if not self.replies:
            return Conclusion.PENDING
        expect(len(self.replies), 1, "replies to one call")
        result, response = classify_reply(self.replies[0])
        if response is not None:
            return Conclusion.EXECUTED
        return Conclusion.NOT_EXECUTED if result.is_not_executed else Conclusion.MAY_HAVE_EXECUTED

    def connection(self, state: PeerCallState, concluded: Conclusion) -> ConnectionState:
        """Return the state of the connection, determined by where the next call goes.

        Checks that a call reported as not executed is not sent later.
        """
        connection = self.call.connection
        if connection.pending_calls:
            return ConnectionState.IN_USE
        self.loop.delays_connects = False
        if self.loop.connects and not self.loop.transports and not connection.is_closed:
            self.loop.connects[-1].open()
        self.loop.wait(RECONNECT_DELAY_S)
        connects = len(self.loop.connects)
        self.send_call("next", lambda reply: None)
        self.loop.wait(0.01)
        if concluded is Conclusion.NOT_EXECUTED and state is not PeerCallState.SENT:
            for transport in self.loop.transports:
                expect(
                    "own" in self.requests_read(transport),
                    False,
                    "whether a call reported as not executed was sent",
                )
        if len(self.loop.connects) == connects:
            expect(
                self.requests_read(self.transport())[-1], "next", "the last request on the reused connection"
            )
            return ConnectionState.REUSABLE
        return ConnectionState.CLOSED


def play_peer_call(state: PeerCallState, event: PeerCallEvent, cell: TableCell) -> None:
    """Play one cell. Raises ExchangeViolation."""
    for reply in REPLIES.get(event, [None]):
        for has_reply in [True, False] if state is PeerCallState.FINISHED else [True]:
            with scripted_loop() as loop:
                player = PeerCallPlayer(loop)
                player.enter_state(state, has_reply)
                concluded = player.apply_event(event, reply)
                where = f"peer call, {state.value}, {event.value}, {reply}"
                expect(concluded, cell.conclusion, where)
                expect(player.connection(state, concluded), cell.connection, where)
                _check_cancel(player, state, event)


def _check_cancel(player: PeerCallPlayer, state: PeerCallState, event: PeerCallEvent) -> None:
    """Check that the peer gets a cancellation of a call that it may have read, and of no other call."""
    if event is not PeerCallEvent.CANCELLED:
        return
    frames: list[Any] = FrameDecoder().feed(bytes(player.transport().accepted))
    cancelled = [frame.message.call_id for frame in frames if isinstance(frame.message, CancelCall)]
    if state is PeerCallState.SENT:
        expect(cancelled, [player.call.call_id], "calls that are cancelled at the peer")
    elif state is not PeerCallState.FINISHED:
        expect(cancelled, [], "calls that are cancelled at the peer")
