"""What a forwarder makes of the advice of several planners. No I/O.

Advice says of which servers a planner thinks ill, and how much of their weight they should keep. It only
shifts weight among servers that the forwarder's own list holds ready; what the decision module does beside
that is its own.

- A planner is believed wholly for `TRUST_MS`, then less and less, and not at all after `IGNORE_MS`. Ages are
  what the notes prove (wire.py), by the forwarder's own clock.
- Where planners contradict one another, the reading that changes least counts: one that errs or lies can't
  have a server shunned that another, as fresh, thinks well of. Older advice counts only where there is no
  fresh.
- Advice against more than half of the servers is nobody's fault or a lie: none of it is followed.
- Weight is taken away at once and given back slowly, so that nothing flaps.
- Subsets follow traffic: a forwarder with several times the mean of all is advised to rotate over as many
  times more servers. Here too the reading counts that changes least, and it is held for a time.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

import msgspec

from cometdoor.planning.judgement import LEAST, Verdict
from cometdoor.planning.reports import SERVER_ID
from cometdoor.planning.wire import MAX_BODY

TRUST_MS = 1_500.0  # three beats: two notes may be lost in a row
IGNORE_MS = 5_000.0  # a server that froze has mostly been listed or has recovered by then
DOUBLE_MS = 1_000.0  # weight that is given back doubles in so long: from the least to all in six seconds
MOST_SHUNNED = 0.5  # of the servers
STEPS = 100  # in which factors are told
TENTHS = 10  # in which a reach is told
MOST_REACH = 65_535  # tenths; beyond it every subset is the whole list
# Traffic moves by the hour, and each change of a subset costs handshakes and what was learned: a reach is
# believed and held for longer than what is said of a server's health, and changes only by so much.
REACH_IGNORE_MS = 60_000.0
REACH_HELD_MS = 10_000.0
REACH_STEP = 1.4


class Opinion(msgspec.Struct, array_like=True, frozen=True):
    server: bytes
    keep: int  # hundredths of its weight


class Advice(msgspec.Struct, array_like=True, frozen=True):
    is_whole: bool  # servers that are not named are well; else nothing is said of them
    opinions: list[Opinion]
    reach: int = 0  # the receiver's, in tenths, 10 at the least; 0: nothing is said of it


class BadAdvice(Exception):
    """The body can't be read, or says what can't be; the message says what."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Advice)


def make_advice(verdicts: dict[bytes, Verdict]) -> Advice:
    """What fits into one note; the worst first where not all do. Nothing is said of a reach."""
    order = sorted(verdicts, key=lambda server: (verdicts[server].factor, server))
    opinions: list[Opinion] = []
    room = MAX_BODY - 8  # heads of the two lists, the mark and the reach
    for server in order:
        opinion = Opinion(server, max(round(STEPS * verdicts[server].factor), 1))
        room -= len(_ENCODER.encode(opinion))
        if room < 0:
            break
        opinions.append(opinion)
    return Advice(len(opinions) == len(verdicts), opinions)


def write_advice(advice: Advice, reach: float | None = None) -> bytes:
    """A note's body; `reach`: the receiver's."""
    tenths = 0 if reach is None else min(max(round(TENTHS * reach), TENTHS), MOST_REACH)
    return _ENCODER.encode(Advice(advice.is_whole, advice.opinions, tenths))


def read_advice(body: bytes) -> Advice:
    try:
        advice = _DECODER.decode(body)
    except msgspec.DecodeError as problem:
        raise BadAdvice(str(problem)) from None
    for opinion in advice.opinions:
        if len(opinion.server) != SERVER_ID:
            raise BadAdvice(f"a server's id of {len(opinion.server)} bytes")
        if not 1 <= opinion.keep <= STEPS:
            raise BadAdvice(f"{opinion.keep} hundredths of a weight")
    if advice.reach and not TENTHS <= advice.reach <= MOST_REACH:
        raise BadAdvice(f"a reach of {advice.reach} tenths")
    return advice


@dataclass(slots=True)
class _Heard:
    written_ms: float  # at the latest, by the own clock
    is_whole: bool
    keep: dict[bytes, float]


