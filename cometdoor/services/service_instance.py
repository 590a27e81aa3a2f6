"""One service of the operators' file: its balancer, discovery client, quotas and reports to planners."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from cometdoor.balancing import api
from cometdoor.balancing.api import (
    DedupScope,
    Effect,
    Endpoint,
    EndpointListKind,
    EndpointsChanged,
    EndpointState,
    Outcome,
)
from cometdoor.discovery.discovery_client import DiscoveryClient, EndpointListReader
from cometdoor.host.address import Address, parse_address
from cometdoor.host.clock import now_ms
from cometdoor.host.fair_share import SharedQuota
from cometdoor.host.interfaces import HostSettings
from cometdoor.http.response_classification import classify_plain_response, classify_platform_response
from cometdoor.http.service import HttpService, ServiceLimits
from cometdoor.services.endpoint_lists import EndpointLists, EndpointListUpdate
from cometdoor.services.settings import ServiceEntry, Settings

if TYPE_CHECKING:
    # Imported at run time only if there is a forwarders' file, since the platform charges start-up time.
    from cometdoor.planning.transport import PlannerTransport, PlannerTransports

log = logging.getLogger(__name__)


class InstanceOwner(Protocol):
    """State that the service instances of a process share; provided by `ServiceManager`."""

    loop: asyncio.AbstractEventLoop
    settings: Settings
    server_connections: SharedQuota
    client_connections: SharedQuota
    endpoint_lists: EndpointLists[ServiceInstance]
    draining: dict[ServiceInstance, None]
    planner_transports: PlannerTransports | None

    def guaranteed_sockets_for(self, entry: ServiceEntry, settings: Settings) -> int:
        """Return how many server connections, and as many client connections, are reserved for a service."""

    def deliver(self, events: list[EndpointListUpdate[ServiceInstance]]) -> None:
        """Deliver each event to its service instance."""


def class_settings(service: ServiceEntry) -> tuple[api.RequestClass, ...]:
    """Return the service's request classes in the form of the decision module, in the file's order."""
    return tuple(
        api.RequestClass(
            latency_target_ms=entry.latency_target_ms,
            deadline_ms=entry.deadline_ms,
            effect=Effect(entry.effect),
            dedup_scope=DedupScope(entry.key_scope),
            key_ttl_ms=entry.key_ttl_ms,
            value=entry.value,
            late_value=entry.late_value,
        )
        for entry in service.classes.values()
    )


def balancer_settings(entry: ServiceEntry, settings: Settings, zone: int) -> api.Settings:
    """Return the settings of the service's decision module.

    Parameters
    ----------
    entry, settings
        The service, and the file that defines it.
    zone
        Number of the zone in which this proxy runs.
    """
    slow_start = entry.slow_start
    base_settings = api.Settings(
        classes=class_settings(entry),
        balancers=settings.fleet.proxies,
        position=settings.fleet.index,
        zone=zone,
        max_attempts=entry.limits.max_attempts,
    )
    if slow_start is None:
        return base_settings
    return replace(
        base_settings,
        slow_start_initial_share=slow_start.initial_share,
        warm_up_ms=slow_start.warm_up_ms,
        overload_factor=slow_start.overload_factor,
        overload_tolerance_ms=slow_start.overload_tolerance_ms,
    )


class NameNumbering:
    """Numbers names from 0 in order of first use: the decision module takes zones and kinds as numbers."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}

    def number_of(self, name: str) -> int:
        """Return the name's number; a new name gets the next one."""
        return self._numbers.setdefault(name, len(self._numbers))


