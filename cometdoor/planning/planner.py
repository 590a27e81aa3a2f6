"""A planner: receives load reports, and answers each with advice and capacity leases. No I/O.

All planners receive the same reports and do not communicate with one another. A restarted planner is fully
working again within several reporting intervals: advice depends only on the last seconds, and leases are
issued once those of the former incarnation have expired.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from cometdoor.planning.advice import encode_advice, make_advice
from cometdoor.planning.capacity_leasing import LeaseIssuer, SlowStartRules, encode_lease
from cometdoor.planning.health_scoring import HealthModel
from cometdoor.planning.health_verdicts import HealthVerdict
from cometdoor.planning.load_reports import InvalidReportError, LoadReport, decode_report
from cometdoor.planning.sealed_messages import MessageKind, OutgoingMessage, SecureChannel

MAX_REPORT_AGE_MS = 2_000.0  # an older report is not counted
ASSESSMENT_INTERVAL_MS = 250.0  # minimum between assessments: half a reporting interval
CLEANUP_INTERVAL_MS = 5_000.0
BYTE_COUNT_INTERVAL_MS = 2_000.0  # four reporting intervals


class ReportedSends(NamedTuple):
    """Attempts of a forwarder's last report."""

    at_ms: float
    sends: int


class Planner:
    """A planner of one service: keeps its health model and lease issuer, and answers its forwarders' reports.

    Parameters
    ----------
    channel
        Sealed messages to and from all its forwarders.
    rules
        How servers in slow start behave; None: they have no slow start, and nothing is leased.
    warm_up_ms
        Length of slow start.
    planner_count
        Number of planners that are configured, alive or not.
    now_ms
        Time of the start.

    Attributes
    ----------
    unreadable : int
        Reports with a valid seal that could not be decoded.
    message_bytes_per_s : float
        Rate of messages received and sent.
    """

    def __init__(
        self,
        channel: SecureChannel,
        rules: SlowStartRules | None,
        warm_up_ms: float,
        planner_count: int,
        now_ms: float,
    ) -> None:
        self.unreadable = 0
        self.health_model = HealthModel()
        self.lease_issuer = LeaseIssuer(rules, planner_count, now_ms) if rules else None
        self._channel = channel
        self._warm_up_ms = warm_up_ms
        self._sends: dict[int, ReportedSends] = {}  # by forwarder
        self._total_sends = 0  # of all forwarders in an interval, as last assessed
        self._warm_rate = 0.0  # attempts per ms to a warm server of weight 1, as last assessed
        self._verdicts: dict[bytes, HealthVerdict] = {}
        self._advice = make_advice({})
        self._message_bytes = 0  # since the rate was last computed
        self._bytes_counted_ms = now_ms
        self.message_bytes_per_s = 0.0
        self._assessed_ms = -math.inf
        self._cleaned_up_ms = now_ms

    def on_datagram(self, datagram: bytes, now_ms: float) -> list[OutgoingMessage]:
        """Open a forwarder's message and return the replies to it."""
        message = self._channel.open(datagram, now_ms)
        if message is None:
            return []
        report: LoadReport | None = None
        if message.is_fresh(MAX_REPORT_AGE_MS):
            try:
                report = decode_report(message.body)
                self._on_report(message.sender, report, now_ms)
            except InvalidReportError:
                self.unreadable += 1
        # A message of unproven age is answered too: the reply's echo lets the next message prove its age.
        self._assess(now_ms)
        advice = encode_advice(self._advice, self.health_model.subset_scale(message.sender))
        sealed = self._channel.seal(MessageKind.ADVICE, message.sender, advice, now_ms)
        messages = [OutgoingMessage(message.sender, sealed)]
        if report is not None and self.lease_issuer is not None:
            messages += self._issue_leases(self.lease_issuer, message.sender, report, now_ms)
        self._message_bytes += len(datagram) + sum(len(reply) for _, reply in messages)
        if now_ms - self._bytes_counted_ms >= BYTE_COUNT_INTERVAL_MS:
            self.message_bytes_per_s = 1000.0 * self._message_bytes / (now_ms - self._bytes_counted_ms)
            self._message_bytes, self._bytes_counted_ms = 0, now_ms
        return messages

    def verdicts(self, now_ms: float) -> dict[bytes, HealthVerdict]:
        """Return the verdicts on servers that are not healthy, by server."""
        self._assess(now_ms)
        return self._verdicts

    def leased_sends(self, now_ms: float) -> dict[bytes, int]:
        """Return the attempts of outstanding leases by server."""
        return self.lease_issuer.all_outstanding(now_ms) if self.lease_issuer is not None else {}

    def _on_report(self, number: int, report: LoadReport, now_ms: float) -> None:
        self.health_model.on_report(number, report, now_ms)
        self._sends[number] = ReportedSends(now_ms, report.sends)
        if now_ms - self._cleaned_up_ms > CLEANUP_INTERVAL_MS:
            self._forget_old(now_ms)

    def _forget_old(self, now_ms: float) -> None:
        self._cleaned_up_ms = now_ms
        self.health_model.forget_old(now_ms)
        if self.lease_issuer is not None:
            self.lease_issuer.forget_old(now_ms)
        self._sends = {
            number: sends
            for number, sends in self._sends.items()
            if now_ms - sends.at_ms < CLEANUP_INTERVAL_MS
        }

    def _assess(self, now_ms: float) -> None:
        if now_ms - self._assessed_ms >= ASSESSMENT_INTERVAL_MS:
            self._assessed_ms = now_ms
            self._verdicts = self.health_model.assess(now_ms)
            self._warm_rate = self.health_model.warm_rate()
            self._total_sends = sum(sends for _, sends in self._sends.values())
            self._advice = make_advice(self._verdicts)
            self.health_model.update_traffic_baseline()

    def _issue_leases(
        self, lease_issuer: LeaseIssuer, number: int, report: LoadReport, now_ms: float
    ) -> list[OutgoingMessage]:
        """Issue leases for servers of the report in slow start, by the forwarder's share of the traffic."""
        messages = []
        for entry in report.entries:
            start_number, since_ms = self.health_model.current_start(entry.server)
            if not start_number or start_number != entry.start_number or now_ms - since_ms > self._warm_up_ms:
                continue
            share = report.sends / max(self._total_sends, report.sends, 1)
            requested = math.ceil(lease_issuer.allocation(self._warm_rate) * share)
            lease = lease_issuer.issue(entry.server, start_number, self._warm_rate, requested, now_ms)
            if lease is not None:
                sealed = self._channel.seal(MessageKind.LEASE, number, encode_lease(lease), now_ms)
                messages.append(OutgoingMessage(number, sealed))
        return messages
