"""Second losses: what does one cost after each kind of repair, and are membership changes correct?

It runs histories of two losses with every kind of repair between them (`simulation/second_losses.py`), whose
membership changes are checked against a sequential group (`simulation/membership_history.py`); searches and
long random walks from stages in the middle of repairs; and checks that planted defects are found
(`simulation/planted_membership_defects.py`). Times are virtual.

    python -m benchmarks.membership [--quick] [--plays COUNT]
"""

from __future__ import annotations

import argparse
import os
from collections.abc import Sequence
from dataclasses import dataclass, replace
from multiprocessing import get_context
from multiprocessing.pool import Pool

from benchmarks.report import print_progress, report
from simulation.invariants import InvariantError
from simulation.planted_membership_defects import (
    MEMBERSHIP_DEFECTS,
    STAGES,
    explore_from,
    find_violation,
    walk_with_repairs,
)
from simulation.second_losses import ScenarioOutcome, make_scenario, run_scenario


@dataclass(frozen=True, slots=True)
class Extent:
    """Number of runs of each kind, and their size."""

    scenarios: int
    stage_depth: int  # of the search from each stage of a repair
    walks: int


QUICK = Extent(scenarios=120, stage_depth=1, walks=200)
FULL = Extent(scenarios=6_000, stage_depth=2, walks=10_000)


@dataclass(frozen=True, slots=True)
class SearchResult:
    """Number of states or steps, and the violation; empty: none."""

    count: int
    broken: str = ""


def second_loss(number: int) -> ScenarioOutcome:
    return run_scenario(make_scenario(number))


def stage(job: tuple[str, int]) -> SearchResult:
    try:
        return SearchResult(explore_from(*job))
    except InvariantError as broken:
        return SearchResult(0, f"stage {job[0]}: {broken}")


def walk(seed: int) -> SearchResult:
    try:
        return SearchResult(walk_with_repairs(seed))
    except InvariantError as broken:
        return SearchResult(0, f"walk {seed}: {broken}")


class RunningJobs:
    """The benchmark's jobs, started in a pool of processes."""

    def __init__(self, pool: Pool, extent: Extent) -> None:
        self._extent = extent
        stages = [(name, extent.stage_depth) for name in STAGES]
        self._stages = pool.map_async(stage, stages, chunksize=1)
        self._planted = pool.map_async(find_violation, list(MEMBERSHIP_DEFECTS), chunksize=1)
        self._scenarios = pool.map_async(second_loss, range(extent.scenarios), chunksize=2)
        self._walks = pool.map_async(walk, range(extent.walks), chunksize=10)

    def figures(self) -> dict[str, float | int | str]:
        outcomes, detections = self._scenarios.get(), self._planted.get()
        explored, walked = self._stages.get(), self._walks.get()
        broken = [result.broken for result in [*explored, *walked] if result.broken]
        for text in [*broken, *(result.violation for result in outcomes if result.violation)][:10]:
            print_progress(f"BROKEN: {text}")
        for name, detection in zip(MEMBERSHIP_DEFECTS, detections, strict=True):
            print_progress(f"{name}: {detection[:100] or 'NOT FOUND'}")
        return {
            "second_losses_tried": len(outcomes),
            "second_losses_survived": sum(not result.violation for result in outcomes),
            **_reduced_tolerance(outcomes),
            "repair_states": sum(result.count for result in explored),
            "repair_depth": self._extent.stage_depth,
            "repair_steps_walked": sum(result.count for result in walked),
            "repairs_broken": len(broken),
            "membership_planted": len(MEMBERSHIP_DEFECTS),
            "membership_planted_found": sum(map(bool, detections)),
        }


def _reduced_tolerance(outcomes: Sequence[ScenarioOutcome]) -> dict[str, float | int | str]:
    """Summarize for how long after a return the group tolerated fewer losses than configured."""
    figures: dict[str, float | int | str] = {}
    survived = [result for result in outcomes if not result.violation]
    for losses in sorted({result.scenario.fault_tolerance for result in survived}):
        ordered = sorted(
            (result for result in survived if result.scenario.fault_tolerance == losses),
            key=lambda result: result.reduced_tolerance_s,
        )
        name = f"short_after_{losses}_lost_s"
        figures[f"{name}_p50"] = ordered[len(ordered) // 2].reduced_tolerance_s
        figures[f"{name}_worst"] = ordered[-1].reduced_tolerance_s
        figures[f"{name}_worst_path"] = " + ".join(ordered[-1].scenario.paths)
    return figures


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--plays", type=int)
    chosen = parser.parse_args()
    extent = QUICK if chosen.quick else FULL
    extent = replace(extent, scenarios=chosen.plays or extent.scenarios)
    with get_context("fork").Pool(os.cpu_count()) as pool:
        report(RunningJobs(pool, extent).figures())


if __name__ == "__main__":
    main()
