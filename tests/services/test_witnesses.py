"""An independent HTTP client (urllib3) works with the proxy."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import urllib3

from tests.proxy_harness import run
from tests.services.harness import CLASSES, ServicesHarness, StandInService, make_settings


def body_chunks() -> Iterator[bytes]:
    yield b"a" * 1000
    yield b"b" * 1000


def send_requests(port: int) -> list[int]:
    """Send requests on one connection, and return the statuses of the responses."""
    with urllib3.HTTPConnectionPool("127.0.0.1", port, maxsize=1, retries=False, timeout=5.0) as pool:
        statuses = []
        for method, host, body in (
            ("GET", "a.example.org", None),
            ("GET", "b.example.org:8080", None),
            ("POST", "pay.a.org", b"x"),
            ("POST", "pay.a.org", body_chunks()),
            ("DELETE", "pay.a.org", None),
            ("GET", "nobody.org", None),
            ("GET", "a.example.org", None),
        ):
            response = pool.request(
                method, "/x/1?q=1", headers={"Host": host}, body=body, chunked=body is not None
            )
            assert response.status != 200 or response.data == b"ok"
            statuses.append(response.status)
        return statuses


def test_urllib3_reuses_its_connection_over_several_services() -> None:
    async def test() -> None:
        a, b, pay = (
            await StandInService("a").add(1),
            await StandInService("b").add(1),
            await StandInService("pay").add(1),
        )
        look, charge = {"look": CLASSES["look"]}, {"charge": CLASSES["charge"]}
        harness = await ServicesHarness(
            make_settings(
                a.entry(classes=look),
                b.entry(classes=look),
                pay.entry(classes=charge, routes=[{"host": "pay.a.org"}]),
            )
        ).start()
        with ThreadPoolExecutor(1) as threads:
            statuses = await asyncio.get_running_loop().run_in_executor(
                threads, send_requests, harness.address[1]
            )
        assert statuses == [200, 200, 200, 200, 200, 404, 200]
        assert [len(service.request_log.entries) for service in (a, b, pay)] == [2, 1, 3]

    run(test)
