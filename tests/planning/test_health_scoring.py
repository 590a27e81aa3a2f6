"""Which servers planners find unhealthy, and which not."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

import pytest

from cometdoor.planning import health_scoring, health_verdicts
from cometdoor.planning.health_records import MAX_OBSERVERS_PER_SERVER
from cometdoor.planning.health_scoring import RECORD_TTL_MS, VERDICT_TTL_MS, HealthModel
from cometdoor.planning.health_verdicts import MIN_WEIGHT_SHARE, HealthState
from cometdoor.planning.load_reports import LATENCY_STEPS_PER_DOUBLING, LoadReport, ServerReport, server_id

SERVERS = [server_id(f"s{number}") for number in range(10)]
EntryFactory = Callable[[int, int, int], ServerReport]  # forwarder, server, reporting interval


def healthy(forwarder: int, server: int, interval: int, start_number: int = 0) -> ServerReport:
    return ServerReport(SERVERS[server], start_number, 5, (0, 0, 0, 0, 0), -16, 1, 0)


def unresponsive(forwarder: int, server: int, interval: int) -> ServerReport:
    return ServerReport(SERVERS[server], 0, 0, (0, 0, 0, 0, 0), 0, 3, min(5 * interval, 127))


def failing(forwarder: int, server: int, interval: int) -> ServerReport:
    return ServerReport(SERVERS[server], 0, 1, (1, 3, 0, 0, 0), -16, 0, 0)


def slow(forwarder: int, server: int, interval: int) -> ServerReport:
    return ServerReport(SERVERS[server], 0, 5, (0, 0, 0, 0, 0), 0, 1, 1)


def rejecting(forwarder: int, server: int, interval: int) -> ServerReport:
    return ServerReport(SERVERS[server], 0, 5, (0, 0, 0, 9, 0), -16, 1, 0)


def health_model(
    make_entry: EntryFactory, forwarders: int = 6, intervals: int = 6, servers: int = 10
) -> HealthModel:
    model = HealthModel()
    for interval in range(1, intervals + 1):
        for number in range(forwarders):
            entries = [make_entry(number, server, interval) for server in range(servers)]
            model.on_report(
                number, LoadReport(interval, 50, 1000, servers, entries), 500.0 * interval + number
            )
    return model


def states(model: HealthModel, now: float = 3010.0) -> dict[int, HealthState]:
    return {SERVERS.index(name): verdict.state for name, verdict in model.assess(now).items()}


def only_for_server(server: int, unhealthy_entry: EntryFactory) -> EntryFactory:
    return lambda number, index, interval: (unhealthy_entry if index == server else healthy)(
        number, index, interval
    )


def test_no_server_is_reported_where_all_are_healthy() -> None:
    assert states(health_model(healthy)) == {}


@pytest.mark.parametrize(
    ("unhealthy_entry", "state"),
    [(unresponsive, HealthState.UNRESPONSIVE), (failing, HealthState.FAILING), (slow, HealthState.SLOW)],
)
def test_an_unhealthy_server_is_reported_with_its_state(
    unhealthy_entry: EntryFactory, state: HealthState
) -> None:
    verdicts = health_model(only_for_server(3, unhealthy_entry)).assess(3010.0)
    assert {SERVERS.index(name): verdict.state for name, verdict in verdicts.items()} == {3: state}
    (verdict,) = verdicts.values()
    assert MIN_WEIGHT_SHARE <= verdict.weight_share < 0.5 and verdict.agreeing == verdict.observers == 6


def test_an_unresponsive_server_is_reported_within_two_reporting_intervals() -> None:
    assert states(health_model(only_for_server(3, unresponsive), intervals=2), 1010.0) == {
        3: HealthState.UNRESPONSIVE
    }


def test_a_server_that_rejects_at_its_capacity_is_not_unhealthy() -> None:
    assert states(health_model(only_for_server(3, rejecting))) == {}


@pytest.mark.parametrize("unhealthy_entry", [unresponsive, failing, slow])
def test_a_fault_that_all_servers_share_is_reported_for_none(unhealthy_entry: EntryFactory) -> None:
    assert states(health_model(unhealthy_entry)) == {}


def test_a_growing_shared_slowdown_is_reported_for_no_server() -> None:
    random = Random(3)

    def slowing_down(number: int, server: int, interval: int) -> ServerReport:
        return ServerReport(
            SERVERS[server], 0, 5, (0, 0, 0, 0, 0), -16 + 4 * interval + random.randint(-3, 3), 1, 1
        )

    assert states(health_model(slowing_down)) == {}


@pytest.mark.parametrize("unhealthy_entry", [unresponsive, failing, slow])
def test_a_bad_network_path_of_one_forwarder_is_reported_for_no_server(unhealthy_entry: EntryFactory) -> None:
    def make_entry(number: int, server: int, interval: int) -> ServerReport:
        return (unhealthy_entry if number == 2 else healthy)(number, server, interval)

    assert states(health_model(make_entry)) == {}


def test_one_forwarder_with_a_bad_network_path_does_not_hide_an_unhealthy_server() -> None:
    def make_entry(number: int, server: int, interval: int) -> ServerReport:
        return (failing if number == 2 or server == 5 else healthy)(number, server, interval)

    assert states(health_model(make_entry)) == {5: HealthState.FAILING}


def test_one_observer_among_several_is_not_enough_and_a_single_one_is() -> None:
    def make_entry(number: int, server: int, interval: int) -> ServerReport:
        return (failing if number == 2 and server == 5 else healthy)(number, server, interval)

    assert states(health_model(make_entry)) == {}
    assert states(health_model(only_for_server(5, failing), forwarders=1)) == {5: HealthState.FAILING}


def test_invalid_values_of_one_forwarder_change_no_verdict_and_hardly_the_rate() -> None:
    def make_entry(number: int, server: int, interval: int) -> ServerReport:
        if number == 2:
            return ServerReport(SERVERS[server], 0, 127, (127, 127, 127, 127, 127), 127, 127, 127)
        return healthy(number, server, interval)

    model = health_model(make_entry)
    assert states(model) == {}
    assert model.warm_rate() == pytest.approx(6 * 0.001)
    model.on_report(2, LoadReport(9, 10**9, 10**12, 10, []), 3010.0)
    assert model.warm_rate() == pytest.approx(7 * 0.001)


def test_a_server_that_recovered_or_restarted_is_healthy_again() -> None:
    model = health_model(only_for_server(3, failing))
    assert states(model) == {3: HealthState.FAILING}
    for number in range(6):
        model.on_report(number, LoadReport(9, 0, 0, 10, [healthy(number, 3, 9, start_number=7)]), 3020.0)
    assert states(model, 3030.0) == {}


def test_old_records_expire() -> None:
    model = health_model(only_for_server(3, failing))
    assert model.forwarder_count() == 6
    model.forget_old(3010.0 + RECORD_TTL_MS)
    assert model.forwarder_count() == 0 and states(model, 3010.0 + RECORD_TTL_MS) == {}
    assert not model._servers


def test_memory_is_bounded_by_servers_and_observers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(health_scoring, "MAX_SERVERS", 4)
    model = health_model(healthy, forwarders=40)
    assert len(model._servers) == 4
    assert max(len(server.observers) for server in model._servers.values()) <= MAX_OBSERVERS_PER_SERVER


def cancelled_late(forwarder: int, server: int, interval: int) -> ServerReport:
    """Hedges are answered before any attempt times out."""
    return ServerReport(SERVERS[server], 0, 0, (0, 0, 0, 0, 2), 0, 0, 0)


def test_a_server_whose_calls_are_all_cancelled_late_is_unresponsive() -> None:
    assert states(health_model(only_for_server(3, cancelled_late))) == {3: HealthState.UNRESPONSIVE}


def test_a_server_whose_calls_are_sometimes_cancelled_late_is_healthy() -> None:
    def make_entry(number: int, server: int, interval: int) -> ServerReport:
        return ServerReport(SERVERS[server], 0, 5, (0, 0, 0, 0, int((number + interval) % 3 == 0)), -16, 1, 0)

    assert states(health_model(only_for_server(3, make_entry))) == {}


def unused(forwarder: int, server: int, interval: int) -> ServerReport:
    return ServerReport(SERVERS[server], 0, 0, (0, 0, 0, 0, 0), 0, 0, 0)


def continue_reports(model: HealthModel, make_entry: EntryFactory, intervals: range) -> None:
    for interval in intervals:
        for number in range(6):
            entries = [make_entry(number, server, interval) for server in range(10)]
            model.on_report(number, LoadReport(interval, 50, 1000, 10, entries), 500.0 * interval + number)


def test_a_verdict_stands_for_a_time_without_traffic() -> None:
    model = health_model(only_for_server(3, unresponsive))
    assert states(model) == {3: HealthState.UNRESPONSIVE}
    continue_reports(model, only_for_server(3, unused), range(7, 22))
    assert states(model, 10_510.0) == {3: HealthState.UNRESPONSIVE}
    continue_reports(model, only_for_server(3, unused), range(22, 30))
    assert states(model, 3010.0 + VERDICT_TTL_MS + 10.0) == {}


def test_a_verdict_ends_with_the_first_answers() -> None:
    model = health_model(only_for_server(3, unresponsive))
    assert states(model) == {3: HealthState.UNRESPONSIVE}
    continue_reports(model, only_for_server(3, unused), range(7, 16))
    continue_reports(model, healthy, range(16, 17))
    assert states(model, 8510.0) == {}


def test_a_verdict_on_a_server_does_not_outlive_its_start() -> None:
    model = health_model(only_for_server(3, unresponsive))
    assert states(model) == {3: HealthState.UNRESPONSIVE}
    continue_reports(
        model,
        only_for_server(3, lambda number, server, interval: healthy(number, server, interval, 77)),
        range(7, 8),
    )
    assert states(model, 3510.0) == {}


def count_false_verdicts(fleets: int) -> int:
    """Return how many healthy servers are found unhealthy in these fleets.

    There are few calls with exponential times, one in 30 of them overtaken by its hedge.
    """
    false_verdicts = 0
    for seed in range(fleets):
        random = Random(seed)

        def make_entry(number: int, server: int, interval: int, random: Random = random) -> ServerReport:
            calls = random.randrange(4)
            cancelled = sum(random.random() < 1 / 30 for _ in range(calls))
            log2_latencies = [math.log2(random.expovariate(1.0)) for _ in range(calls - cancelled)]
            log2_latency = (
                round(LATENCY_STEPS_PER_DOUBLING * sum(log2_latencies) / len(log2_latencies))
                if log2_latencies
                else 0
            )
            return ServerReport(
                SERVERS[server], 0, len(log2_latencies), (0, 0, 0, 0, cancelled), log2_latency, 0, 0
            )

        model = HealthModel()
        for interval in range(1, 9):
            for number in range(6):
                entries = [make_entry(number, server, interval) for server in range(10)]
                model.on_report(
                    number, LoadReport(interval, 50, 1000, 10, entries), 500.0 * interval + number
                )
            false_verdicts += len(model.assess(500.0 * interval + 10.0))
    return false_verdicts


def test_no_server_is_reported_by_chance(monkeypatch: pytest.MonkeyPatch) -> None:
    assert count_false_verdicts(300) == 0
    monkeypatch.setattr(health_verdicts, "SIGNIFICANCE_SIGMAS", 0.0)
    assert count_false_verdicts(300) > 0


def test_a_server_that_still_answers_some_forwarder_is_not_unresponsive() -> None:
    """Two calls of two forwarders are very late there: its work is heavy, or it has a queue."""

    def make_entry(number: int, server: int, interval: int) -> ServerReport:
        return (unresponsive if server == 3 and number < 2 else healthy)(number, server, interval)

    assert states(health_model(make_entry)) == {}


def test_no_server_is_unresponsive_where_answers_are_rare() -> None:
    """The median server gives two answers an interval: in 1.5 s this one missed five, in 1 s it had not."""

    def rarely_answering(number: int, server: int, interval: int) -> ServerReport:
        if server == 3:
            return unresponsive(number, server, interval)
        return ServerReport(SERVERS[server], 0, int(number < 2), (0, 0, 0, 0, 0), -16, 1, 0)

    assert states(health_model(rarely_answering, intervals=2), 1010.0) == {}
    assert states(health_model(rarely_answering, intervals=8), 4010.0) == {3: HealthState.UNRESPONSIVE}


@pytest.mark.parametrize("garbage", [0, 10**6])
def test_subset_scale_follows_traffic_and_invalid_values_change_it_by_at_most_half(garbage: int) -> None:
    model = HealthModel()
    for interval in range(1, 40):
        for number in range(11):
            sends = garbage if number == 10 else 40 if number == 0 else 5
            model.on_report(number, LoadReport(interval, sends, 0, 10, []), 500.0 * interval)
    model.update_traffic_baseline()
    first, *others = [model.subset_scale(number) for number in range(10)]
    assert others == [1.0] * 9
    assert first == pytest.approx(40 * 11 / (170 if garbage else 85), rel=0.01)
    assert model.subset_scale(77) is None


def test_subset_scale_is_unknown_before_enough_calls_are_counted() -> None:
    model = HealthModel()
    for interval in range(1, 4):
        model.on_report(0, LoadReport(interval, 9, 0, 10, []), 500.0 * interval)
        model.on_report(1, LoadReport(interval, 1, 0, 10, []), 500.0 * interval)
    model.update_traffic_baseline()
    assert model.subset_scale(0) is None and model.subset_scale(1) is None
