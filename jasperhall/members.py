"""Servers as one balancer sees them, on its own side of a zone's border or beyond.

Part of the decision module, see jasperhall/api.py: no clock, no I/O.
"""

from __future__ import annotations

import math
from collections import deque
from zlib import crc32

from jasperhall import api
from jasperhall.api import Scope, State
from jasperhall.averages import MEMORY_MS, Average
from jasperhall.suspicion import Suspicion

FAILURE_MEMORY_MS = 3_000.0  # its failures sooner: one that turned half away kept most turns for 4 s
KIND_SAMPLES = 3.0  # a server is taken to be like its kind until so many answers of its own are in
REPORT_MEMORY_MS = 4_000.0  # some five reports; with half of it zones swung, two of seven days collapsed


class Side:
    """The servers of the own zone, or all others: what this balancer rotates over and sends there."""

    __slots__ = ("busy", "covered", "in_rotation", "outstanding", "slowness", "warm_rate", "warm_sends",
                 "warm_weight")

    def __init__(self) -> None:
        self.busy = Average(REPORT_MEMORY_MS)  # how busy its servers say that they are
        self.covered = 1.0  # the part of its weight that lies in the rotation
        self.in_rotation = 0
        self.outstanding = 0
        self.slowness = Average()
        self.warm_weight = 1.0  # of those in the rotation that are warm
        self.warm_sends = Average()
        self.warm_rate = 0.0  # sends in a ms and for each weight to warm servers, when there last were any

    def count_warm_send(self, now: float) -> None:
        self.warm_sends.add(1.0 / self.warm_weight, now)
        if self.warm_sends.count >= KIND_SAMPLES:
            self.warm_rate = self.warm_sends.total / MEMORY_MS


class Member:
    """A server as this balancer sees it."""

    __slots__ = ("allowed", "allowed_at", "entry", "failures", "keep", "lent", "name", "order",
                 "outstanding", "place", "ready", "reported", "side", "slowness", "suspicion", "turn",
                 "used_at", "weight")

    def __init__(self, entry: api.Server, order: int, side: Side) -> None:
        self.order = order  # no two are alike, so that equal turns compare
        self.allowed = 0.0  # sends that it may get while it is cold
        self.allowed_at = -math.inf
        self.entry = entry
        self.keep = 1.0  # the part of its weight that advice leaves it
        self.lent: deque[list[float]] = deque()  # [until, sends left] of loans while it is cold
        self.name = entry.name
        self.ready = entry.state is State.READY
        self.failures = Average(FAILURE_MEMORY_MS)
        self.suspicion = Suspicion()
        self.slowness = Average()  # its answer times, each as a multiple of its class's mean
        # Hashed places mix kinds and zones; a cell stays together, so that a keyed call finds its copy.
        self.place = (crc32(b"%d" % entry.cell), crc32(entry.name.encode()), entry.name)
        self.side = side
        self.reported: tuple[float, ...] = ()  # its last load report: many answers carry the same
        self.weight = 0.0  # the part of its list weight that this balancer's subset covers
        self.turn = 0.0  # virtual time of its next turn
        self.outstanding = 0
        self.used_at = math.inf  # when a connection to it last fell idle; infinite where there is none

    def borrows(self, now: float, sends: int = 0) -> bool:
        """Whether a loan is left, of which so many sends are taken. The one that ends first goes first."""
        while self.lent and (self.lent[0][0] <= now or self.lent[0][1] < 1.0):
            self.lent.popleft()
        if self.lent:
            self.lent[0][1] -= sends
        return bool(self.lent)

    def group(self, scope: Scope) -> int | None:
        return {Scope.ALL: None, Scope.ZONE: self.entry.zone, Scope.CELL: self.entry.cell}[scope]
