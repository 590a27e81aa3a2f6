"""A stand-in backend of the mesh, and the log of executions at backends and results at clients."""

from __future__ import annotations

import asyncio
import hashlib
import json
import secrets
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.executions import Execution
from standins.http_client import Headers, http_request, read_message

CONTROL_PORT, READINESS_PORT, OUTBOUND_PORT, INTERNAL_PORT, APPLICATION_PORT = (
    18144,
    18141,
    18147,
    17380,
    18145,
)


DIGEST_HEADER = "x-body-digest"  # of a client: digest of the body that it sends
PADDING = b"."  # pads the body of a response to its size
SERVICE, HOST = "pitches", "pitches.example"


def body_digest(body: bytes) -> str:
    """Return the digest of a body for `DIGEST_HEADER`."""
    return hashlib.sha256(body).hexdigest()


@dataclass
class TrafficLog:
    """Executions as logged by the backends, and results as logged by the clients."""

    runs: Counter[str] = field(default_factory=Counter)  # attempt id -> executions
    runs_by_key: Counter[str] = field(default_factory=Counter)
    executions: list[Execution] = field(default_factory=list)  # in order
    sent_at: dict[str, float] = field(default_factory=dict)  # by attempt id, when its client sent it
    seals: dict[str, str] = field(default_factory=dict)  # seal of a response -> attempt id
    nested_attempts: set[str] = field(default_factory=set)  # attempt ids of calls that backends made
    misrouted_requests: int = 0
    request_count: int = 0
    status_counts: Counter[int] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def record_execution(self, attempt: str, key: str) -> None:
        """Count an execution that starts now."""
        self.runs[attempt] += 1
        if key:
            self.runs_by_key[key] += 1
        self.executions.append(Execution(attempt, key, time.monotonic()))


class Backend:
    """A stand-in backend beside a data plane: it sends heartbeats and serves requests."""

    def __init__(self, address: str, traffic_log: TrafficLog, service: str = SERVICE) -> None:
        self.address = address
        self.service = service
        self.instance = "i-" + secrets.token_hex(5)
        self.capacity = 6
        self.state = "ready"
        self.service_time_s: Callable[[], float] = lambda: 0.02
        self.calls: list[str] = []  # paths that each execution calls through the mesh, concurrently
        self.body_bytes: dict[
            str, int
        ] = {}  # minimum size of a response's body, by the first segment of the path
        # Silence in the middle of a response in seconds, by the first segment of the path.
        self.response_pause_s: dict[str, float] = {}
        self.responses_to_drop = 0  # how many of the next responses are not sent
        self.heartbeat_interval_s = 0.5
        self.runs = 0
        self.drain_acknowledged_at: float | None = None  # when its draining heartbeat was acknowledged
        self.last_run_at = 0.0
        self.health_checks_answered = 0  # responses at its health path
        self._traffic_log = traffic_log
        self._server: asyncio.Server | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._sequence = 0
        self._call_count = 0

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.address, APPLICATION_PORT)

    async def start(self) -> None:
        await self.listen()
        self._heartbeat_task = asyncio.create_task(self._run_heartbeats())

    def kill(self) -> None:
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        for writer in list(self._connections):
            writer.transport.abort()

    async def send_heartbeat(self) -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        heartbeat = {
            "service": self.service,
            "address": f"{self.address}:{APPLICATION_PORT}",
            "zone": "here",
            "revision": "v1",
            "capacity": self.capacity,
            "lifecycle-state": self.state,
            "warmup-left-s": 0,
            "call-sequence": self._sequence,
        }
        try:
            status, _, _ = await http_request(
                self.address,
                CONTROL_PORT,
                "POST",
                f"/Instances.Heartbeat/{self.instance}",
                {},
                json.dumps(heartbeat).encode(),
                1.0,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def drain(self, drain_s: float) -> None:
        """Shut down gracefully: announce draining, keep serving, deregister, stop."""
        self.state = "draining"
        while not await self.send_heartbeat():
            await asyncio.sleep(0.1)
        self.drain_acknowledged_at = time.monotonic()
        await asyncio.sleep(drain_s + 0.3)
        await http_request(self.address, CONTROL_PORT, "POST", f"/Instances.Deregister/{self.instance}", {})
        self.kill()

    async def _run_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self.heartbeat_interval_s if await self.send_heartbeat() else 0.1)

    async def _call_service(self, path: str, fields: Headers) -> bool:
        self._call_count += 1
        headers = {
            "Host": HOST,
            "Cometdoor-Attempt-Id": f"{self.instance}-{self._call_count}",
            "Cometdoor-Deadline-Ms": fields.get("cometdoor-deadline-ms", "1000"),
        }
        self._traffic_log.nested_attempts.add(headers["Cometdoor-Attempt-Id"])
        try:
            status, _, _ = await http_request(self.address, OUTBOUND_PORT, "GET", path, headers)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while True:
                _, fields, request_body = await read_message(reader)
                if fields[""].startswith("GET /health "):
                    self.health_checks_answered += 1
                    status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
                    writer.write(
                        f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n"
                        f"Cometdoor-Instance-Id: {self.instance}\r\n\r\n".encode()
                    )
                    continue
                if "cometdoor-attempt-id" not in fields:
                    writer.write(
                        b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nCometdoor-Not-Executed: 1\r\n\r\n"
                    )
                    continue
                if fields.get("cometdoor-expected-instance") != self.instance:
                    self._traffic_log.misrouted_requests += 1
                    writer.write(
                        f"HTTP/1.1 421 X\r\nContent-Length: 0\r\nCometdoor-Not-Executed: 1\r\n"
                        f"Cometdoor-Attempt-Id: {fields['cometdoor-attempt-id']}\r\n\r\n".encode()
                    )
                    continue
                attempt, key = fields["cometdoor-attempt-id"], fields.get("cometdoor-idempotency-key", "")
                digest = fields.get(DIGEST_HEADER, body_digest(request_body))
                if digest != body_digest(request_body):
                    self._traffic_log.violations.append(
                        f"changed: {attempt} was executed with {len(request_body)} bytes of another body"
                    )
                self._traffic_log.record_execution(attempt, key)
                self.runs += 1
                self.last_run_at = time.monotonic()
                results = await asyncio.gather(*(self._call_service(path, fields) for path in self.calls))
                await asyncio.sleep(self.service_time_s())
                if self.responses_to_drop:
                    self.responses_to_drop -= 1
                    return
                if not all(results):
                    writer.write(
                        f"HTTP/1.1 500 X\r\nContent-Length: 0\r\n"
                        f"Cometdoor-Attempt-Id: {attempt}\r\n\r\n".encode()
                    )
                    continue
                kind = fields[""].split("/")[1]
                body = attempt.encode().ljust(self.body_bytes.get(kind, 0), PADDING)
                seal = secrets.token_hex(6)
                self._traffic_log.seals[seal] = attempt
                response = (
                    f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
                    f"Cometdoor-Attempt-Id: {attempt}\r\n"
                    f"Cometdoor-Response-Seal: {seal}\r\n\r\n".encode()
                    + body
                )
                if pause_s := self.response_pause_s.get(kind, 0.0):
                    writer.write(response[: len(response) // 2])
                    await asyncio.sleep(pause_s)
                    response = response[len(response) // 2 :]
                writer.write(response)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()
