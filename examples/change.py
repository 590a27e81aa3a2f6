"""A configuration change that does not undo a concurrent change of another operator.

python -m examples.change 10.0.0.1:8144,10.0.0.2:8144 r-search 2.5
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

from cometdoor.client import Operator


async def set_timeout(operator: Operator, route: str, timeout_s: float) -> int:
    """Set a route's timeout, and return the version that contains it.

    Raises InvalidConfiguration, NoDefiniteResponse, or KeyError if there is no such route.
    """

    def edit(configuration: dict[str, Any]) -> None:
        matching = [
            entry
            for host in configuration.get("hosts", [])
            for entry in host["host-routes"]
            if entry["name"] == route
        ]
        if not matching:
            raise KeyError(route)
        for entry in matching:
            entry["timeout-s"] = timeout_s

    return int((await operator.change(edit))["revision"])


async def main(addresses: str, route: str, timeout_s: str) -> None:
    version = await set_timeout(Operator(addresses.split(",")), route, float(timeout_s))
    print(f"in force with version {version}")


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:4]))
