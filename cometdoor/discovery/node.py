"""The platform's proxy: one service, whose endpoints come from the platform's discovery service."""

from __future__ import annotations

import asyncio

from cometdoor.balancing import api
from cometdoor.balancing.api import EndpointListKind
from cometdoor.discovery.config import NodeConfig
from cometdoor.discovery.discovery_client import DiscoveryClient, EndpointListReader
from cometdoor.host.address import Address
from cometdoor.host.fair_share import DescriptorQuota
from cometdoor.host.interfaces import HostSettings
from cometdoor.http.frontend import Frontend
from cometdoor.http.platform_requests import PlatformReader
from cometdoor.http.service import HttpService, ServiceLimits


class Node:
    """Frontend, service and discovery client of one proxy.

    Parameters
    ----------
    config
        Configuration of the proxy.
    loop
        Event loop of the process.
    """

    def __init__(self, config: NodeConfig, loop: asyncio.AbstractEventLoop) -> None:
        self.descriptors = DescriptorQuota(config.sockets)
        self.service = HttpService(
            HostSettings(config.settings, config.seed, config.may_advise_pause),
            loop,
            self.descriptors,
            limits=ServiceLimits(open_requests=config.max_open),
            idle_close_ms=config.idle_close_ms,
            connect_timeout_ms=config.connect_timeout_ms,
            watch_endpoints=self._watch_endpoints,
            has_load_reports=config.reports,
        )
        reader = EndpointListReader(config.zones, config.kinds)
        self.discovery = DiscoveryClient(
            loop,
            config.discovery,
            reader,
            must_watch=config.settings.must_watch,
            revision=int(config.cached_endpoints.get("revision") or 0),
            deliver=self.service.on_endpoints_changed,
        )
        self.frontend = Frontend(
            loop,
            PlatformReader(config.settings, config.classes, config.tenants),
            self.descriptors,
            self.service,
        )
        servers, addresses = reader.read(config.cached_endpoints)
        self.service.on_endpoints_changed(
            api.EndpointsChanged(EndpointListKind.CACHED, tuple(servers)), addresses
        )

    def _watch_endpoints(self) -> None:
        # `self.discovery` is looked up at the call, since it is created after the service it delivers to.
        self.discovery.watch()

    async def start(self, address: Address) -> None:
        """Listen, then watch discovery; raise OSError if listening fails."""
        await self.frontend.listen(*address)
        self.discovery.start()

    def stop(self) -> None:
        """End the watch of discovery."""
        self.discovery.stop()
