"""Replica group: does it retain what it acknowledged, and how soon does it have a new leader?

It explores every state of three members to a depth, takes long random walks and looks for planted defects
(`simulation/model_checker.py`, `simulation/planted_defects.py`). It runs thousands of schedules with losses
(`simulation/group_schedules.py`), checks histories of clients for linearizability
(`simulation/linearizability.py`), and loses power at every block of a replica's file. Times are virtual. A
state that is reached by two first steps counts twice, since each process explores from its own first step.
With five members, states that differ only by a permutation of the members count as one.

    python -m benchmarks.replicas [--quick] [--schedules COUNT] [--depth STEPS]
"""

from __future__ import annotations

import argparse
import os
from collections.abc import Sequence
from dataclasses import dataclass, replace
from multiprocessing import get_context
from multiprocessing.pool import Pool
from pathlib import Path
from tempfile import TemporaryDirectory

from benchmarks.report import print_progress, report
from cometdoor.control.durable_state import HardState, Identity, LogEntries
from cometdoor.control.write_ahead_log import BLOCK_BYTES, WriteAheadLog, recover_log
from cometdoor.wire.log_entries import Claim, LogEntry
from simulation.group_schedules import run_schedule
from simulation.invariants import InvariantError
from simulation.linearizability import run_observed_schedule
from simulation.model_checker import distinct_first_steps, explore, random_walk
from simulation.model_keys import symmetric_key
from simulation.model_state import World
from simulation.model_steps import FaultLimits
from simulation.planted_defects import DEFECTS, find_violation
from simulation.replica_group import ReplicaGroup

MEMBERS = 3
LOAD_PER_S = 154  # claims, the rate of the operators' busier site
LOAD_DURATION_S = 4.0


CountAndViolation = tuple[int, str]  # count, and the violation; empty: none


def states(job: tuple[int, int]) -> CountAndViolation:
    first_step, depth = job
    try:
        return explore(MEMBERS, depth, first_step=first_step), ""
    except InvariantError as broken:
        return 0, str(broken)


def states_of_five(job: tuple[int, int]) -> CountAndViolation:
    """Explore five members, with states that differ only by a permutation counted as one."""
    first_step, depth = job
    try:
        return explore(5, depth, first_step=first_step, key_of=symmetric_key), ""
    except InvariantError as broken:
        return 0, f"of five: {broken}"


def steps(seed: int) -> CountAndViolation:
    try:
        return random_walk(3 if seed % 2 else 5, seed, 24, FaultLimits(3, 4, 1)), ""
    except InvariantError as broken:
        return 0, f"walk {seed}: {broken}"


def acknowledged(seed: int) -> CountAndViolation:
    try:
        return len(run_schedule(seed, 3 if seed % 2 else 5, 6.0).acknowledged), ""
    except InvariantError as broken:
        return 0, str(broken)


def linearizable(seed: int) -> CountAndViolation:
    try:
        return len(run_observed_schedule(seed, 3 if seed % 2 else 5).history), ""
    except InvariantError as broken:
        return 0, str(broken)


def print_violations(results: Sequence[CountAndViolation]) -> tuple[int, list[str]]:
    """Return the sum and all violations; print the first ones."""
    broken = [text for _, text in results if text]
    for text in broken[:5]:
        print_progress(f"BROKEN: {text}")
    return sum(count for count, _ in results), broken


def election_s(seed: int) -> float:
    """Return the time from the loss of a leader until another one accepts changes, in seconds."""
    group = ReplicaGroup(seed, MEMBERS)
    group.run_until_leader()
    group.run(1.0 + group.rng.random())
    leader = group.leader()
    assert leader is not None
    group.kill(leader)
    return group.run_until_leader()


def commits_and_syncs(seed: int) -> tuple[int, int]:
    """Return commits and syncs of the leader's disk under load."""
    group = ReplicaGroup(seed, MEMBERS)
    group.run_until_leader()
    group.run(1.0)
    leader = group.leader()
    assert leader is not None
    for machine in group.machines:
        machine.sync_s = 0.03  # a slow disk, so that writes are batched
    before, ordered, started_at = group.machines[leader].disk.batch_count, len(group.acknowledged), group.now
    proposed = 0
    while group.now < started_at + LOAD_DURATION_S:
        while proposed < (group.now - started_at) * LOAD_PER_S:
            proposed += 1
            group.propose(Claim(f"k{proposed}", f"c{proposed}", "h"))
        group.run(0.005)
    return len(group.acknowledged) - ordered, group.machines[leader].disk.batch_count - before


def power_cuts() -> tuple[int, int]:
    """Truncate a member's file at each block, and also inside every third one.

    Return the number of attempts, and of those in which everything that was synced is recovered.
    """
    with TemporaryDirectory() as name:
        folder = Path(name)
        log_file = WriteAheadLog(folder)
        log_file.open()
        log_file.rotate([Identity("me"), HardState(1, "me")])
        sizes = [log_file.size_bytes]
        for index in range(1, 121):
            log_file.append(
                [LogEntries([LogEntry(index, 1, Claim(f"k{index}", "c" * (40 * (index % 40)), "h"))])]
            )
            sizes.append(log_file.size_bytes)
        log_file.close()
        path = next(folder.glob("*.dat"))
        content = path.read_bytes()
        tried = recovered = 0
        for offset in range(0, len(content) + 1, BLOCK_BYTES):
            for cut in {offset, max(offset - 200, 0)} if offset % (3 * BLOCK_BYTES) == 0 else {offset}:
                tried += 1
                path.write_bytes(content[:cut])
                recovered_log, _ = recover_log(folder)
                # A value may be complete before its last block is: synced values are the minimum.
                synced = sum(size <= cut for size in sizes)
                recovered += (
                    not recovered_log.is_corrupt
                    and recovered_log.last_number >= synced
                    and (
                        [entry.index for entry in recovered_log.durable_state.entries]
                        == list(range(1, max(recovered_log.last_number, 1)))
                    )
                )
        return tried, recovered


