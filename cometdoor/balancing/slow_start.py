"""Slow start: how many requests endpoints that have just started may be sent.

Part of the decision module, see cometdoor/balancing/api.py: no clock, no I/O.
"""

from __future__ import annotations

import random

from cometdoor.balancing import api
from cometdoor.balancing.constants import DECAY_MS, PRIOR_SAMPLES
from cometdoor.balancing.endpoints import EndpointRecord, Locality

OVERLOAD_MARGIN = 0.5  # limit, as a share of the overload that makes an endpoint in slow start collapse


def has_lease(endpoint: EndpointRecord, now: float) -> bool:
    """Return whether any lease has sends left; drop those that have expired or have none."""
    while endpoint.leases and (endpoint.leases[0][0] <= now or endpoint.leases[0][1] < 1.0):
        endpoint.leases.popleft()
    return bool(endpoint.leases)


def use_lease(endpoint: EndpointRecord, now: float) -> bool:
    """Use one send of the oldest lease; return False if no lease has any left."""
    if has_lease(endpoint, now):
        endpoint.leases[0][1] -= 1.0
        return True
    return False


class SlowStart:
    """Limits the sends to endpoints in slow start, in proportion to those that other endpoints get."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.local, self.remote = Locality(), Locality()
        self.zones = 1  # number of zones that share the remote endpoints; 1 if zones are ignored
        self._settings = settings
        self._rng = rng

    def capacity_share(self, endpoint: EndpointRecord, now: float) -> float:
        """Return the endpoint's current share of its full capacity, which grows linearly as configured."""
        slow_start_ms = self._settings.warm_up_ms
        started_at = max(endpoint.entry.started_at, endpoint.health.recovered_at)  # the list may be outdated
        age = now - started_at
        if not started_at or age >= slow_start_ms:
            return 1.0
        slow_start_initial_share = self._settings.slow_start_initial_share
        return slow_start_initial_share + (1 - slow_start_initial_share) * max(age, 0.0) / slow_start_ms

    def admits(self, endpoint: EndpointRecord, now: float) -> bool:
        """Return whether an endpoint may be sent another request now (rule 4).

        In slow start it gets at most its share of the rate that other endpoints had, even if these are gone.
        Weights limit it only relative to its peers: alone in its group, or after most of the fleet restarted,
        it would get all requests, hedges and retries, and collapse. No limit until a rate is measured.
        """
        capacity_share, locality = self.capacity_share(endpoint, now), endpoint.locality
        # Without a measured rate of its own, a locality uses the other one's; remote endpoints are shared by
        # the balancers of all zones.
        other = self.remote.steady_rate if locality is self.local else self.local.steady_rate / self.zones
        steady_rate = locality.steady_rate or other
        if capacity_share >= 1.0 or not steady_rate:
            return True
        settings = self._settings
        rate = steady_rate * endpoint.subset_weight * capacity_share
        rate = rate * settings.overload_factor * OVERLOAD_MARGIN
        if endpoint.send_tokens.refilled_at is None:
            endpoint.send_tokens.tokens = self._rng.random()  # spreads the first sends of all balancers
        capacity = 1.0 + rate * settings.overload_tolerance_ms * OVERLOAD_MARGIN
        return endpoint.send_tokens.refill(rate, capacity, now) >= 1.0 or has_lease(endpoint, now)

    def on_sent(self, endpoint: EndpointRecord, now: float) -> None:
        """Count a send: in slow start against the limit, else for the rate that the limit is based on."""
        if self.capacity_share(endpoint, now) < 1.0:
            if not use_lease(endpoint, now):  # leases first: they expire, while tokens do not
                endpoint.send_tokens.tokens -= 1.0
            return
        locality = endpoint.locality
        locality.steady_sends.add(1.0 / locality.steady_weight, now)
        if locality.steady_sends.count >= PRIOR_SAMPLES:
            locality.steady_rate = locality.steady_sends.total / DECAY_MS
