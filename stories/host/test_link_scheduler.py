"""The link scheduler: time and order of writes, and the handling of queued messages."""

import asyncio
from typing import Any

from ward import test

from cometdoor.host import invariants
from cometdoor.host.link_budget import SHORT_WAIT_IS_BOUNDED, LinkBudget
from cometdoor.host.link_scheduler import LinkScheduler, ScheduledTransport
from simulation.event_loop import VirtualLoop

BANDWIDTH_MBPS = 3.5
LARGE, SHORT = b"L" * 90_000, b"s" * 300


class RecordingTransport(asyncio.Transport):
    """A transport that records the written data and the times of the writes."""

    def __init__(self, loop: VirtualLoop, host: str = "10.0.0.2") -> None:
        super().__init__()
        self.loop = loop
        self.host = host
        self.events: list[tuple[float, bytes | str]] = []
        self.is_closed = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return (self.host, 1) if name == "peername" else default

    def write(self, data: Any) -> None:
        self.events.append((self.loop.time(), bytes(data)))

    def write_eof(self) -> None:
        self.events.append((self.loop.time(), "eof"))

    def close(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        self.is_closed = True

    def is_closing(self) -> bool:
        return self.is_closed

    def get_write_buffer_size(self) -> int:
        return 0

    def written(self) -> bytes:
        return b"".join(data for _, data in self.events if isinstance(data, bytes))


class Link:
    """A scheduled link with some connections."""

    def __init__(self, connections: int, keeps_order: bool = False) -> None:
        self.loop = VirtualLoop()
        self.scheduler = LinkScheduler(self.loop, BANDWIDTH_MBPS, "10.0.0.1")
        self.raw = [RecordingTransport(self.loop) for _ in range(connections)]
        self.transports = [self.scheduler.wrap(raw, keeps_order) for raw in self.raw]

    def scheduled(self, index: int) -> ScheduledTransport:
        transport = self.transports[index]
        assert isinstance(transport, ScheduledTransport)
        return transport

    def wait(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))


@test("a large message takes as long as the link, and short ones to others are sent meanwhile, at once")
def _() -> None:
    link = Link(2)
    started_at = link.loop.time()
    link.transports[0].write(LARGE)
    for _ in range(10):
        link.wait(0.02)
        link.transports[1].write(SHORT)
        assert link.raw[1].events[-1] == (link.loop.time(), SHORT)
    link.wait(1.0)
    assert link.raw[0].written() == LARGE
    duration_s = link.raw[0].events[-1][0] - started_at
    assert 0.9 <= duration_s / (len(LARGE) * 8.0 / (BANDWIDTH_MBPS * 1e6)) <= 1.2, str(duration_s)
    assert link.scheduler.queued_bytes == 0 and not invariants.violations()


@test("large messages are sent one after the other, and of one connection in order")
def _() -> None:
    link = Link(2)
    link.transports[0].write(LARGE)
    link.transports[1].write(LARGE)
    link.transports[0].write(LARGE[:50_000])
    link.wait(2.0)
    ended_at = [raw.events[-1][0] for raw in link.raw]
    assert link.raw[0].written() == LARGE + LARGE[:50_000] and link.raw[1].written() == LARGE
    assert ended_at[1] < ended_at[0]


@test("on a connection of HTTP short responses keep their place behind large ones")
def _() -> None:
    link = Link(1, keeps_order=True)
    link.transports[0].write(LARGE)
    link.transports[0].write(SHORT)
    link.wait(1.0)
    assert link.raw[0].written() == LARGE + SHORT


@test("between processes a short frame goes before large ones that wait, but never into one")
def _() -> None:
    link = Link(2)
    link.transports[0].write(LARGE)
    link.transports[1].write(LARGE)
    link.transports[1].write(SHORT)  # no byte of the large message was sent
    assert link.raw[1].written() == SHORT
    link.transports[0].write(SHORT)  # the large message was partially sent
    link.wait(1.0)
    assert link.raw[0].written() == LARGE + SHORT and link.raw[1].written() == SHORT + LARGE


@test("short frames that come while a large one is sent keep their order, and go before the next large one")
def _() -> None:
    link = Link(1)
    transport = link.scheduled(0)
    transport.write(LARGE)
    transport.write(LARGE)
    for text in (b"call", b"cancel", b"x" * 20_000):
        transport.write_short(text)
    link.wait(2.0)
    assert link.raw[0].written() == LARGE + b"callcancel" + b"x" * 20_000 + LARGE


@test("short messages of twice the bandwidth don't keep large ones waiting for long after their end")
def _() -> None:
    link = Link(2)
    for _ in range(100):
        link.transports[1].write(b"s" * 8_000)
        link.wait(0.01)
    link.transports[0].write(LARGE)
    link.wait(1.0)
    assert link.raw[0].written() == LARGE and not invariants.violations()


@test("a message that is no longer wanted is discarded if nothing of it was sent, and only then")
def _() -> None:
    link = Link(1)
    transport = link.scheduled(0)
    transport.write_message(1, LARGE)
    transport.write_message(2, LARGE)
    assert transport.discard(2) and not transport.discard(1) and not transport.discard(2)
    link.wait(1.0)
    assert link.raw[0].written() == LARGE and link.scheduler.queued_bytes == 0


@test("end of file and close wait for what is queued; abort drops it")
def _() -> None:
    link = Link(2)
    for transport in link.transports:
        transport.write(LARGE)
        transport.write_eof()
    link.transports[0].close()
    assert link.transports[0].is_closing() and not link.raw[0].is_closed
    link.transports[1].abort()
    assert link.raw[1].is_closed and link.scheduler.queued_bytes < len(LARGE)
    link.wait(1.0)
    assert link.raw[0].written() == LARGE and link.raw[0].events[-1][1] == "eof" and link.raw[0].is_closed
    assert len(link.raw[1].written()) < len(LARGE) and link.scheduler.queued_bytes == 0


@test("a connection that breaks while it waits for the link holds up no other")
def _() -> None:
    link = Link(2)
    link.transports[0].write(LARGE)
    link.transports[1].write(LARGE)
    link.raw[0].is_closed = True
    link.wait(1.0)
    assert link.raw[1].written() == LARGE and link.scheduler.queued_bytes == 0


@test("connections within the machine, and links without a limit, are not scheduled")
def _() -> None:
    loop = VirtualLoop()
    local, remote = RecordingTransport(loop, "10.0.0.1"), RecordingTransport(loop)
    assert LinkScheduler(loop, BANDWIDTH_MBPS, "10.0.0.1").wrap(local) is local
    assert LinkScheduler(loop, 0.0, "10.0.0.1").wrap(remote) is remote


@test("the invariant sees a large message that was sent past the budget")
def _() -> None:
    # Given a defect: chunks are sent without checking whether the link is free
    budget = LinkBudget(BANDWIDTH_MBPS, now=0.0)
    for _ in range(5):
        budget.spend_chunk(budget.chunk_bytes, now=0.0)
    # When a short message is sent after them
    budget.spend(len(SHORT), now=0.0)
    # Then a violation is counted
    assert invariants.violations() == {SHORT_WAIT_IS_BOUNDED.text: 1}
    invariants.reset()
