"""Keyed operations over failing proxies and control planes, in virtual time.

Each proxy has `KeyedOperations`, each replica of the control plane `Replica` and `StateMachine`; disks and
connections are those of `simulation/replica_group.py`. Clients send each key several times, to any proxy.
Backends execute requests, lose responses, or reject requests.

A schedule is correct if no key is executed twice within the window, which counts from the arrival of the
executed attempt, all responses of one execution are the same, and an attempt is reported as not executed only
if that is true and no attempt is in progress. With a short window, keys are repeated until after its end.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from cometdoor.control.leader_duties import LeaderDuties
from cometdoor.control.replica import Replica
from cometdoor.control.state_machine import ApplyResult
from cometdoor.keys.actions import (
    Execute,
    QueryOwner,
    Reject,
    ReportInProgress,
    ReportUnknown,
    Respond,
    SubmitClaim,
)
from cometdoor.keys.claims import CALL_TIMEOUT_S, CLAIM_DEADLINE_S, RETRY_DELAY_S
from cometdoor.keys.operations import KeyedOperations
from cometdoor.wire.forwarding import ForwardResponse
from cometdoor.wire.keys import OperationReply
from cometdoor.wire.log_entries import Change, Claim
from simulation.invariants import InvariantError
from simulation.replica_group import FAULTS, STEP_S, WINDOW_S, ReplicaGroup

NETWORK_DELAY_S = 0.002
QUERY_TIMEOUT_S = 1.1  # of a query to another proxy
# How executions end, equally likely. "Rejected later": after a while. The second list is that of an overload.
EXECUTION_ENDS = ["served"] * 6 + ["lost", "rejected", "rejected later"]
OVERLOADED_EXECUTION_ENDS = ["served"] * 6 + ["lost"] + ["rejected"] * 4 + ["rejected later"] * 4


@dataclass(eq=False)
class ClientAttempt:
    """One attempt of a client; `outcome` is empty while it is pending."""

    key: str
    at: float
    outcome: str = ""
    response: bytes = b""


@dataclass
class PendingClaim:
    """A claim that is proposed repeatedly until it is committed or its deadline is over."""

    claim: Claim
    on_claimed: Callable[[str, str], None]
    deadline: float
    is_over: bool = False
    proposed: list[Claim] = field(
        default_factory=list
    )  # one for each proposal; the references keep each `id()` unique


class Proxy:
    """A proxy with its keyed operations; it may stop and restart with a new incarnation."""

    def __init__(self, mesh: KeyedMesh, number: int) -> None:
        self.mesh = mesh
        self.address = f"p{number}"
        self.incarnation = 0
        self.is_up = True
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.is_up = True
        self.operations: KeyedOperations[ClientAttempt] = KeyedOperations(
            f"{self.address}.{self.incarnation}", self.mesh.window_s
        )

    def carry_out(self, actions: object, incarnation: int) -> None:
        """Carry out actions, unless they are those of a former incarnation."""
        if incarnation != self.incarnation or not self.is_up:
            return
        mesh = self.mesh
        for action in actions:  # type: ignore[attr-defined]
            match action:
                case SubmitClaim():
                    claim = Claim(action.key, action.claim_id, self.address, action.supersedes)
                    mesh.claim(
                        claim,
                        lambda owner, claim_id, key=action.key, incarnation=incarnation: (  # type: ignore[misc]
                            self.carry_out(
                                self.operations.on_claimed(key, owner, claim_id, mesh.now), incarnation
                            )
                            if incarnation == self.incarnation
                            else None
                        ),
                    )
                case Execute():
                    mesh.execute_at_backend(self, action.waiter, incarnation)
                case QueryOwner():
                    mesh.query_owner(self, action, incarnation)
                case Respond():
                    mesh.on_attempt_ended(action.waiter, "response", action.response.body)
                case Reject():
                    mesh.on_attempt_ended(action.waiter, "rejected")
                case ReportUnknown():
                    mesh.on_attempt_ended(action.waiter, "unknown")
                case ReportInProgress():
                    mesh.on_attempt_ended(action.waiter, "in progress")


@dataclass
class KeyedCounts:
    """Counts of one schedule."""

    keys: int = 0
    executions: int = 0
    answered_attempts: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)


class KeyedMesh(ReplicaGroup):
    """A replica group with proxies that submit claims on keys to it."""

    def __init__(
        self, seed: int, proxies: int = 4, replica_count: int = 3, window_s: float = WINDOW_S
    ) -> None:
        self._due: list[tuple[float, int, Callable[[], object]]] = []
        self._claims: dict[int, PendingClaim] = {}  # by the `id()` of the proposed change
        self.attempts: list[ClientAttempt] = []
        self.executions: dict[str, list[float]] = {}  # by key: arrival times of the executed attempts
        self._first_claimed_at: dict[str, float] = {}  # by key: when its first claim was applied
        self._leader_duties: dict[int, tuple[Replica, LeaderDuties]] = {}  # by machine
        self.responses: dict[str, set[bytes]] = {}
        self.claim_latencies_s: list[float] = []  # from the first proposal to the commit
        self.execution_ends = EXECUTION_ENDS
        self._events = 0
        super().__init__(seed, replica_count, window_s=window_s)
        self.proxies = [Proxy(self, number) for number in range(proxies)]

    def _call_later(self, seconds: float, callback: Callable[[], object]) -> None:
        self._events += 1
        heapq.heappush(self._due, (self.now + seconds, self._events, callback))

    def _step(self) -> None:
        while self._due and self._due[0][0] <= self.now + STEP_S:
            heapq.heappop(self._due)[2]()
        for machine_index, machine in enumerate(self.machines):
            if machine.replica is not None:
                self._advance_clock(machine_index, machine.replica)
        super()._step()

    def _advance_clock(self, machine_index: int, replica: Replica) -> None:
        known = self._leader_duties.get(machine_index)
        if known is None or known[0] is not replica:
            known = self._leader_duties[machine_index] = replica, LeaderDuties(replica)
        clock_advance = known[1].next_clock_advance(self.now)
        if clock_advance is not None:
            replica.propose(clock_advance)

    # --- clients ---

    def on_attempt(self, proxy: Proxy, key: str) -> None:
        if proxy.is_up:
            attempt = ClientAttempt(key, self.now)
            self.attempts.append(attempt)
            proxy.carry_out(proxy.operations.on_attempt(key, attempt, self.now), proxy.incarnation)
            self._call_later(
                1.8,
                lambda: (
                    proxy.carry_out(
                        proxy.operations.abandon(key, attempt, is_timed_out=True), proxy.incarnation
                    )
                    if proxy.is_up
                    else None
                ),
            )

    def on_attempt_ended(self, attempt: ClientAttempt, outcome: str, response: bytes = b"") -> None:
        if attempt.outcome:
            raise InvariantError(f"seed {self.seed}: an attempt of key {attempt.key} ended twice")
        attempt.outcome, attempt.response = outcome, response
        if response:
            self.responses.setdefault(attempt.key, set()).add(response)

    # --- control plane ---

    def claim(self, claim: Claim, on_claimed: Callable[[str, str], None]) -> None:
        self._propose_claim(PendingClaim(claim, on_claimed, self.now + CLAIM_DEADLINE_S))

    def _propose_claim(self, pending_claim: PendingClaim) -> None:
        if pending_claim.is_over:
            return
        if self.now >= pending_claim.deadline:
            pending_claim.is_over = True
            pending_claim.on_claimed("", "")
            return
        # A repeated proposal is another entry of the log with the same claim id.
        claim = Claim(
            pending_claim.claim.key,
            pending_claim.claim.claim_id,
            pending_claim.claim.owner,
            pending_claim.claim.supersedes,
        )
        is_lost = self.rng.random() < 0.02
        if is_lost or not self.propose(claim):
            self._call_later(
                CALL_TIMEOUT_S if is_lost else RETRY_DELAY_S,
                lambda: self._propose_claim(pending_claim),
            )
            return
        self._claims[id(claim)] = pending_claim
        pending_claim.proposed.append(claim)
        self._call_later(CALL_TIMEOUT_S, lambda: self._propose_claim(pending_claim))

    def _on_applied(self, index: int, change: Change, result: ApplyResult) -> None:
        super()._on_applied(index, change, result)
        if isinstance(change, Claim):
            self._first_claimed_at.setdefault(change.key, self.now)
        pending_claim = self._claims.get(id(change))
        if pending_claim is None or pending_claim.is_over or self.rng.random() < 0.02:
            return  # not a pending claim; or its reply is lost, and the claim is proposed again
        pending_claim.is_over = True
        self.claim_latencies_s.append(self.now - (pending_claim.deadline - CLAIM_DEADLINE_S))
        self._call_later(NETWORK_DELAY_S, lambda: pending_claim.on_claimed(result.owner, result.claim))

    # --- other proxies, and backends ---

    def query_owner(self, proxy: Proxy, action: QueryOwner, incarnation: int) -> None:
        def on_reply(reply: OperationReply | None) -> None:
            if incarnation == proxy.incarnation and proxy.is_up:
                proxy.carry_out(
                    proxy.operations.on_owner_reply(action.key, action.claim_id, reply, self.now), incarnation
                )

        owner = next(candidate for candidate in self.proxies if candidate.address == action.owner)
        if owner is proxy:
            proxy.operations.on_outcome_query(
                action.key, action.claim_id, lambda reply: self._call_later(0.0, lambda: on_reply(reply))
            )
            return
        state = {"is_open": True}

        def reply_once(reply: OperationReply | None) -> None:
            if state["is_open"]:
                state["is_open"] = False
                on_reply(reply)

        def query() -> None:
            if not owner.is_up or self.rng.random() < 0.03:
                self._call_later(QUERY_TIMEOUT_S, lambda: reply_once(None))
                return
            queried_incarnation = owner.incarnation

            def watch() -> None:
                if owner.incarnation != queried_incarnation or not owner.is_up:
                    reply_once(None)
                elif state["is_open"]:
                    self._call_later(QUERY_TIMEOUT_S, watch)

            self._call_later(QUERY_TIMEOUT_S, watch)
            owner.operations.on_outcome_query(
                action.key,
                action.claim_id,
                lambda reply: self._call_later(NETWORK_DELAY_S, lambda: reply_once(reply)),
            )

        self._call_later(NETWORK_DELAY_S, query)

    def execute_at_backend(self, proxy: Proxy, attempt: ClientAttempt, incarnation: int) -> None:
        key = attempt.key
        kind = self.rng.choice(self.execution_ends)

        def finish() -> None:
            if incarnation != proxy.incarnation or not proxy.is_up:
                return
            operations = proxy.operations
            if kind == "served":
                response = ForwardResponse(200, [], f"{key}/{len(self.executions[key])}".encode())
                proxy.carry_out(operations.on_response(key, response), incarnation)
            elif kind == "lost":
                proxy.carry_out(operations.on_execution_failed(key), incarnation)
            else:
                proxy.carry_out(operations.on_not_executed(key, self.now), incarnation)

        if not kind.startswith("rejected"):
            # The request reaches the backend even if the proxy stops now.
            self._call_later(NETWORK_DELAY_S, lambda: self._start_execution(attempt))
        self._call_later(self.rng.uniform(0.005, 0.4), finish)

    def _start_execution(self, attempt: ClientAttempt) -> None:
        executions = self.executions.setdefault(attempt.key, [])
        executions.append(attempt.at)
        if len(executions) > 1 and executions[-1] - executions[-2] < self.window_s:
            raise InvariantError(
                f"seed {self.seed}: key {attempt.key} was executed for attempts that arrived at "
                f"{', '.join(f'{at:.3f}' for at in executions)}"
            )

    # --- results ---

    def check_nothing_lost(self) -> None:
        """Raise InvariantError unless a leader has everything acknowledged whose window can't be over."""
        self.acknowledged = [
            (index, change)
            for index, change in self.acknowledged
            if not isinstance(change, Claim) or self.now - self._first_claimed_at[change.key] < self.window_s
        ]
        super().check_nothing_lost()

    def check_keyed_invariants(self) -> KeyedCounts:
        """Return the counts.

        Raises InvariantError if a key got more responses than executions.
        """
        counts = KeyedCounts(
            len({attempt.key for attempt in self.attempts}), sum(map(len, self.executions.values()))
        )
        for key, responses in self.responses.items():
            if len(responses) > len(self.executions.get(key, [])):
                raise InvariantError(f"seed {self.seed}: key {key} got too many responses: {responses}")
        for attempt in self.attempts:
            counts.outcomes[attempt.outcome] = counts.outcomes.get(attempt.outcome, 0) + 1
        counts.answered_attempts = counts.outcomes.get("response", 0)
        return counts


