"""Concurrency slots of a backend, and adaptive throttling of request classes."""

import random
from collections import Counter

from ward import each, test

from cometdoor.dataplane.adaptive_throttling import MIN_ADMITTED_SHARE, AdaptiveThrottle
from cometdoor.dataplane.slots import ConcurrencySlots, RequestKind, SlotRequest
from cometdoor.host.exchange.inbound_requests import InboundRequestEvent, InboundRequestState
from simulation.exchange.inbound_requests import InboundRequestPlayer
from simulation.exchange.scripted_transports import scripted_loop


@test("as many requests are in flight as the backend has slots, and the one due first starts next")
def _() -> None:
    slots = ConcurrencySlots()
    slots.capacity = 2
    requests = [
        slots.new_request(RequestKind(1, latency_target_ms, False), 5000.0, 0.0)
        for latency_target_ms in (1000.0, 1000.0, 1000.0, 400.0)
    ]
    assert [slots.submit(request, 0.0) for request in requests] == [[]] * 4
    assert slots.in_flight == 2
    slots.release(requests[0], 100.0, completed=True)
    assert slots.start_next(100.0) is requests[3] and slots.start_next(100.0) is None


QUICK, SLOW, URGENT = RequestKind(2, 200.0, False), RequestKind(2, 600.0, False), RequestKind(1, 300.0, False)


@test("a request that could not be served in time is rejected at once, the newest among equals")
def _() -> None:
    slots = ConcurrencySlots()
    for _ in range(20):
        slots.submit(slots.new_request(QUICK, 1000.0, 0.0), 0.0)
    last = slots.new_request(QUICK, 1000.0, 0.0)
    assert slots.submit(last, 0.0) == [last]
    assert len(slots.queued) < 5 and slots.expected_wait_ms(len(slots.queued), 0.0) > 0.5 * 200.0


@test("a request group is shed as a whole, and a group of another kind with that number is another group")
def _() -> None:
    slots = ConcurrencySlots()
    for _ in range(20):
        slots.submit(slots.new_request(QUICK, 1000.0, 0.0), 0.0)
    first, second = (
        slots.new_request(QUICK, 1000.0, 0.0, group=("connection", 7), group_size=2.0) for _ in range(2)
    )
    assert slots.submit(first, 0.0) == [first]
    for request in list(slots.queued):
        slots.cancel(request)
    assert slots.submit(second, 0.0) == [second]  # though slots are free by now
    other = slots.new_request(URGENT, 1000.0, 0.0, group=("connection", 7), group_size=1.0)
    assert other not in slots.submit(other, 0.0)


@test("in a long overload urgent requests are served, and each other kind keeps a share")
def _() -> None:
    # Given one slot and three times the work that it can execute; urgent requests alone take 0.4 of the slot
    slots, now = ConcurrencySlots(), 0.0
    execution_ms = {QUICK: 50.0, SLOW: 150.0, URGENT: 80.0}
    interval_ms = {QUICK: 30.0, SLOW: 160.0, URGENT: 200.0}
    offered, served = Counter[RequestKind](), Counter[RequestKind]()
    next_arrival_ms = dict.fromkeys(execution_ms, 0.0)
    in_flight: tuple[SlotRequest, float] | None = None
    for now in map(float, range(60_000)):
        # When requests of each kind arrive at its interval for a minute
        for kind, at in next_arrival_ms.items():
            if now >= at:
                next_arrival_ms[kind] = at + interval_ms[kind]
                offered[kind] += 1
                request = slots.new_request(kind, 3000.0, now)
                slots.submit(request, now)
                if request.started_at_ms or (now == 0.0 and slots.in_flight and in_flight is None):
                    in_flight = request, now + execution_ms[kind]
        slots.remove_overdue(now)
        if in_flight is not None and now >= in_flight[1]:
            slots.release(in_flight[0], now, completed=True)
            served[in_flight[0].kind] += 1
            next_request = slots.start_next(now)
            in_flight = (
                (next_request, now + execution_ms[next_request.kind]) if next_request is not None else None
            )
    # Then
    share = {kind: served[kind] / offered[kind] for kind in execution_ms}
    assert share[URGENT] > 0.9 and min(share.values()) > 0.1, share


