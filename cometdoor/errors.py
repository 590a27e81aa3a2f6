"""The base class of all errors that this project raises."""

from __future__ import annotations


class CometdoorError(Exception):
    """An operation failed; the message says what happened, and the attributes where.

    Subclasses are raised from their cause, so that a traceback shows both.

    Attributes
    ----------
    step : str
        The operation that failed, such as ``"connect"`` or ``"read"``; empty where the class already says it.
    peer : str
        The other side, such as an address or a file; empty where there is none.
    """

    step: str = ""
    peer: str = ""
