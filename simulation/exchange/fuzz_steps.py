"""Steps and helpers that the plans of several hops share."""

from __future__ import annotations

from dataclasses import dataclass

from simulation.exchange.scripted_transports import ScriptedTransport


@dataclass(frozen=True)
class CloseConnection:
    """The peer ends a connection."""

    transport: int
    is_reset: bool


@dataclass(frozen=True)
class Wait:
    """Virtual time passes."""

    seconds: float


def close(transport: ScriptedTransport, is_reset: bool) -> None:
    """End a connection from the peer's side."""
    if is_reset:
        transport.reset()
    else:
        transport.close_by_peer()


def feed_in_chunks(transport: ScriptedTransport, data: bytes, chunk_count: int) -> None:
    """Feed bytes in about so many reads of equal size."""
    chunk_bytes = max(len(data) // chunk_count, 1)
    for offset in range(0, len(data), chunk_bytes):
        transport.feed(data[offset : offset + chunk_bytes])
