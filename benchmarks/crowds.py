"""What is left of the mesh's work in a crowd, how soon all is well after it, and what copies are worth.

Whole meshes in memory (`lab/fleet.py`), in virtual time: four backends with six places of 50 ms each, which
serve 480 requests a second at the most. Goodput: the worth of what is answered at twice what the places can
do, over the same at nine tenths of it; an answer within its aim is worth 1, a late one 0.3, and one to a
try after a refusal that came soon the mean of both, if it is within its aim from that try. Storm: clients
that come back at once and often, until 99 in 100 of a whole second are served in time again. Copies: one
answer in a hundred takes a second; with and without them.

    python -m benchmarks.crowds [--quick]
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
from lab.fleet import fleet
from standins.mesh import route

WORK_S, PLACES, BACKENDS = 0.05, 6, 4
MOST_PER_S = PLACES * BACKENDS / WORK_S
AIM_S = 0.3
SLOW_SHARE, SLOW_S = 0.01, 1.0

LATE, SOON = 0.3, 0.25  # worth of a late answer; the part of its aim within which one is refused soon

Served = list[tuple[float, float, float]]  # when it was asked, how long it took, and its worth


def play(
    seed: int,
    phases: list[tuple[float, float, int]],
    work_s: Callable[[random.Random], float],
    attempts: int = 3,
) -> tuple[Served, int]:
    """`phases`: seconds, requests a second, tries of each client. What became of each, and the runs."""
    served: Served = []
    with fleet(seed=seed, planes=BACKENDS) as town:
        town.run(
            town.begin(
                routes=[
                    route(
                        "idempotent",
                        more={"target-latency-s": AIM_S, "timeout-s": 2.0, "max-attempts": attempts},
                    )
                ]
            )
        )
        chance = random.Random(seed)
        for backend in town.backends.values():
            backend.capacity, backend.work_s = PLACES, lambda: work_s(chance)

        async def one(tries: int) -> None:
            began, worth, was_soon = time.monotonic(), 0.0, True
            address = chance.choice(town.planes)
            for number in range(tries):
                at = time.monotonic()
                status, pause_s = await town.one_try(address, "idempotent")
                took = time.monotonic() - at
                if status == 200:
                    worth = (
                        (1.0 if took <= AIM_S else LATE)
                        if not number
                        else ((1.0 + LATE) / 2.0 if was_soon and took <= AIM_S else LATE)
                    )
                    break
                was_soon = was_soon and took <= SOON * AIM_S
                if number + 1 < tries:
                    await asyncio.sleep(pause_s)
            served.append((began, time.monotonic() - began, worth))

        async def traffic() -> None:
            tasks = []
            for seconds, per_s, tries in phases:
                until = time.monotonic() + seconds
                while time.monotonic() < until:
                    tasks.append(asyncio.create_task(one(tries)))
                    await asyncio.sleep(chance.expovariate(per_s))
            await asyncio.gather(*tasks)

        town.run(traffic())
        return served, sum(backend.runs for backend in town.backends.values())


def worth(served: Served) -> float:
    return sum(worth for _, _, worth in served)


def goodput(seed: int) -> float:
    def steady(chance: random.Random) -> float:
        return WORK_S * chance.uniform(0.7, 1.3)

    calm, _ = play(seed, [(5.0, 0.9 * MOST_PER_S, 2)], steady)
    crowd, _ = play(seed, [(5.0, 2.0 * MOST_PER_S, 2)], steady)
    return worth(crowd) / worth(calm)


def storm(seed: int) -> float:
    """Seconds from the end of a storm until the first whole second in which all are served in time."""
    served, _ = play(
        seed,
        [(2.0, 0.5 * MOST_PER_S, 2), (3.0, 3.0 * MOST_PER_S, 6), (8.0, 0.5 * MOST_PER_S, 2)],
        lambda chance: WORK_S * chance.uniform(0.7, 1.3),
    )
    over = served[0][0] + 5.0
    for tenth in range(80):
        since = over + tenth / 10.0
        second = [one for one in served if since <= one[0] < since + 1.0]
        if second and worth(second) >= 0.99 * len(second):
            return tenth / 10.0
    return float("inf")


def tail(seed: int) -> tuple[float, float, float]:
    """At the 99th percentile: with copies, and without; and the extra runs."""

    def slow(chance: random.Random) -> float:
        return SLOW_S if chance.random() < SLOW_SHARE else WORK_S * chance.uniform(0.7, 1.3)

    found = []
    for attempts in (3, 1):
        served, runs = play(seed, [(10.0, 0.3 * MOST_PER_S, 1)], slow, attempts)
        times = sorted(took for _, took, _ in served)
        found.append((times[int(len(times) * 0.99)], runs / len(served) - 1.0))
    return found[0][0], found[1][0], found[0][1]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    seeds = range(2 if parser.parse_args().quick else 8)
    logging.disable()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    with get_context("fork").Pool(os.cpu_count()) as pool:
        goods, storms, tails = (
            pool.map_async(goodput, seeds, 1),
            pool.map_async(storm, seeds, 1),
            pool.map_async(tail, seeds, 1),
        )
        with_copies, without, extra = (sum(column) / len(seeds) for column in zip(*tails.get(), strict=True))
        report(
            {
                "goodput_at_2x_over_1x": min(goods.get()),
                "s_until_whole_after_storm": max(storms.get()),
                "tail_with_copies_over_without": with_copies / without,
                "tail_s_without": without,
                "extra_load": extra,
            }
        )


if __name__ == "__main__":
    main()
