"""Data directories written by commit 4033f28 are read and continued by the present code.

They belong to a group of four (three voters, a learner) that lost all power while one member started a new
file and the leader had an entry only on its own disk. `rebuilt` was made from two of them by `state rebuild`.
All were written by that commit's own code in virtual time, with a snapshot every 45 changes. So was
expected.json, from what that code read in them. They are never regenerated.
"""

from __future__ import annotations

import json
import shutil
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
import structlog
from typer.testing import CliRunner

from cometdoor.cli.mesh_commands import app
from cometdoor.control.leader_contact import LeaderContact
from cometdoor.control.offline_inspection import read_data_directory
from cometdoor.control.roles import Role
from cometdoor.control.write_ahead_log import (
    WriteAheadLog,
    encode_batch,
    list_log_files,
    recover_log,
    scan_batches,
)
from simulation.mesh import SimulatedMesh, simulated_mesh
from standins.http_client import http_request
from standins.mesh import configuration
from standins.mesh_backend import CONTROL_PORT
from tests.golden import load, to_plain

STORED = Path(__file__).parent / "fixtures" / "data-directory-4033f28"
EXPECTED = load(STORED / "expected.json")
DIRECTORIES = pytest.mark.parametrize("name", EXPECTED["directories"])
VOTERS = ("member-1", "member-2", "member-3")
REPLACEMENT = configuration(20)
REVISIONS = [revision for _, revision, _ in EXPECTED["acknowledged"]["configurations"]]


@pytest.fixture(autouse=True)
def _quiet() -> Iterator[None]:
    """Suppress the members' logs."""
    with structlog.testing.capture_logs():
        yield


def expected(name: str) -> Any:
    return EXPECTED["directories"][name]


def batches_of(path: Path) -> list[Any]:
    return list(scan_batches(path.read_bytes()))


def state_show(folder: Path) -> dict[str, Any]:
    result = CliRunner().invoke(app, ["state", "show", str(folder), "--json"])
    assert result.exit_code == 0, result.output
    report: dict[str, Any] = json.loads(result.stdout)
    return report | {"file": Path(report["file"]).name}


# --- what is read ---


@DIRECTORIES
def test_a_directory_yields_the_same_member_term_vote_and_log(name: str) -> None:
    durable_state = recover_log(STORED / name)[0].durable_state
    recorded = expected(name)
    assert (durable_state.id, durable_state.term, durable_state.voted_for) == (
        *(recorded["id"], recorded["term"], recorded["voted_for"]),
    )
    assert durable_state.committed == recorded["committed"]
    assert (None if durable_state.snapshot is None else to_plain(durable_state.snapshot)) == recorded[
        "snapshot"
    ]
    assert [to_plain(entry) for entry in durable_state.entries] == recorded["entries"]


@DIRECTORIES
def test_committed_entries_yield_the_same_state(name: str) -> None:
    contents = read_data_directory(STORED / name)
    recorded = expected(name)["state_of_committed"]
    state = contents.state
    assert state.snapshot().hex() == recorded["image"]
    assert (state.revision, state.body.hex()) == (recorded["revision"], recorded["body"])
    assert (state.now_ms, state.claims_suspended_until_ms) == (
        recorded["now_ms"],
        recorded["closed_until_ms"],
    )
    assert [[key, to_plain(claim)] for key, claim in state.keys.items()] == recorded["keys"]


@DIRECTORIES
def test_the_command_reports_the_same_of_a_directory(name: str) -> None:
    assert state_show(STORED / name) == expected(name)["show"]
    assert CliRunner().invoke(app, ["state", "verify", str(STORED / name)]).exit_code == 0


@DIRECTORIES
def test_the_command_exports_the_same_configuration(name: str) -> None:
    exported = CliRunner().invoke(app, ["state", "export", str(STORED / name)])
    assert exported.exit_code == 0
    recorded = expected(name)["state_of_committed"]["body"]
    assert exported.stdout.encode() == bytes.fromhex(recorded) + b"\n"


