"""Output of benchmarks: progress, and the JSON object in the last line."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from statistics import median

import orjson

__all__ = ["median", "print_progress", "report"]


def print_progress(text: str) -> None:
    print(text, flush=True)


def report(figures: Mapping[str, float | int | str]) -> None:
    rounded = {key: round(value, 4) if isinstance(value, float) else value for key, value in figures.items()}
    sys.stdout.write(orjson.dumps(rounded).decode() + "\n")
