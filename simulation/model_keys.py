"""Keys of the model checker's states, by which it recognizes visited states."""

from __future__ import annotations

from itertools import chain, groupby, permutations, product
from typing import TYPE_CHECKING, Any

import msgspec

from cometdoor.control.replica import Replica
from cometdoor.control.roles import Role
from cometdoor.wire.revisions import encode

if TYPE_CHECKING:
    from simulation.model_state import World


def state_key(world: World) -> bytes:
    """Return the same bytes for equivalent states; the time is not part of the key."""
    parts: list[Any] = [
        (
            world.remaining.changes,
            world.remaining.crashes,
            world.remaining.wipes,
            sorted(world.committing_terms.items()),
        )
    ]
    for node in world.nodes:
        replica = node.replica
        parts.append((node.id, node.disk))
        if replica is not None:
            parts.append(
                (
                    replica.term,
                    replica.voted_for,
                    replica.role.value,
                    replica.leader,
                    replica.committed,
                    replica.log.entries,
                    replica.storage.pending,
                    replica.storage.durable_index,
                    len(replica.outbox),
                    sorted((id, peer.next_index, peer.match_index) for id, peer in replica.followers.items()),
                    replica.role is Role.LEADER and replica.membership.is_reconfiguring,
                    _followers_by_last_seen(replica, world.fault_tolerance),
                )
            )
    return encode(parts)


def _followers_by_last_seen(replica: Replica, fault_tolerance: int) -> list[str]:
    """Return the followers, least recently seen first, if that order decides which voter is demoted."""
    if replica.role is not Role.LEADER or len(replica.members) <= 2 * fault_tolerance + 1:
        return []
    progress = replica.followers
    return sorted(progress, key=lambda id: progress[id].last_seen_at)


def symmetric_key(world: World) -> bytes:
    """Return the same bytes even for states that differ only by a permutation of the nodes.

    The key is the smallest encoding over all renamings of nodes that differ only in their names.
    """
    parts = msgspec.msgpack.decode(world.key())
    header, remaining_parts = parts[0], parts[1:]
    nodes: list[Any] = []
    for node in world.nodes:
        nodes.append(remaining_parts[: 1 if node.replica is None else 2])
        remaining_parts = remaining_parts[len(nodes[-1]) :]
    anonymous_keys = [
        encode(_renamed(node, {str(node_index): "me"}, "?")) for node_index, node in enumerate(nodes)
    ]
    order = sorted(range(len(nodes)), key=anonymous_keys.__getitem__)
    equivalent = [list(group) for _, group in groupby(order, key=anonymous_keys.__getitem__)]
    return min(
        encode(
            [
                header,
                [
                    _renamed(
                        nodes[node_index],
                        {str(original): str(number) for number, original in enumerate(node_order)},
                        "?",
                    )
                    for node_index in node_order
                ],
            ]
        )
        for node_order in (
            list(chain(*arrangement)) for arrangement in product(*map(permutations, equivalent))
        )
    )


def _renamed(value: Any, names: dict[str, str], other: str) -> Any:
    """Return ids ("m2", or "m2.1" of a later incarnation) and addresses ("a2") under other numbers.

    Lists that are sorted by id are sorted by the new ids.
    """
    if isinstance(value, str) and len(value) >= 2 and value[0] in "ma" and value[1].isdigit():
        return value[0] + names.get(value[1], other) + value[2:]
    if isinstance(value, list):
        renamed = [_renamed(item, names, other) for item in value]
        if renamed and all(
            isinstance(item, list) and item and isinstance(item[0], str) and item[0][0] == "m"
            for item in renamed
        ):
            renamed.sort(key=repr)
        return renamed
    return value
