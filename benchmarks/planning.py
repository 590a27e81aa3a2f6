"""What do planners improve for a fleet of forwarders, and what do they cost when they are dead or wrong?

Two fleets of real processes use the same stand-in servers: one is configured with planners, the other
without. They get the same traffic in turn. Servers warm up, restart, slow down together and freeze.
Planners are dead from the start, alive, killed in turn, and restarted without state.

    avoid_s_*                  time until a server that is frozen for good gets at most a twentieth of its
                               former requests, for the rest of the phase; else the phase's length
    sick_share_*               share of all requests in that phase that were sent to it
    cold_peak_over_budget      maximum number of requests to a server in slow start in a window, over the
                               number that crashes it
    false_alarms               healthy servers that a planner found unhealthy, also under a shared slowdown
    p99_ratio_planners_dead    99th percentile of forwarders with dead planners, over those without planners
    stand_ins_late_ms          maximum time by which stand-in servers read messages late. Above the margin of
                               rule 1 (50 ms) the machine was too busy, and `rules_broken` is a consequence
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import msgspec
import uvloop

from benchmarks.report import print_progress, report
from cometdoor.planning.load_reports import server_id
from cometdoor.planning.status import Status
from standins.discovery_server import DiscoveryServer
from standins.load_generator import ClassLoad, ClientLog, LoadGenerator, percentile
from standins.processes import PlannerProcess, ProxyProcess, ServerProcess, available_cores
from standins.request_log import RequestLog
from standins.rules import NETWORK_SLACK_S, check_rules

FORWARDERS, PLANNERS, SERVERS = 48, 3, 12
RATE = 9.0  # requests a second at each forwarder
WORK_MS, SLOTS = 12.0, 1  # of a server: it serves 83 requests a second when warm, and gets 36
LATENCY_TARGET_MS, DEADLINE_MS = 200.0, 800.0
SLOW_START = {
    "start": 0.3,
    "warm_up_s": 3.0,
    "rate": 1000.0 * SLOTS / WORK_MS,
    "overload_factor": 3.0,
    "window_s": 1.0,
}
EFFECT_SHARES = {"safe": 0.4, "keyed": 0.3, "unsafe": 0.3}
AVOIDED_SHARE = 0.05  # of the mean attempts per server before the freeze; up to this it counts as avoided
WINDOW_S = 1.0  # shortest end of the phase over which a server must have been avoided


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def services_file(discovery: str, index: int) -> str:
    lines = [
        "[[listener]]",
        'address = "127.0.0.1:0"',
        "[fleet]",
        f"proxies = {FORWARDERS}",
        f"place = {index}",
        "[[service]]",
        'name = "s"',
        f'discovery = "{discovery}"',
        'routes = [{host = "s.example.org"}]',
        "[service.cold]",
        f"from = {SLOW_START['start']}",
        f"warm_up_ms = {1000 * SLOW_START['warm_up_s']}",
        f"overload_factor = {SLOW_START['overload_factor']}",
        f"fall_ms = {1000 * SLOW_START['window_s']}",
    ]
    for effect in EFFECT_SHARES:
        lines += [
            f"[service.classes.{effect}]",
            f'effect = "{effect}"',
            f"aim_ms = {LATENCY_TARGET_MS}",
            f"deadline_ms = {DEADLINE_MS}",
            *(["key_ttl_ms = 60000"] if effect == "keyed" else []),
        ]
    return "\n".join([*lines, ""])


KEYS = '[keys]\nseal_with = 1\n[[keys.known]]\nnumber = 1\nfile = "key"\n'


class Testbed:
    """Servers, discovery, planners, and the two fleets."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.discovery = DiscoveryServer()
        self.planner_addresses = [free_address() for _ in range(PLANNERS)]
        self.status_addresses = [free_address() for _ in range(PLANNERS)]
        self.planners: dict[int, PlannerProcess] = {}
        self.fleets: dict[str, list[ProxyProcess]] = {}
        self.client_logs: list[ClientLog] = []
        self.never_disturbed = {f"s-{number}" for number in range(SERVERS)}  # servers without any fault
        self.false_alarms: set[tuple[int, str]] = set()
        self._rounds = 0
        (folder / "key").write_text("5c" * 32)

    async def start(self) -> Testbed:
        await self.discovery.start()
        self.servers = await ServerProcess().start(available_cores()[1])
        self.addresses = await self.servers.start_servers("s", SERVERS, WORK_MS, slots=SLOTS, cold=SLOW_START)
        for name, address in self.addresses.items():
            self.discovery.publish(name, address)
        services_path = self.folder / "services"
        for index in range(FORWARDERS):
            (self.folder / f"services{index}").write_text(services_file(self.discovery.host_port(), index))
            (self.folder / f"forwarder{index}").write_text(
                f'[forwarder]\nnumber = {index}\n{KEYS}[[service]]\nname = "s"\nplanners = '
                f"{self.planner_addresses}\n"
            )
        for number in range(PLANNERS):
            (self.folder / f"planner{number}").write_text(
                f"[planner]\nnumber = {number}\nplanners = {PLANNERS}\nstatus = "
                f'"{self.status_addresses[number]}"\n'
                f'{KEYS}[[fleet]]\nservice = "s"\nlisten = "{self.planner_addresses[number]}"\n'
                f"forwarders = {FORWARDERS}\n"
                f"[fleet.cold]\nfrom = {SLOW_START['start']}\nwarm_up_ms = {1000 * SLOW_START['warm_up_s']}\n"
                f"overload_factor = {SLOW_START['overload_factor']}\nfall_ms = "
                f"{1000 * SLOW_START['window_s']}\n"
            )
        proxy_cores = available_cores()[3:8]
        for name in ("with_planners", "without_planners"):
            arguments = [
                ("--planning", f"{self.folder}/forwarder{index}") if name == "with_planners" else ()
                for index in range(FORWARDERS)
            ]
            self.fleets[name] = list(
                await asyncio.gather(
                    *(
                        ProxyProcess(Path(f"{services_path}{index}"), *arguments[index]).start(
                            proxy_cores[index % len(proxy_cores)]
                        )
                        for index in range(FORWARDERS)
                    )
                )
            )
        return self

    async def stop(self) -> None:
        for fleet in self.fleets.values():
            await asyncio.gather(*(proxy.stop() for proxy in fleet))
        for planner in self.planners.values():
            await planner.stop()
        await self.servers.stop()
        self.discovery.stop()

    async def start_planner(self, number: int) -> None:
        self.planners[number] = await PlannerProcess(self.folder / f"planner{number}").start(
            available_cores()[2]
        )

    async def kill_planner(self, number: int) -> None:
        await self.planners.pop(number).kill()

    async def status(self, number: int) -> Status:
        host, port = self.status_addresses[number].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        status = msgspec.json.decode(await reader.read(), type=Status)
        writer.close()
        return status

    async def restart(self, number: int) -> None:
        name = f"s-{number}"
        self.never_disturbed.discard(name)
        await self.servers.command("restart", "s", number=number)
        self.discovery.publish(name, self.addresses[name], up_since_ms=round(time.time() * 1000))

    async def send_traffic(self, fleet: str, seconds: float, seed: int | None = None) -> list[ClientLog]:
        """Send traffic to all forwarders of the fleet; read the planners' status meanwhile."""
        self._rounds += 1
        seed = self._rounds if seed is None else seed
        loads = [
            LoadGenerator(
                proxy.address, self._classes(), seed * 1000 + index, f"{fleet}{self._rounds}p{index}"
            )
            for index, proxy in enumerate(self.fleets[fleet])
        ]
        watch_task = asyncio.ensure_future(self._watch_status())
        client_logs = list(await asyncio.gather(*(load.run(seconds) for load in loads)))
        watch_task.cancel()
        self.client_logs += client_logs
        return client_logs

    @staticmethod
    def _classes() -> list[ClassLoad]:
        return [
            ClassLoad(
                "s", effect, effect, RATE * share, "s.example.org", f"/{effect}/1", DEADLINE_MS / 1000.0, 0
            )
            for effect, share in EFFECT_SHARES.items()
        ]

    async def _watch_status(self) -> None:
        ids = {server_id(name).hex(): name for name in self.addresses}
        while True:
            await asyncio.sleep(0.25)
            for number in list(self.planners):
                try:
                    status = await self.status(number)
                except (OSError, msgspec.DecodeError):
                    continue  # it is being killed or started
                self.false_alarms |= {
                    (number, ids[unhealthy_server.server])
                    for unhealthy_server in status.fleets[0].unhealthy
                    if ids.get(unhealthy_server.server) in self.never_disturbed
                }

    async def peak(self) -> float:
        """Return the slow-start peak of all servers since the last call."""
        return float((await self.servers.command("slow_start_peak", "s"))["peak"])


