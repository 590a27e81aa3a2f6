"""The roles of a replica in its term."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """Role of a replica in its current term (Raft, 5.1); the values appear in `Core.Describe`."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trial"  # asks whether it would be elected (prevote: dissertation, 9.6)
    CANDIDATE = "candidate"
    LEADER = "leader"
