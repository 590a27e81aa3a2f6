"""Membership state of one process of the mesh: push gossip, anti-entropy and suspicion. No I/O.

New records are sent at once to a few neighbours, which forward them in turn (push gossip). Several times a
second all records are compared with those of one peer (`anti_entropy`), which repairs what push gossip
missed. The neighbours are a partial view of the mesh (`partial_view`); the seeds are the fallback.

Only the process that owns a record raises its version, and only to publish the record. Others mark a version
as suspected when its owner does not answer (`failure_detector`); the owner refutes that with a higher
version, as in SWIM (Das, Gupta and Motivala, DSN 2002). A process that restarted, and so lost its version,
does the same when it receives the record of its former incarnation.

Methods are passed the events and the time in seconds. They append messages to `outbox` and `requests`, from
which the caller sends them.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from cometdoor.gossip.anti_entropy import MONITORED_SUCCESSORS, AntiEntropy
from cometdoor.gossip.failure_detector import FailureDetector
from cometdoor.gossip.partial_view import PartialView
from cometdoor.gossip.record_table import DEAD_RECORD_TTL_S, RecordTable, effective_version
from cometdoor.wire.gossip import DigestReply, DigestRequest, GossipUpdate, IndirectProbe, NodeRecord

GOSSIP_FANOUT = 3  # number of neighbours to which a new record is sent at once

GossipRequest = DigestRequest | IndirectProbe
OnRecordChanged = Callable[[NodeRecord], None]


class Directory:
    """Membership state of one process: all records, and the messages that spread and compare them.

    Attributes
    ----------
    local_record : NodeRecord
        This process's own record.
    records : dict[str, NodeRecord]
        All records by node, including suspected ones; callers must not change it.
    revision : int
        Revision of the newest configuration in force here, or 0 if there is none.
    on_record_changed : OnRecordChanged
        Called with each record of another process that is new or newer.
    outbox : list[tuple[str, GossipUpdate]]
        Updates to be sent, with their addresses; they may be lost.
    requests : list[tuple[str, GossipRequest]]
        Requests to be sent, with their addresses. Each ends in a call of `on_digest_reply`,
        `on_indirect_probe_reply` or `on_request_failed`.
    """

    def __init__(self, local_record: NodeRecord, seeds: list[str], rng: random.Random, now: float) -> None:
        self.local_record = local_record
        self.revision = 0
        self.on_record_changed: OnRecordChanged = lambda record: None
        self.outbox: list[tuple[str, GossipUpdate]] = []
        self.requests: list[tuple[str, GossipRequest]] = []
        self._table = RecordTable()
        self.records = self._table.records
        self._seeds: list[str] = []
        self.seeds = seeds
        self._rng = rng
        self._view = PartialView(self._seeds, self._may_be_neighbour, rng)
        self._anti_entropy = AntiEntropy(self._table, self._view, rng, now)
        self._failure_detector = FailureDetector()
        self._now = now
        self._store(local_record)

    @property
    def seeds(self) -> list[str]:
        """Internal addresses to fall back on when no other process is known."""
        return self._seeds

    @seeds.setter
    def seeds(self, seeds: list[str]) -> None:
        """Replace the seeds; this process's own address is left out."""
        self._seeds = [seed for seed in seeds if seed != self.local_record.address]

    def alive(self) -> list[NodeRecord]:
        """Return the records of nodes that are not suspected."""
        return self._table.alive()

    def is_suspected(self, node: str) -> bool:
        """Return whether a node is suspected of having failed."""
        return node in self._table.suspected_since

    def monitored(self) -> list[NodeRecord]:
        """Return the nodes that this one monitors: those that follow it on the hash ring."""
        return self._table.successors(self.local_record.node, MONITORED_SUCCESSORS)

    # --- the local record and dissemination ---

    def publish(self, local_record: NodeRecord) -> None:
        """Replace the local record, raise its version by one, and disseminate it."""
        self.local_record = msgspec.structs.replace(local_record, version=self.local_record.version + 1)
        self._store(self.local_record)
        self._disseminate([self.local_record])

    def on_configuration(self, revision: int) -> None:
        """Notify neighbours of the revision of a newer configuration that is in force here."""
        self.revision = revision
        self._disseminate([])

    def _refute(self, version: int) -> None:
        """Publish a version above `version`, under which others store a former incarnation or a suspicion."""
        self.local_record = msgspec.structs.replace(
            self.local_record, version=max(version, self.local_record.version)
        )
        self.publish(self.local_record)

    def _disseminate(self, records: list[NodeRecord], exclude: str = "") -> None:
        candidates = [address for address in self._view.addresses or self._seeds if address != exclude]
        for address in self._rng.sample(candidates, min(GOSSIP_FANOUT, len(candidates))):
            self._send_update(address, records)

    def _send_update(self, address: str, records: list[NodeRecord]) -> None:
        sent_records = self._table.for_sending(records, self._now)
        self.outbox.append((address, GossipUpdate(self.local_record.address, sent_records, self.revision)))

    # --- time ---

    def tick(self, now: float) -> None:
        """Expire records and start a comparison if one is due; called at each tick of the server."""
        self._now = now
        if not self._anti_entropy.is_due(now):
            return
        self._table.expire(now)
        partner = self._anti_entropy.choose_partner(self.local_record.node, self._seeds, now)
        if partner:
            request = self.build_digest_request(self._anti_entropy.neighbours_to_swap(now))
            self.requests.append((partner, request))

    def build_digest_request(self, neighbours: list[str]) -> DigestRequest:
        """Build the first request of a comparison of records."""
        return self._anti_entropy.build_request(self.local_record.address, self.revision, neighbours)

    # --- messages ---

    def on_update(self, update: GossipUpdate, now: float) -> None:
        """Merge records that a peer disseminates, and forward those that are new."""
        self._now = now
        self._view.add(update.sender)
        new_records = []
        for record in update.records:
            if self._merge(record):
                new_records.append(record)
            elif record.address == update.sender and self._has_former_incarnation(record):
                # A restarted sender refutes its former record only once it receives it.
                self._send_update(update.sender, [self.records[record.node]])
        if new_records:
            self._disseminate(new_records, exclude=update.sender)

    def on_digest_request(self, request: DigestRequest, now: float) -> DigestReply:
        """Reply to a peer that compares its records with the local ones."""
        self._now = now
        self._view.add(request.sender)
        return self._anti_entropy.build_reply(request, self.local_record.address, self.revision, now)

    def on_digest_reply(self, address: str, reply: DigestReply, now: float) -> None:
        """Merge the differences that a comparison found, and request or send what is still missing."""
        self._now = now
        self._view.add(address)
        self._view.merge_sample(reply.neighbours)
        for record in reply.records:
            self._merge(record)
        if reply.requested_nodes:
            requested = [self.records[node] for node in reply.requested_nodes if node in self.records]
            self._send_update(address, requested)
        if reply.bucket_digests:
            request = self._anti_entropy.build_second_request(reply, self.local_record.address, self.revision)
            if request is not None:
                self.requests.append((address, request))

    def on_request_failed(self, address: str, now: float) -> None:
        """Start indirect probes of a monitored node that did not reply to a comparison."""
        self._now = now
        for record in self.monitored():
            if record.address == address:
                helpers = [
                    helper
                    for helper in self._view.addresses
                    if helper not in (address, self.local_record.address)
                ]
                chosen_helpers = self._failure_detector.suspect(record, self._rng, helpers, now)
                self.requests += [(helper, IndirectProbe(address)) for helper in chosen_helpers]

    def on_indirect_probe_reply(self, address: str, is_reachable: bool | None, now: float) -> None:
        """Count a helper's reply about the node at `address`; None if the helper did not reply."""
        self._now = now
        failed_record = self._failure_detector.on_probe_reply(address, is_reachable)
        if failed_record is not None and self.records.get(failed_record.node) == failed_record:
            record = msgspec.structs.replace(failed_record, is_suspected=True, suspected_for_s=0.0)
            self._merge(record)
            self._disseminate([record])

    # --- merging ---

    def _store(self, record: NodeRecord) -> None:
        self._table.put(record, self._now)
        if record.is_suspected:
            self._view.remove(record.address)

    def _has_former_incarnation(self, record: NodeRecord) -> bool:
        existing = self.records.get(record.node)
        return (
            existing is not None
            and existing.incarnation != record.incarnation
            and effective_version(existing) > effective_version(record)
        )

    def _merge(self, record: NodeRecord) -> bool:
        """Store a received record if it is newer than the local copy; return whether it was."""
        if record.node == self.local_record.node:
            self._refute_if_contradicted(record)
            return False
        existing = self.records.get(record.node)
        if existing is not None and effective_version(existing) >= effective_version(record):
            return False
        if record.is_suspected and record.suspected_for_s > DEAD_RECORD_TTL_S:
            return False
        self._store(record)
        if not record.is_suspected:
            self._view.add(record.address)
        self.on_record_changed(record)
        return True

    def _refute_if_contradicted(self, record: NodeRecord) -> None:
        local = self.local_record
        if record.version > local.version or (
            record.version == local.version
            and (record.is_suspected or record.incarnation != local.incarnation)
        ):
            self._refute(record.version)

    def _may_be_neighbour(self, address: str) -> bool:
        if address in ("", self.local_record.address):
            return False
        return not self._table.is_address_suspected(address)
