"""A planner's records of servers and forwarders, from load reports; evidence decays with age. No I/O."""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from cometdoor.planning.health_verdicts import (
    MIN_CALLS_PER_OBSERVER,
    MISSED_ANSWERS,
    HealthVerdict,
    ObserverView,
)
from cometdoor.planning.load_reports import (
    LATENCY_STEPS_PER_DOUBLING,
    FailureKind,
    LoadReport,
    ServerReport,
)

EVIDENCE_DECAY_MS = 3_000.0  # time constant; the same as that of failures in the decision module
# A pending call counts as stalled if it exceeds the longest usual latency by this time while the server
# answers nothing. The time is longer than any garbage collection pause of a healthy server. A limit on the
# age of the call alone marks healthy servers with 0.2 s of work or more as unhealthy: 118 of them in 32
# simulated fleets.
STALLED_CALL_AGE_MS = 400.0
REPORT_TIME_ERROR_MS = 200.0  # error of times in reports: network delay, and rounding to 0.1 s
MAX_OBSERVERS_PER_SERVER = 12  # bounds memory; more observers change no median
TRAFFIC_WINDOW_MS = 20_000.0  # period over which a forwarder's traffic is averaged: 40 calls at two a second


@dataclass(slots=True)
class ObserverRecord:
    """What one forwarder observed of one start of a server."""

    start_number: int
    at_ms: float  # when the sums below were last decayed
    answered: float = 0.0  # calls
    failed: float = 0.0  # calls
    log2_latency_sum: float = 0.0  # of answered calls, in doublings
    overdue_ms: float = 0.0  # of the most overdue pending call, in the last report
    last_timeout_ms: float = -math.inf  # arrival of the last report with time-outs and no answer

    def decay(self, now_ms: float) -> None:
        """Decay the sums to the present."""
        decay_factor = math.exp((self.at_ms - now_ms) / EVIDENCE_DECAY_MS)
        self.answered *= decay_factor
        self.failed *= decay_factor
        self.log2_latency_sum *= decay_factor
        self.at_ms = now_ms

    def add(self, entry: ServerReport, now_ms: float) -> None:
        """Add a report's entry."""
        self.decay(now_ms)
        # A rejection is not a failure of the server, which is at its capacity; its latency shows that.
        failed = sum(entry.failures) - entry.failures[FailureKind.REJECTED]
        self.answered += entry.answered
        self.failed += failed
        self.log2_latency_sum += entry.answered * entry.log2_latency / LATENCY_STEPS_PER_DOUBLING
        self.overdue_ms = 100.0 * entry.overdue_tenths_s
        timed_out = entry.failures[FailureKind.TIMED_OUT] + entry.failures[FailureKind.CANCELLED_LATE]
        if not entry.answered and timed_out:
            self.last_timeout_ms = now_ms

    def calls(self) -> float:
        """Return the number of calls that have ended."""
        return self.answered + self.failed

    def view(self, number: int, answered_ms: float, now_ms: float) -> ObserverView:
        """Return the present evidence of this observer.

        Parameters
        ----------
        number
            The forwarder's number.
        answered_ms
            When the server last answered any forwarder.
        """
        decay_factor = math.exp((self.at_ms - now_ms) / EVIDENCE_DECAY_MS)
        # An answer to any forwarder meanwhile shows that the server is responsive, and that its work is heavy
        # or queued. The age of a call that was pending at the last report is not extrapolated, since the call
        # may have been answered by now.
        is_late = (
            self.overdue_ms > STALLED_CALL_AGE_MS
            and now_ms - self.at_ms < EVIDENCE_DECAY_MS
            and answered_ms < self.at_ms - self.overdue_ms + REPORT_TIME_ERROR_MS
        )
        has_timed_out = max(answered_ms, now_ms - EVIDENCE_DECAY_MS) < self.last_timeout_ms
        answered = self.answered * decay_factor
        calls = self.calls() * decay_factor
        return ObserverView(
            number,
            answered=answered,
            failed=self.failed * decay_factor,
            log2_latency=(
                self.log2_latency_sum / self.answered if answered >= MIN_CALLS_PER_OBSERVER else None
            ),
            success_share=self.answered / self.calls() if calls >= MIN_CALLS_PER_OBSERVER else None,
            is_stalled=is_late or has_timed_out,
            has_answered=answered >= 1.0,
        )


