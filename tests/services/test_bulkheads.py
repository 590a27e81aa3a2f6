"""A fault of one service does not affect another: real sockets, stand-in servers and their request logs."""

from __future__ import annotations

import asyncio
import socket
from unittest import mock

from standins.load_generator import ClientOutcome, percentile
from standins.rules import check_rules
from tests.proxy_harness import run
from tests.services.harness import ServicesHarness, StandInService, make_settings


async def start_two_services(
    seconds_a: float = 0.002, **overrides: object
) -> tuple[StandInService, StandInService, ServicesHarness]:
    a, b = await StandInService("a").add(3, seconds=seconds_a), await StandInService("b").add(3)
    return a, b, await ServicesHarness(make_settings(a.entry(), b.entry(), **overrides)).start()


def test_with_all_servers_of_one_service_unresponsive_the_other_is_fully_served() -> None:
    async def test() -> None:
        a, b, harness = await start_two_services()
        a.freeze()
        load_a, load_b = harness.load(a.load(150, 40, 40), 1, "a"), harness.load(b.load(150, 40, 40), 2, "b")
        client_log_a, client_log_b = await asyncio.gather(load_a.run(2.0), load_b.run(2.0))
        assert len(client_log_b.attempts) > 300 and all(
            attempt.was_served for attempt in client_log_b.attempts
        )
        assert not check_rules(client_log_b, b.request_log)
        assert not any(attempt.was_served for attempt in client_log_a.attempts)
        assert not check_rules(client_log_a, a.request_log)

    run(test)


def test_with_all_servers_of_one_service_unresponsive_the_other_sustains_full_load() -> None:
    """`b` has closed-loop clients, which keep the event loop busy throughout."""

    async def test() -> None:
        a, b, harness = await start_two_services()
        a.freeze()

        async def caller(name: str, requests: int) -> list[int]:
            reader, writer = await asyncio.open_connection(*harness.address)
            statuses = []
            for number in range(requests):
                writer.write(
                    f"GET /look/1 HTTP/1.1\r\nHost: b.example.org\r\nX-Qos: look\r\n"
                    f"X-Trace-Id: {name}-{number}\r\n\r\n".encode()
                )
                head = await reader.readuntil(b"\r\n\r\n")
                statuses.append(int(head.split(b" ")[1]))
                await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r")[0]))
            writer.close()
            return statuses

        load_a = asyncio.create_task(harness.load(a.load(150, 40, 40), 1, "a").run(1.5))
        statuses_by_caller = await asyncio.gather(*(caller(f"b{n}", 150) for n in range(16)))
        client_log_a = await load_a
        assert statuses_by_caller == [[200] * 150] * 16
        assert {entry.request for entry in b.request_log.entries if entry.has_executed} == {
            f"b{n}-{number}" for n in range(16) for number in range(150)
        }
        assert not any(attempt.was_served for attempt in client_log_a.attempts)
        assert not check_rules(client_log_a, a.request_log)

    run(test)


def test_a_service_that_accepts_no_connection_fails_alone() -> None:
    async def test() -> None:
        a, b, harness = await start_two_services()
        a.stop()
        client_log_a, client_log_b = await asyncio.gather(
            harness.load(a.load(100, 30, 30), 1, "a").run(1.0),
            harness.load(b.load(100, 30, 30), 2, "b").run(1.0),
        )
        assert all(attempt.was_served for attempt in client_log_b.attempts)
        assert client_log_a.attempts and all(attempt.was_rejected for attempt in client_log_a.attempts)
        assert not check_rules(client_log_a, a.request_log) and not check_rules(client_log_b, b.request_log)

    run(test)


def test_clients_waiting_for_an_unresponsive_service_leave_sockets_for_new_clients_of_another() -> None:
    """With 128 descriptors, clients may have 48 connections: 100 that wait for `a` must not use them all."""

    async def test() -> None:
        a, _b, harness = await start_two_services(sockets=128)
        a.freeze()
        waiting_connections = []
        for number in range(100):
            reader, writer = await asyncio.open_connection(*harness.address)
            writer.write(b"GET /look/%d HTTP/1.1\r\nHost: a.example.org\r\nX-Qos: look\r\n\r\n" % number)
            waiting_connections.append((reader, writer))
        for _ in range(20):
            status = await harness.status("GET /look/1 HTTP/1.1", "Host: b.example.org", "X-Qos: look")
            assert status == 200
        for _, writer in waiting_connections:
            writer.close()

    run(test)


