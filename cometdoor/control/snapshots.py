"""Snapshots: compaction of a replica's own log, and sending the state to a follower that is far behind.

A snapshot is sent in chunks (see `chunked_transfer`); a transfer continues with the snapshot with which
it began, even if the leader compacts its log meanwhile. The follower installs it when it is complete, and
acknowledges it once it is on disk.
"""

from __future__ import annotations

import msgspec

from cometdoor.control.chunked_transfer import ChunkedTransfer, TransferPayload, encode_payload
from cometdoor.control.durable_state import (
    CommitIndex,
    HardState,
    Identity,
    LogEntries,
    Record,
    Snapshot,
)
from cometdoor.control.follower_progress import APPEND_RESEND_TIMEOUT_S, FollowerProgress
from cometdoor.control.log import estimate_entry_bytes
from cometdoor.control.replica_state import ReplicaContext
from cometdoor.wire.consensus import InstallSnapshot
from cometdoor.wire.log_entries import Member

# Added to the resend timeout of a snapshot that is sent as one message, since that message may be large.
SNAPSHOT_RESEND_EXTRA_S = 4 * APPEND_RESEND_TIMEOUT_S
# A new file is started once the bytes written after the current file's first batch exceed both limits: an
# absolute one, and a multiple of that batch, since each new file contains the whole snapshot again. With 8 MB
# of configuration there are at most two files of 40 MB.
COMPACTION_MIN_WRITTEN_BYTES = 8 << 20
COMPACTION_MIN_GROWTH_FACTOR = 3
COMPACTION_MAX_APPLIED_ENTRIES = 20_000  # entries applied since the last snapshot
# Size of entries that the snapshot covers but that are retained for followers that were briefly out of
# contact: no more than the snapshot's size, since sending the snapshot is as fast.
RETAINED_MAX_BYTES = 4 << 20
RETAINED_MIN_BYTES = 64 << 10
# A follower that lacks more than this, and more than twice the last snapshot's size, is sent a new snapshot.
NEW_SNAPSHOT_MIN_LAG_BYTES = 1 << 20
# Limit while a snapshot is being sent: the follower then receives later changes as entries.
RETAINED_DURING_SNAPSHOT_MAX_BYTES = 16 << 20


def is_compaction_due(file_bytes: int, initial_bytes: int, applied_entries: int) -> bool:
    """Return whether the log file is to be replaced by one that begins with a snapshot.

    Parameters
    ----------
    file_bytes : int
        Current size of the file.
    initial_bytes : int
        Size of its first batch, which contains the snapshot.
    applied_entries : int
        Entries applied since the last snapshot.
    """
    written_bytes = file_bytes - initial_bytes
    return (
        written_bytes > max(COMPACTION_MIN_WRITTEN_BYTES, COMPACTION_MIN_GROWTH_FACTOR * initial_bytes)
        or applied_entries > COMPACTION_MAX_APPLIED_ENTRIES
    )


