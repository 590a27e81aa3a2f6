"""The replicated state machine: configuration in force, claims on idempotency keys, and elapsed time.

Every member applies the same entries in the same order and reaches the same state. No I/O, no clock: time
is the sum of the leaders' `ClockAdvance` entries, so it never runs ahead of a steady clock and stops
while there is no leader. A claim is therefore kept for at least its window, also across restarts.

The base revision of a configuration is compared when its entry is applied, never before: the order of the
log decides between concurrent changes, and senders are answered with that result (`ApplyResult`).
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from cometdoor.control.accepted_configurations import (
    Acceptance,
    AcceptedConfigurations,
    AcceptedConfigurationsSnapshot,
)
from cometdoor.wire.keys import KEYS_CLOSED
from cometdoor.wire.log_entries import Change, Claim, ClockAdvance, ConfigurationChange
from cometdoor.wire.revisions import Revision, decode, encode

# Added to the window to cover the time from a client's request to its claim, and the time of one leader that
# no `ClockAdvance` counted.
IDEMPOTENCY_WINDOW_SLACK_MS = 5_000


class StoredClaim(msgspec.Struct, array_like=True):
    """The claim on one idempotency key."""

    claim: str  # id of the claim
    owner: str  # internal address of the proxy
    claimed_at_ms: int  # on the state machine's clock


class StateMachineSnapshot(msgspec.Struct, array_like=True):
    """The encoded form of the state machine; new fields are added only at the end."""

    revision: Revision
    body: bytes
    accepted: list[tuple[Revision, int]]  # revision and CRC-32
    now_ms: int
    keys: list[tuple[str, StoredClaim]]
    claims_suspended_until_ms: int = 0
    digests: list[tuple[Revision, bytes]] = []  # revision and digest
    last_forgotten_revision: Revision = Revision(0)  # see AcceptedConfigurations


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """Outcome of a change.

    `accepted`: the change took effect now, or the same change did earlier. `uncertain`: it may have been
    accepted earlier, which can't be decided any more.
    """

    accepted: bool
    revision: int = 0  # of the configuration in force
    owner: str = ""  # after a claim: internal address of the key's owner, or KEYS_CLOSED
    claim: str = ""  # after a claim: id of the claim in force
    uncertain: bool = False


class StateMachine:
    """Applies committed changes: configurations, claims and clock advances, and encodes the result.

    Parameters
    ----------
    idempotency_window_s : float
        How long a claim is kept, beside `IDEMPOTENCY_WINDOW_SLACK_MS`.
    """

    def __init__(self, idempotency_window_s: float) -> None:
        self._idempotency_window_ms = int(idempotency_window_s * 1000) + IDEMPOTENCY_WINDOW_SLACK_MS
        self.revision = Revision(0)
        self.body = b""
        self.now_ms = 0
        self.keys: dict[str, StoredClaim] = {}  # oldest first
        self._accepted = AcceptedConfigurations()
        # Set when a group is rebuilt after the loss of its majority. New claims are rejected until then,
        # since they may contradict a lost claim.
        self.claims_suspended_until_ms = 0

    def copy(self) -> StateMachine:
        """Return an independent copy, for searches through possible executions."""
        other = StateMachine.__new__(StateMachine)
        vars(other).update(vars(self))
        other.keys, other._accepted = self.keys.copy(), self._accepted.copy()
        return other

    @property
    def is_claiming_suspended(self) -> bool:
        """True while new claims are rejected after a rebuild of the group."""
        return self.now_ms < self.claims_suspended_until_ms

    def suspend_claims(self) -> None:
        """Reject new claims for as long as any lost claim could still be valid."""
        self.claims_suspended_until_ms = self.now_ms + self._idempotency_window_ms

    def apply(self, change: Change) -> ApplyResult:
        """Apply the change of the next committed entry."""
        match change:
            case ConfigurationChange():
                return self._apply_configuration(change)
            case Claim():
                return self._apply_claim(change)
            case ClockAdvance():
                self.now_ms += change.elapsed_ms
                self._expire_claims()
        return ApplyResult(True, self.revision)

    def was_accepted(self, revision: int, body: bytes) -> bool:
        """Return whether exactly this configuration was accepted."""
        return self._accepted.look_up(0, revision, body) is Acceptance.ACCEPTED

    def _apply_configuration(self, change: ConfigurationChange) -> ApplyResult:
        match self._accepted.look_up(change.base_revision, change.revision, change.body):
            case Acceptance.ACCEPTED:
                return ApplyResult(True, self.revision)
            case Acceptance.UNCERTAIN:
                return ApplyResult(False, self.revision, uncertain=True)
        if change.base_revision != self.revision or change.revision <= self.revision:
            return ApplyResult(False, self.revision)
        self.revision, self.body = change.revision, change.body
        self._accepted.add(change.revision, change.body)
        return ApplyResult(True, self.revision)

    def _apply_claim(self, change: Claim) -> ApplyResult:
        stored = self.keys.get(change.key)
        if stored is None and self.is_claiming_suspended:
            return ApplyResult(False, self.revision, KEYS_CLOSED)
        if stored is None or (change.supersedes and stored.claim == change.supersedes):
            # The window counts from the claim. A claim that supersedes one that was never executed, which may
            # be itself, starts a new window.
            self.keys.pop(change.key, None)
            stored = self.keys[change.key] = StoredClaim(change.claim_id, change.owner, self.now_ms)
        return ApplyResult(stored.claim == change.claim_id, self.revision, stored.owner, stored.claim)

    def _expire_claims(self) -> None:
        for key in list(self.keys):
            if self.keys[key].claimed_at_ms + self._idempotency_window_ms > self.now_ms:
                break
            del self.keys[key]

    # --- snapshots ---

    def snapshot(self) -> bytes:
        """Encode the state."""
        accepted = self._accepted.snapshot()
        return encode(
            StateMachineSnapshot(
                self.revision,
                self.body,
                accepted.checksums,
                self.now_ms,
                list(self.keys.items()),
                self.claims_suspended_until_ms,
                accepted.digests,
                accepted.last_forgotten_revision,
            ),
        )

    def load(self, snapshot: bytes) -> None:
        """Replace the state by an encoded one."""
        decoded = decode(snapshot, StateMachineSnapshot)
        self.revision, self.body, self.now_ms = decoded.revision, decoded.body, decoded.now_ms
        self._accepted.load(
            AcceptedConfigurationsSnapshot(
                decoded.accepted, decoded.digests, decoded.last_forgotten_revision
            ),
            decoded.revision,
            decoded.body,
        )
        self.keys = dict(decoded.keys)
        self.claims_suspended_until_ms = decoded.claims_suspended_until_ms
