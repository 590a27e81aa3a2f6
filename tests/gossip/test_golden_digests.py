"""Membership tables are compared by the same digests as at commit 4033f28 (fixtures/digests.json).

During an upgrade processes of two versions compare their tables. With different digests they would
send each other all records at every comparison. The fixture was written by that commit's own code.
"""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cometdoor.gossip.directory import Directory
from cometdoor.wire.frames import Frame, FrameDecoder, encode
from tests.golden import load

FIXTURE = load(Path(__file__).parent / "fixtures" / "digests.json")
NOW = 100.0


def message(digits: str) -> Any:
    (frame,) = FrameDecoder().feed(bytes.fromhex(digits))
    return frame.message


def make_directory() -> Directory:
    """Return a directory with twelve other processes, three of them suspected."""
    (local_record,) = msgspec.structs.astuple(message(FIXTURE["own"]))[1]
    directory = Directory(local_record, [], random.Random(1), NOW)
    directory.on_update(message(FIXTURE["update"]), NOW)
    return directory


@pytest.mark.parametrize("name", FIXTURE["requests"])
def test_a_digest_request_gets_the_reply_of_that_version(name: str) -> None:
    recorded = FIXTURE["requests"][name]
    reply = make_directory().on_digest_request(message(recorded["request"]), NOW)
    assert encode(Frame(1, True, reply)).hex() == recorded["reply"]


def test_the_digest_in_a_request_is_that_of_that_version() -> None:
    directory = make_directory()
    directory.requests.clear()
    directory.tick(2 * NOW)
    ((_, request),) = directory.requests
    assert list(msgspec.structs.astuple(request)[2:4]) == FIXTURE["sent"]