def flipped_bits() -> tuple[int, int]:
    """Flip a bit in each value of a replica's file, in header and body; return attempts and detections.

    A flipped bit must be distinguished from what a power loss leaves; in the last value it must count as
    torn.
    """
    with TemporaryDirectory() as name:
        folder = Path(name)
        log_file = WriteAheadLog(folder)
        log_file.open()
        log_file.rotate([Identity("me"), HardState(1, "me")])
        offsets = [0]
        for index in range(1, 121):
            offsets.append(log_file.size_bytes)
            log_file.append(
                [LogEntries([LogEntry(index, 1, Claim(f"k{index}", "c" * (40 * (index % 40)), "h"))])]
            )
        log_file.close()
        path = next(folder.glob("*.dat"))
        content = path.read_bytes()
        tried = detected = 0
        for number, offset in enumerate(offsets, 1):
            for byte in (1, 6, 14, 24, 40):
                tried += 1
                data = bytearray(content)
                data[offset + byte] ^= 1 << (byte % 8)
                path.write_bytes(bytes(data))
                recovered_log, _ = recover_log(folder)
                # No later value shows that the last one was synced: it counts as torn.
                detected += (
                    recovered_log.is_corrupt
                    if number < len(offsets)
                    else recovered_log.last_number == number - 1
                )
        return tried, detected


@dataclass(frozen=True, slots=True)
class Extent:
    """Number of runs of each kind, and their size."""

    depth: int  # of the search with three members
    five_depth: int  # the same with five
    schedules: int
    walks: int
    elections: int
    histories: int


QUICK = Extent(depth=4, five_depth=2, schedules=2_000, walks=1_000, elections=400, histories=60)
FULL = Extent(depth=4, five_depth=3, schedules=20_000, walks=40_000, elections=4_000, histories=4_000)


class RunningJobs:
    """The benchmark's jobs, started in a pool of processes."""

    def __init__(self, pool: Pool, extent: Extent) -> None:
        self._extent = extent
        first_steps_of_three = [
            (first_step, extent.depth)
            for first_step in range(len(list(World.established(MEMBERS).possible_steps())))
        ]
        first_steps_of_five = [(first_step, extent.five_depth) for first_step in distinct_first_steps(5)]
        self._explored = pool.map_async(states, first_steps_of_three, chunksize=1)
        self._of_five = pool.map_async(states_of_five, first_steps_of_five, chunksize=1)
        self._planted = pool.map_async(find_violation, list(DEFECTS), chunksize=1)
        self._walked = pool.map_async(steps, range(extent.walks), chunksize=20)
        self._acknowledged = pool.map_async(acknowledged, range(extent.schedules), chunksize=10)
        self._histories = pool.map_async(linearizable, range(extent.histories), chunksize=5)
        self._elections = pool.map_async(election_s, range(extent.elections), chunksize=10)
        self._loaded = pool.map_async(commits_and_syncs, range(8), chunksize=1)
        self._power_cuts = pool.apply_async(power_cuts)
        self._flipped_bits = pool.apply_async(flipped_bits)

    def figures(self) -> dict[str, float | int | str]:
        extent = self._extent
        detections = self._planted.get()
        for name, detection in zip(DEFECTS, detections, strict=True):
            print_progress(f"{name}: {detection[:100] or 'NOT FOUND'}")
        explored, state_violations = print_violations(self._explored.get())
        of_five, violations_of_five = print_violations(self._of_five.get())
        walked, walk_violations = print_violations(self._walked.get())
        acknowledged_count, schedule_violations = print_violations(self._acknowledged.get())
        calls, history_violations = print_violations(self._histories.get())
        broken = [
            *state_violations,
            *violations_of_five,
            *walk_violations,
            *schedule_violations,
            *history_violations,
        ]
        commits, syncs = (sum(column) for column in zip(*self._loaded.get(), strict=True))
        times = sorted(self._elections.get())
        tried, recovered = self._power_cuts.get()
        flipped, detected_flips = self._flipped_bits.get()
        return {
            "states_explored": explored,
            "depth": extent.depth,
            "states_of_five": of_five,
            "depth_of_five": extent.five_depth,
            "steps_walked": walked,
            "mutations_planted": len(DEFECTS),
            "mutations_found": sum(map(bool, detections)),
            "schedules": extent.schedules,
            "acknowledged": acknowledged_count,
            "histories": extent.histories,
            "calls": calls,
            "not_linearizable": len(history_violations),
            "broken": len(broken),
            "acknowledged_lost": sum("lost" in text or "lacks" in text for text in broken),
            "two_leaders_in_a_term": sum("two leaders" in text for text in broken),
            "power_cuts_tried": tried,
            "power_cuts_recovered": recovered,
            "bits_flipped": flipped,
            "bits_told": detected_flips,
            "commits_per_sync": commits / syncs,
            "election_s_p50": times[len(times) // 2],
            "election_s_p99": times[int(len(times) * 0.99)],
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--schedules", type=int)
    parser.add_argument("--depth", type=int)
    chosen = parser.parse_args()
    extent = QUICK if chosen.quick else FULL
    extent = replace(
        extent, schedules=chosen.schedules or extent.schedules, depth=chosen.depth or extent.depth
    )
    with get_context("fork").Pool(os.cpu_count()) as pool:
        report(RunningJobs(pool, extent).figures())


if __name__ == "__main__":
    main()
