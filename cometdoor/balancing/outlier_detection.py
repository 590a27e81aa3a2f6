"""Outlier detection. Part of the decision module, see cometdoor/balancing/api.py: no clock, no I/O.

The evidence against an endpoint is two sums of log-likelihood ratios, in nats, for "unhealthy" against "like
its peers": one over the outcomes of attempts (Page's cumulative sum test), one over the responses that were
expected since its last one (phi accrual, with the hazard of all attempts in flight). Options and figures:
docs/design/outlier-detection.md.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from cometdoor.balancing.api import Outcome
from cometdoor.balancing.decaying_average import DecayingAverage

OUTLIER_FAILURE_RATE = 0.8  # of an unhealthy endpoint; one with a lower rate gets fewer turns, no ejection
PRIOR_FAILURE_RATE = 0.02  # of a healthy endpoint, until its peers have shown another rate
PRIOR_OUTCOMES = 20.0  # weight of the prior, in outcomes; with 0, two random failures in a row eject
MIN_FAILURE_RATE = 0.01  # lower bound of the peers' failure rate
MIN_PEER_RATIO = 1.5  # of an outlier's failure rate to its peers'; no outlier if peers fail two of three
# Three failures in a row where two in a hundred are usual, or ten times the usual time without a response.
# With 7, two failures in a row are enough: 1.4 false alarms per endpoint and hour at a request per second.
EJECTION_NATS = 10.0
CAUTION_NATS = 3.0  # from this evidence on an endpoint is degraded: it gets no requests that can't be retried
CAUTION_DEVIATIONS = 2.0  # standard deviations, plus one failure; a fixed threshold degrades half of a fleet
# Times between responses are assumed to be exponential until more responses are late than that implies.
# Otherwise healthy endpoints are ejected if one response in fifty takes ten times the usual time.
PRIOR_RESPONSES, PRIOR_LATE_SHARE = 200.0, 0.00005
PRIOR_TIMELY_RESPONSES = 5.0  # weight of the prior; small, so that a slowdown of all endpoints soon shows
MAX_MISSED_RESPONSES = 40.0
MAX_OUTCOME_NATS = 15.0  # low enough that one successful trial ends an ejection, two or three a degradation
RECENT_DECAY_MS = 2_000.0  # short, so that a fault that affects all endpoints at once ejects none
OUTCOME_DECAY_MS = 10_000.0
EVIDENCE_DECAY_MS = 60_000.0  # longer than the time between trials
MAX_EJECTED_SHARE = 0.5  # if more would be ejected, none is: the cause is something that they share
EVALUATION_INTERVAL_MS = 50.0
BASE_EJECTION_MS = 1_000.0  # until the first trial; doubled after each trial that fails
MAX_EJECTION_MS = 4_000.0  # by then the endpoint list has usually dropped a failed endpoint
TRIAL_SPACING_MS = 50.0  # mean time between trials of one endpoint, by all balancers that share it
# How strongly an outcome is evidence against the endpoint (1) or for it (-1), if the host doesn't specify it.
# An error may be caused by the endpoint's dependencies, a lost connection by the network.
DEFAULT_BLAME = {
    Outcome.OK: -1.0,
    Outcome.ERROR: 0.5,
    Outcome.TIMEOUT: 1.0,
    Outcome.RESET: 1.0,
    Outcome.DISCONNECTED: 0.5,
}
RESPONSE_OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.REJECTED)


@dataclass(slots=True, eq=False)
class EndpointHealth:
    """The evidence that one balancer has against one endpoint, and when its next trial is. Times in ms."""

    outcomes: DecayingAverage = field(default_factory=lambda: DecayingAverage(OUTCOME_DECAY_MS))
    recent_outcomes: DecayingAverage = field(default_factory=lambda: DecayingAverage(RECENT_DECAY_MS))
    recovered_at: float = 0.0  # when it first responded after it had refused connections; 0: never
    ejection_ms: float = 0.0  # duration of the current ejection; 0: there is none
    ejected_until: float = -math.inf  # set when it refuses connections
    next_trial_at: float = -math.inf
    outcome_nats: float = 0.0
    _is_unreachable: bool = False  # it has refused connections, and not responded since
    _response_rate: float = 0.0  # responses to all attempts in flight that are expected per millisecond
    _missed: float = 0.0  # responses that were expected since the last one
    _updated_at: float = 0.0

    def nats(self, now: float, weight: float = 1.0) -> float:
        """Return all evidence against the endpoint; each missed response counts for `weight`."""
        self._advance(now)
        return self.outcome_nats + weight * self._missed

    def missed_responses(self, now: float) -> float:
        """Return how many responses were expected since the endpoint's last one."""
        self._advance(now)
        return self._missed

    def has_attempt_in_flight(self) -> bool:
        """Return whether an attempt is in flight at the endpoint."""
        return self._response_rate > 1e-9

    def on_sent(self, expected_ms: float, now: float) -> None:
        """Expect a response within about `expected_ms`."""
        self._advance(now)
        self._response_rate += 1.0 / expected_ms

    def on_attempt_ended(self, expected_ms: float, is_response: bool, now: float) -> float:
        """Stop expecting its response; return how many had been missed if this is a response, else 0."""
        self._advance(now)
        self._response_rate = max(self._response_rate - 1.0 / expected_ms, 0.0)
        if not is_response:
            return 0.0
        missed, self._missed = self._missed, 0.0
        return missed

    def add_evidence(self, blame: float, peer_rate: float, now: float, missed: float = 0.0) -> None:
        """Add an outcome's blame, in [-1, 1], given that its peers fail at the rate `peer_rate`.

        `missed`: missed responses that are evidence of the same attempt; they are subtracted.
        """
        self._advance(now)
        self._missed = max(self._missed - missed, 0.0)
        peer_rate = min(max(peer_rate, MIN_FAILURE_RATE), OUTLIER_FAILURE_RATE)
        ratio = (1.0 - peer_rate) / (1.0 - OUTLIER_FAILURE_RATE)
        if blame > 0.0:
            ratio = OUTLIER_FAILURE_RATE / peer_rate
        self.outcome_nats = min(max(self.outcome_nats + blame * math.log(ratio), 0.0), MAX_OUTCOME_NATS)

    def schedule_trial(self, jitter: float, balancers_per_endpoint: float, now: float) -> None:
        """Schedule the next trial, after a time that doubles; its limit grows with the number of balancers.

        Otherwise hundreds of balancers would each try it every few seconds. `jitter`: a random factor.
        """
        longest_ms = max(MAX_EJECTION_MS, balancers_per_endpoint * TRIAL_SPACING_MS)
        self.ejection_ms = min(max(2.0 * self.ejection_ms, BASE_EJECTION_MS), longest_ms)
        self.next_trial_at = now + self.ejection_ms * jitter

    def on_response(self, is_trial: bool, now: float) -> None:
        """Reinstate the endpoint after a success."""
        if is_trial:
            self.outcome_nats /= 2.0
        if self._is_unreachable:
            self._is_unreachable, self.recovered_at = False, now
        self.ejection_ms, self.ejected_until, self.next_trial_at = 0.0, -math.inf, -math.inf

    def on_connect_failed(self, is_unreachable: bool, now: float) -> None:
        """Eject the endpoint for a time: each attempt would fail and use up some of the retry budget.

        Costs capacity if a single connection failed by chance. `is_unreachable`: no process listens there;
        one that responds later has probably just started, even if the endpoint list doesn't show it yet.
        """
        self._is_unreachable = self._is_unreachable or is_unreachable
        if now >= self.ejected_until:  # otherwise a concurrent attempt has ejected it already
            self.ejection_ms = min(max(2.0 * self.ejection_ms, BASE_EJECTION_MS), MAX_EJECTION_MS)
            self.ejected_until = now + self.ejection_ms

    def _advance(self, now: float) -> None:
        """Count the responses missed until `now`, and let the evidence decay."""
        if now <= self._updated_at:
            return
        elapsed_ms = now - self._updated_at
        self._missed = min(self._missed + self._response_rate * elapsed_ms, MAX_MISSED_RESPONSES)
        if not self.has_attempt_in_flight():  # all attempts were cancelled: no response is expected
            self._missed *= math.exp(-elapsed_ms / RECENT_DECAY_MS)
        self.outcome_nats *= math.exp(-elapsed_ms / EVIDENCE_DECAY_MS)
        self._updated_at = now


