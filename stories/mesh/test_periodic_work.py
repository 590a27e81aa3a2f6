"""Simulated meshes: each timer of both programs goes on after a call that fails."""

import logging
from collections.abc import Callable
from unittest import mock

import structlog
from ward import each, test

from cometdoor.wire.call_control import Ping
from cometdoor.wire.connections import LIVE_PEER_TIMEOUT_S
from cometdoor.wire.peer_connection import PeerError
from simulation.mesh import SimulatedMesh, simulated_mesh
from standins.mesh_backend import INTERNAL_PORT

structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))

# What each timer calls, in the one process in which it fails: see docs/design/periodic-work.md.
TIMER_WORK: dict[str, Callable[[SimulatedMesh], tuple[object, str]]] = {
    "replica": lambda mesh: (mesh.control_plane(mesh.leader()).replica_server.replica, "tick"),
    "gossip of a control plane": lambda mesh: (mesh.control_plane(mesh.leader()).directory, "tick"),
    "gossip of a data plane": lambda mesh: (mesh.data_plane(mesh.planes[0]).directory, "tick"),
    "timeouts of operators": lambda mesh: (
        mesh.control_plane(mesh.leader()).frontend,
        "max_connections",
    ),
    "timeouts of callers": lambda mesh: (
        mesh.data_plane(mesh.planes[0]).outbound_frontend,
        "max_connections",
    ),
    "budget leases": lambda mesh: (
        mesh.data_plane(mesh.planes[0]).outbound_proxy.budget_shares,
        "_proxy_count",
    ),
    "endpoint lists": lambda mesh: (mesh.data_plane(mesh.planes[0]).outbound_proxy, "update_endpoints"),
    "reports": lambda mesh: (mesh.data_plane(mesh.planes[0]).outbound_proxy, "report"),
    "expiry of keys": lambda mesh: (
        mesh.data_plane(mesh.planes[0]).outbound_proxy.keyed_requests.operations,
        "expire",
    ),
}
LONGEST_INTERVAL_S = 5.0  # of reports and of the expiry of keys


class FailingOnce:
    """Raises at the first call, and passes the others on."""

    def __init__(self, work: Callable[..., object]) -> None:
        self._work = work
        self.calls = 0

    def __call__(self, *arguments: object, **options: object) -> object:
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError("planted")
        return self._work(*arguments, **options)


# Guards against a timer that ends with its first failed call, as the core's did (CONFIG).
@test("a timer whose call fails once goes on, and so does the mesh: {name}")
def _(name: str = each(*TIMER_WORK)) -> None:
    with simulated_mesh(seed=31) as mesh:
        mesh.run(mesh.start_configured())
        owner, method = TIMER_WORK[name](mesh)
        failing = FailingOnce(getattr(owner, method))
        with mock.patch.object(owner, method, failing):
            mesh.wait(2.5 * LONGEST_INTERVAL_S)
            assert failing.calls > 1
            assert mesh.run(mesh.configure(2, 1)) == 200
            mesh.wait(1.0)
        for address in mesh.planes:
            assert mesh.run(mesh.request(address, "keyed", f"k-{address}")) == 200
        assert not mesh.find_violations(), mesh.find_violations()


@test("the keepalive of connections goes on after a check that fails")
def _() -> None:
    with simulated_mesh(seed=32) as mesh:
        mesh.run(mesh.start_configured())
        connections = mesh.data_plane(mesh.planes[0]).connections
        with mock.patch.object(connections, "_inbound", None):  # no collection: the check raises
            mesh.wait(0.5)
        mesh.freeze(mesh.planes[1])
        replies: list[object] = []
        peer = f"{mesh.planes[1]}:{INTERNAL_PORT}"
        mesh.run_as(mesh.planes[0], lambda: connections.call(peer, Ping(), replies.append))
        mesh.wait(LIVE_PEER_TIMEOUT_S + 0.5)
        assert len(replies) == 1 and isinstance(replies[0], PeerError)
