"""Loads the state with which a replica starts: that of its disk, or an empty one with a new id."""

from __future__ import annotations

import secrets
from typing import NamedTuple

import structlog

from cometdoor.control.durable_state import DurableState
from cometdoor.control.write_ahead_log import WriteAheadLog

log = structlog.get_logger()


class LoadedState(NamedTuple):
    """State with which a replica starts.

    Attributes
    ----------
    is_new : bool
        Whether the disk had no valid state, so that the id is new.
    is_founder : bool
        Whether the replica is one of the group's first members, on an empty disk.
    """

    durable_state: DurableState
    is_new: bool
    is_founder: bool = False


def load_durable_state(log_file: WriteAheadLog, founder_id: str = "") -> LoadedState:
    """Open the log and return its state; if it is empty or corrupt, an empty state with a new id.

    `founder_id`: id of a replica that founds the group if its disk is empty; "" for others. A corrupt disk
    may have voted before, so it gets another id.

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
        is_founder = bool(founder_id) and not recovered.is_corrupt
        new_id = founder_id if is_founder else secrets.token_hex(6)
        return LoadedState(DurableState(id=new_id), is_new=True, is_founder=is_founder)
    return LoadedState(recovered.durable_state, is_new=False)
