"""Linearizability of what clients of a replica group observe, and tests of the checker."""

from ward import each, raises, test

from simulation.invariants import InvariantError
from simulation.linearizability import (
    Operation,
    is_linearizable,
    run_long_partition_schedule,
    run_observed_schedule,
)


def make_read(started_at: float, ended_at: float, response: int) -> Operation:
    return Operation(started_at, ended_at=ended_at, response=response)


def make_replacement(
    started_at: float, ended_at: float, base: int, revision: int, is_accepted: int
) -> Operation:
    return Operation(started_at, base, revision, ended_at, is_accepted)


LINEARIZABLE = {
    "one after the other": [
        make_replacement(0, 1, 0, 5, 1),
        make_read(2, 3, 5),
        make_replacement(4, 5, 0, 7, 0),
        make_replacement(6, 7, 5, 9, 1),
    ],
    "a concurrent read": [make_replacement(0, 5, 0, 5, 1), make_read(1, 2, 0), make_read(3, 4, 5)],
    "two concurrent replacements": [
        make_replacement(0, 5, 0, 5, 0),
        make_replacement(1, 4, 0, 6, 1),
        make_read(6, 7, 6),
    ],
    "one of unknown outcome is in force later": [Operation(0, 0, 5), make_read(2, 3, 0), make_read(4, 5, 5)],
    "sent again after a later one": [
        make_replacement(0, 1, 0, 5, 1),
        make_replacement(2, 3, 5, 6, 1),
        make_replacement(4, 5, 0, 5, 1),
        make_read(6, 7, 6),
    ],
    "another under the same revision": [
        make_replacement(0, 1, 0, 5, 1),
        Operation(2, 0, 5, 3, 0, tag=1),
        make_read(4, 5, 5),
    ],
}
NOT_LINEARIZABLE = {
    "an older one is read": [make_replacement(0, 1, 0, 5, 1), make_read(2, 3, 5), make_read(4, 5, 0)],
    "two on one base": [make_replacement(0, 5, 0, 5, 1), make_replacement(1, 4, 0, 6, 1)],
    "accepted and never read": [make_replacement(0, 1, 0, 5, 1), make_read(2, 3, 0)],
    "rejected, and read": [make_replacement(0, 1, 0, 5, 0), make_read(2, 3, 5)],
    "sent again and rejected": [
        make_replacement(0, 1, 0, 5, 1),
        make_replacement(2, 3, 5, 6, 1),
        make_replacement(4, 5, 0, 5, 0),
    ],
    "both under one revision": [make_replacement(0, 1, 0, 5, 1), Operation(2, 0, 5, 3, 1, tag=1)],
    "one is accepted, the other is read": [
        make_replacement(0, 1, 0, 5, 1),
        Operation(2, ended_at=3, response=5, tag=1),
    ],
}


@test("a linearizable history is recognised: {name}")
def _(name: str = each(*LINEARIZABLE)) -> None:
    assert is_linearizable(LINEARIZABLE[name])


@test("a history that is not linearizable is detected: {name}")
def _(name: str = each(*NOT_LINEARIZABLE)) -> None:
    assert not is_linearizable(NOT_LINEARIZABLE[name])


@test("under message and replica loss configurations are one linearizable register")
def _(seed: int = each(*range(6))) -> None:
    group = run_observed_schedule(seed, 3 if seed % 2 else 5)
    assert sum(operation.response is not None for operation in group.history) >= 100


@test("members that answer reads from their own state are detected")
def _(seed: int = each(*range(3))) -> None:
    with raises(InvariantError):
        run_observed_schedule(seed, confirms_reads=False)


@test("under long partitions, pauses and lost answers configurations are one linearizable register")
def _(seed: int = each(0, 1, 2)) -> None:
    group = run_long_partition_schedule(seed, 3 if seed % 2 else 5, partitions=2)
    assert (
        group.resend_count >= 50 and sum(operation.response is not None for operation in group.history) >= 30
    )
    assert group.snapshots_installed
