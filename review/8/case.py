"""Clients send bodies that the configuration allows; the platform ends processes over their memory."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins_2 import (
    HAS_TROUBLE,
    HOST,
    OUTBOUND_PORT,
    Mesh,
    call,
    configuration,
    enforce_memory,
    new_attempt,
    play,
    route,
)

MAX_BODY_BYTES = 67_108_864  # `max-body-bytes` of the configuration in force
BODY_BYTES = 62 << 20 if HAS_TROUBLE else 20 << 10
UPLOADS_PER_MACHINE = 3


async def send(mesh: Mesh, address: str, path: str, body: bytes, key: str = "") -> str:
    """Send one request; return its status, or how its connection ended."""
    headers = {"Host": HOST, "Cometdoor-Attempt-Id": new_attempt(), "Cometdoor-Deadline-Ms": "4000"}
    if key:
        headers["Cometdoor-Idempotency-Key"] = key
    try:
        answer = await call(address, OUTBOUND_PORT, "POST", path, headers=headers, body=body, timeout_s=5.0)
        result = str(answer.status)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        result = type(error).__name__
    attempt = headers["Cometdoor-Attempt-Id"]
    mesh.record.write(f"client at {address}: POST {path} {attempt} with {len(body)} bytes got {result}")
    return result


async def send_purchases(mesh: Mesh, address: str, results: dict[str, int]) -> None:
    """Send small keyed requests from other clients of the same machine, each once."""
    number = 0
    while True:
        number += 1
        result = await send(mesh, address, "/confirm/1", b"seat", f"{address}-{number}")
        results[result] = results.get(result, 0) + 1
        await asyncio.sleep(0.02)


async def case(mesh: Mesh) -> bool:
    """Return whether fewer than three processes of two machines ended over their memory."""
    await mesh.start()
    routes = [route("upload", "idempotent", "pitchbook"), route("confirm", "keyed", "pitchbook")]
    if await mesh.replace(0, configuration(1, routes)) != 200 or not await mesh.wait_ready():
        raise RuntimeError("the mesh did not start")
    await asyncio.sleep(4.0)
    ended: list[str] = []
    purchases: dict[str, int] = {}
    uploaders = mesh.sides[:2]
    tasks = [asyncio.create_task(enforce_memory(mesh, ended))]
    tasks += [asyncio.create_task(send_purchases(mesh, address, purchases)) for address in uploaders]
    await asyncio.sleep(0.5)
    for _ in range(UPLOADS_PER_MACHINE):
        for address in uploaders:
            await send(mesh, address, "/upload/1", b"x" * BODY_BYTES)
        await asyncio.sleep(4.0)
    await asyncio.sleep(1.0)
    for task in tasks:
        if task.done() and not task.cancelled() and task.exception() is not None:
            raise RuntimeError("a stand-in failed") from task.exception()
        task.cancel()
    mesh.record.say(
        f"{UPLOADS_PER_MACHINE * len(uploaders)} requests of {BODY_BYTES} bytes (max-body-bytes is "
        f"{MAX_BODY_BYTES}): {len(ended)} ends over the memory limit on {len(set(ended))} machines; "
        f"small purchases: {purchases}"
    )
    return not (len(ended) >= 3 and len(set(ended)) >= 2)


play(__file__, case, side_count=4)
