"""The complete proxy: one outcome per attempt and one final response per request."""

from __future__ import annotations

import asyncio
import time
from unittest import mock

import pytest

from cometdoor.balancing import api
from cometdoor.balancing.api import Outcome
from tests.balancing.test_simulator_adapter import INFO
from tests.proxy_harness import (
    LANES,
    FakeServer,
    ProxyHarness,
    ScriptedBalancer,
    endpoint_entry,
    proxy_with_one_server,
    run,
    send_all_to,
)


def test_request_and_response_are_forwarded_unchanged() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        proxy_harness = await ProxyHarness().start(endpoint_entry("s1", backend.address))
        client = await proxy_harness.connect()
        client.send_request(
            "book", b"\x00\xffbody", "X-Props: a=1", remaining_s="1.5", trace_id="9b1f03aa5c7e2d41"
        )
        call = await backend.next()
        assert call.message.start_line == b"POST /book/7f3a?x=%201 HTTP/1.1"
        assert call.message.body == b"\x00\xffbody"
        headers = call.message.headers
        assert (headers["x-trace-id"], headers["idempotency-key"]) == ("9b1f03aa5c7e2d41", "5c0f")
        assert 0 < float(headers["x-expires-in"]) < 1.5
        call.reply(200, b"\x00answer\r\n", "X-Own: kept")
        response = await client.read_response()
        assert (response.status, response.body, response.headers["x-own"]) == (200, b"\x00answer\r\n", "kept")

    run(test)


@pytest.mark.parametrize("report_mode", ["inline", "off"])
def test_load_report_of_a_response_reaches_the_balancer(report_mode: str) -> None:
    """Without the load report, the balancer can't learn over sockets that a zone is busy."""

    async def test() -> None:
        async with proxy_with_one_server(report={"how": report_mode}) as (
            backend,
            scripted_balancer,
            _,
            client,
        ):
            client.send_request()
            (await backend.next()).reply(
                200, b"x", "Endpoint-Load-Metrics: TEXT util=0.61, qps=12.5, latency_ms=80"
            )
            attempt_ended = await scripted_balancer.wait_for(api.AttemptEnded)
            expected_load = {"util": 0.61, "qps": 12.5, "latency_ms": 80.0} if report_mode == "inline" else {}
            assert dict(attempt_ended.load) == expected_load

    run(test)


@pytest.mark.parametrize(("action", "status"), [(api.Reject, 503), (api.Fail, 502)])
def test_request_that_the_balancer_fails_is_answered_at_once(
    action: type[api.Reject | api.Fail], status: int
) -> None:
    async def test() -> None:
        with ScriptedBalancer().installed() as scripted_balancer:
            proxy_harness = await ProxyHarness().start()
            scripted_balancer.react = lambda event: (
                [action(event.request)] if isinstance(event, api.RequestArrived) else []
            )
            client = await proxy_harness.connect()
            # A response that was delayed until near this deadline would outlast the test.
            client.send_request(remaining_s="3600")
            assert (await client.read_response()).status == status

    run(test)


def test_first_successful_response_wins_and_the_other_attempt_has_one_outcome() -> None:
    async def test() -> None:
        slow, fast = await FakeServer().start(), await FakeServer().start()
        with ScriptedBalancer().installed() as scripted_balancer:
            proxy_harness = await ProxyHarness().start(
                endpoint_entry("s1", slow.address), endpoint_entry("s2", fast.address)
            )

            def react(event: api.Event) -> list[api.Action]:
                if isinstance(event, api.RequestArrived):
                    return [api.Send(event.request, "s1"), api.Send(event.request, "s2")]
                if isinstance(event, api.AttemptEnded) and event.outcome is Outcome.OK:
                    return [
                        api.Cancel(event.request, 0),
                        api.Cancel(event.request, 0),
                        api.Fail(event.request),
                    ]
                return []

            scripted_balancer.react = react
            client = await proxy_harness.connect()
            client.send_request()
            slow_call = await slow.next()
            (await fast.next()).reply(200, b"fast")
            assert (await client.read_response()).body == b"fast"
            await slow_call.wait_closed()
            assert scripted_balancer.outcomes() == [(1, Outcome.OK, True), (0, Outcome.CANCELLED, True)]
            scripted_balancer.react = send_all_to("s2")
            # No second response to the first request may follow: the next response is that of this request.
            client.send_request()
            (await fast.next()).reply(200, b"next")
            assert (await client.read_response()).body == b"next"

    run(test)


