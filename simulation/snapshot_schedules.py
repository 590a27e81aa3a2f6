"""Schedules of a replica group with frequent snapshots in chunks of a few bytes, under faults of every kind.

python -m simulation.snapshot_schedules [SCHEDULES]
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from unittest import mock

import msgspec

from cometdoor.control import chunked_transfer, snapshots
from simulation.group_schedules import run_schedule
from simulation.replica_group import ReplicaGroup

COMPACT_AFTER_ENTRIES = 12
CHUNK_BYTES = 160
RETAINED_MAX_BYTES = 900
BODY_BYTES = 700


@contextmanager
def small_chunks() -> Iterator[None]:
    """Patch limits: a snapshot takes many chunks, and a follower ten entries behind needs a snapshot."""
    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(chunked_transfer, "CHUNK_BYTES", CHUNK_BYTES))
        stack.enter_context(mock.patch.object(snapshots, "RETAINED_MAX_BYTES", RETAINED_MAX_BYTES))
        stack.enter_context(
            mock.patch.object(snapshots, "RETAINED_DURING_SNAPSHOT_MAX_BYTES", 2 * RETAINED_MAX_BYTES)
        )
        yield


def make_group_with_snapshots(seed: int, machines: int) -> ReplicaGroup:
    group = ReplicaGroup(seed, machines, COMPACT_AFTER_ENTRIES)
    group.body_bytes = BODY_BYTES
    return group


def run_snapshot_schedule(seed: int, seconds: float = 8.0) -> ReplicaGroup:
    """Run one schedule. Raises InvariantError."""
    machines = 3 if seed % 2 else 5
    with small_chunks():
        return run_schedule(seed, machines, seconds, make_group_with_snapshots(seed, machines))


def main(schedules: int) -> int:
    groups = [run_snapshot_schedule(seed) for seed in range(schedules)]
    figures = {
        "schedules": schedules,
        "acknowledged": sum(len(group.acknowledged) for group in groups),
        "acknowledged_lost": 0,
        "installed": sum(group.snapshots_installed for group in groups),
    }
    print(msgspec.json.encode(figures).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else 100))
