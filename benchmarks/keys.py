"""Does a key run once, does the budget hold, and what do they cost?

Keyed operations over proxies and a core that fail (`lab/keys.py`); the budget of one service over 9 to 1,000
proxies (`lab/budget.py`); three ways of ordering a claim, over an empty one that goes to a member and back
(`lab/claims.py`). Times are virtual.

    python -m benchmarks.keys [--quick] [--schedules COUNT]
"""

from __future__ import annotations

import argparse
import os
from multiprocessing import get_context

from benchmarks.report import report, say
from lab import budget
from lab.claims import WAY_S, WAYS, Cost, cost
from lab.keys import keyed_schedule
from lab.replica_group import Broken

CLAIMS_PER_S = 154.0  # as many as the busier of the users' sites orders
EMPTY_MS = 2 * WAY_S * 1000.0  # to a member in another zone, and back
SIZES = (9, 12, 30, 60)
LARGE = 1_000

Ran = tuple[int, int, int, str]  # keys, runs, answers, and what did not hold


def keys(seed: int) -> Ran:
    try:
        figures = keyed_schedule(seed, 3.0, 1.5)
        return figures.keys, figures.runs, figures.answered, ""
    except Broken as broken:
        return 0, 0, 0, str(broken)


def peak(job: tuple[int, int]) -> float:
    seed, size = job
    return budget.schedule(seed, size, 12.0 if size == LARGE else 30.0).peak()


def in_need(share: float) -> tuple[float, float]:
    """Of all that is allowed, what that share of nine proxies uses that want more than they may have: ten
    seconds after they began, and in the end."""
    town = budget.Town(9, 1)
    for proxy in town.proxies:
        proxy.per_s = 600.0 / 9
    town.live(30.0)
    for proxy in town.proxies[: round(9 * share)]:
        proxy.wants_per_s = 150.0
    found = []
    for seconds in (10.0, 35.0):
        town.live(seconds)
        found.append(town.used(town.now) / town.allowed(town.now))
    return found[0], found[1]


def claims(name: str) -> Cost:
    return cost(name, CLAIMS_PER_S)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--schedules", type=int, default=20_000)
    chosen = parser.parse_args()
    schedules = 2_000 if chosen.quick else chosen.schedules
    jobs = [(seed, SIZES[seed % len(SIZES)]) for seed in range(schedules // 4)]
    jobs += [(seed, LARGE) for seed in range(2 if chosen.quick else 20)]
    with get_context("fork").Pool(os.cpu_count()) as pool:
        peaks = pool.map_async(peak, jobs[::-1], chunksize=1)
        needed = pool.map_async(in_need, (1 / 3, 1.0), chunksize=1)
        costs = pool.map_async(claims, list(WAYS), chunksize=1)
        ran = pool.map_async(keys, range(schedules), chunksize=10)
        figures: dict[str, float | int] = {}
        for name, one in zip(WAYS, costs.get(), strict=True):
            figures |= {
                f"{name}_ms_p50_over_empty": one.p50_ms / EMPTY_MS,
                f"{name}_ms_p99_over_empty": one.p99_ms / EMPTY_MS,
                f"{name}_syncs_per_claim": one.syncs_per_claim,
                f"{name}_messages_per_claim": one.messages_per_claim,
                f"{name}_loss_ms_p50": one.loss_p50_ms,
                f"{name}_loss_ms_worst": one.loss_worst_ms,
            }
        third, everybody = needed.get()
        results = ran.get()
        broken = [text for *_, text in results if text]
        for text in broken[:5]:
            say(f"BROKEN: {text}")
        all_keys = sum(one[0] for one in results)
        runs, answered = sum(one[1] for one in results), sum(one[2] for one in results)
        report(
            {
                "schedules": schedules,
                "keys": all_keys,
                "runs": runs,
                "runs_over_keys": runs / max(all_keys, 1),
                "answered": answered,
                "broken": len(broken),
                "acknowledged_lost": sum("lost" in text or "answers" in text for text in broken),
                "budget_schedules": len(jobs),
                "budget_peak_over_allowed": max(peaks.get()),
                "budget_used_of_allowed_in_need": third[1],
                "budget_used_after_10_s": third[0],
                "budget_used_when_all_need": everybody[1],
                **figures,
            }
        )


if __name__ == "__main__":
    main()