def test_late_outcome_is_still_reported() -> None:
    async def test() -> None:
        slow, fast = await FakeServer().start(), await FakeServer().start()
        with ScriptedBalancer().installed() as scripted_balancer:
            proxy_harness = await ProxyHarness().start(
                endpoint_entry("s1", slow.address), endpoint_entry("s2", fast.address)
            )
            scripted_balancer.react = lambda event: (
                [api.Send(event.request, "s1"), api.Send(event.request, "s2")]
                if isinstance(event, api.RequestArrived)
                else []
            )
            client = await proxy_harness.connect()
            client.send_request()
            slow_call = await slow.next()
            (await fast.next()).reply(200, b"fast")
            assert (await client.read_response()).body == b"fast"
            slow_call.reply(200, b"late")
            while len(scripted_balancer.outcomes()) < 2:
                await scripted_balancer.wait_for(api.AttemptEnded)
            assert scripted_balancer.outcomes() == [(1, Outcome.OK, True), (0, Outcome.OK, True)]

    run(test)


def test_attempts_beyond_the_maximum_are_not_sent() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with ScriptedBalancer().installed() as scripted_balancer:
            proxy_harness = await ProxyHarness().start(
                endpoint_entry("s1", backend.address), limits={"try_limit": 1}
            )

            def react(event: api.Event) -> list[api.Action]:
                if isinstance(event, api.RequestArrived):
                    return [api.Send(event.request, "s1"), api.Send(event.request, "s1")]
                return []

            scripted_balancer.react = react
            client = await proxy_harness.connect()
            client.send_request()
            (await backend.next()).reply(200, b"one")
            assert (await client.read_response()).body == b"one"
            assert scripted_balancer.outcomes() == [(1, Outcome.NOT_SENT, False), (0, Outcome.OK, True)]
            assert backend.calls.empty()

    run(test)


def test_attempt_times_out_and_its_connection_is_closed() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with ScriptedBalancer().installed() as scripted_balancer:
            scripted_balancer.react = send_all_to("s1", timeout_ms=30.0)
            proxy_harness = await ProxyHarness().start(endpoint_entry("s1", backend.address))
            client = await proxy_harness.connect()
            client.send_request()
            call = await backend.next()
            assert float(call.message.headers["x-expires-in"]) <= 0.03
            assert (await client.read_response()).status == 502
            await call.wait_closed()
            assert scripted_balancer.outcomes() == [(0, Outcome.TIMEOUT, False)]

    run(test)


def test_client_is_answered_before_its_deadline_if_the_balancer_does_not_decide() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with (
            ScriptedBalancer().installed() as scripted_balancer,
            mock.patch("cometdoor.host.balancer_host.RESPONSE_MARGIN_MS", 300.0),
        ):
            scripted_balancer.react = lambda event: (
                [api.Send(event.request, "s1")] if isinstance(event, api.RequestArrived) else []
            )
            proxy_harness = await ProxyHarness().start(endpoint_entry("s1", backend.address))
            client = await proxy_harness.connect()
            loop = asyncio.get_running_loop()
            client.send_request(remaining_s="1.2")
            started_at = loop.time()
            assert (await client.read_response()).status == 502
            assert loop.time() - started_at < 1.2
            await scripted_balancer.wait_for(api.ClientDisconnected)
            assert scripted_balancer.outcomes() == [(0, Outcome.TIMEOUT, False)]

    run(test)


