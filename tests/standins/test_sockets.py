"""Stand-in servers, discovery and clients on sockets, without a proxy between them."""

from __future__ import annotations

import asyncio
import json

import pytest

from standins.discovery import Discovery
from standins.ledger import Fate, Ledger
from standins.load import ClassLoad, End, Load
from standins.model import Behaviour, ServerModel, exponential, fixed
from standins.rules import check
from standins.server import StandIn
from tests.rig import run

CHARGE = ClassLoad("a", "charge", "unsafe", 200.0, "h", "/charge", deadline_s=1.0)


async def serve(**behaviour: object) -> StandIn:
    chosen = Behaviour(latency=exponential(0.001))
    for name, value in behaviour.items():
        setattr(chosen, name, value)
    return await StandIn(ServerModel("s", Ledger(), behaviour=chosen)).start()


def test_an_open_loop_load_has_one_end_for_each_try_and_the_ledger_agrees() -> None:
    async def test() -> None:
        server = await serve(slots=2)
        book = await Load(server.address, [CHARGE], 3).run(0.5)
        assert 60 < len(book.tries) < 140 and all(one.was_served for one in book.tries)
        assert check(book, server.model.ledger) == []
        assert {entry.request for entry in server.model.ledger.entries} == {one.request for one in book.tries}
        assert book.of("a") == book.tries

    run(test)


def test_the_same_seed_makes_the_same_load() -> None:
    async def orders(seed: int) -> int:
        server = await serve()
        return len((await Load(server.address, [CHARGE], seed).run(0.3)).tries)

    async def test() -> None:
        assert await orders(5) == await orders(5)

    run(test)


@pytest.mark.parametrize(
    ("behaviour", "end", "status"),
    [
        ({"error_share": 1.0}, End.ANSWERED, 500),
        ({"reset_after_share": 1.0}, End.LOST, 0),
        ({"reset_before_share": 1.0}, End.LOST, 0),
        ({"turn_away_share": 1.0}, End.ANSWERED, 503),
        ({"connections": 0}, End.LOST, 0),
        ({"latency": fixed(60.0)}, End.GAVE_UP, 0),
    ],
)
def test_each_fault_is_booked_by_the_client(behaviour: dict[str, object], end: End, status: int) -> None:
    async def test() -> None:
        server = await serve(**behaviour)
        load = Load(server.address, [ClassLoad("a", "charge", "unsafe", 0.0, "h", deadline_s=0.2, retries=1)])
        load.order(load.classes[0])
        book = await load.run(0.0)
        assert {(one.end, one.status) for one in book.tries} == {(end, status)}
        assert len(book.tries) == (2 if status == 503 else 1)
        assert len({one.order for one in book.tries}) == 1

    run(test)


def test_a_server_that_is_stopped_takes_no_connection_and_is_back_at_its_address() -> None:
    async def test() -> None:
        server = await serve()
        address = server.address
        server.stop()
        load = Load(address, [CHARGE])
        load.order(load.classes[0])
        assert [one.end for one in (await load.run(0.0)).tries] == [End.NOT_TAKEN]
        await server.restart()
        assert server.address == address
        again = Load(address, [CHARGE])
        again.order(again.classes[0])
        assert [one.status for one in (await again.run(0.0)).tries] == [200]

    run(test)


def test_a_frozen_server_keeps_its_connections_and_answers_when_it_thaws() -> None:
    async def test() -> None:
        server = await serve()
        server.freeze()
        load = Load(server.address, [CHARGE])
        load.order(load.classes[0])
        running = asyncio.ensure_future(load.run(0.0))
        while not server.model.ledger.entries:
            await asyncio.sleep(0)
        assert server.model.ledger.entries[0].fate is Fate.WAITING and not running.done()
        server.thaw()
        assert [one.status for one in (await running).tries] == [200]

    run(test)


def test_a_kept_connection_that_is_just_closed_costs_one_more_sending() -> None:
    async def test() -> None:
        server = await serve()
        load = Load(server.address, [CHARGE])
        load.order(load.classes[0])
        while load.book.tries[-1].end is End.OPEN:
            await asyncio.sleep(0)
        server.model.behaviour.reset_before_share = 1.0
        load.order(load.classes[0])
        book = await load.run(0.0)
        assert book.tries[1].end is End.LOST and book.tries[1].sent_again_at is not None
        assert {breach.rule for breach in check(book, server.model.ledger)} == {1}

    run(test)


def test_discovery_lists_and_tells_watches_of_changes_after_its_lag() -> None:
    async def test() -> None:
        discovery = await Discovery(lag_s=0.01).start()
        discovery.set("s1", "h:1")
        reader, writer = await asyncio.open_connection(*discovery.address)
        writer.write(b"GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\nHost: d\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")

        async def line() -> dict[str, object]:
            size = int(await reader.readline(), 16)
            content: dict[str, object] = json.loads(await reader.readexactly(size))
            await reader.readline()
            return content

        first = await line()
        assert first["complete"] and first["members"][0]["id"] == "s1"  # type: ignore[index]
        discovery.set("s1", "h:1", "terminated")
        while (change := await line())["members"][0]["phase"] != "terminated":  # type: ignore[index]
            pass
        assert change["complete"] is False and ("s1", "terminated") in discovery.told_at
        reader_2, writer_2 = await asyncio.open_connection(*discovery.address)
        writer_2.write(b"GET /discovery/hosts HTTP/1.1\r\nHost: d\r\n\r\n")
        assert (await reader_2.read()).endswith(b'"members": []}')
        discovery.stop()
        assert await reader.read() == b""

    run(test)
