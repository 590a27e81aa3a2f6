"""Helpers: rule checkers with given endpoints, and sequences of requests sent through them."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from cometdoor.balancing import api, attempts
from cometdoor.balancing.api import Outcome
from tests.balancing.harness import SAFE, SETTINGS, RuleChecker

SAFE_INDEX, KEYED_INDEX, KEYED_ALL_INDEX, UNSAFE_INDEX = range(4)


HEDGE_DELAY_MS = SAFE.latency_target_ms * attempts.HEDGE_DELAY_SHARE


SLOW_START_SETTINGS = replace(
    SETTINGS,
    slow_start_initial_share=0.2,
    warm_up_ms=20_000.0,
    overload_factor=3.0,
    overload_tolerance_ms=2000.0,
)


def make_checker(*entries: api.Endpoint, settings: api.Settings = SETTINGS, seed: int = 1) -> RuleChecker:
    checker = RuleChecker(settings, seed)
    checker.list_servers(*entries)
    return checker


def sent_to(actions: list[api.Action]) -> list[str]:
    return [action.server for action in actions if isinstance(action, api.Send)]


def serve(
    checker: RuleChecker,
    count: int,
    latencies: dict[str, float] | None = None,
    failing: frozenset[str] = frozenset(),
    tag: str = "r",
) -> Counter[str]:
    """Send requests one after another, each answered after its server's latency; return sends by server."""
    sends: Counter[str] = Counter()
    for number in range(count):
        name = f"{tag}{number}"
        (server,) = sent_to(checker.request(name, UNSAFE_INDEX))
        sends[server] += 1
        checker.advance((latencies or {}).get(server, 10.0))
        checker.end_attempt(name, 0, Outcome.ERROR if server in failing else Outcome.OK)
    return sends


def count_sends(checker: RuleChecker, count: int, interval_ms: float = 5.0) -> Counter[str]:
    """Send requests, each answered before the next, and return sends by server."""
    sends: Counter[str] = Counter()
    for _ in range(count):
        name = f"t{len(checker.requests)}"
        (server,) = sent_to(checker.request(name, UNSAFE_INDEX))
        sends[server] += 1
        checker.advance(interval_ms)
        checker.end_attempt(name, 0, Outcome.OK)
    return sends


def first_servers(checker: RuleChecker, first: int, count: int, index: int, unhealthy: str) -> list[str]:
    """Return the first server of each request; attempts at the unhealthy server fail, all others succeed."""
    servers = []
    for number in range(first, first + count):
        checker.advance(40.0)
        name = f"x{number}"
        if not checker.request(name, index):
            continue
        servers.append(checker.requests[name].sent[0].server.name)
        while outstanding := checker.requests[name].outstanding():
            server = checker.requests[name].sent[outstanding[0]].server.name
            checker.end_attempt(name, outstanding[0], Outcome.ERROR if server == unhealthy else Outcome.OK)
    return servers
