"""Steps of the model checker: the events of a replica group, and which of them may come next."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cometdoor.control.roles import Role

if TYPE_CHECKING:
    from simulation.model_state import World


@dataclass(frozen=True)
class Step:
    """One event of a whole group.

    `action`: "elect" (pre-vote and election), "order" (propose a change), "send" (replicate), "crash",
    "start", "wipe", "tend" (make all membership changes that are due), "tend once" (propose one of them
    without replication). In fine-grained walks also: "trial" (pre-vote only), "stand" (election after it),
    "send once", "hand over" (transfer leadership), "let go" (a member asks to leave). Random walks choose
    from the sorted list of actions, so renaming an action changes the walk of a seed.
    """

    action: str
    actor: int
    reached: frozenset[int] = frozenset()
    hung_disk: int = -1  # the node whose disk hangs; -1: none
    leaving: int = -1  # the node that asks to leave, of a "let go"

    def __str__(self) -> str:
        return (
            f"{self.action} {self.actor}"
            + (f" reaching {sorted(self.reached)}" if self.reached else "")
            + (f", disk of {self.hung_disk} hangs" if self.hung_disk >= 0 else "")
            + (f", {self.leaving} leaves" if self.leaving >= 0 else "")
        )


@dataclass
class FaultLimits:
    """How many changes and faults may still occur in one history."""

    changes: int = 2
    crashes: int = 2
    wipes: int = 1


def possible_steps(world: World, is_fine_grained: bool = False) -> Iterator[Step]:
    """Yield all steps that may come next.

    `is_fine_grained`: also yield the two phases of an election, single appends, leadership transfers and
    leave requests.
    """
    running = [node_index for node_index, node in enumerate(world.nodes) if node.replica is not None]
    for actor in running:
        replica = world.nodes[actor].replica
        assert replica is not None
        others = [node_index for node_index in running if node_index != actor]
        is_member = replica.is_member(replica.me.id)
        for reached in _subsets(others):
            for hung_disk in (-1, actor, *sorted(reached)):
                if is_member and reached:
                    yield Step("elect", actor, reached, hung_disk)
                    if is_fine_grained:
                        yield Step("trial", actor, reached, hung_disk)
                if replica.role is Role.LEADER and reached:
                    yield Step("send", actor, reached, hung_disk)
                    if is_fine_grained:
                        yield Step("send once", actor, reached, hung_disk)
                if is_fine_grained and reached and replica.role is Role.CANDIDATE and replica.outbox:
                    yield Step("stand", actor, reached, hung_disk)
        if replica.role is Role.LEADER and replica.is_leading:
            if world.remaining.changes:
                yield Step("order", actor)
                yield Step("order", actor, hung_disk=actor)
            yield from _membership_steps(actor, others, is_fine_grained)
        if world.remaining.crashes:
            yield Step("crash", actor)
        if world.remaining.wipes and len(world.lost()) < world.fault_tolerance:
            yield Step("wipe", actor)
    for node_index, node in enumerate(world.nodes):
        if node.replica is None:
            yield Step("start", node_index)


def _membership_steps(actor: int, others: list[int], is_fine_grained: bool) -> Iterator[Step]:
    """Yield the steps in which a leader changes the membership or transfers leadership."""
    for reached in _subsets(others):
        if not reached:
            continue
        yield Step("tend", actor, reached)
        yield Step("tend once", actor, reached)
        yield Step("tend once", actor, reached, actor)
        if is_fine_grained:
            yield Step("hand over", actor, reached)
            for other in sorted(reached):
                yield Step("tend", actor, reached, other)
                yield Step("let go", actor, reached, leaving=other)


def _subsets(node_indexes: list[int]) -> Iterator[frozenset[int]]:
    for mask in range(1 << len(node_indexes)):
        yield frozenset(node_index for bit, node_index in enumerate(node_indexes) if mask >> bit & 1)
