"""Load reports: a forwarder's observations of its servers, summarized for planners. No I/O.

A report is the body of one message, however many servers there are. If not all fit, half of the space goes to
the servers that deviate most, and the rest to those whose last report is oldest. Observations of the others
are not lost: they accumulate until they are reported.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from hashlib import blake2s
from random import Random

import msgspec

from cometdoor.balancing.api import Outcome
from cometdoor.errors import CometdoorError
from cometdoor.host.interfaces import AttemptId
from cometdoor.planning.sealed_messages import MAX_BODY_BYTES

REPORT_INTERVAL_MS = 500.0  # within two of these some forwarder has calls pending at an unresponsive server
REPORT_JITTER_SHARE = 0.2  # of the interval, to either side; spreads the reports that planners get
SERVER_ID_BYTES = 6  # of a name's hash; of five million fleets with 10,000 servers, one has a collision
LATENCY_STEPS_PER_DOUBLING = 8  # resolution of latencies in reports
# A cancelled call counts against its server if it exceeded the usual latency by this many doublings. As a
# rule its hedge was answered first, so that calls to an unresponsive server rarely time out. Without reports
# of such calls, no planner finds the server (seen over sockets, with 90 requests/s at each of five proxies).
LATE_CANCEL_DOUBLINGS = 1.0
# The same threshold for a call that is still pending. Of exponentially distributed times, whose mean is 1.8
# times their geometric mean, one in ninety is longer.
LATE_CALL_DOUBLINGS = 3.0
BASELINE_CALLS = 50.0  # number of calls over which the usual latency is averaged
MAX_SENDS_PER_REPORT = 1_000_000  # a hundred times what one core forwards in an interval
MAX_COUNT = 127  # the most that one byte of msgpack holds; larger counts are capped
DEVIATING_SHARE = 0.5  # of a report's space, for the servers that deviate most


class FailureKind(IntEnum):
    """Kinds of failures; the values are positions in an entry's `failures`."""

    CONNECT_FAILED = 0
    CONNECTION_LOST = 1  # or the server reported an error: the call may have been executed
    TIMED_OUT = 2
    REJECTED = 3
    CANCELLED_LATE = 4  # after most calls would have been answered; as a rule its hedge was


FAILURE_KINDS_BY_OUTCOME = {
    Outcome.CONNECT_FAILED: FailureKind.CONNECT_FAILED,
    Outcome.RESET: FailureKind.CONNECTION_LOST,
    Outcome.DISCONNECTED: FailureKind.CONNECTION_LOST,
    Outcome.ERROR: FailureKind.CONNECTION_LOST,
    Outcome.TIMEOUT: FailureKind.TIMED_OUT,
    Outcome.REJECTED: FailureKind.REJECTED,
}


def server_id(name: str) -> bytes:
    """Return the id of a server in messages: a hash of its name."""
    return blake2s(name.encode(), digest_size=SERVER_ID_BYTES).digest()


class ServerReport(msgspec.Struct, array_like=True, frozen=True):
    """One server in a report, with what was observed since it was last reported."""

    server: bytes
    start_number: int  # of the start that the endpoint list names, in 16 bits; 0: long ago
    answered: int
    failures: tuple[int, int, int, int, int]  # by kind
    # mean of log2(latency / latency target) of answered calls, in steps of 1/LATENCY_STEPS_PER_DOUBLING
    log2_latency: int
    since_answer_tenths_s: int  # since its last answer; MAX_COUNT: none, or longer ago
    overdue_tenths_s: int  # of the most overdue pending call, over 2**LATE_CALL_DOUBLINGS times the usual


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """A forwarder's message to its planners."""

    sequence_number: int
    sends: int  # attempts since the last report
    warm_rate: int  # attempts in 1000 s to a warm server of weight 1
    servers: int  # that the forwarder may send to
    entries: list[ServerReport]


class InvalidReportError(CometdoorError):
    """A message's body is not a valid report, or has values out of range."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(LoadReport)


def decode_report(body: bytes) -> LoadReport:
    """Return the report in a message's body; raise InvalidReportError."""
    try:
        report = _DECODER.decode(body)
    except msgspec.DecodeError as problem:
        raise InvalidReportError(str(problem)) from problem
    if min(report.sequence_number, report.sends, report.warm_rate, report.servers) < 0:
        raise InvalidReportError("a count of the report is below 0")
    if report.sends > MAX_SENDS_PER_REPORT:
        raise InvalidReportError(
            f"{report.sends} attempts in one interval are more than a forwarder can send"
        )
    for entry in report.entries:
        if len(entry.server) != SERVER_ID_BYTES:
            raise InvalidReportError(f"server id has an invalid length of {len(entry.server)} bytes")
        if (
            min(
                entry.answered,
                entry.since_answer_tenths_s,
                entry.overdue_tenths_s,
                entry.start_number,
                *entry.failures,
            )
            < 0
        ):
            raise InvalidReportError("a count of a server is below 0")
        if (
            max(
                entry.answered,
                entry.since_answer_tenths_s,
                entry.overdue_tenths_s,
                *entry.failures,
                abs(entry.log2_latency),
            )
            > MAX_COUNT
        ):
            raise InvalidReportError(f"a count, time or latency of a server is above {MAX_COUNT}")
    return report


