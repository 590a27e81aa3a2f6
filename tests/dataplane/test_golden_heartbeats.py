"""Heartbeats are parsed as recorded in fixtures/heartbeats.json, which the code of commit 4033f28 wrote."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from cometdoor.dataplane.heartbeats import BackendLifecycle, read_heartbeat
from tests.golden import load, problem_paths, to_plain

FIXTURE = load(Path(__file__).parent / "fixtures" / "heartbeats.json")


@pytest.mark.parametrize("name", FIXTURE["beats"])
def test_a_heartbeat_is_read_to_the_same_values_and_backend(name: str) -> None:
    recorded = FIXTURE["beats"][name]
    heartbeat = read_heartbeat(recorded["body"].encode())
    assert heartbeat.to_dict() == recorded["values"] and to_plain(heartbeat) == recorded["positions"]
    backends: list[msgspec.Struct | None] = []
    BackendLifecycle(backends.append).on_heartbeat("i-1", heartbeat)
    assert [to_plain(backend) for backend in backends] == [recorded["backend"]]


@pytest.mark.parametrize("name", FIXTURE["faults"])
def test_an_invalid_heartbeat_has_the_same_faults(name: str) -> None:
    recorded = FIXTURE["faults"][name]
    assert problem_paths(lambda: read_heartbeat(recorded["body"].encode())) == recorded["places"]
