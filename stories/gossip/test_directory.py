"""Membership and configurations spread by gossip, between processes in memory (simulation/gossip.py)."""

import json

import msgspec
from ward import each, test

from cometdoor.wire.gossip import Backend
from simulation.gossip import GossipMesh


def make_backend(state: str = "ready") -> Backend:
    return Backend("i-1", "pitch", "n5:80", "v1", 6, state)


def all_have(mesh: GossipMesh, node: str, backend: Backend | None) -> bool:
    return all(
        node in member.records and member.records[node].backend == backend
        for member in mesh.live_directories()
    )


@test("every process learns of all others from three seeds, and none is suspected")
def _(size: int = each(6, 40, 150)) -> None:
    mesh = GossipMesh(size, 1)
    mesh.run(6.0)
    assert all(len(member.alive()) == size for member in mesh.live_directories())


@test("a published record reaches every process within a second")
def _() -> None:
    mesh = GossipMesh(20, 2)
    mesh.run(3.0)
    directory = mesh.directory("n5")
    directory.publish(msgspec.structs.replace(directory.local_record, backend=make_backend()))
    mesh.run(1.0)
    assert all_have(mesh, "n5", make_backend())


@test("an isolated process and the others learn of one another's updates once it is back")
def _() -> None:
    mesh = GossipMesh(12, 3)
    mesh.run(3.0)
    mesh.isolated.add("n5:1")
    directory = mesh.directory("n5")
    directory.publish(msgspec.structs.replace(directory.local_record, backend=make_backend("draining")))
    mesh.run(5.0)
    assert mesh.directory("n7").is_suspected("n5")
    assert len(directory.alive()) == 12, "an isolated process suspects nobody"
    mesh.isolated.clear()
    mesh.run(2.5)
    assert all_have(mesh, "n5", make_backend("draining"))
    assert not any(member.is_suspected("n5") for member in mesh.live_directories())


@test("the record of a restarted process replaces that of its former incarnation")
def _() -> None:
    mesh = GossipMesh(8, 4)
    directory = mesh.directory("n5")
    directory.publish(msgspec.structs.replace(directory.local_record, backend=make_backend()))
    mesh.run(10.0)
    mesh.restart("n5")
    mesh.run(3.0)
    assert all_have(mesh, "n5", None)
    assert all(member.records["n5"].incarnation == "next" for member in mesh.live_directories())


@test("a dead process is suspected by all, and no other process is")
def _(size: int = each(5, 15, 100)) -> None:
    mesh = GossipMesh(size, 5)
    mesh.run(4.0)
    mesh.kill("n4")
    mesh.run(4.0)
    assert all(
        [record.node for record in member.records.values() if record.is_suspected] == ["n4"]
        for member in mesh.live_directories()
    )


@test("two processes that can't reach one another, but reach all others, are not suspected")
def _() -> None:
    mesh = GossipMesh(15, 6)
    mesh.run(4.0)
    suspected: list[str] = []
    for directory in mesh.live_directories():
        directory.on_record_changed = lambda record: (
            suspected.append(record.node) if record.is_suspected else None
        )
    member = mesh.directory("n5")
    for other in member.monitored():
        mesh.cut_links.add(frozenset(("n5:1", other.address)))
    mesh.run(20.0)
    assert not suspected, "not even for a moment"


@test("the two sides of a partition suspect one another, and reunite within seconds of its end")
def _(size: int = each(12, 60)) -> None:
    mesh = GossipMesh(size, 7)
    mesh.run(4.0)
    one_side = {f"n{index}:1" for index in range(0, size, 2)}
    mesh.partition_side = one_side
    mesh.run(30.0)
    assert all(len(member.alive()) <= size // 2 + 1 for member in mesh.live_directories())
    mesh.partition_side = set()
    mesh.run(4.0)
    assert all(len(member.alive()) == size for member in mesh.live_directories())


@test("a partition heals without the seeds")
def _() -> None:
    mesh = GossipMesh(16, 8)
    mesh.run(4.0)
    for node in ("n0", "n1", "n2"):
        mesh.kill(node)
    mesh.run(4.0)
    mesh.partition_side = {f"n{index}:1" for index in range(0, 16, 2)}
    mesh.run(15.0)
    mesh.partition_side = set()
    mesh.run(5.0)
    assert all(len(member.alive()) == 13 for member in mesh.live_directories())


@test("the record of a dead process expires everywhere, and does not return")
def _() -> None:
    mesh = GossipMesh(8, 9)
    mesh.run(3.0)
    mesh.kill("n6")
    mesh.run(590.0)
    assert all("n6" in member.records for member in mesh.live_directories())
    mesh.restart("n5")  # a new incarnation learns of it, and for how long it has been suspected
    mesh.run(25.0)
    assert not any("n6" in member.records for member in mesh.live_directories())


@test("without changes a comparison has the same size however many processes there are")
def _() -> None:
    sizes = []
    for size in (30, 120):
        mesh = GossipMesh(size, 10)
        mesh.run(8.0)
        before = mesh.bytes_sent
        mesh.run(4.0)
        sizes.append((mesh.bytes_sent - before) / size)
    assert sizes[1] < 1.2 * sizes[0]


def make_configuration(routes: int, changed: int) -> bytes:
    return json.dumps(
        {
            "host-routes": [
                {"name": f"r-{index}", "timeout-s": 1 + (index < changed)} for index in range(routes)
            ]
        }
    ).encode()


@test("a configuration reaches all within half a second, also a process partitioned from its source")
def _() -> None:
    # Given a process, n0, that one of thirty can't reach
    mesh = GossipMesh(30, 11)
    mesh.run(4.0)
    mesh.cut_links.add(frozenset(("n0:1", "n7:1")))
    # When a configuration comes into force there
    mesh.nodes["n0:1"].gossip_server.on_configuration(1, make_configuration(20, 0))
    mesh.run(0.5)
    # Then all processes have it
    assert all(member.revision == 1 for member in mesh.live_directories())


@test("a large configuration travels as a delta, and complete to a process without the base")
def _() -> None:
    mesh = GossipMesh(20, 12)
    mesh.run(4.0)
    mesh.nodes["n0:1"].gossip_server.on_configuration(1, make_configuration(1000, 0))
    mesh.run(1.0)
    mesh.kill("n9")
    mesh.add("n9", "next")
    before = mesh.bytes_sent
    mesh.nodes["n0:1"].gossip_server.on_configuration(2, make_configuration(1000, 3))
    mesh.run(0.4)
    assert all(member.revision == 2 for member in mesh.live_directories())
    assert mesh.bytes_sent - before < 0.1 * 20 * len(make_configuration(1000, 3))
