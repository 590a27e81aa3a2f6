"""A fleet of forwarders and planners in virtual time, with the production modules, drawn from one seed.

Each forwarder is a host (`cometdoor/host/balancer_host.py`) with its balancer and
`cometdoor/planning/forwarder.py`, with a clock and a delayed list of its own; planners are
`cometdoor/planning/planner.py`; servers are `standins/server_model.py` with the slow-start model. Messages
are lost, duplicated, delayed and reordered; requests lose their connection or get no response. A case
(`simulation.planning_cases`) defines the fault; all else is drawn from the seed. These invariants are checked
at every step:

- each request has one final response, before its client gives up, and nothing is sent for it afterwards;
- nothing is sent to a server that the forwarder's own list does not have as ready;
- the attempts that all forwarders together send to a starting server stay within its budget in every window.

At the end the servers' request logs are checked against the clients' logs.

    python -m simulation.planning [FIRST_SEED [COUNT [CASE]]]     prints each seed that fails
"""

from __future__ import annotations

import math
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from random import Random

from cometdoor.balancing import api
from cometdoor.balancing.api import (
    DedupScope,
    Effect,
    Endpoint,
    EndpointListKind,
    EndpointsChanged,
    EndpointState,
)
from cometdoor.host.address import Address
from cometdoor.planning.load_reports import (
    first_report_delay_ms,
)
from simulation.clients import SimulatedClients, check_at_end, draw_faults, print_failures
from simulation.invariants import InvariantError
from simulation.planning_cases import CASES
from simulation.planning_network import PlannerGroup
from simulation.planning_parties import SimulatedForwarder
from simulation.virtual_network import Network, VirtualClock, VirtualServer
from standins.load_generator import ClientLog
from standins.request_log import RequestLog
from standins.rules import RuleViolation
from standins.server_model import Behaviour, KeyStore, ServerModel, SlowStart, exponential

SLOTS = 2  # concurrent requests of a server
SETTLE_MS = 5000.0  # time after the last request within which all must end
SEND_COUNT_BIN_MS = 250.0  # width of the bins in which sends are counted


@dataclass(frozen=True, slots=True)
class Size:
    """Numbers of processes in a fleet, and its load."""

    forwarders: int = 16
    planners: int = 3
    servers: int = 8
    rate: float = 6.0  # requests a second of the mean forwarder
    skew: float = 0.7  # of traffic over forwarders: the n-th has 1 / n ** skew of the first one's
    utilization: float = 0.5  # load, as a share of the capacity of warm servers
    seconds: float = 14.0


