"""Replication progress of each follower, as the leader knows it (Raft, 5.3). No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from cometdoor.control.read_rounds import NEVER

HEARTBEAT_INTERVAL_S = 0.1  # between two heartbeats of the leader to a member
APPEND_RESEND_TIMEOUT_S = 0.25  # an append that is not answered within this time counts as lost
# A follower that answered within this time is in contact.
FOLLOWER_CONTACT_MAX_AGE_S = 3 * HEARTBEAT_INTERVAL_S


@dataclass
class FollowerProgress:
    """Replication state of one follower; times are seconds on the leader's steady clock."""

    next_index: int  # the next entry to send
    match_index: int = 0  # the follower's disk is known to agree with the leader's log up to this index
    append_sent_at: float = NEVER  # when the unanswered append was sent; NEVER if there is none
    last_seen_at: float = NEVER
    round: int = 0  # number of the newest heartbeat round that the follower has answered
    supports_learners: bool = True  # True until a reply shows a build without learners

    def has_append_in_flight(self, now: float) -> bool:
        """Return whether an append was sent that is neither answered nor counted as lost."""
        return now - self.append_sent_at <= APPEND_RESEND_TIMEOUT_S

    def copy(self) -> FollowerProgress:
        """Return an independent copy."""
        return FollowerProgress(
            self.next_index,
            self.match_index,
            self.append_sent_at,
            self.last_seen_at,
            self.round,
            self.supports_learners,
        )
