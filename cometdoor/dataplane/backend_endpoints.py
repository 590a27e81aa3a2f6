"""Endpoint list of one service, in the form that the decision module and its host use."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from cometdoor.balancing import api
from cometdoor.balancing.api import EndpointListKind, EndpointState
from cometdoor.host.address import Address
from cometdoor.wire.gossip import Backend

SLOW_START_MS = 3_000.0  # assumed duration of slow start; a backend reports only the remaining time


@dataclass(frozen=True, slots=True)
class BackendEndpoint:
    """A backend and the address of the inbound proxy that forwards requests to it."""

    backend: Backend
    proxy_address: str  # internal address of that proxy, "ip:port"
    zone: int = 0


class EndpointUpdate(NamedTuple):
    """A full endpoint list for the decision module, and inbound proxies' addresses by backend instance."""

    event: api.EndpointsChanged
    addresses: dict[str, Address]


class EndpointList:
    """The current endpoints of a service and the times at which their slow start began."""

    def __init__(self) -> None:
        self._endpoints: tuple[BackendEndpoint, ...] = ()
        self._started_at_ms: dict[str, float] = {}  # by instance; 0: not in slow start

    def __len__(self) -> int:
        return len(self._endpoints)

    def update(self, endpoints: Sequence[BackendEndpoint], now: float) -> EndpointUpdate | None:
        """Replace the endpoints; return None if they did not change. `now` is in milliseconds."""
        if tuple(endpoints) == self._endpoints:
            return None
        self._endpoints = tuple(endpoints)
        servers: list[api.Endpoint] = []
        addresses: dict[str, Address] = {}
        for endpoint in endpoints:
            backend = endpoint.backend
            host, _, port = endpoint.proxy_address.rpartition(":")
            addresses[backend.instance] = (host, int(port))
            servers.append(
                api.Endpoint(
                    backend.instance,
                    1.0,
                    endpoint.zone,
                    state=EndpointState.READY if backend.state == "ready" else EndpointState.DRAINING,
                    started_at=self._slow_start_started_at_ms(backend, now),
                )
            )
        for instance in self._started_at_ms.keys() - addresses.keys():
            del self._started_at_ms[instance]
        return EndpointUpdate(api.EndpointsChanged(EndpointListKind.FULL, tuple(servers)), addresses)

    def _slow_start_started_at_ms(self, backend: Backend, now: float) -> float:
        """Return when the backend's slow start began, by its first report; 0 if it is not in slow start.

        Later reports are ignored: each would move the start, which looks like a restart.
        """
        if backend.instance not in self._started_at_ms:
            remaining_ms = backend.slow_start_remaining_s * 1000.0
            self._started_at_ms[backend.instance] = (
                now - max(SLOW_START_MS - remaining_ms, 0.0) if remaining_ms > 0 else 0.0
            )
        return self._started_at_ms[backend.instance]
