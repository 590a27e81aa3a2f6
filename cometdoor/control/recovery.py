"""Loads the state with which a replica starts: that of its disk, or an empty one with a new id."""

from __future__ import annotations

import secrets
from typing import NamedTuple

import structlog

from cometdoor.control.durable_state import DurableState
from cometdoor.control.write_ahead_log import WriteAheadLog

log = structlog.get_logger()


class LoadedState(NamedTuple):
    """State with which a replica starts; `is_new`: the disk had no valid state, so the id is new."""

    durable_state: DurableState
    is_new: bool


def load_durable_state(log_file: WriteAheadLog) -> LoadedState:
    """Open the log and return its state; if it is empty or corrupt, an empty state with a new id.

    Raises
    ------
    DiskError
        The directory can't be created, or a file in it can't be read.
    """
    recovered = log_file.open()
    if recovered.is_corrupt:
        log.error(
            "disk lost records that it had acknowledged; starting empty with a new id",
            step="open",
            peer=str(log_file.directory),
        )
        # The corrupt file stays until the new one is complete: without it an older file would be used again.
    if recovered.is_corrupt or not recovered.durable_state.id:
        return LoadedState(DurableState(id=secrets.token_hex(6)), is_new=True)
    return LoadedState(recovered.durable_state, is_new=False)
