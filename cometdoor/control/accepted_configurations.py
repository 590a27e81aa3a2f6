"""Deduplication of configuration changes: which ones were accepted, recognised by content. No I/O.

A configuration is identified by its revision and a cryptographic digest of its body. Revisions only rise,
so each is accepted at most once, and the oldest ones are forgotten first. Whether a change older than all
remembered ones was accepted can't be decided any more: its result is uncertain rather than a rejection.
Snapshots of an earlier build hold only a checksum, which two bodies may share; a match by checksum alone is
uncertain too.

Every replica applies the same changes in the same order, so all tables are the same.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from zlib import crc32

import msgspec

# At 1,100 changes a day a change is recognised for over three days. The table takes some 120 kB in a
# snapshot.
MAX_REMEMBERED_REVISIONS = 4096
DIGEST_BYTES = 16


class Acceptance(Enum):
    """Result of a lookup: whether a configuration was accepted before."""

    ACCEPTED = "accepted"
    NOT_ACCEPTED = "not accepted"
    UNCERTAIN = "uncertain"


class BodyFingerprint(msgspec.Struct, array_like=True, frozen=True):
    """Identifies a body; `checksum` is for builds without digests; a fingerprint from one has no `digest`."""

    checksum: int
    digest: bytes = b""


def compute_digest(body: bytes) -> bytes:
    """Return the BLAKE2b digest of a body."""
    return blake2b(body, digest_size=DIGEST_BYTES).digest()


def compute_fingerprint(body: bytes) -> BodyFingerprint:
    """Return the fingerprint of a body."""
    return BodyFingerprint(crc32(body), compute_digest(body))


@dataclass(frozen=True, slots=True)
class AcceptedConfigurationsSnapshot:
    """The table as stored in a snapshot, oldest first."""

    checksums: list[tuple[int, int]]  # revision and CRC-32
    digests: list[tuple[int, bytes]]
    last_forgotten_revision: int


class AcceptedConfigurations:
    """The newest accepted configurations, by revision."""

    def __init__(self, max_remembered: int = MAX_REMEMBERED_REVISIONS) -> None:
        self._max_remembered = max_remembered
        self._fingerprints: dict[int, BodyFingerprint] = {}  # by revision, lowest first
        self.last_forgotten_revision = 0  # highest accepted revision that is not remembered

    def copy(self) -> AcceptedConfigurations:
        """Return an independent copy."""
        other = AcceptedConfigurations(self._max_remembered)
        other._fingerprints, other.last_forgotten_revision = (
            self._fingerprints.copy(),
            self.last_forgotten_revision,
        )
        return other

    def __len__(self) -> int:
        return len(self._fingerprints)

    def add(self, revision: int, body: bytes) -> None:
        """Record a configuration that comes into force; `revision` is above all others."""
        self._fingerprints[revision] = compute_fingerprint(body)
        self._forget_oldest()

    def look_up(self, base: int, revision: int, body: bytes) -> Acceptance:
        """Return whether this configuration, based on revision `base`, was accepted before."""
        fingerprint = self._fingerprints.get(revision)
        if fingerprint is not None:
            if fingerprint.digest:
                return (
                    Acceptance.ACCEPTED
                    if fingerprint.digest == compute_digest(body)
                    else Acceptance.NOT_ACCEPTED
                )
            return Acceptance.UNCERTAIN if fingerprint.checksum == crc32(body) else Acceptance.NOT_ACCEPTED
        # A revision that is not above its base was never accepted.
        return (
            Acceptance.UNCERTAIN
            if base < revision <= self.last_forgotten_revision
            else Acceptance.NOT_ACCEPTED
        )

    def _forget_oldest(self) -> None:
        while len(self._fingerprints) > self._max_remembered:
            self.last_forgotten_revision = next(iter(self._fingerprints))
            del self._fingerprints[self.last_forgotten_revision]

    # --- snapshots ---

    def snapshot(self) -> AcceptedConfigurationsSnapshot:
        """Return the table for a snapshot."""
        return AcceptedConfigurationsSnapshot(
            [(revision, fingerprint.checksum) for revision, fingerprint in self._fingerprints.items()],
            [
                (revision, fingerprint.digest)
                for revision, fingerprint in self._fingerprints.items()
                if fingerprint.digest
            ],
            self.last_forgotten_revision,
        )

    def load(self, snapshot: AcceptedConfigurationsSnapshot, revision: int, body: bytes) -> None:
        """Restore the table from a snapshot.

        `revision` and `body` are in force: that configuration gets its digest even if the snapshot was
        written by a build without digests.
        """
        digests = dict(snapshot.digests)
        self._fingerprints = {
            revision_number: BodyFingerprint(checksum, digests.get(revision_number, b""))
            for revision_number, checksum in sorted(snapshot.checksums)
        }
        self.last_forgotten_revision = snapshot.last_forgotten_revision
        if revision in self._fingerprints:
            self._fingerprints[revision] = compute_fingerprint(body)
        self._forget_oldest()
