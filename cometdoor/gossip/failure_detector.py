"""Failure detection by indirect probes: whether a node that did not reply to this process has failed. No I/O.

Indirect probes avoid false suspicions when only this process can't reach the node, or is itself partitioned,
paused or overloaded. Some helpers are asked to ping the node (SWIM: Das, Gupta and Motivala, DSN 2002). The
node counts as failed if at least one helper can't reach it and none can. If no helper replies at all, this
process itself is probably partitioned, and draws no conclusion (in the spirit of Lifeguard's local health:
Dadgar, Phillips and Currey, DSN-W 2018).
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from cometdoor.wire.gossip import NodeRecord

INDIRECT_PROBES = 2  # number of helpers that are asked to ping a node
INDIRECT_PROBE_TIMEOUT_S = 4.0  # after this time without all replies the node may be probed again


@dataclass(slots=True)
class Suspicion:
    """Indirect probes of one node that are in progress."""

    record: NodeRecord
    awaited_replies: int
    expires_at: float  # in seconds, on the same clock as `now`
    unreachable_replies: int = 0
    is_refuted: bool = False  # at least one helper reached the node


class FailureDetector:
    """Counts the replies to indirect probes that this process requested, and decides when a node failed."""

    def __init__(self) -> None:
        self._suspicions: dict[str, Suspicion] = {}  # by address

    def suspect(
        self, record: NodeRecord, rng: random.Random, helpers: Sequence[str], now: float
    ) -> list[str]:
        """Choose the helpers that are asked to probe a node; none while probes of it are in progress."""
        existing = self._suspicions.get(record.address)
        if existing is not None and existing.expires_at > now:
            return []
        chosen = rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        if chosen:
            self._suspicions[record.address] = Suspicion(record, len(chosen), now + INDIRECT_PROBE_TIMEOUT_S)
        return chosen

    def on_probe_reply(self, address: str, is_reachable: bool | None) -> NodeRecord | None:
        """Count a helper's reply; `is_reachable` is None if the helper did not reply.

        Returns
        -------
        NodeRecord | None
            The record of the node if this was the last awaited reply and the node has failed.
        """
        suspicion = self._suspicions.get(address)
        if suspicion is None:
            return None
        suspicion.awaited_replies -= 1
        suspicion.unreachable_replies += is_reachable is False
        suspicion.is_refuted = suspicion.is_refuted or is_reachable is True
        if suspicion.awaited_replies:
            return None
        del self._suspicions[address]
        return suspicion.record if suspicion.unreachable_replies and not suspicion.is_refuted else None
