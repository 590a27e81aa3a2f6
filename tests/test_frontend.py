"""Callers on loopback sockets: what they may send, what they are answered."""

from __future__ import annotations

import asyncio
import os
from unittest import mock

import pytest

from jasperhall import api
from tests.rig import Caller, FakeServer, Rig, Script, first_to, member, run


def head(*lines: str) -> bytes:
    return "\r\n".join([*lines, "", ""]).encode()


GOOD = ("X-Trace-Id: 1", "X-Qos: read", "X-Expires-In: 1.0")
BAD_INPUT = {
    "no HTTP": (b"\x16\x03\x01 nonsense\r\n\r\n", 400),
    "an unknown class": (head("GET /fly/1 HTTP/1.1", "X-Trace-Id: 1", "X-Qos: fly", "X-Expires-In: 1"), 404),
    "no class": (head("GET / HTTP/1.1", "X-Trace-Id: 1", "X-Expires-In: 1"), 404),
    "two classes": (head("GET /pay/1 HTTP/1.1", *GOOD), 400),
    "no id": (head("GET /read/1 HTTP/1.1", "X-Qos: read", "X-Expires-In: 1"), 400),
    "no deadline": (head("GET /read/1 HTTP/1.1", "X-Trace-Id: 1", "X-Qos: read"), 400),
    "a deadline in words": (head("GET /read/1 HTTP/1.1", *GOOD[:2], "X-Expires-In: soon"), 400),
    "a deadline that is no number": (head("GET /read/1 HTTP/1.1", *GOOD[:2], "X-Expires-In: nan"), 400),
    "a deadline without end": (head("GET /read/1 HTTP/1.1", *GOOD[:2], "X-Expires-In: inf"), 400),
    "a deadline gone by": (head("GET /read/1 HTTP/1.1", *GOOD[:2], "X-Expires-In: -1"), 400),
    "the wrong method": (head("POST /read/1 HTTP/1.1", *GOOD, "Content-Length: 0"), 405),
    "no key": (head("POST /book/1 HTTP/1.1", "X-Trace-Id: 1", "X-Qos: book", "X-Expires-In: 1",
                    "Content-Length: 0"), 400),
    "a large body": (head("POST /pay/1 HTTP/1.1", "X-Trace-Id: 1", "X-Qos: pay", "X-Expires-In: 1",
                          "Content-Length: 65537") + b"x" * 65537, 413),
    "a large head": (head("GET /read/1 HTTP/1.1", *GOOD, "X-More: " + "x" * 66000), 431),
    "an upgrade": (head("CONNECT app.svc:1 HTTP/1.1", *GOOD), 400),
}


@pytest.mark.parametrize("name", BAD_INPUT)
def test_bad_input_is_answered_4xx_and_the_proxy_serves_on(name: str) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with Script().in_place() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", backend.address))
            caller = await rig.caller()
            data, status = BAD_INPUT[name]
            caller.writer.write(data)
            assert (await caller.answer()).status == status
            other = await rig.caller()
            other.ask()
            (await backend.next()).reply(200, b"fine")
            assert (await other.answer()).body == b"fine"
            arrivals = [event for event in script.events if isinstance(event, api.RequestArrived)]
            assert len(arrivals) == 1

    run(test)


def test_a_request_that_comes_in_pieces_is_one_request() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with Script().in_place() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", backend.address))
            caller = await rig.caller()
            data = head("POST /pay/1?q=1 HTTP/1.1", "X-Trace-Id: abc", "X-Qos: pay", "X-Expires-In: 5",
                        "X-Size-Hint: 1500", "Transfer-Encoding: chunked")
            data += b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            for place in range(0, len(data), 7):
                caller.writer.write(data[place:place + 7])
                await caller.writer.drain()
            call = await backend.next()
            assert call.message.start == b"POST /pay/1?q=1 HTTP/1.1"
            assert (call.message.body, call.message.headers["x-trace-id"]) == (b"abcde", "abc")
            arrival = await script.until(api.RequestArrived)
            assert (arrival.class_index, arrival.cost_ms) == (2, 1.5)
            call.reply(200, b"ok")
            assert (await caller.answer()).body == b"ok"

    run(test)


