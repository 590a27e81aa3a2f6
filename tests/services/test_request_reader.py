"""Requirements of a service for its requests, and the requests and responses that are forwarded."""

from __future__ import annotations

import asyncio

import pytest

from tests.proxy_harness import FakeServer, run
from tests.services.harness import CLASSES, ServicesHarness, StandInService, make_settings

LOOK = {"look": CLASSES["look"]}


async def start_one_service(**overrides: object) -> tuple[StandInService, ServicesHarness]:
    a = await StandInService("a").add(1)
    return a, await ServicesHarness(make_settings(a.entry(**overrides))).start()


@pytest.mark.parametrize(
    ("lines", "status"),
    [
        (("GET / HTTP/1.1", "Host: a.example.org", "X-Qos: look"), 200),
        (("GET / HTTP/1.1", "Host: A.Example.ORG.:8080", "X-Qos: look"), 200),
        (("GET http://a.example.org/ HTTP/1.1", "Host: b.example.org", "X-Qos: look"), 200),
        (("GET / HTTP/1.1", "X-Qos: look"), 400),
        (("GET / HTTP/1.1", "Host: a.example.org", "Host: a.example.org", "X-Qos: look"), 400),
        (("GET / HTTP/1.1", "Host: a b", "X-Qos: look"), 400),
        (("GET / HTTP/1.1", "Host:", "X-Qos: look"), 400),
        (("GET http://b.example.org/ HTTP/1.1", "Host: a.example.org", "X-Qos: look"), 404),
        (("GET http://a.example.org/ HTTP/1.1", "Host: a b", "X-Qos: look"), 400),
        (("GET / HTTP/1.1", "Host: b.example.org", "X-Qos: look"), 404),
        (("GET / HTTP/1.1", "Host: a.example.org"), 400),
        (("GET / HTTP/1.1", "Host: a.example.org", "X-Qos: fly"), 404),
        (("GET /../x HTTP/1.1", "Host: a.example.org", "X-Qos: look"), 400),
        (("POST / HTTP/1.1", "Host: a.example.org", "X-Qos: look", "Content-Length: 0"), 405),
        (("GET / HTTP/1.1", "Host: a.example.org", "X-Qos: charge"), 405),
        (("PUT / HTTP/1.1", "Host: a.example.org", "X-Qos: charge", "Content-Length: 0"), 200),
        (("POST / HTTP/1.1", "Host: a.example.org", "X-Qos: book", "Content-Length: 0"), 400),
        (
            (
                "POST / HTTP/1.1",
                "Host: a.example.org",
                "X-Qos: book",
                "Content-Length: 0",
                "Idempotency-Key: 1",
            ),
            200,
        ),
        (("GET / HTTP/1.1", "Host: a.example.org", "X-Qos: look", "X-Expires-In: 0"), 400),
        (("GET / HTTP/1.1", "Host: a.example.org", "X-Qos: look", "X-Expires-In: soon"), 400),
        (("OPTIONS * HTTP/1.1", "Host: a.example.org", "X-Qos: look"), 400),
        (("GET /up HTTP/1.1", "Host: a.example.org"), 200),
        (("GET /up HTTP/1.1", "Host: nobody.example.org"), 200),
    ],
)
def test_malformed_requests_are_rejected(lines: tuple[str, ...], status: int) -> None:
    async def test() -> None:
        a, harness = await start_one_service()
        assert await harness.status(*lines) == status
        assert len(a.request_log.entries) == (status == 200 and "/up" not in lines[0])

    run(test)


def test_a_service_with_one_class_needs_no_class_header() -> None:
    async def test() -> None:
        a, harness = await start_one_service(classes=LOOK)
        assert await harness.status("GET / HTTP/1.1", "Host: a.example.org") == 200
        assert await harness.status("GET / HTTP/1.1", "Host: a.example.org") == 200
        first, second = a.request_log.entries
        assert first.request and first.request != second.request

    run(test)


def test_a_route_with_a_class_needs_none_in_the_request() -> None:
    async def test() -> None:
        routes = [
            {"host": "a.example.org", "class": "look"},
            {"host": "a.example.org", "path": "/pay", "class": "charge"},
        ]
        _, harness = await start_one_service(routes=routes)
        assert await harness.status("GET /x HTTP/1.1", "Host: a.example.org") == 200
        assert await harness.status("POST /pay HTTP/1.1", "Host: a.example.org", "Content-Length: 0") == 200
        assert await harness.status("GET /pay HTTP/1.1", "Host: a.example.org") == 405
        assert await harness.status("GET /pay HTTP/1.1", "Host: a.example.org", "X-Qos: look") == 404

    run(test)


def test_an_absolute_target_is_forwarded_in_origin_form_with_its_own_host() -> None:
    async def test() -> None:
        server, a = await FakeServer().start(), StandInService("a")
        entry = a.entry(classes=LOOK, servers=[{"name": "s", "address": server.address}])
        harness = await ServicesHarness(make_settings(entry)).start()
        response_task = asyncio.ensure_future(
            harness.send_request("GET http://a.example.org:80/x?y=1 HTTP/1.1", "Host: other")
        )
        call = await server.next()
        assert call.message.start_line == b"GET /x?y=1 HTTP/1.1"
        assert call.message.headers["host"] == "a.example.org:80"
        assert 0.0 < float(call.message.headers["x-expires-in"]) < 1.0
        call.reply(200, b"x")
        assert (await response_task).startswith(b"HTTP/1.1 200")

    run(test)


@pytest.mark.parametrize(
    ("status", "headers", "answers", "expected_status"),
    [
        (200, (), "any", 200),
        (201, (), "any", 201),
        (404, ("X-Own: 1",), "any", 404),
        (302, (), "any", 302),
        (500, (), "any", 502),
        (429, (), "any", 502),
        (404, (), "platform", 502),
    ],
)
def test_a_response_of_the_server_is_forwarded_unless_it_is_a_fault(
    status: int, headers: tuple[str, ...], answers: str, expected_status: int
) -> None:
    async def test() -> None:
        server, a = await FakeServer().start(), StandInService("a")
        classes = {"charge": CLASSES["charge"]}
        entry = a.entry(classes=classes, answers=answers, servers=[{"name": "s", "address": server.address}])
        harness = await ServicesHarness(make_settings(entry)).start()
        response_task = asyncio.ensure_future(
            harness.send_request("POST /x HTTP/1.1", "Host: a.example.org", "Content-Length: 0")
        )
        (await server.next()).reply(status, b"own words", *headers)
        response = await response_task
        assert response.startswith(b"HTTP/1.1 %d " % expected_status)
        assert response.endswith(b"own words") == (expected_status == status)

    run(test)


@pytest.mark.parametrize("status", [204, 304])
def test_a_response_without_a_body_ends_with_its_header_section(status: int) -> None:
    async def test() -> None:
        server, a = await FakeServer().start(), StandInService("a")
        entry = a.entry(classes=LOOK, servers=[{"name": "s", "address": server.address}])
        harness = await ServicesHarness(make_settings(entry)).start()
        for number in range(2):
            response_task = asyncio.ensure_future(
                harness.send_request("GET /x HTTP/1.1", "Host: a.example.org")
            )
            call = await server.next()
            call.writer.write(b"HTTP/1.1 %d X\r\nETag: %d\r\n\r\n" % (status, number))
            response = await response_task
            assert response.startswith(b"HTTP/1.1 %d " % status) and b"Content-Length" not in response
            assert response.endswith(b"\r\n\r\n")

    run(test)
