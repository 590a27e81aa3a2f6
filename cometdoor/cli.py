"""The operators' command line."""

from __future__ import annotations

import sys
from collections.abc import Sequence


def main(arguments: Sequence[str]) -> int:
    print(f"cometdoor: no command {arguments[0]!r}", file=sys.stderr)
    return 2
