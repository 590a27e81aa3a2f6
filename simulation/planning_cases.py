"""Cases of `simulation.planning`: faults of planners, their messages and the servers.

The seed of a schedule includes the name of its case, so a renamed case runs other schedules.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from cometdoor.planning.sealed_messages import KeyRing

if TYPE_CHECKING:
    from simulation.planning import SimulatedFleet

OLD_KEY, NEW_KEY = b"k" * 32, b"n" * 32


@dataclass(frozen=True, slots=True)
class Case:
    """What a case changes in a fleet. None: drawn from the seed."""

    inject: Callable[[SimulatedFleet], None]
    planners_live: bool = True
    contrary_planners: frozenset[int] = frozenset()  # planners that advise the opposite of what they find
    message_loss_share: float | None = None
    mean_message_delay_ms: float | None = None
    configured_size_ratio: float = 1.0  # the fleet's size in the settings, over its real size


def usual(fleet: SimulatedFleet) -> None:
    """Freeze one server, restart one, drain one and replace one, in addition to the case's own faults."""
    frozen, *others = fleet.random.sample([*fleet.servers], 4)
    fleet.at(0.3, lambda: fleet.freeze(frozen))
    for name, inject_fault in zip(others, (fleet.restart, fleet.drain, fleet.replace), strict=True):
        fleet.at(fleet.random.uniform(0.2, 0.8), partial(inject_fault, name))


def _stop_planners_in_turn(fleet: SimulatedFleet) -> None:
    usual(fleet)
    for number in range(fleet.size.planners):
        at = 0.2 + 0.6 * number / fleet.size.planners
        fleet.at(at, partial(fleet.planner_group.stop, number))
        fleet.at(at + 0.25, partial(fleet.planner_group.start, number))


def _restart_planners(fleet: SimulatedFleet) -> None:
    usual(fleet)
    for number in range(fleet.size.planners):
        fleet.at(0.4, partial(fleet.planner_group.start, number))
        fleet.at(0.6, partial(fleet.planner_group.start, number))


def _partition_one_planner(fleet: SimulatedFleet) -> None:
    usual(fleet)
    half = fleet.random.sample(range(fleet.size.forwarders), fleet.size.forwarders // 2)
    fleet.at(0.2, lambda: fleet.planner_group.partitioned.update((number, 0) for number in half))
    fleet.at(0.7, fleet.planner_group.partitioned.clear)


def _pause_planners(fleet: SimulatedFleet) -> None:
    usual(fleet)
    for number in range(fleet.size.planners):
        fleet.at(0.2 + 0.2 * number, partial(fleet.planner_group.pause, number, 5000.0))


def _send_garbage_reports(fleet: SimulatedFleet) -> None:
    usual(fleet)
    fleet.random.choice(fleet.forwarders).sends_garbage = True


def _restart_three_times(fleet: SimulatedFleet) -> None:
    name = fleet.random.choice([*fleet.servers])
    for number in range(3):
        fleet.at(0.3 + number * fleet.random.uniform(0.05, 0.12), lambda: fleet.restart(name))


def _drain_best_rated(fleet: SimulatedFleet) -> None:
    """Drain the server that planners rate best, since a third of the others are frozen."""
    best_rated, *others = fleet.random.sample([*fleet.servers], max(fleet.size.servers // 3, 2))
    for name in others:
        fleet.at(0.2, partial(fleet.freeze, name, 3000.0))
    fleet.at(0.35, lambda: fleet.drain(best_rated))


def _restart_all_servers(fleet: SimulatedFleet) -> None:
    def restart_all() -> None:
        for name in list(fleet.servers):
            fleet.restart(name)

    fleet.at(0.4, restart_all)


def _leave_only_starting_servers(fleet: SimulatedFleet) -> None:
    """Drain all but a quarter, which has just started, bears a third of its load and gets all requests."""
    names = fleet.random.sample([*fleet.servers], fleet.size.servers)
    for position, name in enumerate(names):
        is_left = position < max(fleet.size.servers // 4, 1)
        fleet.at(0.4 if is_left else 0.45, partial(fleet.restart if is_left else fleet.drain, name))


def _replace_half(fleet: SimulatedFleet) -> None:
    for name in fleet.random.sample([*fleet.servers], fleet.size.servers // 2):
        fleet.at(fleet.random.uniform(0.3, 0.6), partial(fleet.replace, name))


def _change_keys(fleet: SimulatedFleet) -> None:
    usual(fleet)
    both = {1: OLD_KEY, 2: NEW_KEY}

    def change(keys: KeyRing) -> None:
        parties = [node.forwarder.change_keys for node in fleet.forwarders]
        parties += [
            partial(setattr, planner._channel, "keys") for planner in fleet.planner_group.running.values()
        ]
        for party in parties:
            fleet.clock.after(fleet.random.uniform(0.0, 500.0), partial(party, keys))

    fleet.at(0.3, lambda: change(KeyRing(both, 1)))
    fleet.at(0.5, lambda: change(KeyRing(both, 2)))
    fleet.at(0.7, lambda: change(KeyRing({2: NEW_KEY}, 2)))


def _slow_all(fleet: SimulatedFleet) -> None:
    fleet.at(0.3, lambda: fleet.slow_down_all(fleet.random.uniform(1.5, 2.9)))
    fleet.at(0.8, lambda: fleet.slow_down_all(1.0))


def _shuffle_traffic(fleet: SimulatedFleet) -> None:
    usual(fleet)

    def move() -> None:
        rates = [node.rate for node in fleet.forwarders]
        fleet.random.shuffle(rates)
        for node, rate in zip(fleet.forwarders, rates, strict=True):
            node.rate = rate

    fleet.at(0.4, move)


CASES: dict[str, Case] = {
    "calm": Case(lambda fleet: None),
    "usual": Case(usual),
    "planners dead from the start": Case(usual, planners_live=False),
    "planners die in turn": Case(_stop_planners_in_turn),
    "planners come back with empty heads": Case(_restart_planners),
    "a planner cut off from half": Case(_partition_one_planner),
    "planners of opposite opinions": Case(usual, contrary_planners=frozenset({0})),
    "all planners but one contrary": Case(usual, contrary_planners=frozenset({0, 1})),
    "planners stand still and speak late": Case(_pause_planners),
    "every note lost": Case(usual, message_loss_share=1.0),
    "notes ten seconds late": Case(usual, mean_message_delay_ms=10_000.0),
    "a forwarder reports nonsense": Case(_send_garbage_reports),
    "fleet size told double": Case(usual, configured_size_ratio=2.0),
    "fleet size told by half": Case(usual, configured_size_ratio=0.5),
    "three starts in one warm-up": Case(_restart_three_times),
    "drains while praised": Case(_drain_best_rated),
    "all servers cold at once": Case(_restart_all_servers),
    "only cold servers left": Case(_leave_only_starting_servers),
    "half of the servers replaced": Case(_replace_half),
    "keys being changed": Case(_change_keys),
    "shared slowdown": Case(_slow_all),
    "traffic moves": Case(_shuffle_traffic),
}
