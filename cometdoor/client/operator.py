"""The operator's calls to the control plane."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Mapping, Sequence
from typing import Any

from cometdoor.client.wire import Answer, Broken, ask_once

PATIENCE_S = 1.5  # for one answer
FIRST_PAUSE_S, MOST_PAUSE_S = 0.1, 1.0
REDIRECTS = 2


class Invalid(Exception):
    """The configuration was refused; the text has every fault with its place."""


class Conflict(Exception):
    """Another version is in force than the one that it builds on."""


class Unanswered(Exception):
    """No clear answer within the time: the change may be in force or not. Sent again unchanged, it is
    answered with success if it is."""


class Operator:
    def __init__(self, addresses: Sequence[str], chance: random.Random | None = None) -> None:
        """`addresses`: "host:port" of control planes."""
        if not addresses:
            raise ValueError("addresses: at least one is needed")
        self._addresses = list(addresses)
        self._chance = chance or random.Random()

    async def replace(self, configuration: Mapping[str, Any], base: int, within_s: float = 10.0) -> None:
        """Taken when it returns, on a majority's disks. Raises Invalid, Conflict or Unanswered."""
        body = json.dumps(configuration).encode()
        answer = await self._ask(
            "POST", "/Configuration.Replace", {"Cometdoor-Base-Version": str(base)}, body, within_s
        )
        if answer.status == 412:
            raise Conflict(_reason(answer))
        if answer.status != 200:
            raise Invalid(_reason(answer))

    async def describe(self, within_s: float = 10.0) -> dict[str, Any]:
        """The newest configuration, whole; empty where there is none yet. Raises Unanswered."""
        answer = await self._ask("GET", "/Configuration.Describe", {}, b"", within_s)
        if answer.status == 404:
            return {}
        content: dict[str, Any] = json.loads(answer.body)
        return content

    async def change(self, edit: Any, within_s: float = 10.0) -> dict[str, Any]:
        """Read, edit, replace; begun anew on the newest version where another change came between.

        `edit`: called with the configuration, which it changes in place; its `revision` is raised here.
        Returns what was taken. Raises Invalid or Unanswered.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + within_s
        while True:
            configuration = await self.describe(max(until - loop.time(), 0.1))
            base = int(configuration.get("revision", 0))
            edit(configuration)
            configuration["revision"] = base + 1
            try:
                await self.replace(configuration, base, max(until - loop.time(), 0.1))
                return configuration
            except Conflict:
                if loop.time() >= until:
                    raise

    async def _ask(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, within_s: float
    ) -> Answer:
        """A clear answer of whoever leads."""
        loop = asyncio.get_running_loop()
        until = loop.time() + within_s
        place, pause, reason = self._chance.randrange(len(self._addresses)), FIRST_PAUSE_S, "nobody was asked"
        while loop.time() < until:
            address = self._addresses[place % len(self._addresses)]
            try:
                for _ in range(REDIRECTS + 1):
                    answer = await ask_once(
                        address, method, path, headers, body, min(PATIENCE_S, max(until - loop.time(), 0.05))
                    )
                    if answer.status != 307:
                        break
                    address = answer.headers.get("location", "").removeprefix("http://").partition("/")[0]
                if answer.status not in (307, 408, 429) and answer.status < 500:
                    return answer
                reason = _reason(answer)
            except Broken as problem:
                reason = f"{address}: {problem}"
            place += 1
            await asyncio.sleep(min(pause * self._chance.uniform(0.5, 1.0), max(until - loop.time(), 0.0)))
            pause = min(2 * pause, MOST_PAUSE_S)
        raise Unanswered(f"no clear answer within {within_s} s; the last: {reason}")


def _reason(answer: Answer) -> str:
    try:
        return str(json.loads(answer.body)["error-message"])
    except (ValueError, KeyError, TypeError):
        return f"status {answer.status}"
