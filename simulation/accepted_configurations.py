"""Whole configurations that a proposal acknowledges, on a whole mesh: all of them are served.

A configuration has odd and extreme values in every field. If it is acknowledged, each request is answered in
time while it is in force, and after the change back no key is blocked and further changes are accepted.

    python -m simulation.accepted_configurations [--examples N] [--seed SEED]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import structlog
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import seed as with_seed
from hypothesis import strategies as st

from cometdoor.configuration.document import MAX_TIMEOUT_S, ROUTE_TYPES
from simulation.mesh import SimulatedMesh, simulated_mesh
from standins.http_client import http_request
from standins.mesh import configuration, route
from standins.mesh_backend import CONTROL_PORT, HOST, OUTBOUND_PORT, SERVICE
from standins.odd_values import LOWEST_NUMBER, ODD_NUMBERS, ODD_TEXTS, ODD_TIMES_S

Fields = dict[str, Any]
Headers = dict[str, str]

DEADLINE_S = 2.0  # of the clients
ANSWER_MARGIN_S = 0.5  # after the route's timeout: "no final answer 0.5 s after it" breaks the users' rule
CONFIG_APPLY_S = 2.0  # within which an acknowledged configuration is in force everywhere
OTHER_SERVICE = "no backend"
BASE_ROUTES = [route("odd-0"), route("odd-1", "keyed")]  # before the change, and again after it
REQUEST_BODY = b"one seat"
LONGEST_HEAD_BYTES = 1000  # of the requests here
FULL_TIMEOUT_S = 0.5  # a request of a route with this timeout or more, to a service with backends, is served
FULL_TARGET_S = 0.3  # below it, a request may be rejected as one that would be served too late
MAX_WHOLE_NUMBER = (1 << 64) - 1

whole_numbers = st.sampled_from((0, *ODD_NUMBERS))
times_s = st.one_of(
    st.sampled_from((0, 10**300, *ODD_TIMES_S)),
    st.floats(0.0, 10.0),
)
weights = st.sampled_from([0, 5e-324, 1e-9, 1, 90, 1e308, 1.7e308, MAX_WHOLE_NUMBER])
texts = st.sampled_from(ODD_TEXTS)
health_paths = st.sampled_from(["/", "/health", "/" + "h" * 50, "/?a=%00#"])


def optional(fields: dict[str, st.SearchStrategy[Any]]) -> st.SearchStrategy[Fields]:
    return st.fixed_dictionaries({}, optional=fields)


def merged(*parts: st.SearchStrategy[Fields]) -> st.SearchStrategy[Fields]:
    return st.tuples(*parts).map(
        lambda fields: {key: value for part in fields for key, value in part.items()}
    )


services = merged(
    st.just({"name": SERVICE}),
    optional(
        {
            "health-path": health_paths,
            "max-connections": whole_numbers.filter(bool),
            "deduplicates": st.booleans(),
            "protocol": texts,
        }
    ),
)
targets = st.sampled_from([SERVICE, SERVICE, OTHER_SERVICE])
splits = st.lists(
    st.fixed_dictionaries({"service": targets, "weight": weights}), min_size=1, max_size=3
).filter(lambda split: any(entry["weight"] for entry in split))
routes = merged(
    st.fixed_dictionaries(
        {
            "name": texts,
            "route-type": st.sampled_from(ROUTE_TYPES),
            "timeout-s": times_s.filter(bool),
            "service": targets,
        }
    ),
    optional(
        {
            "target-latency-s": times_s,
            "priority": st.one_of(whole_numbers, st.just(LOWEST_NUMBER)),
            "max-attempts": whole_numbers.filter(bool),
            "traffic-split": st.one_of(st.none(), splits),
            "new-field": texts,
        }
    ),
)
limits = optional(
    {
        "max-header-bytes": whole_numbers,
        "max-body-bytes": whole_numbers,
        "header-timeout-s": times_s,
        "idle-timeout-s": times_s,
    }
)
# What follows the prefix that the requests of a route use; other hosts are never asked for.
prefix_ends = st.sampled_from(["", "a/", "é/", "//", "%2f/", "a b/", "q?#/", ("y" * 50) + "/"])
other_hosts: st.SearchStrategy[Fields] = st.fixed_dictionaries(
    {"hostname": texts.filter(str.strip), "host-routes": st.lists(routes, max_size=2)}
)
revisions = st.sampled_from(
    [2, (1 << 53) + 1, 1 << 63, MAX_WHOLE_NUMBER, 20261204093000000000, (1 << 128) - 1, 1 << 128, 10**50]
)


@st.composite
def documents(draw: st.DrawFn) -> Fields:
    host_routes = draw(st.lists(routes, min_size=1, max_size=3))
    for index, host_route in enumerate(host_routes):
        host_route["path-prefix"] = f"/odd-{index}/" + draw(prefix_ends)
    hosts: list[Fields] = [{"hostname": HOST, "host-routes": host_routes}]
    for index, host in enumerate(draw(st.lists(other_hosts, max_size=2))):
        for route_index, host_route in enumerate(host["host-routes"]):
            host_route["path-prefix"] = f"/{index}/{route_index}/"
        hosts.append(host)
    return {
        "revision": draw(revisions),
        "services": [draw(services), {"name": OTHER_SERVICE}],
        "limits": draw(limits),
        "hosts": hosts,
        **draw(optional({"new-field": texts})),
    }


@dataclass(frozen=True)
class Sent:
    """One request, so that it can be sent again; `key` is empty if it has none."""

    address: str
    target: str
    key: str
    timeout_s: float
    statuses: frozenset[int] = frozenset({200})  # those that it may get


def expected_statuses(document: Fields, host_route: Fields) -> frozenset[int]:
    """Return the statuses that a request of a route may get; each is final and true."""
    body_limit = document["limits"].get("max-body-bytes", len(REQUEST_BODY))
    head_limit = document["limits"].get("max-header-bytes", LONGEST_HEAD_BYTES)
    if body_limit < len(REQUEST_BODY) or head_limit < LONGEST_HEAD_BYTES:
        return frozenset({200, 413, 431, 502, 503, 504})
    split = host_route.get("traffic-split") or [{"service": host_route["service"]}]
    if any(entry["service"] != SERVICE for entry in split) or host_route["timeout-s"] < FULL_TIMEOUT_S:
        return frozenset({200, 502, 503, 504})
    if 0 < host_route.get("target-latency-s", FULL_TARGET_S) < FULL_TARGET_S:
        return frozenset({200, 503})
    return frozenset({200})


def requests_of(document: Fields, mesh: SimulatedMesh) -> list[Sent]:
    """Return requests of each route at each data plane, three of a keyed one."""
    requests = []
    for index, host_route in enumerate(document["hosts"][0]["host-routes"]):
        is_keyed = host_route["route-type"] == "keyed"
        for address in mesh.planes:
            requests += [
                Sent(
                    address,
                    quote(host_route["path-prefix"], safe="/%") + "1",
                    f"k-{index}-{address}-{number}" if is_keyed else "",
                    min(host_route["timeout-s"], MAX_TIMEOUT_S, DEADLINE_S),
                    expected_statuses(document, host_route),
                )
                for number in range(3 if is_keyed else 1)
            ]
    return requests


async def send(sent: Sent, number: int) -> int:
    """Send a request and return its status; check that it is in time, and one that the request may get."""
    headers = {
        "Host": HOST,
        "Cometdoor-Attempt-Id": f"a-{number}",
        "Cometdoor-Deadline-Ms": f"{1000 * DEADLINE_S:g}",
    } | ({"Cometdoor-Idempotency-Key": sent.key} if sent.key else {})
    started_at = time.monotonic()
    status, _, _ = await http_request(
        sent.address,
        OUTBOUND_PORT,
        "POST",
        sent.target,
        headers,
        REQUEST_BODY,
        DEADLINE_S + 2 * ANSWER_MARGIN_S,
    )
    assert time.monotonic() - started_at <= sent.timeout_s + ANSWER_MARGIN_S, (sent, status)
    assert status in sent.statuses, (sent, status)
    return status


async def send_all(requests: list[Sent], first_number: int) -> list[int]:
    return list(
        await asyncio.gather(*(send(sent, first_number + index) for index, sent in enumerate(requests)))
    )


async def describe(mesh: SimulatedMesh) -> bytes:
    status, _, body = await http_request(
        mesh.leader(), CONTROL_PORT, "GET", "/Configuration.Describe", {}, timeout_s=1.0
    )
    assert status == 200
    return body


def restart(mesh: SimulatedMesh, addresses: list[str]) -> None:
    """Kill the processes at these addresses, and start them again."""
    for address in addresses:
        mesh.kill(address)
    mesh.wait(0.5)
    for address in addresses:
        mesh.restart(address)
    assert mesh.run(mesh.wait_ready(CONFIG_APPLY_S))


def check_served(mesh: SimulatedMesh, document: Fields, has_restarts: bool) -> None:
    """Put a document in force, send requests, put the former routes in force again, and send them again."""
    body = json.dumps(document).encode()
    if mesh.run(mesh.submit(body, 1)) != 200:
        assert mesh.run(describe(mesh)) == configuration(1, BASE_ROUTES)
        return
    mesh.wait(CONFIG_APPLY_S)
    if has_restarts:
        restart(mesh, [*mesh.core, mesh.planes[0]])
        mesh.wait(1.0)  # for an election, and the backend's next heartbeat
    assert mesh.run(describe(mesh)) == body
    requests = requests_of(document, mesh)
    statuses = mesh.run(send_all(requests, 0))
    mesh.wait(DEADLINE_S)

    revision = document["revision"]
    assert mesh.run(mesh.configure(revision + 1, revision, routes=BASE_ROUTES)) == 200
    mesh.wait(CONFIG_APPLY_S)
    for sent, first_status in zip(requests, statuses, strict=True):
        if sent.key:
            # A key whose execution had no response in its timeout may have run, and is known as such.
            repeated = frozenset({200, 502} if first_status in (502, 504) else {200})
            repeat = Sent(sent.address, "/odd-1/1", sent.key, DEADLINE_S, repeated)
            mesh.run(send_all([repeat], 1000))
    new = [Sent(address, "/odd-1/1", f"new-{address}", DEADLINE_S) for address in mesh.planes]
    new += [Sent(address, "/odd-0/1", "", DEADLINE_S) for address in mesh.planes]
    mesh.run(send_all(new, 2000))
    assert mesh.run(mesh.configure(revision + 2, revision + 1, routes=BASE_ROUTES)) == 200
    assert not mesh.find_violations(), mesh.find_violations()


def play(document: Fields, has_restarts: bool, seed: int) -> None:
    """Check one configuration on a mesh of its own."""
    with simulated_mesh(seed, planes=2) as mesh:
        mesh.run(mesh.start_configured(BASE_ROUTES))
        check_served(mesh, document, has_restarts)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    play_examples = settings(
        max_examples=arguments.examples,
        phases=(Phase.generate,),
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )(given(documents(), st.booleans(), st.integers(0, 1000))(play))
    with_seed(arguments.seed)(play_examples)()
    print(json.dumps({"examples": arguments.examples, "seed": arguments.seed, "failed": 0}))


if __name__ == "__main__":
    main()
