"""A write-ahead log that survives any loss of power, stored with `dbm.dumb`.

`dbm.dumb` guarantees nothing: a value may be torn, its index may refer to missing values, and its two files
change independently. So this module never relies on the index. Every value (a batch of records) has a
header with magic, checksum, length and number, and begins at a block of 512 bytes, as `dbm.dumb` aligns it.
On opening, the `.dat` file is scanned block by block and the index is not read at all. No value is ever
overwritten.
The file may hold:

- complete batches in the order of their numbers, valid up to the first number that is missing;
- after that, parts of writes that were never synced and so never acknowledged;
- a gap before a batch whose header names the missing number as synced: the disk lost an acknowledged write
  (a flipped bit, a lost block). Then the disk is treated as empty, and its replica as unknown to the group.

A file is written by one incarnation only. The next one begins a new file with the complete state. A loss of
power may keep or lose each name that was created or removed without a sync of the directory. So the
directory is synced twice: before older files are removed, so that the old or the new file always exists;
and after, so that no older file reappears once a write is acknowledged that only the new file contains.

A failed write is truncated before the next attempt, and a file whose first write failed is removed, so that
attempts that fail for hours use no disk space.
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
from typing import Any, NamedTuple

import msgspec

from cometdoor.control.durable_state import DurableState, Record
from cometdoor.errors import CometdoorError
from cometdoor.wire.revisions import decode_revision, encode_revision

MAGIC = b"CDL1"
HEADER = struct.Struct(">4sIIQQ")  # magic, CRC-32 of what follows it, length of the body, number, last synced
BLOCK_BYTES = 512  # alignment of values by dbm.dumb
FILE_NAME_PREFIX = "log-"

_encoder = msgspec.msgpack.Encoder(enc_hook=encode_revision)
_decoder = msgspec.msgpack.Decoder(list[Record], dec_hook=decode_revision)


class DiskError(CometdoorError, OSError):
    """An operation on a data directory failed.

    Attributes
    ----------
    step : str
        ``"open"``, ``"read"``, ``"begin"`` (a new file) or ``"write"``.
    peer, path : str
        The file or directory.
    """

    def __init__(self, step: str, path: str, reason: str) -> None:
        super().__init__(f"{step} of {path}: {reason}")
        self.step, self.path, self.peer = step, path, path


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """One complete batch of a log file."""

    number: int
    last_synced: int  # number of the last batch that was on disk when this was written
    records: list[Record]
    offset: int  # bytes from the start of the file


def encode_batch(number: int, last_synced: int, records: Sequence[Record]) -> bytes:
    """Return the header and body of one batch."""
    body = _encoder.encode(records)
    remainder = struct.pack(">IQQ", len(body), number, last_synced) + body
    return MAGIC + struct.pack(">I", zlib.crc32(remainder)) + remainder


def scan_batches(data: bytes) -> Iterator[WriteBatch]:
    """Yield all complete batches of a file's content in the order of their offsets."""
    offset = 0
    while offset + HEADER.size <= len(data):
        size_bytes = 0
        magic, crc, length, number, last_synced = HEADER.unpack_from(data, offset)
        if magic == MAGIC and offset + HEADER.size + length <= len(data):
            end = offset + HEADER.size + length
            if zlib.crc32(data[offset + 8 : end]) == crc:
                try:
                    yield WriteBatch(
                        number, last_synced, _decoder.decode(data[offset + HEADER.size : end]), offset
                    )
                    size_bytes = end - offset
                except msgspec.MsgspecError:
                    size_bytes = 0  # written by a newer version: treated as missing
        offset += max(-(-size_bytes // BLOCK_BYTES), 1) * BLOCK_BYTES


@dataclass
class RecoveredLog:
    """State recovered from one log file."""

    durable_state: DurableState = field(default_factory=DurableState)
    last_number: int = 0  # number of the last valid batch
    is_corrupt: bool = False  # a batch is missing that a later one records as synced
    ignored_batches: int = 0  # complete batches after a gap
    is_empty: bool = True  # no batch is valid


def replay_batches(batches: Sequence[WriteBatch]) -> RecoveredLog:
    """Apply the batches in the order of their numbers, up to the first gap."""
    recovered = RecoveredLog()
    by_number = {batch.number: batch for batch in reversed(batches)}
    number = 1
    while number in by_number:
        for record in by_number[number].records:
            recovered.durable_state.apply(record)
        recovered.is_empty = False
        number += 1
    recovered.last_number = number - 1
    recovered.ignored_batches = sum(other > recovered.last_number for other in by_number)
    recovered.is_corrupt = any(batch.last_synced > recovered.last_number for batch in batches)
    return recovered


class LogFile(NamedTuple):
    """A numbered log file; numbers rise with each new file."""

    number: int
    path: Path


class RecoveredDirectory(NamedTuple):
    """State of the newest log file that is not empty, and the number of the newest file."""

    recovered: RecoveredLog
    newest_number: int  # 0: there is no file


def list_log_files(directory: Path) -> list[LogFile]:
    """Return the numbered `.dat` files, newest first."""
    numbered = []
    for path in directory.glob(f"{FILE_NAME_PREFIX}*.dat"):
        digits = path.stem.removeprefix(FILE_NAME_PREFIX)
        if digits.isdigit():
            numbered.append(LogFile(int(digits), path))
    return sorted(numbered, reverse=True)


def recover_log(directory: Path) -> RecoveredDirectory:
    """Read the newest log file that is not empty.

    Raises
    ------
    DiskError
        A file can't be read.
    """
    newest_number = 0
    for number, path in list_log_files(directory):
        newest_number = max(newest_number, number)
        try:
            data = path.read_bytes()
        except OSError as error:
            raise DiskError("read", str(path), error.strerror or str(error)) from error
        recovered = replay_batches(list(scan_batches(data)))
        if recovered.is_corrupt or not recovered.is_empty:
            return RecoveredDirectory(recovered, newest_number)
        # Its first batch was never synced, so the file before it was not removed and is still valid.
    return RecoveredDirectory(RecoveredLog(), newest_number)


# --- disk operations, replaced to simulate a loss of power (simulation/power_loss.py) ---


def _with_descriptor(path: Path, flags: int, call: Callable[[int], None]) -> None:
    descriptor = os.open(path, flags)
    try:
        call(descriptor)
    finally:
        os.close(descriptor)


def sync_file(path: Path) -> None:
    """Sync a file's content to the disk."""
    _with_descriptor(path, os.O_RDWR, os.fsync)


def sync_directory(directory: Path) -> None:
    """Sync the names in a directory to the disk."""
    _with_descriptor(directory, os.O_RDONLY | os.O_DIRECTORY, os.fsync)


def truncate_file(path: Path, size_bytes: int) -> None:
    """Truncate a file to that size."""
    _with_descriptor(path, os.O_RDWR, lambda descriptor: os.ftruncate(descriptor, size_bytes))


def remove_file(path: Path) -> None:
    """Remove a file with `dbm.dumb`'s index beside it."""
    for file_path in (path, path.with_suffix(".dir"), path.with_suffix(".bak")):
        file_path.unlink(missing_ok=True)


class WriteAheadLog:
    """The log file of this incarnation. All methods block; they run on one thread, one at a time."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self._database: Any = None
        self._path = directory
        self._file_number = self._batch_number = self._last_synced_number = self._attempts = 0
        self._records_being_rotated: Sequence[Record] | None = None  # until older files are removed
        self.size_bytes = 0  # size of the complete batches in the file
        self.initial_size_bytes = 0  # size of the first batch

    def open(self) -> RecoveredLog:
        """Create the directory if needed, and recover the state that it holds.

        Raises
        ------
        DiskError
            The directory can't be created, or a file in it can't be read.
        """
        try:
            self.directory.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise DiskError("open", str(self.directory), error.strerror or str(error)) from error
        recovered, self._file_number = recover_log(self.directory)
        return recovered

    def rotate(self, records: Sequence[Record]) -> None:
        """Start a new file with `records`, which contain the complete state; remove older files.

        Raises
        ------
        DiskError
            The caller must repeat it with the same records before it writes anything else.
        """
        try:
            if self._records_being_rotated is not records:
                self._create_file(records)
                self._records_being_rotated = records
            sync_directory(self.directory)
            self._remove_older_files(self._file_number)
            sync_directory(self.directory)
            self._records_being_rotated = None
        except OSError as error:
            raise DiskError("begin", str(self._path), error.strerror or str(error)) from error

    def _create_file(self, records: Sequence[Record]) -> None:
        self._file_number += 1
        path = self.directory / f"{FILE_NAME_PREFIX}{self._file_number:06d}"
        self._path = path.with_suffix(".dat")
        self.size_bytes = self.initial_size_bytes = self._batch_number = self._last_synced_number = 0
        try:
            self.close()  # otherwise garbage collection writes its index after its file was removed
            self._database = dbm.dumb.open(str(path), "n")  # noqa: SIM115 - it stays open
            self._append(records)
        except OSError:
            with suppress(OSError):
                self.close()
            with suppress(OSError):
                remove_file(self._path)
            raise
        self.initial_size_bytes = self.size_bytes

    def close(self) -> None:
        """Close the file; everything appended is on disk already.

        Raises
        ------
        OSError
            The index could not be written. That is harmless, since it is never read.
        """
        if self._database is not None:
            database, self._database = self._database, None
            database.close()

    def append(self, records: Sequence[Record]) -> None:
        """Append a batch; it is on disk when this returns.

        Raises
        ------
        DiskError
            The batch may be on disk or not; the same append may be repeated.
        """
        try:
            self._append(records)
        except OSError as error:
            raise DiskError("write", str(self._path), error.strerror or str(error)) from error

    def _append(self, records: Sequence[Record]) -> None:
        self._attempts += 1
        batch = encode_batch(self._batch_number + 1, self._last_synced_number, records)
        if self._path.stat().st_size > self.size_bytes:
            truncate_file(self._path, self.size_bytes)  # partial data of a failed attempt
        # A new key for each attempt: dbm.dumb overwrites the value of an existing key in place.
        self._database[f"{self._batch_number + 1}.{self._attempts}"] = batch
        sync_file(self._path)
        self._batch_number += 1
        self._last_synced_number = self._batch_number
        self.size_bytes += -(-len(batch) // BLOCK_BYTES) * BLOCK_BYTES

    def _remove_older_files(self, newest_number: int) -> None:
        for number, path in list_log_files(self.directory):
            if number < newest_number:
                remove_file(path)
