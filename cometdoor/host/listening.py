"""Opening all that a program listens to. What can't be had is told at once, each with its step and place."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

from cometdoor.host.enums import read_address


class ListenError(Exception):
    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step, self.peer, self.reason = step, peer, reason


async def listen_all(wanted: Mapping[str, tuple[Callable[[str, int], Awaitable[None]], str]]) -> None:
    """`wanted`: by what it is for, how to listen and at which "ip:port". Raises an ExceptionGroup of
    ListenError."""
    faults = []
    for step, (listen, address) in wanted.items():
        try:
            await listen(*read_address(address))
        except OSError as problem:
            faults.append(ListenError(step, address, problem.strerror or str(problem)))
    if faults:
        raise ExceptionGroup("it can't listen", faults)
