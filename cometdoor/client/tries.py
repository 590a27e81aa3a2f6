"""Whether and when a call is tried again. No I/O; the time comes in, in seconds.

What a status promises: 408, 421, 429 and 503 that the try has not run and never will; 502, 504 and a
connection that ends promise nothing; an answer of the backend's own says that it ran. A repeatable call is
tried again after any failure, a keyed one too (the mesh runs its key once), one that must not run twice only
after a promise.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from jasperhall import api
from jasperhall.tries import AttemptBudget

PROMISES = (408, 421, 429, 503)
REJECTIONS = (400, 401, 403, 404, 405, 411, 413, 414, 431)
AT_WORK = 409  # a try of the same key
FIRST_PAUSE_S, MOST_PAUSE_S = 0.05, 1.0  # where nothing is said; doubling
HEEDED_SHARE = 1 / 3  # of the time left that a Retry-After is heeded for at most
LEAST_TRY_S = 0.02  # a try with less time left is not made


class Kind(Enum):
    REPEATABLE = "repeatable"  # may run any number of times
    KEYED = "keyed"  # carries a key: runs once, whatever is tried
    ONCE = "once"  # must not run twice


class Known(Enum):
    NOT_RUN = "not run"
    REJECTED = "rejected"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"
    SERVED = "served"


@dataclass(frozen=True, slots=True)
class Ending:
    """How a try ended. `status`: None where no whole answer came; `sent`: a byte of it may have been read."""

    status: int | None
    sent: bool = True
    retry_after_s: float | None = None

    def known(self) -> Known:
        if self.status is None:
            return Known.MAY_HAVE_RUN if self.sent else Known.NOT_RUN
        if 200 <= self.status < 300:
            return Known.SERVED
        if self.status in PROMISES:
            return Known.NOT_RUN
        if self.status in REJECTIONS:
            return Known.REJECTED
        return Known.MAY_HAVE_RUN if self.status in (AT_WORK, 502, 504) else Known.RAN


class Budget:
    """Further tries of one client: a share of its calls, so that it never adds much to a crowd."""

    def __init__(self, ratio: float = 0.2, floor: int = 10, span_s: float = 10.0) -> None:
        self._tries = AttemptBudget(api.AttemptBudget(float(floor), ratio, span_s * 1000.0))

    def called(self, now: float) -> None:
        self._tries.request_taken(now * 1000.0)

    def take(self, now: float) -> bool:
        """Whether one further try may be made; it is counted."""
        if not self._tries.allows_one(now * 1000.0):
            return False
        self._tries.sent(now * 1000.0)
        return True


class Tries:
    """Of one call."""

    def __init__(
        self, kind: Kind, deadline_at: float, most: int, budget: Budget, chance: random.Random
    ) -> None:
        self.kind = kind
        self.made = 0
        self.may_have_run = False  # by what any try ended with
        self._deadline_at = deadline_at
        self._most = most
        self._budget = budget
        self._chance = chance

    def left_s(self, now: float) -> float:
        return self._deadline_at - now

    def again_after(self, ending: Ending, now: float) -> float | None:
        """The pause until the next try; None: there is none."""
        self.made += 1
        known = ending.known()
        self.may_have_run |= known is Known.MAY_HAVE_RUN
        if known in (Known.SERVED, Known.REJECTED):
            return None
        if self.kind is Kind.ONCE and known is not Known.NOT_RUN:
            return None
        if self.kind is Kind.KEYED and known is Known.RAN:
            return None  # its key has run: what came of that is the answer
        left = self.left_s(now)
        if ending.retry_after_s is not None:
            pause = min(ending.retry_after_s, left * HEEDED_SHARE)
        else:
            pause = min(FIRST_PAUSE_S * 2 ** (self.made - 1), MOST_PAUSE_S) * self._chance.uniform(0.5, 1.0)
        if self.made >= self._most or left - pause < LEAST_TRY_S or not self._budget.take(now):
            return None
        return pause
