"""The mesh on this machine, as real processes: three core members, four data planes with stand-in backends.

An operator's configuration is sent, requests are served, a core member and a backend are killed; at the end
the backends' ledgers are held against what the clients saw. Each machine is an address of 127/8.
"""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parents[1]
CONTROL, READY, OUT, INTERNAL, APPLICATION = 18144, 18141, 18147, 17380, 18145
SERVICE, HOST = "pitches", "pitches.example"
Headers = dict[str, str]


async def ask(
    address: str,
    port: int,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    patience_s: float = 3.0,
) -> tuple[int, Headers, bytes]:
    """One call on a connection of its own. Raises OSError or TimeoutError."""
    async with asyncio.timeout(patience_s):
        reader, writer = await asyncio.open_connection(address, port)
        try:
            lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in ({"Host": "x"} | headers).items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            return await read_message(reader)
        finally:
            writer.close()


async def read_message(reader: asyncio.StreamReader) -> tuple[int, Headers, bytes]:
    """Status (0 for a request), fields in lower case with the first line under "", and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {"": head[0]}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    first = head[0].split(" ")
    return int(first[1]) if first[0].startswith("HTTP/") else 0, fields, body


@dataclass
class Ledger:
    """What ran, by what the backends saw; what came of it, by what the clients saw."""

    runs: Counter[str] = field(default_factory=Counter)  # attempt id -> runs
    runs_of_key: Counter[str] = field(default_factory=Counter)
    seals: dict[str, str] = field(default_factory=dict)  # seal -> attempt id that it was given for
    asked_inside: set[str] = field(default_factory=set)  # attempt ids of calls that backends made
    wrong_instance: int = 0
    asked: int = 0
    ends: Counter[int] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)


class Backend:
    def __init__(self, address: str, ledger: Ledger, service: str = SERVICE) -> None:
        self.address = address
        self.service = service
        self.instance = "i-" + secrets.token_hex(5)
        self.capacity = 6
        self.state = "ready"
        self.work_s: Callable[[], float] = lambda: 0.02
        self.calls: list[str] = []  # paths that each run calls through the mesh, at once
        self.loses = 0  # so many of the next answers
        self.beats_each_s = 0.5
        self.runs = 0
        self.acknowledged_at: float | None = None  # its notice that it drains
        self.last_run_at = 0.0
        self.probes = 0  # health answers that it gave
        self._ledger = ledger
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._sequence = 0
        self._called = 0

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.address, APPLICATION)

    async def start(self) -> None:
        await self.listen()
        self._beats = asyncio.create_task(self._beat())

    def kill(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def say(self) -> bool:
        """One beat; whether it was acknowledged."""
        self._sequence += 1
        beat = {
            "service": self.service,
            "address": f"{self.address}:{APPLICATION}",
            "zone": "here",
            "revision": "v1",
            "capacity": self.capacity,
            "lifecycle-state": self.state,
            "warmup-left-s": 0,
            "call-sequence": self._sequence,
        }
        try:
            status, _, _ = await ask(
                self.address,
                CONTROL,
                "POST",
                f"/Instances.Heartbeat/{self.instance}",
                {},
                json.dumps(beat).encode(),
                1.0,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def drain(self, drain_s: float) -> None:
        """Leave in order: say so, serve on, sign off, end."""
        self.state = "draining"
        while not await self.say():
            await asyncio.sleep(0.1)
        self.acknowledged_at = time.monotonic()
        await asyncio.sleep(drain_s + 0.3)
        await ask(self.address, CONTROL, "POST", f"/Instances.Deregister/{self.instance}", {})
        self.kill()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(self.beats_each_s if await self.say() else 0.1)

    async def _call(self, path: str, fields: Headers) -> bool:
        self._called += 1
        headers = {
            "Host": HOST,
            "Cometdoor-Attempt-Id": f"{self.instance}-{self._called}",
            "Cometdoor-Deadline-Ms": fields.get("cometdoor-deadline-ms", "1000"),
        }
        self._ledger.asked_inside.add(headers["Cometdoor-Attempt-Id"])
        try:
            status, _, _ = await ask(self.address, OUT, "GET", path, headers)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while True:
                _, fields, _ = await read_message(reader)
                if fields[""].startswith("GET /health "):
                    self.probes += 1
                    writer.write(
                        f"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                        f"Cometdoor-Instance-Id: {self.instance}\r\n\r\n".encode()
                    )
                    continue
                if fields.get("cometdoor-expected-instance") != self.instance:
                    self._ledger.wrong_instance += 1
                attempt, key = fields["cometdoor-attempt-id"], fields.get("cometdoor-idempotency-key")
                self._ledger.runs[attempt] += 1
                self.runs += 1
                self.last_run_at = time.monotonic()
                if key:
                    self._ledger.runs_of_key[key] += 1
                made = await asyncio.gather(*(self._call(path, fields) for path in self.calls))
                await asyncio.sleep(self.work_s())
                if self.loses:
                    self.loses -= 1
                    return
                if not all(made):
                    writer.write(
                        f"HTTP/1.1 500 X\r\nContent-Length: 0\r\n"
                        f"Cometdoor-Attempt-Id: {attempt}\r\n\r\n".encode()
                    )
                    continue
                seal, body = secrets.token_hex(6), attempt.encode()
                self._ledger.seals[seal] = attempt
                writer.write(
                    f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
                    f"Cometdoor-Attempt-Id: {attempt}\r\n"
                    f"Cometdoor-Response-Seal: {seal}\r\n\r\n".encode()
                    + body
                )
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()


def route(
    prefix: str, kind: str = "idempotent", service: str = SERVICE, more: dict[str, object] | None = None
) -> dict[str, object]:
    return {
        "name": f"r-{prefix}",
        "path-prefix": f"/{prefix}/",
        "route-type": kind,
        "timeout-s": 2,
        "target-latency-s": 0.5,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
    } | (more or {})


def configuration(revision: int, routes: list[dict[str, object]] | None = None) -> bytes:
    routes = routes or [route("idempotent"), route("keyed", "keyed")]
    services = sorted({str(one["service"]) for one in routes})
    return json.dumps(
        {
            "revision": revision,
            "services": [{"name": name} for name in services],
            "limits": {},
            "hosts": [{"hostname": HOST, "host-routes": routes}],
        }
    ).encode()


def settings(folder: Path, role: str, address: str, seeds: list[str], service: str = SERVICE) -> Path:
    core = role == "controlplane"
    listen = (
        {"control-plane": CONTROL}
        if core
        else {"control-plane": CONTROL, "readiness": READY, "outbound": OUT}
    )
    lines = [
        f'node-name = "{address}"',
        f'role = "{role}"',
        f'ip-address = "{address}"',
        'zone = "here"',
        f"internal-ports = [{INTERNAL},{INTERNAL + 15}]",
        f"seed-nodes = {json.dumps(seeds)}",
        "initial-start = true",
        f'service = "{service}"',
        'bounds = ["grace-s=6","drain-s=2"]',
    ]
    if core:
        lines.append(f'data-directory = "{folder / address}"')
    lines += ["[listen-addresses]", *(f'{name} = "{address}:{port}"' for name, port in listen.items())]
    path = folder / f"{address}.toml"
    path.write_text("\n".join(lines) + "\n")
    return path


class Mesh:
    def __init__(self, folder: Path, core: int = 3, planes: int = 4) -> None:
        self.folder = folder
        self.core = [f"127.0.1.{place}" for place in range(1, core + 1)]
        self.planes = [f"127.0.2.{place}" for place in range(1, planes + 1)]
        self.ledger = Ledger()
        self.backends = {address: Backend(address, self.ledger) for address in self.planes}
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(self) -> None:
        for address in [*self.core, *self.planes]:
            await self.launch(address)
        for address in self.planes:
            await self.start_backend(address)

    def settings(self, address: str) -> tuple[str, Path]:
        """The role there, and its settings file."""
        role = "controlplane" if address in self.core else "dataplane"
        service = self.backends[address].service if address in self.backends else SERVICE
        seeds = [f"{address}:{CONTROL}" for address in self.core]
        return role, settings(self.folder, role, address, seeds, service)

    async def launch(self, address: str) -> None:
        role, path = self.settings(address)
        with (self.folder / f"{address}.log").open("wb") as log:
            self.processes[address] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cometdoor",
                role,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=os.environ | {"COMETDOOR_NODE_FILE": str(path)},
            )

    async def start_backend(self, address: str) -> None:
        await self.backends[address].start()

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        for backend in self.backends.values():
            backend.kill()

    async def configure(
        self, revision: int, base: int, within_s: float = 10.0, routes: list[dict[str, object]] | None = None
    ) -> int:
        """The status that the operator got in the end, following redirections and asking again as it may."""
        until = time.monotonic() + within_s
        address, tried = self.core[0], 0
        while time.monotonic() < until:
            try:
                status, fields, _ = await ask(
                    address,
                    CONTROL,
                    "POST",
                    "/Configuration.Replace",
                    {"Cometdoor-Base-Version": str(base)},
                    configuration(revision, routes),
                    1.5,
                )
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                status, fields = 0, {}
            if status == 307:
                address = fields["location"].removeprefix("http://").partition(":")[0]
                continue
            if status and status != 503:
                return status
            tried += 1
            address = self.core[tried % len(self.core)]
            await asyncio.sleep(0.2)
        return 0

    async def wait_ready(self, within_s: float = 10.0) -> bool:
        until = time.monotonic() + within_s
        for address in self.planes:
            while True:
                try:
                    status, _, _ = await ask(address, READY, "GET", "/readiness", {}, patience_s=1.0)
                except (OSError, TimeoutError, asyncio.IncompleteReadError):
                    status = 0
                if status == 200:
                    break
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.05)
        return True

    async def request(self, address: str, kind: str, key: str = "", tries: int = 2) -> int:
        """One client's request, tried again once as a client may; its last status, 0 for none."""
        self.ledger.asked += 1
        status = 0
        for _ in range(tries):
            status, pause_s = await self.one_try(address, kind, key)
            if status == 200:
                break
            await asyncio.sleep(pause_s)
        self.ledger.ends[status] += 1
        return status

    async def one_try(self, address: str, kind: str, key: str = "") -> tuple[int, float]:
        """Its status, 0 for none, and how long its client waits before it tries again."""
        ledger = self.ledger
        attempt = secrets.token_hex(8)
        headers = {"Host": HOST, "Cometdoor-Attempt-Id": attempt, "Cometdoor-Deadline-Ms": "2000"}
        if key:
            headers["Cometdoor-Idempotency-Key"] = key
        try:
            status, fields, body = await ask(
                address, OUT, "GET" if kind == "idempotent" else "POST", f"/{kind}/1", headers
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, 0.0
        if status == 200:
            seal = fields.get("cometdoor-response-seal", "")
            ran = ledger.seals.get(seal)
            if ran is None or ran.encode() != body or (not key and ran != attempt):
                ledger.broken.append(f"MIXED: {attempt} got the answer of {ran}")
        return status, float(fields.get("retry-after", "0.1"))

    async def traffic(
        self,
        seconds: float,
        per_s: float,
        then: dict[float, Callable[[], object]] | None = None,
        at: list[str] | None = None,
    ) -> None:
        """`then`: what is done so many seconds in. `at`: where clients are; None: at all data planes."""
        began = time.monotonic()
        due = dict(then or {})
        at = at or self.planes
        tasks: set[asyncio.Task[int]] = set()
        count = 0
        while (passed := time.monotonic() - began) < seconds:
            for moment in [moment for moment in due if moment <= passed]:
                due.pop(moment)()
            count += 1
            address = at[count % len(at)]
            kind = "keyed" if count % 4 == 0 else "idempotent"
            # Each key is asked for twice, at two proxies.
            key = f"k-{began:.0f}-{count // 8}" if kind == "keyed" else ""
            task = asyncio.create_task(self.request(address, kind, key))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1.0 / per_s)
        await asyncio.gather(*tasks)

    def account(self) -> list[str]:
        """What broke."""
        ledger = self.ledger
        twice = [key for key, runs in ledger.runs_of_key.items() if runs > 1]
        return [
            *ledger.broken,
            *(f"TWICE: {key}" for key in twice),
            *([f"{ledger.wrong_instance} requests at another instance"] if ledger.wrong_instance else []),
        ]


