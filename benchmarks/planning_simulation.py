"""Planning in virtual time, over many seeds: can planners or their messages cause a violation of a rule?

It runs thousands of small fleets, and some of 1,000 forwarders, 3 planners and 300 servers, with each case
in turn (`simulation/planning.py` lists what is checked at every step). The figures of the frozen server come
from pairs of fleets with the same seed, with planners and without.

    python -m benchmarks.planning_simulation [--quick] [--large COUNT] [--small COUNT]
"""

from __future__ import annotations

import argparse
import os
import time
from collections.abc import Sequence
from multiprocessing import get_context

from benchmarks.report import median, print_progress, report
from simulation.planning import Result, SimulatedFleet, Size, play, run_schedule
from simulation.planning_cases import CASES

LARGE = Size(forwarders=1000, planners=3, servers=300, rate=2.0, skew=0.7, utilization=0.5, seconds=12.0)
QUICK_LARGE = Size(forwarders=300, planners=3, servers=90, rate=2.0, skew=0.7, utilization=0.5, seconds=8.0)


def large(seed_and_size: tuple[int, Size]) -> Result:
    seed, size = seed_and_size
    names = [*CASES]
    return run_schedule(SimulatedFleet(seed, size, names[seed % len(names)]))


def frozen_share(seed_and_size: tuple[int, int]) -> float:
    """Return the share of attempts that a server gets while frozen for good, over a fair share."""
    seed, planners = seed_and_size
    fleet = SimulatedFleet(
        seed, Size(forwarders=40, planners=planners, servers=20, rate=6.0, skew=0.0, utilization=0.4)
    )
    fleet.at(0.3, lambda: fleet.freeze("s3"))
    run_schedule(fleet)
    started_at = fleet.ends_ms - 700.0 * fleet.size.seconds
    return fleet.share_of("s3", started_at, fleet.ends_ms) * fleet.size.servers


def print_violations(kind: str, results: Sequence[Result]) -> int:
    broken = [result for result in results if result.broken]
    for result in broken[:10]:
        print_progress(f"{kind}, seed {result.seed}, {result.case}: " + "; ".join(result.broken))
    return len(broken)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--small", type=int, default=4000)
    parser.add_argument("--large", type=int, default=len(CASES))
    chosen = parser.parse_args()
    small, large_count = (200, 8) if chosen.quick else (chosen.small, chosen.large)
    size = QUICK_LARGE if chosen.quick else LARGE
    started_at = time.monotonic()
    with get_context("fork").Pool(os.cpu_count()) as pool:
        pending_large = pool.map_async(large, [(seed, size) for seed in range(large_count)], chunksize=1)
        shares = {
            planners: pool.map_async(frozen_share, [(seed, planners) for seed in range(8)], chunksize=1)
            for planners in (0, 3)
        }
        small_results = pool.map(play, range(small), chunksize=4)
        large_results = pending_large.get()
        with_planners, without = (median(shares[planners].get()) for planners in (3, 0))
    failed = print_violations("small", small_results) + print_violations("large", large_results)
    print_progress(
        f"{small} small schedules and {large_count} of {size.forwarders} forwarders in "
        f"{time.monotonic() - started_at:.0f} s; "
        f"{sum(result.requests for result in [*small_results, *large_results])} requests"
    )
    for case in CASES:
        of_case = [result for result in [*small_results, *large_results] if result.case == case]
        if of_case:
            print_progress(
                f"  {case}: cold peak {max(result.slow_start_peak for result in of_case):.2f}, alarms "
                f"{sum(result.false_alarms for result in of_case)}, sends leased "
                f"{sum(result.leases for result in of_case)}"
            )
    report(
        {
            "schedules": small + large_count,
            "forwarders_large": size.forwarders,
            "failed": failed,
            "cold_peak_over_budget": max(
                result.slow_start_peak for result in [*small_results, *large_results]
            ),
            "false_alarms_shared_slowdown": sum(
                result.false_alarms
                for result in [*small_results, *large_results]
                if result.case == "shared slowdown"
            ),
            "sick_share_with_over_without": with_planners / without if without else 0.0,
        }
    )


if __name__ == "__main__":
    main()
