"""Places at a backend, and kinds of requests that are held back."""

import random
from collections import Counter

from ward import each, test

from cometdoor.dataplane.admission import LEAST, Throttle
from cometdoor.dataplane.slots import Job, Kind, Places


@test("as many go to work as the backend has places, and the one due first goes next")
def _() -> None:
    places = Places()
    places.capacity = 2
    jobs = [places.job(Kind(1, aim, False), 5000.0, 0.0) for aim in (1000.0, 1000.0, 1000.0, 400.0)]
    assert [places.offer(job, 0.0) for job in jobs] == [[]] * 4
    assert places.at_work == 2
    places.ended(jobs[0], 100.0, whole=True)
    assert places.next(100.0) is jobs[3] and places.next(100.0) is None


QUICK, SLOW, URGENT = Kind(2, 200.0, False), Kind(2, 600.0, False), Kind(1, 300.0, False)


@test("who could not be served in time is told at once, the last among equals")
def _() -> None:
    places = Places()
    for _ in range(20):
        places.offer(places.job(QUICK, 1000.0, 0.0), 0.0)
    last = places.job(QUICK, 1000.0, 0.0)
    assert places.offer(last, 0.0) == [last]
    assert len(places.waiting) < 5 and places.wait_ms(len(places.waiting), 0.0) > 0.5 * 200.0


@test("of those that came together all are shed or none, and another kind's group of that number is another")
def _() -> None:
    places = Places()
    for _ in range(20):
        places.offer(places.job(QUICK, 1000.0, 0.0), 0.0)
    first, second = (places.job(QUICK, 1000.0, 0.0, 1.0, ("line", 7), 2.0) for _ in range(2))
    assert places.offer(first, 0.0) == [first]
    for job in list(places.waiting):
        places.withdraw(job)
    assert places.offer(second, 0.0) == [second]  # though there would be room by now
    other = places.job(URGENT, 1000.0, 0.0, 1.0, ("line", 7), 1.0)
    assert other not in places.offer(other, 0.0)


@test("in a long shortage the urgent are served, and each other kind keeps a part")
def _() -> None:
    # Given one place, and three times the work that it can do: urgent ones alone fill 0.4 of it
    places, now = Places(), 0.0
    work_ms = {QUICK: 50.0, SLOW: 150.0, URGENT: 80.0}
    every_ms = {QUICK: 30.0, SLOW: 160.0, URGENT: 200.0}
    asked, served = Counter[Kind](), Counter[Kind]()
    due = dict.fromkeys(work_ms, 0.0)
    at_work: tuple[Job, float] | None = None
    for now in map(float, range(60_000)):
        # When all come at their pace, for a minute
        for kind, at in due.items():
            if now >= at:
                due[kind] = at + every_ms[kind]
                asked[kind] += 1
                job = places.job(kind, 3000.0, now)
                places.offer(job, now)
                if job.began_ms or (now == 0.0 and places.at_work and at_work is None):
                    at_work = job, now + work_ms[kind]
        places.overdue(now)
        if at_work is not None and now >= at_work[1]:
            places.ended(at_work[0], now, whole=True)
            served[at_work[0].kind] += 1
            following = places.next(now)
            at_work = (following, now + work_ms[following.kind]) if following is not None else None
    # Then
    share = {kind: served[kind] / asked[kind] for kind in work_ms}
    assert share[URGENT] > 0.9 and min(share.values()) > 0.1, share


@test("who waited longer than was thought is out, and its place goes to nobody")
def _() -> None:
    places = Places()
    first, second = places.job(URGENT, 1000.0, 0.0), places.job(URGENT, 1000.0, 0.0)
    places.offer(first, 0.0)
    places.offer(second, 0.0)
    assert places.overdue(100.0) == [] and places.overdue(151.0) == [second]
    assert places.overdue(152.0) == [] and not places.withdraw(second)
    places.ended(first, 200.0, whole=False)
    assert places.at_work == 0


@test("a kind of request that fails further on is held back in part, and let through again in seconds")
def _() -> None:
    throttle, now, through = Throttle(random.Random(1)), 0.0, 0
    for _ in range(400):
        now += 50.0
        if throttle.admits(now):
            throttle.placed(False, now)
            throttle.ended(False, now)
    assert throttle.part <= LEAST + 0.1 and not throttle.is_worth_repeating(now)
    for _ in range(300):
        now += 50.0
        if throttle.admits(now):
            through += 1
            throttle.placed(True, now)
            throttle.ended(True, now)
    assert throttle.part == 1.0 and through > 150


@test("some failures by chance hold nothing back")
def _() -> None:
    throttle = Throttle(random.Random(2))
    for count in range(200):
        throttle.ended(count % 12 != 0, 100.0 * count)
        assert throttle.admits(100.0 * count)


@test("calls that come together share their fate, and runs that fail hold nothing back while there is room")
def _() -> None:
    throttle = Throttle(random.Random(3))
    for count in range(400):
        throttle.ended(False, 50.0 * count)
        throttle.placed(True, 50.0 * count)
        assert throttle.admits(50.0 * count)
    throttle.part = 0.5
    times = [20_000.0 + 10.0 * count for count in range(40)]
    pairs = [(throttle.admits(at), throttle.admits(at + 1.0)) for at in times]
    assert all(one == other for one, other in pairs) and {one for one, _ in pairs} == {True, False}


@test("a crowd at one proxy is not taken for the calls of one run, pairs are, also in a crowd")
def _(per_s: float = each(60.0, 300.0, 700.0), pairs: bool = each(False, True, False)) -> None:
    throttle, chance, now = Throttle(random.Random(4)), random.Random(5), 1000.0
    for _ in range(3000):
        now += chance.expovariate(per_s / 1000.0)
        throttle.admits(now)
        if pairs:
            throttle.admits(now + chance.random())
    assert throttle.group_size(now) > 1.6 if pairs else throttle.group_size(now) < 1.3


@test("a storm is forgotten within three seconds of its end, however many were turned away in it")
def _() -> None:
    throttle, now = Throttle(random.Random(6)), 0.0
    for _ in range(6000):  # for three seconds two thousand a second, of which hardly any finds a place
        now += 0.5
        throttle.admits(now)
        throttle.placed(False, now)
    assert throttle.part < 0.6
    for _ in range(120):  # then forty a second, and all do
        now += 25.0
        if throttle.admits(now):
            throttle.placed(True, now)
    assert throttle.part >= 0.9, throttle.part
