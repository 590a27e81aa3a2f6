"""A control plane replica that is isolated for about twenty seconds while clients call it.

It is partitioned in both directions ("both"), receives nothing ("deaf"), can send nothing ("mute"), or its
process is frozen ("frozen"). When it is isolated, it is the leader or a follower. The other replicas accept
a change every two seconds, and one more when it returns. Three rules must hold:

- while it is isolated it answers 503, or redirects to a live leader other than itself; it neither
  acknowledges nor rejects a change;
- no change is ever rejected anywhere that was or will be accepted, and of two changes on one base at most one
  is accepted;
- no read at any replica returns less than what was acknowledged before the read began.

    python -m simulation.isolated_replica [SEEDS]   that many seeds of each kind
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import sys
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import structlog

from cometdoor.control.roles import Role
from simulation.mesh import SimulatedMesh, simulated_mesh
from simulation.operators import Call, Exchange, FleetOperator, Order
from standins.mesh import configuration, route

PARTITION_S = 20.0
RECOVERY_S = 3.0
REQUEST_INTERVAL_S = 0.11
CHANGE_INTERVAL_S = 2.0
LEADER_STALENESS_MAX_S = 0.4  # a replica may be named as the leader until this long after it led
PARTITION_KINDS = ("both", "deaf", "mute", "frozen")
REJECTED_STATUSES = (400, 409, 412, 413, 422)


@dataclass
class PartitionReport:
    """Responses of an isolated replica, and the rules that they violated."""

    kind: str
    was_leading: bool  # when it was isolated
    answers: Counter[int] = field(default_factory=Counter)  # its responses while isolated, by status
    slowest_s: float = 0.0  # slowest response, from two seconds after the isolation on
    convergence_s: float = 0.0  # from its return until it has applied the change submitted then
    violations: list[str] = field(default_factory=list)

    @property
    def answer_count(self) -> int:
        return sum(self.answers.values())


def make_body(revision: int, tag: str) -> bytes:
    """Return a configuration of a revision; its content differs by tag."""
    return configuration(revision, [route("idempotent"), route(tag)])


def find_contradictions(calls: Iterable[Call]) -> list[str]:
    """Return the violations: combinations of responses that a single register can't give."""
    calls = list(calls)
    accepted_at: dict[bytes, float] = {}  # by body: when it was first acknowledged
    bodies_by_base: dict[int, set[bytes]] = {}
    for call in calls:
        if call.order is not None and call.status == 200:
            accepted_at[call.order.body] = min(accepted_at.get(call.order.body, call.ended_at), call.ended_at)
            bodies_by_base.setdefault(call.order.base, set()).add(call.order.body)
    violations = [
        f"{len(bodies)} changes with base revision {base} were accepted"
        for base, bodies in bodies_by_base.items()
        if len(bodies) > 1
    ]
    acknowledged = sorted(
        (accepted_at[call.order.body], call.order.revision)
        for call in calls
        if call.order is not None and call.status == 200
    )
    for call in calls:
        if call.order is not None:
            rejected_statuses = [
                exchange.status for exchange in call.exchanges if exchange.status in REJECTED_STATUSES
            ]
            if rejected_statuses and call.order.body in accepted_at:
                violations.append(
                    f"change {call.order.revision} was accepted, and rejected with {rejected_statuses[0]}"
                )
        elif call.status in (200, 404):
            read_revision = int(json.loads(call.body)["revision"]) if call.status == 200 else 0
            newest = max((revision for at, revision in acknowledged if at < call.started_at), default=0)
            if read_revision < newest:
                violations.append(f"{read_revision} was read after revision {newest} had been acknowledged")
    return violations


