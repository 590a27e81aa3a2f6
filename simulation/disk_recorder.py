"""Recorder of the disk operations of the write-ahead log.

The operations are: create a file, write bytes, truncate, sync, remove a name, sync the directory.
"""

from __future__ import annotations

import dbm.dumb
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

from cometdoor.control import write_ahead_log

NO_SPACE_ERRNO = 28


@dataclass(frozen=True, slots=True)
class CreateFile:
    """A file was created."""

    name: str


@dataclass(frozen=True, slots=True)
class WriteBytes:
    """Bytes were written at an offset."""

    name: str
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class TruncateFile:
    """A file was truncated."""

    name: str
    size: int


@dataclass(frozen=True, slots=True)
class SyncFile:
    """A file was synced."""

    name: str


@dataclass(frozen=True, slots=True)
class RemoveFile:
    """A name was removed."""

    name: str


@dataclass(frozen=True, slots=True)
class SyncDirectory:
    """The directory was synced: names created or removed before are durable."""


DiskOperation = CreateFile | WriteBytes | TruncateFile | SyncFile | RemoveFile | SyncDirectory


FilesByName = dict[str, bytes]  # contents


class OperationRecorder:
    """Records the operations on one directory while `recording` is entered."""

    def __init__(self, directory: Path, should_fail: Callable[[int], bool] = lambda count: False) -> None:
        """Record nothing yet.

        `should_fail`: returns whether the operation with this number fails, as on a full disk. A failed
        write leaves half of its bytes.
        """
        self.directory = directory
        self.operations: list[DiskOperation] = []
        self._should_fail = should_fail
        self._attempted = 0
        self.failed_operations = 0

    @contextmanager
    def recording(self) -> Iterator[None]:
        """Intercept the operations of `cometdoor.control.write_ahead_log` and `dbm.dumb`."""
        original = {
            name: getattr(write_ahead_log, name)
            for name in ("sync_file", "sync_directory", "truncate_file", "remove_file")
        }

        def sync_file(path: Path) -> None:
            self._perform(SyncFile(path.name), lambda: original["sync_file"](path))

        def sync_directory(directory: Path) -> None:
            self._perform(SyncDirectory(), lambda: original["sync_directory"](directory))

        def truncate_file(path: Path, size: int) -> None:
            self._perform(TruncateFile(path.name, size), lambda: original["truncate_file"](path, size))

        def remove_file(path: Path) -> None:
            self._perform(RemoveFile(path.name), lambda: original["remove_file"](path))

        with ExitStack() as stack:
            for function in (sync_file, sync_directory, truncate_file, remove_file):
                stack.enter_context(mock.patch.object(write_ahead_log, function.__name__, function))
            stack.enter_context(mock.patch.object(dbm.dumb, "_io", SimpleNamespace(open=self._open)))
            yield

    def _open(self, path: Any, mode: str = "r", **options: Any) -> Any:
        name = Path(path.decode()).name
        if name.endswith(".dat") and mode == "w":
            self._perform(CreateFile(name), lambda: None)
        file_object = open(path, mode, **options)  # noqa: SIM115 - dbm.dumb closes it
        return (
            _RecordedFile(file_object, name, self) if name.endswith(".dat") and mode == "rb+" else file_object
        )

    def _perform(self, operation: DiskOperation, action: Callable[[], None]) -> None:
        self._attempted += 1
        if self._should_fail(self._attempted):
            self.failed_operations += 1
            raise OSError(NO_SPACE_ERRNO, "No space left on device")
        action()
        self.operations.append(operation)

    def write(self, file: Any, name: str, data: bytes) -> None:
        """Write and record bytes. Raises OSError if `should_fail` selects the operation."""
        if not data:
            return
        offset = file.tell()

        def write_and_flush(data: bytes) -> None:
            file.write(data)
            file.flush()

        try:
            self._perform(WriteBytes(name, offset, data), lambda: write_and_flush(data))
        except OSError:
            write_and_flush(data[: len(data) // 2])
            self.operations.append(WriteBytes(name, offset, data[: len(data) // 2]))
            raise


class _RecordedFile:
    """A file that `dbm.dumb` writes to; writes are recorded."""

    def __init__(self, file: Any, name: str, recorder: OperationRecorder) -> None:
        self._file, self._name, self._recorder = file, name, recorder

    def __enter__(self) -> _RecordedFile:
        return self

    def __exit__(self, *_: object) -> None:
        self._file.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)

    def write(self, data: bytes) -> None:
        self._recorder.write(self._file, self._name, data)
