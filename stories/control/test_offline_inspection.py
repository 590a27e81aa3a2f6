"""Offline inspection of a replica's data directory."""

import json
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from ward import raises, test

from cometdoor.control.durable_state import CommitIndex, HardState, Identity, LogEntries
from cometdoor.control.offline_inspection import read_data_directory
from cometdoor.control.write_ahead_log import BLOCK_BYTES, WriteAheadLog
from cometdoor.wire.log_entries import ConfigurationChange, LogEntry, Member, MembershipChange

BODY = b'{"revision": 3, "services": [], "hosts": []}'


def make_data_directory(folder: Path) -> Path:
    """Write the data of a member that knows one configuration in force and a later one that may be."""
    log_file = WriteAheadLog(folder)
    log_file.open()
    log_file.rotate([Identity("me"), HardState(2, "me")])
    log_file.append([LogEntries([LogEntry(1, 1, MembershipChange((Member("me", "a", "c"),)))])])
    log_file.append([LogEntries([LogEntry(2, 2, ConfigurationChange(0, 3, BODY))])])
    log_file.append([LogEntries([LogEntry(3, 2, ConfigurationChange(3, 5, BODY))]), CommitIndex(2)])
    log_file.close()
    return folder


def run_command(*arguments: str) -> tuple[int, str, str]:
    completed = subprocess.run(
        [sys.executable, "-m", "cometdoor", *arguments], capture_output=True, text=True, check=False
    )
    return completed.returncode, completed.stdout, completed.stderr


@test("a configuration in force is distinguished from one that only may be")
def _() -> None:
    with TemporaryDirectory() as name:
        contents = read_data_directory(make_data_directory(Path(name)))
        assert contents.state.revision == 3 and [
            change.revision for change in contents.uncommitted_configurations()
        ] == [5]
        assert contents.members == ("me@a",) and not contents.faults and not contents.warnings


@test("each kind of damage is reported, and a loss of power is not damage")
def _() -> None:
    with TemporaryDirectory() as name:
        path = next(make_data_directory(Path(name)).glob("*.dat"))
        content = path.read_bytes()
        path.write_bytes(content[:-BLOCK_BYTES])  # the last write was not synced
        assert not read_data_directory(Path(name)).faults
        flipped = bytearray(content)
        flipped[2 * BLOCK_BYTES + 60] ^= 4  # in a batch that a later batch shows to be synced
        path.write_bytes(bytes(flipped))
        assert "lost an acknowledged write" in read_data_directory(Path(name)).faults[0]
        with raises(NotADirectoryError):
            read_data_directory(Path(name) / "nowhere")


@test("the commands report in text, in JSON and by their exit status")
def _() -> None:
    with TemporaryDirectory() as name:
        make_data_directory(Path(name))
        status, stdout, _ = run_command("state", "show", name, "--json")
        assert status == 0 and json.loads(stdout)["later-revisions"] == [5]
        status, stdout, stderr = run_command("state", "export", name)
        assert status == 0 and stdout.encode().strip() == BODY and "revision 5" in stderr
        assert run_command("state", "verify", name)[0] == 0
        next(Path(name).glob("*.dat")).write_bytes(b"\0" * 4 * BLOCK_BYTES)
        status, stdout, _ = run_command("state", "verify", name)
        assert status == 1 and "no log file contains a complete batch" in stdout
    assert run_command("state", "show", "/nowhere")[0] == 2
    assert run_command("members", "127.0.0.1:1")[0] == 1


def write_settings(folder: Path, directory: Path) -> Path:
    path = folder / "boot.toml"
    path.write_text(
        'node-name = "n"\nip-address = "127.0.0.1"\nzone = "z"\ninternal-ports = [7380, 7395]\n'
        f'data-directory = "{directory}"\n[listen-addresses]\ncontrol-plane = "127.0.0.1:8144"\n'
    )
    return path


@test("a group is rebuilt from the most up-to-date disk, and uncertain revisions are reported")
def _() -> None:
    with TemporaryDirectory() as name:
        folder = Path(name)
        far = make_data_directory(folder / "far")
        behind = WriteAheadLog(folder / "behind")
        behind.open()
        behind.rotate(
            [Identity("other"), HardState(7, "other"), LogEntries([LogEntry(1, 1, MembershipChange(()))])]
        )
        behind.close()
        settings = str(write_settings(folder, folder / "new"))
        status, stdout, stderr = run_command("state", "rebuild", settings, str(folder / "behind"), str(far))
        assert status == 0 and "configuration 5" in stdout and "far, the furthest of 2" in stdout
        assert "revision 5: kept" in stderr
        rebuilt = read_data_directory(folder / "new")
        assert (
            rebuilt.state.revision == 5
            and rebuilt.durable_state.term == 8
            and rebuilt.state.is_claiming_suspended
        )
        assert (
            len(rebuilt.members) == 1
            and rebuilt.members[0].endswith("@127.0.0.1:7381")
            and not rebuilt.faults
        )
        # And no existing file is overwritten
        assert run_command("state", "rebuild", settings, str(far))[0] == 1
        assert read_data_directory(folder / "new").durable_state.id == rebuilt.durable_state.id


@test("no group is rebuilt from a directory that is damaged or holds no member")
def _() -> None:
    with TemporaryDirectory() as name:
        folder = Path(name)
        settings = str(write_settings(folder, folder / "new"))
        path = next(make_data_directory(folder / "old").glob("*.dat"))
        flipped = bytearray(path.read_bytes())
        flipped[2 * BLOCK_BYTES + 60] ^= 4
        path.write_bytes(bytes(flipped))
        status, _, stderr = run_command("state", "rebuild", settings, str(folder / "old"))
        assert status == 1 and "lost an acknowledged write" in stderr and not (folder / "new").exists()
        (folder / "none").mkdir()
        assert run_command("state", "rebuild", settings, str(folder / "none"))[0] == 1
        assert run_command("state", "rebuild", str(folder / "no.toml"), str(folder / "old"))[0] == 2
        assert run_command("log", "127.0.0.1:1")[0] == 1
