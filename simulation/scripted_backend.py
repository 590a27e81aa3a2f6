"""Backends of a simulated mesh whose connections a scenario serves, behind the stand-ins' heartbeats."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable

from simulation.mesh import SimulatedMesh
from standins.mesh_backend import APPLICATION_PORT

ServeConnection = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def take_over_backends(mesh: SimulatedMesh, serve: ServeConnection) -> None:
    """Serve the connections of all backends with `serve`; the stand-ins go on sending heartbeats."""

    async def take_over(address: str) -> None:
        listener = mesh.backends[address]._server
        assert listener is not None
        listener.close()
        await asyncio.start_server(serve, address, APPLICATION_PORT)

    for address in mesh.planes:
        mesh.as_backend(address, take_over(address))
    mesh.wait(0.1)


def response_head(attempt: str) -> bytes:
    """Return the head of a sealed 200 without the header that delimits its body."""
    return (
        f"HTTP/1.1 200 OK\r\nCometdoor-Attempt-Id: {attempt}\r\n"
        f"Cometdoor-Response-Seal: {secrets.token_hex(6)}\r\n"
    ).encode()
