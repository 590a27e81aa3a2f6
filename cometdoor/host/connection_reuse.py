"""How long a kept connection to a server is worth keeping, learned from when such connections ended. No I/O.

A Kaplan-Meier estimate of how many of them live for how long without work: each that the other side ended,
while it was idle or as it was used again, is a death at that age; each that served again has outlived its
age. Servers with a fixed limit and boxes between that forget a connection without a word show as
a cliff, restarts now and then as nothing much.
"""

from __future__ import annotations

import math

FIRST_S = 0.05  # what ends sooner than so after an answer was ended by it, not by its idleness
STEP = 1.25  # of one bin's ages to the next's
BINS = 36  # up to 150 s: the next bin takes all that is older
FADE = 0.5  # of all that is known, whenever so many ends are known
FADE_AT = 128.0
# So much of the dead may be met on average. A handshake costs the way there and back; a lost call that may be
# made again costs the same and an attempt of its few, so that even then only one in ten is worth the chance.
# One that may not is lost for good: a hundred handshakes for one of them.
RISK_REPEATABLE, RISK_ONCE = 0.1, 0.01
# As if so many had outlived any age. One death among few must tell: the next is met at the same age.
PRIOR = 4.0
# Of the calls that are refused a kept connection for its age, one in so many takes it all the same. Without
# them what was believed once of all ages (a crash, a burst of lost answers) stood for ever, since nothing
# that could disprove it was met any more: doors opened a connection for each request for the rest of a day.
TRIAL_EVERY = 50
DISPROVED = 0.5  # of the deaths that spoke against an age, when a connection of that age serves
KNOWN = 20.0  # ends, from where on a server's own say it all: two that died among fewer are chance


def _bin(idle_s: float) -> int:
    return min(max(int(math.log(max(idle_s, FIRST_S) / FIRST_S) / math.log(STEP)), 0), BINS)


class Keeping:
    """Of one server. Ages are seconds since the connection's last answer."""

    __slots__ = ("_died", "_outlived", "_risks")

    def __init__(self) -> None:
        self._died: dict[int, float] = {}
        self._outlived: dict[int, float] = {}
        self._risks: list[float] | None = None

    def died(self, idle_s: float) -> None:
        if idle_s >= FIRST_S:
            self._count(self._died, idle_s)

    def outlived(self, idle_s: float) -> None:
        if idle_s >= FIRST_S:
            self._count(self._outlived, idle_s)

    def disprove(self, idle_s: float) -> None:
        """One of an age that was thought to be past most of them has served."""
        if self.risk(idle_s) > RISK_REPEATABLE:
            for place in self._died:
                if place <= _bin(idle_s):
                    self._died[place] *= DISPROVED
            self._risks = None

    def _count(self, ends: dict[int, float], idle_s: float) -> None:
        place = _bin(idle_s)
        ends[place] = ends.get(place, 0.0) + 1.0
        self._risks = None
        if sum(self._died.values()) + sum(self._outlived.values()) >= FADE_AT:
            for counts in (self._died, self._outlived):
                for place in counts:
                    counts[place] *= FADE

    def risk(self, idle_s: float) -> float:
        """The share of connections that are dead by the end of the bin in which this age lies."""
        if not self._died:
            return 0.0
        if self._risks is None:
            living, alive = 1.0, PRIOR + sum(self._died.values()) + sum(self._outlived.values())
            self._risks = []
            for place in range(BINS + 1):
                died = self._died.get(place, 0.0)
                living *= 1.0 - died / alive
                alive -= died + self._outlived.get(place, 0.0)
                self._risks.append(1.0 - living)
        return self._risks[_bin(idle_s)]

    def is_worth(self, idle_s: float, once: bool) -> bool:
        """Whether a call should take a connection of this age. `once`: it may not be made again."""
        return self.risk(idle_s) <= (RISK_ONCE if once else RISK_REPEATABLE)

    def is_known(self) -> bool:
        return sum(self._died.values()) + sum(self._outlived.values()) >= KNOWN


class Keepings:
    """Of the servers of a pool. One of whom little is known yet is taken to be as the others are: eight
    servers each learned for themselves what one had shown, and lost two or three calls over it."""

    def __init__(self) -> None:
        self._all = Keeping()
        self._of: dict[str, Keeping] = {}
        self._refused = 0

    def died(self, server: str, idle_s: float) -> None:
        for keeping in (self._of.setdefault(server, Keeping()), self._all):
            keeping.died(idle_s)

    def outlived(self, server: str, idle_s: float) -> None:
        own = self._of.setdefault(server, Keeping())
        own.disprove(idle_s)
        for keeping in (own, self._all):
            keeping.outlived(idle_s)

    def is_worth(self, server: str, idle_s: float, once: bool) -> bool:
        own = self._of.get(server)
        if own is not None and not own.is_worth(idle_s, once):
            return False
        return (own is not None and own.is_known()) or self._all.is_worth(idle_s, once)

    def is_trial(self) -> bool:
        """Asked of each call that may be made again and finds no connection worth taking but for its age."""
        self._refused += 1
        return self._refused % TRIAL_EVERY == 0

    def forget(self, server: str) -> None:
        self._of.pop(server, None)
        if not self._of:
            self._all = Keeping()  # of whom it told nobody is left
