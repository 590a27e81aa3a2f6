"""Cost of gossip to a process, and time until an update has reached all processes, as the fleet grows.

`Directory` and `GossipServer` run over simulated connections (`simulation/gossip.py`). Times are virtual;
bytes are those of frames. There are three phases. Calm: nothing changes. Apply: a configuration of 1,000
routes of which two change, three times a second; the first one is new to all processes. Silence: one process
is partitioned, until all others suspect it.

    python -m benchmarks.gossip [--quick]
"""

from __future__ import annotations

import argparse
import json
import os
from multiprocessing import get_context
from typing import NamedTuple

from benchmarks.report import print_progress, report
from simulation.gossip import GossipMesh

SIZES = (12, 100, 1_000)
ROUTES, CHANGED, STORM_CHANGES, STORM_INTERVAL_S = 1_000, 2, 6, 0.33
STARTUP_S, CALM_S = 8.0, 4.0


class Figures(NamedTuple):
    """Cost and duration of gossip in a fleet of one size."""

    size: int
    calm_bytes_s: float  # sent by one process per second
    apply_times_s: list[float]  # until a change is applied, for each change and process
    first_bytes: float  # of one process, for a configuration without a known base
    apply_bytes: float  # of one process, for each later configuration
    detection_s: float


def make_body(revision: int) -> bytes:
    routes = [
        {
            "name": f"r-{index}",
            "path-prefix": f"/p{index}/",
            "route-type": "idempotent",
            "timeout-s": 1.5 + (index in (revision % ROUTES, 7 * revision % ROUTES)) * revision,
            "target-latency-s": 0.25,
            "priority": 2,
            "service": "huts",
            "max-attempts": 2,
        }
        for index in range(ROUTES)
    ]
    return json.dumps(
        {"revision": revision, "hosts": [{"hostname": "a.example", "host-routes": routes}]},
        separators=(",", ":"),
    ).encode()


def figures(size: int) -> Figures:
    mesh = GossipMesh(size, size)
    mesh.run(STARTUP_S)
    before = mesh.bytes_sent
    mesh.run(CALM_S)
    calm_bytes_s = (mesh.bytes_sent - before) / CALM_S / size
    started_at: dict[int, float] = {}
    bytes_spent: list[float] = []
    for revision in range(1, STORM_CHANGES + 2):
        started_at[revision], before = mesh.now, mesh.bytes_sent
        mesh.nodes["n0:1"].gossip_server.on_configuration(revision, make_body(revision))
        gap_s = 3.0 if revision == 1 else STORM_INTERVAL_S
        mesh.run(gap_s)
        bytes_spent.append((mesh.bytes_sent - before) / size - calm_bytes_s * gap_s)
    mesh.run(3.0)
    apply_times_s = []
    for node in mesh.nodes.values():
        for revision, at in started_at.items():
            # A process that skips a revision has it when it applies a later one.
            later = [
                time for applied_revision, time in node.applied_at.items() if applied_revision >= revision
            ]
            apply_times_s.append(min(later, default=at if node.address == "n0:1" else float("inf")) - at)
    mesh.isolated.add("n5:1")
    isolated_at = mesh.now
    other_directories = [
        directory for directory in mesh.live_directories() if directory.local_record.node != "n5"
    ]
    while (
        not all(directory.is_suspected("n5") for directory in other_directories)
        and mesh.now < isolated_at + 20.0
    ):
        mesh.run(0.05)
    return Figures(
        size,
        calm_bytes_s,
        sorted(apply_times_s),
        bytes_spent[0],
        sum(bytes_spent[1:]) / STORM_CHANGES,
        mesh.now - isolated_at,
    )


def summarize(results: list[Figures]) -> dict[str, float]:
    summary: dict[str, float] = {}
    for result in results:
        summary[f"calm_bytes_s_{result.size}"] = result.calm_bytes_s
        summary[f"apply_s_p99_{result.size}"] = result.apply_times_s[int(len(result.apply_times_s) * 0.99)]
        summary[f"apply_bytes_per_proxy_{result.size}"] = result.apply_bytes
        summary[f"first_bytes_per_proxy_{result.size}"] = result.first_bytes
        summary[f"silent_s_{result.size}"] = result.detection_s
    small, large = results[-2:]
    summary["flat_bytes_ratio"] = large.calm_bytes_s / small.calm_bytes_s
    summary["flat_apply_bytes_ratio"] = large.apply_bytes / small.apply_bytes
    summary["change_over_whole_bytes"] = large.apply_bytes / len(make_body(1))
    return summary


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="no effect: the full run is quick")
    parser.parse_args()
    print_progress(
        f"fleets of {', '.join(map(str, SIZES))} processes; a configuration of {len(make_body(1))} bytes"
    )
    with get_context("fork").Pool(min(len(SIZES), os.cpu_count() or 1)) as pool:
        report(summarize(pool.map(figures, SIZES, chunksize=1)))


if __name__ == "__main__":
    main()
