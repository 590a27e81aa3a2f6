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
from collections import deque

from jasperhall.averages import Average

EACH_MS = 500.0  # between steps
REMEMBERED = 3  # such spans: a dozen runs of a busy kind at one proxy; with 3 s all came back 3 s later
# So many of one span tell all that it has to tell. By number alone a storm outweighed for ten seconds after
# its end the few that were let through and all served, and held back ever more of them.
SPAN_COUNT = 16.0
FAILING, FINE = 0.75, 0.85  # the share that succeeds: below the one less is let through, above it more
LESS, MORE, MOST = 0.9, 0.05, 0.2  # times, and plus: the first step up and the last
LEAST = 0.1  # is let through in any case
PRIOR_COUNT = 8.0  # as if so many had succeeded: some that fail by chance are no sign
CROWDED = 0.95  # fewer than so many of a kind find a place: others want them too
LATEST_SHARE = 0.33  # of the time that it has left: clients heed no longer pause than a third
CROWD_RANGE = 0.3  # turned away, from where on all pauses are the longest
SPREAD = 0.6  # of them, from where on they are spread, so that not all come back at once
# Calls that come within so long of the first of them come from one run, most likely: they share its fate. (Of
# one another, as it was, a crowd at one proxy made one group without end: shed once, shed for good.)
TOGETHER_MS = 3.0
TOGETHER_FROM = 1.3  # of so many on the mean: below that they come together by chance
# Below this share of runs that succeed another run of the same request only adds to what made it fail.
WORTH_REPEATING = 0.75


class Lately:
    """The share of successes in the last spans, of which each counts for as much, were there ever so many."""

    def __init__(self) -> None:
        self._spans: deque[list[float]] = deque()  # [span, successes, all], oldest first

    def add(self, success: bool, now: float) -> None:
        span = now // EACH_MS
        if not self._spans or self._spans[-1][0] != span:
            self._spans.append([span, 0.0, 0.0])
        self._spans[-1][1] += success
        self._spans[-1][2] += 1.0

    def share(self, now: float) -> float:
        while self._spans and self._spans[0][0] <= now // EACH_MS - REMEMBERED:
            self._spans.popleft()
        weight = total = PRIOR_COUNT
        for _, successes, count in self._spans:
            counts = min(count, SPAN_COUNT)
            weight += counts
            total += counts * successes / count
        return total / weight


class Throttle:
    """Of one kind of request at one proxy."""

    def __init__(self, chance: random.Random) -> None:
        self.part = 1.0  # that is let through
        self._chance = chance
        self._places = Lately()  # found a place, or were turned away
        self._runs = Lately()  # were served, or failed
        self._step = MORE
        self._due = 0.0
        self._group_at = -TOGETHER_MS - 1.0  # its first call
        self._verdict = True
        self.group = 0  # of calls that come together; the last one's number
        # For each group how many joined it, less those that came in as long a time behind it: these came by
        # chance, and as many that joined did.
        self._joined = Average()
        self._former_at = -TOGETHER_MS - 1.0  # of the group before

    def admits(self, now: float) -> bool:
        if now >= self._due:
            self._due = now + EACH_MS
            self._adjust(now)
        begins = now - self._group_at > TOGETHER_MS
        if now - self._former_at > TOGETHER_MS and now - self._former_at <= 2.0 * TOGETHER_MS:
            self._joined.total -= 1.0
        if begins:
            self.group += 1
            if now - self._group_at <= 2.0 * TOGETHER_MS:
                self._joined.total -= 1.0
            self._former_at, self._group_at = self._group_at, now
            self._joined.add(0.0, now)
            self._verdict = self.part >= 1.0 or self._chance.random() < self.part
        else:
            self._joined.total += 1.0
        return self._verdict

    def group_size(self, now: float) -> float:
        """How many come together on the mean, but for those that do by chance. Guards against a crowd's calls
        that are taken for one run's: worth less for it at the doors, they were all shed, came again, and were
        the more of a crowd."""
        return 1.0 + max(self._joined.mean(0.0, PRIOR_COUNT, now), 0.0)

    def _adjust(self, now: float) -> None:
        share = self._places.share(now)
        if share < CROWDED:
            share = min(share, self._runs.share(now))
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
        crowd = min((1.0 - self._places.share(now)) / CROWD_RANGE, 1.0)
        return soon + (latest - soon) * crowd * self._chance.uniform(SPREAD, 1.0)

    def placed(self, found: bool, now: float) -> None:
        """Whether there was a place for one that was let through."""
        self._places.add(found, now)

    def ended(self, served: bool, now: float) -> None:
        self._runs.add(served, now)

    def is_worth_repeating(self, now: float) -> bool:
        return self._runs.share(now) >= WORTH_REPEATING
