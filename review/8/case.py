"""The disk of one core machine is lost in the first seconds of the first start."""

from __future__ import annotations

import asyncio
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins_2 import HAS_TROUBLE, HOST, OUTBOUND_PORT, Mesh, call, configuration, new_attempt, play, route

LOST_AFTER_S = 0.3  # from the start of the processes
DOWN_S = 1.0
OPERATOR_S = 60.0  # for which the operator goes on sending the first configuration
REQUESTS = 40


async def lose_disk(mesh: Mesh, address: str) -> None:
    """Lose a machine with its disk; it starts again at its address, empty, as the pages say."""
    mesh.send_signal(address, signal.SIGKILL)
    await mesh.processes[address].wait()
    shutil.rmtree(mesh.data_directory(address))
    mesh.record.write(f"platform: the disk of {address} is lost")
    await asyncio.sleep(DOWN_S)
    await mesh.start_process(address, initial_start=False)


async def case(mesh: Mesh) -> bool:
    """Return whether any request was served."""
    record = mesh.record
    await mesh.start()
    if HAS_TROUBLE:
        await asyncio.sleep(LOST_AFTER_S)
        await lose_disk(mesh, min(mesh.core))
    started_at = time.monotonic()
    try:
        status = await mesh.replace(
            0, configuration(1, [route("search", "idempotent", "pitchbook")]), OPERATOR_S
        )
        record.say(
            f"operator: the first configuration got {status} after {time.monotonic() - started_at:.1f} s"
        )
    except TimeoutError:
        record.say(f"operator: the first configuration got no acknowledgement in {OPERATOR_S:.0f} s")
    await asyncio.sleep(2.0)
    statuses: dict[int, int] = {}
    for number in range(REQUESTS):
        headers = {"Host": HOST, "Cometdoor-Attempt-Id": new_attempt(), "Cometdoor-Deadline-Ms": "3000"}
        answer = await call(
            mesh.sides[number % len(mesh.sides)], OUTBOUND_PORT, "GET", "/search/1", headers=headers
        )
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
        record.write(f"client: {headers['Cometdoor-Attempt-Id']} got {answer.status}")
        await asyncio.sleep(0.1)
    running = [address for address, process in mesh.processes.items() if process.returncode is None]
    record.say(f"{len(running)} of {len(mesh.processes)} processes run; {REQUESTS} requests got {statuses}")
    return statuses.get(200, 0) > 0


play(__file__, case, side_count=2)
