"""The public client library: calls through a proxy of the mesh, the operator's calls, and a backend's side.

    async with Client("127.0.0.1:8147") as client:
        answer = await client.call("GET", "pitches.example", "/search/7", deadline_s=3.0,
                                   kind=Kind.REPEATABLE)

What is known of a call that was not served is in the error's class: `NotRun`, `MayHaveRun` or `HasRun`. The
library imports nothing of the daemons. `cometdoor.client.blocking` is for programs without an event loop.
"""

from cometdoor.client.backend import BackendSide
from cometdoor.client.calls import Client
from cometdoor.client.errors import CallError, HasRun, MayHaveRun, NotRun, Rejected
from cometdoor.client.operator import Conflict, Invalid, Operator, Unanswered
from cometdoor.client.tries import Kind
from cometdoor.client.wire import Answer

__all__ = [
    "Answer",
    "BackendSide",
    "CallError",
    "Client",
    "Conflict",
    "HasRun",
    "Invalid",
    "Kind",
    "MayHaveRun",
    "NotRun",
    "Operator",
    "Rejected",
    "Unanswered",
]
