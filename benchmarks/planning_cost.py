"""Cost of planning as the fleet grows: processor time of a planner and of a forwarder, bytes of messages.

Forwarders and one planner run in one process, without sockets: each forwarder sends load reports on the
servers that it uses at its interval, and receives the planner's replies. Times are those of the planner's and
the forwarder's own calls, per second of the fleet's time.
"""

from __future__ import annotations

import sys
import time
from random import Random

from benchmarks.report import print_progress, report
from cometdoor.balancing.api import Endpoint, Outcome
from cometdoor.planning.capacity_leasing import SlowStartRules
from cometdoor.planning.forwarder import Forwarder
from cometdoor.planning.load_reports import REPORT_INTERVAL_MS
from cometdoor.planning.planner import Planner
from cometdoor.planning.sealed_messages import KeyRing, MessageKind, SecureChannel

SERVERS = 300
CALLS_PER_REPORT = 20  # of each forwarder
REPORTS_PER_FORWARDER = 6  # the last three are measured; the first ones cannot prove their age yet
KEYS = KeyRing({1: b"k" * 32}, 1)


def measure(forwarders: int) -> dict[str, float]:
    random = Random(forwarders)
    servers = [Endpoint(f"s{number}") for number in range(SERVERS)]
    planner = Planner(
        SecureChannel(KEYS, 0, 1, forwarders, frozenset({MessageKind.REPORT})),
        SlowStartRules(slow_start_initial_share=0.3, overload_factor=3.0, overload_tolerance_ms=3000.0),
        8000.0,
        3,
        0.0,
    )
    forwarder_sides = []
    for number in range(forwarders):
        forwarder = Forwarder(
            SecureChannel(KEYS, number, 1 + number, 1, frozenset({MessageKind.ADVICE, MessageKind.LEASE})),
            1,
            8000.0,
        )
        forwarder.update_servers(servers)
        forwarder_sides.append(forwarder)
    planner_s = forwarder_s = 0.0
    message_bytes = 0
    for report_number in range(REPORTS_PER_FORWARDER):
        if report_number == REPORTS_PER_FORWARDER - 3:
            planner_s = forwarder_s = 0.0
            message_bytes = 0
        for number, forwarder in enumerate(forwarder_sides):
            now = REPORT_INTERVAL_MS * (report_number + number / forwarders)
            for call in range(CALLS_PER_REPORT):
                server = random.choice(servers).name
                forwarder.on_attempt_sent(server, (f"{report_number}-{call}", 0), 100.0, now)
                forwarder.on_attempt_ended(
                    server, (f"{report_number}-{call}", 0), Outcome.OK, 100.0, now + random.expovariate(0.05)
                )
            started_at = time.perf_counter()
            ((_, datagram),) = forwarder.make_reports(now)
            reported_at = time.perf_counter()
            replies = planner.on_datagram(datagram, now)
            answered_at = time.perf_counter()
            for _, reply in replies:
                forwarder.on_datagram(reply, now)
            forwarder_s += reported_at - started_at + time.perf_counter() - answered_at
            planner_s += answered_at - reported_at
            message_bytes += len(datagram) + sum(len(reply) for _, reply in replies)
    seconds = 3 * REPORT_INTERVAL_MS / 1000.0
    return {
        "planner_cpu_s_per_s": planner_s / seconds,
        "forwarder_cpu_us_per_s": 1e6 * forwarder_s / seconds / forwarders,
        "note_bytes_per_forwarder_s": message_bytes / seconds / forwarders,
    }


def main(quick: bool) -> None:
    figures: dict[str, float] = {}
    for forwarders in (10, 100, 1000) if quick else (10, 100, 1000, 10_000):
        figures_at_size = measure(forwarders)
        print_progress(
            f"{forwarders} forwarders: "
            + ", ".join(f"{name} {value:.4g}" for name, value in figures_at_size.items())
        )
        figures |= {f"{name}_{forwarders}": round(value, 6) for name, value in figures_at_size.items()}
    report(figures)


if __name__ == "__main__":
    main("--quick" in sys.argv)