def test_requests_sent_ahead_are_answered_in_turn() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with Script().in_place() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", backend.address))
            caller = await rig.caller()
            for number in range(12):
                caller.ask(trace=f"t{number}")
            for number in range(12):
                call = await backend.next()
                assert call.message.headers["x-trace-id"] == f"t{number}"
                call.reply(200, b"%d" % number)
                assert (await caller.answer()).body == b"%d" % number

    run(test)


def test_a_caller_that_leaves_is_told_to_the_module() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address))
        caller = await rig.caller()
        caller.ask()
        call = await backend.next()
        caller.writer.close()
        await call.closed()  # the module calls the attempt off
        assert not rig.proxy.owes_answers()

    run(test)


def test_up_says_200_only_once_backends_are_known() -> None:
    async def test() -> None:
        discovery = await FakeServer().start()
        backend = await FakeServer().start()
        rig = await Rig().start(discovery=discovery.address)
        caller = await rig.caller()
        caller.writer.write(head("GET /up HTTP/1.1", "Host: x"))
        assert (await caller.answer()).status == 503
        call = await discovery.next()
        call.open_stream()
        call.send_list(1, True, member("s1", backend.address))
        while not rig.proxy.ready:
            await asyncio.sleep(0)
        caller.writer.write(head("GET /up HTTP/1.1", "Host: x"))
        assert (await caller.answer()).status == 200

    run(test)


def test_connection_close_is_honoured_after_the_whole_answer() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address))
        caller = await rig.caller()
        caller.ask("read", b"", "Connection: close")
        (await backend.next()).reply(200, b"x" * 65536)
        answer = await caller.answer()
        assert (len(answer.body), answer.headers["connection"]) == (65536, "close")
        assert await caller.ended()

    run(test)


def test_closing_idle_connections_spares_a_request_that_has_just_come() -> None:
    """A request that lies unread in the machine's buffer counts as taken: closing over it loses it."""
    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address))
        idle, busy = await rig.caller(), await rig.caller()
        for caller in (idle, busy):
            caller.writer.write(head("GET /up HTTP/1.1", "Host: x"))
            await caller.answer()
        raw = busy.writer.transport.get_extra_info("socket")
        os.write(raw.fileno(), head("GET /read/1 HTTP/1.1", *GOOD[:2], "X-Expires-In: 9"))
        rig.front.closing = True
        rig.front.close_idle()  # the loop had no chance to read in between
        (await backend.next()).reply(200, b"kept")
        answer = await busy.answer()
        assert (answer.body, answer.headers["connection"]) == (b"kept", "close")
        assert await idle.ended()

    run(test)


@pytest.mark.parametrize("allowed", [True, False])
def test_a_refusal_says_when_to_come_back_where_that_is_allowed(allowed: bool) -> None:
    async def test() -> None:
        with Script().in_place() as script:
            rig = await Rig().start(limits={"retry_after": allowed})
            script.react = lambda event: (
                [api.Refuse(event.request, 250.0)] if isinstance(event, api.RequestArrived) else [])
            caller: Caller = await rig.caller()
            caller.ask()
            answer = await caller.answer()
            assert answer.status == 503
            assert answer.headers.get("retry-after") == ("0.250" if allowed else None)

    run(test)


def test_a_caller_that_stops_in_the_middle_of_a_request_does_not_keep_its_connection() -> None:
    async def test() -> None:
        rig = await Rig().start()
        caller = await rig.caller()
        with mock.patch("cometdoor.frontend.READ_S", 0.05):
            caller.writer.write(b"GET /read/1 HTTP/1.1\r\nX-Trace")
            assert (await caller.answer()).status == 408
            assert await caller.ended()

    run(test)
