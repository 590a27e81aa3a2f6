"""Hosts of several services in virtual time, with a faulty network and faulty servers drawn from one seed.

The modules are the production ones: `cometdoor/host/balancer_host.py`, `cometdoor/services/endpoint_lists.py`
and the balancer. Every step checks that each request gets one final response in time, that no attempt is sent
after it, and that nothing is sent to a server once its drain is published. At the end the servers' request
logs are checked against the clients' log.

    python -m simulation.services [FIRST_SEED [COUNT]]     prints each seed that fails
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from random import Random

from cometdoor.balancing import api
from cometdoor.balancing.api import Endpoint, EndpointListKind, EndpointsChanged, EndpointState
from cometdoor.host.address import Address
from cometdoor.host.balancer_host import BalancerHost
from cometdoor.host.interfaces import HostSettings
from cometdoor.services.endpoint_lists import EndpointLists
from simulation.clients import (
    CLASSES,
    CheckedSender,
    SimulatedClients,
    SimulatedRequest,
    check_at_end,
    draw_faults,
    print_failures,
)
from simulation.invariants import InvariantError
from simulation.virtual_network import Network, VirtualClock, VirtualServer
from standins.load_generator import ClientLog, ClientOutcome
from standins.request_log import RequestLog
from standins.rules import RuleViolation
from standins.server_model import Behaviour, KeyStore, Reply, ServerModel, exponential


class SimulatedService(CheckedSender):
    """One service's host, and its endpoint list in discovery."""

    def __init__(self, services_simulation: ServicesSimulation, name: str) -> None:
        super().__init__(f"service {name}", services_simulation.network)
        self.service = name
        self.services_simulation = services_simulation
        self.entries: dict[str, tuple[Endpoint, Address]] = {}
        settings = api.Settings(classes=CLASSES, max_attempts=4)
        self.host: BalancerHost[SimulatedRequest, Reply] = BalancerHost(
            HostSettings(settings, services_simulation.random.getrandbits(40)),
            services_simulation.clock,
            self,
        )

    def update(self, event: EndpointsChanged, addresses: dict[str, Address]) -> None:
        for update in self.services_simulation.endpoint_lists.update(self.service, event, addresses):
            self.services_simulation.services[update.service].update_list(
                update.event, dict(update.addresses)
            )

    def update_list(self, event: EndpointsChanged, addresses: dict[str, Address]) -> None:
        self.host.on_endpoints_changed(event, addresses)

    def check_server(self, server: str, address: Address, request: SimulatedRequest) -> None:
        """Check a send against the server's state in discovery, not against the list at the host."""
        if server not in self.entries or self.services_simulation.is_draining(address):
            raise InvariantError(
                f"{request.attempt.request} is sent to {server}, which is draining or not listed"
            )


