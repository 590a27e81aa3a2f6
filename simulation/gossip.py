"""Gossip between simulated processes, in virtual time, for scenario tests and benchmarks of large fleets.

`Directory` and `GossipServer` are the production classes; connections and event loop are simulated. Messages
between processes that can't reach each other are lost. The caller gets an error after a connection's
timeout, or at once if the peer process is dead.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from cometdoor.gossip.directory import Directory
from cometdoor.gossip.server import GossipServer
from cometdoor.wire.call_control import Ping, Pong
from cometdoor.wire.frames import Frame, Message, encode
from cometdoor.wire.gossip import NodeRecord
from cometdoor.wire.peer_connection import KEEPALIVE_TIMEOUT_S, PeerError
from simulation.timers import VirtualTimers

NETWORK_DELAY_S = 0.003  # one way
LOSS_SHARE = 0.01  # of forwarded updates, as if a connection broke

OnReply = Callable[[Message | PeerError], None]


class SimulatedConnections:
    """Stands in for one process's `PeerConnections`, as far as gossip uses them."""

    def __init__(self, mesh: GossipMesh, address: str) -> None:
        self._mesh = mesh
        self._address = address

    def send(self, peer: str, message: Message, channel: str = "") -> bool:
        mesh = self._mesh
        mesh.record_sent(self._address, message)
        if mesh.can_reach(self._address, peer) and mesh.rng.random() > LOSS_SHARE:
            mesh.call_later(NETWORK_DELAY_S, mesh.deliver, peer, message, self, 0)
        return True

    def call(self, peer: str, message: Message, on_reply: OnReply, channel: str = "") -> object:
        mesh = self._mesh
        mesh.record_sent(self._address, message)
        call_id = mesh.add_pending(self._address, on_reply)
        if mesh.can_reach(self._address, peer):
            mesh.call_later(NETWORK_DELAY_S, mesh.deliver, peer, message, self, call_id)
            mesh.call_later(KEEPALIVE_TIMEOUT_S + 0.1, self._check_keepalive, call_id, peer)
        else:
            delay_s = NETWORK_DELAY_S if mesh.is_dead(peer) else KEEPALIVE_TIMEOUT_S + 0.1
            mesh.call_later(delay_s, mesh.reply, call_id, PeerError("connect", peer, "not reached", False))
        return call_id

    def _check_keepalive(self, call_id: int, peer: str) -> None:
        """Fail the call once keepalives are missing; a response may take any time."""
        if not self._mesh.is_pending(call_id):
            return
        if self._mesh.can_reach(self._address, peer):
            self._mesh.call_later(KEEPALIVE_TIMEOUT_S + 0.1, self._check_keepalive, call_id, peer)
        else:
            self._mesh.reply(call_id, PeerError("answer", peer, "silent", True))

    def respond(self, call_id: int, message: Message) -> None:
        """Reply to a call that this process made, like `PeerConnection.respond`."""
        if call_id:
            self._mesh.call_later(NETWORK_DELAY_S, self._mesh.reply, call_id, message)


class SimulatedNode:
    """One process with its directory and gossip server."""

    def __init__(self, mesh: GossipMesh, node: str, incarnation: str, seed: int) -> None:
        self.address = f"{node}:1"
        record = NodeRecord(node, self.address, "dataplane", "zone", incarnation, 1)
        self.directory = Directory(record, ["n0:1", "n1:1", "n2:1"], random.Random(seed), mesh.now)
        self.gossip_server = GossipServer(
            mesh,  # type: ignore[arg-type]
            SimulatedConnections(mesh, self.address),  # type: ignore[arg-type]
            self.directory,
            self._on_configuration,
        )
        self.applied_at: dict[int, float] = {}
        self._mesh = mesh
        self.directory.publish(record)
        mesh.call_later(mesh.rng.random() * 0.05, self.gossip_server.start)

    def _on_configuration(self, revision: int, body: bytes) -> None:
        self.gossip_server.on_configuration(revision, body)
        self.applied_at[revision] = self._mesh.now


class GossipMesh(VirtualTimers):
    """Data planes `n0` to `n(size - 1)`, and the network between them; the first three are the seeds."""

    def __init__(self, size: int, seed: int) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.bytes_sent = 0
        self.messages_sent = 0
        self.isolated: set[str] = set()  # addresses without connection to any other
        self.cut_links: set[frozenset[str]] = set()
        self.partition_side: set[str] = set()  # addresses in this set and all others can't reach each other
        self._last_call_id = 0
        self._pending: dict[int, tuple[str, OnReply]] = {}
        self._dead: set[str] = set()
        self.nodes: dict[str, SimulatedNode] = {}
        for index in range(size):
            self.add(f"n{index}")

    def add(self, node: str, incarnation: str = "life") -> None:
        self._dead.discard(f"{node}:1")
        self.nodes[f"{node}:1"] = SimulatedNode(self, node, incarnation, self.rng.getrandbits(32))

    def restart(self, node: str) -> None:
        self.kill(node)
        self.add(node, "next")

    def kill(self, node: str) -> None:
        self._dead.add(f"{node}:1")
        self.nodes[f"{node}:1"].gossip_server.stop()

    def directory(self, node: str) -> Directory:
        return self.nodes[f"{node}:1"].directory

    def live_directories(self) -> list[Directory]:
        return [node.directory for address, node in self.nodes.items() if address not in self._dead]

    # --- the network ---

    def is_dead(self, address: str) -> bool:
        return address in self._dead or address not in self.nodes

    def can_reach(self, node: str, other: str) -> bool:
        return not (
            self.is_dead(node)
            or self.is_dead(other)
            or node in self.isolated
            or other in self.isolated
            or frozenset((node, other)) in self.cut_links
            or (node in self.partition_side) != (other in self.partition_side)
        )

    def record_sent(self, sender: str, message: Message) -> None:
        self.messages_sent += 1
        self.bytes_sent += len(encode(Frame(1, False, message)))

    def deliver(self, to: str, message: Message, connection: SimulatedConnections, call_id: int) -> None:
        if self.is_dead(to):
            return
        if isinstance(message, Ping):
            connection.respond(call_id, Pong())
        else:
            self.nodes[to].gossip_server.receive(message, connection, call_id)  # type: ignore[arg-type]

    def add_pending(self, caller: str, on_reply: OnReply) -> int:
        self._last_call_id += 1
        self._pending[self._last_call_id] = caller, on_reply
        return self._last_call_id

    def is_pending(self, call_id: int) -> bool:
        return call_id in self._pending

    def reply(self, call_id: int, message: Message | PeerError) -> None:
        pending = self._pending.pop(call_id, None)
        if pending is None or self.is_dead(pending[0]):
            return
        if not isinstance(message, PeerError):
            self.record_sent("", message)
        pending[1](message)
