"""Forwarders and planners over loopback sockets: proxies with services, stand-in servers, planners."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
import pytest

from cometdoor.balancing import api
from cometdoor.host.clock import now_ms
from cometdoor.http.service import HttpService
from cometdoor.planning.forwarder import Forwarder
from cometdoor.planning.framing import encode_frame
from cometdoor.planning.sealed_messages import DropReason, KeyRing
from cometdoor.planning.serve import PlannerServer
from cometdoor.planning.settings import (
    AdvisedServiceEntry,
    FleetEntry,
    ForwarderEntry,
    ForwardersFile,
    KeyEntry,
    KeysEntry,
    PlannerEntry,
    PlannersFile,
)
from cometdoor.planning.status import Status, render_page
from cometdoor.planning.transport import PlannerTransports
from cometdoor.services.service_manager import ServiceManager
from standins.load_generator import ClientLog
from standins.rules import check_rules
from tests.proxy_harness import run
from tests.services.harness import ServicesHarness, StandInService, encode_settings_file, make_settings

OLD, NEW = KeyRing({1: b"o" * 32}, 1), KeyRing({1: b"o" * 32, 2: b"n" * 32}, 2)
KEYS_ENTRY = KeysEntry(seal_with=1, known=[KeyEntry(number=1, file="unused")])


def planner(number: int, planners: int, listen: str = "127.0.0.1:0", keys: KeyRing = OLD) -> PlannerServer:
    file = PlannersFile(
        planner=PlannerEntry(number=number, planners=planners, status="127.0.0.1:0"),
        keys=KEYS_ENTRY,
        fleet=[FleetEntry(service="a", listen=listen, forwarders=10)],
    )
    return PlannerServer(Path("unused"), file, keys)


async def wait_until(condition: Callable[[], object], seconds: float = 15.0) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


class Fleet:
    """Proxies of one service, each with its own load, and their planners."""

    def __init__(self, service: StandInService, planners: list[PlannerServer]) -> None:
        self.service = service
        self.planners = planners
        self.harnesses: list[ServicesHarness] = []
        self.weight_shares: dict[int, dict[str, float]] = {}
        self.loads: list[asyncio.Task[Any]] = []

    @staticmethod
    async def start(proxies: int, planners: int, transport: str = "udp") -> Fleet:
        planner_servers = [planner(number, planners) for number in range(planners)]
        for planner_server in planner_servers:
            await planner_server.start()
        fleet = Fleet(await StandInService("a").add(6), planner_servers)
        for number in range(proxies):
            file = ForwardersFile(
                forwarder=ForwarderEntry(number=number),
                keys=KEYS_ENTRY,
                service=[
                    AdvisedServiceEntry(
                        name="a",
                        planners=[
                            "{}:{}".format(*planner_server.fleets[0].address)
                            for planner_server in planner_servers
                        ],
                        transport="udp" if transport == "udp" else "tcp",
                    )
                ],
            )
            loop = asyncio.get_running_loop()
            harness = ServicesHarness(make_settings(fleet.service.entry()))
            harness.services = ServiceManager(
                make_settings(fleet.service.entry()), loop, PlannerTransports(loop, file, OLD)
            )
            fleet.harnesses.append(await harness.start())
            http = harness.services.running["a"].http
            fleet.weight_shares[id(http)] = {}
        return fleet

    def on_event(self, http: HttpService, event: api.AdviceReceived | api.SlowStartLeaseGranted) -> None:
        if isinstance(event, api.AdviceReceived):
            self.weight_shares[id(http)] = dict(event.weight_shares)
        http._host.submit_event(event)

    def start_load(self, seconds: float, rate: float = 80.0) -> None:
        self.loads = []
        for number, harness in enumerate(self.harnesses):
            load = harness.load(self.service.load(rate, rate / 8), number, f"c{number}")
            self.loads.append(asyncio.create_task(load.run(seconds)))

    async def check_client_logs(self) -> None:
        client_logs = await asyncio.gather(*self.loads)
        assert not check_rules(
            ClientLog([entry for client_log in client_logs for entry in client_log.attempts]),
            self.service.request_log,
        )

    def avoided_by(self, server: str) -> int:
        return sum(server in weight_shares for weight_shares in self.weight_shares.values())

    def have_all_reported_since(self, since_ms: float) -> bool:
        health_model = self.planners[0].fleets[0].planner.health_model
        forwarder_counts = [last_report_ms for _, last_report_ms, _, _ in health_model.forwarders()]
        return len(forwarder_counts) == len(self.harnesses) and min(forwarder_counts) > since_ms

    def forwarder_counts(self) -> list[int]:
        return [
            planner_server.fleets[0].planner.health_model.forwarder_count()
            for planner_server in self.planners
        ]


@pytest.mark.parametrize("transport", ["udp", "tcp"])
def test_an_unresponsive_server_loses_and_regains_weight_while_planners_fail(transport: str) -> None:
    async def test() -> None:
        fleet = await Fleet.start(5, 2, transport)
        with mock.patch.object(HttpService, "submit_event", lambda http, event: fleet.on_event(http, event)):
            for harness in fleet.harnesses:  # their transports hold the method as it was before the patch
                planner_transport = harness.services.running["a"].planner_transport
                assert planner_transport is not None
                planner_transport._deliver = harness.services.running["a"].http.submit_event
            fleet.start_load(8.0)
            await wait_until(lambda: fleet.forwarder_counts() == [5, 5])
            fleet.service.servers[2].freeze()
            await wait_until(lambda: fleet.avoided_by("a-2") == 5)
            assert not any(fleet.avoided_by(f"a-{other}") for other in (0, 1, 3, 4, 5))
            fleet.planners[0].stop()  # the other one is enough once this one's last advice is no longer fresh
            await asyncio.sleep(2.0)
            assert fleet.avoided_by("a-2") == 5
            fleet.service.servers[2].thaw()
            await wait_until(
                lambda: all(
                    weight_shares.get("a-2", 1.0) > 0.05 for weight_shares in fleet.weight_shares.values()
                )
            )
            fleet.planners[1].stop()  # without planners, requests are not affected
            await fleet.check_client_logs()

    run(test)


def test_a_planner_that_restarts_at_its_address_gets_reports_again() -> None:
    async def test() -> None:
        fleet = await Fleet.start(3, 1, "tcp")
        fleet.start_load(3.0)
        await wait_until(lambda: fleet.forwarder_counts() == [3])
        host, port = fleet.planners[0].fleets[0].address
        fleet.planners[0].stop()
        await asyncio.sleep(0.6)  # longer than a reporting interval
        fleet.planners[0] = planner(0, 1, f"{host}:{port}")
        await fleet.planners[0].start()
        await wait_until(lambda: fleet.forwarder_counts() == [3])
        await fleet.check_client_logs()

    run(test)


def test_keys_are_rotated_while_messages_flow() -> None:
    async def test() -> None:
        fleet = await Fleet.start(3, 1)
        channel = fleet.planners[0].fleets[0].channel
        await wait_until(lambda: fleet.forwarder_counts() == [3])
        for keys in (
            KeyRing(NEW.known, 1),
            NEW,
            KeyRing({2: NEW.known[2]}, 2),
        ):  # the new key is accepted, then used for seals, then the only one
            channel.keys = keys
            for harness in fleet.harnesses:
                assert harness.services.planner_transports is not None
                harness.services.planner_transports.change_keys(keys)
            await wait_until(partial(fleet.have_all_reported_since, now_ms()))
        assert not channel.dropped[DropReason.BAD_SEAL] and not channel.dropped[DropReason.UNKNOWN_SENDER]

    run(test)


def test_invalid_datagrams_at_a_planner_are_counted_and_others_are_handled() -> None:
    async def test() -> None:
        fleet = await Fleet.start(2, 1)
        address = fleet.planners[0].fleets[0].address
        channel = fleet.planners[0].fleets[0].channel
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
            for datagram in (b"x", b"\x01" * 60, b"\x09" * 60, b"y" * 1000):
                udp_socket.sendto(datagram, address)
        await wait_until(lambda: channel.dropped.total() >= 4)
        for invalid_frame in (b"\xff\xff", b"\0\0", encode_frame(b"\x01" * 60)):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(invalid_frame)
            if invalid_frame != encode_frame(b"\x01" * 60):
                assert await reader.read() == b""  # closed: messages can't be separated any more
            writer.close()
        await wait_until(lambda: fleet.forwarder_counts() == [2])

    run(test)


def test_an_internal_error_stops_planning_and_affects_no_request() -> None:
    async def test() -> None:
        fleet = await Fleet.start(1, 1)
        planner_transport = fleet.harnesses[0].services.running["a"].planner_transport
        assert planner_transport is not None
        with mock.patch.object(Forwarder, "on_attempt_sent", side_effect=RuntimeError("broken on purpose")):
            fleet.start_load(0.5)
            client_log = await fleet.loads[0]
        assert client_log.attempts and all(entry.was_served for entry in client_log.attempts)
        assert planner_transport.has_failed

    run(test)


def test_the_status_page_shows_forwarders_and_unhealthy_servers() -> None:
    async def test() -> None:
        fleet = await Fleet.start(3, 1)
        fleet.start_load(5.0)
        fleet.service.servers[4].freeze()
        await wait_until(
            lambda: fleet.forwarder_counts() == [3] and fleet.planners[0].status().fleets[0].unhealthy
        )
        assert fleet.planners[0].status_address is not None
        reader, _ = await asyncio.open_connection(*fleet.planners[0].status_address)
        status = msgspec.json.decode(await reader.read(), type=Status)
        assert sorted(entry.number for entry in status.fleets[0].forwarders) == [0, 1, 2]
        text = render_page(status, [server.model.name for server in fleet.service.servers])
        assert "3 forwarders report on 6 servers" in text
        assert any(line.split()[0] == "a-4" for line in text.splitlines() if line.strip())
        await fleet.check_client_logs()

    run(test)


def test_a_planner_process_receives_reports_serves_its_status_page_and_reloads_its_keys(
    tmp_path: Path,
) -> None:
    """`planner FILE`, `serve FILE --planning FILE` and `planner status FILE`, as an operator runs them."""
    (tmp_path / "old.key").write_text("ab" * 32)
    (tmp_path / "new.key").write_text("cd" * 32)
    keys = (
        '[keys]\nseal_with = {}\n[[keys.known]]\nnumber = 1\nfile = "old.key"\n'
        '[[keys.known]]\nnumber = 2\nfile = "new.key"\n'
    )
    message_port, status = _free_port(), _free_port()
    planners, forwarders, services = (tmp_path / name for name in ("p.toml", "f.toml", "s.toml"))

    def write(seal_with: int) -> None:
        planners.write_text(
            keys.format(seal_with) + f"[planner]\nnumber = 0\nplanners = 1\n"
            f'status = "127.0.0.1:{status}"\n[[fleet]]\nservice = "a"\n'
            f'listen = "127.0.0.1:{message_port}"\nforwarders = 3\n'
        )
        forwarders.write_text(
            keys.format(seal_with) + '[forwarder]\nnumber = 2\n[[service]]\nname = "a"\n'
            f'planners = ["127.0.0.1:{message_port}"]\n'
        )

    async def test() -> None:
        write(1)
        service = await StandInService("a").add(2)
        services.write_bytes(
            encode_settings_file({"listener": [{"address": "127.0.0.1:0"}], "service": [service.entry()]})
        )
        running = [
            await _command("planner", str(planners)),
            await _command("serve", str(services), "--planning", str(forwarders)),
        ]
        try:
            async with asyncio.timeout(20.0):
                while "1 forwarders report on 2 servers" not in await _status_page(planners, services):
                    await asyncio.sleep(0.1)
                write(2)
                for process in running:
                    process.send_signal(signal.SIGHUP)
                await asyncio.sleep(1.5)  # three reporting intervals with the new key
            render_page = await _status_page(planners, services)
            assert "1 forwarders report on 2 servers" in render_page and "dropped messages" not in render_page
            assert "no unhealthy servers" in render_page
        finally:
            for process in running:
                process.terminate()
            assert [await process.wait() for process in running] == [0, 0]

    run(test)


def _free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port: int = listener.getsockname()[1]
        return port


async def _command(*words: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cometdoor",
        *words,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )


async def _status_page(planners: Path, services: Path) -> str:
    command = await _command("planner", "status", str(planners), "--names", str(services))
    out, _ = await command.communicate()
    return out.decode()


def test_a_removed_service_stops_reporting_and_reports_again_when_it_is_back() -> None:
    async def test() -> None:
        fleet = await Fleet.start(1, 1)
        services, other = fleet.harnesses[0].services, await StandInService("b").add(1)
        await wait_until(lambda: fleet.forwarder_counts() == [1])
        assert (
            services.planner_transports is not None and len(services.planner_transports._open_transports) == 1
        )
        services.apply(make_settings(other.entry()))
        assert not services.planner_transports._open_transports
        since = now_ms()
        services.apply(make_settings(fleet.service.entry(), other.entry()))
        await wait_until(lambda: fleet.have_all_reported_since(since))
        assert len(services.planner_transports._open_transports) == 1

    run(test)
