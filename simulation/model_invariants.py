"""Invariants of the model checker: what must hold of a replica group after every step.

The list is in the docstring of `simulation.model_checker`; safety properties are named as in the Raft paper
(Ongaro and Ousterhout 2014, figure 3).
"""

from __future__ import annotations

from itertools import combinations, pairwise
from typing import TYPE_CHECKING

from cometdoor.control.log import Log, is_membership_change
from cometdoor.control.replica import Replica
from cometdoor.control.roles import Role
from cometdoor.wire.log_entries import LogEntry, Member, MembershipChange

if TYPE_CHECKING:
    from simulation.model_state import World


def check_invariants(world: World, leader_logs: dict[int, list[LogEntry]], before: World) -> None:
    """Check a state against the one before it. Raises InvariantError.

    `leader_logs`: by node, the logs of the replicas that led before the step.
    """
    logs = [
        (node_index, node.replica) for node_index, node in enumerate(world.nodes) if node.replica is not None
    ]
    for node_index, replica in logs:
        if replica.role is Role.LEADER:
            first_leader = world.leaders.setdefault(replica.term, replica.me.id)
            if first_leader != replica.me.id:
                world.fail(f"term {replica.term} has two leaders")
            earlier = before.nodes[node_index].replica
            if (
                node_index in leader_logs
                and earlier is not None
                and earlier.term == replica.term
                and replica.log.entries[: len(leader_logs[node_index])] != leader_logs[node_index]
            ):
                world.fail(f"leader {node_index} changed its own log")
    for node_index, replica in logs:
        for index in range(replica.log.base_index + 1, replica.committed + 1):
            entry = replica.log.entry(index)
            world.committing_terms.setdefault(index, replica.term)
            if world.committed.setdefault(index, (entry.term, entry.change)) != (entry.term, entry.change):
                world.fail(f"entry {index} was committed twice, with different contents")
        for other_index, other_replica in logs[:node_index]:
            _check_log_matching(world, node_index, replica, other_index, other_replica)
    for node_index, replica in logs:
        if replica.role is Role.LEADER:
            for index, (term, change) in world.committed.items():
                if index <= replica.log.base_index or replica.term <= world.committing_terms[index]:
                    continue
                if replica.log.term_at(index) != term or replica.log.entry(index).change != change:
                    world.fail(f"leader {node_index} lacks entry {index}, which was committed")

    durable_logs = {node.id: node.log() for node in world.nodes}
    _check_further_losses(world, durable_logs)
    _check_majorities(world, before, durable_logs)
    _check_membership_changes(world, durable_logs)


def _check_log_matching(
    world: World, node_index: int, replica: Replica, other_index: int, other_replica: Replica
) -> None:
    logs = replica.log, other_replica.log
    lowest = max(log.base_index for log in logs)
    for index in range(min(log.last_index for log in logs), lowest, -1):
        if logs[0].term_at(index) == logs[1].term_at(index):
            # A compacted log can be checked only after its base.
            shared = [log.entries_after(lowest, index - lowest) for log in logs]
            if shared[0] != shared[1]:
                world.fail(f"logs of {node_index} and {other_index} differ below entry {index}")
            return


def lost_disks(world: World, logs: dict[str, Log]) -> set[str]:
    """Return the ids of lost disks that still count in some configuration.

    A lost voter that was removed and has no successor yet is in no configuration: a placeholder counts it.
    """
    configurations = [_newest_committed(world), *(log.members for log in logs.values())]
    lost = {member.id for members in configurations for member in members} - logs.keys()
    voters = sum(member.voter for member in configurations[0])
    wiped = sum(node.incarnations - 1 for node in world.nodes)
    missing = min(max(2 * world.fault_tolerance + 1 - voters, 0), wiped)
    return lost | {f"missing {number}" for number in range(missing)}


def _newest_committed(world: World) -> tuple[Member, ...]:
    changes = [world.committed[index][1] for index in sorted(world.committed, reverse=True)]
    newest = next((change for change in changes if isinstance(change, MembershipChange)), None)
    return newest.members if newest is not None else world.first_members


def _check_further_losses(world: World, logs: dict[str, Log]) -> None:
    voters_for = {id: granting_voters(id, logs) for id in logs}
    majorities = {id: sum(member.voter for member in log.members) // 2 + 1 for id, log in logs.items()}
    further_losses = world.fault_tolerance - len(lost_disks(world, logs))
    electable_ids: set[str] = set()
    for missing in combinations(logs, max(further_losses, 0)):
        lost = frozenset(missing)
        electable = {
            id
            for id, granted in voters_for.items()
            if id not in lost and len(granted - lost) >= majorities[id]
        }
        if not electable and further_losses >= 0:
            world.fail(f"after losing {', '.join(missing) or 'no further disk'} no replica can be elected")
        electable_ids |= electable
    for id in electable_ids:
        for index, (term, _) in world.committed.items():
            if not has_entry(logs[id], index, term):
                world.fail(f"{id} can be elected and lacks entry {index}, which was committed")


def _check_majorities(world: World, before: World, logs: dict[str, Log]) -> None:
    """Check that what was committed, and who was elected, in this step has a majority of the voters."""
    for node_index, node in enumerate(world.nodes):
        replica, earlier = node.replica, before.nodes[node_index].replica
        if replica is None or replica is earlier or replica.role is not Role.LEADER:
            continue
        was_leading = earlier is not None and earlier.role is Role.LEADER and earlier.term == replica.term
        voters = {voter.id for voter in replica.voters}
        lost_voters = len(voters - logs.keys())  # lost voters may have stored the entry
        if not was_leading and earlier is not None and earlier.term != replica.term:
            votes = sum(other.id in voters and other.voted_for(replica) for other in world.nodes)
            if votes < replica.majority():
                world.fail(
                    f"{node.id} leads term {replica.term} with the votes of {votes} of {len(voters)} voters"
                )
        if earlier is not None and replica.committed > earlier.committed:
            term = replica.log.term_at(replica.committed)
            copies = sum(has_entry(logs[id], replica.committed, term) for id in voters & logs.keys())
            if copies + lost_voters < replica.majority():
                world.fail(
                    f"entry {replica.committed} is committed with copies on {copies} of {len(voters)} voters"
                )


def _check_membership_changes(world: World, logs: dict[str, Log]) -> None:
    last_committed = max(world.committed, default=0)
    for id, log in logs.items():
        changes = [entry for entry in log.entries if is_membership_change(entry)]
        for first, second in pairwise(changes):
            voters = [{m.id for m in entry.change.members if m.voter} for entry in (first, second)]  # type: ignore[union-attr]
            if len(voters[0] ^ voters[1]) > 1:
                world.fail(f"entry {second.index} changes more than one voter")
        if sum(entry.index > last_committed for entry in changes) > 1:
            world.fail(f"{id} has a second membership change before the first is committed")


def has_entry(log: Log, index: int, term: int | None) -> bool:
    """Return whether a log has the entry. What its snapshot covers was committed and counts as present."""
    return index <= log.base_index or log.term_at(index) == term


def granting_voters(id: str, logs: dict[str, Log]) -> frozenset[str]:
    """Return the voters of a node's own configuration that would vote for it; none if it is not a member."""
    log = logs[id]
    voters = [member.id for member in log.members if member.voter]
    if id not in {member.id for member in log.members}:
        return frozenset()
    log_position = (log.last_term, log.last_index)
    return frozenset(
        voter
        for voter in voters
        if (other := logs.get(voter)) is not None
        and other.members
        and (other.last_term, other.last_index) <= log_position
    )
