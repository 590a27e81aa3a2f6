"""Network addresses, as shared by configuration, discovery and transports."""

from __future__ import annotations

Address = tuple[str, int]
"""Host name or IP address, and TCP port, as ``socket`` takes them."""


def parse_address(text: str, min_port: int = 1) -> Address:
    """Parse ``HOST:PORT``; an IPv6 address may be in brackets.

    Parameters
    ----------
    text
        The address as an operator writes it.
    min_port
        Smallest valid port; 0 for listeners that may use any free port.

    Raises
    ------
    ValueError
        If the text is not an address or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not min_port <= int(port) < 65536:
        raise ValueError(f"{text!r} is no HOST:PORT")
    return host.strip("[]"), int(port)
