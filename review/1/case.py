"""TWICE: an order that a burst had turned away, and that is tried again later, runs twice within the window.

Clients send orders with keys to three machines. A burst has some of them turned away (503) by every backend.
35 s after its first try each of these orders is tried again on the same machine, and is served. 72 s after
the first try, 37 s after the good answer, it is sent once more, on another machine. The same is done with
some orders that were served at once.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass, field

from review.stand_ins import BROKEN, HELD, NOT_RUN, Deployment, Record, document, main, route

SERVICE = "seats"
WINDOW_S = 60.0  # `idempotency-window-s`
BASE_PER_S = 60.0
BURST_X, BURST_S = 1.7, 3.0  # as in the `troubles` of the site
SLOTS, WORK_S = 4, 0.15  # three backends: 80 orders a second
DEADLINE_MS, MAX_TRIES = 2000, 3
AGAIN_AFTER_S, REPEAT_AFTER_S = 35.0, 72.0  # from the first try
SERVED_SAMPLE = 20


@dataclass
class Order:
    """An order of a client, with all tries of it."""

    key: str
    machine: int
    first_sent_at: float
    last_status: int = 0
    sent_at: dict[str, float] = field(default_factory=dict)  # by attempt id


class Shop:
    """The clients of the case."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment, self.record = deployment, record
        self.orders: list[Order] = []

    async def attempt(self, order: Order, machine: int, text: str) -> float:
        """Send one try; return the time to wait before the next one."""
        sent_at = time.monotonic()
        address = self.deployment.sidecars[machine % len(self.deployment.sidecars)]
        answer = await self.deployment.request(
            address, "/order/1", key=order.key, deadline_ms=DEADLINE_MS, body=[b"one seat"]
        )
        order.last_status = answer.status
        order.sent_at[answer.fields["sent-attempt"]] = sent_at
        self.record.add(
            f"{text}: key {order.key}, id {answer.fields['sent-attempt']}, at {address} -> {answer.status} "
            f"seal {answer.fields.get('cometdoor-response-seal', '-')} {answer.error}"
        )
        return float(answer.fields.get("retry-after", "0.1"))

    async def tries(self, order: Order, machine: int, text: str) -> None:
        """Try an order up to `MAX_TRIES` times before its deadline; wait as told after a 503."""
        until = time.monotonic() + DEADLINE_MS / 1000.0
        for _ in range(MAX_TRIES):
            pause_s = await self.attempt(order, machine, text)
            if order.last_status == 200 or time.monotonic() + pause_s > until:
                return
            await asyncio.sleep(pause_s)

    async def send_orders(self, per_s: float, seconds: float) -> None:
        """Begin orders at a constant rate, on all machines in turn."""
        started_at, count = time.monotonic(), 0
        while time.monotonic() - started_at < seconds:
            order = Order(f"o-{len(self.orders)}", len(self.orders), time.monotonic())
            self.orders.append(order)
            self.deployment.start_task(self.tries(order, order.machine, "order"))
            count += 1
            await asyncio.sleep(max(started_at + count / per_s - time.monotonic(), 0.0))

    async def later(self, order: Order) -> None:
        """Try an order again, and repeat it after the good answer."""
        await asyncio.sleep(max(order.first_sent_at + AGAIN_AFTER_S - time.monotonic(), 0.0))
        await self.tries(order, order.machine, "tried again")
        if order.last_status != 200:
            return
        await asyncio.sleep(max(order.first_sent_at + REPEAT_AFTER_S - time.monotonic(), 0.0))
        await self.tries(order, order.machine + 1, "repeated after a good answer")


def find_violations(deployment: Deployment, orders: list[Order]) -> list[str]:
    """Return the orders of which two requests ran, the second sent sooner than the window after the first."""
    attempts_run = {run.attempt for run in deployment.runs()}
    violations = []
    for order in orders:
        ran = sorted(
            (sent_at, attempt) for attempt, sent_at in order.sent_at.items() if attempt in attempts_run
        )
        for (first_at, first), (second_at, second) in itertools.pairwise(ran):
            if second_at - first_at < WINDOW_S:
                violations.append(
                    f"key {order.key}: {first} and {second} both ran, the second was sent "
                    f"{second_at - first_at:.1f} s after the first"
                )
    return violations


async def case(deployment: Deployment, has_trouble: bool) -> int:
    """Play the case."""
    record = deployment.record
    for backend in deployment.backends.values():
        backend.capacity, backend.service_time_s = SLOTS, WORK_S
    routes = [route("order", "keyed", SERVICE, DEADLINE_MS / 1000.0, target_latency_s=0.3)]
    answer = await deployment.replace(document(1, routes, [SERVICE]), 0)
    if answer.status != 200 or not await deployment.wait_ready():
        return NOT_RUN
    await asyncio.sleep(2.0)
    shop = Shop(deployment, record)
    await shop.send_orders(BASE_PER_S, 2.0)
    record.add(f"burst begins: {has_trouble}")
    await shop.send_orders(BASE_PER_S * (BURST_X if has_trouble else 1.0), BURST_S)
    record.add("burst is over")
    await shop.send_orders(BASE_PER_S, 1.0)
    await asyncio.sleep(DEADLINE_MS / 1000.0 + 1.0)
    turned_away = [order for order in shop.orders if order.last_status == 503]
    served = [order for order in shop.orders if order.last_status == 200]
    record.add(f"{len(shop.orders)} orders: {len(served)} served, {len(turned_away)} turned away with 503")
    if len(served) < SERVED_SAMPLE or bool(turned_away) != has_trouble:
        return NOT_RUN  # this machine is too slow, or too fast, for these rates
    await asyncio.gather(*(shop.later(order) for order in [*turned_away, *served[:SERVED_SAMPLE]]))
    for run in deployment.runs():
        record.add(f"run: key {run.key}, id {run.attempt}, at {run.instance}")
    if deployment.ended:
        record.add(f"processes that ended: {deployment.ended}")
        return NOT_RUN
    violations = find_violations(deployment, shop.orders)
    for violation in violations:
        record.add(f"TWICE: {violation}")
    record.add(f"{len(violations)} orders ran twice inside {WINDOW_S:.0f} s")
    return BROKEN if violations else HELD


if __name__ == "__main__":
    main(__file__, [SERVICE] * 3, case)
