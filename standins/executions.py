"""Executions at backends, and which of them break the rule on keys."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import combinations


@dataclass(frozen=True)
class Execution:
    """One execution at a backend; `key` is empty for a request without one, the time is monotonic."""

    attempt: str
    key: str
    started_at: float


def find_repeated_executions(
    executions: Iterable[Execution], sent_at: Mapping[str, float], window_s: float
) -> list[str]:
    """Return each pair of executions of a key within its window, by either reading of that.

    Within it are requests that were sent less than a window apart, and an execution that starts less than a
    window after the request of an earlier execution was sent. `sent_at`: when clients sent their attempts, by
    id; one without an entry counts as sent when it was executed.
    """
    by_key: dict[str, list[Execution]] = defaultdict(list)
    for execution in executions:
        if execution.key:
            by_key[execution.key].append(execution)
    problems = []
    for first, second in (pair for same in by_key.values() for pair in combinations(same, 2)):
        first_sent_at = sent_at.get(first.attempt, first.started_at)
        sent_apart_s = abs(sent_at.get(second.attempt, second.started_at) - first_sent_at)
        run_after_s = second.started_at - first_sent_at
        if min(sent_apart_s, run_after_s) < window_s:
            problems.append(
                f"executed twice: {first.key}, sent {sent_apart_s:.2f} s apart, the second time"
                f" {run_after_s:.2f} s after the first was sent ({first.attempt}, {second.attempt})"
            )
    return problems