class Snapshots:
    """Takes snapshots of a replica's state, sends them to followers, and installs those of a leader."""

    def __init__(self, replica: ReplicaContext, chunked_transfer: ChunkedTransfer) -> None:
        self._replica = replica
        self._chunked_transfer = chunked_transfer
        # Received from a leader and not loaded into the state machine yet.
        self.installed_snapshot: Snapshot | None = None
        self._cached_payload: TransferPayload | None = None  # the log's snapshot, encoded for followers
        self._cached_payload_key = (0, 0)  # its term and the snapshot's last index

    def copy_for(self, replica: ReplicaContext, chunked_transfer: ChunkedTransfer) -> Snapshots:
        """Return an independent copy as a part of another replica."""
        other = Snapshots.__new__(Snapshots)
        other.__dict__.update(self.__dict__)
        other._replica, other._chunked_transfer = replica, chunked_transfer
        return other

    # --- the leader ---

    def compact_for_lagging_follower(self, next_index: int) -> None:
        """Take a new snapshot, in memory alone, if it is smaller than the entries that a follower lacks.

        Called before entries from `next_index` on are sent. The snapshot on disk stays as it is.
        """
        replica, log = self._replica, self._replica.log
        if self.installed_snapshot is not None or replica.applied <= log.snapshot_index:
            return
        state_bytes = len(log.snapshot.state) if log.snapshot else 0
        lag_bytes = sum(
            map(estimate_entry_bytes, log.entries_after(next_index - 1, replica.applied - next_index + 1))
        )
        if lag_bytes > max(NEW_SNAPSHOT_MIN_LAG_BYTES, 2 * state_bytes):
            self._compact_log()

    def send_snapshot(self, member: Member, progress: FollowerProgress, round: int) -> None:
        """Send the log's snapshot to a member, in chunks if its build accepts them."""
        replica = self._replica
        if self._chunked_transfer.accepts_chunks(member.id):
            self._chunked_transfer.start_transfer(member, self._encoded_install())
            return
        progress.append_sent_at = replica.now + SNAPSHOT_RESEND_EXTRA_S
        replica.send(member.address, self._build_install(round))

    def _build_install(self, round: int) -> InstallSnapshot:
        replica = self._replica
        snapshot = replica.log.snapshot
        assert snapshot is not None
        return InstallSnapshot(
            replica.term,
            replica.me.id,
            replica.me.address,
            snapshot.last_index,
            snapshot.last_term,
            msgspec.msgpack.encode(snapshot),
            round,
        )

    def _encoded_install(self) -> TransferPayload:
        """Return the encoded snapshot, which all followers share."""
        replica = self._replica
        key = replica.term, replica.log.snapshot_index
        if self._cached_payload is None or self._cached_payload_key != key:
            install = self._build_install(round=0)
            self._cached_payload = encode_payload(install, install.last_index, install.last_term)
            self._cached_payload_key = key
        return self._cached_payload

    # --- followers ---

    def on_install_snapshot(self, install: InstallSnapshot) -> None:
        """Handle a leader's complete snapshot."""
        replica = self._replica
        if install.term < replica.term:
            replica.send_append_reply(install.address, False, 0, install.round)
            return
        replica.become_follower(install.term, install.leader)
        if install.last_index > replica.committed:
            self._install_received(msgspec.msgpack.decode(install.state, type=Snapshot))
        index = max(install.last_index, 0)
        replica.send_append_reply(install.address, True, index, install.round, after_writes=True)

    def _install_received(self, snapshot: Snapshot) -> None:
        replica = self._replica
        agreed_index = replica.committed
        replica.log.install(snapshot)
        self.installed_snapshot = snapshot
        replica.committed = snapshot.last_index
        records: list[Record] = [msgspec.structs.replace(snapshot, replaces_log=True)]
        if replica.log.entries:
            records.append(LogEntries(list(replica.log.entries)))
        replica.storage.replace_log(*records, last_index=replica.log.last_index, agreed_index=agreed_index)

    # --- compaction ---

    def _compact_log(self) -> None:
        replica = self._replica
        state = replica.snapshot_state()
        retained_bytes = min(RETAINED_MAX_BYTES, max(len(state), RETAINED_MIN_BYTES))
        if self._chunked_transfer.is_sending_snapshot():
            retained_bytes = RETAINED_DURING_SNAPSHOT_MAX_BYTES
        replica.log.compact(replica.applied, state, retained_bytes)
        self._cached_payload = None

    def compact(self) -> list[Record]:
        """Compact the log up to the applied index; return all records that a new file must begin with."""
        replica, log = self._replica, self._replica.log
        if replica.applied > log.snapshot_index:
            self._compact_log()
        records: list[Record] = [Identity(replica.me.id), HardState(replica.term, replica.voted_for)]
        if log.snapshot is not None:
            records.append(log.snapshot)
        if entries := log.entries_after_snapshot():
            records.append(LogEntries(entries))
        if replica.committed > log.snapshot_index:
            records.append(CommitIndex(replica.committed))
        return records
