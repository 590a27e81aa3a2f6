"""Reads a member's data directory while the member is stopped, without changing anything in it."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from cometdoor.control.durable_state import DurableState
from cometdoor.control.state_machine import StateMachine
from cometdoor.control.write_ahead_log import LogFile, RecoveredLog, list_log_files, recover_log
from cometdoor.wire.log_entries import ConfigurationChange, LogEntry, MembershipChange


@dataclass
class DirectoryContents:
    """The content of a data directory.

    Attributes
    ----------
    state : StateMachine
        As of the last entry that is known to be committed.
    members : tuple[str, ...]
        Newest members of the group in the log, as ``id@address``.
    last_index : int
        Last index of the log.
    file : str
        Path of the newest log file, or of the directory if there is none.
    faults : list[str]
        Reasons why the content can't be trusted.
    warnings : list[str]
        Remarks on content that is ignored without harm.
    """

    durable_state: DurableState
    state: StateMachine
    members: tuple[str, ...]
    last_index: int
    file: str
    faults: list[str] = field(default_factory=list)
    warnings: list[str] = field(default_factory=list)

    def uncommitted_configurations(self) -> list[ConfigurationChange]:
        """Return the configurations after the last entry that is known to be committed.

        Only a majority of the members can decide whether they are in force.
        """
        return [
            entry.change
            for entry in self.durable_state.entries
            if entry.index > self.durable_state.committed and isinstance(entry.change, ConfigurationChange)
        ]


def read_data_directory(directory: Path, idempotency_window_s: float = 60.0) -> DirectoryContents:
    """Read a data directory.

    `idempotency_window_s` decides which claims count as expired; it should be that of the group.

    Raises
    ------
    DiskError
        A file can't be read.
    NotADirectoryError
        There is no such directory.
    """
    if not directory.is_dir():
        raise NotADirectoryError(f"{directory}: no such directory")
    recovered, newest_number = recover_log(directory)
    durable_state, state = recovered.durable_state, StateMachine(idempotency_window_s)
    base_index, members = 0, ""
    if durable_state.snapshot is not None:
        base_index = durable_state.snapshot.last_index
        state.load(durable_state.snapshot.state)
        members = _describe_members(durable_state.snapshot.members)
    durable_state.committed = max(
        base_index,
        min(
            durable_state.committed, durable_state.entries[-1].index if durable_state.entries else base_index
        ),
    )
    for entry in durable_state.entries:
        if entry.index <= durable_state.committed:
            state.apply(entry.change)
        if isinstance(entry.change, MembershipChange):
            members = _describe_members(entry.change.members)
    contents = DirectoryContents(
        durable_state,
        state,
        tuple(members.split()),
        durable_state.entries[-1].index if durable_state.entries else base_index,
        str(max(list_log_files(directory), default=LogFile(0, directory)).path),
    )
    contents.faults += _find_faults(recovered, newest_number)
    contents.faults += _find_gaps(durable_state.entries, base_index)
    if recovered.ignored_batches and not recovered.is_corrupt:
        contents.warnings.append(
            f"{recovered.ignored_batches} batches after batch {recovered.last_number} were never synced"
        )
    return contents


def _find_faults(recovered: RecoveredLog, newest_number: int) -> list[str]:
    """Return the faults of the log files; `newest_number` is 0 if there is none."""
    faults = []
    if newest_number and recovered.is_empty:
        faults.append("no log file contains a complete batch")
    if recovered.is_corrupt:
        faults.append(
            f"batch {recovered.last_number + 1} is missing, but a later one records it as synced: the disk "
            "lost an acknowledged write; a control plane that starts on it joins as a new member"
        )
    elif newest_number and not recovered.durable_state.id:
        faults.append("the log contains no member id")
    return faults


def _find_gaps(entries: list[LogEntry], base_index: int) -> list[str]:
    faults, previous_index, term = [], base_index, 0
    for entry in entries:
        if entry.index != previous_index + 1:
            faults.append(f"entry {previous_index + 1} is missing; entry {entry.index} follows")
        if entry.term < term:
            faults.append(
                f"entry {entry.index} has term {entry.term}, but the entry before it has term {term}"
            )
        previous_index, term = entry.index, entry.term
    return faults


def _describe_members(members: tuple[object, ...]) -> str:
    return " ".join(f"{getattr(member, 'id', '')}@{getattr(member, 'address', '')}" for member in members)
