"""Public client library: calls through a proxy of the mesh, operator calls, and the agent of a backend.

    async with Client("127.0.0.1:8147") as client:
        response = await client.call("GET", "pitches.example", "/search/7", deadline_s=3.0,
                                     kind=RequestKind.IDEMPOTENT)

A failed call raises an error whose class gives its execution status: `NotExecuted`, `OutcomeUnknown` or
`ExecutionFailed`. The library imports neither the proxy nor the control plane, only the decision module's
retry limiter (`cometdoor.balancing.attempts`). `cometdoor.client.blocking` is for programs without an event
loop. Names of the versions before December 2026 still work and raise a `DeprecationWarning`
(`deprecated_names`).
"""

from typing import TYPE_CHECKING

from cometdoor.client.async_client import Client
from cometdoor.client.backend_agent import BackendAgent
from cometdoor.client.connection import Response
from cometdoor.client.deprecated_names import package_getattr
from cometdoor.client.errors import CallError, ExecutionFailed, NotExecuted, OutcomeUnknown, Rejected
from cometdoor.client.operator import InvalidConfiguration, NoDefiniteResponse, Operator, VersionConflict
from cometdoor.client.retry_policy import RequestKind

if not TYPE_CHECKING:
    __getattr__ = package_getattr

__all__ = [
    "BackendAgent",
    "CallError",
    "Client",
    "ExecutionFailed",
    "InvalidConfiguration",
    "NoDefiniteResponse",
    "NotExecuted",
    "Operator",
    "OutcomeUnknown",
    "Rejected",
    "RequestKind",
    "Response",
    "VersionConflict",
]
