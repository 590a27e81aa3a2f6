"""The mesh's two programs, as words of the command line: `cometdoor dataplane`, `cometdoor controlplane`.

A module of its own, so that a daemon imports what it needs and nothing else: starting is paid for.
"""

from __future__ import annotations

import asyncio
import logging
import signal
import sys

import structlog
import typer

from cometdoor.core.boot import Boot, load_boot
from cometdoor.core.schema import BadSettings
from cometdoor.http.lifetime import settle_collector

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
                  rich_markup_mode=None,
                  help="A service mesh: a data plane beside each backend, a control plane on a few machines.")


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


def run(role: str) -> None:
    import uvloop

    log_json()
    try:
        boot = load_boot(role)
    except BadSettings as problem:
        print(problem, file=sys.stderr)
        raise typer.Exit(2) from None
    try:
        uvloop.run(serve(boot, role))
    except OSError as problem:
        print(f"cometdoor {role}: {problem}", file=sys.stderr)
        raise typer.Exit(1) from None


@app.command()
def dataplane() -> None:
    """The proxy beside a backend; COMETDOOR_NODE_FILE names its settings."""
    run("dataplane")


@app.command()
def controlplane() -> None:
    """A member of the core; COMETDOOR_NODE_FILE names its settings."""
    run("controlplane")


mesh = typer.Typer(no_args_is_help=True, rich_markup_mode=None, help="The whole mesh on this machine.")
app.add_typer(mesh, name="mesh")


@mesh.command()
def demo(seconds: float = 20.0) -> None:
    """Real processes on loopback: requests are served while a core member and a backend are killed."""
    try:
        from standins import mesh as on_this_machine
    except ImportError as problem:
        print(f"cometdoor: the demo runs from the repository: {problem}", file=sys.stderr)
        raise typer.Exit(1) from None
    raise typer.Exit(on_this_machine.run(seconds))
