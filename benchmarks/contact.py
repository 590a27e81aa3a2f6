"""Isolated replicas and resent changes: are responses correct, and is an accepted change ever rejected?

It isolates replicas for twenty seconds in whole simulated meshes (`simulation/isolated_replica.py`), and
explores client sessions in all histories to a depth and in long random walks
(`simulation/client_sessions.py`). It runs clients that lose most of their responses during long partitions
(`simulation/linearizability.py`), and checks that planted defects are found
(`simulation/planted_session_defects.py`). It measures the time from the loss of a leader until the next
change is acknowledged. Times are virtual. A state that is reached by two first steps counts twice.

    python -m benchmarks.contact [--quick] [--depth STEPS]
"""

from __future__ import annotations

import argparse
import logging
import os
import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from multiprocessing import get_context
from multiprocessing.pool import AsyncResult, Pool

import structlog

from benchmarks.report import print_progress, report
from simulation.invariants import InvariantError
from simulation.isolated_replica import PARTITION_KINDS, PartitionReport, make_body, run_partition
from simulation.linearizability import run_long_partition_schedule
from simulation.mesh import simulated_mesh
from simulation.operators import FleetOperator, Order
from simulation.planted_session_defects import DEFECTS, find_violation
from simulation.session_explorer import ExplorationResult, exploration_jobs, explore_sessions, walk_sessions

WALK_STEPS = 30
LOSS_SHARES = (0.7, 0.8, 0.9)  # shares of the responses to changes that are lost
PARTITIONS = 3  # partitions in one history


@dataclass(frozen=True, slots=True)
class Extent:
    """Number of runs of each kind, and their size."""

    partitions: int  # of each kind
    depth: int  # of the search through client sessions, with three replicas
    five_depth: int  # the same with five replicas
    walks: int
    histories: int
    kills: int


QUICK = Extent(partitions=2, depth=3, five_depth=1, walks=200, histories=12, kills=40)
FULL = Extent(partitions=40, depth=4, five_depth=2, walks=20_000, histories=400, kills=1_000)


@dataclass(frozen=True, slots=True)
class Resends:
    """Calls and resends of one history, and the violation if there is one."""

    calls: int
    resent: int
    broken: str = ""


def partition(job: tuple[int, str, bool]) -> PartitionReport:
    seed, kind, is_leader = job
    _silence_logs()
    return run_partition(seed, kind, is_leader, 3 if seed % 2 else 5)


def session_states(job: tuple[str, int, int, int]) -> ExplorationResult:
    return explore_sessions(*job)


def walk(seed: int) -> ExplorationResult:
    return walk_sessions(seed, WALK_STEPS, 3 if seed % 3 else 5)


def history(seed: int) -> Resends:
    try:
        core = run_long_partition_schedule(
            seed, 3 if seed % 2 else 5, PARTITIONS, LOSS_SHARES[seed % len(LOSS_SHARES)]
        )
    except InvariantError as broken:
        return Resends(0, 0, str(broken))
    return Resends(len(core.history), core.resend_count)


def planted(name: str) -> str:
    _silence_logs()
    return find_violation(name)


def next_acknowledgement_s(job: tuple[int, bool]) -> float:
    """Return the time from the loss of a leader until the next change is acknowledged, in seconds.

    The leader of three is killed, or its machine loses power; an operator submits the change within 0.3 s.
    """
    seed, is_silent = job
    _silence_logs()
    rng = random.Random(seed)
    with simulated_mesh(seed=seed, planes=1) as mesh:
        mesh.run(mesh.start_configured())
        mesh.wait(1.0 + rng.random())
        leader, killed_at = mesh.leader(), mesh.loop.time()
        mesh.kill(leader, is_silent)
        if is_silent:
            mesh.loop.unpowered.add(leader)
        mesh.wait(rng.uniform(0.0, 0.3))
        operator = FleetOperator(lambda: mesh.core, rng)
        call = mesh.run(operator.replace(Order(1, 2, make_body(2, "next"))))
        assert call.status == 200, call
        return call.ended_at - killed_at


