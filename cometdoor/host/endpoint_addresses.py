"""Addresses of the servers in the endpoint list, and detection of servers that were replaced or moved."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from cometdoor.balancing import api
from cometdoor.balancing.api import EndpointListKind, EndpointState
from cometdoor.host.address import Address


class EndpointAddresses:
    """Stores the addresses of the listed servers, and retires the connections to servers that have changed.

    Attributes
    ----------
    by_name : dict[str, Address]
        The addresses of all servers to which attempts may be sent.
    """

    def __init__(self, retire: Callable[[str], None]) -> None:
        """`retire`: called for each server whose open connections must not be reused."""
        self.by_name: dict[str, Address] = {}
        self._started_at: dict[str, float] = {}
        self._retire = retire

    def update(self, event: api.EndpointsChanged, addresses: Mapping[str, Address]) -> None:
        """Apply an endpoint list; `addresses` are those of its servers by name."""
        if event.kind is EndpointListKind.FAILED:
            return
        if event.kind is not EndpointListKind.DELTA:
            for name in self.by_name.keys() - {server.name for server in event.endpoints}:
                self._remove(name)
        for server in event.endpoints:
            name = server.name
            if (
                server.state is not EndpointState.READY
                or addresses.get(name) != self.by_name.get(name)
                or server.started_at != self._started_at.get(name)
            ):
                self._retire(name)
            if server.state is EndpointState.REMOVED:
                self._remove(name)
            else:
                self.by_name[name] = addresses[name]
                self._started_at[name] = server.started_at

    def _remove(self, name: str) -> None:
        self._retire(name)
        self.by_name.pop(name, None)
        self._started_at.pop(name, None)
