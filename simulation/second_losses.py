"""Second losses after each kind of repair, in virtual time: nothing may be lost, and service must resume.

As many members as `fault_tolerance` allows are lost at once, each on one of LOSS_PATHS. Each of them returns
or is replaced. `CATCH_UP_S` later they no longer count as lost, and as many other members are lost at once,
in some scenarios together with a power failure of all. With a fault tolerance of two, the second member may
also be lost while the first one is being repaired. Changes and claims are submitted all the time. During the
repair it is checked, every CHECK_INTERVAL_S, whether the group tolerates `fault_tolerance` further losses.

    python -m simulation.second_losses [SCENARIOS]
"""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import combinations

import msgspec

from cometdoor.control.log import Log
from cometdoor.control.replica import Replica
from cometdoor.wire.consensus import LeaveRequest
from cometdoor.wire.log_entries import Claim
from simulation.group_machine import Machine
from simulation.invariants import InvariantError
from simulation.membership_history import MembershipRecordedGroup
from simulation.model_invariants import granting_voters, has_entry
from simulation.replica_group import JOIN_RETRY_INTERVAL_S

CATCH_UP_S = 4.0
# Limit from the second losses, or the return of power, until a claim is acknowledged again.
SERVICE_RESUMES_MAX_S = 3.0
SHUTDOWN_S = 1.2  # from SIGTERM to the end of the process
CHECK_INTERVAL_S = 0.02
# How a member is lost and what replaces it. "spare": it never returns and is not replaced.
LOSS_PATHS = ("killed", "cut off", "wiped", "replaced", "replaced in order", "spare")
SECOND_LOSSES = ("kill", "wipe", "cut", "wipe and power")
SIZES = ((3, 1), (6, 2), (7, 2))  # machines and fault tolerance


@dataclass(frozen=True)
class Scenario:
    """Which members are lost, how and when."""

    seed: int
    machines: int
    fault_tolerance: int
    paths: tuple[str, ...]  # of the members that are lost first, one or two of LOSS_PATHS
    between_losses_s: float  # time between the losses of `paths`
    after_catch_up_s: float  # delay of the second losses beyond `CATCH_UP_S`
    second_loss: str  # one of SECOND_LOSSES


@dataclass(frozen=True)
class ScenarioOutcome:
    """Whether the group survived, and for how long it tolerated fewer losses than configured."""

    scenario: Scenario
    violation: str  # empty: survived
    reduced_tolerance_s: float = 0.0  # time after the return in which the tolerance was reduced


def make_scenario(number: int) -> Scenario:
    """Return the scenario of a number; all sizes, paths and second losses appear in turn."""
    machines, fault_tolerance = SIZES[number % len(SIZES)]
    paths_in_turn = LOSS_PATHS if machines > 2 * fault_tolerance + 1 else LOSS_PATHS[:-1]
    round_index = number // len(SIZES)
    first = paths_in_turn[round_index % len(paths_in_turn)]
    round_index //= len(paths_in_turn)
    paths = (first, *([paths_in_turn[round_index % len(paths_in_turn)]] if fault_tolerance > 1 else []))
    if paths.count("spare") > machines - 2 * fault_tolerance - 1:
        paths = ("spare", "replaced")  # a member without replacement keeps counting as lost
    # With a fault tolerance of two, the second member is lost at varying moments of the first one's repair.
    between_losses_s = 0.0 if round_index % 3 == 0 else 0.13 * (round_index % 29)
    return Scenario(
        number,
        machines,
        fault_tolerance,
        paths,
        between_losses_s,
        0.01 * (round_index % 37),
        SECOND_LOSSES[round_index % 4],
    )


