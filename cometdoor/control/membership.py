"""Membership changes of the group: one at a time, each committed before the next.

Ongaro's dissertation, 4.1, with the correction that a leader first commits an entry of its own term.

A member is a voter or a learner. A learner receives the log, but no commit, election, read or check quorum
waits for it. Every replica joins as a learner; it is promoted once it holds everything that is committed.
The number of voters is kept at `Sizing.target_voters`; further members are standby learners. A voter that
is silent, is leaving or has lost its disk is replaced by a learner (docs/design/control.md, "A second
loss").

A change is proposed only if a majority of the voters after it are in contact and hold everything that is
committed. So each configuration that may come into force has every committed entry on a majority.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from msgspec.structs import replace

from cometdoor.control.follower_progress import FOLLOWER_CONTACT_MAX_AGE_S, FollowerProgress
from cometdoor.control.replica_state import ReplicaContext
from cometdoor.control.replication import Replication
from cometdoor.control.roles import Role
from cometdoor.wire.consensus import JoinRequest
from cometdoor.wire.log_entries import Member, MembershipChange

VOTER_TIMEOUT_S = 1.5  # a voter that is silent for this time is replaced by a learner that is caught up
LEARNER_TIMEOUT_S = 5.0  # a learner that is silent for this time is removed; it may join again
JOIN_REQUEST_TTL_S = 2.0  # joiners repeat their request within a second
LEAVE_REQUEST_TTL_S = 2.0  # a leaving member repeats its request within a second until it is removed
MEMBERSHIP_SETTLE_S = 10.0  # if no member was added for this time, no more are expected

GroupConfiguration = tuple[Member, ...]


def with_reported_place(member: Member, reported: Member | None) -> Member:
    """Return a member's record with the node and zone that it has reported, if it has from its address."""
    if reported is None or reported.address != member.address:
        return member
    return replace(member, node=reported.node, zone=reported.zone)


