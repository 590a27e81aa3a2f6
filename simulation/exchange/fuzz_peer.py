"""Peers that split, cut, double and delay their replies on a line, drawn by `hypothesis`.

The peer keeps the truth: which calls it has read, of which frames a part came, and what it replied. Then

- each call has one end at most, and a reply that it gets is one that the peer gave to that very call;
- a call that has not left, it is said, is read by nobody, then or later;
- nothing is written on a line after bytes on it that are no frame or a reply that was never asked for.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import strategies as st

from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.forwarding import ForwardRequest, ForwardResponse
from cometdoor.wire.frames import Frame, FrameDecoder, FrameError, Message, encode
from cometdoor.wire.peer_connection import PeerError, PendingCall
from simulation.exchange.expectations import ExchangeViolation
from simulation.exchange.peer_calls import PEER_ADDRESS, forward_request
from simulation.exchange.scripted_transports import (
    UNLIMITED_BYTES,
    ScriptedLoop,
    ScriptedTransport,
    scripted_loop,
)


@dataclass(frozen=True)
class SendCall:
    writable_bytes: int  # bytes until the machine's buffer is full, of a line that is dialled for it
    runs_loop: bool  # whether the loop turns before the next step


@dataclass(frozen=True)
class Reply:
    transport: int
    call: int
    copies: int
    chunks: int
    sixteenths_sent: int


@dataclass(frozen=True)
class SendUnexpected:
    """A reply to what was never asked for, or bytes that are no frame."""

    transport: int
    is_frame: bool


@dataclass(frozen=True)
class CloseConnection:
    transport: int
    is_reset: bool


@dataclass(frozen=True)
class Cancel:
    call: int


@dataclass(frozen=True)
class Wait:
    seconds: float


Step = SendCall | Reply | SendUnexpected | CloseConnection | Cancel | Wait


@dataclass
class CallRecord:
    """A call and its end."""

    id: str
    call: PendingCall | None = None
    outcomes: list[Message | PeerError] = field(default_factory=list)
    is_proven_unsent: bool = False


class FuzzRun:
    def __init__(self, loop: ScriptedLoop) -> None:
        self.loop = loop
        self.connections = PeerConnections(loop, lambda message, connection, call_id: None)
        self.calls: list[CallRecord] = []
        self.reply_bodies: dict[str, list[bytes]] = {}
        self.bytes_at_violation: dict[
            ScriptedTransport, int
        ] = {}  # bytes that were written when something unclear came

    def send_call(self, step: SendCall) -> None:
        self.loop.writable_bytes = step.writable_bytes
        call_record = CallRecord(str(len(self.calls)))
        self.calls.append(call_record)
        call = self.connections.call(
            PEER_ADDRESS, forward_request(call_record.id), lambda reply: self.on_ended(call_record, reply)
        )
        if isinstance(call, PeerError):
            self.on_ended(call_record, call)
        else:
            call_record.call = call

    def on_ended(self, call_record: CallRecord, reply: Message | PeerError) -> None:
        call_record.outcomes.append(reply)
        if len(call_record.outcomes) > 1:
            raise ExchangeViolation(f"call {call_record.id} ended twice")
        if isinstance(reply, PeerError):
            call_record.is_proven_unsent = not reply.may_have_arrived
        elif not isinstance(reply, ForwardResponse) or reply.body not in self.reply_bodies.get(
            call_record.id, []
        ):
            raise ExchangeViolation(f"call {call_record.id} got {reply}, which its peer never said to it")

    def calls_read(self, transport: ScriptedTransport) -> list[tuple[int, str]]:
        """Numbers and ids of the calls that the peer has read on that line."""
        try:
            frames = FrameDecoder().feed(bytes(transport.accepted))
        except FrameError as problem:
            raise ExchangeViolation(f"the peer can't read what was written: {problem}") from problem
        return [
            (frame.call_id, frame.message.attempt_id.decode())
            for frame in frames
            if isinstance(frame.message, ForwardRequest)
        ]

    def check(self) -> None:
        calls_read = [id for transport in self.loop.transports for _, id in self.calls_read(transport)]
        for call_record in self.calls:
            if call_record.is_proven_unsent and call_record.id in calls_read:
                raise ExchangeViolation(f"call {call_record.id} has not left, it is said, and was read")
        for transport, chunk_bytes in self.bytes_at_violation.items():
            if len(transport.accepted) > chunk_bytes:
                raise ExchangeViolation("a line carried more after something unclear")

    def apply(self, step: Step) -> None:
        open_transports = [transport for transport in self.loop.transports if not transport.is_closed]
        transport = (
            open_transports[getattr(step, "transport", 0) % len(open_transports)] if open_transports else None
        )
        match step:
            case SendCall():
                self.send_call(step)
                if not step.runs_loop:
                    return
            case Reply():
                if transport is not None and (calls_read := self.calls_read(transport)):
                    self._reply(transport, *calls_read[step.call % len(calls_read)], step)
            case SendUnexpected():
                if transport is not None:
                    frame = encode(
                        Frame(self.connections.last_call_id + 7, True, ForwardResponse(200, [], b"stray"))
                    )
                    transport.feed(frame if step.is_frame else b"\xff\xff\xff\xff")
                    self.bytes_at_violation[transport] = len(transport.accepted)
            case CloseConnection():
                if transport is not None:
                    transport.reset() if step.is_reset else transport.close_by_peer()
            case Cancel():
                if self.calls and (call := self.calls[step.call % len(self.calls)].call) is not None:
                    call_record = self.calls[step.call % len(self.calls)]
                    call_record.is_proven_unsent = call.cancel() or call_record.is_proven_unsent
            case Wait():
                self.loop.wait(step.seconds)
        self.loop.wait(0.001)
        self.check()

    def _reply(self, transport: ScriptedTransport, call_id: int, id: str, step: Reply) -> None:
        reply_bodies = self.reply_bodies.setdefault(id, [])
        reply_bodies.append(f"{id}/{len(reply_bodies)}".encode())
        frame = encode(Frame(call_id, True, ForwardResponse(200, [], reply_bodies[-1]))) * step.copies
        sent = frame[: len(frame) * step.sixteenths_sent // 16]
        chunk_bytes = max(len(sent) // step.chunks, 1)
        for offset in range(0, len(sent), chunk_bytes):
            transport.feed(sent[offset : offset + chunk_bytes])
        if len(sent) < len(frame):
            transport.reset()


def play(plan: list[Step]) -> None:
    """Raises ExchangeViolation."""
    with scripted_loop() as loop:
        run = FuzzRun(loop)
        run.connections._sweep()
        for step in plan:
            run.apply(step)
        loop.wait(3.0)  # a silent peer's line is closed by then
        run.check()
        for call_record in run.calls:
            if call_record.call is not None and call_record.call.on_reply is not None:
                raise ExchangeViolation(f"call {call_record.id} never ends")
        run.connections.close()


_transport_indexes = st.sampled_from([0, 0, 0, 1])
_steps: st.SearchStrategy[Step] = st.one_of(
    st.builds(SendCall, st.sampled_from([UNLIMITED_BYTES, UNLIMITED_BYTES, 60, 150]), st.booleans()),
    st.builds(SendCall, st.just(UNLIMITED_BYTES), st.booleans()),
    st.builds(
        Reply,
        _transport_indexes,
        st.integers(0, 5),
        st.sampled_from([1, 1, 2]),
        st.integers(1, 4),
        st.sampled_from([16, 16, 16, 3, 11]),
    ),
    st.builds(SendUnexpected, _transport_indexes, st.booleans()),
    st.builds(CloseConnection, _transport_indexes, st.booleans()),
    st.builds(Cancel, st.integers(0, 5)),
    st.builds(Wait, st.sampled_from([0.01, 0.3, 1.2])),
)
plans = st.lists(_steps, min_size=2, max_size=16)
