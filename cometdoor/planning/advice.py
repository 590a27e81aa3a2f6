"""Advice of planners: its encoding, and how a forwarder combines the advice of several planners. No I/O.

Advice names the servers that a planner finds unhealthy, and the share of its weight that each should keep. It
only shifts weight among servers that the forwarder's own list has as ready; all else is left to the decision
module.

- A planner is trusted fully for `FULL_TRUST_MS`, then less and less, and not at all after `ADVICE_TTL_MS`.
  The age of advice is what its message proves (`sealed_messages`), by the forwarder's own clock.
- Where planners contradict one another, the advice with the smallest change applies: a faulty or malicious
  planner can't take weight from a server that another planner, with advice as fresh, finds healthy. Older
  advice counts only where there is no fresh advice.
- Advice against more than half of the servers shows a fault of the planner or of something that all servers
  share: none of it is followed.
- Weight is reduced immediately and restored gradually, so that it does not flap.
- Subsets follow traffic: a forwarder with several times the mean traffic is advised to use as many times more
  servers. Here too the smallest change applies, and a scale is kept for a minimum time.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

import msgspec

from cometdoor.errors import CometdoorError
from cometdoor.planning.health_verdicts import MIN_WEIGHT_SHARE, HealthVerdict
from cometdoor.planning.load_reports import SERVER_ID_BYTES
from cometdoor.planning.sealed_messages import MAX_BODY_BYTES

FULL_TRUST_MS = 1_500.0  # three reporting intervals: two messages may be lost in a row
ADVICE_TTL_MS = 5_000.0  # by then an unresponsive server has usually been delisted or has recovered
WEIGHT_DOUBLING_MS = 1_000.0  # time in which restored weight doubles: from the minimum to all in 6 s
MAX_ADVISED_SHARE = 0.5  # share of the servers; advice against more of them is ignored
WEIGHT_STEPS = 100  # a weight share is sent in hundredths
SCALE_STEPS = 10  # a subset scale is sent in tenths
MAX_SCALE_TENTHS = 65_535  # beyond it every subset is the whole list
# Traffic moves by the hour, and each change of a subset costs handshakes and learned state. A subset scale is
# therefore trusted and kept for longer than advice on health, and changes only by a factor of at least
# SUBSET_SCALE_MIN_CHANGE.
SUBSET_SCALE_TTL_MS = 60_000.0
SUBSET_SCALE_MIN_HOLD_MS = 10_000.0
SUBSET_SCALE_MIN_CHANGE = 1.4


class ServerAdvice(msgspec.Struct, array_like=True, frozen=True):
    """An unhealthy server."""

    server: bytes
    weight_share: int  # hundredths of its weight


class Advice(msgspec.Struct, array_like=True, frozen=True):
    """A planner's message to a forwarder."""

    is_complete: bool  # whether servers that are not named are healthy; else their state is not known
    server_advices: list[ServerAdvice]
    subset_scale: int = 0  # scale of the receiver's subset, in tenths, at least 10; 0: not known


class InvalidAdviceError(CometdoorError):
    """A message's body is not valid advice, or has values out of range."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Advice)


def make_advice(verdicts: dict[bytes, HealthVerdict]) -> Advice:
    """Return the advice that fits into one message, the lowest shares first, without a subset scale."""
    by_weight_share = sorted(verdicts, key=lambda server: (verdicts[server].weight_share, server))
    server_advices: list[ServerAdvice] = []
    remaining_bytes = MAX_BODY_BYTES - 8  # headers of the two lists, the flag and the subset scale
    for server in by_weight_share:
        server_advice = ServerAdvice(server, max(round(WEIGHT_STEPS * verdicts[server].weight_share), 1))
        remaining_bytes -= len(_ENCODER.encode(server_advice))
        if remaining_bytes < 0:
            break
        server_advices.append(server_advice)
    return Advice(len(server_advices) == len(verdicts), server_advices)


def encode_advice(advice: Advice, subset_scale: float | None = None) -> bytes:
    """Return a message's body with the receiver's subset scale, if it is known."""
    tenths = (
        0
        if subset_scale is None
        else min(max(round(SCALE_STEPS * subset_scale), SCALE_STEPS), MAX_SCALE_TENTHS)
    )
    return _ENCODER.encode(Advice(advice.is_complete, advice.server_advices, tenths))


def decode_advice(body: bytes) -> Advice:
    """Return the advice in a message's body; raise InvalidAdviceError."""
    try:
        advice = _DECODER.decode(body)
    except msgspec.DecodeError as problem:
        raise InvalidAdviceError(str(problem)) from problem
    for server_advice in advice.server_advices:
        if len(server_advice.server) != SERVER_ID_BYTES:
            raise InvalidAdviceError(f"server id has an invalid length of {len(server_advice.server)} bytes")
        if not 1 <= server_advice.weight_share <= WEIGHT_STEPS:
            raise InvalidAdviceError(f"{server_advice.weight_share} hundredths of a weight are out of range")
    if advice.subset_scale and not SCALE_STEPS <= advice.subset_scale <= MAX_SCALE_TENTHS:
        raise InvalidAdviceError(f"a subset scale of {advice.subset_scale} tenths is out of range")
    return advice


@dataclass(slots=True)
class _ReceivedAdvice:
    written_ms: float  # earliest time at which it can have been written, by this process's clock
    is_complete: bool
    weight_share: dict[bytes, float]


