"""A serving process from its start to its end, at which what it has taken is answered first."""

from __future__ import annotations

import asyncio
import gc
import logging
from typing import Protocol

from cometdoor.http.frontend import Frontend

# After SIGTERM new connections come for 0.2 to 0.4 s, and callers go on using those that they have: another
# proxy may not be up yet. Idle ones are kept while most of what is asked on them can still be answered; then
# they end, the listener a little later, and what has been taken is answered before the end.
SERVE_ON_S = 2.0
LISTEN_ON_S = 2.1
LOOK_EVERY_S = 0.02
FLUSH_S = 1.5  # callers may take so long to read their last answers

log = logging.getLogger(__name__)


def settle_collector() -> None:
    """Guards against long collector pauses: what the start made stays for good, what ends leaves no cycles
    (tests/http/test_memory.py): on the long day memory was flat at 13 to 14 MB with these thresholds."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)


class Owing(Protocol):
    def open_requests(self) -> int:
        """Requests that are owed an answer."""

    def fail_all(self) -> None: ...


async def end_serving(front: Frontend, owing: Owing, last_word_s: float) -> None:
    """Serve on for a while, then take nothing new; what is still out `last_word_s` from now fails."""
    loop = asyncio.get_running_loop()
    last_word_at = loop.time() + last_word_s
    log.info("stopping; %d requests are open", owing.open_requests())
    await asyncio.sleep(SERVE_ON_S)
    front.closing = True
    front.close_idle()
    await asyncio.sleep(LISTEN_ON_S - SERVE_ON_S)
    front.stop_listening()
    log.info("takes nothing new; %d requests are open", owing.open_requests())
    # A caller that stopped in the middle of a request is owed nothing, and must not keep the program.
    flushed_by = loop.time() + FLUSH_S
    while owing.open_requests() or (front.connections and loop.time() < flushed_by):
        if owing.open_requests():
            flushed_by = loop.time() + FLUSH_S
            if loop.time() >= last_word_at:
                log.warning("%d requests fail unanswered before the kill", owing.open_requests())
                owing.fail_all()
        front.close_idle()
        await asyncio.sleep(LOOK_EVERY_S)
