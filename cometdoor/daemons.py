"""The mesh's two daemons, from their settings file to their end.

Kept apart from the command line (cometdoor/programs.py): starting is paid for, and what typer brings along
took 0.2 s of processor time and 11 MB, nearly half of both (importing alone, one machine, three runs).
"""

from __future__ import annotations

import asyncio
import logging
import signal
import sys

import structlog

from cometdoor.core.boot import Boot, load_boot
from cometdoor.core.schema import BadSettings
from cometdoor.http.lifetime import settle_collector


def log_json() -> None:
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True),
                    structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    logging.basicConfig(stream=sys.stderr, level=logging.WARNING)


async def serve(boot: Boot, role: str) -> None:
    loop = asyncio.get_running_loop()
    log = structlog.get_logger()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload, boot, role)
    program: DataPlane | ControlPlane
    if role == "dataplane":
        from cometdoor.dataplane.process import DataPlane

        program = DataPlane(boot, loop)
    else:
        from cometdoor.control.process import ControlPlane

        program = ControlPlane(boot, loop)
    await program.start()
    settle_collector()
    log.info("serves", role=role, node=boot.node_name)
    await stopping.wait()
    log.info("ends", role=role, node=boot.node_name)
    await program.end(boot.bound("grace-s", 6.0))


def reload(running: Boot, role: str) -> None:
    """Says what is wrong with the file by now. Nothing in it is taken up before the next start."""
    log = structlog.get_logger()
    try:
        load_boot(role)
    except BadSettings as problem:
        log.error("settings are bad; the next start would fail", step="reload", error=str(problem))
    else:
        log.info("settings are good; used from the next start on", step="reload", node=running.node_name)


def run(role: str) -> int:
    """0: it ended in order; 1: it could not serve; 2: its settings are bad."""
    import uvloop

    log_json()
    try:
        boot = load_boot(role)
    except BadSettings as problem:
        print(problem, file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(boot, role))
    except OSError as problem:
        print(f"cometdoor {role}: {problem}", file=sys.stderr)
        return 1
    return 0
