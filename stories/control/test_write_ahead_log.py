"""What the write-ahead log recovers after a power loss, flipped bits or a full disk."""

import os
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

from ward import each, raises, test

from cometdoor.control import write_ahead_log
from cometdoor.control.durable_state import HardState, Identity, LogEntries, Record
from cometdoor.control.write_ahead_log import BLOCK_BYTES, DiskError, WriteAheadLog, recover_log
from cometdoor.wire.log_entries import Claim, LogEntry


def make_entry(index: int) -> LogEntries:
    return LogEntries([LogEntry(index, 1, Claim(f"k{index}", "c" * 600, "holder"))])


def make_log_file(folder: Path, entries: int = 4) -> WriteAheadLog:
    log_file = WriteAheadLog(folder)
    log_file.open()
    log_file.rotate([Identity("me"), HardState(1, "me")])
    for index in range(1, entries + 1):
        log_file.append([make_entry(index)])
    return log_file


def newest_dat_file(folder: Path) -> Path:
    return max(folder.glob("*.dat"))


@test("the next incarnation recovers everything appended without dbm's own index")
def _() -> None:
    with TemporaryDirectory() as name:
        make_log_file(Path(name))
        for index in Path(name).glob("*.dir"):
            index.write_bytes(b"nonsense")
        recovered, _ = recover_log(Path(name))
        assert recovered.durable_state.id == "me" and recovered.durable_state.voted_for == "me"
        assert [entry.index for entry in recovered.durable_state.entries] == [1, 2, 3, 4]


@test("a file truncated at any byte yields all batches before the cut, and no torn one")
def _() -> None:
    with TemporaryDirectory() as name:
        make_log_file(Path(name), 3)
        content = newest_dat_file(Path(name)).read_bytes()
        before = 0
        for size in range(0, len(content) + 1, 97):
            newest_dat_file(Path(name)).write_bytes(content[:size])
            recovered, _ = recover_log(Path(name))
            assert not recovered.is_corrupt
            assert before <= recovered.last_number <= 4
            before = recovered.last_number
            assert [entry.index for entry in recovered.durable_state.entries] == list(
                range(1, recovered.last_number)
            )


@test("a missing write that was never synced is distinguished from one that the disk lost")
def _(hole_is_synced: bool = each(True, False)) -> None:
    with TemporaryDirectory() as name:
        log_file = make_log_file(Path(name), 2)
        offset = log_file.size_bytes
        log_file.append([make_entry(3)])
        if not hole_is_synced:
            log_file._last_synced_number = (
                3  # the fourth batch was not on disk yet when the fifth was written
            )
        log_file.append([make_entry(4)])
        data = bytearray(newest_dat_file(Path(name)).read_bytes())
        data[offset : offset + BLOCK_BYTES] = bytes(BLOCK_BYTES)
        newest_dat_file(Path(name)).write_bytes(bytes(data))
        recovered, _ = recover_log(Path(name))
        assert recovered.is_corrupt is hole_is_synced
        assert recovered.last_number == 3


@test("a flipped bit in any synced batch is detected")
def _() -> None:
    with TemporaryDirectory() as name:
        make_log_file(Path(name), 3)
        content = newest_dat_file(Path(name)).read_bytes()
        for offset in (20, BLOCK_BYTES + 100, 3 * BLOCK_BYTES + 40):
            data = bytearray(content)
            data[offset] ^= 4
            newest_dat_file(Path(name)).write_bytes(bytes(data))
            recovered, _ = recover_log(Path(name))
            assert recovered.is_corrupt or recovered.last_number < 4
            assert [entry.index for entry in recovered.durable_state.entries] == list(
                range(1, max(recovered.last_number, 1))
            )


@test("if the first batch of a new file was never synced, the older file counts")
def _() -> None:
    with TemporaryDirectory() as name:
        make_log_file(Path(name), 2)
        (Path(name) / "log-000002.dat").write_bytes(b"CDL1 torn")
        recovered, newest_number = recover_log(Path(name))
        assert newest_number == 2 and recovered.last_number == 3
        log_file = WriteAheadLog(Path(name))
        log_file.open()
        log_file.rotate([Identity("me")])
        assert [path.name for path in Path(name).glob("*.dat")] == ["log-000003.dat"]