@test("a request queued for longer than predicted is removed, and its slot goes to no other")
def _() -> None:
    slots = ConcurrencySlots()
    first, second = slots.new_request(URGENT, 1000.0, 0.0), slots.new_request(URGENT, 1000.0, 0.0)
    slots.submit(first, 0.0)
    slots.submit(second, 0.0)
    assert slots.remove_overdue(100.0) == [] and slots.remove_overdue(151.0) == [second]
    assert slots.remove_overdue(152.0) == [] and not slots.cancel(second)
    slots.release(first, 200.0, completed=False)
    assert slots.in_flight == 0


@test("a class whose executions fail is throttled in part, and admitted again within seconds")
def _() -> None:
    throttle, now, admitted = AdaptiveThrottle(random.Random(1)), 0.0, 0
    for _ in range(400):
        now += 50.0
        if throttle.admit(now):
            throttle.record_acceptance(False, now)
            throttle.on_attempt_ended(False, now)
    assert throttle.admitted_share <= MIN_ADMITTED_SHARE + 0.1 and not throttle.may_retry(now)
    for _ in range(300):
        now += 50.0
        if throttle.admit(now):
            admitted += 1
            throttle.record_acceptance(True, now)
            throttle.on_attempt_ended(True, now)
    assert throttle.admitted_share == 1.0 and admitted > 150


@test("a few chance failures throttle nothing")
def _() -> None:
    throttle = AdaptiveThrottle(random.Random(2))
    for count in range(200):
        throttle.on_attempt_ended(count % 12 != 0, 100.0 * count)
        assert throttle.admit(100.0 * count)


@test("a request group is admitted as a whole, and failed executions throttle nothing while slots are free")
def _() -> None:
    throttle = AdaptiveThrottle(random.Random(3))
    for count in range(400):
        throttle.on_attempt_ended(False, 50.0 * count)
        throttle.record_acceptance(True, 50.0 * count)
        assert throttle.admit(50.0 * count)
    throttle.admitted_share = 0.5
    times = [20_000.0 + 10.0 * count for count in range(40)]
    pairs = [(throttle.admit(at), throttle.admit(at + 1.0)) for at in times]
    assert all(first == second for first, second in pairs) and {first for first, _ in pairs} == {True, False}


@test("a surge at one proxy is not taken for a request group, pairs are, also in a surge")
def _(per_s: float = each(60.0, 300.0, 700.0), pairs: bool = each(False, True, False)) -> None:
    throttle, rng, now = AdaptiveThrottle(random.Random(4)), random.Random(5), 1000.0
    for _ in range(3000):
        now += rng.expovariate(per_s / 1000.0)
        throttle.admit(now)
        if pairs:
            throttle.admit(now + rng.random())
    assert throttle.group_size(now) > 1.6 if pairs else throttle.group_size(now) < 1.3


@test("a surge is forgotten within three seconds of its end, however many requests were rejected in it")
def _() -> None:
    throttle, now = AdaptiveThrottle(random.Random(6)), 0.0
    for _ in range(6000):  # 2,000 requests a second for three seconds, none of which gets a slot
        now += 0.5
        throttle.admit(now)
        throttle.record_acceptance(False, now)
    assert throttle.admitted_share < 0.6
    for _ in range(120):  # then 40 requests a second, all of which get a slot
        now += 25.0
        if throttle.admit(now):
            throttle.record_acceptance(True, now)
    assert throttle.admitted_share >= 0.9, throttle.admitted_share


# Guards against a queue that nobody starts: its backend was down for less time than the queue's poll.
@test("requests that were queued when the backend was down for a moment are sent once it is ready again")
def _() -> None:
    with scripted_loop() as loop:
        player = InboundRequestPlayer(loop)
        player.enter_state(InboundRequestState.WAITING)
        player.inbound_proxy.update_backend(player.backend(state="down"))
        player.apply_event(InboundRequestEvent.SLOT_FREE)
        player.inbound_proxy.update_backend(player.backend())
        assert not player.transports_written()
        loop.wait(0.05)
        assert player.transports_written()
