"""Routing of requests: selects the route of the host with the longest matching path prefix. No I/O."""

from __future__ import annotations

import random

import immutables

from cometdoor.configuration.document import Document, Route


class Routes:
    """Routes of one configuration by host and path prefix; immutable.

    Attributes
    ----------
    document : Document
        The configuration.
    services : dict[str, Service]
        Services of the configuration by name.
    """

    def __init__(self, document: Document) -> None:
        self.document = document
        self.services = {service.name: service for service in document.services}
        hosts: immutables.Map[str, dict[str, Route]] = immutables.Map()
        for host in document.hosts:
            name = host.hostname.lower()
            routes_by_prefix = {
                **hosts.get(name, {}),
                **{route.request_prefix: route for route in host.host_routes},
            }
            hosts = hosts.set(name, routes_by_prefix)
        self._hosts = hosts

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if there is none.

        Parameters
        ----------
        host : str
            The Host header's value, in any case, with or without a port.
        path : str
            Path of the target without its query.
        """
        routes_by_prefix = self._hosts.get(host.lower())
        if routes_by_prefix is None:
            routes_by_prefix = self._hosts.get(host.lower().rpartition(":")[0])
            if routes_by_prefix is None:
                return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            if (route := routes_by_prefix.get(path[: end + 1])) is not None:
                return route
        return None


def choose_service(route: Route, rng: random.Random) -> str:
    """Choose a service of the route at random, by weight."""
    weighted_services = route.weighted_services()
    if len(weighted_services) == 1:
        return weighted_services[0].service
    max_weight = max(weighted_service.weight for weighted_service in weighted_services)
    return rng.choices(
        [weighted_service.service for weighted_service in weighted_services],
        # Relative to the largest, so that their sum is finite.
        [weighted_service.weight / max_weight for weighted_service in weighted_services],
    )[0]
