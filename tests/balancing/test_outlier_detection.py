"""The outlier detector alone: it ejects failing servers soon, and none for failures that all share."""

from __future__ import annotations

import math
from itertools import pairwise
from random import Random

import pytest

from cometdoor.balancing.api import Outcome
from cometdoor.balancing.outlier_detection import (
    BASE_EJECTION_MS,
    CAUTION_NATS,
    EJECTION_NATS,
    MAX_EJECTED_SHARE,
    MAX_EJECTION_MS,
    TRIAL_SPACING_MS,
    EndpointHealth,
    OutlierDetector,
)

USUAL_LATENCY_MS = 300.0


class SimulatedEndpoints:
    """Servers that fail a share of their requests; each gets one every `gap_ms` on average."""

    def __init__(self, seed: int, failure_rates: list[float]) -> None:
        self.random, self.now = Random(seed), 0.0
        self.failure_rates = failure_rates
        self.detector = OutlierDetector(Random(seed + 1))
        self.endpoints = [EndpointHealth() for _ in failure_rates]

    def call(self, number: int, outcome: Outcome | None = None, blame: float | None = None) -> None:
        if outcome is None:
            outcome = Outcome.RESET if self.random.random() < self.failure_rates[number] else Outcome.OK
        self.endpoints[number].on_sent(USUAL_LATENCY_MS, self.now)
        self.detector.on_attempt_ended(
            self.endpoints[number], outcome, USUAL_LATENCY_MS, USUAL_LATENCY_MS, self.now, blame=blame
        )

    def run(self, until_ms: float, gap_ms: float) -> list[set[int]]:
        """Return the set of excluded servers after each request."""
        excluded = []
        while self.now < until_ms:
            self.now += self.random.expovariate(len(self.endpoints) / gap_ms)
            number = self.random.randrange(len(self.endpoints))
            if not self.is_excluded(number):
                self.call(number)
            excluded.append({other for other in range(len(self.endpoints)) if self.is_excluded(other)})
        return excluded

    def is_excluded(self, number: int, may_be_trial: bool = True) -> bool:
        if self.detector.is_due(self.now):
            self.detector.evaluate(self.endpoints, self.now)
        return self.detector.excludes(self.endpoints[number], self.now, may_be_trial)


@pytest.mark.parametrize("share", [0.0, 0.02, 0.1, 0.3, 0.6, 1.0])
def test_failures_that_all_servers_share_eject_none(share: float) -> None:
    """At most one false alarm in ten server-hours at 2%, and never half of the servers at once."""
    hours = 0.0
    ejections = 0
    for seed in range(5 if share <= 0.02 else 1):
        simulated = SimulatedEndpoints(seed, [share] * 12)
        ejected = simulated.run(600_000.0, 1_000.0)
        hours += 12 * 600.0 / 3600.0
        ejections += sum(bool(after - before) for before, after in pairwise(ejected))
        assert max(map(len, ejected)) <= MAX_EJECTED_SHARE * 12
    if share <= 0.02:
        assert ejections <= 0.1 * hours


