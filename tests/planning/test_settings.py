"""The files of planners and forwarders: all errors are reported at once, each with its location."""

from __future__ import annotations

from pathlib import Path

import pytest

from cometdoor.cli import proxy_commands
from cometdoor.host.settings_validation import SettingsError
from cometdoor.planning.framing import FrameDecoder, FrameError, encode_frame
from cometdoor.planning.sealed_messages import MAX_MESSAGE_BYTES
from cometdoor.planning.settings import load_forwarders, load_planners

DEPLOY = Path(__file__).parents[2] / "deploy"


def write_settings(folder: Path, text: str, key: str = "ab" * 32) -> Path:
    (folder / "notes.key").write_text(key)
    (folder / "file.toml").write_text(text)
    return folder / "file.toml"


KEYS = '[keys]\nseal_with = 1\n[[keys.known]]\nnumber = 1\nfile = "notes.key"\n'
PLANNERS = (
    KEYS + '[planner]\nnumber = 0\nplanners = 1\n[[fleet]]\nservice = "a"\nlisten = "127.0.0.1:0"\n'
    "forwarders = 5\n"
)
FORWARDERS = KEYS + '[forwarder]\nnumber = 3\n[[service]]\nname = "a"\nplanners = ["127.0.0.1:7946"]\n'


@pytest.mark.parametrize(
    ("name", "expected_text"),
    [("planners", "planner 0 of 3, 1 fleets, 1 keys"), ("forwarders", "forwarder 7, 1 services, 1 keys")],
)
def test_the_example_files_are_valid(
    name: str, expected_text: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert proxy_commands.main(["check", str(DEPLOY / f"{name}.example.toml")]) == 0
    assert expected_text in capsys.readouterr().out


def test_files_are_read(tmp_path: Path) -> None:
    planners, keys = load_planners(write_settings(tmp_path, PLANNERS))
    assert planners.fleet[0].slow_start is None and keys.known == {1: b"\xab" * 32} and keys.current == 1
    forwarders, _ = load_forwarders(write_settings(tmp_path, FORWARDERS))
    assert forwarders.service[0].addresses() == [("127.0.0.1", 7946)]


def test_all_errors_of_a_planners_file_are_reported(tmp_path: Path) -> None:
    path = write_settings(
        tmp_path,
        """
[planner]
number = 2
planners = 2
status = "nowhere"
[keys]
seal_with = 4
[[keys.known]]
number = 1
file = "notes.key"
[[keys.known]]
number = 1
file = "notes.key"
[[fleet]]
service = "a"
listen = "127.0.0.1"
forwarders = 5
[[fleet]]
service = "a"
listen = "127.0.0.1:7946"
forwarders = 5
""",
    )
    with pytest.raises(SettingsError) as caught:
        load_planners(path)
    assert [problem.path for problem in caught.value.problems] == [
        "keys.known.1.number",
        "keys.seal_with",
        "planner.number",
        "planner.status",
        "fleet.0.listen",
        "fleet.1.service",
    ]


def test_all_errors_of_a_forwarders_file_are_reported(tmp_path: Path) -> None:
    path = write_settings(
        tmp_path,
        """
[forwarder]
number = 70000
colour = "red"
[keys]
seal_with = 1
[[keys.known]]
number = 256
[[service]]
name = "a b"
planners = "127.0.0.1:7946"
transport = "smoke"
""",
    )
    with pytest.raises(SettingsError) as caught:
        load_forwarders(path)
    assert {problem.path for problem in caught.value.problems} == {
        "forwarder.number",
        "forwarder.colour",
        "keys.known.0.number",
        "keys.known.0.file",
        "service.0.name",
        "service.0.planners",
        "service.0.transport",
    }


def test_missing_or_duplicate_planners_are_rejected(tmp_path: Path) -> None:
    for planners, path in (
        ([], "service.0.planners"),
        (["127.0.0.1:1"] * 2, "service.0.planners.1"),
        (["x"], "service.0.planners.0"),
    ):
        text = FORWARDERS.replace('["127.0.0.1:7946"]', repr(planners))
        with pytest.raises(SettingsError) as caught:
            load_forwarders(write_settings(tmp_path, text))
        assert [problem.path for problem in caught.value.problems] == [path]


@pytest.mark.parametrize("key", ["", "ab", "xyz" * 12, "ab" * 40])
def test_an_invalid_key_is_named_and_not_shown(tmp_path: Path, key: str) -> None:
    with pytest.raises(SettingsError) as caught:
        load_planners(write_settings(tmp_path, PLANNERS, key))
    (problem,) = caught.value.problems
    assert problem.path == "keys.known.0.file" and "notes.key" in problem.text
    assert not key or key not in str(problem)


def test_a_missing_key_file_is_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = write_settings(tmp_path, FORWARDERS)
    (tmp_path / "notes.key").unlink()
    assert proxy_commands.main(["check", str(path)]) == 2
    assert "keys.known.0.file" in capsys.readouterr().err


def test_a_forwarders_file_for_an_unknown_service_is_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_settings(tmp_path, FORWARDERS)
    services = str(DEPLOY / "services.example.toml")
    assert proxy_commands.main(["serve", services, "--planning", str(path)]) == 2
    assert "has no service a" in capsys.readouterr().err


def test_a_missing_or_unreachable_status_page_is_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_settings(tmp_path, PLANNERS)
    assert proxy_commands.main(["planner", "status", str(path)]) == 2
    assert "planner.status: missing" in capsys.readouterr().err
    path = write_settings(tmp_path, PLANNERS.replace("planners = 1", 'planners = 1\nstatus = "127.0.0.1:1"'))
    assert proxy_commands.main(["planner", "status", str(path)]) == 1


# --- framing ---


def test_frames_are_decoded_however_the_stream_is_split() -> None:
    messages = [bytes([size]) * size for size in (1, 7, 200)] + [b"z" * MAX_MESSAGE_BYTES]
    stream = b"".join(map(encode_frame, messages))
    for step in (1, 3, 100, len(stream)):
        decoder = FrameDecoder()
        decoded = [
            message
            for offset in range(0, len(stream), step)
            for message in decoder.feed(stream[offset : offset + step])
        ]
        assert decoded == messages


@pytest.mark.parametrize("head", [b"\0\0", (MAX_MESSAGE_BYTES + 1).to_bytes(2), b"\xff\xff"])
def test_a_frame_with_an_impossible_length_raises(head: bytes) -> None:
    decoder = FrameDecoder()
    with pytest.raises(FrameError):
        list(decoder.feed(encode_frame(b"good") + head))
