"""Every message between the processes of the mesh (msgspec, as arrays under a tag of one letter or two).

A frame is four bytes of length (big-endian) and a `Frame`. A call and its reply carry the same number; 0
stands for a message that awaits no reply. Fields are only ever added at the end, with a default: processes
of two versions understand one another while one takes the other's place.
"""

from __future__ import annotations

import msgspec

MAX_FRAME = 80 << 20  # bytes: a request's body may have 64 MiB


class Ping(msgspec.Struct, tag="p", array_like=True):
    """Whoever waits for something on a line that says nothing asks whether the other end is there."""


class Pong(msgspec.Struct, tag="q", array_like=True):
    """The answer to it."""


class Refusal(msgspec.Struct, tag="no", array_like=True):
    """A call that can't be taken here; nothing came of it."""

    reason: str
    leader: str = ""  # internal address of the core machine that leads, where known


# --- between data planes ---


class Run(msgspec.Struct, tag="r", array_like=True):
    """A request for the backend beside the proxy that is called."""

    attempt_id: bytes
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # end to end, and without those that the door writes
    body: bytes
    left_ms: float
    aim_ms: float
    priority: int
    service: str
    instance: str
    once: bool  # it may not run twice
    let_through: float = 1.0  # the part of its kind that its proxy lets through
    group: int = 0  # number of those that came together with it at that proxy, of its kind; 0: alone
    group_size: float = 1.0  # how many of its kind come together there on the mean
    further: bool = False  # another arrival of its request may have come before it


class Ran(msgspec.Struct, tag="a", array_like=True):
    """The backend's whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class NotRun(msgspec.Struct, tag="n", array_like=True):
    """It has not run and never will: the door has said so."""

    reason: str
    wait_ms: float = 0.0  # after which there may be room


class Broke(msgspec.Struct, tag="b", array_like=True):
    """It reached the backend, and no whole answer came: it may have run."""

    outcome: str  # of jasperhall.api.Outcome
    blame: float


class Cancel(msgspec.Struct, tag="c", array_like=True):
    """Nobody waits for that call any more."""

    call: int


# --- news ---


class Backend(msgspec.Struct, array_like=True, frozen=True):
    """A backend as the proxy beside it knows it."""

    instance: str
    service: str
    address: str
    revision: str
    capacity: int
    state: str  # "ready", "draining" or "down"
    warm_left_s: float = 0.0


class Record(msgspec.Struct, array_like=True, frozen=True):
    """What one process says of itself. Only it raises the version; the higher one holds."""

    node: str
    address: str  # internal, "ip:port"
    role: str  # "dataplane" or "controlplane"
    zone: str
    life: str  # drawn at its start
    version: int
    state: str = "up"  # or "leaving"
    backend: Backend | None = None
    control: str = ""  # where it serves control
    silent: bool = False  # others say so of this version; it denies that by a higher one
    silent_s: float = 0.0  # for how long, when it was sent


class News(msgspec.Struct, tag="w", array_like=True):
    """Records that are passed on because they are new; it awaits no answer."""

    sender: str
    records: list[Record]
    revision: int  # of the newest configuration in force that the sender has; 0 for none


class Compare(msgspec.Struct, tag="cm", array_like=True):
    """Whether the other one knows the same: at first by one sum, then by the versions in some buckets."""

    sender: str
    revision: int
    count: int  # of records
    total: int  # sum over all of them
    buckets: list[int] = []  # those that differ
    stamps: dict[str, int] = {}  # of all nodes in them
    neighbours: list[str] = []  # some of the sender's partial view, to be swapped


class Compared(msgspec.Struct, tag="cd", array_like=True):
    """What differs. With nothing in it all is the same."""

    sender: str
    revision: int
    records: list[Record] = []  # that the asker lacks
    sums: list[int] = []  # by bucket, where the totals differ
    wanted: list[str] = []  # nodes of which the asker has something newer
    neighbours: list[str] = []


class Reach(msgspec.Struct, tag="rc", array_like=True):
    """Does that one answer you?"""

    address: str


class Reached(msgspec.Struct, tag="rd", array_like=True):
    answers: bool


class AskConfiguration(msgspec.Struct, tag="ac", array_like=True):
    newer_than: int


class ConfigurationIs(msgspec.Struct, tag="ci", array_like=True):
    revision: int  # 0: nothing newer
    body: bytes = b""  # packed, or the difference to what the asker has
    base: int = 0  # the revision that `body` is a difference to; 0: it is whole


# --- the core's log ---


class Member(msgspec.Struct, array_like=True, frozen=True):
    """One of the core. The id belongs to a disk: an empty one is another member."""

    id: str
    address: str  # internal
    control: str  # where it serves control
    node: str = ""
    zone: str = ""
    voter: bool = True  # False: a learner, which gets the log and counts for nothing


class Noop(msgspec.Struct, tag="e0", array_like=True, frozen=True):
    """The first of a term: with it what came before is known to be committed."""


class Configure(msgspec.Struct, tag="e1", array_like=True, frozen=True):
    base: int
    revision: int
    body: bytes


class Members(msgspec.Struct, tag="e2", array_like=True, frozen=True):
    """The core from this entry on, whether it is committed or not: one member more or less than before, or
    one that votes now or no longer does."""

    members: tuple[Member, ...]


class Claim(msgspec.Struct, tag="e3", array_like=True, frozen=True):
    """The right to run a key's operation. `instead`: of a claim that its holder gave up unrun."""

    key: str
    claim: str
    holder: str  # internal address
    instead: str = ""


