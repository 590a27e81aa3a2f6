"""Cost of a real proxy's control work: idle, changed records, heartbeats, configurations, calls, connections.

Its neighbours are simulated (`benchmarks.capacity_mesh`); processor time is the kernel's accounting of the
process.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable

from benchmarks.capacity_mesh import RealProxy, real_proxy
from benchmarks.capacity_records import (
    SERVICES,
)
from benchmarks.capacity_replica import Figures, resident_bytes
from benchmarks.hops import processor_s
from cometdoor.wire.call_control import Ping
from cometdoor.wire.frames import Message
from cometdoor.wire.peer_connection import PeerError


async def _cpu_us(proxy: RealProxy, idle_core: float, work: Awaitable[object]) -> float:
    before, started_at = processor_s(proxy.pid), time.monotonic()
    await work
    elapsed_s = time.monotonic() - started_at
    return 1e6 * (processor_s(proxy.pid) - before - idle_core * elapsed_s)


async def proxy_slopes(size: int, quick: bool) -> Figures:
    idle_s = 3.0 if quick else 20.0
    name = f"proxy_among_{size}"
    async with real_proxy(size) as proxy:
        idle_core = await proxy.idle_core(idle_s)
        figures = {f"{name}_calm_core": idle_core, f"{name}_mb": resident_bytes(proxy.pid) / 1e6}
        count = 200 if quick else 1_000

        async def changes() -> None:
            for number in range(count):
                proxy.neighbours.send_changed_record(proxy.peer, 1 + number % (size - 1))
                await asyncio.sleep(0.005)

        figures[f"{name}_changed_record_us"] = await _cpu_us(proxy, idle_core, changes()) / count
        if size == 980:
            figures |= await _measure_work(proxy, name, idle_core, quick)
    return figures


async def _measure_work(proxy: RealProxy, name: str, idle_core: float, quick: bool) -> Figures:
    repetitions = 1 if quick else 4
    count = 300 * repetitions
    figures: Figures = {
        f"{name}_heartbeat_us": await _cpu_us(proxy, idle_core, proxy.heartbeats(count)) / count,
        f"{name}_heartbeat_dialled_us": await _cpu_us(
            proxy, idle_core, proxy.heartbeats_on_new_connections(count)
        )
        / count,
    }

    async def configurations() -> None:
        for _ in range(8 * repetitions):
            proxy.neighbours.send_new_configuration(proxy.peer)
            await asyncio.sleep(0.2)

    cpu_us = await _cpu_us(proxy, idle_core, configurations())
    figures[f"{name}_configuration_ms"] = cpu_us / 8e3 / repetitions
    await proxy.requests(200.0, 1.5, False)  # the first call of a service sets up what it needs
    idle_core = await proxy.idle_core(4.0 * repetitions)
    figures[f"{name}_calm_calling_{SERVICES}_services_core"] = idle_core
    for kind, keyed in (("call", False), ("keyed_call", True)):
        request_count = 500 * repetitions
        cpu_us = await _cpu_us(proxy, idle_core, proxy.requests(100.0, 5.0 * repetitions, keyed))
        figures[f"{name}_{kind}_us"] = cpu_us / request_count
    memory, connection_count = resident_bytes(proxy.pid), 979
    answered = 0
    for index in range(connection_count):
        done: asyncio.Future[Message | PeerError] = asyncio.get_running_loop().create_future()
        call = proxy.neighbours.connections.call(proxy.peer, Ping(), done.set_result, f"open{index}")
        answered += not isinstance(call, PeerError) and not isinstance(await done, PeerError)
    figures[f"{name}_taken_connections"] = answered
    figures[f"{name}_taken_connection_bytes"] = (resident_bytes(proxy.pid) - memory) / max(answered, 1)
    core_with_connections = await proxy.idle_core(4.0 * repetitions)
    figures[f"{name}_taken_connections_core"] = core_with_connections - idle_core
    figures[f"{name}_loaded_mb"] = resident_bytes(proxy.pid) / 1e6
    return figures


async def _measure_all_sizes(quick: bool) -> Figures:
    figures: Figures = {}
    for size in (12, 100, 980):
        figures |= await proxy_slopes(size, quick)
    return figures


def processes(quick: bool) -> Figures:
    return asyncio.run(_measure_all_sizes(quick))
