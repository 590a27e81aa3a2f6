"""The platform's proxy as a process: configuration, start, reload and shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest

from tests.proxy_harness import LANES, FakeServer, ProxyClient, endpoint_entry, make_config, run

ROOT = Path(__file__).parent.parent


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def launch(config: str | None, folder: Path) -> asyncio.subprocess.Process:
    environment = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
    if config is not None:
        path = folder / "config.json"
        path.write_text(config)
        environment["NODE_CONFIG"] = str(path)
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cometdoor", cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
    )


async def wait_until_serving(process: asyncio.subprocess.Process) -> None:
    assert process.stderr is not None
    while line := await process.stderr.readline():
        if b"serves on" in line:
            return
    raise AssertionError("the program ended")


INVALID_CONFIGS = {
    "no variable": None,
    "no JSON": "{",
    "no settings": "{}",
    "a bad address": json.dumps(make_config("here", "127.0.0.1:1")),
    "an unknown effect": json.dumps(make_config("127.0.0.1:1", "127.0.0.1:1")).replace("fragile", "brittle"),
    "a senseless setting": json.dumps(make_config("127.0.0.1:1", "127.0.0.1:1", position=9)),
}


@pytest.mark.parametrize("name", INVALID_CONFIGS)
def test_an_invalid_configuration_prints_one_line_and_exits_2(name: str, tmp_path: Path) -> None:
    async def test() -> None:
        process = await launch(INVALID_CONFIGS[name], tmp_path)
        _, errors = await process.communicate()
        assert process.returncode == 2
        assert errors.startswith(b"cometdoor: bad configuration: ")
        assert errors.count(b"\n") == 1

    run(test)


def test_sigterm_drains_answers_all_requests_and_exits_0(tmp_path: Path) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        port = free_port()
        process = await launch(
            json.dumps(
                make_config(
                    f"127.0.0.1:{port}", "127.0.0.1:1", endpoint_entry("s1", backend.address), group_size=1
                )
            ),
            tmp_path,
        )
        await wait_until_serving(process)

        async def connect() -> ProxyClient:
            return ProxyClient(*await asyncio.open_connection("127.0.0.1", port))

        pending, idle = await connect(), await connect()
        idle.writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await idle.read_response()).status == 200
        pending.send_request()
        call = await backend.next()
        process.send_signal(signal.SIGTERM)
        signalled_at = asyncio.get_running_loop().time()
        late_client = await connect()  # the platform still routes to this proxy
        late_client.send_request()
        (await backend.next()).reply(200, b"late")
        assert (await late_client.read_response()).body == b"late"
        assert await idle.is_closed_by_proxy()
        assert asyncio.get_running_loop().time() - signalled_at > 1.5  # the next proxy may not be ready yet
        assert process.returncode is None
        call.reply(200, b"held")
        response = await pending.read_response()
        assert (response.body, response.headers["connection"]) == (b"held", "close")
        assert await pending.is_closed_by_proxy()
        assert await process.wait() == 0

    run(test)


def test_open_requests_fail_before_sigkill_and_a_partial_request_delays_nothing(tmp_path: Path) -> None:
    """No request is open at SIGKILL, which follows 0.9 s after SIGTERM if the longest deadline is 0.2 s."""

    async def test() -> None:
        backend = await FakeServer().start()
        port = free_port()
        config = make_config(
            f"127.0.0.1:{port}", "127.0.0.1:1", endpoint_entry("s1", backend.address), group_size=1
        )
        config["settings"]["lanes"] = [{**lane, "aim_ms": 200.0, "deadline_ms": 200.0} for lane in LANES]
        process = await launch(json.dumps(config), tmp_path)
        await wait_until_serving(process)
        pending = ProxyClient(*await asyncio.open_connection("127.0.0.1", port))
        partial = ProxyClient(*await asyncio.open_connection("127.0.0.1", port))
        pending.send_request("pay", remaining_s="60.0")
        call = await backend.next()
        partial.writer.write(b"GET /read/1 HTTP/1.1\r\nX-Trace")
        process.send_signal(signal.SIGTERM)
        assert (await pending.read_response()).status == 502
        await call.wait_closed()
        assert await process.wait() == 0

    run(test)


def test_sighup_switches_to_the_discovery_that_the_configuration_names(tmp_path: Path) -> None:
    """An invalid or unchanged file changes nothing; requests in flight are not affected."""

    async def test() -> None:
        old, new, backend = await FakeServer().start(), await FakeServer().start(), await FakeServer().start()
        port = free_port()
        config = make_config(
            f"127.0.0.1:{port}",
            old.address,
            endpoint_entry("s1", backend.address),
            group_size=1,
            discovery_mode="subscribe",
            obligations={"ask_within_ms": 10.0},
        )
        process = await launch(json.dumps(config), tmp_path)
        await wait_until_serving(process)
        before = await old.next()
        assert before.message.start_line.endswith(b"index=41 HTTP/1.1")
        client = ProxyClient(*await asyncio.open_connection("127.0.0.1", port))
        client.send_request()
        call = await backend.next()
        path = tmp_path / "config.json"
        for text, expected_message in (
            ("{", b"the new configuration is invalid; the current one stays in force"),
            (
                json.dumps({**config, "discovery": new.address, "listen": "127.0.0.1:1"}),
                b"after a restart: listen",
            ),
        ):
            path.write_text(text)
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            while expected_message not in (line := await process.stderr.readline()):
                assert line, "the program ended"
        after = await new.next()
        assert after.message.start_line == b"GET /discovery/hosts?stream=1&index=0 HTTP/1.1"
        await before.wait_closed()
        call.reply(200, b"untouched")
        assert (await client.read_response()).body == b"untouched"
        after.open_stream()
        other = await FakeServer().start()
        after.send_endpoints(1, True, endpoint_entry("s2", other.address))
        client.send_request()
        (await other.next()).reply(200, b"new")
        assert (await client.read_response()).body == b"new"
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)  # changes nothing during the shutdown
        assert await process.wait() == 0

    run(test)
