"""Fault: uploads inside `max-body-bytes` take the proxies over `memory-mb`, and the machine ends them.

24 clients of one machine upload a body of 5 MiB each at the same time, 120 MiB together; so it goes in turn
on two machines. The stand-in of the machines does what DEPLOY says: it kills a process that goes over its
`memory-mb`, and starts it again. Meanwhile other clients place orders with keys.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path

from review.stand_ins import BROKEN, HELD, MEMORY_MB, NOT_RUN, Answer, Deployment, document, main, route

SERVICE = "seats"
PIECE = b"x" * (64 << 10)
BODY_KIB = 5 << 10  # `max-body-bytes` is 64 MiB
SMALL_BODY_KIB = 64
CLIENTS = 24  # that upload at the same time, on one machine
ROUNDS = 2
UPLOAD_DEADLINE_MS = 10_000
MAX_TRIES = 3
ENDS_ALLOWED = 2  # "if processes end by themselves three times"
POLL_S = 0.002


def peak_memory_mb(pid: int) -> float:
    """Return the most memory that a process has had, as the kernel counts it."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


class Machines:
    """The machines' rule about memory, applied to the proxies."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.kills: Counter[str] = Counter()
        self.peaks: dict[str, float] = {}

    async def watch(self) -> None:
        """Kill each proxy that goes over `memory-mb`."""
        killed: set[int] = set()
        while True:
            for address in self.deployment.sidecars:
                process = self.deployment.processes[address]
                if process.returncode is not None or process.pid in killed:
                    continue
                try:
                    peak = peak_memory_mb(process.pid)
                except OSError:
                    continue
                self.peaks[address] = max(peak, self.peaks.get(address, 0.0))
                if peak > MEMORY_MB["dataplane"]:
                    killed.add(process.pid)
                    self.kills[address] += 1
                    self.deployment.record.add(
                        f"machine {address}: its proxy has {peak:.0f} MB, over memory-mb = "
                        f"{MEMORY_MB['dataplane']}, and is killed"
                    )
                    process.kill()
            await asyncio.sleep(POLL_S)


async def place_orders(deployment: Deployment, statuses: Counter[int]) -> None:
    """Place orders with keys on all machines; each that fails is tried again with its key."""
    count = 0
    while True:
        count += 1
        deployment.start_task(place_order(deployment, count, statuses))
        await asyncio.sleep(0.05)


async def place_order(deployment: Deployment, number: int, statuses: Counter[int]) -> None:
    """Place one order, with three tries at most within its deadline."""
    address = deployment.sidecars[number % len(deployment.sidecars)]
    until = time.monotonic() + 4.0
    answer = Answer(0)
    for _ in range(MAX_TRIES):
        answer = await deployment.request(address, "/order/1", key=f"o-{number}", body=[b"one seat"])
        if answer.status == 200 or time.monotonic() > until:
            break
        await asyncio.sleep(0.3)
    statuses[answer.status] += 1
    deployment.record.add(
        f"order: key o-{number}, id {answer.fields['sent-attempt']}, at {address} -> {answer.status} "
        f"{answer.error}"
    )


async def upload(deployment: Deployment, address: str, size_kib: int) -> None:
    """Upload one body; it is not tried again."""
    deployment.record.add(f"client at {address}: an upload of {size_kib} KiB begins")
    answer = await deployment.request(
        address, "/upload/1", body=[PIECE] * (size_kib // 64), deadline_ms=UPLOAD_DEADLINE_MS
    )
    deployment.record.add(
        f"client at {address}: upload {answer.fields['sent-attempt']} -> {answer.status} {answer.error}"
    )


async def case(deployment: Deployment, has_trouble: bool) -> int:
    """Play the case."""
    record = deployment.record
    for backend in deployment.backends.values():
        backend.service_time_s = 0.1
    routes = [
        route("order", "keyed", SERVICE),
        route("upload", "non_idempotent", SERVICE, UPLOAD_DEADLINE_MS / 1000.0),
    ]
    answer = await deployment.replace(document(1, routes, [SERVICE]), 0)
    if answer.status != 200 or not await deployment.wait_ready():
        return NOT_RUN
    await asyncio.sleep(2.0)
    machines = Machines(deployment)
    statuses: Counter[int] = Counter()
    deployment.start_task(machines.watch())
    orders = deployment.start_task(place_orders(deployment, statuses))
    await asyncio.sleep(1.0)
    size_kib = BODY_KIB if has_trouble else SMALL_BODY_KIB
    for _ in range(ROUNDS):
        for address in deployment.sidecars[:2]:
            await asyncio.gather(*(upload(deployment, address, size_kib) for _ in range(CLIENTS)))
            await asyncio.sleep(3.0)
            if not await deployment.wait_ready():
                return NOT_RUN
            await asyncio.sleep(2.0)
    orders.cancel()
    await asyncio.sleep(5.0)
    for run in deployment.runs():
        record.add(f"run: key {run.key or '-'}, id {run.attempt}, at {run.instance}, {run.body_bytes} bytes")
    record.add(f"orders by their last status (0: no answer): {dict(statuses)}")
    record.add(f"peak memory of the proxies in MB: { ({a: round(mb) for a, mb in machines.peaks.items()}) }")
    if len(deployment.ended) != sum(machines.kills.values()):
        record.add(f"processes ended that were not over memory-mb: {deployment.ended}")
    ends = sum(machines.kills.values())
    record.add(
        f"proxies that the machines ended for their memory: {ends} times, on {len(machines.kills)} machines"
    )
    if ends > ENDS_ALLOWED and len(machines.kills) >= 2:
        record.add("Fault: processes ended by themselves three times or more, on two machines or more")
        return BROKEN
    return HELD


if __name__ == "__main__":
    main(__file__, [SERVICE] * 3, case)