@dataclass(frozen=True, slots=True)
class _PendingAttempt:
    """An attempt without an outcome."""

    sent_at: float  # ms
    latency_target_ms: float  # of its class


@dataclass(slots=True)
class _ServerObservations:
    """What was observed of one server since it was last reported."""

    name: str
    start_number: int = 0
    answered: int = 0
    failures: list[int] = field(default_factory=lambda: [0] * len(FailureKind))
    log2_latency_sum: float = 0.0
    answered_at: float = -math.inf  # ms; kept when the sums are reset by a report
    reported_at: float = -math.inf  # ms
    reported_start: int = 0


class LoadReporter:
    """Counts the outcomes of a forwarder's attempts by server, and makes its reports."""

    def __init__(self) -> None:
        self._observations: dict[str, _ServerObservations] = {}
        self._pending: dict[str, dict[AttemptId, _PendingAttempt]] = {}  # by server
        self._sequence_number = 0
        self._sends = 0
        self._baseline_log2_latency: float | None = None  # recent mean of log2(latency / target)

    # --- events of the service ---

    def update_servers(self, servers: Iterable[tuple[str, int]]) -> None:
        """Replace the servers that may be sent to, given with the numbers of their starts."""
        start_numbers = dict(servers)
        for name in self._observations.keys() - start_numbers.keys():
            del self._observations[name]
            self._pending.pop(name, None)
        for name, start_number in start_numbers.items():
            observed = self._observations.get(name)
            if observed is None or observed.start_number != start_number:
                # Observations of the former process say nothing about the new one.
                self._observations[name] = _ServerObservations(name, start_number)

    def on_attempt_sent(
        self, server: str, attempt: AttemptId, latency_target_ms: float, now_ms: float
    ) -> None:
        """Count an attempt; `latency_target_ms` is the latency target of its class."""
        self._sends += 1
        if server in self._observations:
            self._pending.setdefault(server, {})[attempt] = _PendingAttempt(now_ms, latency_target_ms)

    def on_attempt_ended(
        self, server: str, attempt: AttemptId, outcome: Outcome, latency_target_ms: float, now_ms: float
    ) -> None:
        """Count the outcome of an attempt."""
        pending = self._pending.get(server, {})
        pending_attempt = pending.pop(attempt, None)
        if not pending:
            self._pending.pop(server, None)
        observed = self._observations.get(server)
        if observed is None or pending_attempt is None:
            return
        log2_latency = math.log2(max(now_ms - pending_attempt.sent_at, 0.1) / latency_target_ms)
        if outcome is Outcome.OK:
            observed.answered += 1
            observed.answered_at = now_ms
            observed.log2_latency_sum += log2_latency
            self._baseline_log2_latency = (
                log2_latency
                if self._baseline_log2_latency is None
                else self._baseline_log2_latency
                + (log2_latency - self._baseline_log2_latency) / BASELINE_CALLS
            )
        elif outcome is Outcome.CANCELLED:
            if (
                self._baseline_log2_latency is not None
                and log2_latency > self._baseline_log2_latency + LATE_CANCEL_DOUBLINGS
            ):
                observed.failures[FailureKind.CANCELLED_LATE] += 1
        elif outcome in FAILURE_KINDS_BY_OUTCOME:
            observed.failures[FAILURE_KINDS_BY_OUTCOME[outcome]] += 1

    # --- reports ---

    def report(self, warm_rate: float, now_ms: float) -> bytes:
        """Return the body of a report, and reset the servers that are in it.

        Parameters
        ----------
        warm_rate
            Attempts per ms to a warm server of weight 1.
        """
        self._sequence_number += 1
        sends, self._sends = self._sends, 0
        mean_log2_latency = self._mean_log2_latency()
        longest_unreported_first = sorted(
            self._observations.values(), key=lambda observed: observed.reported_at
        )
        deviations = {
            observed.name: self._deviation(observed, mean_log2_latency, now_ms)
            for observed in longest_unreported_first
        }
        deviating = sorted(
            (observed for observed in longest_unreported_first if deviations[observed.name] > 0.0),
            key=lambda observed: -deviations[observed.name],
        )
        chosen: dict[str, _ServerObservations] = {}
        report = LoadReport(self._sequence_number, sends, round(warm_rate * 1e6), len(self._observations), [])
        remaining_bytes = (
            MAX_BODY_BYTES - len(_ENCODER.encode(report)) - 2
        )  # more than 15 entries need a longer header
        deviating_bytes = int(remaining_bytes * DEVIATING_SHARE)
        remaining_bytes += (
            self._add_entries(deviating, chosen, report, deviating_bytes, now_ms) - deviating_bytes
        )
        self._add_entries(longest_unreported_first, chosen, report, remaining_bytes, now_ms)
        for observed in chosen.values():
            observed.answered, observed.log2_latency_sum, observed.failures = 0, 0.0, [0] * len(FailureKind)
            observed.reported_at, observed.reported_start = now_ms, observed.start_number
        return _ENCODER.encode(report)

    def _add_entries(
        self,
        order: Iterable[_ServerObservations],
        chosen: dict[str, _ServerObservations],
        report: LoadReport,
        remaining_bytes: int,
        now_ms: float,
    ) -> int:
        """Add entries in this order while they fit, and return the bytes that remain."""
        for observed in order:
            if observed.name in chosen:
                continue
            entry = self._entry(observed, now_ms)
            size = len(_ENCODER.encode(entry))
            if size > remaining_bytes:
                break
            remaining_bytes -= size
            chosen[observed.name] = observed
            report.entries.append(entry)
        return remaining_bytes

    def _entry(self, observed: _ServerObservations, now_ms: float) -> ServerReport:
        connect_failed, connection_lost, timed_out, rejected, cancelled_late = (
            min(count, MAX_COUNT) for count in observed.failures
        )
        log2_latency = (
            round(LATENCY_STEPS_PER_DOUBLING * observed.log2_latency_sum / observed.answered)
            if observed.answered
            else 0
        )
        return ServerReport(
            server_id(observed.name),
            observed.start_number,
            min(observed.answered, MAX_COUNT),
            (connect_failed, connection_lost, timed_out, rejected, cancelled_late),
            max(-MAX_COUNT, min(log2_latency, MAX_COUNT)),
            int(min((now_ms - observed.answered_at) / 100.0, MAX_COUNT)),
            min(int(max(self._overdue_ms(observed.name, now_ms), 0.0) / 100.0), MAX_COUNT),
        )

    def _overdue_ms(self, server: str, now_ms: float) -> float:
        """Return by how much the most overdue pending call exceeds the longest usual latency.

        Until a call was answered, the latency target is used as the usual latency.
        """
        pending = self._pending.get(server)
        if not pending:
            return 0.0
        max_latency_ratio: float = 2.0 ** ((self._baseline_log2_latency or 0.0) + LATE_CALL_DOUBLINGS)
        return max(
            [
                now_ms - pending_attempt.sent_at - max_latency_ratio * pending_attempt.latency_target_ms
                for pending_attempt in pending.values()
            ]
        )

    def _mean_log2_latency(self) -> float:
        answered = sum(observed.answered for observed in self._observations.values())
        return (
            sum(observed.log2_latency_sum for observed in self._observations.values()) / answered
            if answered
            else 0.0
        )

    def _deviation(self, observed: _ServerObservations, mean_log2_latency: float, now_ms: float) -> float:
        """Return how much a server deviates from what was expected; 0: not at all."""
        overdue_s = self._overdue_ms(observed.name, now_ms) / 1000.0
        latency_deviation = (
            abs(observed.log2_latency_sum - mean_log2_latency * observed.answered)
            / math.sqrt(observed.answered)
            if observed.answered
            else 0.0
        )
        return (
            2.0 * sum(observed.failures)
            + max(overdue_s, 0.0)
            + (latency_deviation if latency_deviation > 1.0 else 0.0)
            + 4.0 * (observed.start_number != observed.reported_start)
        )


def first_report_delay_ms(random: Random) -> float:
    """Return a delay within one interval, so that forwarders that start together don't report together."""
    return random.uniform(0.0, REPORT_INTERVAL_MS)


def next_report_delay_ms(random: Random) -> float:
    """Return the delay from one report to the next."""
    return REPORT_INTERVAL_MS * random.uniform(1.0 - REPORT_JITTER_SHARE, 1.0 + REPORT_JITTER_SHARE)
