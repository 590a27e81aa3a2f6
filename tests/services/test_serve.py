"""The operators' command line, run as processes: check, serve, signals and exit status."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from standins.discovery_server import DiscoveryServer
from standins.load_generator import LoadGenerator
from standins.processes import ROOT, ProxyProcess
from standins.rules import check_rules
from tests.proxy_harness import run
from tests.services.harness import StandInService, encode_settings_file


def settings_file(*entries: dict[str, Any], port: int = 0) -> bytes:
    return encode_settings_file({"listener": [{"address": f"127.0.0.1:{port}"}], "service": list(entries)})


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "cometdoor", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def send_sighup(proxy: ProxyProcess) -> None:
    assert proxy.process is not None
    proxy.process.send_signal(signal.SIGHUP)


def test_check_shows_the_routes() -> None:
    result = run_command("check", "deploy/services.example.toml")
    assert result.returncode == 0 and "reserve.example.org / -> reserve" in result.stdout


@pytest.mark.parametrize("command_name", ["check", "serve"])
def test_an_invalid_file_is_rejected_with_all_its_errors(command_name: str, tmp_path: Path) -> None:
    file = tmp_path / "bad.toml"
    file.write_text("sockets = 1\nlistener = []\nservice = 5\n")
    result = run_command(command_name, str(file))
    assert result.returncode == 2 and result.stdout == ""
    assert sorted(result.stderr.splitlines()) == [
        f"{file}: service: a list is needed, not a number",
        f"{file}: sockets: expected int >= 64; it is 1",
    ]


@pytest.mark.parametrize("arguments", [("fly",), ("check",), ("serve", "a", "b")])
def test_an_invalid_command_line_is_rejected(arguments: tuple[str, ...]) -> None:
    result = run_command(*arguments)
    assert result.returncode == 2 and "usage: cometdoor" in result.stderr


def test_the_proxy_on_the_platform_imports_no_modules_of_the_services_proxy(tmp_path: Path) -> None:
    """The platform's machines have little memory."""
    text = (
        "import sys; import cometdoor.__main__, cometdoor.discovery.program; "
        "print([name for name in sys.modules "
        "if name.split('.')[0] in ('msgspec', 'rich', 'tomllib', 'argparse', 'standins') "
        "or name.startswith(('cometdoor.services', 'cometdoor.services.settings', 'cometdoor.cli', "
        "'cometdoor.planning', 'cometdoor.host.settings_validation', 'cometdoor.host.struct_settings', "
        "'cometdoor.host.dataclass_settings'))])"
    )
    result = subprocess.run(
        [sys.executable, "-c", text], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout == "[]\n"


def test_sighup_applies_a_valid_file_and_ignores_an_invalid_one(tmp_path: Path) -> None:
    async def test() -> None:
        a, b = await StandInService("a").add(2), await StandInService("b").add(2)
        file = tmp_path / "services.toml"
        file.write_bytes(settings_file(a.entry()))
        proxy = await ProxyProcess(file).start()
        assert proxy.process is not None
        load = LoadGenerator(proxy.address, [*a.load(100, 30, 30), *b.load(60)], 1)
        running = asyncio.ensure_future(load.run(2.0))
        while len(a.request_log.entries) < 40:
            await asyncio.sleep(0.01)
        file.write_bytes(settings_file(a.entry())[:-40])
        send_sighup(proxy)
        await proxy.wait_for_log("the current configuration stays in force")
        file.write_bytes(settings_file(a.entry(), b.entry()))
        send_sighup(proxy)
        send_sighup(proxy)
        assert "starts b; keeps a" in await proxy.wait_for_log("starts b")
        while len(b.request_log.entries) < 20:
            await asyncio.sleep(0.01)
        file.write_bytes(settings_file(a.entry(), b.entry(), port=1))
        send_sighup(proxy)
        await proxy.wait_for_log("these settings have changed and apply only after a restart: listener")
        client_log = await running
        attempts_a, attempts_b = client_log.for_service("a"), client_log.for_service("b")
        assert all(attempt.was_served for attempt in attempts_a)
        assert {attempt.status for attempt in attempts_b} == {404, 200}
        client_log.attempts = attempts_a
        assert not check_rules(client_log, a.request_log)
        assert await proxy.stop() == 0

    run(test)


def test_sighup_during_shutdown_changes_nothing_and_accepted_requests_are_answered(tmp_path: Path) -> None:
    async def test() -> None:
        a = await StandInService("a").add(2)
        file = tmp_path / "services.toml"
        file.write_bytes(settings_file(a.entry()))
        proxy = await ProxyProcess(file).start()
        a.freeze()
        load = LoadGenerator(proxy.address, a.load(0, 0, 0), 1)
        for _ in range(5):
            load.start_operation(load.classes[2])
        running = asyncio.ensure_future(load.run(0.0))
        while len(a.request_log.entries) < 2:
            await asyncio.sleep(0.01)
        assert proxy.process is not None
        file.write_bytes(b"nothing")
        proxy.process.terminate()
        await proxy.wait_for_log("requests are open")  # two signals sent together may arrive in either order
        send_sighup(proxy)
        await proxy.wait_for_log("is not read again")
        a.thaw()
        client_log = await running
        assert not check_rules(client_log, a.request_log) and len(client_log.attempts) == 5
        assert await proxy.stop() == 0

    run(test)


def test_a_draining_state_in_the_discovered_list_applies_under_load(tmp_path: Path) -> None:
    async def test() -> None:
        a, discovery = await StandInService("a").add(3), await DiscoveryServer().start()
        for server in a.servers:
            discovery.publish(server.model.name, server.host_port())
        file = tmp_path / "services.toml"
        file.write_bytes(settings_file(a.entry(servers=None, discovery=discovery.host_port())))
        proxy = await ProxyProcess(file).start()
        load = LoadGenerator(proxy.address, a.load(200, 50, 50), 1)
        running = asyncio.ensure_future(load.run(1.5))
        while len(a.request_log.entries) < 100:
            await asyncio.sleep(0.01)
        discovery.publish("a-0", a.servers[0].host_port(), "terminating")
        client_log = await running
        notified_at = discovery.notified_at["a-0", "terminating"]
        assert not check_rules(client_log, a.request_log, {"a-0": notified_at})
        served = [
            attempt
            for attempt in client_log.attempts
            if attempt.sent_at > client_log.attempts[0].sent_at + 0.5
        ]
        assert served and all(attempt.was_served for attempt in served)
        discovery.stop()
        assert await proxy.stop() == 0

    run(test)


def test_a_port_in_use_prints_one_message_and_fails(tmp_path: Path) -> None:
    async def test() -> None:
        a = await StandInService("a").add(1)
        file = tmp_path / "services.toml"
        file.write_bytes(settings_file(a.entry(), port=a.servers[0].address[1]))
        result = await asyncio.to_thread(run_command, "serve", str(file))
        assert result.returncode == 1 and "cometdoor: " in result.stderr and "Traceback" not in result.stderr

    run(test)


def test_the_demo_shows_one_service_fail_alone() -> None:
    result = run_command("demo", "--seconds", "3", "--plain")
    assert result.returncode == 0, result.stdout + result.stderr
    rows = [
        line.split() for line in result.stdout.splitlines() if line.split()[:1] in (["search"], ["reserve"])
    ]
    search, search_frozen, reserve, reserve_frozen = rows
    search_frozen, reserve_frozen = search_frozen[1:], reserve_frozen[1:]  # the name has two words
    assert (search[0], search[-1], reserve[0], reserve[-1]) == ("search", "kept", "reserve", "kept")
    assert int(search_frozen[3]) > 0
    assert reserve[1] == reserve[2] and reserve_frozen[1] == reserve_frozen[2] != "0"