def test_idle_client_connections_of_one_service_are_closed_for_new_clients_of_another() -> None:
    async def test() -> None:
        _a, _b, harness = await start_two_services(sockets=128)
        open_connections = []
        for _ in range(harness.services.frontend.max_connections()):
            reader, writer = await asyncio.open_connection(*harness.address)
            writer.write(b"GET /look/1 HTTP/1.1\r\nHost: a.example.org\r\nX-Qos: look\r\n\r\n")
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            open_connections.append((reader, writer))
        assert await harness.status("GET /look/1 HTTP/1.1", "Host: b.example.org", "X-Qos: look") == 200

    run(test)


def test_a_service_over_its_limit_of_open_requests_rejects_immediately() -> None:
    async def test() -> None:
        a, b = await StandInService("a").add(1), await StandInService("b").add(1)
        harness = await ServicesHarness(make_settings(a.entry(limits={"open": 2}), b.entry())).start()
        a.freeze()
        pending = [
            asyncio.ensure_future(
                harness.status("GET /look/1 HTTP/1.1", "Host: a.example.org", "X-Qos: look")
            )
            for _ in range(2)
        ]
        while harness.services.running["a"].http.open_requests() < 2:
            await asyncio.sleep(0)
        response = await harness.send_request("GET /look/1 HTTP/1.1", "Host: a.example.org", "X-Qos: look")
        assert response.startswith(b"HTTP/1.1 503") and b"Retry-After: 0.075\r\n" in response
        assert await harness.status("GET /look/1 HTTP/1.1", "Host: b.example.org", "X-Qos: look") == 200
        a.thaw()
        assert [await attempt for attempt in pending] == [200, 200]

    run(test)


def test_a_service_over_its_connection_limit_rejects_and_attributes_no_failure_to_a_server() -> None:
    async def test() -> None:
        a = await StandInService("a").add(2)
        harness = await ServicesHarness(make_settings(a.entry(limits={"connections": 1}))).start()
        a.freeze()
        pending = asyncio.ensure_future(
            harness.status("GET /look/1 HTTP/1.1", "Host: a.example.org", "X-Qos: look", "X-Expires-In: 1.0")
        )
        while not a.request_log.entries:
            await asyncio.sleep(0)
        assert await harness.status("GET /look/1 HTTP/1.1", "Host: a.example.org", "X-Qos: look") == 503
        a.thaw()
        assert await pending == 200
        # No server is marked as failed: the next request is served at once.
        assert await harness.status("GET /look/1 HTTP/1.1", "Host: a.example.org", "X-Qos: look") == 200

    run(test)


def test_requests_beyond_the_queue_limit_are_rejected_immediately() -> None:
    async def test() -> None:
        a = await StandInService("a").add(1)
        harness = await ServicesHarness(make_settings(a.entry(limits={"waiting": 0}))).start()
        a.freeze()
        load = harness.load(a.load(400), 1)
        client_log = await load.run(0.5)
        rejected = [attempt for attempt in client_log.attempts if attempt.was_rejected]
        # Without the limit, the module would queue them for a quarter of their latency target of 300 ms.
        assert rejected and percentile([attempt.seconds for attempt in rejected], 0.5) < 0.05
        assert not [
            attempt
            for attempt in client_log.attempts
            if attempt.outcome in (ClientOutcome.CONNECTION_LOST, ClientOutcome.TIMED_OUT)
        ]

    run(test)


def test_bytes_beyond_the_limit_are_rejected_until_others_are_released() -> None:
    async def test() -> None:
        a = await StandInService("a").add(1)
        harness = await ServicesHarness(make_settings(a.entry(limits={"held_bytes": 65536}))).start()
        a.freeze()
        body = b"x" * 40_000

        async def charge() -> int:
            return await harness.status(
                "POST /c HTTP/1.1",
                "Host: a.example.org",
                "X-Qos: charge",
                f"Content-Length: {len(body)}",
                body=body,
            )

        pending = [asyncio.ensure_future(charge()) for _ in range(2)]
        service = harness.services.running["a"].http
        while service.open_requests() < 2:
            await asyncio.sleep(0)
        assert await charge() == 503
        a.thaw()
        assert [await attempt for attempt in pending] == [200, 200]
        assert await charge() == 200
        assert service.buffered_bytes() == 0

    run(test)


