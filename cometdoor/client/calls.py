"""Calls through the proxy on this machine: ids, deadlines, keys, tries that heed what a status promises."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Mapping, Sequence
from types import TracebackType

from cometdoor.client.errors import CallError, HasRun, MayHaveRun, NotRun, Rejected
from cometdoor.client.tries import Budget, Ending, Kind, Known, Tries
from cometdoor.client.wire import Answer, Broken, Connection, ending_of, request_bytes

ERRORS: dict[Known, type[CallError]] = {
    Known.NOT_RUN: NotRun,
    Known.REJECTED: Rejected,
    Known.MAY_HAVE_RUN: MayHaveRun,
    Known.RAN: HasRun,
}
KEPT = 8  # idle connections


class Client:
    """Callers share one: its connections and its budget of further tries."""

    def __init__(
        self, *addresses: str, most_tries: int = 3, budget: Budget | None = None, seed: int | None = None
    ) -> None:
        """`addresses`: "host:port" of proxies; the first is asked, the others in turn after a failure."""
        if not addresses:
            raise ValueError("addresses: at least one is needed")
        if most_tries < 1:
            raise ValueError(f"most_tries: {most_tries} is not at least 1")
        self._addresses: Sequence[str] = addresses
        self._most = most_tries
        self._budget = budget or Budget()
        self._chance = random.Random(secrets.randbits(64) if seed is None else seed)
        self._idle: list[Connection] = []

    async def __aenter__(self) -> Client:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, problem: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    async def call(
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
        """The 2xx answer of the backend. `deadline_s`: from now, over all tries.

        Raises NotRun, MayHaveRun or HasRun; of several tries the worst that is known counts, so that NotRun
        means none of them ran. ValueError for a call that could not be sent at all.
        """
        if (kind is Kind.KEYED) != (key is not None):
            raise ValueError("key: a keyed call needs one, and no other call may have one")
        if deadline_s <= 0:
            raise ValueError(f"deadline_s: {deadline_s} is not above 0")
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._budget.called(now)
        tries = Tries(kind, now + deadline_s, self._most, self._budget, self._chance)
        while True:
            peer = self._addresses[tries.made % len(self._addresses)]
            left_s = tries.left_s(loop.time())
            fields = {
                **(headers or {}),
                "Cometdoor-Attempt-Id": f"{self._chance.getrandbits(64):016x}",
                "Cometdoor-Deadline-Ms": str(max(int(left_s * 1000), 1)),
            }
            if key is not None:
                fields["Cometdoor-Idempotency-Key"] = key
            answer, ending, reason = await self._try(
                peer, request_bytes(method, host, path, fields, body), left_s
            )
            if answer is not None and ending.known() is Known.SERVED:
                return answer
            pause = tries.again_after(ending, loop.time())
            if pause is None:
                known = ending.known()
                if tries.may_have_run and known in (Known.NOT_RUN, Known.REJECTED):
                    known = Known.MAY_HAVE_RUN  # an earlier try
                raise ERRORS[known](reason, peer=peer, status=ending.status, tries=tries.made)
            await asyncio.sleep(pause)

    async def _try(self, peer: str, request: bytes, left_s: float) -> tuple[Answer | None, Ending, str]:
        connection, sent = None, False
        try:
            async with asyncio.timeout(left_s):
                connection = self._take(peer)
                if not connection.is_open:
                    await connection.open()
                sent = True
                answer = await connection.exchange(request)
        except Broken as problem:
            return None, Ending(None, problem.sent), str(problem)
        except TimeoutError:
            return None, Ending(None, sent), "no answer by the deadline"
        finally:
            if connection is not None:
                self._give_back(connection)
        reason = answer.body[:200].decode("utf-8", "replace")
        return answer, ending_of(answer), reason or "no reason was given"

    def _take(self, peer: str) -> Connection:
        for connection in list(self._idle):
            if connection.address == peer:
                self._idle.remove(connection)
                if not connection.has_ended():
                    return connection
                connection.close()
        return Connection(peer)

    def _give_back(self, connection: Connection) -> None:
        if connection.is_open and len(self._idle) < KEPT:
            self._idle.append(connection)
        else:
            connection.close()