class Counsel:
    """The advice of all planners as one."""

    def __init__(self) -> None:
        self._heard: dict[int, _Heard] = {}
        self._followed: dict[bytes, float] = {}  # below 1; what is not here keeps all
        self._at_ms: float | None = None
        self._reaches: dict[int, tuple[float, float]] = {}  # by planner: when it was written, and the reach
        self._reach = 1.0
        self._reach_ms = -math.inf  # when it last changed

    def receive(self, planner: int, advice: Advice, age_ms: float | None, now_ms: float) -> bool:
        """`age_ms`: at most so long ago it was written, as its note proves. Whether it was taken: what is
        older than what was had of the planner already is not."""
        if age_ms is None or age_ms > IGNORE_MS:
            return False
        known = self._heard.get(planner)
        if known is not None and known.written_ms > now_ms - age_ms:
            return False
        self._heard[planner] = _Heard(
            now_ms - age_ms,
            advice.is_whole,
            {opinion.server: opinion.keep / STEPS for opinion in advice.opinions},
        )
        if advice.reach:
            self._reaches[planner] = now_ms - age_ms, advice.reach / TENTHS
        return True

    def reach(self, most: float, now_ms: float) -> float:
        """How many times as many servers as by itself the forwarder should use. `most`: that its own traffic
        bears."""
        for planner, (written_ms, _) in list(self._reaches.items()):
            if now_ms - written_ms > REACH_IGNORE_MS:
                del self._reaches[planner]
        fresh = [reach for written_ms, reach in self._reaches.values() if now_ms - written_ms <= IGNORE_MS]
        told = fresh or [reach for _, reach in self._reaches.values()]
        wanted = max(min(min(told, default=1.0), most), 1.0)
        # Back to what needs no advice is no flapping, wherever it starts from.
        changes = (
            wanted > self._reach * REACH_STEP
            or wanted * REACH_STEP < self._reach
            or (wanted == 1.0 and not told)
        )
        if changes and wanted != self._reach and now_ms - self._reach_ms >= REACH_HELD_MS:
            self._reach, self._reach_ms = wanted, now_ms
        return self._reach

    def follow(self, servers: Collection[bytes], now_ms: float) -> dict[bytes, float]:
        """Of the servers that the own list holds ready, those to be given less, and which part of their
        weight they keep."""
        wanted = self._wanted(servers, now_ms)
        if len(wanted) > MOST_SHUNNED * len(servers):
            wanted = {}
        since_ms = 0.0 if self._at_ms is None else now_ms - self._at_ms
        self._at_ms = now_ms
        followed = {}
        for server in servers:
            keep, before = wanted.get(server, 1.0), self._followed.get(server, 1.0)
            if keep > before:
                keep = min(keep, before * 2.0 ** (since_ms / DOUBLE_MS))
            if keep < 1.0:
                followed[server] = max(keep, LEAST)
        self._followed = followed
        return dict(followed)

    def _wanted(self, servers: Collection[bytes], now_ms: float) -> dict[bytes, float]:
        for planner in [
            planner for planner, heard in self._heard.items() if now_ms - heard.written_ms > IGNORE_MS
        ]:
            del self._heard[planner]
        wanted = {}
        named = {server for heard in self._heard.values() for server in heard.keep}
        for server in named.intersection(servers):
            voices = [
                (self._trust(heard, now_ms), heard.keep.get(server, 1.0))
                for heard in self._heard.values()
                if heard.is_whole or server in heard.keep
            ]
            # Who may be dead by now has no say beside those that are not: neither for a server nor against
            # it.
            present = [keep for trust, keep in voices if trust == 1.0]
            fading = [keep**trust for trust, keep in voices if keep < 1.0]
            wanted[server] = max(present or fading, default=1.0)
        return {server: keep for server, keep in wanted.items() if keep < 1.0}

    @staticmethod
    def _trust(heard: _Heard, now_ms: float) -> float:
        age_ms = now_ms - heard.written_ms
        return min(max((IGNORE_MS - age_ms) / (IGNORE_MS - TRUST_MS), 0.0), 1.0)