def test_unread_responses_count_against_their_services_limit() -> None:
    async def test() -> None:
        a = await StandInService("a").add(1, body=b"x" * 60_000)
        harness = await ServicesHarness(make_settings(a.entry(limits={"held_bytes": 65536}))).start()
        service = harness.services.running["a"].http
        slow_client = socket.socket()
        slow_client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        slow_client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(slow_client, harness.address)
        send_request = b"GET /look/1 HTTP/1.1\r\nHost: a.example.org\r\nX-Qos: look\r\n\r\n"
        while service.unread_bytes < 65536:  # the client reads nothing
            await loop.sock_sendall(slow_client, send_request)
            await asyncio.sleep(0.01)
        assert await harness.status("GET /look/1 HTTP/1.1", "Host: a.example.org", "X-Qos: look") == 503
        slow_client.close()
        while service.unread_bytes:
            await asyncio.sleep(0.01)
        assert await harness.status("GET /look/1 HTTP/1.1", "Host: a.example.org", "X-Qos: look") == 200

    run(test)


def test_one_connection_carries_requests_of_several_services() -> None:
    async def test() -> None:
        a, b, harness = await start_two_services()
        reader, writer = await asyncio.open_connection(*harness.address)
        for name in ("a", "b", "a", "b"):
            writer.write(f"GET /look/1 HTTP/1.1\r\nHost: {name}.example.org\r\nX-Qos: look\r\n\r\n".encode())
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(2) == b"ok"
        assert (len(a.request_log.entries), len(b.request_log.entries)) == (2, 2)
        assert [connection.service_name for connection in harness.services.frontend.connections] == ["b"]
        writer.close()

    run(test)


def test_the_same_trace_id_may_be_open_at_two_services_but_not_twice_at_one() -> None:
    async def test() -> None:
        a, b, harness = await start_two_services()
        a.freeze()
        b.freeze()
        pending = [
            asyncio.ensure_future(
                harness.status(
                    "GET /look/1 HTTP/1.1", f"Host: {name}.example.org", "X-Qos: look", "X-Trace-Id: same"
                )
            )
            for name in ("a", "b")
        ]
        while not (a.request_log.entries and b.request_log.entries):
            await asyncio.sleep(0)
        assert (
            await harness.status(
                "GET /look/1 HTTP/1.1", "Host: a.example.org", "X-Qos: look", "X-Trace-Id: same"
            )
            == 409
        )
        a.thaw()
        b.thaw()
        assert [await attempt for attempt in pending] == [200, 200]

    run(test)


def test_scarce_descriptors_are_shared_and_idle_ones_are_released() -> None:
    """Two services share 16 connections to servers: `a` uses its maximum, and `b` still has its share."""

    async def test() -> None:
        a, b, harness = await start_two_services(sockets=64)
        a.freeze()
        pending = [
            asyncio.ensure_future(
                harness.status("GET /look/1 HTTP/1.1", "Host: a.example.org", "X-Qos: look")
            )
            for _ in range(14)
        ]
        share = harness.services.running["a"].server_share
        while share.used < harness.services.server_connections.max_usable(share) - 2:
            await asyncio.sleep(0)
        client_log = await harness.load(b.load(60), 3).run(1.0)
        assert client_log.attempts and all(attempt.was_served for attempt in client_log.attempts)
        a.thaw()
        await asyncio.gather(*pending)
        assert harness.services.server_connections.used <= harness.services.server_connections.total

    run(test)


def test_an_empty_list_or_a_failed_discovery_affects_one_service_only() -> None:
    async def test() -> None:
        a, b, c = StandInService("a"), await StandInService("b").add(2), StandInService("c")
        entry_c = c.entry(servers=None, discovery="127.0.0.1:1")
        with mock.patch("cometdoor.discovery.discovery_client.BACKOFF_MIN_S", 0.01):
            harness = await ServicesHarness(make_settings(a.entry(), b.entry(), entry_c)).start()
            for name, status in (("a", 503), ("c", 503), ("b", 200)):
                assert (
                    await harness.status("GET /look/1 HTTP/1.1", f"Host: {name}.example.org", "X-Qos: look")
                    == status
                )
            assert await harness.status("GET /up HTTP/1.1", "Host: b.example.org") == 200
            harness.services.stop()

    run(test)


def test_a_hundred_services_each_serve_their_own() -> None:
    async def test() -> None:
        services = [await StandInService(f"s{number}").add(1) for number in range(100)]
        harness = await ServicesHarness(make_settings(*(service.entry() for service in services))).start()
        for service in services:
            assert (
                await harness.status(
                    "GET /look/1 HTTP/1.1", f"Host: {service.name}.example.org", "X-Qos: look"
                )
                == 200
            )
        assert [len(service.request_log.entries) for service in services] == [1] * 100

    run(test)
