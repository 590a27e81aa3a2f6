"""A proxy on loopback sockets with fake backends, fake discovery and an optional scripted balancer."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

import uvloop

from cometdoor.balancing import api
from cometdoor.discovery.config import read_config
from cometdoor.discovery.node import Node
from cometdoor.host.fair_share import DescriptorQuota
from cometdoor.http.frontend import Frontend
from cometdoor.http.service import HttpService
from tests.balancing.test_simulator_adapter import INFO

LANES = [
    {**INFO["lanes"][0], "name": "read"},  # type: ignore[index]
    {**INFO["lanes"][1], "name": "book"},  # type: ignore[index]
    {**INFO["lanes"][2], "name": "pay"},  # type: ignore[index]
]


TRACE_IDS = itertools.count(1)  # each request gets a new id


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        await asyncio.wait_for(test(), 30.0)

    uvloop.run(limited())


def encode_head(*lines: str) -> bytes:
    return "\r\n".join([*lines, "", ""]).encode()


class Message:
    """A request or a response as received on a socket."""

    def __init__(self, start_line: bytes, headers: dict[str, str], body: bytes) -> None:
        self.start_line, self.headers, self.body = start_line, headers, body

    @property
    def status(self) -> int:
        return int(self.start_line.split()[1])

    @staticmethod
    async def read(reader: asyncio.StreamReader) -> Message:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        }
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Message(head[0].encode(), headers, body)


@dataclass
class ReceivedRequest:
    """A request that a backend or discovery has received, to which the test responds."""

    message: Message
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    connection_number: int
    closed_event: asyncio.Event  # set when the proxy has closed the connection

    def reply(self, status: int = 200, body: bytes = b"", *headers: str) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
        self.writer.write("\r\n".join(lines).encode() + body)

    def write_chunk(self, data: bytes) -> None:
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def open_stream(self) -> None:
        self.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def send_endpoints(self, revision: int, complete: bool, *members: dict[str, Any]) -> None:
        line = {"revision": revision, "complete": complete, "members": members}
        self.write_chunk(json.dumps(line).encode() + b"\n")

    def reset(self) -> None:
        self.writer.transport.abort()

    async def wait_closed(self) -> None:
        await self.closed_event.wait()


class FakeServer:
    """A server that queues received requests for the test."""

    def __init__(self) -> None:
        self.calls: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
        self.connection_count = 0
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> FakeServer:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        number, closed_event = self.connection_count, asyncio.Event()
        try:
            while True:
                message = await Message.read(reader)
                self.calls.put_nowait(ReceivedRequest(message, reader, writer, number, closed_event))
        except (asyncio.IncompleteReadError, ConnectionError):
            closed_event.set()
            writer.close()

    async def next(self) -> ReceivedRequest:
        return await self.calls.get()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


class ScriptedBalancer:
    """Replaces the decision module: records each event and returns the actions that the test defines."""

    def __init__(self) -> None:
        self.events: list[api.Event] = []
        self.event_queue: asyncio.Queue[api.Event] = asyncio.Queue()
        self.react: Callable[[api.Event], list[api.Action]] = lambda event: []
        self.is_handling = False

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        assert not self.is_handling, "the balancer was called during another call"
        self.is_handling = True
        try:
            self.events.append(event)
            self.event_queue.put_nowait(event)
            return self.react(event)
        finally:
            self.is_handling = False

    async def wait_for(self, event_type: type[Any]) -> Any:
        while True:
            event = await self.event_queue.get()
            if isinstance(event, event_type):
                return event

    def outcomes(self) -> list[tuple[int, api.Outcome, bool]]:
        return [(e.attempt, e.outcome, e.is_final) for e in self.events if isinstance(e, api.AttemptEnded)]

    @contextmanager
    def installed(self) -> Iterator[ScriptedBalancer]:
        with mock.patch("cometdoor.host.balancer_host.Balancer", lambda settings, seed: self):
            yield self


def send_all_to(server: str, timeout_ms: float = 0.0) -> Callable[[api.Event], list[api.Action]]:
    """Return a `react` function that sends each request to one server and fails it if its attempt fails."""

    def react(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.RequestArrived):
            return [api.Send(event.request, server, timeout_ms)]
        if isinstance(event, api.AttemptEnded) and not event.is_final:
            return [api.Fail(event.request)]
        return []

    return react


def endpoint_entry(name: str, address: str, **changes: Any) -> dict[str, Any]:
    return {
        "id": name,
        "host_port": address,
        "locality": "a",
        "flavor": "std",
        "cell": 3,
        "phase": "in_service",
        "size": 1.0,
        "up_since_ms": 0,
        **changes,
    }


def make_config(
    listen: str, discovery: str, *members: dict[str, Any], sockets: int = 1024, **settings: Any
) -> dict[str, Any]:
    limits = {**INFO["limits"], **settings.pop("limits", {})}  # type: ignore[dict-item]
    settings["discovery"] = settings.pop("discovery_mode", "automatic")
    return {
        "name": "n1",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "a_key_to_come": {},
        "known": {"revision": 41, "complete": True, "members": list(members)},
        "settings": {**INFO, "lanes": LANES, "limits": limits, **settings},
    }


class ProxyClient:
    """A client of the proxy on one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send_request(
        self,
        request_class: str = "read",
        body: bytes = b"",
        *extra_headers: str,
        trace_id: str = "",
        remaining_s: str = "5.0",
    ) -> None:
        lines = [
            f"{'GET' if request_class == 'read' else 'POST'} /{request_class}/7f3a?x=%201 HTTP/1.1",
            "Host: app.svc",
            f"X-Trace-Id: {trace_id or next(TRACE_IDS)}",
            f"X-Qos: {request_class}",
            f"X-Expires-In: {remaining_s}",
            *extra_headers,
        ]
        if request_class == "book":
            lines.append("Idempotency-Key: 5c0f")
        if request_class != "read":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def read_response(self) -> Message:
        return await Message.read(self.reader)

    async def is_closed_by_proxy(self) -> bool:
        try:
            return await self.reader.read(1) == b""
        except ConnectionError:
            return True


