"""Limits on requests to endpoints in slow start."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cometdoor.balancing import api
from cometdoor.balancing.api import Outcome
from tests.balancing.drivers import (
    SAFE_INDEX,
    SLOW_START_SETTINGS,
    UNSAFE_INDEX,
    count_sends,
    first_servers,
    make_checker,
    sent_to,
    serve,
)
from tests.balancing.harness import SETTINGS, RuleChecker, endpoints


def count_slow_start_sends(
    checker: RuleChecker, name: str, count: int, interval_ms: float, class_index: int
) -> int:
    sends = 0
    for number in range(count):
        actions = checker.request(f"c{number}", class_index, remaining_ms=1000.0)
        sends += sent_to(actions).count(name)
        checker.advance(interval_ms)
        for attempt in checker.requests[f"c{number}"].outstanding():
            sends += sent_to(checker.end_attempt(f"c{number}", attempt, Outcome.REJECTED)).count(name)
            break
    return sends


def test_a_lone_server_in_slow_start_stays_within_its_overload_budget() -> None:
    """Rule 4: weights limit a server in slow start only relative to its peers, and here it has none."""
    checker = make_checker(*endpoints(10), settings=SLOW_START_SETTINGS)
    serve(checker, 400)  # each of ten warm servers gets 10 requests per second
    starting = replace(endpoints(10)[0], started_at=checker.now)
    checker.list_servers(starting)
    window_ms = 2000.0
    sends = count_slow_start_sends(checker, starting.name, 200, window_ms / 200, SAFE_INDEX)
    capacity = 10.0 / 1000.0 * (0.2 + 0.8 * window_ms / 20_000.0) * window_ms
    assert 0 < sends <= 3.0 * capacity


def test_a_request_is_rejected_when_slow_start_admits_no_server() -> None:
    checker = make_checker(*endpoints(10), settings=SLOW_START_SETTINGS)
    serve(checker, 400)
    checker.list_servers(replace(endpoints(10)[0], started_at=checker.now))
    for number in range(100):
        checker.request(f"r{number}", UNSAFE_INDEX)
    assert sum(isinstance(action, api.Reject) for action in checker.log) > 50


def count_sends_in_slow_start(*leases: api.SlowStartLeaseGranted) -> int:
    """Return the sends to a server in slow start within 0.1 s, while the warm one is busy."""
    checker = RuleChecker(replace(SETTINGS, slow_start_initial_share=0.2, warm_up_ms=60_000.0), 1)
    checker.list_servers(*endpoints(2))
    count_sends(checker, 200)
    starting = replace(endpoints(1)[0], started_at=checker.now)
    checker.list_servers(starting, endpoints(2)[1])
    for number in range(6):
        checker.request(f"busy{number}", UNSAFE_INDEX)
    for lease in leases:
        checker.feed(replace(lease, started_at=lease.started_at or starting.started_at))
    return count_sends(checker, 60, 1.0)["s0"]


def test_a_slow_start_lease_admits_more_requests_for_its_duration_and_start() -> None:
    alone = count_sends_in_slow_start()
    assert count_sends_in_slow_start(api.SlowStartLeaseGranted("s0", 0.0, 20, 1000.0)) >= alone + 15
    assert count_sends_in_slow_start(api.SlowStartLeaseGranted("s0", 0.0, 20, 1000.0)) <= alone + 20
    assert (
        count_sends_in_slow_start(
            api.SlowStartLeaseGranted("s0", 1.0, 20, 1000.0),
            api.SlowStartLeaseGranted("s1", 0.0, 20, 1000.0),
            api.SlowStartLeaseGranted("nobody", 0.0, 9, 1000.0),
            api.SlowStartLeaseGranted("s0", 0.0, -5, 1000.0),
            api.SlowStartLeaseGranted("s0", 0.0, 20, 0.0),
        )
        == alone
    )


@pytest.mark.parametrize(("blame", "is_in_slow_start"), [(1.0, True), (0.5, False)])
def test_a_server_that_answers_after_a_refused_connection_is_in_slow_start(
    blame: float, is_in_slow_start: bool
) -> None:
    """The endpoint list is outdated and doesn't show the restart."""
    checker = make_checker(*endpoints(10), settings=SLOW_START_SETTINGS)
    first_servers(checker, 0, 300, 0, "")
    while sent_to(checker.request(name := f"c{len(checker.requests)}"))[0] != "s0":
        checker.end_attempt(name, 0, Outcome.OK)
    checker.end_attempt(name, 0, Outcome.CONNECT_FAILED, blame=blame)
    checker.advance(5_000.0)
    first_servers(checker, 400, 20, 0, "")  # s0 answers one of them
    after = first_servers(checker, 500, 100, 0, "").count("s0")
    assert (after <= 6) is is_in_slow_start  # 10 without slow start
