"""Program `cometdoor serve FILE`: serves until SIGTERM or SIGINT, and reloads the files at SIGHUP."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from cometdoor.host.settings_validation import SettingsError
from cometdoor.http.graceful_shutdown import configure_garbage_collector, drain_and_stop
from cometdoor.services.service_manager import ServiceManager
from cometdoor.services.settings import Settings, load_settings

if TYPE_CHECKING:
    # Imported at run time only if there is a forwarders' file, since the platform charges start-up time.
    from cometdoor.planning.transport import PlannerTransports

log = logging.getLogger(__name__)


class Reloader:
    """Reloads the operators' files while services run, one reload at a time.

    Requests that arrive during a reload are combined into one further reload.

    Parameters
    ----------
    path
        The services' file.
    services
        The running services.
    stopping
        Set when the process shuts down; from then on nothing is reloaded.
    planning
        The forwarders' file, if there is one; only its keys are reloaded.
    """

    def __init__(
        self, path: Path, services: ServiceManager, stopping: asyncio.Event, planning: Path | None = None
    ) -> None:
        self._path = path
        self._planning = planning
        self._services = services
        self._stopping = stopping
        self._reload_requested = False
        self._task: asyncio.Task[None] | None = None

    def request_reload(self) -> None:
        """Reload the files, now or after the reload in progress; handler of SIGHUP."""
        if self._stopping.is_set():
            log.info("shutting down: the file is not read again")
            return
        self._reload_requested = True
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._reload())

    async def _reload(self) -> None:
        try:
            while self._reload_requested and not self._stopping.is_set():
                self._reload_requested = False
                # In a thread: a large file takes tens of milliseconds to read and check.
                settings = await asyncio.to_thread(self._load)
                if settings is not None and not self._stopping.is_set():
                    self._apply(settings)
                if self._planning is not None and self._services.planner_transports is not None:
                    self._read_keys(self._planning, self._services.planner_transports)
        finally:
            self._task = None

    def _load(self) -> Settings | None:
        try:
            return load_settings(self._path)
        except SettingsError as problem:
            _log_problems(problem)
            log.error("%d problems; the current configuration stays in force", len(problem.problems))
            return None

    @staticmethod
    def _read_keys(path: Path, planner_transports: PlannerTransports) -> None:
        from cometdoor.planning.settings import load_forwarders

        try:
            file, keys = load_forwarders(path)
        except SettingsError as problem:
            _log_problems(problem)
            log.error("%d problems; the current keys stay in use", len(problem.problems))
            return
        planner_transports.change_keys(keys)
        if (file.forwarder, file.service) != (
            planner_transports.file.forwarder,
            planner_transports.file.service,
        ):
            log.warning(
                "%s: settings other than the keys have changed; they apply only after a restart", path
            )

    def _apply(self, settings: Settings) -> None:
        started_at = asyncio.get_running_loop().time()
        try:
            reload_plan = self._services.apply(settings)
        except Exception:
            # The configuration passed validation, but an instance could not be created from it.
            log.exception("the new configuration could not be applied; the current one stays in force")
            return
        elapsed_ms = (asyncio.get_running_loop().time() - started_at) * 1000.0
        if reload_plan.requires_restart:
            log.warning(
                "these settings have changed and apply only after a restart: %s",
                ", ".join(reload_plan.requires_restart),
            )
        log.info("applied in %.1f ms: %s", elapsed_ms, reload_plan.describe())


def _log_problems(error: SettingsError) -> None:
    for problem in error.problems:
        log.error("invalid settings: %s", problem)


async def serve(
    path: Path,
    settings: Settings,
    planning: Path | None = None,
    planner_transports: Callable[[asyncio.AbstractEventLoop], PlannerTransports] | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT, then drain.

    Parameters
    ----------
    path, settings
        The services' file, and its content as read at the start.
    planning
        The forwarders' file, if there is one.
    planner_transports
        Creates the transports to the planners that the file names.

    Raises
    ------
    OSError
        An address can't be listened on.
    """
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    services = ServiceManager(
        settings, loop, planner_transports(loop) if planner_transports is not None else None
    )
    loop.add_signal_handler(signal.SIGHUP, Reloader(path, services, stopping, planning).request_reload)
    await services.start()
    configure_garbage_collector()
    addresses = [services.frontend.address(index) for index in range(len(settings.listener))]
    log.info(
        "serves %d services on %s",
        len(services.running),
        ", ".join(f"{host}:{port}" for host, port in addresses),
    )
    await stopping.wait()
    await drain_and_stop(services.frontend, services, services.longest_deadline_s())
    services.stop()
    log.info("stopped")