def test_the_older_file_counts_if_the_first_batch_of_the_newest_one_is_incomplete(tmp_path: Path) -> None:
    folder = tmp_path / "torn"
    shutil.copytree(STORED / EXPECTED["two_files"], folder)
    newest = folder / EXPECTED["torn"]["newest"]
    assert len(list_log_files(folder)) == 2 and list_log_files(folder)[0][1] == newest
    newest.write_bytes(newest.read_bytes()[: EXPECTED["torn"]["left_bytes"]])
    assert state_show(folder) == EXPECTED["torn"]["show"]
    assert len(read_data_directory(folder).durable_state.entries) == EXPECTED["torn"]["entries"]


# --- what is written ---


@DIRECTORIES
def test_batches_have_the_same_offsets_and_are_encoded_to_the_same_bytes(name: str) -> None:
    for path in (STORED / name).glob("*.dat"):
        data = path.read_bytes()
        batches = batches_of(path)
        assert [[batch.number, batch.last_synced, len(batch.records), batch.offset] for batch in batches] == (
            expected(name)["values"][path.name]
        )
        for batch in batches:
            encoded = encode_batch(batch.number, batch.last_synced, batch.records)
            assert data[batch.offset : batch.offset + len(encoded)] == encoded


@DIRECTORIES
def test_the_same_records_are_written_to_the_same_file(name: str, tmp_path: Path) -> None:
    for path in (STORED / name).glob("*.dat"):
        first, *others = batches_of(path)
        log_file = WriteAheadLog(tmp_path / path.stem)
        log_file.open()
        log_file.rotate(first.records)
        for batch in others:
            log_file.append(batch.records)
        log_file.close()
        ((_, written),) = list_log_files(tmp_path / path.stem)
        assert written.read_bytes() == path.read_bytes()


def test_every_kind_of_record_and_change_is_in_the_directories() -> None:
    records, changes = set(), set()
    for name in EXPECTED["directories"]:
        for path in (STORED / name).glob("*.dat"):
            stored = [to_plain(record) for batch in batches_of(path) for record in batch.records]
            records |= {record[0] for record in stored}
            changes |= {change[0] for record in stored if record[0] == "s" for _, _, change in record[1]}
    assert records == set("ipsnk") and changes == {"e0", "e1", "e2", "e3", "e4"}


# --- members that start on them ---


@contextmanager
def control_planes(stored: dict[int, str], size: int = 3) -> Iterator[SimulatedMesh]:
    """Yield control planes in virtual time.

    `stored`: by number from 1, the directory that a control plane starts with. The others start with empty
    disks.
    """
    with simulated_mesh(seed=48, core=size, planes=0) as mesh:
        for number, name in stored.items():
            shutil.copytree(STORED / name, mesh.folder / mesh.core[number - 1])
        yield mesh


def launch(mesh: SimulatedMesh, numbers: list[int]) -> None:
    for number in numbers:
        mesh.run(mesh.launch(mesh.core[number - 1]))


def get_json(mesh: SimulatedMesh, address: str, path: str) -> Any:
    status, _, body = mesh.run(http_request(address, CONTROL_PORT, "GET", path, {}))
    assert status == 200, (address, path, status, body)
    return json.loads(body)


def leader_of(mesh: SimulatedMesh) -> str | None:
    """Return the address of the leader that a majority confirms; None if there is none."""
    for address in mesh.programs:
        try:
            description = get_json(mesh, address, "/Core.Describe")
        except (OSError, TimeoutError):
            continue
        if description["role"] == "leader" and description["contact"]["confirmed"]:
            return address
    return None


def leader_within(mesh: SimulatedMesh, seconds: float) -> str:
    until = mesh.loop.time() + seconds
    while mesh.loop.time() < until:
        mesh.wait(0.1)
        if (leader := leader_of(mesh)) is not None:
            return leader
    raise AssertionError(f"nobody leads after {seconds} s")


def check_nothing_is_lost(mesh: SimulatedMesh) -> None:
    """Check configurations and valid claims that were acknowledged when the directories were written."""
    state = mesh.control_plane(leader_within(mesh, 1.0)).replica_server.state
    for _, revision, body in EXPECTED["acknowledged"]["configurations"]:
        assert state.was_accepted(revision, bytes.fromhex(body["hex"])), revision
    keys = {key: to_plain(claim) for key, claim in state.keys.items()}
    assert len(expected("rebuilt")["state_of_committed"]["keys"]) > 5
    for key, claim in expected("rebuilt")["state_of_committed"]["keys"]:
        assert keys[key] == claim


