"""The host of one instance of the decision module: live requests, attempts and the last word.

It knows no protocol and decides nothing. A front hands it a request and the caller that waits for the
answer; a carrier writes attempts and says how they ended. Events go into `Balancer.handle` one at a time,
its actions are carried out in order. What they bring about at once waits in a queue for its turn.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from cometdoor.host.attempt_outcome import End, Reading, Stage, read
from cometdoor.host.clock import Clock, Timer
from jasperhall import Balancer, api
from jasperhall.api import ListKind, Outcome, State

log = logging.getLogger(__name__)

Address = tuple[str, int]

# The client counts from its sending and must have the whole answer when it stops counting: this much
# is kept for the way here and back, and for the loop to get round to it.
MARGIN_MS = 20.0
MARGIN_SHARE = 0.25  # but not more than this share of a very short time
# So much of the margin is left for the module's answer to the time-out of its attempts, before the host
# answers in its place.
LAST_WORD = 0.5
CAP_PAUSE_SHARE = 0.25  # of its aim: as long as the module lets a request wait for room


class Request(Protocol):
    """What the module must know of a request; everything else is the front's own."""

    class_index: int  # place in the settings' classes
    tenant: int
    arrived_at: float  # when its last byte came: seconds on the monotonic clock
    left_ms: float  # that its client waits, counted from then
    cost_ms: float | None
    is_retry: bool


RequestT = TypeVar("RequestT", bound=Request)
AnswerT = TypeVar("AnswerT")
AnswerT_contra = TypeVar("AnswerT_contra", contravariant=True)
AnswerT_co = TypeVar("AnswerT_co", covariant=True)
RequestT_contra = TypeVar("RequestT_contra", contravariant=True)


class Caller(Protocol[AnswerT_contra]):
    """Who waits for an answer. Exactly one of the three is called for each request that it hands over,
    unless it says first that it is gone."""

    def served(self, answer: AnswerT_contra) -> None: ...

    def refused(self, retry_after_ms: float) -> None:
        """Nothing has run, or running again is harmless. 0: nothing is said of when to come back."""

    def failed(self) -> None: ...


class OnWire(Protocol):
    """One attempt that a carrier has taken on."""

    def stage(self) -> Stage:
        """How far it has come."""

    def abort(self) -> None:
        """Nobody waits for it any more; its end is not reported."""


class Carrier(Protocol[RequestT_contra, AnswerT_co]):
    """The way to the servers."""

    def send(
        self,
        server: str,
        address: Address,
        request: RequestT_contra,
        until_ms: float,
        done: Callable[[Reading, AnswerT_co | None], None],
    ) -> OnWire | Outcome:
        """Begin an attempt that is worth nothing after `until_ms` on the host's clock.

        `done` is called once, perhaps before this returns, unless the attempt is aborted first. Where an
        outcome is returned it is not called: not a byte was or will be written.
        """

    def close_idle(self, server: str) -> None: ...

    def retire(self, server: str) -> None:
        """Nothing of what is open to it now is used again; what is under way may end."""


class Observer(Protocol):
    """Hears what happens, and has no say in it."""

    def list_changed(self, event: api.ListChanged) -> None: ...

    def sent(self, server: str, attempt: tuple[str, int], aim_ms: float, now_ms: float) -> None: ...

    def ended(
        self, server: str, attempt: tuple[str, int], outcome: Outcome, aim_ms: float, now_ms: float
    ) -> None:
        """Also of attempts that were not said to be sent."""


@dataclass(frozen=True, slots=True)
class HostSettings:
    module: api.Settings
    seed: int
    may_advise_pause: bool = False  # clients may be told when to come back


class LiveRequest(Generic[RequestT, AnswerT]):
    __slots__ = ("attempts", "caller", "id", "request", "timer", "until")

    def __init__(self, id: str, caller: Caller[AnswerT], request: RequestT, until: float) -> None:
        self.id = id
        self.caller: Caller[AnswerT] | None = caller  # None once nothing is owed to it
        self.request = request
        self.until = until  # when its attempts are over at the latest
        self.attempts: list[Attempt[RequestT, AnswerT]] = []
        self.timer: Timer | None = None  # for the host's own last word

    def is_over(self) -> bool:
        return self.caller is None and all(attempt.ended for attempt in self.attempts)


