"""The operator of a soak test: a series of valid and odd changes, and of invalid ones, while faults go on.

Every change keeps the routes of the soak test, so that its traffic must be served. The newest acknowledged
configuration must be read back at the end, byte for byte.
"""

from __future__ import annotations

import asyncio
import copy
import json
import random
import time
from collections.abc import Callable
from typing import Any

from standins.http_client import http_request
from standins.mesh import Mesh, configuration, route
from standins.mesh_backend import CONTROL_PORT
from standins.odd_values import LOWEST_NUMBER, ODD_NUMBERS, ODD_TEXTS, ODD_TIMES_S

Document = dict[str, Any]

CHANGE_INTERVAL_S = (0.3, 2.0)  # shortest and longest pause between two changes
MAX_REVISION_STEP = 1 << 60  # a few steps lead beyond 64 bits
READ_BACK_WITHIN_S = 10.0
REJECTED_STATUSES = (400, 412)


def break_document(document: Document, rng: random.Random) -> None:
    """Make a document invalid."""
    first_route = document["hosts"][0]["host-routes"][0]
    breaks: list[Callable[[], object]] = [
        lambda: document.pop(rng.choice(("services", "limits", "hosts"))),
        lambda: first_route.update({"timeout-s": 0}),
        lambda: first_route.update({"traffic-split": [{"service": first_route["service"], "weight": 0}]}),
        lambda: first_route.update({"service": "no such service"}),
        lambda: document["hosts"][0].update({"hostname": " "}),
        lambda: document["limits"].update({"max-body-bytes": -1}),
        lambda: document.update({"revision": 0}),
    ]
    rng.choice(breaks)()


class SoakOperator:
    """Sends changes one after the other, and records what was acknowledged.

    `record` is called with a line for the history of the seed.
    """

    def __init__(
        self, mesh: Mesh, rng: random.Random, routes: list[dict[str, object]], record: Callable[[str], None]
    ) -> None:
        self.problems: list[str] = []
        self.change_count = 0
        self._mesh = mesh
        self._rng = rng
        self._routes = routes
        self._record = record
        self._revision = 1
        self._body = configuration(1, routes)  # the newest acknowledged configuration

    def _odd_document(self) -> Document:
        """Return a valid document with odd values beside the routes of the traffic."""
        rng = self._rng
        revision = self._revision + rng.choice((1, 2, rng.randrange(1, MAX_REVISION_STEP)))
        odd_route = route(
            "odd",
            rng.choice(("idempotent", "non_idempotent", "keyed", "download")),
            str(self._routes[0]["service"]),
            {
                "name": rng.choice(ODD_TEXTS),
                "path-prefix": rng.choice(("/odd/", "/\u00e9 /", "/odd//", f"/{'y' * 2000}/")),
                "timeout-s": rng.choice(ODD_TIMES_S),
                "target-latency-s": rng.choice((0, *ODD_TIMES_S)),
                "priority": rng.choice((LOWEST_NUMBER, *ODD_NUMBERS)),
                "max-attempts": rng.choice(ODD_NUMBERS),
            },
        )
        document: Document = json.loads(configuration(revision, [*self._routes, odd_route]))
        for service in document["services"]:
            service["max-connections"] = rng.choice((8, (1 << 64) - 1))
        document["limits"] = {"max-header-bytes": rng.choice((8192, (1 << 64) - 1)), "idle-timeout-s": 0}
        document["new-field"] = rng.choice(ODD_TEXTS)
        return document

    async def send_changes(self, until: float) -> None:
        """Send changes until a point of the monotonic clock; about one in three is invalid."""
        while time.monotonic() < until:
            document = self._odd_document()
            if self._rng.random() < 1 / 3:
                broken = copy.deepcopy(document)
                break_document(broken, self._rng)
                await self._send(broken, is_valid=False)
            await self._send(document, is_valid=True)
            await asyncio.sleep(self._rng.uniform(*CHANGE_INTERVAL_S))

    async def _send(self, document: Document, is_valid: bool) -> None:
        body = json.dumps(document).encode()
        status = await self._mesh.submit(body, self._revision)
        if status == 0:  # the outcome is unknown: the same change, sent again, tells
            status = await self._mesh.submit(body, self._revision)
        self.change_count += 1
        self._record(f"change {document['revision']} on {self._revision}, valid: {is_valid} -> {status}")
        if is_valid and status == 200:
            self._revision, self._body = document["revision"], body
        elif is_valid or status not in (*REJECTED_STATUSES, 0):
            self.problems.append(
                f"change {document['revision']} on {self._revision}, valid: {is_valid} -> {status}"
            )

    async def check(self) -> None:
        """Read the configuration back from each control plane; add a problem for each that has another."""
        for address in self._mesh.core:
            body = await self._read_back(address)
            if body != self._body:
                revision = json.loads(body)["revision"] if body else None
                self.problems.append(f"{address} has revision {revision}, not {self._revision}")

    async def _read_back(self, address: str) -> bytes:
        """Return the configuration that a control plane, or its leader, answers with; empty if none does."""
        until = time.monotonic() + READ_BACK_WITHIN_S
        while time.monotonic() < until:
            try:
                status, fields, body = await http_request(
                    address, CONTROL_PORT, "GET", "/Configuration.Describe", {}, timeout_s=1.0
                )
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                status, fields, body = 0, {}, b""
            if status == 200:
                return body
            if status == 307:
                address = fields["location"].removeprefix("http://").partition(":")[0]
            else:
                await asyncio.sleep(0.2)
        return b""