def check_accepts_changes(mesh: SimulatedMesh) -> None:
    """Check that two more configurations are accepted, and an old one that is resent is deduplicated."""
    base = get_json(mesh, leader_within(mesh, 1.0), "/Core.Describe")["revision"]
    last = get_json(mesh, leader_within(mesh, 1.0), "/Core.Describe")["last"]
    for revision in (base + 1, base + 2):
        assert mesh.run(mesh.configure(revision, revision - 1)) == 200
    description = get_json(mesh, leader_within(mesh, 1.0), "/Core.Describe")
    assert description["revision"] == base + 2 and description["last"] >= last + 2
    # The last change that was acknowledged earlier is deduplicated, not accepted twice.
    assert mesh.run(mesh.configure(REVISIONS[-1], REVISIONS[-2])) == 200
    assert get_json(mesh, leader_within(mesh, 1.0), "/Core.Describe")["revision"] == base + 2
    check_nothing_is_lost(mesh)


def check_all_replicas_agree(mesh: SimulatedMesh) -> None:
    """Check that all replicas agree within a second: followers learn of a commit one heartbeat later."""
    for _ in range(100):
        mesh.wait(0.01)
        if (
            len({program.replica_server.state.snapshot() for program in map(mesh.control_plane, mesh.core)})
            == 1
        ):
            return
    raise AssertionError("the members' states differ")


def voters(mesh: SimulatedMesh) -> set[str]:
    members = get_json(mesh, leader_within(mesh, 1.0), "/Core.Describe")["members"]
    return {member["id"] for member in members if member["voter"]}


def test_three_voters_start_on_their_directories_and_remain_the_same_members() -> None:
    with control_planes(dict(enumerate(VOTERS, 1))) as mesh:
        launch(mesh, [1, 2, 3])
        leader_within(mesh, 3.0)
        ids = {get_json(mesh, address, "/Core.Describe")["id"] for address in mesh.core}
        assert ids == {expected(name)["id"] for name in VOTERS} == voters(mesh)
        assert get_json(mesh, leader_within(mesh, 1.0), "/Core.Describe")["term"] > 3
        check_nothing_is_lost(mesh)
        check_accepts_changes(mesh)
        check_all_replicas_agree(mesh)
        # The group also continues after each member has restarted on what the present code wrote.
        for address in mesh.core:
            mesh.kill(address, silent=True)
        launch(mesh, [1, 2, 3])
        leader_within(mesh, 3.0)
        check_accepts_changes(mesh)


def test_all_four_members_start_on_their_directories_and_the_learner_remains_one() -> None:
    with control_planes({1: "member-1", 2: "member-2", 3: "member-3", 4: "member-4"}, 4) as mesh:
        launch(mesh, [1, 2, 3, 4])
        leader_within(mesh, 3.0)
        mesh.wait(3.0)
        assert voters(mesh) == {expected(name)["id"] for name in VOTERS}
        check_accepts_changes(mesh)
        learner = get_json(mesh, mesh.core[3], "/Core.Describe")
        assert learner["id"] == expected("member-4")["id"]
        check_all_replicas_agree(mesh)


@pytest.mark.parametrize("new_number", [2, 3])
def test_two_of_three_voters_start_on_their_directories_and_a_new_member_replaces_the_third(
    new_number: int,
) -> None:
    directories = {number: f"member-{number}" for number in (1, 2, 3) if number != new_number}
    with control_planes(directories) as mesh:
        launch(mesh, list(directories))
        leader_within(mesh, 4.0)
        check_nothing_is_lost(mesh)
        launch(mesh, [new_number])
        mesh.wait(6.0)
        ids = {expected(name)["id"] for name in directories.values()}
        assert ids < voters(mesh) and len(voters(mesh)) == 3
        check_accepts_changes(mesh)
        check_all_replicas_agree(mesh)


