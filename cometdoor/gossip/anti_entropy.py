"""Anti-entropy: periodic comparison of the record table with one peer's at a time. No I/O.

A comparison starts with one digest over all records. If it differs, the digests of buckets are compared, and
then the versions in the buckets that differ (after Scuttlebutt: van Renesse et al., LADIS 2008; the digests
are a hash tree of two levels). Between processes that have the same records a comparison has a constant
size, however many records there are.
"""

from __future__ import annotations

import random

from cometdoor.gossip.partial_view import PartialView
from cometdoor.gossip.record_table import RecordTable
from cometdoor.wire.gossip import DigestReply, DigestRequest, NodeRecord

ANTI_ENTROPY_INTERVAL_S = 0.25  # mean time between comparisons
SHUFFLE_INTERVAL_S = 2.0  # mean time between swaps of neighbours; each new neighbour costs a new connection
INTERVAL_JITTER = (0.8, 1.2)  # random factors, so that processes started together do not stay synchronised
# Every other comparison is with a neighbour. These are the probabilities that its partner is a seed or a
# suspected node instead. Trying suspected nodes heals a partition, which ends only when a process contacts
# the other side. Once the newest suspicion is older than `LONG_SUSPECTED_S`, suspected nodes are tried
# less often, since most nodes suspected for so long never return.
SEED_PARTNER_SHARE = 0.1
SUSPECTED_PARTNER_SHARE, LONG_SUSPECTED_PARTNER_SHARE, LONG_SUSPECTED_S = 0.5, 0.03, 60.0
FULL_SYNC_BELOW_SHARE = 0.5  # a peer with less than this share of the local record count is sent all records
MONITORED_SUCCESSORS = 2  # on the hash ring: each node monitors this many, and is monitored by as many


class AntiEntropy:
    """Schedules comparisons of records, chooses their partners, and builds requests and replies."""

    def __init__(self, table: RecordTable, view: PartialView, rng: random.Random, now: float) -> None:
        self._table = table
        self._view = view
        self._rng = rng
        self._next_comparison_at = now
        self._next_shuffle_at = now
        self._partner_turn = 0

    def is_due(self, now: float) -> bool:
        """Return whether a comparison is due; if so, schedule the next one."""
        if now < self._next_comparison_at:
            return False
        self._next_comparison_at = now + ANTI_ENTROPY_INTERVAL_S * self._rng.uniform(*INTERVAL_JITTER)
        return True

    def choose_partner(self, node: str, seeds: list[str], now: float) -> str | None:
        """Return the address of the next peer to compare with; None if no other process is known.

        Monitored successors and neighbours alternate; a seed or a suspected node sometimes replaces the
        neighbour. A comparison with a monitored node that fails starts its indirect probes.
        """
        self._partner_turn += 1
        monitored = self._table.successors(node, MONITORED_SUCCESSORS)
        if monitored and self._partner_turn % 2:
            return monitored[self._partner_turn // 2 % len(monitored)].address
        suspected_since = self._table.suspected_since
        suspected = list(suspected_since)  # in the order of suspicion
        probability = 0.0
        if suspected:
            is_recent = now - suspected_since[suspected[-1]] < LONG_SUSPECTED_S
            probability = SUSPECTED_PARTNER_SHARE if is_recent else LONG_SUSPECTED_PARTNER_SHARE
        records, neighbours = self._table.records, self._view.addresses
        if suspected and self._rng.random() < probability:
            return records[self._rng.choice(suspected)].address
        if seeds and (not neighbours or self._rng.random() < SEED_PARTNER_SHARE):
            return self._rng.choice(seeds)
        candidates = neighbours or [records[node].address for node in suspected]
        return self._rng.choice(candidates) if candidates else None

    def neighbours_to_swap(self, now: float) -> list[str]:
        """Return a sample of the view if a swap is due, else an empty list."""
        if now < self._next_shuffle_at:
            return []
        self._next_shuffle_at = now + SHUFFLE_INTERVAL_S * self._rng.uniform(*INTERVAL_JITTER)
        return self._view.sample()

    def build_request(self, sender: str, revision: int, neighbours: list[str]) -> DigestRequest:
        """Build the first request of a comparison."""
        return DigestRequest(
            sender, revision, len(self._table.records), self._table.digest(), neighbours=neighbours
        )

    def build_reply(self, request: DigestRequest, sender: str, revision: int, now: float) -> DigestReply:
        """Compare a peer's digest or versions with the local ones; swap neighbours if it sent some."""
        reply = DigestReply(sender, revision)
        if request.neighbours:
            reply.neighbours = self._view.sample()
            self._view.merge_sample(request.neighbours)
        table = self._table
        if request.buckets:
            mine = table.versions_in(request.buckets)
            reply.records = table.for_sending(self._newer_records(mine, request.versions), now)
            reply.requested_nodes = [
                node for node, version in request.versions.items() if version > mine.get(node, -1)
            ]
        elif request.record_count < FULL_SYNC_BELOW_SHARE * len(table.records):
            reply.records = table.for_sending(table.records.values(), now)
        elif request.digest != table.digest():
            reply.bucket_digests = table.bucket_digests()
        return reply

    def _newer_records(self, mine: dict[str, int], theirs: dict[str, int]) -> list[NodeRecord]:
        records = self._table.records
        return [records[node] for node, version in mine.items() if version > theirs.get(node, -1)]

    def build_second_request(self, reply: DigestReply, sender: str, revision: int) -> DigestRequest | None:
        """Build the request with the versions in the buckets that differ; None if no bucket differs."""
        buckets = self._table.differing_buckets(reply.bucket_digests)
        if not buckets:
            return None
        request = self.build_request(sender, revision, [])
        request.buckets, request.versions = buckets, self._table.versions_in(buckets)
        return request
