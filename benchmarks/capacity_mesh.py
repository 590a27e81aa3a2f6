"""One real proxy among simulated neighbours, for the capacity benchmarks.

`SimulatedNeighbours` holds records of as many proxies and replicas as requested. All their addresses lead to
this process, which answers as the real ones do.
"""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

from benchmarks.capacity_records import (
    NEIGHBOUR_PORT,
    NETWORK,
    PORTS,
    REPLICAS,
    ROUTES,
    SENT_BYTES,
    SERVICES,
    ZONES,
    configuration_body,
    neighbour_address,
    record_of,
    service_name,
)
from benchmarks.hops import processor_s
from cometdoor.configuration import delta
from cometdoor.gossip.directory import Directory
from cometdoor.wire.budget import LeaseGrant, LeaseRequest
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.forwarding import ForwardRequest, ForwardResponse
from cometdoor.wire.frames import Message
from cometdoor.wire.gossip import (
    ConfigurationReply,
    ConfigurationRequest,
    DigestRequest,
    GossipUpdate,
    IndirectProbe,
    IndirectProbeReply,
    NodeRecord,
)
from cometdoor.wire.keys import ClaimReply, ClaimRequest, KeyOwner
from cometdoor.wire.peer_connection import PeerConnection
from standins.http_client import http_request, read_message
from standins.mesh import Mesh
from standins.mesh_backend import CONTROL_PORT, HOST, INTERNAL_PORT, OUTBOUND_PORT

DIGEST_SENDERS = 14  # neighbours that send digests to a proxy: its watchers and an active view
DIGEST_INTERVAL_S = 0.25
CALLERS = 8


def _replica_record(number: int) -> NodeRecord:
    address = f"{NETWORK}.1.{1 + number}:{PORTS + 1}"
    state = "up" if number else "leading"
    zone = f"zone-{number % ZONES}"
    return NodeRecord(
        f"replica-{number}", address, "controlplane", zone, "5f2ac18e", 1, state, control_address=address
    )


class SimulatedNeighbours:
    """All neighbours of one proxy, simulated by this process."""

    def __init__(self, size: int, routes: int = ROUTES) -> None:
        loop = asyncio.get_running_loop()
        self.size = size
        self.routes = routes
        self.connections = PeerConnections(loop, self._on_message)
        self._replica_connections = PeerConnections(loop, self._on_message)
        self.directory = Directory(_replica_record(0), [], random.Random(1), loop.time())
        self.bodies = {1: configuration_body(1, routes)}
        self.directory.revision = 1
        self._loop = loop
        self._versions = {number: 1 for number in range(1, size)}
        self._digests_sent = 0
        self._timer: asyncio.TimerHandle | None = None
        records = [_replica_record(number) for number in range(1, REPLICAS)]
        records += [record_of(number) for number in self._versions]
        self.directory.on_update(GossipUpdate("", records, 1), loop.time())
        self._clear_outbox()

    async def listen(self) -> None:
        await self.connections.listen("0.0.0.0", NEIGHBOUR_PORT)
        await self._replica_connections.listen("0.0.0.0", PORTS + 1)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.connections.close()
        self._replica_connections.close()

    def _clear_outbox(self) -> None:
        self.directory.outbox.clear()
        self.directory.requests.clear()

    def _on_message(self, message: Message, connection: PeerConnection, call_id: int) -> None:
        reply = self._reply(message, connection)
        if reply is not None:
            connection.respond(call_id, reply)
        self._clear_outbox()

    def _reply(self, message: Message, connection: PeerConnection) -> Message | None:
        now = self._loop.time()
        match message:
            case DigestRequest():
                answer = self.directory.on_digest_request(message, now)
                assert connection._transport is not None
                host, port = connection._transport.get_extra_info("sockname")[:2]
                answer.sender = f"{host}:{port}"
                return answer
            case GossipUpdate():
                self.directory.on_update(message, now)
            case IndirectProbe():
                return IndirectProbeReply(True)
            case ConfigurationRequest():
                return self._configuration(message.newer_than)
            case LeaseRequest():
                return LeaseGrant(now, [0.0] * len(message.demands))
            case ClaimRequest():
                return ClaimReply([KeyOwner(claim.owner, claim.claim_id) for claim in message.claims])
            case ForwardRequest():
                seal = (b"Cometdoor-Response-Seal", b"0123456789ab")
                return ForwardResponse(
                    200, [seal, (b"Cometdoor-Attempt-Id", message.attempt_id)], b"x" * SENT_BYTES
                )
        return None

    def _configuration(self, newer_than: int) -> ConfigurationReply:
        newest = max(self.bodies)
        if newer_than in self.bodies:
            previous_body = self.bodies[newer_than]
            return ConfigurationReply(
                newest, delta.encode_delta(previous_body, self.bodies[newest]), newer_than
            )
        return ConfigurationReply(newest, delta.compress(self.bodies[newest]))

    def send_digests(self, peer: str) -> None:
        """Send digests at intervals as the proxy's neighbours do, each neighbour on its own connection."""
        self._timer = self._loop.call_later(DIGEST_INTERVAL_S, self.send_digests, peer)
        self._digests_sent += 1
        request = self.directory.build_digest_request([])
        request.sender = neighbour_address(1 + self._digests_sent % min(DIGEST_SENDERS, self.size - 1))
        self.connections.call(peer, request, lambda reply: None, request.sender)

    def send_changed_record(self, peer: str, number: int) -> None:
        """Send the proxy a new version of a neighbour's record."""
        self._versions[number] += 1
        update = GossipUpdate(
            neighbour_address(number), [record_of(number, self._versions[number])], max(self.bodies)
        )
        self.directory.on_update(update, self._loop.time())
        self._clear_outbox()
        self.connections.send(peer, update)

    def send_new_configuration(self, peer: str) -> None:
        revision = max(self.bodies) + 1
        self.bodies[revision] = configuration_body(revision, self.routes)
        self.directory.revision = revision
        self.connections.send(peer, GossipUpdate(neighbour_address(1), [], revision))


