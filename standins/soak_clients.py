"""Clients of a soak test that keep their connections, and clients that leave in the middle of a body."""

from __future__ import annotations

import asyncio
import secrets

from standins.http_client import Headers, read_message
from standins.mesh_backend import HOST, OUTBOUND_PORT, TrafficLog

ANSWER_TIMEOUT_S = 3.0
DEADLINE_MS = 2000
REOPEN_DELAY_S = 0.2


def request_head(path: str, headers: Headers) -> bytes:
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", *(f"{name}: {headers[name]}" for name in headers)]
    return "\r\n".join([*lines, "", ""]).encode()


class KeptConnectionClient:
    """Sends one request after the other on one connection, until the proxy closes it or is gone.

    It doesn't care whether the proxy is being replaced. Each response must be that to its own request.
    """

    def __init__(self, address: str, kind: str, traffic_log: TrafficLog) -> None:
        self._address = address
        self._kind = kind
        self._traffic_log = traffic_log
        self.served_count = self.opened_count = 0

    async def run(self, pause_s: float) -> None:
        """Send requests until cancelled."""
        while True:
            try:
                await self._use_connection(pause_s)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(REOPEN_DELAY_S)

    async def _use_connection(self, pause_s: float) -> None:
        reader, writer = await asyncio.open_connection(self._address, OUTBOUND_PORT)
        self.opened_count += 1
        try:
            while True:
                attempt = secrets.token_hex(8)
                headers = {
                    "Cometdoor-Attempt-Id": attempt,
                    "Cometdoor-Deadline-Ms": str(DEADLINE_MS),
                    "Content-Length": "0",
                }
                writer.write(request_head(f"/{self._kind}/1", headers))
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    status, fields, _ = await read_message(reader)
                self._check(attempt, status, fields)
                await asyncio.sleep(pause_s)
        finally:
            writer.close()

    def _check(self, attempt: str, status: int, fields: Headers) -> None:
        if status != 200:
            return
        self.served_count += 1
        executed_attempt = self._traffic_log.seals.get(fields.get("cometdoor-response-seal", ""))
        if executed_attempt != attempt:
            self._traffic_log.violations.append(
                f"mixed up: {attempt}, on a kept connection, received the response to {executed_attempt}"
            )


async def leave_halfway(address: str, kind: str, body: bytes, silent_s: float) -> None:
    """Send half of a body, be silent, and leave."""
    try:
        _, writer = await asyncio.open_connection(address, OUTBOUND_PORT)
    except OSError:
        return
    headers = {"Cometdoor-Attempt-Id": secrets.token_hex(8), "Content-Length": str(len(body))}
    writer.write(request_head(f"/{kind}/1", headers) + body[: len(body) // 2])
    await asyncio.sleep(silent_s)
    writer.close()
