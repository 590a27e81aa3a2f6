"""Agent of a backend: sends heartbeats to the local proxy, announces draining, and deregisters at the end."""

from __future__ import annotations

import asyncio
import json
import secrets
from typing import TYPE_CHECKING, NamedTuple

from cometdoor.client.connection import ConnectionFailed, request_once
from cometdoor.client.deprecated_names import accepts_former_keywords, instance_getattr

ACKNOWLEDGEMENT_TIMEOUT_S = 1.0  # for one heartbeat or deregistration
RETRY_INTERVAL_S = 0.1  # delay after a heartbeat that was not acknowledged


class HealthResponse(NamedTuple):
    """Response to a health check of the backend."""

    status: int
    headers: dict[str, str]


class BackendAgent:
    """Registers a backend with its local proxy, keeps it registered, and drains it before it ends.

    Run `run_heartbeats` as a task of its own, and await `drain` before the program ends.

    Parameters
    ----------
    control_address
        "host:port" of the proxy beside the backend.
    service, zone, revision
        Names in the mesh's configuration.
    address
        "host:port" on which the backend serves.
    capacity
        Requests that the backend serves concurrently, at least 1.
    heartbeat_s
        Seconds between heartbeats.
    warmup_s
        Seconds from the first heartbeat until the backend can take its full load.
    instance
        Id of this run of the backend; by default a random id.

    Raises
    ------
    ValueError
        If `capacity` is below 1.
    """

    if not TYPE_CHECKING:
        __getattr__ = instance_getattr(beat="run_heartbeats", health="health_response", say="send_heartbeat")

    @accepts_former_keywords(control="control_address")
    def __init__(
        self,
        control_address: str,
        *,
        service: str,
        address: str,
        zone: str,
        capacity: int,
        revision: str = "v1",
        heartbeat_s: float = 1.5,
        warmup_s: float = 0.0,
        instance: str | None = None,
    ) -> None:
        if capacity < 1:
            raise ValueError(f"capacity: {capacity} is not at least 1")
        self.instance = instance or "i-" + secrets.token_hex(8)
        self.is_draining = False
        self._control_address = control_address
        self._description = {
            "service": service,
            "address": address,
            "zone": zone,
            "revision": revision,
            "capacity": capacity,
        }
        self._heartbeat_s = heartbeat_s
        self._warmup_s = warmup_s
        self._started_at: float | None = None
        self._sequence = 0

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat and return whether it was acknowledged."""
        now = asyncio.get_running_loop().time()
        self._started_at = now if self._started_at is None else self._started_at
        self._sequence += 1
        heartbeat = {
            **self._description,
            "lifecycle-state": "draining" if self.is_draining else "ready",
            "warmup-left-s": max(self._warmup_s - (now - self._started_at), 0.0),
            "call-sequence": self._sequence,
        }
        return await self._post("Instances.Heartbeat", json.dumps(heartbeat).encode())

    async def run_heartbeats(self) -> None:
        """Send heartbeats until the task is cancelled."""
        while True:
            await asyncio.sleep(self._heartbeat_s if await self.send_heartbeat() else RETRY_INTERVAL_S)

    @accepts_former_keywords(within_s="timeout_s")
    async def drain(self, drain_s: float, timeout_s: float = 5.0) -> bool:
        """Announce draining, keep serving for `drain_s`, then deregister once.

        Parameters
        ----------
        drain_s
            Seconds to continue serving after the announcement was acknowledged or given up.
        timeout_s
            Seconds for which an unacknowledged announcement is repeated.

        Returns
        -------
        bool
            Whether the announcement was acknowledged; the backend may stop in either case.
        """
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + timeout_s
        self.is_draining = True
        while not (acknowledged := await self.send_heartbeat()) and loop.time() < deadline_at:
            await asyncio.sleep(RETRY_INTERVAL_S)
        await asyncio.sleep(drain_s)
        await self._post("Instances.Deregister", b"")
        return acknowledged

    def health_response(self) -> HealthResponse:
        """Return the response to a health check."""
        return HealthResponse(503 if self.is_draining else 200, {"Cometdoor-Instance-Id": self.instance})

    async def _post(self, call: str, body: bytes) -> bool:
        try:
            response = await request_once(
                self._control_address,
                "POST",
                f"/{call}/{self.instance}",
                {"Content-Type": "application/json"},
                body,
                ACKNOWLEDGEMENT_TIMEOUT_S,
            )
        except ConnectionFailed:
            return False
        return 200 <= response.status < 300
