"""Stand-in servers in a process of their own.

Orders come as JSON lines on standard input, each is answered with one line on standard output. It ends when
its input does.

    {"do": "start", "service": "a", "count": 3, "ms": 2.0}     -> {"addresses": {"a-0": "127.0.0.1:4001"}}
    {"do": "freeze", "service": "a"}, thaw, stop, restart      -> {}  of all, or with "number" of one
    {"do": "cold_peak", "service": "a"}                        -> {"peak": 0.4}  since last asked
    {"do": "set", "service": "a", "behaviour": {"slow": 3.0}}  -> {}
    {"do": "ledger", "service": "a"}                           -> {"entries": [...], "falls": [...]}
    {"do": "late_ms", "service": "a"}                          -> {"late_ms": 0.3}  the process itself, ever
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from typing import Any

import orjson
import uvloop

from standins.ledger import Ledger
from standins.model import Behaviour, Cold, KeyStore, ServerModel, exponential, fixed
from standins.server import StandIn

BEAT_S = 0.005


class Group:
    """The servers of one service, with one ledger and one memory of keys."""

    def __init__(self) -> None:
        self.ledger = Ledger()
        self.servers: list[StandIn] = []

    async def start(
        self,
        service: str,
        count: int,
        ms: float,
        body: int,
        spread: bool,
        slots: int,
        cold: dict[str, float] | None,
    ) -> dict[str, str]:
        """`cold`: the figures of `model.Cold`, where servers warm up."""
        keys = KeyStore()
        latency = exponential(ms / 1000.0) if spread else fixed(ms / 1000.0)
        for number in range(count):
            model = ServerModel(
                f"{service}-{number}",
                self.ledger,
                keys=keys,
                cold=Cold(**cold) if cold else None,
                behaviour=Behaviour(latency=latency, body=b"x" * body, slots=slots),
            )
            self.servers.append(await StandIn(model).start())
        return {server.model.name: server.host_port() for server in self.servers}


class Groups:
    def __init__(self) -> None:
        self._groups: dict[str, Group] = {}
        self._late_s = 0.0

    async def watch_lateness(self) -> None:
        """How much later than asked for the loop came round, at the worst: so late a message may be read."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(BEAT_S)
            self._late_s = max(self._late_s, time.monotonic() - began - BEAT_S)

    async def carry_out(self, order: dict[str, Any]) -> dict[str, Any]:
        name = order["service"]
        if order["do"] == "start":
            group = self._groups[name] = Group()
            addresses = await group.start(
                name,
                order.get("count", 3),
                order.get("ms", 2.0),
                order.get("body", 64),
                order.get("spread", True),
                order.get("slots", 64),
                order.get("cold"),
            )
            return {"addresses": addresses}
        group = self._groups[name]
        chosen = group.servers if order.get("number") is None else [group.servers[order["number"]]]
        match order["do"]:
            case "late_ms":
                return {"late_ms": 1000.0 * self._late_s}
            case "ledger":
                return group.ledger.dump()
            case "set":
                for server in group.servers:
                    for key, value in order["behaviour"].items():
                        setattr(server.model.behaviour, key, value)
            case "cold_peak":
                peaks = [server.model.cold_peak for server in group.servers]
                for server in group.servers:
                    server.model.cold_peak = 0.0
                return {"peak": max(peaks)}
            case "restart":
                for server in chosen:
                    await server.restart()
            case "freeze" | "thaw" | "stop" as what:
                for server in chosen:
                    getattr(server, what)()
            case unknown:
                raise ValueError(f"no order {unknown!r}")
        return {}


async def main() -> None:
    groups = Groups()
    watching = asyncio.ensure_future(groups.watch_lateness())
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        answer = await groups.carry_out(orjson.loads(line))
        sys.stdout.buffer.write(orjson.dumps(answer) + b"\n")
        sys.stdout.buffer.flush()
    watching.cancel()


if __name__ == "__main__":
    if len(sys.argv) > 1:
        os.sched_setaffinity(0, {int(sys.argv[1])})
    uvloop.run(main())
