"""Socket input in the kernel that the event loop has not processed yet."""

from __future__ import annotations

import asyncio
import select


def is_readable(transport: asyncio.Transport) -> bool:
    """Return whether the kernel has bytes or an end of input that the event loop has not read yet."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))
