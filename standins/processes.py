"""Processes for benchmarks and the demo: stand-in servers, and the proxy of a settings file."""

from __future__ import annotations

import asyncio
import functools
import os
import sys
from pathlib import Path
from typing import Any, Self

import orjson

from standins.request_log import RequestLog

ROOT = Path(__file__).parent.parent
MAX_LINE_BYTES = 1 << 28  # a request log is one line


@functools.cache
def available_cores() -> list[int]:
    """Return the cores that this process could use at the first call, even if it has since been bound to one.

    The last one is repeated for machines with few cores.
    """
    cores = sorted(os.sched_getaffinity(0))
    return cores + cores[-1:] * 4


class ServerProcess:
    """Stand-in servers in a process of their own."""

    def __init__(self) -> None:
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, core: int | None = None) -> ServerProcess:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "standins.server_process",
            *([] if core is None else [str(core)]),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        return self

    async def command(self, do: str, service: str, **more: Any) -> dict[str, Any]:
        assert self._process is not None and self._process.stdin and self._process.stdout
        self._process.stdin.write(orjson.dumps({"do": do, "service": service, **more}) + b"\n")
        line = await self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"the process of the stand-in servers ended on the command {do}")
        reply: dict[str, Any] = orjson.loads(line)
        return reply

    async def start_servers(self, service: str, count: int, ms: float, **more: Any) -> dict[str, str]:
        """Start servers; return their addresses by name."""
        reply = await self.command("start", service, count=count, ms=ms, **more)
        addresses: dict[str, str] = reply["addresses"]
        return addresses

    async def request_log(self, service: str) -> RequestLog:
        return RequestLog.load([await self.command("request_log", service)])

    async def stop(self) -> None:
        if self._process is not None and self._process.stdin is not None:
            self._process.stdin.close()
            await self._process.wait()


class ProxyProcess:
    """`python -m cometdoor serve FILE`, from its start to its end.

    `READY_TEXT`: text of the log line that reports that it serves; the last word of the line is the address.
    """

    COMMAND, READY_TEXT = "serve", " services on "

    def __init__(self, file: Path, *more: str) -> None:
        """Set up the process without starting it. `more`: further arguments of its command line."""
        self.file = file
        self.more = more
        self.address = ("127.0.0.1", 0)
        self.log: list[str] = []
        self.process: asyncio.subprocess.Process | None = None
        self._log_reader: asyncio.Task[None] | None = None

    async def start(self, core: int | None = None) -> Self:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cometdoor",
            self.COMMAND,
            str(self.file),
            *self.more,
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        if core is not None:
            os.sched_setaffinity(self.process.pid, {core})
        assert self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode():
            self.log.append(line)
            if self.READY_TEXT in line:
                host, port = line.split()[-1].rsplit(":", 1)
                self.address = host, int(port)
                self._log_reader = asyncio.ensure_future(self._read_log())
                return self
        raise RuntimeError("the proxy did not start: " + "".join(self.log))

    async def _read_log(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log.append(line.decode())

    async def wait_for_log(self, text: str) -> str:
        """Wait for the first line of its log that contains the text, and return it."""
        while True:
            for line in self.log:
                if text in line:
                    return line
            if self._log_reader is not None and self._log_reader.done():
                raise RuntimeError(f"the proxy ended without logging {text!r}: " + "".join(self.log))
            await asyncio.sleep(0.01)

    async def kill(self) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def stop(self) -> int:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.terminate()
        code = await self.process.wait()
        if self._log_reader is not None:
            await self._log_reader
        return code


class PlannerProcess(ProxyProcess):
    """`python -m cometdoor planner FILE`."""

    COMMAND, READY_TEXT = "planner", " listens for "


def services_file(
    services: dict[str, dict[str, str]],
    classes: dict[str, dict[str, Any]],
    *,
    listen: str = "127.0.0.1:0",
    sockets: int = 1024,
    limits: str = "",
) -> str:
    """Return a settings file for services. `services`: for each service, its servers' addresses by name."""
    lines = [f"sockets = {sockets}", "[[listener]]", f'address = "{listen}"']
    for service, servers in services.items():
        lines += ["[[service]]", f'name = "{service}"', f'routes = [{{host = "{service}.example.org"}}]']
        for name, values in classes.items():
            lines.append(f"[service.classes.{name}]")
            lines += [f"{key} = {orjson.dumps(value).decode()}" for key, value in values.items()]
        lines += ["[service.limits]", limits]
        for name, address in servers.items():
            lines += ["[[service.servers]]", f'name = "{name}"', f'address = "{address}"']
    return "\n".join([*lines, ""])
