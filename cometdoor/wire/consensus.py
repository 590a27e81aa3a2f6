"""Messages of the control plane's consensus protocol (Raft: Ongaro and Ousterhout, USENIX ATC 2014)."""

from __future__ import annotations

import msgspec

from cometdoor.wire.log_entries import LogEntry, Member


class RequestVote(msgspec.Struct, tag="v", array_like=True):
    """Ask a member to vote for the sender in an election."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    is_prevote: bool  # only asks whether the vote would be granted (Ongaro's dissertation, 9.6)
    address: str  # internal address to which the reply is sent, as in the messages below
    is_leadership_transfer: bool = False  # the leader named the candidate as its successor (`TimeoutNow`)


class RequestVoteReply(msgspec.Struct, tag="vr", array_like=True):
    """Reply to a `RequestVote`: the vote is granted or refused."""

    term: int
    voter: str
    granted: bool
    is_prevote: bool


class AppendEntries(msgspec.Struct, tag="ap", array_like=True):
    """Replicate entries to a follower; without entries it is a heartbeat."""

    term: int
    leader: str
    address: str
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit_index: int
    round: int  # number of the leader's heartbeat round; its echo in replies confirms leadership for reads


class AppendEntriesReply(msgspec.Struct, tag="ar", array_like=True):
    """A follower's acknowledgement of `AppendEntries` or `InstallSnapshot`."""

    term: int
    follower: str
    success: bool
    index: int  # of the last entry on the follower's disk; on failure: where the next attempt may start
    round: int  # of the message that it acknowledges; 0 for a message sent in chunks
    accepts_chunks: bool = False  # it supports `TransferChunk`; earlier builds don't
    supports_learners: bool = False  # builds without learner support treat every member as a voter


class InstallSnapshot(msgspec.Struct, tag="is", array_like=True):
    """Replace a follower's state and log by the leader's snapshot."""

    term: int
    leader: str
    address: str
    last_index: int
    last_term: int
    state: bytes  # `cometdoor.control.durable_state.Snapshot` in msgpack
    round: int


class TransferChunk(msgspec.Struct, tag="pt", array_like=True):
    """A chunk of an `AppendEntries` or `InstallSnapshot` that would delay heartbeats if sent in one frame."""

    term: int
    leader: str
    address: str
    digest: bytes  # SHA-256 of the complete payload
    size: int  # of the complete payload, bytes
    offset: int  # of `data` in the payload, bytes
    data: bytes


class TransferChunkAck(msgspec.Struct, tag="pk", array_like=True):
    """Acknowledges the bytes of the payload that the follower has received."""

    term: int
    follower: str
    digest: bytes
    received_bytes: int  # contiguous, from the beginning


class TimeoutNow(msgspec.Struct, tag="to", array_like=True):
    """Leadership transfer: the receiver starts an election at once (Ongaro's dissertation, 3.10)."""

    term: int
    leader: str


class JoinRequest(msgspec.Struct, tag="j", array_like=True):
    """Ask the leader to add a member to the group."""

    member: Member
    supports_learners: bool = False


class LeaveRequest(msgspec.Struct, tag="l", array_like=True):
    """Ask the leader to remove a member from the group."""

    member_id: str


class LeaderRequest(msgspec.Struct, tag="al", array_like=True):
    """Ask any replica for the address of the leader."""


class LeaderReply(msgspec.Struct, tag="li", array_like=True):
    """Reply to a `LeaderRequest`: the leader and the members known to the replica."""

    leader: str  # internal address; empty if unknown
    members: list[str] = []  # internal addresses
