"""Claims on idempotency keys, submitted to the control plane's leader.

Claims that are submitted in one iteration of the event loop are sent in one request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from cometdoor.wire.call_control import CallRejected
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.frames import Message
from cometdoor.wire.keys import ClaimReply, ClaimRequest
from cometdoor.wire.log_entries import Claim
from cometdoor.wire.peer_connection import PeerError, PendingCall

# Claims that are not confirmed by then are given up. It is part of `IDEMPOTENCY_WINDOW_SLACK_MS`: a repeated
# attempt at the end of the window may be claimed this much later, beside the time for which it may have lain
# unread unnoticed (`host.pause_monitor.PAUSE_DETECTION_S`).
CLAIM_DEADLINE_S = 2.7
RETRY_DELAY_S = 0.06  # delay before the next attempt if no replica could order the claims
CALL_TIMEOUT_S = 0.7  # timeout of one attempt, after which another replica is tried
# The first attempts follow redirects to another leader immediately, later ones after a delay: during a leader
# change two replicas may redirect to each other.
MAX_IMMEDIATE_REDIRECTS = 2

# Called with the owner of the key and the id of its claim; the id is empty if the claim was not confirmed.
OnClaimed = Callable[[str, str], None]


class PendingClaim(NamedTuple):
    """A claim and the callback for its result."""

    claim: Claim
    on_claimed: OnClaimed


class ClaimBatch:
    """Claims that are submitted together; those without a result are resubmitted until the deadline."""

    def __init__(self, client: ClaimClient, claims: list[PendingClaim]) -> None:
        self._client = client
        self._claims = claims
        self._deadline = client.loop.time() + CLAIM_DEADLINE_S
        self._call: PendingCall | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._attempts = 0

    def send(self) -> None:
        """Submit the claims to the leader, or to the next replica if no leader is known."""
        client = self._client
        if client.loop.time() >= self._deadline:
            for pending in self._claims:
                pending.on_claimed("", "")
            return
        peer = client.leader or client.next_replica_address(self._attempts)
        self._attempts += 1
        if not peer:
            self._schedule_retry()
            return
        request = ClaimRequest([pending.claim for pending in self._claims])
        call = client.connections.call(peer, request, lambda reply: self._on_reply(peer, reply))
        if isinstance(call, PeerError):
            client.forget_leader(peer)
            self._schedule_retry()
            return
        self._call = call
        timeout_at = min(client.loop.time() + CALL_TIMEOUT_S, self._deadline)
        self._timer = client.loop.call_at(timeout_at, self._on_timeout, peer)

    def _on_timeout(self, peer: str) -> None:
        if self._call is not None:
            self._call.discard()
        self._client.forget_leader(peer)
        self.send()

    def _on_reply(self, peer: str, reply: Message | PeerError) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if isinstance(reply, ClaimReply) and len(reply.owners) == len(self._claims):
            self._on_claim_reply(peer, reply)
            return
        self._client.forget_leader(peer)
        if isinstance(reply, CallRejected) and reply.leader and reply.leader != peer:
            self._client.leader = reply.leader
            if self._attempts <= MAX_IMMEDIATE_REDIRECTS:
                self.send()
                return
        self._schedule_retry()

    def _on_claim_reply(self, peer: str, reply: ClaimReply) -> None:
        self._client.leader = peer
        results = list(zip(self._claims, reply.owners, strict=True))
        self._claims = [pending for pending, key_owner in results if not any(key_owner)]
        for pending, key_owner in results:
            if any(key_owner):
                pending.on_claimed(key_owner.owner, key_owner.claim_id)
        if self._claims:
            self._client.forget_leader(peer)
            self._schedule_retry()

    def _schedule_retry(self) -> None:
        loop = self._client.loop
        loop.call_at(min(loop.time() + RETRY_DELAY_S, self._deadline), self.send)


class ClaimClient:
    """Submits this proxy's claims in batches, and remembers which replica is the leader.

    Attributes
    ----------
    leader : str
        Internal address of the last known leader; empty if none is known.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connections: PeerConnections,
        replica_addresses: Callable[[], list[str]],
    ) -> None:
        """Set up the client; `replica_addresses` returns internal addresses, the probable leader first."""
        self.loop = loop
        self.connections = connections
        self.leader = ""
        self._replica_addresses = replica_addresses
        self._queued_claims: list[PendingClaim] = []

    def claim(self, claim: Claim, on_claimed: OnClaimed) -> None:
        """Submit a claim; `on_claimed` is called once, within `CLAIM_DEADLINE_S`."""
        self._queued_claims.append(PendingClaim(claim, on_claimed))
        if len(self._queued_claims) == 1:
            self.loop.call_soon(self._send)

    def _send(self) -> None:
        queued_claims, self._queued_claims = self._queued_claims, []
        ClaimBatch(self, queued_claims).send()

    def next_replica_address(self, attempt: int) -> str:
        """Return the replica for an attempt without a known leader, in turn; empty without replicas."""
        replica_addresses = self._replica_addresses()
        return replica_addresses[attempt % len(replica_addresses)] if replica_addresses else ""

    def forget_leader(self, peer: str) -> None:
        """Forget a leader that failed to order claims, unless another leader is known by now."""
        if self.leader == peer:
            self.leader = ""
