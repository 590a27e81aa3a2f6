"""The operator's calls to the control plane: one dispatch on method and path segments."""

from __future__ import annotations

import asyncio
import json

import structlog

from cometdoor.configuration.document import parse
from cometdoor.control.driver import ReplicaDriver
from cometdoor.control.state_machine import Verdict
from cometdoor.core.schema import BadSettings
from cometdoor.http.caller import ClientConnection
from cometdoor.http.calls import JSON, problem, segments
from cometdoor.http.messages import ClientRequest
from cometdoor.wire.messages import Change, Claim, Configure, Members, Noop, Passed

MAX_CONFIGURATION = 8 << 20  # bytes; thousands of routes are under one
LOG_PAGE = 200  # entries in one answer
WAIT_FOR_LEADER_S = 0.6  # of the second that callers are patient
LOOK_EVERY_S = 0.03
log = structlog.get_logger()


def describe(change: Change) -> dict[str, object]:
    """A change in words; of configurations and claims what tells one from another."""
    match change:
        case Configure():
            return {
                "change": "configuration",
                "base": change.base,
                "revision": change.revision,
                "bytes": len(change.body),
            }
        case Members():
            return {"change": "members", "members": [f"{one.id}@{one.address}" for one in change.members]}
        case Claim():
            return {
                "change": "claim",
                "key": change.key,
                "holder": change.holder,
                "claim": change.claim,
                "instead": change.instead,
            }
        case Passed():
            return {"change": "time", "ms": change.ms}
        case Noop():
            return {"change": "lead"}


class OperatorCalls:
    """Handler of the front that serves control."""

    ready = True

    def __init__(self, loop: asyncio.AbstractEventLoop, driver: ReplicaDriver) -> None:
        self._loop = loop
        self._driver = driver

    def take(self, connection: ClientConnection, request: ClientRequest) -> None:
        match (request.method, segments(request)):
            case (b"POST", ("Configuration.Replace",)):
                self._led(connection, request, self._replace)
            case (b"GET", ("Configuration.Describe",)):
                self._led(connection, request, self._describe)
            case (b"GET", ("Core.Describe",)):
                connection.answer(200, JSON, json.dumps(self.describe_core()).encode())
            case (b"GET", ("Core.Log", after)) if after.isdigit():
                connection.answer(200, JSON, json.dumps(self.describe_log(int(after))).encode())
            case (_, ("Configuration.Replace" | "Configuration.Describe" | "Core.Describe",)):
                problem(405, "another method is needed", connection)
            case _:
                problem(404, "there is no such call here", connection)

    def client_gone(self, connection: ClientConnection, request: ClientRequest) -> None:
        pass  # what was ordered stays ordered

    def describe_core(self) -> dict[str, object]:
        replica = self._driver.replica
        return {
            "id": replica.me.id,
            "role": replica.role.value,
            "term": replica.term,
            "leader": replica.leader,
            "committed": replica.committed,
            "last": replica.log.last_index,
            "revision": self._driver.state.revision,
            "keys": len(self._driver.state.keys),
            "keys-closed": self._driver.state.is_closed,
            "members": [
                {
                    "id": member.id,
                    "node": member.node,
                    "control-plane": member.control,
                    "internal": member.address,
                }
                for member in replica.members
            ],
        }

    def describe_log(self, after: int) -> dict[str, object]:
        """The entries behind that index, as this member holds them."""
        replica = self._driver.replica
        entries = replica.log.entries[max(after - replica.log.base, 0) :][:LOG_PAGE]
        return {
            "snapshot-index": replica.log.base,
            "committed": replica.committed,
            "last": replica.log.last_index,
            "entries": [
                {
                    "index": entry.index,
                    "term": entry.term,
                    "committed": entry.index <= replica.committed,
                    **describe(entry.change),
                }
                for entry in entries
            ],
        }

    def _led(
        self, connection: ClientConnection, request: ClientRequest, call: object, until: float | None = None
    ) -> None:
        """Here if this one leads, at the leader if another does; waits a moment while nobody does."""
        driver = self._driver
        if connection.request is not request:
            return  # its caller has gone
        if driver.leads and driver.replica.may_accept():
            call(connection, request)  # type: ignore[operator]
            return
        leader = driver.leader()
        if leader is not None and leader.id != driver.replica.me.id:
            place = b"http://%s%s" % (leader.control.encode(), request.target)
            connection.answer(307, [(b"Location", place)], b"")
            return
        until = until or self._loop.time() + WAIT_FOR_LEADER_S
        if self._loop.time() >= until:
            problem(503, "nobody leads the core just now", connection, 0.2)
        else:
            self._loop.call_later(LOOK_EVERY_S, self._led, connection, request, call, until)

    def _replace(self, connection: ClientConnection, request: ClientRequest) -> None:
        try:
            base = int(request.trace) if request.trace else 0
        except ValueError:
            problem(400, "Cometdoor-Base-Version is no whole number", connection)
            return
        try:
            document = parse(request.body)
        except BadSettings as faults:
            log.info(
                "configuration refused", step="check", faults=len(faults.problems), first=str(faults)[:200]
            )
            problem(400, str(faults), connection)
            return

        def ordered(verdict: Verdict | None) -> None:
            if connection.request is not request:
                return
            if verdict is None:
                problem(503, "the lead changed: it may be in force or not", connection, 0.2)
            elif verdict.taken:
                log.info("configuration taken", revision=document.revision)
                connection.answer(200, JSON, json.dumps({"revision": verdict.revision}).encode())
            elif document.revision <= verdict.revision and base == verdict.revision:
                problem(400, f"revision: {document.revision} is not above {verdict.revision}", connection)
            else:
                problem(412, f"version {verdict.revision} is in force, not {base}", connection)

        self._driver.propose(Configure(base, document.revision, request.body), ordered)

    def _describe(self, connection: ClientConnection, request: ClientRequest) -> None:
        def confirmed(is_newest: bool) -> None:
            if connection.request is not request:
                return
            if not is_newest:
                problem(503, "the lead could not be confirmed", connection, 0.2)
            elif not self._driver.state.revision:
                problem(404, "there is no configuration yet", connection)
            else:
                connection.answer(200, JSON, self._driver.state.body)

        self._driver.read(confirmed)
