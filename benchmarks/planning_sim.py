"""Does anything that planners and notes may do break a rule? The fleet in virtual time, over many seeds.

Small fleets by thousands, and some of 1,000 forwarders, 3 planners and 300 servers, each case in turn
(`standins/fleet.py` has what is checked at every step). The figures of the frozen server are of a pair of
fleets with the same seed, with planners and without.

    python -m benchmarks.planning_sim [--quick] [--large COUNT] [--small COUNT]
"""

from __future__ import annotations

import argparse
import os
import time
from collections.abc import Sequence
from multiprocessing import get_context

from benchmarks.report import median, report, say
from standins.fleet import CASES, Fleet, Result, Size, outcome, play

LARGE = Size(forwarders=1000, planners=3, servers=300, rate=2.0, skew=0.7, busy=0.5, seconds=12.0)
QUICK_LARGE = Size(forwarders=300, planners=3, servers=90, rate=2.0, skew=0.7, busy=0.5, seconds=8.0)


def large(job: tuple[int, Size]) -> Result:
    seed, size = job
    names = [*CASES]
    return outcome(Fleet(seed, size, names[seed % len(names)]))


def frozen_share(job: tuple[int, int]) -> float:
    """What a server that stands still for good gets of all sends, over what each of the servers should."""
    seed, planners = job
    fleet = Fleet(seed, Size(forwarders=40, planners=planners, servers=20, rate=6.0, skew=0.0, busy=0.4))
    fleet.at(0.3, lambda: fleet.freeze("s3"))
    outcome(fleet)
    began = fleet.ends_ms - 700.0 * fleet.size.seconds
    return fleet.share_of("s3", began, fleet.ends_ms) * fleet.size.servers


def tell(kind: str, results: Sequence[Result]) -> int:
    broken = [one for one in results if one.broken]
    for one in broken[:10]:
        say(f"{kind}, seed {one.seed}, {one.case}: " + "; ".join(one.broken))
    return len(broken)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--small", type=int, default=4000)
    parser.add_argument("--large", type=int, default=len(CASES))
    chosen = parser.parse_args()
    small, many = (200, 8) if chosen.quick else (chosen.small, chosen.large)
    size = QUICK_LARGE if chosen.quick else LARGE
    began = time.monotonic()
    with get_context("fork").Pool(os.cpu_count()) as pool:
        big = pool.map_async(large, [(seed, size) for seed in range(many)], chunksize=1)
        shares = {
            planners: pool.map_async(frozen_share, [(seed, planners) for seed in range(8)], chunksize=1)
            for planners in (0, 3)
        }
        found = pool.map(play, range(small), chunksize=4)
        found_big = big.get()
        with_planners, without = (median(shares[planners].get()) for planners in (3, 0))
    failed = tell("small", found) + tell("large", found_big)
    say(
        f"{small} small schedules and {many} of {size.forwarders} forwarders in "
        f"{time.monotonic() - began:.0f} s; {sum(one.requests for one in [*found, *found_big])} requests"
    )
    for case in CASES:
        of_case = [one for one in [*found, *found_big] if one.case == case]
        if of_case:
            say(
                f"  {case}: cold peak {max(one.cold_peak for one in of_case):.2f}, alarms "
                f"{sum(one.alarms for one in of_case)}, sends lent {sum(one.loans for one in of_case)}"
            )
    report(
        {
            "schedules": small + many,
            "forwarders_large": size.forwarders,
            "failed": failed,
            "cold_peak_over_budget": max(one.cold_peak for one in [*found, *found_big]),
            "false_alarms_shared_slowdown": sum(
                one.alarms for one in [*found, *found_big] if one.case == "shared slowdown"
            ),
            "sick_share_with_over_without": with_planners / without if without else 0.0,
        }
    )


if __name__ == "__main__":
    main()