def test_exception_in_the_balancer_fails_its_request_and_no_other() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with ScriptedBalancer().installed() as scripted_balancer:
            proxy_harness = await ProxyHarness().start(endpoint_entry("s1", backend.address))

            def react(event: api.Event) -> list[api.Action]:
                if isinstance(event, api.RequestArrived):
                    raise RuntimeError("a fault")
                return []

            scripted_balancer.react = react
            client = await proxy_harness.connect()
            client.send_request()
            assert (await client.read_response()).status == 502
            scripted_balancer.react = send_all_to("s1")
            client.send_request()
            (await backend.next()).reply(200, b"fine")
            assert (await client.read_response()).body == b"fine"

    run(test)


def test_timers_fire_with_their_token_and_not_early() -> None:
    async def test() -> None:
        with ScriptedBalancer().installed() as scripted_balancer:
            proxy_harness = await ProxyHarness().start()
            loop = asyncio.get_running_loop()
            fired_at: list[float] = []

            def react(event: api.Event) -> list[api.Action]:
                if isinstance(event, api.RequestArrived):
                    return [api.SetTimer(77, 7.3)]
                if isinstance(event, api.TimerFired):
                    fired_at.append(loop.time())
                    return [api.Fail("1")]
                return []

            scripted_balancer.react = react
            client = await proxy_harness.connect()
            started_at = loop.time()
            client.send_request()
            assert (await scripted_balancer.wait_for(api.TimerFired)).token == 77
            assert fired_at[0] - started_at > 0.006
            assert (await client.read_response()).status == 502

    run(test)


def test_balancer_gives_a_rejected_client_a_retry_after() -> None:
    async def test() -> None:
        proxy_harness = await ProxyHarness().start()  # no backend is known, so that nothing can be sent
        client = await proxy_harness.connect()
        client.send_request()
        response = await client.read_response()
        assert (response.status, response.headers["retry-after"]) == (503, "0.250")

    run(test)


def test_servers_that_refuse_connections_are_avoided_while_others_serve() -> None:
    """Several servers fail at once and discovery still lists them; attempts on them use up the retries."""

    async def test() -> None:
        stopped_servers, live_server = (
            [await FakeServer().start() for _ in range(2)],
            await FakeServer().start(),
        )
        for server in stopped_servers:
            server.stop()
        # Four retries for all requests together: those after the first refused connections.
        obligations = {
            **INFO["obligations"],  # type: ignore[dict-item]
            "extra_floor": 4.0,
            "extra_per_request": 0.0,
            "ratio_span_ms": 10_000.0,
        }
        proxy_harness = await ProxyHarness().start(
            *(
                endpoint_entry(f"s{index}", server.address)
                for index, server in enumerate([*stopped_servers, live_server])
            ),
            obligations=obligations,
        )
        client = await proxy_harness.connect()
        for _ in range(40):
            client.send_request("pay")
            call, response = (
                asyncio.ensure_future(live_server.next()),
                asyncio.ensure_future(client.read_response()),
            )
            await asyncio.wait({call, response}, return_when=asyncio.FIRST_COMPLETED)
            assert not response.done(), "the request failed although a server was available"
            call.result().reply()
            assert (await response).status == 200

    run(test)


def test_busy_server_is_avoided_while_another_is_idle() -> None:
    """Of 20 requests on 12 two-core servers, some servers must not get five while others get none."""

    async def test() -> None:
        backends = [await FakeServer().start() for _ in range(2)]
        proxy_harness = await ProxyHarness().start(
            *(endpoint_entry(f"s{index}", backend.address) for index, backend in enumerate(backends))
        )
        busy_client, client = await proxy_harness.connect(), await proxy_harness.connect()
        busy_client.send_request("pay")
        receive_tasks = [asyncio.ensure_future(backend.next()) for backend in backends]
        await asyncio.wait(receive_tasks, return_when=asyncio.FIRST_COMPLETED)
        (index,) = [index for index, task in enumerate(receive_tasks) if not task.done()]
        call = receive_tasks[index]
        for _ in range(20):
            client.send_request("pay")
            (await call).reply()
            assert (await client.read_response()).status == 200
            call = asyncio.ensure_future(backends[index].next())

    run(test)


