"""A backend that drains and shuts down gracefully on SIGTERM.

python -m examples.graceful_shutdown 127.0.0.1:8144 127.0.0.1:8145 pitches
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys

from cometdoor.client import BackendAgent


async def serve_until(agent: BackendAgent, stopping: asyncio.Event, drain_s: float = 2.0) -> bool:
    """Send heartbeats until `stopping` is set, then drain; return whether the drain was acknowledged."""
    heartbeats = asyncio.create_task(agent.run_heartbeats())
    await stopping.wait()
    heartbeats.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await heartbeats
    return await agent.drain(drain_s)


async def serve_connection(
    agent: BackendAgent, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Serve a minimal backend: a fixed response, and health checks."""
    try:
        while True:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
            await reader.readexactly(int(fields.get("content-length", "0")))
            status, headers, body = 200, {"Cometdoor-Response-Seal": "hello"}, b"hello"
            if lines[0].startswith("GET /health "):
                (status, headers), body = agent.health_response(), b""
            elif fields.get("cometdoor-expected-instance", agent.instance) != agent.instance:
                status, headers, body = 421, {"Cometdoor-Not-Executed": "1"}, b""
            headers["Cometdoor-Attempt-Id"] = fields.get("cometdoor-attempt-id", "")
            head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{head}\r\n".encode() + body)
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def main(control_address: str, address: str, service: str) -> None:
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    agent = BackendAgent(control_address, service=service, address=address, zone="here", capacity=6)
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(
        lambda reader, writer: serve_connection(agent, reader, writer), host, int(port)
    )
    print("drained" if await serve_until(agent, stopping) else "stopped; the drain was not acknowledged")
    server.close()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:4]))