class RealProxy:
    """The measured proxy, with methods that send it work."""

    def __init__(self, mesh: Mesh, neighbours: SimulatedNeighbours) -> None:
        self.neighbours = neighbours
        [self.host] = mesh.planes
        self.peer = f"{self.host}:{PORTS}"
        self.pid = mesh.processes[self.host].pid

    async def idle_core(self, seconds: float) -> float:
        """Return the proxy's processor time as a share of a core, without requests."""
        before, started_at = processor_s(self.pid), time.monotonic()
        await asyncio.sleep(seconds)
        return (processor_s(self.pid) - before) / (time.monotonic() - started_at)

    async def heartbeats(self, count: int) -> None:
        """Send successive heartbeats on one connection."""
        reader, writer = await asyncio.open_connection(self.host, CONTROL_PORT)
        for sequence in range(count):
            body = self._heartbeat(sequence)
            writer.write(
                b"POST /Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            )
            await read_message(reader)
            await asyncio.sleep(0.002)
        writer.close()

    async def heartbeats_on_new_connections(self, count: int) -> None:
        for sequence in range(count):
            body = self._heartbeat(1_000_000 + sequence)
            await http_request(self.host, CONTROL_PORT, "POST", "/Instances.Heartbeat/i-1", {}, body)
            await asyncio.sleep(0.002)

    def _heartbeat(self, sequence: int) -> bytes:
        heartbeat = {
            "service": service_name(0),
            "address": f"{self.host}:8145",
            "zone": "zone-0",
            "revision": "v1",
            "capacity": 5,
            "lifecycle-state": "ready",
            "warmup-left-s": 0,
            "call-sequence": sequence,
        }
        return json.dumps(heartbeat).encode()

    async def requests(self, per_s: float, seconds: float, keyed: bool) -> int:
        """Send requests to all services at a constant rate; return how many were served."""
        served = 0
        # Every fifth route is keyed.
        routes = [route for route in range(ROUTES) if (route % 5 == 0) == keyed][: 2 * SERVICES]
        started_at = time.monotonic()

        async def caller(start: int) -> None:
            nonlocal served
            reader, writer = await asyncio.open_connection(self.host, OUTBOUND_PORT)
            for number in range(start, int(per_s * seconds), CALLERS):
                wait_s = started_at + number / per_s - time.monotonic()
                if wait_s > 0.0:
                    await asyncio.sleep(wait_s)
                key = f"Cometdoor-Idempotency-Key: {secrets.token_hex(16)}\r\n" if keyed else ""
                writer.write(
                    f"{'POST' if keyed else 'GET'} /p{routes[number % len(routes)]}/1 HTTP/1.1\r\n"
                    f"Host: {HOST}\r\nCometdoor-Attempt-Id: {secrets.token_hex(8)}\r\n"
                    f"Cometdoor-Deadline-Ms: 4000\r\n{key}Content-Length: 0\r\n\r\n".encode()
                )
                status, _, _ = await read_message(reader)
                served += status == 200
            writer.close()

        await asyncio.gather(*(caller(start) for start in range(CALLERS)))
        return served


@asynccontextmanager
async def real_proxy(size: int) -> AsyncIterator[RealProxy]:
    with TemporaryDirectory() as name:
        mesh = Mesh(Path(name), core=1, planes=1)
        mesh.core, mesh.planes = [f"{NETWORK}.1.1"], [f"{NETWORK}.2.1"]
        neighbours = SimulatedNeighbours(size)
        write = mesh.settings

        def settings(address: str) -> tuple[str, Path]:
            role, path = write(address)
            text = path.read_text().replace(
                f"[{INTERNAL_PORT},{INTERNAL_PORT + 15}]", f"[{PORTS},{PORTS + 15}]"
            )
            path.write_text(text)
            return role, path

        mesh.settings = settings  # type: ignore[method-assign]
        mesh.backends = {}
        try:
            await neighbours.listen()
            await mesh.launch(mesh.planes[0])
            if not await mesh.wait_ready():
                raise SystemExit("the proxy did not become ready")
            proxy = RealProxy(mesh, neighbours)
            neighbours.send_digests(proxy.peer)
            await asyncio.sleep(2.0)
            yield proxy
        finally:
            neighbours.close()
            await mesh.stop()
