"""Simple forms of failure detectors from the literature, for comparison with the balancer's.

The input is a stream of one balancer's ended calls: (seconds, server, failed). A detector names
unhealthy servers.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from statistics import fmean, pstdev
from typing import Protocol

from cometdoor.balancing.api import Outcome
from cometdoor.balancing.outlier_detection import EndpointHealth, OutlierDetector


class FailureDetector(Protocol):
    """Interface: names unhealthy servers from a stream of ended calls."""

    def ended(self, server: int, failed: bool, at_s: float) -> None: ...

    def is_suspected(self, server: int, at_s: float) -> bool: ...


class LikelihoodRatio:
    """The balancer's detector: likelihood ratios against the peers, with a threshold in nats."""

    def __init__(self, servers: int, threshold: float) -> None:
        self._detector = OutlierDetector(Random(1))
        self._servers = [EndpointHealth() for _ in range(servers)]
        self._threshold = threshold

    def ended(self, server: int, failed: bool, at_s: float) -> None:
        now = at_s * 1000.0
        self._servers[server].on_sent(1e9, now)  # disables the detection of silence: the streams contain none
        outcome = Outcome.RESET if failed else Outcome.OK
        self._detector.on_attempt_ended(self._servers[server], outcome, 1e9, 0.0, now)

    def is_suspected(self, server: int, at_s: float) -> bool:
        return self._servers[server].nats(at_s * 1000.0) >= self._threshold


@dataclass
class ConsecutiveFailures:
    """Names a server after a number of failures in a row."""

    servers: int
    threshold: float
    consecutive: dict[int, int] = field(default_factory=dict)

    def ended(self, server: int, failed: bool, at_s: float) -> None:
        self.consecutive[server] = self.consecutive.get(server, 0) + 1 if failed else 0

    def is_suspected(self, server: int, at_s: float) -> bool:
        return self.consecutive.get(server, 0) >= self.threshold


class OutlierEjection:
    """Outlier ejection by success rate: names servers a number of standard deviations below the mean.

    Rates are those of an interval. Servers with fewer than five calls and intervals with fewer than five
    servers are left out.
    """

    INTERVAL_S = 10.0

    def __init__(self, servers: int, threshold: float) -> None:
        self._threshold = threshold
        self._calls: dict[int, list[bool]] = {}
        self._until = self.INTERVAL_S
        self._suspected: set[int] = set()

    def ended(self, server: int, failed: bool, at_s: float) -> None:
        if at_s >= self._until:
            rates = {other: 1.0 - fmean(calls) for other, calls in self._calls.items() if len(calls) >= 5}
            self._suspected = set()
            if len(rates) >= 5:
                bound = fmean(rates.values()) - self._threshold * pstdev(rates.values())
                self._suspected = {other for other, rate in rates.items() if rate < bound}
            self._calls = {}
            self._until = at_s + self.INTERVAL_S
        self._calls.setdefault(server, []).append(failed)

    def is_suspected(self, server: int, at_s: float) -> bool:
        return server in self._suspected


class PhiAccrual:
    """Phi accrual, with successes as heartbeats: names a server that has had none for too long.

    The suspicion is the improbability of such a gap, in powers of ten; gaps are assumed to be exponentially
    distributed.
    """

    def __init__(self, servers: int, threshold: float) -> None:
        self._threshold = threshold
        self._gaps: dict[int, deque[float]] = {}
        self._last: dict[int, float] = {}

    def ended(self, server: int, failed: bool, at_s: float) -> None:
        if not failed:
            if server in self._last:
                self._gaps.setdefault(server, deque(maxlen=100)).append(at_s - self._last[server])
            self._last[server] = at_s

    def is_suspected(self, server: int, at_s: float) -> bool:
        gaps = self._gaps.get(server, ())
        if len(gaps) < 5:
            return False
        return (at_s - self._last[server]) / max(fmean(gaps), 1e-6) / math.log(10.0) >= self._threshold


CANDIDATES: dict[str, tuple[Callable[[int, float], FailureDetector], Sequence[float]]] = {
    "likelihood ratio": (LikelihoodRatio, (5.0, 7.0, 10.0, 13.0)),
    "failures in a row": (ConsecutiveFailures, (2.0, 3.0, 5.0)),
    "outlier ejection": (OutlierEjection, (1.5, 1.9, 2.5)),
    "phi accrual": (PhiAccrual, (2.0, 4.0, 8.0)),
}


@dataclass(frozen=True)
class Setting:
    """The traffic that a detector sees. Its repr is the random seed: no field may be renamed."""

    rate: float  # calls a second of one balancer to one server
    servers: int = 12
    failing: float = 0.02  # share of failing calls at every server
    sick: float = 0.9  # share at server 0 in the second half of the time
    seconds: float = 120.0


def detect(name: str, threshold: float, setting: Setting, seed: int) -> tuple[float, int]:
    """Return the seconds until server 0 is named (infinite: never), and the number of false alarms.

    Naming another server, or server 0 before its fault, is a false alarm.
    """
    random = Random(f"{seed}:{setting}")
    detector = CANDIDATES[name][0](setting.servers, threshold)
    at_s, detected_after_s, alarms, suspected = 0.0, math.inf, 0, [False] * setting.servers
    while at_s < setting.seconds:
        at_s += random.expovariate(setting.rate * setting.servers)
        server = random.randrange(setting.servers)
        is_unhealthy = server == 0 and at_s >= setting.seconds / 2
        detector.ended(server, random.random() < (setting.sick if is_unhealthy else setting.failing), at_s)
        for other in {server, 0}:
            is_named_now = detector.is_suspected(other, at_s)
            if other == 0 and at_s >= setting.seconds / 2:
                if is_named_now and detected_after_s == math.inf:
                    detected_after_s = at_s - setting.seconds / 2
            elif is_named_now and not suspected[other]:
                alarms += 1
            suspected[other] = is_named_now
    return detected_after_s, alarms
