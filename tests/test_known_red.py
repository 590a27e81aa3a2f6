"""The list of tests that are known to fail: the format of its lines, and which lists are rejected."""

from __future__ import annotations

from pathlib import Path

import pytest

from tools.known_red import LIST, known_red


def test_each_line_gives_a_test_its_cause_and_its_issue(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(
        "tests/test_a.py::test_b | the cause | issue 7\n\na story's sentence | another | issue 8\n"
    )
    assert known_red(path) == {
        "tests/test_a.py::test_b": "the cause (issue 7)",
        "a story's sentence": "another (issue 8)",
    }


def test_without_the_file_no_test_is_passed_over(tmp_path: Path) -> None:
    assert known_red(tmp_path / "KNOWN-RED.txt") == {}


@pytest.mark.parametrize("line", ["a test", "a test | a cause", "a test | | issue 7", " | a cause | issue 7"])
def test_a_line_without_a_part_is_rejected_with_its_number(tmp_path: Path, line: str) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(f"one | cause | issue 1\n{line}\n")
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt:2: "):
        known_red(path)


def test_the_list_of_this_repository_can_be_read() -> None:
    lines = [line for line in LIST.read_text().splitlines() if line.strip()] if LIST.exists() else []
    assert len(known_red(LIST)) == len(lines)
