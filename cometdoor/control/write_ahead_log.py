"""A log of writes on one disk that survives any loss of power, on `dbm.dumb`.

`dbm.dumb` promises nothing: a value may be torn, its index may name what is not there, both files change
apart. So nothing here rests on its index. Every value says what it is (magic, checksum, length, number) and
begins at a block of 512 bytes, as `dbm.dumb` lays them; on opening the `.dat` file is read block by block and
the index is not read at all. No value is ever overwritten. What can be lying in the file:

- whole values in the order of their numbers: they count, up to the first number that is missing;
- behind that, whatever a loss of power left of writes that no sync had covered: nobody was told of them;
- a missing number that a later value says was on disk when it was written: the disk has lost what was
  promised (a flipped bit, a lost block). Then the disk counts as empty, and its owner as a stranger.

A file is written to by one life only. The next one begins with all that stands in its first value. A loss of
power may keep or lose each name that was made or removed without a sync of the folder, by itself. So the
folder is synced twice: before older files go, so that one of the two is there whatever is lost; and after, so
that none of them comes back once anybody was told of what only the new one holds.

A write that failed is cut off again before the next try, and a file whose beginning failed is removed: tries
that fail for hours take no room.
"""

from __future__ import annotations

import dbm.dumb
import os
import struct
import zlib
from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from cometdoor.control.durable import DurableState, Record

MAGIC = b"CDL1"
HEAD = struct.Struct(">4sIIQQ")  # magic, CRC-32 of what follows it, length of the body, number, last synced
BLOCK = 512  # dbm.dumb's
NAME = "log-"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Record])


class DiskError(OSError):
    def __init__(self, step: str, place: str, reason: str) -> None:
        super().__init__(f"{step} of {place}: {reason}")
        self.step, self.place = step, place


@dataclass(frozen=True, slots=True)
class Value:
    number: int
    synced: int  # the last number that was on disk when this was written
    writes: list[Record]
    offset: int


def pack(number: int, synced: int, writes: Sequence[Record]) -> bytes:
    body = _encoder.encode(writes)
    rest = struct.pack(">IQQ", len(body), number, synced) + body
    return MAGIC + struct.pack(">I", zlib.crc32(rest)) + rest


