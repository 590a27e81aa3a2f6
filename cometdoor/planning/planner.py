"""A planner: it hears reports, and answers each with advice and loans. No I/O.

Planners hear the same reports and don't talk to one another. One that started anew is whole again after some
beats: advice rests on the last seconds alone, and lending begins once all that a former life lent is over.
"""

from __future__ import annotations

import math

from cometdoor.planning.advice import make_advice, write_advice
from cometdoor.planning.judgement import Picture, Verdict
from cometdoor.planning.lending import ColdRules, Lender, write_loan
from cometdoor.planning.reports import BadReport, Report, read_report
from cometdoor.planning.wire import Kind, Post

FRESH_REPORT_MS = 2_000.0  # what is older tells of servers as they were
JUDGE_MS = 250.0  # a picture is judged so often at most: half a beat
FORGET_EVERY_MS = 5_000.0
COUNT_EVERY_MS = 2_000.0  # four beats


class Planner:
    """`rules`: None where servers don't warm up, and nothing is lent; `warm_up_ms`: how long they take;
    `planners`: how many are configured."""

    def __init__(
        self, post: Post, rules: ColdRules | None, warm_up_ms: float, planners: int, now_ms: float
    ) -> None:
        self.bad = 0  # reports that were sealed well and could not be read
        self.picture = Picture()
        self.lender = Lender(rules, planners, now_ms) if rules else None
        self._post = post
        self._warm_up_ms = warm_up_ms
        self._sends: dict[int, tuple[float, int]] = {}  # by forwarder: when it reported, and its sends
        self._all_sends = 0  # of all forwarders in a beat, as last judged
        self._warm_rate = 0.0  # that a warm server bears, as last judged
        self._verdicts: dict[bytes, Verdict] = {}
        self._advice = make_advice({})
        self._bytes = 0  # of notes heard and answered, since they were last counted
        self._bytes_ms = now_ms
        self.note_bytes_per_s = 0.0
        self._judged_ms = -math.inf
        self._forgot_ms = now_ms

    def received(self, datagram: bytes, now_ms: float) -> list[tuple[int, bytes]]:
        """Notes to forwarders: their numbers, and the datagrams."""
        note = self._post.open(datagram, now_ms)
        if note is None:
            return []
        report: Report | None = None
        if note.is_fresh(FRESH_REPORT_MS):
            try:
                report = read_report(note.body)
                self._heard(note.sender, report, now_ms)
            except BadReport:
                self.bad += 1
        # One that proves nothing yet is answered too: the answer's echo lets it prove itself.
        self._judge(now_ms)
        advice = write_advice(self._advice, self.picture.reach(note.sender))
        notes = [(note.sender, self._post.seal(Kind.ADVICE, note.sender, advice, now_ms))]
        if report is not None and self.lender is not None:
            notes += self._loans(self.lender, note.sender, report, now_ms)
        self._bytes += len(datagram) + sum(len(answer) for _, answer in notes)
        if now_ms - self._bytes_ms >= COUNT_EVERY_MS:
            self.note_bytes_per_s = 1000.0 * self._bytes / (now_ms - self._bytes_ms)
            self._bytes, self._bytes_ms = 0, now_ms
        return notes

    def verdicts(self, now_ms: float) -> dict[bytes, Verdict]:
        self._judge(now_ms)
        return self._verdicts

    def lent(self, now_ms: float) -> dict[bytes, int]:
        """By server, sends of loans that are out."""
        return self.lender.all_out(now_ms) if self.lender is not None else {}

    def _heard(self, number: int, report: Report, now_ms: float) -> None:
        self.picture.heard(number, report, now_ms)
        self._sends[number] = now_ms, report.sends
        if now_ms - self._forgot_ms > FORGET_EVERY_MS:
            self._forget_old(now_ms)

    def _forget_old(self, now_ms: float) -> None:
        self._forgot_ms = now_ms
        self.picture.forget_old(now_ms)
        if self.lender is not None:
            self.lender.forget_old(now_ms)
        self._sends = {
            number: sends for number, sends in self._sends.items() if now_ms - sends[0] < FORGET_EVERY_MS
        }

    def _judge(self, now_ms: float) -> None:
        if now_ms - self._judged_ms >= JUDGE_MS:
            self._judged_ms = now_ms
            self._verdicts = self.picture.judge(now_ms)
            self._warm_rate = self.picture.warm_rate()
            self._all_sends = sum(sends for _, sends in self._sends.values())
            self._advice = make_advice(self._verdicts)
            self.picture.count_traffic()

    def _loans(self, lender: Lender, number: int, report: Report, now_ms: float) -> list[tuple[int, bytes]]:
        """For servers of the report that started lately; as much as the forwarder has of the traffic."""
        notes = []
        for entry in report.entries:
            started, seen_ms = self.picture.start(entry.server)
            if not started or started != entry.started or now_ms - seen_ms > self._warm_up_ms:
                continue
            share = report.sends / max(self._all_sends, report.sends, 1)
            wanted = math.ceil(lender.part(self._warm_rate) * share)
            loan = lender.lend(entry.server, started, self._warm_rate, wanted, now_ms)
            if loan is not None:
                notes.append((number, self._post.seal(Kind.LOAN, number, write_loan(loan), now_ms)))
        return notes
