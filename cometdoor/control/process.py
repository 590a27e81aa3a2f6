"""The control plane's process: one replica of the group, the admin API, and gossip with the mesh."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable
from pathlib import Path

import msgspec
import structlog

from cometdoor.budget.allocator import BudgetAllocator
from cometdoor.control.admin_api import CONFIGURATION_MAX_BYTES, AdminApi
from cometdoor.control.founding import SeedNode, founding_members
from cometdoor.control.replica_server import ReplicaServer
from cometdoor.control.sizing import Sizing
from cometdoor.gossip.directory import Directory
from cometdoor.gossip.server import GossipServer
from cometdoor.host.fair_share import DescriptorQuota
from cometdoor.host.listening import ListenStep, listen_all
from cometdoor.host.node_settings import NodeSettings
from cometdoor.http.client_limits import ClientLimits
from cometdoor.http.frontend import Frontend
from cometdoor.http.json_api import JsonApiReader
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.frames import Message
from cometdoor.wire.gossip import NodeRecord
from cometdoor.wire.log_entries import Member
from cometdoor.wire.peer_connection import PeerConnection

ROLE = "controlplane"
# After SIGTERM: time for the leadership transfer and for this member's removal from the group.
LEADERSHIP_HANDOVER_MAX_S = 1.2
log = structlog.get_logger()


class ControlPlane:
    """Composes and owns the replica server, gossip, the admin API and the connections of a control plane."""

    def __init__(self, node_settings: NodeSettings, loop: asyncio.AbstractEventLoop) -> None:
        self.node_settings = self.latest_settings = node_settings  # in use, and as last read
        self.on_failed: Callable[[], None] = lambda: None  # called when the process must be restarted
        self._loop = loop
        control = node_settings.listen_addresses.control_plane
        assert control is not None
        self.connections = PeerConnections(loop, self._receive)
        own_address = node_settings.internal_address(ROLE)
        seeds = node_settings.seed_internal_addresses()
        self.replica_server = self._new_replica_server(control, own_address, seeds)
        record = NodeRecord(
            node_settings.node_name,
            own_address,
            ROLE,
            node_settings.zone,
            secrets.token_hex(4),
            1,
            control_address=control,
        )
        self.directory = Directory(record, seeds, random.Random(secrets.randbits(64)), loop.time())
        self.directory.on_record_changed = self._on_node_record
        self.gossip_server = GossipServer(loop, self.connections, self.directory, lambda revision, body: None)
        self.frontend = Frontend(
            loop,
            JsonApiReader(CONFIGURATION_MAX_BYTES),
            DescriptorQuota(node_settings.limits.file_descriptors),
            AdminApi(loop, self.replica_server),
            ClientLimits(max_body_bytes=CONFIGURATION_MAX_BYTES),
        )

    def _new_replica_server(self, control: str, own_address: str, seeds: list[str]) -> ReplicaServer:
        node_settings = self.node_settings
        assert node_settings.data_directory is not None
        return ReplicaServer(
            self._loop,
            self.connections,
            Path(node_settings.data_directory),
            Member("", own_address, control, node_settings.node_name, node_settings.zone),
            node_settings.bound_value("idempotency-window-s", 60.0),
            on_changed=self._on_replica_changed,
            on_disk_writer_failed=self._on_disk_writer_failed,
            seeds=seeds,
            new_budget_allocator=lambda now: BudgetAllocator(
                node_settings.bound_value("retry-budget-ratio", 0.2),
                node_settings.bound_value("retry-slack", 10.0),
                node_settings.bound_value("retry-window-s", 10.0),
                now,
            ),
            founders=founding_members(map(SeedNode, seeds, node_settings.seed_nodes))
            if node_settings.initial_start
            else (),
            sizing=Sizing(
                max(vars(node_settings.fault_tolerance).values()),
                known_machines=max(len(node_settings.seed_nodes), 1),
            ),
        )

    async def start(self) -> None:
        """Listen on all addresses, then start the replica and gossip.

        Raises
        ------
        ExceptionGroup
            Of `ListenError`, one for each address.
        """
        control = self.node_settings.listen_addresses.control_plane
        assert control is not None
        await listen_all(
            {
                "listen to the mesh": ListenStep(
                    self.connections.listen, self.node_settings.internal_address(ROLE)
                ),
                "listen to operators": ListenStep(self.frontend.listen, control),
            }
        )
        self.replica_server.start()
        self.gossip_server.start()

    def apply_settings(self, node_settings: NodeSettings) -> None:
        """Use the seeds of a settings file that was read again; other settings apply after a restart."""
        self.directory.seeds = node_settings.seed_internal_addresses()
        self.replica_server.update_seeds(node_settings.seed_internal_addresses())

    def _receive(self, message: Message, connection: PeerConnection, call_id: int) -> None:
        if not self.replica_server.receive(message, connection, call_id):
            self.gossip_server.receive(message, connection, call_id)

    def _on_disk_writer_failed(self) -> None:
        self.on_failed()

    def _on_node_record(self, record: NodeRecord) -> None:
        if record.role == ROLE:
            self.replica_server.update_seeds([record.address])

    def _on_replica_changed(self) -> None:
        """Publish the configuration in force and whether this replica leads."""
        self.gossip_server.on_configuration(
            self.replica_server.state.revision, self.replica_server.state.body
        )
        state = "leading" if self.replica_server.replica.is_leading else "up"
        if self.directory.local_record.state not in (state, "leaving"):
            self.directory.publish(msgspec.structs.replace(self.directory.local_record, state=state))
            self.gossip_server.flush()

    async def shutdown(self, grace_s: float) -> None:
        """Transfer the leadership, ask to be removed, drain connections and stop.

        Parameters
        ----------
        grace_s : float
            Time that the whole shutdown may take.
        """
        self.directory.publish(msgspec.structs.replace(self.directory.local_record, state="leaving"))
        self.gossip_server.flush()
        self.replica_server.leave()
        deadline = self._loop.time() + min(LEADERSHIP_HANDOVER_MAX_S, grace_s / 2)
        while self._loop.time() < deadline and self.replica_server.replica.is_leading:
            await asyncio.sleep(0.03)
        self.frontend.is_draining = True
        self.frontend.close_idle()
        await asyncio.sleep(max(deadline - self._loop.time(), 0.0))
        self.frontend.stop_listening()
        self.replica_server.stop()
        self.gossip_server.stop()
        self.connections.close()
