"""Endpoint lists of all services, and draining of servers that several of them share. No I/O.

One server may be in the lists of several services, each of which has its own instance of the decision module.
If one of the lists marks the server as draining, all of these services treat it as draining, since they share
one process at that address.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

from cometdoor.balancing.api import Endpoint, EndpointListKind, EndpointsChanged, EndpointState
from cometdoor.host.address import Address

Key = TypeVar("Key", bound=Hashable)


@dataclass(frozen=True, slots=True)
class EndpointListUpdate(Generic[Key]):
    """An endpoint list event to deliver to one service's decision module."""

    service: Key
    event: EndpointsChanged
    addresses: Mapping[str, Address]


class EndpointLists(Generic[Key]):
    """Stores each service's list as its source sent it, and by address the services that drain it."""

    def __init__(self) -> None:
        self._lists: dict[Key, dict[str, tuple[Endpoint, Address]]] = {}
        self._draining_services: dict[Address, set[Key]] = {}

    def update(
        self, service: Key, event: EndpointsChanged, addresses: Mapping[str, Address]
    ) -> list[EndpointListUpdate[Key]]:
        """Apply a list event from one service's source.

        Parameters
        ----------
        service
            The service that the list belongs to.
        event, addresses
            The event as the source sent it, and the addresses of its endpoints by name.

        Returns
        -------
        list of EndpointListUpdate
            The service's own event first, then events for other services that share an address which starts
            or stops draining.
        """
        if event.kind is EndpointListKind.FAILED:
            return [EndpointListUpdate(service, event, {})]
        entries = self._lists.setdefault(service, {})
        before = self._draining(service)
        if event.kind is not EndpointListKind.DELTA:
            entries.clear()
        for server in event.endpoints:
            if server.state is EndpointState.REMOVED:
                entries.pop(server.name, None)
            else:
                entries[server.name] = server, addresses[server.name]
        after = self._draining(service)
        self._record_drains(service, before, after)
        own_event = replace(
            event,
            endpoints=tuple(
                self._with_shared_drain(server, addresses.get(server.name)) for server in event.endpoints
            ),
        )
        return [
            EndpointListUpdate(service, own_event, dict(addresses)),
            *self._updates_for_others(service, before ^ after),
        ]

    def remove_service(self, service: Key) -> list[EndpointListUpdate[Key]]:
        """Remove a service; return events for services that share an address which it was draining."""
        before = self._draining(service)
        self._lists.pop(service, None)
        self._record_drains(service, before, set())
        return self._updates_for_others(service, before)

    def _draining(self, service: Key) -> set[Address]:
        return {
            address
            for server, address in self._lists.get(service, {}).values()
            if server.state is EndpointState.DRAINING
        }

    def _record_drains(self, service: Key, before: set[Address], after: set[Address]) -> None:
        for address in before - after:
            self._draining_services[address].discard(service)
            if not self._draining_services[address]:
                del self._draining_services[address]
        for address in after:
            self._draining_services.setdefault(address, set()).add(service)

    def _with_shared_drain(self, server: Endpoint, address: Address | None) -> Endpoint:
        if server.state is EndpointState.READY and address in self._draining_services:
            return replace(server, state=EndpointState.DRAINING)
        return server

    def _updates_for_others(self, service: Key, changed: set[Address]) -> list[EndpointListUpdate[Key]]:
        if not changed:
            return []
        events = []
        for other, entries in self._lists.items():
            if other == service:
                continue
            affected = [
                (server, address)
                for server, address in entries.values()
                if address in changed and server.state is EndpointState.READY
            ]
            if affected:
                servers = tuple(self._with_shared_drain(server, address) for server, address in affected)
                events.append(
                    EndpointListUpdate(
                        other,
                        EndpointsChanged(EndpointListKind.DELTA, servers),
                        {server.name: address for server, address in affected},
                    )
                )
        return events
