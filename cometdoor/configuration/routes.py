"""Where a configuration leads a request: to its host's route with the longest prefix of its path. No I/O"""

from __future__ import annotations

import random

import immutables

from cometdoor.configuration.document import Document, Route


class Routes:
    """Of one configuration; it never changes."""

    def __init__(self, document: Document) -> None:
        self.document = document
        self.services = {service.name: service for service in document.services}
        hosts: immutables.Map[str, dict[str, Route]] = immutables.Map()
        for host in document.hosts:
            name = host.hostname.lower()
            table = {**hosts.get(name, {}), **{route.path_prefix: route for route in host.host_routes}}
            hosts = hosts.set(name, table)
        self._hosts = hosts

    def find(self, host: str, path: str) -> Route | None:
        """`path` without its query."""
        table = self._hosts.get(host.lower())
        if table is None:
            table = self._hosts.get(host.lower().rpartition(":")[0])
            if table is None:
                return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            if (route := table.get(path[: end + 1])) is not None:
                return route
        return None


def choose(route: Route, chance: random.Random) -> str:
    """The service, by the weights of the route's parts."""
    parts = route.parts()
    if len(parts) == 1:
        return parts[0].service
    return chance.choices([part.service for part in parts], [part.weight for part in parts])[0]