class PartitionRun:
    """One run: isolates a replica, calls it and the others, and checks the responses."""

    def __init__(self, mesh: SimulatedMesh, seed: int, kind: str, is_leader: bool) -> None:
        self.mesh = mesh
        self.rng = random.Random(seed)
        self.report = PartitionReport(kind, is_leader)
        self.isolated = ""
        self.others: list[str] = []
        self._last_led_at: dict[str, float] = {}  # by address: when it last was the leader
        self._revision = 1
        self._request_count = 0
        self._is_partitioned = False
        self.isolated_operator = FleetOperator(lambda: [self.isolated], self.rng)
        self.operator = FleetOperator(lambda: self.others, self.rng)

    async def run(self) -> None:
        mesh, report = self.mesh, self.report
        leader = mesh.leader()
        followers = [address for address in mesh.core if address != leader]
        self.isolated = leader if report.was_leading else self.rng.choice(followers)
        self.others = [address for address in mesh.core if address != self.isolated]
        accepted = await self.operator.replace(Order(1, 2, make_body(2, "known")))
        assert accepted.status == 200 and accepted.order is not None
        self._revision = 2
        requests: set[asyncio.Task[None]] = set()
        started_at = changed_at = mesh.loop.time()
        has_transferred_leadership = False
        self._partition()
        heal_at = started_at + PARTITION_S + self.rng.uniform(-1.0, 1.0)
        while (now := mesh.loop.time()) < heal_at + RECOVERY_S:
            self._record_leaders()
            if self._is_partitioned and now >= heal_at:
                self._heal()
                requests.add(asyncio.create_task(self._measure_convergence(now)))
            elif not has_transferred_leadership and now >= started_at + PARTITION_S / 2:
                has_transferred_leadership = True
                mesh.control_plane(mesh.leader()).replica_server.transfer_leadership()
            elif self._is_partitioned and now >= changed_at + CHANGE_INTERVAL_S:
                changed_at = now
                requests.add(asyncio.create_task(self._replace_configuration()))
            requests.add(asyncio.create_task(self._request(accepted.order, now - started_at)))
            await asyncio.sleep(REQUEST_INTERVAL_S * self.rng.uniform(0.5, 1.5))
        await asyncio.gather(*requests)
        await self._check_final_state()

    def _partition(self) -> None:
        mesh, core = self.mesh, self.mesh.core
        self._is_partitioned = True
        match self.report.kind:
            case "both":
                mesh.partition([self.isolated], core)
            case "deaf":
                mesh.partition_one_way(self.others, [self.isolated])
            case "mute":
                mesh.partition_one_way([self.isolated], self.others)
            case "frozen":
                mesh.freeze(self.isolated)

    def _heal(self) -> None:
        self._is_partitioned = False
        self.mesh.heal()
        if self.report.kind == "frozen":
            self.mesh.thaw(self.isolated)

    def _record_leaders(self) -> None:
        for address in self.mesh.core:
            if self.mesh.control_plane(address).replica_server.replica.role is Role.LEADER:
                self._last_led_at[address] = self.mesh.loop.time()

    # --- calls ---

    async def _replace_configuration(self) -> None:
        """Submit the next change, based on the newest revision, which may be without a final response."""
        base, self._revision = self._revision, self._revision + 1
        order = Order(base, self._revision, make_body(self._revision, "next"))
        call = await self.operator.replace(order)
        if call.status == 412:
            read = await self.operator.describe()
            base = int(json.loads(read.body)["revision"])
            self._revision = base + 1
            call = await self.operator.replace(Order(base, base + 1, make_body(base + 1, "next")))
        if call.status != 200:
            self.report.violations.append(f"a change at the other replicas ended with status {call.status}")

    async def _measure_convergence(self, returned_at: float) -> None:
        """Submit a change when the replica returns, and measure until the replica has it."""
        await self._replace_configuration()
        state = self.mesh.control_plane(self.isolated).replica_server.state
        while state.revision < self._revision and self.mesh.loop.time() < returned_at + RECOVERY_S:
            await asyncio.sleep(0.01)
        self.report.convergence_s = self.mesh.loop.time() - returned_at

    async def _request(self, accepted_order: Order, elapsed_s: float) -> None:
        self._request_count += 1
        number = self._request_count
        # A read; a change already accepted; one on an old base; one on the current base; an invalid one.
        order = [
            None,
            accepted_order,
            Order(1, 900_000 + number, make_body(900_000 + number, "late")),
            Order(self._revision, 500_000 + number, make_body(500_000 + number, "early")),
            Order(self._revision, 1, b"{"),
        ][number % 5]
        if order is not None and order.revision > 500_000 and not self._is_partitioned:
            # Outside the partition such a change could be accepted, which would disturb the other changes.
            order = accepted_order
        was_partitioned = self._is_partitioned
        call = await self.isolated_operator.request_once(self.isolated, order)
        if was_partitioned and self._is_partitioned:
            self._check_answer(call.exchanges[0], elapsed_s)

    def _check_answer(self, exchange: Exchange, elapsed_s: float) -> None:
        report = self.report
        report.answers[exchange.status] += 1
        if elapsed_s > 2.0 and report.kind != "frozen":
            report.slowest_s = max(report.slowest_s, exchange.ended_at - exchange.started_at)
        self._record_leaders()
        if exchange.status == 307:
            last_led_at = self._last_led_at.get(exchange.location, -1.0)
            is_inbound_blocked = report.kind in ("both", "deaf") and elapsed_s > LEADER_STALENESS_MAX_S
            if (
                is_inbound_blocked
                or exchange.location == self.isolated
                or exchange.ended_at - last_led_at > LEADER_STALENESS_MAX_S
            ):
                report.violations.append(
                    f"{elapsed_s:.2f} s after the isolation: 307 to {exchange.location}, not a leader"
                )
        elif exchange.status not in (0, 503):
            report.violations.append(
                f"{elapsed_s:.2f} s after the isolation it responded with {exchange.status}"
            )

    async def _check_final_state(self) -> None:
        read = await self.operator.describe()
        if read.status != 200 or json.loads(read.body)["revision"] != self._revision:
            self.report.violations.append(
                f"the final read returned {read.status} {read.body[:40]!r}, not revision {self._revision}"
            )
        self.report.violations += find_contradictions([*self.operator.calls, *self.isolated_operator.calls])


def run_partition(seed: int, kind: str, is_leader: bool, machines: int = 3) -> PartitionReport:
    """Isolate a replica and return the report.

    `kind`: one of PARTITION_KINDS. `is_leader`: whether the leader is isolated.
    """
    with simulated_mesh(seed=seed, core=machines, planes=1) as mesh:
        mesh.run(mesh.start_configured())
        partition_run = PartitionRun(mesh, seed, kind, is_leader)
        mesh.run(partition_run.run())
        return partition_run.report


def main(seeds: int) -> int:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    violations = 0
    for seed in range(seeds):
        for kind in PARTITION_KINDS:
            for is_leader in (True, False):
                report = run_partition(seed, kind, is_leader, 3 if seed % 2 else 5)
                violations += len(report.violations)
                print(seed, report)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else 2))
