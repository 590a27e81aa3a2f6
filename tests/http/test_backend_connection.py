"""Outcomes of exchanges for valid, malformed and missing responses of a backend."""

from __future__ import annotations

import asyncio
import os
import socket
from functools import partial
from unittest import mock

import pytest

from cometdoor.balancing import api
from cometdoor.balancing.api import Outcome
from cometdoor.host.attempt_outcome import AttemptResult, AttemptStage
from cometdoor.host.fair_share import DescriptorQuota
from cometdoor.http.backend_exchange import BackendExchange
from cometdoor.http.backend_pool import BackendConnectionPool
from cometdoor.http.messages import Response
from tests.proxy_harness import (
    FakeServer,
    ProxyClient,
    ProxyHarness,
    ScriptedBalancer,
    endpoint_entry,
    proxy_with_one_server,
    run,
    send_all_to,
)

NOT_EXECUTED_HEADER = "X-Never-Ran: 1"


async def outcome_of_one_request(
    scripted_balancer: ScriptedBalancer, client: ProxyClient, status: int
) -> Outcome:
    client.send_request()
    attempt_ended: api.AttemptEnded = await scripted_balancer.wait_for(api.AttemptEnded)
    assert (await client.read_response()).status == status
    return attempt_ended.outcome


@pytest.mark.parametrize(
    ("status", "headers", "outcome"),
    [
        (500, (), Outcome.ERROR),
        (503, (), Outcome.ERROR),
        (504, (), Outcome.ERROR),
        (404, (), Outcome.ERROR),
        (400, (), Outcome.ERROR),
        (429, (), Outcome.ERROR),
        (204, (), Outcome.ERROR),
        (500, (NOT_EXECUTED_HEADER,), Outcome.ERROR),
        (503, (NOT_EXECUTED_HEADER,), Outcome.REJECTED),
        (504, (NOT_EXECUTED_HEADER,), Outcome.REJECTED),
        (503, ("X-Never-Ran: 0",), Outcome.ERROR),
    ],
)
def test_only_a_marked_503_or_504_proves_not_executed(
    status: int, headers: tuple[str, ...], outcome: Outcome
) -> None:
    async def test() -> None:
        async with proxy_with_one_server() as (backend, scripted_balancer, _, client):
            client.send_request()
            (await backend.next()).reply(status, b"error details", *headers)
            response = await client.read_response()
            assert (response.status, response.body) == (502, b"")
            assert scripted_balancer.outcomes() == [(0, outcome, False)]

    run(test)


def test_request_on_a_refused_connection_is_not_executed() -> None:
    async def test() -> None:
        with socket.socket() as bound_socket:
            bound_socket.bind(("127.0.0.1", 0))  # bound and not listening
            with ScriptedBalancer().installed() as scripted_balancer:
                scripted_balancer.react = send_all_to("s1")
                proxy_harness = await ProxyHarness().start(
                    endpoint_entry("s1", f"127.0.0.1:{bound_socket.getsockname()[1]}")
                )
                outcome = await outcome_of_one_request(scripted_balancer, await proxy_harness.connect(), 502)
                assert outcome is Outcome.CONNECT_FAILED
                assert proxy_harness.descriptors.used == 1  # the client's connection

    run(test)


def test_connect_timeout_ends_a_connection_that_does_not_open() -> None:
    async def test() -> None:
        with socket.socket() as full_listener, ScriptedBalancer().installed() as scripted_balancer:
            full_listener.bind(("127.0.0.1", 0))
            full_listener.listen(0)
            backlog_sockets = [socket.socket() for _ in range(4)]
            # The backlog becomes full, so that further connections stay pending.
            for backlog_socket in backlog_sockets:
                backlog_socket.setblocking(False)
                backlog_socket.connect_ex(full_listener.getsockname())
            scripted_balancer.react = send_all_to("s1")
            proxy_harness = await ProxyHarness().start(
                endpoint_entry("s1", f"127.0.0.1:{full_listener.getsockname()[1]}"),
                limits={"connect_timeout_ms": 40.0},
            )
            assert (
                await outcome_of_one_request(scripted_balancer, await proxy_harness.connect(), 502)
                is Outcome.CONNECT_FAILED
            )
            for backlog_socket in backlog_sockets:
                backlog_socket.close()

    run(test)


