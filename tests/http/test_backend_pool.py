"""Selection of a connection for each exchange, and closing of idle connections."""

from __future__ import annotations

import os
from unittest import mock

import pytest

from cometdoor.balancing import api
from cometdoor.balancing.api import Outcome
from cometdoor.host.address import parse_address
from cometdoor.host.fair_share import DescriptorQuota
from cometdoor.http.backend_exchange import BackendExchange
from tests.proxy_harness import (
    FakeServer,
    ProxyHarness,
    ScriptedBalancer,
    endpoint_entry,
    proxy_with_one_server,
    run,
    send_all_to,
)

OK = b"HTTP/1.1 200 OK\r\n"


def test_unread_extra_bytes_are_detected_before_reuse() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with (
            ScriptedBalancer().installed() as scripted_balancer,
            mock.patch("cometdoor.http.backend_pool.REUSE_DELAY_S", -1.0),
        ):
            scripted_balancer.react = send_all_to("s1")
            proxy_harness = await ProxyHarness().start(endpoint_entry("s1", backend.address))
            client = await proxy_harness.connect()
            client.send_request()
            first = await backend.next()
            first.reply(200, b"a")
            assert (await client.read_response()).body == b"a"
            os.write(first.writer.transport.get_extra_info("socket").fileno(), b"HTTP/1.1 200 OK\r\n")
            exchange = BackendExchange(lambda: b"GET / HTTP/1.1\r\n\r\n", lambda outcome, response: None)
            assert proxy_harness.service._pool.send("s1", parse_address(backend.address), exchange)
            assert (await backend.next()).connection_number == 2
            assert proxy_harness.descriptors.used == 2  # the client's and the new one; the first is closed

    run(test)


@mock.patch("cometdoor.http.backend_pool.REUSE_DELAY_S", -1.0)
def test_reused_connection_that_breaks_is_an_outcome_and_not_retried() -> None:
    async def test() -> None:
        async with proxy_with_one_server() as (backend, scripted_balancer, _, client):
            client.send_request()
            (await backend.next()).reply(200)
            await client.read_response()
            client.send_request("pay")
            call = await backend.next()
            assert call.connection_number == 1
            call.reset()
            assert (await client.read_response()).status == 502
            assert scripted_balancer.outcomes()[1:] == [(0, Outcome.RESET, False)]
            assert (backend.connection_count, backend.calls.empty()) == (1, True)

    run(test)


@mock.patch("cometdoor.http.backend_pool.REUSE_DELAY_S", -1.0)
def test_most_recently_used_connection_goes_first() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        proxy_harness = await ProxyHarness().start(endpoint_entry("s1", backend.address), group_size=1)
        clients = [await proxy_harness.connect(), await proxy_harness.connect()]
        for client in clients:
            client.send_request()
        calls = [await backend.next(), await backend.next()]
        for call, client in zip(calls, clients, strict=True):
            call.reply(200)
            await client.read_response()
        for _ in range(3):
            clients[0].send_request()
            call = await backend.next()
            assert call.connection_number == calls[1].connection_number
            call.reply(200)
            await clients[0].read_response()

    run(test)


@pytest.mark.parametrize("cause", ["Connection: close", "extra bytes after the response"])
def test_ambiguous_connection_is_not_reused(cause: str) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        proxy_harness = await ProxyHarness().start(endpoint_entry("s1", backend.address))
        client = await proxy_harness.connect()
        for number in (1, 2):
            client.send_request()
            call = await backend.next()
            assert call.connection_number == number
            if cause == "Connection: close":
                call.reply(200, b"a", "Connection: close")
            else:
                call.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n")
            assert (await client.read_response()).body == b"a"
            await call.wait_closed()

    run(test)


def test_idle_connections_are_closed_before_the_backend_closes_them() -> None:
    async def test() -> None:
        async with proxy_with_one_server(limits={"idle_close_ms": 100.0}) as (
            backend,
            _,
            proxy_harness,
            client,
        ):
            client.send_request()
            call = await backend.next()
            call.reply(200)
            await client.read_response()
            await call.wait_closed()
            assert proxy_harness.descriptors.used == 1

    run(test)


def test_closing_idle_connections_keeps_those_in_use() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with ScriptedBalancer().installed() as scripted_balancer:
            scripted_balancer.react = send_all_to("s1")
            proxy_harness = await ProxyHarness().start(endpoint_entry("s1", backend.address))
            clients = [
                await proxy_harness.connect(),
                await proxy_harness.connect(),
                await proxy_harness.connect(),
            ]
            for client in clients[:2]:
                client.send_request()
            busy, idle = await backend.next(), await backend.next()
            idle.reply(200)
            await clients[1].read_response()
            scripted_balancer.react = lambda event: (
                [api.CloseIdleConnections("s1"), api.Fail(event.request)]
                if isinstance(event, api.RequestArrived)
                else []
            )
            clients[2].send_request()
            assert (await clients[2].read_response()).status == 502
            await idle.wait_closed()
            busy.reply(200, b"spared")
            assert (await clients[0].read_response()).body == b"spared"

    run(test)


def test_idle_connections_are_closed_first_when_descriptors_run_out() -> None:
    """At the descriptor limit an idle connection is closed for a new one; without any, the attempt fails.

    Otherwise the process could accept no further clients.
    """

    async def test() -> None:
        first_server, second_server = await FakeServer().start(), await FakeServer().start()
        with ScriptedBalancer().installed() as scripted_balancer:
            scripted_balancer.react = send_all_to("s1")
            proxy_harness = await ProxyHarness().start(
                endpoint_entry("s1", first_server.address),
                endpoint_entry("s2", second_server.address),
                sockets=DescriptorQuota.RESERVED_DESCRIPTORS + 3,
            )
            proxy_harness.frontend.max_connections = lambda: 2  # type: ignore[method-assign]
            clients = [await proxy_harness.connect(), await proxy_harness.connect()]
            clients[0].send_request()
            idle_call = await first_server.next()
            idle_call.reply(200)
            await clients[0].read_response()
            scripted_balancer.react = send_all_to("s2")
            clients[0].send_request()
            call = await second_server.next()
            await idle_call.wait_closed()
            clients[1].send_request()
            assert (await clients[1].read_response()).status == 502
            assert scripted_balancer.outcomes()[-1] == (0, Outcome.CONNECT_FAILED, False)
            call.reply(200, b"fine")
            assert (await clients[0].read_response()).body == b"fine"

    run(test)
