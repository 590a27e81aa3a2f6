"""Demo: two services behind one proxy on this machine; the servers of one service freeze for a while."""

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

from standins.load_generator import ClassLoad, ClientAttempt, ClientOutcome, LoadGenerator, percentile
from standins.processes import ProxyProcess, ServerProcess, services_file
from standins.rules import RuleViolation, check_rules

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
FROZEN_SERVICE = "search"
FREEZE_START_SHARE, FREEZE_END_SHARE = 0.35, 0.7  # of the demo's duration
REFRESH_INTERVAL_S = 0.25
VIEW_WINDOW_S = 2.0  # the live view counts requests that ended within this time


def row(
    name: str, attempts: Sequence[ClientAttempt], violations: Sequence[RuleViolation] | None
) -> list[str]:
    served = [attempt for attempt in attempts if attempt.was_served]
    rejected = sum(attempt.was_rejected for attempt in attempts)
    times = [attempt.seconds * 1000.0 for attempt in served]
    return [
        name,
        f"{len(attempts)}",
        f"{len(served)}",
        f"{rejected}",
        f"{len(attempts) - len(served) - rejected}",
        f"{percentile(times, 0.5):.1f}",
        f"{percentile(times, 0.99):.1f}",
        "" if violations is None else "kept" if not violations else f"[red]{len(violations)} broken",
    ]


def table(title: str, rows: Sequence[list[str]], rules: bool) -> Table:
    summary = Table(title=title, title_justify="left", box=box.SIMPLE)
    for index, column in enumerate(
        ("service", "sent", "served", "refused", "failed", "p50 ms", "p99 ms", "rules")
    ):
        if rules or column != "rules":
            summary.add_column(column, justify="left" if index == 0 else "right", no_wrap=True)
    for cells in rows:
        summary.add_row(*cells[: None if rules else -1])
    return summary


class Demo:
    """Runs servers, a proxy and load, and prints a table of the results."""

    def __init__(self, seconds: float, console: Console) -> None:
        self.seconds = seconds
        self.console = console
        self.servers = ServerProcess()
        self.ended_attempts: list[ClientAttempt] = []
        self.frozen_at = self.thawed_at = float("inf")

    async def run(self, plain: bool) -> int:
        with tempfile.TemporaryDirectory() as folder:
            await self.servers.start()
            try:
                addresses = {name: await self.servers.start_servers(name, 3, 4.0) for name in LOADS}
                file = Path(folder) / "services.toml"
                file.write_text(services_file(addresses, CLASSES))
                proxy = await ProxyProcess(file).start()
                try:
                    return await self._run_load(proxy, plain)
                finally:
                    await proxy.stop()
            finally:
                await self.servers.stop()

    async def _run_load(self, proxy: ProxyProcess, plain: bool) -> int:
        loads = {
            name: LoadGenerator(proxy.address, classes, index, name, self.ended_attempts.append)
            for index, (name, classes) in enumerate(LOADS.items())
        }
        fault_task = asyncio.ensure_future(self._freeze_and_thaw())
        live_view = asyncio.ensure_future(self._show_live_view()) if not plain else None
        client_logs = dict(
            zip(
                loads, await asyncio.gather(*(load.run(self.seconds) for load in loads.values())), strict=True
            )
        )
        await fault_task
        if live_view is not None:
            await live_view
        rows, all_rules_kept = [], True
        for name, client_log in client_logs.items():
            violations = check_rules(client_log, await self.servers.request_log(name))
            all_rules_kept = all_rules_kept and not violations
            rows.append(row(name, client_log.attempts, violations))
            attempts_while_frozen = [
                attempt
                for attempt in client_log.attempts
                if self.frozen_at <= attempt.sent_at < self.thawed_at
            ]
            rows.append(row(f"  {FROZEN_SERVICE} frozen", attempts_while_frozen, None))
            for violation in violations[:5]:
                self.console.print(f"rule {violation.rule}: {violation.text}")
        self.console.print(
            table(
                f"{self.seconds:g} s, the servers of {FROZEN_SERVICE} frozen from "
                f"{FREEZE_START_SHARE * self.seconds:.1f} to {FREEZE_END_SHARE * self.seconds:.1f} s",
                rows,
                True,
            )
        )
        return (
            0
            if all_rules_kept
            and all(attempt.outcome is not ClientOutcome.CONNECTION_LOST for attempt in self.ended_attempts)
            else 1
        )

    async def _freeze_and_thaw(self) -> None:
        await asyncio.sleep(FREEZE_START_SHARE * self.seconds)
        self.frozen_at = time.monotonic()
        await self.servers.command("freeze", FROZEN_SERVICE)
        await asyncio.sleep((FREEZE_END_SHARE - FREEZE_START_SHARE) * self.seconds)
        await self.servers.command("thaw", FROZEN_SERVICE)
        self.thawed_at = time.monotonic()

    async def _show_live_view(self) -> None:
        started_at = time.monotonic()
        with Live(console=self.console, auto_refresh=False, transient=True) as live:
            while (elapsed_s := time.monotonic() - started_at) < self.seconds:
                since = time.monotonic() - VIEW_WINDOW_S
                recent = [attempt for attempt in self.ended_attempts[-4000:] if attempt.ended_at >= since]
                state = "frozen" if self.frozen_at < time.monotonic() < self.thawed_at else "healthy"
                rows = [
                    row(name, [attempt for attempt in recent if attempt.service == name], None)
                    for name in LOADS
                ]
                live.update(
                    table(
                        f"{elapsed_s:4.1f} of {self.seconds:g} s; the servers of {FROZEN_SERVICE} are "
                        f"{state}; "
                        f"the last {VIEW_WINDOW_S:g} s:",
                        rows,
                        False,
                    ),
                    refresh=True,
                )
                await asyncio.sleep(REFRESH_INTERVAL_S)


def run(seconds: float, plain: bool) -> int:
    """Run the demo; return 0 if all rules were kept."""
    return uvloop.run(Demo(seconds, Console()).run(plain))