class OutlierDetector:
    """Decides which of the endpoints that this balancer rotates over are degraded or ejected."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._recent_outcomes = DecayingAverage(RECENT_DECAY_MS)
        self._outcomes = DecayingAverage(OUTCOME_DECAY_MS)
        self._ejected: frozenset[EndpointHealth] = frozenset()
        self._evaluated_at = -math.inf
        self._typical_missed_responses = 1.0  # of an endpoint now, at least 1
        self._missed_before_response = DecayingAverage(RECENT_DECAY_MS)  # missed before a response
        self._late_responses = DecayingAverage(EVIDENCE_DECAY_MS)  # share of the responses that were late
        self.balancers_per_endpoint = 1.0  # balancers that rotate over one endpoint

    def on_attempt_ended(
        self,
        health: EndpointHealth,
        outcome: Outcome,
        expected_ms: float,
        age_ms: float,
        now: float,
        *,
        blame: float | None = None,
    ) -> None:
        """Count an attempt that ended `age_ms` after it was sent; `expected_ms`: expected latency then."""
        is_response = outcome in RESPONSE_OUTCOMES
        missed = health.on_attempt_ended(expected_ms, is_response, now)
        if is_response and health not in self._ejected:
            self._late_responses.add(float(missed >= EJECTION_NATS), now)
            self._missed_before_response.add(missed, now)
        blame = DEFAULT_BLAME.get(outcome) if blame is None else blame
        if outcome is Outcome.CONNECT_FAILED:
            health.on_connect_failed(blame == 1.0, now)
            return
        if blame:
            self._record_evidence(health, blame, age_ms / expected_ms if blame > 0.0 else 0.0, now)
        if outcome is Outcome.OK:
            health.on_response(health in self._ejected, now)
        elif blame and health in self._ejected and now >= health.next_trial_at:
            self._schedule_trial(health, now)

    def _schedule_trial(self, health: EndpointHealth, now: float) -> None:
        health.schedule_trial(self._rng.uniform(0.5, 1.5), self.balancers_per_endpoint, now)

    def _record_evidence(self, health: EndpointHealth, blame: float, missed: float, now: float) -> None:
        health.add_evidence(blame, self._peer_failure_rate(health, now), now, missed)
        for outcomes in (health.outcomes, self._outcomes, health.recent_outcomes, self._recent_outcomes):
            outcomes.add(float(blame > 0.0), now, abs(blame))

    def _peer_failure_rate(self, health: EndpointHealth, now: float) -> float:
        """Return the failure rate of all other endpoints, long-term or short-term, whichever is higher."""
        prior, recent_prior = PRIOR_FAILURE_RATE, PRIOR_OUTCOMES * RECENT_DECAY_MS / OUTCOME_DECAY_MS
        rate = self._outcomes.mean_without(health.outcomes, prior, PRIOR_OUTCOMES, now)
        return max(rate, self._recent_outcomes.mean_without(health.recent_outcomes, prior, recent_prior, now))

    def _is_outlier(self, health: EndpointHealth, now: float) -> bool:
        """Return whether there is enough evidence against the endpoint, and its peers are still better now.

        Without the comparison, the first to fail would stay ejected when all fail. The cost: a second fault,
        one that affects all, reinstates the endpoints ejected for the first one.
        """
        nats = self.nats(health, now)
        if nats < EJECTION_NATS or nats - health.outcome_nats >= EJECTION_NATS:
            return nats >= EJECTION_NATS
        peer_rate = self._peer_failure_rate(health, now)
        bound = max((OUTLIER_FAILURE_RATE + peer_rate) / 2.0, MIN_PEER_RATIO * peer_rate)
        return health.recent_outcomes.mean(peer_rate, 1e-9, now) > bound

    def evaluate(self, endpoints: list[EndpointHealth], now: float) -> None:
        """Decide which are ejected; `endpoints` are all that the balancer rotates over."""
        self._evaluated_at = now
        pending = [health for health in endpoints if health.has_attempt_in_flight()]
        missed = sorted(health.missed_responses(now) for health in pending)
        median = missed[len(missed) // 2] if len(missed) > 2 else 1.0
        mean_missed = self._missed_before_response.mean(1.0, PRIOR_TIMELY_RESPONSES, now)
        self._typical_missed_responses = max(median, mean_missed, 1.0)
        ejected = frozenset(health for health in endpoints if self._is_outlier(health, now))
        if len(ejected) > MAX_EJECTED_SHARE * len(endpoints):
            ejected = frozenset()
        for health in endpoints:  # in list order: with a set's, random draws would differ between runs
            if health in ejected and health not in self._ejected and now >= health.next_trial_at:
                self._schedule_trial(health, now)
        self._ejected = ejected

    def nats(self, health: EndpointHealth, now: float) -> float:
        """Return the nats against an endpoint; missed responses count less the more usual they are."""
        late = self._late_responses.mean(PRIOR_LATE_SHARE, PRIOR_RESPONSES, now)
        return health.nats(now, min(-math.log(late) / EJECTION_NATS, 1.0) / self._typical_missed_responses)

    def is_degraded(self, health: EndpointHealth, now: float) -> bool:
        """Return whether requests that can't be retried should avoid the endpoint."""
        if self.nats(health, now) >= CAUTION_NATS:
            return True
        share = self._outcomes.mean(PRIOR_FAILURE_RATE, PRIOR_OUTCOMES, now)
        health.outcomes.decay(now)
        count = health.outcomes.count
        deviation = math.sqrt(share * (1.0 - share) * count)
        return health.outcomes.total > share * count + CAUTION_DEVIATIONS * deviation + 1.0

    def is_ejected(self, health: EndpointHealth) -> bool:
        """Return whether the endpoint is ejected, and gets trials only."""
        return health in self._ejected

    def is_due(self, now: float) -> bool:
        """Return whether to call `evaluate`."""
        return now - self._evaluated_at >= EVALUATION_INTERVAL_MS

    def excludes(self, health: EndpointHealth, now: float, may_be_trial: bool) -> bool:
        """Return whether the endpoint must not get this request; `may_be_trial`: it may serve as a trial."""
        if now < health.ejected_until:
            return True
        return health in self._ejected and not (may_be_trial and now >= health.next_trial_at)

    def on_sent(self, health: EndpointHealth, now: float) -> None:
        """Count an attempt at the endpoint: a trial, if the endpoint is ejected."""
        if health in self._ejected:
            self._schedule_trial(health, now)