@dataclass
class ServicesSimulation:
    """One seed's schedule of requests, faults and list changes."""

    seed: int
    random: Random = field(init=False)
    clock: VirtualClock = field(default_factory=VirtualClock)
    request_log: RequestLog = field(default_factory=RequestLog)
    client_log: ClientLog = field(default_factory=ClientLog)
    endpoint_lists: EndpointLists[str] = field(default_factory=EndpointLists)
    services: dict[str, SimulatedService] = field(default_factory=dict)

    def __post_init__(self) -> None:
        random = self.random = Random(self.seed)
        self.clients = SimulatedClients(self.clock, self.client_log)
        share = [0.0, 0.0, 0.02, 0.1]
        self.network = Network(self.clock, random, draw_faults(random, share))
        key_stores = [KeyStore(), KeyStore()]
        for number in range(random.randint(1, 6)):
            model = ServerModel(
                f"s{number}",
                self.request_log,
                seed=self.seed,
                cell=number % 2,
                keys=key_stores[number % 2],
                behaviour=Behaviour(
                    latency=exponential(random.choice([0.005, 0.05, 0.2])),
                    slots=random.choice([1, 4]),
                    queue_limit=random.choice([0, 8]),
                    error_share=random.choice(share),
                    reset_before_share=random.choice(share),
                    reset_after_share=random.choice(share),
                ),
            )
            self.network.servers["h", number] = VirtualServer(model, self.clock)
        for name in ("a", "b"):
            service = self.services[name] = SimulatedService(self, name)
            if random.random() < 0.3:
                service.host.max_waiting = random.randint(0, 3)
            servers_by_name = [server for server in self.network.servers if random.random() < 0.8]
            service.entries = {
                f"s{address[1]}": (Endpoint(f"s{address[1]}", cell=address[1] % 2), address)
                for address in servers_by_name
            }
        for service in self.services.values():
            self._publish_list(service)

    def is_draining(self, address: Address) -> bool:
        """Return whether any list in discovery marks the server as draining."""
        return any(
            at == address and server.state is EndpointState.DRAINING
            for service in self.services.values()
            for server, at in service.entries.values()
        )

    def _publish_list(self, service: SimulatedService) -> None:
        service.update(
            EndpointsChanged(EndpointListKind.FULL, tuple(server for server, _ in service.entries.values())),
            {name: address for name, (_, address) in service.entries.items()},
        )

    # --- events ---

    def play(self, seconds: float = 3.0) -> list[RuleViolation]:
        for _ in range(self.random.randint(20, 120)):
            self.clock.after(self.random.uniform(0.0, seconds * 1000.0), self._send_request)
        for _ in range(self.random.randint(0, 25)):
            self.clock.after(self.random.uniform(0.0, seconds * 1000.0), self._inject_fault)
        end_ms = self.clock.now_ms() + seconds * 1000.0 + 3000.0
        self.clock.run(end_ms, self.clients.check_deadlines)
        # Draining servers are checked at every send.
        return check_at_end(self.services.values(), self.client_log, self.request_log, self.network.faults)

    def _send_request(self) -> None:
        service = self.random.choice(list(self.services.values()))
        class_index = self.random.randrange(3)
        request = self.clients.create_request(
            service.service, class_index, self.random.choice([0.05, 0.3, 0.6])
        )
        self.clients.watch(request)
        service.host.accept(request, request)
        if self.random.random() < 0.05:
            self.clock.after(self.random.uniform(0.0, 400.0), lambda: self._cancel(service, request))

    def _cancel(self, service: SimulatedService, request: SimulatedRequest) -> None:
        if request.is_pending():
            service.host.on_client_disconnected(request)
            request.attempt.outcome, request.attempt.ended_at = (
                ClientOutcome.CANCELLED,
                self.clock.now(),
            )

    def _inject_fault(self) -> None:
        random = self.random
        address = random.choice(list(self.network.servers))
        server = self.network.servers[address]
        service = random.choice(list(self.services.values()))
        name = server.model.name
        match random.randrange(7):
            case 0:
                server.freeze()
                self.clock.after(random.uniform(10.0, 2000.0), server.thaw)
            case 1:
                server.restart()
            case 2:
                self.network.down_addresses.add(address)
                self.clock.after(
                    random.uniform(10.0, 2000.0), lambda: self.network.down_addresses.discard(address)
                )
            case 3 | 4 if name in service.entries:
                previous = service.entries[name][0]
                state = (
                    EndpointState.READY
                    if previous.state is EndpointState.DRAINING
                    else EndpointState.DRAINING
                )
                entry = Endpoint(name, cell=previous.cell, state=state)
                service.entries[name] = entry, address
                service.update(EndpointsChanged(EndpointListKind.DELTA, (entry,)), {name: address})
            case 5 if name in service.entries:
                del service.entries[name]
                self._publish_list(service)
            case 6:
                service.entries[name] = Endpoint(name, cell=server.model.cell), address
                if random.random() < 0.2:
                    service.entries.clear()
                    service.host.reject_waiting()
                self._publish_list(service)


def play(seed: int) -> list[RuleViolation]:
    """Return the rules that were broken. Raises InvariantError if an invariant does not hold."""
    return ServicesSimulation(seed).play()


def find_problems(seed: int) -> list[str]:
    """Return the violations in a seed's schedule, as texts."""
    try:
        return [f"rule {rule}: {text}" for rule, text in play(seed)]
    except InvariantError as problem:
        return [str(problem)]


def main(first: int = 1, count: int = 1000) -> int:
    """Play schedules and print those that fail; 1 if any does."""
    failed = print_failures((f"seed {seed}", find_problems(seed)) for seed in range(first, first + count))
    print(f"{count} schedules, {failed} failed")
    return min(failed, 1)


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:3])))