def test_one_member_starts_alone_on_the_rebuilt_directory_and_leads() -> None:
    with control_planes({1: "rebuilt"}, 1) as mesh:
        launch(mesh, [1])
        leader_within(mesh, 3.0)
        assert voters(mesh) == {expected("rebuilt")["id"]}
        check_nothing_is_lost(mesh)
        check_accepts_changes(mesh)


def test_two_new_members_join_the_rebuilt_one_and_survive_its_loss() -> None:
    with control_planes({1: "rebuilt"}) as mesh:
        launch(mesh, [1])
        leader_within(mesh, 3.0)
        launch(mesh, [2, 3])
        mesh.wait(8.0)
        assert len(voters(mesh)) == 3 and expected("rebuilt")["id"] in voters(mesh)
        check_accepts_changes(mesh)
        mesh.kill(mesh.core[0], silent=True)
        assert leader_within(mesh, 4.0) != mesh.core[0]
        check_accepts_changes(mesh)


def test_the_rebuilt_member_accepts_no_new_claim_before_the_idempotency_window_is_over() -> None:
    with control_planes({1: "rebuilt"}, 1) as mesh:
        launch(mesh, [1])
        leader_within(mesh, 3.0)
        description = get_json(mesh, mesh.core[0], "/Core.Describe")
        assert description["keys-closed"] is True
        mesh.wait(67.5)
        assert get_json(mesh, mesh.core[0], "/Core.Describe")["keys-closed"] is False


# --- what operators' programs read ---


def test_control_planes_describe_themselves_with_the_same_keys_and_values() -> None:
    recorded = EXPECTED["operator_api"]
    with control_planes(dict(enumerate(VOTERS, 1))) as mesh:
        launch(mesh, [1, 2, 3])
        leader = leader_within(mesh, 3.0)
        mesh.wait(0.5)
        description = get_json(mesh, leader, "/Core.Describe")
        assert (
            sorted(description) == recorded["core"]
            and sorted(description["members"][0]) == recorded["member"]
        )
        assert sorted(description["contact"]) == recorded["contact"]["keys"]
        follower = get_json(
            mesh, next(address for address in mesh.core if address != leader), "/Core.Describe"
        )
        assert [description["contact"]["standing"], description["role"]] == [
            *(recorded["contact"]["standing of a leader"], recorded["contact"]["role of a leader"]),
        ]
        assert [follower["contact"]["standing"], follower["role"]] == [
            *(recorded["contact"]["standing of a follower"], recorded["contact"]["role of a follower"]),
        ]
        log = get_json(mesh, leader, "/Core.Log/0")
        assert sorted(log) == recorded["log"]
        entries = {entry["change"]: sorted(entry) for entry in log["entries"]}
        assert entries == recorded["entries by change"]


def test_an_isolated_member_answers_with_the_same_keys_and_values() -> None:
    recorded = EXPECTED["alone"]
    with control_planes({1: "member-1"}) as mesh:
        launch(mesh, [1])
        mesh.wait(3.0)
        description = get_json(mesh, mesh.core[0], "/Core.Describe")
        assert {key: description[key] for key in ("contact", "role", "leader")} == {
            key: recorded[key] for key in ("contact", "role", "leader")
        }
        for call, answer in recorded["answers"].items():
            method, path = call.split()
            headers, body = ({}, b"") if method == "GET" else ({"Cometdoor-Base-Version": "8"}, REPLACEMENT)
            status, fields, text = mesh.run(
                http_request(mesh.core[0], CONTROL_PORT, method, path, headers, body)
            )
            assert [status, fields.get("retry-after"), fields.get("content-type")] == answer[:3], call
            assert set(json.loads(text)) == set(json.loads(answer[3])), call


def test_standings_and_roles_have_the_same_values() -> None:
    assert [contact.value for contact in LeaderContact] == EXPECTED["operator_api"]["standings"]
    assert [role.value for role in Role] == EXPECTED["operator_api"]["roles"]


def test_the_configurations_of_the_fixture_are_those_of_the_test_double() -> None:
    """The configuration resent above is the one that was acknowledged."""
    for _, revision, body in EXPECTED["acknowledged"]["configurations"]:
        assert configuration(revision).hex() == body["hex"]
