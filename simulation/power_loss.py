"""Loss of power after every operation on a replica's log files, and what a restart recovers then.

`simulation.disk_recorder` records the operations of the write-ahead log on a real directory.
`simulation.power_loss_outcomes` derives the directories that a loss of power may leave.
`simulation.recorded_run` runs a replica group and records its first machine, together with the guarantees
that its disk must fulfil. `check_power_losses` recovers the log from every outcome.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

from cometdoor.control.write_ahead_log import recover_log
from simulation.disk_recorder import (
    FilesByName,
)
from simulation.power_loss_outcomes import power_loss_outcomes
from simulation.recorded_run import RecordedRun


@dataclass
class PowerLossReport:
    """How many outcomes were tried, and how recovery failed in some of them."""

    tried: int = 0
    recovered: int = 0
    snapshots_installed: int = 0  # in the recorded runs
    failed_operations: int = 0  # disk operations, in the recorded runs
    violations: list[str] = field(default_factory=list)

    def add(self, other: PowerLossReport) -> None:
        """Add the counts of another run."""
        self.tried += other.tried
        self.recovered += other.recovered
        self.snapshots_installed += other.snapshots_installed
        self.failed_operations += other.failed_operations
        self.violations += other.violations


def check_power_losses(run: RecordedRun, seed: int, stop_at_first: bool = False) -> PowerLossReport:
    """Simulate a loss of power after each operation, and recover from each outcome.

    `stop_at_first`: return at the first outcome that does not recover.
    """
    rng = random.Random(seed)
    report = PowerLossReport(
        snapshots_installed=run.snapshots_installed, failed_operations=run.failed_operations
    )
    with TemporaryDirectory(prefix="cometdoor-simulation-") as name:
        path = Path(name)
        for count in range(len(run.operations) + 1):
            for directory in power_loss_outcomes(run.operations[:count], rng):
                report.tried += 1
                violation = _check_directory(path, directory, run, count)
                report.recovered += not violation
                if violation:
                    report.violations.append(f"seed {seed}: {violation}")
                    if stop_at_first:
                        return report
    return report


def _check_directory(path: Path, directory: FilesByName, run: RecordedRun, count: int) -> str:
    """Recover from one outcome; return what is wrong with it, or an empty string."""
    for old_file in path.iterdir():
        old_file.unlink()
    for name, content in directory.items():
        (path / name).write_bytes(content)
    recovered, _ = recover_log(path)
    if recovered.is_corrupt:
        return f"after {count} operations recovery reports the disk as corrupt"
    return run.check(count, recovered.durable_state)
