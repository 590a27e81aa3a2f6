"""Keyed operations and the retry budget: is a key executed once, is the budget respected, and at what cost?

Keyed operations over proxies and a replica group that fail (`simulation/keyed_operations.py`); the budget of
one service over 9 to 1,000 proxies (`simulation/retry_budget.py`); three protocols that replicate a claim,
relative to an empty round trip to a member (`simulation/claim_protocols.py`). Times are virtual.

    python -m benchmarks.keys [--quick] [--schedules COUNT]
"""

from __future__ import annotations

import argparse
import os
from multiprocessing import get_context

from benchmarks.report import print_progress, report
from simulation import retry_budget
from simulation.claim_protocols import NETWORK_DELAY_S, PROTOCOLS, Cost, measure_cost
from simulation.invariants import InvariantError
from simulation.keyed_operations import run_keyed_schedule

CLAIMS_PER_S = 154.0  # rate of the operators' busier site
ROUND_TRIP_MS = 2 * NETWORK_DELAY_S * 1000.0  # to a member in another zone, and back
PROXY_COUNTS = (9, 12, 30, 60)
LARGE_PROXY_COUNT = 1_000

ScheduleResult = tuple[int, int, int, str]  # keys, executions, responses, and the violation


def play_keyed_schedule(seed: int) -> ScheduleResult:
    try:
        figures = run_keyed_schedule(seed, 3.0, 1.5)
        return figures.keys, figures.executions, figures.answered_attempts, ""
    except InvariantError as error:
        return 0, 0, 0, str(error)


def peak_budget_use(seed_and_size: tuple[int, int]) -> float:
    seed, size = seed_and_size
    return retry_budget.run_schedule(seed, size, 12.0 if size == LARGE_PROXY_COUNT else 30.0).peak_share()


def use_by_needy_proxies(share: float) -> tuple[float, float]:
    """Return the share of the allowed retries that demanding proxies use, early and in the end.

    `share`: of nine proxies, those that demand more retries than allowed. Early is ten seconds after their
    demand began.
    """
    mesh = retry_budget.BudgetMesh(9, 1)
    for proxy in mesh.proxies:
        proxy.requests_per_s = 600.0 / 9
    mesh.advance(30.0)
    for proxy in mesh.proxies[: round(9 * share)]:
        proxy.wanted_retries_per_s = 150.0
    shares = []
    for seconds in (10.0, 35.0):
        mesh.advance(seconds)
        shares.append(mesh.retries_used(mesh.now) / mesh.retries_allowed(mesh.now))
    return shares[0], shares[1]


def claim_cost(name: str) -> Cost:
    return measure_cost(name, CLAIMS_PER_S)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--schedules", type=int, default=20_000)
    arguments = parser.parse_args()
    schedules = 2_000 if arguments.quick else arguments.schedules
    jobs = [(seed, PROXY_COUNTS[seed % len(PROXY_COUNTS)]) for seed in range(schedules // 4)]
    jobs += [(seed, LARGE_PROXY_COUNT) for seed in range(2 if arguments.quick else 20)]
    with get_context("fork").Pool(os.cpu_count()) as pool:
        peaks = pool.map_async(peak_budget_use, jobs[::-1], chunksize=1)
        needy = pool.map_async(use_by_needy_proxies, (1 / 3, 1.0), chunksize=1)
        claim_costs = pool.map_async(claim_cost, list(PROTOCOLS), chunksize=1)
        pending_results = pool.map_async(play_keyed_schedule, range(schedules), chunksize=10)
        figures: dict[str, float | int] = {}
        for name, result in zip(PROTOCOLS, claim_costs.get(), strict=True):
            figures |= {
                f"{name}_ms_p50_over_empty": result.p50_ms / ROUND_TRIP_MS,
                f"{name}_ms_p99_over_empty": result.p99_ms / ROUND_TRIP_MS,
                f"{name}_syncs_per_claim": result.syncs_per_claim,
                f"{name}_messages_per_claim": result.messages_per_claim,
                f"{name}_loss_ms_p50": result.loss_p50_ms,
                f"{name}_loss_ms_worst": result.loss_worst_ms,
            }
        one_third_needy, all_needy = needy.get()
        results = pending_results.get()
        violations = [text for *_, text in results if text]
        for text in violations[:5]:
            print_progress(f"BROKEN: {text}")
        all_keys = sum(result[0] for result in results)
        executions, answered_attempts = (
            sum(result[1] for result in results),
            sum(result[2] for result in results),
        )
        report(
            {
                "schedules": schedules,
                "keys": all_keys,
                "runs": executions,
                "runs_over_keys": executions / max(all_keys, 1),
                "answered": answered_attempts,
                "broken": len(violations),
                "acknowledged_lost": sum(
                    "lost" in text or "different responses" in text for text in violations
                ),
                "budget_schedules": len(jobs),
                "budget_peak_over_allowed": max(peaks.get()),
                "budget_used_of_allowed_in_need": one_third_needy[1],
                "budget_used_after_10_s": one_third_needy[0],
                "budget_used_when_all_need": all_needy[1],
                **figures,
            }
        )


if __name__ == "__main__":
    main()
