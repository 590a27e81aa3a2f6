"""One balancer's records of endpoints. No decisions are made here.

Plain classes instead of dataclasses, which would take 2 ms more to import.
"""

from __future__ import annotations

import math
from collections import deque

from cometdoor.balancing import api
from cometdoor.balancing.api import DedupScope, EndpointState
from cometdoor.balancing.constants import FAILURE_DECAY_MS, LOAD_REPORT_DECAY_MS
from cometdoor.balancing.decaying_average import DecayingAverage
from cometdoor.balancing.outlier_detection import EndpointHealth
from cometdoor.balancing.token_bucket import TokenBucket


class Locality:
    """Statistics of the endpoints of the local zone, or of all other zones, and of attempts sent there."""

    __slots__ = (
        "covered_share",
        "outstanding",
        "rotation_size",
        "slowdown",
        "steady_rate",
        "steady_sends",
        "steady_weight",
        "utilization",
    )

    def __init__(self) -> None:
        self.utilization = DecayingAverage(LOAD_REPORT_DECAY_MS)  # as reported by its endpoints
        self.covered_share = 1.0  # share of its weight that is in the rotation
        self.rotation_size = 0  # number of endpoints in the rotation
        self.outstanding = 0  # attempts in flight
        self.slowdown = DecayingAverage()  # latencies over the mean of their class
        self.steady_weight = 1.0  # sum of weights of the endpoints in the rotation that are past slow start
        self.steady_sends = DecayingAverage()  # sends to these endpoints, each counted as 1 / `steady_weight`
        self.steady_rate = 0.0  # the same sends, per millisecond and unit of weight; 0: never measured


class EndpointRecord:
    """A balancer's state of one endpoint: its list entry, its turn in the rotation, its statistics."""

    __slots__ = (
        "entry",
        "failures",
        "health",
        "idle_since",
        "is_ready",
        "last_load_report",
        "leases",
        "locality",
        "name",
        "next_turn",
        "outstanding",
        "ring_position",
        "send_tokens",
        "sequence",
        "slowdown",
        "subset_weight",
        "weight_share",
    )

    def __init__(
        self,
        entry: api.Endpoint,
        sequence: int,
        locality: Locality,
        ring_position: tuple[int, int, str] = (0, 0, ""),
    ) -> None:
        self.entry = entry
        self.sequence = sequence  # unique: breaks ties between equal turns in the rotation's heap
        self.locality = locality
        self.ring_position = ring_position  # orders the endpoints when the subset is chosen
        self.name = entry.name
        self.is_ready = entry.state is EndpointState.READY
        self.subset_weight = 0.0  # part of its listed weight that the subset covers
        self.weight_share = 1.0  # share of its weight that it keeps by planners' advice
        self.next_turn = 0.0  # virtual time of its next turn
        self.send_tokens = TokenBucket()  # limits the sends during its slow start
        self.leases: deque[list[float]] = deque()  # extra sends in slow start: [expires at (ms), sends left]
        self.failures = DecayingAverage(FAILURE_DECAY_MS)
        self.slowdown = DecayingAverage()  # latencies over the mean of their class
        self.health = EndpointHealth()
        self.last_load_report: tuple[float, ...] = ()  # so that a repeated report counts once
        self.outstanding = 0  # attempts in flight
        self.idle_since = math.inf  # when a connection to it last became idle; infinite: none is idle

    def dedup_group(self, scope: DedupScope) -> int | None:
        """Return the zone or cell whose endpoints share its idempotency keys; None: all endpoints do."""
        return {DedupScope.ALL: None, DedupScope.ZONE: self.entry.zone, DedupScope.CELL: self.entry.cell}[
            scope
        ]
