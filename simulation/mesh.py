"""A whole mesh in memory, in virtual time: data planes and control planes with stand-in backends and clients.

The production classes run on a virtual event loop; backends and clients are those of the demo
(standins/mesh.py). Scenario tests and benchmarks use it.

    with simulated_mesh(seed=1) as mesh:
        mesh.run(mesh.start_configured())
        mesh.run(mesh.run_traffic(5.0, 60.0))
        assert not mesh.find_violations()
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import secrets
import socket
import tempfile
import time
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any, TypeVar
from unittest import mock

import cometdoor.http.backend_connection
import cometdoor.http.client_connection
from cometdoor.control.process import ControlPlane
from cometdoor.control.write_ahead_log import WriteAheadLog
from cometdoor.dataplane.process import DataPlane
from cometdoor.host import invariants
from cometdoor.host.node_settings import read_node_settings
from simulation.event_loop import VirtualLoop
from simulation.virtual_transport import Process, VirtualListener
from standins.mesh import Mesh
from standins.mesh_backend import SERVICE, Backend

Result = TypeVar("Result")
SHUTDOWN_GRACE_S = 6.0


class SimulatedMesh(Mesh):
    """The demo's mesh, with programs as objects on a virtual loop instead of processes."""

    def __init__(self, loop: VirtualLoop, folder: Path, core: int, planes: int, services: list[str]) -> None:
        super().__init__(folder, core, planes)
        self.loop = loop
        self.programs: dict[str, DataPlane | ControlPlane] = {}
        self.backends = {
            address: Backend(address, self.traffic_log, services[index % len(services)])
            for index, address in enumerate(self.planes)
        }
        self._processes: dict[str, Process] = {}  # programs by address
        self._applications: dict[str, Process] = {}
        self.log_files: list[WriteAheadLog] = []  # of all incarnations, to be closed
        loop.set_exception_handler(
            lambda loop, context: self.traffic_log.violations.append(
                f"{context['message']}: {context.get('exception')!r}"
            )
        )

    def run(self, coroutine: Coroutine[Any, Any, Result]) -> Result:
        return self.loop.run_until_complete(coroutine)

    def wait(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    async def start_configured(self, routes: list[dict[str, object]] | None = None) -> None:
        """Start all processes, submit a first configuration, and wait until all are ready."""
        await self.start()
        assert await self.configure(1, 0, routes=routes) == 200
        assert await self.wait_ready()
        await asyncio.sleep(0.5)

    # --- processes ---

    async def launch(self, address: str, is_first: bool = True) -> None:
        role, path = self.settings(address)
        node_settings = replace(
            read_node_settings(path.read_bytes(), str(path), role),
            initial_start=address not in self._processes,
        )  # `initial_start` is true only at the first launch of an address
        process = self._processes[address] = Process(address, role)

        def start_program() -> Coroutine[Any, Any, None]:
            program = (
                DataPlane(node_settings, self.loop)
                if role == "dataplane"
                else ControlPlane(node_settings, self.loop)
            )
            self.programs[address] = program
            if isinstance(program, ControlPlane):
                self.log_files.append(program.replica_server.log_file)
            return program.start()

        self.loop.run_as(process, start_program)

    def data_plane(self, address: str) -> DataPlane:
        program = self.programs[address]
        assert isinstance(program, DataPlane)
        return program

    def leader(self) -> str:
        """Return the address of the leading control plane."""
        return next(
            address
            for address in self.core
            if self._processes[address].is_alive
            and (program := self.programs[address])
            and isinstance(program, ControlPlane)
            and program.replica_server.is_leading
        )

    def kill(self, address: str, silent: bool = False) -> None:
        """Kill the program at an address, not its backend. `silent`: as in a power loss, without resets."""
        self.loop.kill(self._processes[address], silent)

    def freeze(self, address: str) -> None:
        """Freeze the program at an address; its machine and its backend keep running."""
        self.loop.freeze(self._processes[address])

    def is_frozen(self, address: str) -> bool:
        return self.loop.is_frozen(self._processes[address])

    def thaw(self, address: str) -> None:
        self.loop.thaw(self._processes[address])

    def control_plane(self, address: str) -> ControlPlane:
        program = self.programs[address]
        assert isinstance(program, ControlPlane)
        return program

    def run_as(self, address: str, call: Callable[[], object]) -> None:
        """Run `call` as the program at an address."""

        def run() -> None:
            call()

        self.loop.run_as(self._processes[address], run)

    def restart(self, address: str) -> None:
        self.run(self.launch(address))

    def terminate(self, address: str) -> None:
        """Send SIGTERM: shut the program down gracefully, then end its process."""
        process, program = self._processes[address], self.programs[address]

        async def shutdown() -> None:
            await program.shutdown(SHUTDOWN_GRACE_S)
            self.loop.call_soon(self.loop.kill, process)

        self.loop.run_as(process, shutdown)

    async def start_backend(self, address: str) -> None:
        process = self._applications[address] = Process(address, "backend")
        self.loop.run_as(process, self.backends[address].start)

    def kill_backend(self, address: str) -> None:
        self.loop.kill(self._applications[address])

    def replace_backend(self, address: str, service: str = SERVICE) -> Backend:
        """Start a new instance of a backend at the same address."""
        backend = self.backends[address] = Backend(address, self.traffic_log, service)
        self.run(self.start_backend(address))
        return backend

    def as_backend(self, address: str, coroutine: Coroutine[Any, Any, None]) -> None:
        self.loop.run_as(self._applications[address], lambda: coroutine)

    # --- the network ---

    def limit_links(self, bandwidth_mbps: float) -> None:
        """Limit the bandwidth of all data planes' links, also in their settings. Call it before the start."""
        self.bandwidth_mbps = bandwidth_mbps
        self.loop.link_bytes_per_s = dict.fromkeys(self.planes, bandwidth_mbps * 1e6 / 8.0)

    def partition(self, machines: list[str], others: list[str]) -> None:
        for machine in machines:
            for other in others:
                if machine != other:
                    self.loop.partitions |= {(machine, other), (other, machine)}

    def partition_one_way(self, senders: list[str], receivers: list[str]) -> None:
        """Block messages from the senders to the receivers; the other direction stays open."""
        self.loop.partitions |= {
            (machine, other) for machine in senders for other in receivers if machine != other
        }

    def heal(self) -> None:
        self.loop.partitions.clear()


@contextlib.contextmanager
def simulated_mesh(
    seed: int = 1, core: int = 3, planes: int = 4, services: list[str] | None = None
) -> Iterator[SimulatedMesh]:
    """Yield a mesh that is not started. `services`: of the data planes' backends, assigned in turn."""
    loop = VirtualLoop()
    rng = random.Random(seed)
    has_unread_data = lambda transport: transport.has_unread_data()  # noqa: E731
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="cometdoor-simulation-"))
        for target, name, replacement in (
            (time, "monotonic", loop.time),
            (os, "fsync", lambda number: None),
            (socket, "create_server", lambda address, **options: VirtualListener(loop, address)),
            (secrets, "randbits", rng.getrandbits),
            (secrets, "token_hex", lambda count=16: f"{rng.getrandbits(8 * count):0{2 * count}x}"),
            (cometdoor.http.client_connection, "is_readable", has_unread_data),
            (cometdoor.http.backend_connection, "is_readable", has_unread_data),
        ):
            stack.enter_context(mock.patch.object(target, name, replacement))
        mesh = SimulatedMesh(loop, Path(folder), core, planes, services or [SERVICE])
        try:
            yield mesh
        finally:
            for process in [*mesh._processes.values(), *mesh._applications.values()]:
                loop.kill(process, silent=True)
            for log_file in mesh.log_files:
                log_file.close()
            loop.close()
        assert not invariants.violations(), str(invariants.violations())
