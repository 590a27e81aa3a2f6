"""Machines of a simulated replica group: disks, batches being written, and the links between machines."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from cometdoor.control.durable_state import DurableState, Record
from cometdoor.control.replica import Replica
from cometdoor.control.state_machine import StateMachine
from cometdoor.control.write_ahead_log import encode_batch, replay_batches, scan_batches
from simulation.invariants import InvariantError

DISK_SYNC_S = 0.002


@dataclass
class Disk:
    """A disk that contains synced batches only, in the format of the write-ahead log."""

    data: bytes = b""
    batch_count: int = 0
    initial_size_bytes: int = 0  # of the batch that the file begins with
    wipe_count: int = 0

    def reopen(self) -> Disk:
        """Return the disk with a new file for the next process; each file is written by one process only."""
        return Disk(wipe_count=self.wipe_count)

    def rotate(self, writes: list[Record]) -> None:
        """Replace the file by a new one, as `WriteAheadLog.rotate` does."""
        self.data, self.batch_count = b"", 0
        self.append(writes)
        self.initial_size_bytes = len(self.data)

    def append(self, writes: list[Record]) -> None:
        self.batch_count += 1
        value = encode_batch(self.batch_count, self.batch_count - 1, writes)
        self.data += value + b"\0" * (-len(value) % 512)

    def read_durable_state(self) -> DurableState:
        recovered = replay_batches(list(scan_batches(self.data)))
        if recovered.is_corrupt:
            raise InvariantError("recovery reports an intact disk as corrupt")
        return recovered.durable_state


@dataclass
class Batch:
    """Records that are being written to a disk."""

    due_at: float
    records: list[Record]
    count: int  # number of the replica's pending records that this write makes durable
    is_rotation: bool = False  # whether it is written to a new file


@dataclass
class NetworkLinks:
    """Links between machines, one for each direction; messages queue in the order of sending."""

    bytes_per_s: float
    delay_s: float
    # By (from, to).
    carried_bytes: dict[tuple[int, int], int] = field(default_factory=lambda: defaultdict(int))
    max_queueing_s: float = 0.0  # longest time that a message waited for earlier ones
    _free_at: dict[tuple[int, int], float] = field(default_factory=lambda: defaultdict(float))

    def schedule_arrival(self, sender: int, receiver: int, size: int, now: float) -> float:
        starts_at = max(now, self._free_at[sender, receiver])
        self._free_at[sender, receiver] = starts_at + size / self.bytes_per_s
        self.max_queueing_s = max(self.max_queueing_s, starts_at - now)
        self.carried_bytes[sender, receiver] += size
        return self._free_at[sender, receiver] + self.delay_s


@dataclass
class Machine:
    """A machine of the group, with its replica while it is up."""

    address: str
    zone: str = ""
    disk: Disk = field(default_factory=Disk)
    replica: Replica | None = None
    state: StateMachine = field(default_factory=lambda: StateMachine(60.0))
    batch_in_flight: Batch | None = None
    sync_s: float = DISK_SYNC_S
    next_join_at: float = 0.0
    incarnation: int = 0

    @property
    def is_up(self) -> bool:
        return self.replica is not None
