"""Directories that a loss of power may leave, under the weakest guarantees of file systems.

A write that no sync of its file covers is complete, missing or torn, independently of other writes. A name
that was created or removed after the last sync of its directory is kept or lost, independently of other names
and of whether the file was synced.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import islice, product
from typing import Any

from cometdoor.control.write_ahead_log import BLOCK_BYTES
from simulation.disk_recorder import (
    CreateFile,
    DiskOperation,
    FilesByName,
    RemoveFile,
    SyncDirectory,
    SyncFile,
    TruncateFile,
    WriteBytes,
)

# Limits each kind of combination: of names, of files' contents, and of the writes to a file. Of the last, if
# there are more, random ones are tried.
MAX_OUTCOMES = 64


@dataclass
class _File:
    """Contents that are durable, and writes since the last sync."""

    synced: bytes = b""
    unsynced: list[WriteBytes | TruncateFile] = field(default_factory=list)  # not covered by a sync


@dataclass
class _DirectoryState:
    """Names that are durable, and what was done to names since the directory's last sync."""

    durable_files: dict[str, _File] = field(default_factory=dict)
    unsynced: list[tuple[str, _File | None]] = field(default_factory=list)  # None: removed


def _replay(operations: Sequence[DiskOperation]) -> _DirectoryState:
    directory_state = _DirectoryState()
    current_files: dict[str, _File] = {}
    for operation in operations:
        match operation:
            case CreateFile(name=name):
                current_files[name] = _File()
                directory_state.unsynced.append((name, current_files[name]))
            case WriteBytes(name=name) | TruncateFile(name=name):
                current_files[name].unsynced.append(operation)
            case SyncFile(name=name):
                current_files[name].synced = _apply_operations(
                    current_files[name].synced, current_files[name].unsynced
                )
                current_files[name].unsynced = []
            case RemoveFile(name=name):
                if current_files.pop(name, None) is not None:
                    directory_state.unsynced.append((name, None))
            case SyncDirectory():
                directory_state.durable_files, directory_state.unsynced = dict(current_files), []
    return directory_state


def _apply_operations(content: bytes, operations: Sequence[WriteBytes | TruncateFile]) -> bytes:
    result = bytearray(content)
    for operation in operations:
        if isinstance(operation, TruncateFile):
            del result[operation.size :]
            continue
        end = operation.offset + len(operation.data)
        result.extend(bytes(max(end - len(result), 0)))
        result[operation.offset : end] = operation.data
    return bytes(result)


def _possible_effects(operation: WriteBytes | TruncateFile) -> list[list[WriteBytes | TruncateFile]]:
    """Return how an unsynced write may survive: complete, missing, or torn in one of two ways."""
    if isinstance(operation, TruncateFile) or len(operation.data) <= 1:
        return [[operation], []]
    half = len(operation.data) // 2
    start = min(BLOCK_BYTES, half)
    return [
        [operation],
        [],
        [WriteBytes(operation.name, operation.offset, operation.data[:half])],
        [WriteBytes(operation.name, operation.offset + start, operation.data[start:])],
    ]


def power_loss_outcomes(operations: Sequence[DiskOperation], rng: random.Random) -> Iterator[FilesByName]:
    """Yield directories that a loss of power after these operations may leave; some, if there are many."""
    directory_state = _replay(operations)
    for survivals in islice(product((True, False), repeat=len(directory_state.unsynced)), MAX_OUTCOMES):
        files = dict(directory_state.durable_files)
        for does_survive, (name, file) in zip(survivals, directory_state.unsynced, strict=True):
            if does_survive and file is not None:
                files[name] = file
            elif does_survive:
                files.pop(name, None)
        possible_contents = [list(_possible_contents(file, rng)) for file in files.values()]
        for chosen in islice(product(*possible_contents), MAX_OUTCOMES):
            yield dict(zip(files, chosen, strict=True))


def _possible_contents(file: _File, rng: random.Random) -> Iterator[bytes]:
    effects = [_possible_effects(operation) for operation in file.unsynced]
    count = 1
    for choices in effects:
        count *= len(choices)
    if count <= MAX_OUTCOMES:
        chosen: Iterator[Any] = product(*effects)
    else:
        chosen = ([rng.choice(choices) for choices in effects] for _ in range(MAX_OUTCOMES))
    for chosen_effects in chosen:
        yield _apply_operations(file.synced, [operation for effect in chosen_effects for operation in effect])
