"""Backends that split, cut, double, spoil and delay what they say, drawn by `hypothesis`.

A plan is a list of steps: requests, what the backend says on some connection, ends, time. The backend keeps
the truth: each request of which it was sent a byte has run, unless it turned it away. Requests are sent again
as their proxy does: those that may not run twice only where the door says that they have not run. Then

- an answer that is passed on is one that the backend gave to that very request, on that connection;
- what the door says has not run has not;
- nothing is written on a connection after anything unclear on it;
- no request that may not run twice has.

A backend that breaks off an answer says nothing more there: what would follow within the stated length can't
be told from the answer by anybody.
"""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import cast

from hypothesis import strategies as st

from cometdoor.dataplane.inbound_proxy import InboundProxy
from cometdoor.host.fair_share import DescriptorQuota
from cometdoor.wire.forwarding import ForwardRequest, ForwardResponse, NotExecuted
from cometdoor.wire.frames import Message
from cometdoor.wire.gossip import Backend
from cometdoor.wire.peer_connection import PeerConnection
from simulation.exchange.backend import (
    INSTANCE,
    SERVICE,
    serialize_head,
    serialize_rejection,
    serialize_response,
)
from simulation.exchange.expectations import ExchangeViolation
from simulation.exchange.scripted_transports import (
    UNLIMITED_BYTES,
    ScriptedLoop,
    ScriptedTransport,
    scripted_loop,
)

MAX_SENDS = 4  # of one request
TIMEOUT_MS = 400.0
START = re.compile(rb"POST /(\d+) ")


class ResponseForm(Enum):
    """What the backend says."""

    OWN = "the answer to the request"
    LATE_RESPONSE = "an answer that it gave before on this connection"
    UNKNOWN_ID = "an answer with an id of nobody"
    WITHOUT_ID = "an answer without an id"
    MALFORMED = "the answer with a byte that can't be"
    ENCODED = "the answer with a Content-Encoding"
    INTERIM = "an interim answer"
    LINE_END = "a line end"
    JUNK = "junk"


@dataclass(frozen=True)
class SendRequest:
    is_not_idempotent: bool
    writable_bytes: int  # bytes of it until the machine's buffer is full


@dataclass(frozen=True)
class SendBytes:
    transport: int
    forms: tuple[ResponseForm, ...]  # one behind the other
    executes: bool  # whether the request is run, if that is not settled yet
    status: int
    chunks: int
    sixteenths_sent: int  # so much of it is said; 16: all
    closes: bool  # with Connection: close


@dataclass(frozen=True)
class CloseConnection:
    transport: int
    is_reset: bool


@dataclass(frozen=True)
class Wait:
    seconds: float


@dataclass(frozen=True)
class AcceptMore:
    transport: int


@dataclass(frozen=True)
class CancelRequest:
    number: int


Step = SendRequest | SendBytes | CloseConnection | Wait | AcceptMore | CancelRequest


@dataclass
class BackendPeer:
    """The backend's end of one connection, and the truth of what was sent on it."""

    transport: ScriptedTransport
    answers: list[bytes | None] = field(default_factory=list)  # by request; None: it says none yet
    executed: list[bool] = field(default_factory=list)
    sent_responses: list[bytes] = field(
        default_factory=list
    )  # whole answers, in the order in which they were given
    has_truncated_response = False
    ambiguous_from: int | None = None  # requests that had begun when something unclear was said

    def ids(self) -> list[str]:
        """Of the requests that have begun; ids are numbers and stand in the path."""
        ids = [match.decode() for match in START.findall(bytes(self.transport.accepted))]
        while len(self.answers) < len(ids):
            self.answers.append(None)
            self.executed.append(True)
        return ids

    def mark_ambiguous(self) -> None:
        if self.ambiguous_from is None:
            self.ambiguous_from = len(self.ids())

    def check(self) -> None:
        started_count = len(self.ids())
        if self.ambiguous_from is not None and started_count > self.ambiguous_from:
            raise ExchangeViolation(
                f"request {self.ids()[-1]} on a connection on which something was unclear"
            )


class FakePeerConnection:
    """One try's place at the door."""

    def __init__(self, run: FuzzRun, id: str) -> None:
        self.cancel_callbacks: dict[int, object] = {}
        self._run, self._id = run, id

    def respond(self, number: int, message: Message) -> None:
        self.cancel_callbacks.pop(number, None)
        self._run.replied(self._id, message)