@pytest.mark.parametrize(
    ("others_share", "share", "calls"),
    [(0.0, 1.0, 3), (0.0, 0.5, 15), (0.02, 1.0, 4), (0.1, 1.0, 7), (0.02, 0.7, 8)],
)
def test_a_server_that_fails_unlike_its_peers_is_ejected_within_few_calls(
    others_share: float, share: float, calls: int
) -> None:
    call_counts = []
    for seed in range(20):
        simulated = SimulatedEndpoints(seed, [others_share] * 12)
        simulated.run(20_000.0, 500.0)
        simulated.failure_rates[0] = share
        simulated.endpoints[0].add_evidence(-1.0, 0.01, simulated.now)
        count = 0
        while not simulated.is_excluded(0) and count < 100:
            simulated.now += 500.0
            simulated.call(0)
            simulated.call(1 + count % 11)
            count += 1
        call_counts.append(count)
    assert sorted(call_counts)[len(call_counts) // 2] <= calls


def test_missing_responses_count_by_requests_in_flight_until_any_response() -> None:
    server = EndpointHealth()
    for _ in range(2):
        server.on_sent(USUAL_LATENCY_MS, 0.0)
    assert server.nats(0.0) == 0.0
    assert server.nats(1.5 * USUAL_LATENCY_MS) == pytest.approx(3.0)  # two attempts, each 1.5 times overdue
    # Cancelled: the responses missed so far still count.
    server.on_attempt_ended(USUAL_LATENCY_MS, False, 1.5 * USUAL_LATENCY_MS)
    assert server.nats(2.5 * USUAL_LATENCY_MS) == pytest.approx(4.0)
    server.on_attempt_ended(USUAL_LATENCY_MS, True, 2.5 * USUAL_LATENCY_MS)
    assert server.nats(99.0 * USUAL_LATENCY_MS) == 0.0


@pytest.mark.parametrize("count", [1, 2, 3, 9])
def test_a_standstill_of_all_servers_ejects_none(count: int) -> None:
    simulated = SimulatedEndpoints(1, [0.0] * count)
    for server in simulated.endpoints:
        server.on_sent(USUAL_LATENCY_MS, 0.0)
    simulated.now = 2.0 * EJECTION_NATS * USUAL_LATENCY_MS
    assert not any(simulated.is_excluded(number, may_be_trial=False) for number in range(count))


def test_a_frozen_server_is_ejected_while_the_others_continue() -> None:
    simulated = SimulatedEndpoints(1, [0.0] * 4)
    for server in simulated.endpoints:
        server.on_sent(USUAL_LATENCY_MS, 0.0)
    simulated.now = 2.0 * EJECTION_NATS * USUAL_LATENCY_MS
    for _ in range(40):
        for number in range(1, 4):
            simulated.detector.on_attempt_ended(
                simulated.endpoints[number], Outcome.OK, USUAL_LATENCY_MS, USUAL_LATENCY_MS, simulated.now
            )
            simulated.endpoints[number].on_sent(USUAL_LATENCY_MS, simulated.now)
        simulated.now += 0.5 * USUAL_LATENCY_MS
    assert [simulated.is_excluded(number, may_be_trial=False) for number in range(4)] == [
        True,
        False,
        False,
        False,
    ]


@pytest.mark.parametrize("balancers_per_endpoint", [1.0, 200.0])
def test_trials_are_spaced_with_jitter_across_the_balancers_of_a_server(
    balancers_per_endpoint: float,
) -> None:
    simulated = SimulatedEndpoints(7, [0.0] * 6)
    simulated.detector.balancers_per_endpoint = balancers_per_endpoint
    while not simulated.is_excluded(0, may_be_trial=False):
        simulated.now += 100.0
        simulated.call(0, Outcome.TIMEOUT)
        simulated.call(1)
    assert simulated.is_excluded(0)  # no trial immediately after the ejection
    trial_times: list[float] = []
    while simulated.now < 200_000.0:
        simulated.now += 20.0
        for number in range(1, 6):
            simulated.call(number)
        if not simulated.is_excluded(0):
            assert simulated.is_excluded(0, may_be_trial=False)
            trial_times.append(simulated.now)
            simulated.detector.on_sent(simulated.endpoints[0], simulated.now)
            simulated.call(0, Outcome.TIMEOUT)
    gaps = [after - before for before, after in pairwise(trial_times)]
    longest = max(MAX_EJECTION_MS, balancers_per_endpoint * TRIAL_SPACING_MS)
    assert min(gaps) >= BASE_EJECTION_MS / 2 and max(gaps) <= 1.5 * longest + 20.0
    assert math.fsum(gaps[-5:]) / 5 >= 0.6 * longest and len(set(gaps)) > 2


def test_successful_trials_end_an_ejection_in_steps() -> None:
    simulated = SimulatedEndpoints(3, [0.0] * 4)
    while not simulated.is_excluded(0, may_be_trial=False):
        simulated.now += 50.0
        simulated.call(0, Outcome.TIMEOUT)
        simulated.call(1)
    steps = []
    while simulated.endpoints[0].nats(simulated.now) >= CAUTION_NATS:
        steps.append(simulated.endpoints[0].nats(simulated.now))
        simulated.now += 1.0
        simulated.call(0, Outcome.OK)
    assert steps == sorted(steps, reverse=True) and len(steps) <= 4


def test_a_lost_idle_connection_and_an_unknown_outcome_are_no_evidence() -> None:
    simulated = SimulatedEndpoints(4, [0.0] * 2)
    for _ in range(100):
        simulated.call(0, Outcome.RESET, 0.0)
        simulated.call(0, Outcome.CANCELLED)
        simulated.call(0, Outcome.NOT_SENT)
    assert simulated.endpoints[0].nats(0.0) == 0.0


def test_a_server_that_loses_one_response_in_eight_is_degraded() -> None:
    """Each loss is forgotten with the next responses, but the share of losses is not.

    If all servers lose as many, none is degraded.
    """
    degraded = {0.0: [0, 0], 0.13: [0, 0]}
    for others_share, counts in degraded.items():
        for seed in range(20):
            simulated = SimulatedEndpoints(seed, [0.13, *[others_share] * 3])
            simulated.run(15_000.0, 150.0)
            for number in (0, 1):
                counts[number] += simulated.detector.is_degraded(simulated.endpoints[number], simulated.now)
    assert degraded[0.0][0] >= 12 and degraded[0.0][1] == 0
    assert max(degraded[0.13]) <= 6


@pytest.mark.parametrize(
    ("outcome", "blame", "has_restarted"),
    [
        (Outcome.CONNECT_FAILED, 1.0, True),
        (Outcome.CONNECT_FAILED, 0.5, False),
        (Outcome.CONNECT_FAILED, None, False),
        (Outcome.RESET, 1.0, False),
    ],
)
def test_a_server_that_answers_after_a_refused_connection_has_restarted(
    outcome: Outcome, blame: float | None, has_restarted: bool
) -> None:
    simulated = SimulatedEndpoints(1, [0.0])
    simulated.call(0, outcome, blame)
    assert not simulated.endpoints[0].recovered_at
    simulated.now = 5_000.0
    simulated.call(0, Outcome.OK)
    assert simulated.endpoints[0].recovered_at == (5_000.0 if has_restarted else 0.0)
    simulated.now = 9_000.0
    simulated.call(0, Outcome.OK)
    assert simulated.endpoints[0].recovered_at == (5_000.0 if has_restarted else 0.0)
