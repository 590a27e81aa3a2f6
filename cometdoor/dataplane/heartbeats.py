"""API for the local backend (heartbeats, drain notices, deregistration), and its lifecycle state."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import structlog

from cometdoor.host.address import parse_address
from cometdoor.host.dataclass_settings import CheckedModel, aliased, convert
from cometdoor.host.settings_validation import SettingsError
from cometdoor.http.client_connection import ClientConnection
from cometdoor.http.json_api import JSON_HEADERS, path_segments, respond_error
from cometdoor.http.messages import ClientRequest
from cometdoor.wire.gossip import Backend

log = structlog.get_logger()
LIFECYCLE_STATES = ("ready", "draining")
MAX_FORMER_INSTANCES = 64  # remembered to ignore their late heartbeats
# Heartbeats after which a displaced instance counts as the present one again. A former process has ended, so
# only what it sent before may still arrive; the present one goes on sending.
HEARTBEATS_TO_RETURN = 2


@dataclass(frozen=True)
class Heartbeat(CheckedModel):
    """Body of a heartbeat; its keys are part of the public API."""

    service: str
    address: str  # "ip:port" at which the backend serves requests
    lifecycle_state: str = aliased("lifecycle-state")  # one of LIFECYCLE_STATES
    call_sequence: int = aliased("call-sequence")  # increases with each heartbeat of an instance
    capacity: int = 1  # concurrency slots
    zone: str = ""
    revision: str = ""
    slow_start_remaining_s: float = aliased("warmup-left-s", default=0.0)


def read_heartbeat(body: bytes) -> Heartbeat:
    """Parse and validate a heartbeat.

    Raises
    ------
    SettingsError
        The body is malformed or has invalid values; the error lists every problem.
    """
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as error:
        content = f"not JSON: {error}"
    return convert(content, Heartbeat, "heartbeat", _check)


def _check(heartbeat: Heartbeat) -> list[tuple[str, str]]:
    problems = []
    if heartbeat.lifecycle_state not in LIFECYCLE_STATES:
        problems.append(
            (
                "lifecycle-state",
                f"one of {', '.join(LIFECYCLE_STATES)} is needed, not {heartbeat.lifecycle_state!r}",
            )
        )
    if heartbeat.capacity < 1:
        problems.append(("capacity", f"{heartbeat.capacity} is not at least 1"))
    try:
        parse_address(heartbeat.address)
    except ValueError as error:
        problems.append(("address", str(error)))
    return problems


@dataclass(slots=True)
class DisplacedInstance:
    """An instance after a heartbeat of another one: it has ended, or that heartbeat was a late one."""

    last_sequence: int
    is_draining: bool
    heartbeats_since: int = 0  # that came in order


class BackendLifecycle:
    """Current state of the local backend, from heartbeats and health checks.

    Each backend process has its own instance id; a restarted backend replaces the former instance. An
    instance that was displaced and goes on sending heartbeats is the present one, and returns.

    Parameters
    ----------
    on_changed
        Called with the backend's new state, or None once it has deregistered.
    may_follow_another_process
        Whether an earlier process of this proxy may have known backends, and their deregistrations, that this
        one does not. Then the first backend is down until a health check or a second heartbeat confirms it.
    """

    def __init__(
        self, on_changed: Callable[[Backend | None], None], may_follow_another_process: bool = False
    ) -> None:
        self._on_changed = on_changed
        self._must_confirm_next = may_follow_another_process
        self.current: Backend | None = None
        self._last_sequence = -1
        self._deregistered: dict[str, None] = {}  # instances, oldest first
        self._displaced: dict[str, DisplacedInstance] = {}  # oldest first

    def on_heartbeat(self, instance: str, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat, unless it is out of order or from a former instance."""
        if instance in self._deregistered:
            return
        is_draining = False
        if self.current is not None and self.current.instance == instance:
            if heartbeat.call_sequence <= self._last_sequence:
                return  # a later heartbeat has arrived already
            is_draining = self.current.state == "draining"
        elif (displaced := self._displaced.get(instance)) is not None:
            if not self._has_returned(displaced, heartbeat):
                return
            log.warning("displaced instance is the present one", step="heartbeat", peer=instance)
            del self._displaced[instance]
            is_draining = displaced.is_draining
        if self.current is not None and self.current.instance != instance:
            self._displace(self.current)
        self._last_sequence = heartbeat.call_sequence
        state = "draining" if is_draining else heartbeat.lifecycle_state  # draining is irreversible
        if self._must_confirm_next and state == "ready":
            state = "down"
        self._must_confirm_next = False
        backend = Backend(
            instance,
            heartbeat.service,
            heartbeat.address,
            heartbeat.revision,
            heartbeat.capacity,
            state,
            round(heartbeat.slow_start_remaining_s, 1),
        )
        # Slow start counts from the instance's first heartbeat; updates would only publish needless records.
        if self.current is not None and self.current.instance == instance:
            backend = msgspec.structs.replace(
                backend, slow_start_remaining_s=self.current.slow_start_remaining_s
            )
        if backend != self.current:
            self.current = backend
            self._on_changed(backend)

    def on_deregistered(self, instance: str) -> None:
        """Remove the backend if it is this instance, and ignore later heartbeats of the instance."""
        self._displaced.pop(instance, None)
        self._deregistered[instance] = None
        _drop_oldest(self._deregistered)
        if self.current is not None and self.current.instance == instance:
            self.current = None
            self._on_changed(None)

    def on_unreachable(self) -> None:
        """Mark a ready backend as down: connections fail, and it gets no requests until it recovers."""
        if self.current is not None and self.current.state == "ready":
            self.current = msgspec.structs.replace(self.current, state="down")
            self._on_changed(self.current)

    def on_recovered(self) -> None:
        """Mark a backend that was down as ready: it accepts connections again."""
        if self.current is not None and self.current.state == "down":
            self.current = msgspec.structs.replace(self.current, state="ready")
            self._on_changed(self.current)

    def _displace(self, backend: Backend) -> None:
        self._displaced[backend.instance] = DisplacedInstance(
            self._last_sequence, backend.state == "draining"
        )
        _drop_oldest(self._displaced)

    def _has_returned(self, displaced: DisplacedInstance, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat of a displaced instance, and return whether it is the present one."""
        if heartbeat.call_sequence <= displaced.last_sequence:
            return False
        displaced.last_sequence = heartbeat.call_sequence
        displaced.is_draining |= heartbeat.lifecycle_state == "draining"
        displaced.heartbeats_since += 1
        return displaced.heartbeats_since >= HEARTBEATS_TO_RETURN


def _drop_oldest(instances: dict[str, Any]) -> None:
    while len(instances) > MAX_FORMER_INSTANCES:
        del instances[next(iter(instances))]


class BackendApi:
    """Request handler for the local backend: heartbeats and deregistration."""

    is_ready = True

    def __init__(self, lifecycle: BackendLifecycle) -> None:
        self._lifecycle = lifecycle

    def accept(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Dispatch a request by method and path, and respond to it."""
        match (request.method, path_segments(request)):
            case (b"POST", ("Instances.Heartbeat", instance)):
                try:
                    heartbeat = read_heartbeat(request.body)
                except SettingsError as error:
                    log.warning("heartbeat rejected", step="read", peer=instance, error=str(error)[:300])
                    respond_error(400, str(error), connection)
                    return
                self._lifecycle.on_heartbeat(instance, heartbeat)
                connection.respond(200, JSON_HEADERS, b"{}")
            case (b"POST", ("Instances.Deregister", instance)):
                self._lifecycle.on_deregistered(instance)
                connection.respond(200, JSON_HEADERS, b"{}")
            case (_, ("Instances.Heartbeat" | "Instances.Deregister", _)):
                respond_error(405, "POST is needed", connection)
            case _:
                respond_error(404, "there is no such call here", connection)

    def on_client_disconnected(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Do nothing: every request is answered immediately."""
