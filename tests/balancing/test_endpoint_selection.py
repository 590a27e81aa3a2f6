"""Selection of the endpoint of a request: weights, subsets, state and requests in flight."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from cometdoor.balancing import api
from cometdoor.balancing.api import EndpointListKind, EndpointState, Outcome
from tests.balancing.drivers import (
    KEYED_INDEX,
    UNSAFE_INDEX,
    make_checker,
    sent_to,
    serve,
)
from tests.balancing.harness import SETTINGS, RuleChecker, endpoints


def test_requests_are_distributed_by_the_weights_of_the_list() -> None:
    weights = {"a": 5.0, "b": 3.0, "c": 1.0, "d": 1.0}
    checker = make_checker(*(api.Endpoint(name, weight) for name, weight in weights.items()))
    sends = serve(checker, 300)
    assert all(abs(sends[name] - 30 * weight) <= 2 for name, weight in weights.items())


def test_weighted_rotation_is_smooth() -> None:
    checker = make_checker(api.Endpoint("a", 2.0), api.Endpoint("b"), api.Endpoint("c"))
    rounds = []
    for number in range(24):
        (server,) = sent_to(checker.request(f"r{number}", UNSAFE_INDEX))
        checker.advance(10.0)
        checker.end_attempt(f"r{number}", 0, Outcome.OK)
        rounds.append(server)
    assert all(Counter(rounds[i : i + 4])["a"] == 2 for i in range(0, 24, 4))


def test_balancers_start_their_rotation_at_different_servers() -> None:
    firsts = {sent_to(make_checker(*endpoints(6), seed=seed).request("r"))[0] for seed in range(30)}
    assert len(firsts) == 6


def test_subsets_of_many_balancers_load_all_servers_evenly() -> None:
    servers = tuple(replace(server, weight=1.0 + i % 3) for i, server in enumerate(endpoints(60)))
    load: Counter[str] = Counter()
    for position in range(80):
        settings = replace(SETTINGS, balancers=80, position=position)
        sends = serve(make_checker(*servers, settings=settings, seed=position), 60)
        assert len(sends) < 30
        load.update(sends)
    per_weight = [load[server.name] / server.weight for server in servers]
    assert max(per_weight) < 1.6 * min(per_weight)


def test_a_draining_server_gets_no_requests_until_it_is_ready_again() -> None:
    checker = make_checker(*endpoints(3))
    checker.list_servers(replace(endpoints(3)[1], state=EndpointState.DRAINING), kind=EndpointListKind.DELTA)
    assert serve(checker, 30).keys() == {"s0", "s2"}
    checker.list_servers(endpoints(3)[1], kind=EndpointListKind.DELTA)
    assert "s1" in serve(checker, 12, tag="q")


def test_a_server_that_returns_as_draining_gets_no_requests() -> None:
    checker = make_checker(*endpoints(3))
    checker.list_servers(*endpoints(2))
    checker.list_servers(replace(endpoints(3)[2], state=EndpointState.DRAINING), kind=EndpointListKind.DELTA)
    assert serve(checker, 20).keys() == {"s0", "s1"}


def test_without_servers_a_request_is_rejected_immediately() -> None:
    assert [type(action) for action in RuleChecker().request("r")] == [api.Reject]


def test_a_server_with_many_requests_in_flight_is_skipped() -> None:
    """A paused server is recognized by its requests in flight, long before they end."""
    checker = make_checker(*endpoints(4))
    sends: Counter[str] = Counter()
    for number in range(80):
        (server,) = sent_to(checker.request(f"r{number}", UNSAFE_INDEX))
        sends[server] += 1
        if server != "s2":
            checker.end_attempt(f"r{number}", 0, Outcome.OK)
    assert sends["s2"] <= 4


def test_a_keyed_request_is_sent_although_all_servers_of_its_cell_are_overloaded() -> None:
    """Regression: the selection of a server did not terminate."""
    checker = make_checker(*endpoints(9))
    for number in range(60):
        checker.request(f"r{number}", KEYED_INDEX)
    assert sum(len(sent_to(checker.end_attempt(f"r{n}", 0, Outcome.ERROR))) for n in range(5)) > 0


def test_removed_servers_and_finished_requests_leave_no_state() -> None:
    """Regression: over weeks of deployments, every server that ever existed left an entry."""
    checker = make_checker(*endpoints(2))
    for number in range(300):
        checker.list_servers(api.Endpoint(f"new{number}"), api.Endpoint(f"new{number + 1}"))
        for class_index in range(4):
            checker.request(f"r{number}-{class_index}", class_index)
        checker.advance(3100.0)
    balancer = checker.balancer
    assert len(balancer._selection.endpoints) == 2
    assert len(balancer._requests) == 0
    assert len(balancer._selection.rotation) < 20
    assert len(balancer._timers) == 0
    assert not balancer._admission.queues


def test_replaced_backends_leave_no_rotation_entries() -> None:
    """Regression: turns of small or failing servers are far ahead, and their entries were never removed."""
    checker = RuleChecker()
    for generation in range(300):
        checker.list_servers(
            *(
                replace(entry, name=f"r{generation}-{entry.name}", weight=1.0 if index else 0.01)
                for index, entry in enumerate(endpoints(4))
            )
        )
        for index in range(4):
            name = f"q{generation}-{index}"
            checker.request(name)
            checker.end_attempt(name, 0, Outcome.ERROR if index % 2 else Outcome.OK)
            checker.disconnect(name)
            for attempt in checker.requests[name].outstanding():
                checker.end_attempt(name, attempt, Outcome.CANCELLED)
        checker.advance(20_000.0)
    balancer = checker.balancer
    assert len(balancer._selection.endpoints) == 4
    assert len(balancer._selection.rotation) <= 12
    assert not balancer._requests and len(balancer._timers) <= 1
