"""Rebuilds a group from the remaining data directories after its majority is lost for good.

Changes that a majority had acknowledged may be on lost disks alone; they can't be recovered. Of the
remaining disks the one with the most up-to-date log is used (highest term of the last entry, then length:
the rule by which voters compare logs). All its entries are kept: one that is not known to be committed may
have been acknowledged, and losing it would be worse than keeping it. Lost claims can't be distinguished from
keys that were never claimed, so the new group accepts no claim until the window in which they could matter
has passed on the new group's clock.
"""

from __future__ import annotations

import secrets
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from msgspec.structs import replace

from cometdoor.control.durable_state import HardState, Identity, Record, Snapshot
from cometdoor.control.offline_inspection import DirectoryContents, read_data_directory
from cometdoor.control.write_ahead_log import WriteAheadLog, list_log_files
from cometdoor.errors import CometdoorError
from cometdoor.wire.log_entries import ConfigurationChange, Member


class RebuildError(CometdoorError):
    """The rebuild was rejected for the reason in the message; nothing was written."""


@dataclass(frozen=True)
class RebuildResult:
    """The source of a rebuilt data directory and what the operator has to check."""

    source: Path  # the data directory that was used
    member: str  # id of the new group's only member
    members_before: tuple[str, ...]  # of the old group, as id@address
    last_index: int  # of the log that was used
    committed: int  # last index of it known to be committed
    revision: int  # of the configuration in force in the new group
    uncertain_revisions: list[int]  # not known to be committed before; accepted in the new group
    source_count: int  # number of data directories that were compared


class LogPosition(NamedTuple):
    """End of a log; positions compare as voters compare logs (Raft, 5.4.1)."""

    last_term: int
    last_index: int


def log_position(contents: DirectoryContents) -> LogPosition:
    """Return where the log of a data directory ends."""
    durable_state = contents.durable_state
    term = (
        durable_state.entries[-1].term
        if durable_state.entries
        else durable_state.snapshot.last_term
        if durable_state.snapshot
        else 0
    )
    return LogPosition(term, contents.last_index)


def rebuild(sources: Sequence[Path], target: Path, me: Member, idempotency_window_s: float) -> RebuildResult:
    """Write the data directory of a group with one member into `target`.

    Parameters
    ----------
    sources : Sequence[Path]
        Data directories that remain of the old group; they are only read.
    target : Path
        The new data directory; it must contain no log file.
    me : Member
        The new group's only member; a new id is generated for it.
    idempotency_window_s : float
        Idempotency window, for which the new group accepts no claims.

    Raises
    ------
    RebuildError
        `target` contains a log, or a source is faulty or contains no member's state.
    DiskError
        A file can't be read or written.
    NotADirectoryError
        A source doesn't exist.
    """
    if target in sources or list_log_files(target):
        raise RebuildError(
            f"{target} already contains a member's data; the new member needs an empty directory"
        )
    candidates = _read_sources(sources, idempotency_window_s)
    source = max(candidates, key=lambda candidate: log_position(candidates[candidate]))
    best = candidates[source]
    uncertain_revisions = _apply_uncommitted(best)
    best.state.suspend_claims()
    new_member = replace(me, id=secrets.token_hex(6))
    term, last_index = log_position(best)
    _write_directory(
        target,
        [
            Identity(new_member.id),
            HardState(max(contents.durable_state.term for contents in candidates.values()) + 1, ""),
            Snapshot(last_index, term, (new_member,), best.state.snapshot(), replaces_log=True),
        ],
    )
    return RebuildResult(
        source,
        new_member.id,
        best.members,
        last_index,
        best.durable_state.committed,
        best.state.revision,
        uncertain_revisions,
        len(sources),
    )


def _read_sources(sources: Sequence[Path], idempotency_window_s: float) -> dict[Path, DirectoryContents]:
    candidates = {source: read_data_directory(source, idempotency_window_s) for source in sources}
    for source, contents in candidates.items():
        if contents.faults:
            raise RebuildError(f"{source}: {contents.faults[0]}")
        if not contents.durable_state.id:
            raise RebuildError(f"{source} contains no member's data")
    return candidates


def _apply_uncommitted(contents: DirectoryContents) -> list[int]:
    """Apply the entries after the commit index, and return the revisions that they put in force."""
    durable_state, revisions = contents.durable_state, []
    for entry in durable_state.entries:
        if entry.index > durable_state.committed:
            result = contents.state.apply(entry.change)
            if isinstance(entry.change, ConfigurationChange) and result.accepted:
                revisions.append(entry.change.revision)
    return revisions


def _write_directory(target: Path, records: Sequence[Record]) -> None:
    log_file = WriteAheadLog(target)
    log_file.open()
    log_file.rotate(records)
    log_file.close()
