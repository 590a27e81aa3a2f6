"""Weights of slow, failing and unresponsive endpoints, ejection, and connection backoff."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

from cometdoor.balancing import constants
from cometdoor.balancing.api import EndpointListKind, Outcome
from cometdoor.balancing.outlier_detection import BASE_EJECTION_MS
from tests.balancing.drivers import (
    HEDGE_DELAY_MS,
    UNSAFE_INDEX,
    first_servers,
    make_checker,
    sent_to,
    serve,
)
from tests.balancing.harness import endpoints


def test_a_slow_server_loses_weight_and_regains_it() -> None:
    """Listed weights may not reflect speed: slow servers had queues while fast ones were idle."""
    checker = make_checker(*endpoints(6))
    latencies = {f"s{i}": 10.0 for i in range(6)} | {"s3": 100.0}
    serve(checker, 120, latencies)
    assert serve(checker, 120, latencies, tag="b")["s3"] <= 10
    checker.advance(5 * constants.DECAY_MS)
    serve(checker, 120, tag="c")
    assert serve(checker, 120, tag="d")["s3"] >= 15


def test_a_failing_server_loses_weight_although_it_answers_fast() -> None:
    checker = make_checker(*endpoints(6))
    latencies = {"s3": 1.0}
    serve(checker, 60, latencies, frozenset({"s3"}))
    assert serve(checker, 120, latencies, frozenset({"s3"}), tag="b")["s3"] <= 6


def test_no_server_is_avoided_when_all_fail_equally() -> None:
    """A dependency is down: every server here answers with errors."""
    checker = make_checker(*endpoints(6))
    sends = serve(checker, 120, failing=frozenset(f"s{i}" for i in range(6)))
    assert min(sends.values()) >= 15


def test_an_unresponsive_server_loses_weight_before_its_requests_time_out() -> None:
    """Incident i6b4860: hung servers kept a third of their share, for unsafe requests until the deadline."""
    checker = make_checker(*endpoints(6))
    serve(checker, 60)
    (server,) = sent_to(checker.request("r", UNSAFE_INDEX))
    weight = {
        name: checker.balancer._selection.effective_weight(endpoint, checker.now)
        for name, endpoint in checker.balancer._selection.endpoints.items()
    }
    checker.advance(HEDGE_DELAY_MS + 1)
    for name, endpoint in checker.balancer._selection.endpoints.items():
        remaining_weight = checker.balancer._selection.effective_weight(endpoint, checker.now) / weight[name]
        assert (remaining_weight < 0.8) is (name == server)


def test_a_restarted_server_loses_its_failure_history() -> None:
    checker = make_checker(*endpoints(4))
    serve(checker, 80, failing=frozenset({"s1"}))
    assert serve(checker, 40, failing=frozenset({"s1"}), tag="b")["s1"] <= 3
    checker.list_servers(replace(endpoints(4)[1], started_at=checker.now), kind=EndpointListKind.DELTA)
    assert serve(checker, 40, tag="c")["s1"] >= 7


def test_an_ejected_server_gets_only_safe_requests_as_trials() -> None:
    checker = make_checker(*endpoints(4))
    first_servers(checker, 0, 200, 0, "s0")
    assert checker.balancer.ejected_endpoints() == ["s0"]
    safe = first_servers(checker, 200, 300, 0, "s0")  # 12 s
    assert 1 <= safe.count("s0") <= 12 * 1000 / BASE_EJECTION_MS
    assert "s0" not in first_servers(checker, 500, 100, UNSAFE_INDEX, "s0")
    assert "s0" not in first_servers(checker, 600, 100, 1, "s0")


def test_unsafe_requests_avoid_a_server_after_one_failure_and_return() -> None:
    checker = make_checker(*endpoints(4))
    first_servers(checker, 0, 40, 0, "")
    while sent_to(checker.request(name := f"f{len(checker.requests)}"))[0] != "s0":
        checker.end_attempt(name, 0, Outcome.OK)
    checker.end_attempt(name, 0, Outcome.TIMEOUT)
    assert "s0" not in first_servers(checker, 100, 12, UNSAFE_INDEX, "")
    first_servers(checker, 200, 60, 0, "")
    assert "s0" in first_servers(checker, 300, 12, UNSAFE_INDEX, "")


def test_all_servers_are_used_when_all_fail() -> None:
    checker = make_checker(*endpoints(4))
    for number in range(60):
        checker.advance(50.0)
        if checker.request(f"a{number}", UNSAFE_INDEX):
            checker.end_attempt(f"a{number}", 0, Outcome.RESET)
    assert not checker.balancer.ejected_endpoints()
    assert len(set(first_servers(checker, 100, 40, 0, ""))) == 4
    checker.advance(30_000.0)
    assert len(set(first_servers(checker, 200, 40, UNSAFE_INDEX, ""))) == 4


def test_the_backoff_of_a_server_that_refuses_connections_grows() -> None:
    checker = make_checker(*endpoints(4))
    attempted_at: list[float] = []
    start = checker.now
    for number in range(1500):
        (server,) = sent_to(checker.request(f"r{number}", UNSAFE_INDEX))
        if server == "s0":
            attempted_at.append(checker.now - start)
            (server,) = sent_to(checker.end_attempt(f"r{number}", 0, Outcome.CONNECT_FAILED))
        assert server != "s0"
        checker.end_attempt(f"r{number}", len(checker.requests[f"r{number}"].sent) - 1, Outcome.OK)
        checker.advance(10.0)
    pauses = [after - before for before, after in pairwise(attempted_at)]
    assert len(pauses) >= 4
    for pause, min_pause_ms in zip(pauses, [1000.0, 2000.0, 4000.0, 4000.0], strict=False):
        assert min_pause_ms <= pause < min_pause_ms + 2500.0


def test_connection_backoff_ends_with_a_response_or_a_restart() -> None:
    checker = make_checker(*endpoints(2))
    for name in ("a", "b", "c", "d"):
        checker.request(name, UNSAFE_INDEX)
    queued, failing = [
        name for name, request in checker.requests.items() if request.sent[0].server.name == "s0"
    ][:2]
    checker.end_attempt(failing, 0, Outcome.CONNECT_FAILED)
    assert "s0" not in serve(checker, 10, tag="while")
    checker.end_attempt(queued, 0, Outcome.OK)
    assert "s0" in serve(checker, 10, tag="after")
    checker.request("e", UNSAFE_INDEX)
    checker.request("f", UNSAFE_INDEX)
    refused = next(name for name in ("e", "f") if checker.requests[name].sent[0].server.name == "s0")
    checker.end_attempt(refused, 0, Outcome.CONNECT_FAILED)
    assert "s0" not in serve(checker, 10, tag="again")
    checker.list_servers(replace(endpoints(2)[0], started_at=checker.now), kind=EndpointListKind.DELTA)
    assert "s0" in serve(checker, 10, tag="anew")


def test_a_server_is_tried_although_all_are_in_connection_backoff() -> None:
    checker = make_checker(*endpoints(2))
    checker.request("r", UNSAFE_INDEX)
    assert sent_to(checker.end_attempt("r", 0, Outcome.CONNECT_FAILED))
    checker.end_attempt("r", 1, Outcome.CONNECT_FAILED)
    assert sent_to(checker.request("s", UNSAFE_INDEX))