class Membership:
    """Handles join and leave requests on the leader, and decides on the next change of the members."""

    def __init__(self, replica: ReplicaContext, replication: Replication) -> None:
        self._replica = replica
        self._replication = replication
        # By id: the replica that asked to join, and the time of its last request.
        self._joiners: dict[str, tuple[Member, float]] = {}
        self._wiped: set[str] = set()  # ids removed in this term because their disks are gone
        self._reported: dict[str, Member] = {}  # by id: members whose node or zone differs from their record
        self._leave_announced_at: dict[str, float] = {}  # by id: when the last request came
        self._proposed_index = 0  # index of this leader's newest membership change
        self._last_added_at = 0.0  # when this leader last added a member
        self.is_reconfiguring = False  # True: a follower's reply may make the next change possible

    def copy_for(self, replica: ReplicaContext, replication: Replication) -> Membership:
        """Return an independent copy as a part of another replica."""
        other = Membership.__new__(Membership)
        other.__dict__.update(self.__dict__)
        other._replica, other._replication = replica, replication
        other._joiners = self._joiners.copy()
        other._wiped = self._wiped.copy()
        other._reported = self._reported.copy()
        other._leave_announced_at = self._leave_announced_at.copy()
        return other

    def start_term(self) -> None:
        """Reset the requests and changes of an earlier term; replicas repeat their requests."""
        self._joiners.clear()
        self._wiped.clear()
        self._reported = {self._replica.me.id: self._replica.me}
        self._leave_announced_at.clear()
        self._proposed_index = 0
        self._last_added_at = self._replica.now
        self.is_reconfiguring = True

    def is_leaving(self, id: str) -> bool:
        """Return whether that member announced recently that it leaves."""
        announced_at = self._leave_announced_at.get(id)
        return announced_at is not None and self._replica.now - announced_at < LEAVE_REQUEST_TTL_S

    def has_change_in_flight(self) -> bool:
        """Return whether a change that this leader proposed is not committed.

        Changes of earlier leaders are committed once this one `is_leading`.
        """
        return self._proposed_index > self._replica.committed

    def may_accept_first_change(self) -> bool:
        """Return whether there are enough voters to acknowledge the first change after the bootstrap.

        If no member was added for `MEMBERSHIP_SETTLE_S`, fewer suffice, as long as every entry is on one disk
        more than may be lost.
        """
        replica, sizing = self._replica, self._replica.sizing
        voters = len(replica.voters)
        if voters >= sizing.initial_voters:
            return True
        is_settled = replica.now - self._last_added_at > MEMBERSHIP_SETTLE_S
        return is_settled and sizing.fault_tolerance > 0 and voters >= sizing.min_voters

    # --- requests of members ---

    def on_join_request(self, request: JoinRequest) -> None:
        """Record a replica that asks to join, and add it as a learner if that is possible now.

        A member asks again if its record does not have its node and zone.
        """
        replica, member = self._replica, request.member
        # A build without learners would treat all members as voters.
        if replica.role is not Role.LEADER or not request.supports_learners:
            return
        if replica.is_member(member.id):
            self._reported[member.id] = member
            self.tick()
            return
        # A delayed request of an earlier incarnation may arrive when its address already has another disk.
        if member.id in self._wiped or any(map(self._is_in_contact, self._members_at(member.address))):
            return
        self._joiners[member.id] = replace(member, voter=False), replica.now
        self.tick()

    def on_leave_request(self, id: str) -> None:
        """Record that a member leaves. A leader that leaves transfers its leadership."""
        replica = self._replica
        if replica.role is not Role.LEADER:
            return
        if id == replica.me.id:
            replica.transfer_leadership()
        elif replica.is_member(id):
            self._leave_announced_at[id] = replica.now

    # --- the leader's next change ---

    def on_follower_reply(self) -> None:
        """Propose the next change if a follower's reply may have made it possible."""
        if self.is_reconfiguring:
            self.tick()

    def tick(self) -> None:
        """Propose the next change, if one is needed and possible now."""
        replica = self._replica
        if not replica.is_leading or replica.is_transferring_leadership or self.has_change_in_flight():
            return
        self._expire_joiners()
        next_configuration = self._next_configuration()
        self.is_reconfiguring = next_configuration is not None or self._awaits_learner()
        if next_configuration is not None:
            self._change_to(next_configuration)

    def _next_configuration(self) -> GroupConfiguration | None:
        steps: tuple[Callable[[], GroupConfiguration | None], ...] = (
            self._without_wiped_voter,
            self._with_reported_places,
            self._with_missing_voter,
            self._with_replacement_for_lost_voter,
            self._without_surplus_voter,
            self._without_dead_learner,
            self._with_joiner,
            self._with_better_spread,
        )
        return next(
            (next_configuration for step in steps if (next_configuration := step()) is not None), None
        )

    def _change_to(self, next_configuration: GroupConfiguration) -> None:
        replica = self._replica
        if len(next_configuration) > len(replica.members):
            self._last_added_at = replica.now
        remaining_ids = {member.id for member in next_configuration}
        for removed in [member for member in replica.members if member.id not in remaining_ids]:
            if self._is_wiped(removed):
                self._wiped.add(removed.id)
            replica.followers.pop(removed.id, None)
            self._leave_announced_at.pop(removed.id, None)
        self._joiners = {id: joiner for id, joiner in self._joiners.items() if id not in remaining_ids}
        self._proposed_index = replica.propose(MembershipChange(next_configuration))
        self._replication.broadcast_heartbeat()

    def _expire_joiners(self) -> None:
        now = self._replica.now
        if self._joiners:
            self._joiners = {
                id: joiner for id, joiner in self._joiners.items() if now - joiner[1] < JOIN_REQUEST_TTL_S
            }

    def _awaits_learner(self) -> bool:
        replica = self._replica
        return len(replica.voters) < replica.sizing.target_voters and len(replica.members) > len(
            replica.voters
        )

    # --- steps: each returns the configuration after it, or None if it does not apply ---

    def _without_wiped_voter(self) -> GroupConfiguration | None:
        """Remove a voter whose disk is gone: it never returns, so nothing is lost if enough disks remain."""
        replica = self._replica
        if len(replica.voters) <= replica.sizing.min_voters:
            return None
        wiped = next((voter for voter in replica.other_voters() if self._is_wiped(voter)), None)
        return self._if_committed_on_majority(self._without(wiped)) if wiped is not None else None

    def _with_reported_places(self) -> GroupConfiguration | None:
        """Complete the records of members whose node and zone were not known, as those of founders.

        Neither counts for majorities, so that several records may change at once.
        """
        members = tuple(
            with_reported_place(member, self._reported.get(member.id)) for member in self._replica.members
        )
        return self._if_committed_on_majority(members) if members != self._replica.members else None

    def _with_missing_voter(self) -> GroupConfiguration | None:
        replica = self._replica
        return self._with_best_learner() if len(replica.voters) < replica.sizing.target_voters else None

    def _with_replacement_for_lost_voter(self) -> GroupConfiguration | None:
        """Promote a learner before the lost voter is demoted, so that no vote is given up if it returns."""
        replica = self._replica
        if len(replica.voters) > replica.sizing.target_voters or not any(map(self._is_lost, replica.voters)):
            return None
        return self._with_best_learner()

    def _without_surplus_voter(self) -> GroupConfiguration | None:
        replica = self._replica
        if len(replica.voters) <= replica.sizing.target_voters:
            return None
        lost = [voter for voter in replica.voters if self._is_lost(voter)]
        if lost:
            wiped = next((voter for voter in lost if self._is_wiped(voter)), None)
            if wiped is not None:
                return self._if_committed_on_majority(self._without(wiped))
            longest_unseen = min(lost, key=lambda voter: self._progress(voter).last_seen_at)
            return self._if_committed_on_majority(self._with_vote(longest_unseen, False))
        if not all(map(self._is_in_contact, replica.voters)):
            return None  # a voter out of contact may soon count as lost; then it is demoted
        voters_per_zone = Counter(voter.zone for voter in replica.voters)
        others = [voter for voter in replica.voters if voter.id != replica.me.id]
        return self._if_committed_on_majority(
            self._with_vote(max(others, key=lambda voter: voters_per_zone[voter.zone]), False)
        )

    def _without_dead_learner(self) -> GroupConfiguration | None:
        now = self._replica.now
        for learner in self._learners():
            if self._is_wiped(learner) or now - self._progress(learner).last_seen_at > LEARNER_TIMEOUT_S:
                return self._if_committed_on_majority(self._without(learner))
        return None

    def _with_joiner(self) -> GroupConfiguration | None:
        replica = self._replica
        joiner = next(
            (joiner for joiner, _ in self._joiners.values() if not replica.is_member(joiner.id)), None
        )
        if joiner is None or not self._all_support_learners():
            return None
        return self._if_committed_on_majority((*replica.members, joiner))

    def _with_better_spread(self) -> GroupConfiguration | None:
        """Promote a learner if the zone with most voters has at least two more than the learner's zone."""
        replica = self._replica
        if len(replica.members) == len(replica.voters) or not all(map(self._is_in_contact, replica.voters)):
            return None
        voters_per_zone = Counter(voter.zone for voter in replica.voters)
        best = self._best_learner()
        if best is None or max(voters_per_zone.values()) - voters_per_zone[best.zone] < 2:
            return None
        return self._if_committed_on_majority(self._with_vote(best, True))

    # --- configurations ---

    def _without(self, removed: Member) -> GroupConfiguration:
        return tuple(member for member in self._replica.members if member.id != removed.id)

    def _with_vote(self, changed: Member, voter: bool) -> GroupConfiguration:
        return tuple(
            replace(member, voter=voter) if member.id == changed.id else member
            for member in self._replica.members
        )

    def _with_best_learner(self) -> GroupConfiguration | None:
        best = self._best_learner()
        return self._if_committed_on_majority(self._with_vote(best, True)) if best is not None else None

    def _best_learner(self) -> Member | None:
        """Return a learner that may be promoted, from the zone with the fewest voters that are not lost."""
        caught_up = [learner for learner in self._learners() if self._is_caught_up(learner)]
        voters_per_zone = Counter(voter.zone for voter in self._replica.voters if not self._is_lost(voter))
        return min(caught_up, key=lambda learner: voters_per_zone[learner.zone], default=None)

    def _if_committed_on_majority(self, next_configuration: GroupConfiguration) -> GroupConfiguration | None:
        """Return the configuration if a majority of its voters is in contact and up to date."""
        voters = [member for member in next_configuration if member.voter]
        up_to_date_count = sum(self._has_all_committed(voter) for voter in voters)
        return next_configuration if up_to_date_count > len(voters) // 2 else None

    # --- members in the leader's view ---

    def _learners(self) -> list[Member]:
        return [member for member in self._replica.members if not member.voter]

    def _progress(self, member: Member) -> FollowerProgress:
        replica = self._replica
        if member.id == replica.me.id:
            return FollowerProgress(0, match_index=replica.storage.durable_index, last_seen_at=replica.now)
        return replica.track_follower(member, replica.log.base_index + 1)

    def _is_in_contact(self, member: Member) -> bool:
        return self._replica.now - self._progress(member).last_seen_at < FOLLOWER_CONTACT_MAX_AGE_S

    def _has_all_committed(self, member: Member) -> bool:
        return self._is_in_contact(member) and self._progress(member).match_index >= self._replica.committed

    def _is_caught_up(self, learner: Member) -> bool:
        return (
            self._has_all_committed(learner)
            and not self.is_leaving(learner.id)
            and not self._is_wiped(learner)
        )

    def _is_wiped(self, member: Member) -> bool:
        """Return whether this member's disk is gone for good: its address has a newer member or joiner.

        A replica's id belongs to its disk: another id at the address is another disk.
        """
        ids = [other.id for other in self._members_at(member.address)]
        ids += [joiner.id for joiner, _ in self._joiners.values() if joiner.address == member.address]
        return ids[-1] != member.id and not self._is_in_contact(member)

    def _members_at(self, address: str) -> list[Member]:
        return [member for member in self._replica.members if member.address == address]

    def _is_lost(self, voter: Member) -> bool:
        if voter.id == self._replica.me.id:
            return False
        is_silent = self._replica.now - self._progress(voter).last_seen_at > VOTER_TIMEOUT_S
        return is_silent or self.is_leaving(voter.id) or self._is_wiped(voter)

    def _all_support_learners(self) -> bool:
        """Return whether all followers run a build with learners; others would treat learners as voters."""
        return all(progress.supports_learners for progress in self._replica.followers.values())