@test("a write that failed for lack of space may be repeated, and counts once")
def _() -> None:
    with TemporaryDirectory() as name:
        log_file = make_log_file(Path(name), 1)
        with mock.patch.object(os, "fsync", side_effect=OSError(28, "No space left on device")):
            with raises(DiskError) as error:
                log_file.append([make_entry(2)])
            assert error.raised.step == "write"
        log_file.append([make_entry(2)])
        log_file.append([make_entry(3)])
        recovered, _ = recover_log(Path(name))
        assert not recovered.is_corrupt
        assert [entry.index for entry in recovered.durable_state.entries] == [1, 2, 3]


@test(
    "the directory is synced before older files are removed, and again before anything rests on the new file"
)
def _() -> None:
    with TemporaryDirectory() as name:
        steps: list[str] = []
        originals = {
            step: getattr(write_ahead_log, step) for step in ("sync_file", "sync_directory", "remove_file")
        }

        def record_step(step: str) -> Callable[[Path], None]:
            def call(path: Path) -> None:
                steps.append(step)
                originals[step](path)

            return call

        make_log_file(Path(name), 2)
        with ExitStack() as stack:
            for step in originals:
                stack.enter_context(mock.patch.object(write_ahead_log, step, record_step(step)))
            log_file = WriteAheadLog(Path(name))
            log_file.open()
            log_file.rotate([Identity("me")])
        log_file.close()
        assert steps == ["sync_file", "sync_directory", "remove_file", "sync_directory"]


@test("writes and new files that fail for long take no space")
def _() -> None:
    with TemporaryDirectory() as name:
        log_file = make_log_file(Path(name), 2)
        before = sum(path.stat().st_size for path in Path(name).glob("*.dat"))
        first_records: list[Record] = [Identity("me"), make_entry(1)]
        with mock.patch.object(write_ahead_log, "sync_file", side_effect=OSError(5, "I/O error")):
            for _ in range(50):
                with raises(DiskError):
                    log_file.append([make_entry(3)])
            after_one = sum(path.stat().st_size for path in Path(name).glob("*.dat"))
            assert after_one <= before + 2 * len(write_ahead_log.encode_batch(1, 1, [make_entry(3)]))
            for _ in range(50):
                with raises(DiskError):
                    log_file.rotate(first_records)
            assert sum(path.stat().st_size for path in Path(name).glob("*.dat")) <= after_one
        log_file.rotate(first_records)
        log_file.close()
        assert len(list(Path(name).glob("*.dat"))) == 1
        assert recover_log(Path(name))[0].durable_state.id == "me"


@test("older files that can't be removed are removed at the next attempt, with the new file unchanged")
def _() -> None:
    with TemporaryDirectory() as name:
        log_file = make_log_file(Path(name), 2)
        first_records: list[Record] = [Identity("me"), make_entry(1)]
        with mock.patch.object(write_ahead_log, "remove_file", side_effect=OSError(28, "No space left")):
            for _ in range(3):
                with raises(DiskError) as error:
                    log_file.rotate(first_records)
                assert error.raised.step == "begin"
        log_file.rotate(first_records)
        log_file.close()
        assert [path.name for path in Path(name).glob("*.dat")] == ["log-000002.dat"]


@test("a disk that lost a synced write counts as corrupt until the new file is complete, whatever fails")
def _() -> None:
    with TemporaryDirectory() as name:
        offset = make_log_file(Path(name), 1).size_bytes
        log_file = make_log_file(Path(name), 4)
        log_file.close()
        data = bytearray(newest_dat_file(Path(name)).read_bytes())
        data[offset : offset + BLOCK_BYTES] = bytes(BLOCK_BYTES)
        newest_dat_file(Path(name)).write_bytes(bytes(data))
        log_file = WriteAheadLog(Path(name))
        assert log_file.open().is_corrupt
        first_records: list[Record] = [Identity("stranger")]
        with (
            mock.patch.object(write_ahead_log, "sync_file", side_effect=OSError(5, "I/O error")),
            raises(DiskError),
        ):
            log_file.rotate(first_records)
        assert recover_log(Path(name))[0].is_corrupt
        log_file.rotate(first_records)
        log_file.close()
        recovered, _ = recover_log(Path(name))
        assert recovered.durable_state.id == "stranger" and not recovered.is_corrupt
