"""A configuration is encoded as by commit 4033f28 (fixtures/deltas.json).

Other builds of zlib may produce different bytes. Therefore recorded bytes are decompressed here, and bytes
that are compressed here are compared after decompression.
"""

from __future__ import annotations

import zlib
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cometdoor.configuration.delta import Delta, apply_delta, compress, decompress, encode_delta
from tests.golden import check_field_order, load

FIXTURE = load(Path(__file__).parent / "fixtures" / "deltas.json")
# By name in the fixture, the present name of each field that was renamed since.
RENAMED_FIELDS: dict[str, str] = {"parts": "instructions"}
CASES = pytest.mark.parametrize("name", FIXTURE["cases"])
FASTEST = b"\x78\x01"  # zlib's header: 32 kB window, the fastest level


def case(name: str) -> dict[str, bytes]:
    recorded: dict[str, Any] = FIXTURE["cases"][name]
    return {key: bytes.fromhex(value) for key, value in recorded.items()}


@CASES
def test_a_compressed_configuration_of_that_version_is_decompressed_to_the_byte(name: str) -> None:
    recorded = case(name)
    assert decompress(recorded["packed"]) == recorded["body"]
    assert apply_delta(recorded["former"], recorded["difference"]) == recorded["body"]


@CASES
def test_a_configuration_is_compressed_as_by_that_version(name: str) -> None:
    recorded = case(name)
    compressed, delta = compress(recorded["body"]), encode_delta(recorded["former"], recorded["body"])
    assert compressed[:2] == delta[:2] == recorded["packed"][:2] == FASTEST
    assert zlib.decompress(compressed) == recorded["body"]
    assert zlib.decompress(delta) == recorded["difference_unpacked"]


@CASES
def test_a_delta_is_decoded_and_encoded_again_to_the_same_bytes(name: str) -> None:
    raw = case(name)["difference_unpacked"]
    assert msgspec.msgpack.encode(msgspec.msgpack.decode(raw, type=Delta)) == raw


def test_fields_of_a_delta_have_the_order_of_that_version() -> None:
    check_field_order(Delta, FIXTURE["fields"], RENAMED_FIELDS)
