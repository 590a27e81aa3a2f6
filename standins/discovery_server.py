"""Stand-in for the platform's discovery: endpoint lists and watches, which tests can delay or interrupt."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any

KEEPALIVE_INTERVAL_S = 2.0  # between the empty lines that a watch gets while nothing changes


class DiscoveryServer:
    """A discovery service on loopback; the test publishes the changes of its lists."""

    def __init__(self, notification_delay_s: float = 0.0) -> None:
        self.notification_delay_s = notification_delay_s  # delay before watches are notified of a change
        self.address = ("127.0.0.1", 0)
        self.revision = 1
        self.notified_at: dict[tuple[str, str], float] = {}  # (server, phase) -> first notification
        self._members: dict[str, dict[str, Any]] = {}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._watches: dict[asyncio.StreamWriter, None] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> DiscoveryServer:
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    def stop(self) -> None:
        """Stop: abort all watches and refuse new connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._watches):
            writer.transport.abort()
        self._watches.clear()

    def host_port(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"

    def publish(self, name: str, address: str, phase: str = "in_service", **more: Any) -> None:
        member = {
            "id": name,
            "host_port": address,
            "locality": "a",
            "flavor": "std",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
            **more,
        }
        self.revision += 1
        if phase == "terminated":
            self._members.pop(name, None)
        else:
            self._members[name] = member
        self._changes.append((self.revision, member))
        asyncio.get_running_loop().call_later(self.notification_delay_s, self._notify, self.revision, member)

    def _notify(self, revision: int, member: dict[str, Any]) -> None:
        line = self._encode_line(revision, False, [member])
        for writer in list(self._watches):
            writer.write(line)
            self.notified_at.setdefault((member["id"], member["phase"]), time.monotonic())

    @staticmethod
    def _encode_line(revision: int, complete: bool, members: list[dict[str, Any]]) -> bytes:
        text = json.dumps({"revision": revision, "complete": complete, "members": members}).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(text), text)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            query = head.split(b" ")[1].partition(b"?")[2]
            if b"stream=1" not in query:
                text = json.dumps(
                    {"revision": self.revision, "complete": True, "members": list(self._members.values())}
                ).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
                    % (len(text), text)
                )
                await writer.drain()
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(self._encode_line(self.revision, True, list(self._members.values())))
            self._watches[writer] = None
            while True:
                await asyncio.sleep(KEEPALIVE_INTERVAL_S)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        except asyncio.CancelledError:
            pass  # the loop is closing; if it propagated, asyncio's own callback would print it
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            RuntimeError,
        ):  # uvloop raises RuntimeError on a closed transport
            with contextlib.suppress(ConnectionError):
                writer.close()
        finally:
            self._watches.pop(writer, None)
