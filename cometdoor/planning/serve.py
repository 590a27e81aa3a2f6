"""`cometdoor planner FILE`: a planner for the forwarders of one or several services, until SIGTERM.

SIGHUP reloads the keys. Other changes of the file need a restart, after which a planner is fully working
again within several reporting intervals. Datagrams and streams are served by asyncio protocols with
callbacks: a message is handled in one step, without a task.
"""

from __future__ import annotations

import asyncio
import logging
import random
import signal
from collections.abc import Callable
from pathlib import Path
from typing import cast

import msgspec

from cometdoor.host.address import Address, parse_address
from cometdoor.host.clock import now_ms
from cometdoor.host.settings_validation import SettingsError
from cometdoor.planning.framing import FrameDecoder, FrameError, encode_frame
from cometdoor.planning.planner import Planner
from cometdoor.planning.sealed_messages import KeyRing, MessageKind, SecureChannel
from cometdoor.planning.settings import FleetEntry, PlannersFile, load_planners
from cometdoor.planning.status import FleetStatus, Status, fleet_status

log = logging.getLogger(__name__)

MAX_UNSENT_BYTES = 65_536  # of a stream: a forwarder that leaves more unread gets no replies until it reads

SendReply = Callable[[bytes], None]


class ForwarderFleet:
    """Serves the forwarders of one service, by datagrams and streams at the same address.

    Parameters
    ----------
    entry, file
        The service, and the planners' file that configures it.
    keys
        Keys of the seals.
    """

    def __init__(self, entry: FleetEntry, file: PlannersFile, keys: KeyRing) -> None:
        self.entry = entry
        self.channel = SecureChannel(
            keys,
            file.planner.number,
            random.SystemRandom().getrandbits(32) or 1,
            entry.forwarders,
            frozenset({MessageKind.REPORT}),
        )
        slow_start = entry.slow_start
        self.planner = Planner(
            self.channel,
            slow_start.rules() if slow_start else None,
            slow_start.warm_up_ms if slow_start else 0.0,
            file.planner.planners,
            now_ms(),
        )
        self.address: Address = parse_address(entry.listen, 0)
        self._server: asyncio.Server | None = None
        self._datagram_transport: asyncio.DatagramTransport | None = None
        self.stream_transports: dict[asyncio.Transport, None] = {}

    async def start(self) -> None:
        """Listen for messages; raise OSError if that fails."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _StreamProtocol(self), *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self), local_addr=self.address
        )
        self._datagram_transport = transport

    def stop(self) -> None:
        """Close all sockets."""
        if self._server is not None:
            self._server.close()
        if self._datagram_transport is not None:
            self._datagram_transport.abort()
        for transport in list(self.stream_transports):
            transport.abort()

    def on_datagram(self, datagram: bytes, send_reply: SendReply) -> None:
        """Handle a forwarder's message."""
        try:
            messages = self.planner.on_datagram(datagram, now_ms())
        except Exception:
            # An error in one message must not stop the service; the message counts as lost.
            log.exception("service %s: handling of a message failed", self.entry.service)
            return
        for _, message in messages:
            send_reply(message)

    def status(self) -> FleetStatus:
        """Return what the status page shows of the service."""
        return fleet_status(self.entry.service, self.planner, self.channel, now_ms())


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, fleet: ForwarderFleet) -> None:
        self._fleet = fleet
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, sender: Address) -> None:
        transport = self._transport
        if transport is not None:
            self._fleet.on_datagram(data, lambda message: transport.sendto(message, sender))

    def error_received(self, problem: Exception) -> None:
        pass  # ICMP error: the forwarder's process has ended


class _StreamProtocol(asyncio.Protocol):
    def __init__(self, fleet: ForwarderFleet) -> None:
        self._fleet = fleet
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._fleet.stream_transports[self._transport] = None

    def connection_lost(self, problem: Exception | None) -> None:
        if self._transport is not None:
            self._fleet.stream_transports.pop(self._transport, None)
            self._transport = None

    def data_received(self, data: bytes) -> None:
        try:
            for message in self._decoder.feed(data):
                self._fleet.on_datagram(message, self._send_reply)
        except FrameError:
            if self._transport is not None:
                self._transport.abort()

    def _send_reply(self, message: bytes) -> None:
        if self._transport is not None and self._transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
            self._transport.write(encode_frame(message))


class PlannerServer:
    """A planner's process: serves the forwarders of each service, and the status page.

    Parameters
    ----------
    path, file
        The planners' file, and its content as read at the start.
    keys
        Keys of the seals.
    """

    def __init__(self, path: Path, file: PlannersFile, keys: KeyRing) -> None:
        self.fleets = [ForwarderFleet(entry, file, keys) for entry in file.fleet]
        self.status_address: Address | None = None
        self._path = path
        self._file = file
        self._status_server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen for messages and status requests; raise OSError if that fails."""
        for fleet in self.fleets:
            await fleet.start()
        if self._file.planner.status is not None:
            self._status_server = await asyncio.start_server(
                self._send_status, *parse_address(self._file.planner.status, 0)
            )
            self.status_address = self._status_server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Close all sockets."""
        for fleet in self.fleets:
            fleet.stop()
        if self._status_server is not None:
            self._status_server.close()

    async def _send_status(self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(msgspec.json.encode(self.status()))
        writer.close()

    def status(self) -> Status:
        """Return what the status page shows."""
        return Status(
            self._file.planner.number, self._file.planner.planners, [fleet.status() for fleet in self.fleets]
        )

    def reload_keys(self) -> None:
        """Reload the keys; an invalid file changes nothing. Handler of SIGHUP."""
        try:
            file, keys = load_planners(self._path)
        except SettingsError as problem:
            for item in problem.problems:
                log.error("invalid settings: %s", item)
            log.error("%d problems; the current keys stay in use", len(problem.problems))
            return
        for fleet in self.fleets:
            fleet.channel.keys = keys
        if msgspec.structs.replace(file, keys=self._file.keys) != self._file:
            log.warning("settings other than the keys have changed; they apply only after a restart")
        log.info(
            "keys %s are accepted; new messages are sealed with key %d",
            ", ".join(map(str, sorted(keys.known))),
            keys.current,
        )


async def serve(path: Path, file: PlannersFile, keys: KeyRing) -> None:
    """Serve until SIGTERM or SIGINT; raise OSError if it can't listen."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    planner_server = PlannerServer(path, file, keys)
    loop.add_signal_handler(signal.SIGHUP, planner_server.reload_keys)
    await planner_server.start()
    if planner_server.status_address is not None:
        log.info("serving the status page on %s:%d", *planner_server.status_address)
    log.info(
        "planner %d of %d listens for %s",
        file.planner.number,
        file.planner.planners,
        ", ".join(
            f"{fleet.entry.service} on {fleet.address[0]}:{fleet.address[1]}"
            for fleet in planner_server.fleets
        ),
    )
    await stopping.wait()
    planner_server.stop()
    log.info("stopped")
