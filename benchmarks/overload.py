"""Overload of the mesh: work done at twice its capacity, recovery from retries, and the value of hedges.

Whole meshes in memory (`simulation/mesh.py`), in virtual time: four backends with six slots of 50 ms each,
which serve at most 480 requests a second. Goodput: the value of the responses at twice the capacity, relative
to that at nine tenths of it. A response within its latency target counts 1 and a late one 0.3. A response to
a retry after an early rejection counts the mean of both, if it is within the target as counted from the
retry. Storm: clients retry at once and often; measured until 99 in 100 requests of a whole second are served
in time again. Hedges: one response in a hundred takes a second; measured with and without hedged requests.

    python -m benchmarks.overload [--quick]
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import random
import time
from collections.abc import Callable
from multiprocessing import get_context

import structlog

from benchmarks.report import report
from simulation.mesh import simulated_mesh
from standins.mesh import route

SERVICE_TIME_S, SLOTS, BACKENDS = 0.05, 6, 4
CAPACITY_PER_S = SLOTS * BACKENDS / SERVICE_TIME_S
LATENCY_TARGET_S = 0.3
SLOW_SHARE, SLOW_S = 0.01, 1.0

LATE_VALUE = 0.3  # value of a late response; a response within its target counts 1
EARLY_REJECTION_SHARE = 0.25  # of the latency target: a rejection within this time counts as early

ClientResults = list[tuple[float, float, float]]  # per request: start, duration in seconds, value


def run_load(
    seed: int,
    phases: list[tuple[float, float, int]],
    service_time_s: Callable[[random.Random], float],
    attempts: int = 3,
) -> tuple[ClientResults, int]:
    """Run a load; return the result of each request and the number of executions.

    `phases`: duration in seconds, requests a second, attempts of each client.
    """
    results: ClientResults = []
    with simulated_mesh(seed=seed, planes=BACKENDS) as mesh:
        mesh.run(
            mesh.start_configured(
                routes=[
                    route(
                        "idempotent",
                        more={
                            "target-latency-s": LATENCY_TARGET_S,
                            "timeout-s": 2.0,
                            "max-attempts": attempts,
                        },
                    )
                ]
            )
        )
        rng = random.Random(seed)
        for backend in mesh.backends.values():
            backend.capacity, backend.service_time_s = SLOTS, lambda: service_time_s(rng)

        async def run_client(max_attempts: int) -> None:
            started_at, value, was_rejected_early = time.monotonic(), 0.0, True
            address = rng.choice(mesh.planes)
            for number in range(max_attempts):
                attempted_at = time.monotonic()
                status, retry_after_s = await mesh.attempt_once(address, "idempotent")
                elapsed_s = time.monotonic() - attempted_at
                if status == 200:
                    value = (
                        (1.0 if elapsed_s <= LATENCY_TARGET_S else LATE_VALUE)
                        if not number
                        else (
                            (1.0 + LATE_VALUE) / 2.0
                            if was_rejected_early and elapsed_s <= LATENCY_TARGET_S
                            else LATE_VALUE
                        )
                    )
                    break
                was_rejected_early = (
                    was_rejected_early and elapsed_s <= EARLY_REJECTION_SHARE * LATENCY_TARGET_S
                )
                if number + 1 < max_attempts:
                    await asyncio.sleep(retry_after_s)
            results.append((started_at, time.monotonic() - started_at, value))

        async def traffic() -> None:
            tasks = []
            for seconds, per_s, max_attempts in phases:
                until = time.monotonic() + seconds
                while time.monotonic() < until:
                    tasks.append(asyncio.create_task(run_client(max_attempts)))
                    await asyncio.sleep(rng.expovariate(per_s))
            await asyncio.gather(*tasks)

        mesh.run(traffic())
        return results, sum(backend.runs for backend in mesh.backends.values())


def value(results: ClientResults) -> float:
    return sum(value for _, _, value in results)


def goodput(seed: int) -> float:
    def steady_service_time(rng: random.Random) -> float:
        return SERVICE_TIME_S * rng.uniform(0.7, 1.3)

    at_capacity, _ = run_load(seed, [(5.0, 0.9 * CAPACITY_PER_S, 2)], steady_service_time)
    overloaded, _ = run_load(seed, [(5.0, 2.0 * CAPACITY_PER_S, 2)], steady_service_time)
    return value(overloaded) / value(at_capacity)


def recovery_after_storm_s(seed: int) -> float:
    """Return the time from the end of a storm to the first second in which all are served in time."""
    results, _ = run_load(
        seed,
        [(2.0, 0.5 * CAPACITY_PER_S, 2), (3.0, 3.0 * CAPACITY_PER_S, 6), (8.0, 0.5 * CAPACITY_PER_S, 2)],
        lambda rng: SERVICE_TIME_S * rng.uniform(0.7, 1.3),
    )
    storm_ended_at = results[0][0] + 5.0
    for tenth in range(80):
        since = storm_ended_at + tenth / 10.0
        in_second = [result for result in results if since <= result[0] < since + 1.0]
        if in_second and value(in_second) >= 0.99 * len(in_second):
            return tenth / 10.0
    return float("inf")


def tail_latency(seed: int) -> tuple[float, float, float]:
    """Return the 99th percentiles with and without hedges, in s, and the share of additional executions."""

    def slow_tail_service_time(rng: random.Random) -> float:
        return SLOW_S if rng.random() < SLOW_SHARE else SERVICE_TIME_S * rng.uniform(0.7, 1.3)

    by_attempts = []
    for attempts in (3, 1):
        results, runs = run_load(seed, [(10.0, 0.3 * CAPACITY_PER_S, 1)], slow_tail_service_time, attempts)
        times = sorted(elapsed_s for _, elapsed_s, _ in results)
        by_attempts.append((times[int(len(times) * 0.99)], runs / len(results) - 1.0))
    return by_attempts[0][0], by_attempts[1][0], by_attempts[0][1]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    seeds = range(2 if parser.parse_args().quick else 8)
    logging.disable()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    with get_context("fork").Pool(os.cpu_count()) as pool:
        goodputs, recoveries, tails = (
            pool.map_async(goodput, seeds, 1),
            pool.map_async(recovery_after_storm_s, seeds, 1),
            pool.map_async(tail_latency, seeds, 1),
        )
        with_hedges, without_hedges, extra_load = (
            sum(column) / len(seeds) for column in zip(*tails.get(), strict=True)
        )
        report(
            {
                "goodput_at_2x_over_1x": min(goodputs.get()),
                "s_until_whole_after_storm": max(recoveries.get()),
                "tail_with_copies_over_without": with_hedges / without_hedges,
                "tail_s_without": without_hedges,
                "extra_load": extra_load,
            }
        )


if __name__ == "__main__":
    main()