async def demo(seconds: float) -> int:
    def note(text: str) -> None:
        print(f"{time.monotonic() - began:6.1f} s  {text}", flush=True)

    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="cometdoor-") as name:
        mesh = Mesh(Path(name))
        try:
            note(f"{len(mesh.core)} core members and {len(mesh.planes)} data planes are started")
            await mesh.start()
            note(f"configuration 1 is sent: {await mesh.configure(1, 0)}")
            note(f"all data planes are ready: {await mesh.wait_ready()}")
            left = max(seconds - (time.monotonic() - began) - 1.0, 4.0)

            def kill_core() -> None:
                note(f"core member {mesh.core[0]} is killed")
                mesh.processes[mesh.core[0]].kill()

            def kill_backend() -> None:
                note(f"backend at {mesh.planes[1]} is killed")
                mesh.backends[mesh.planes[1]].kill()

            await mesh.traffic(left, 60.0, {left * 0.3: kill_core, left * 0.6: kill_backend})
            note(f"configuration 3 is sent on top of 1: {await mesh.configure(3, 1)}")
            note(f"another on top of 1, too late: {await mesh.configure(4, 1)}")
        finally:
            await mesh.stop()
        ledger, broken = mesh.ledger, mesh.account()
        served = ledger.ends[200]
        print(
            f"\n{ledger.asked} requests: {served} served; other ends: "
            f"{ {status: count for status, count in sorted(ledger.ends.items()) if status != 200} }"
        )
        runs, keys = sum(ledger.runs.values()), len(ledger.runs_of_key)
        print(
            "BROKEN: " + "; ".join(broken[:5])
            if broken
            else f"{runs} runs at the backends; {keys} keys, none run twice"
        )
        return 1 if broken or served < 0.9 * ledger.asked else 0


def run(seconds: float) -> int:
    return asyncio.run(demo(seconds))
