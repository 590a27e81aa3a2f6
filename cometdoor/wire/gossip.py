"""Messages of the gossip protocol: membership records, anti-entropy, indirect probes, configurations."""

from __future__ import annotations

import msgspec

from cometdoor.wire.revisions import Revision


class Backend(msgspec.Struct, array_like=True, frozen=True):
    """State of a backend, as published by the proxy beside it."""

    instance: str
    service: str
    address: str
    revision: str
    capacity: int  # number of concurrent requests
    state: str  # "ready", "draining" or "down"
    slow_start_remaining_s: float = 0.0


class NodeRecord(msgspec.Struct, array_like=True, frozen=True):
    """A process's record of itself in the membership table.

    Only the process itself raises the version; of two records the one with the higher version wins.
    """

    node: str
    address: str  # internal, "ip:port"
    role: str  # "dataplane" or "controlplane"
    zone: str
    incarnation: str  # random, drawn at the start of the process
    version: int
    state: str = "up"  # or "leaving"
    backend: Backend | None = None
    control_address: str = ""  # where it serves the admin API
    is_suspected: bool = False  # set by others for this version; the node refutes it with a higher version
    suspected_for_s: float = 0.0  # duration of the suspicion when the record was sent


class GossipUpdate(msgspec.Struct, tag="w", array_like=True):
    """New records, disseminated to neighbours. It awaits no reply."""

    sender: str
    records: list[NodeRecord]
    revision: Revision  # of the newest configuration in force at the sender; 0 if there is none


class DigestRequest(msgspec.Struct, tag="cm", array_like=True):
    """Compare the sender's records with the receiver's.

    The first request of an exchange carries one digest over all records, the second one the versions in the
    buckets whose digests differ.
    """

    sender: str
    revision: Revision
    record_count: int
    digest: int  # XOR over the hashes of all records
    buckets: list[int] = []  # numbers of the buckets that differ
    versions: dict[str, int] = {}  # effective versions of all nodes in these buckets
    neighbours: list[str] = []  # sample of the sender's partial view, swapped for one of the receiver's


class DigestReply(msgspec.Struct, tag="cd", array_like=True):
    """Differences found by a `DigestRequest`; if there are none, both sides have the same records."""

    sender: str
    revision: Revision
    records: list[NodeRecord] = []  # records that are newer than the requester's
    bucket_digests: list[int] = []  # by bucket, where the digests over all records differ
    requested_nodes: list[str] = []  # nodes whose newer records the requester should send
    neighbours: list[str] = []


class IndirectProbe(msgspec.Struct, tag="rc", array_like=True):
    """Ask the receiver to ping another process that did not reply to the sender."""

    address: str


class IndirectProbeReply(msgspec.Struct, tag="rd", array_like=True):
    """Reply to an `IndirectProbe`: whether the probed process replied to the ping."""

    is_reachable: bool


class ConfigurationRequest(msgspec.Struct, tag="ac", array_like=True):
    """Ask for the configuration in force, if its revision is higher than the sender's."""

    newer_than: Revision


class ConfigurationReply(msgspec.Struct, tag="ci", array_like=True):
    """The configuration in force, compressed or as a delta (`cometdoor.configuration.delta`)."""

    revision: Revision  # 0: there is no newer configuration
    body: bytes = b""
    base_revision: Revision = Revision(0)  # the revision that `body` is a delta to; 0: `body` is complete
