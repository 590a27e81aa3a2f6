"""Client for programs without an event loop: runs a loop on a background thread that all callers share."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any, TypeVar, Unpack

from cometdoor.client import async_client
from cometdoor.client.connection import Response
from cometdoor.client.deprecated_names import accepts_former_keywords
from cometdoor.client.retry_policy import ClientRetryBudget

Result = TypeVar("Result")


class Client:
    """Calls through the mesh, from any thread.

    Parameters are those of `cometdoor.client.Client`.
    """

    @accepts_former_keywords(most_tries="max_attempts")
    def __init__(
        self, *addresses: str, max_attempts: int = 3, budget: ClientRetryBudget | None = None
    ) -> None:
        self._client = async_client.Client(*addresses, max_attempts=max_attempts, budget=budget)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="cometdoor client", daemon=True)
        self._thread.start()

    def call(
        self, method: str, host: str, path: str, **options: Unpack[async_client.CallOptions]
    ) -> Response:
        """Make a call and wait for its response: parameters and errors as in `cometdoor.client.Client`."""
        return self._run(self._client.call(method, host, path, **options))

    def close(self) -> None:
        """Close the connections and end the thread. A second call does nothing."""
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._client.close)
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
            self._loop.close()

    def __enter__(self) -> Client:
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def _run(self, coroutine: Coroutine[Any, Any, Result]) -> Result:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()
