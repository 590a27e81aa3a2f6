"""Operator calls to the control plane: read, replace and change the configuration of the mesh."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from cometdoor.client.connection import ConnectionFailed, Response, request_once
from cometdoor.client.deprecated_names import accepts_former_keywords, module_getattr
from cometdoor.errors import CometdoorError

if not TYPE_CHECKING:
    __getattr__ = module_getattr("operator")

RESPONSE_TIMEOUT_S = 1.5  # for one request; each redirect has a timeout of its own
BACKOFF_MIN_S, BACKOFF_MAX_S = 0.1, 1.0  # delay between attempts; doubles each time
MAX_REDIRECTS = 2


class InvalidConfiguration(CometdoorError):
    """The configuration was rejected; the message lists every problem with its path in the configuration."""


class VersionConflict(CometdoorError):
    """The change is based on a version other than the current one."""


class NoDefiniteResponse(CometdoorError):
    """No definite response was received in time, so the change may be in force or not.

    The same change can be sent again: if it is already in force, it is acknowledged.
    """


class Operator:
    """Reads and changes the configuration of the mesh through any of its control planes.

    Every method waits up to `timeout_s` seconds, over all attempts, for a definite response.

    Parameters
    ----------
    addresses
        "host:port" of control planes, at least one.
    rng
        Random generator for the first control plane and the retry jitter.

    Raises
    ------
    ValueError
        If there is no address.
    """

    @accepts_former_keywords(chance="rng")
    def __init__(self, addresses: Sequence[str], rng: random.Random | None = None) -> None:
        if not addresses:
            raise ValueError("addresses: at least one is needed")
        self._addresses = list(addresses)
        self._rng = rng or random.Random()

    @accepts_former_keywords(within_s="timeout_s")
    async def replace(self, configuration: Mapping[str, Any], base: int, timeout_s: float = 10.0) -> None:
        """Commit a configuration; when this returns, a majority of the control planes has it on disk.

        Parameters
        ----------
        configuration
            The complete configuration, with its `revision`.
        base
            The revision that it is based on; 0 for the first configuration.

        Raises
        ------
        InvalidConfiguration, VersionConflict, NoDefiniteResponse
        """
        body = json.dumps(configuration).encode()
        response = await self._request(
            "POST", "/Configuration.Replace", {"Cometdoor-Base-Version": str(base)}, body, timeout_s
        )
        if response.status == 412:
            raise VersionConflict(_reason(response))
        if response.status != 200:
            raise InvalidConfiguration(_reason(response))

    @accepts_former_keywords(within_s="timeout_s")
    async def describe(self, timeout_s: float = 10.0) -> dict[str, Any]:
        """Return the current configuration; empty if there is none yet.

        Raises
        ------
        NoDefiniteResponse
        """
        response = await self._request("GET", "/Configuration.Describe", {}, b"", timeout_s)
        if response.status == 404:
            return {}
        content: dict[str, Any] = json.loads(response.body)
        return content

    @accepts_former_keywords(within_s="timeout_s")
    async def change(
        self, edit: Callable[[dict[str, Any]], object], timeout_s: float = 10.0
    ) -> dict[str, Any]:
        """Read the configuration, edit it and replace it; start over after a concurrent change.

        Parameters
        ----------
        edit
            Called with the configuration, which it changes in place. It need not increase `revision`.

        Returns
        -------
        dict
            The configuration that is in force now.

        Raises
        ------
        InvalidConfiguration, NoDefiniteResponse
        VersionConflict
            Concurrent changes occurred in every attempt until the timeout.
        """
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + timeout_s
        while True:
            configuration = await self.describe(max(deadline_at - loop.time(), 0.1))
            base = int(configuration.get("revision", 0))
            edit(configuration)
            configuration["revision"] = base + 1
            try:
                await self.replace(configuration, base, max(deadline_at - loop.time(), 0.1))
                return configuration
            except VersionConflict:
                if loop.time() >= deadline_at:
                    raise

    async def _request(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> Response:
        """Return a definite response of the leader; follows redirects and retries with backoff."""
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + timeout_s
        address_index = self._rng.randrange(len(self._addresses))
        delay_s = BACKOFF_MIN_S
        reason = "no request was sent"
        while loop.time() < deadline_at:
            address = self._addresses[address_index % len(self._addresses)]
            try:
                for _ in range(MAX_REDIRECTS + 1):
                    response = await request_once(
                        address,
                        method,
                        path,
                        headers,
                        body,
                        min(RESPONSE_TIMEOUT_S, max(deadline_at - loop.time(), 0.05)),
                    )
                    if response.status != 307:
                        break
                    address = response.headers.get("location", "").removeprefix("http://").partition("/")[0]
                if response.status not in (307, 408, 429) and response.status < 500:
                    return response
                reason = _reason(response)
            except ConnectionFailed as error:
                reason = f"{address}: {error}"
            address_index += 1
            await asyncio.sleep(
                min(delay_s * self._rng.uniform(0.5, 1.0), max(deadline_at - loop.time(), 0.0))
            )
            delay_s = min(2 * delay_s, BACKOFF_MAX_S)
        raise NoDefiniteResponse(f"no definite response within {timeout_s} s; last failure: {reason}")


def _reason(response: Response) -> str:
    try:
        return str(json.loads(response.body)["error-message"])
    except (ValueError, KeyError, TypeError):
        return f"status {response.status}"
