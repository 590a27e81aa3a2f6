"""The first members of the replica group, which each of them knows without asking the others. No I/O.

All control planes that start with the whole system get the same seed nodes. From these each derives the same
members and the same first entry of the log, so that any majority of them elects a leader, and no two groups
can come into being. The id of a founder belongs to its first disk, like that of any member: a seed node that
has lost its disk starts without `initial-start`, has a new id, and asks to join.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cometdoor.wire.log_entries import Member

FOUNDER_ID_PREFIX = "founder-"


class SeedNode(NamedTuple):
    """The addresses ("ip:port") of one seed node's control plane: for replicas, and for operators."""

    internal_address: str
    control_address: str


def founding_members(seed_nodes: Iterable[SeedNode]) -> tuple[Member, ...]:
    """Return the group's first members, all of them voters, in the same order for any order of the seeds.

    Their nodes and zones are not known yet; the members report them when they have met.
    """
    return tuple(
        Member(FOUNDER_ID_PREFIX + seed.control_address, seed.internal_address, seed.control_address)
        for seed in sorted(set(seed_nodes))
    )


def find_founder(founders: Iterable[Member], internal_address: str) -> Member | None:
    """Return the founder at that address; None if there is none."""
    return next((founder for founder in founders if founder.address == internal_address), None)
