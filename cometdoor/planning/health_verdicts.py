"""Verdicts on one server's health from the evidence of its observers, compared with the fleet. No I/O.

Each observer has one vote, however many calls it made. An observer that sees most servers fail has a fault on
its own network path and no vote on others (`find_bad_paths`). A server is compared with the median server:
where all are slow or all fail alike, as when a tier below them is down, none of them is unhealthy.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from statistics import median

MIN_CALLS_PER_OBSERVER = 3.0  # calls (decayed) that an observer needs for its shares and latencies to count
# Observers that must agree, where there are several forwarders: a single one may have a bad network path or
# report nonsense. If there is only one forwarder, it decides alone.
MIN_AGREEING_OBSERVERS = 2
# A server is overdue once the median server had this many reports of answers since its last answer. By chance
# one healthy server in e**6 is overdue, so observers must agree as well. Counting over the same time for all
# servers avoids false verdicts under a shared slowdown; a mean over the last seconds caused six in 24 fleets.
MISSED_ANSWERS = 6
# Evidence in nats that observers must have. Each call that was lost, or is pending for too long, adds minus
# the logarithm of the probability of a failure at the median server: where few calls fail, three such calls
# are enough. Under a shared slowdown, a healthy server is found unresponsive in two of 32 fleets if only the
# number of observers counts, in three if two such calls are required, and in one with three.
MIN_STALL_EVIDENCE_NATS = 8.0
SLOW_THRESHOLD_DOUBLINGS = 1.0  # a server is slow if its latency exceeds the median server's by this
# Standard deviations beyond chance: 300 servers are assessed four times a second, and no healthy one may be
# found unhealthy in days. Without this bound, servers of healthy simulated fleets are found slow and failing
# (tests/planning/test_health_scoring.py).
SIGNIFICANCE_SIGMAS = 5.0
LOG2_LATENCY_STDDEV = 1.85  # in doublings; of an exponentially distributed time: pi / sqrt(6) / ln 2
BASELINE_FAILURE_SHARE = 0.05  # of calls that fail or are overtaken by a hedge where all are healthy
FAILING_THRESHOLD_SHARE = 0.3  # a server whose successes are this share below the median is failing
MIN_WEIGHT_SHARE = 0.02  # weight that an unhealthy server keeps, so that its recovery is seen


class HealthState(StrEnum):
    """State of a server; the values appear in the status JSON."""

    HEALTHY = "well"
    SLOW = "slow"
    FAILING = "failing"
    UNRESPONSIVE = "frozen"


@dataclass(frozen=True, slots=True)
class HealthVerdict:
    """A planner's conclusion about a server."""

    state: HealthState
    weight_share: float  # share of its weight that it should keep, in (0, 1]
    agreeing: int  # observers whose evidence supports it
    observers: int  # forwarders that sent to the server lately


HEALTHY = HealthVerdict(HealthState.HEALTHY, 1.0, 0, 0)


@dataclass(frozen=True, slots=True)
class ObserverView:
    """Present evidence of one observer on one server; counts of calls are decayed."""

    number: int  # of the forwarder
    answered: float  # calls
    failed: float  # calls
    log2_latency: float | None  # mean of log2(latency / latency target); None with too few calls
    success_share: float | None  # share of calls that were answered; None with too few calls
    is_stalled: bool  # calls are pending for too long, or timed out, and nothing was answered since
    has_answered: bool


@dataclass(frozen=True, slots=True)
class FleetBaseline:
    """The median server, with which others are compared."""

    log2_latency: float
    success_share: float
    answering_since_ms: float  # time since which it has had MISSED_ANSWERS reports of answers
    quorum: int  # observers that must agree


def median_of_known(values: Sequence[float | None]) -> float | None:
    """Return the median of the values that are not None; None where there is none."""
    known = [value for value in values if value is not None]
    return median(known) if known else None


