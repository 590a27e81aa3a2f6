"""The data plane's process: inbound and outbound proxy, backend API, readiness API and gossip.

All work runs in timers and callbacks of one event loop; no task outlives `shutdown`.
"""

from __future__ import annotations

import asyncio
import random
import secrets

import msgspec
import structlog

from cometdoor.configuration.document import parse
from cometdoor.configuration.routes import Routes
from cometdoor.dataplane.backend_endpoints import BackendEndpoint
from cometdoor.dataplane.heartbeats import BackendApi, BackendLifecycle
from cometdoor.dataplane.inbound_proxy import InboundProxy
from cometdoor.dataplane.outbound_proxy import OutboundProxy
from cometdoor.dataplane.outbound_request import OutboundRequestReader
from cometdoor.gossip.directory import Directory
from cometdoor.gossip.server import GossipServer
from cometdoor.host.fair_share import DescriptorQuota
from cometdoor.host.link_scheduler import LinkScheduler
from cometdoor.host.listening import ListenStep, listen_all
from cometdoor.host.memory_account import MemoryAccount, body_memory_bytes
from cometdoor.host.node_settings import NodeSettings
from cometdoor.host.pause_monitor import TICK_INTERVAL_S, PauseMonitor
from cometdoor.host.repeating_timer import RepeatingTimer
from cometdoor.host.settings_validation import SettingsError
from cometdoor.http.client_connection import ClientConnection
from cometdoor.http.client_limits import ClientLimits
from cometdoor.http.frontend import Frontend
from cometdoor.http.json_api import JsonApiReader, path_segments, respond_error
from cometdoor.http.messages import ClientRequest
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.forwarding import ForwardRequest, StreamedForwardRequest
from cometdoor.wire.frames import Message
from cometdoor.wire.gossip import Backend, NodeRecord
from cometdoor.wire.keys import OperationRequest
from cometdoor.wire.peer_connection import PeerConnection

ROLE = "dataplane"
ENDPOINT_REFRESH_INTERVAL_S = 0.5  # to remove backends of suspected proxies from the endpoint lists
MAX_HEARTBEAT_BYTES = 64 << 10
# After SIGTERM the platform redirects clients once two readiness checks, one second apart, have failed.
READINESS_DRAIN_S = 2.6
SHUTDOWN_POLL_INTERVAL_S = 0.03
REPORT_INTERVAL_S = 5.0
FINAL_RESPONSE_MARGIN_S = 0.3  # time before the end of the grace period at which open requests are failed
# Delay between the last write and the close of all connections, as the link may still be sending a chunk.
CLOSE_DELAY_S = 0.1
log = structlog.get_logger()


