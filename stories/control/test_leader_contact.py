"""Partitioned, paused and restarted replicas in simulated meshes: what they answer, and how they rejoin."""

import ast
import asyncio
import json
import logging
import random
from pathlib import Path

import structlog
from ward import each, test

from cometdoor.cli.mesh_commands import describe_freshness
from cometdoor.control.leader_contact import LeaderContact
from cometdoor.dataplane.process import DataPlane
from cometdoor.wire.budget import LeaseRequest
from cometdoor.wire.call_control import CallRejected
from cometdoor.wire.keys import ClaimRequest
from cometdoor.wire.log_entries import Claim
from simulation.crc_collisions import PADDING_LETTERS, make_crc32_collision
from simulation.isolated_replica import PARTITION_KINDS, find_contradictions, make_body, run_partition
from simulation.mesh import SimulatedMesh, simulated_mesh
from simulation.operators import Call, FleetOperator, Order
from standins.http_client import http_request
from standins.mesh import configuration, route
from standins.mesh_backend import CONTROL_PORT

structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


def make_operator(mesh: SimulatedMesh, *addresses: str) -> FleetOperator:
    return FleetOperator(lambda: list(addresses or mesh.core), random.Random(1))


def followers(mesh: SimulatedMesh) -> list[str]:
    return [address for address in mesh.core if address != mesh.leader()]


@test("a replica that is partitioned ({how}) for twenty seconds accepts, rejects and reports nothing")
def _(
    how: str = each(*PARTITION_KINDS, *PARTITION_KINDS),
    is_leader: bool = each(*[True] * len(PARTITION_KINDS), *[False] * len(PARTITION_KINDS)),
) -> None:
    report = run_partition(1, how, is_leader)
    assert not report.violations and report.answer_count > 150, report
    assert report.convergence_s < 0.6, report
    if how in ("both", "deaf"):  # the replica receives nothing, so it answers at once
        assert report.slowest_s < 0.05, report


@test("a leader that was paused answers nothing from its old state when it resumes")
def _(seed: int = each(1, 2, 3)) -> None:
    with simulated_mesh(seed=seed, planes=1) as mesh:
        mesh.run(mesh.start_configured())
        old_leader = mesh.leader()
        others = make_operator(mesh, *followers(mesh))
        caller = make_operator(mesh, old_leader)
        # Given a paused leader, and requests that it receives when it resumes
        plane = mesh.data_plane(mesh.planes[0])
        internal_address = mesh.control_plane(old_leader).node_settings.internal_address("controlplane")
        replies: list[object] = []
        mesh.freeze(old_leader)
        mesh.wait(5.0)
        assert mesh.run(others.replace(Order(1, 2, make_body(2, "new")))).status == 200

        async def send_to_frozen_leader() -> list[int]:
            requests = [asyncio.create_task(caller.request_once(old_leader, None)) for _ in range(3)]
            requests += [
                asyncio.create_task(caller.request_once(old_leader, Order(1, 2, make_body(2, "other"))))
            ]
            # On a separate channel: gossip's connection is closed at some point, because the leader is silent
            for message in (ClaimRequest([Claim("key", "claim", "holder")]), LeaseRequest("life", -1.0, [])):
                plane.connections.call(internal_address, message, replies.append, channel="asks")
            await asyncio.sleep(0.5)
            mesh.thaw(old_leader)
            return [call.status for call in await asyncio.gather(*requests)]

        assert set(mesh.run(send_to_frozen_leader())) <= {0, 307, 503}
        assert not find_contradictions([*others.calls, *caller.calls])
        # Nor does it accept a claim, or lease shares of the retry budget
        assert [type(reply) for reply in replies] == [CallRejected, CallRejected], replies


@test("a follower that was paused names no leader by heartbeats that were queued meanwhile")
def _() -> None:
    with simulated_mesh(seed=8, planes=1) as mesh:
        mesh.run(mesh.start_configured())
        leader, (follower, _) = mesh.leader(), followers(mesh)
        caller = make_operator(mesh)
        mesh.freeze(follower)
        mesh.wait(5.0)
        mesh.kill(leader, silent=True)
        mesh.loop.unpowered.add(leader)
        mesh.wait(0.5)

        async def send_requests() -> list[Call]:
            requests = [asyncio.create_task(caller.request_once(follower, None))]
            await asyncio.sleep(0.1)
            mesh.thaw(follower)
            for _ in range(12):
                requests.append(asyncio.create_task(caller.request_once(follower, None)))
                await asyncio.sleep(0.03)
            return await asyncio.gather(*requests)

        exchanges = [call.exchanges[0] for call in mesh.run(send_requests())]
        assert leader not in {exchange.location for exchange in exchanges}, str(exchanges)


