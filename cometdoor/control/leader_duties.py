"""Periodic tasks of a leader beside replication. No I/O, no clock."""

from __future__ import annotations

from cometdoor.control.membership import MEMBERSHIP_SETTLE_S
from cometdoor.control.replica import Replica
from cometdoor.wire.log_entries import ClockAdvance

CLOCK_ADVANCE_INTERVAL_S = 2.0  # between two entries that advance the state machine's time


class LeaderDuties:
    """Schedules clock advances, and checks whether the group has its target number of voters."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._clock_advanced_at: float | None = None  # None: this replica does not lead
        self._next_voter_check_at = 0.0

    def next_clock_advance(self, now: float) -> ClockAdvance | None:
        """Return the clock advance that is to be proposed now, if any.

        The state machine's time is the sum of these steps. It never runs ahead of a steady clock: the time
        between two leaders is not counted.
        """
        if not self._replica.is_leading:
            self._clock_advanced_at = None
        elif self._clock_advanced_at is None:
            self._clock_advanced_at = now
        elif now - self._clock_advanced_at >= CLOCK_ADVANCE_INTERVAL_S:
            elapsed_ms = int((now - self._clock_advanced_at) * 1000)
            self._clock_advanced_at = now
            return ClockAdvance(elapsed_ms)
        return None

    def are_voters_missing(self, now: float) -> bool:
        """Return whether to report now that the group survives fewer losses than `fault-tolerance` requires.

        True at most once every `MEMBERSHIP_SETTLE_S`, and not at the first check of a replica's incarnation,
        when its group may still be forming.
        """
        replica = self._replica
        if not replica.is_leading or now < self._next_voter_check_at:
            return False
        is_first_check = not self._next_voter_check_at
        self._next_voter_check_at = now + MEMBERSHIP_SETTLE_S
        return not is_first_check and len(replica.voters) < replica.sizing.target_voters
