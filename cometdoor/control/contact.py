"""Whether a replica may speak for the group at this moment, judged before each answer. No I/O, no clock.

Contact with a majority of the present term comes before any answer that depends on the state: a leader has it
while a majority has answered a heartbeat that it sent lately, a follower while it hears the leader. All ages
are taken on the steady clock of this machine from when something was sent (leader) or came (follower);
nothing here compares the clocks of two machines, and the time of day is not used."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cometdoor.control.elections import ELECTION_MOST_S
from cometdoor.control.replica import Replica
from cometdoor.control.replication import HEARTBEAT_S
from cometdoor.control.roles import Role
from cometdoor.wire.messages import Member

# A leader begins nothing once its newest confirmed round is older: by then others that miss it stand for
# election. Below the second that the quarantine of retry budgets allows a deposed leader (`budget.lease`).
MAJORITY_FRESH_S = ELECTION_MOST_S
# Callers are sent to a leader that was heard within so long; who is unsure looks again a moment later.
LEADER_FRESH_S = 2 * HEARTBEAT_S
# A process whose timers were later than this stood still: what it reads then may have lain there for as long.
STOOD_STILL_S = 0.15
# After a longer time without contact no election is under way that would end soon (99 of 100 are over by
# then).
ELECTION_TAKES_S = 1.5


class Contact(Enum):
    LEADS = "leads"  # and may take orders and begin reads
    FOLLOWS = "follows"  # a leader that it has just heard
    ELECTING = "electing"  # it had contact a moment ago: an election may be under way
    CUT_OFF = "cut off"  # it had none for longer than an election takes


@dataclass(frozen=True, slots=True)
class Standing:
    contact: Contact
    silent_s: float  # since the last proof of contact, or since this life began if there was none
    leader: Member | None = None  # where the contact is FOLLOWS


class ContactJudge:
    def __init__(self, replica: Replica, now: float) -> None:
        """`now`: when this life of the replica began."""
        self._replica = replica
        self._began_at = now
        self._looked_at = now  # when the driver's timer fired last
        self._awake_since = now

    def tick(self, now: float) -> None:
        """Called on each of the driver's timers."""
        if now - self._looked_at > STOOD_STILL_S:
            self._awake_since = now
        self._looked_at = now

    def _heard_lately(self, now: float) -> bool:
        """A heartbeat that was read while this process was awake all the time since it can have come."""
        heard_at = self._replica.elections.leader_heard_at
        is_awake = now - self._looked_at <= STOOD_STILL_S and heard_at > self._awake_since
        return is_awake and now - heard_at < LEADER_FRESH_S

    def last_contact_s(self, now: float) -> float | None:
        """How long ago a leader was heard or, by a leader, the newest confirmed round began; None: never in
        this life."""
        at = self._last_contact_at()
        return now - at if at >= self._began_at else None

    def _last_contact_at(self) -> float:
        replica = self._replica
        return max(replica.elections.leader_heard_at, replica.replication.rounds.confirmed_at)

    def has_majority(self, now: float) -> bool:
        """Whether this leader has a proof of contact that is young enough to begin anything, or to wait
        on."""
        return now - self._replica.replication.rounds.confirmed_at < MAJORITY_FRESH_S

    def standing(self, now: float, leader_line_broken: bool = False) -> Standing:
        """`leader_line_broken`: the connection on which the leader was heard last is over. If it lives, it is
        heard on another one within a heartbeat."""
        replica = self._replica
        silent_s = now - max(self._last_contact_at(), self._began_at)
        if replica.role is Role.LEADER:
            if replica.may_accept() and self.has_majority(now):
                return Standing(Contact.LEADS, silent_s)
        elif (
            self._heard_lately(now)
            and not leader_line_broken
            and (leader := replica.leader_member()) is not None
        ):
            return Standing(Contact.FOLLOWS, silent_s, leader)
        return Standing(Contact.CUT_OFF if silent_s > ELECTION_TAKES_S else Contact.ELECTING, silent_s)
