"""Runs the mesh's two daemons, data plane and control plane, from reading their settings to shutdown.

Separate from the command line (cometdoor/cli/mesh_commands.py), since the platform charges the processor time
of a start: of the 0.31 s and 40 MB that a start takes until the settings are read, importing typer would take
0.12 s and 11 MB. For the same reason, the package of a daemon is imported only when that daemon starts.
"""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from typing import TYPE_CHECKING

import structlog

from cometdoor.host.listening import ListenError
from cometdoor.host.node_settings import NodeSettings, load_node_settings
from cometdoor.host.settings_validation import SettingsError
from cometdoor.http.graceful_shutdown import configure_garbage_collector

if TYPE_CHECKING:
    from cometdoor.control.process import ControlPlane
    from cometdoor.dataplane.process import DataPlane


def configure_logging() -> None:
    """Log JSON lines to standard error, at info and above; other libraries' logs at warning and above."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    logging.basicConfig(stream=sys.stderr, level=logging.WARNING)


async def serve(node_settings: NodeSettings, role: str) -> int:
    """Run the daemon of a role until SIGTERM, SIGINT or its own failure, then shut it down gracefully.

    Returns the exit status: 1 after a failure, else 0.

    Raises
    ------
    ExceptionGroup
        Contains a ListenError for each address that can't be listened on.
    """
    loop = asyncio.get_running_loop()
    log = structlog.get_logger()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    has_failed = False

    def on_failed() -> None:
        nonlocal has_failed
        has_failed = True
        stop_requested.set()

    daemon: DataPlane | ControlPlane
    if role == "dataplane":
        from cometdoor.dataplane.process import DataPlane

        daemon = DataPlane(node_settings, loop)
    else:
        from cometdoor.control.process import ControlPlane

        daemon = ControlPlane(node_settings, loop)
        daemon.on_failed = on_failed
    # Added before the daemon starts, since a SIGHUP without a handler would end the process.
    loop.add_signal_handler(signal.SIGHUP, reload_settings, daemon, role)
    await daemon.start()
    configure_garbage_collector()
    log.info("started", role=role, node=node_settings.node_name)
    await stop_requested.wait()
    log.info("shutting down", role=role, node=node_settings.node_name)
    await daemon.shutdown(node_settings.bound_value("grace-s", 6.0))
    return 1 if has_failed else 0


def reload_settings(daemon: DataPlane | ControlPlane, role: str) -> None:
    """Reload and apply the settings file; an invalid file is logged, and changes nothing."""
    log = structlog.get_logger()
    try:
        node_settings = load_node_settings(role)
    except SettingsError as error:
        log.error("settings invalid, keeping those in use", step="reload", error=str(error))
        return
    changed = [
        name
        for name in vars(node_settings)
        if getattr(node_settings, name) != getattr(daemon.latest_settings, name)
    ]
    daemon.latest_settings = node_settings
    daemon.apply_settings(node_settings)
    log.info(
        "settings reloaded",
        step="reload",
        node=node_settings.node_name,
        applied=[name for name in changed if name == "seed_nodes"],
        applied_after_restart=[name for name in changed if name != "seed_nodes"],
    )


def run(role: str) -> int:
    """Run a daemon; return its exit status.

    1 if it can't listen or has failed, 2 for invalid settings, else 0.
    """
    import uvloop

    configure_logging()
    try:
        node_settings = load_node_settings(role)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    status = 0
    try:
        status = uvloop.run(serve(node_settings, role))
    except* (ListenError, OSError) as group:
        for failure in group.exceptions:
            print(f"cometdoor {role}: {failure}", file=sys.stderr)
        status = 1
    return status
