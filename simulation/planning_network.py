"""Planners of `simulation.planning`, and the lossy network between them and the forwarders."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from cometdoor.planning.capacity_leasing import SlowStartRules
from cometdoor.planning.planner import Planner
from cometdoor.planning.sealed_messages import KeyRing, MessageKind, SecureChannel
from simulation.planning_cases import OLD_KEY
from simulation.planning_parties import ContraryPlanner

if TYPE_CHECKING:
    from simulation.planning import SimulatedFleet


class PlannerGroup:
    """The running planners and their network; the network's faults are drawn once."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet
        random, case = fleet.random, fleet.case_spec
        self._message_loss_share = (
            case.message_loss_share
            if case.message_loss_share is not None
            else random.choice([0.0, 0.05, 0.3])
        )
        self._mean_message_delay_ms = case.mean_message_delay_ms or random.choice([2.0, 20.0, 100.0])
        self._duplicate_share = random.choice([0.0, 0.3])
        self.partitioned: set[tuple[int, int]] = set()  # forwarder and planner that cannot reach each other
        self.running: dict[int, Planner] = {}
        self._paused: dict[int, list[Callable[[], None]]] = {}  # messages that arrived at paused planners

    def forwarder_channel(self, number: int) -> SecureChannel:
        """Return a new channel for a forwarder of that number."""
        return SecureChannel(
            KeyRing({1: OLD_KEY}, 1),
            number,
            self._fleet.random.getrandbits(31) + 1,
            max(self._fleet.size.planners, 1),
            frozenset({MessageKind.ADVICE, MessageKind.LEASE}),
        )

    def start(self, number: int) -> None:
        """Start a planner, or restart it, without any state."""
        channel = SecureChannel(
            KeyRing({1: OLD_KEY}, 1),
            number,
            self._fleet.random.getrandbits(31) + 1,
            self._fleet.size.forwarders,
            frozenset({MessageKind.REPORT}),
        )
        planner_class = ContraryPlanner if number in self._fleet.case_spec.contrary_planners else Planner
        self.running[number] = planner_class(
            channel,
            SlowStartRules(
                self._fleet.slow_start.start,
                self._fleet.slow_start.overload_factor,
                self._fleet.slow_start.window_s * 1000.0,
            ),
            self._fleet.slow_start.warm_up_s * 1000.0,
            self._fleet.size.planners,
            self._fleet.clock.now_ms(),
        )

    def stop(self, number: int) -> None:
        """Stop a planner for good."""
        self.running.pop(number, None)

    def pause(self, number: int, for_ms: float) -> None:
        """Pause a planner; what arrives meanwhile is delivered afterwards, all at once."""
        delayed_calls = self._paused.setdefault(number, [])

        def resume() -> None:
            del self._paused[number]
            for call in delayed_calls:
                call()

        self._fleet.clock.after(for_ms, resume)

    def transmit(self, forwarder: int, planner: int, call: Callable[[], None]) -> None:
        """Carry a message between a forwarder and a planner: it may be lost, delayed or duplicated."""
        if (forwarder, planner) in self.partitioned:
            return
        for _ in range(2 if self._fleet.random.random() < self._duplicate_share else 1):
            if self._fleet.random.random() >= self._message_loss_share:
                self._fleet.clock.after(
                    self._fleet.random.expovariate(1.0 / self._mean_message_delay_ms), call
                )

    def deliver(self, number: int, datagram: bytes) -> None:
        """Pass a forwarder's message to a planner, and the replies to the network."""
        if number in self._paused:
            self._paused[number].append(partial(self.deliver, number, datagram))
        elif number in self.running:
            for forwarder, reply in self.running[number].on_datagram(datagram, self._fleet.clock.now_ms()):
                self.transmit(forwarder, number, partial(self._fleet.forwarders[forwarder].receive, reply))
