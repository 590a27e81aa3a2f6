"""Admission control: concurrency limit, queue, classes and tenants in overload, late attempts."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from cometdoor.balancing import admission, api, balancer
from cometdoor.balancing.admission import OVERLOAD_LATENCY_SHARE, Admission
from cometdoor.balancing.api import Outcome
from tests.balancing.drivers import (
    UNSAFE_INDEX,
    make_checker,
    sent_to,
)
from tests.balancing.harness import SAFE, SETTINGS, UNSAFE, RuleChecker, endpoints


def make_overloaded_checker(tier: int = 0, latency_ms: float = 10.0) -> RuleChecker:
    """Return a checker after 100 responses; `count_rejected` adds requests without responses."""
    classes = (replace(SAFE, latency_target_ms=800, value=5.0), replace(SAFE, value=1.0))
    checker = make_checker(*endpoints(9), settings=replace(SETTINGS, classes=classes, tiers=2, tier=tier))
    for number in range(100):
        checker.request(f"w{number}")
        checker.advance(latency_ms)
        checker.end_attempt(f"w{number}", 0, Outcome.OK)
    return checker


def count_rejected(checker: RuleChecker, class_index: int, count: int = 200) -> int:
    """Return how many requests of a burst without responses are rejected, at once or from the queue."""
    before = sum(isinstance(action, api.Reject) for action in checker.log)
    for number in range(count):
        checker.request(f"o{class_index}-{number}", class_index)
    checker.advance(balancer.MAX_QUEUE_WAIT_SHARE * SAFE.latency_target_ms)
    return sum(isinstance(action, api.Reject) for action in checker.log) - before


def test_requests_that_would_be_late_are_rejected_at_the_first_tier_only() -> None:
    """A queue that has built up stays: clients time out and retry, and all work goes into late responses."""
    assert 0 < count_rejected(make_overloaded_checker(), 0) < 200
    assert count_rejected(make_overloaded_checker(tier=1), 0) == 0


def test_the_class_of_higher_value_is_rejected_last() -> None:
    """Incident i898662: the class of higher value had the lower latency target, and only it was rejected."""
    assert count_rejected(make_overloaded_checker(latency_ms=450.0), 0) < count_rejected(
        make_overloaded_checker(latency_ms=450.0), 1
    )
    # The same with fast responses so far.
    assert count_rejected(make_overloaded_checker(), 0) <= count_rejected(make_overloaded_checker(), 1)


def test_a_balancer_with_little_traffic_admits_no_long_queue() -> None:
    """Incident i0c326e: a fixed allowance at each of many balancers filled the servers' queues."""
    checker = make_checker(*endpoints(9), settings=replace(SETTINGS, balancers=27))
    for number in range(10):
        checker.request(f"w{number}")
        checker.advance(300.0)
        checker.end_attempt(f"w{number}", 0, Outcome.OK)
    assert 200 - count_rejected(checker, 0) <= 6


@pytest.mark.parametrize(("latency_ms", "is_admitted"), [(100.0, True), (1900.0, False)])
def test_a_burst_at_one_of_many_balancers_is_admitted_while_responses_are_in_time(
    latency_ms: float, is_admitted: bool
) -> None:
    """Day guanacaste big-2: a sixth was rejected despite free capacity: two concurrent were too many."""
    checker = make_checker(*endpoints(9), settings=replace(SETTINGS, balancers=270))
    for number in range(20):
        checker.request(f"w{number}")
        checker.advance(latency_ms)
        checker.end_attempt(f"w{number}", 0, Outcome.OK)
        checker.advance(1000.0 - latency_ms * 0.5)
    in_flight = sum(bool(sent_to(checker.request(f"c{number}"))) for number in range(5))
    assert (in_flight >= 3) is is_admitted


