"""Messages between forwarders and planners are byte for byte those of commit 4033f28.

Both sides of the conversation use its numbers, keys and times, so that seals and echoes are the same.
fixtures/notes.json was written by that commit's own code; it is only ever added to.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from cometdoor.planning.advice import decode_advice, encode_advice
from cometdoor.planning.capacity_leasing import decode_lease, encode_lease
from cometdoor.planning.framing import FrameDecoder, encode_frame
from cometdoor.planning.load_reports import FAILURE_KINDS_BY_OUTCOME, FailureKind, decode_report, server_id
from cometdoor.planning.sealed_messages import VERSION, DropReason, KeyRing, MessageKind, SecureChannel
from cometdoor.planning.status import Status
from tests.golden import StructType, check_field_order, load, struct_at, to_plain

FIXTURE = load(Path(__file__).parent / "fixtures" / "notes.json")
REPORT, ADVICE, LEASE = map(MessageKind, FIXTURE["kinds"])
DECODERS: dict[str, Any] = {"1": decode_report, "2": decode_advice, "3": decode_lease}
BODIES = [(kind, name) for kind, bodies in FIXTURE["bodies"].items() for name in bodies]
# By the fixture's name of the struct: the name of each field there that was renamed since, and today's.
RENAMED_FIELDS: dict[str, dict[str, str]] = {
    "report": {"beat": "sequence_number"},
    "report entry": {
        "started": "start_number",
        "speed": "log2_latency",
        "quiet": "since_answer_tenths_s",
        "late": "overdue_tenths_s",
    },
    "advice": {"is_whole": "is_complete", "opinions": "server_advices", "reach": "subset_scale"},
    "opinion": {"keep": "weight_share"},
    "loan": {"started": "start_number"},
}


def body(kind: str, name: str) -> bytes:
    return bytes.fromhex(FIXTURE["bodies"][kind][name])


def structs() -> dict[str, StructType]:
    report, advice, lease = (type(DECODERS[kind](body(kind, "all fields"))) for kind in ("1", "2", "3"))
    return {
        "report": report,
        "report entry": struct_at(report, 4),
        "advice": advice,
        "opinion": struct_at(advice, 1),
        "loan": lease,
    }


def keys(numbers: list[int], current: int) -> KeyRing:
    return KeyRing({number: bytes.fromhex(FIXTURE["keys"][str(number)]) for number in numbers}, current)


def test_an_exchange_is_sealed_to_the_same_bytes_and_opened_to_the_same_messages() -> None:
    known_keys = {1: [1], 200: [1, 200]}  # by the key that seals: the keys that both sides accept then
    parties = {
        "forwarder": SecureChannel(keys([1], 1), 5, 7, 3, frozenset({ADVICE, LEASE})),
        "planner": SecureChannel(keys([1], 1), 2, 0xFEDCBA98, 10, frozenset({REPORT})),
    }
    for message in FIXTURE["notes"]:
        for party in parties.values():
            party.keys = keys(known_keys[message["key"]], message["key"])
        sender = parties[message["from"]]
        receiver = parties["planner" if message["from"] == "forwarder" else "forwarder"]
        kind, to = MessageKind(message["kind"]), 2 if message["from"] == "forwarder" else 5
        content = body(str(message["kind"]), message["body"])
        assert sender.seal(kind, to, content, message["sealed_at_ms"]).hex() == message["hex"]
        opened = receiver.open(bytes.fromhex(message["hex"]), message["opened_at_ms"])
        assert opened is not None
        assert (
            opened.kind,
            opened.sender,
            opened.incarnation,
            opened.number,
            opened.body,
            opened.age_ms,
        ) == (*(kind, message["sender"], message["life"], message["number"], content, message["age_ms"]),)


@pytest.mark.parametrize(("kind", "name"), BODIES)
def test_a_body_is_decoded_and_encoded_again_to_the_same_bytes(kind: str, name: str) -> None:
    decoded = DECODERS[kind](body(kind, name))
    assert to_plain(decoded) == to_plain(msgspec.msgpack.decode(body(kind, name)))
    assert msgspec.msgpack.encode(decoded) == body(kind, name)
    if kind == "2":
        assert encode_advice(decoded, FIXTURE["reach"][name]) == body(kind, name)
    if kind == "3":
        assert encode_lease(decoded) == body(kind, name)


@pytest.mark.parametrize("name", FIXTURE["fields"])
def test_fields_of_bodies_have_the_order_of_that_version(name: str) -> None:
    check_field_order(structs()[name], FIXTURE["fields"][name], RENAMED_FIELDS.get(name, {}))


def test_a_message_on_a_stream_is_framed_as_before() -> None:
    datagram = bytes.fromhex(FIXTURE["notes"][2]["hex"])
    framed = bytes.fromhex(FIXTURE["framed"])
    assert encode_frame(datagram) == framed
    for size in (1, 2, 3, 50, len(framed)):
        decoder = FrameDecoder()
        chunks = [framed[offset : offset + size] for offset in range(0, len(framed), size)]
        assert [message for chunk in chunks for message in decoder.feed(chunk)] == [datagram]


@pytest.mark.parametrize("name", FIXTURE["server_ids"])
def test_a_server_has_the_same_id(name: str) -> None:
    assert server_id(name).hex() == FIXTURE["server_ids"][name]


def test_outcomes_have_the_same_positions_in_a_report() -> None:
    assert {outcome.value: int(index) for outcome, index in FAILURE_KINDS_BY_OUTCOME.items()} == FIXTURE[
        "failures"
    ]
    assert sorted(map(int, FailureKind)) == list(range(FIXTURE["failure_kinds"]))


def test_kinds_and_the_version_have_the_same_numbers() -> None:
    assert [int(kind) for kind in MessageKind] == FIXTURE["kinds"] and FIXTURE["note_version"] == VERSION


def test_the_status_page_is_read_and_written_again_to_the_same_json() -> None:
    raw = FIXTURE["status"].encode()
    assert msgspec.json.encode(msgspec.json.decode(raw, type=Status)) == raw


def test_reasons_for_dropped_datagrams_are_counted_under_the_same_names() -> None:
    """The status page uses them as keys."""
    assert {str(int(reason)): reason.label for reason in DropReason} == FIXTURE["drop_reasons"]
