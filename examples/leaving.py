"""A backend that leaves in order when it gets SIGTERM.

python -m examples.leaving 127.0.0.1:8144 127.0.0.1:8145 pitches
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys

from cometdoor.client import BackendSide


async def serve_until(side: BackendSide, stopping: asyncio.Event, drain_s: float = 2.0) -> bool:
    """Beats until it is told to stop, then drains. Whether its notice was heard."""
    beats = asyncio.create_task(side.beat())
    await stopping.wait()
    beats.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await beats
    return await side.drain(drain_s)


async def answer(side: BackendSide, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """The smallest backend there can be: it says hello, and whether it is well."""
    try:
        while True:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
            await reader.readexactly(int(fields.get("content-length", "0")))
            status, told, body = 200, {"Cometdoor-Response-Seal": "hello"}, b"hello"
            if lines[0].startswith("GET /health "):
                (status, told), body = side.health(), b""
            elif fields.get("cometdoor-expected-instance", side.instance) != side.instance:
                status, told, body = 421, {"Cometdoor-Not-Executed": "1"}, b""
            told["Cometdoor-Attempt-Id"] = fields.get("cometdoor-attempt-id", "")
            head = "".join(f"{name}: {value}\r\n" for name, value in told.items())
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{head}\r\n".encode() + body)
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def main(control: str, address: str, service: str) -> None:
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    side = BackendSide(control, service=service, address=address, zone="here", capacity=6)
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(lambda reader, writer: answer(side, reader, writer), host, int(port))
    print("left in order" if await serve_until(side, stopping) else "left unheard")
    server.close()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:4]))
