"""Frames between the mesh's processes are byte for byte those of commit 4033f28 (fixtures/frames.json).

During an upgrade processes of two versions communicate. The fixture was written by that commit's own code,
before its classes and fields were renamed; it is only ever added to.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cometdoor.balancing.api import Outcome
from cometdoor.dataplane.attempt_replies import classify_reply
from cometdoor.wire.frames import Frame, FrameDecoder, FrameError, Message, encode
from cometdoor.wire.log_entries import Change
from tests.golden import (
    StructType,
    build,
    by_tag,
    check_field_order,
    load,
    reachable,
    struct_at,
    structs_in,
    to_plain,
)

FIXTURE = load(Path(__file__).parent / "fixtures" / "frames.json")
CASES = [(tag, name) for tag, cases in FIXTURE["frames"].items() for name in cases]
MESSAGES = by_tag(Message)
CHANGES = by_tag(Change)
# Structs without a tag: the message, the position of the field, then the position inside that struct.
UNTAGGED_STRUCTS = {
    "backend": struct_at(MESSAGES["w"], 1, 7),
    "node record": struct_at(MESSAGES["w"], 1),
    "member": struct_at(MESSAGES["j"], 0),
    "log entry": struct_at(MESSAGES["ap"], 5),
    "lease demand": struct_at(MESSAGES["sh"], 2),
}
# By tag or by name of an untagged struct: old and present names of the fields renamed since the fixture.
RENAMED_FIELDS: dict[str, dict[str, str]] = {
    "r": {
        "left_ms": "remaining_ms",
        "aim_ms": "latency_target_ms",
        "once": "is_not_idempotent",
        "let_through": "admitted_share",
        "further": "is_retry",
    },
    "n": {"wait_ms": "retry_after_ms"},
    "c": {"call": "call_id"},
    "cm": {"count": "record_count", "total": "digest", "stamps": "versions"},
    "cd": {"sums": "bucket_digests", "wanted": "requested_nodes"},
    "rd": {"answers": "is_reachable"},
    "ci": {"base": "base_revision"},
    "v": {"trial": "is_prevote", "handed": "is_leadership_transfer"},
    "vr": {"trial": "is_prevote"},
    "ap": {"committed": "commit_index"},
    "ar": {"takes_parts": "accepts_chunks", "knows_learners": "supports_learners"},
    "pk": {"held": "received_bytes"},
    "j": {"knows_learners": "supports_learners"},
    "kr": {"holders": "owners"},
    "l": {"member": "member_id"},
    "sh": {"life": "incarnation", "stamp": "leader_time_s", "needs": "demands"},
    "sr": {"stamp": "leader_time_s", "granted": "granted_retries"},
    "o": {"claim": "claim_id"},
    "or": {"answer": "response"},
    "e1": {"base": "base_revision"},
    "e3": {"claim": "claim_id", "holder": "owner", "instead": "supersedes"},
    "e4": {"ms": "elapsed_ms"},
    "backend": {"warm_left_s": "slow_start_remaining_s"},
    "node record": {
        "life": "incarnation",
        "control": "control_address",
        "silent": "is_suspected",
        "silent_s": "suspected_for_s",
    },
    "member": {"control": "control_address"},
    "lease demand": {"wants": "wanted_retries", "offers": "offered_retries"},
}


def case(tag: str, name: str) -> Any:
    return FIXTURE["frames"][tag][name]


def raw(tag: str, name: str) -> bytes:
    return bytes.fromhex(case(tag, name)["hex"])


def one_frame(data: bytes) -> Frame:
    (frame,) = FrameDecoder().feed(data)
    return frame


def message_in(tag: str, values: list[Any]) -> Any:
    """Return the message of a frame with exactly these fields, as another version may send it."""
    body = msgspec.msgpack.encode([1, False, [tag, *values]])
    return one_frame(len(body).to_bytes(4, "big") + body).message


def fields_on_the_wire(tag: str, name: str) -> list[Any]:
    """Return the fields of a frame's message as msgpack decodes them without a schema."""
    _, _, sent = msgspec.msgpack.decode(raw(tag, name)[4:])
    assert sent[0] == tag
    return list(sent[1:])


def required(kind: StructType) -> int:
    return len(kind.__struct_fields__) - len(kind.__struct_defaults__)


@pytest.mark.parametrize(("tag", "name"), CASES)
def test_a_frame_of_that_version_is_read_and_written_again_to_the_same_bytes(tag: str, name: str) -> None:
    frame = one_frame(raw(tag, name))
    assert type(frame.message) is MESSAGES[tag]
    assert (frame.call_id, frame.is_reply) == (case(tag, name)["call"], case(tag, name)["is_reply"])
    assert to_plain(frame.message)[1:] == case(tag, name)["values"]
    assert encode(frame) == raw(tag, name)


@pytest.mark.parametrize(("tag", "name"), CASES)
def test_a_message_that_is_built_by_position_is_written_to_the_same_bytes(tag: str, name: str) -> None:
    recorded = case(tag, name)
    message: Any = build(MESSAGES[tag], recorded["values"])
    assert encode(Frame(recorded["call"], recorded["is_reply"], message)) == raw(tag, name)


@pytest.mark.parametrize("tag", MESSAGES)
def test_every_message_has_a_recorded_frame(tag: str) -> None:
    assert FIXTURE["frames"].get(tag), f"no frame of tag {tag!r}: add one to the fixture"


def test_every_recorded_message_is_still_one() -> None:
    assert set(MESSAGES) == set(FIXTURE["frames"]) and set(CHANGES) == set(FIXTURE["fields"]["changes"])


