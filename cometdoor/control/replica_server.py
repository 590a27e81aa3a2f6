"""Runs one replica in its process: timers, connections, the disk, the state machine and pending requests.

Decisions are made without I/O in `replica`, `leader_contact`, `leader_duties`, `membership_requester`,
`pending_requests` and `state_machine`. This module carries them out: everything that arrives in one iteration
of the event loop is appended, written and sent together (`_run_turn`). It uses callbacks instead of tasks,
since each step must run to its end and the order of the steps matters.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable
from pathlib import Path

import structlog
from msgspec.structs import replace

from cometdoor.budget.allocator import BudgetAllocator
from cometdoor.control.disk_writer import DiskWriter
from cometdoor.control.durable_state import DurableState
from cometdoor.control.founding import find_founder
from cometdoor.control.leader_contact import ContactStatus, LeaderContact, LeaderContactMonitor
from cometdoor.control.leader_duties import LeaderDuties
from cometdoor.control.leader_requests import LeaderRequests, OnApplied
from cometdoor.control.membership_requester import MembershipRequester
from cometdoor.control.pending_requests import PendingRequests, ProposalCompleted
from cometdoor.control.recovery import load_durable_state
from cometdoor.control.replica import Replica
from cometdoor.control.roles import Role
from cometdoor.control.sizing import Sizing
from cometdoor.control.snapshots import is_compaction_due
from cometdoor.control.state_machine import StateMachine
from cometdoor.control.write_ahead_log import WriteAheadLog
from cometdoor.host.repeating_timer import RepeatingTimer
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.consensus import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    JoinRequest,
    LeaveRequest,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
    TransferChunk,
    TransferChunkAck,
)
from cometdoor.wire.frames import Message
from cometdoor.wire.log_entries import Change, Member, check_encodable
from cometdoor.wire.peer_connection import PeerConnection

TICK_INTERVAL_S = 0.03  # of the replica's timer; must be below PAUSE_DETECTION_S of `leader_contact`
READ_TIMEOUT_S = 0.8  # a read that no majority has confirmed by then is abandoned
log = structlog.get_logger()

OnReadConfirmed = Callable[[bool], None]  # True: the state has everything acknowledged before the call
# Messages among the replicas of the group; others are requests to the leader, or not for the control plane.
GROUP_MESSAGES = (
    RequestVote,
    RequestVoteReply,
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    TransferChunk,
    TransferChunkAck,
    TimeoutNow,
    JoinRequest,
    LeaveRequest,
)


class ReplicaServer:
    """Runs one replica of the group: its timer, messages, disk, state machine and pending requests.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Loop on which everything but the disk's thread runs.
    connections : PeerConnections
        Connections of the mesh.
    data_directory : Path
        Directory of the write-ahead log.
    me : Member
        This replica; its id is replaced by the one on the disk.
    idempotency_window_s : float
        Idempotency window.
    on_changed : Callable[[], None]
        Called when the configuration in force or the leadership of this replica changed.
    on_disk_writer_failed : Callable[[], None]
        Called when nothing more can be written, so that the process must be restarted.
    new_budget_allocator : Callable[[float], BudgetAllocator]
        Creates the retry budget's allocator when this replica begins to lead, given the time in seconds.
    seeds : list[str]
        Internal addresses of members.
    founders : tuple[Member, ...]
        First members of the group, at the first start of the whole system; empty at any other start. If this
        replica is one of them and its disk is empty, it starts as their member.
    sizing : Sizing
        Losses that the group must survive.

    Raises
    ------
    DiskError
        The data directory can't be opened or read.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connections: PeerConnections,
        data_directory: Path,
        me: Member,
        idempotency_window_s: float,
        *,
        on_changed: Callable[[], None],
        on_disk_writer_failed: Callable[[], None],
        new_budget_allocator: Callable[[float], BudgetAllocator],
        seeds: list[str],
        founders: tuple[Member, ...],
        sizing: Sizing,
    ) -> None:
        self.state = StateMachine(idempotency_window_s)
        self._on_changed = on_changed
        self._loop = loop
        self._connections = connections
        self.log_file = WriteAheadLog(data_directory)
        founder = find_founder(founders, me.address)
        durable_state, is_new, is_founder = load_durable_state(
            self.log_file, founder.id if founder is not None else ""
        )
        self.replica = self._restore_replica(durable_state, me, sizing)
        self._contact_monitor = LeaderContactMonitor(self.replica, loop.time())
        self._leader_connection: PeerConnection | None = None  # that of the leader's last message
        self._pending_requests = PendingRequests[OnApplied, OnReadConfirmed]()
        self._leader_requests = LeaderRequests(self.replica, self.contact_status, self._propose_as_leader)
        self._membership_requester = MembershipRequester(self.replica, seeds)
        self._leader_duties = LeaderDuties(self.replica)
        self._new_budget_allocator = new_budget_allocator
        self._was_leading = False
        self._is_turn_scheduled = False
        self._tick_timer = RepeatingTimer(loop, TICK_INTERVAL_S, self._tick)
        if is_founder:
            self.replica.bootstrap(founders)
        # Each incarnation writes a file of its own. Until its first batch is synced, the older file is valid.
        self._initial_records = self.replica.compact()
        self._disk_writer = DiskWriter(loop, self.log_file, self._on_written, on_disk_writer_failed)
        log.info(
            "data directory read; starting as a member of the replica group",
            id=self.replica.me.id,
            is_new=is_new,
            is_founder=is_founder,
            last=self.replica.log.last_index,
            term=self.replica.term,
        )

    def _restore_replica(self, durable_state: DurableState, me: Member, sizing: Sizing) -> Replica:
        """Create the replica from its durable state, and load its snapshot into the state machine."""
        rng = random.Random(secrets.randbits(64))
        replica = Replica(durable_state, replace(me, id=durable_state.id), rng, self._loop.time())
        replica.snapshot_state = self.state.snapshot
        replica.sizing = sizing
        if durable_state.snapshot is not None:
            self.state.load(durable_state.snapshot.state)
            replica.is_bootstrapped = self.state.revision > 0
        return replica

    def start(self) -> None:
        """Begin a new log file and start the timer."""
        self._disk_writer.rotate(self._initial_records, 0)
        self._tick_timer.start()

    def stop(self) -> None:
        """Stop the timer and the disk writer."""
        self._tick_timer.stop()
        self._disk_writer.stop()

    # --- requests of this process ---

    @property
    def is_leading(self) -> bool:
        """True if this replica leads and its state machine has everything that is committed."""
        return self.replica.is_leading and self.replica.applied >= self.replica.committed

    def contact_status(self) -> ContactStatus:
        """Return whether this replica leads at this moment, or the leader that it follows."""
        is_broken = self._leader_connection is not None and self._leader_connection.is_closed
        return self._contact_monitor.contact_status(self._loop.time(), is_broken)

    def last_contact_age_s(self) -> float | None:
        """Return the seconds since the last contact with a leader or a majority; None: never."""
        return self._contact_monitor.last_contact_age_s(self._loop.time())

    def member_last_seen_s(self, id: str) -> float | None:
        """Return the seconds since that member's last answer to this leader; None: not in this term."""
        progress = self.replica.followers.get(id)
        if self.replica.role is not Role.LEADER or progress is None or not progress.round:
            return None
        return self._loop.time() - progress.last_seen_at

    def propose(self, change: Change, on_applied: OnApplied) -> None:
        """Propose a change; `on_applied` is called once, with None if the outcome is unknown here.

        Raises
        ------
        UnencodableChangeError
            If the change can't be stored and sent; it was not proposed.
        """
        if self.contact_status().contact is not LeaderContact.LEADING:
            on_applied(None)
            return
        self._propose_as_leader(change, on_applied)

    def _propose_as_leader(self, change: Change, on_applied: OnApplied) -> None:
        # An entry of the log that can't be encoded would fail every later write and message.
        check_encodable(change)
        self._pending_requests.propose(self.replica, change, on_applied)
        self._schedule_turn()

    def read(self, on_confirmed: OnReadConfirmed) -> None:
        """Call `on_confirmed` once: with True if the state has everything acknowledged before this call."""
        if not self.replica.is_leading:
            on_confirmed(False)
            return
        self._pending_requests.read(self.replica, self._loop.time() + READ_TIMEOUT_S, on_confirmed)
        self._schedule_turn()

    def leave(self) -> None:
        """Prepare for the end of the process: transfer the leadership and ask to be removed."""
        self._membership_requester.is_leaving = True
        self.replica.retire()
        self._schedule_turn()

    def transfer_leadership(self) -> None:
        """Transfer the leadership to another voter."""
        self.replica.transfer_leadership()
        self._schedule_turn()

    def update_seeds(self, addresses: list[str]) -> None:
        """Add internal addresses of control planes that join and leave requests are sent to."""
        self._membership_requester.update_seeds(addresses)

    def receive(self, message: Message, connection: PeerConnection, call_id: int) -> bool:
        """Handle a message; return False if it is not one for the control plane."""
        now = self._loop.time()
        if not isinstance(message, GROUP_MESSAGES):
            return self._leader_requests.receive(message, connection, call_id, now)
        if isinstance(message, AppendEntries | InstallSnapshot | TransferChunk):
            self._leader_connection = connection
        self.replica.receive(message, now)
        self._schedule_turn()
        return True

    # --- the loop ---

    def _tick(self) -> None:
        now = self._loop.time()
        replica = self.replica
        replica.tick(now)
        self._contact_monitor.tick(now)
        if (clock_advance := self._leader_duties.next_clock_advance(now)) is not None:
            replica.propose(clock_advance)
        self._request_membership(now)
        if self._leader_duties.are_voters_missing(now):
            log.warning(
                "too few voters for the fault tolerance; waiting for another control plane to join",
                voters=len(replica.voters),
                wanted=replica.sizing.target_voters,
                accepts=replica.may_accept(),
            )
        self._run_turn()

    def _request_membership(self, now: float) -> None:
        # No requests before this incarnation's file is complete: until then it must not acknowledge anything.
        if not self._disk_writer.has_written:
            return
        request = self._membership_requester.next_request(now)
        if request is not None:
            for address in request.addresses:
                self._connections.send(address, request.message)

    def _schedule_turn(self) -> None:
        """Run a turn once everything that arrives in this iteration of the loop was handled."""
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_turn_scheduled = False
        replica = self.replica
        replica.flush()
        self._apply_committed()
        outbox, replica.outbox = replica.outbox, []
        for outgoing in outbox:
            self._connections.send(outgoing.address, outgoing.message)  # type: ignore[arg-type]
        self._write()
        self._complete_pending()
        if replica.is_leading != self._was_leading:
            self._was_leading = replica.is_leading
            self._leader_requests.budget_allocator = (
                self._new_budget_allocator(self._loop.time()) if replica.is_leading else None
            )
            self._log_leadership()
            self._on_changed()

    def _log_leadership(self) -> None:
        replica = self.replica
        if replica.is_leading:
            log.info(
                "elected as the leader; accepting changes",
                is_leading=True,
                term=replica.term,
                id=replica.me.id,
            )
        else:
            log.info(
                "no longer the leader; following the next one",
                is_leading=False,
                term=replica.term,
                id=replica.me.id,
            )

    def _complete_pending(self) -> None:
        now = self._loop.time()
        has_quorum = self._contact_monitor.has_quorum_contact(now)
        self._notify(self._pending_requests.expire_proposals(self.replica, has_quorum))
        for read in self._pending_requests.complete_reads(self.replica, now, has_quorum):
            read.caller(read.is_current)

    def _apply_committed(self) -> None:
        replica = self.replica
        if replica.installed_snapshot is not None:
            self.state.load(replica.installed_snapshot.state)
            replica.on_snapshot_loaded()
            replica.is_bootstrapped = self.state.revision > 0
            self._on_changed()
        revision = self.state.revision
        completed = self._pending_requests.apply_committed(replica, self.state)
        if self.state.revision != revision:
            replica.is_bootstrapped = True
            self._on_changed()
        self._notify(completed)

    def _notify(self, completed: list[ProposalCompleted[OnApplied]]) -> None:
        for proposal in completed:
            proposal.caller(proposal.result)

    # --- the disk ---

    def _write(self) -> None:
        if self._disk_writer.is_writing:
            return
        writes = self.replica.pop_writes(self._loop.time())
        if not writes:
            return
        log_file, replica = self.log_file, self.replica
        if is_compaction_due(
            log_file.size_bytes, log_file.initial_size_bytes, replica.applied - replica.log.snapshot_index
        ):
            # The new file begins with the complete state, which includes the new records.
            self._disk_writer.rotate(replica.compact(), len(writes))
        else:
            self._disk_writer.append(writes)

    def _on_written(self, count: int) -> None:
        self.replica.on_written(count, self._loop.time())
        self._run_turn()