class AdviceCombiner:
    """Combines the advice of all planners into weight shares and a subset scale for the decision module."""

    def __init__(self) -> None:
        self._received: dict[int, _ReceivedAdvice] = {}
        self._weight_shares: dict[bytes, float] = {}  # below 1; others keep all their weight
        self._combined_ms: float | None = None
        self._subset_scales: dict[int, tuple[float, float]] = {}  # by planner: when it was written, scale
        self._subset_scale = 1.0
        self._scale_changed_ms = -math.inf  # when it last changed

    def receive(self, planner: int, advice: Advice, age_ms: float | None, now_ms: float) -> bool:
        """Store a planner's advice, and return whether it was accepted.

        Parameters
        ----------
        planner
            The planner's number.
        advice
            As decoded.
        age_ms
            Upper bound of the advice's age, as its message proves; None if the message proves no age. Advice
            that is too old, or older than other advice of the same planner, is not accepted.
        """
        if age_ms is None or age_ms > ADVICE_TTL_MS:
            return False
        last_received = self._received.get(planner)
        if last_received is not None and last_received.written_ms > now_ms - age_ms:
            return False
        self._received[planner] = _ReceivedAdvice(
            now_ms - age_ms,
            advice.is_complete,
            {
                server_advice.server: server_advice.weight_share / WEIGHT_STEPS
                for server_advice in advice.server_advices
            },
        )
        if advice.subset_scale:
            self._subset_scales[planner] = now_ms - age_ms, advice.subset_scale / SCALE_STEPS
        return True

    def subset_scale(self, max_scale: float, now_ms: float) -> float:
        """Return the factor by which the forwarder should enlarge its own subset of servers; 1: not at all.

        Parameters
        ----------
        max_scale
            The largest factor that its own traffic justifies.
        """
        for planner, (written_ms, _) in list(self._subset_scales.items()):
            if now_ms - written_ms > SUBSET_SCALE_TTL_MS:
                del self._subset_scales[planner]
        fresh = [
            subset_scale
            for written_ms, subset_scale in self._subset_scales.values()
            if now_ms - written_ms <= ADVICE_TTL_MS
        ]
        subset_advice = fresh or [subset_scale for _, subset_scale in self._subset_scales.values()]
        advised = max(min(min(subset_advice, default=1.0), max_scale), 1.0)
        # Without advice the scale may always return to 1, however small the change: this can't flap.
        is_significant = (
            advised > self._subset_scale * SUBSET_SCALE_MIN_CHANGE
            or advised * SUBSET_SCALE_MIN_CHANGE < self._subset_scale
            or (advised == 1.0 and not subset_advice)
        )
        if (
            is_significant
            and advised != self._subset_scale
            and now_ms - self._scale_changed_ms >= SUBSET_SCALE_MIN_HOLD_MS
        ):
            self._subset_scale, self._scale_changed_ms = advised, now_ms
        return self._subset_scale

    def compute_weight_shares(self, servers: Collection[bytes], now_ms: float) -> dict[bytes, float]:
        """Return the servers that get less than their weight, and the share of their weight that they keep.

        Parameters
        ----------
        servers
            Ids of the servers that are ready in the forwarder's own list.
        """
        advised = self._advised_weight_shares(servers, now_ms)
        if len(advised) > MAX_ADVISED_SHARE * len(servers):
            advised = {}
        elapsed_ms = 0.0 if self._combined_ms is None else now_ms - self._combined_ms
        self._combined_ms = now_ms
        weight_shares = {}
        for server in servers:
            weight_share, previous = advised.get(server, 1.0), self._weight_shares.get(server, 1.0)
            if weight_share > previous:
                weight_share = min(weight_share, previous * 2.0 ** (elapsed_ms / WEIGHT_DOUBLING_MS))
            if weight_share < 1.0:
                weight_shares[server] = max(weight_share, MIN_WEIGHT_SHARE)
        self._weight_shares = weight_shares
        return dict(weight_shares)

    def _advised_weight_shares(self, servers: Collection[bytes], now_ms: float) -> dict[bytes, float]:
        for planner in [
            planner
            for planner, received in self._received.items()
            if now_ms - received.written_ms > ADVICE_TTL_MS
        ]:
            del self._received[planner]
        advised = {}
        advised_servers = {server for received in self._received.values() for server in received.weight_share}
        for server in advised_servers.intersection(servers):
            rated_shares = [
                (self._trust_share(received, now_ms), received.weight_share.get(server, 1.0))
                for received in self._received.values()
                if received.is_complete or server in received.weight_share
            ]
            # If any planner's advice is fresh, older advice counts neither for nor against the server: its
            # planner may be dead.
            fresh_shares = [weight_share for trust, weight_share in rated_shares if trust == 1.0]
            faded_shares = [weight_share**trust for trust, weight_share in rated_shares if weight_share < 1.0]
            advised[server] = max(fresh_shares or faded_shares, default=1.0)
        return {server: weight_share for server, weight_share in advised.items() if weight_share < 1.0}

    @staticmethod
    def _trust_share(received: _ReceivedAdvice, now_ms: float) -> float:
        age_ms = now_ms - received.written_ms
        return min(max((ADVICE_TTL_MS - age_ms) / (ADVICE_TTL_MS - FULL_TRUST_MS), 0.0), 1.0)
