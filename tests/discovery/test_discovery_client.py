"""The discovery client: endpoint lists that the decision module requests, and lists that are pushed."""

from __future__ import annotations

import time
from typing import Any

import pytest

from cometdoor.balancing import api
from cometdoor.balancing.api import EndpointListKind, EndpointState
from cometdoor.discovery.discovery_client import EndpointListReader
from cometdoor.host.address import parse_address
from tests.proxy_harness import FakeServer, ProxyHarness, ScriptedBalancer, endpoint_entry, run


def watch_on_cached_list(event: api.Event) -> list[api.Action]:
    return (
        [api.WatchEndpoints()]
        if isinstance(event, api.EndpointsChanged) and event.kind is EndpointListKind.CACHED
        else []
    )


async def start_proxy(
    scripted_balancer: ScriptedBalancer,
    discovery: FakeServer,
    *members: dict[str, Any],
    is_polled: bool = True,
) -> ProxyHarness:
    scripted_balancer.react = watch_on_cached_list
    proxy_harness = await ProxyHarness().start(*members, discovery=discovery.address, is_polled=is_polled)
    assert (await scripted_balancer.wait_for(api.EndpointsChanged)).kind is EndpointListKind.CACHED
    return proxy_harness


def test_a_watch_continues_from_the_cached_list_and_delivers_each_change() -> None:
    async def test() -> None:
        discovery = await FakeServer().start()
        with ScriptedBalancer().installed() as scripted_balancer:
            await start_proxy(scripted_balancer, discovery, endpoint_entry("s1", "127.0.0.1:9"))
            call = await discovery.next()
            assert call.message.start_line == b"GET /discovery/hosts?stream=1&index=41 HTTP/1.1"
            call.open_stream()
            call.write_chunk(b"\n")
            call.send_endpoints(43, False, endpoint_entry("s1", "127.0.0.1:9", phase="terminating"))
            change = await scripted_balancer.wait_for(api.EndpointsChanged)
            assert (change.kind, change.endpoints[0].state) == (
                EndpointListKind.DELTA,
                EndpointState.DRAINING,
            )
            call.write_chunk(b'{"revision":44,"complete":true,"mem')  # a line in two chunks
            call.write_chunk(b'bers":[]}\n')
            change = await scripted_balancer.wait_for(api.EndpointsChanged)
            assert (change.kind, change.endpoints) == (EndpointListKind.FULL, ())

    run(test)


@pytest.mark.parametrize("ending", ["503", "reset", "broken later", "nonsense"])
def test_where_the_module_watches_a_failed_watch_is_notified_once_and_repeated(ending: str) -> None:
    async def test() -> None:
        discovery = await FakeServer().start()
        with ScriptedBalancer().installed() as scripted_balancer:
            await start_proxy(scripted_balancer, discovery, endpoint_entry("s1", "127.0.0.1:9"))
            call = await discovery.next()
            scripted_balancer.react = lambda event: (
                [api.WatchEndpoints()]
                if isinstance(event, api.TimerFired)
                else (
                    [api.SetTimer(5, 1.0)]
                    if isinstance(event, api.EndpointsChanged) and event.kind is EndpointListKind.FAILED
                    else []
                )
            )
            if ending == "503":
                call.reply(503)
            elif ending == "reset":
                call.reset()
            else:
                call.open_stream()
                if ending == "nonsense":
                    call.write_chunk(b"nonsense\n")
                else:
                    call.send_endpoints(47, False)
                    assert (
                        await scripted_balancer.wait_for(api.EndpointsChanged)
                    ).kind is EndpointListKind.DELTA
                    call.writer.close()
            assert (await scripted_balancer.wait_for(api.EndpointsChanged)).kind is EndpointListKind.FAILED
            renewed_watch = await discovery.next()
            index = b"47" if ending == "broken later" else b"41"
            assert (
                renewed_watch.message.start_line == b"GET /discovery/hosts?stream=1&index=%s HTTP/1.1" % index
            )
            renewed_watch.open_stream()
            renewed_watch.send_endpoints(48, False)
            assert (await scripted_balancer.wait_for(api.EndpointsChanged)).kind is EndpointListKind.DELTA

    run(test)


def test_a_move_of_discovery_starts_a_watch_at_once_and_is_no_failure() -> None:
    async def test() -> None:
        old, new = await FakeServer().start(), await FakeServer().start()
        with ScriptedBalancer().installed() as scripted_balancer:
            proxy_harness = await start_proxy(scripted_balancer, old, endpoint_entry("s1", "127.0.0.1:9"))
            before = await old.next()
            before.open_stream()
            before.send_endpoints(47, False, endpoint_entry("s1", "127.0.0.1:9", phase="terminating"))
            await scripted_balancer.wait_for(api.EndpointsChanged)
            # The current address: this starts no new watch.
            proxy_harness.node.discovery.set_address(parse_address(old.address))
            proxy_harness.node.discovery.set_address(parse_address(new.address))
            after = await new.next()
            assert after.message.start_line == b"GET /discovery/hosts?stream=1&index=0 HTTP/1.1"
            await before.wait_closed()
            after.open_stream()
            after.send_endpoints(3, False, endpoint_entry("s2", "127.0.0.1:9"))
            change = await scripted_balancer.wait_for(api.EndpointsChanged)
            assert [server.name for server in change.endpoints] == ["s2"]
            assert old.calls.empty()

    run(test)


