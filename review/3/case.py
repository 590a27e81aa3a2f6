"""CONFIG: after a change that sets a route's `target-latency-s` to 0, its orders are never answered.

The change is acknowledged. Each order that comes then has no answer half a second after its route's
`timeout-s`, nor later. When the operator has set the target back, tries with the same keys are in vain.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from review.stand_ins import BOUNDS, BROKEN, HELD, NOT_RUN, Deployment, document, main, route

SERVICE = "seats"
TIMEOUT_S = 2.0  # `timeout-s` of the route
DEADLINE_MS = 4000  # of the clients
TARGET_S, OTHER_TARGET_S = 0.3, 0.4
ORDERS = 24
LATE_S = 0.5  # after `timeout-s`
ALLOWED_WITHOUT_ANSWER = 7  # "eight or more of them, and over a quarter"


@dataclass
class Outcome:
    """The end of one try: its status (0: no answer) and how long it took."""

    status: int
    seconds: float


async def place_order(deployment: Deployment, key: str, machine: int, text: str) -> Outcome:
    """Send one order and wait for its answer until its deadline."""
    address = deployment.sidecars[machine % len(deployment.sidecars)]
    sent_at = time.monotonic()
    answer = await deployment.request(
        address, "/order/1", key=key, deadline_ms=DEADLINE_MS, body=[b"one seat"]
    )
    seconds = time.monotonic() - sent_at
    deployment.record.add(
        f"{text}: key {key}, id {answer.fields['sent-attempt']}, at {address} -> {answer.status} after "
        f"{seconds:.2f} s {answer.error}"
    )
    return Outcome(answer.status, seconds)


async def place_orders(deployment: Deployment, name: str, text: str) -> list[Outcome]:
    """Send some orders to all machines in turn."""
    tasks = []
    for index in range(ORDERS):
        tasks.append(asyncio.create_task(place_order(deployment, f"{name}-{index}", index, text)))
        await asyncio.sleep(0.05)
    return await asyncio.gather(*tasks)


async def change_target(deployment: Deployment, revision: int, target_s: float) -> int:
    """Send a configuration with that target for the orders' route, and wait until it is in force."""
    routes = [route("order", "keyed", SERVICE, TIMEOUT_S, target_latency_s=target_s)]
    answer = await deployment.replace(document(revision, routes, [SERVICE]), revision - 1)
    await asyncio.sleep(BOUNDS["config-apply-s"] + 1.0)
    return answer.status


async def case(deployment: Deployment, has_trouble: bool) -> int:
    """Play the case."""
    record = deployment.record
    if await change_target(deployment, 1, TARGET_S) != 200 or not await deployment.wait_ready():
        return NOT_RUN
    before = await place_orders(deployment, "before", "order")
    if any(outcome.status != 200 for outcome in before):
        return NOT_RUN
    if await change_target(deployment, 2, 0 if has_trouble else OTHER_TARGET_S) != 200:
        return HELD  # a refusal breaks nothing
    during = await place_orders(deployment, "during", "order after the change")
    without_answer = [
        outcome for outcome in during if not outcome.status or outcome.seconds > TIMEOUT_S + LATE_S
    ]
    record.add(
        f"{len(without_answer)} of {ORDERS} orders had no final answer {LATE_S} s after the route's timeout-s"
    )
    if await change_target(deployment, 3, TARGET_S) != 200:
        return NOT_RUN
    again = await place_orders(deployment, "during", "tried again after the target was set back")
    after = await place_orders(deployment, "after", "new order after the target was set back")
    for name, outcomes in (("tried again", again), ("new", after)):
        served = sum(outcome.status == 200 for outcome in outcomes)
        record.add(f"after the target was set back, {name}: {served} of {ORDERS} served")
    for run in deployment.runs():
        record.add(f"run: key {run.key}, id {run.attempt}, at {run.instance}")
    if deployment.ended:
        record.add(f"processes that ended: {deployment.ended}")
        return NOT_RUN
    if len(without_answer) > ALLOWED_WITHOUT_ANSWER and 4 * len(without_answer) > ORDERS:
        record.add("CONFIG: no final answer 0.5 s after the route's timeout-s")
        return BROKEN
    return HELD


if __name__ == "__main__":
    main(__file__, [SERVICE] * 3, case)
