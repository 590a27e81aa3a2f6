"""Leases of attempts to servers in slow start, from planners to forwarders. No I/O, no consensus.

A server that has just started may get at most `overload_factor` times what it can serve, from all proxies
together, within any window of `overload_tolerance_ms`. This budget is divided in advance: the decision
modules of the forwarders use one part without leases, and LEASED_BUDGET_SHARE of it is divided equally among
the planners. A planner issues leases from its own part alone.

A lease is a number of attempts that the decision module of its receiver may make. It is valid for
`lease_ttl_ms` from its receipt, and is accepted only if its message proves that it was written at most
`max_lease_age_ms` before. So a lease is used within `max_lease_age_ms + lease_ttl_ms` of its issue, and what
a planner issues within that time and one more window is bounded by its part of one window.

Duplicate messages are detected by their numbers, forged ones by their seals, late ones by their echoes, and
all of these are dropped. Leases of several planners use different parts, also when the planners contradict
one another. So no set of leases exceeds the budget.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import msgspec

from cometdoor.errors import CometdoorError
from cometdoor.planning.load_reports import SERVER_ID_BYTES

# Share of the budget that all planners together may lease. The decision modules' part takes half of the
# budget as a rate, and half of a window's rate as a burst (OVERLOAD_MARGIN in
# cometdoor/balancing/slow_start.py): three quarters in one window.
LEASED_BUDGET_SHARE = 0.2
LEASE_TTL_MS = 1_000.0  # shorter than slow start, which takes seconds, and longer than a reporting interval
MAX_LEASE_AGE_MS = 1_000.0  # a lease in an older message, or in one of unproven age, is not accepted


@dataclass(frozen=True, slots=True)
class SlowStartRules:
    """How servers in slow start behave, as configured."""

    slow_start_initial_share: float  # share of its capacity that a server starts with
    overload_factor: float  # multiple of its capacity that overloads a starting server
    overload_tolerance_ms: float  # time under that overload after which it collapses

    def sends_per_window(self, warm_rate: float) -> float:
        """Return the attempts that a server may get within one window just after its start.

        Parameters
        ----------
        warm_rate
            Attempts per ms that a warm server of its weight gets.
        """
        return self.overload_factor * self.slow_start_initial_share * warm_rate * self.overload_tolerance_ms


class CapacityLease(msgspec.Struct, array_like=True, frozen=True):
    """Permission for a number of attempts to one start of a server."""

    server: bytes  # its id, as in reports
    start_number: int  # of the start; compared only for equality
    sends: int  # attempts


class LeaseIssuer:
    """Issues leases from one planner's part of the budgets, and keeps count of those that are outstanding.

    After a start it issues nothing for as long as leases of its former incarnation may still be in use, since
    it does not know them.

    Parameters
    ----------
    rules
        How servers in slow start behave.
    planner_count
        Number of planners that are configured, alive or not.
    now_ms
        Time of the start.
    lease_ttl_ms, max_lease_age_ms
        See the module's docstring.
    """

    def __init__(
        self,
        rules: SlowStartRules,
        planner_count: int,
        now_ms: float,
        *,
        lease_ttl_ms: float = LEASE_TTL_MS,
        max_lease_age_ms: float = MAX_LEASE_AGE_MS,
    ) -> None:
        self._rules = rules
        self._budget_share = LEASED_BUDGET_SHARE / planner_count
        self._lease_window_ms = max_lease_age_ms + lease_ttl_ms + rules.overload_tolerance_ms
        self._issues_from_ms = now_ms + self._lease_window_ms
        self._issued: dict[
            bytes, deque[tuple[float, int]]
        ] = {}  # by server: time and attempts, the oldest first

    def issue(
        self, server: bytes, start_number: int, warm_rate: float, requested: int, now_ms: float
    ) -> CapacityLease | None:
        """Return a lease for up to `requested` attempts, or None if nothing is left.

        The message must be sealed in the same step, so that its echo is not younger than `now_ms`.

        The allocation does not grow while the server warms up: it may restart at any time, and a forwarder
        that has not learned of the restart would use its lease on the new start. For the same reason the
        leases of all starts of a server count together.

        Parameters
        ----------
        warm_rate
            As in `SlowStartRules.sends_per_window`; an estimate that should err on the low side.
        """
        if now_ms < self._issues_from_ms or requested < 1:
            return None
        sends = min(requested, self.allocation(warm_rate) - self.outstanding(server, now_ms))
        if sends < 1:
            return None
        self._issued.setdefault(server, deque()).append((now_ms, sends))
        return CapacityLease(server, start_number, sends)

    def allocation(self, warm_rate: float) -> int:
        """Return the attempts to one server that this planner may have leased at a time."""
        return int(self._budget_share * self._rules.sends_per_window(warm_rate) + 1e-9)

    def outstanding(self, server: bytes, now_ms: float) -> int:
        """Return the leased attempts that may still be used or were possibly used in the current window."""
        issued = self._issued.get(server)
        while issued and now_ms - issued[0][0] > self._lease_window_ms:
            issued.popleft()
        if not issued:
            self._issued.pop(server, None)
            return 0
        return sum(sends for _, sends in issued)

    def all_outstanding(self, now_ms: float) -> dict[bytes, int]:
        """Return the outstanding attempts by server."""
        self.forget_old(now_ms)
        return {server: self.outstanding(server, now_ms) for server in self._issued}

    def forget_old(self, now_ms: float) -> None:
        """Drop servers without outstanding leases, which nothing else does for servers no longer reported."""
        for server in list(self._issued):
            self.outstanding(server, now_ms)


# --- on the wire ---


class InvalidLeaseError(CometdoorError):
    """A message's body is not a valid lease, or has values out of range."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(CapacityLease)


def encode_lease(lease: CapacityLease) -> bytes:
    """Return a message's body."""
    return _ENCODER.encode(lease)


def decode_lease(body: bytes) -> CapacityLease:
    """Return the lease in a message's body; raise InvalidLeaseError."""
    try:
        lease = _DECODER.decode(body)
    except msgspec.DecodeError as problem:
        raise InvalidLeaseError(str(problem)) from problem
    if len(lease.server) != SERVER_ID_BYTES or lease.sends < 1:
        raise InvalidLeaseError(
            f"{lease.sends} attempts to a server with an id of {len(lease.server)} bytes are not valid"
        )
    return lease