def test_every_struct_in_a_message_is_compared_with_the_fixture() -> None:
    expected = {*MESSAGES.values(), *CHANGES.values(), *UNTAGGED_STRUCTS.values()}
    assert reachable(MESSAGES.values()) == expected


@pytest.mark.parametrize("tag", MESSAGES)
def test_the_recorded_frames_of_a_message_set_each_field_to_something_else_than_its_default(tag: str) -> None:
    kind = MESSAGES[tag]
    decoded = [one_frame(raw(tag, name)).message for name in FIXTURE["frames"][tag]]
    for field in msgspec.structs.fields(kind)[required(kind) :]:
        has_factory = field.default is msgspec.NODEFAULT
        default = field.default_factory() if has_factory else field.default
        assert any(getattr(message, field.name) != default for message in decoded), field.name
        assert any(getattr(message, field.name) == default for message in decoded), field.name


def test_every_change_of_the_log_is_in_a_recorded_frame() -> None:
    entries = [entry for name in FIXTURE["frames"]["ap"] for entry in fields_on_the_wire("ap", name)[5]]
    assert {change[0] for _, _, change in entries} == set(CHANGES)


@pytest.mark.parametrize(
    ("group", "name"), [(group, name) for group in FIXTURE["fields"] for name in FIXTURE["fields"][group]]
)
def test_fields_stand_in_the_order_of_that_version(group: str, name: str) -> None:
    kind = {"messages": MESSAGES, "changes": CHANGES, "parts": UNTAGGED_STRUCTS}[group][name]
    check_field_order(kind, FIXTURE["fields"][group][name], RENAMED_FIELDS.get(name, {}))


def test_renamed_fields_belong_to_recorded_structs() -> None:
    assert set(RENAMED_FIELDS) <= {name for group in FIXTURE["fields"].values() for name in group}


@pytest.mark.parametrize("tag", MESSAGES)
def test_fields_that_an_earlier_version_does_not_send_get_their_defaults(tag: str) -> None:
    kind = MESSAGES[tag]
    name = next(iter(FIXTURE["frames"][tag]))
    sent = fields_on_the_wire(tag, name)
    all_values = to_plain(one_frame(raw(tag, name)).message)[1:]
    for count in range(required(kind), len(sent) + 1):
        read = message_in(tag, sent[:count])
        expected = to_plain(build(kind, all_values[:count]))[1:]
        assert to_plain(read)[1:] == expected and expected[:count] == all_values[:count]


@pytest.mark.parametrize("tag", MESSAGES)
def test_fields_that_a_later_version_adds_at_the_end_are_ignored(tag: str) -> None:
    for name in FIXTURE["frames"][tag]:
        sent = fields_on_the_wire(tag, name)
        sent += [None] * (len(MESSAGES[tag].__struct_fields__) - len(sent))
        assert len(sent) == len(MESSAGES[tag].__struct_fields__)
        read = message_in(tag, [*sent, "a field of a later version", 5])
        assert to_plain(read) == to_plain(one_frame(raw(tag, name)).message)


@pytest.mark.parametrize("tag", [tag for tag in MESSAGES if required(MESSAGES[tag])])
def test_a_frame_without_a_required_field_is_no_frame(tag: str) -> None:
    sent = fields_on_the_wire(tag, next(iter(FIXTURE["frames"][tag])))
    with pytest.raises(FrameError):
        message_in(tag, sent[: required(MESSAGES[tag]) - 1])


def test_a_message_of_an_unknown_tag_is_no_frame() -> None:
    with pytest.raises(FrameError):
        message_in("a tag that nobody has", [])


def test_outcomes_of_attempts_have_the_same_names_on_the_wire() -> None:
    assert [outcome.value for outcome in Outcome] == FIXTURE["outcomes"]


@pytest.mark.parametrize("outcome", FIXTURE["outcomes_after_arrival"])
def test_an_attempt_that_failed_at_the_backend_is_read_with_its_outcome_and_blame(outcome: str) -> None:
    reading, response = classify_reply(message_in("b", [outcome, 0.25]))
    assert (reading.outcome.value, reading.blame, response) == (outcome, 0.25, None)


def test_no_two_structs_share_a_tag() -> None:
    for union in (Message, Change):
        kinds = list(structs_in(union))
        assert len(by_tag(union)) == len(kinds)


ALL_FRAMES = b"".join(raw(tag, name) for tag, name in CASES)


@given(st.lists(st.integers(1, 700), min_size=1, max_size=40))
def test_frames_that_arrive_in_any_portions_are_the_same_frames(sizes: list[int]) -> None:
    decoder = FrameDecoder()
    frames: list[Frame] = []
    offset = turn = 0
    while offset < len(ALL_FRAMES):
        size = sizes[turn % len(sizes)]
        frames += decoder.feed(ALL_FRAMES[offset : offset + size])
        offset, turn = offset + size, turn + 1
    assert [type(frame.message) for frame in frames] == [MESSAGES[tag] for tag, _ in CASES]
    assert b"".join(map(encode, frames)) == ALL_FRAMES


def test_frames_that_arrive_byte_by_byte_are_each_complete_with_their_last_byte() -> None:
    decoder = FrameDecoder()
    ends = set()
    offset = 0
    for tag, name in CASES:
        offset += len(raw(tag, name))
        ends.add(offset)
    for position in range(len(ALL_FRAMES)):
        frames = decoder.feed(ALL_FRAMES[position : position + 1])
        assert len(frames) == (position + 1 in ends)
