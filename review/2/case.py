"""CONFIG: a valid change whose revision has 20 digits ends the work of the whole core for good.

An operator who numbers versions by the time of day (YYYYMMDDhhmmss and microseconds) sends a change on top of
the current version. Afterwards the configuration can't be read back, and no order with a key is taken.
"""

from __future__ import annotations

import asyncio
import time

from review.stand_ins import BROKEN, HELD, NOT_RUN, Deployment, document, main, route

SERVICE = "seats"
TIMESTAMP_REVISION = 20261204093000000000  # 2026-12-04 09:30:00.000000
ORDERS = 6
READ_BACK_S = 30.0  # the operator asks for `contact-s` (3) at least


async def place_orders(deployment: Deployment, name: str) -> int:
    """Send some orders with keys; return how many were served."""
    served = 0
    for index in range(ORDERS):
        address = deployment.sidecars[index % len(deployment.sidecars)]
        answer = await deployment.request(address, "/order/1", key=f"{name}-{index}", body=[b"one seat"])
        deployment.record.add(
            f"order: key {name}-{index}, id {answer.fields['sent-attempt']}, at {address} -> {answer.status} "
            f"{answer.error}"
        )
        served += answer.status == 200
    return served


async def case(deployment: Deployment, has_trouble: bool) -> int:
    """Play the case."""
    record = deployment.record
    routes = [route("order", "keyed", SERVICE)]
    answer = await deployment.replace(document(1, routes, [SERVICE]), 0)
    if answer.status != 200 or not await deployment.wait_ready():
        return NOT_RUN
    await asyncio.sleep(3.0)
    if await place_orders(deployment, "before") < ORDERS or await deployment.describe() != 1:
        return NOT_RUN
    revision = TIMESTAMP_REVISION if has_trouble else 2
    changed = [*routes, route("view", "idempotent", SERVICE)]
    answer = await deployment.replace(document(revision, changed, [SERVICE]), 1, within_s=15.0)
    may_be_in_force = {1, revision} if answer.status != 200 else {revision}
    await asyncio.sleep(5.0)
    started_at = time.monotonic()
    read = await deployment.describe(within_s=READ_BACK_S)
    record.add(f"the operator has asked for {time.monotonic() - started_at:.1f} s")
    served = await place_orders(deployment, "after")
    record.add(f"{served} of {ORDERS} orders after the change were served")
    for run in deployment.runs():
        record.add(f"run: key {run.key}, id {run.attempt}, at {run.instance}")
    for address in deployment.core:
        for line in deployment.log_lines(address, "Error", limit=2):
            record.add(f"log of {address}: {line}")
    if read is None:
        record.add("CONFIG: when read back, the configuration does not come")
        return BROKEN
    if read not in may_be_in_force:
        record.add(f"CONFIG: revision {read} was read back instead of {sorted(may_be_in_force)}")
        return BROKEN
    return HELD


if __name__ == "__main__":
    main(__file__, [SERVICE] * 3, case)