def find_bad_paths(evidence: Mapping[bytes, Sequence[ObserverView]]) -> set[int]:
    """Return forwarders that see at least half of their servers fail or stall, while others do not."""
    failures_by_forwarder: dict[int, list[bool]] = {}
    for views in evidence.values():
        for view in views:
            if view.success_share is not None or view.is_stalled:
                is_failing = (
                    view.success_share is not None and view.success_share < 1.0 - FAILING_THRESHOLD_SHARE
                )
                failures_by_forwarder.setdefault(view.number, []).append(view.is_stalled or is_failing)
    shares = {
        number: sum(failures) / len(failures)
        for number, failures in failures_by_forwarder.items()
        if len(failures) >= MIN_AGREEING_OBSERVERS
    }
    baseline = median(shares.values()) if shares else 0.0
    return {number for number, share in shares.items() if share >= 0.5 and share > baseline + 0.25}


def assess_server(views: Sequence[ObserverView], baseline: FleetBaseline, is_overdue: bool) -> HealthVerdict:
    """Return the verdict on a server.

    Parameters
    ----------
    views
        Evidence of the observers that have a vote.
    baseline
        The median server.
    is_overdue
        Whether the server has answered nothing while the median server had MISSED_ANSWERS reports of answers.
    """
    stalled = sum(view.is_stalled for view in views)
    if is_overdue and _is_unresponsive(views, stalled, baseline):
        return HealthVerdict(HealthState.UNRESPONSIVE, MIN_WEIGHT_SHARE, stalled, len(views))
    failing = [
        view.success_share / baseline.success_share
        for view in views
        if view.success_share is not None
        and view.success_share < baseline.success_share * (1.0 - FAILING_THRESHOLD_SHARE)
    ]
    voters = sum(view.success_share is not None for view in views)
    if (
        len(failing) >= baseline.quorum
        and 2 * len(failing) > voters
        and _fails_significantly(views, baseline.success_share)
    ):
        weight_share = max(median(failing) ** 4, MIN_WEIGHT_SHARE)
        return HealthVerdict(HealthState.FAILING, weight_share, len(failing), len(views))
    views_with_latency = [view for view in views if view.log2_latency is not None]
    slow = [
        view.log2_latency - baseline.log2_latency
        for view in views
        if view.log2_latency is not None
        and view.log2_latency > baseline.log2_latency + SLOW_THRESHOLD_DOUBLINGS
    ]
    if (
        len(slow) >= baseline.quorum
        and 2 * len(slow) > len(views_with_latency)
        and _is_significantly_slow(median(slow), sum(view.answered for view in views_with_latency))
    ):
        weight_share = max(0.5 ** median(slow), MIN_WEIGHT_SHARE)
        return HealthVerdict(HealthState.SLOW, weight_share, len(slow), len(views))
    return HEALTHY


def _is_unresponsive(views: Sequence[ObserverView], stalled: int, baseline: FleetBaseline) -> bool:
    responsive = sum(view.has_answered and not view.is_stalled for view in views)
    lost_calls = sum(max(view.failed, 1.0) for view in views if view.is_stalled)
    nats_per_call = -math.log(max(1.0 - baseline.success_share, BASELINE_FAILURE_SHARE))
    may_be_chance = lost_calls * nats_per_call < MIN_STALL_EVIDENCE_NATS
    return stalled >= baseline.quorum and stalled > responsive and (baseline.quorum == 1 or not may_be_chance)


def _fails_significantly(views: Sequence[ObserverView], median_success_share: float) -> bool:
    calls = sum(view.answered + view.failed for view in views)
    baseline = 1.0 - median_success_share
    excess = sum(view.failed for view in views) - calls * baseline
    return excess > SIGNIFICANCE_SIGMAS * math.sqrt(calls * max(baseline, BASELINE_FAILURE_SHARE))


def _is_significantly_slow(doublings: float, answered: float) -> bool:
    return doublings > SIGNIFICANCE_SIGMAS * LOG2_LATENCY_STDDEV / math.sqrt(answered)
