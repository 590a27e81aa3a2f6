"""Decides when a replica sends a join or leave request, and to which addresses. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

from cometdoor.control.replica import Replica
from cometdoor.control.roles import Role
from cometdoor.wire.consensus import JoinRequest, LeaveRequest

JOIN_RETRY_INTERVAL_S = 0.3
# A member that has not heard from a leader for this time may have been removed, so it asks to join again.
LEADERLESS_TIMEOUT_S = 1.5
MAX_SEED_ADDRESSES = 12


@dataclass(frozen=True, slots=True)
class MembershipRequest:
    """A request to the group, and the internal addresses to which it is sent."""

    message: JoinRequest | LeaveRequest
    addresses: list[str]


class MembershipRequester:
    """Decides when one replica asks the group's leader to add or remove it.

    The leader may be unknown, so each request goes to all known members and seeds; only a leader acts on it.
    """

    def __init__(self, replica: Replica, seed_addresses: list[str]) -> None:
        self._replica = replica
        self._seed_addresses = seed_addresses
        self._next_request_at = 0.0
        self.is_leaving = False  # True: send leave requests instead of join requests

    def update_seeds(self, addresses: list[str]) -> None:
        """Add internal addresses of control planes; the oldest ones beyond a limit are dropped."""
        known_addresses = dict.fromkeys([*self._seed_addresses, *addresses])
        self._seed_addresses = list(known_addresses)[-MAX_SEED_ADDRESSES:]

    def next_request(self, now: float) -> MembershipRequest | None:
        """Return the request that is due now, if any."""
        replica, me = self._replica, self._replica.me
        if now < self._next_request_at or replica.role is Role.LEADER:
            return None
        self._next_request_at = now + JOIN_RETRY_INTERVAL_S
        if self.is_leaving:
            message: LeaveRequest | JoinRequest = LeaveRequest(me.id)
        elif (
            not self._has_current_record()
            or now - replica.elections.leader_last_seen_at > LEADERLESS_TIMEOUT_S
        ):
            message = JoinRequest(me, supports_learners=True)
        else:
            return None
        known_addresses = dict.fromkeys(
            [*self._seed_addresses, *(member.address for member in replica.members)]
        )
        return MembershipRequest(message, [address for address in known_addresses if address != me.address])

    def _has_current_record(self) -> bool:
        """Return whether this replica is a member whose record has its node and zone."""
        me = self._replica.me
        record = self._replica.find_member(me.id)
        return record is not None and (record.node, record.zone) == (me.node, me.zone)
