"""Services on loopback sockets: the proxy, stand-in servers and clients in one event loop."""

from __future__ import annotations

import asyncio
import tomllib
from collections.abc import Iterable
from typing import Any

from cometdoor.services.service_manager import ServiceManager
from cometdoor.services.settings import Settings, read_settings
from standins.http_server import StandInServer
from standins.load_generator import ClassLoad, LoadGenerator
from standins.request_log import RequestLog
from standins.server_model import Behaviour, KeyStore, ServerModel, SlowStart, exponential

CLASSES = {
    "look": {"effect": "safe", "aim_ms": 300.0, "deadline_ms": 1000.0},
    "book": {
        "effect": "keyed",
        "aim_ms": 300.0,
        "deadline_ms": 1000.0,
        "worth": 10.0,
        "key_ttl_ms": 30_000.0,
    },
    "charge": {"effect": "unsafe", "aim_ms": 300.0, "deadline_ms": 1000.0, "worth": 10.0},
}


def to_toml(value: Any) -> str:
    """Return a value as TOML with inline tables; supports what the configurations of tests need."""
    if isinstance(value, dict):
        return "{" + ", ".join(f'"{key}" = {to_toml(item)}' for key, item in value.items()) + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(to_toml, value)) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else repr(value)


def encode_settings_file(content: dict[str, Any]) -> bytes:
    text = "\n".join(f"{key} = {to_toml(value)}" for key, value in content.items())
    assert tomllib.loads(text) == content
    return text.encode()


class StandInService:
    """One service's stand-in servers, which share a request log and idempotency keys."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.request_log = RequestLog()
        self.keys = KeyStore()
        self.servers: list[StandInServer] = []

    async def add(
        self,
        count: int,
        *,
        seconds: float = 0.002,
        slow_start: SlowStart | None = None,
        started_at: float = float("-inf"),
        **behaviour: Any,
    ) -> StandInService:
        for _ in range(count):
            model = ServerModel(
                f"{self.name}-{len(self.servers)}",
                self.request_log,
                keys=self.keys,
                slow_start=slow_start,
                behaviour=Behaviour(latency=exponential(seconds), **behaviour),
                started_at=started_at,
            )
            self.servers.append(await StandInServer(model).start())
        return self

    def freeze(self) -> None:
        for server in self.servers:
            server.freeze()

    def thaw(self) -> None:
        for server in self.servers:
            server.thaw()

    def stop(self) -> None:
        for server in self.servers:
            server.stop()

    def server_entries(self) -> list[dict[str, Any]]:
        return [{"name": server.model.name, "address": server.host_port()} for server in self.servers]

    def entry(self, **overrides: Any) -> dict[str, Any]:
        """Return the service's part of an operators' file: routed by host, with all classes."""
        entry = {
            "name": self.name,
            "classes": CLASSES,
            "routes": [{"host": f"{self.name}.example.org"}],
            "servers": self.server_entries(),
            **overrides,
        }
        return {key: value for key, value in entry.items() if value is not None}

    def load(self, *rates: float) -> list[ClassLoad]:
        """Return load of the classes look, book and charge at these rates, in requests per second."""
        return [
            ClassLoad(
                self.name, name, str(CLASSES[name]["effect"]), rate, f"{self.name}.example.org", f"/{name}/1"
            )
            for name, rate in zip(CLASSES, rates, strict=False)
        ]


def make_settings(*entries: dict[str, Any], **overrides: Any) -> Settings:
    content = {"listener": [{"address": "127.0.0.1:1"}], "service": list(entries), **overrides}
    return read_settings(encode_settings_file(content), "test.toml")


class ServicesHarness:
    """A proxy in front of stand-in services."""

    def __init__(self, settings: Settings) -> None:
        self.services = ServiceManager(settings, asyncio.get_running_loop())

    async def start(self) -> ServicesHarness:
        for service in self.services.running.values():
            service.start()
        await self.services.frontend.listen("127.0.0.1", 0)
        return self

    @property
    def address(self) -> tuple[str, int]:
        return self.services.frontend.address()

    def load(self, classes: Iterable[ClassLoad], seed: int = 1, name: str = "c") -> LoadGenerator:
        return LoadGenerator(self.address, list(classes), seed, name)

    async def send_request(self, *lines: str, body: bytes = b"") -> bytes:
        """Send one request on its own connection; return all bytes that are received."""
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write("\r\n".join([*lines, "Connection: close", "", ""]).encode("latin-1") + body)
        response = await reader.read()
        writer.close()
        return response

    async def status(self, *lines: str, body: bytes = b"") -> int:
        return int((await self.send_request(*lines, body=body)).split(b" ")[1])
