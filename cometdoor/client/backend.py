"""A backend's side: it tells the proxy beside it that it is there, drains before its end, and signs off."""

from __future__ import annotations

import asyncio
import json
import secrets

from cometdoor.client.wire import Broken, ask_once

ACKNOWLEDGED_WITHIN_S = 1.0
AGAIN_S = 0.1


class BackendSide:
    """`beat()` runs as a task of its own; `drain()` is awaited before the program ends."""

    def __init__(
        self,
        control: str,
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
        """`control`: "host:port" of the proxy beside it; `address`: its own, where it serves."""
        if capacity < 1:
            raise ValueError(f"capacity: {capacity} is not at least 1")
        self.instance = instance or "i-" + secrets.token_hex(8)
        self.is_draining = False
        self._control = control
        self._said = {
            "service": service,
            "address": address,
            "zone": zone,
            "revision": revision,
            "capacity": capacity,
        }
        self._heartbeat_s = heartbeat_s
        self._warmup_s = warmup_s
        self._began: float | None = None
        self._sequence = 0

    async def say(self) -> bool:
        """One beat; whether it was acknowledged."""
        now = asyncio.get_running_loop().time()
        self._began = now if self._began is None else self._began
        self._sequence += 1
        beat = {
            **self._said,
            "lifecycle-state": "draining" if self.is_draining else "ready",
            "warmup-left-s": max(self._warmup_s - (now - self._began), 0.0),
            "call-sequence": self._sequence,
        }
        return await self._post("Instances.Heartbeat", json.dumps(beat).encode())

    async def beat(self) -> None:
        """Until it is cancelled."""
        while True:
            await asyncio.sleep(self._heartbeat_s if await self.say() else AGAIN_S)

    async def drain(self, drain_s: float, within_s: float = 5.0) -> bool:
        """Say that it leaves, serve on for `drain_s` after that was heard, sign off. Whether it was heard; if
        not, it may end all the same."""
        loop = asyncio.get_running_loop()
        until = loop.time() + within_s
        self.is_draining = True
        while not (heard := await self.say()) and loop.time() < until:
            await asyncio.sleep(AGAIN_S)
        await asyncio.sleep(drain_s)
        await self._post("Instances.Deregister", b"")
        return heard

    def health(self) -> tuple[int, dict[str, str]]:
        """What to answer at the health path: status and fields."""
        return 503 if self.is_draining else 200, {"Cometdoor-Instance-Id": self.instance}

    async def _post(self, call: str, body: bytes) -> bool:
        try:
            answer = await ask_once(
                self._control,
                "POST",
                f"/{call}/{self.instance}",
                {"Content-Type": "application/json"},
                body,
                ACKNOWLEDGED_WITHIN_S,
            )
        except Broken:
            return False
        return 200 <= answer.status < 300
