"""The admin API: operators' HTTP calls to the control plane, dispatched on method and path segments.

Every answer about the state requires contact with a majority of the present term: changes are answered from
their applied entry, reads after a confirmed heartbeat round. A replica without contact redirects to a
leader that it has just heard from, or answers 503 at once.
"""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import structlog

from cometdoor.configuration.document import parse_proposed
from cometdoor.control.leader_contact import LeaderContact
from cometdoor.control.member_description import (
    GroupDescription,
    LogDescription,
    describe_group,
    describe_log,
)
from cometdoor.control.replica_server import ReplicaServer
from cometdoor.control.revision_limits import BaseVersionError, check_revision, read_base_version
from cometdoor.control.state_machine import ApplyResult
from cometdoor.host.settings_validation import SettingsError
from cometdoor.http.client_connection import ClientConnection
from cometdoor.http.json_api import JSON_HEADERS, path_segments, respond_error
from cometdoor.http.messages import ClientRequest
from cometdoor.wire.log_entries import ConfigurationChange, UnencodableChangeError

CONFIGURATION_MAX_BYTES = 8 << 20  # thousands of routes take less than 1 MiB
LEADER_WAIT_MAX_S = 0.6  # how long a call waits for an election; callers have a timeout of about a second
LEADER_POLL_INTERVAL_S = 0.03
RETRY_AFTER_S = 0.2  # sent with each 503 response
INDEX_PATTERN = re.compile(r"[0-9]{1,20}")  # an index in the log; 20 digits write any number of 64 bits
log = structlog.get_logger()

RequestHandler = Callable[[ClientConnection, ClientRequest], None]


@dataclass(frozen=True, slots=True)
class ReplaceResponse:
    """Answer to a `Configuration.Replace`; `text` is the reason if the status is not 200."""

    status: int
    text: str = ""


def build_replace_response(change: ConfigurationChange, result: ApplyResult | None) -> ReplaceResponse:
    """Return the answer to a change; `result` is its entry's, None if its outcome is unknown here."""
    if result is None:
        return ReplaceResponse(503, "the leader changed: the configuration may or may not be in force")
    if result.accepted:
        return ReplaceResponse(200)
    if result.uncertain:
        return ReplaceResponse(503, f"version {change.revision} is too old to tell whether it was accepted")
    if change.base_revision == result.revision and change.revision <= result.revision:
        return ReplaceResponse(400, f"revision: {change.revision} is not above {result.revision}")
    return ReplaceResponse(412, f"version {result.revision} is in force, not {change.base_revision}")


