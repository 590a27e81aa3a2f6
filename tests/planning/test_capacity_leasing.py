"""Leases of attempts to servers in slow start: whatever the network does, no window exceeds the budget."""

from __future__ import annotations

from random import Random

import pytest

from cometdoor.balancing.api import Endpoint
from cometdoor.balancing.endpoints import EndpointRecord, Locality
from cometdoor.balancing.slow_start import use_lease
from cometdoor.planning.capacity_leasing import (
    LEASE_TTL_MS,
    LEASED_BUDGET_SHARE,
    MAX_LEASE_AGE_MS,
    CapacityLease,
    InvalidLeaseError,
    LeaseIssuer,
    SlowStartRules,
    decode_lease,
    encode_lease,
)
from cometdoor.planning.load_reports import server_id

RULES = SlowStartRules(slow_start_initial_share=0.3, overload_factor=3.0, overload_tolerance_ms=2000.0)
RATE = 0.5  # attempts per ms to a warm server
ALLOCATION = LEASED_BUDGET_SHARE * RULES.sends_per_window(RATE)  # 180, of all planners in one window
S, T = server_id("s"), server_id("t")
LEASE_WINDOW_MS = 4000.0  # maximum age, time to live and window


def lease_issuer(planners: int = 3, now: float = -LEASE_WINDOW_MS) -> LeaseIssuer:
    return LeaseIssuer(RULES, planners, now)


def test_a_planner_leases_no_more_than_its_share_until_leases_expire() -> None:
    planner = lease_issuer()
    assert planner.issue(S, 1, RATE, 50, 0.0) == CapacityLease(S, 1, 50)
    assert planner.issue(S, 1, RATE, 50, 10.0) == CapacityLease(S, 1, 10)
    assert planner.issue(S, 1, RATE, 50, 3999.0) is None
    assert planner.issue(T, 1, RATE, 1, 3999.0) == CapacityLease(T, 1, 1)
    assert planner.issue(S, 1, RATE, 70, 4001.0) == CapacityLease(S, 1, 50)


def test_a_server_that_restarts_gets_no_new_budget() -> None:
    planner = lease_issuer()
    assert planner.issue(S, 1, RATE, 60, 0.0) is not None
    assert planner.issue(S, 2, RATE, 60, 1000.0) is None


def test_a_restarted_planner_leases_nothing_that_its_former_incarnation_may_have_leased() -> None:
    planner = lease_issuer(now=0.0)
    assert planner.issue(S, 1, RATE, 1, 3999.0) is None
    assert planner.issue(S, 1, RATE, 1, 4000.0) is not None


def test_with_too_little_traffic_nothing_is_leased() -> None:
    assert lease_issuer().issue(S, 1, 0.001, 5, 0.0) is None
    assert lease_issuer().issue(S, 1, RATE, 0, 0.0) is None


def test_expired_leases_are_removed() -> None:
    planner = lease_issuer()
    planner.issue(S, 1, RATE, 1, 0.0)
    planner.forget_old(9000.0)
    assert not planner._issued


def test_a_lease_is_decoded_as_it_was_encoded_and_garbage_is_rejected() -> None:
    lease = CapacityLease(S, 7, 12)
    assert decode_lease(encode_lease(lease)) == lease
    for body in (
        b"",
        b"x",
        encode_lease(CapacityLease(b"s", 1, 1)),
        encode_lease(CapacityLease(S, 1, 0)),
        encode_lease(lease)[:-1],
    ):
        with pytest.raises(InvalidLeaseError):
            decode_lease(body)


def endpoint_record() -> EndpointRecord:
    """Return the record in which a forwarder's decision module keeps leases."""
    return EndpointRecord(Endpoint("s"), 1, Locality())


@pytest.mark.parametrize("seed", range(200))
def test_no_window_exceeds_the_planners_share_whatever_the_network_does(seed: int) -> None:
    """Planners lease all that they can and restart; forwarders use all that they get, early or late.

    Leases are delayed, lost and reordered, but not duplicated: `SecureChannel` drops duplicates.
    """
    random = Random(seed)
    now, planners = 0.0, [lease_issuer() for _ in range(3)]
    forwarders = [endpoint_record() for _ in range(random.randint(1, 8))]
    in_flight: list[
        tuple[float, int, CapacityLease, float]
    ] = []  # arrival, forwarder, lease, when its echo was sent
    sent: list[float] = []
    for _ in range(400):
        now += random.uniform(0.0, 60.0)
        if random.random() < 0.01:
            planners[random.randrange(3)] = lease_issuer(now=now)
        planner, forwarder = random.choice(planners), random.randrange(len(forwarders))
        echoed_at = now - random.expovariate(0.01)
        lease = planner.issue(S, random.choice([1, 1, 2]), RATE * random.random(), random.randint(1, 90), now)
        if lease is not None and random.random() < 0.9:
            in_flight.append(
                (now + random.expovariate(random.choice([0.1, 0.001])), forwarder, lease, echoed_at)
            )
        for arrival in [arrival for arrival in in_flight if arrival[0] <= now]:
            in_flight.remove(arrival)
            if now - arrival[3] <= MAX_LEASE_AGE_MS:
                forwarders[arrival[1]].leases.append([now + LEASE_TTL_MS, arrival[2].sends])
        if random.random() < 0.3:
            lease_holder = random.choice(forwarders)
            while use_lease(lease_holder, now):
                sent.append(now)
    for index, at in enumerate(sent):
        assert sum(at <= other < at + RULES.overload_tolerance_ms for other in sent[index:]) <= ALLOCATION
