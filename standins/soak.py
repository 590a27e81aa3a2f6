"""A soak test: the mesh as real processes under random, overlapping faults, with its invariants checked.

Six data planes with narrow links, of which two serve files and the rates that searches look up; three
control planes. For each seed two or three faults overlap in each round, among them restarts of backends at
their address, late heartbeats of former ones, and data planes that get SIGTERM after their backend has left,
while an operator sends valid and invalid changes (`standins/soak_operator.py`). Clients send bodies of all
sizes, leave in the middle of some, repeat keys until after their window of 6 s, and use kept connections
until the process is gone (`standins/soak_clients.py`); some responses pause in the middle. Seeds with an even
number have links without a limit, and larger bodies. Afterwards, without faults:

- no response belonged to another request, no key was executed twice in its window, no body was changed;
- no process has logged an error (violated invariants are logged as errors) or ended by itself;
- nearly all requests in the seconds without faults at the end are served;
- the newest acknowledged configuration is read back at each control plane, and no invalid one was accepted;
- no process had more memory than its machine has for it.

A partition between two running processes needs privileges on loopback; instead, processes are paused for
longer than the keepalive timeout. The simulated meshes (`simulation/mesh.py`) have real partitions.

    python -m standins.soak [--quick] [--seeds N] [--first SEED]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from standins.mesh import Mesh, route
from standins.mesh_backend import Backend
from standins.soak_clients import KeptConnectionClient, leave_halfway
from standins.soak_operator import SoakOperator

BANDWIDTH_MBPS = 3.5
ROUNDS, ROUND_S = 3, 4.0
CALM_BEFORE_S, CALM_S = 4.0, 4.0
REQUESTS_PER_S = {"search": 12.0, "keyed": 8.0, "maps": 4.0, "plans": 1.5, "orders": 1.5, "tours": 2.0}
MAP_BYTES = 60_000
MAX_BODY_BYTES = {"narrow": 60_000, "wide": 24 << 20}  # of an upload, by the mesh's links
WIDE_MAP_BYTES = 3 << 20
RESPONSE_PAUSE_S = 1.4  # in the middle of each response of "tours"
UPLOAD_DEADLINE_MS = 4000
DRAIN_S, GRACE_S = 2.0, 6.0
MIN_CALM_SHARE = 0.98
MAX_MEMORY_MB = 296  # of a process, as the users' sites have it
ROUTES = [
    route("search", service="search", more={"priority": 2, "target-latency-s": 1.0}),
    route("keyed", "keyed", "search"),
    route("rates", service="files", more={"target-latency-s": 0.2, "timeout-s": 0.6}),
    route("maps", "download", "files", {"priority": 2, "target-latency-s": 1.4}),
    route("plans", service="search", more={"priority": 2, "target-latency-s": 2.0, "timeout-s": 4}),
    route("orders", "keyed", "search", {"target-latency-s": 2.0, "timeout-s": 4}),
    route("tours", service="search", more={"priority": 2, "target-latency-s": 4.0, "timeout-s": 4}),
]
UPLOADS = ("plans", "orders")
KEYED = ("keyed", "orders")
IDEMPOTENCY_WINDOW_S = 6.0
KEPT_CONNECTIONS, KEPT_CONNECTION_PAUSE_S = 2, 0.4  # of each data plane; pause between two requests
HALF_UPLOADS_PER_S, HALF_UPLOAD_SILENCE_S = 0.7, 1.0


class Soak:
    """One mesh and the faults of one seed; sends the traffic and records what was observed."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.rng = random.Random(seed)
        # Each process and seed has its own network: tests and soak tests may run at the same time.
        self.mesh = Mesh(folder, core=3, planes=6, network=f"127.{1 + (os.getpid() + seed) % 254}")
        self._is_wide = seed % 2 == 0
        self.mesh.bandwidth_mbps = 0.0 if self._is_wide else BANDWIDTH_MBPS
        self.mesh.memory_mb = MAX_MEMORY_MB
        self.mesh.idempotency_window_s = IDEMPOTENCY_WINDOW_S
        self.mesh.deadlines_ms = dict.fromkeys((*UPLOADS, "tours"), UPLOAD_DEADLINE_MS)
        self.history: list[str] = []
        self.problems: list[str] = []
        self.results: list[tuple[float, str, int]] = []  # start, kind, last status
        self._ended_on_purpose: set[int] = set()  # process ids
        self._tasks: set[asyncio.Task[None]] = set()
        self._faults: list[Callable[[], object]] = [
            lambda: self._kill(self.rng.choice(self.mesh.planes)),
            lambda: self._kill(self.rng.choice(self.mesh.core)),
            lambda: self._pause(self.rng.choice(self.mesh.planes)),
            lambda: self._pause(self.rng.choice(self.mesh.core)),
            self._drop_responses,
            self._reset_backend_connections,
            self._restart_backend,
            self._send_late_heartbeats,
            lambda: self._terminate(self.rng.choice(self.mesh.planes)),
        ]
        self._operator = SoakOperator(self.mesh, random.Random(seed), ROUTES, self._record)
        self._former_backends: dict[str, Backend] = {}  # by address
        for index, address in enumerate(self.mesh.planes):
            self.mesh.backends[address] = self._new_backend(address, "files" if index % 3 == 2 else "search")

    def _new_backend(self, address: str, service: str) -> Backend:
        backend = Backend(address, self.mesh.traffic_log, service)
        backend.body_bytes = {"maps": WIDE_MAP_BYTES if self._is_wide else MAP_BYTES, "tours": 2000}
        backend.response_pause_s = {"tours": RESPONSE_PAUSE_S}
        if service == "search":
            backend.calls = ["/rates/1", "/rates/2"]
        return backend

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # --- faults ---

    def _record(self, message: str) -> None:
        self.history.append(f"{time.monotonic():.2f} {message}")

    def _is_running(self, address: str) -> bool:
        process = self.mesh.processes[address]
        return process.returncode is None and process.pid not in self._ended_on_purpose

    def _kill(self, address: str) -> None:
        if not self._is_running(address):
            return
        process, after_s = self.mesh.processes[address], self.rng.uniform(0.2, 2.0)
        self._record(f"{address} is killed, and started again after {after_s:.2f} s")
        self._ended_on_purpose.add(process.pid)
        process.kill()

        async def restart() -> None:
            await process.wait()
            await asyncio.sleep(after_s)
            await self.mesh.launch(address, is_first=False)

        self._start(restart())

    def _pause(self, address: str) -> None:
        if not self._is_running(address):
            return
        process, for_s = self.mesh.processes[address], self.rng.uniform(0.3, 3.5)
        self._record(f"{address} is paused for {for_s:.2f} s")
        process.send_signal(signal.SIGSTOP)

        async def resume() -> None:
            await asyncio.sleep(for_s)
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

        self._start(resume())

    def _terminate(self, address: str) -> None:
        """Replace a data plane as planned: its backend drains and ends, then it gets SIGTERM."""
        if not self._is_running(address) or self.mesh.backends[address].state != "ready":
            return
        process, backend = self.mesh.processes[address], self.mesh.backends[address]
        self._record(f"{address} is replaced as planned")
        self._ended_on_purpose.add(process.pid)

        async def replace() -> None:
            try:
                async with asyncio.timeout(2 * DRAIN_S):
                    await backend.drain(DRAIN_S)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                backend.kill()
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), GRACE_S)
            except TimeoutError:
                self.problems.append(f"{address} did not end within {GRACE_S:g} s of SIGTERM")
                process.kill()
            await self.mesh.launch(address, is_first=False)
            self.mesh.backends[address] = self._new_backend(address, backend.service)
            await self.mesh.start_backend(address)

        self._start(replace())

    def _drop_responses(self) -> None:
        address = self.rng.choice(self.mesh.planes)
        self._record(f"the backend at {address} loses its next five responses")
        self.mesh.backends[address].responses_to_drop = 5

    def _reset_backend_connections(self) -> None:
        address = self.rng.choice(self.mesh.planes)
        self._record(f"the backend at {address} resets its connections")
        self.mesh.backends[address].reset_connections()

    def _restart_backend(self) -> None:
        """End a backend without a word, and start another instance at its address."""
        address = self.rng.choice(self.mesh.planes)
        former = self.mesh.backends[address]
        self._record(f"the backend at {address} crashes, and another one starts there")
        former.kill()
        self._former_backends[address] = former
        self.mesh.backends[address] = self._new_backend(address, former.service)
        self._start(self.mesh.start_backend(address))

    def _send_late_heartbeats(self) -> None:
        """Deliver two heartbeats of a former instance late and at once, also to a restarted proxy."""
        for address, former in self._former_backends.items():
            self._record(f"two late heartbeats of the former instance {former.instance} reach {address}")
            self._start(self._deliver_late(former))

    @staticmethod
    async def _deliver_late(former: Backend) -> None:
        await asyncio.gather(former.send_heartbeat(), former.send_heartbeat())

    async def _inject_faults(self) -> None:
        for _ in range(ROUNDS):
            for fault in self.rng.sample(self._faults, self.rng.choice((2, 3))):
                fault()
                await asyncio.sleep(self.rng.uniform(0.0, 0.4))
            await asyncio.sleep(ROUND_S)

    # --- traffic ---

    async def _request(self, kind: str, number: int) -> None:
        started_at = time.monotonic()
        key = f"{kind}-{number // 2}" if kind in KEYED else ""  # each key is sent twice
        address, body = self.rng.choice(self.mesh.planes), b""
        if kind in UPLOADS:
            # Sizes are spread evenly over their orders of magnitude.
            size = int(self._max_body_bytes() ** random.Random(f"{kind} {number // 2}").random())
            body = random.Random(size).randbytes(size)
        status = await self.mesh.request(address, kind, key, max_attempts=3, body=body)
        self.results.append((started_at, kind, status))

    def _max_body_bytes(self) -> int:
        return MAX_BODY_BYTES["wide" if self._is_wide else "narrow"]

    async def _repeat(self, kind: str, number: int, until: float) -> None:
        """Send a key again at the end of its window, or after it."""
        offset_s = self.rng.choice((self.rng.uniform(-2.0, 0.0), self.rng.uniform(0.0, 1.0)))
        await asyncio.sleep(IDEMPOTENCY_WINDOW_S + offset_s)
        if time.monotonic() < until:
            await self._request(kind, number)

    async def _send(self, kind: str, per_s: float, until: float) -> None:
        number = 0
        while time.monotonic() < until:
            number += 1
            self._start(self._request(kind, number))
            if kind in KEYED and number % 4 == 0:
                self._start(self._repeat(kind, number, until))
            await asyncio.sleep(self.rng.expovariate(per_s))

    async def _leave_uploads_halfway(self, until: float) -> None:
        while time.monotonic() < until:
            address, kind = self.rng.choice(self.mesh.planes), self.rng.choice(UPLOADS)
            size = int(self._max_body_bytes() ** self.rng.random())
            self._start(leave_halfway(address, kind, bytes(size), HALF_UPLOAD_SILENCE_S))
            await asyncio.sleep(self.rng.expovariate(HALF_UPLOADS_PER_S))

    def _start_kept_connections(self) -> list[asyncio.Task[None]]:
        clients = [
            KeptConnectionClient(address, "search", self.mesh.traffic_log)
            for address in self.mesh.planes
            for _ in range(KEPT_CONNECTIONS)
        ]
        return [asyncio.create_task(client.run(KEPT_CONNECTION_PAUSE_S)) for client in clients]

    async def run(self) -> None:
        """Run the seed; `problems` lists the failed checks afterwards."""
        await self.mesh.start()
        try:
            assert await self.mesh.configure(1, 0, routes=ROUTES) == 200 and await self.mesh.wait_ready()
            await asyncio.sleep(1.0)
            calm_from = time.monotonic() + ROUNDS * (ROUND_S + 0.6) + CALM_BEFORE_S
            kept_connections = self._start_kept_connections()
            await asyncio.gather(
                self._inject_faults(),
                self._leave_uploads_halfway(calm_from),
                self._operator.send_changes(calm_from - CALM_BEFORE_S),
                *(self._send(kind, per_s, calm_from + CALM_S) for kind, per_s in REQUESTS_PER_S.items()),
            )
            while self._tasks:
                await asyncio.wait(self._tasks)
            for kept_connection in kept_connections:
                kept_connection.cancel()
            self._check_calm(calm_from)
            self._check_processes()
            await self._operator.check()
            self.problems += [*self._operator.problems, *self._find_violations()]
        finally:
            await self.mesh.stop()

    # --- checks ---

    def _find_violations(self) -> list[str]:
        return self.mesh.find_violations(may_misroute=True, window_s=IDEMPOTENCY_WINDOW_S)

    def _check_calm(self, calm_from: float) -> None:
        calm = [(kind, status) for started_at, kind, status in self.results if started_at >= calm_from]
        unserved = [f"{kind}: {status}" for kind, status in calm if status != 200]
        if not calm or len(unserved) > (1.0 - MIN_CALM_SHARE) * len(calm):
            self.problems.append(f"{len(unserved)} of {len(calm)} not served without faults: {unserved[:5]}")

    def _check_processes(self) -> None:
        for address, process in self.mesh.processes.items():
            if process.returncode is not None and process.pid not in self._ended_on_purpose:
                self.problems.append(f"{address} ended by itself: {process.returncode}")
            elif (memory_mb := peak_memory_mb(process.pid)) > MAX_MEMORY_MB:
                self.problems.append(f"{address} had {memory_mb:.0f} MB")
            for line in (self.mesh.folder / f"{address}.log").read_text().splitlines():
                if not line.startswith("{") or json.loads(line).get("level") == "error":
                    self.problems.append(f"{address}: {line[:300]}")


def peak_memory_mb(process_id: int) -> float:
    """Return the largest resident memory that a running process has had (proc_pid_status(5), VmHWM)."""
    try:
        status = Path(f"/proc/{process_id}/status").read_text()
    except FileNotFoundError:
        return 0.0
    peak = next((line for line in status.splitlines() if line.startswith("VmHWM:")), "VmHWM: 0 kB")
    return int(peak.split()[1]) / 1000.0


def soak(seed: int) -> list[str]:
    """Run one seed, print its result, and return its problems."""
    with tempfile.TemporaryDirectory(prefix="cometdoor-soak-") as name:
        soak_run = Soak(Path(name), seed)
        asyncio.run(soak_run.run())
    served = sum(status == 200 for _, _, status in soak_run.results)
    print(
        f"seed {seed}: {served} of {len(soak_run.results)} served, {len(soak_run.problems)} problems",
        flush=True,
    )
    for message in soak_run.problems and [*soak_run.history, *soak_run.problems]:
        print(f"    {message}", flush=True)
    return soak_run.problems


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="one seed")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + (1 if arguments.quick else arguments.seeds))
    failed = [seed for seed in seeds if soak(seed)]
    print(json.dumps({"seeds": len(seeds), "failed": failed}))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
