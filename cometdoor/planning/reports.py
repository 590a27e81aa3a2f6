"""What a forwarder saw of its servers, summed up for planners. No I/O.

A report is the body of one note, however many servers there are. What does not fit waits: half of the places
go to what is most surprising, the others to what was not reported for longest. Nothing is lost by waiting:
sums go on until they are reported.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from hashlib import blake2s
from random import Random

import msgspec

from cometdoor.planning.wire import MAX_BODY
from jasperhall.api import Outcome

BEAT_MS = 500.0  # a server that froze is held by someone at once; two beats later a planner can know
JITTER = 0.2  # of a beat, to either side: planners get an even stream whatever forwarders do together
SERVER_ID = 6  # bytes of a hash: among 10,000 servers two alike come once in five million fleets
FINENESS = 8  # steps to a doubling in which answer times are told
# Doublings of the usual answer time from where on a call that was called off tells against its server. Its
# copy was mostly answered first: a server that stands still is hardly ever seen to time out. Over sockets, 90
# requests a second at each of five proxies, no planner found it while these calls went untold.
OVERDUE = 1.0
# And from where on a call that is still out does. Of exponentially spread times, whose mean is 1.8 times what
# their logarithms' mean gives, one in ninety is longer.
LATE = 3.0
USUAL_CALLS = 50.0  # that the usual answer time rests on
MOST_SENDS = 1_000_000  # in a beat: some hundred times what one core forwards
MOST = 127  # of what one byte of msgpack holds; larger counts are told as this many
SURPRISE_SHARE = 0.5  # of the places


class Failure(IntEnum):
    """Kinds, as places in an entry."""

    NO_CONNECTION = 0
    LOST = 1  # reset, or an error of its own: it may have run
    SILENT = 2  # no answer in time
    TURNED_AWAY = 3
    OVERTAKEN = 4  # called off when most calls would have been answered: its copy was, as a rule


KINDS = {
    Outcome.CONNECT_FAILED: Failure.NO_CONNECTION,
    Outcome.RESET: Failure.LOST,
    Outcome.CUT: Failure.LOST,
    Outcome.ERROR: Failure.LOST,
    Outcome.TIMEOUT: Failure.SILENT,
    Outcome.FULL: Failure.TURNED_AWAY,
}


def server_id(name: str) -> bytes:
    return blake2s(name.encode(), digest_size=SERVER_ID).digest()


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One server in a report, since it was last reported."""

    server: bytes
    started: int  # which start of it the list names, as a number of 16 bits; 0: long ago
    answered: int
    failures: tuple[int, int, int, int, int]  # by kind
    speed: int  # mean of log2(answer time / aim of its class), in steps of 1/FINENESS; of those answered
    quiet: int  # tenths of a second since its last answer; MOST: none, or longer ago
    late: int  # tenths of a second by which the latest of them is beyond 2**LATE times the usual


class Report(msgspec.Struct, array_like=True, frozen=True):
    beat: int  # counts up
    sends: int  # of all requests, since the last beat
    warm_rate: int  # sends in 1000 s to a warm server of weight 1
    servers: int  # that the forwarder may send to
    entries: list[Entry]