class FuzzRun:
    def __init__(self, loop: ScriptedLoop) -> None:
        self.loop = loop
        self.inbound_proxy = InboundProxy(loop, DescriptorQuota(100), 2.0)
        self.inbound_proxy.update_backend(Backend(INSTANCE, SERVICE, "127.0.0.1:80", "v1", 4, "ready"))
        self.peers: list[BackendPeer] = []
        self.is_not_idempotent: dict[str, bool] = {}
        self.sent: Counter[str] = Counter()
        self.response_bodies: dict[str, list[bytes]] = {}  # answers to runs of a request, by its id
        self.peer_connections: list[tuple[int, FakePeerConnection]] = []
        self.to_retry: list[str] = []
        self._serial = 0

    # --- the proxies that send requests ---

    def send(self, id: str) -> None:
        self.sent[id] += 1
        peer_connection = FakePeerConnection(self, id)
        self._serial += 1
        self.peer_connections.append((self._serial, peer_connection))
        target = f"/{id}".encode()
        run = ForwardRequest(
            id.encode(),
            b"POST",
            target,
            [],
            b"four",
            TIMEOUT_MS,
            TIMEOUT_MS,
            1,
            SERVICE,
            INSTANCE,
            self.is_not_idempotent[id],
        )
        self.inbound_proxy.accept(run, cast(PeerConnection, peer_connection), self._serial)
        self.settle()

    def replied(self, id: str, message: Message) -> None:
        if isinstance(message, ForwardResponse):
            headers = dict(message.headers)
            if headers.get(b"Cometdoor-Attempt-Id") != id.encode():
                raise ExchangeViolation(f"request {id} got an answer of {headers}")
            if message.body not in self.response_bodies.get(id, []):
                raise ExchangeViolation(
                    f"request {id} got {message.body!r}, which its backend never said to it"
                )
            return
        if isinstance(message, NotExecuted):
            # Of its tries only the last one can be meant, and those before were said not to have run.
            if self.executes(id):
                raise ExchangeViolation(f"request {id} has not run, it is said, and it has")
        elif self.is_not_idempotent[id]:
            return
        if self.sent[id] < MAX_SENDS:
            self.to_retry.append(id)

    def executes(self, id: str) -> int:
        """Of a request that may not run twice; others are not judged by it."""
        if not self.is_not_idempotent[id]:
            return 0
        return sum(
            executed
            for peer in self.peers
            for step_, executed in zip(peer.ids(), peer.executed, strict=False)
            if step_ == id
        )

    def settle(self) -> None:
        self.loop.wait(0.0005)
        self.peers += [BackendPeer(transport) for transport in self.loop.transports[len(self.peers) :]]
        for peer in self.peers:
            peer.check()
        for id, is_not_idempotent in self.is_not_idempotent.items():
            if is_not_idempotent and self.executes(id) > 1:
                raise ExchangeViolation(f"request {id} ran twice")

    # --- steps ---

    def apply(self, step: Step) -> None:
        match step:
            case SendRequest():
                id = str(len(self.is_not_idempotent))
                self.is_not_idempotent[id] = step.is_not_idempotent
                self.loop.writable_bytes = step.writable_bytes
                self.send(id)
            case SendBytes():
                if (peer := self._peer(step.transport)) and not peer.has_truncated_response:
                    self._send_bytes(peer, step)
            case CloseConnection():
                if peer := self._peer(step.transport):
                    peer.mark_ambiguous()
                    peer.transport.reset() if step.is_reset else peer.transport.close_by_peer()
            case Wait():
                self.loop.wait(step.seconds)
            case AcceptMore():
                if peer := self._peer(step.transport):
                    peer.transport.accept_more()
            case CancelRequest():
                number, peer_connection = (
                    self.peer_connections[step.number % len(self.peer_connections)]
                    if self.peer_connections
                    else (0, None)
                )
                if peer_connection is not None and (
                    stop := peer_connection.cancel_callbacks.pop(number, None)
                ):
                    stop()  # type: ignore[operator]
        self.settle()
        to_retry, self.to_retry = self.to_retry, []
        for id in to_retry:
            self.loop.wait(0.06)  # a connection rests that long before it is used again
            self.settle()
            self.send(id)

    def _peer(self, number: int) -> BackendPeer | None:
        """Those on which a request waits come first, and among them the last one that was opened."""
        open_peers = [peer for peer in reversed(self.peers) if not peer.transport.is_closed]
        open_peers.sort(key=lambda peer: not (peer.ids() and peer.answers[-1] is None))
        return open_peers[number % len(open_peers)] if open_peers else None

    def _send_bytes(self, peer: BackendPeer, step: SendBytes) -> None:
        was_awaited = bool(peer.ids()) and peer.answers[-1] is None
        data = b"".join(self._bytes_of(peer, form, step) for form in step.forms)
        sent_responses = data[: len(data) * step.sixteenths_sent // 16]
        if not sent_responses:
            return
        is_own = was_awaited and sent_responses == peer.answers[-1] and not step.closes
        if not is_own:
            peer.mark_ambiguous()
            peer.has_truncated_response = len(sent_responses) < len(data)
        if peer.transport.get_write_buffer_size() or peer.transport.writable_bytes == 0:
            peer.mark_ambiguous()  # it is said to half a request
        chunk_bytes = max(len(sent_responses) // step.chunks, 1)
        for offset in range(0, len(sent_responses), chunk_bytes):
            peer.transport.feed(sent_responses[offset : offset + chunk_bytes])
        self.settle()

    def _bytes_of(self, peer: BackendPeer, form: ResponseForm, step: SendBytes) -> bytes:
        ids = peer.ids()
        is_awaited = bool(ids) and peer.answers[-1] is None
        match form:
            case ResponseForm.LATE_RESPONSE:
                return (
                    peer.sent_responses[step.status % len(peer.sent_responses)]
                    if peer.sent_responses
                    else b""
                )
            case ResponseForm.UNKNOWN_ID:
                return serialize_response("999")
            case ResponseForm.WITHOUT_ID:
                return serialize_response("")
            case ResponseForm.INTERIM:
                return serialize_head(103) if is_awaited else b""
            case ResponseForm.LINE_END:
                return b"\r\n"
            case ResponseForm.JUNK:
                return b"junk"
        if not is_awaited:
            return peer.sent_responses[-1] if peer.sent_responses else b""
        response = self._answer(peer, ids[-1], step)
        peer.sent_responses.append(response)
        if form is ResponseForm.OWN:
            return response
        status_line_end = response.index(b"\r\n") + 2
        return (
            response[:status_line_end]
            + (b"X: \x00\r\n" if form is ResponseForm.MALFORMED else b"Content-Encoding: br\r\n")
            + response[status_line_end:]
        )

    def _answer(self, peer: BackendPeer, id: str, step: SendBytes) -> bytes:
        close = [("Connection", "close")] if step.closes else []
        self._serial += 1
        if step.executes:
            body = f"{id}/{self._serial}".encode()
            self.response_bodies.setdefault(id, []).append(body)
            response = serialize_response(id, step.status, *close, body=body)
        else:
            peer.executed[-1] = False
            response = serialize_rejection(id, 503, *close)
        peer.answers[-1] = response
        return response


def play(plan: list[Step]) -> None:
    """Raises ExchangeViolation."""
    with scripted_loop() as loop:
        run = FuzzRun(loop)
        for step in plan:
            run.apply(step)
        loop.wait(8.0)  # whatever waits is over by then
        run.settle()
        if run.inbound_proxy.in_flight_count():
            raise ExchangeViolation("a slot is never free again")


_transport_indexes = st.sampled_from([0, 0, 0, 1, 2])
_statuses = st.sampled_from([200, 200, 200, 404, 500, 503])
_forms = st.one_of(
    st.just((ResponseForm.OWN,)),
    st.sampled_from(list(ResponseForm)).map(lambda form: (form,)),
    st.sampled_from(list(ResponseForm)).map(lambda form: (ResponseForm.OWN, form)),
    st.lists(st.sampled_from(list(ResponseForm)), min_size=2, max_size=3).map(tuple),
)
_complete = st.just(16)
_sends = st.builds(
    SendBytes,
    _transport_indexes,
    _forms,
    st.booleans(),
    _statuses,
    st.integers(1, 5),
    st.one_of(_complete, _complete, st.integers(1, 16)),
    st.sampled_from([False, False, False, True]),
)
_clean = st.builds(
    SendBytes,
    st.just(0),
    st.just((ResponseForm.OWN,)),
    st.booleans(),
    _statuses,
    st.just(1),
    _complete,
    st.just(False),
)
_passes = st.builds(Wait, st.sampled_from([0.06, 0.06, 0.06, 0.01, 1.2]))
_ends = st.builds(CloseConnection, _transport_indexes, st.booleans())
_others = st.one_of(
    _sends,
    _passes,
    _ends,
    st.builds(AcceptMore, _transport_indexes),
    st.builds(CancelRequest, st.integers(0, 5)),
)
_round_plans: st.SearchStrategy[tuple[Step, ...]] = st.tuples(
    st.builds(
        SendRequest, st.booleans(), st.sampled_from([UNLIMITED_BYTES, UNLIMITED_BYTES, UNLIMITED_BYTES, 40])
    ),
    st.one_of(_clean, _sends, _sends, _ends),
    st.one_of(_passes, _passes, _sends, _others),
)
plans = st.lists(_round_plans, min_size=1, max_size=7).map(
    lambda round_plans: [step for step_ in round_plans for step in step_]
)
