"""Sends to cold servers, lent by planners to forwarders. No I/O, and no agreement between planners.

A server that has just started may be sent a stated multiple of what it can do, by all proxies together,
within any window of `fall_ms`. That budget is divided beforehand. Forwarders have a part by themselves; of
the rest each planner has an equal part, and lends out of that alone.

A loan is a number of sends, kept by the decision module of the forwarder that has it. It is good for
`loan_ms` from its receipt, and is taken only if its note proves that it was written at most `fresh_ms`
before. So what a planner lent at one moment is sent within `fresh_ms + loan_ms` of it, and what it may lend
within that time and one window more is its part of one window.

Doubled notes are dropped by their numbers, forged ones by their seals, late ones by their echoes, and those
that contradict one another come each out of their own planner's part: no set of them adds up to more.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import msgspec

from cometdoor.planning.reports import SERVER_ID

# Of the budget, what all planners may lend together. The module's own part takes half of it as a flow, and
# half of a window's flow as a burst (COLD_MARGIN in jasperhall/warmth.py): three quarters in one window.
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


class Loan(msgspec.Struct, array_like=True, frozen=True):
    server: bytes  # its id, as in reports
    started: int  # which start of the server it is for; compared only for being the same
    sends: int


class Lender:
    """A planner's part of the budgets.

    `planners`: how many are configured; whether they are alive does not matter. For the first span of its
    life it lends nothing: what it lent in a former life, which it does not remember, may still be out.
    """

    def __init__(
        self,
        rules: ColdRules,
        planners: int,
        now_ms: float,
        *,
        loan_ms: float = LOAN_MS,
        fresh_ms: float = FRESH_MS,
    ) -> None:
        self._rules = rules
        self._share = LENT_SHARE / planners
        self._span_ms = fresh_ms + loan_ms + rules.fall_ms
        self._lends_from = now_ms + self._span_ms
        self._lent: dict[bytes, deque[tuple[float, int]]] = {}  # by server: when and how many, oldest first

    def lend(self, server: bytes, started: int, warm_rate: float, wanted: int, now_ms: float) -> Loan | None:
        """`warm_rate` as in `ColdRules.window_sends`, rather too low than too high. The note is to be sealed
        in the same step: its echo must not be younger than `now_ms`.

        What it can do later, when it is warmer, is not lent: it may start again at any time, and forwarders
        that have not heard of that would use their loans on it. So all its starts count together, too.
        """
        if now_ms < self._lends_from or wanted < 1:
            return None
        sends = min(wanted, self.part(warm_rate) - self.out(server, now_ms))
        if sends < 1:
            return None
        self._lent.setdefault(server, deque()).append((now_ms, sends))
        return Loan(server, started, sends)

    def part(self, warm_rate: float) -> int:
        """What this planner may have out of sends to one server."""
        return int(self._share * self._rules.window_sends(warm_rate) + 1e-9)

    def out(self, server: bytes, now_ms: float) -> int:
        """Sends of loans that may be used, or may have been used within the present window."""
        lent = self._lent.get(server)
        while lent and now_ms - lent[0][0] > self._span_ms:
            lent.popleft()
        if not lent:
            self._lent.pop(server, None)
            return 0
        return sum(sends for _, sends in lent)

    def all_out(self, now_ms: float) -> dict[bytes, int]:
        self.forget_old(now_ms)
        return {server: self.out(server, now_ms) for server in self._lent}

    def forget_old(self, now_ms: float) -> None:
        """Guards against servers that came once and are remembered for ever."""
        for server in list(self._lent):
            self.out(server, now_ms)


# --- on the wire ---


class BadLoan(Exception):
    """The body can't be read, or says what can't be; the message says what."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Loan)


def write_loan(loan: Loan) -> bytes:
    return _ENCODER.encode(loan)


def read_loan(body: bytes) -> Loan:
    try:
        loan = _DECODER.decode(body)
    except msgspec.DecodeError as problem:
        raise BadLoan(str(problem)) from None
    if len(loan.server) != SERVER_ID or loan.sends < 1:
        raise BadLoan(f"{loan.sends} sends to a server with an id of {len(loan.server)} bytes")
    return loan
