"""A forwarder's side of planning: makes load reports and interprets the planners' messages. No I/O.

Its host (`transport`) notifies it of endpoint lists and attempts, sends what `make_reports` returns, and
submits the events of `on_datagram` and `poll_advice` to the decision module. While no planner answers, no
events result and the decision module works as without planning.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cometdoor.balancing import api
from cometdoor.balancing.api import Endpoint, EndpointListKind, EndpointState, Outcome
from cometdoor.host.interfaces import AttemptId
from cometdoor.planning.advice import AdviceCombiner, InvalidAdviceError, decode_advice
from cometdoor.planning.capacity_leasing import (
    LEASE_TTL_MS,
    MAX_LEASE_AGE_MS,
    InvalidLeaseError,
    decode_lease,
)
from cometdoor.planning.load_reports import LoadReporter, server_id
from cometdoor.planning.sealed_messages import KeyRing, MessageKind, OutgoingMessage, SecureChannel

# Time constant of measured rates: several reporting intervals, and shorter than most slow starts.
RATE_DECAY_MS = 5_000.0
# Upper bound on the advised subset scale: each server of the subset must get a call in this time on average,
# half of the time over which the decision module remembers latencies. It limits how many connections one
# false message can cause.
MAX_CALL_INTERVAL_MS = 5_000.0
MIN_SUBSET_SERVERS = 5  # smallest subset that the decision module uses by itself, if the list is long enough


def start_number_of(server: Endpoint, clock_offset_ms: float) -> int:
    """Return a number for a server's start, the same at all forwarders: 1 to 65535, 0 for long ago.

    Parameters
    ----------
    clock_offset_ms
        Milliseconds to add to the decision module's clock to get discovery's.
    """
    return round(server.started_at + clock_offset_ms) % 65_535 + 1 if server.started_at else 0


class AppliedAdvice(NamedTuple):
    """Advice in the form in which the decision module last got it."""

    weight_shares: dict[str, float]
    subset_scale: float


class Forwarder:
    """Planning of one service in a forwarder: counts attempts, makes reports, and follows advice and leases.

    Parameters
    ----------
    channel
        Sealed messages to and from all its planners.
    planners
        Number of planners.
    warm_up_ms
        Length of slow start; 0 if servers have none.
    clock_offset_ms
        See `start_number_of`.

    Attributes
    ----------
    unreadable : int
        Messages with a valid seal that could not be decoded.
    """

    def __init__(
        self, channel: SecureChannel, planners: int, warm_up_ms: float, clock_offset_ms: float = 0.0
    ) -> None:
        self.unreadable = 0
        self._channel = channel
        self._planners = planners
        self._warm_up_ms = warm_up_ms
        self._clock_offset_ms = clock_offset_ms
        self._reporter = LoadReporter()
        self._advice = AdviceCombiner()
        self._servers_by_name: dict[str, Endpoint] = {}
        self._ready_servers: dict[bytes, tuple[Endpoint, int]] = {}
        self._sends = 0.0  # attempts since the last report
        self._warm_sends = 0.0  # of these, to warm servers
        self._send_rate = 0.0  # attempts per ms
        self._warm_rate = 0.0  # attempts per ms to a warm server of weight 1
        self._last_report_ms: float | None = None
        self._last_advice = AppliedAdvice({}, 1.0)

    def change_keys(self, keys: KeyRing) -> None:
        """Seal and open messages with other keys from now on."""
        self._channel.keys = keys

    # --- events of the service ---

    def on_endpoints_changed(self, event: api.EndpointsChanged) -> None:
        """Apply an endpoint list, or a change of it."""
        if event.kind is EndpointListKind.FAILED:
            return
        if event.kind is not EndpointListKind.DELTA:
            self._servers_by_name.clear()
        for server in event.endpoints:
            if server.state is EndpointState.REMOVED:
                self._servers_by_name.pop(server.name, None)
            else:
                self._servers_by_name[server.name] = server
        self.update_servers(self._servers_by_name.values())

    def update_servers(self, servers: Iterable[Endpoint]) -> None:
        """Replace the list of servers."""
        self._ready_servers = {
            server_id(server.name): (server, start_number_of(server, self._clock_offset_ms))
            for server in servers
            if server.state is EndpointState.READY
        }
        self._reporter.update_servers(
            (server.name, number) for server, number in self._ready_servers.values()
        )

    def on_attempt_sent(
        self, server: str, attempt: AttemptId, latency_target_ms: float, now_ms: float
    ) -> None:
        """Count an attempt; `latency_target_ms` is the latency target of its class."""
        self._reporter.on_attempt_sent(server, attempt, latency_target_ms, now_ms)
        self._sends += 1.0
        ready_server = self._ready_servers.get(server_id(server))
        if ready_server is not None and self._is_warm(ready_server[0], now_ms):
            self._warm_sends += 1.0

    def on_attempt_ended(
        self, server: str, attempt: AttemptId, outcome: Outcome, latency_target_ms: float, now_ms: float
    ) -> None:
        """Count the outcome of an attempt."""
        self._reporter.on_attempt_ended(server, attempt, outcome, latency_target_ms, now_ms)

    def _is_warm(self, server: Endpoint, now_ms: float) -> bool:
        return not server.started_at or now_ms - server.started_at >= self._warm_up_ms

    # --- messages ---

    def make_reports(self, now_ms: float) -> list[OutgoingMessage]:
        """Return a report to each planner."""
        self._update_rates(now_ms)
        body = self._reporter.report(self._warm_rate, now_ms)
        return [
            OutgoingMessage(planner, self._channel.seal(MessageKind.REPORT, planner, body, now_ms))
            for planner in range(self._planners)
        ]

    def _update_rates(self, now_ms: float) -> None:
        weight = sum(
            server.weight for server, _ in self._ready_servers.values() if self._is_warm(server, now_ms)
        )
        if self._last_report_ms is not None and now_ms > self._last_report_ms:
            elapsed_ms = now_ms - self._last_report_ms
            alpha = min(elapsed_ms / RATE_DECAY_MS, 1.0)
            self._send_rate += alpha * (self._sends / elapsed_ms - self._send_rate)
            if weight > 0.0:
                self._warm_rate += alpha * (self._warm_sends / weight / elapsed_ms - self._warm_rate)
        self._last_report_ms, self._sends, self._warm_sends = now_ms, 0.0, 0.0

    def on_datagram(
        self, datagram: bytes, now_ms: float
    ) -> list[api.AdviceReceived | api.SlowStartLeaseGranted]:
        """Open a planner's message and return the events for the decision module that follow from it."""
        message = self._channel.open(datagram, now_ms)
        if message is None:
            return []
        try:
            if message.kind is MessageKind.ADVICE:
                self._advice.receive(message.sender, decode_advice(message.body), message.age_ms, now_ms)
                return self.poll_advice(now_ms)
            lease = decode_lease(message.body)
        except (InvalidAdviceError, InvalidLeaseError):
            self.unreadable += 1
            return []
        ready_server = self._ready_servers.get(lease.server)
        if (
            ready_server is None
            or ready_server[1] != lease.start_number
            or not lease.start_number
            or not message.is_fresh(MAX_LEASE_AGE_MS)
        ):
            return []
        return [
            api.SlowStartLeaseGranted(
                ready_server[0].name, ready_server[0].started_at, lease.sends, LEASE_TTL_MS
            )
        ]

    def poll_advice(self, now_ms: float) -> list[api.AdviceReceived | api.SlowStartLeaseGranted]:
        """Return the advice to follow from now on, if it has changed.

        Also call it in each reporting interval, since trust in advice fades with time.
        """
        weight_shares_by_id = self._advice.compute_weight_shares(self._ready_servers.keys(), now_ms)
        weight_shares = {
            self._ready_servers[server][0].name: weight_share
            for server, weight_share in weight_shares_by_id.items()
        }
        subset_scale = self._advice.subset_scale(
            self._send_rate * MAX_CALL_INTERVAL_MS / MIN_SUBSET_SERVERS, now_ms
        )
        applied = AppliedAdvice(weight_shares, subset_scale)
        if applied == self._last_advice:
            return []
        self._last_advice = applied
        return [api.AdviceReceived(weight_shares, subset_scale)]
