"""Preference for endpoints of the local zone, and its limits."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from cometdoor.balancing import api, slow_start
from cometdoor.balancing.api import Outcome
from tests.balancing.drivers import (
    UNSAFE_INDEX,
    make_checker,
    sent_to,
    serve,
)
from tests.balancing.harness import SETTINGS, endpoints


def test_the_local_zone_is_preferred_only_if_cross_zone_traffic_has_a_price() -> None:
    free, priced = (
        serve(make_checker(*endpoints(8), settings=replace(SETTINGS, cross_zone_price=price)), 120)
        for price in (0.0, 0.1)
    )
    local = [server.name for server in endpoints(8) if server.zone == SETTINGS.zone]
    assert sum(free[name] for name in local) == pytest.approx(60, abs=4)
    assert sum(priced[name] for name in local) > 90


def test_the_preference_for_the_local_zone_ends_when_its_servers_are_overloaded() -> None:
    """Day liberia big-2: traffic moved to one zone, and that zone's balancers kept all of it there."""
    checker = make_checker(*endpoints(8), settings=replace(SETTINGS, cross_zone_price=0.1))
    local = {server.name: 30.0 for server in endpoints(8) if server.zone == SETTINGS.zone}
    serve(checker, 120, local)
    sends = serve(checker, 120, local, tag="b")
    assert sum(sends[name] for name in local) < 60
    for tag in "cde":
        sends = serve(checker, 400, tag=tag)
    assert sum(sends[name] for name in local) > 260


FOUR_ZONES = tuple(replace(server, zone=i % 4, cell=i % 4) for i, server in enumerate(endpoints(24)))


def test_a_single_server_of_the_local_zone_does_not_get_an_entire_burst() -> None:
    """Over sockets a zone had one server of a tier, which never counted as overloaded within its zone."""
    servers = FOUR_ZONES[:4]
    checker = make_checker(*servers, settings=replace(SETTINGS, cross_zone_price=0.015, tier=1, tiers=2))
    sends = Counter(sent_to(checker.request(f"r{number}", UNSAFE_INDEX))[0] for number in range(40))
    assert 10 <= sends["s0"] <= 21  # 16 to 20 with five seeds; 27 by the local preference alone


def share_in_local_zone(
    utilisation: dict[int, float], servers: tuple[api.Endpoint, ...] = FOUR_ZONES
) -> float:
    """Return the share of requests that stay in the local zone, zone 0, at these utilizations by zone."""
    checker = make_checker(*servers, settings=replace(SETTINGS, cross_zone_price=0.015, balancers=24))
    zones = {server.name: server.zone for server in servers}
    local = 0
    for number in range(900):
        (server,) = sent_to(checker.request(f"z{number}", UNSAFE_INDEX))
        checker.advance(20.0)
        checker.end_attempt(f"z{number}", 0, Outcome.OK, {"util": utilisation[zones[server]] + number * 1e-6})
        local += number >= 300 and zones[server] == 0
    return local / 600


def test_requests_stay_in_the_local_zone_while_its_servers_report_low_utilisation() -> None:
    """Crossing zones has a cost; with rings that mixed zones, 0.23 of the requests stayed, as by chance."""
    assert share_in_local_zone({0: 0.3, 1: 0.3, 2: 0.3, 3: 0.3}) > 0.95


def test_a_zone_that_reports_high_utilisation_gets_the_share_of_its_size() -> None:
    """Otherwise the servers of the zone that receives most traffic are overloaded while others are not."""
    assert share_in_local_zone({0: 0.95, 1: 0.5, 2: 0.5, 3: 0.5}) == pytest.approx(0.25, abs=0.06)


def test_at_moderate_utilisation_some_requests_cross_zones() -> None:
    assert 0.4 < share_in_local_zone({0: 0.68, 1: 0.5, 2: 0.5, 3: 0.5}) < 0.95


