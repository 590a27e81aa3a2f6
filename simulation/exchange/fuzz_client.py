"""Callers whose requests come in pieces, several at once, cut, spoilt or not at all, drawn by `hypothesis`.

Each caller sends whole requests, some of them spoilt, and may stop anywhere. Then

- what is handed on are the whole requests that were sent, in order, and nothing behind a spoilt one;
- an answer is given to the request that is in hand, in turn, and there is none without a request;
- a request of which nothing was handed on is answered by 400 or 408, or by nothing.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from hypothesis import strategies as st

from cometdoor.http.messages import Response
from simulation.exchange.client_requests import PAST_ALL_TIMEOUTS_S, ClientRequestPlayer, request
from simulation.exchange.expectations import ExchangeViolation
from simulation.exchange.scripted_transports import scripted_loop

ERROR_STATUSES = (400, 408)
ANSWER = re.compile(rb"HTTP/1\.1 (\d+) [^\r]*\r\n(?:[^\r]+\r\n)*\r\n(\d*)")


@dataclass(frozen=True)
class Send:
    """Requests, one behind the other; a spoilt one bears a byte that can't be."""

    malformed: tuple[bool, ...]
    chunks: int
    sixteenths_sent: int  # so much of them is sent; 16: all


@dataclass(frozen=True)
class Respond:
    pass


@dataclass(frozen=True)
class Wait:
    """Until the limits of time are past."""


@dataclass(frozen=True)
class Disconnect:
    is_reset: bool


Step = Send | Respond | Wait | Disconnect


class FuzzRun:
    def __init__(self, hop: ClientRequestPlayer) -> None:
        self.hop = hop
        self.complete_ids: list[str] = []  # ids of good requests that were sent whole, before anything spoilt
        self.sent = 0
        self.is_well_formed = True
        self.responded_ids: list[str] = []

    def apply(self, step: Step) -> None:
        hop = self.hop
        match step:
            case Send():
                self._send(step)
            case Respond():
                if hop.connection.request is not None:
                    id = hop.connection.request.trace.decode()
                    self.responded_ids.append(id)
                    hop.connection.on_response(Response(200, [], id.encode()))
                else:
                    hop.connection.on_response(Response(200, [], b"nobody"))
            case Wait():
                for _ in range(3):
                    hop.loop.now += PAST_ALL_TIMEOUTS_S
                    hop.frontend._sweep()
            case Disconnect():
                hop.transport.reset() if step.is_reset else hop.transport.close_by_peer()
        hop.loop.wait(0.001)
        self.check()

    def _send(self, step: Send) -> None:
        data = b""
        cut_at = sum(
            len(self._request(index, malformed)[1]) for index, malformed in enumerate(step.malformed)
        )
        cut_at = cut_at * step.sixteenths_sent // 16
        for index, malformed in enumerate(step.malformed):
            id, request_bytes = self._request(index, malformed)
            data += request_bytes
            self.is_well_formed = self.is_well_formed and not malformed
            if self.is_well_formed and len(data) <= cut_at:
                self.complete_ids.append(id)
        self.sent += len(step.malformed)
        self.is_well_formed = self.is_well_formed and cut_at == len(data)
        data = data[:cut_at]
        chunk_bytes = max(len(data) // step.chunks, 1)
        for index in range(0, len(data), chunk_bytes):
            self.hop.transport.feed(data[index : index + chunk_bytes])

    def _request(self, index: int, malformed: bool) -> tuple[str, bytes]:
        id = str(self.sent + index)
        complete_ids = request(id)
        return id, complete_ids.replace(b"Host: a", b"Host: \x00") if malformed else complete_ids

    def check(self) -> None:
        accepted = self.hop.handler.accepted
        if accepted != self.complete_ids[: len(accepted)]:
            raise ExchangeViolation(f"{accepted} were handed on, {self.complete_ids} were sent whole")
        answers = ANSWER.findall(bytes(self.hop.transport.accepted))
        successes = [body.decode() for status, body in answers if int(status) == 200]
        if successes != self.responded_ids[: len(successes)] or b"nobody" in self.hop.transport.accepted:
            raise ExchangeViolation(f"answers {successes} to requests {self.responded_ids}")
        errors = [int(status) for status, _ in answers if int(status) != 200]
        if len(errors) > 1 or any(status not in ERROR_STATUSES for status in errors):
            raise ExchangeViolation(f"the connection's own words: {errors}")


def play(plan: list[Step]) -> None:
    """Raises ExchangeViolation."""
    with scripted_loop() as loop:
        run = FuzzRun(ClientRequestPlayer(loop))
        for step in plan:
            run.apply(step)


_steps: st.SearchStrategy[Step] = st.one_of(
    st.builds(
        Send,
        st.lists(st.sampled_from([False, False, False, True]), min_size=1, max_size=4).map(tuple),
        st.integers(1, 9),
        st.sampled_from([16, 16, 16, 5, 11]),
    ),
    st.just(Respond()),
    st.just(Respond()),
    st.one_of(st.just(Wait()), st.builds(Disconnect, st.booleans()), st.just(Respond())),
)
plans = st.lists(_steps, min_size=2, max_size=12)
