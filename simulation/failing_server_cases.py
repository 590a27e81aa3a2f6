"""Cases of `simulation.failing_servers`: which servers or paths fail, how and when.

The seed of a schedule includes the name of its case, so a renamed case plays other schedules.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from simulation.failing_servers import FaultSimulation


def _freeze(fault_simulation: FaultSimulation, seconds: float) -> None:
    """Freeze one server for `seconds`."""
    fault_simulation.unhealthy.add("s0")
    fault_simulation.at_fault_time(fault_simulation.server(0).freeze)
    fault_simulation.at_fault_time(fault_simulation.server(0).thaw, seconds)


def _freeze_briefly(fault_simulation: FaultSimulation) -> None:
    """Freeze each server for 50 ms, one after the other."""
    for server_number in range(fault_simulation.size.servers):
        fault_simulation.at_fault_time(fault_simulation.server(server_number).freeze, 0.3 * server_number)
        fault_simulation.at_fault_time(
            fault_simulation.server(server_number).thaw, 0.3 * server_number + 0.05
        )


def _fail_one(fault_simulation: FaultSimulation, **behaviour: float) -> None:
    fault_simulation.unhealthy.add("s0")
    fault_simulation.at_fault_time(lambda: fault_simulation.set_behaviour(0, **behaviour))


def _fail_all(fault_simulation: FaultSimulation, **behaviour: float) -> None:
    def set_behaviour() -> None:
        for server_number in range(fault_simulation.size.servers):
            fault_simulation.set_behaviour(server_number, **behaviour)

    fault_simulation.at_fault_time(set_behaviour)


def _fail_path(fault_simulation: FaultSimulation) -> None:
    """Fail the path of one proxy to a server; the other proxies must not count it as unhealthy."""
    fault_simulation.unhealthy.add("s0")
    fault_simulation.at_fault_time(
        lambda: fault_simulation.proxies[0].path_failure_share.update({("h", 0): 0.8})
    )


def _fail_in_turn(fault_simulation: FaultSimulation) -> None:
    """Let each server in turn reset connections for three seconds."""
    for server_number in range(fault_simulation.size.servers):
        fault_simulation.unhealthy.add(f"s{server_number}")
        fault_simulation.at_fault_time(
            partial(fault_simulation.set_behaviour, server_number, reset_after_share=0.9), 3.0 * server_number
        )
        fault_simulation.at_fault_time(
            partial(fault_simulation.set_behaviour, server_number, reset_after_share=0.0),
            3.0 * server_number + 3.0,
        )


def _fail_nearly_all(fault_simulation: FaultSimulation) -> None:
    """Fail all but one: the limit on ejections must hold, or they would empty the list."""
    for server_number in range(1, fault_simulation.size.servers):
        fault_simulation.unhealthy.add(f"s{server_number}")
        fault_simulation.at_fault_time(
            partial(fault_simulation.set_behaviour, server_number, reset_after_share=0.7)
        )


def _fail_group(fault_simulation: FaultSimulation) -> None:
    """Fail both servers of a deduplication group: one drops responses, the other hangs."""
    fault_simulation.unhealthy.update(("s0", "s1"))
    fault_simulation.at_fault_time(partial(fault_simulation.set_behaviour, 0, dropped_response_share=0.5))
    fault_simulation.at_fault_time(fault_simulation.server(1).freeze)


def _delay_list(fault_simulation: FaultSimulation) -> None:
    """Replace half of the servers, some at the same addresses; proxies get the new list 10 s late."""
    count = fault_simulation.size.servers

    def replace() -> None:
        for server_number in range(count // 2):
            fault_simulation.unhealthy.add(f"s{server_number}")
            fault_simulation.server(server_number).restart()
            fault_simulation.network.down_addresses.add(("h", server_number))
            del fault_simulation.entries[f"s{server_number}"]
        for server_number in range(count // 2):
            fault_simulation.add_server(
                count + server_number, ("h", server_number) if server_number % 2 else None
            )
        fault_simulation.publish_list(10_000.0)

    fault_simulation.at_fault_time(replace)


def _reorder_lists(fault_simulation: FaultSimulation) -> None:
    """Four times, publish a list of half the servers twice, then the full list twice."""

    def publish_half() -> None:
        all_entries = dict(fault_simulation.entries)
        for name in list(all_entries)[::2]:
            del fault_simulation.entries[name]
        fault_simulation.publish_list()
        fault_simulation.publish_list(30.0)
        fault_simulation.entries = all_entries
        fault_simulation.publish_list(500.0)
        fault_simulation.publish_list(700.0)

    for round_number in range(4):
        fault_simulation.at_fault_time(publish_half, float(round_number))


CASES: dict[str, Callable[[FaultSimulation], None]] = {
    "nothing": lambda fault_simulation: None,
    "frozen for good": partial(_freeze, seconds=1e6),
    "frozen for 6 s": partial(_freeze, seconds=6.0),
    "short hiccups": _freeze_briefly,
    "resets nine in ten": partial(_fail_one, reset_after_share=0.9),
    "resets half": partial(_fail_one, reset_before_share=0.5),
    "loses one answer in eight": partial(_fail_one, dropped_response_share=0.125),
    "two in a hundred reset everywhere": partial(_fail_all, reset_after_share=0.02),
    "a third reset everywhere": partial(_fail_all, reset_after_share=0.33),
    "all are slow": partial(_fail_all, slowdown_factor=5.0),
    "one way there": _fail_path,
    "by turns": _fail_in_turn,
    "nearly all": _fail_nearly_all,
    "last of its group": _fail_group,
    "a list 10 s late": _delay_list,
    "lists back and forth": _reorder_lists,
}
