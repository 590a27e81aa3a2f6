"""A planner's model of the servers' health, from the reports of forwarders. No I/O.

`health_records` keeps the evidence and `health_verdicts` decides on one server. This module compares all
servers, and retains a verdict for a limited time when there is no new evidence.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator, Mapping
from statistics import median
from typing import NamedTuple

from cometdoor.planning.health_records import ForwarderRecord, ServerRecord
from cometdoor.planning.health_verdicts import (
    MIN_AGREEING_OBSERVERS,
    FleetBaseline,
    HealthState,
    HealthVerdict,
    ObserverView,
    assess_server,
    find_bad_paths,
    median_of_known,
)
from cometdoor.planning.load_reports import LoadReport

RECORD_TTL_MS = 15_000.0  # records without a report for this time are dropped: five decay time constants
MAX_SERVERS = 20_000  # twice the largest planned fleet; above it, those not reported for longest are dropped
# An unhealthy server that gets no attempts yields no evidence. The last verdict is kept for this time, unless
# the server answers. Without this, an unresponsive server regains a fifth of its weight after 6 s.
VERDICT_TTL_MS = 10_000.0
MIN_COUNTED_SENDS = 20.0  # attempts before a forwarder's traffic counts; the error is then a quarter

Evidence = Mapping[bytes, list[ObserverView]]


class ServerStart(NamedTuple):
    """A start of a server."""

    number: int  # 1 to 65535; 0: long ago
    since_ms: float  # when most forwarders first named it


class ForwarderActivity(NamedTuple):
    """A forwarder as the status page shows it."""

    number: int
    last_report_ms: float
    sends_per_s: float
    servers: int  # in its endpoint list


class HealthModel:
    """Holds the records of all servers and forwarders, and derives verdicts and traffic figures from them."""

    def __init__(self) -> None:
        self._mean_traffic_per_s = 0.0  # of the mean forwarder, as last computed
        self._servers: dict[bytes, ServerRecord] = {}  # by id, in the order of the last report
        self._forwarders: dict[int, ForwarderRecord] = {}

    # --- reports ---

    def on_report(self, number: int, report: LoadReport, now_ms: float) -> None:
        """Add the report of a forwarder."""
        forwarder = self._forwarders.get(number)
        if forwarder is None:
            forwarder = self._forwarders[number] = ForwarderRecord(now_ms)
        else:
            forwarder.add(report, now_ms)
        forwarder.last_report_ms = now_ms
        forwarder.warm_rate = report.warm_rate / 1e6
        forwarder.servers = report.servers
        for entry in report.entries:
            server = self._servers.pop(entry.server, None)
            if server is None:
                server = ServerRecord(entry.start_number, now_ms, now_ms)
            self._servers[entry.server] = server
            server.last_report_ms = now_ms
            if entry.answered and entry.start_number == server.start_number:
                server.record_answer(100.0 * entry.since_answer_tenths_s, now_ms)
            observer = server.observer(number, entry.start_number, now_ms)
            if observer is not None:
                server.update_start(now_ms)
                observer.add(entry, now_ms)
        while len(self._servers) > MAX_SERVERS:
            del self._servers[next(iter(self._servers))]

    def forget_old(self, now_ms: float) -> None:
        """Drop records without a report for RECORD_TTL_MS."""
        before_ms = now_ms - RECORD_TTL_MS
        for number in [
            number for number, record in self._forwarders.items() if record.last_report_ms < before_ms
        ]:
            del self._forwarders[number]
        for server_id in [
            server_id for server_id, server in self._servers.items() if server.last_report_ms < before_ms
        ]:
            del self._servers[server_id]
        for server in self._servers.values():
            server.forget_observers(before_ms)

    # --- traffic ---

    def forwarder_count(self) -> int:
        """Return how many forwarders report."""
        return len(self._forwarders)

    def forwarders(self) -> Iterator[ForwarderActivity]:
        """Yield the forwarders that report."""
        for number, record in self._forwarders.items():
            yield ForwarderActivity(number, record.last_report_ms, record.sends_per_s, record.servers)

    def servers(self) -> Collection[bytes]:
        """Return the ids of the servers that are reported."""
        return self._servers.keys()

    def current_start(self, server: bytes) -> ServerStart:
        """Return the start that most forwarders name; raise KeyError for a server that none reported."""
        record = self._servers[server]
        return ServerStart(record.start_number, record.known_ms)

    def warm_rate(self) -> float:
        """Return the attempts per ms that a warm server of weight 1 gets from all forwarders that report.

        A forwarder with false reports changes it by at most twice the median forwarder's rate.
        """
        rates = [record.warm_rate for record in self._forwarders.values()]
        if not rates:
            return 0.0
        limit = 2.0 * median(rates)
        return sum(min(warm_rate, limit) for warm_rate in rates)

    def update_traffic_baseline(self) -> None:
        """Compute the mean forwarder's traffic; the largest counts for no more than all others together."""
        rates = [record.traffic_per_s for record in self._forwarders.values()]
        largest = max(rates, default=0.0)
        total = sum(rates)
        self._mean_traffic_per_s = min(total, 2.0 * (total - largest)) / len(rates) if rates else 0.0

    def subset_scale(self, number: int) -> float | None:
        """Return the factor by which this forwarder's subset of servers should exceed the mean forwarder's.

        With it each server of its subset gets no more calls from it than from the others. None: unknown.
        """
        record = self._forwarders.get(number)
        if record is None or record.counted_sends < MIN_COUNTED_SENDS or not self._mean_traffic_per_s:
            return None
        return max(record.traffic_per_s / self._mean_traffic_per_s, 1.0)

    # --- verdicts ---

    def assess(self, now_ms: float) -> dict[bytes, HealthVerdict]:
        """Return the verdicts on servers that are not healthy, by server."""
        evidence = {server_id: list(server.views(now_ms)) for server_id, server in self._servers.items()}
        bad_path_forwarders = find_bad_paths(evidence)
        baseline = self._baseline(evidence)
        verdicts = {}
        for server_id, views in evidence.items():
            voters = [view for view in views if view.number not in bad_path_forwarders]
            verdict = assess_server(
                voters, baseline, self._servers[server_id].is_overdue(baseline.answering_since_ms)
            )
            if verdict.state is not HealthState.HEALTHY:
                verdicts[server_id] = verdict
        unresponsive = [
            server_id for server_id, verdict in verdicts.items() if verdict.state is HealthState.UNRESPONSIVE
        ]
        if 2 * len(unresponsive) > sum(bool(views) for views in evidence.values()):
            # A dependency that they share is unresponsive, or the network to them.
            for server_id in unresponsive:
                del verdicts[server_id]
        self._retain_verdicts(verdicts, unresponsive, now_ms)
        return verdicts

    def _baseline(self, evidence: Evidence) -> FleetBaseline:
        log2_latencies = [
            log2_latency
            for views in evidence.values()
            if (log2_latency := median_of_known([view.log2_latency for view in views])) is not None
        ]
        success_shares = [
            success
            for views in evidence.values()
            if (success := median_of_known([view.success_share for view in views])) is not None
        ]
        answering_since_ms = [
            self._servers[server_id].answering_since_ms() for server_id, views in evidence.items() if views
        ]
        return FleetBaseline(
            log2_latency=median(log2_latencies) if log2_latencies else 0.0,
            success_share=median(success_shares) if success_shares else 1.0,
            answering_since_ms=median(answering_since_ms or [-math.inf]),
            quorum=min(MIN_AGREEING_OBSERVERS, len(self._forwarders)),
        )

    def _retain_verdicts(
        self, verdicts: dict[bytes, HealthVerdict], unresponsive: list[bytes], now_ms: float
    ) -> None:
        """Store the verdicts, and add former ones that are still valid."""
        for server_id, server in self._servers.items():
            if server_id in verdicts:
                server.last_verdict, server.last_verdict_ms = verdicts[server_id], now_ms
            elif server.last_verdict is not None:
                if (
                    server.answered_ms > server.last_verdict_ms
                    or now_ms - server.last_verdict_ms > VERDICT_TTL_MS
                ):
                    server.last_verdict = None
                elif server_id not in unresponsive:
                    verdicts[server_id] = server.last_verdict