class Attempt(Generic[RequestT, AnswerT]):
    __slots__ = ("ended", "index", "live", "on_wire", "sent_at", "server", "timer", "until")

    def __init__(
        self, live: LiveRequest[RequestT, AnswerT], index: int, server: str, sent_at: float, until: float
    ) -> None:
        self.live = live
        self.index = index
        self.server = server
        self.sent_at = sent_at
        self.until = until
        self.ended = False
        self.on_wire: OnWire | None = None
        self.timer: Timer | None = None


class Host(Generic[RequestT, AnswerT]):
    def __init__(
        self,
        settings: HostSettings,
        clock: Clock,
        carrier: Carrier[RequestT, AnswerT],
        *,
        watch: Callable[[], None] = lambda: None,
        over: Callable[[RequestT], None] = lambda request: None,
        load_of: Callable[[AnswerT], Mapping[str, float]] = lambda answer: {},
    ) -> None:
        """`watch` carries out the module's wish to ask for the list; `over` hears of each request of which
        nothing is left, neither an answer owed nor an attempt out; `load_of` finds the load report in an
        answer, where servers give one."""
        self.max_waiting: int | None = None  # requests that may wait to be sent for the first time
        self.observer: Observer | None = None
        self._settings = settings
        self._clock = clock
        self._carrier = carrier
        self._watch = watch
        self._over = over
        self._load_of = load_of
        self._classes = list(settings.module.classes)
        self._balancer = Balancer(settings.module, settings.seed)
        self._requests: dict[str, LiveRequest[RequestT, AnswerT]] = {}
        self._by_caller: dict[Caller[AnswerT], LiveRequest[RequestT, AnswerT]] = {}
        self._waiting = 0  # requests of which no attempt was made yet
        self._addresses: dict[str, Address] = {}
        self._started_at: dict[str, float] = {}
        self._last_id = 0
        self._events: deque[api.Event] = deque()
        self._handling = False

    @property
    def knows_servers(self) -> bool:
        return bool(self._addresses)

    def open_requests(self) -> int:
        """Requests that are owed an answer."""
        return len(self._by_caller)

    def suspected(self) -> list[str]:
        """The servers that the module gives trials only."""
        return self._balancer.suspected()

    def is_empty(self) -> bool:
        """No answer is owed and no attempt is out."""
        return not self._requests

    # --- events in ---

    def _dispatch(self, event: api.Event) -> None:
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self._balancer.handle(event, self._clock.now_ms())
        except Exception:
            # Guards against losing what a fault in the module touches: its request fails, all else goes on.
            log.exception("the module failed on %s", type(event).__name__)
            if isinstance(event, api.RequestArrived | api.AttemptEnded | api.ClientGone | api.StreamStarted):
                self._abandon(event.request)
            return
        for action in actions:
            self._carry_out(action)

    def add_class(self, cls: api.RequestClass) -> int:
        """Its place."""
        self._classes.append(cls)
        self._dispatch(api.ClassAdded(cls))
        return len(self._classes) - 1

    def tell(self, event: api.Advised | api.Lent | api.BudgetChanged) -> None:
        """What planners advise or lend, or another part of a budget that all share."""
        self._dispatch(event)

    def list_changed(self, event: api.ListChanged, addresses: Mapping[str, Address]) -> None:
        """`addresses`: of the listed servers, by name."""
        if event.kind is not ListKind.FAILED:
            if event.kind is not ListKind.DELTA:
                for name in self._addresses.keys() - {server.name for server in event.servers}:
                    self._forget_server(name)
            for server in event.servers:
                name = server.name
                if (
                    server.state is not State.READY
                    or addresses.get(name) != self._addresses.get(name)
                    or server.started_at != self._started_at.get(name)
                ):
                    self._carrier.retire(name)
                if server.state is State.GONE:
                    self._forget_server(name)
                else:
                    self._addresses[name] = addresses[name]
                    self._started_at[name] = server.started_at
        if self.observer is not None:
            self.observer.list_changed(event)
        self._dispatch(event)

    def _forget_server(self, name: str) -> None:
        self._carrier.retire(name)
        self._addresses.pop(name, None)
        self._started_at.pop(name, None)

    def take(self, caller: Caller[AnswerT], request: RequestT) -> None:
        """A caller has one request open at a time."""
        self._last_id += 1
        left_ms = request.left_ms
        margin = min(MARGIN_MS, MARGIN_SHARE * left_ms)
        until = request.arrived_at * 1000.0 + left_ms - margin
        live = LiveRequest(str(self._last_id), caller, request, until)
        self._requests[live.id] = self._by_caller[caller] = live
        self._waiting += 1
        live.timer = self._clock.at(until + margin * LAST_WORD, lambda: self._out_of_time(live))
        self._dispatch(
            api.RequestArrived(
                live.id,
                request.class_index,
                max(until - self._clock.now_ms(), 0.0),
                request.tenant,
                request.cost_ms,
                request.is_retry,
            )
        )
        if self.max_waiting is not None and self._waiting > self.max_waiting:
            self._refuse_unsent(live)

    def refuse_waiting(self) -> None:
        """Of all requests that no attempt was made of."""
        for live in list(self._by_caller.values()):
            self._refuse_unsent(live)

    def _refuse_unsent(self, live: LiveRequest[RequestT, AnswerT]) -> None:
        """Nothing was sent for it: a refusal is harmless, and at once is better than late."""
        if live.attempts:
            return
        caller = self._release(live)
        if caller is not None:
            self._dispatch(api.ClientGone(live.id))
            caller.refused(self.pause_ms(live.request))
            self._clean_up(live)

    def caller_gone(self, caller: Caller[AnswerT]) -> None:
        live = self._by_caller.get(caller)
        if live is not None:
            self._release(live)
            self._dispatch(api.ClientGone(live.id))
            self._clean_up(live)

    def _out_of_time(self, live: LiveRequest[RequestT, AnswerT]) -> None:
        """Guards against a request that the module is silent about: its client gets an answer in time."""
        caller = self._release(live)
        if caller is not None:
            caller.failed()
            self._dispatch(api.ClientGone(live.id))
            self._clean_up(live)

    def _release(self, live: LiveRequest[RequestT, AnswerT]) -> Caller[AnswerT] | None:
        """The caller that an answer is still owed to; nothing is, from here on."""
        caller, live.caller = live.caller, None
        if caller is not None:
            if live.timer is not None:
                live.timer.cancel()
                live.timer = None  # it holds the request in turn
            if not live.attempts:
                self._waiting -= 1
            del self._by_caller[caller]
        return caller

    def fail_all(self) -> None:
        """The last word before the program is killed: what is still out fails, and is not lost."""
        for live in list(self._by_caller.values()):
            self._out_of_time(live)

    def _abandon(self, request_id: str) -> None:
        live = self._requests.get(request_id)
        if live is None:
            return
        self._fail(live)
        for attempt in list(live.attempts):
            self._end_attempt(attempt, Outcome.CANCELLED)
        self._clean_up(live)

    # --- actions out ---

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Cancel():
                live = self._requests.get(action.request)
                if live is not None and 0 <= action.attempt < len(live.attempts):
                    self._end_attempt(live.attempts[action.attempt], Outcome.CANCELLED)
            case api.Refuse():
                live = self._requests.get(action.request)
                if live is not None:
                    self._refuse(live, action.retry_after_ms)
            case api.Fail():
                live = self._requests.get(action.request)
                if live is not None:
                    self._fail(live)
                    self._clean_up(live)
            case api.SetTimer():
                token = action.token
                self._clock.at(
                    self._clock.now_ms() + action.after_ms, lambda: self._dispatch(api.TimerFired(token))
                )
            case api.Close():
                self._carrier.close_idle(action.server)
            case api.Watch():
                self._watch()

    def _refuse(self, live: LiveRequest[RequestT, AnswerT], retry_after_ms: float) -> None:
        caller = self._release(live)
        if caller is not None:
            caller.refused(retry_after_ms if self._settings.may_advise_pause else 0.0)
        self._clean_up(live)

    def pause_ms(self, request: RequestT) -> float:
        """When a caller that is refused at a cap may come back: places are free again as requests end, most
        of them well within their aims. 0 where no advice may be given."""
        return CAP_PAUSE_SHARE * self._aim_ms(request) if self._settings.may_advise_pause else 0.0

    def _aim_ms(self, request: RequestT) -> float:
        return self._classes[request.class_index].aim_ms

    def _fail(self, live: LiveRequest[RequestT, AnswerT]) -> None:
        caller = self._release(live)
        if caller is not None:
            caller.failed()

    def _send(self, action: api.Send) -> None:
        live = self._requests.get(action.request)
        if live is None:
            return
        now = self._clock.now_ms()
        until = min(live.until, now + action.timeout_ms) if action.timeout_ms > 0 else live.until
        attempt = Attempt(live, len(live.attempts), action.server, now, until)
        if not live.attempts and live.caller is not None:
            self._waiting -= 1
        live.attempts.append(attempt)
        if live.caller is None or now >= until or len(live.attempts) > self._settings.module.max_attempts:
            self._end_attempt(attempt, Outcome.MOOT)
            return
        address = self._addresses.get(action.server)
        if address is None:
            self._end_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        if self.observer is not None:
            self.observer.sent(action.server, (live.id, attempt.index), self._aim_ms(live.request), now)
        attempt.timer = self._clock.at(until, lambda: self._timed_out(attempt))
        begun = self._carrier.send(
            action.server,
            address,
            live.request,
            until,
            lambda reading, answer: self._attempt_done(attempt, reading, answer),
        )
        if isinstance(begun, Outcome):
            self._end_attempt(attempt, begun)
        elif not attempt.ended:
            attempt.on_wire = begun

    # --- attempts ---

    def _timed_out(self, attempt: Attempt[RequestT, AnswerT]) -> None:
        # What was not written when the time was up has not run, and is never written.
        stage = Stage.WRITTEN if attempt.on_wire is None else attempt.on_wire.stage()
        reading = read(stage, End.SILENT)
        self._end_attempt(attempt, reading.outcome, blame=reading.blame)

    def _attempt_done(
        self, attempt: Attempt[RequestT, AnswerT], reading: Reading, answer: AnswerT | None
    ) -> None:
        if reading.outcome is Outcome.OK and answer is not None and not attempt.ended:
            caller = self._release(attempt.live)
            if caller is not None:
                caller.served(answer)
        self._end_attempt(attempt, reading.outcome, answer, reading.blame)

    def _end_attempt(
        self,
        attempt: Attempt[RequestT, AnswerT],
        outcome: Outcome,
        answer: AnswerT | None = None,
        blame: float | None = None,
    ) -> None:
        """An attempt has exactly one outcome, also one that is called off or ends late."""
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None  # it holds the attempt in turn
        if attempt.on_wire is not None:
            attempt.on_wire.abort()
            attempt.on_wire = None
        live = attempt.live
        if self.observer is not None:
            self.observer.ended(
                attempt.server,
                (live.id, attempt.index),
                outcome,
                self._aim_ms(live.request),
                self._clock.now_ms(),
            )
        load = self._load_of(answer) if answer is not None else {}
        self._dispatch(
            api.AttemptEnded(
                live.id,
                attempt.index,
                attempt.server,
                outcome,
                live.caller is None,
                self._clock.now_ms() - attempt.sent_at,
                load,
                blame,
            )
        )
        self._clean_up(live)

    def _clean_up(self, live: LiveRequest[RequestT, AnswerT]) -> None:
        if live.is_over() and self._requests.pop(live.id, None) is not None:
            live.attempts.clear()  # they hold the request in turn
            self._over(live.request)
