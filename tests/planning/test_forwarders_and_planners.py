"""Forwarders and planners in virtual time, over a network that loses, duplicates and reorders messages."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

import pytest

from cometdoor.balancing import api
from cometdoor.balancing.api import Endpoint, Outcome
from cometdoor.planning.capacity_leasing import LEASED_BUDGET_SHARE, SlowStartRules
from cometdoor.planning.forwarder import Forwarder, start_number_of
from cometdoor.planning.health_verdicts import HealthState
from cometdoor.planning.load_reports import first_report_delay_ms, next_report_delay_ms, server_id
from cometdoor.planning.planner import Planner
from cometdoor.planning.sealed_messages import KeyRing, MessageKind, SecureChannel
from simulation.virtual_network import VirtualClock

KEYS = KeyRing({1: b"k" * 32}, 1)
RULES = SlowStartRules(slow_start_initial_share=0.3, overload_factor=3.0, overload_tolerance_ms=2000.0)
WARM_UP_MS = 8000.0
CALL_INTERVAL_MS = 20.0  # between two calls of each forwarder
EPOCH_MS = 1.7e12


class Fleet:
    """Forwarders that send at random, by the weight that advice leaves each server."""

    def __init__(
        self,
        seed: int,
        *,
        forwarders: int = 12,
        planners: int = 3,
        servers: int = 10,
        loss: float = 0.1,
        mean_delay_ms: float = 50.0,
    ) -> None:
        self.random = Random(seed)
        self.clock = VirtualClock()
        self.planners = planners
        self.loss, self.mean_delay_ms = loss, mean_delay_ms
        self.servers = [Endpoint(f"s{number}") for number in range(servers)]
        self.unhealthy: set[str] = set()
        self.live_planners = set(range(planners))
        self.weight_shares: list[dict[str, float]] = [{} for _ in range(forwarders)]
        self.sent: Counter[str] = Counter()
        self.events: list[tuple[float, api.Event]] = []
        self.planners_by_number = {number: self.planner(number) for number in range(planners)}
        self.forwarders = [self.forwarder(number) for number in range(forwarders)]
        for number in range(forwarders):
            self.clock.after(first_report_delay_ms(self.random), partial(self.send_reports, number))
            self.clock.after(self.random.uniform(0.0, CALL_INTERVAL_MS), partial(self.call, number))

    def planner(self, number: int) -> Planner:
        channel = SecureChannel(
            KEYS, number, self.random.getrandbits(31) + 1, 100, frozenset({MessageKind.REPORT})
        )
        return Planner(channel, RULES, WARM_UP_MS, self.planners, self.clock.now_ms())

    def forwarder(self, number: int) -> Forwarder:
        channel = SecureChannel(
            KEYS,
            number,
            self.random.getrandbits(31) + 1,
            self.planners,
            frozenset({MessageKind.ADVICE, MessageKind.LEASE}),
        )
        new_forwarder = Forwarder(channel, self.planners, WARM_UP_MS, EPOCH_MS)
        new_forwarder.update_servers(self.servers)
        return new_forwarder

    def transmit(self, call: Callable[[], None]) -> None:
        for _ in range(self.random.choice([1, 1, 1, 2])):
            if self.random.random() >= self.loss:
                self.clock.after(self.random.expovariate(1.0 / self.mean_delay_ms), call)

    def send_reports(self, number: int) -> None:
        for planner, datagram in self.forwarders[number].make_reports(self.clock.now_ms()):
            self.transmit(partial(self.deliver_to_planner, planner, datagram))
        self.apply_events(number, self.forwarders[number].poll_advice(self.clock.now_ms()))
        self.clock.after(next_report_delay_ms(self.random), lambda: self.send_reports(number))

    def deliver_to_planner(self, planner: int, datagram: bytes) -> None:
        if planner in self.live_planners:
            for number, answer in self.planners_by_number[planner].on_datagram(datagram, self.clock.now_ms()):
                self.transmit(partial(self.deliver_to_forwarder, number, answer))

    def deliver_to_forwarder(self, number: int, datagram: bytes) -> None:
        self.apply_events(number, self.forwarders[number].on_datagram(datagram, self.clock.now_ms()))

    def apply_events(self, number: int, events: Iterable[api.Event]) -> None:
        for event in events:
            self.events.append((self.clock.now_ms(), event))
            if isinstance(event, api.AdviceReceived):
                self.weight_shares[number] = dict(event.weight_shares)

    def call(self, number: int) -> None:
        weights = [self.weight_shares[number].get(server.name, 1.0) for server in self.servers]
        server = self.random.choices(self.servers, weights)[0].name
        self.sent[server] += 1
        attempt = (f"{number}-{self.sent.total()}", 0)
        self.forwarders[number].on_attempt_sent(server, attempt, 100.0, self.clock.now_ms())
        latency_ms = 1000.0 if server in self.unhealthy else self.random.uniform(5.0, 30.0)
        outcome = Outcome.TIMEOUT if server in self.unhealthy else Outcome.OK
        self.clock.after(
            latency_ms,
            lambda: self.forwarders[number].on_attempt_ended(
                server, attempt, outcome, 100.0, self.clock.now_ms()
            ),
        )
        self.clock.after(CALL_INTERVAL_MS, lambda: self.call(number))

    def run(self, ms: float) -> None:
        self.clock.run(self.clock.now_ms() + ms)

    def avoided_by(self, server: str) -> int:
        return sum(server in weight_shares for weight_shares in self.weight_shares)


def test_an_unresponsive_server_soon_loses_weight_everywhere_and_regains_it_when_it_answers() -> None:
    fleet = Fleet(1)
    fleet.run(6000.0)
    assert not any(fleet.weight_shares)
    fleet.unhealthy.add("s3")
    fleet.run(3000.0)
    assert fleet.avoided_by("s3") == 12 and sum(map(len, fleet.weight_shares)) == 12
    verdict = fleet.planners_by_number[0].verdicts(fleet.clock.now_ms())[server_id("s3")]
    assert verdict.state in (HealthState.UNRESPONSIVE, HealthState.FAILING)
    fleet.unhealthy.clear()
    fleet.run(20_000.0)
    assert not any(fleet.weight_shares)


@pytest.mark.parametrize(("loss", "mean_delay_ms"), [(1.0, 1.0), (0.0, 10_000_000.0)])
def test_lost_or_late_messages_change_nothing(loss: float, mean_delay_ms: float) -> None:
    fleet = Fleet(2, loss=loss, mean_delay_ms=mean_delay_ms)
    fleet.unhealthy.add("s3")
    fleet.run(8000.0)
    assert fleet.events == []


def test_successive_restarts_of_stateless_planners_change_no_weight() -> None:
    fleet = Fleet(3)
    fleet.run(4000.0)
    fleet.unhealthy.add("s3")
    for number in (0, 1, 2):
        fleet.live_planners.discard(number)
        fleet.run(3000.0)
        assert fleet.avoided_by("s3") >= 11
        fleet.planners_by_number[number] = fleet.planner(number)
        fleet.live_planners.add(number)
        fleet.run(3000.0)
    fleet.live_planners.clear()
    fleet.run(15_000.0)
    assert not any(fleet.weight_shares)  # without planners there is no advice


@pytest.mark.parametrize("seed", range(8))
def test_leases_for_a_starting_server_stay_within_the_share_and_follow_traffic(seed: int) -> None:
    fleet = Fleet(seed, loss=0.3, mean_delay_ms=200.0)
    fleet.run(8000.0)
    for _ in range(3):  # restarts during slow start
        restarted = Endpoint("s5", started_at=fleet.clock.now_ms())
        fleet.servers[5] = restarted
        for forwarder_side in fleet.forwarders:
            forwarder_side.update_servers(fleet.servers)
        fleet.run(3000.0)
    leases = [(at, event) for at, event in fleet.events if isinstance(event, api.SlowStartLeaseGranted)]
    assert leases and {event.server for _, event in leases} == {"s5"}
    warm_rate = (
        12 / CALL_INTERVAL_MS / 10
    )  # of a warm server; nine share the traffic while one is in slow start
    allocation = (
        LEASED_BUDGET_SHARE * RULES.sends_per_window(warm_rate * 10 / 9) * 1.2
    )  # estimated from random traffic
    for at, _ in leases:
        leased = sum(event.sends for other, event in leases if at <= other < at + RULES.overload_tolerance_ms)
        assert leased <= allocation


def test_a_lease_for_another_start_is_not_accepted() -> None:
    fleet = Fleet(5, loss=0.0)
    fleet.run(8000.0)
    fleet.servers[5] = Endpoint("s5", started_at=fleet.clock.now_ms())
    for forwarder_side in fleet.forwarders[:6]:
        forwarder_side.update_servers(fleet.servers)  # the others don't have the new list yet
    fleet.run(2000.0)
    leased = [event for _, event in fleet.events if isinstance(event, api.SlowStartLeaseGranted)]
    assert leased and {event.started_at for event in leased} == {fleet.servers[5].started_at}


def test_start_numbers_agree_among_forwarders_with_different_clocks() -> None:
    """Each forwarder has the start on its own clock, converted from discovery's."""
    up_since = 1_764_583_000_123.0
    numbers = {
        start_number_of(Endpoint("s", started_at=up_since - ahead), ahead)
        for ahead in (1.764e12, 1.7644e12 + 0.123, 1.76e12 + 0.77)
    }
    assert len(numbers) == 1 and 1 <= numbers.pop() <= 65_535
    assert start_number_of(Endpoint("s"), 5.0) == 0
