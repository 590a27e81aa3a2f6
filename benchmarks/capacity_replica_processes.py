"""Capacity of a control plane replica as a real process: idle, under claims, and with open connections.

Real control planes are started on loopback. Processor time is the kernel's accounting of the processes, which
includes sockets, the disk's thread and idle timers.
"""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from benchmarks.capacity_replica import Figures, claim_of, resident_bytes
from benchmarks.hops import processor_s
from cometdoor.control.write_ahead_log import list_log_files, scan_batches
from cometdoor.wire.call_control import Ping
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.frames import Message
from cometdoor.wire.keys import ClaimReply, ClaimRequest
from cometdoor.wire.peer_connection import PeerError
from standins.http_client import http_request
from standins.mesh import Mesh
from standins.mesh_backend import CONTROL_PORT, INTERNAL_PORT

VOTERS = 3  # the programs' default without configured fault tolerance; the others are learners


@dataclass(frozen=True)
class Roles:
    """Addresses of a group's replicas."""

    leader: str
    followers: list[str]  # voters only
    learners: list[str]


@dataclass
class Group:
    """Running control planes, and connections to them."""

    mesh: Mesh
    roles: Roles
    connections: PeerConnections

    @property
    def leader(self) -> str:
        return self.roles.leader

    def by_role(self, spent: dict[str, float]) -> Figures:
        """Return the mean processor time of each role, as a share of a core."""
        roles = {"leader": [self.leader], "follower": self.roles.followers, "learner": self.roles.learners}
        return {
            f"{role}_core": sum(spent[member_address] for member_address in addresses) / len(addresses)
            for role, addresses in roles.items()
            if addresses
        }

    def pid(self, address: str) -> int:
        return self.mesh.processes[address].pid

    def spent_s(self) -> dict[str, float]:
        return {address: processor_s(self.pid(address)) for address in self.mesh.core}

    def synced_values(self, address: str) -> tuple[str, int]:
        """Return the newest file of its log, and the number of its values; each value took one sync."""
        _, path = list_log_files(self.mesh.folder / address)[0]
        return path.name, sum(1 for _ in scan_batches(path.read_bytes()))


