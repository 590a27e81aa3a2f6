"""Leader election with prevote (Raft, 5.2 and 5.4.1; Ongaro's dissertation, 9.6).

A replica whose election timeout has passed first asks whether it would be elected (prevote). Without
the prevote, a replica that was partitioned would depose a working leader when it returns.
"""

from __future__ import annotations

from cometdoor.control.durable_state import HardState
from cometdoor.control.replica_state import ReplicaContext
from cometdoor.control.roles import Role
from cometdoor.wire.consensus import RequestVote, RequestVoteReply, TimeoutNow
from cometdoor.wire.log_entries import Member

# An election starts after four to eight heartbeat intervals without a leader. Requests with idempotency keys
# wait until there is a leader again.
ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S = 0.4, 0.8
# Used until this incarnation has heard from a leader. After a power loss of the whole group there is none
# and all changes wait, so the timeout is short. If there is a leader, the prevote is denied without effect.
FIRST_ELECTION_TIMEOUT_MIN_S, FIRST_ELECTION_TIMEOUT_MAX_S = 0.06, 0.25
# A learner starts an election after this time without a leader; 99 of 100 elections among voters are over
# by then.
LAST_RESORT_CANDIDACY_S = 1.5


class Elections:
    """Elections from the view of one replica: its election timeout, its candidacy and its votes for others.

    Parameters
    ----------
    replica : ReplicaContext
        The replica of which this is a part.
    now : float
        When this incarnation started, in seconds on a steady clock.
    """

    def __init__(self, replica: ReplicaContext, now: float) -> None:
        self._replica = replica
        self.leader_last_seen_at = -1e9  # negative: not heard from a leader in this incarnation
        self._leaderless_since = now  # when a leader was last heard from, or this incarnation started
        self._election_deadline = now + replica.rng.uniform(
            FIRST_ELECTION_TIMEOUT_MIN_S, FIRST_ELECTION_TIMEOUT_MAX_S
        )
        self._votes: set[str] = set()

    def copy_for(self, replica: ReplicaContext) -> Elections:
        """Return an independent copy as a part of another replica."""
        other = Elections.__new__(Elections)
        other.__dict__.update(self.__dict__)
        other._replica = replica
        other._votes = self._votes.copy()
        return other

    # --- time ---

    def tick(self) -> None:
        """Start an election if the election timeout has passed."""
        replica = self._replica
        if replica.now < self._election_deadline:
            return
        self.reset_election_timeout()
        if self._may_start_election():
            self.start_election(is_prevote=True)

    def reset_election_timeout(self) -> None:
        """Draw a new election timeout at random."""
        min_s, max_s = ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S
        if self.leader_last_seen_at < 0.0 and self._replica.role is not Role.CANDIDATE:
            min_s, max_s = FIRST_ELECTION_TIMEOUT_MIN_S, FIRST_ELECTION_TIMEOUT_MAX_S
        self._election_deadline = self._replica.now + self._replica.rng.uniform(min_s, max_s)

    def on_leader_contact(self) -> None:
        """Record a message of this term's leader and restart the election timeout."""
        self.leader_last_seen_at = self._leaderless_since = self._replica.now
        self.reset_election_timeout()

    # --- candidates ---

    def start_election(self, is_prevote: bool, is_leadership_transfer: bool = False) -> None:
        """Request votes from all other voters.

        Parameters
        ----------
        is_prevote : bool
            Only ask whether votes would be granted; the term stays.
        is_leadership_transfer : bool
            The leader has named this replica as its successor.
        """
        replica = self._replica
        replica.role = Role.PRE_CANDIDATE if is_prevote else Role.CANDIDATE
        self._votes = {replica.me.id}
        if not is_prevote:
            replica.term += 1
            replica.voted_for, replica.leader = replica.me.id, ""
            replica.persist(HardState(replica.term, replica.me.id))
        request = RequestVote(
            replica.term + 1 if is_prevote else replica.term,
            replica.me.id,
            replica.log.last_index,
            replica.log.last_term,
            is_prevote,
            replica.me.address,
            is_leadership_transfer,
        )
        for voter in replica.other_voters():
            replica.send(voter.address, request, after_writes=not is_prevote)
        self.count_votes()

    def count_votes(self) -> None:
        """If a majority has granted its votes, start the election after a prevote, or become the leader."""
        replica = self._replica
        if sum(replica.is_voter(id) for id in self._votes) < replica.majority():
            return
        if replica.role is Role.PRE_CANDIDATE:
            self.start_election(is_prevote=False)
        elif replica.role is Role.CANDIDATE and replica.storage.is_flushed():
            replica.become_leader()

    def on_request_vote_reply(self, reply: RequestVoteReply) -> None:
        """Handle a voter's answer."""
        replica = self._replica
        if reply.term > replica.term and not reply.is_prevote:
            replica.step_down(reply.term)
            return
        if reply.is_prevote and not reply.granted:
            if reply.term > replica.term:
                replica.step_down(reply.term)
            return
        is_pre_candidate = replica.role is Role.PRE_CANDIDATE
        if (
            reply.granted
            and reply.is_prevote == is_pre_candidate
            and reply.term == replica.term + reply.is_prevote
        ):
            self._votes.add(reply.voter)
            if replica.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
                self.count_votes()

    def on_timeout_now(self, message: TimeoutNow) -> None:
        """Start an election at once: the leader has named this replica as its successor."""
        replica = self._replica
        if message.term == replica.term and replica.is_voter(replica.me.id) and self._may_start_election():
            self.start_election(is_prevote=False, is_leadership_transfer=True)

    def _may_start_election(self) -> bool:
        replica = self._replica
        if replica.is_retiring or replica.storage.is_slow(replica.now):
            return False
        if replica.is_voter(replica.me.id):
            return True
        # The member with the most up-to-date log must be able to start an election, or no member can be
        # elected: a learner may have an entry that no voter has, or a voter may be the first to learn that
        # it is demoted (dissertation, 4.2.2). Its own vote does not count, and it transfers the leadership
        # at once.
        is_last_resort = replica.now - self._leaderless_since > LAST_RESORT_CANDIDACY_S
        return is_last_resort and replica.is_member(replica.me.id)

    # --- voters ---

    # A replica answers even if it is a learner by its own log: the candidate requests and counts votes by
    # its own configuration, which may contain a promotion that has not arrived here yet.

    def on_request_vote(self, request: RequestVote) -> None:
        """Answer a candidate's request."""
        replica = self._replica
        has_leader = self._has_leader() and not request.is_leadership_transfer
        if request.is_prevote:
            self._reply_to_prevote(request, has_leader)
            return
        if request.term > replica.term:
            if has_leader:
                return  # a majority can't have confirmed in a prevote that there is no leader
            replica.step_down(request.term)
        granted = (
            request.term == replica.term
            and self._is_log_up_to_date(request)
            and replica.voted_for in ("", request.candidate)
            and replica.role is Role.FOLLOWER
            and bool(replica.members)
        )
        if granted and not replica.voted_for:
            replica.voted_for = request.candidate
            replica.persist(HardState(replica.term, request.candidate))
            self.reset_election_timeout()
        replica.send(
            request.address,
            RequestVoteReply(replica.term, replica.me.id, granted, is_prevote=False),
            after_writes=True,
        )

    def _reply_to_prevote(self, request: RequestVote, has_leader: bool) -> None:
        replica = self._replica
        granted = (
            request.term > replica.term
            and self._is_log_up_to_date(request)
            and not has_leader
            and not replica.storage.is_slow(replica.now)
        )
        term = request.term if granted else replica.term
        replica.send(request.address, RequestVoteReply(term, replica.me.id, granted, is_prevote=True))

    def _has_leader(self) -> bool:
        replica = self._replica
        return replica.role is Role.LEADER or replica.now - self.leader_last_seen_at < ELECTION_TIMEOUT_MIN_S

    def _is_log_up_to_date(self, request: RequestVote) -> bool:
        """Return whether the candidate's log has everything that this one has (Raft, 5.4.1)."""
        log = self._replica.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)

    # --- leaders ---

    def send_timeout_now(self, successor: Member) -> None:
        """Ask the successor to start an election at once (dissertation, 3.10)."""
        replica = self._replica
        replica.send(successor.address, TimeoutNow(replica.term, replica.me.id))
