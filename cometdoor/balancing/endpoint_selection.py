"""Selection of the next endpoint: smooth weighted round robin over a subset of the endpoints.

Part of the decision module, see cometdoor/balancing/api.py: no clock, no I/O.
"""

from __future__ import annotations

import math
import random
from heapq import heapify, heappop, heappush
from zlib import crc32

from cometdoor.balancing import api
from cometdoor.balancing.api import DedupScope, Effect, EndpointListKind, EndpointState
from cometdoor.balancing.constants import PRIOR_SAMPLES
from cometdoor.balancing.endpoints import EndpointRecord, Locality
from cometdoor.balancing.latency_estimation import LatencyEstimator
from cometdoor.balancing.outlier_detection import OutlierDetector
from cometdoor.balancing.requests import Request
from cometdoor.balancing.slow_start import SlowStart

LATENCY_EXPONENT = 1.0  # an endpoint that is twice as slow gets half of the turns
SUCCESS_RATE_EXPONENT = 4.0  # an endpoint that fails half of its requests keeps a sixteenth of its turns
MIN_SUCCESS_FACTOR = 0.02  # an endpoint that fails all its requests keeps this share of its turns
LOCAL_LATENCY_EXPONENT = 3.0  # applies to the ratio of remote to local latency, if it is below 1
LOCAL_PREFERENCE = 6.0  # weight of a local endpoint over a remote one, without load reports
MAX_LOCAL_PREFERENCE = 100.0  # weight of a local endpoint over a remote one, at a low reported utilization
# Preference ends at the utilization 1 - `ZONE_HEADROOM` / sqrt(endpoints): the fewer endpoints, the earlier
# queues form (square-root staffing). The queues of eight endpoints are full at a utilization of 0.9.
ZONE_HEADROOM = 0.5
UTILIZATION_RANGE = 0.3  # below that utilization, preference grows from none to its maximum over this range
MIN_SUBSET_SIZE = 5  # endpoints: enough to compare each with its peers
MIN_BALANCERS_PER_ENDPOINT = 3  # so that differences between balancers even out at each endpoint
MIN_WEIGHT_SHARE = 0.02  # share of its turns that an endpoint keeps regardless of planners' advice
GOLDEN_RATIO_FRACTION = 0.6180339887  # multiples of it, modulo 1, are spread evenly