def p99_ms(client_logs: Sequence[ClientLog]) -> float:
    return 1000.0 * percentile(
        [
            attempt.seconds
            for client_log in client_logs
            for attempt in client_log.attempts
            if attempt.was_served
        ],
        0.99,
    )


def served(client_logs: Sequence[ClientLog]) -> float:
    attempts = [attempt for client_log in client_logs for attempt in client_log.attempts]
    return sum(attempt.was_served for attempt in attempts) / len(attempts)


async def measure_frozen_server(
    testbed: Testbed, fleet: str, number: int, seconds: float
) -> tuple[float, float]:
    """Freeze a server under load; return the time until it is avoided, and its share of all attempts."""
    name = f"s-{number}"
    testbed.never_disturbed.discard(name)

    async def freeze() -> float:
        await asyncio.sleep(1.0)
        await testbed.servers.command("freeze", "s", number=number)
        return time.monotonic()

    client_logs, frozen_at = await asyncio.gather(testbed.send_traffic(fleet, seconds + 1.0), freeze())
    request_log = await testbed.servers.request_log("s")
    await testbed.servers.command("thaw", "s", number=number)
    sent_ids = {attempt.request for client_log in client_logs for attempt in client_log.attempts}
    sends = [
        (entry.first_byte_at - frozen_at, entry.server)
        for entry in request_log.entries
        if entry.request in sent_ids
    ]
    fair_share = sum(-1.0 <= sent_s < 0.0 for sent_s, _ in sends) / SERVERS
    unhealthy = [sent_s for sent_s, server in sends if server == name and 0.0 <= sent_s < seconds]
    steps = [step / 20.0 for step in range(int(20 * (seconds - WINDOW_S)) + 1)]
    avoided = next(
        (
            step
            for step in steps
            if sum(sent_s >= step for sent_s in unhealthy) <= AVOIDED_SHARE * fair_share * (seconds - step)
        ),
        seconds,
    )
    print_progress(
        f"{fleet}: sends to {name} by half seconds "
        + " ".join(
            str(sum(step <= sent_s < step + 0.5 for sent_s, server in sends if server == name))
            for step in (-1.0, -0.5, *(step / 2.0 for step in range(int(2 * seconds))))
        )
    )
    share = len(unhealthy) / sum(0.0 <= sent_s < seconds for sent_s, _ in sends)
    print_progress(
        f"{fleet}: {name} is frozen, avoided after {avoided:.2f} s, {share:.4f} of {len(sends)} sends; "
        f"served {served(client_logs):.3f}"
    )
    return avoided, share


