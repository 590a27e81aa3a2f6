"""Isolation of services: does a fault of one affect another, and what do many services in one process cost?

It compares the figures of service `b` while all servers of service `a` are frozen with those while they are
not, in alternating rounds with the same arrivals; then the same with `b` under a closed loop. Then it
compares the throughput of 64 services with that of one.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
import tempfile
from pathlib import Path

import uvloop

from benchmarks.closed_loop import ClosedLoopClients, run_closed_loop
from benchmarks.report import median, print_progress, report
from standins.load_generator import ClassLoad, ClientLog, LoadGenerator, percentile
from standins.processes import ProxyProcess, ServerProcess, available_cores, services_file
from standins.rules import check_rules

CLASSES = {
    "look": {"effect": "safe", "aim_ms": 300, "deadline_ms": 1000},
    "book": {"effect": "keyed", "aim_ms": 300, "deadline_ms": 1000, "key_ttl_ms": 60000, "worth": 10},
    "charge": {"effect": "unsafe", "aim_ms": 300, "deadline_ms": 1000, "worth": 10},
}
RATES = {"look": 300.0, "book": 60.0, "charge": 60.0}
SERVICES = 64
ROUND_S = 0.1


def loads_of(service: str) -> list[ClassLoad]:
    return [
        ClassLoad(
            service,
            name,
            str(CLASSES[name]["effect"]),
            rate,
            f"{service}.example.org",
            f"/{name}/1",
            1.0,
            retries=0,
        )
        for name, rate in RATES.items()
    ]


async def measure_isolation(seconds: float, rounds: int) -> dict[str, float | int]:
    """Run calm and frozen rounds in turn, both with the same seeds."""
    shares, ratios, broken = [], [], 0
    servers = await ServerProcess().start(available_cores()[2])
    try:
        addresses = {name: await servers.start_servers(name, 4, 4.0) for name in ("a", "b")}
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "services.toml"
            file.write_text(services_file(addresses, CLASSES))
            proxy = await ProxyProcess(file).start(available_cores()[1])
            client_logs: dict[str, list[ClientLog]] = {"a": [], "b": []}
            try:
                await _load_both(proxy, "w", 0, 1.0)  # warms up
                for number in range(rounds):
                    p99 = {}
                    for state in ("calm", "frozen"):
                        if state == "frozen":
                            await servers.command("freeze", "a")
                        client_logs_of_round = await _load_both(proxy, f"{state}{number}", number, seconds)
                        await servers.command("thaw", "a")
                        for client_log, name in zip(client_logs_of_round, client_logs, strict=True):
                            client_logs[name].append(client_log)
                        served = [
                            attempt for attempt in client_logs_of_round[1].attempts if attempt.was_served
                        ]
                        p99[state] = percentile([attempt.seconds for attempt in served], 0.99)
                        if state == "frozen":
                            shares.append(len(served) / len(client_logs_of_round[1].attempts))
                        a_served = sum(attempt.was_served for attempt in client_logs_of_round[0].attempts)
                        print_progress(
                            f"round {number} a {state}: b served {len(served)} of "
                            f"{len(client_logs_of_round[1].attempts)}, "
                            f"p99 {p99[state] * 1000:.1f} ms; "
                            f"a served {a_served} "
                            f"of {len(client_logs_of_round[0].attempts)}"
                        )
                    ratios.append(p99["frozen"] / p99["calm"])
            finally:
                await proxy.stop()
        for name, of_service in client_logs.items():
            request_log = await servers.request_log(name)
            all_attempts = ClientLog(
                [attempt for client_log in of_service for attempt in client_log.attempts]
            )
            sent_ids = {attempt.request for attempt in all_attempts.attempts}
            request_log.entries = [entry for entry in request_log.entries if entry.request in sent_ids]
            violations = check_rules(all_attempts, request_log)
            broken += len(violations)
            for violation in violations[:5]:
                print_progress(f"{name}: rule {violation.rule}: {violation.text}")
    finally:
        await servers.stop()
    return {"served_share": min(shares), "p99_ratio": median(ratios), "rules_broken": broken}


async def measure_full_load(seconds: float, rounds: int) -> dict[str, float]:
    """Keep `b` under a closed loop while `a` is calm and frozen in turn, with the same requests to `a`."""
    ratios, served, request_count = [], 0, 0
    servers = await ServerProcess().start(available_cores()[2])
    try:
        addresses = {
            name: await servers.start_servers(name, 4, 0.0 if name == "b" else 4.0, spread=name != "b")
            for name in ("a", "b")
        }
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "services.toml"
            file.write_text(services_file(addresses, CLASSES))
            proxy = await ProxyProcess(file).start(available_cores()[1])
            try:
                for number in range(rounds):
                    rates = {}
                    for state in ("calm", "frozen"):
                        if state == "frozen":
                            await servers.command("freeze", "a")
                        load = LoadGenerator(proxy.address, loads_of("a"), number, f"full{state}{number}")
                        (rate, times, failed), _ = await asyncio.gather(
                            run_closed_loop(proxy.address, _RequestStream(["b"]), 16, seconds),
                            load.run(seconds + 0.3),
                        )
                        await servers.command("thaw", "a")
                        rates[state] = rate
                        if state == "frozen":
                            served, request_count = served + len(times), request_count + len(times) + failed
                    ratios.append(rates["frozen"] / rates["calm"])
                    print_progress(
                        f"round {number}: b at full load {rates['calm']:.0f} a second, "
                        f"{rates['frozen']:.0f} with a frozen"
                    )
            finally:
                await proxy.stop()
    finally:
        await servers.stop()
    return {"full_load_served_share": served / request_count, "full_load_rate_ratio": median(ratios)}


async def _load_both(proxy: ProxyProcess, name: str, seed: int, seconds: float) -> list[ClientLog]:
    loads = [
        LoadGenerator(proxy.address, loads_of(service), 2 * seed + index, f"{name}{service}")
        for index, service in enumerate(("a", "b"))
    ]
    return list(await asyncio.gather(*(load.run(seconds) for load in loads)))


async def measure_many_services(rounds: int) -> float:
    """Return the throughput of 64 services relative to one, with the same servers.

    Many short rounds alternate: other load on the machine changes the rate of a single one by a third.
    """
    read_class = {"look": CLASSES["look"]}
    servers = await ServerProcess().start(available_cores()[2])
    try:
        address = await servers.start_servers("s", 4, 0.0, spread=False)
        names = [f"s{number}" for number in range(SERVICES)]
        ratios = []
        with tempfile.TemporaryDirectory() as folder:
            proxies = {}
            for count in (1, SERVICES):
                file = Path(folder) / f"{count}.toml"
                file.write_text(
                    services_file({name: address for name in names[:count]}, read_class, sockets=8192)
                )
                proxies[count] = await ProxyProcess(file).start(available_cores()[1])
            try:
                clients_by_count = {
                    count: await ClosedLoopClients(
                        proxies[count].address, _RequestStream(names[:count]), 16
                    ).open()
                    for count in proxies
                }
                for number in range(rounds):
                    rates = {}
                    for count in ((1, SERVICES), (SERVICES, 1))[number % 2]:
                        rates[count], _, failed = await clients_by_count[count].measure_round(
                            ROUND_S, 0.02 if number else 0.5
                        )
                        if failed:
                            print_progress(f"{count} services: {failed} not served")
                    ratios.append(rates[SERVICES] / rates[1])
                print_progress(
                    f"{SERVICES} services over one, requests a second: quartiles "
                    + " ".join(f"{percentile(ratios, share):.3f}" for share in (0.25, 0.5, 0.75))
                )
            finally:
                for proxy in proxies.values():
                    await proxy.stop()
        return median(ratios)
    finally:
        await servers.stop()


class _RequestStream:
    """Encoded requests to the services in turn, for a closed loop."""

    def __init__(self, names: list[str]) -> None:
        self._names = itertools.cycle(names)
        self._count = itertools.count()

    def __call__(self) -> bytes:
        return b"GET /look/1 HTTP/1.1\r\nHost: %s.example.org\r\nX-Trace-Id: t%d\r\nX-Qos: look\r\n\r\n" % (
            next(self._names).encode(),
            next(self._count),
        )


async def measure(quick: bool) -> dict[str, float | int]:
    os.sched_setaffinity(0, {available_cores()[0]})
    figures = await measure_isolation(1.5 if quick else 10.0, 3 if quick else 5)
    full_load_figures = await measure_full_load(0.8, 3 if quick else 9)
    figures["served_share"] = min(figures["served_share"], full_load_figures["full_load_served_share"])
    figures["full_load_rate_ratio"] = full_load_figures["full_load_rate_ratio"]
    figures["rps_64_over_1"] = await measure_many_services(72 if quick else 400)
    return figures


if __name__ == "__main__":
    report(uvloop.run(measure("--quick" in sys.argv)))
