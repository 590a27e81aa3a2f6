"""Catching up after hundreds of changes: duration, disk space, and recovery from power losses.

- A replica that missed 1,000 changes of 250 kB returns while changes and claims continue
  (`simulation/catch_up.py`). Links and disks are modelled: small is 3 replicas, 1000 Mbit/s and 1 ms one way;
  grown is 5 replicas, 86 Mbit/s and 1.4 ms; disks take 1 ms per sync and write 60 MB a second.
- An hour of three such changes a second at `ReplicaServer` over real files, with a disk that is slow, hangs
  and fails every write (`simulation/long_run.py`).
- A power loss at each operation on the files of a replica that installs snapshots in chunks and compacts its
  log, with each possible outcome (`simulation/power_loss.py`).
- Planted defects that must be found (`simulation/planted_snapshot_defects.py`).

Times are virtual.

    python -m benchmarks.catch_up [--quick] [--processes COUNT]
"""

from __future__ import annotations

import argparse
import logging
from dataclasses import dataclass
from multiprocessing import get_context
from multiprocessing.pool import Pool

import structlog

from benchmarks.report import print_progress, report
from simulation.catch_up import CHANGES, GROWN, SMALL, CatchUpResult, Site, catch_up
from simulation.invariants import InvariantError
from simulation.long_run import LongRunFigures, long_run
from simulation.planted_snapshot_defects import DEFECTS, DISK_FAULT_ONE_IN, find_violation
from simulation.power_loss import PowerLossReport, check_power_losses
from simulation.recorded_run import record_replica_run
from simulation.snapshot_schedules import run_snapshot_schedule

SITES = (SMALL, GROWN)
QUICK_PROCESSES = 2


@dataclass(frozen=True, slots=True)
class Extent:
    """Number of runs of each kind, and their size."""

    runs: int  # recorded runs, with a power loss at every operation
    schedules: int  # with frequent snapshots


QUICK = Extent(runs=4, schedules=40)
FULL = Extent(runs=200, schedules=4_000)


def _silence_logs() -> None:
    """Log only critical events: `ReplicaServer` logs each write that the disk fails."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


def returns(site: Site) -> CatchUpResult:
    """Measure how a replica of a site catches up. Raises InvariantError."""
    return catch_up(site, CHANGES)


def hour(seconds: float) -> LongRunFigures:
    _silence_logs()
    return long_run(seconds)


def power_losses(seed: int) -> PowerLossReport:
    """Check the power losses of a recorded run; in every second one the disk fails some operations."""
    try:
        return check_power_losses(record_replica_run(seed, DISK_FAULT_ONE_IN * (seed % 2)), seed)
    except InvariantError as broken:
        return PowerLossReport(violations=[f"seed {seed}: {broken}"])


def schedules(seed: int) -> tuple[int, int, str]:
    """Return snapshots installed, changes acknowledged, and the violation if there is one."""
    try:
        group = run_snapshot_schedule(seed)
    except InvariantError as broken:
        return 0, 0, str(broken)
    return group.snapshots_installed, len(group.acknowledged), ""


def total(results: list[PowerLossReport]) -> PowerLossReport:
    total_report = PowerLossReport()
    for power_loss_report in results:
        total_report.add(power_loss_report)
    return total_report


class RunningJobs:
    """The benchmark's jobs, started in a pool of processes."""

    def __init__(self, pool: Pool, extent: Extent) -> None:
        self._extent = extent
        self._hour = pool.map_async(hour, [3600.0], chunksize=1)
        self._returns = pool.map_async(returns, SITES, chunksize=1)
        self._power_losses = pool.map_async(power_losses, range(extent.runs), chunksize=1)
        self._planted = pool.map_async(find_violation, list(DEFECTS), chunksize=1)
        self._schedules = pool.map_async(schedules, range(extent.schedules), chunksize=5)

    def figures(self) -> dict[str, float | int | str]:
        small, grown = self._returns.get()
        disk = self._hour.get()[0]
        total_report = total(self._power_losses.get())
        detections = self._planted.get()
        snapshots_installed, acknowledged, broken = zip(*self._schedules.get(), strict=True)
        for name, detection in zip(DEFECTS, detections, strict=True):
            print_progress(f"{name}: {detection[:100] or 'NOT FOUND'}")
        for text in [*total_report.violations[:5], *filter(None, broken)][:10]:
            print_progress(f"BROKEN: {text}")
        return {
            "catch_up_s_at_1000_changes": small.seconds,
            "catch_up_bytes": small.bytes,
            "catch_up_s_at_1000_changes_grown": grown.seconds,
            "catch_up_bytes_grown": grown.bytes,
            "disk_peak_mb_in_an_hour": disk.peak_bytes / 1e6,
            "changes_in_an_hour": disk.acknowledged,
            "lost_in_an_hour": disk.lost,
            "files_begun_in_an_hour": disk.compactions,
            "cuts_tried": total_report.tried,
            "cuts_recovered": total_report.recovered,
            "cuts_broken": len(total_report.violations),
            "operations_refused": total_report.failed_operations,
            "snapshot_schedules": self._extent.schedules,
            "snapshots_installed": total_report.snapshots_installed + sum(snapshots_installed),
            "snapshot_schedules_acknowledged": sum(acknowledged),
            "snapshot_schedules_broken": sum(map(bool, broken)),
            "catch_up_planted": len(DEFECTS),
            "catch_up_planted_found": sum(map(bool, detections)),
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--processes", type=int, default=QUICK_PROCESSES)
    chosen = parser.parse_args()
    with get_context("fork").Pool(chosen.processes) as pool:
        report(RunningJobs(pool, QUICK if chosen.quick else FULL).figures())


if __name__ == "__main__":
    main()