def test_reset_after_the_request_may_have_executed() -> None:
    async def test() -> None:
        async with proxy_with_one_server() as (backend, scripted_balancer, _, client):
            for ending in ("reset", "incomplete response"):
                client.send_request()
                call = await backend.next()
                if ending == "incomplete response":
                    call.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
                    call.writer.close()
                else:
                    call.reset()
                assert (await client.read_response()).status == 502
            assert scripted_balancer.outcomes() == [(0, Outcome.RESET, False)] * 2

    run(test)


OK = b"HTTP/1.1 200 OK\r\n"


LENGTH_1 = b"Content-Length: 1\r\n"


MALFORMED_RESPONSES = {
    "noise": b"\x00\xfe noise\r\n\r\n",
    "another protocol": b"HTTP/1.1 101 Over\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
    "a header without a colon": OK + b"no colon\r\n\r\n",
    "a head without end": OK + b"X-More: " + b"x" * 40_000,
    "an incomplete head": OK + b"Content-Le",
    "an incomplete body": OK + b"Content-Length: 9\r\n\r\nhalf",
    # The end of the connection can't be distinguished from a failure, so the body may be incomplete.
    "no length": OK + b"\r\nperhaps all",
    "3 GB": OK + b"Content-Length: 3221225472\r\n\r\nand so on",
    "a body without end": OK + b"Transfer-Encoding: chunked\r\n\r\n" + b"1000\r\n" + b"x" * 70_000,
    "a negative length": OK + b"Content-Length: -1\r\n\r\n",
    "two lengths": OK + LENGTH_1 + b"Content-Length: 2\r\n\r\nab",
    "length and transfer coding": OK + LENGTH_1 + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
    "unknown transfer coding": OK + b"Transfer-Encoding: gzip\r\n\r\nx",
    "too many interim responses": b"HTTP/1.1 100 Continue\r\n\r\n" * 40 + OK + LENGTH_1 + b"\r\na",
    "chunk extensions without end": OK + b"Transfer-Encoding: chunked\r\n\r\n1;x=" + b"x" * 40_000,
    "trailers without end": OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: " + b"x" * 40_000,
}


@pytest.mark.parametrize("name", MALFORMED_RESPONSES)
def test_malformed_response_is_a_failure_that_may_have_executed(name: str) -> None:
    """The backend leaves the connection open, so that the failure is not that of a closed connection."""

    async def test() -> None:
        backend = await FakeServer().start()
        with (
            ScriptedBalancer().installed() as scripted_balancer,
            mock.patch("cometdoor.http.backend_connection.RESPONSE_READ_TIMEOUT_S", 0.02),
        ):
            scripted_balancer.react = send_all_to("s1")
            proxy_harness = await ProxyHarness().start(endpoint_entry("s1", backend.address))
            client = await proxy_harness.connect()
            client.send_request()
            call = await backend.next()
            call.writer.write(MALFORMED_RESPONSES[name])
            assert (await client.read_response()).status == 502
            await call.wait_closed()
            assert scripted_balancer.outcomes() == [(0, Outcome.ERROR, False)]
            assert proxy_harness.descriptors.used == 1

    run(test)


