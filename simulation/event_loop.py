"""An asyncio event loop in virtual time, with the network of a whole fleet in it.

The programs are the production ones; only transports and timers are replaced. Time passes only when no
callback is ready, so a minute of a fleet takes seconds, and one seed always gives the same history. Each
callback belongs to the process that scheduled it (recorded in a context variable), so a process can be
killed: its callbacks are cancelled, and the other ends of its connections see a reset, or nothing if the
machine has lost power.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import selectors
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from simulation.virtual_transport import (
    CURRENT_PROCESS,
    ONE_WAY_DELAY_S,
    Process,
    VirtualServer,
    VirtualTransport,
)

DISK_SYNC_S = 0.002  # duration of a call in an executor
# A shorter delay could be lost by rounding, and a timer that sets itself again would never end.
MIN_DELAY_S = 1e-9


class Deadlock(Exception):
    """A task waits, but no callback is scheduled that could resume it."""


class _VirtualSelector(selectors.DefaultSelector):
    """A selector that waits by advancing the virtual time."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise Deadlock("a task waits, but no callback is scheduled")
        self._loop.now += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.BaseEventLoop):
    """The event loop of all processes of a fleet, and the network between them."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        # (sender, receiver): pairs of machines between which messages are blocked in this direction.
        self.partitions: set[tuple[str, str]] = set()
        # By machine: bytes per second that it can send to others; a machine without an entry sends at once.
        self.link_bytes_per_s: dict[str, float] = {}
        self._link_free_at: dict[
            str, float
        ] = {}  # by machine: when its link has transmitted everything sent so far
        self._selector = _VirtualSelector(self)
        self._listeners: dict[
            tuple[str, int], tuple[Process, contextvars.Context, Callable[[VirtualTransport], None]]
        ] = {}
        self.unpowered: set[str] = set()  # machines without power, which do not even refuse connections
        self._frozen: dict[Process, list[Any]] = {}  # callbacks of frozen processes, in order
        self.set_task_factory(self._new_task)  # type: ignore[arg-type]

    # --- BaseEventLoop's hooks ---

    def time(self) -> float:
        return self.now

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., Any], *arguments: Any, **options: Any
    ) -> asyncio.TimerHandle:
        return super().call_later(
            max(delay, MIN_DELAY_S) if delay > 0.0 else delay, callback, *arguments, **options
        )

    def _run_once(self) -> None:
        for process in self._frozen:
            self._capture_callbacks(process)
        super()._run_once()  # type: ignore[misc]

    def _process_events(self, events: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def _new_task(
        self, loop: asyncio.AbstractEventLoop, function: Coroutine[Any, Any, Any], **options: Any
    ) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(function, loop=loop, **options)
        process = CURRENT_PROCESS.get()
        process.tasks = [pending_task for pending_task in process.tasks if not pending_task.done()]
        process.tasks.append(task)
        return task

    def run_in_executor(  # type: ignore[override]
        self,
        executor: Any,
        function: Callable[..., Any],
        *arguments: Any,
    ) -> asyncio.Future[Any]:
        future: asyncio.Future[Any] = self.create_future()
        try:
            result = function(*arguments)
        except Exception as problem:
            self.call_later(DISK_SYNC_S, future.set_exception, problem)
        else:
            self.call_later(DISK_SYNC_S, future.set_result, result)
        return future

    def add_reader(  # type: ignore[override]
        self,
        listener: Any,
        call: Callable[..., Any],
        *arguments: Any,
    ) -> None:
        context = contextvars.copy_context()
        listener.wake = lambda: self.call_soon(call, *arguments, context=context)
        listener.wake()

    def remove_reader(self, listener: Any) -> bool:
        listener.wake = lambda: None
        return True

    # --- connections ---

    def delay(self, sender: Process, receiver: Process) -> float:
        return ONE_WAY_DELAY_S if sender.machine != receiver.machine else ONE_WAY_DELAY_S / 10

    def arrival_time(self, sender: Process, receiver: Process, size: int) -> float:
        """Return when `size` bytes that are sent now arrive, after everything their machine sent before."""
        rate = self.link_bytes_per_s.get(sender.machine)
        if rate is None or sender.machine == receiver.machine:
            return self.now + self.delay(sender, receiver)
        free_at = max(self._link_free_at.get(sender.machine, 0.0), self.now) + size / rate
        self._link_free_at[sender.machine] = free_at
        return free_at + self.delay(sender, receiver)

    def is_partitioned(self, sender: str, receiver: str) -> bool:
        return (sender, receiver) in self.partitions

    def listen(self, address: tuple[str, int], on_accept: Callable[[VirtualTransport], None]) -> None:
        if address in self._listeners:
            raise OSError(98, f"{address[0]}:{address[1]} is in use")
        process = CURRENT_PROCESS.get()
        process.listen_addresses.append(address)
        self._listeners[address] = process, contextvars.copy_context(), on_accept

    def unlisten(self, address: tuple[str, int]) -> None:
        self._listeners.pop(address, None)

    async def create_server(  # type: ignore[override]
        self,
        factory: Any,
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> VirtualServer:
        self.listen((host, port), lambda transport: transport.attach(factory()))
        return VirtualServer(self, (host, port))

    async def create_connection(  # type: ignore[override]
        self,
        factory: Any,
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> tuple[VirtualTransport, Any]:
        current = CURRENT_PROCESS.get()
        target = Process(host, "unknown")
        await asyncio.sleep(2 * self.delay(current, target))
        while (
            self.is_partitioned(current.machine, host)
            or self.is_partitioned(host, current.machine)
            or host in self.unpowered
        ):
            await asyncio.sleep(0.05)  # until the connecting side's own timeout
        listener_entry = self._listeners.get((host, port))
        if listener_entry is None:
            raise ConnectionRefusedError(111, f"{host}:{port} refused the connection")
        process, context, on_accept = listener_entry
        local, remote = (
            VirtualTransport(self, current, contextvars.copy_context()),
            VirtualTransport(self, process, context),
        )
        local.peer, remote.peer = remote, local
        protocol = factory()
        local.attach(protocol)
        self.call_soon(on_accept, remote, context=context)
        return local, protocol

    async def connect_accepted_socket(  # type: ignore[override]
        self,
        factory: Any,
        sock: Any,
        **options: Any,
    ) -> Any:
        protocol = factory()
        sock.transport.attach(protocol)
        return sock.transport, protocol

    # --- processes ---

    def run_as(self, process: Process, call: Callable[[], Awaitable[None] | None]) -> None:
        """Run `call` as that process, and everything that it schedules."""
        context = contextvars.copy_context()
        context.run(CURRENT_PROCESS.set, process)
        coroutine = context.run(call)
        if coroutine is not None:
            context.run(self.create_task, coroutine)  # type: ignore[arg-type]

    def freeze(self, process: Process) -> None:
        """Stop a process until it is thawed; connections to it still open, and buffer what they receive."""
        self._frozen[process] = []

    def is_frozen(self, process: Process) -> bool:
        """Return whether a process is frozen."""
        return process in self._frozen

    def _capture_callbacks(self, process: Process) -> None:
        """Move the callbacks of a frozen process from the loop to `_frozen`."""
        ready, scheduled = self._ready, self._scheduled  # type: ignore[attr-defined, has-type]
        captured = [
            handle for handle in [*ready, *scheduled] if handle._context.get(CURRENT_PROCESS) is process
        ]
        if not captured:
            return
        self._frozen[process] += captured
        captured_ids = set(map(id, captured))
        remaining = [handle for handle in ready if id(handle) not in captured_ids]
        ready.clear()
        ready.extend(remaining)
        self._scheduled = [handle for handle in scheduled if id(handle) not in captured_ids]
        heapq.heapify(self._scheduled)

    def thaw(self, process: Process) -> None:
        """Resume a process: it reads what arrived, then its overdue timers fire, as with a selector."""
        ready: Any = self._ready  # type: ignore[attr-defined]
        self._capture_callbacks(process)
        for handle in self._frozen.pop(process):
            if isinstance(handle, asyncio.TimerHandle):
                heapq.heappush(self._scheduled, handle)
            else:
                ready.append(handle)

    def kill(self, process: Process, silent: bool = False) -> None:
        """Kill a process. `silent`: its machine loses power, so connections are not reset."""
        process.is_alive = False
        frozen = self._frozen.pop(process, [])
        handles: list[Any] = [*self._ready, *self._scheduled, *frozen]  # type: ignore[attr-defined]
        for handle in handles:
            if handle._context.get(CURRENT_PROCESS) is process:
                handle.cancel()
        for task in process.tasks:
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        for transport in list(process.transports):
            transport.drop(silent)
        process.transports.clear()
        for address in process.listen_addresses:
            self.unlisten(address)
