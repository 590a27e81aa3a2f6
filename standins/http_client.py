"""A small HTTP/1.1 client for tests, scenario tests and benchmarks; each call opens a connection."""

from __future__ import annotations

import asyncio

Headers = dict[str, str]


async def http_request(
    address: str,
    port: int,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> tuple[int, Headers, bytes]:
    """Make one call on a new connection. Raises OSError or TimeoutError."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(address, port)
        try:
            lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in ({"Host": "x"} | headers).items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            return await read_message(reader)
        finally:
            writer.close()


async def read_message(reader: asyncio.StreamReader) -> tuple[int, Headers, bytes]:
    """Return status (0 for a request), headers in lower case with the first line under "", and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {"": head[0]}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    if fields.get("transfer-encoding") == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    start_line = head[0].split(" ")
    return int(start_line[1]) if start_line[0].startswith("HTTP/") else 0, fields, body


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body without trailers (RFC 9112, 7.1)."""
    chunks = []
    while size := int(await reader.readuntil(b"\r\n"), 16):
        chunks.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b"".join(chunks)