@test("callers are redirected to a leader only while it is in contact")
def _() -> None:
    with simulated_mesh(seed=4, planes=1) as mesh:
        mesh.run(mesh.start_configured())
        leader, (follower, _) = mesh.leader(), followers(mesh)
        one = make_operator(mesh)
        before = mesh.run(one.request_once(follower, None)).exchanges[0]
        assert (before.status, before.location) == (307, leader)
        # When the leader's machine loses power
        mesh.kill(leader, silent=True)
        mesh.loop.unpowered.add(leader)
        mesh.wait(0.3)
        assert mesh.control_plane(follower).replica_server.contact_status().contact is LeaderContact.ELECTING
        # Then a client waits for the next leader
        after = mesh.run(one.request_once(follower, None)).exchanges[0]
        assert after.status == 200 or (after.status == 307 and after.location != leader), after


@test("after a leader is killed the next acknowledgement comes as soon as another is elected")
def _(seed: int = each(*range(8))) -> None:
    with simulated_mesh(seed=seed, planes=1) as mesh:
        mesh.run(mesh.start_configured())
        mesh.wait(1.0 + seed / 8)
        caller = make_operator(mesh)
        killed_at = mesh.loop.time()
        mesh.kill(mesh.leader())
        call = mesh.run(caller.replace(Order(1, 2, make_body(2, "new"))))
        assert call.status == 200 and call.ended_at - killed_at < 1.6, call.exchanges
        assert not [
            exchange
            for exchange in call.exchanges
            if exchange.status == 307 and exchange.ended_at - killed_at < 0.3
        ]


@test("replicas that restart beside a partitioned one do not found a second group")
def _(is_leader: bool = each(True, False)) -> None:
    with simulated_mesh(seed=5, core=3, planes=1) as mesh:
        mesh.run(mesh.start_configured())
        isolated = mesh.leader() if is_leader else followers(mesh)[0]
        wiped = next(address for address in followers(mesh) if address != isolated)
        third = next(address for address in mesh.core if address not in (isolated, wiped))
        # Given an isolated replica, and another that lost its disk and reaches only that one
        mesh.partition([isolated], [wiped, third])
        mesh.kill(wiped, silent=True)
        (mesh.folder / wiped).rename(mesh.folder / "lost")
        mesh.partition([wiped], [third])
        mesh.loop.partitions -= {(isolated, wiped), (wiped, isolated)}
        mesh.restart(wiped)
        mesh.wait(10.0)
        # Then neither leads or accepts a change, alone or together
        for address in mesh.core:
            assert not mesh.control_plane(address).replica_server.replica.is_leading
        isolated_pair = make_operator(mesh, isolated, wiped)
        assert mesh.run(isolated_pair.replace(Order(1, 2, make_body(2, "new")), 3.0)).status == 0
        # And once all are connected there is one group, with every acknowledged change
        mesh.heal()
        mesh.wait(6.0)
        assert mesh.run(make_operator(mesh).replace(Order(1, 2, make_body(2, "new")))).status == 200
        replicas = [mesh.control_plane(address).replica_server.replica for address in mesh.core]
        assert {replica.log.entry(1) for replica in replicas} == {replicas[0].log.entry(1)}


@test(
    "a proxy that starts beside a partitioned replica applies the newest configuration once it learns of it"
)
def _() -> None:
    with simulated_mesh(seed=6, planes=2) as mesh:
        mesh.run(mesh.start_configured())
        isolated = followers(mesh)[0]
        others = [address for address in mesh.core if address != isolated]
        mesh.partition([isolated], [*others, *mesh.planes])
        assert mesh.run(make_operator(mesh, *others).replace(Order(1, 2, make_body(2, "new")))).status == 200
        mesh.wait(1.0)
        # Given a proxy that reaches only the isolated replica
        starting = mesh.planes[0]
        mesh.kill(starting)
        mesh.loop.partitions -= {(isolated, starting), (starting, isolated)}
        mesh.partition([starting], [*others, mesh.planes[1]])
        mesh.restart(starting)
        plane = mesh.data_plane(starting)
        plane.directory.seeds = [mesh.control_plane(isolated).node_settings.internal_address("controlplane")]
        mesh.wait(2.0)
        # Then it serves with the newest configuration that it has received
        assert isinstance(plane, DataPlane) and plane.directory.revision == 1 and plane.is_serving()
        # When it reaches one more proxy, whether the replica is back or not
        mesh.loop.partitions -= {(starting, mesh.planes[1]), (mesh.planes[1], starting)}
        mesh.wait(1.5)
        assert plane.directory.revision == 2
        # Then it never returns to an older configuration, whichever proxies it reaches later
        mesh.partition([starting], [*others, mesh.planes[1]])
        mesh.wait(2.0)
        assert plane.directory.revision == 2


