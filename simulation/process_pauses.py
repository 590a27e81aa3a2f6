"""Simulated meshes whose processes stand still at random times, while clients send requests of all kinds.

A seed gives the times at which data planes and control planes are paused, for how long, and which of them are
killed and restarted instead of being resumed; pauses overlap. Keys are repeated at any proxy at once, at the
end of their window, and later. Checked are, from what clients sent and backends executed:

- no key is executed twice within its window, neither by the times at which its requests were sent nor by the
  times at which they were executed (`find_repeated_executions`);
- nothing is executed after its deadline, and no attempt that is not keyed more than once unless it is
  idempotent;
- what was rejected with 408, 421, 429 or 503 is never executed;
- a successful response is that of an execution of the same key;
- afterwards every proxy serves.

    python -m simulation.process_pauses [--first SEED] [--seeds N]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import random
import sys
from collections import defaultdict
from collections.abc import Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any

import structlog

from simulation.mesh import SimulatedMesh, simulated_mesh
from standins.executions import Execution, find_repeated_executions
from standins.http_client import Headers, http_request
from standins.mesh import route
from standins.mesh_backend import HOST, OUTBOUND_PORT

WINDOW_S = 6.0
TRAFFIC_S = 26.0
SETTLE_S = 18.0  # from the last request to the final checks; longer than any pause or deadline
KEYS, PLAIN_REQUESTS = 60, 80
DEADLINES_S = (4.0, 15.0)  # of clients; those with the longer one are there after most pauses
ROUTE_TIMEOUT_S = 20.0
# A pause of up to 0.3 s may go unnoticed; the rest is delays of the network and of timers.
DEADLINE_SLACK_S = 0.5
PAUSES_S = (0.2, 0.5, 1.0, 3.0, 5.0, 7.5, 11.0)
MAX_PAUSES = 5
RESTART_SHARE = 0.2  # share of the pauses that end with a restart
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
Task = Coroutine[Any, Any, None]
ROUTE_TYPES = {"keyed": "keyed", "idempotent": "idempotent", "once": "non_idempotent"}


@dataclass
class Attempt:
    """One request of a client, and its answer; `status` is 0 without one."""

    id: str
    kind: str
    key: str
    sent_at: float
    deadline_s: float
    status: int = 0
    body: bytes = b""


@dataclass
class PauseSchedule:
    """One mesh, its pauses and its traffic; `problems` lists the failed checks afterwards."""

    mesh: SimulatedMesh
    rng: random.Random
    attempts: dict[str, Attempt] = field(default_factory=dict)  # by id
    problems: list[str] = field(default_factory=list)
    history: list[str] = field(default_factory=list)

    def run(self) -> None:
        """Play the schedule and check it."""
        more: dict[str, object] = {"timeout-s": ROUTE_TIMEOUT_S, "target-latency-s": ROUTE_TIMEOUT_S}
        routes = [route(kind, route_type, more=more) for kind, route_type in ROUTE_TYPES.items()]
        for backend in self.mesh.backends.values():
            backend.service_time_s = lambda: self.rng.choice((0.01, 0.05, 0.4))
        self.mesh.run(self.mesh.start_configured(routes=routes))
        tasks = [self.mesh.loop.create_task(task) for task in [*self._plan_traffic(), *self._plan_pauses()]]
        self.mesh.wait(TRAFFIC_S + SETTLE_S)
        self.mesh.run(asyncio.wait_for(asyncio.gather(*tasks), 1.0))
        self._check_service()
        self._check_executions()

    # --- traffic ---

    def _plan_traffic(self) -> Iterable[Task]:
        rng = self.rng
        for number in range(KEYS):
            first_at = rng.uniform(0.0, TRAFFIC_S - 2 * WINDOW_S)
            offsets = [
                rng.choice(
                    (
                        rng.uniform(0.0, 1.0),
                        WINDOW_S - rng.uniform(0.0, 3.0),
                        WINDOW_S + rng.uniform(0.0, 1.0),
                        2 * WINDOW_S - rng.uniform(0.0, 3.0),
                    )
                )
                for _ in range(rng.randint(1, 3))
            ]
            for offset in [0.0, *offsets]:
                yield self._send("keyed", f"key-{number}", first_at + offset)
        for number in range(PLAIN_REQUESTS):
            yield self._send(("idempotent", "once")[number % 2], "", rng.uniform(0.0, TRAFFIC_S))

    def _send(self, kind: str, key: str, after_s: float) -> Task:
        attempt_id = f"a-{self.rng.getrandbits(48):012x}"
        address, deadline_s = self.rng.choice(self.mesh.planes), self.rng.choice(DEADLINES_S)

        async def send() -> None:
            await asyncio.sleep(after_s)
            attempt = Attempt(attempt_id, kind, key, self.mesh.loop.time(), deadline_s)
            self.attempts[attempt_id] = attempt
            attempt.status, attempt.body = await self._request(address, attempt)

        return send()

    async def _request(self, address: str, attempt: Attempt) -> tuple[int, bytes]:
        headers: Headers = {
            "Host": HOST,
            "Cometdoor-Attempt-Id": attempt.id,
            "Cometdoor-Deadline-Ms": str(int(attempt.deadline_s * 1000)),
        }
        if attempt.key:
            headers["Cometdoor-Idempotency-Key"] = attempt.key
        try:
            status, _, body = await http_request(
                address,
                OUTBOUND_PORT,
                "POST",
                f"/{attempt.kind}/1",
                headers,
                b"seat",
                attempt.deadline_s + 0.2,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, b""
        return status, body

    # --- pauses ---

    def _plan_pauses(self) -> Iterable[Task]:
        rng = self.rng
        for _ in range(rng.randint(2, MAX_PAUSES)):
            begins_at, pause_s = rng.uniform(0.5, TRAFFIC_S - 1.0), rng.choice(PAUSES_S)
            group = rng.choice((self.mesh.planes, self.mesh.planes, self.mesh.core))
            yield self._pause(rng.choice(group), begins_at, pause_s, rng.random() < RESTART_SHARE)

    def _pause(self, address: str, begins_at: float, pause_s: float, has_restart: bool) -> Task:
        async def pause() -> None:
            await asyncio.sleep(begins_at)
            if self.mesh.is_frozen(address):
                return
            self.history.append(f"{self.mesh.loop.time():.2f} {address} is paused for {pause_s} s")
            self.mesh.freeze(address)
            await asyncio.sleep(pause_s)
            if has_restart:
                self.history.append(f"{self.mesh.loop.time():.2f} {address} is restarted")
                self.mesh.kill(address)
                await self.mesh.launch(address)
            else:
                self.mesh.thaw(address)

        return pause()

    # --- checks ---

    def _check_service(self) -> None:
        async def request_all() -> list[int]:
            attempts = [
                Attempt(f"last-{address}", "idempotent", "", self.mesh.loop.time(), DEADLINES_S[0])
                for address in self.mesh.planes
            ]
            self.attempts |= {attempt.id: attempt for attempt in attempts}
            answers = await asyncio.gather(*map(self._request, self.mesh.planes, attempts))
            return [status for status, _ in answers]

        statuses = self.mesh.run(request_all())
        if set(statuses) != {200}:
            self.problems.append(f"after all pauses the proxies answer {statuses}")

    def _check_executions(self) -> None:
        executed: dict[str, list[Execution]] = defaultdict(list)
        for execution in self.mesh.traffic_log.executions:
            attempt = self.attempts[execution.attempt]
            executed[attempt.id].append(execution)
            late_s = execution.started_at - attempt.sent_at - attempt.deadline_s
            if late_s > DEADLINE_SLACK_S:
                self.problems.append(f"{attempt.id} ({attempt.kind}) ran {late_s:.2f} s after its deadline")
        sent_at = {attempt.id: attempt.sent_at for attempt in self.attempts.values()}
        self.problems += find_repeated_executions(self.mesh.traffic_log.executions, sent_at, WINDOW_S)
        for attempt in self.attempts.values():
            self._check_answer(attempt, executed)
        self.problems += self.mesh.traffic_log.violations

    def _check_answer(self, attempt: Attempt, executed: dict[str, list[Execution]]) -> None:
        runs = executed.get(attempt.id, [])
        if len(runs) > 1 and attempt.kind == "once":
            self.problems.append(f"{attempt.id} was executed {len(runs)} times")
        if runs and attempt.status in NOT_EXECUTED_STATUSES:
            self.problems.append(f"{attempt.id} ({attempt.kind}) got {attempt.status} and was executed")
        if attempt.status == 200:
            answered_id = attempt.body.decode()
            source = self.attempts.get(answered_id)
            is_own = answered_id == attempt.id or (
                source is not None and bool(attempt.key) and source.key == attempt.key
            )
            if not is_own or answered_id not in executed:
                self.problems.append(f"{attempt.id} ({attempt.kind}) got the response to {answered_id}")


def play(seed: int) -> PauseSchedule:
    """Play the schedule of a seed."""
    with simulated_mesh(seed=seed, planes=3) as mesh:
        mesh.idempotency_window_s = WINDOW_S
        schedule = PauseSchedule(mesh, random.Random(seed))
        schedule.run()
        return schedule


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=20)
    arguments = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    failed = []
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        schedule = play(seed)
        print(
            f"seed {seed}: {len(schedule.attempts)} requests, {len(schedule.problems)} problems", flush=True
        )
        for message in schedule.problems and [*schedule.history, *schedule.problems]:
            print(f"    {message}", flush=True)
        if schedule.problems:
            failed.append(seed)
    print(json.dumps({"seeds": arguments.seeds, "failed": failed}))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
