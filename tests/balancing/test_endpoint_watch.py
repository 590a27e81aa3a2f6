"""Renewal of the watch on endpoint lists."""

from __future__ import annotations

from dataclasses import replace

from cometdoor.balancing import api
from cometdoor.balancing.api import EndpointListKind
from tests.balancing.harness import SETTINGS, RuleChecker, endpoints


def test_the_endpoint_watch_is_renewed_in_time_after_each_failure() -> None:
    settings = replace(SETTINGS, must_watch=True, max_refresh_ms=8000.0)
    waits = set()
    for seed in range(20):
        checker = RuleChecker(settings, seed)
        checker.list_servers(*endpoints(3), kind=EndpointListKind.CACHED)
        for _ in range(5):
            ((at, _token),) = checker.timers
            waits.add(at - checker.now)
            before = len(checker.log)
            checker.advance(at - checker.now)
            assert checker.log[before:] == [api.WatchEndpoints()]
            checker.list_servers(kind=EndpointListKind.FAILED)
    assert len(waits) > 50
    assert max(waits) < settings.max_refresh_ms / 2


def test_simultaneous_watch_failures_cause_a_single_new_watch() -> None:
    """A watch that fails repeatedly must not multiply the calls to a slow discovery."""
    checker = RuleChecker(replace(SETTINGS, must_watch=True))
    checker.list_servers(*endpoints(3), kind=EndpointListKind.CACHED)
    for _ in range(5):
        checker.list_servers(kind=EndpointListKind.FAILED)
    assert len(checker.timers) == 1


def test_a_repeatedly_failing_discovery_is_retried_soon() -> None:
    """Incident rac2dfd: a backoff that grew to 5 s after failed calls violated the rule on drains.

    A change counts as notified after 6 s; a silent watch and two failed calls must fit into that time.
    """
    for seed in range(30):
        checker = RuleChecker(replace(SETTINGS, must_watch=True, max_refresh_ms=10_000.0), seed)
        checker.list_servers(*endpoints(3), kind=EndpointListKind.CACHED)
        for _ in range(5):
            checker.advance(5_000.0)
            pauses = [
                action.after_ms
                for action in checker.list_servers(kind=EndpointListKind.FAILED)
                if isinstance(action, api.SetTimer)
            ]
            assert len(pauses) == 1 and pauses[0] <= 1_200.0
