"""A planner's picture of the servers, made of what forwarders report, and what it makes of it. No I/O.

A server is judged by witnesses: forwarders that sent to it lately. Each has one voice, however much it says,
and is measured against itself: who sees most servers fail has a bad way, and blames nobody. Servers are
measured against one another: where all are slow or all fail alike, as when the tier below is down, nobody is
to blame.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from statistics import median

from cometdoor.planning.reports import FINENESS, Failure, Report

FADE_MS = 3_000.0  # evidence fades with this time constant, as the module's own of failures does
FORGET_MS = 15_000.0  # who was not heard of for so long is forgotten: five constants
MAX_SERVERS = 20_000  # twice the largest fleet in view; beyond it the ones longest unheard of are forgotten
MAX_WITNESSES = 12  # of one server: more voices change no median, and memory is bounded by this
ENOUGH = 3.0  # calls, faded, that a voice rests on
# That must agree, where there are several forwarders: one alone may have a bad way there, or say nonsense. Of
# what it alone sends to it is its own judge.
VOICES = 2
# A call is late by so much, nothing is answered: beyond any pause of a healthy collector. Measured by its age
# alone, 400 ms at first, healthy servers with work of 0.2 s and more were named: 118 in 32 seeded fleets.
FROZEN_MS = 400.0
LAG_MS = 200.0  # by which times in reports may be off: the way, and tenths of a second
# Reports of answers that the median server had since the last answer of one that stands still: by chance that
# happens to one in e**6 that are well, and voices must say so beside. Counted over the same time for all, a
# slowdown that all share blames nobody; against a mean of the last seconds it named six in 24 fleets.
MISSED = 6
# And so many nats of the voices: each call that was lost in silence, or is out for too long, is as rare as
# calls fail at the median server, so three where few do. By heads alone, or by two such calls, a healthy
# server was named in two and three of 32 fleets under a shared slowdown; by three in one.
SILENT = 8.0
SLOW = 1.0  # doublings above the median server from where on a server is slow
# So many times what chance does with the calls at hand: 300 servers are judged four times a second, and none
# that is well may be named in days. With no such bound seeded fleets that are well have servers named slow
# and failing (tests/planning/test_judgement.py).
SURE = 5.0
SPREAD = 1.85  # doublings: deviation of log2 of an exponentially distributed time, pi / sqrt(6) / ln 2
CHANCE = 0.05  # of calls that fail or are overtaken where all is well: the part that backup copies may have
FAILING = 0.3  # of what the median server gets done it fails so much more
# A sick server that nobody sends to shows nothing. For so long the last verdict then stands, unless it
# answers something. Without that a frozen server had a fifth of its weight back after 6 s.
STANDS_MS = 10_000.0
TRAFFIC_MS = 20_000.0  # over which a forwarder's traffic is measured: 40 calls where it has two a second
COUNTED = 20.0  # sends that it rests on before anything is made of it: to within a quarter
LEAST = 0.02  # of its weight a sick server keeps, so that its recovery is seen: as the module keeps by itself


class State(StrEnum):
    WELL = "well"
    SLOW = "slow"
    FAILING = "failing"
    FROZEN = "frozen"


@dataclass(frozen=True, slots=True)
class Verdict:
    state: State
    factor: float  # of its weight that it should keep, in (0, 1]
    voices: int  # of so many witnesses that say so
    witnesses: int


WELL = Verdict(State.WELL, 1.0, 0, 0)


@dataclass(slots=True)
class _Witness:
    """What one forwarder saw of one start of a server."""

    started: int
    at_ms: float
    answered: float = 0.0
    failed: float = 0.0
    log_sum: float = 0.0  # of answered ones, in doublings
    late_ms: float = 0.0  # of the latest call that was out
    silent_ms: float = -math.inf  # when calls that ended in silence were last reported, and none answered

    def fade(self, now_ms: float) -> None:
        kept = math.exp((self.at_ms - now_ms) / FADE_MS)
        self.answered *= kept
        self.failed *= kept
        self.log_sum *= kept
        self.at_ms = now_ms

    def calls(self) -> float:
        return self.answered + self.failed


@dataclass(slots=True)
class _Server:
    started: int  # the start that most witnesses name
    heard_ms: float
    known_ms: float  # since when they do
    starts_ms: dict[int, float] = field(default_factory=dict)  # all that are named, and since when
    witnesses: dict[int, _Witness] = field(default_factory=dict)
    answered_ms: float = -math.inf  # when it last answered, as far as is reported
    answers_ms: deque[float] = field(default_factory=lambda: deque(maxlen=MISSED))  # as last reported
    sick: Verdict | None = None  # the last one that was based on what was seen then
    sick_ms: float = -math.inf

    def answers(self, quiet_ms: float, now_ms: float) -> None:
        """It is reported to have answered; last so long ago. Counted from the report alone, answers that were
        reported a beat later held back the verdict on a server that had frozen meanwhile."""
        self.answers_ms.append(now_ms - quiet_ms)
        self.answered_ms = max(self.answered_ms, now_ms - quiet_ms)

    def settle_start(self, now_ms: float) -> None:
        """One witness alone moves nothing, whether its list lags or it says nonsense: taken at its word, each
        of its reports threw away what all others had seen."""
        named = Counter(
            witness.started for witness in self.witnesses.values() if now_ms - witness.at_ms < FADE_MS
        )
        self.starts_ms = {start: self.starts_ms.get(start, now_ms) for start in named}
        started = max(named, key=lambda start: (named[start], self.starts_ms[start]), default=self.started)
        if started != self.started:
            self.started, self.known_ms, self.answered_ms, self.sick = started, now_ms, -math.inf, None
            self.answers_ms.clear()

    def steady_ms(self) -> float:
        """Since when it has had MISSED reports of answers."""
        return min(self.answers_ms) if len(self.answers_ms) == MISSED else -math.inf


@dataclass(slots=True)
class _Forwarder:
    heard_ms: float
    sends: float = 0.0  # a second, of all requests, in the last beat
    warm_rate: float = 0.0  # sends in a ms to a warm server of weight 1
    servers: int = 0
    traffic: float = 0.0  # sends a second over TRAFFIC_MS, or as long as it is known
    known_ms: float = 0.0
    counted: float = 0.0  # sends

    def report(self, sends: int, now_ms: float) -> None:
        since_ms = now_ms - self.heard_ms
        if since_ms <= 0.0:
            return
        self.sends = 1000.0 * sends / since_ms
        self.known_ms += since_ms
        self.counted += sends
        self.traffic += min(since_ms / min(self.known_ms, TRAFFIC_MS), 1.0) * (self.sends - self.traffic)


class Picture:
    def __init__(self) -> None:
        self._usual_traffic = 0.0  # of the mean forwarder, as last counted
        self._servers: dict[bytes, _Server] = {}  # those heard of last at the end
        self._forwarders: dict[int, _Forwarder] = {}

    # --- what is heard ---

    def heard(self, number: int, report: Report, now_ms: float) -> None:
        known = self._forwarders.get(number)
        if known is None:
            known = self._forwarders[number] = _Forwarder(now_ms)
        else:
            known.report(report.sends, now_ms)
        known.heard_ms, known.warm_rate, known.servers = now_ms, report.warm_rate / 1e6, report.servers
        for entry in report.entries:
            server = self._servers.pop(entry.server, None) or _Server(entry.started, now_ms, now_ms)
            self._servers[entry.server] = server
            server.heard_ms = now_ms
            if entry.answered and entry.started == server.started:
                server.answers(100.0 * entry.quiet, now_ms)
            witness = self._witness(server, number, entry.started, now_ms)
            if witness is None:
                continue
            server.settle_start(now_ms)
            witness.fade(now_ms)
            # Turned away is no fault of the process: it is full, which its answer times show.
            failed = sum(entry.failures) - entry.failures[Failure.TURNED_AWAY]
            witness.answered += entry.answered
            witness.failed += failed
            witness.log_sum += entry.answered * entry.speed / FINENESS
            witness.late_ms = 100.0 * entry.late
            if not entry.answered and entry.failures[Failure.SILENT] + entry.failures[Failure.OVERTAKEN]:
                witness.silent_ms = now_ms
        while len(self._servers) > MAX_SERVERS:
            del self._servers[next(iter(self._servers))]

    @staticmethod
    def _witness(server: _Server, number: int, started: int, now_ms: float) -> _Witness | None:
        witness = server.witnesses.get(number)
        if witness is None or witness.started != started:
            if witness is None and len(server.witnesses) >= MAX_WITNESSES:
                oldest = min(server.witnesses, key=lambda known: server.witnesses[known].at_ms)
                if now_ms - server.witnesses[oldest].at_ms < FADE_MS:
                    return None
                del server.witnesses[oldest]
            witness = server.witnesses[number] = _Witness(started, now_ms)
        return witness

    def forget_old(self, now_ms: float) -> None:
        before = now_ms - FORGET_MS
        for number in [number for number, known in self._forwarders.items() if known.heard_ms < before]:
            del self._forwarders[number]
        for name in [name for name, server in self._servers.items() if server.heard_ms < before]:
            del self._servers[name]
        for server in self._servers.values():
            for number in [number for number, known in server.witnesses.items() if known.at_ms < before]:
                del server.witnesses[number]

    # --- what is made of it ---

    def reporting(self) -> int:
        return len(self._forwarders)

    def forwarders(self) -> Iterator[tuple[int, float, float, int]]:
        """Of each its number, when it was heard last, its requests a second and how many servers it lists."""
        for number, known in self._forwarders.items():
            yield number, known.heard_ms, known.sends, known.servers

    def servers(self) -> Collection[bytes]:
        return self._servers.keys()

    def start(self, server: bytes) -> tuple[int, float]:
        """Which start of it most forwarders name, and since when. Raises KeyError for one never heard of."""
        known = self._servers[server]
        return known.started, known.known_ms

    def warm_rate(self) -> float:
        """Sends in a ms that a warm server of weight 1 bears from all forwarders that report. One that says
        nonsense moves it by no more than twice what the usual one sends."""
        rates = [known.warm_rate for known in self._forwarders.values()]
        if not rates:
            return 0.0
        most = 2.0 * median(rates)
        return sum(min(rate, most) for rate in rates)

    def count_traffic(self) -> None:
        """Of one that says nonsense no more counts than all others have together."""
        rates = [known.traffic for known in self._forwarders.values()]
        largest, whole = max(rates, default=0.0), sum(rates)
        self._usual_traffic = min(whole, 2.0 * (whole - largest)) / len(rates) if rates else 0.0

    def reach(self, number: int) -> float | None:
        """Over how many times as many servers as the mean forwarder this one should spread what it sends, so
        that each server of its subset gets no more of it than of the others'. None: that can't be told."""
        known = self._forwarders.get(number)
        if known is None or known.counted < COUNTED or not self._usual_traffic:
            return None
        return max(known.traffic / self._usual_traffic, 1.0)

    def judge(self, now_ms: float) -> dict[bytes, Verdict]:
        """By server; those that are well are left out."""
        evidence = {name: list(self._voices(server, now_ms)) for name, server in self._servers.items()}
        bad_ways = self._bad_ways(evidence)
        speeds = [
            speed
            for voices in evidence.values()
            if (speed := _median([voice.speed for voice in voices])) is not None
        ]
        works = [
            work
            for voices in evidence.values()
            if (work := _median([voice.works for voice in voices])) is not None
        ]
        steady_ms = median(
            [self._servers[name].steady_ms() for name, voices in evidence.items() if voices] or [-math.inf]
        )
        usual_speed = median(speeds) if speeds else 0.0
        usual_works = median(works) if works else 1.0
        found = {}
        needed = min(VOICES, len(self._forwarders))
        for name, voices in evidence.items():
            fair = [voice for voice in voices if voice.number not in bad_ways]
            server = self._servers[name]
            is_missed = max(server.answered_ms, server.known_ms) < steady_ms
            verdict = _verdict(fair, needed, usual_speed, usual_works, is_missed)
            if verdict.state is not State.WELL:
                found[name] = verdict
        frozen = [name for name, verdict in found.items() if verdict.state is State.FROZEN]
        if 2 * len(frozen) > sum(bool(voices) for voices in evidence.values()):
            for name in frozen:  # what they wait for stands still, or the ways to them all
                del found[name]
        for name, server in self._servers.items():
            if name in found:
                server.sick, server.sick_ms = found[name], now_ms
            elif server.sick is not None:
                if server.answered_ms > server.sick_ms or now_ms - server.sick_ms > STANDS_MS:
                    server.sick = None
                elif name not in frozen:
                    found[name] = server.sick
        return found

    def _voices(self, server: _Server, now_ms: float) -> Iterator[_Voice]:
        for number, witness in server.witnesses.items():
            if witness.started != server.started:
                continue
            kept = math.exp((witness.at_ms - now_ms) / FADE_MS)
            # What anybody had answered meanwhile shows that it does not stand still: work is heavy or queues.
            # And what was out at the last report may be answered by now: no lateness is added to it.
            is_late = (
                witness.late_ms > FROZEN_MS
                and now_ms - witness.at_ms < FADE_MS
                and server.answered_ms < witness.at_ms - witness.late_ms + LAG_MS
            )
            is_silent = max(server.answered_ms, now_ms - FADE_MS) < witness.silent_ms
            is_stuck = is_late or is_silent
            answered, calls = witness.answered * kept, witness.calls() * kept
            yield _Voice(
                number,
                answered=answered,
                failed=witness.failed * kept,
                speed=witness.log_sum / witness.answered if answered >= ENOUGH else None,
                works=witness.answered / witness.calls() if calls >= ENOUGH else None,
                is_stuck=is_stuck,
                answers=answered >= 1.0,
            )

    @staticmethod
    def _bad_ways(evidence: dict[bytes, list[_Voice]]) -> set[int]:
        """Forwarders that see at least half of their servers fail or stand still, while others do not."""
        seen: dict[int, list[bool]] = {}
        for voices in evidence.values():
            for voice in voices:
                if voice.works is not None or voice.is_stuck:
                    seen.setdefault(voice.number, []).append(
                        voice.is_stuck or (voice.works is not None and voice.works < 1.0 - FAILING)
                    )
        shares = {number: sum(bad) / len(bad) for number, bad in seen.items() if len(bad) >= VOICES}
        usual = median(shares.values()) if shares else 0.0
        return {number for number, share in shares.items() if share >= 0.5 and share > usual + 0.25}


@dataclass(frozen=True, slots=True)
class _Voice:
    number: int
    answered: float  # calls
    failed: float
    speed: float | None  # mean of log2(answer time / aim)
    works: float | None  # share of calls that were answered
    is_stuck: bool
    answers: bool


def _median(values: list[float | None]) -> float | None:
    known = [value for value in values if value is not None]
    return median(known) if known else None


def _verdict(
    voices: list[_Voice], needed: int, usual_speed: float, usual_works: float, is_missed: bool
) -> Verdict:
    stuck = sum(voice.is_stuck for voice in voices)
    well = sum(voice.answers and not voice.is_stuck for voice in voices)
    lost = sum(max(voice.failed, 1.0) for voice in voices if voice.is_stuck)
    by_chance = lost * -math.log(max(1.0 - usual_works, CHANCE)) < SILENT
    if is_missed and stuck >= needed and stuck > well and (needed == 1 or not by_chance):
        return Verdict(State.FROZEN, LEAST, stuck, len(voices))
    failing = [
        voice.works / usual_works
        for voice in voices
        if voice.works is not None and voice.works < usual_works * (1.0 - FAILING)
    ]
    able = sum(voice.works is not None for voice in voices)
    if len(failing) >= needed and 2 * len(failing) > able and _surely_fails(voices, usual_works):
        return Verdict(State.FAILING, max(median(failing) ** 4, LEAST), len(failing), len(voices))
    slow = [
        voice.speed - usual_speed
        for voice in voices
        if voice.speed is not None and voice.speed > usual_speed + SLOW
    ]
    timed = sum(voice.speed is not None for voice in voices)
    answered = sum(voice.answered for voice in voices if voice.speed is not None)
    if len(slow) >= needed and 2 * len(slow) > timed and median(slow) > SURE * SPREAD / math.sqrt(answered):
        return Verdict(State.SLOW, max(0.5 ** median(slow), LEAST), len(slow), len(voices))
    return WELL


def _surely_fails(voices: list[_Voice], usual_works: float) -> bool:
    calls = sum(voice.answered + voice.failed for voice in voices)
    usual = 1.0 - usual_works
    excess = sum(voice.failed for voice in voices) - calls * usual
    return excess > SURE * math.sqrt(calls * max(usual, CHANCE))
