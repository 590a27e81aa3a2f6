"""A thousand seeded schedules of the hosts in virtual time, and planted defects that must be found."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest import mock

import pytest

from cometdoor.balancing.requests import Request
from cometdoor.host.balancer_host import BalancerHost
from cometdoor.services.endpoint_lists import EndpointLists
from simulation.invariants import InvariantError
from simulation.services import ServicesSimulation, main, play
from simulation.virtual_network import VirtualClock
from standins.rules import RuleViolation

SEEDS = 1000


def test_a_thousand_schedules_keep_the_rules() -> None:
    failed = {}
    for seed in range(1, SEEDS + 1):
        try:
            violations = play(seed)
        except InvariantError as problem:
            violations = [RuleViolation(0, str(problem))]
        if violations:
            failed[seed] = violations
    assert not failed


def test_the_same_seed_plays_the_same_schedule() -> None:
    def run_seed(seed: int) -> list[Any]:
        services_simulation = ServicesSimulation(seed)
        services_simulation.play()
        return [*services_simulation.request_log.entries, *services_simulation.client_log.attempts]

    assert run_seed(7) == run_seed(7) != run_seed(8)


def allow_second_execution(request: Request) -> None:
    """Planted defect: treats no attempt as possibly executed."""


def keep_client(self: Any, active: Any) -> Any:
    self._by_client.pop(active.client, None)
    return active.client


@pytest.mark.parametrize(
    ("owner", "name", "defect", "expected_text"),
    [
        (Request, "first_execution", allow_second_execution, "rule 2"),
        (
            EndpointLists,
            "_with_shared_drain",
            lambda self, server, address: server,
            "is draining or not listed",
        ),
        (BalancerHost, "_detach_client", keep_client, "a second final response"),
    ],
)
def test_a_planted_defect_is_found(
    owner: type[Any], name: str, defect: Callable[..., Any], expected_text: str
) -> None:
    with mock.patch.object(owner, name, defect):
        for seed in range(1, 300):
            try:
                problems = [f"rule {violation.rule}" for violation in play(seed)]
            except InvariantError as problem:
                problems = [str(problem)]
            if any(expected_text in text for text in problems):
                return
    raise AssertionError("no schedule revealed the defect")


def test_virtual_time_that_stands_still_raises_an_error() -> None:
    clock = VirtualClock()

    def reschedule() -> None:
        clock.after(0.0, reschedule)

    reschedule()
    with pytest.raises(RuntimeError, match="does not advance"):
        clock.run(clock.now_ms() + 1.0)


def test_a_failing_seed_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(1, 5) == 0
    with mock.patch.object(Request, "first_execution", allow_second_execution):
        assert main(1, 100) == 1
    assert "seed " in capsys.readouterr().out