def scan(data: bytes) -> Iterator[Value]:
    """All whole values, as they lie."""
    at = 0
    while at + HEAD.size <= len(data):
        size = 0
        magic, crc, length, number, synced = HEAD.unpack_from(data, at)
        if magic == MAGIC and at + HEAD.size + length <= len(data):
            end = at + HEAD.size + length
            if zlib.crc32(data[at + 8 : end]) == crc:
                try:
                    yield Value(number, synced, _decoder.decode(data[at + HEAD.size : end]), at)
                    size = end - at
                except msgspec.MsgspecError:
                    size = 0  # written by a version that knows more: as good as missing
        at += max(-(-size // BLOCK), 1) * BLOCK


@dataclass
class Found:
    """What one file holds."""

    held: DurableState = field(default_factory=DurableState)
    last: int = 0  # number of the last value that counts
    is_damaged: bool = False
    ignored: int = 0  # whole values behind a gap
    is_empty: bool = True


def read_values(values: Sequence[Value]) -> Found:
    found = Found()
    by_number = {value.number: value for value in reversed(values)}
    number = 1
    while number in by_number:
        for write in by_number[number].writes:
            found.held.take(write)
        found.is_empty = False
        number += 1
    found.last = number - 1
    found.ignored = sum(other > found.last for other in by_number)
    found.is_damaged = any(value.synced > found.last for value in values)
    return found


def files(folder: Path) -> list[tuple[int, Path]]:
    """The numbered `.dat` files, the newest first."""
    found = []
    for path in folder.glob(f"{NAME}*.dat"):
        digits = path.stem.removeprefix(NAME)
        if digits.isdigit():
            found.append((int(digits), path))
    return sorted(found, reverse=True)


def read_folder(folder: Path) -> tuple[Found, int]:
    """What stands, and the number of the newest file. Raises DiskError where a file can't be read."""
    newest = 0
    for number, path in files(folder):
        newest = max(newest, number)
        try:
            data = path.read_bytes()
        except OSError as problem:
            raise DiskError("read", str(path), problem.strerror or str(problem)) from problem
        found = read_values(list(scan(data)))
        if found.is_damaged or not found.is_empty:
            return found, newest
        # Its first value never was on disk: what the file before it holds still stands.
    return Found(), newest


# --- what is asked of the disk; simulated losses of power take these calls' place (lab/power_loss.py) ---


def _with_descriptor(path: Path, flags: int, call: Callable[[int], None]) -> None:
    descriptor = os.open(path, flags)
    try:
        call(descriptor)
    finally:
        os.close(descriptor)


def sync_file(path: Path) -> None:
    _with_descriptor(path, os.O_RDWR, os.fsync)


def sync_folder(folder: Path) -> None:
    """All names in it as they are now last."""
    _with_descriptor(folder, os.O_RDONLY | os.O_DIRECTORY, os.fsync)


def cut_file(path: Path, size: int) -> None:
    _with_descriptor(path, os.O_RDWR, lambda descriptor: os.ftruncate(descriptor, size))


def remove_file(path: Path) -> None:
    """With the index beside it."""
    for one in (path, path.with_suffix(".dir"), path.with_suffix(".bak")):
        one.unlink(missing_ok=True)


class WriteAheadLog:
    """The file of this life. All methods block; they run on a thread of their own, one at a time."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._db: Any = None
        self._path = folder
        self._file = self._number = self._synced = self._tries = 0
        self._begun_with: Sequence[Record] | None = None  # while older files are still there
        self.size = 0  # bytes of the file that count
        self.begun_size = 0  # of its first value

    def open(self) -> Found:
        """Raises DiskError."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
        except OSError as problem:
            raise DiskError("open", str(self.folder), problem.strerror or str(problem)) from problem
        found, self._file = read_folder(self.folder)
        return found

    def begin(self, writes: Sequence[Record]) -> None:
        """A new file that begins with all that stands; older ones go.

        Raises DiskError: then it is to be tried again with the same records, and nothing else is to be put
        before it has succeeded.
        """
        try:
            if self._begun_with is not writes:
                self._begin_file(writes)
                self._begun_with = writes
            sync_folder(self.folder)
            self._drop_older(self._file)
            sync_folder(self.folder)
            self._begun_with = None
        except OSError as problem:
            raise DiskError("begin", str(self._path), problem.strerror or str(problem)) from problem

    def _begin_file(self, writes: Sequence[Record]) -> None:
        self._file += 1
        path = self.folder / f"{NAME}{self._file:06d}"
        self._path = path.with_suffix(".dat")
        self.size = self.begun_size = self._number = self._synced = 0
        try:
            self.close()  # else its index is written when it is collected, after its file has gone
            self._db = dbm.dumb.open(str(path), "n")  # noqa: SIM115 - it stays open for this life
            self._put(writes)
        except OSError:
            with suppress(OSError):
                self.close()
            with suppress(OSError):
                remove_file(self._path)
            raise
        self.begun_size = self.size

    def close(self) -> None:
        """Nothing rests on it: what was put is on disk. Raises OSError."""
        if self._db is not None:
            db, self._db = self._db, None
            db.close()

    def put(self, writes: Sequence[Record]) -> None:
        """On disk when it returns. Raises DiskError: then it may be or not, and may be tried again."""
        try:
            self._put(writes)
        except OSError as problem:
            raise DiskError("write", str(self._path), problem.strerror or str(problem)) from problem

    def _put(self, writes: Sequence[Record]) -> None:
        self._tries += 1
        value = pack(self._number + 1, self._synced, writes)
        if self._path.stat().st_size > self.size:
            cut_file(self._path, self.size)  # of a try that failed
        # A key of its own for each try: an old one would be overwritten where it lies.
        self._db[f"{self._number + 1}.{self._tries}"] = value
        sync_file(self._path)
        self._number += 1
        self._synced = self._number
        self.size += -(-len(value) // BLOCK) * BLOCK

    def _drop_older(self, newest: int) -> None:
        for number, path in files(self.folder):
            if number < newest:
                remove_file(path)
