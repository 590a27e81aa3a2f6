"""`python -m cometdoor` alone is the platform's proxy, told what it is by NODE_CONFIG; SIGHUP has it read
that again. With a word behind it, it is the operators' command line (cometdoor/cli.py)."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys

import uvloop

from cometdoor.discovery.config import BadConfig, NodeConfig, load_config, need_restart
from cometdoor.discovery.node import Node
from cometdoor.http.lifetime import end_serving, settle_collector

# SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more after SIGTERM.
LONGEST_WAIT_S, KILL_AFTER_S = 3.0, 0.7
BEFORE_KILL_S = 0.15  # so much sooner is what is still out failed

MESH = ("dataplane", "controlplane", "mesh")  # the mesh's words; the others are in cometdoor/cli.py
log = logging.getLogger("cometdoor")


def reload(running: NodeConfig, node: Node, stopping: asyncio.Event) -> None:
    """Only discovery can move under a running proxy. What can't be read changes nothing."""
    if stopping.is_set():
        return
    try:
        new = load_config()
    except BadConfig as problem:
        log.error("the configuration stays as it was: %s", problem)
        return
    if names := need_restart(running, new):
        log.warning("changed, but used only after a restart: %s", ", ".join(names))
    node.discovery.move(new.discovery)


async def serve(config: NodeConfig, stopping: asyncio.Event) -> None:
    loop = asyncio.get_running_loop()
    node = Node(config, loop)
    # Before anybody can learn that the program is up: without a handler the signal ends it.
    loop.add_signal_handler(signal.SIGHUP, reload, config, node, stopping)
    await node.start(config.listen)
    settle_collector()
    log.info("%s serves on %s:%d", config.name, *config.listen)
    await stopping.wait()
    longest_s = max(cls.deadline_ms for cls in config.settings.classes) / 1000.0
    await end_serving(node.front, node.service, min(longest_s, LONGEST_WAIT_S) + KILL_AFTER_S - BEFORE_KILL_S)
    node.stop()
    log.info("%s ends", config.name)


async def run(config: NodeConfig) -> None:
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    await serve(config, stopping)


def main() -> int:
    if len(sys.argv) > 1 and sys.argv[1] in MESH:
        # A daemon writes to no terminal: without these pages of colours it holds 3 MB less (36.1 to
        # 32.9). typer and structlog do without them where they can't be had.
        sys.modules["rich"] = None  # type: ignore[assignment]
        from cometdoor.programs import app

        app(prog_name="cometdoor")
    if len(sys.argv) > 1:
        from cometdoor import cli  # not imported by the platform's proxy: memory is scarce there

        return cli.main(sys.argv[1:])
    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        config = load_config()
    except BadConfig as problem:
        print(f"cometdoor: bad configuration: {problem}", file=sys.stderr)
        return 2
    try:
        uvloop.run(run(config))
    except OSError as problem:
        print(f"cometdoor: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
