"""Simulated meshes: requests under hedging, overload and malformed input."""

import asyncio
import logging

import structlog
from ward import test

from simulation.mesh import simulated_mesh
from standins.mesh import route
from standins.mesh_backend import OUTBOUND_PORT

structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
BAD_REQUESTS: list[tuple[str, bytes, int]] = [
    ("not HTTP", b"\x16\x03\x01 nonsense\r\n\r\n", 400),
    ("no attempt id", b"GET /idempotent/1 HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    ("no Host header", b"GET /idempotent/1 HTTP/1.1\r\nCometdoor-Attempt-Id: a\r\n\r\n", 400),
    (
        "two attempt ids",
        b"GET /idempotent/1 HTTP/1.1\r\nHost: x\r\nCometdoor-Attempt-Id: a\r\n"
        b"Cometdoor-Attempt-Id: b\r\n\r\n",
        400,
    ),
    (
        "a deadline that is not a number",
        b"GET /idempotent/1 HTTP/1.1\r\nHost: x\r\nCometdoor-Attempt-Id: a\r\n"
        b"Cometdoor-Deadline-Ms: soon\r\n\r\n",
        400,
    ),
    (
        "Content-Length and Transfer-Encoding",
        b"POST /idempotent/1 HTTP/1.1\r\nHost: x\r\nCometdoor-Attempt-Id: a\r\n"
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
        400,
    ),
    (
        "two Content-Length headers",
        b"POST /idempotent/1 HTTP/1.1\r\nHost: x\r\nCometdoor-Attempt-Id: a\r\n"
        b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        400,
    ),
    ("a head that is too long", b"GET /idempotent/1 HTTP/1.1\r\nHost: x\r\nX-More: " + b"x" * 20_000, 431),
    (
        "a body that is too long",
        b"POST /idempotent/1 HTTP/1.1\r\nHost: x\r\nCometdoor-Attempt-Id: a\r\n"
        b"Content-Length: 99999999\r\n\r\n",
        413,
    ),
    ("no route", b"GET /nowhere/1 HTTP/1.1\r\nHost: pitches.example\r\nCometdoor-Attempt-Id: a\r\n\r\n", 404),
    (
        "no such host",
        b"GET /idempotent/1 HTTP/1.1\r\nHost: else.example\r\nCometdoor-Attempt-Id: a\r\n\r\n",
        404,
    ),
]


@test("without faults every request is served once, and every key is executed once")
def _() -> None:
    with simulated_mesh(seed=1) as mesh:
        mesh.run(mesh.start_configured())
        mesh.run(mesh.run_traffic(4.0, 100.0))
        assert set(mesh.traffic_log.status_counts) == {200}, mesh.traffic_log.status_counts
        assert not mesh.find_violations(), mesh.find_violations()
        keys = mesh.traffic_log.runs_by_key
        assert len(keys) >= 50 and set(keys.values()) == {1}, keys


@test("a slow response is overtaken by one hedge elsewhere, and hedges stay a small share")
def _() -> None:
    with simulated_mesh(seed=2) as mesh:
        # Given one backend of four that always misses the latency target by a second
        mesh.run(mesh.start_configured(routes=[route("idempotent")]))
        slow = mesh.planes[0]
        mesh.backends[slow].service_time_s = lambda: 1.5
        # When there is traffic
        counts: dict[str, int] = {}

        async def send_all() -> list[int]:
            return list(await asyncio.gather(*(send_one(index) for index in range(400))))

        async def send_one(index: int) -> int:
            await asyncio.sleep(index * 0.02)
            return await mesh.request(mesh.planes[1 + index % 3], "idempotent")

        statuses = mesh.run(send_all())
        for address in mesh.planes:
            for service_client in mesh.data_plane(address).outbound_proxy._service_clients.values():
                for name, count in service_client.report().items():
                    if isinstance(count, int):
                        counts[name] = counts.get(name, 0) + count
        # Then hedges were sent, some of them won, slower attempts were cancelled, and hedges were few
        assert statuses.count(200) == 400 and not mesh.find_violations()
        assert counts["hedges"] >= 3 and counts["hedges_won"] >= 1 and counts["cancelled"] >= 1, counts
        assert counts["hedges"] <= 0.1 * counts["requests"], counts


@test("an idempotent request whose responses were lost is not reported as not executed")
def _() -> None:
    with simulated_mesh(seed=51) as mesh:
        mesh.run(mesh.start_configured())
        for backend in mesh.backends.values():
            backend.responses_to_drop = 99
        assert {mesh.run(mesh.request(address, "idempotent", max_attempts=1)) for address in mesh.planes} == {
            502
        }
        assert sum(mesh.traffic_log.runs.values()) >= 4


@test("malformed requests get the status that says so, and nothing of them is forwarded")
def _() -> None:
    with simulated_mesh(seed=14, planes=2) as mesh:
        mesh.run(mesh.start_configured())

        async def send(raw: bytes) -> int:
            reader, writer = await asyncio.open_connection(mesh.planes[0], OUTBOUND_PORT)
            writer.write(raw)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n"), 3.0)
            writer.close()
            return int(head.split()[1])

        for name, raw, status in BAD_REQUESTS:
            assert mesh.run(send(raw)) == status, name
        assert not mesh.traffic_log.runs and not mesh.find_violations(), mesh.find_violations()


@test("in an overload of a dependency its callers are served in part, and urgent requests nearly all")
def _() -> None:
    with simulated_mesh(seed=16, planes=6, services=["search", "rates"]) as mesh:
        routes = [
            route("search", service="search", more={"priority": 2, "target-latency-s": 0.8}),
            route("rates", service="rates", more={"target-latency-s": 0.2, "timeout-s": 0.6}),
            route("view", service="rates", more={"target-latency-s": 0.3}),
        ]
        mesh.run(mesh.start_configured(routes=routes))
        for backend in mesh.backends.values():
            backend.service_time_s = (lambda: 0.055) if backend.service == "rates" else lambda: 0.2
            backend.capacity = 6
            if backend.service == "search":
                backend.calls = ["/rates/1", "/rates/2"]
        # Given that two of the three backends that the searches call have been killed
        for address in (mesh.planes[1], mesh.planes[3]):
            mesh.kill_backend(address)
        mesh.wait(4.0)
        # When 40 searches a second make 80 such calls and contend with 40 views a second for six 55 ms slots
        views: list[int] = []
        searches: list[int] = []

        async def request_after(delay: float, kind: str, statuses: list[int]) -> None:
            await asyncio.sleep(delay)
            statuses.append(await mesh.request(mesh.planes[int(delay * 1000) % 6], kind))

        async def send_all() -> None:
            await asyncio.gather(
                *(request_after(index / 40, "search", searches) for index in range(400)),
                *(request_after(index / 40, "view", views) for index in range(400)),
            )

        mesh.run(send_all())
        # Then
        assert views.count(200) > 0.8 * len(views), views.count(200)
        assert searches.count(200) > 0.15 * len(searches), searches.count(200)
        assert not mesh.find_violations(), mesh.find_violations()


@test("a proxy in need is leased retry budget by the core's leader, which idle ones have given up")
def _() -> None:
    with simulated_mesh(seed=19) as mesh:
        # Given a mesh with traffic, whose leader has led for longer than an earlier lease can last
        mesh.run(mesh.start_configured())
        mesh.run(mesh.run_traffic(26.0, 80.0))
        exhausted, idle = (mesh.data_plane(address) for address in mesh.planes[:2])
        # When one proxy has used up its retries
        share = exhausted.outbound_proxy.budget_shares.for_service("pitches")
        before = exhausted.outbound_proxy.budget_shares.report()["pitches"]
        for _ in range(8):
            share.record_retry(mesh.loop.time())
        mesh.run(mesh.run_traffic(3.0, 80.0))
        # Then it may retry more than before, and another proxy less than its own share
        assert exhausted.outbound_proxy.budget_shares.report().get("pitches", 1.0) > before + 5.0, (
            exhausted.outbound_proxy.budget_shares.report()
        )
        assert idle.outbound_proxy.budget_shares.report()["pitches"] < 0.0, (
            idle.outbound_proxy.budget_shares.report()
        )
        assert not mesh.find_violations(), mesh.find_violations()
