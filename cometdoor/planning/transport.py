"""A forwarder's transport: the reporting timer, and datagrams or streams to its planners.

Failures of planners and connections do not affect requests: a message that can't be sent is dropped, and the
next report has what was observed since. Messages are received by asyncio protocols with callbacks: each is
handled in one step, without a task.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from random import Random, SystemRandom
from typing import Any

from cometdoor.balancing import api
from cometdoor.balancing.api import Outcome
from cometdoor.host.address import Address
from cometdoor.host.clock import now_ms
from cometdoor.host.interfaces import AttemptId
from cometdoor.planning.forwarder import Forwarder
from cometdoor.planning.framing import FrameDecoder, FrameError, encode_frame
from cometdoor.planning.load_reports import first_report_delay_ms, next_report_delay_ms
from cometdoor.planning.sealed_messages import KeyRing, MessageKind, SecureChannel
from cometdoor.planning.settings import ForwardersFile

log = logging.getLogger(__name__)

MAX_UNSENT_BYTES = 4096  # in a stream: a planner that leaves this much unread is sent nothing until it reads

DatagramHandler = Callable[[bytes], None]


class PlannerConnection:
    """A connection to one planner; sending opens it, and reopens it after it was lost.

    Parameters
    ----------
    loop
        Event loop.
    address
        The planner's address.
    on_datagram
        Called with each message from the planner.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, on_datagram: DatagramHandler
    ) -> None:
        self._loop = loop
        self._address = address
        self._on_datagram = on_datagram
        self._transport: Any = None
        self._opening: asyncio.Task[None] | None = None

    def send(self, datagram: bytes) -> None:
        """Send a message; it is dropped while the connection is being opened."""
        if self._transport is not None:
            self._write(datagram)
        elif self._opening is None:
            self._opening = self._loop.create_task(self._open(datagram))

    async def _open(self, datagram: bytes) -> None:
        try:
            await self._connect()
            self.send(datagram)
        except OSError as problem:
            log.debug("planner %s:%d: %s", *self._address, problem)
        finally:
            self._opening = None

    async def _connect(self) -> None:
        """Open the connection; raise OSError."""
        raise NotImplementedError

    def _write(self, datagram: bytes) -> None:
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by the event loop."""
        self._transport = transport

    def connection_lost(self, problem: Exception | None) -> None:
        """Forget the transport; called by the event loop."""
        self._transport = None

    def close(self) -> None:
        """Close the connection, also while it is being opened."""
        if self._opening is not None:
            self._opening.cancel()
        if self._transport is not None:
            self._transport.abort()


class DatagramConnection(PlannerConnection, asyncio.DatagramProtocol):
    """Sends and receives messages as UDP datagrams."""

    async def _connect(self) -> None:
        await self._loop.create_datagram_endpoint(lambda: self, remote_addr=self._address)

    def _write(self, datagram: bytes) -> None:
        self._transport.sendto(datagram)

    def datagram_received(self, data: bytes, sender: Address) -> None:
        """Pass a message on; called by the event loop."""
        self._on_datagram(data)

    def error_received(self, problem: Exception) -> None:
        """Ignore that no planner listens there at present; called by the event loop."""


class StreamConnection(PlannerConnection, asyncio.Protocol):
    """Sends and receives messages as frames on a TCP connection."""

    async def _connect(self) -> None:
        self._decoder = FrameDecoder()
        await self._loop.create_connection(lambda: self, *self._address)

    def _write(self, datagram: bytes) -> None:
        if self._transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
            self._transport.write(encode_frame(datagram))

    def data_received(self, data: bytes) -> None:
        """Pass on the messages that are complete; called by the event loop."""
        try:
            for message in self._decoder.feed(data):
                self._on_datagram(message)
        except FrameError:
            self.close()


class PlannerTransport:
    """Hosts one `Forwarder`: reports at intervals, and passes the service's events and messages to it.

    An internal error stops it and withdraws all advice, as if all planners were dead; requests are not
    affected.

    Parameters
    ----------
    loop
        Event loop.
    forwarder
        The forwarder that it hosts.
    planners
        Addresses in the order of the planners' numbers.
    transport
        "udp" or "tcp".
    random
        Random generator for the jitter of reports.
    deliver
        Called with events for the decision module.

    Attributes
    ----------
    has_failed : bool
        Whether an internal error has stopped it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        forwarder: Forwarder,
        planners: Sequence[Address],
        transport: str,
        *,
        random: Random,
        deliver: Callable[[api.AdviceReceived | api.SlowStartLeaseGranted], None],
    ) -> None:
        connection_class = DatagramConnection if transport == "udp" else StreamConnection
        self.forwarder = forwarder
        self.has_failed = False
        self._loop = loop
        self._random = random
        self._deliver = deliver
        self._connections: list[PlannerConnection] = [
            connection_class(loop, planner, self._on_datagram) for planner in planners
        ]
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to send reports."""
        self._timer = self._loop.call_later(first_report_delay_ms(self._random) / 1000.0, self._send_reports)

    def stop(self) -> None:
        """Stop sending reports, and close the connections."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for connection in self._connections:
            connection.close()

    def _send_reports(self) -> None:
        self._timer = self._loop.call_later(next_report_delay_ms(self._random) / 1000.0, self._send_reports)
        with self._disabled_on_error():
            for planner, datagram in self.forwarder.make_reports(now_ms()):
                self._connections[planner].send(datagram)
            for event in self.forwarder.poll_advice(now_ms()):
                self._deliver(event)

    def _on_datagram(self, datagram: bytes) -> None:
        if self._timer is None:
            return  # stopped
        with self._disabled_on_error():
            for event in self.forwarder.on_datagram(datagram, now_ms()):
                self._deliver(event)

    @contextmanager
    def _disabled_on_error(self) -> Iterator[None]:
        try:
            yield
        except Exception:
            log.exception("planning stops after an internal error")
            self.has_failed = True
            self.stop()
            self._deliver(api.AdviceReceived())

    # --- events of the service ---

    def on_endpoints_changed(self, event: api.EndpointsChanged) -> None:
        """Apply an endpoint list, or a change of it."""
        if not self.has_failed:
            with self._disabled_on_error():
                self.forwarder.on_endpoints_changed(event)

    def on_attempt_sent(
        self, server: str, attempt: AttemptId, latency_target_ms: float, now_ms: float
    ) -> None:
        """Count an attempt; `latency_target_ms` is the latency target of its class."""
        if not self.has_failed:
            with self._disabled_on_error():
                self.forwarder.on_attempt_sent(server, attempt, latency_target_ms, now_ms)

    def on_attempt_ended(
        self, server: str, attempt: AttemptId, outcome: Outcome, latency_target_ms: float, now_ms: float
    ) -> None:
        """Count the outcome of an attempt."""
        if not self.has_failed:
            with self._disabled_on_error():
                self.forwarder.on_attempt_ended(server, attempt, outcome, latency_target_ms, now_ms)


