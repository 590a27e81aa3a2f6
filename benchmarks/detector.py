"""Failure detection: time to eject unhealthy servers, false alarms, and its benefit for calls.

The real modules run in virtual time, with and without the detector, on the same seeds (servers that
accept no connection are avoided in both). On loopback sockets, a connection pool that learns how long its
servers keep idle connections is compared with one that does not. `--curves` prints detection time against
false alarms, also for other detectors (`benchmarks/detector_baselines.py`), and takes some minutes.

    python -m benchmarks.detector [--quick] [--curves]
"""

from __future__ import annotations

import argparse
import asyncio
import math
import os
import time
from functools import partial
from multiprocessing import get_context
from multiprocessing.pool import Pool as Workers
from random import Random
from statistics import fmean
from unittest import mock

import uvloop

from benchmarks.detector_baselines import CANDIDATES, Setting, detect
from benchmarks.report import median, print_progress, report
from cometdoor.balancing.outlier_detection import EndpointHealth, OutlierDetector
from cometdoor.host.attempt_outcome import AttemptResult
from cometdoor.host.connection_reuse import ConnectionReuse
from cometdoor.host.fair_share import DescriptorQuota
from cometdoor.http.backend_exchange import BackendExchange
from cometdoor.http.backend_pool import BackendConnectionPool
from cometdoor.http.messages import Response
from simulation import failing_servers, services
from simulation.invariants import InvariantError

WEAK = ("resets half", "loses one answer in eight", "frozen for 6 s", "resets nine in ten")
REQUEST = b"GET / HTTP/1.1\r\nHost: s\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class DisabledOutlierDetector(OutlierDetector):
    """No outlier detection: only servers that accept no connection are avoided."""

    def is_degraded(self, health: EndpointHealth, now: float) -> bool:
        return False

    def evaluate(self, endpoints: list[EndpointHealth], now: float) -> None:
        super().evaluate([], now)


def served(job: tuple[int, str, bool]) -> float:
    """Return the share of non-idempotent calls that were served."""
    seed, case, is_disabled = job
    with mock.patch(
        "cometdoor.balancing.balancer.OutlierDetector",
        DisabledOutlierDetector if is_disabled else OutlierDetector,
    ):
        fault_run = failing_servers.FaultSimulation(seed, case)
        fault_run.play()
    return fault_run.served_share("unsafe")


def ejection_times_ms(job: tuple[int, str]) -> list[float]:
    """Return the time until ejection (infinite: never) for each proxy that sends to the server."""
    fault_run = failing_servers.FaultSimulation(*job)
    fault_run.play()
    first = dict.fromkeys({proxy for _, proxy, name in fault_run.sends if name == "s0"}, math.inf)
    for since, proxy, name in fault_run.ejections:
        if name == "s0" and since >= 0.0:
            first[proxy] = min(first[proxy], 1000.0 * since)
    return [*first.values()]


def alarms(job: tuple[int, float]) -> tuple[int, float]:
    """Return false alarms and server-hours, at a rate of calls per server of which 2 in 100 are reset."""
    seed, rate = job
    setting = Setting(rate, sick=0.02, seconds=600.0)
    _, count = detect("likelihood ratio", 10.0, setting, seed)
    return count, setting.servers * setting.seconds / 3600.0


def broken(seed: int) -> int:
    """Return the number of schedules with a violation: one of failing servers, one of a faulty network."""
    try:
        return bool(failing_servers.play(seed)[1]) + bool(services.play(seed))
    except InvariantError:
        return 1


