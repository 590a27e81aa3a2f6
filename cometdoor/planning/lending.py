"""Sends to cold servers, lent by planners to forwarders. No I/O, and no agreement between planners.

A server that has just started may be sent a stated multiple of what it can do, by all proxies together,
within any window of `fall_ms`. That budget is divided beforehand. Forwarders have a part by themselves; of
the rest each planner has an equal part, and lends out of that alone.

A loan is a number of sends. It is good for `loan_ms` from its receipt, and is taken only if its note proves
that it was written at most `fresh_ms` before. So what a planner lent at one moment is sent within `fresh_ms
+ loan_ms` of it, and what it may lend within that time and one window more is its part of one window.

Doubled notes are dropped by their numbers, forged ones by their seals, late ones by their echoes, and those
that contradict one another come each out of their own planner's part: no set of them adds up to more.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Of the budget, what all planners may lend together. The module's own part takes half of it as a flow, and
# half of a window's flow as a burst (COLD_MARGIN in jasperhall/balancer.py): three quarters in one window.
LENT_SHARE = 0.2
LOAN_MS = 1_000.0  # short beside the seconds that a server takes to warm up, long beside a beat of reports
FRESH_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class ColdRules:
    """As the settings state them."""

    cold_from: float  # share of its capacity that a server starts with
    overload_factor: float
    fall_ms: float

    def window_sends(self, warm_rate: float) -> float:
        """What a server that has just started may be sent within one window. `warm_rate`: sends in a ms that
        a warm server of its weight bears."""
        return self.overload_factor * self.cold_from * warm_rate * self.fall_ms


@dataclass(frozen=True, slots=True)
class Loan:
    server: str
    started: int  # which start of the server it is for; compared only for being the same
    sends: int


class Lender:
    """A planner's part of the budgets.

    `planners`: how many are configured; whether they are alive does not matter. For the first span of its
    life it lends nothing: what it lent in a former life, which it does not remember, may still be out.
    """

    def __init__(self, rules: ColdRules, planners: int, now_ms: float, *, loan_ms: float = LOAN_MS,
                 fresh_ms: float = FRESH_MS) -> None:
        self._rules = rules
        self._share = LENT_SHARE / planners
        self._span_ms = fresh_ms + loan_ms + rules.fall_ms
        self._lends_from = now_ms + self._span_ms
        self._lent: dict[str, deque[tuple[float, int]]] = {}  # by server: when and how many, oldest first

    def lend(self, server: str, started: int, warm_rate: float, wanted: int, now_ms: float) -> Loan | None:
        """`warm_rate` as in `ColdRules.window_sends`, rather too low than too high. The note is to be sealed
        in the same step: its echo must not be younger than `now_ms`.

        What it can do later, when it is warmer, is not lent: it may start again at any time, and forwarders
        that have not heard of that would use their loans on it. So all its starts count together, too.
        """
        if now_ms < self._lends_from or wanted < 1:
            return None
        part = int(self._share * self._rules.window_sends(warm_rate) + 1e-9)
        sends = min(wanted, part - self.out(server, now_ms))
        if sends < 1:
            return None
        self._lent.setdefault(server, deque()).append((now_ms, sends))
        return Loan(server, started, sends)

    def out(self, server: str, now_ms: float) -> int:
        """Sends of loans that may be used, or may have been used within the present window."""
        lent = self._lent.get(server)
        while lent and now_ms - lent[0][0] > self._span_ms:
            lent.popleft()
        if not lent:
            self._lent.pop(server, None)
            return 0
        return sum(sends for _, sends in lent)

    def forget_old(self, now_ms: float) -> None:
        """Guards against servers that came once and are remembered for ever."""
        for server in list(self._lent):
            self.out(server, now_ms)


class Borrower:
    """What a forwarder has been lent and not yet used. It comes on top of its own part."""

    def __init__(self, *, loan_ms: float = LOAN_MS, fresh_ms: float = FRESH_MS) -> None:
        self._loan_ms = loan_ms
        self._fresh_ms = fresh_ms
        self._loans: dict[str, deque[tuple[float, int, int]]] = {}  # by server: until, start, sends left

    def receive(self, loan: Loan, age_ms: float | None, now_ms: float) -> bool:
        """`age_ms`: at most so long ago it was written, as its note proves. Whether it was taken."""
        if age_ms is None or age_ms > self._fresh_ms or loan.sends < 1:
            return False
        self._loans.setdefault(loan.server, deque()).append(
            (now_ms + self._loan_ms, loan.started, loan.sends))
        return True

    def available(self, server: str, started: int, now_ms: float) -> int:
        """Of loans for this start of the server alone."""
        return sum(sends for _, start, sends in self._valid(server, now_ms) if start == started)

    def use(self, server: str, started: int, now_ms: float) -> bool:
        """Take one send out of the loan that ends first. False: there is none."""
        loans = self._valid(server, now_ms)
        for place, (until, start, sends) in enumerate(loans):
            if start == started:
                if sends > 1:
                    loans[place] = until, start, sends - 1
                else:
                    del loans[place]
                return True
        return False

    def _valid(self, server: str, now_ms: float) -> deque[tuple[float, int, int]]:
        loans = self._loans.get(server, deque())
        while loans and loans[0][0] <= now_ms:
            loans.popleft()
        if not loans:
            self._loans.pop(server, None)
        return loans
