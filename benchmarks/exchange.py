"""HTTP exchanges: is a wrong response given, or a call sent twice, whatever a peer does on any hop?

It checks the code against every cell of the tables in `cometdoor/host/exchange/` with a scripted peer, runs
plans of backends, peers and clients that `hypothesis` generates, and checks that planted defects are found
(`simulation/exchange/`).

    python -m benchmarks.exchange [--quick] [--examples COUNT]
"""

from __future__ import annotations

import argparse
from dataclasses import asdict, dataclass

from benchmarks.report import print_progress, report
from simulation.exchange.expectations import ExchangeViolation
from simulation.exchange.fuzz import HOPS, fuzz
from simulation.exchange.planted_defects import DEFECTS, find_violation
from simulation.exchange.play_tables import play

QUICK_EXAMPLES, FULL_EXAMPLES = 300, 10_000  # of each hop


@dataclass(frozen=True)
class Figures:
    """Counts of checks and violations."""

    exchange_table_cells: int  # possible cells
    exchange_table_impossible: int  # marked as impossible in the table
    exchange_table_cells_played: int  # cells in which the code behaved as the table says
    fuzz_examples: int
    fuzz_broken: int  # hops in which a plan broke an invariant
    planted: int
    planted_found: int


def measure(examples: int = QUICK_EXAMPLES) -> Figures:
    """Run all checks, hop by hop; print every violation."""
    results = play()
    for text in results.violations:
        print_progress(f"WRONG: {text}")
    example_count = broken = 0
    for hop in HOPS:
        try:
            example_count += fuzz(hop, examples)
        except ExchangeViolation as problem:
            broken += 1
            print_progress(f"BROKEN: {hop}: {problem}")
    detected_count = 0
    for name in DEFECTS:
        text = find_violation(name)
        detected_count += bool(text)
        print_progress(f"planted: {name}: {text or 'NOT FOUND'}")
    return Figures(
        results.cells, results.impossible, results.passed, example_count, broken, len(DEFECTS), detected_count
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--examples", type=int, help="of each hop")
    options = parser.parse_args()
    examples = options.examples or (QUICK_EXAMPLES if options.quick else FULL_EXAMPLES)
    report(asdict(measure(examples)))


if __name__ == "__main__":
    main()
