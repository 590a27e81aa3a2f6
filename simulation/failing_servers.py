"""Proxies with servers that fail in every way, all at once or in turn, in virtual time.

The modules are the production ones (`cometdoor/host/balancer_host.py` and the balancer). Every step checks
that each request gets one final response in time, that no attempt is sent after it, that nothing is sent to a
server that is not ready in the proxy's own list, and that no proxy ejects more than half of its servers.
At the end the servers' request logs are checked against the clients' log.

    python -m simulation.failing_servers [FIRST_SEED [COUNT]]     prints each seed that fails
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import NamedTuple

from cometdoor.balancing import api
from cometdoor.balancing.api import Endpoint, EndpointListKind, EndpointsChanged
from cometdoor.host.address import Address
from cometdoor.host.attempt_outcome import AttemptResult, AttemptStage, FailureKind, result_of_failure
from cometdoor.host.balancer_host import BalancerHost
from cometdoor.host.interfaces import HostSettings
from simulation.clients import (
    CLASSES,
    CheckedSender,
    SimulatedClients,
    SimulatedRequest,
    check_at_end,
    print_failures,
)
from simulation.failing_server_cases import CASES
from simulation.invariants import InvariantError
from simulation.virtual_network import Faults, Network, VirtualAttempt, VirtualClock, VirtualServer
from standins.load_generator import ClientLog
from standins.request_log import RequestLog
from standins.rules import RuleViolation
from standins.server_model import Behaviour, KeyStore, Reply, ServerModel, exponential

MEAN_LATENCY_S = 0.02
FAULT_AT_S = 5.0


class Size(NamedTuple):
    """How many proxies and servers a schedule has, and its load and length."""

    proxies: int = 4
    servers: int = 12
    rate: float = 120.0  # requests a second, of all proxies together
    seconds: float = 15.0


class SimulatedProxy(CheckedSender):
    """One proxy: its host, and its own path to each server."""

    def __init__(self, fault_simulation: FaultSimulation, proxy_number: int) -> None:
        super().__init__(f"proxy {proxy_number}", fault_simulation.network)
        self.fault_simulation = fault_simulation
        self.proxy_number = proxy_number
        self.path_failure_share: dict[Address, float] = {}  # by server, the share of attempts that fail
        settings = api.Settings(
            classes=CLASSES, balancers=fault_simulation.size.proxies, position=proxy_number
        )
        self.host: BalancerHost[SimulatedRequest, Reply] = BalancerHost(
            HostSettings(settings, fault_simulation.random.getrandbits(40)), fault_simulation.clock, self
        )

    def update_list(self, servers: tuple[Endpoint, ...], addresses: dict[str, Address]) -> None:
        self.servers_by_name = {server.name: server for server in servers}
        self.host.on_endpoints_changed(EndpointsChanged(EndpointListKind.FULL, servers), addresses)

    def send(
        self,
        server: str,
        address: Address,
        request: SimulatedRequest,
        until_ms: float,
        done: Callable[[AttemptResult, Reply | None], None],
    ) -> VirtualAttempt:
        attempt = super().send(server, address, request, until_ms, done)
        self.fault_simulation.sends.append((self.fault_simulation.clock.now(), self.proxy_number, server))
        if self.fault_simulation.random.random() < self.path_failure_share.get(address, 0.0):
            self.fault_simulation.network.after_delay(
                lambda: attempt.finish(result_of_failure(AttemptStage.WRITTEN, FailureKind.RESET))
            )
        return attempt


@dataclass
class FaultSimulation:
    """One schedule of a case; its faults begin FAULT_AT_S seconds after the start."""

    seed: int
    case: str = "nothing"
    size: Size = field(default_factory=Size)
    clock: VirtualClock = field(default_factory=VirtualClock)
    request_log: RequestLog = field(default_factory=RequestLog)
    client_log: ClientLog = field(default_factory=ClientLog)
    sends: list[tuple[float, int, str]] = field(default_factory=list)
    unhealthy: set[str] = field(default_factory=set)  # servers that the case makes unhealthy at some time
    # Seconds after the fault, proxy, server.
    ejections: list[tuple[float, int, str]] = field(default_factory=list)
    ends_at: float = 0.0

    def __post_init__(self) -> None:
        self.random = Random(f"{self.seed}:{self.case}")
        self.network = Network(self.clock, self.random, Faults())
        self.clients = SimulatedClients(self.clock, self.client_log)
        self.key_stores = [KeyStore() for _ in range(max(self.size.servers // 2, 1))]
        self.models: dict[str, ServerModel] = {}
        self.entries: dict[str, tuple[Endpoint, Address]] = {}
        self._ejected_before: set[tuple[int, str]] = set()
        for server_number in range(self.size.servers):
            self.add_server(server_number)
        self.proxies = [SimulatedProxy(self, proxy_number) for proxy_number in range(self.size.proxies)]
        self.publish_list()
        self.started_at = self.clock.now()
        CASES[self.case](self)

    def add_server(self, server_number: int, address: Address | None = None) -> None:
        """Start a server and list it; `address`: that of a server that it replaces."""
        name, address = f"s{server_number}", address or ("h", server_number)
        cell = server_number // 2 % len(self.key_stores)
        model = self.models[name] = ServerModel(
            name,
            self.request_log,
            seed=self.seed,
            cell=cell,
            keys=self.key_stores[cell],
            behaviour=Behaviour(latency=exponential(MEAN_LATENCY_S)),
        )
        self.network.servers[address] = VirtualServer(model, self.clock)
        self.network.down_addresses.discard(address)
        self.entries[name] = Endpoint(name, cell=cell), address

    def publish_list(self, after_ms: float = 0.0) -> None:
        """Publish the current list to every proxy, `after_ms` from now."""
        servers = tuple(server for server, _ in self.entries.values())
        addresses = {name: address for name, (_, address) in self.entries.items()}
        for proxy in self.proxies:
            if after_ms:
                self.clock.after(after_ms, partial(proxy.update_list, servers, addresses))
            else:
                proxy.update_list(servers, addresses)

    def at_fault_time(self, call: Callable[[], None], after_s: float = 0.0) -> None:
        """Schedule a call for `after_s` seconds after the fault's time."""
        self.clock.after((FAULT_AT_S + after_s) * 1000.0, call)

    def set_behaviour(self, server_number: int, **behaviour: float) -> None:
        """Change fields of a server's `Behaviour`."""
        for name, value in behaviour.items():
            setattr(self.models[f"s{server_number}"].behaviour, name, value)

    def server(self, server_number: int) -> VirtualServer:
        return self.network.servers["h", server_number]

    # --- play ---

    def play(self) -> list[RuleViolation]:
        """Return the rules that were broken. Raises InvariantError if an invariant does not hold."""
        self.ends_at = self.started_at + self.size.seconds
        self._send_request()
        self.clock.run(1000.0 * self.ends_at + 3000.0, self._check_invariants)
        return check_at_end(self.proxies, self.client_log, self.request_log, self.network.faults)

    def _send_request(self) -> None:
        now = self.clock.now()
        if now >= self.ends_at:
            return
        self.clock.after(1000.0 * self.random.expovariate(self.size.rate), self._send_request)
        class_index = self.random.choice((0, 0, 1, 2))
        request = self.clients.create_request("p", class_index, CLASSES[class_index].deadline_ms / 1000.0)
        self.clients.watch(request)
        self.random.choice(self.proxies).host.accept(request, request)

    def _check_invariants(self) -> None:
        now = self.clock.now()
        self.clients.check_deadlines()
        ejected_now: set[tuple[int, str]] = set()
        for proxy in self.proxies:
            ejected = proxy.host.ejected_endpoints()
            if 2 * len(ejected) > len(proxy.servers_by_name):
                raise InvariantError(
                    f"proxy {proxy.proxy_number} ejects {len(ejected)} of "
                    f"{len(proxy.servers_by_name)} servers"
                )
            ejected_now.update((proxy.proxy_number, name) for name in ejected)
        since_fault_s = now - self.started_at - FAULT_AT_S
        self.ejections.extend(
            (since_fault_s, *ejection) for ejection in sorted(ejected_now - self._ejected_before)
        )
        self._ejected_before = ejected_now

    # --- results ---

    def served_share(self, effect: str) -> float:
        """Return the share of the requests of an effect that were served."""
        matching_attempts = [attempt for attempt in self.client_log.attempts if attempt.effect == effect]
        return sum(attempt.status == 200 for attempt in matching_attempts) / max(len(matching_attempts), 1)

    def false_ejections(self) -> int:
        """Return how often a proxy ejected a server that was not unhealthy."""
        return sum(
            name not in self.unhealthy or since_fault_s < 0.0 for since_fault_s, _, name in self.ejections
        )

    def unhealthy_send_share(self, from_s: float) -> float:
        """Return the share of attempts to unhealthy servers, from `from_s` seconds after the fault on."""
        later_sends = [server for at, _, server in self.sends if at - self.started_at - FAULT_AT_S >= from_s]
        return sum(server in self.unhealthy for server in later_sends) / max(len(later_sends), 1)


def play(seed: int) -> tuple[str, list[str]]:
    """Return the case of a seed, and the violations in its schedule."""
    case = list(CASES)[seed % len(CASES)]
    random = Random(seed)
    size = Size(random.choice((2, 4, 9)), random.choice((2, 6, 12)), random.choice((30.0, 120.0)), 17.0)
    try:
        return case, [f"rule {rule}: {text}" for rule, text in FaultSimulation(seed, case, size).play()]
    except InvariantError as problem:
        return case, [str(problem)]


def _named_problems(seed: int) -> tuple[str, list[str]]:
    case, problems = play(seed)
    return f"seed {seed}, {case}", problems


def main(first: int = 1, count: int = 300) -> int:
    """Play schedules and print those that fail; 1 if any does."""
    failed = print_failures(map(_named_problems, range(first, first + count)))
    print(f"{count} schedules, {failed} failed")
    return min(failed, 1)


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:])))