class PlannerTransports:
    """Opens and closes the transports of all services of a process that the forwarders' file names.

    Parameters
    ----------
    loop
        Event loop.
    file, keys
        The forwarders' file and its keys.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, file: ForwardersFile, keys: KeyRing) -> None:
        self.file = file
        self._loop = loop
        self._keys = keys
        self._random = SystemRandom()
        self._open_transports: dict[PlannerTransport, None] = {}

    def open(
        self,
        service: str,
        warm_up_ms: float,
        clock_offset_ms: float,
        deliver: Callable[[api.AdviceReceived | api.SlowStartLeaseGranted], None],
    ) -> PlannerTransport | None:
        """Open the transport of a service, or return None where no planner advises on it.

        Parameters
        ----------
        service
            The service's name.
        warm_up_ms, clock_offset_ms
            See `Forwarder`.
        deliver
            Called with events for the service's decision module.
        """
        for entry in self.file.service:
            if entry.name == service:
                planners = entry.addresses()
                channel = SecureChannel(
                    self._keys,
                    self.file.forwarder.number,
                    self._random.getrandbits(32) or 1,
                    len(planners),
                    frozenset({MessageKind.ADVICE, MessageKind.LEASE}),
                )
                forwarder = Forwarder(channel, len(planners), warm_up_ms, clock_offset_ms)
                planner_transport = PlannerTransport(
                    self._loop, forwarder, planners, entry.transport, random=self._random, deliver=deliver
                )
                self._open_transports[planner_transport] = None
                return planner_transport
        return None

    def close(self, planner_transport: PlannerTransport) -> None:
        """Stop a transport."""
        planner_transport.stop()
        self._open_transports.pop(planner_transport, None)

    def change_keys(self, keys: KeyRing) -> None:
        """Seal and open messages of all transports with other keys from now on."""
        self._keys = keys
        for planner_transport in self._open_transports:
            planner_transport.forwarder.change_keys(keys)
