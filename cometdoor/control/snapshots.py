"""Snapshots: compacting a replica's own log, and sending the state to a follower that is too far behind."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cometdoor.control.durable import (
    CommitIndex,
    HardState,
    Identity,
    LogEntries,
    Record,
    Snapshot,
)
from cometdoor.control.replication import RESEND_S, Progress
from cometdoor.wire.messages import Install, Member

if TYPE_CHECKING:
    from cometdoor.control.replica import Replica

INSTALL_S = 4 * RESEND_S  # added to the time after which an unanswered snapshot is sent again: it is large


class Snapshots:
    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self.installed: Snapshot | None = None  # a leader's, for the driver to load into the state machine

    def copy_for(self, replica: Replica) -> Snapshots:
        """The same state as part of another replica."""
        other = Snapshots.__new__(Snapshots)
        vars(other).update(vars(self))
        other._replica = replica
        return other

    # --- the leader ---

    def send_to(self, member: Member, progress: Progress) -> None:
        replica = self._replica
        snapshot = replica.log.snapshot
        assert snapshot is not None
        progress.sent_at = replica.now + INSTALL_S
        install = Install(
            replica.term,
            replica.me.id,
            replica.me.address,
            snapshot.last_index,
            snapshot.last_term,
            msgspec.msgpack.encode(snapshot),
            replica.replication.round,
        )
        replica.send(member.address, install)

    # --- followers ---

    def on_install(self, install: Install) -> None:
        replica = self._replica
        if install.term < replica.term:
            replica.replication.answer(install.address, False, 0, install.round)
            return
        replica.follow(install.term, install.leader)
        if install.last_index > replica.committed:
            self._take(msgspec.msgpack.decode(install.state, type=Snapshot))
        index = max(install.last_index, 0)
        replica.replication.answer(install.address, True, index, install.round, after_writes=True)

    def _take(self, snapshot: Snapshot) -> None:
        replica = self._replica
        replica.log.install(snapshot)
        self.installed = snapshot
        replica.committed = snapshot.last_index
        records: list[Record] = [msgspec.structs.replace(snapshot, alone=True)]
        if replica.log.entries:
            records.append(LogEntries(list(replica.log.entries)))
        replica.storage.replace_log(*records, last_index=replica.log.last_index)

    # --- compaction ---

    def compact(self) -> list[Record]:
        """Forget what is applied; returns all that a fresh file must begin with, in order."""
        replica, log = self._replica, self._replica.log
        if replica.applied > log.base:
            log.compact(replica.applied, replica.state_of())
        records: list[Record] = [Identity(replica.me.id), HardState(replica.term, replica.voted_for)]
        if log.snapshot is not None:
            records.append(log.snapshot)
        if log.entries:
            records.append(LogEntries(list(log.entries)))
        if replica.committed > log.base:
            records.append(CommitIndex(replica.committed))
        return records