class RepairGroup(MembershipRecordedGroup):
    """A group that repairs its membership under traffic."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(
            scenario.seed,
            scenario.machines,
            fault_tolerance=scenario.fault_tolerance,
            compact_after_entries=60 * (scenario.seed % 2),
        )
        self.unavailable: set[int] = set()  # machines that are removed, down or isolated
        self.removed: set[int] = set()  # machines that never return
        self.reduced_tolerance_until = 0.0  # when the tolerance was last reduced
        self._keys = 0

    def run_with_traffic(self, seconds: float) -> None:
        """Run with changes and claims, and record when the tolerance is reduced."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self._keys += 1
            self.propose(Claim(f"k{self._keys}", f"c{self._keys}", "h"))
            if self.rng.random() < 0.1:
                self.configure()
            self.run(min(CHECK_INTERVAL_S, end - self.now))
            if not self.tolerates_losses(self.fault_tolerance):
                self.reduced_tolerance_until = self.now

    def tolerates_losses(self, count: int) -> bool:
        """Return whether the group tolerates the loss of any `count` of the available machines.

        It does if the remaining machines can elect a leader, and only one that has all that is committed.
        """
        logs = {
            machine.replica.me.id: durable_log(machine.replica)
            for machine_index, machine in enumerate(self.machines)
            if machine.replica is not None and machine_index not in self.unavailable
        }
        voters_granting = {id: granting_voters(id, logs) for id in logs}
        majorities = {id: sum(member.voter for member in log.members) // 2 + 1 for id, log in logs.items()}
        last = max(self._committed, default=0)
        electable_ids: set[str] = set()
        for lost in combinations(logs, count):
            electable = {
                id
                for id, voters in voters_granting.items()
                if id not in lost and len(voters - frozenset(lost)) >= majorities[id]
            }
            if not electable:
                return False
            electable_ids |= electable
        return all(
            has_entry(logs[id], last, self._committed[last][0] if last else None) for id in electable_ids
        )

    # --- losses and returns ---

    def start_loss(self, path: str, machine_index: int) -> None:
        match path:
            case "cut off":
                self.unavailable.add(machine_index)
                self.isolate(machine_index)
            case "wiped":
                self.unavailable.add(machine_index)
                self.wipe(machine_index)
            case "replaced in order":
                self.add_machine()
                self.leave(machine_index)
                self.removed.add(machine_index)
            case _:
                self.unavailable.add(machine_index)
                self.kill(machine_index)
                if path != "killed":
                    self.removed.add(machine_index)

    def end_loss(self, path: str, machine_index: int) -> None:
        match path:
            case "cut off":
                self.blocked_links = {link for link in self.blocked_links if machine_index not in link}
                self.unavailable.discard(machine_index)
            case "killed" | "wiped":
                self.unavailable.discard(machine_index)
                self.start(machine_index)
            case "replaced":
                self.add_machine()
            case _:
                pass

    def add_machine(self) -> None:
        self.machines.append(Machine(f"10.0.1.{len(self.machines)}:1"))
        self.start(len(self.machines) - 1)

    def leave(self, machine_index: int) -> None:
        """Shut a member down as after SIGTERM: transfer leadership, ask to be removed, exit."""
        replica = self.machines[machine_index].replica
        assert replica is not None
        replica.retire()
        end = self.now + SHUTDOWN_S
        while self.now < end:
            for other_index, other in enumerate(self.machines):
                if other_index != machine_index:
                    replica.send(other.address, LeaveRequest(replica.me.id))
            self.run_with_traffic(JOIN_RETRY_INTERVAL_S)
        self.unavailable.add(machine_index)
        self.kill(machine_index)

    def running_machines(self) -> list[int]:
        return [
            machine_index
            for machine_index, machine in enumerate(self.machines)
            if machine.replica is not None and machine_index not in self.unavailable
        ]

    def pick_victims(self, count: int) -> list[int]:
        """Return machines to lose: the leader in two of three cases, the others at random."""
        machine_indexes = self.running_machines()
        self.rng.shuffle(machine_indexes)
        leader = self.leader()
        if leader in machine_indexes and self.rng.random() < 0.67:
            machine_indexes.sort(key=lambda machine_index: machine_index != leader)
        return machine_indexes[:count]

    def inject_second_losses(self, kind: str, machine_indexes: Sequence[int]) -> None:
        self.unavailable.update(machine_indexes)
        for machine_index in machine_indexes:
            self.inject_fault("wipe" if kind == "wipe and power" else kind, machine_index)
        if kind == "wipe and power":
            running_machines = self.running_machines()
            for machine_index in running_machines:
                self.kill(machine_index)
            self.run(0.2)
            for machine_index in running_machines:
                self.start(machine_index)

    def wait_until_acknowledging(self) -> None:
        """Run until a claim is acknowledged.

        Raises InvariantError if that takes too long or anything is lost.
        """
        before, started_at = len(self.acknowledged), self.now
        while len(self.acknowledged) == before:
            if self.now - started_at > SERVICE_RESUMES_MAX_S:
                raise InvariantError(
                    f"no claim is acknowledged within {SERVICE_RESUMES_MAX_S} s of the second losses"
                )
            self._keys += 1
            self.propose(Claim(f"k{self._keys}", f"c{self._keys}", "h"))
            self.run(0.02)
        self.check_nothing_lost()


def durable_log(replica: Replica) -> Log:
    """Return the replica's log as far as it is on disk."""
    log = replica.log
    if replica.storage.durable_index >= log.last_index:
        return log
    durable_entries = [entry for entry in log.entries if entry.index <= replica.storage.durable_index]
    return Log(log.snapshot, [entry for entry in durable_entries if entry.index > log.snapshot_index])


def run_scenario(scenario: Scenario) -> ScenarioOutcome:
    try:
        return ScenarioOutcome(scenario, "", _run(scenario))
    except InvariantError as violation:
        return ScenarioOutcome(scenario, f"{scenario}: {violation}")


def _run(scenario: Scenario) -> float:
    """Return for how long the tolerance was reduced, in seconds. Raises InvariantError."""
    group = RepairGroup(scenario)
    group.run_until_leader()
    group.run_with_traffic(1.0)
    lost: list[tuple[str, int]] = []
    for path in scenario.paths:
        if lost:
            group.run_with_traffic(scenario.between_losses_s)
        lost.append((path, group.pick_victims(1)[0]))
        group.start_loss(*lost[-1])
    started_at = group.now
    group.run_with_traffic(0.3)
    returned_at = {"spare": started_at, "replaced in order": started_at - SHUTDOWN_S}.get(
        scenario.paths[-1], group.now
    )
    for path, machine_index in lost:
        group.end_loss(path, machine_index)
    group.run_with_traffic(CATCH_UP_S + scenario.after_catch_up_s)
    reduced_tolerance_s = max(group.reduced_tolerance_until - returned_at, 0.0)
    group.inject_second_losses(scenario.second_loss, group.pick_victims(scenario.fault_tolerance))
    group.wait_until_acknowledging()
    group.history.check()
    return reduced_tolerance_s


def summarize(outcomes: Sequence[ScenarioOutcome]) -> dict[str, object]:
    """Return the figures of scenarios.

    The times in `short_s` are seconds after the return in which the group tolerated fewer losses than
    configured.
    """
    by_path: dict[str, list[float]] = defaultdict(list)
    for outcome in outcomes:
        if not outcome.violation:
            by_path[" + ".join(sorted(outcome.scenario.paths))].append(outcome.reduced_tolerance_s)
    return {
        "second_losses_tried": len(outcomes),
        "second_losses_survived": sum(not outcome.violation for outcome in outcomes),
        "short_s": {
            path: {"p50": round(sorted(times)[len(times) // 2], 2), "worst": round(max(times), 2)}
            for path, times in sorted(by_path.items())
        },
    }


def main(scenarios: int) -> int:
    outcomes = [run_scenario(make_scenario(number)) for number in range(scenarios)]
    for outcome in outcomes:
        if outcome.violation:
            print(outcome.violation)
    print(msgspec.json.encode(summarize(outcomes)).decode())
    return int(any(outcome.violation for outcome in outcomes))


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else 200))