def test_where_lists_are_pushed_the_client_keeps_up_the_watch_by_itself() -> None:
    async def test() -> None:
        discovery = await FakeServer().start()
        with ScriptedBalancer().installed() as scripted_balancer:
            await start_proxy(
                scripted_balancer, discovery, endpoint_entry("s1", "127.0.0.1:9"), is_polled=False
            )
            scripted_balancer.react = lambda event: []
            (await discovery.next()).reset()
            (await discovery.next()).reply(503)
            call = await discovery.next()
            call.open_stream()
            call.send_endpoints(42, True)
            assert (await scripted_balancer.wait_for(api.EndpointsChanged)).kind is EndpointListKind.FULL
            kinds = [
                event.kind for event in scripted_balancer.events if isinstance(event, api.EndpointsChanged)
            ]
            assert kinds == [EndpointListKind.CACHED, EndpointListKind.FULL]

    run(test)


@pytest.mark.parametrize(
    "unreadable",
    [{"phase": "asleep"}, {"host_port": "nowhere"}, {"size": "large"}, {"cell": [1], "phase": None}],
)
@pytest.mark.parametrize("complete", [True, False])
def test_an_unreadable_entry_keeps_its_last_value_and_the_others_are_delivered(
    unreadable: dict[str, Any], complete: bool
) -> None:
    reader = EndpointListReader((), ())
    reader.read(
        {
            "complete": True,
            "members": [endpoint_entry("s1", "127.0.0.1:1"), endpoint_entry("s2", "127.0.0.1:2")],
        }
    )
    servers, addresses = reader.read(
        {
            "complete": complete,
            "members": [
                endpoint_entry("s1", "127.0.0.1:1", **unreadable),
                endpoint_entry("new", "127.0.0.1:3", **unreadable),
                "what",
                {"id": []},
                endpoint_entry("s2", "127.0.0.1:2", phase="terminating"),
            ],
        }
    )
    assert [(server.name, server.state) for server in servers] == [
        ("s1", EndpointState.READY),
        ("s2", EndpointState.DRAINING),
    ]
    assert addresses == {"s1": ("127.0.0.1", 1), "s2": ("127.0.0.1", 2)}
    reader.read({"members": [endpoint_entry("s1", "", phase="terminated")]})
    assert list(reader._last_read) == ["s2"]


def test_connections_to_a_removed_backend_are_not_reused() -> None:
    async def test() -> None:
        discovery, backend = await FakeServer().start(), await FakeServer().start()
        for change in ("terminating", "terminated", "left out", "restarted"):
            with ScriptedBalancer().installed() as scripted_balancer:
                proxy_harness = await start_proxy(
                    scripted_balancer, discovery, endpoint_entry("s1", backend.address)
                )
                call = await discovery.next()
                call.open_stream()
                scripted_balancer.react = lambda event: (
                    [api.Send(event.request, "s1")] if isinstance(event, api.RequestArrived) else []
                )
                client, other = await proxy_harness.connect(), await proxy_harness.connect()
                client.send_request()
                served = await backend.next()
                other.send_request()
                in_use = await backend.next()
                served.reply(200)
                await client.read_response()
                if change == "left out":
                    call.send_endpoints(42, True)
                elif change == "restarted":
                    call.send_endpoints(
                        42, False, endpoint_entry("s1", backend.address, up_since_ms=1764374400000)
                    )
                else:
                    call.send_endpoints(42, False, endpoint_entry("s1", backend.address, phase=change))
                await served.wait_closed()
                in_use.reply(200, b"to the end")  # then closed: the name may belong to another backend by now
                assert (await other.read_response()).body == b"to the end"
                await in_use.wait_closed()

    run(test)


def test_the_same_entry_is_always_read_to_the_same_endpoint() -> None:
    reader = EndpointListReader(("b", "a"), ("big",))
    since = (time.time() - 7.0) * 1000.0
    message = {
        "members": [
            endpoint_entry("s1", "127.0.0.1:1", up_since_ms=since, size=1.5, locality="a", flavor="big"),
            endpoint_entry("s2", "127.0.0.1:2", locality="far", flavor="new", cell="pod-7"),
        ]
    }
    (s1, s2), addresses = reader.read(message)
    assert (s1.zone, s1.kind, s1.cell, s1.weight, s1.state) == (1, 0, 3, 1.5, EndpointState.READY)
    assert (s2.zone, s2.kind, s2.started_at) == (2, 1, 0.0)
    assert abs(time.monotonic() * 1000.0 - s1.started_at - 7000.0) < 1000.0
    assert addresses["s2"] == ("127.0.0.1", 2)
    endpoints_read_again = reader.read(message)[0]
    assert [s1, s2] == endpoints_read_again  # a changed start time would look like a restart
