"""Descriptions of one member of the group and of its log, as JSON objects of the admin API.

The keys are part of the interface to operators and never change.
"""

from __future__ import annotations

from typing import TypedDict

from cometdoor.control.log import is_membership_change
from cometdoor.control.replica_server import ReplicaServer
from cometdoor.wire.log_entries import (
    Change,
    Claim,
    ClockAdvance,
    ConfigurationChange,
    MembershipChange,
    Noop,
)

LOG_PAGE_MAX_ENTRIES = 200  # per response of the admin API

ContactDescription = TypedDict(
    "ContactDescription", {"confirmed": bool, "standing": str, "as-of-s": float | None}
)
MemberDescription = TypedDict(
    "MemberDescription",
    {
        "id": str,
        "node": str,
        "control-plane": str,
        "internal": str,
        "heard-s": float | None,
        "zone": str,
        "voter": bool,
    },
)
GroupDescription = TypedDict(
    "GroupDescription",
    {
        "id": str,
        "role": str,
        "term": int,
        "leader": str,
        "contact": ContactDescription,
        "committed": int,
        "last": int,
        "revision": int,
        "keys": int,
        "keys-closed": bool,
        "members-committed": bool,
        "members": list[MemberDescription],
    },
)


class ChangeDescription(TypedDict, total=False):
    """A change; the keys beside `change` depend on its kind."""

    change: str
    base: int
    revision: int
    bytes: int
    members: list[str]
    key: str
    holder: str
    claim: str
    instead: str
    ms: int


class EntryDescription(ChangeDescription):
    """A log entry with its change."""

    index: int
    term: int
    committed: bool


LogDescription = TypedDict(
    "LogDescription",
    {
        "id": str,
        "term": int,
        "leader": str,
        "contact": ContactDescription,
        "snapshot-index": int,
        "committed": int,
        "last": int,
        "entries": list[EntryDescription],
    },
)


def describe_change(change: Change) -> ChangeDescription:
    """Describe a change; a configuration by its revisions and size, without its body."""
    match change:
        case ConfigurationChange():
            return {
                "change": "configuration",
                "base": change.base_revision,
                "revision": change.revision,
                "bytes": len(change.body),
            }
        case MembershipChange():
            return {
                "change": "members",
                "members": [
                    f"{member.id}@{member.address}{'' if member.voter else ' (learner)'}"
                    for member in change.members
                ],
            }
        case Claim():
            return {
                "change": "claim",
                "key": change.key,
                "holder": change.owner,
                "claim": change.claim_id,
                "instead": change.supersedes,
            }
        case ClockAdvance():
            return {"change": "time", "ms": change.elapsed_ms}
        case Noop():
            return {"change": "lead"}


def round_seconds(seconds: float | None) -> float | None:
    """Round a time in seconds to milliseconds; None stays None."""
    return None if seconds is None else round(seconds, 3)


def describe_contact(replica_server: ReplicaServer, is_confirmed: bool) -> ContactDescription:
    """Describe the contact with the group.

    `as-of-s` is the age of the last contact with a leader or a majority, null if there was none in this
    incarnation; 0 if a round was just confirmed.
    """
    contact_s = 0.0 if is_confirmed else replica_server.last_contact_age_s()
    return {
        "confirmed": is_confirmed,
        "standing": replica_server.contact_status().contact.value,
        "as-of-s": round_seconds(contact_s),
    }


def describe_group(replica_server: ReplicaServer, is_confirmed: bool) -> GroupDescription:
    """Describe the group as this member knows it."""
    replica, state = replica_server.replica, replica_server.state
    uncommitted = replica.log.entries_after(max(replica.committed, replica.log.base_index))
    return {
        "id": replica.me.id,
        "role": replica.role.value,
        "term": replica.term,
        "leader": replica.leader,
        "contact": describe_contact(replica_server, is_confirmed),
        "committed": replica.committed,
        "last": replica.log.last_index,
        "revision": state.revision,
        "keys": len(state.keys),
        "keys-closed": state.is_claiming_suspended,
        "members-committed": not any(map(is_membership_change, uncommitted)),
        "members": [
            {
                "id": member.id,
                "node": member.node,
                "control-plane": member.control_address,
                "internal": member.address,
                "heard-s": round_seconds(replica_server.member_last_seen_s(member.id)),
                "zone": member.zone,
                "voter": member.voter,
            }
            for member in replica.members
        ],
    }


def describe_log(replica_server: ReplicaServer, after: int, is_confirmed: bool) -> LogDescription:
    """Describe up to `LOG_PAGE_MAX_ENTRIES` entries after that index in this member's log."""
    replica = replica_server.replica
    entries = replica.log.entries[max(after - replica.log.base_index, 0) :][:LOG_PAGE_MAX_ENTRIES]
    return {
        "id": replica.me.id,
        "term": replica.term,
        "leader": replica.leader,
        "contact": describe_contact(replica_server, is_confirmed),
        "snapshot-index": replica.log.base_index,
        "committed": replica.committed,
        "last": replica.log.last_index,
        "entries": [
            {
                "index": entry.index,
                "term": entry.term,
                "committed": entry.index <= replica.committed,
                **describe_change(entry.change),
            }
            for entry in entries
        ],
    }