def test_rejected_attempt_is_retried_on_the_next_server_each_time() -> None:
    """Two of four servers reject half of their requests, which must not use up the default retry budget."""

    async def test() -> None:
        backends = [await FakeServer().start() for _ in range(2)]
        proxy_harness = await ProxyHarness().start(
            *(endpoint_entry(f"s{index}", backend.address) for index, backend in enumerate(backends))
        )
        client = await proxy_harness.connect()
        for _ in range(30):
            client.send_request("pay")
            receive_tasks = [asyncio.ensure_future(backend.next()) for backend in backends]
            (first,), (second,) = await asyncio.wait(receive_tasks, return_when=asyncio.FIRST_COMPLETED)
            first.result().reply(503, b"", "X-Never-Ran: 1")
            response = asyncio.ensure_future(client.read_response())
            await asyncio.wait({second, response}, return_when=asyncio.FIRST_COMPLETED)
            assert not response.done(), "the request failed although no attempt was executed"
            second.result().reply()
            assert (await response).status == 200

    run(test)


def test_healthy_server_soon_gets_fewer_requests_when_it_rejects() -> None:
    async def test() -> None:
        skipped_s = 0.0  # seconds added to the real time
        clock = time.monotonic
        with mock.patch("time.monotonic", lambda: clock() + skipped_s):
            backends = [await FakeServer().start() for _ in range(4)]
            proxy_harness = await ProxyHarness().start(
                *(endpoint_entry(f"s{index}", backend.address) for index, backend in enumerate(backends))
            )
            counts = [0, 0, 0, 0]
            is_rejecting = False

            async def serve(index: int) -> None:
                while True:
                    call = await backends[index].next()
                    counts[index] += 1
                    if is_rejecting and index == 0:
                        call.reply(503, b"", "X-Never-Ran: 1")
                    else:
                        call.reply()

            serve_tasks = [asyncio.ensure_future(serve(index)) for index in range(4)]
            client = await proxy_harness.connect()
            for number in range(300):
                if number == 200:
                    is_rejecting, counts[:] = True, [0, 0, 0, 0]
                client.send_request("pay")
                assert (await client.read_response()).status == 200
                skipped_s += 0.1
            assert counts[0] < 12, (
                "the server got as many of its share of 25 requests as with failures counted for 10 s"
            )
            for task in serve_tasks:
                task.cancel()

    run(test)


def test_low_value_requests_may_use_the_whole_limit_while_responses_are_fast() -> None:
    """Reload day: searches were rejected repeatedly as soon as 22 of 28 requests were in flight."""

    async def test() -> None:
        backend = await FakeServer().start()
        lanes = [{**LANES[0], "worth": 0.1}, *({**lane, "worth": 10.0} for lane in LANES[1:])]
        proxy_harness = await ProxyHarness().start(
            *(endpoint_entry(f"s{index}", backend.address) for index in range(10)), lanes=lanes
        )
        clients = [await proxy_harness.connect() for _ in range(9)]
        for client in clients[:8]:  # of ten that may be in flight before the first response
            client.send_request("pay")
            await backend.next()
        clients[8].send_request("read", remaining_s="0.4")
        call, response = (
            asyncio.ensure_future(backend.next()),
            asyncio.ensure_future(clients[8].read_response()),
        )
        await asyncio.wait({call, response}, return_when=asyncio.FIRST_COMPLETED)
        assert not response.done(), "the request was rejected below the limit"
        call.result().reply()
        assert (await response).status == 200

    run(test)
