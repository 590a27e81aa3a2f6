"""What stands on a disk after it lost power, bits or room."""

import os
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

from ward import each, raises, test

from cometdoor.control.consensus import Identity, Promise, Stored
from cometdoor.control.vault import BLOCK, DiskError, Vault, read_folder
from cometdoor.wire.messages import Claim, Entry


def an_entry(index: int) -> Stored:
    return Stored([Entry(index, 1, Claim(f"k{index}", "c" * 600, "holder"))])


def a_vault(folder: Path, entries: int = 4) -> Vault:
    vault = Vault(folder)
    vault.open()
    vault.begin([Identity("me"), Promise(1, "me")])
    for index in range(1, entries + 1):
        vault.put([an_entry(index)])
    return vault


def dat(folder: Path) -> Path:
    return max(folder.glob("*.dat"))


@test("what was put is found by the next life, without dbm's own index")
def _() -> None:
    with TemporaryDirectory() as name:
        a_vault(Path(name))
        for index in Path(name).glob("*.dir"):
            index.write_bytes(b"nonsense")
        found, _ = read_folder(Path(name))
        assert found.held.id == "me" and found.held.voted_for == "me"
        assert [entry.index for entry in found.held.entries] == [1, 2, 3, 4]


@test("a file cut at any block or byte holds all values before the cut, and none that is torn")
def _() -> None:
    with TemporaryDirectory() as name:
        a_vault(Path(name), 3)
        whole = dat(Path(name)).read_bytes()
        before = 0
        for size in range(0, len(whole) + 1, 97):
            dat(Path(name)).write_bytes(whole[:size])
            found, _ = read_folder(Path(name))
            assert not found.is_damaged
            assert before <= found.last <= 4
            before = found.last
            assert [entry.index for entry in found.held.entries] == list(range(1, found.last))


@test("a last write that is missing while a later one is there is told from one that was lost")
def _(hole_is_synced: bool = each(True, False)) -> None:
    with TemporaryDirectory() as name:
        vault = a_vault(Path(name), 2)
        place = vault.size
        vault.put([an_entry(3)])
        if not hole_is_synced:
            vault._synced = 3  # the fourth value was not on disk yet when the fifth was written
        vault.put([an_entry(4)])
        data = bytearray(dat(Path(name)).read_bytes())
        data[place : place + BLOCK] = bytes(BLOCK)
        dat(Path(name)).write_bytes(bytes(data))
        found, _ = read_folder(Path(name))
        assert found.is_damaged is hole_is_synced
        assert found.last == 3


@test("a flipped bit in any value that was promised shows")
def _() -> None:
    with TemporaryDirectory() as name:
        a_vault(Path(name), 3)
        whole = dat(Path(name)).read_bytes()
        for place in (20, BLOCK + 100, 3 * BLOCK + 40):
            data = bytearray(whole)
            data[place] ^= 4
            dat(Path(name)).write_bytes(bytes(data))
            found, _ = read_folder(Path(name))
            assert found.is_damaged or found.last < 4
            assert [entry.index for entry in found.held.entries] == list(range(1, max(found.last, 1)))


@test("a new file whose first value never was on disk leaves the older one standing")
def _() -> None:
    with TemporaryDirectory() as name:
        a_vault(Path(name), 2)
        (Path(name) / "log-000002.dat").write_bytes(b"CDL1 torn")
        found, newest = read_folder(Path(name))
        assert newest == 2 and found.last == 3
        vault = Vault(Path(name))
        vault.open()
        vault.begin([Identity("me")])
        assert [path.name for path in Path(name).glob("*.dat")] == ["log-000003.dat"]


@test("a write for which there is no room may be made again, and counts once")
def _() -> None:
    with TemporaryDirectory() as name:
        vault = a_vault(Path(name), 1)
        with mock.patch.object(os, "fsync", side_effect=OSError(28, "No space left on device")):
            with raises(DiskError) as problem:
                vault.put([an_entry(2)])
            assert problem.raised.step == "write"
        vault.put([an_entry(2)])
        vault.put([an_entry(3)])
        found, _ = read_folder(Path(name))
        assert not found.is_damaged
        assert [entry.index for entry in found.held.entries] == [1, 2, 3]
