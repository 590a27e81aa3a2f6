"""Stand-in servers in a separate process.

Commands are JSON lines on standard input; each is answered by one line on standard output. The process ends
when its input ends.

    {"do": "start", "service": "a", "count": 3, "ms": 2.0}     -> {"addresses": {"a-0": "127.0.0.1:4001"}}
    {"do": "freeze", "service": "a"}, thaw, stop, restart      -> {}  all, or the one with index "number"
    {"do": "slow_start_peak", "service": "a"}                  -> {"peak": 0.4}  since the last such command
    {"do": "set", "service": "a", "behaviour": {"slowdown_factor": 3.0}}  -> {}
    {"do": "request_log", "service": "a"}                      -> {"entries": [...], "falls": [...]}
    {"do": "late_ms", "service": "a"}                          -> {"late_ms": 0.3}  maximum of the process
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from typing import Any

import orjson
import uvloop

from standins.http_server import StandInServer
from standins.request_log import RequestLog
from standins.server_model import Behaviour, KeyStore, ServerModel, SlowStart, exponential, fixed

LATENESS_SAMPLE_S = 0.005


class ServerGroup:
    """The servers of one service, with a common request log and common idempotency keys."""

    def __init__(self) -> None:
        self.request_log = RequestLog()
        self.servers: list[StandInServer] = []

    async def start(
        self,
        service: str,
        count: int,
        ms: float,
        body: int,
        is_exponential: bool,
        slots: int,
        slow_start: dict[str, float] | None,
    ) -> dict[str, str]:
        """Start servers; return their addresses by name.

        `ms`: mean time of work. `slow_start`: fields of `server_model.SlowStart`, if servers warm up.
        """
        keys = KeyStore()
        latency = exponential(ms / 1000.0) if is_exponential else fixed(ms / 1000.0)
        for number in range(count):
            model = ServerModel(
                f"{service}-{number}",
                self.request_log,
                keys=keys,
                slow_start=SlowStart(**slow_start) if slow_start else None,
                behaviour=Behaviour(latency=latency, body=b"x" * body, slots=slots),
            )
            self.servers.append(await StandInServer(model).start())
        return {server.model.name: server.host_port() for server in self.servers}


class ServerGroups:
    """All servers of the process, by service, and the commands for them."""

    def __init__(self) -> None:
        self._server_groups: dict[str, ServerGroup] = {}
        self._max_lateness_s = 0.0

    async def measure_lateness(self) -> None:
        """Measure the maximum lateness of the event loop, by which a message may be read too late."""
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(LATENESS_SAMPLE_S)
            self._max_lateness_s = max(
                self._max_lateness_s, time.monotonic() - started_at - LATENESS_SAMPLE_S
            )

    async def execute(self, command: dict[str, Any]) -> dict[str, Any]:
        name = command["service"]
        if command["do"] == "start":
            server_group = self._server_groups[name] = ServerGroup()
            addresses = await server_group.start(
                name,
                command.get("count", 3),
                command.get("ms", 2.0),
                command.get("body", 64),
                command.get("spread", True),
                command.get("slots", 64),
                command.get("cold"),
            )
            return {"addresses": addresses}
        server_group = self._server_groups[name]
        selected = (
            server_group.servers
            if command.get("number") is None
            else [server_group.servers[command["number"]]]
        )
        match command["do"]:
            case "late_ms":
                return {"late_ms": 1000.0 * self._max_lateness_s}
            case "request_log":
                return server_group.request_log.dump()
            case "set":
                for server in server_group.servers:
                    for key, value in command["behaviour"].items():
                        setattr(server.model.behaviour, key, value)
            case "slow_start_peak":
                peaks = [server.model.slow_start_peak for server in server_group.servers]
                for server in server_group.servers:
                    server.model.slow_start_peak = 0.0
                return {"peak": max(peaks)}
            case "restart":
                for server in selected:
                    await server.restart()
            case "freeze" | "thaw" | "stop" as action:
                for server in selected:
                    getattr(server, action)()
            case unknown_command:
                raise ValueError(f"unknown command {unknown_command!r}")
        return {}


async def main() -> None:
    server_groups = ServerGroups()
    lateness_task = asyncio.ensure_future(server_groups.measure_lateness())
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        reply = await server_groups.execute(orjson.loads(line))
        sys.stdout.buffer.write(orjson.dumps(reply) + b"\n")
        sys.stdout.buffer.flush()
    lateness_task.cancel()


if __name__ == "__main__":
    if len(sys.argv) > 1:
        os.sched_setaffinity(0, {int(sys.argv[1])})
    uvloop.run(main())
