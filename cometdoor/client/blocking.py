"""The client for programs without an event loop: one loop on a thread of its own, shared by all callers."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Coroutine, Mapping
from types import TracebackType
from typing import Any, TypeVar

from cometdoor.client import calls
from cometdoor.client.tries import Budget, Kind
from cometdoor.client.wire import Answer

Result = TypeVar("Result")


class Client:
    """As cometdoor.client.Client; any thread may call."""

    def __init__(self, *addresses: str, most_tries: int = 3, budget: Budget | None = None) -> None:
        self._inner = calls.Client(*addresses, most_tries=most_tries, budget=budget)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="cometdoor client", daemon=True)
        self._thread.start()

    def call(
        self,
        method: str,
        host: str,
        path: str,
        *,
        deadline_s: float,
        kind: Kind = Kind.ONCE,
        key: str | None = None,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Raises what the other one's raises."""
        return self._run(
            self._inner.call(
                method, host, path, deadline_s=deadline_s, kind=kind, key=key, headers=headers, body=body
            )
        )

    def close(self) -> None:
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._inner.close)
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
            self._loop.close()

    def __enter__(self) -> Client:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, problem: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def _run(self, work: Coroutine[Any, Any, Result]) -> Result:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()