class AdminApi:
    """Answers the calls of operators that arrive at the HTTP frontend of this control plane."""

    is_ready = True

    def __init__(self, loop: asyncio.AbstractEventLoop, replica_server: ReplicaServer) -> None:
        self._loop = loop
        self._replica_server = replica_server

    def accept(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Handle a call, according to its method and path."""
        match (request.method, path_segments(request)):
            case (b"POST", ("Configuration.Replace",)):
                self._handle_as_leader(connection, request, self._replace)
            case (b"GET", ("Configuration.Describe",)):
                self._handle_as_leader(connection, request, self._describe)
            case (b"GET", ("Core.Describe",)):
                self._respond_confirmed(connection, request, partial(describe_group, self._replica_server))
            case (b"GET", ("Core.Log", after)) if INDEX_PATTERN.fullmatch(after):
                self._respond_confirmed(
                    connection, request, partial(describe_log, self._replica_server, int(after))
                )
            case (_, ("Configuration.Replace" | "Configuration.Describe" | "Core.Describe",)):
                respond_error(405, "another method is needed", connection)
            case _:
                respond_error(404, "there is no such call", connection)

    def on_client_disconnected(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Do nothing: a proposed change stays proposed."""

    # --- calls that any member answers, stating whether the answer is confirmed ---

    def _respond_confirmed(
        self,
        connection: ClientConnection,
        request: ClientRequest,
        describe: Callable[[bool], GroupDescription | LogDescription],
    ) -> None:
        """Answer with `describe(is_confirmed)`; confirmed: by a heartbeat round after the call arrived."""

        def on_confirmed(is_current: bool) -> None:
            if connection.request is request:
                connection.respond(200, JSON_HEADERS, json.dumps(describe(is_current)).encode())

        self._replica_server.read(on_confirmed)

    # --- calls that only the leader answers ---

    def _handle_as_leader(
        self,
        connection: ClientConnection,
        request: ClientRequest,
        handle: RequestHandler,
        deadline: float | None = None,
    ) -> None:
        """Handle the call if this replica leads, or redirect it to a leader that was just heard from.

        During an election the call waits until `deadline` (s, loop time), and the contact is evaluated again
        every `LEADER_POLL_INTERVAL_S`.
        """
        if connection.request is not request:
            return  # the caller has disconnected
        contact_status = self._replica_server.contact_status()
        now = self._loop.time()
        deadline = deadline or now + LEADER_WAIT_MAX_S
        if contact_status.contact is LeaderContact.LEADING:
            handle(connection, request)
        elif contact_status.leader is not None:
            location = b"http://%s%s" % (contact_status.leader.control_address.encode(), request.target)
            connection.respond(307, [(b"Location", location)], b"")
        elif contact_status.contact is LeaderContact.ISOLATED:
            text = f"no contact with a leader for {contact_status.no_contact_s:.1f} s"
            respond_error(503, text, connection, RETRY_AFTER_S)
        elif now >= deadline:
            respond_error(503, "no leader is elected at the moment", connection, RETRY_AFTER_S)
        else:
            self._loop.call_later(
                LEADER_POLL_INTERVAL_S, self._handle_as_leader, connection, request, handle, deadline
            )

    def _replace(self, connection: ClientConnection, request: ClientRequest) -> None:
        try:
            base_revision = read_base_version(request.trace)
            document = parse_proposed(request.body)
            revision = check_revision(document.revision, base_revision)
        except BaseVersionError as error:
            self._reject(connection, request, str(error))
            return
        except SettingsError as error:
            log.info(
                "configuration is invalid and rejected; the current one stays in force",
                step="check",
                faults=len(error.problems),
                first=str(error)[:200],
            )
            self._reject(connection, request, str(error))
            return
        change = ConfigurationChange(base_revision, revision, request.body)

        def on_applied(result: ApplyResult | None) -> None:
            if connection.request is not request:
                return
            response = build_replace_response(change, result)
            if result is not None and response.status == 200:
                log.info("configuration committed and in force", revision=change.revision)
                payload = {"revision": change.revision, "in-force": result.revision}
                connection.respond(200, JSON_HEADERS, json.dumps(payload).encode())
            else:
                retry_after_s = RETRY_AFTER_S if response.status == 503 else 0.0
                respond_error(response.status, response.text, connection, retry_after_s)

        try:
            self._replica_server.propose(change, on_applied)
        except UnencodableChangeError as error:
            self._reject(connection, request, str(error))

    def _reject(self, connection: ClientConnection, request: ClientRequest, text: str) -> None:
        """Reject an invalid call with 400, but only in contact with a majority.

        A replica without contact answers 503 instead, even if the call is invalid whatever the state is.
        """

        def on_confirmed(is_current: bool) -> None:
            if connection.request is not request:
                return
            if is_current:
                respond_error(400, text, connection)
            else:
                respond_error(503, "no majority confirmed that this replica leads", connection, RETRY_AFTER_S)

        self._replica_server.read(on_confirmed)

    def _describe(self, connection: ClientConnection, request: ClientRequest) -> None:
        def on_confirmed(is_current: bool) -> None:
            if connection.request is not request:
                return
            if not is_current:
                respond_error(503, "no majority confirmed that this replica leads", connection, RETRY_AFTER_S)
            elif not self._replica_server.state.revision:
                respond_error(404, "there is no configuration yet", connection)
            else:
                connection.respond(200, JSON_HEADERS, self._replica_server.state.body)

        self._replica_server.read(on_confirmed)
