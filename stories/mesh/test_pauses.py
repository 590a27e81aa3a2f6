"""Simulated meshes: a proxy that stood still executes nothing that lay unread for too long."""

import asyncio
import logging
from unittest import mock

import structlog
from ward import each, test

from cometdoor.host.pause_monitor import PauseMonitor
from simulation.mesh import SimulatedMesh, simulated_mesh
from simulation.process_pauses import play
from standins.mesh import route

structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
WINDOW_S = 60.0
KINDS = ("keyed", "idempotent", "once")


def start(mesh: SimulatedMesh, timeout_s: float) -> None:
    more: dict[str, object] = {"timeout-s": timeout_s, "target-latency-s": timeout_s}
    types = {"keyed": "keyed", "idempotent": "idempotent", "once": "non_idempotent"}
    mesh.run(mesh.start_configured(routes=[route(kind, types[kind], more=more) for kind in KINDS]))


# review/5 (TWICE): repeats that were sent inside the window lay unread until its end, and were executed.
@test("a repeat that lies unread in a stopped proxy for {pause_s} s at its window's end is not executed")
def _(pause_s: float = each(0.5, 3.0, 11.0)) -> None:
    with simulated_mesh(seed=51, planes=3) as mesh:
        start(mesh, 20.0)
        first, stopped = mesh.planes[0], mesh.planes[1]
        keys = [f"k-{number}" for number in range(6)]

        async def send_all(address: str) -> list[int]:
            return [
                status
                for status, _ in await asyncio.gather(
                    *(mesh.attempt_once(address, "keyed", key, deadline_ms=15_000) for key in keys)
                )
            ]

        assert mesh.run(send_all(first)) == [200] * len(keys)
        mesh.wait(WINDOW_S - 3.0)
        mesh.freeze(stopped)
        repeats = mesh.loop.create_task(send_all(stopped))
        mesh.wait(pause_s)
        mesh.thaw(stopped)
        assert set(mesh.run(asyncio.wait_for(repeats, 20.0))) <= {200, 503}
        assert set(mesh.traffic_log.runs_by_key.values()) == {1}, mesh.traffic_log.runs_by_key
        # The same repeat is served once the proxy has read what lay there; the window may have ended by then.
        mesh.wait(1.0)
        assert mesh.run(send_all(stopped)) == [200] * len(keys)


# review/6 (TWICE): a proxy that had stood still executed requests 70 s after their clients' deadline.
@test("a proxy that stood still for {pause_s} s executes no request whose deadline has passed, of no kind")
def _(pause_s: float = each(6.0, 74.0)) -> None:
    with simulated_mesh(seed=52, planes=3) as mesh:
        start(mesh, 4.0)
        caller, stopped = mesh.planes[0], mesh.planes[1]

        async def send_all() -> list[int]:
            return [
                status
                for status, _ in await asyncio.gather(
                    *(
                        mesh.attempt_once(caller, kind, f"k-{number}" if kind == "keyed" else "", 4000)
                        for number in range(12)
                        for kind in KINDS
                    )
                )
            ]

        mesh.freeze(stopped)
        frozen_at = mesh.loop.time()
        statuses = mesh.run(send_all())
        assert 200 in statuses and 502 in statuses, statuses
        mesh.wait(frozen_at + pause_s - mesh.loop.time())
        runs_before = mesh.traffic_log.runs.copy()
        mesh.thaw(stopped)
        mesh.wait(3.0)
        assert mesh.traffic_log.runs == runs_before, mesh.traffic_log.runs - runs_before
        assert not mesh.find_violations(), mesh.find_violations()


@test("no request runs twice or too late at proxies and replicas that stand still at random, seed {seed}")
def _(seed: int = each(1, 7, 26)) -> None:
    schedule = play(seed)
    assert not schedule.problems, [*schedule.history, *schedule.problems]


@test(
    "random pauses find keys that are executed twice, and too late, by a proxy that does not notice a pause"
)
def _() -> None:
    with mock.patch.object(PauseMonitor, "input_age_s", lambda monitor, now: 0.0):
        problems = "".join(play(19).problems)
    assert "executed twice" in problems and "after its deadline" in problems
