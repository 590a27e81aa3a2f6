"""A network of hosts and servers in virtual time; one seed always gives the same history."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from cometdoor.balancing.api import Outcome
from cometdoor.host.address import Address
from cometdoor.host.attempt_outcome import (
    AttemptResult,
    AttemptStage,
    FailureKind,
    result_of_failure,
    result_of_response,
)
from simulation.timers import TimerQueue, VirtualTimer
from standins.server_model import Call, Reply, ServerModel


class VirtualClock:
    """A `cometdoor.host.clock.Clock` in virtual time, in milliseconds; it starts at 1,000 s."""

    def __init__(self) -> None:
        self._timers = TimerQueue(1_000_000.0)

    def now_ms(self) -> float:
        """Return the time in ms."""
        return self._timers.now

    def now(self) -> float:
        """Return the time in seconds, the unit of the stand-in servers."""
        return self._timers.now / 1000.0

    def call_at(self, due_ms: float, call: Callable[[], None]) -> VirtualTimer:
        """Schedule a call for `due_ms`."""
        return self._timers.schedule(due_ms, call)

    def after(self, ms: float, call: Callable[[], None]) -> VirtualTimer:
        """Schedule a call `ms` from now."""
        return self._timers.schedule(self._timers.now + ms, call)

    def run(self, until_ms: float, after_each: Callable[[], None] | None = None) -> None:
        """Make all calls that are due until `until_ms`; `after_each` is called after each of them."""
        self._timers.run_until(until_ms, after_each)


@dataclass(slots=True)
class Faults:
    """Faults of the network between a host and its servers.

    TCP keeps the order within a connection and loses nothing silently; messages on different
    connections may arrive in any order.
    """

    delay_ms: tuple[float, float] = (0.1, 3.0)
    late_share: float = 0.02  # of messages, delayed by up to late_ms more
    late_ms: float = 200.0
    connect_failure_share: float = 0.0
    break_before_write_share: float = 0.0  # of connections that break before the request is written
    break_after_write_share: float = 0.0  # of connections that break after it, before the response arrives
    no_response_share: float = 0.0  # of connections that stop carrying data in one direction


class VirtualServer:
    """A server model (`standins.server_model`) in virtual time."""

    def __init__(self, model: ServerModel, clock: VirtualClock) -> None:
        self.model = model
        self._clock = clock
        self._reply_callbacks: dict[Call, Callable[[Reply], None]] = {}
        self._timer: VirtualTimer | None = None

    def arrive(self, request: str, key: str, reply_to: Callable[[Reply], None]) -> Call:
        now = self._clock.now()
        call, reply = self.model.arrive(now, request, key, now)
        if reply is not None:
            reply_to(reply)
        else:
            self._reply_callbacks[call] = reply_to
            self.process_due()
        return call

    def abandon(self, call: Call) -> None:
        self._reply_callbacks.pop(call, None)
        self.model.abandon(self._clock.now(), call)
        self.process_due()

    def freeze(self) -> None:
        self.model.freeze(self._clock.now())

    def thaw(self) -> None:
        self.model.thaw(self._clock.now())
        self.process_due()

    def restart(self) -> None:
        self.model.restart(self._clock.now())
        callbacks, self._reply_callbacks = self._reply_callbacks, {}
        for reply_to in callbacks.values():
            reply_to(Reply(0))

    def process_due(self) -> None:
        for call, reply in self.model.advance(self._clock.now()):
            reply_to = self._reply_callbacks.pop(call, None)
            if reply_to is not None and not self.model.drops_response():
                reply_to(reply)
        if self._timer is not None:
            self._timer.cancel()
        due = self.model.next_due()
        # A little later, since the conversion of milliseconds to seconds may round to just before the due
        # time.
        self._timer = None if due is None else self._clock.call_at(due * 1000.0 + 0.001, self.process_due)


class VirtualAttempt:
    """An attempt on the simulated network: `cometdoor.host.interfaces.AttemptHandle`."""

    def __init__(self, network: Network, done: Callable[[AttemptResult, Reply | None], None]) -> None:
        self._network = network
        self._done: Callable[[AttemptResult, Reply | None], None] | None = done
        self.is_written = False
        self.is_abandoned = False  # no response reaches the host any more
        self.call: Call | None = None
        self.server: VirtualServer | None = None

    def stage(self) -> AttemptStage:
        return AttemptStage.WRITTEN if self.is_written else AttemptStage.CONNECTING

    def abort(self) -> None:
        self.is_abandoned, self._done = True, None
        if self.server is not None and self.call is not None:
            server, call = self.server, self.call
            self._network.after_delay(lambda: server.abandon(call))

    def finish(self, result: AttemptResult, reply: Reply | None = None) -> None:
        done, self._done = self._done, None
        if done is not None:
            done(result, reply)


class Network:
    """Servers by address, and the connections to them."""

    def __init__(self, clock: VirtualClock, random: Random, faults: Faults) -> None:
        self.clock = clock
        self.random = random
        self.faults = faults
        self.servers: dict[Address, VirtualServer] = {}
        self.down_addresses: set[Address] = set()

    def delay_ms(self) -> float:
        extra_ms = self.faults.late_ms if self.random.random() < self.faults.late_share else 0.0
        return self.random.uniform(*self.faults.delay_ms) + self.random.random() * extra_ms

    def after_delay(self, call: Callable[[], None]) -> None:
        self.clock.after(self.delay_ms(), call)

    def send(
        self, address: Address, request: str, key: str, done: Callable[[AttemptResult, Reply | None], None]
    ) -> VirtualAttempt:
        attempt = VirtualAttempt(self, done)
        faults, draw = self.faults, self.random.random
        if (
            address in self.down_addresses
            or draw() < faults.connect_failure_share
            or draw() < faults.break_before_write_share
        ):
            self.after_delay(
                lambda: attempt.finish(result_of_failure(AttemptStage.CONNECTING, FailureKind.RESET))
            )
            return attempt

        def on_connected() -> None:
            if attempt.is_abandoned:
                return
            attempt.is_written = True
            self.after_delay(on_arrived)

        def on_arrived() -> None:
            """Deliver the request: once completely written, it arrives even if its attempt was abandoned."""
            server = self.servers[address]
            if address in self.down_addresses or draw() < faults.no_response_share:
                return
            call = server.arrive(request, key, on_replied)
            if call.entry.ended_at is None:
                attempt.server, attempt.call = server, call
                if attempt.is_abandoned:
                    self.after_delay(lambda: server.abandon(call))
            if draw() < faults.break_after_write_share:
                self.after_delay(
                    lambda: attempt.finish(result_of_failure(AttemptStage.WRITTEN, FailureKind.RESET))
                )

        def on_replied(reply: Reply) -> None:
            if draw() >= faults.no_response_share:
                self.after_delay(lambda: attempt.finish(read_reply(reply), reply))

        self.after_delay(on_connected)
        return attempt


def read_reply(reply: Reply) -> AttemptResult:
    if not reply.status:
        return result_of_failure(AttemptStage.WRITTEN, FailureKind.RESET)
    if reply.not_executed:
        return result_of_response(Outcome.REJECTED)
    return result_of_response(Outcome.OK if reply.status == 200 else Outcome.ERROR)