class ReadinessApi:
    """Request handler of the frontend for the platform's readiness checks."""

    is_ready = True

    def __init__(self, data_plane: DataPlane) -> None:
        self._data_plane = data_plane

    def accept(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Respond with 200 while the data plane serves callers, else with 503."""
        match (request.method, path_segments(request)):
            case (b"GET" | b"HEAD", ("readiness",)):
                connection.respond(200 if self._data_plane.is_serving() else 503, [], b"")
            case _:
                respond_error(404, "there is no such call here", connection)

    def on_client_disconnected(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Do nothing: every request is answered immediately."""


class DataPlane:
    """Creates, connects, starts and shuts down the components of one data plane process.

    It builds endpoint lists from the gossip directory, and applies configurations and the backend's state.
    """

    def __init__(self, node_settings: NodeSettings, loop: asyncio.AbstractEventLoop) -> None:
        self.node_settings = self.latest_settings = node_settings  # settings in use, and settings read last
        self._loop = loop
        self._is_shutting_down = False
        self._refresh_scheduled = False
        self._link = LinkScheduler(loop, node_settings.limits.bandwidth_mbps, node_settings.ip_address)
        self.connections = PeerConnections(loop, self._receive, self._link)
        internal_address = node_settings.internal_address(ROLE)
        self._pause_monitor = PauseMonitor(loop.time())
        self.memory = MemoryAccount(body_memory_bytes(node_settings.limits.memory_mb))
        incarnation = secrets.token_hex(4)
        record = NodeRecord(
            node_settings.node_name, internal_address, ROLE, node_settings.zone, incarnation, 1
        )
        self.directory = Directory(
            record, node_settings.seed_internal_addresses(), random.Random(secrets.randbits(64)), loop.time()
        )
        self.directory.on_record_changed = lambda record: self._schedule_endpoint_refresh()
        self.gossip_server = GossipServer(loop, self.connections, self.directory, self._on_configuration)
        descriptors = DescriptorQuota(node_settings.limits.file_descriptors)
        self.backend_lifecycle = BackendLifecycle(
            self._on_backend_changed, may_follow_another_process=not node_settings.initial_start
        )
        self.inbound_proxy = InboundProxy(
            loop,
            descriptors,
            node_settings.bound_value("drain-s", 2.0),
            self.backend_lifecycle,
            used_memory_bytes=self.memory.used_bytes,
            pause_monitor=self._pause_monitor,
        )
        self.outbound_proxy = OutboundProxy(
            node_settings,
            loop,
            self.connections,
            internal_address=internal_address,
            replica_addresses=self._replica_addresses,
            incarnation=incarnation,
            retry_share=self.inbound_proxy.retry_share,
            memory=self.memory,
            proxy_count=lambda: sum(record.role == ROLE for record in self.directory.records.values()),
        )
        self._reader = OutboundRequestReader()
        self.outbound_frontend = Frontend(
            loop,
            self._reader,
            descriptors,
            self.outbound_proxy,
            ClientLimits(16 << 10, 64 << 20, 3.2, 15.5),
            link=self._link,
            memory=self.memory,
            pause_monitor=self._pause_monitor,
        )
        self.backend_frontend = Frontend(
            loop, JsonApiReader(MAX_HEARTBEAT_BYTES), descriptors, BackendApi(self.backend_lifecycle)
        )
        self.readiness_frontend = Frontend(
            loop, JsonApiReader(MAX_HEARTBEAT_BYTES), descriptors, ReadinessApi(self)
        )

    async def start(self) -> None:
        """Listen on all addresses and start the periodic work.

        Raises
        ------
        ExceptionGroup
            Contains a ListenError for each address at which it can't listen.
        """
        addresses = self.node_settings.listen_addresses
        assert addresses.outbound and addresses.readiness and addresses.control_plane
        await listen_all(
            {
                "listen to the mesh": ListenStep(
                    self.connections.listen, self.node_settings.internal_address(ROLE)
                ),
                "listen to the backend": ListenStep(self.backend_frontend.listen, addresses.control_plane),
                "listen to callers": ListenStep(self.outbound_frontend.listen, addresses.outbound),
                "listen to the platform": ListenStep(self.readiness_frontend.listen, addresses.readiness),
            }
        )
        self.gossip_server.start()
        RepeatingTimer(self._loop, ENDPOINT_REFRESH_INTERVAL_S, self._refresh_endpoints).start()
        RepeatingTimer(self._loop, REPORT_INTERVAL_S, self._report).start()
        RepeatingTimer(self._loop, TICK_INTERVAL_S, self._tick).start()

    def apply_settings(self, node_settings: NodeSettings) -> None:
        """Apply a reloaded settings file: seed nodes immediately; other settings apply at the next start."""
        self.directory.seeds = node_settings.seed_internal_addresses()

    def is_serving(self) -> bool:
        """Return whether the data plane serves callers: it has a configuration and is not shutting down."""
        return not self._is_shutting_down and self.outbound_proxy.is_ready

    # --- messages and notifications ---

    def _receive(self, message: Message, connection: PeerConnection, call_id: int) -> None:
        match message:
            case ForwardRequest():
                self.inbound_proxy.accept(message, connection, call_id)
            case StreamedForwardRequest():
                self.inbound_proxy.accept(message.request, connection, call_id, message.body_bytes)
            case OperationRequest():
                self.outbound_proxy.on_operation_request(
                    message, lambda reply: connection.respond(call_id, reply)
                )
            case _:
                self.gossip_server.receive(message, connection, call_id)

    def _on_configuration(self, revision: int, body: bytes) -> None:
        try:
            document = parse(body)
        except SettingsError as error:  # a newer control plane may accept more
            log.error("configuration not understood", step="apply", error=str(error)[:300])
            return
        self.outbound_proxy.routes = routes = Routes(document)
        own_service = routes.services.get(self.node_settings.service)
        if own_service is not None:
            self.inbound_proxy.configure(own_service.health_path, own_service.max_connections)
        limits = document.limits
        self.outbound_frontend.limits = ClientLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s + 0.2,
            limits.idle_timeout_s + 0.5,
        )
        self._reader.max_body_bytes = limits.max_body_bytes
        self.gossip_server.on_configuration(revision, body)
        log.info("configuration in force", revision=revision)

    def _on_backend_changed(self, backend: Backend | None) -> None:
        log.info(
            "backend state changed", instance=backend and backend.instance, state=backend and backend.state
        )
        self.inbound_proxy.update_backend(backend)
        self.directory.publish(msgspec.structs.replace(self.directory.local_record, backend=backend))
        self.gossip_server.flush()
        self._schedule_endpoint_refresh()

    # --- endpoint lists ---

    def _replica_addresses(self) -> list[str]:
        """Return the internal addresses of the control plane's replicas, the reported leader first."""
        records = [record for record in self.directory.alive() if record.role == "controlplane"]
        records.sort(key=lambda record: record.state != "leading")
        return list(
            dict.fromkeys(
                [*(record.address for record in records), *self.node_settings.seed_internal_addresses()]
            )
        )

    def _schedule_endpoint_refresh(self) -> None:
        if not self._refresh_scheduled:
            self._refresh_scheduled = True
            self._loop.call_soon(self._refresh_endpoints)

    def _refresh_endpoints(self) -> None:
        self._refresh_scheduled = False
        data_planes = [record for record in self.directory.records.values() if record.role == ROLE]
        alive = [record for record in data_planes if not record.is_suspected]
        # If at least half are suspected, this proxy itself is most likely partitioned, and keeps them all.
        if len(alive) * 2 <= len(data_planes):
            alive = data_planes
        backend_endpoints: dict[str, list[BackendEndpoint]] = {}
        for record in alive:
            backend = record.backend
            if backend is not None and record.state == "up" and backend.state in ("ready", "draining"):
                backend_endpoints.setdefault(backend.service, []).append(
                    BackendEndpoint(backend, record.address, self.node_settings.zone_index(record.zone))
                )
        for backends in backend_endpoints.values():
            backends.sort(key=lambda endpoint: endpoint.backend.instance)
        self.outbound_proxy.update_endpoints(backend_endpoints)

    def _tick(self) -> None:
        self._pause_monitor.tick(self._loop.time())

    def _report(self) -> None:
        self.outbound_proxy.report()
        self.inbound_proxy.report()
        if counts := self.connections.statistics.report():
            log.info("peer connections", **counts)

    # --- shutdown ---

    async def shutdown(self, grace_s: float) -> None:
        """Shut down gracefully: serve until the platform has redirected callers, answer open requests, stop.

        `grace_s` is the grace period in seconds; requests that are open shortly before its end are failed.
        """
        final_response_at = self._loop.time() + grace_s - FINAL_RESPONSE_MARGIN_S
        self._is_shutting_down = True
        self.directory.publish(msgspec.structs.replace(self.directory.local_record, state="leaving"))
        self.gossip_server.flush()
        await asyncio.sleep(min(READINESS_DRAIN_S, grace_s / 2))
        self.outbound_frontend.is_draining = True
        self.outbound_frontend.close_idle()
        await asyncio.sleep(0.1)
        self.outbound_frontend.stop_listening()
        while self._loop.time() < final_response_at and (
            self.outbound_proxy.open_requests()
            or self.inbound_proxy.in_flight_count()
            or self._link.queued_bytes
            or self.connections.sends_bodies()
            or self.outbound_frontend.connections
        ):
            self.outbound_frontend.close_idle()
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)
        self.outbound_proxy.fail_all()
        await asyncio.sleep(CLOSE_DELAY_S)
        for frontend in (self.backend_frontend, self.readiness_frontend):
            frontend.stop_listening()
        self.gossip_server.stop()
        self.outbound_proxy.budget_shares.stop()
        self.connections.close()
