"""Decides before each answer whether a replica may answer for the group (check quorum). No I/O, no clock.

Every answer that depends on the state requires contact with a majority in the current term. A leader has it
while a majority has answered a recent heartbeat, a follower while it hears from the leader. Ages are
measured on this machine's steady clock, from when a heartbeat was sent (leader) or arrived (follower).
Clocks of two machines are never compared, and the time of day is not used.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cometdoor.control.elections import ELECTION_TIMEOUT_MAX_S
from cometdoor.control.follower_progress import HEARTBEAT_INTERVAL_S
from cometdoor.control.replica import Replica
from cometdoor.control.roles import Role
from cometdoor.wire.log_entries import Member

# A leader accepts no change or read once its newest confirmed round is older: by then others may have
# started an election. The age must stay below the second that the quarantine of retry budgets allows for a
# deposed leader (`budget.lease.quarantine_s`).
QUORUM_CONTACT_MAX_AGE_S = ELECTION_TIMEOUT_MAX_S
# Callers are redirected only to a leader that was heard from within this time; otherwise they wait a moment.
LEADER_CONTACT_MAX_AGE_S = 2 * HEARTBEAT_INTERVAL_S
# A process whose timer is later than this was paused: messages that it reads then may be as old as the pause.
PAUSE_DETECTION_S = 0.15
# After this time without contact, calls do not wait for an election: 99 of 100 elections are over by then.
ELECTION_P99_S = 1.5


class LeaderContact(Enum):
    """Contact of a replica with its group; the values appear in `Core.Describe`."""

    LEADING = "leads"  # may accept proposals and begin reads
    FOLLOWING = "follows"  # has just heard from a leader
    ELECTING = "electing"  # had contact a moment ago: an election may be under way
    ISOLATED = "cut off"  # had no contact for longer than an election takes


@dataclass(frozen=True, slots=True)
class ContactStatus:
    """Contact of a replica at one moment."""

    contact: LeaderContact
    no_contact_s: float  # since the last contact, or since the start if there was none
    leader: Member | None = None  # if FOLLOWING


class LeaderContactMonitor:
    """Evaluates whether one replica is in contact with a leader or, as the leader, with a majority.

    Parameters
    ----------
    replica : Replica
        The replica that is observed.
    now : float
        When this incarnation started, in seconds on a steady clock.
    """

    def __init__(self, replica: Replica, now: float) -> None:
        self._replica = replica
        self._started_at = now
        self._last_tick_at = now  # when the server's timer fired last
        self._running_since = now  # the process has not been paused since then

    def tick(self, now: float) -> None:
        """Record that the timer fired; a late timer shows that the process was paused."""
        if now - self._last_tick_at > PAUSE_DETECTION_S:
            self._running_since = now
        self._last_tick_at = now

    def _has_recent_heartbeat(self, now: float) -> bool:
        """Return whether a leader was heard from recently, and the process was running all the time since.

        After a pause the first heartbeats read may have waited in a socket for as long as the pause was.
        """
        last_seen_at = self._replica.elections.leader_last_seen_at
        is_running = now - self._last_tick_at <= PAUSE_DETECTION_S and last_seen_at > self._running_since
        return is_running and now - last_seen_at < LEADER_CONTACT_MAX_AGE_S

    def last_contact_age_s(self, now: float) -> float | None:
        """Return the seconds since the last contact; None if there was none in this incarnation.

        Contact of a leader dates from the start of its newest confirmed round.
        """
        contact_at = self._last_contact_at()
        return now - contact_at if contact_at >= self._started_at else None

    def _last_contact_at(self) -> float:
        replica = self._replica
        return max(replica.elections.leader_last_seen_at, replica.replication.read_rounds.confirmed_at)

    def has_quorum_contact(self, now: float) -> bool:
        """Return whether a leader's newest confirmed round is recent enough to start or await requests."""
        return now - self._replica.replication.read_rounds.confirmed_at < QUORUM_CONTACT_MAX_AGE_S

    def contact_status(self, now: float, is_leader_connection_broken: bool = False) -> ContactStatus:
        """Return the contact at this moment.

        `is_leader_connection_broken`: the connection of the leader's last message is closed. A leader that is
        alive opens another one and sends a message within a heartbeat interval.
        """
        replica = self._replica
        no_contact_s = now - max(self._last_contact_at(), self._started_at)
        if replica.role is Role.LEADER:
            if replica.may_accept() and self.has_quorum_contact(now):
                return ContactStatus(LeaderContact.LEADING, no_contact_s)
        elif (
            self._has_recent_heartbeat(now)
            and not is_leader_connection_broken
            and (leader := replica.find_leader()) is not None
        ):
            return ContactStatus(LeaderContact.FOLLOWING, no_contact_s, leader)
        return ContactStatus(
            LeaderContact.ISOLATED if no_contact_s > ELECTION_P99_S else LeaderContact.ELECTING, no_contact_s
        )
