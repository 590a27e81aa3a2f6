"""Words that configuration and discovery share."""

from __future__ import annotations

from cometdoor.core.host import Address


def read_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no HOST:PORT")
    return host.strip("[]"), int(port)