@dataclass(slots=True)
class ServerRecord:
    """A server as all forwarders report it: its current start, its answers and its observers."""

    start_number: int  # the start that most observers name
    last_report_ms: float
    known_ms: float  # time since which most observers have named that start
    named_since_ms: dict[int, float] = field(default_factory=dict)  # by start: time since which it is named
    observers: dict[int, ObserverRecord] = field(default_factory=dict)  # by number of the forwarder
    answered_ms: float = -math.inf  # its last reported answer
    answers_ms: deque[float] = field(default_factory=lambda: deque(maxlen=MISSED_ANSWERS))  # as last reported
    last_verdict: HealthVerdict | None = None  # the last one that was based on current evidence
    last_verdict_ms: float = -math.inf

    def record_answer(self, since_answer_ms: float, now_ms: float) -> None:
        """Count a report of answers, the last of them `since_answer_ms` ago.

        The time of the answer counts, not that of the report: answers are reported up to an interval later,
        which would delay the verdict on a server that has become unresponsive meanwhile.
        """
        self.answers_ms.append(now_ms - since_answer_ms)
        self.answered_ms = max(self.answered_ms, now_ms - since_answer_ms)

    def observer(self, number: int, start_number: int, now_ms: float) -> ObserverRecord | None:
        """Return the record of a forwarder for a start; create it if there is none.

        Returns
        -------
        ObserverRecord or None
            None if MAX_OBSERVERS_PER_SERVER others have reported recently.
        """
        observer = self.observers.get(number)
        if observer is None or observer.start_number != start_number:
            if observer is None and len(self.observers) >= MAX_OBSERVERS_PER_SERVER:
                oldest = min(self.observers, key=lambda candidate: self.observers[candidate].at_ms)
                if now_ms - self.observers[oldest].at_ms < EVIDENCE_DECAY_MS:
                    return None
                del self.observers[oldest]
            observer = self.observers[number] = ObserverRecord(start_number, now_ms)
        return observer

    def update_start(self, now_ms: float) -> None:
        """Switch to the start that most observers name, and discard what was recorded of the former one.

        A single observer can't cause the switch, since its list may lag or its report may be wrong. If one
        were enough, each of its reports would discard the evidence of all others.
        """
        reports_by_start = Counter(
            observer.start_number
            for observer in self.observers.values()
            if now_ms - observer.at_ms < EVIDENCE_DECAY_MS
        )
        self.named_since_ms = {start: self.named_since_ms.get(start, now_ms) for start in reports_by_start}
        start_number = max(
            reports_by_start,
            key=lambda start: (reports_by_start[start], self.named_since_ms[start]),
            default=self.start_number,
        )
        if start_number != self.start_number:
            self.start_number = start_number
            self.known_ms = now_ms
            self.answered_ms = -math.inf
            self.last_verdict = None
            self.answers_ms.clear()

    def answering_since_ms(self) -> float:
        """Return the time since which there have been MISSED_ANSWERS reports of answers."""
        return min(self.answers_ms) if len(self.answers_ms) == MISSED_ANSWERS else -math.inf

    def is_overdue(self, answering_since_ms: float) -> bool:
        """Return whether the server has answered nothing since `answering_since_ms`.

        A server whose present start was first named after that time is not overdue.
        """
        return max(self.answered_ms, self.known_ms) < answering_since_ms

    def views(self, now_ms: float) -> Iterator[ObserverView]:
        """Yield the evidence of the observers of its present start."""
        for number, observer in self.observers.items():
            if observer.start_number == self.start_number:
                yield observer.view(number, self.answered_ms, now_ms)

    def forget_observers(self, before_ms: float) -> None:
        """Drop observers that last reported before that time."""
        for number in [number for number, candidate in self.observers.items() if candidate.at_ms < before_ms]:
            del self.observers[number]


@dataclass(slots=True)
class ForwarderRecord:
    """A forwarder's traffic."""

    last_report_ms: float
    sends_per_s: float = 0.0  # in the last reporting interval
    warm_rate: float = 0.0  # attempts per ms that a warm server of weight 1 gets from it
    servers: int = 0  # in its endpoint list
    traffic_per_s: float = 0.0  # mean over TRAFFIC_WINDOW_MS, or since its first report if shorter
    known_ms: float = 0.0  # for how long it has reported
    counted_sends: float = 0.0  # attempts since its first report

    def add(self, report: LoadReport, now_ms: float) -> None:
        """Add a report that is not the first one."""
        elapsed_ms = now_ms - self.last_report_ms
        if elapsed_ms > 0.0:
            self.sends_per_s = 1000.0 * report.sends / elapsed_ms
            self.known_ms += elapsed_ms
            self.counted_sends += report.sends
            self.traffic_per_s += min(elapsed_ms / min(self.known_ms, TRAFFIC_WINDOW_MS), 1.0) * (
                self.sends_per_s - self.traffic_per_s
            )
