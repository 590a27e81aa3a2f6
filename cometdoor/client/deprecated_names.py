"""Former names of the client library, kept as deprecated aliases for existing programs.

Until December 2026 the library had other names for some modules, classes, methods and keyword parameters.
Each still works and raises a `DeprecationWarning` that names its successor. New code must not use them, and
type checkers do not see them.
"""

from __future__ import annotations

import functools
import importlib
import inspect
import warnings
from collections.abc import Callable, Mapping
from typing import Any, ParamSpec, TypeVar, cast

Parameters = ParamSpec("Parameters")
Returned = TypeVar("Returned")

PACKAGE = "cometdoor.client"

# Successors of former modules, and by former module the names that have changed; all others are the same.
FORMER_MODULES: Mapping[str, str] = {
    "backend": "backend_agent",
    "calls": "async_client",
    "tries": "retry_policy",
    "wire": "connection",
}
FORMER_NAMES: Mapping[str, Mapping[str, str]] = {
    "backend": {
        "ACKNOWLEDGED_WITHIN_S": "ACKNOWLEDGEMENT_TIMEOUT_S",
        "AGAIN_S": "RETRY_INTERVAL_S",
        "BackendSide": "BackendAgent",
    },
    "calls": {"ERRORS": "ERRORS_BY_EXECUTION_STATUS", "KEPT": "MAX_IDLE_CONNECTIONS"},
    "errors": {"HasRun": "ExecutionFailed", "MayHaveRun": "OutcomeUnknown", "NotRun": "NotExecuted"},
    "operator": {
        "Conflict": "VersionConflict",
        "FIRST_PAUSE_S": "BACKOFF_MIN_S",
        "Invalid": "InvalidConfiguration",
        "MOST_PAUSE_S": "BACKOFF_MAX_S",
        "PATIENCE_S": "RESPONSE_TIMEOUT_S",
        "REDIRECTS": "MAX_REDIRECTS",
        "Unanswered": "NoDefiniteResponse",
    },
    "tries": {
        "AT_WORK": "IN_PROGRESS_STATUS",
        "Budget": "ClientRetryBudget",
        "Ending": "AttemptResult",
        "FIRST_PAUSE_S": "BACKOFF_MIN_S",
        "HEEDED_SHARE": "RETRY_AFTER_MAX_SHARE",
        "Kind": "RequestKind",
        "Known": "ExecutionStatus",
        "LEAST_TRY_S": "ATTEMPT_TIME_MIN_S",
        "MOST_PAUSE_S": "BACKOFF_MAX_S",
        "PROMISES": "NOT_EXECUTED_STATUSES",
        "REJECTIONS": "REJECTED_STATUSES",
        "Tries": "CallAttempts",
    },
    "wire": {
        "Answer": "Response",
        "Broken": "ConnectionFailed",
        "CONNECT_S": "CONNECT_TIMEOUT_S",
        "MAX_ANSWER": "MAX_RESPONSE_BYTES",
        "ask_once": "request_once",
        "ending_of": "result_of",
        "request_bytes": "encode_request",
    },
}
FORMER_EXPORTS: Mapping[str, str] = {
    "Answer": "Response",
    "BackendSide": "BackendAgent",
    "Conflict": "VersionConflict",
    "HasRun": "ExecutionFailed",
    "Invalid": "InvalidConfiguration",
    "Kind": "RequestKind",
    "MayHaveRun": "OutcomeUnknown",
    "NotRun": "NotExecuted",
    "Unanswered": "NoDefiniteResponse",
}


def warn_deprecated(former: str, successor: str, stacklevel: int) -> None:
    """Issue the deprecation warning for a former name.

    Parameters
    ----------
    former, successor
        The names as a program writes them.
    stacklevel
        As in `warnings.warn`, counted from the caller of this function.
    """
    warnings.warn(f"{former} is deprecated: use {successor}", DeprecationWarning, stacklevel=stacklevel + 1)


def package_getattr(name: str) -> Any:
    """Look up former exports and former modules; the `__getattr__` of the package."""
    if successor := FORMER_EXPORTS.get(name):
        warn_deprecated(f"{PACKAGE}.{name}", f"{PACKAGE}.{successor}", stacklevel=2)
        return getattr(importlib.import_module(PACKAGE), successor)
    if name in FORMER_MODULES:
        return importlib.import_module(f"{PACKAGE}.{name}")
    raise AttributeError(f"module {PACKAGE!r} has no attribute {name!r}")


def module_getattr(module: str) -> Callable[[str], Any]:
    """Make the `__getattr__` of a module that has, or once had, other names.

    Parameters
    ----------
    module
        Its name without the package; the names of a former module are looked up in its successor.
    """
    former_names = FORMER_NAMES[module]
    successor_module = FORMER_MODULES.get(module, module)

    def lookup(name: str) -> Any:
        successor = former_names.get(name)
        if successor is None:
            if successor_module == module or name.startswith("__"):
                raise AttributeError(f"module '{PACKAGE}.{module}' has no attribute {name!r}")
            successor = name
        value = getattr(importlib.import_module(f"{PACKAGE}.{successor_module}"), successor)
        warn_deprecated(
            f"{PACKAGE}.{module}.{name}", f"{PACKAGE}.{successor_module}.{successor}", stacklevel=2
        )
        return value

    return lookup


def instance_getattr(**successors: str) -> Callable[[Any, str], Any]:
    """Make the `__getattr__` of a class whose methods or attributes had other names.

    Python calls it only after the ordinary lookup has failed, so that current names cost nothing extra.

    Parameters
    ----------
    **successors
        Current names by former name.
    """

    def lookup(self: Any, name: str) -> Any:
        kind = type(self).__name__
        successor = successors.get(name)
        if successor is None:
            raise AttributeError(f"{kind!r} object has no attribute {name!r}", name=name, obj=self)
        warn_deprecated(f"{kind}.{name}", f"{kind}.{successor}", stacklevel=2)
        return getattr(self, successor)

    return lookup


def accepts_former_keywords(
    **successors: str,
) -> Callable[[Callable[Parameters, Returned]], Callable[Parameters, Returned]]:
    """Make a decorator that accepts former names of keyword parameters.

    A decorated coroutine function is still a coroutine function. The overhead of each call does not matter,
    since the decorated coroutines wait for the network.

    Parameters
    ----------
    **successors
        Current names by former name.
    """

    def decorate(function: Callable[Parameters, Returned]) -> Callable[Parameters, Returned]:
        name = function.__qualname__

        def rename(keywords: dict[str, Any]) -> dict[str, Any]:
            for former, successor in successors.items():
                if former in keywords:
                    if successor in keywords:
                        raise TypeError(f"{name}() got both {successor!r} and its former name {former!r}")
                    warn_deprecated(f"{name}({former}=)", f"{name}({successor}=)", stacklevel=3)
                    keywords[successor] = keywords.pop(former)
            return keywords

        if inspect.iscoroutinefunction(function):

            @functools.wraps(function)
            async def call_coroutine(*args: Any, **keywords: Any) -> Any:
                return await function(*args, **rename(keywords))

            return cast(Callable[Parameters, Returned], call_coroutine)

        @functools.wraps(function)
        def call(*args: Any, **keywords: Any) -> Returned:
            return function(*args, **rename(keywords))

        return cast(Callable[Parameters, Returned], call)

    return decorate
