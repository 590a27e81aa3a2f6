"""Requests of data planes to the leader: its address, claims on idempotency keys, retry budget leases.

A replica that does not lead, or has no contact with a majority, rejects claims and lease requests. Its
rejection names the leader that it has just heard from, if any.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import structlog

from cometdoor.budget.allocator import BudgetAllocator
from cometdoor.control.leader_contact import ContactStatus, LeaderContact
from cometdoor.control.replica import Replica
from cometdoor.control.state_machine import ApplyResult
from cometdoor.wire.budget import LeaseGrant, LeaseRequest
from cometdoor.wire.call_control import CallRejected
from cometdoor.wire.consensus import LeaderReply, LeaderRequest
from cometdoor.wire.frames import Message
from cometdoor.wire.keys import ClaimReply, ClaimRequest, KeyOwner
from cometdoor.wire.log_entries import Change, Claim, UnencodableChangeError
from cometdoor.wire.peer_connection import PeerConnection

log = structlog.get_logger()

OnApplied = Callable[[ApplyResult | None], None]  # None: the outcome is unknown to this replica


class LeaderRequests:
    """Answers the requests of data planes that reach this replica on connections of the mesh.

    Parameters
    ----------
    replica : Replica
        Source of the member list and of this replica's own address.
    contact_status : Callable[[], ContactStatus]
        Returns whether this replica leads at this moment, or the leader that it follows.
    propose : Callable[[Change, OnApplied], None]
        Proposes a change; called only in contact with a majority. Raises UnencodableChangeError.
    """

    def __init__(
        self,
        replica: Replica,
        contact_status: Callable[[], ContactStatus],
        propose: Callable[[Change, OnApplied], None],
    ) -> None:
        self._replica = replica
        self._contact_status = contact_status
        self._propose = propose
        self.budget_allocator: BudgetAllocator | None = None  # None unless this replica leads

    def receive(self, message: Message, connection: PeerConnection, call_id: int, now: float) -> bool:
        """Handle a request; returns False for messages of other kinds."""
        match message:
            case LeaderRequest():
                known_addresses = [member.address for member in self._replica.members]
                connection.respond(call_id, LeaderReply(self._leader_address(), known_addresses))
            case ClaimRequest():
                self._on_claim_request(message.claims, connection, call_id)
            case LeaseRequest():
                self._on_lease_request(message, connection, call_id, now)
            case _:
                return False
        return True

    def _is_leading(self) -> bool:
        return self._contact_status().contact is LeaderContact.LEADING

    def _leader_address(self) -> str:
        """Return the internal address of a leader that is known to be alive; empty if there is none."""
        contact_status = self._contact_status()
        if contact_status.contact is LeaderContact.LEADING:
            return self._replica.me.address
        return contact_status.leader.address if contact_status.leader else ""

    def _build_rejection(self) -> CallRejected:
        leader = self._leader_address()
        return CallRejected("another leads" if leader else "no contact with a leader", leader)

    def _on_lease_request(
        self, request: LeaseRequest, connection: PeerConnection, call_id: int, now: float
    ) -> None:
        allocator = self.budget_allocator
        if allocator is None or not self._is_leading():
            connection.respond(call_id, self._build_rejection())
            return
        leases = allocator.allocate(request.incarnation, request.leader_time_s, request.demands, now)
        connection.respond(call_id, LeaseGrant(now, leases))

    def _on_claim_request(self, claims: list[Claim], connection: PeerConnection, call_id: int) -> None:
        if not self._is_leading():
            connection.respond(call_id, self._build_rejection())
            return
        owners = [KeyOwner("", "")] * len(claims)  # an empty owner: the outcome is unknown
        remaining = len(claims)

        def on_applied(index: int, result: ApplyResult | None) -> None:
            nonlocal remaining
            remaining -= 1
            if result is not None:
                owners[index] = KeyOwner(result.owner, result.claim)
            if not remaining:
                connection.respond(call_id, ClaimReply(owners))

        for index, claim in enumerate(claims):
            try:
                self._propose(claim, partial(on_applied, index))
            except UnencodableChangeError as error:
                log.warning("claim rejected", step=error.step, peer=claim.owner, error=str(error))
                on_applied(index, None)
