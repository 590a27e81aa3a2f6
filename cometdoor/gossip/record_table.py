"""The node records of one process, with digests over them and their order on a hash ring. No I/O.

Digests are XORs of record hashes: one over all records, and one for each of `DIGEST_BUCKETS` buckets. They
are updated with each change. Two processes with the same records have the same digests.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b

import msgspec

from cometdoor.wire.gossip import NodeRecord

DIGEST_BUCKETS = 32
DEAD_RECORD_TTL_S = 600.0  # a record is removed after being suspected for this time


@lru_cache(maxsize=8192)  # storing, removing and comparing a record compute the same hash repeatedly
def record_hash(node: str, version: int) -> int:
    """Return the 64-bit hash that one record contributes to the digests."""
    return int.from_bytes(blake2b(b"%s %d" % (node.encode(), version), digest_size=8).digest(), "big")


def ring_position(node: str) -> int:
    """Return the position of a node on the hash ring; modulo `DIGEST_BUCKETS` it is its bucket."""
    return record_hash(node, -1)


def effective_version(record: NodeRecord) -> int:
    """Return the version by which two records of one node are compared: the higher one wins.

    A suspicion of a version overrides that version, and is overridden by the next one (as in SWIM).
    """
    return 2 * record.version + record.is_suspected


class RecordTable:
    """Stores node records, and maintains their digests, their ring and the suspected nodes.

    Attributes
    ----------
    records : dict[str, NodeRecord]
        All records by node, including suspected ones; only `put` and `remove` change it.
    suspected_since : dict[str, float]
        Time in seconds at which each suspected node was first suspected; the last key is the node that was
        suspected last.
    """

    def __init__(self) -> None:
        self.records: dict[str, NodeRecord] = {}
        self.suspected_since: dict[str, float] = {}
        self._bucket_digests = [0] * DIGEST_BUCKETS
        # Effective versions by node, in each bucket.
        self._buckets: list[dict[str, int]] = [{} for _ in range(DIGEST_BUCKETS)]
        self._ring: list[tuple[int, str]] = []  # positions of nodes that are not suspected

    def put(self, record: NodeRecord, now: float) -> None:
        """Store a record; it replaces the one of the same node."""
        self.remove(record.node)
        node, version = record.node, effective_version(record)
        position = ring_position(node)
        self.records[node] = record
        self._buckets[position % DIGEST_BUCKETS][node] = version
        self._bucket_digests[position % DIGEST_BUCKETS] ^= record_hash(node, version)
        if record.is_suspected:
            self.suspected_since[node] = now - record.suspected_for_s
        else:
            self._ring.insert(bisect_right(self._ring, (position, node)), (position, node))

    def remove(self, node: str) -> None:
        """Remove a node's record, if there is one."""
        record = self.records.pop(node, None)
        if record is None:
            return
        position = ring_position(node)
        del self._buckets[position % DIGEST_BUCKETS][node]
        self._bucket_digests[position % DIGEST_BUCKETS] ^= record_hash(node, effective_version(record))
        if self.suspected_since.pop(node, None) is None:
            del self._ring[bisect_right(self._ring, (position, node)) - 1]

    def expire(self, now: float) -> None:
        """Remove nodes that have been suspected for longer than `DEAD_RECORD_TTL_S`."""
        expired = [node for node, since in self.suspected_since.items() if now - since > DEAD_RECORD_TTL_S]
        for node in expired:
            self.remove(node)

    def alive(self) -> list[NodeRecord]:
        """Return the records of nodes that are not suspected."""
        return [record for record in self.records.values() if not record.is_suspected]

    def is_address_suspected(self, address: str) -> bool:
        """Return whether a suspected node has this address."""
        return any(self.records[node].address == address for node in self.suspected_since)

    def successors(self, node: str, count: int) -> list[NodeRecord]:
        """Return the next nodes on the ring that are not suspected, at most `count`."""
        ring_size = len(self._ring)
        index = bisect_right(self._ring, (ring_position(node), node))
        return [
            self.records[self._ring[(index + step) % ring_size][1]]
            for step in range(min(count, ring_size - 1))
        ]

    def digest(self) -> int:
        """Return the digest over all records."""
        digest = 0
        for bucket_digest in self._bucket_digests:
            digest ^= bucket_digest
        return digest

    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket."""
        return list(self._bucket_digests)

    def differing_buckets(self, bucket_digests: Sequence[int]) -> list[int]:
        """Return the buckets whose digests differ from a peer's."""
        pairs = zip(self._bucket_digests, bucket_digests, strict=False)
        return [bucket for bucket, (mine, theirs) in enumerate(pairs) if mine != theirs]

    def versions_in(self, buckets: Iterable[int]) -> dict[str, int]:
        """Return the effective versions of all nodes in some buckets; unknown buckets are ignored."""
        versions: dict[str, int] = {}
        for bucket in buckets:
            if 0 <= bucket < DIGEST_BUCKETS:
                versions |= self._buckets[bucket]
        return versions

    def for_sending(self, records: Iterable[NodeRecord], now: float) -> list[NodeRecord]:
        """Return the records with `suspected_for_s` updated: a duration, since peers' clocks differ."""
        return [
            msgspec.structs.replace(record, suspected_for_s=now - self.suspected_since[record.node])
            if record.is_suspected
            else record
            for record in records
        ]
