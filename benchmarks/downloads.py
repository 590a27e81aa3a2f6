"""Downloads through both hops of the mesh: time to the first byte, and throughput, by size.

Three control planes and two data planes run as processes on loopback; a client downloads through the first
data plane from the backend beside the second. Each row repeats one size; the same bytes are then read from
the backend directly, so that the ratios compare within one run.

    python -m benchmarks.downloads [--quick]
"""

from __future__ import annotations

import argparse
import asyncio
import secrets
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

from benchmarks.report import median, print_progress, report
from standins.mesh import Mesh, route
from standins.mesh_backend import APPLICATION_PORT, HOST, OUTBOUND_PORT, Backend

MIB = 1 << 20
SIZES = {"64k": 64 << 10, "900k": 900 << 10, "1m": MIB, "16m": 16 * MIB, "60m": 60 * MIB}
QUICK_SIZES = ("900k", "16m")
REPEATS, QUICK_REPEATS = 15, 4
TIMEOUT_S = 20.0
READ_BYTES = 256 << 10


@dataclass
class Row:
    """Downloads of one size on one path; those that failed have no times."""

    size: int
    first_byte_ms: list[float] = field(default_factory=list)
    mib_per_s: list[float] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)


async def download(address: str, port: int, kind: str, size: int, instance: str, row: Row) -> None:
    """Download once, and add the times to the row."""
    head = "\r\n".join(
        [
            f"GET /{kind}/1 HTTP/1.1",
            f"Host: {HOST}",
            f"Cometdoor-Attempt-Id: {secrets.token_hex(8)}",
            f"Cometdoor-Deadline-Ms: {int(TIMEOUT_S * 1000)}",
            *([f"Cometdoor-Expected-Instance: {instance}"] if instance else []),
            "Connection: close",
            "",
            "",
        ]
    )
    reader, writer = await asyncio.open_connection(address, port, limit=1 << 20)
    try:
        started_at = time.monotonic()
        writer.write(head.encode())
        response_head = await reader.readuntil(b"\r\n\r\n")
        first_byte_at = time.monotonic()
        received = 0
        while received < size and (data := await reader.read(READ_BYTES)):
            received += len(data)
        ended_at = time.monotonic()
    finally:
        writer.close()
    if not response_head.startswith(b"HTTP/1.1 200") or received < size:
        status = response_head.split(b"\r\n", 1)[0].decode()
        row.failures.append(f"{status}, {received} bytes")
        return
    row.first_byte_ms.append((first_byte_at - started_at) * 1000.0)
    row.mib_per_s.append(received / MIB / (ended_at - started_at))


async def measure_row(address: str, port: int, kind: str, repeats: int, instance: str = "") -> Row:
    """Download one size `repeats` times, one after the other."""
    row = Row(SIZES[kind])
    for _ in range(repeats):
        async with asyncio.timeout(TIMEOUT_S):
            await download(address, port, kind, row.size, instance, row)
    return row


async def measure(kinds: tuple[str, ...], repeats: int) -> dict[str, float | int | str]:
    """Measure all sizes, through the mesh and directly in turn."""
    figures: dict[str, float | int | str] = {}
    with TemporaryDirectory() as name:
        mesh = Mesh(Path(name), planes=2)
        caller, callee = mesh.planes
        mesh.backends[caller] = Backend(caller, mesh.traffic_log, "other")
        backend = mesh.backends[callee]
        backend.body_bytes = dict(SIZES)
        backend.service_time_s = lambda: 0.0
        more: dict[str, object] = {"timeout-s": TIMEOUT_S, "target-latency-s": TIMEOUT_S}
        try:
            await mesh.start()
            routes = [route(kind, "download", backend.service, more) for kind in kinds]
            if await mesh.configure(1, 0, routes=routes) != 200 or not await mesh.wait_ready():
                raise SystemExit("the mesh did not become ready")
            await asyncio.sleep(1.0)
            for kind in kinds:
                direct = await measure_row(callee, APPLICATION_PORT, kind, repeats, backend.instance)
                meshed = await measure_row(caller, OUTBOUND_PORT, kind, repeats)
                figures |= figures_of(kind, direct, meshed)
        finally:
            await mesh.stop()
    return figures


def figures_of(kind: str, direct: Row, meshed: Row) -> dict[str, float | int | str]:
    """Print one size, and return its figures; those of a size that failed altogether are left out."""
    if not meshed.mib_per_s:
        print_progress(f"{kind:>5}: all {len(meshed.failures)} failed: {meshed.failures[0]}")
        return {f"{kind}_lost": len(meshed.failures)}
    first_byte_ms, mib_per_s = median(meshed.first_byte_ms), median(meshed.mib_per_s)
    print_progress(
        f"{kind:>5}: first byte {first_byte_ms:6.1f} ms (direct {median(direct.first_byte_ms):.1f}),"
        f" {mib_per_s:6.1f} MiB/s (direct {median(direct.mib_per_s):.1f}),"
        f" {len(meshed.failures)} lost {meshed.failures or ''}"
    )
    return {
        f"{kind}_first_byte_ms": first_byte_ms,
        f"{kind}_throughput_over_direct": mib_per_s / median(direct.mib_per_s),
        f"{kind}_lost": len(meshed.failures),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    is_quick = parser.parse_args().quick
    kinds, repeats = (QUICK_SIZES, QUICK_REPEATS) if is_quick else (tuple(SIZES), REPEATS)
    report(asyncio.run(measure(kinds, repeats)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
