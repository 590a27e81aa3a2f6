"""One real proxy: `python -m cometdoor`, told what it is by NODE_CONFIG; SIGHUP has it read that again."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys

import uvloop

from cometdoor.config import BadConfig, NodeConfig, load_config, need_restart
from cometdoor.frontend import Frontend, RequestReader
from cometdoor.proxy import Proxy
from cometdoor.upstream import Descriptors

# After SIGTERM new connections come for 0.2 to 0.4 s, and callers go on using those that they have: another
# proxy may not be up yet. Idle ones are kept while most of what is asked on them can still be answered; then
# they end, the listener a little later, and what has been taken is answered before the end.
SERVE_ON_S = 2.0
LISTEN_ON_S = 2.1
LOOK_EVERY_S = 0.02
# SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more after SIGTERM.
LONGEST_WAIT_S, KILL_AFTER_S = 3.0, 0.7
BEFORE_KILL_S = 0.15  # so much sooner is what is still out failed
FLUSH_S = 1.5  # callers may take so long to read their last answers

log = logging.getLogger("cometdoor")


def reload(running: NodeConfig, proxy: Proxy, stopping: asyncio.Event) -> None:
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
    proxy.move_discovery(new.discovery)


async def serve(config: NodeConfig, stopping: asyncio.Event) -> None:
    loop = asyncio.get_running_loop()
    descriptors = Descriptors(config.sockets)
    proxy = Proxy(config, loop, descriptors)
    # Before anybody can learn that the program is up: without a handler the signal ends it.
    loop.add_signal_handler(signal.SIGHUP, reload, config, proxy, stopping)
    front = Frontend(loop, RequestReader(config), descriptors, proxy)
    await front.listen(*config.listen)
    proxy.start()
    # Guards against long collector pauses: what the start made stays for good, and what ends leaves no cycles
    # (tests/test_memory.py): on the long day memory was flat at 13 to 14 MB with these thresholds.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    log.info("%s serves on %s:%d", config.name, *config.listen)
    await stopping.wait()
    log.info("stopping; %d requests are open", proxy.open_requests())
    longest_s = max(cls.deadline_ms for cls in config.settings.classes) / 1000.0
    last_word_at = loop.time() + min(longest_s, LONGEST_WAIT_S) + KILL_AFTER_S - BEFORE_KILL_S
    await asyncio.sleep(SERVE_ON_S)
    front.closing = True
    front.close_idle()
    await asyncio.sleep(LISTEN_ON_S - SERVE_ON_S)
    front.stop_listening()
    log.info("takes nothing new; %d requests are open", proxy.open_requests())
    # A caller that stopped in the middle of a request is owed nothing, and must not keep the program.
    flushed_by = loop.time() + FLUSH_S
    while proxy.owes_answers() or (front.connections and loop.time() < flushed_by):
        if proxy.owes_answers():
            flushed_by = loop.time() + FLUSH_S
            if loop.time() >= last_word_at:
                log.warning("%d requests fail unanswered before the kill", proxy.open_requests())
                proxy.fail_all()
        front.close_idle()
        await asyncio.sleep(LOOK_EVERY_S)
    proxy.stop()
    log.info("%s ends", config.name)


async def run(config: NodeConfig) -> None:
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    await serve(config, stopping)


def main() -> int:
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
