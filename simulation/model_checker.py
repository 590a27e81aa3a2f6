"""Bounded model checker of the consensus: all histories of a small replica group to a depth, without time.

The replicas run the production modules. A step (`simulation.model_steps`) is one event of the whole group: a
replica campaigns and reaches some of the others, a leader proposes a change, replicates to some of the
others, transfers leadership or makes the membership changes that are due (a node that it reaches and that is
not a member asks to join; one that it does not reach counts as unresponsive), a member crashes, restarts,
loses its disk or asks to leave. In each step the disk of any one member may hang: messages that depend on its
writes are not sent, and a crash loses the writes. Messages to nodes that are not reached are lost. Up to
`fault_tolerance` disks are lost at once; a disk counts as lost until no configuration contains it and the
committed configuration has all its voters again. After each step these must hold
(`simulation.model_invariants`):

- a term has at most one leader (election safety);
- a leader only appends to its log (leader append-only);
- two logs with an entry of the same index and term are identical up to it (log matching);
- an entry that is committed anywhere is in the log of every later leader (leader completeness), so nothing
  that was acknowledged is ever lost;
- no two members apply different entries at one index (state machine safety);
- whichever further disks are lost, up to `fault_tolerance` together with those already lost, a replica can be
  elected by the remaining disks, and any that can be elected has all committed entries;
- entries are committed and leaders elected by a majority of the voters alone (learners do not count);
- successive configurations differ in at most one voter, so their majorities intersect, and a log contains no
  second one before the first is committed (one change at a time).

`explore` visits all states to a depth, each once. `random_walk` takes random steps from a seed to depths that
no exhaustive search reaches: detecting planted defects (simulation/planted_defects.py) takes seven steps and
more.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from functools import partial
from multiprocessing import Pool

import msgspec

from simulation.model_keys import symmetric_key
from simulation.model_state import World
from simulation.model_steps import FaultLimits


def explore(
    members: int,
    depth: int,
    limits: FaultLimits | None = None,
    first_step: int | None = None,
    max_states: int = 1 << 60,
    key_of: Callable[[World], bytes] = World.key,
    start: World | None = None,
) -> int:
    """Visit all states to a depth, each once, and return how many there are. Raises InvariantError.

    `first_step`: index of the only first step to take; by default all are taken. `start`: the initial state;
    by default an established group without a leader.
    """
    start = start or World.established(members, limits)
    level = [start] if first_step is None else [start.apply(list(start.possible_steps())[first_step])]
    seen = {key_of(world) for world in level}
    for _ in range(depth - (first_step is not None)):
        next_level = []
        for world in level:
            for step in world.possible_steps():
                if len(seen) >= max_states:
                    return len(seen)
                child = world.apply(step)
                key = key_of(child)
                if key not in seen:
                    seen.add(key)
                    next_level.append(child)
        level = next_level
    return len(seen)


def distinct_first_steps(members: int) -> list[int]:
    """Return indexes of first steps: one of each set that differs only by a permutation of the nodes."""
    start = World.established(members)
    steps_by_key: dict[bytes, int] = {}
    for node_index, step in enumerate(start.possible_steps()):
        steps_by_key.setdefault(symmetric_key(start.apply(step)), node_index)
    return list(steps_by_key.values())


def random_walk(
    members: int, seed: int, steps: int, limits: FaultLimits | None = None, spares: int = 0
) -> int:
    """Take random steps from a seed and return how many there were. Raises InvariantError."""
    rng = random.Random(seed)
    world = World.established(members, limits or FaultLimits(changes=3, crashes=3), spares)
    for steps_done in range(steps):
        possible_steps = list(world.possible_steps(is_fine_grained=True))
        if not possible_steps:
            return steps_done
        # The kind is chosen first, since there are many more elections than crashes among the possible steps.
        kind = rng.choice(sorted({step.action for step in possible_steps}))
        world = world.apply(rng.choice([step for step in possible_steps if step.action == kind]))
    return steps


def explore_in_parallel(
    members: int, depth: int, limits: FaultLimits | None = None, processes: int = 8
) -> int:
    """Run `explore` in several processes. A state that several first steps lead to is counted for each."""
    first_step_count = len(list(World.established(members, limits).possible_steps()))
    with Pool(processes) as pool:
        return sum(pool.map(partial(explore, members, depth, limits), range(first_step_count), chunksize=1))


def main(depth: int) -> int:
    """Print how many states a group of three members has within a depth."""
    print(
        msgspec.json.encode({"members": 3, "depth": depth, "states": explore_in_parallel(3, depth)}).decode()
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else 4))