@pytest.mark.parametrize(
    ("size", "buffer_limit", "status"),
    [
        (1 << 20, 0, 502),
        (1 << 20, 2 << 20, 200),
        ((1 << 20) + 1, 9 << 20, 502),
        (65_536, 0, 200),
        (65_537, 0, 502),
    ],
)
@pytest.mark.parametrize("chunked", [False, True])
def test_response_over_64_kib_is_forwarded_while_the_buffer_has_room(
    chunked: bool, size: int, buffer_limit: int, status: int
) -> None:
    async def test() -> None:
        with mock.patch("cometdoor.http.backend_pool.MAX_BUFFERED_BYTES", buffer_limit):
            async with proxy_with_one_server() as (backend, scripted_balancer, proxy_harness, client):
                client.send_request()
                call, body = await backend.next(), os.urandom(size)
                if chunked:
                    call.open_stream()
                    call.write_chunk(body)
                    call.write_chunk(b"")
                else:
                    call.reply(200, body)
                response = await client.read_response()
                assert (response.status, response.body) == (status, body if status == 200 else b"")
                assert not proxy_harness.service._pool.buffered_bytes
                assert scripted_balancer.outcomes()[0][1] is (Outcome.OK if status == 200 else Outcome.ERROR)

    run(test)


@pytest.mark.parametrize("extra_bytes", [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz", b"\x00noise"])
def test_late_extra_bytes_never_reach_the_next_request(extra_bytes: bytes) -> None:
    """The next request is sent at once, before the extra bytes arrive."""

    async def test() -> None:
        async with proxy_with_one_server() as (backend, _, _, client):
            client.send_request()
            first = await backend.next()
            first.reply(200, b"a")
            assert (await client.read_response()).body == b"a"
            client.send_request()
            second = await backend.next()
            assert second.connection_number == 2  # the first is not reused yet
            first.writer.write(extra_bytes)
            await first.wait_closed()
            second.reply(200, b"b")
            assert (await client.read_response()).body == b"b"

    run(test)


def test_headers_named_by_connection_are_not_forwarded() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        proxy_harness = await ProxyHarness().start(endpoint_entry("s1", backend.address))
        client = await proxy_harness.connect()
        client.send_request("read", b"", "Connection: keep-alive, X-Mine", "X-Mine: 1", "X-Ours: 2")
        call = await backend.next()
        assert "x-mine" not in call.message.headers and call.message.headers["x-ours"] == "2"
        call.reply(200, b"", "Connection: X-Theirs", "X-Theirs: 1", "Endpoint-Load-Metrics: \xff what")
        response = await client.read_response()
        assert response.status == 200 and "x-theirs" not in response.headers

    run(test)


def test_request_disconnected_before_its_last_byte_is_not_executed() -> None:
    """Bytes in the transport's buffer are not written yet, although the transport has accepted them."""

    async def test() -> None:
        accepted: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(1000)
            accepted.put_nowait(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        loop = asyncio.get_running_loop()
        pool = BackendConnectionPool(
            loop, DescriptorQuota(100), idle_close_ms=30_000.0, connect_timeout_ms=250.0
        )
        outcome_future: asyncio.Future[Outcome] = loop.create_future()
        exchange = BackendExchange(
            lambda: b"x" * (64 << 20), lambda result, _: outcome_future.set_result(result.outcome)
        )
        pool.send("s1", server.sockets[0].getsockname()[:2], exchange)
        writer = await accepted.get()
        assert exchange.stage() is AttemptStage.PARTIALLY_WRITTEN
        writer.transport.abort()
        assert await outcome_future is Outcome.DISCONNECTED

    run(test)


def set_outcome(
    outcome_future: asyncio.Future[Outcome], result: AttemptResult, response: Response | None
) -> None:
    outcome_future.set_result(result.outcome)


@pytest.mark.parametrize("delays_last_byte", [True, False])
def test_non_idempotent_request_cut_before_its_last_byte_is_not_executed(delays_last_byte: bool) -> None:
    """The last byte is delayed until a FIN or RST from the backend would have arrived."""
    payload = b"POST / HTTP/1.1\r\n\r\n"

    async def test() -> None:
        loop = asyncio.get_running_loop()
        # At 0 bytes the connection may be closed before the write.
        for closed_after_bytes in range(0 if delays_last_byte else 1, len(payload) + 1):
            received: asyncio.Future[bytes] = loop.create_future()

            async def serve(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                closed_after_bytes: int = closed_after_bytes,
                received: asyncio.Future[bytes] = received,
            ) -> None:
                received.set_result(await reader.readexactly(closed_after_bytes))
                writer.transport.abort()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            pool = BackendConnectionPool(
                loop, DescriptorQuota(100), idle_close_ms=30_000.0, connect_timeout_ms=30_000.0
            )
            outcome_future: asyncio.Future[Outcome] = loop.create_future()
            is_complete_request = closed_after_bytes == len(payload)
            delay_s = 0.0 if is_complete_request else 30.0
            with mock.patch.multiple(
                "cometdoor.http.backend_connection",
                LAST_BYTE_DELAY_MIN_S=delay_s,
                LAST_BYTE_DELAY_MAX_S=delay_s,
            ):
                exchange = BackendExchange(
                    lambda: payload, partial(set_outcome, outcome_future), 30.0 if delays_last_byte else 0.0
                )
                pool.send("s1", server.sockets[0].getsockname()[:2], exchange)
                outcome = await outcome_future
            assert outcome is (
                Outcome.DISCONNECTED if delays_last_byte and not is_complete_request else Outcome.RESET
            ), closed_after_bytes
            assert payload.startswith(await received)
            server.close()

    run(test)


def test_request_cancelled_during_the_last_byte_delay_is_never_completed() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        remaining_bytes: asyncio.Future[bytes] = loop.create_future()
        first_bytes: asyncio.Future[bytes] = loop.create_future()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            first_bytes.set_result(await reader.readexactly(4))
            try:
                remaining_bytes.set_result(await reader.read())
            except ConnectionError:
                remaining_bytes.set_result(b"")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = BackendConnectionPool(
            loop, DescriptorQuota(100), idle_close_ms=30_000.0, connect_timeout_ms=30_000.0
        )
        with mock.patch.multiple(
            "cometdoor.http.backend_connection", LAST_BYTE_DELAY_MIN_S=0.05, LAST_BYTE_DELAY_MAX_S=0.05
        ):
            exchange = BackendExchange(lambda: b"12345", lambda result, response: None, 30.0)
            pool.send("s1", server.sockets[0].getsockname()[:2], exchange)
            await first_bytes
            assert exchange.stage() is AttemptStage.PARTIALLY_WRITTEN
            exchange.abort()
            assert await remaining_bytes == b""

    run(test)


def test_response_to_a_partial_request_counts_and_the_rest_is_never_sent() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        remaining_bytes: asyncio.Future[bytes] = loop.create_future()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(4)
            writer.write(b"HTTP/1.1 413 Too large\r\nContent-Length: 0\r\n\r\n")
            remaining_bytes.set_result(await reader.read())

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = BackendConnectionPool(
            loop, DescriptorQuota(100), idle_close_ms=30_000.0, connect_timeout_ms=30_000.0
        )
        outcome_future: asyncio.Future[Outcome] = loop.create_future()
        with mock.patch.multiple(
            "cometdoor.http.backend_connection", LAST_BYTE_DELAY_MIN_S=30.0, LAST_BYTE_DELAY_MAX_S=30.0
        ):
            pool.send(
                "s1",
                server.sockets[0].getsockname()[:2],
                BackendExchange(lambda: b"12345", partial(set_outcome, outcome_future), 30.0),
            )
            assert await outcome_future is Outcome.ERROR
        assert await remaining_bytes == b"" and not pool.buffered_bytes

    run(test)


def test_interim_response_is_not_a_final_response() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        proxy_harness = await ProxyHarness().start(endpoint_entry("s1", backend.address))
        client = await proxy_harness.connect()
        client.send_request()
        call = await backend.next()
        call.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        call.reply(200, b"this one")
        assert (await client.read_response()).body == b"this one"

    run(test)
