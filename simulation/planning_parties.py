"""Forwarders and planners of `simulation.planning`: the production modules, each with its own clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import msgspec

from cometdoor.balancing import api
from cometdoor.balancing.api import Endpoint, EndpointsChanged, EndpointState
from cometdoor.host.address import Address
from cometdoor.host.attempt_outcome import AttemptResult
from cometdoor.host.balancer_host import BalancerHost
from cometdoor.host.interfaces import HostSettings
from cometdoor.planning.advice import make_advice
from cometdoor.planning.forwarder import Forwarder
from cometdoor.planning.health_verdicts import HealthState, HealthVerdict
from cometdoor.planning.load_reports import (
    SERVER_ID_BYTES,
    LoadReport,
    ServerReport,
    next_report_delay_ms,
    server_id,
)
from cometdoor.planning.planner import Planner
from cometdoor.planning.sealed_messages import MessageKind, OutgoingMessage
from simulation.clients import CheckedSender, SimulatedRequest
from simulation.timers import VirtualTimer
from simulation.virtual_network import VirtualAttempt, VirtualClock
from standins.server_model import Reply

if TYPE_CHECKING:
    from simulation.planning import SimulatedFleet

EPOCH_MS = 1.76e12  # discovery's clock at the start of the fleet


class SkewedClock:
    """A `cometdoor.host.clock.Clock` with an offset: readings of two processes can't be compared."""

    def __init__(self, clock: VirtualClock, offset_ms: float) -> None:
        self._clock = clock
        self.offset_ms = offset_ms

    def now_ms(self) -> float:
        return self._clock.now_ms() + self.offset_ms

    def call_at(self, due_ms: float, call: Callable[[], None]) -> VirtualTimer:
        return self._clock.call_at(due_ms - self.offset_ms, call)


class SimulatedForwarder(CheckedSender):
    """One forwarder: its host, its observer (`cometdoor.planning.forwarder`), its list and its clock."""

    def __init__(self, fleet: SimulatedFleet, number: int, settings: api.Settings, rate: float) -> None:
        super().__init__(f"forwarder {number}", fleet.network)
        self.fleet = fleet
        self.number = number
        self.rate = rate
        self.clock = SkewedClock(fleet.clock, fleet.random.uniform(0.0, 1e9))
        self.list_delivered_until_ms = 0.0  # when the last change of its endpoint list arrives
        self.sends_garbage = False
        self.forwarder = Forwarder(
            fleet.planner_group.forwarder_channel(number),
            fleet.size.planners,
            settings.warm_up_ms,
            EPOCH_MS - self.clock.offset_ms,
        )
        self.host: BalancerHost[SimulatedRequest, Reply] = BalancerHost(
            HostSettings(settings, fleet.random.getrandbits(40)), self.clock, self
        )
        if fleet.size.planners:
            self.host.observer = self.forwarder

    # --- its list ---

    def update_list(self, event: EndpointsChanged) -> None:
        """Apply a change of the list, with starting times by the forwarder's own clock."""
        offset_ms = self.clock.offset_ms
        servers = tuple(
            Endpoint(
                server.name,
                server.weight,
                server.zone,
                server.cell,
                server.kind,
                server.state,
                server.started_at + offset_ms if server.started_at else 0.0,
            )
            for server in event.endpoints
        )
        for server in servers:
            if server.state is EndpointState.REMOVED:
                self.servers_by_name.pop(server.name, None)
            else:
                self.servers_by_name[server.name] = server
        self.host.on_endpoints_changed(
            EndpointsChanged(event.kind, servers),
            {server.name: self.fleet.addresses[server.name] for server in servers},
        )

    # --- the host's calls ---

    def send(
        self,
        server: str,
        address: Address,
        request: SimulatedRequest,
        until_ms: float,
        done: Callable[[AttemptResult, Reply | None], None],
    ) -> VirtualAttempt:
        """Send an attempt, and count it."""
        attempt = super().send(server, address, request, until_ms, done)
        self.fleet.count_send(server)
        return attempt

    # --- reports and advice ---

    def send_reports(self) -> None:
        """Send a load report to each planner, and schedule the next."""
        fleet = self.fleet
        messages = self.forwarder.make_reports(self.clock.now_ms())
        if self.sends_garbage:
            messages = [
                OutgoingMessage(
                    planner,
                    self.forwarder._channel.seal(
                        MessageKind.REPORT,
                        planner,
                        garbage_report(fleet.random, fleet.servers),
                        self.clock.now_ms(),
                    ),
                )
                for planner, _ in messages
            ]
        for planner, datagram in messages:
            fleet.planner_group.transmit(
                self.number, planner, partial(fleet.planner_group.deliver, planner, datagram)
            )
        self.apply_events(self.forwarder.poll_advice(self.clock.now_ms()))
        fleet.clock.after(next_report_delay_ms(fleet.random), self.send_reports)

    def receive(self, datagram: bytes) -> None:
        """Handle a planner's message."""
        self.apply_events(self.forwarder.on_datagram(datagram, self.clock.now_ms()))

    def apply_events(self, events: Iterable[api.AdviceReceived | api.SlowStartLeaseGranted]) -> None:
        """Pass planners' advice and leases to the host."""
        for event in events:
            if isinstance(event, api.AdviceReceived):
                self.fleet.record_advice(event)
            else:
                self.fleet.leases += event.sends
            self.host.submit_event(event)


class ContraryPlanner(Planner):
    """A faulty planner: finds unhealthy servers healthy, and two fifths of the others unresponsive."""

    def _assess(self, now_ms: float) -> None:
        previous = self._assessed_ms
        super()._assess(now_ms)
        if self._assessed_ms != previous:
            healthy = sorted(self.health_model.servers() - self._verdicts.keys())
            self._verdicts = dict.fromkeys(
                healthy[: len(healthy) * 2 // 5], HealthVerdict(HealthState.UNRESPONSIVE, 0.02, 9, 9)
            )
            self._advice = make_advice(self._verdicts)


def garbage_report(random: Random, servers: Iterable[str]) -> bytes:
    """Return a well-formed load report with random values, about these servers and an unknown one."""
    names = [*map(server_id, servers), random.randbytes(SERVER_ID_BYTES)]
    entries = [
        ServerReport(
            random.choice(names),
            random.randrange(65536),
            random.choice([0, 127]),
            (random.randrange(128), random.randrange(128), 127, 0, random.randrange(128)),
            random.randrange(-127, 128),
            127,
            127,
        )
        for _ in range(6)
    ]
    return msgspec.msgpack.encode(
        LoadReport(
            random.randrange(1 << 20),
            random.choice([0, 10**6]),
            random.choice([0, 1 << 40]),
            random.randrange(1 << 16),
            entries,
        )
    )