class ServiceInstance:
    """One running service, with one instance of the decision module.

    It owns the service's HTTP host, discovery client, shares of the connection quotas, and planner transport.
    If a configuration change can't be applied to it, a new instance is started while this one drains. A
    draining instance releases its resources when nothing is open any more.

    Parameters
    ----------
    owner
        State shared with the other services of the process.
    entry, settings
        The service, and the file that defines it.

    Attributes
    ----------
    classes : dict
        Indexes in `class_settings` by class name.
    is_draining : bool
        If true, the instance gets no new requests.
    """

    def __init__(self, owner: InstanceOwner, entry: ServiceEntry, settings: Settings) -> None:
        self.entry = entry
        self.name = entry.name
        self.classes = {name.encode("latin-1"): index for index, name in enumerate(entry.classes)}
        self.class_settings = class_settings(entry)
        self.is_draining = False
        self._owner = owner
        self._zones = NameNumbering()
        self._kinds = NameNumbering()
        module_settings = balancer_settings(entry, settings, self._zones.number_of(entry.zone))
        guaranteed = owner.guaranteed_sockets_for(entry, settings)
        self.server_share = owner.server_connections.add_share(guaranteed, self._close_oldest_idle)
        self.client_share = owner.client_connections.add_share(guaranteed)
        try:
            self.http = self._make_http_service(module_settings)
        except Exception:
            self.release_shares()
            raise
        self._start_times: dict[tuple[str, Address], float] | None = None
        reader = EndpointListReader([entry.zone] if entry.zone else [], [])
        self.discovery = self._make_discovery_client(reader)
        self.planner_transport = self._open_planner_transport(
            0.0 if self.discovery is None else reader.unix_clock_offset_ms
        )
        if self.planner_transport is not None:
            self.http.set_observer(self.planner_transport)

    def _close_oldest_idle(self) -> bool:
        # `self.http` is looked up at the call, since it is created after the share that calls this.
        return self.http.close_oldest_idle()

    def _make_discovery_client(self, reader: EndpointListReader) -> DiscoveryClient | None:
        if self.entry.discovery is None:
            return None
        return DiscoveryClient(
            self._owner.loop,
            parse_address(self.entry.discovery),
            reader,
            must_watch=False,
            revision=0,
            deliver=self._on_list_changed,
        )

    def _open_planner_transport(self, clock_offset_ms: float) -> PlannerTransport | None:
        if self._owner.planner_transports is None:
            return None
        slow_start = self.entry.slow_start
        return self._owner.planner_transports.open(
            self.name, slow_start.warm_up_ms if slow_start else 0.0, clock_offset_ms, self.http.submit_event
        )

    def _make_http_service(self, module_settings: api.Settings) -> HttpService:
        entry = self.entry
        return HttpService(
            HostSettings(module_settings, random.getrandbits(63), entry.retry_after),
            self._owner.loop,
            self.server_share,
            limits=self._service_limits(),
            client_quota=self.client_share,
            idle_close_ms=entry.limits.idle_close_ms,
            connect_timeout_ms=entry.limits.connect_timeout_ms,
            no_connection_outcome=Outcome.NOT_SENT,
            classify_response=classify_platform_response
            if entry.answers == "platform"
            else classify_plain_response,
            on_empty=self._on_empty,
        )

    def _service_limits(self) -> ServiceLimits:
        limits = self.entry.limits
        return ServiceLimits(
            limits.max_open_requests,
            limits.max_waiting_requests,
            limits.max_connections,
            limits.max_held_bytes,
        )

    def start(self) -> None:
        """Use the servers of the file, or start watching discovery; then start reporting to planners."""
        if self.discovery is not None:
            self.discovery.start()
        else:
            self.update_servers(self.entry)
        if self.planner_transport is not None:
            self.planner_transport.start()

    def reconfigure(self, entry: ServiceEntry) -> None:
        """Apply the servers and limits of a new configuration; the request reader applies its routes."""
        self.entry = entry
        self.http.set_limits(self._service_limits())
        guaranteed = self._owner.guaranteed_sockets_for(entry, self._owner.settings)
        self._owner.server_connections.set_guaranteed(self.server_share, guaranteed)
        self._owner.client_connections.set_guaranteed(self.client_share, guaranteed)
        if entry.servers is not None:
            self.update_servers(entry)

    def update_servers(self, entry: ServiceEntry) -> None:
        """Replace the endpoint list by the servers of the file.

        The file has no start times. Servers of the first list are treated as warm; a server that a later list
        adds is treated as started now, so that slow start applies to it.
        """
        servers: list[Endpoint] = []
        addresses: dict[str, Address] = {}
        now = now_ms()
        is_first_list = self._start_times is None
        start_times: dict[tuple[str, Address], float] = {}
        for server_entry in entry.servers or ():
            address = parse_address(server_entry.address)
            key = server_entry.name, address
            start_times[key] = (self._start_times or {}).get(key, 0.0 if is_first_list else now)
            state = EndpointState.DRAINING if server_entry.is_draining else EndpointState.READY
            servers.append(
                Endpoint(
                    server_entry.name,
                    server_entry.weight,
                    self._zones.number_of(server_entry.zone),
                    server_entry.cell,
                    self._kinds.number_of(server_entry.kind),
                    state,
                    start_times[key],
                )
            )
            addresses[server_entry.name] = address
        self._start_times = start_times
        self._on_list_changed(EndpointsChanged(EndpointListKind.FULL, tuple(servers)), addresses)

    def _on_list_changed(self, event: EndpointsChanged, addresses: Mapping[str, Address]) -> None:
        self._owner.deliver(self._owner.endpoint_lists.update(self, event, addresses))

    def start_draining(self, successor: ServiceEntry | None) -> None:
        """Stop accepting requests; open requests continue until their deadlines.

        Parameters
        ----------
        successor
            The service of the same name in the new configuration, or None. Its server list, or its discovery
            if that is unchanged, also applies to requests that are still open here. Otherwise nothing more is
            sent to servers that no service lists any more.
        """
        self.is_draining = True
        self.stop_reporting()
        if successor is not None and successor.servers is not None:
            self.update_servers(successor)
        elif successor is None or successor.discovery != self.entry.discovery:
            self._stop_discovery()
            self._on_list_changed(EndpointsChanged(EndpointListKind.FULL, ()), {})
            self.http.reject_waiting()
        self.http.close_all_idle()
        self._on_empty()

    def stop_reporting(self) -> None:
        """Close the planner transport, which ends reports to planners."""
        if self.planner_transport is not None and self._owner.planner_transports is not None:
            self._owner.planner_transports.close(self.planner_transport)

    def _stop_discovery(self) -> None:
        if self.discovery is not None:
            self.discovery.stop()
            self.discovery = None

    def release_shares(self) -> None:
        """Return the shares of the connection quotas, so that other services can use them."""
        self._owner.server_connections.remove_share(self.server_share)
        self._owner.client_connections.remove_share(self.client_share)

    def _on_empty(self) -> None:
        if self.is_draining and self.http.is_empty() and self in self._owner.draining:
            del self._owner.draining[self]
            self._stop_discovery()
            self.http.close_all_idle()
            self.release_shares()
            self._owner.deliver(self._owner.endpoint_lists.remove_service(self))
            log.info("service %s: the draining instance has no open requests left", self.name)