def _silence_logs() -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


class RunningJobs:
    """The benchmark's jobs, started in a pool of processes."""

    def __init__(self, pool: Pool, extent: Extent) -> None:
        partitions = [
            (seed, kind, is_leader)
            for seed in range(extent.partitions)
            for kind in PARTITION_KINDS
            for is_leader in (True, False)
        ]
        self._extent = extent
        self._partitions = pool.map_async(partition, partitions, chunksize=1)
        self._sessions = pool.map_async(session_states, exploration_jobs(extent.depth), chunksize=1)
        self._sessions_of_five = pool.map_async(
            session_states, exploration_jobs(extent.five_depth, 5), chunksize=1
        )
        self._walks = pool.map_async(walk, range(extent.walks), chunksize=10)
        self._histories = pool.map_async(history, range(extent.histories), chunksize=1)
        self._planted = pool.map_async(planted, DEFECTS, chunksize=1)
        self._after_kill = self._kills(pool, extent.kills, is_silent=False)
        self._after_power_loss = self._kills(pool, extent.kills, is_silent=True)

    def _kills(self, pool: Pool, count: int, is_silent: bool) -> AsyncResult[list[float]]:
        return pool.map_async(
            next_acknowledgement_s, [(seed, is_silent) for seed in range(count)], chunksize=4
        )

    def figures(self) -> dict[str, float | int | str]:
        partitions, explored, walked = self._partitions.get(), self._sessions.get(), self._walks.get()
        of_five = self._sessions_of_five.get()
        histories, detections = self._histories.get(), self._planted.get()
        violations = [text for result in partitions for text in result.violations]
        broken = [result.violation for result in [*explored, *of_five, *walked] if result.violation]
        broken += [result.broken for result in histories if result.broken]
        for text in (*violations, *broken):
            print_progress(f"BROKEN: {text}")
        for name, detection in zip(DEFECTS, detections, strict=True):
            print_progress(f"{name}: {detection[:100] or 'NOT FOUND'}")
        return {
            "replica_cuts": len(partitions),
            "replica_cut_answers": sum(result.answer_count for result in partitions),
            "replica_cut_wrong_answers": len(violations),
            "session_states": sum(result.states for result in explored),
            "session_depth": self._extent.depth,
            "session_states_of_five": sum(result.states for result in of_five),
            "session_depth_of_five": self._extent.five_depth,
            "session_steps_walked": sum(result.states for result in walked),
            "session_answers": sum(result.response_count for result in (*explored, *of_five, *walked)),
            "session_histories": len(histories),
            "session_calls": sum(result.calls for result in histories),
            "resent": sum(result.resent for result in histories),
            "resent_refused": sum("rejected" in text for text in (*broken, *violations)),
            "sessions_broken": len(broken),
            "contact_planted": len(DEFECTS),
            "contact_planted_found": sum(map(bool, detections)),
            **_spread("next_ack_after_kill_s", self._after_kill.get()),
            **_spread("next_ack_after_power_loss_s", self._after_power_loss.get()),
        }


def _spread(name: str, times: Sequence[float]) -> dict[str, float | int | str]:
    ordered = sorted(times)
    return {
        f"{name}_p50": ordered[len(ordered) // 2],
        f"{name}_p90": ordered[int(len(ordered) * 0.9)],
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--depth", type=int)
    parser.add_argument("--processes", type=int, default=os.cpu_count())
    chosen = parser.parse_args()
    extent = QUICK if chosen.quick else FULL
    if chosen.depth:
        extent = replace(extent, depth=chosen.depth)
    with get_context("fork").Pool(chosen.processes) as pool:
        report(RunningJobs(pool, extent).figures())


if __name__ == "__main__":
    main()
