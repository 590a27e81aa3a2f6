"""Common parts of the simulations of balancer hosts: clients, checked senders, random faults, final checks.

`simulation.services`, `simulation.planning` and `simulation.failing_servers` run the production hosts in
virtual time; each adds its own faults and events.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from random import Random

from cometdoor.balancing import api
from cometdoor.balancing.api import DedupScope, Effect, Endpoint, EndpointState
from cometdoor.host.address import Address
from cometdoor.host.attempt_outcome import AttemptResult
from cometdoor.host.balancer_host import BalancerHost
from simulation.invariants import InvariantError
from simulation.virtual_network import Faults, Network, VirtualAttempt, VirtualClock
from standins.load_generator import ClientAttempt, ClientLog, ClientOutcome
from standins.request_log import RequestLog
from standins.rules import RuleViolation, check_rules
from standins.server_model import Reply

CLASSES = (
    api.RequestClass(latency_target_ms=200.0, deadline_ms=600.0),
    api.RequestClass(
        latency_target_ms=200.0,
        deadline_ms=600.0,
        effect=Effect.KEYED,
        dedup_scope=DedupScope.CELL,
        key_ttl_ms=60_000.0,
        value=10.0,
    ),
    api.RequestClass(latency_target_ms=200.0, deadline_ms=600.0, effect=Effect.UNSAFE, value=10.0),
)
EFFECTS = ("safe", "keyed", "unsafe")  # by class index, in the terms of the rules


@dataclass(slots=True, eq=False)
class SimulatedRequest:
    """A client's request; the host calls it when it ends, which must happen once and in time."""

    clock: VirtualClock
    attempt: ClientAttempt
    class_index: int
    arrived_at: float
    remaining_ms: float
    tenant: int = 0
    cost_ms: float | None = None
    is_retry: bool = False

    def on_response(self, reply: Reply) -> None:
        """End with the server's response."""
        self._end(reply.status)

    def on_rejected(self, retry_after_ms: float) -> None:
        """End with the host's own 503."""
        self._end(503)

    def on_failed(self) -> None:
        """End with the host's own 502."""
        self._end(502)

    def is_pending(self) -> bool:
        """Return whether it has no final response yet."""
        return self.attempt.outcome is ClientOutcome.PENDING

    def check_deadline(self) -> None:
        """Raise InvariantError if the client's deadline is over without a final response."""
        if self.is_pending() and self.clock.now() > self.attempt.deadline_at:
            late_s = self.clock.now() - self.attempt.deadline_at
            raise InvariantError(
                f"{self.attempt.request} has no final response {late_s:.4f} s after its deadline"
            )

    def _end(self, status: int) -> None:
        now = self.clock.now()
        if not self.is_pending():
            raise InvariantError(f"{self.attempt.request} got a second final response")
        if now > self.attempt.deadline_at:
            raise InvariantError(
                f"{self.attempt.request} got its final response {now - self.attempt.deadline_at:.4f} s late"
            )
        self.attempt.outcome, self.attempt.status, self.attempt.ended_at = ClientOutcome.ANSWERED, status, now


class SimulatedClients:
    """The clients of one simulation: they log each request that they make, for the check of the rules."""

    def __init__(self, clock: VirtualClock, log: ClientLog) -> None:
        self._clock = clock
        self._log = log
        self._watched: list[SimulatedRequest] = []  # those without a final response at the last check

    def create_request(
        self, client: str, class_index: int, deadline_s: float, arrived_at: float | None = None
    ) -> SimulatedRequest:
        """Log a new request.

        `arrived_at`: the time on the clock of the host that receives it, if that host has its own clock.
        """
        number = len(self._log.attempts) + 1
        now = self._clock.now()
        attempt = ClientAttempt(
            number,
            client,
            EFFECTS[class_index],
            EFFECTS[class_index],
            f"{client}-{number}",
            f"k{number}" if class_index == 1 else "",
            now,
            now + deadline_s,
        )
        self._log.attempts.append(attempt)
        return SimulatedRequest(
            self._clock, attempt, class_index, now if arrived_at is None else arrived_at, deadline_s * 1000.0
        )

    def watch(self, request: SimulatedRequest) -> None:
        """Check the request's deadline in `check_deadlines` from now on."""
        self._watched.append(request)

    def check_deadlines(self) -> None:
        """Raise InvariantError if a watched request has no final response after its client's deadline."""
        for request in self._watched:
            request.check_deadline()
        self._watched = [request for request in self._watched if request.is_pending()]


class CheckedSender:
    """A host's `BackendTransport` in virtual time (`cometdoor.host.interfaces`), with checks of every send.

    `servers_by_name`: the servers in the host's own list.
    """

    host: BalancerHost[SimulatedRequest, Reply]

    def __init__(self, name: str, network: Network) -> None:
        self.name = name
        self.network = network
        self.servers_by_name: dict[str, Endpoint] = {}

    def send(
        self,
        server: str,
        address: Address,
        request: SimulatedRequest,
        until_ms: float,
        done: Callable[[AttemptResult, Reply | None], None],
    ) -> VirtualAttempt:
        """Send an attempt over the simulated network. Raises InvariantError if it must not be sent."""
        if not request.is_pending():
            raise InvariantError(f"{request.attempt.request} is sent after its final response")
        self.check_server(server, address, request)
        return self.network.send(address, request.attempt.request, request.attempt.key, done)

    def check_server(self, server: str, address: Address, request: SimulatedRequest) -> None:
        """Raise InvariantError unless the server is ready in the host's own list."""
        endpoint = self.servers_by_name.get(server)
        if endpoint is None or endpoint.state is not EndpointState.READY:
            raise InvariantError(f"{self.name} sends to {server}, which is not ready in its list")

    def close_idle(self, server: str) -> None:
        """Do nothing: the simulated network has no idle connections."""

    def retire(self, server: str) -> None:
        """Do nothing: the simulated network has no connections to retire."""


def draw_faults(random: Random, shares: Sequence[float]) -> Faults:
    """Draw the network's faults, each from `shares`."""
    return Faults(
        connect_failure_share=random.choice(shares),
        break_before_write_share=random.choice(shares),
        break_after_write_share=random.choice(shares),
        no_response_share=random.choice(shares),
    )


def check_at_end(
    senders: Iterable[CheckedSender], client_log: ClientLog, request_log: RequestLog, faults: Faults
) -> list[RuleViolation]:
    """Return the rules that the logs show to be broken. Raises InvariantError if a host is not empty."""
    for sender in senders:
        if sender.host.open_requests() or not sender.host.is_empty():
            raise InvariantError(f"{sender.name} has open requests or is not empty at the end")
    # Two messages, to connect and to write, each with the maximum delay.
    round_trip_s = 2.0 * (faults.delay_ms[1] + faults.late_ms) / 1000.0
    return check_rules(client_log, request_log, network_slack_s=round_trip_s)


def print_failures(schedules: Iterable[tuple[str, Sequence[str]]]) -> int:
    """Print each schedule with a violation; return how many there were."""
    failed = 0
    for name, problems in schedules:
        if problems:
            failed += 1
            print(f"{name}: " + "; ".join(problems[:3]))
    return failed
