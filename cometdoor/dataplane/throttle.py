"""Holding back a kind of request that mostly finds no place. No I/O; the time comes in, milliseconds.

Guards against work that is thrown away. Where the service that a backend calls is crowded, a run needs
places for all its calls: half of them are as good as none. The part that is let through falls while too many
are turned away at the doors, and grows by steps that double while hardly any is. Runs that fail further on
count as well, but only where their own service's places are wanted by others too: where there is room, a run
that may fail costs nobody anything.

Admitting so many for each that was served (Site Reliability Engineering, ch. 21) was tried first: with a
factor small enough to spare work it took tens of seconds to let all through again, and a crowded day lost a
tenth of its worth by it.
"""

from __future__ import annotations

import random

from jasperhall.averages import Average

MEMORY_MS = 2_000.0  # a dozen runs of a busy kind at one proxy; with 3 s all came back 3 s later
EACH_MS = 500.0  # between steps
FAILING, FINE = 0.75, 0.85  # the share that succeeds: below the one less is let through, above it more
LESS, MORE, MOST = 0.9, 0.05, 0.2  # times, and plus: the first step up and the last
LEAST = 0.1  # is let through in any case
PRIOR_COUNT = 8.0  # as if so many had succeeded: some that fail by chance are no sign
CROWDED = 0.95  # fewer than so many of a kind find a place: others want them too
LATEST_SHARE = 0.33  # of the time that it has left: clients heed no longer pause than a third
CROWD_RANGE = 0.3  # turned away, from where on all pauses are the longest
SPREAD = 0.6  # of them, from where on they are spread, so that not all come back at once
# Calls that come within so long of one another come from one run, most likely: they share its fate.
TOGETHER_MS = 3.0
# Below this share of runs that succeed another run of the same request only adds to what made it fail.
WORTH_REPEATING = 0.75


class Throttle:
    """Of one kind of request at one proxy."""

    def __init__(self, chance: random.Random) -> None:
        self.part = 1.0  # that is let through
        self._chance = chance
        self._places = Average(MEMORY_MS)  # 1 for one that found a place, 0 for one that was turned away
        self._runs = Average(MEMORY_MS)  # 1 for one that was served, 0 for one that failed
        self._step = MORE
        self._due = 0.0
        self._asked_at = -TOGETHER_MS
        self._verdict = True
        self.group = 0  # of calls that come together; the last one's number
        self._groups = Average()  # 1 for a call that began one, 0 for one that joined it

    def admits(self, now: float) -> bool:
        if now >= self._due:
            self._due = now + EACH_MS
            self._adjust(now)
        begins = now - self._asked_at > TOGETHER_MS
        if begins:
            self.group += 1
            self._verdict = self.part >= 1.0 or self._chance.random() < self.part
        self._groups.add(float(begins), now)
        self._asked_at = now
        return self._verdict

    def group_size(self, now: float) -> float:
        """How many come together on the mean."""
        return 1.0 / self._groups.mean(1.0, PRIOR_COUNT, now)

    def _adjust(self, now: float) -> None:
        share = self._places.mean(1.0, PRIOR_COUNT, now)
        if share < CROWDED:
            share = min(share, self._runs.mean(1.0, PRIOR_COUNT, now))
        if share < FAILING:
            self.part, self._step = max(self.part * LESS, LEAST), MORE
        elif share > FINE:
            self.part, self._step = min(self.part + self._step, 1.0), min(2.0 * self._step, MOST)

    def pause_ms(self, soon_ms: float, left_ms: float, now: float) -> float:
        """When one that is refused should come back: soon where hardly any is turned away, and the later the
        more are. Guards against one that comes back into the same crowd, and is refused for good. Harms where
        the crowd has gone by then: its answer is later than need be."""
        latest = LATEST_SHARE * left_ms
        soon = min(soon_ms, latest)
        crowd = min((1.0 - self._places.mean(1.0, PRIOR_COUNT, now)) / CROWD_RANGE, 1.0)
        return soon + (latest - soon) * crowd * self._chance.uniform(SPREAD, 1.0)

    def placed(self, found: bool, now: float) -> None:
        """Whether there was a place for one that was let through."""
        self._places.add(float(found), now)

    def ended(self, served: bool, now: float) -> None:
        self._runs.add(float(served), now)

    def is_worth_repeating(self, now: float) -> bool:
        return self._runs.mean(1.0, PRIOR_COUNT, now) >= WORTH_REPEATING
