"""The demo: two services behind one proxy on this machine. Halfway one service's servers freeze."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import uvloop
from rich import box
from rich.console import Console
from rich.live import Live
from rich.table import Table

from standins.load import ClassLoad, End, Load, Try, percentile
from standins.rig import ProxyProcess, Servers, operators_file
from standins.rules import Breach, check

CLASSES = {
    "look": {"effect": "safe", "aim_ms": 200, "deadline_ms": 1000},
    "book": {"effect": "keyed", "aim_ms": 300, "deadline_ms": 1500, "key_ttl_ms": 30000, "worth": 10},
    "charge": {"effect": "unsafe", "aim_ms": 400, "deadline_ms": 1500, "worth": 10},
}
LOADS = {
    "search": [ClassLoad("search", "look", "safe", 250.0, "search.example.org", "/look/1", retries=0)],
    "reserve": [
        ClassLoad("reserve", "book", "keyed", 120.0, "reserve.example.org", "/book/1", 1.5, retries=0),
        ClassLoad("reserve", "charge", "unsafe", 60.0, "reserve.example.org", "/charge/1", 1.5, retries=0),
    ],
}
FROZEN = "search"
FROM, UNTIL = 0.35, 0.7  # of the time that the demo takes
FRAME_S = 0.25
VIEW_S = 2.0  # the live view shows what ended in so many last seconds


def row(name: str, tries: Sequence[Try], broken: Sequence[Breach] | None) -> list[str]:
    served = [one for one in tries if one.was_served]
    refused = sum(one.was_refused for one in tries)
    times = [one.seconds * 1000.0 for one in served]
    return [
        name,
        f"{len(tries)}",
        f"{len(served)}",
        f"{refused}",
        f"{len(tries) - len(served) - refused}",
        f"{percentile(times, 0.5):.1f}",
        f"{percentile(times, 0.99):.1f}",
        "" if broken is None else "kept" if not broken else f"[red]{len(broken)} broken",
    ]


def table(title: str, rows: Sequence[list[str]], rules: bool) -> Table:
    made = Table(title=title, title_justify="left", box=box.SIMPLE)
    for place, head in enumerate(
        ("service", "asked", "served", "refused", "failed", "p50 ms", "p99 ms", "rules")
    ):
        if rules or head != "rules":
            made.add_column(head, justify="left" if place == 0 else "right", no_wrap=True)
    for cells in rows:
        made.add_row(*cells[: None if rules else -1])
    return made


class Demo:
    def __init__(self, seconds: float, console: Console) -> None:
        self.seconds = seconds
        self.console = console
        self.servers = Servers()
        self.ended: list[Try] = []
        self.frozen_at = self.thawed_at = float("inf")

    async def run(self, plain: bool) -> int:
        with tempfile.TemporaryDirectory() as folder:
            await self.servers.start()
            try:
                addresses = {name: await self.servers.add(name, 3, 4.0) for name in LOADS}
                file = Path(folder) / "services.toml"
                file.write_text(operators_file(addresses, CLASSES))
                proxy = await ProxyProcess(file).start()
                try:
                    return await self._play(proxy, plain)
                finally:
                    await proxy.stop()
            finally:
                await self.servers.stop()

    async def _play(self, proxy: ProxyProcess, plain: bool) -> int:
        loads = {
            name: Load(proxy.address, classes, place, name, self.ended.append)
            for place, (name, classes) in enumerate(LOADS.items())
        }
        script = asyncio.ensure_future(self._script())
        view = asyncio.ensure_future(self._show()) if not plain else None
        books = dict(
            zip(
                loads, await asyncio.gather(*(load.run(self.seconds) for load in loads.values())), strict=True
            )
        )
        await script
        if view is not None:
            await view
        rows, sound = [], True
        for name, book in books.items():
            broken = check(book, await self.servers.ledger(name))
            sound = sound and not broken
            rows.append(row(name, book.tries, broken))
            during = [one for one in book.tries if self.frozen_at <= one.sent_at < self.thawed_at]
            rows.append(row(f"  {FROZEN} frozen", during, None))
            for breach in broken[:5]:
                self.console.print(f"rule {breach.rule}: {breach.text}")
        self.console.print(
            table(
                f"{self.seconds:g} s, the servers of {FROZEN} frozen from "
                f"{FROM * self.seconds:.1f} to {UNTIL * self.seconds:.1f} s",
                rows,
                True,
            )
        )
        return 0 if sound and all(one.end is not End.LOST for one in self.ended) else 1

    async def _script(self) -> None:
        await asyncio.sleep(FROM * self.seconds)
        self.frozen_at = time.monotonic()
        await self.servers.order("freeze", FROZEN)
        await asyncio.sleep((UNTIL - FROM) * self.seconds)
        await self.servers.order("thaw", FROZEN)
        self.thawed_at = time.monotonic()

    async def _show(self) -> None:
        began = time.monotonic()
        with Live(console=self.console, auto_refresh=False, transient=True) as live:
            while (past := time.monotonic() - began) < self.seconds:
                since = time.monotonic() - VIEW_S
                recent = [one for one in self.ended[-4000:] if one.ended_at >= since]
                state = "frozen" if self.frozen_at < time.monotonic() < self.thawed_at else "well"
                rows = [row(name, [one for one in recent if one.service == name], None) for name in LOADS]
                live.update(
                    table(
                        f"{past:4.1f} of {self.seconds:g} s; the servers of {FROZEN} are {state}; "
                        f"the last {VIEW_S:g} s:",
                        rows,
                        False,
                    ),
                    refresh=True,
                )
                await asyncio.sleep(FRAME_S)


def run(seconds: float, plain: bool) -> int:
    """0: all rules were kept."""
    return uvloop.run(Demo(seconds, Console()).run(plain))
