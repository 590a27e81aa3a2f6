"""Records, addresses and configurations that represent the target mesh in the capacity benchmarks."""

from __future__ import annotations

import json

from cometdoor.wire.gossip import (
    Backend,
    NodeRecord,
)
from standins.mesh_backend import HOST

SERVICES, ZONES, REPLICAS = 57, 5, 7  # of the target
PORTS = 27_380  # first internal port; differs from the stand-ins', so that both can run at a time
NEIGHBOUR_PORT = PORTS + 10
NETWORK = "127.60"
ROUTES = 400  # the operators say "several hundred"; their largest site has 310 idle ones
SENT_BYTES = 1_500  # body of a response


def service_name(number: int) -> str:
    return f"service-{number % SERVICES}"


def configuration_body(revision: int, routes: int) -> bytes:
    """Return a configuration of 57 services in which two routes differ from the previous revision."""
    changed = (revision % routes, 7 * revision % routes)
    listed = [
        {
            "name": f"r-{index}",
            "path-prefix": f"/p{index}/",
            "route-type": "keyed" if index % 5 == 0 else "idempotent",
            "timeout-s": 5.0 + (index in changed) * revision,
            "target-latency-s": 1.5,
            "priority": 2,
            "service": service_name(index),
            "max-attempts": 2,
        }
        for index in range(routes)
    ]
    services = [
        {
            "name": service_name(index),
            "health-path": "/health",
            "max-connections": 1200,
            "deduplicates": False,
        }
        for index in range(SERVICES)
    ]
    content = {
        "revision": revision,
        "services": services,
        "limits": {},
        "hosts": [{"hostname": HOST, "host-routes": listed}],
    }
    return json.dumps(content, separators=(",", ":")).encode()


def neighbour_address(number: int) -> str:
    return f"{NETWORK}.{10 + number // 250}.{1 + number % 250}:{NEIGHBOUR_PORT}"


def record_of(number: int, version: int = 1) -> NodeRecord:
    backend = Backend(
        f"i-{number:010x}",
        service_name(number),
        f"10.1.{number // 250}.{number % 250}:8145",
        "v1",
        5,
        "ready",
    )
    zone = f"zone-{number % ZONES}"
    return NodeRecord(
        f"proxy-{number}", neighbour_address(number), "dataplane", zone, "5f2ac18e", version, backend=backend
    )
