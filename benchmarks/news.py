"""What news costs a process, and how soon it is everywhere, as the fleet grows.

`Directory` and `Exchange` over lines in memory (`lab/news.py`); times are virtual, bytes are those of frames.
Calm: nobody has anything to say. Apply: a configuration of 1,000 routes of which two change, in a storm of
three a second; the first one is new to all. Silence: one process is cut off, until all others know.

    python -m benchmarks.news [--quick]
"""

from __future__ import annotations

import argparse
import json
import os
from multiprocessing import get_context
from typing import NamedTuple

from benchmarks.report import report, say
from lab.news import Town

SIZES = (12, 100, 1_000)
ROUTES, CHANGED, STORM, STORM_GAP_S = 1_000, 2, 6, 0.33
BOOT_S, CALM_S = 8.0, 4.0


class Figures(NamedTuple):
    size: int
    calm_bytes_s: float  # of one process
    apply_s: list[float]  # of each change at each process
    first_bytes: float  # of one process, for a configuration of which it knows nothing
    apply_bytes: float  # for each later one
    silent_s: float


def body(revision: int) -> bytes:
    routes = [
        {
            "name": f"r-{place}",
            "path-prefix": f"/p{place}/",
            "route-type": "idempotent",
            "timeout-s": 1.5 + (place in (revision % ROUTES, 7 * revision % ROUTES)) * revision,
            "target-latency-s": 0.25,
            "priority": 2,
            "service": "huts",
            "max-attempts": 2,
        }
        for place in range(ROUTES)
    ]
    return json.dumps(
        {"revision": revision, "hosts": [{"hostname": "a.example", "host-routes": routes}]},
        separators=(",", ":"),
    ).encode()


def figures(size: int) -> Figures:
    town = Town(size, size)
    town.run(BOOT_S)
    before = town.bytes_sent
    town.run(CALM_S)
    calm = (town.bytes_sent - before) / CALM_S / size
    began: dict[int, float] = {}
    spent: list[float] = []
    for revision in range(1, STORM + 2):
        began[revision], before = town.now, town.bytes_sent
        town.all["n0:1"].exchange.configured(revision, body(revision))
        gap_s = 3.0 if revision == 1 else STORM_GAP_S
        town.run(gap_s)
        spent.append((town.bytes_sent - before) / size - calm * gap_s)
    town.run(3.0)
    applied = []
    for node in town.all.values():
        for revision, at in began.items():
            # Whoever goes from one to the next but one has that one when it has the later.
            later = [time for taken, time in node.configured_at.items() if taken >= revision]
            applied.append(min(later, default=at if node.address == "n0:1" else float("inf")) - at)
    town.cut.add("n5:1")
    cut_at = town.now
    others = [one for one in town.up() if one.own.node != "n5"]
    while not all(one.is_silent("n5") for one in others) and town.now < cut_at + 20.0:
        town.run(0.05)
    return Figures(size, calm, sorted(applied), spent[0], sum(spent[1:]) / STORM, town.now - cut_at)


def tell(found: list[Figures]) -> dict[str, float]:
    out: dict[str, float] = {}
    for one in found:
        out[f"calm_bytes_s_{one.size}"] = one.calm_bytes_s
        out[f"apply_s_p99_{one.size}"] = one.apply_s[int(len(one.apply_s) * 0.99)]
        out[f"apply_bytes_per_proxy_{one.size}"] = one.apply_bytes
        out[f"first_bytes_per_proxy_{one.size}"] = one.first_bytes
        out[f"silent_s_{one.size}"] = one.silent_s
    small, large = found[-2:]
    out["flat_bytes_ratio"] = large.calm_bytes_s / small.calm_bytes_s
    out["flat_apply_bytes_ratio"] = large.apply_bytes / small.apply_bytes
    out["change_over_whole_bytes"] = large.apply_bytes / len(body(1))
    return out


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="the same; it is quick")
    parser.parse_args()
    say(f"fleets of {', '.join(map(str, SIZES))} processes; a configuration of {len(body(1))} bytes")
    with get_context("fork").Pool(min(len(SIZES), os.cpu_count() or 1)) as pool:
        report(tell(pool.map(figures, SIZES, chunksize=1)))


if __name__ == "__main__":
    main()
