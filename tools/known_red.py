"""Tests that fail for a known fault: KNOWN-RED.txt at the root, one line each, `test | cause | issue`.

A story is named by its description, any other test by its node id. Test runs tolerate the failure of just
these tests, and print them. A listed test that passes fails the run: its line must be removed.
"""

from __future__ import annotations

from pathlib import Path

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red(path: Path = LIST) -> dict[str, str]:
    """Return the listed tests, each with its cause and issue; empty without the file.

    Raises
    ------
    ValueError
        If a line lacks a field.
    """
    if not path.exists():
        return {}
    listed: dict[str, str] = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip():
            continue
        fields = [part.strip() for part in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise ValueError(f"{path.name}:{number}: not of the form 'test | cause | issue'")
        listed[fields[0]] = f"{fields[1]} ({fields[2]})"
    return listed
