"""Plays the table of requests at the inbound proxy, with a scripted caller and a scripted backend."""

from __future__ import annotations

from cometdoor.dataplane.inbound_proxy import InboundProxy
from cometdoor.host.exchange.inbound_requests import (
    InboundRequestCell,
    InboundRequestEvent,
    InboundRequestState,
    Slot,
)
from cometdoor.host.exchange.table import Conclusion
from cometdoor.host.fair_share import DescriptorQuota
from cometdoor.wire.call_control import CancelCall
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.forwarding import AttemptFailed, ForwardRequest, ForwardResponse, NotExecuted
from cometdoor.wire.frames import Frame, FrameDecoder, Message, encode
from cometdoor.wire.gossip import Backend
from cometdoor.wire.peer_connection import PeerConnection
from simulation.exchange.backend import OWN_ID
from simulation.exchange.backend_messages import (
    INSTANCE,
    SERVICE,
    TIMEOUT_MS,
    forward_request,
    serialize_response,
)
from simulation.exchange.expectations import ExchangeViolation, expect
from simulation.exchange.scripted_transports import ScriptedLoop, ScriptedTransport, scripted_loop

DRAIN_S = 0.1
SLOT_HOLDER_CALL, PLAYED_CALL = 1, 2  # calls: one that occupies the only slot, and the one under test
PAST_ALL_TIMEOUTS_S = 5.0


class InboundRequestPlayer:
    """Brings a request at an inbound proxy into a state, and causes events."""

    def __init__(self, loop: ScriptedLoop) -> None:
        self.loop = loop
        self.inbound_proxy = InboundProxy(loop, DescriptorQuota(100), DRAIN_S)
        self.inbound_proxy.update_backend(self.backend())
        self.connections = PeerConnections(loop, self._receive)
        self.transport = ScriptedTransport(loop)
        self.connection = PeerConnection(self.connections, "")
        self.transport.attach(self.connection)

    def backend(self, instance: str = INSTANCE, state: str = "ready") -> Backend:
        return Backend(instance, SERVICE, "127.0.0.1:80", "v1", 1, state)

    def _receive(self, message: Message, connection: PeerConnection, call_id: int) -> None:
        assert isinstance(message, ForwardRequest)
        self.inbound_proxy.accept(message, connection, call_id)

    def feed(self, call_id: int, message: Message) -> None:
        self.transport.feed(encode(Frame(call_id, False, message)))
        self.loop.wait(0.001)

    def forward_request(self, id: str, is_not_idempotent: bool) -> ForwardRequest:
        return forward_request(
            id, method=b"GET", target=f"/{id}".encode(), is_not_idempotent=is_not_idempotent
        )

    def replies(self) -> list[Message]:
        frames = FrameDecoder().feed(bytes(self.transport.accepted))
        return [frame.message for frame in frames if frame.call_id == PLAYED_CALL]

    def transports_written(self) -> list[ScriptedTransport]:
        """Return the backend connections on which any byte of the request was written."""
        return [transport for transport in self.loop.transports if b"GET /own " in transport.accepted]

    def enter_state(self, state: InboundRequestState) -> None:
        if state is InboundRequestState.WAITING:
            self.feed(SLOT_HOLDER_CALL, self.forward_request("first", is_not_idempotent=False))
        self.feed(
            PLAYED_CALL,
            self.forward_request(
                OWN_ID, is_not_idempotent=state is InboundRequestState.EXECUTING_NON_IDEMPOTENT
            ),
        )
        if state is InboundRequestState.FINISHED:
            self.loop.transports[-1].feed(serialize_response(OWN_ID))
            self.loop.wait(0.001)
            expect(len(self.replies()), 1, "replies before the event")

    def apply_event(self, event: InboundRequestEvent) -> None:
        match event:
            case InboundRequestEvent.CANCELLED:
                self.feed(0, CancelCall(PLAYED_CALL))
            case InboundRequestEvent.CONNECTION_LOST:
                self.transport.reset()
            case InboundRequestEvent.BACKEND_REMOVED:
                self.inbound_proxy.update_backend(None)
            case InboundRequestEvent.BACKEND_REPLACED:
                self.inbound_proxy.update_backend(self.backend("i-2"))
            case InboundRequestEvent.DRAIN_ENDING:
                self.inbound_proxy.update_backend(self.backend(state="draining"))
                self.loop.wait(DRAIN_S)
            case InboundRequestEvent.WAIT_TIMED_OUT:
                self.loop.wait(TIMEOUT_MS / 1000.0)
            case InboundRequestEvent.SLOT_FREE:
                self.loop.transports[0].feed(serialize_response("first"))
        self.loop.wait(0.001)

    def conclusion(self, reply_count_before: int) -> Conclusion:
        """Return what is reported to the forwarding proxy, or the actual result if nothing is reported."""
        match self.replies()[reply_count_before:]:
            case []:
                return self._unreported_conclusion()
            case [NotExecuted()]:
                return Conclusion.NOT_EXECUTED
            case [AttemptFailed()]:
                return Conclusion.MAY_HAVE_EXECUTED
            case [ForwardResponse()]:
                return Conclusion.EXECUTED
        raise ExchangeViolation(f"unexpected replies: {self.replies()}")

    def _unreported_conclusion(self) -> Conclusion:
        transports_written = self.transports_written()
        if not transports_written:
            return Conclusion.NOT_EXECUTED
        is_aborted = all(transport.is_closed for transport in transports_written)
        return Conclusion.MAY_HAVE_EXECUTED if is_aborted else Conclusion.PENDING

    def finish(self) -> None:
        """End all requests; check that no slot stays in use."""
        self.loop.wait(0.1)
        for transport in self.loop.transports:
            transport.feed(serialize_response("first" if b"/first " in transport.accepted else OWN_ID))
        self.loop.wait(PAST_ALL_TIMEOUTS_S)
        expect(self.inbound_proxy.in_flight_count(), 0, "requests in flight at the end")


def play_inbound_request(
    state: InboundRequestState, event: InboundRequestEvent, cell: InboundRequestCell
) -> None:
    """Play one cell. Raises ExchangeViolation."""
    with scripted_loop() as loop:
        player = InboundRequestPlayer(loop)
        player.enter_state(state)
        reply_count_before = len(player.replies())
        player.apply_event(event)
        where = f"inbound request, {state.value}, {event.value}"
        if state is not InboundRequestState.FINISHED:
            expect(player.conclusion(reply_count_before), cell.conclusion, where)
        expect(len(player.replies()) - reply_count_before, int(cell.is_reported), f"{where}, replies")
        holds_slot = any(
            request.forward_request.attempt_id == OWN_ID.encode()
            for request in player.inbound_proxy._in_flight
        )
        expect(holds_slot, cell.slot is Slot.HELD, f"{where}, whether it holds a slot")
        transports_written = len(player.transports_written())
        player.finish()
        expect(
            len(player.transports_written()),
            transports_written,
            f"{where}, backend connections written in the end",
        )
