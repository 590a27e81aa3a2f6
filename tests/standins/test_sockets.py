"""Stand-in servers, discovery and clients on sockets, without a proxy between them."""

from __future__ import annotations

import asyncio
import json

import pytest

from standins.discovery_server import DiscoveryServer
from standins.http_server import StandInServer
from standins.load_generator import ClassLoad, ClientOutcome, LoadGenerator
from standins.request_log import ExecutionState, RequestLog
from standins.rules import check_rules
from standins.server_model import Behaviour, ServerModel, exponential, fixed
from tests.proxy_harness import run

CHARGE = ClassLoad("a", "charge", "unsafe", 200.0, "h", "/charge", deadline_s=1.0)


async def serve(**behaviour: object) -> StandInServer:
    server_behaviour = Behaviour(latency=exponential(0.001))
    for name, value in behaviour.items():
        setattr(server_behaviour, name, value)
    return await StandInServer(ServerModel("s", RequestLog(), behaviour=server_behaviour)).start()


def test_an_open_loop_load_ends_each_attempt_once_and_the_request_log_agrees() -> None:
    async def test() -> None:
        server = await serve(slots=2)
        client_log = await LoadGenerator(server.address, [CHARGE], 3).run(0.5)
        assert 60 < len(client_log.attempts) < 140 and all(
            attempt.was_served for attempt in client_log.attempts
        )
        assert check_rules(client_log, server.model.request_log) == []
        assert {entry.request for entry in server.model.request_log.entries} == {
            attempt.request for attempt in client_log.attempts
        }
        assert client_log.for_service("a") == client_log.attempts

    run(test)


def test_the_same_seed_makes_the_same_load() -> None:
    async def attempt_count(seed: int) -> int:
        server = await serve()
        return len((await LoadGenerator(server.address, [CHARGE], seed).run(0.3)).attempts)

    async def test() -> None:
        assert await attempt_count(5) == await attempt_count(5)

    run(test)


@pytest.mark.parametrize(
    ("behaviour", "outcome", "status"),
    [
        ({"error_share": 1.0}, ClientOutcome.ANSWERED, 500),
        ({"reset_after_share": 1.0}, ClientOutcome.CONNECTION_LOST, 0),
        ({"reset_before_share": 1.0}, ClientOutcome.CONNECTION_LOST, 0),
        ({"rejected_share": 1.0}, ClientOutcome.ANSWERED, 503),
        ({"connections": 0}, ClientOutcome.CONNECTION_LOST, 0),
        ({"latency": fixed(60.0)}, ClientOutcome.TIMED_OUT, 0),
    ],
)
def test_each_fault_is_logged_by_the_client(
    behaviour: dict[str, object], outcome: ClientOutcome, status: int
) -> None:
    async def test() -> None:
        server = await serve(**behaviour)
        load = LoadGenerator(
            server.address, [ClassLoad("a", "charge", "unsafe", 0.0, "h", deadline_s=0.2, retries=1)]
        )
        load.start_operation(load.classes[0])
        client_log = await load.run(0.0)
        assert {(attempt.outcome, attempt.status) for attempt in client_log.attempts} == {(outcome, status)}
        assert len(client_log.attempts) == (2 if status == 503 else 1)
        assert len({attempt.operation for attempt in client_log.attempts}) == 1

    run(test)


def test_a_stopped_server_refuses_connections_and_restarts_at_its_address() -> None:
    async def test() -> None:
        server = await serve()
        address = server.address
        server.stop()
        load = LoadGenerator(address, [CHARGE])
        load.start_operation(load.classes[0])
        assert [attempt.outcome for attempt in (await load.run(0.0)).attempts] == [
            ClientOutcome.CONNECT_FAILED
        ]
        await server.restart()
        assert server.address == address
        second_load = LoadGenerator(address, [CHARGE])
        second_load.start_operation(second_load.classes[0])
        assert [attempt.status for attempt in (await second_load.run(0.0)).attempts] == [200]

    run(test)


def test_a_frozen_server_retains_its_connections_and_responds_when_it_thaws() -> None:
    async def test() -> None:
        server = await serve()
        server.freeze()
        load = LoadGenerator(server.address, [CHARGE])
        load.start_operation(load.classes[0])
        running = asyncio.ensure_future(load.run(0.0))
        while not server.model.request_log.entries:
            await asyncio.sleep(0)
        assert (
            server.model.request_log.entries[0].execution_state is ExecutionState.QUEUED
            and not running.done()
        )
        server.thaw()
        assert [attempt.status for attempt in (await running).attempts] == [200]

    run(test)


def test_a_reused_connection_that_was_just_closed_costs_one_resend() -> None:
    async def test() -> None:
        server = await serve()
        load = LoadGenerator(server.address, [CHARGE])
        load.start_operation(load.classes[0])
        while load.client_log.attempts[-1].outcome is ClientOutcome.PENDING:
            await asyncio.sleep(0)
        server.model.behaviour.reset_before_share = 1.0
        load.start_operation(load.classes[0])
        client_log = await load.run(0.0)
        assert (
            client_log.attempts[1].outcome is ClientOutcome.CONNECTION_LOST
            and client_log.attempts[1].resent_at is not None
        )
        assert {violation.rule for violation in check_rules(client_log, server.model.request_log)} == {1}

    run(test)


def test_discovery_lists_and_notifies_watches_of_changes_after_its_lag() -> None:
    async def test() -> None:
        discovery = await DiscoveryServer(notification_delay_s=0.01).start()
        discovery.publish("s1", "h:1")
        reader, writer = await asyncio.open_connection(*discovery.address)
        writer.write(b"GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\nHost: d\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")

        async def read_update() -> dict[str, object]:
            size = int(await reader.readline(), 16)
            content: dict[str, object] = json.loads(await reader.readexactly(size))
            await reader.readline()
            return content

        first = await read_update()
        assert first["complete"] and first["members"][0]["id"] == "s1"  # type: ignore[index]
        discovery.publish("s1", "h:1", "terminated")
        while (change := await read_update())["members"][0]["phase"] != "terminated":  # type: ignore[index]
            pass
        assert change["complete"] is False and ("s1", "terminated") in discovery.notified_at
        reader_2, writer_2 = await asyncio.open_connection(*discovery.address)
        writer_2.write(b"GET /discovery/hosts HTTP/1.1\r\nHost: d\r\n\r\n")
        assert (await reader_2.read()).endswith(b'"members": []}')
        discovery.stop()
        assert await reader.read() == b""

    run(test)
