"""The retry budget of one service over many proxies, in virtual time.

The production modules in it are `BudgetShares` and the balancer's `RetryLimiter` at each proxy, and
`BudgetAllocator` at the leader. Requests and grants of leases are lost, delayed and duplicated, leaders
change, proxies restart, traffic rises and falls, and some proxies demand retries all the time. Every retry is
checked against the limit of the window that ends with it.
"""

from __future__ import annotations

import random
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cometdoor.balancing import api
from cometdoor.balancing.attempts import RetryLimiter
from cometdoor.budget.allocator import BudgetAllocator
from cometdoor.budget.lease import LOCAL_SHARE
from cometdoor.budget.lease_client import BudgetShares
from cometdoor.wire.budget import LeaseGrant, LeaseRequest
from cometdoor.wire.call_control import CallRejected
from cometdoor.wire.frames import Message
from cometdoor.wire.peer_connection import PeerError
from simulation.timers import VirtualTimers

RATIO, SLACK, WINDOW_S = 0.2, 60.0, 10.0
SERVICE = "huts"
LEADER_ADDRESS = "the leader"
CALL_TIMEOUT_S = 1.2  # a call fails after this time without reply


@dataclass
class NetworkFaults:
    """Shares of messages that are lost, and that are delayed by up to `max_delay_s`."""

    lost_share: float = 0.0
    delayed_share: float = 0.0
    max_delay_s: float = 8.0


class Proxy:
    """A proxy: its `BudgetShares` and retry limiter, and the load and retries that it generates."""

    def __init__(self, mesh: BudgetMesh, number: int) -> None:
        self.mesh = mesh
        self.number = number
        self.requests_per_s = 0.0
        self.wanted_retries_per_s = 0.0
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        """Start a new incarnation, which has no state of the former one."""
        self.incarnation += 1
        self.budget = RetryLimiter(api.RetryBudget(0.0, RATIO * LOCAL_SHARE, WINDOW_S * 1000.0))
        self.shares = BudgetShares(
            self.mesh,  # type: ignore[arg-type]
            self,  # type: ignore[arg-type]
            f"{self.number}.{self.incarnation}",
            replica_addresses=lambda: [LEADER_ADDRESS],
            proxy_count=lambda: self.mesh.size,
            on_floor_changed=self._on_floor_changed,
            ratio=RATIO,
            slack=SLACK,
            window_s=WINDOW_S,
        )
        self.share = self.shares.for_service(SERVICE)
        self._requests_due = self._retries_due = 0.0

    def _on_floor_changed(self, service: str, floor: float) -> None:
        self.budget.floor = floor

    def call(self, peer: str, message: LeaseRequest, on_reply: Callable[[Any], None]) -> object:
        """Send a request to the leader, like `PeerConnections.call`."""
        return self.mesh.send_request(message, on_reply)

    def advance(self, seconds: float) -> None:
        mesh = self.mesh
        now = mesh.now
        self._requests_due += self.requests_per_s * seconds
        while self._requests_due >= 1.0:
            self._requests_due -= 1.0
            self.budget.on_request(now * 1000.0)
            self.share.record_request(now)
            mesh.requests.append(now)
        self._retries_due += self.wanted_retries_per_s * seconds
        while self._retries_due >= 1.0:
            self._retries_due -= 1.0
            mesh.wanted_retries += 1
            if self.budget.allows_retry(now * 1000.0):
                self.budget.on_retry_sent(now * 1000.0)
                self.share.record_retry(now)
                mesh.retries.append(now)
            else:
                self.share.record_unmet_demand(now)


