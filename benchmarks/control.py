"""Control plane: does it retain what it acknowledged, under the worst known faults?

All its checks run side by side in one pool of processes: replicas in all histories
(`benchmarks/replicas.py`), isolated replicas and resent changes (`benchmarks/contact.py`), a second loss
after each kind of repair (`benchmarks/membership.py`), hundreds of changes and power losses
(`benchmarks/catch_up.py`), wrong responses and calls sent twice (`benchmarks/exchange.py`), and how a
configuration reaches 12, 100 and 1,000 processes (`benchmarks/gossip.py`). Each of them can also be run
alone. Times are virtual.

    python -m benchmarks.control [--quick] [--processes COUNT]
"""

from __future__ import annotations

import argparse
import os
from collections.abc import Mapping
from dataclasses import asdict
from multiprocessing import get_context

from benchmarks import catch_up, contact, exchange, gossip, membership, replicas
from benchmarks.report import report


def exchange_figures(examples: int) -> dict[str, int]:
    """Return the exchange's figures, with other names for its planted defects."""
    figures = asdict(exchange.measure(examples))
    planted, detected = figures.pop("planted"), figures.pop("planted_found")
    return {**figures, "exchange_planted": planted, "exchange_planted_found": detected}


def with_sums(figures: Mapping[str, float | int | str]) -> dict[str, float | int | str]:
    """Add the numbers of all defects that were planted and found."""

    def total(ending: str) -> int:
        return sum(int(value) for name, value in figures.items() if name.endswith(ending))

    return {
        **figures,
        "planted": total("_planted"),
        "planted_found": total("_planted_found") + total("mutations_found"),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--processes", type=int, default=os.cpu_count())
    chosen = parser.parse_args()
    quick = chosen.quick
    examples = exchange.QUICK_EXAMPLES if quick else exchange.FULL_EXAMPLES
    with get_context("fork").Pool(chosen.processes) as pool:
        # The jobs that take longest come first.
        gossip_results = pool.map_async(gossip.figures, gossip.SIZES[::-1], chunksize=1)
        exchanges = pool.apply_async(exchange_figures, (examples,))
        running: list[
            catch_up.RunningJobs | contact.RunningJobs | membership.RunningJobs | replicas.RunningJobs
        ] = [
            catch_up.RunningJobs(pool, catch_up.QUICK if quick else catch_up.FULL),
            contact.RunningJobs(pool, contact.QUICK if quick else contact.FULL),
            membership.RunningJobs(pool, membership.QUICK if quick else membership.FULL),
            replicas.RunningJobs(pool, replicas.QUICK if quick else replicas.FULL),
        ]
        figures: dict[str, float | int | str] = {}
        for jobs in running:
            figures |= jobs.figures()
        figures |= exchanges.get()
        figures |= gossip.summarize(gossip_results.get()[::-1])
    report(with_sums(figures))


if __name__ == "__main__":
    main()
