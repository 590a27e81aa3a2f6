"""All services of one process, and configuration changes while they serve."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cometdoor.host.fair_share import DescriptorQuota, SharedQuota, client_connection_limit
from cometdoor.http.client_connection import ClientConnection
from cometdoor.http.frontend import Frontend
from cometdoor.http.messages import BadRequestError, ClientRequest
from cometdoor.services.endpoint_lists import EndpointLists, EndpointListUpdate
from cometdoor.services.reload_plan import ReloadPlan, make_reload_plan
from cometdoor.services.request_reader import ServicesRequestReader
from cometdoor.services.routing_table import RoutingTable
from cometdoor.services.service_instance import ServiceInstance
from cometdoor.services.settings import ServiceEntry, Settings

if TYPE_CHECKING:
    # Imported at run time only if there is a forwarders' file, since the platform charges start-up time.
    from cometdoor.planning.transport import PlannerTransports


class ServiceManager:
    """Creates, reconfigures and drains the service instances of a process.

    It is the request handler of the frontend: it passes each request to the instance that it was routed to
    on arrival.

    Parameters
    ----------
    settings
        The operators' file.
    loop
        Event loop of the process.
    planner_transports
        Transports to the planners; None without planning.

    Attributes
    ----------
    server_connections, client_connections : SharedQuota
        Quotas of connections to servers and of connections from clients, shared fairly among the services.
    running, draining : dict
        Instances that get new requests, by name, and instances that only finish their open requests.
    """

    is_ready = True  # always: a fault of one service must not make the process unready for the others

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        planner_transports: PlannerTransports | None = None,
    ) -> None:
        self.loop = loop
        self.planner_transports = planner_transports
        self.settings = settings
        self.descriptors = DescriptorQuota(settings.sockets)
        client_connections = client_connection_limit(self.descriptors.limit)
        self.client_connections = SharedQuota(client_connections)
        self.server_connections = SharedQuota(self.descriptors.limit - client_connections)
        self.endpoint_lists: EndpointLists[ServiceInstance] = EndpointLists()
        self.running: dict[str, ServiceInstance] = {}
        self.draining: dict[ServiceInstance, None] = {}
        self.reader: ServicesRequestReader[ServiceInstance] = ServicesRequestReader(RoutingTable(()), {}, b"")
        self.frontend = Frontend(loop, self.reader, self.descriptors, self, serves_multiple_services=True)
        for entry in settings.service:
            self.running[entry.name] = ServiceInstance(self, entry, settings)
        self._change_routes(RoutingTable(settings.routes()))

    async def start(self) -> None:
        """Start all services, then listen.

        Raises
        ------
        OSError
            An address can't be listened on.
        """
        for service in self.running.values():
            service.start()
        for address in self.settings.listen():
            await self.frontend.listen(*address)

    def stop(self) -> None:
        """Stop reports to planners and watches of discovery."""
        for service in [*self.running.values(), *self.draining]:
            service.stop_reporting()
            if service.discovery is not None:
                service.discovery.stop()

    def guaranteed_sockets_for(self, entry: ServiceEntry, settings: Settings) -> int:
        """Return the service's guaranteed sockets; by default, services share half of the quota equally."""
        if entry.limits.guaranteed_sockets is not None:
            return entry.limits.guaranteed_sockets
        return self.server_connections.total // (2 * len(settings.service))

    def apply(self, settings: Settings) -> ReloadPlan:
        """Apply a configuration; open requests finish under the one that was current when they arrived.

        If an instance can't be created, the exception is raised, and nothing has changed.

        Returns
        -------
        ReloadPlan
            The changes that were made.
        """
        reload_plan = make_reload_plan(self.settings, settings)
        entries = {entry.name: entry for entry in settings.service}
        routes = RoutingTable(settings.routes())
        created: dict[str, ServiceInstance] = {}
        try:
            for name in (*reload_plan.to_start, *reload_plan.to_rebuild):
                created[name] = ServiceInstance(self, entries[name], settings)
        except Exception:
            for service in created.values():
                service.stop_reporting()
                service.release_shares()
            raise
        self.settings = settings
        removed = {name: self.running.pop(name) for name in (*reload_plan.to_stop, *reload_plan.to_rebuild)}
        self.draining.update(dict.fromkeys(removed.values()))
        self.running.update(created)
        self._change_routes(routes)
        for name, service in removed.items():
            service.start_draining(entries.get(name))
        for name in reload_plan.to_keep:
            self.running[name].reconfigure(entries[name])
        for name in (*reload_plan.to_start, *reload_plan.to_rebuild):
            self.running[name].start()
        return reload_plan

    def _change_routes(self, routes: RoutingTable) -> None:
        self.reader.update(routes, self.running, self.settings.health_path.encode())

    # --- called by the service instances ---

    def deliver(self, events: list[EndpointListUpdate[ServiceInstance]]) -> None:
        """Deliver each list event to its service instance."""
        for update in events:
            update.service.http.on_endpoints_changed(update.event, update.addresses)

    # --- called by the frontend ---

    def accept(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Pass a request to its service instance."""
        if request.service.is_draining:
            # The request was pipelined, and routed before the configuration changed: route it again.
            try:
                self.reader.read(request)
            except BadRequestError as problem:
                connection.respond(problem.status, [], str(problem).encode())
                return
        request.service.http.accept(connection, request)

    def on_client_disconnected(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Abandon a request whose caller has disconnected."""
        request.service.http.on_client_disconnected(connection, request)

    # --- graceful shutdown ---

    def open_requests(self) -> int:
        """Return how many requests have no response yet."""
        return sum(service.http.open_requests() for service in (*self.running.values(), *self.draining))

    def fail_all(self) -> None:
        """Answer all open requests with a failure."""
        for service in (*self.running.values(), *self.draining):
            service.http.fail_all()

    def longest_deadline_s(self) -> float:
        """Return the longest deadline of any class, in seconds: no open request lasts longer."""
        services = (*self.running.values(), *self.draining)
        return max(cls.deadline_ms for service in services for cls in service.class_settings) / 1000.0