class EndpointSelection:
    """Maintains the endpoint records, the subset that this balancer rotates over, and the rotation."""

    def __init__(
        self,
        settings: api.Settings,
        rng: random.Random,
        latency: LatencyEstimator,
        slow_start: SlowStart,
        outlier_detector: OutlierDetector,
    ) -> None:
        self.endpoints: dict[str, EndpointRecord] = {}
        self.ready_count = 0
        self.rotation: list[tuple[float, int, EndpointRecord]] = []  # heap by turn; may have stale entries
        self.virtual_time = 0.0  # turn of the latest first attempt
        # Without a price on crossing zones all endpoints are local.
        self.local, self.remote = slow_start.local, slow_start.remote
        self._settings = settings
        self._rng = rng
        self._latency = latency
        self._slow_start = slow_start
        self._outliers = outlier_detector
        self._last_sequence = 0
        self._subset_scale = 1.0  # factor by which advice extends the subset

    # --- endpoint list ---

    def update_endpoints(self, event: api.EndpointsChanged, now: float) -> None:
        """Apply an endpoint list, or changes to it, and choose the subset again."""
        if event.kind is not EndpointListKind.DELTA:
            listed_names = {entry.name for entry in event.endpoints}
            for name in [name for name in self.endpoints if name not in listed_names]:
                self._remove(name)
        for entry in event.endpoints:
            self._update_endpoint(entry)
        self._choose_subset(now)

    def _remove(self, name: str) -> None:
        """Forget an endpoint that was removed or restarted."""
        if endpoint := self.endpoints.pop(name, None):
            endpoint.is_ready, endpoint.subset_weight = False, 0.0

    def _update_endpoint(self, entry: api.Endpoint) -> None:
        endpoint = self.endpoints.get(entry.name)
        previous_entry = endpoint.entry if endpoint else entry
        is_new = (entry.started_at, entry.zone) != (previous_entry.started_at, previous_entry.zone)
        if entry.state is EndpointState.REMOVED or is_new:
            self._remove(entry.name)  # observations of the former process don't apply to the new one
            endpoint = None
        if endpoint:
            endpoint.entry, endpoint.is_ready = entry, entry.state is EndpointState.READY
        elif entry.state is not EndpointState.REMOVED:
            self._last_sequence += 1
            is_local = not self._settings.cross_zone_price or entry.zone == self._settings.zone
            # Hashing mixes kinds and zones; a cell stays together, for the retries of keyed requests.
            ring_position = (crc32(b"%d" % entry.cell), crc32(entry.name.encode()), entry.name)
            locality = self.local if is_local else self.remote
            self.endpoints[entry.name] = EndpointRecord(entry, self._last_sequence, locality, ring_position)

    def _choose_subset(self, now: float) -> None:
        """Choose as subset an arc of a ring on which each endpoint occupies a length equal to its weight.

        Without subsets, many balancers with little traffic would open a connection for nearly every request,
        and learn nothing about any endpoint. Arcs of equal length load all endpoints by their weights.
        """
        ready = [endpoint for endpoint in self.endpoints.values() if endpoint.is_ready]
        ring = sorted(ready, key=lambda endpoint: endpoint.ring_position)
        for endpoint in self.endpoints.values():
            if not endpoint.is_ready:
                endpoint.subset_weight = 0.0  # so that it is scheduled when it returns
        if len(self.rotation) > 2 * len(self.endpoints):
            # Remove stale entries: those of slow or failing endpoints are far ahead, and would accumulate.
            self.rotation = [
                entry for entry in self.rotation if entry[0] == entry[2].next_turn and entry[2].subset_weight
            ]
            heapify(self.rotation)
        local = [endpoint for endpoint in ring if endpoint.locality is self.local]
        remote = [endpoint for endpoint in ring if endpoint.locality is self.remote]
        balancers = self._settings.balancers
        # Each zone is assumed to have the same number of balancers.
        known_zones = {endpoint.entry.zone for endpoint in ring} | {self._settings.zone}
        self._slow_start.zones = len(known_zones) if remote else 1
        self._cover_ring(local, self.local, max(1.0, balancers / self._slow_start.zones), now)
        self._cover_ring(remote, self.remote, balancers, now)
        self._outliers.balancers_per_endpoint = max(1.0, balancers * self.local.covered_share)
        self.ready_count = len(ring)

    def _cover_ring(
        self, ring: list[EndpointRecord], locality: Locality, balancers: float, now: float
    ) -> None:
        """Put an arc of the ring into the rotation; where it starts depends on this balancer's position."""
        weights = [max(endpoint.entry.weight, 1e-3) for endpoint in ring]
        total = sum(weights)
        min_share = max(MIN_SUBSET_SIZE / max(len(ring), 1), MIN_BALANCERS_PER_ENDPOINT / balancers)
        subset_length = total * min(1.0, self._subset_scale * min_share)
        start = total * (self._settings.position * GOLDEN_RATIO_FRACTION % 1.0)
        offset = 0.0
        for endpoint, weight in zip(ring, weights, strict=True):
            before, end = endpoint.subset_weight, offset + weight
            # The arc may run past the ring's end and continue at its beginning.
            wrapped = max(0.0, min(end, start + subset_length - total) - offset)
            endpoint.subset_weight = max(0.0, min(end, start + subset_length) - max(offset, start)) + wrapped
            offset = end
            if endpoint.subset_weight and not before:
                # A random phase: otherwise all balancers would send to a new endpoint at the same time.
                distance = self._rng.random() / self.effective_weight(endpoint, now)
                self._schedule(endpoint, self.virtual_time + distance)
        steady = [endpoint for endpoint in ring if self._slow_start.capacity_share(endpoint, now) >= 1.0]
        locality.steady_weight = sum(endpoint.subset_weight for endpoint in steady) or 1.0
        locality.covered_share = subset_length / total if total else 1.0
        locality.rotation_size = sum(endpoint.subset_weight > 0.0 for endpoint in ring)

    def apply_advice(self, event: api.AdviceReceived, now: float) -> None:
        """Reduce endpoints' weights, and widen the subset, by what planners observed over many balancers.

        Costs if the advice is wrong: an endpoint keeps only `MIN_WEIGHT_SHARE` of its turns (all of them if
        it is alone), and in a wider subset less is learned about each endpoint.
        """
        subset_scale = max(event.subset_scale, 1.0) if event.subset_scale < math.inf else 1.0
        if subset_scale != self._subset_scale:
            self._subset_scale = subset_scale
            self._choose_subset(now)
        for endpoint in self.endpoints.values():
            before, share = endpoint.weight_share, event.weight_shares.get(endpoint.name, 1.0)
            endpoint.weight_share = 1.0 if math.isnan(share) else min(max(share, MIN_WEIGHT_SHARE), 1.0)
            if endpoint.weight_share != before and endpoint.is_ready and endpoint.subset_weight:
                # The next turn was scheduled by the former weight. For a lower one the phase is random: else
                # each balancer keeps one early turn; together these are most of a frozen endpoint's requests.
                distance = 1.0 / self.effective_weight(endpoint, now)
                if endpoint.weight_share < before:
                    turn = max(endpoint.next_turn, self.virtual_time + self._rng.random() * distance)
                else:
                    turn = min(endpoint.next_turn, self.virtual_time + distance)
                self._schedule(endpoint, turn)

    # --- rotation: a heap of turns in virtual time ---

    def _schedule(self, endpoint: EndpointRecord, turn: float) -> None:
        endpoint.next_turn = turn
        heappush(self.rotation, (turn, endpoint.sequence, endpoint))

    def effective_weight(self, endpoint: EndpointRecord, now: float) -> float:
        """Return the rotation weight: the subset weight, adjusted by advice, slow start and outcomes."""
        capacity = self._slow_start.capacity_share(endpoint, now)
        weight = endpoint.subset_weight * endpoint.weight_share * capacity
        if endpoint.locality is self.local and self._settings.cross_zone_price:
            weight *= self._local_preference(now)
        weight *= max(self._latency.success_ratio(endpoint, now) ** SUCCESS_RATE_EXPONENT, MIN_SUCCESS_FACTOR)
        slowdown = self._latency.slowdown(endpoint, now)
        return float(weight / slowdown**LATENCY_EXPONENT)

    def _local_preference(self, now: float) -> float:
        """Return the factor by which a local endpoint weighs more than a remote one.

        Crossing zones costs less than late responses: the preference falls as local endpoints report a high
        utilization, or respond more slowly than remote ones. Without reports an overload shows later, in the
        latencies, so the preference is lower. The cost: a slow network between zones hides a local overload.
        """
        local, remote = self.local, self.remote
        preference = LOCAL_PREFERENCE
        utilization = local.utilization.mean(0.0, 1.0, now)
        if local.utilization.count >= 0.5:  # a report within the last seconds
            preference_end = 1.0 - ZONE_HEADROOM / math.sqrt(max(local.rotation_size, 1))
            closeness = min(max((utilization - preference_end) / UTILIZATION_RANGE + 1.0, 0.0), 1.0)
            preference = MAX_LOCAL_PREFERENCE ** (1.0 - closeness)
        remote_slowdown = remote.slowdown.mean(1.0, PRIOR_SAMPLES, now)
        latency_ratio = remote_slowdown / local.slowdown.mean(1.0, PRIOR_SAMPLES, now)
        preference *= min(latency_ratio, 1.0) ** LOCAL_LATENCY_EXPONENT
        return float(preference * remote.covered_share / local.covered_share)

    def _is_over_mean_load(self, endpoint: EndpointRecord) -> bool:
        """Return whether the endpoint has more attempts from here in flight than the mean over all zones.

        With less than one attempt per endpoint any in flight is too many: frozen, slow or busy endpoints
        are skipped before a response or timeout shows it. The cost: the best endpoint gets too little where
        endpoints differ much. By the mean of the local zone alone, one endpoint would get a whole burst.
        """
        local, remote = self.local, self.remote
        endpoints = local.rotation_size + remote.rotation_size
        return endpoint.outstanding > (local.outstanding + remote.outstanding) / max(endpoints, 1)

    def pick(self, request: Request, now: float, caution: int, repeat: bool = False) -> EndpointRecord | None:
        """Return the next ready endpoint in turn that the request has not tried yet; None: there is none.

        `caution`: 2: no degraded endpoint; 1: no ejected one, except for a trial; 0: any. This keeps
        requests, above all those that can't be retried, away from endpoints where others have just failed.
        `repeat`: also endpoints that it has tried, for a keyed request whose group has no other.
        """
        tried = [attempt.endpoint for attempt in request.attempts if not repeat or attempt.not_executed]
        if self._outliers.is_due(now):
            rotating = [endpoint.health for endpoint in self.endpoints.values() if endpoint.subset_weight]
            self._outliers.evaluate(rotating, now)
        may_be_trial = request.cls.effect is Effect.SAFE and not request.attempts
        first = request.first_execution()
        scope = request.cls.dedup_scope if first and request.cls.effect is Effect.KEYED else DedupScope.ALL
        needed_group = first.endpoint.dedup_group(scope) if first else None
        skipped: list[tuple[float, int, EndpointRecord]] = []
        postponed: set[str] = set()
        picked = None
        while self.rotation:
            turn, _, endpoint = entry = heappop(self.rotation)
            if not (endpoint.is_ready and endpoint.subset_weight) or turn != endpoint.next_turn:
                continue
            if (
                endpoint in tried
                or endpoint.dedup_group(scope) != needed_group
                or (caution > 1 and self._outliers.is_degraded(endpoint.health, now))
            ):
                skipped.append(entry)
                continue
            if caution and self._outliers.excludes(endpoint.health, now, may_be_trial):
                endpoint.next_turn = turn + 1.0 / self.effective_weight(endpoint, now)  # this turn is lost
                skipped.append((endpoint.next_turn, endpoint.sequence, endpoint))
                continue
            was_postponed = endpoint.name in postponed
            is_crowded = not was_postponed and self._is_over_mean_load(endpoint)
            if is_crowded or not self._slow_start.admits(endpoint, now):
                if was_postponed:
                    skipped.append(entry)
                else:  # it loses this turn; its next one is used if all others are crowded too
                    postponed.add(endpoint.name)
                    self._schedule(endpoint, turn + 1.0 / self.effective_weight(endpoint, now))
                continue
            picked = endpoint
            if not request.attempts:
                self.virtual_time = turn
            self._schedule(endpoint, turn + 1.0 / self.effective_weight(endpoint, now))
            break
        for entry in skipped:
            heappush(self.rotation, entry)
        return picked
