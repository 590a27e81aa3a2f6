"""Cost of a request: directly to a server, through a bare relay, and through the proxy, in one run.

Load, relay or proxy, and server have one core each. Rounds of the three alternate; the figures are medians of
their ratios.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
import tempfile
from pathlib import Path

import uvloop

from benchmarks.closed_loop import run_closed_loop
from benchmarks.report import median, print_progress, report
from standins.processes import ROOT, ProxyProcess, ServerProcess, available_cores, services_file

CLASSES = {"look": {"effect": "safe", "aim_ms": 500, "deadline_ms": 2000}}
CONNECTIONS = (1, 32)
MAX_SOCKETS = 8192  # many connections are open, since each is unused for 50 ms after a response
ROUTES = ("direct", "relay", "proxy")


class Requests:
    """Encoded requests with successive trace ids, for a closed loop."""

    def __init__(self) -> None:
        self._count = itertools.count()

    def __call__(self) -> bytes:
        return (
            b"GET /look/7f3a HTTP/1.1\r\nHost: a.example.org\r\nX-Trace-Id: t%d\r\nX-Qos: look\r\n"
            b"X-Expires-In: 2.0\r\n\r\n" % next(self._count)
        )


async def measure(seconds: float, rounds: int) -> dict[str, float | int | str]:
    load_core, proxy_core, server_core = available_cores()[:3]
    os.sched_setaffinity(0, {load_core})
    servers = await ServerProcess().start(server_core)
    relay: asyncio.subprocess.Process | None = None
    try:
        (address,) = (await servers.start_servers("a", 1, 0.0, spread=False)).values()
        relay = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.relay",
            address,
            str(proxy_core),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert relay.stdout is not None
        relay_address = (await relay.stdout.readline()).decode().strip()
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "services.toml"
            file.write_text(services_file({"a": {"a-0": address}}, CLASSES, sockets=MAX_SOCKETS))
            proxy = await ProxyProcess(file).start(proxy_core)
            try:
                host, port = proxy.address
                addresses_by_route = {"direct": address, "relay": relay_address, "proxy": f"{host}:{port}"}
                return await _rounds(addresses_by_route, seconds, rounds)
            finally:
                await proxy.stop()
    finally:
        if relay is not None and relay.stdin is not None:
            relay.stdin.close()
            await relay.wait()
        await servers.stop()


async def _rounds(
    addresses_by_route: dict[str, str], seconds: float, rounds: int
) -> dict[str, float | int | str]:
    figures: dict[str, float | int | str] = {}
    requests = Requests()
    not_served = 0
    for connections in CONNECTIONS:
        rates: dict[str, list[float]] = {route: [] for route in ROUTES}
        p50: dict[str, list[float]] = {route: [] for route in ROUTES}
        for _ in range(rounds):
            for route, address in addresses_by_route.items():
                host, port = address.rsplit(":", 1)
                rate, times, failed = await run_closed_loop((host, int(port)), requests, connections, seconds)
                rates[route].append(rate)
                p50[route].append(median(times))
                not_served += failed
        for route in ROUTES:
            print_progress(
                f"{connections:3d} connections  {route:6s} {median(rates[route]):9.0f} a second  "
                f"p50 {median(p50[route]) * 1e6:7.0f} us"
            )
        for baseline in ("relay", "direct"):
            figures[f"proxy_over_{baseline}_{connections}"] = median(
                proxy / other for proxy, other in zip(rates["proxy"], rates[baseline], strict=True)
            )
        figures[f"relay_over_direct_{connections}"] = median(
            relay / direct for relay, direct in zip(rates["relay"], rates["direct"], strict=True)
        )
        figures[f"added_p50_us_{connections}"] = 1e6 * median(
            proxy - direct for proxy, direct in zip(p50["proxy"], p50["direct"], strict=True)
        )
    return {
        **{name: figures[f"{name}_32"] for name in ("proxy_over_relay", "proxy_over_direct")},
        "added_p50_us": figures["added_p50_us_1"],
        **figures,
        "not_served": not_served,
    }


if __name__ == "__main__":
    quick = "--quick" in sys.argv
    report(uvloop.run(measure(1.0 if quick else 4.0, 3 if quick else 5)))
