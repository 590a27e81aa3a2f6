"""One HTTP/1.1 exchange on a connection of the client's own, which is kept for the next one."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

import httptools

from cometdoor.client.tries import Ending

CONNECT_S = 1.0
MAX_ANSWER = 64 << 20  # bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """Names of fields are in lower case; of several with one name the last one stands."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Broken(Exception):
    """No whole answer. `sent`: a byte of the request may have been read."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


@dataclass
class _Reading:
    """httptools' calls."""

    headers: dict[str, str] = field(default_factory=dict)
    body: list[bytes] = field(default_factory=list)
    size: int = 0
    is_whole: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > MAX_ANSWER:
            raise ValueError("the answer is too large")
        self.body.append(body)

    def on_message_complete(self) -> None:
        self.is_whole = True


class Connection:
    """Raises Broken; after that it is over."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.is_open = False
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_S):
                self._reader, self._writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError, ValueError) as problem:
            raise Broken(f"not connected: {problem or 'no answer'}", sent=False) from problem
        self.is_open = True

    def has_ended(self) -> bool:
        """The other end closed it while it was idle."""
        return self._reader is None or self._reader.at_eof()

    async def exchange(self, request: bytes) -> Answer:
        assert self._reader is not None and self._writer is not None
        reading = _Reading()
        parser = httptools.HttpResponseParser(reading)
        kept, self.is_open = self.is_open, False
        assert kept
        try:
            self._writer.write(request)
            await self._writer.drain()
            while not reading.is_whole:
                data = await self._reader.read(64 << 10)
                if not data:
                    raise Broken("the connection ended", sent=True)
                parser.feed_data(data)
        except OSError as problem:
            raise Broken(str(problem), sent=True) from problem
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            raise Broken(f"no answer of HTTP: {problem}", sent=True) from problem
        self.is_open = parser.should_keep_alive()
        if not self.is_open:
            self.close()
        return Answer(parser.get_status_code(), reading.headers, b"".join(reading.body))

    def close(self) -> None:
        self.is_open = False
        if self._writer is not None:
            self._writer.close()


def request_bytes(method: str, host: str, path: str, headers: Mapping[str, str], body: bytes) -> bytes:
    """Raises ValueError for what would not be one request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    for line in lines:
        if "\r" in line or "\n" in line:
            raise ValueError(f"a line end in {line!r}")
    if not path.startswith("/") or " " in path:
        raise ValueError(f"{path!r} is no path")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def ending_of(answer: Answer) -> Ending:
    try:
        pause = float(answer.headers["retry-after"])
    except (KeyError, ValueError):
        pause = None
    return Ending(answer.status, retry_after_s=pause if pause is not None and pause >= 0 else None)


async def ask_once(
    address: str, method: str, path: str, headers: Mapping[str, str], body: bytes, patience_s: float
) -> Answer:
    """One call on a connection of its own, to an interface of the mesh's. Raises Broken."""
    connection = Connection(address)
    sent = False
    try:
        async with asyncio.timeout(patience_s):
            await connection.open()
            sent = True
            return await connection.exchange(
                request_bytes(method, address, path, {"Connection": "close", **headers}, body)
            )
    except TimeoutError as problem:
        raise Broken(f"no answer within {patience_s} s", sent=sent) from problem
    finally:
        connection.close()