async def written_to_closed(learns: bool, seconds: float) -> tuple[int, int]:
    """Return the requests sent on a connection that the server had dropped, and all requests."""
    random = Random(5)
    lost = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Drop a connection silently when it was idle for longer than a limit of 0.2 to 0.6 s."""
        nonlocal lost
        loop, limit_s = asyncio.get_running_loop(), random.uniform(0.2, 0.6)
        last = loop.time()
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if loop.time() - last > limit_s:
                    lost += 1
                    break
                writer.write(RESPONSE)
                last = loop.time()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()[:2]
    loop = asyncio.get_running_loop()
    pool = BackendConnectionPool(
        loop, DescriptorQuota(1000), idle_close_ms=30_000.0, connect_timeout_ms=1000.0
    )
    calls, ends = 0, loop.time() + seconds

    async def client(number: int) -> None:
        nonlocal calls
        client_random = Random(number)
        while loop.time() < ends:
            await asyncio.sleep(client_random.expovariate(3.0))
            done: asyncio.Future[AttemptResult] = loop.create_future()
            calls += 1
            pool.send(f"s{number % 8}", address, BackendExchange(lambda: REQUEST, partial(_set_result, done)))
            await done

    is_worth_reusing = ConnectionReuse.is_worth_reusing if learns else lambda *_, **__: True
    with mock.patch.object(ConnectionReuse, "is_worth_reusing", is_worth_reusing):
        await asyncio.gather(*(client(number) for number in range(24)))
    pool.close_all_idle()
    server.close()
    return lost, calls


def _set_result(done: asyncio.Future[AttemptResult], result: AttemptResult, answer: Response | None) -> None:
    done.set_result(result)


def count_writes_to_closed(job: tuple[bool, float]) -> tuple[int, int]:
    return uvloop.run(written_to_closed(*job))


def _detect(job: tuple[str, float, Setting, int]) -> tuple[float, int]:
    return detect(*job)


def curves(workers: Workers) -> None:
    for sharing, failing in ((2, 0.02), (20, 0.02), (200, 0.02), (2, 0.2)):
        setting = Setting(10.0 / sharing, failing=failing, seconds=min(60.0 * sharing, 1200.0))
        print_progress(
            f"{sharing} proxies share each server, which gets 10 calls a second; {failing:.0%} fail, "
            "at the unhealthy one 9 in 10"
        )
        for name, (_, thresholds) in CANDIDATES.items():
            for threshold in thresholds:
                results = workers.map(_detect, [(name, threshold, setting, seed) for seed in range(24)])
                hours = len(results) * setting.servers * setting.seconds / 3600.0
                print_progress(
                    f"  {name} {threshold:g}: {median([detected for detected, _ in results]):.2f} s "
                    f"to detect, {sum(detected == math.inf for detected, _ in results)} of {len(results)} "
                    f"not, {sum(count for _, count in results) / hours:.2f} false alarms a server-hour"
                )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--curves", action="store_true")
    chosen = parser.parse_args()
    seeds, schedules = (range(4), 64) if chosen.quick else (range(16), 2000)
    started_at = time.monotonic()
    with get_context("fork").Pool(os.cpu_count()) as workers:
        if chosen.curves:
            curves(workers)
            return
        reuse_results = workers.map_async(
            count_writes_to_closed, [(learns, 20.0) for learns in (True, False)], chunksize=1
        )
        frozen = workers.map_async(
            ejection_times_ms, [(seed, "frozen for good") for seed in seeds], chunksize=1
        )
        resetting = workers.map_async(
            ejection_times_ms, [(seed, "resets nine in ten") for seed in seeds], chunksize=1
        )
        weak = [(seed, case) for seed in seeds for case in WEAK]
        served_shares = {
            is_disabled: workers.map_async(served, [(*job, is_disabled) for job in weak], chunksize=1)
            for is_disabled in (False, True)
        }
        alarm_results = workers.map_async(
            alarms, [(seed, 1.0) for seed in range(4 * len(seeds))], chunksize=1
        )
        rules = workers.map_async(broken, range(schedules), chunksize=2)
        (lost, calls), (lost_before, calls_before) = reuse_results.get()
        false_alarms, hours = map(sum, zip(*alarm_results.get(), strict=True))
        served_with, served_without = ([*served_shares[is_disabled].get()] for is_disabled in (False, True))
        detection_ms = {
            name: [time_ms for detected in results.get() for time_ms in detected]
            for name, results in (("frozen", frozen), ("resetting", resetting))
        }
        figures = {
            **{
                f"detect_ms_{name}": median([time_ms for time_ms in detected if time_ms < math.inf])
                for name, detected in detection_ms.items()
            },
            **{
                f"never_named_{name}": sum(time_ms == math.inf for time_ms in detected) / len(detected)
                for name, detected in detection_ms.items()
            },
            "false_alarms_per_server_hour": false_alarms / hours,
            "served_charge_over_before": fmean(served_with) / fmean(served_without),
            "writes_to_closed_over_before": lost / calls / (lost_before / calls_before),
            "rules_broken": sum(rules.get()),
        }
    for index, case in enumerate(WEAK):
        print_progress(
            f"{case}: {fmean(served_with[index :: len(WEAK)]):.3f} of charges served, without detection "
            f"{fmean(served_without[index :: len(WEAK)]):.3f}"
        )
    print_progress(
        f"{lost} of {calls} calls used a dropped connection, {lost_before} of {calls_before} "
        f"without learning; {false_alarms:.0f} false alarms in {hours:.0f} server-hours; "
        f"{2 * schedules} schedules; "
        f"{time.monotonic() - started_at:.0f} s"
    )
    report(figures)


if __name__ == "__main__":
    main()