@test("a replica reports how far its description of itself is confirmed")
def _() -> None:
    with simulated_mesh(seed=7, planes=1) as mesh:
        mesh.run(mesh.start_configured())
        leader, (follower, _) = mesh.leader(), followers(mesh)

        async def fetch(address: str, path: str) -> dict[str, object]:
            response: dict[str, object] = json.loads(
                (await http_request(address, CONTROL_PORT, "GET", path, {}))[2]
            )
            return response

        for path in ("/Core.Describe", "/Core.Log/0"):
            assert mesh.run(fetch(leader, path))["contact"] == {
                "confirmed": True,
                "standing": "leads",
                "as-of-s": 0.0,
            }
            response = mesh.run(fetch(follower, path))
            contact = response["contact"]
            assert isinstance(contact, dict) and response["leader"] and not contact["confirmed"]
            assert contact["standing"] == "follows" and contact["as-of-s"] < 0.3
        members = mesh.run(fetch(leader, "/Core.Describe"))["members"]
        assert isinstance(members, list)
        assert sum(one["heard-s"] is not None and one["heard-s"] < 0.4 for one in members) == 2
        # When both have been isolated from all others
        mesh.partition(mesh.core, mesh.core)
        mesh.wait(5.0)
        for address in (leader, follower):
            contact = mesh.run(fetch(address, "/Core.Describe"))["contact"]
            assert isinstance(contact, dict) and not contact["confirmed"]
            assert contact["standing"] == "cut off"
            assert 4.5 < contact["as-of-s"] < 5.5


@test("the commands report in their first line how far their output is confirmed")
def _() -> None:
    response = {"id": "m1", "term": 3}
    assert "by a majority in term 3" in describe_freshness(
        response | {"contact": {"confirmed": True, "as-of-s": 0.0}}
    )
    assert "as of 4.2 s ago" in describe_freshness(
        response | {"contact": {"confirmed": False, "as-of-s": 4.2}}
    )
    assert "NOT CONFIRMED" in describe_freshness(
        response | {"contact": {"confirmed": False, "as-of-s": None}}
    )


@test("of eight concurrent changes, with {loss} of the answers lost, no accepted one is ever rejected")
def _(seed: int = each(1, 2, 3), loss: float = each(0.7, 0.8, 0.9)) -> None:
    with simulated_mesh(seed=seed, planes=1) as mesh:
        mesh.run(mesh.start_configured())
        callers = [
            FleetOperator(lambda: mesh.core, random.Random(10 * seed + index), lambda: loss)
            for index in range(8)
        ]

        async def send(caller: FleetOperator, index: int) -> None:
            revision = 1
            for _ in range(3):  # each is based on the newest revision that this caller has read
                read = await caller.describe()
                base = json.loads(read.body)["revision"]
                revision = max(base, revision) + 1
                await caller.replace(Order(base, revision, make_body(revision, f"by-{index}")), 300.0)

        async def send_all() -> None:
            tasks = [asyncio.create_task(send(caller, index)) for index, caller in enumerate(callers)]
            await asyncio.sleep(3.0)
            mesh.kill(mesh.leader())  # for some changes this is between the commit and the response
            await asyncio.gather(*tasks)

        mesh.run(send_all())
        calls = [call for caller in callers for call in caller.calls]
        orders = [call for call in calls if call.order is not None]
        assert not find_contradictions(calls)
        assert any(call.status == 200 for call in orders) and {call.status for call in orders} <= {200, 412}
        # Many accepted changes were acknowledged several times before a response arrived
        repeated_acknowledgements = [
            sum(exchange.status == 200 for exchange in call.exchanges) - 1
            for call in orders
            if call.status == 200
        ]
        assert sum(repeated_acknowledgements) >= 5, repeated_acknowledgements


@test("of two configurations with one revision and one checksum one is accepted, and both operators can tell")
def _() -> None:
    padding = b"a" * PADDING_LETTERS
    first = configuration(2, [route("idempotent", more={"name": padding.decode()})])
    second = make_crc32_collision(first, padding)
    assert first != second and json.loads(second)["revision"] == 2
    with simulated_mesh(seed=9, planes=1) as mesh:
        mesh.run(mesh.start_configured())
        callers = [make_operator(mesh), make_operator(mesh)]
        orders = [Order(1, 2, first), Order(1, 2, second)]

        async def replace_both() -> list[int]:
            tasks = [caller.replace(order) for caller, order in zip(callers, orders, strict=True)]
            return [call.status for call in await asyncio.gather(*tasks)]

        statuses = mesh.run(replace_both())
        assert sorted(statuses) == [200, 412]
        assert mesh.run(replace_both()) == statuses
        # Also after a later change, and after the loss of the leader
        assert mesh.run(callers[0].replace(Order(2, 3, make_body(3, "top")))).status == 200
        mesh.kill(mesh.leader())
        assert mesh.run(replace_both()) == statuses


CLOCK_FREE_PACKAGES = (
    "control",
    "wire",
    "keys",
    "budget",
    "gossip",
    "dataplane",
    "http",
)  # packages whose decisions depend on time
WALL_CLOCK_FUNCTIONS = {("time", "time"), ("time", "time_ns"), ("datetime", "now"), ("datetime", "utcnow")}


@test("no package that makes decisions reads the time of day, so a step of that clock changes nothing")
def _() -> None:
    package = Path(__file__).parents[2] / "cometdoor"
    clock_reads = [
        f"{path}:{node.lineno}"
        for name in CLOCK_FREE_PACKAGES
        for path in sorted((package / name).glob("*.py"))
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and (node.value.id, node.attr) in WALL_CLOCK_FUNCTIONS
    ]
    assert not clock_reads, clock_reads