class ProxyHarness:
    """The platform's proxy, with its frontend, service and descriptor quota."""

    def __init__(self) -> None:
        self.node: Node
        self.frontend: Frontend
        self.service: HttpService
        self.descriptors: DescriptorQuota

    async def start(
        self,
        *members: dict[str, Any],
        discovery: str = "127.0.0.1:1",
        sockets: int = 1024,
        is_polled: bool = False,
        **settings: Any,
    ) -> ProxyHarness:
        settings["discovery_mode"] = "subscribe" if is_polled else "automatic"
        config = read_config(make_config("127.0.0.1:1", discovery, *members, sockets=sockets, **settings), {})
        self.node = Node(config, asyncio.get_running_loop())
        self.frontend, self.service, self.descriptors = (
            self.node.frontend,
            self.node.service,
            self.node.descriptors,
        )
        await self.node.start(("127.0.0.1", 0))
        return self

    async def connect(self) -> ProxyClient:
        return ProxyClient(*await asyncio.open_connection(*self.frontend.address()))


@asynccontextmanager
async def proxy_with_one_server(
    **settings: Any,
) -> AsyncIterator[tuple[FakeServer, ScriptedBalancer, ProxyHarness, ProxyClient]]:
    """Provide a server, a balancer that sends all requests to it, the proxy, and a client of the proxy."""
    server = await FakeServer().start()
    with ScriptedBalancer().installed() as scripted_balancer:
        scripted_balancer.react = send_all_to("s1")
        proxy_harness = await ProxyHarness().start(endpoint_entry("s1", server.address), **settings)
        yield server, scripted_balancer, proxy_harness, await proxy_harness.connect()
