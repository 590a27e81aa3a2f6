"""The platform's proxy as a program: configured by the file in NODE_CONFIG, which SIGHUP reloads."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys

import uvloop

from cometdoor.discovery.config import ConfigError, NodeConfig, fields_requiring_restart, load_config
from cometdoor.discovery.node import Node
from cometdoor.http.graceful_shutdown import configure_garbage_collector, drain_and_stop

# From SIGTERM to SIGKILL, the platform waits at least for the longest deadline, 3 s at most, plus 0.7 s.
MAX_DRAIN_S, KILL_AFTER_S = 3.0, 0.7
KILL_MARGIN_S = 0.15  # requests that are still open are failed this long before SIGKILL
log = logging.getLogger("cometdoor")


def reload(running: NodeConfig, node: Node, stopping: asyncio.Event) -> None:
    """Reload the configuration and apply its discovery address; handler of SIGHUP.

    An invalid configuration changes nothing.
    """
    if stopping.is_set():
        return
    try:
        new = load_config()
    except ConfigError as problem:
        log.error("the new configuration is invalid; the current one stays in force: %s", problem)
        return
    if names := fields_requiring_restart(running, new):
        log.warning("these settings have changed and apply only after a restart: %s", ", ".join(names))
    node.discovery.set_address(new.discovery)


async def serve(config: NodeConfig, stopping: asyncio.Event) -> None:
    """Serve until `stopping` is set, then drain; raise OSError if listening fails."""
    loop = asyncio.get_running_loop()
    node = Node(config, loop)
    # Added before the program listens, since a SIGHUP without a handler would end the process.
    loop.add_signal_handler(signal.SIGHUP, reload, config, node, stopping)
    await node.start(config.listen)
    configure_garbage_collector()
    log.info("%s serves on %s:%d", config.name, *config.listen)
    await stopping.wait()
    longest_deadline_s = max(cls.deadline_ms for cls in config.settings.classes) / 1000.0
    await drain_and_stop(
        node.frontend, node.service, min(longest_deadline_s, MAX_DRAIN_S) + KILL_AFTER_S - KILL_MARGIN_S
    )
    node.stop()
    log.info("%s stopped", config.name)


async def run(config: NodeConfig) -> None:
    """Serve until SIGTERM or SIGINT; raise OSError if listening fails."""
    stopping = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopping.set)
    await serve(config, stopping)


def main() -> int:
    """Run the program.

    Returns
    -------
    int
        Exit status: 0 after a graceful shutdown, 1 if listening failed, 2 if the configuration is invalid.
    """
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    try:
        config = load_config()
    except ConfigError as problem:
        print(f"cometdoor: bad configuration: {problem}", file=sys.stderr)
        return 2
    try:
        uvloop.run(run(config))
    except OSError as problem:
        print(f"cometdoor: {problem}", file=sys.stderr)
        return 1
    return 0
