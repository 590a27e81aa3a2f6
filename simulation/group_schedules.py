"""Random schedules of faults against a simulated replica group: crashes, wipes, partitions and slow disks.

python -m simulation.group_schedules [SCHEDULES]
"""

from __future__ import annotations

import sys

import msgspec

from cometdoor.wire.log_entries import Claim
from simulation.replica_group import FAULTS, ReplicaGroup


def run_schedule(
    seed: int, machines: int = 5, seconds: float = 12.0, group: ReplicaGroup | None = None
) -> ReplicaGroup:
    """Inject random faults into one machine at a time, sometimes into all, under a load of changes.

    `group`: the group to use instead of a new `ReplicaGroup`. Raises InvariantError.
    """
    group = group or ReplicaGroup(seed, machines)
    group.run_until_leader()
    rng = group.rng
    key = 0
    victim: int | None = None
    fault_ends_at = 0.0
    while group.now < seconds:
        if victim is None and rng.random() < 0.5:
            victim = group.pick_victim()
            fault_ends_at = group.now + rng.uniform(0.2, 2.0)
            group.inject_fault(rng.choice(FAULTS), victim)
        for _ in range(rng.randrange(4)):
            key += 1
            group.propose(Claim(f"k{key}", f"c{key}", "10.1.0.1:1"))
        if rng.random() < 0.3:
            group.configure()
        group.run(rng.uniform(0.05, 0.3))
        if victim is not None and group.now >= fault_ends_at:
            group.restore()
            victim = None
            # After its return a machine counts as lost for the time of the setting `catch-up-s`.
            group.run(4.0 if rng.random() < 0.5 else 2.5)
    group.restore()
    group.run_until_leader()
    group.run(0.5)
    group.run_until_leader()
    group.check_nothing_lost()
    return group


def main(schedules: int) -> int:
    """Run schedules and print how many changes were acknowledged."""
    acknowledged = 0
    for seed in range(schedules):
        acknowledged += len(run_schedule(seed, 3 if seed % 2 else 5).acknowledged)
    print(
        msgspec.json.encode(
            {
                "schedules": schedules,
                "acknowledged": acknowledged,
                "acknowledged_lost": 0,
                "two_leaders_in_a_term": 0,
            }
        ).decode()
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else 100))