def run_keyed_schedule(
    seed: int,
    seconds: float = 12.0,
    settle_s: float = 4.5,
    window_s: float = WINDOW_S,
    late_repeat_s: float = 3.0,
    execution_ends: list[str] = EXECUTION_ENDS,
) -> KeyedCounts:
    """Play random losses of a replica, of all power and of proxies, with keyed requests all the time.

    `late_repeat_s`: many attempts come up to this long after the first attempt of their key.
    Raises InvariantError.
    """
    mesh = KeyedMesh(seed, proxies=4, replica_count=3 if seed % 2 else 5, window_s=window_s)
    mesh.execution_ends = execution_ends
    mesh.run_until_leader()
    rng = mesh.rng
    keys = 0
    victim: int | None = None
    restore_at = 0.0
    while mesh.now < seconds:
        for _ in range(rng.randrange(4)):
            keys += 1
            key = f"k{keys}"
            proxies = rng.sample(mesh.proxies, 2)
            for _ in range(rng.choice([1, 1, 2, 4, 6])):
                delay_s = rng.choice([0.0, 0.0, 0.3, late_repeat_s, late_repeat_s]) * rng.random()
                mesh._call_later(delay_s, partial(mesh.on_attempt, rng.choice(proxies), key))
        if victim is None and rng.random() < 0.15:
            victim = mesh.pick_victim()
            restore_at = mesh.now + rng.uniform(0.2, 2.0)
            mesh.inject_fault(fault := rng.choice(FAULTS), victim)
            if fault == "all":
                for proxy in mesh.proxies:
                    proxy.is_up = False
        if rng.random() < 0.1:
            rng.choice(mesh.proxies).is_up = False
        for proxy in mesh.proxies:
            if not proxy.is_up and rng.random() < 0.3:
                proxy.start()
        mesh.run(rng.uniform(0.05, 0.3))
        if victim is not None and mesh.now >= restore_at:
            mesh.restore()
            mesh.run(2.5)  # until a returned machine has caught up, it still counts as lost
            victim = None
    mesh.restore()
    for proxy in mesh.proxies:
        if not proxy.is_up:
            proxy.start()
    for key in sorted({attempt.key for attempt in mesh.attempts})[::3]:
        mesh.on_attempt(rng.choice(mesh.proxies), key)
    mesh.run(settle_s)
    mesh.run_until_leader()
    mesh.check_nothing_lost()
    return mesh.check_keyed_invariants()