async def _describe(address: str) -> dict[str, object]:
    try:
        status, _, body = await http_request(
            address, CONTROL_PORT, "GET", "/Core.Describe", {}, timeout_s=1.0
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return {}
    return dict(json.loads(body)) if status == 200 else {}


async def _roles(mesh: Mesh) -> Roles:
    """Wait until all control planes are members and `VOTERS` of them are voters; return the roles."""
    until = time.monotonic() + 20.0
    while time.monotonic() < until:
        for address in mesh.core:
            description = await _describe(address)
            members = description.get("members", [])
            if description.get("role") != "leader" or not isinstance(members, list):
                continue
            voters = [member["node"] for member in members if member["voter"]]
            if len(members) == len(mesh.core) and len(voters) == min(VOTERS, len(mesh.core)):
                followers = [member_address for member_address in voters if member_address != address]
                return Roles(
                    address,
                    followers,
                    [member_address for member_address in mesh.core if member_address not in voters],
                )
        await asyncio.sleep(0.2)
    raise SystemExit("the replicas did not form a group")


@asynccontextmanager
async def running_group(size: int, network: str) -> AsyncIterator[Group]:
    """Yield a group of control planes. `network`: first two numbers of unused addresses of 127/8."""
    with TemporaryDirectory() as name:
        mesh = Mesh(Path(name), core=size, planes=0)
        mesh.core = [f"{network}.1.{index}" for index in range(1, size + 1)]
        connections = PeerConnections(asyncio.get_running_loop(), lambda message, connection, call_id: None)
        try:
            await mesh.start()
            roles = await _roles(mesh)
            connections._sweep()  # sends keepalives, as the process would
            yield Group(mesh, roles, connections)
        finally:
            connections.close()
            await mesh.stop()


async def _calls(
    connections: PeerConnections, peer: str, messages: list[tuple[Message, str]], per_s: float
) -> int:
    """Make calls at a constant rate, each message on its channel; return how many had the expected reply."""
    loop = asyncio.get_running_loop()
    answered = 0
    remaining = len(messages)
    all_done = asyncio.Event()

    def done(reply: Message | PeerError) -> None:
        nonlocal answered, remaining
        answered += not isinstance(reply, PeerError) and (
            not isinstance(reply, ClaimReply) or bool(reply.owners[0].claim_id)
        )
        remaining -= 1
        if not remaining:
            all_done.set()

    started_at = loop.time()
    for index, (message, channel) in enumerate(messages):
        wait_s = started_at + index / per_s - loop.time()
        if wait_s > 0.0:
            await asyncio.sleep(wait_s)
        call = connections.call(peer, message, done, channel)
        if isinstance(call, PeerError):
            done(call)
    async with asyncio.timeout(20.0):
        await all_done.wait()
    return answered


async def _closed_loop(
    connections: PeerConnections, peer: str, channels: int, seconds: float, numbers: range
) -> list[float]:
    """Keep one claim pending on each channel; return the sorted latencies in seconds."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    unused_numbers = iter(numbers)
    latencies_s: list[float] = []

    async def channel(name: str) -> None:
        while (sent_at := loop.time()) < until:
            reply: asyncio.Future[Message | PeerError] = loop.create_future()
            call = connections.call(
                peer, ClaimRequest([claim_of(next(unused_numbers))]), reply.set_result, name
            )
            if isinstance(call, PeerError):
                await asyncio.sleep(0.05)
            elif isinstance(await reply, ClaimReply):
                latencies_s.append(loop.time() - sent_at)

    async with asyncio.timeout(seconds + 20.0):
        await asyncio.gather(*(channel(str(index)) for index in range(channels)))
    return sorted(latencies_s)


CHANNELS = 50
MAX_CHANNELS = 200
RATES = (150, 600, 2_400)  # claims a second
FIRST_KEY = secrets.randbits(40)


async def _claims_at(group: Group, per_s: int, seconds: float, first: int) -> tuple[Figures, int]:
    """Return the processor time at the leader and at a follower, above that of idle ones."""
    peer = f"{group.leader}:{INTERNAL_PORT + 1}"
    count = int(per_s * seconds)
    messages: list[tuple[Message, str]] = [
        (ClaimRequest([claim_of(first + number)]), str(number % CHANNELS)) for number in range(count)
    ]
    before = group.spent_s()
    file, synced_values = group.synced_values(group.leader)
    started_at = time.monotonic()
    answered = await _calls(group.connections, peer, messages, per_s)
    elapsed_s = time.monotonic() - started_at
    after = group.spent_s()
    spent = {address: (after[address] - before[address]) / elapsed_s for address in after}
    figures = {
        **group.by_role(spent),
        "per_s": answered / elapsed_s,
        "answered": answered / count,
    }
    file_after, synced_values_after = group.synced_values(group.leader)
    if file_after == file:  # a compaction starts a new file
        figures["syncs_per_claim"] = (synced_values_after - synced_values) / max(answered, 1)
    return figures, first + count


async def process_slopes(size: int, quick: bool) -> Figures:
    figures: Figures = {}
    first = FIRST_KEY
    async with running_group(size, f"127.{40 + size}") as group:
        name = f"process_{size}_replicas"
        await asyncio.sleep(1.0)
        idle_s = 2.0 if quick else 10.0
        before = group.spent_s()
        await asyncio.sleep(idle_s)
        after = group.spent_s()
        idle = {address: (after[address] - before[address]) / idle_s for address in after}
        figures |= {f"{name}_idle_{key}": value for key, value in group.by_role(idle).items()}
        memory = resident_bytes(group.pid(group.leader))
        figures[f"{name}_leader_mb"] = memory / 1e6
        for per_s in RATES[:2] if quick else RATES:
            measured, first = await _claims_at(group, per_s, 2.5 if quick else 8.0, first)
            figures |= {f"{name}_{per_s}_claims_{key}": value for key, value in measured.items()}
        if size == 3:
            figures |= await _max_rate(group, name, quick, first)
            figures |= await _connections(group, name, quick)
    return figures


async def _max_rate(group: Group, name: str, quick: bool, first: int) -> Figures:
    seconds = 2.5 if quick else 8.0
    peer = f"{group.leader}:{INTERNAL_PORT + 1}"
    before = group.spent_s()
    memory = resident_bytes(group.pid(group.leader))
    started_at = time.monotonic()
    latencies_s = await _closed_loop(
        group.connections, peer, MAX_CHANNELS, seconds, range(first, first + (1 << 30))
    )
    elapsed_s = time.monotonic() - started_at
    spent = {address: (value - before[address]) / elapsed_s for address, value in group.spent_s().items()}
    return {
        f"{name}_most_claims_per_s": len(latencies_s) / elapsed_s,
        f"{name}_most_wait_ms_p50": 1e3 * latencies_s[len(latencies_s) // 2],
        f"{name}_most_wait_ms_longest": 1e3 * latencies_s[-1],
        **{f"{name}_most_{key}": value for key, value in group.by_role(spent).items()},
        f"{name}_memory_per_claim": (resident_bytes(group.pid(group.leader)) - memory) / len(latencies_s),
    }


async def _connections(group: Group, name: str, quick: bool) -> Figures:
    """Measure memory and processor time of idle connections at a follower."""
    address = group.roles.followers[0]
    peer = f"{address}:{INTERNAL_PORT + 1}"
    pid = group.pid(address)
    idle_s = 2.0 if quick else 8.0
    start = processor_s(pid)
    await asyncio.sleep(idle_s)
    without = (processor_s(pid) - start) / idle_s
    memory, count = resident_bytes(pid), 980
    answered = await _calls(
        group.connections, peer, [(Ping(), f"open{index}") for index in range(count)], 800.0
    )
    added_bytes = resident_bytes(pid) - memory
    start = processor_s(pid)
    await asyncio.sleep(idle_s)
    core = (processor_s(pid) - start) / idle_s
    return {
        f"{name}_connections": answered,
        f"{name}_connection_bytes": added_bytes / max(answered, 1),
        f"{name}_connections_idle_core": core - without,
    }


def processes(quick: bool) -> Figures:
    figures: Figures = {}
    for size in (3, 5) if quick else (3, 5, 7):
        figures |= asyncio.run(process_slopes(size, quick))
    return figures
