"""Plans for all three hops, drawn by `hypothesis`: the same ones in each run."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from simulation.exchange import fuzz_backend, fuzz_client, fuzz_peer

HOPS: dict[str, tuple[st.SearchStrategy[list[Any]], Callable[[list[Any]], None]]] = {
    "backend": (fuzz_backend.plans, fuzz_backend.play),
    "peer call": (fuzz_peer.plans, fuzz_peer.play),
    "client request": (fuzz_client.plans, fuzz_client.play),
}


def fuzz(hop: str, examples: int, is_shrunk: bool = True) -> int:
    """How many plans were played. Raises ExchangeViolation at one that breaks an invariant.

    `is_shrunk`: at the smallest such plan.
    """
    plans, play = HOPS[hop]
    played = 0
    phases = [Phase.generate, Phase.shrink] if is_shrunk else [Phase.generate]

    @settings(
        max_examples=examples,
        derandomize=True,
        database=None,
        deadline=None,
        phases=phases,
        suppress_health_check=list(HealthCheck),
        report_multiple_bugs=False,
    )
    @given(plans)
    def each(plan: list[Any]) -> None:
        nonlocal played
        played += 1
        play(plan)

    each()
    return played
