"""Failing servers in virtual time: every case with one seed.

`python -m simulation.failing_servers` plays many seeds.
"""

from __future__ import annotations

import pytest

from simulation.failing_server_cases import CASES
from simulation.failing_servers import FaultSimulation, Size

CASES_WITHOUT_UNHEALTHY_SERVERS = [
    "nothing",
    "short hiccups",
    "two in a hundred reset everywhere",
    "a third reset everywhere",
    "all are slow",
    "lists back and forth",
]


@pytest.mark.parametrize("case", CASES)
def test_rules_hold_and_shared_faults_eject_no_server(case: str) -> None:
    fault_simulation = FaultSimulation(1, case, Size(proxies=3, servers=8, rate=60.0, seconds=12.0))
    assert not fault_simulation.play()
    if case in CASES_WITHOUT_UNHEALTHY_SERVERS:
        # There are 24 pairs of a proxy and a server. If a third of the attempts fail, a few pairs are ejected
        # by chance, up to the limit.
        assert fault_simulation.false_ejections() <= (6 if case == "a third reset everywhere" else 1)


@pytest.mark.parametrize(("case", "proxy_count"), [("frozen for good", 1), ("resets nine in ten", 3)])
def test_an_unhealthy_server_is_ejected_and_gets_few_requests(case: str, proxy_count: int) -> None:
    """At least `proxy_count` of the three proxies eject it.

    A server that only times out gets no more turns before it is suspected, so not every proxy ejects it.
    """
    fault_simulation = FaultSimulation(3, case, Size(proxies=3, servers=8, rate=60.0, seconds=14.0))
    assert not fault_simulation.play()
    ejecting_proxies = {
        proxy for since, proxy, name in fault_simulation.ejections if name == "s0" and 0.0 <= since <= 4.0
    }
    assert len(ejecting_proxies) >= proxy_count
    assert fault_simulation.unhealthy_send_share(4.0) <= 0.25 / fault_simulation.size.servers


def test_a_path_failure_of_one_proxy_ejects_the_server_at_no_other_proxy() -> None:
    fault_simulation = FaultSimulation(
        4, "one way there", Size(proxies=3, servers=8, rate=60.0, seconds=12.0)
    )
    assert not fault_simulation.play()
    assert {proxy for since, proxy, name in fault_simulation.ejections if name == "s0" and since >= 0.0} <= {
        0
    }


def test_a_seed_plays_the_same_schedule_each_time() -> None:
    size = Size(proxies=3, servers=8, rate=60.0, seconds=12.0)
    simulations = [FaultSimulation(5, "nearly all", size) for _ in range(2)]
    for fault_simulation in simulations:
        fault_simulation.play()
    assert (
        simulations[0].sends == simulations[1].sends
        and simulations[0].ejections == simulations[1].ejections != []
    )