async def measure_dead_planners(testbed: Testbed, rounds: int) -> float:
    """Return the ratio of the 99th percentiles with dead planners and without planners.

    The servers are fast meanwhile: with their usual work the percentile is that of their queues, which varies
    by half from one second to the next in either fleet.
    """
    await testbed.servers.command("set", "s", behaviour={"slowdown_factor": 0.1})
    client_logs: dict[str, list[ClientLog]] = {"with_planners": [], "without_planners": []}
    for number in range(2 * rounds):
        for fleet in (
            ("with_planners", "without_planners") if number % 2 else ("without_planners", "with_planners")
        ):
            client_logs[fleet] += await testbed.send_traffic(fleet, 0.7, 7000 + number)
    await testbed.servers.command("set", "s", behaviour={"slowdown_factor": 1.0})
    p99 = {fleet: p99_ms(client_logs[fleet]) for fleet in client_logs}
    print_progress(
        f"planners dead: p99 {p99['with_planners']:.2f} ms, without planners {p99['without_planners']:.2f} ms"
    )
    return p99["with_planners"] / p99["without_planners"]


async def measure_cold_start(testbed: Testbed, label: str, number: int, seconds: float) -> float:
    """Restart a server under load; return its slow-start peak."""
    await testbed.peak()

    async def start() -> None:
        await asyncio.sleep(0.3)
        await testbed.restart(number)

    client_logs, _ = await asyncio.gather(testbed.send_traffic("with_planners", seconds), start())
    peak = await testbed.peak()
    print_progress(
        f"{label}: s-{number} restarts, peak load {peak:.2f} of what crashes it; served "
        f"{served(client_logs):.3f}"
    )
    return peak