def test_the_concurrency_limit_follows_the_mean_latency_target_of_arrivals() -> None:
    """Reload day of the first site: a limit by the lowest target rejected searches despite free capacity."""
    limits = []
    for long_requests in (1, 9):
        classes = (SAFE, replace(SAFE, latency_target_ms=5000, deadline_ms=9000))
        admission = Admission(replace(SETTINGS, classes=classes))
        for at in range(0, 10_000, 50):
            admission.responses.add(1.0, float(at))
            admission.class_values.on_request_ended(int(at // 50 % 10 < long_requests), 1.0, 1.0, float(at))
            admission.class_values.marginal_values(float(at))
        limits.append(admission.concurrency_limit(10_000.0))
    assert limits[1] > 2.0 * limits[0]


def test_the_concurrency_limit_falls_when_responses_are_late() -> None:
    """Incident i33a6b4: servers slowed by overload stayed overloaded until their clients' timeouts."""
    limits = []
    for target_usage in (0.2, 2.0):
        admission = Admission(replace(SETTINGS, classes=(replace(SAFE, late_value=0.3),)))
        for at in range(0, 10_000, 50):
            admission.responses.add(1.0, float(at))
            admission.target_usage.add(target_usage, float(at))
            admission.concurrency_limit(float(at))
        limits.append(admission.concurrency_limit(10_000.0))
    limit_at_20_per_s = 20.0 * OVERLOAD_LATENCY_SHARE * SAFE.latency_target_ms / 1000.0
    assert limits[1] <= 1.0 + limit_at_20_per_s  # 1 for the minimum limit
    assert limits[1] < 0.66 * limits[0]


def test_lost_responses_do_not_exhaust_the_concurrency_limit() -> None:
    """17 requests without a response filled the limit: 311 searches were rejected while servers were idle."""
    classes = (SAFE, replace(UNSAFE, deadline_ms=60_000.0, late_value=0.3))
    checker = make_checker(*endpoints(4), settings=replace(SETTINGS, classes=classes))
    lost_responses = 0
    for number in range(400):
        checker.advance(40.0)
        if number % 16 == 0 and sent_to(checker.request(f"u{number}", 1, remaining_ms=60_000.0)):
            lost_responses += 1
        if sent_to(checker.request(f"s{number}")):
            checker.end_attempt(f"s{number}", 0, Outcome.OK)
        elif number > 40:
            raise AssertionError(f"search {number} is not admitted after {lost_responses} lost responses")
    assert lost_responses == 25


def test_an_overload_at_startup_is_detected_early() -> None:
    """Incident i1022db: there was no limit in the first seconds, and the connection tables filled up."""
    checker = make_checker(*endpoints(9))
    for number in range(100):
        checker.request(f"w{number}", UNSAFE_INDEX)
        checker.advance(10.0)
    assert sum(isinstance(action, api.Reject) for action in checker.log) > 20


def test_a_queued_request_is_sent_when_capacity_is_free() -> None:
    """Immediate rejections in a random burst failed the requests of clients without retries left."""
    checker = make_checker(*endpoints(1))
    for number in range(20):
        checker.request(f"w{number}")
    assert [len(request.sent) for request in checker.requests.values()] == [1] * 3 + [0] * 17
    checker.advance(100.0)
    checker.end_attempt("w0", 0, Outcome.OK)
    assert len(checker.requests["w19"].sent) == 1  # the newest first
    checker.advance(balancer.MAX_QUEUE_WAIT_SHARE * SAFE.latency_target_ms)
    assert checker.requests["w3"].answered == "Reject"
    assert len(checker.requests["w19"].sent) == 1  # its queue timer has not sent a hedge


def test_expired_queued_requests_are_removed_while_others_arrive() -> None:
    checker = make_checker(*endpoints(1))
    for number in range(500):
        checker.request(f"r{number}")
        checker.advance(10.0)
    queued = sum(len(pending) for pending in checker.balancer._admission.queues.values())
    assert queued <= balancer.MAX_QUEUE_WAIT_SHARE * SAFE.latency_target_ms / 10.0 + 1


@pytest.mark.parametrize("remaining_ms", [0.0, 2.0, 6.0])
def test_a_request_with_a_few_ms_remaining_is_answered_in_time_without_capacity(remaining_ms: float) -> None:
    checker = make_checker(*endpoints(1))
    for number in range(6):
        checker.request(f"r{number}", remaining_ms=remaining_ms)
    checker.advance(remaining_ms + 1.0)
    assert all(request.answered for request in checker.requests.values())


def served_shares_in_overload(worst_class_weight: float) -> tuple[float, float]:
    """Return the served shares of equally frequent requests of value 3 and 1, with capacity for half."""
    classes = (replace(UNSAFE, value=3.0, deadline_ms=5000), replace(UNSAFE, deadline_ms=5000))
    checker = make_checker(
        *endpoints(9),
        settings=replace(
            SETTINGS, classes=classes, total_value_weight=0.5, worst_class_weight=worst_class_weight
        ),
    )
    served = [0, 0]
    responses: list[tuple[float, str]] = []
    free_at = 0.0
    for number in range(3000):
        name = f"g{number}"
        checker.request(name, number % 2, remaining_ms=5000.0)
        checker.advance(10.0)
        for queued_name, request in list(checker.requests.items()):
            if (
                request.sent
                and not request.answered
                and all(queued_name != pending for _, pending in responses)
            ):
                free_at = max(free_at, checker.now) + 20.0  # one response per 20 ms, in order of sends
                responses.append((free_at, queued_name))
        for at, queued_name in list(responses):
            if at <= checker.now:
                responses.remove((at, queued_name))
                if not checker.requests[queued_name].answered:
                    checker.end_attempt(queued_name, 0, Outcome.OK)
                    served[int(queued_name[1:]) % 2] += number >= 500
        checker.requests = {
            key: request
            for key, request in checker.requests.items()
            if not request.answered or request.outstanding()
        }
    return served[0] / 1250, served[1] / 1250


def test_overload_is_spread_over_classes_if_the_worst_served_class_has_weight() -> None:
    """Random overload days: 0.05 of the requests of lowest value were served, and 0.91 of the highest."""
    high_value, low_value = served_shares_in_overload(0.0)
    assert high_value > 1.5 * low_value
    high_value, low_value = served_shares_in_overload(0.3)
    assert 0.7 < low_value / high_value < 1.4


@pytest.mark.parametrize("over_share_value", [0.05, 1.0])
def test_a_tenant_above_its_share_is_rejected_before_those_within_theirs(over_share_value: float) -> None:
    """Incident idbc2fe: one tenant sent three times its share, and all tenants were rejected alike."""
    tenants = (api.Tenant(40.0), api.Tenant(40.0))
    checker = make_checker(
        *endpoints(9),
        settings=replace(SETTINGS, tenants=tenants, balancers=2, over_share_value=over_share_value),
    )
    rejections: Counter[int] = Counter()
    for number in range(1200):
        tenant = int(number % 5 == 0)  # 80 per second from the first, 20 from the second
        checker.request(f"t{tenant}-{number}", UNSAFE_INDEX, tenant=tenant)
        checker.advance(10.0)
        if number % 2:  # 50 per second are served, half of the arrivals
            in_flight = next(name for name, request in checker.requests.items() if request.outstanding())
            checker.end_attempt(in_flight, 0, Outcome.OK)
    for action in checker.log:
        if isinstance(action, api.Reject):
            rejections[int(action.request[1])] += 1
    assert rejections[0] > 240
    assert (rejections[1] < 24) is (over_share_value < 1.0)


def test_clients_that_all_shorten_their_timeout_are_not_mistaken_for_retries() -> None:
    """Churn day of national-lookup: a tenth was rejected as late retries for 10 s, at half of the limit."""
    estimate = admission.ClientTimeoutEstimate()
    results = [
        estimate.is_shortened(4000.0 if at < 5_000 else 2000.0, float(at)) for at in range(0, 20_000, 100)
    ]
    assert not any(results[:50]) and sum(results[50:]) <= admission.CLIENT_TIMEOUT_MEMORY_MS / 100 + 1
    assert not any(results[80:])


def test_client_retries_are_recognised_by_their_shorter_remaining_time() -> None:
    estimate = admission.ClientTimeoutEstimate()
    results = [
        estimate.is_shortened(4000.0 if at % 500 == 0 else 1500.0, float(at)) for at in range(0, 20_000, 100)
    ]
    assert [index for index, short in enumerate(results) if not short] == list(range(0, 200, 5))


def count_sent_past_target(late_value: float, remaining_ms: float) -> int:
    """Return how many of 20 attempts with this time left are sent while half of the limit is in use."""
    classes = (replace(SAFE, late_value=late_value, latency_target_ms=1000, deadline_ms=3000),)
    checker = make_checker(*endpoints(30), settings=replace(SETTINGS, classes=classes))
    for number in range(int(30 * balancer.MIN_IN_FLIGHT_PER_ENDPOINT * admission.LOW_VALUE_LIMIT_SHARE) + 1):
        checker.request(f"w{number}", remaining_ms=2700.0)
    return sum(
        bool(sent_to(checker.request(f"p{number}", remaining_ms=remaining_ms))) for number in range(20)
    )


def test_attempts_past_their_latency_target_leave_capacity_to_those_in_time() -> None:
    """Incident i6f94b9: the newest attempt was sent first; a fifth of all responses went to late attempts."""
    # 1500 ms of 3000 have passed, and the latency target is 1000 ms.
    assert count_sent_past_target(0.0, remaining_ms=1500.0) == 0
    # A first attempt: clients here always wait 2700 ms.
    assert count_sent_past_target(0.0, remaining_ms=2690.0) == 20
    # 800 ms have passed: the response can still be in time.
    assert count_sent_past_target(0.0, remaining_ms=2200.0) == 20
    # Late responses earn the full value.
    assert count_sent_past_target(1.0, remaining_ms=1500.0) == 20


def test_attempts_past_their_latency_target_do_not_use_up_the_tenants_share() -> None:
    """Day caruaru overload: late retries of rejected attempts used up the tokens of timely ones."""
    settings = replace(SETTINGS, tenants=(api.Tenant(10.0),), over_share_value=0.0)
    checker = make_checker(*endpoints(9), settings=settings)
    for number in range(60):
        checker.request(f"r{number}", remaining_ms=2700.0 if not number else 1500.0)
        checker.disconnect(f"r{number}")
    for number in range(int(9 * balancer.MIN_IN_FLIGHT_PER_ENDPOINT)):
        assert sent_to(checker.request(f"f{number}", remaining_ms=2700.0))


@pytest.mark.parametrize(("late_value", "ends_at"), [(0.0, 1000.0), (0.2, 3000.0)])
def test_a_request_without_late_value_ends_at_its_latency_target(late_value: float, ends_at: float) -> None:
    """Incident i40f47c: requests that could earn no value kept the servers of the first tier overloaded."""
    classes = (replace(UNSAFE, late_value=late_value),)
    checker = make_checker(*endpoints(4), settings=replace(SETTINGS, classes=classes))
    checker.request("r")
    checker.advance(ends_at - 1.0)
    responses = [checker.requests["r"].answered]
    checker.advance(2.0)
    assert [*responses, checker.requests["r"].answered] == ["", "Fail"]
    assert len(checker.requests["r"].sent) == 1
