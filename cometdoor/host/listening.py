"""Listens at all addresses of a process, and reports all failures together."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple

from cometdoor.errors import CometdoorError
from cometdoor.host.address import parse_address


class ListenError(CometdoorError):
    """A process can't listen at an address."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step, self.peer, self.reason = step, peer, reason


class ListenStep(NamedTuple):
    """One address to listen at."""

    listen: Callable[[str, int], Awaitable[None]]
    """Starts to listen; called with host and port."""
    address: str
    """The address as "ip:port"."""


async def listen_all(listeners: Mapping[str, ListenStep]) -> None:
    """Listen at all addresses.

    Parameters
    ----------
    listeners
        The addresses by purpose; the purpose is the `step` of a failure.

    Raises
    ------
    ExceptionGroup
        With a `ListenError` for each address that can't be used.
    """
    errors = []
    for step, (listen, address) in listeners.items():
        try:
            await listen(*parse_address(address))
        except OSError as error:
            errors.append(ListenError(step, address, error.strerror or str(error)))
    if errors:
        raise ExceptionGroup("failed to listen", errors)