def violations(testbed: Testbed, request_log: RequestLog, drained: dict[str, float]) -> int:
    rule_violations = check_rules(
        ClientLog([attempt for client_log in testbed.client_logs for attempt in client_log.attempts]),
        request_log,
        drained,
    )
    for violation in rule_violations[:5]:
        print_progress(f"rule {violation.rule}: {violation.text}")
    return len(rule_violations)


async def measure(quick: bool) -> dict[str, float | int]:
    os.sched_setaffinity(0, {available_cores()[0]})
    rounds, pause_s, phase_s = (2, 1.0, 4.0) if quick else (12, 3.0, 8.0)
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        testbed = Testbed(Path(folder))
        try:
            await testbed.start()
            print_progress(f"{2 * FORWARDERS} forwarders up after {time.monotonic() - started_at:.1f} s")
            for fleet in ("with_planners", "without_planners"):
                await testbed.send_traffic(fleet, 1.0)
            ratio = await measure_dead_planners(testbed, rounds)
            peaks = [await measure_cold_start(testbed, "planners dead from the start", 1, 1.5 * pause_s)]
            avoid_s_without, share_without = await measure_frozen_server(
                testbed, "without_planners", 0, phase_s
            )
            for number in range(PLANNERS):
                await testbed.start_planner(number)
            await testbed.send_traffic(
                "with_planners", 3.2
            )  # planners issue leases once those of a former incarnation have expired
            slow = testbed.servers.command("set", "s", behaviour={"slowdown_factor": 2.5})
            await asyncio.gather(testbed.send_traffic("with_planners", 2.0 * pause_s), slow)
            await testbed.servers.command("set", "s", behaviour={"slowdown_factor": 1.0})
            peaks.append(await measure_cold_start(testbed, "all planners live", 2, 2.0 * pause_s))
            status = await testbed.status(0)
            message_bytes_per_s = message_bytes_per_forwarder_s(status)
            for number in range(PLANNERS):
                await testbed.kill_planner(number)
                peaks.append(
                    await measure_cold_start(
                        testbed, f"planner {number} just killed", 3 + number, 1.5 * pause_s
                    )
                )
                await testbed.start_planner(number)
            await testbed.send_traffic("with_planners", 1.0)
            avoid_s_with, share_with = await measure_frozen_server(testbed, "with_planners", 0, phase_s)
            testbed.discovery.publish("s-7", testbed.addresses["s-7"], "terminating")
            await testbed.send_traffic("with_planners", 1.0)
            drained = {"s-7": testbed.discovery.notified_at["s-7", "terminating"]}
            request_log = await testbed.servers.request_log("s")
            late_ms = (await testbed.servers.command("late_ms", "s"))["late_ms"]
            if late_ms > 1000.0 * NETWORK_SLACK_S:
                print_progress(
                    f"the machine is too busy for these figures: servers read up to {late_ms:.0f} ms late"
                )
            broken = violations(testbed, request_log, drained)
            print_progress(
                f"{len(testbed.false_alarms)} false alarms {sorted(testbed.false_alarms)[:5]}; "
                f"{time.monotonic() - started_at:.0f} s"
            )
        finally:
            await testbed.stop()
    return {
        "cold_peak_over_budget": max(peaks),
        "rules_broken": broken,
        "avoid_s_with": avoid_s_with,
        "avoid_s_without": avoid_s_without,
        "sick_share_with": share_with,
        "sick_share_without": share_without,
        "false_alarms": len(testbed.false_alarms),
        "p99_ratio_planners_dead": ratio,
        "note_bytes_per_forwarder_s": message_bytes_per_s,
        "stand_ins_late_ms": late_ms,
    }


def message_bytes_per_forwarder_s(status: Status) -> float:
    """Return the bytes a second of messages between a forwarder and all its planners, in both directions."""
    fleet = status.fleets[0]
    return fleet.message_bytes_per_s / max(len(fleet.forwarders), 1) * status.planners


if __name__ == "__main__":
    report(uvloop.run(measure("--quick" in sys.argv)))
