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

from cometdoor.http.upstream import Answer
from lab.exchange.callers import LONG_S, CallerHop, request
from lab.exchange.judge import Wrong
from lab.exchange.wires import scripted

OWN_WORDS = (400, 408)
ANSWER = re.compile(rb"HTTP/1\.1 (\d+) [^\r]*\r\n(?:[^\r]+\r\n)*\r\n(\d*)")


@dataclass(frozen=True)
class Send:
    """Requests, one behind the other; a spoilt one bears a byte that can't be."""

    spoilt: tuple[bool, ...]
    pieces: int
    sixteenths: int  # so much of them is sent; 16: all


@dataclass(frozen=True)
class Serve:
    pass


@dataclass(frozen=True)
class Wait:
    """Until the limits of time are past."""


@dataclass(frozen=True)
class Leave:
    is_reset: bool


Step = Send | Serve | Wait | Leave


class Fuzzed:
    def __init__(self, hop: CallerHop) -> None:
        self.hop = hop
        self.whole: list[str] = []  # ids of good requests that were sent whole, before anything spoilt
        self.sent = 0
        self.is_clear = True
        self.served: list[str] = []

    def take(self, step: Step) -> None:
        hop = self.hop
        match step:
            case Send():
                self._send(step)
            case Serve():
                if hop.connection.request is not None:
                    id = hop.connection.request.trace.decode()
                    self.served.append(id)
                    hop.connection.served(Answer(200, [], id.encode()))
                else:
                    hop.connection.served(Answer(200, [], b"nobody"))
            case Wait():
                for _ in range(3):
                    hop.loop.now += LONG_S
                    hop.front._sweep()
            case Leave():
                hop.wire.reset() if step.is_reset else hop.wire.end()
        hop.loop.wait(0.001)
        self.check()

    def _send(self, step: Send) -> None:
        data = b""
        cut = sum(len(self._request(place, spoilt)[1]) for place, spoilt in enumerate(step.spoilt))
        cut = cut * step.sixteenths // 16
        for place, spoilt in enumerate(step.spoilt):
            id, one = self._request(place, spoilt)
            data += one
            self.is_clear = self.is_clear and not spoilt
            if self.is_clear and len(data) <= cut:
                self.whole.append(id)
        self.sent += len(step.spoilt)
        self.is_clear = self.is_clear and cut == len(data)
        data = data[:cut]
        size = max(len(data) // step.pieces, 1)
        for place in range(0, len(data), size):
            self.hop.wire.feed(data[place : place + size])

    def _request(self, place: int, spoilt: bool) -> tuple[str, bytes]:
        id = str(self.sent + place)
        whole = request(id)
        return id, whole.replace(b"Host: a", b"Host: \x00") if spoilt else whole

    def check(self) -> None:
        taken = self.hop.taker.taken
        if taken != self.whole[: len(taken)]:
            raise Wrong(f"{taken} were handed on, {self.whole} were sent whole")
        answers = ANSWER.findall(bytes(self.hop.wire.taken))
        good = [body.decode() for status, body in answers if int(status) == 200]
        if good != self.served[: len(good)] or b"nobody" in self.hop.wire.taken:
            raise Wrong(f"answers {good} to requests {self.served}")
        others = [int(status) for status, _ in answers if int(status) != 200]
        if len(others) > 1 or any(status not in OWN_WORDS for status in others):
            raise Wrong(f"the connection's own words: {others}")


def play(plan: list[Step]) -> None:
    """Raises Wrong."""
    with scripted() as loop:
        run = Fuzzed(CallerHop(loop))
        for step in plan:
            run.take(step)


_steps: st.SearchStrategy[Step] = st.one_of(
    st.builds(
        Send,
        st.lists(st.sampled_from([False, False, False, True]), min_size=1, max_size=4).map(tuple),
        st.integers(1, 9),
        st.sampled_from([16, 16, 16, 5, 11]),
    ),
    st.just(Serve()),
    st.just(Serve()),
    st.one_of(st.just(Wait()), st.builds(Leave, st.booleans()), st.just(Serve())),
)
plans = st.lists(_steps, min_size=2, max_size=12)