class Passed(msgspec.Struct, tag="e4", array_like=True, frozen=True):
    """So much time went by on the leader's steady clock since it led or last said so."""

    ms: int


Change = Noop | Configure | Members | Claim | Passed


class Entry(msgspec.Struct, array_like=True, frozen=True):
    index: int
    term: int
    change: Change


class AskVote(msgspec.Struct, tag="v", array_like=True):
    term: int
    candidate: str
    last_index: int
    last_term: int
    trial: bool  # it only asks whether it would be elected (prevote)
    address: str  # where the answer goes; the same in what follows
    handed: bool = False  # the leader has named it


class Vote(msgspec.Struct, tag="vr", array_like=True):
    term: int
    voter: str
    granted: bool
    trial: bool


class Append(msgspec.Struct, tag="ap", array_like=True):
    term: int
    leader: str
    address: str
    previous_index: int
    previous_term: int
    entries: list[Entry]
    committed: int
    round: int  # of the leader's heartbeats: told back, so that a lease and a read have their proof


class Appended(msgspec.Struct, tag="ar", array_like=True):
    term: int
    follower: str
    success: bool
    index: int  # of the last entry that is on its disk; on failure: from where it may be tried again
    round: int
    takes_parts: bool = False  # it knows `Part`; processes of earlier builds don't
    knows_learners: bool = False  # a build that doesn't takes every member for a voter


class Install(msgspec.Struct, tag="is", array_like=True):
    term: int
    leader: str
    address: str
    last_index: int
    last_term: int
    state: bytes
    round: int


class Part(msgspec.Struct, tag="pt", array_like=True):
    """A piece of an `Append` or `Install` that is too large to go at once between two heartbeats."""

    term: int
    leader: str
    address: str
    digest: bytes  # SHA-256 of the whole
    size: int  # of the whole, bytes
    offset: int
    data: bytes


class PartTaken(msgspec.Struct, tag="pk", array_like=True):
    """How much of that whole the follower holds now."""

    term: int
    follower: str
    digest: bytes
    held: int  # bytes, from the beginning on


class TakeOver(msgspec.Struct, tag="to", array_like=True):
    """The leader's last word: the named one stands for election at once."""

    term: int
    leader: str


class Join(msgspec.Struct, tag="j", array_like=True):
    member: Member
    knows_learners: bool = False


class Leave(msgspec.Struct, tag="l", array_like=True):
    member: str


class AskLeader(msgspec.Struct, tag="al", array_like=True):
    pass


class LeaderIs(msgspec.Struct, tag="li", array_like=True):
    leader: str  # internal address; empty: none is known
    members: list[str] = []  # internal addresses


class Claims(msgspec.Struct, tag="k", array_like=True):
    """What one proxy asks for at one moment."""

    claims: list[Claim]


KEYS_CLOSED = "-"


class Claimed(msgspec.Struct, tag="kr", array_like=True):
    """For each in turn who holds the key now, and by which claim; both empty: it could not be ordered.
    `KEYS_CLOSED` and no claim: no new claim is taken for now, and it is not worth asking again at once."""

    holders: list[tuple[str, str]]


# --- budgets of further tries ---


class Need(msgspec.Struct, array_like=True, frozen=True):
    """One proxy's, at one service."""

    service: str
    requests: float  # in the window
    wants: float  # tries in a window, beside its own part
    offers: float  # of its own part, for as long as `budget.lease` says


class AskShares(msgspec.Struct, tag="sh", array_like=True):
    life: str
    stamp: float  # of the leader's last word to it; -1: none yet
    needs: list[Need]


class SharesAre(msgspec.Struct, tag="sr", array_like=True):
    stamp: float
    granted: list[float]  # for each need in turn


# --- one operation per key, between proxies ---


class AskOperation(msgspec.Struct, tag="o", array_like=True):
    key: str
    claim: str


class OperationIs(msgspec.Struct, tag="or", array_like=True):
    state: str  # "done", "running", "unrun" (given up by its holder) or "unknown"
    answer: Ran | None = None


Message = (
    Ping
    | Pong
    | Refusal
    | Run
    | Ran
    | NotRun
    | Broke
    | Cancel
    | News
    | Compare
    | Compared
    | Reach
    | Reached
    | AskConfiguration
    | ConfigurationIs
    | AskVote
    | Vote
    | Append
    | Appended
    | Install
    | Part
    | PartTaken
    | TakeOver
    | Join
    | Leave
    | AskLeader
    | LeaderIs
    | Claims
    | Claimed
    | AskShares
    | SharesAre
    | AskOperation
    | OperationIs
)


class Frame(msgspec.Struct, array_like=True):
    call: int
    is_reply: bool
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


class BadFrame(Exception):
    """The peer does not speak our protocol: its line is closed."""


def encode(frame: Frame) -> bytes:
    body = _encoder.encode(frame)
    return len(body).to_bytes(4, "big") + body


class Splitter:
    """Bytes in, frames out."""

    def __init__(self) -> None:
        self._held = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Raises BadFrame; nothing of what came with it is taken."""
        held = self._held
        held += data
        frames: list[Frame] = []
        at = 0
        while len(held) - at >= 4:
            size = int.from_bytes(held[at : at + 4], "big")
            if size > MAX_FRAME:
                raise BadFrame(f"a frame of {size} bytes")
            if len(held) - at - 4 < size:
                break
            try:
                frames.append(_decoder.decode(memoryview(held)[at + 4 : at + 4 + size].tobytes()))
            except msgspec.MsgspecError as problem:
                raise BadFrame(str(problem)) from problem
            at += 4 + size
        if at:
            del held[:at]
        return frames
