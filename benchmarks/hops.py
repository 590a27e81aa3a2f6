"""Processor time of a request at both of its proxies, compared with another version of this project.

Four data planes and three control planes run as real processes on loopback (`standins/mesh.py`), under a
closed loop of requests at all data planes. The figure is the processor time of the data planes per request.
With `--beside` the checkout in that directory is measured in turn with this one, and the ratio is reported.

    git worktree add ../before REVISION && python -m benchmarks.hops --beside ../before [--quick]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory

CALLERS = 24
TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
HERE = Path(__file__).resolve().parent.parent


def processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


async def measure(seconds: float) -> dict[str, float]:
    from standins.mesh import Mesh

    with TemporaryDirectory() as name:
        mesh = Mesh(Path(name))
        try:
            await mesh.start()
            if await mesh.configure(1, 0) != 200 or not await mesh.wait_ready():
                raise SystemExit("the mesh did not become ready")
            await asyncio.sleep(1.0)
            pids = [mesh.processes[address].pid for address in mesh.planes]
            until = time.monotonic() + seconds
            before, count = sum(map(processor_s, pids)), mesh.traffic_log.request_count

            async def call(index: int) -> None:
                number = 0
                while time.monotonic() < until:
                    number += 1
                    kind = "keyed" if number % 4 == 0 else "idempotent"
                    await mesh.request(
                        mesh.planes[index % len(mesh.planes)],
                        kind,
                        f"k-{index}-{number}" if kind == "keyed" else "",
                    )

            await asyncio.gather(*(call(index) for index in range(CALLERS)))
            cpu_s = sum(map(processor_s, pids)) - before
            request_count = mesh.traffic_log.request_count - count
            return {
                "cpu_ms_per_request": 1000.0 * cpu_s / request_count,
                "asked": request_count,
                "served_share": mesh.traffic_log.status_counts[200]
                / max(sum(mesh.traffic_log.status_counts.values()), 1),
            }
        finally:
            await mesh.stop()


def run(folder: Path, seconds: float) -> dict[str, float]:
    """Measure the checkout in `folder` with its own copy of this file, which fits its stand-ins."""
    process = subprocess.run(
        [sys.executable, str(folder / "benchmarks" / "hops.py"), "--measure", str(seconds)],
        cwd=folder,
        text=True,
        env=os.environ | {"PYTHONPATH": str(folder)},
        stdout=subprocess.PIPE,
        check=True,
    )
    return dict(json.loads(process.stdout.splitlines()[-1]))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--beside", type=Path, help="a checkout of another version")
    parser.add_argument("--measure", type=float, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.measure:
        print(json.dumps(asyncio.run(measure(options.measure))))
        return
    from benchmarks.report import median, report

    seconds, rounds = (4.0, 2) if options.quick else (10.0, 5)
    folders = [HERE, *([options.beside.resolve()] if options.beside else [])]
    results: list[list[dict[str, float]]] = [[] for _ in folders]
    for _ in range(rounds):
        for index, folder in enumerate(folders):
            results[index].append(run(folder, seconds))
    costs = [
        median([measurement["cpu_ms_per_request"] for measurement in measurements])
        for measurements in results
    ]
    figures = {
        "cpu_ms_per_request": costs[0],
        "served_share": min(measurement["served_share"] for measurement in results[0]),
        "requests": sum(measurement["asked"] for measurement in results[0]),
    }
    if options.beside:
        figures |= {"cpu_ms_per_request_beside": costs[1], "cpu_over_beside": costs[0] / costs[1]}
    report(figures)


if __name__ == "__main__":
    main()
