"""Peak memory of real data planes while clients send bodies of many sizes at once, and what becomes of them.

Three control planes and three data planes run as processes on loopback. For each row a number of clients send
bodies of one size to the first data plane, beside small keyed requests. Reported: the largest resident memory
of any data plane, the requests without a 200, and the latency of the small requests in relation to that
without uploads.

    python -m benchmarks.uploads [--quick]
"""

from __future__ import annotations

import argparse
import asyncio
import secrets
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from statistics import quantiles
from tempfile import TemporaryDirectory

from benchmarks.report import median, print_progress, report
from standins.http_client import Headers, http_request
from standins.mesh import Mesh, route
from standins.mesh_backend import HOST, OUTBOUND_PORT

MEMORY_MB = 300
MIB = 1 << 20
DEADLINE_S = 10.0
SMALL_PER_S = 50
REFERENCE_S = 4.0
COUNTS, SIZES = (1, 2, 8, 24, 64, 200), (64 << 10, MIB, 5 * MIB, 16 * MIB, 62 * MIB)
QUICK_COUNTS, QUICK_SIZES = (1, 8, 24), (MIB, 16 * MIB)
MAX_ROW_BYTES = 640 * MIB  # of all bodies of a row, so that a row ends within its requests' deadline


@dataclass
class Row:
    """Results of one number of clients and one size of bodies."""

    count: int
    size: int
    statuses: list[int] = field(default_factory=list)
    small_ms: list[float] = field(default_factory=list)
    duration_s: float = 0.0
    peak_mib: float = 0.0

    def lost(self) -> int:
        """Return how many requests got no 200."""
        return sum(status != 200 for status in self.statuses)


async def send(address: str, kind: str, body: bytes) -> int:
    """Send one request; return its status, 0 without a response."""
    attempt = secrets.token_hex(8)
    headers: Headers = {
        "Host": HOST,
        "Cometdoor-Attempt-Id": attempt,
        "Cometdoor-Deadline-Ms": str(int(DEADLINE_S * 1000)),
    }
    if kind == "keyed":
        headers["Cometdoor-Idempotency-Key"] = attempt
    try:
        status, _, _ = await http_request(
            address, OUTBOUND_PORT, "POST", f"/{kind}/1", headers, body, DEADLINE_S + 1.0
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    return status


async def send_small(address: str, row: Row) -> None:
    """Send small keyed requests at a constant rate until cancelled."""
    pending: set[asyncio.Task[None]] = set()

    async def send_one() -> None:
        started_at = time.monotonic()
        if await send(address, "keyed", b"seat") == 200:
            row.small_ms.append((time.monotonic() - started_at) * 1000.0)

    while True:
        task = asyncio.create_task(send_one())
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1.0 / SMALL_PER_S)


def peak_mib(process_id: int) -> float:
    """Return the largest resident memory of a process since `reset_peak` (proc(5), VmHWM)."""
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM:"))


def reset_peak(process_id: int) -> None:
    """Count the largest resident memory from now on (proc(5), clear_refs)."""
    Path(f"/proc/{process_id}/clear_refs").write_text("5")


async def measure_row(mesh: Mesh, count: int, size: int, kind: str) -> Row:
    """Measure one number of clients and one size; with 0 clients for `REFERENCE_S` seconds."""
    row, address = Row(count, size), mesh.planes[0]
    process_ids = [mesh.processes[plane].pid for plane in mesh.planes]
    for process_id in process_ids:
        reset_peak(process_id)
    small = asyncio.create_task(send_small(address, row))
    await asyncio.sleep(REFERENCE_S if not count else 0.2)
    started_at = time.monotonic()
    body = b"x" * size
    row.statuses = list(await asyncio.gather(*(send(address, kind, body) for _ in range(count))))
    row.duration_s = time.monotonic() - started_at
    small.cancel()
    row.peak_mib = max(peak_mib(process_id) for process_id in process_ids)
    return row


async def measure(counts: tuple[int, ...], sizes: tuple[int, ...]) -> dict[str, float | int | str]:
    """Measure all rows, and print each."""
    with TemporaryDirectory() as name:
        mesh = Mesh(Path(name), planes=3)
        mesh.memory_mb = MEMORY_MB
        more: dict[str, object] = {"timeout-s": DEADLINE_S, "target-latency-s": DEADLINE_S}
        try:
            await mesh.start()
            routes = [route(kind, kind, more=more) for kind in ("idempotent", "keyed")]
            if await mesh.configure(1, 0, routes=routes) != 200 or not await mesh.wait_ready():
                raise SystemExit("the mesh did not become ready")
            reference = await measure_row(mesh, 0, 0, "idempotent")
            rows = [
                await print_row(mesh, count, size, kind)
                for kind in ("idempotent", "keyed")
                for size in sizes
                for count in counts
                if count * size <= MAX_ROW_BYTES
            ]
        finally:
            await mesh.stop()
    reference_ms = median(reference.small_ms)
    beside_ms = [latency_ms for row in rows for latency_ms in row.small_ms]
    return {
        "memory_mb": MEMORY_MB,
        "peak_mib": max(row.peak_mib for row in rows),
        "idle_mib": reference.peak_mib,
        "requests": sum(row.count for row in rows),
        "lost": sum(row.lost() for row in rows),
        "small_p50_over_reference": median(beside_ms) / reference_ms,
        "small_p99_over_reference": quantiles(beside_ms, n=100)[98]
        / quantiles(reference.small_ms, n=100)[98],
    }


async def print_row(mesh: Mesh, count: int, size: int, kind: str) -> Row:
    """Measure a row and print it."""
    row = await measure_row(mesh, count, size, kind)
    failures = sorted(set(row.statuses) - {200})
    print_progress(
        f"{kind:10} {count:4} x {size / MIB:7.2f} MiB: peak {row.peak_mib:6.1f} MiB,"
        f" {row.lost()} lost {failures or ''}, {row.duration_s:6.2f} s,"
        f" small p50 {median(row.small_ms or [0.0]):6.1f} ms"
    )
    return row


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    is_quick = parser.parse_args().quick
    counts, sizes = (QUICK_COUNTS, QUICK_SIZES) if is_quick else (COUNTS, SIZES)
    report(asyncio.run(measure(counts, sizes)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