@dataclass
class SimulatedFleet:
    """One seed's fleet: forwarders, planners, servers and the networks between them."""

    seed: int
    size: Size = field(default_factory=Size)
    case: str = "calm"
    clock: VirtualClock = field(default_factory=VirtualClock)
    request_log: RequestLog = field(default_factory=RequestLog)
    client_log: ClientLog = field(default_factory=ClientLog)

    def __post_init__(self) -> None:
        size, random = self.size, Random(f"{self.seed}:{self.case}")
        self.random = random
        self.case_spec = CASES[self.case]
        self.ends_ms = self.clock.now_ms() + 1000.0 * size.seconds
        per_server = size.forwarders * size.rate / size.servers
        self.work_s = SLOTS * size.utilization / per_server  # the mean of one request
        self.slow_start = SlowStart(
            start=0.3,
            warm_up_s=random.uniform(4.0, 8.0),
            rate=SLOTS / self.work_s,
            overload_factor=3.0,
            window_s=random.uniform(1.0, 2.5),
        )
        self.leases = 0
        self.false_alarms: set[str] = set()  # servers that were advised against without ever having a fault
        self.faulted: set[str] = set()  # servers that ever had a fault
        self.send_counts: Counter[tuple[int, str]] = Counter()  # by SEND_COUNT_BIN_MS and server
        self.clients = SimulatedClients(self.clock, self.client_log)
        self._max_list_delay_ms = random.choice([20.0, 500.0, 2000.0])
        self.planner_group = PlannerGroup(self)
        self._create_servers()
        self._create_forwarders()
        if self.case_spec.planners_live:
            for number in range(size.planners):
                self.planner_group.start(number)

    def _create_servers(self) -> None:
        random, share = self.random, [0.0, 0.0, 0.02]
        self.network = Network(self.clock, random, draw_faults(random, share))
        self.servers: dict[str, Endpoint] = {}
        self.addresses: dict[str, Address] = {}
        self.models: dict[str, VirtualServer] = {}
        self._stores = [KeyStore(), KeyStore()]
        for number in range(self.size.servers):
            self.add_server(f"s{number}")

    def add_server(self, name: str, started_ms: float = 0.0) -> None:
        """Start a server, without publishing it."""
        number = len(self.addresses)
        model = ServerModel(
            name,
            self.request_log,
            seed=self.seed,
            cell=number % 2,
            keys=self._stores[number % 2],
            slow_start=self.slow_start,
            started_at=started_ms / 1000.0 if started_ms else -math.inf,
            behaviour=Behaviour(latency=exponential(self.work_s), slots=SLOTS, queue_limit=32),
        )
        self.addresses[name] = "h", number
        self.models[name] = self.network.servers["h", number] = VirtualServer(model, self.clock)
        self.servers[name] = Endpoint(name, cell=number % 2, started_at=started_ms)

    def _create_forwarders(self) -> None:
        size, random = self.size, self.random
        latency_target_ms, deadline_ms = 6000.0 * self.work_s, 20_000.0 * self.work_s
        self.deadline_s = deadline_ms / 1000.0
        cls = partial(api.RequestClass, latency_target_ms=latency_target_ms, deadline_ms=deadline_ms)
        classes = (
            cls(),
            cls(effect=Effect.KEYED, dedup_scope=DedupScope.CELL, key_ttl_ms=60_000.0, value=10.0),
            cls(effect=Effect.UNSAFE, value=5.0),
        )
        ranks = random.sample(range(size.forwarders), size.forwarders)
        traffic_weights = [1.0 / (rank + 1) ** size.skew for rank in ranks]
        configured_forwarders = max(round(size.forwarders * self.case_spec.configured_size_ratio), 1)
        self.forwarders: list[SimulatedForwarder] = []
        for number, traffic_weight in enumerate(traffic_weights):
            settings = api.Settings(
                classes=classes,
                balancers=configured_forwarders,
                position=number % configured_forwarders,
                max_attempts=3,
                tier=1,
                tiers=2,
                slow_start_initial_share=self.slow_start.start,
                warm_up_ms=self.slow_start.warm_up_s * 1000.0,
                overload_factor=self.slow_start.overload_factor,
                overload_tolerance_ms=self.slow_start.window_s * 1000.0,
            )
            rate = size.rate * size.forwarders * traffic_weight / sum(traffic_weights)
            node = SimulatedForwarder(self, number, settings, rate)
            self.forwarders.append(node)
            node.update_list(EndpointsChanged(EndpointListKind.FULL, tuple(self.servers.values())))
            self.clock.after(random.expovariate(rate / 1000.0), partial(self._send_request, node))
            if size.planners:
                self.clock.after(first_report_delay_ms(random), node.send_reports)

    # --- advice ---

    def record_advice(self, advice: api.AdviceReceived) -> None:
        """Count advice against servers that never had a fault."""
        self.false_alarms |= {name for name in advice.weight_shares if name not in self.faulted}

    # --- requests ---

    def _send_request(self, node: SimulatedForwarder) -> None:
        if self.clock.now_ms() >= self.ends_ms:
            return
        class_index = self.random.choices((0, 1, 2), (4, 3, 3))[0]
        request = self.clients.create_request(
            "s", class_index, self.deadline_s, arrived_at=node.clock.now_ms() / 1000.0
        )
        self.clock.call_at(1000.0 * request.attempt.deadline_at + 0.01, request.check_deadline)
        node.host.accept(request, request)
        self.clock.after(self.random.expovariate(node.rate / 1000.0), partial(self._send_request, node))

    def count_send(self, server: str) -> None:
        """Count an attempt to a server, for `share_of`."""
        self.send_counts[int(self.clock.now_ms() // SEND_COUNT_BIN_MS), server] += 1

    # --- faults of servers ---

    def publish_change(self, server: Endpoint) -> None:
        """Publish a server's change to all forwarders, to each after its own delay and in order."""
        self.servers[server.name] = server
        if server.state is EndpointState.REMOVED:
            del self.servers[server.name]
        event = EndpointsChanged(EndpointListKind.DELTA, (server,))
        for node in self.forwarders:
            due = max(
                self.clock.now_ms() + self.random.uniform(0.0, self._max_list_delay_ms),
                node.list_delivered_until_ms,
            )
            node.list_delivered_until_ms = due
            self.clock.call_at(due, partial(node.update_list, event))

    def restart(self, name: str) -> None:
        self.faulted.add(name)
        self.models[name].restart()
        self.network.down_addresses.discard(self.addresses[name])
        if name in self.servers:
            self.publish_change(Endpoint(name, cell=self.servers[name].cell, started_at=self.clock.now_ms()))

    def freeze(self, name: str, for_ms: float = math.inf) -> None:
        self.faulted.add(name)
        self.models[name].freeze()
        if for_ms < math.inf:
            self.clock.after(for_ms, self.models[name].thaw)

    def drain(self, name: str) -> None:
        self.faulted.add(name)
        if name in self.servers:
            old = self.servers[name]
            self.publish_change(
                Endpoint(name, cell=old.cell, started_at=old.started_at, state=EndpointState.DRAINING)
            )

    def replace(self, name: str) -> None:
        """Stop a server for good, and start another under another name."""
        self.faulted |= {name, name + "'"}
        self.network.down_addresses.add(self.addresses[name])
        if name in self.servers:
            self.publish_change(Endpoint(name, state=EndpointState.REMOVED))
        self.add_server(name + "'", self.clock.now_ms())
        self.publish_change(self.servers[name + "'"])

    def slow_down_all(self, slowdown_factor: float) -> None:
        for server in self.models.values():
            server.model.behaviour.slowdown_factor = slowdown_factor

    # --- a run ---

    def at(self, share: float, call: Callable[[], None]) -> None:
        """Schedule a call for this share of the run."""
        self.clock.after(1000.0 * self.size.seconds * share, call)

    def play(self) -> list[RuleViolation]:
        """Return the rules that were broken. Raises InvariantError where an invariant does not hold."""
        self.case_spec.inject(self)
        self.clock.run(self.ends_ms + SETTLE_MS + 1000.0 * self.deadline_s, self._check_after_event)
        return check_at_end(self.forwarders, self.client_log, self.request_log, self.network.faults)

    def _check_after_event(self) -> None:
        if self.request_log.overload_crashes:
            server, at = self.request_log.overload_crashes[0]
            raise InvariantError(
                f"{server} was overloaded at {at:.3f} s: it got {self.slow_start_peak():.2f} of its budget"
            )

    def slow_start_peak(self) -> float:
        """Return the maximum over starting servers and windows of attempts, relative to the budget."""
        return max(server.model.slow_start_peak for server in self.models.values())

    def share_of(self, name: str, from_ms: float, to_ms: float) -> float:
        """Return the share of all sends between two times that went to a server."""
        bins = range(int(from_ms // SEND_COUNT_BIN_MS), int(to_ms // SEND_COUNT_BIN_MS))
        total = sum(count for (at, _), count in self.send_counts.items() if at in bins)
        return sum(self.send_counts[at, name] for at in bins) / total if total else 0.0

    def served_share(self) -> float:
        return sum(attempt.was_served for attempt in self.client_log.attempts) / max(
            len(self.client_log.attempts), 1
        )


def draw_fleet(seed: int, case: str | None = None) -> SimulatedFleet:
    """Draw a fleet: its case, size and load; small, so that thousands can be run."""
    random = Random(seed)
    names = [*CASES]
    return SimulatedFleet(
        seed,
        Size(
            forwarders=random.choice([6, 16, 30]),
            planners=random.choice([1, 2, 3]),
            servers=random.choice([6, 9, 14]),
            rate=random.choice([3.0, 6.0]),
            skew=random.choice([0.0, 0.7, 1.2]),
            utilization=random.uniform(0.3, 0.75),
            seconds=12.0,
        ),
        case or names[seed % len(names)],
    )


@dataclass(frozen=True, slots=True)
class Result:
    """Outcome of one schedule. `broken`: the first invariants and rules that did not hold."""

    seed: int
    case: str
    broken: tuple[str, ...]
    slow_start_peak: float
    false_alarms: int
    leases: int
    requests: int
    served: float


def run_schedule(fleet: SimulatedFleet) -> Result:
    """Run a fleet and summarize its outcome."""
    try:
        broken = tuple(f"rule {violation.rule}: {violation.text}" for violation in fleet.play()[:3])
    except InvariantError as problem:
        broken = (str(problem),)
    return Result(
        fleet.seed,
        fleet.case,
        broken,
        fleet.slow_start_peak(),
        len(fleet.false_alarms),
        fleet.leases,
        len(fleet.client_log.attempts),
        fleet.served_share(),
    )


def play(seed: int, case: str | None = None) -> Result:
    """Run the fleet of a seed; `case` replaces the drawn one."""
    return run_schedule(draw_fleet(seed, case))


def main(first: int = 1, count: int = 100, case: str | None = None) -> int:
    """Run schedules and print those that fail; return 1 if any does."""
    peak = 0.0

    def schedules() -> Iterator[tuple[str, tuple[str, ...]]]:
        nonlocal peak
        for seed in range(first, first + count):
            result = play(seed, case)
            peak = max(peak, result.slow_start_peak)
            yield f"seed {seed}, {result.case}", result.broken

    failed = print_failures(schedules())
    print(f"{count} schedules, {failed} failed; a starting server got at most {peak:.2f} of its budget")
    return min(failed, 1)


if __name__ == "__main__":
    arguments = [*sys.argv[1:], *("1", "100", "")[len(sys.argv) - 1 :]]
    sys.exit(main(int(arguments[0]), int(arguments[1]), arguments[2] or None))