def test_requests_leave_a_smaller_zone_at_a_lower_utilisation() -> None:
    """One server has queues at a load that six can serve; over sockets its zone kept too much (0.78 of G)."""
    utilisation = dict.fromkeys(range(4), 0.5)
    assert share_in_local_zone(utilisation) > 0.9
    assert share_in_local_zone(utilisation, FOUR_ZONES[:4]) < 0.4


def test_invalid_load_reports_are_ignored() -> None:
    for load in (float("nan"), -1.0):
        assert share_in_local_zone(dict.fromkeys(range(4), load)) == share_in_local_zone(
            dict.fromkeys(range(4), -2.0)
        )


def test_other_zones_serve_as_soon_as_the_local_zone_is_removed() -> None:
    checker = make_checker(*FOUR_ZONES, settings=replace(SETTINGS, cross_zone_price=0.015, balancers=24))
    local = {server.name for server in FOUR_ZONES if server.zone == 0}
    assert local & serve(checker, 60).keys()
    checker.list_servers(*(server for server in FOUR_ZONES if server.name not in local))
    assert not local & serve(checker, 60, tag="b").keys()  # `serve` also fails if a request is rejected


def test_a_local_zone_in_slow_start_gets_its_reduced_share_and_other_zones_the_remainder() -> None:
    """Rule 4: the limit is based on the zone's own rate, as its warm servers served nearly all requests."""
    settings = replace(
        SETTINGS, cross_zone_price=0.015, balancers=24, slow_start_initial_share=0.1, warm_up_ms=20_000.0
    )
    checker = make_checker(*FOUR_ZONES, settings=settings)
    local = {server.name for server in FOUR_ZONES if server.zone == 0}
    before = serve(checker, 300)  # one in 10 ms, for 3 s
    checker.list_servers(
        *(
            replace(server, started_at=checker.now) if server.name in local else server
            for server in FOUR_ZONES
        )
    )
    after = serve(checker, 300, tag="b")
    local_sends = sum(before[name] for name in local)
    assert local_sends >= 200
    # The capacity share reaches 0.25 after 3 s, with a mean of 0.175; each server starts with one request.
    max_sends = local_sends * 0.175 * settings.overload_factor * slow_start.OVERLOAD_MARGIN + len(local)
    assert 0 < sum(after[name] for name in local) <= max_sends


@pytest.mark.parametrize("local_zone_is_starting", [True, False])
def test_slow_start_limits_a_server_whose_zone_has_no_measured_rate(local_zone_is_starting: bool) -> None:
    """Rule 4: the first server of an empty zone, or one of another zone when the local zone has none left."""
    settings = replace(
        SETTINGS, cross_zone_price=0.015, balancers=4, slow_start_initial_share=0.1, warm_up_ms=20_000.0
    )
    local = [server for server in FOUR_ZONES if server.zone == 0]
    remote = [server for server in FOUR_ZONES if server.zone]
    running, starting = (remote, local) if local_zone_is_starting else (local, remote)
    checker = make_checker(*running, settings=settings)
    before = serve(checker, 300)  # one in 10 ms, for 3 s
    starting_server, *_ = (replace(server, started_at=checker.now) for server in starting)
    running = running if local_zone_is_starting else running[:1]  # so few that other zones are needed
    checker.list_servers(starting_server, *running)
    after = serve(checker, 300, tag="b")
    max_sends = max(before.values()) * 0.175 * settings.overload_factor * slow_start.OVERLOAD_MARGIN
    assert after[starting_server.name] <= 2.0 + max_sends


def test_a_server_whose_zone_is_corrected_loses_the_local_preference() -> None:
    checker = make_checker(*FOUR_ZONES, settings=replace(SETTINGS, cross_zone_price=0.015, balancers=1))
    local = next(server.name for server in FOUR_ZONES if server.zone == 0)
    before = serve(checker, 240)[local]
    checker.list_servers(
        *(replace(server, zone=1) if server.name == local else server for server in FOUR_ZONES)
    )
    assert serve(checker, 240, tag="b")[local] < before / 2
