"""Which configurations were taken, so that one that is sent again is known by its content. No I/O.

A configuration is known by its number and a cryptographic digest of its body. Numbers only rise, so each is
taken once at the most, and the oldest ones are forgotten first. Of an order that is older than all that are
remembered nobody can say any more whether it was taken: it gets no clear answer rather than a refusal. What
an image of an earlier build holds is known by a checksum alone, which two bodies may share: there too the
answer is not clear.

Every replica applies the same orders and so remembers and forgets the same ones.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from zlib import crc32

import msgspec

# Days of hundreds of changes: at 1,100 a day an order is known again for over three days. Some 120 kB in an
# image.
MOST_REMEMBERED = 4096
DIGEST_BYTES = 16


class Known(Enum):
    TAKEN = "taken"
    NOT_TAKEN = "not taken"
    UNSURE = "unsure"


class Mark(msgspec.Struct, array_like=True, frozen=True):
    """Of a body. `checksum`: for builds that know nothing else; `digest` is empty in what came from one."""

    checksum: int
    digest: bytes = b""


def digest_of(body: bytes) -> bytes:
    return blake2b(body, digest_size=DIGEST_BYTES).digest()


def mark_of(body: bytes) -> Mark:
    return Mark(crc32(body), digest_of(body))


@dataclass(frozen=True, slots=True)
class TakenImage:
    """As it stands in a snapshot, oldest first."""

    checksums: list[tuple[int, int]]  # number and CRC-32
    digests: list[tuple[int, bytes]]
    forgotten: int


class TakenConfigurations:
    def __init__(self, most: int = MOST_REMEMBERED) -> None:
        self._most = most
        self._marks: dict[int, Mark] = {}  # by number, lowest first
        self.forgotten = 0  # the highest number that was taken and is not remembered

    def copy(self) -> TakenConfigurations:
        other = TakenConfigurations(self._most)
        other._marks, other.forgotten = self._marks.copy(), self.forgotten
        return other

    def __len__(self) -> int:
        return len(self._marks)

    def add(self, revision: int, body: bytes) -> None:
        """It is in force from now on; `revision` is above all others."""
        self._marks[revision] = mark_of(body)
        self._forget()

    def knows(self, base: int, revision: int, body: bytes) -> Known:
        mark = self._marks.get(revision)
        if mark is not None:
            if mark.digest:
                return Known.TAKEN if mark.digest == digest_of(body) else Known.NOT_TAKEN
            return Known.UNSURE if mark.checksum == crc32(body) else Known.NOT_TAKEN
        # What does not build on an earlier version was never taken.
        return Known.UNSURE if base < revision <= self.forgotten else Known.NOT_TAKEN

    def _forget(self) -> None:
        while len(self._marks) > self._most:
            self.forgotten = next(iter(self._marks))
            del self._marks[self.forgotten]

    # --- snapshots ---

    def image(self) -> TakenImage:
        return TakenImage(
            [(revision, mark.checksum) for revision, mark in self._marks.items()],
            [(revision, mark.digest) for revision, mark in self._marks.items() if mark.digest],
            self.forgotten,
        )

    def load(self, image: TakenImage, revision: int, body: bytes) -> None:
        """`revision` and `body` are in force: that one is known by its digest whoever wrote the image."""
        digests = dict(image.digests)
        self._marks = {
            number: Mark(checksum, digests.get(number, b"")) for number, checksum in sorted(image.checksums)
        }
        self.forgotten = image.forgotten
        if revision in self._marks:
            self._marks[revision] = mark_of(body)
        self._forget()
