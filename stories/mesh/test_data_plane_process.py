"""Simulated meshes: start, reload and shutdown of a data plane."""

import dataclasses
import logging

import structlog
from ward import raises, test

from cometdoor.dataplane.process import DataPlane
from cometdoor.host.listening import ListenError
from simulation.mesh import simulated_mesh
from standins.http_client import http_request
from standins.mesh_backend import CONTROL_PORT, OUTBOUND_PORT, READINESS_PORT

structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
DRAIN_S = 2.0


@test("a proxy that shuts down is unready first, and loses no request that it has accepted")
def _() -> None:
    with simulated_mesh(seed=12) as mesh:
        mesh.run(mesh.start_configured())
        leaving, others = mesh.planes[0], mesh.planes[1:]
        for backend in mesh.backends.values():
            backend.service_time_s = lambda: 0.3
        mesh.run(mesh.run_traffic(1.0, 60.0))
        mesh.as_backend(leaving, mesh.backends[leaving].drain(DRAIN_S))
        mesh.run(mesh.run_traffic(2.5, 60.0))
        mesh.terminate(leaving)

        async def is_ready() -> int:
            return (await http_request(leaving, READINESS_PORT, "GET", "/readiness", {}))[0]

        mesh.wait(0.1)
        assert mesh.run(is_ready()) == 503
        # Clients notice that within two seconds, and then use other proxies
        mesh.run(mesh.run_traffic(1.9, 60.0))
        mesh.run(mesh.run_traffic(4.0, 60.0, at=others))
        assert set(mesh.traffic_log.status_counts) == {200} and not mesh.find_violations(), (
            mesh.traffic_log.status_counts,
            mesh.find_violations(),
        )


@test("new seeds of the settings file are used once it is reloaded")
def _() -> None:
    with simulated_mesh(seed=18, core=3, planes=3) as mesh:
        mesh.run(mesh.start_configured())
        plane = mesh.data_plane(mesh.planes[0])
        plane.apply_settings(
            dataclasses.replace(plane.node_settings, seed_nodes=[f"{mesh.core[2]}:{CONTROL_PORT}"])
        )
        assert plane.directory.seeds == [
            mesh.programs[mesh.core[2]].node_settings.internal_address("controlplane")
        ]


@test("all addresses that can't be bound are reported at once, each with its step")
def _() -> None:
    with simulated_mesh(seed=20, core=3, planes=1) as mesh:
        mesh.run(mesh.start_configured())
        plane = mesh.data_plane(mesh.planes[0])
        with raises(ExceptionGroup) as caught:
            mesh.run(DataPlane(plane.node_settings, mesh.loop).start())
        faults = caught.raised.exceptions
        assert len(faults) == 4 and all(isinstance(fault, ListenError) for fault in faults)
        assert {fault.peer.rpartition(":")[2] for fault in faults if isinstance(fault, ListenError)} >= {
            str(OUTBOUND_PORT),
            str(READINESS_PORT),
            str(CONTROL_PORT),
        }
