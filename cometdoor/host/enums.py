"""Words that configuration and discovery share."""

from __future__ import annotations

from cometdoor.host.host import Address


def read_address(text: str, least: int = 1) -> Address:
    """`least`: 0 where a listener may be given any free port. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not least <= int(port) < 65536:
        raise ValueError(f"{text!r} is no HOST:PORT")
    return host.strip("[]"), int(port)