class BadReport(Exception):
    """The body can't be read, or says what can't be; the message says what."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Report)


def read_report(body: bytes) -> Report:
    try:
        report = _DECODER.decode(body)
    except msgspec.DecodeError as problem:
        raise BadReport(str(problem)) from None
    if min(report.beat, report.sends, report.warm_rate, report.servers) < 0:
        raise BadReport("a count below 0")
    if report.sends > MOST_SENDS:
        raise BadReport(f"{report.sends} sends in a beat")
    for entry in report.entries:
        if len(entry.server) != SERVER_ID:
            raise BadReport(f"a server's id of {len(entry.server)} bytes")
        if min(entry.answered, entry.quiet, entry.late, entry.started, *entry.failures) < 0:
            raise BadReport("a count below 0")
        if max(entry.answered, entry.quiet, entry.late, *entry.failures, abs(entry.speed)) > MOST:
            raise BadReport("a count that no forwarder tells")
    return report


@dataclass(frozen=True, slots=True)
class _Held:
    """An attempt that is out."""

    sent_at: float
    aim_ms: float


@dataclass(slots=True)
class _Seen:
    """What was seen of one server since it was last reported."""

    name: str
    started: int = 0
    answered: int = 0
    failures: list[int] = field(default_factory=lambda: [0] * len(Failure))
    log_sum: float = 0.0
    answered_at: float = -math.inf  # the last time; not only since the last report
    reported_at: float = -math.inf
    told_start: int = 0


class Reporter:
    """Is told what becomes of a forwarder's attempts, and makes its reports."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}
        self._held: dict[str, dict[tuple[str, int], _Held]] = {}  # by server: attempts that are out
        self._beat = 0
        self._sends = 0
        self._usual: float | None = None  # mean of log2(answer time / aim) of late

    # --- what happens ---

    def listed(self, servers: Iterable[tuple[str, int]]) -> None:
        """All servers that may be sent to, and which start of each the list names."""
        named = dict(servers)
        for name in self._seen.keys() - named.keys():
            del self._seen[name]
            self._held.pop(name, None)
        for name, started in named.items():
            seen = self._seen.get(name)
            if seen is None or seen.started != started:
                # What was seen of the process before tells nothing of the new one.
                self._seen[name] = _Seen(name, started)

    def sent(self, server: str, attempt: tuple[str, int], aim_ms: float, now_ms: float) -> None:
        self._sends += 1
        if server in self._seen:
            self._held.setdefault(server, {})[attempt] = _Held(now_ms, aim_ms)

    def ended(
        self, server: str, attempt: tuple[str, int], outcome: Outcome, aim_ms: float, now_ms: float
    ) -> None:
        held = self._held.get(server, {})
        out = held.pop(attempt, None)
        if not held:
            self._held.pop(server, None)
        seen = self._seen.get(server)
        if seen is None or out is None:
            return
        took = math.log2(max(now_ms - out.sent_at, 0.1) / aim_ms)
        if outcome is Outcome.OK:
            seen.answered += 1
            seen.answered_at = now_ms
            seen.log_sum += took
            self._usual = took if self._usual is None else self._usual + (took - self._usual) / USUAL_CALLS
        elif outcome is Outcome.CANCELLED:
            if self._usual is not None and took > self._usual + OVERDUE:
                seen.failures[Failure.OVERTAKEN] += 1
        elif outcome in KINDS:
            seen.failures[KINDS[outcome]] += 1

    # --- reports ---

    def report(self, warm_rate: float, now_ms: float) -> bytes:
        """`warm_rate`: sends in a ms to a warm server of weight 1. What is in the report starts anew."""
        self._beat += 1
        sends, self._sends = self._sends, 0
        mean = self._mean_speed()
        waiting = sorted(self._seen.values(), key=lambda seen: seen.reported_at)
        surprise = {seen.name: self._surprise(seen, mean, now_ms) for seen in waiting}
        surprising = sorted(
            (seen for seen in waiting if surprise[seen.name] > 0.0), key=lambda seen: -surprise[seen.name]
        )
        chosen: dict[str, _Seen] = {}
        report = Report(self._beat, sends, round(warm_rate * 1e6), len(self._seen), [])
        room = MAX_BODY - len(_ENCODER.encode(report)) - 2  # a list of over 15 has a longer head
        first = int(room * SURPRISE_SHARE)
        room += self._choose(surprising, chosen, report, first, now_ms) - first
        self._choose(waiting, chosen, report, room, now_ms)
        for seen in chosen.values():
            seen.answered, seen.log_sum, seen.failures = 0, 0.0, [0] * len(Failure)
            seen.reported_at, seen.told_start = now_ms, seen.started
        return _ENCODER.encode(report)

    def _choose(
        self, order: Iterable[_Seen], chosen: dict[str, _Seen], report: Report, room: int, now_ms: float
    ) -> int:
        """The room that is left."""
        for seen in order:
            if seen.name in chosen:
                continue
            entry = self._entry(seen, now_ms)
            size = len(_ENCODER.encode(entry))
            if size > room:
                break
            room -= size
            chosen[seen.name] = seen
            report.entries.append(entry)
        return room

    def _entry(self, seen: _Seen, now_ms: float) -> Entry:
        connect, lost, silent, turned, overtaken = (min(count, MOST) for count in seen.failures)
        speed = round(FINENESS * seen.log_sum / seen.answered) if seen.answered else 0
        return Entry(
            server_id(seen.name),
            seen.started,
            min(seen.answered, MOST),
            (connect, lost, silent, turned, overtaken),
            max(-MOST, min(speed, MOST)),
            int(min((now_ms - seen.answered_at) / 100.0, MOST)),
            min(int(max(self._late_ms(seen.name, now_ms), 0.0) / 100.0), MOST),
        )

    def _late_ms(self, server: str, now_ms: float) -> float:
        """By how much the latest call that is out there is later than any usually is. Until anything was
        answered the aim stands for the usual time."""
        held = self._held.get(server)
        if not held:
            return 0.0
        allowed: float = 2.0 ** ((self._usual or 0.0) + LATE)
        return max([now_ms - out.sent_at - allowed * out.aim_ms for out in held.values()])

    def _mean_speed(self) -> float:
        answered = sum(seen.answered for seen in self._seen.values())
        return sum(seen.log_sum for seen in self._seen.values()) / answered if answered else 0.0

    def _surprise(self, seen: _Seen, mean: float, now_ms: float) -> float:
        """0: as was to be expected."""
        late_s = self._late_ms(seen.name, now_ms) / 1000.0
        slow = abs(seen.log_sum - mean * seen.answered) / math.sqrt(seen.answered) if seen.answered else 0.0
        return (
            2.0 * sum(seen.failures)
            + max(late_s, 0.0)
            + (slow if slow > 1.0 else 0.0)
            + 4.0 * (seen.started != seen.told_start)
        )


def first_beat_ms(random: Random) -> float:
    """After a start: anywhere in a beat, so that forwarders that start together don't report together."""
    return random.uniform(0.0, BEAT_MS)


def next_beat_ms(random: Random) -> float:
    return BEAT_MS * random.uniform(1.0 - JITTER, 1.0 + JITTER)
