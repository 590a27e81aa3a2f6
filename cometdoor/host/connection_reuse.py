"""Estimates up to which idle time a connection to a server is worth reusing, without I/O.

This is a Kaplan-Meier estimate of the survival of idle connections. A connection that the other side closed,
while idle or at the next request, counts as a death at that age; one that carried another response has
survived its age. An idle timeout of a server, or of a middlebox that drops connections silently, shows as a
steep drop at one age; occasional restarts have little effect.
"""

from __future__ import annotations

import math

MIN_IDLE_S = 0.05  # a connection that ends earlier was closed with the response, not by an idle timeout
BIN_GROWTH = 1.25  # ratio of the ages in one bin to those in the previous one
MAX_BIN = 36  # index of the last bin, which holds all ages above about 150 s
MAX_OBSERVATIONS = 128.0
DECAY_FACTOR = 0.5  # applied to all observations when there are `MAX_OBSERVATIONS`
# The largest acceptable probability that a reused connection is closed. A new connection costs a round trip.
# The loss of an idempotent request costs the same and one of its few attempts, so one in ten is acceptable. A
# request that is not idempotent can't be retried: a hundred handshakes cost less than the loss of one such
# request.
MAX_RISK_IDEMPOTENT, MAX_RISK_NON_IDEMPOTENT = 0.1, 0.01
# Number of connections that are assumed to have survived every age. It is small so that one death among few
# observations counts: the next connection is likely to end at the same age.
PRIOR_SURVIVORS = 4.0
# Of the requests for which an idle connection is too old by the estimate, one in this many uses it
# nevertheless. Without these trials, an estimate that became bad for all ages (after a crash or a burst of
# lost responses) is never corrected: proxies then opened a new connection for each request for a day.
TRIAL_INTERVAL_CALLS = 50
DISPROVED_FACTOR = 0.5  # applied to the deaths up to an age when a connection of that age carries a response
MIN_OWN_OBSERVATIONS = 20.0  # minimum for using a server's own estimate alone; fewer are too noisy


def _bin_index(idle_s: float) -> int:
    return min(max(int(math.log(max(idle_s, MIN_IDLE_S) / MIN_IDLE_S) / math.log(BIN_GROWTH)), 0), MAX_BIN)


class ServerConnectionReuse:
    """The estimate for one server; an age is the time since the connection's last response, in seconds."""

    __slots__ = ("_closed_by_bin", "_closed_probabilities", "_reused_by_bin")

    def __init__(self) -> None:
        self._closed_by_bin: dict[int, float] = {}
        self._reused_by_bin: dict[int, float] = {}
        self._closed_probabilities: list[float] | None = None

    def record_closed(self, idle_s: float) -> None:
        """Count a connection that was closed at this age."""
        if idle_s >= MIN_IDLE_S:
            self._count(self._closed_by_bin, idle_s)

    def record_reused(self, idle_s: float) -> None:
        """Count a connection that carried another response at this age."""
        if idle_s >= MIN_IDLE_S:
            self._count(self._reused_by_bin, idle_s)

    def discount_closures(self, idle_s: float) -> None:
        """Halve the deaths up to this age if the estimate wrongly counts this connection as closed."""
        if self.closed_probability(idle_s) > MAX_RISK_IDEMPOTENT:
            for bin_index in self._closed_by_bin:
                if bin_index <= _bin_index(idle_s):
                    self._closed_by_bin[bin_index] *= DISPROVED_FACTOR
            self._closed_probabilities = None

    def _count(self, counts_by_bin: dict[int, float], idle_s: float) -> None:
        bin_index = _bin_index(idle_s)
        counts_by_bin[bin_index] = counts_by_bin.get(bin_index, 0.0) + 1.0
        self._closed_probabilities = None
        if sum(self._closed_by_bin.values()) + sum(self._reused_by_bin.values()) >= MAX_OBSERVATIONS:
            for counts in (self._closed_by_bin, self._reused_by_bin):
                for bin_index in counts:
                    counts[bin_index] *= DECAY_FACTOR

    def closed_probability(self, idle_s: float) -> float:
        """Return the probability that a connection is closed by the end of the bin of this age."""
        if not self._closed_by_bin:
            return 0.0
        if self._closed_probabilities is None:
            surviving, at_risk = (
                1.0,
                PRIOR_SURVIVORS + sum(self._closed_by_bin.values()) + sum(self._reused_by_bin.values()),
            )
            self._closed_probabilities = []
            for bin_index in range(MAX_BIN + 1):
                closed = self._closed_by_bin.get(bin_index, 0.0)
                surviving *= 1.0 - closed / at_risk
                at_risk -= closed + self._reused_by_bin.get(bin_index, 0.0)
                self._closed_probabilities.append(1.0 - surviving)
        return self._closed_probabilities[_bin_index(idle_s)]

    def is_worth_reusing(self, idle_s: float, is_not_idempotent: bool) -> bool:
        """Return whether a request should use a connection of this age.

        `is_not_idempotent`: the request must not be retried.
        """
        return self.closed_probability(idle_s) <= (
            MAX_RISK_NON_IDEMPOTENT if is_not_idempotent else MAX_RISK_IDEMPOTENT
        )

    def has_own_estimate(self) -> bool:
        """Return whether there are enough observations of this server alone."""
        return sum(self._closed_by_bin.values()) + sum(self._reused_by_bin.values()) >= MIN_OWN_OBSERVATIONS


class ConnectionReuse:
    """The estimates for all servers of a pool.

    A server with few observations is assumed to behave like the others. With separate estimates only, two or
    three requests were lost at each of eight servers, although the servers behaved alike.
    """

    def __init__(self) -> None:
        self._pooled = ServerConnectionReuse()
        self._by_server: dict[str, ServerConnectionReuse] = {}
        self._skipped_reuse_count = 0

    def record_closed(self, server: str, idle_s: float) -> None:
        """Count a connection to the server that was closed at this age."""
        for reuse in (self._by_server.setdefault(server, ServerConnectionReuse()), self._pooled):
            reuse.record_closed(idle_s)

    def record_reused(self, server: str, idle_s: float) -> None:
        """Count a connection to the server that carried another response at this age."""
        server_reuse = self._by_server.setdefault(server, ServerConnectionReuse())
        server_reuse.discount_closures(idle_s)
        for reuse in (server_reuse, self._pooled):
            reuse.record_reused(idle_s)

    def is_worth_reusing(self, server: str, idle_s: float, is_not_idempotent: bool) -> bool:
        """Return whether a request should use a connection of this age to the server."""
        server_reuse = self._by_server.get(server)
        if server_reuse is not None and not server_reuse.is_worth_reusing(idle_s, is_not_idempotent):
            return False
        return (
            server_reuse is not None and server_reuse.has_own_estimate()
        ) or self._pooled.is_worth_reusing(idle_s, is_not_idempotent)

    def is_trial_due(self) -> bool:
        """Return whether an idempotent request should try a connection that is too old by the estimate.

        To be called once for each such request: every `TRIAL_INTERVAL_CALLS`-th call returns True.
        """
        self._skipped_reuse_count += 1
        return self._skipped_reuse_count % TRIAL_INTERVAL_CALLS == 0

    def forget_server(self, server: str) -> None:
        """Forget a server that was removed or replaced."""
        self._by_server.pop(server, None)
        if not self._by_server:
            self._pooled = ServerConnectionReuse()  # none of the observed servers is left