class BudgetMesh(VirtualTimers):
    """Proxies, the leader that leases them the budget, and the network between them."""

    def __init__(self, size: int, seed: int, faults: NetworkFaults | None = None) -> None:
        super().__init__()
        self.size = size
        self.rng = random.Random(seed)
        self.faults = faults or NetworkFaults()
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.wanted_retries = 0
        self.messages = 0
        self.allocator: BudgetAllocator | None = BudgetAllocator(RATIO, SLACK, WINDOW_S, -100.0)
        # Its allocator, and the time until which it still responds.
        self._former_leader: tuple[BudgetAllocator, float] | None = None
        self.proxies = [Proxy(self, number) for number in range(size)]

    def advance(self, seconds: float, step_s: float = 0.05) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.run(step_s)
            for proxy in self.proxies:
                proxy.advance(step_s)

    def change_leader(self) -> None:
        """Elect another leader; the former one still responds to requests for up to a second."""
        if self.allocator is not None:
            self._former_leader = self.allocator, self.now + self.rng.uniform(0.0, 1.0)
        self.allocator = BudgetAllocator(RATIO, SLACK, WINDOW_S, self.now)

    # --- the network ---

    def send_request(self, message: LeaseRequest, on_reply: Callable[[Any], None]) -> object:
        self.messages += 1
        state = {"is_open": True}

        def reply_once(reply: Message | PeerError) -> None:
            if state["is_open"]:
                state["is_open"] = False
                on_reply(reply)

        self.call_later(CALL_TIMEOUT_S, reply_once, PeerError("answer", LEADER_ADDRESS, "silent", True))
        rng, faults = self.rng, self.faults
        if rng.random() >= faults.lost_share:
            delay_s = rng.uniform(0.0, faults.max_delay_s) if rng.random() < faults.delayed_share else 0.002
            self.call_later(delay_s, self._deliver, message, reply_once)
            if rng.random() < faults.delayed_share:
                self.call_later(delay_s + rng.uniform(0.0, 2.0), self._deliver, message, reply_once)
        return self

    def _deliver(self, message: LeaseRequest, reply_once: Callable[[Message], None]) -> None:
        allocator = self.allocator
        if self._former_leader is not None and self.now < self._former_leader[1] and self.rng.random() < 0.5:
            allocator = self._former_leader[0]
        reply: Message = (
            CallRejected("nobody leads")
            if allocator is None
            else LeaseGrant(
                self.now,
                allocator.allocate(message.incarnation, message.leader_time_s, message.demands, self.now),
            )
        )
        if self.rng.random() >= self.faults.lost_share:
            delay_s = (
                self.rng.uniform(0.0, self.faults.max_delay_s)
                if (self.rng.random() < self.faults.delayed_share)
                else 0.002
            )
            self.call_later(delay_s, reply_once, reply)

    # --- results ---

    def retries_allowed(self, end: float) -> float:
        """Return the retries that the operators' rule allows in the window that ends at `end`."""
        return RATIO * max(self._requests_in(end - back * WINDOW_S) for back in (0.0, 0.5, 1.0)) + SLACK

    def _requests_in(self, end: float) -> int:
        return bisect_right(self.requests, end) - bisect_right(self.requests, end - WINDOW_S)

    def peak_share(self) -> float:
        """Return the largest share of the allowed retries that was used in any window."""
        return max((self.retries_used(end) / self.retries_allowed(end) for end in self.retries), default=0.0)

    def retries_used(self, end: float) -> int:
        return bisect_right(self.retries, end) - bisect_right(self.retries, end - WINDOW_S)


def run_schedule(seed: int, size: int, seconds: float = 45.0) -> BudgetMesh:
    """Play random changes of traffic, demand, leaders and proxies, over a random network."""
    rng = random.Random(seed)
    mesh = BudgetMesh(size, seed, NetworkFaults(rng.choice([0.0, 0.1, 0.5]), rng.choice([0.0, 0.1, 0.4])))
    requests_per_s = rng.choice([30.0, 150.0, 600.0]) / size

    def set_traffic(factor: float) -> None:
        for proxy in mesh.proxies:
            proxy.requests_per_s = requests_per_s * factor * rng.uniform(0.2, 1.8)

    def set_demands() -> None:
        share = rng.choice([0.0, 0.1, 0.5, 1.0])
        for proxy in mesh.proxies:
            proxy.wanted_retries_per_s = 2000.0 / size if rng.random() < share else 0.0

    set_traffic(1.0)
    set_demands()
    while mesh.now < seconds:
        match rng.choice(["traffic", "demand", "demand", "leader", "no leader", "restarts"]):
            case "traffic":
                set_traffic(rng.choice([0.0, 0.1, 1.0, 1.0, 3.0]))
            case "demand":
                set_demands()
            case "leader":
                mesh.change_leader()
            case "no leader":
                mesh.allocator = None
            case _:
                share = rng.choice([0.1, 0.5, 1.0])
                for proxy in mesh.proxies:
                    if rng.random() < share:
                        proxy.shares.stop()
                        proxy.start()
        mesh.advance(rng.uniform(0.3, 6.0))
        if mesh.allocator is None:
            mesh.change_leader()
    return mesh
