"""All decisions of jasperhall, without clock or I/O. Types, events and actions: jasperhall/api.py.

A request goes to the next server of an even weighted rotation. Without an answer after a fixed delay
a call that is safe to repeat gets one backup copy on another server, if backups are still a small
share of the recent legs; the first answer wins and the loser is cancelled (docs/design/backups.md).
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Mapping
from dataclasses import replace
from heapq import heapify, heappop, heappush
from zlib import crc32

from jasperhall import api
from jasperhall.api import Effect, ListKind, Outcome, Scope, State
from jasperhall.averages import MEMORY_MS, Average
from jasperhall.suspicion import Detector, Suspicion

MAX_BACKUP_RATIO = 0.05  # backups among the legs of the window; copies are held from here on
WINDOW_MS = 10_000.0
CHECKED_EACH = 0.2  # of its aim passes at the least until it is seen anew whether its answer is overdue
OVERDUE = 4.0  # times as long as usual: two in a hundred answers that come are so late
EARLY_COPY = 0.5  # and of that for a trial of a suspected server: it will hardly answer
BACKUP_DELAY = 0.625  # of the time to a timely answer: most answers are in by then, the copy has the rest
# Where no budget is stated: retries and copies multiply through tiers, yet chance losses need some.
OWN_BUDGET = api.AttemptBudget(floor=3.0, per_request=0.2, span_ms=10_000.0)
EDGE_MS = 0.002  # a host may count in whole microseconds: what is so near a window's edge is taken amiss
FAILURE_MEMORY_MS = 3_000.0  # its failures sooner: one that turned half away kept most turns for 4 s
KIND_SAMPLES = 3.0  # a server is taken to be like its kind until so many answers of its own are in
SPEED_POWER = 1.0  # queues make an answer slower than the server: weigh down by more than the ratio
SPEED_LIMIT = 3.0  # slowness counts up to here: some turns are kept, so that a recovery is seen
FAILURE_POWER = 4.0  # a server that fails half of its calls keeps a sixteenth of its turns
FAILURE_FLOOR = 0.02  # and one that fails all still sees a call now and then
WORTH_ORDER = 0.3  # a request worth nothing finds this much less of the limit open to it
KEEP_FROM = 0.25  # the share of their aims that answers take from where on, and by so much more all
KEEP_RANGE = 0.2  # of it, is kept for worthier ones: 0.3 where room stood empty, 0.45 where it was short
SERVICE_MEMORY_MS = 30_000.0  # over which a class's service is judged; with 10 s shares swung (G 0.02 less)
VALUED_EVERY_MS = 100.0  # what a class is worth is worked out anew: some five requests at a busy entry
WORST_RANGE = 0.03  # of service: classes as near the worst as this count as it, too
SPARE_SHARE = 0.5  # of the limit is open to what earns next to nothing: above a share, or past its aim
SHARE_BURST_MS = 5_000.0  # of its allowance that a tenant may save up: its calls come in clumps
WATCH_PAUSE = 0.12  # of the time to ask within that passes at most before a failed call is made again
FLOOR = 3.0  # requests a server, from all balancers together, that may be out before any answer is in
# Of the mean aim that the mean answer may take. By the least aim of all requests were refused with room left;
# with more, for what late answers earn, servers choked.
QUEUE_SHARE = 0.4
CLUMP = 3.0  # standard deviations of chance arrivals that are let through while answers are well in time
STRAINED = 0.7  # share of its aim that an answer takes on the mean from where on no clump is let through
CALM_RANGE = 0.35  # and so much below that all of it is
STRAINED_SHARE = 0.25  # and that it may take once answers are not in time: servers slow down when crowded
HOLD_SHARE = 0.25  # of its aim that a request may wait at the entry for room
COLD_MARGIN = 0.5  # of the stated overload that all balancers together may put on a cold server
PATIENCE_MEMORY_MS = 2_000.0  # without a first try of a class: an entry sees several a second
SAME_MS = 50.0  # patience that differs by less is the same: what is left varies with the way here
LOCAL_POWER = 3.0  # answers of the own zone half again as slow as others take most of that away
LOCAL_PREFERENCE = 6.0  # how much more a server of the own zone counts where crossing has a price,
REPORTED_PREFERENCE = 100.0  # and where servers report: of calls in one of four like zones 97 in 100 stay
# As busy as 1 - HEADROOM / sqrt(servers) the own zone keeps no preference: the fewer share its calls, the
# sooner queues form (square-root staffing). At 0.9 of eight or so waiting rooms were full and servers choked.
HEADROOM = 0.5
BUSY_RANGE = 0.3  # and so much below that it keeps all of it
REPORT_MEMORY_MS = 4_000.0  # some five reports; with half of it zones swung, two of seven days collapsed
REAP_MEMORY_MS = 30_000.0  # so long idle connections are closed by us after one was lost: then try anew
REAP_MARGIN = 0.5  # of the shortest idle time that was lost, from where on a connection is not trusted
MIN_SUBSET = 5  # servers that a balancer rotates over at the least: enough to judge one by its peers
MIN_COVER = 3  # balancers that share each server at the least: evens out what each of them sends
LEAST_KEPT = 0.02  # of its weight that advice leaves a server: some turns are kept, as FAILURE_FLOOR does
GOLDEN = 0.6180339887  # multiples of it, modulo 1, spread evenly for any run of positions


class Side:
    """The servers of the own zone, or all others: what this balancer rotates over and sends there."""

    __slots__ = ("busy", "covered", "in_rotation", "outstanding", "slowness", "warm_rate", "warm_sends",
                 "warm_weight")

    def __init__(self) -> None:
        self.busy = Average(REPORT_MEMORY_MS)  # how busy its servers say that they are
        self.covered = 1.0  # the part of its weight that lies in the rotation
        self.in_rotation = 0
        self.outstanding = 0
        self.slowness = Average()
        self.warm_weight = 1.0  # of those in the rotation that are warm
        self.warm_sends = Average()
        self.warm_rate = 0.0  # sends in a ms and for each weight to warm servers, when there last were any

    def count_warm_send(self, now: float) -> None:
        self.warm_sends.add(1.0 / self.warm_weight, now)
        if self.warm_sends.count >= KIND_SAMPLES:
            self.warm_rate = self.warm_sends.total / MEMORY_MS


class Member:
    """A server as this balancer sees it."""

    __slots__ = ("allowed", "allowed_at", "entry", "failures", "keep", "lent", "name", "order",
                 "outstanding", "place", "ready", "reported", "side", "slowness", "suspicion", "turn",
                 "used_at", "weight")

    def __init__(self, entry: api.Server, order: int, side: Side) -> None:
        self.order = order  # no two are alike, so that equal turns compare
        self.allowed = 0.0  # sends that it may get while it is cold
        self.allowed_at = -math.inf
        self.entry = entry
        self.keep = 1.0  # the part of its weight that advice leaves it
        self.lent: deque[list[float]] = deque()  # [until, sends left] of loans while it is cold
        self.name = entry.name
        self.ready = entry.state is State.READY
        self.failures = Average(FAILURE_MEMORY_MS)
        self.suspicion = Suspicion()
        self.slowness = Average()  # its answer times, each as a multiple of its class's mean
        # Hashed places mix kinds and zones; a cell stays together, so that a keyed call finds its copy.
        self.place = (crc32(b"%d" % entry.cell), crc32(entry.name.encode()), entry.name)
        self.side = side
        self.reported: tuple[float, ...] = ()  # its last load report: many answers carry the same
        self.weight = 0.0  # the part of its list weight that this balancer's subset covers
        self.turn = 0.0  # virtual time of its next turn
        self.outstanding = 0
        self.used_at = math.inf  # when a connection to it last fell idle; infinite where there is none

    def borrows(self, now: float, sends: int = 0) -> bool:
        """Whether a loan is left, of which so many sends are taken. The one that ends first goes first."""
        while self.lent and (self.lent[0][0] <= now or self.lent[0][1] < 1.0):
            self.lent.popleft()
        if self.lent:
            self.lent[0][1] -= sends
        return bool(self.lent)

    def group(self, scope: Scope) -> int | None:
        return {Scope.ALL: None, Scope.ZONE: self.entry.zone, Scope.CELL: self.entry.cell}[scope]


class Patience:
    """The longest that clients lately wait for a try; one with less is a repeat that has spent the rest.

    Guards against taking all for repeats once clients give up sooner than they did: at half the worth or less
    they were refused beside free servers.
    """

    __slots__ = ("_longest_ms", "_seen_at")

    def __init__(self) -> None:
        self._longest_ms, self._seen_at = 0.0, -math.inf

    def is_short(self, left_ms: float, now: float) -> bool:
        if now - self._seen_at >= PATIENCE_MEMORY_MS:
            self._longest_ms = 0.0
        if left_ms < self._longest_ms - SAME_MS:
            return True
        self._longest_ms, self._seen_at = max(left_ms, self._longest_ms), now
        return False


class Share:
    """A tenant's allowance at this balancer: the whole, split evenly over balancers that share nothing."""

    __slots__ = ("at", "burst", "left", "rate")

    def __init__(self, tenant: api.Tenant, balancers: int) -> None:
        self.rate = tenant.allowance_per_s / 1000.0 / balancers
        self.burst = self.left = 1.0 + self.rate * SHARE_BURST_MS
        self.at: float | None = None

    def take(self, now: float) -> bool:
        """Whether one more request is within the share."""
        if self.at is not None:
            self.left = min(self.left + self.rate * (now - self.at), self.burst)
        self.at = now
        within = self.left >= 1.0
        self.left -= within
        return within


class Goal:
    """What serving one more request of each class adds to the goal, where the worst class may count too.

    By worth alone an overload falls on the class that is worth least until it has no service left.
    """

    def __init__(self, settings: api.Settings) -> None:
        self._settings = settings
        self._earned = [Average(SERVICE_MEMORY_MS) for _ in settings.classes]  # share of the worth asked for
        self._values = [cls.worth for cls in settings.classes]
        self._valued_at = -math.inf
        self.aim_ms = sum(cls.aim_ms for cls in settings.classes) / len(settings.classes)  # of a mean request

    def add_class(self, settings: api.Settings) -> None:
        self._settings = settings
        self._earned.append(Average(SERVICE_MEMORY_MS))
        self._values.append(settings.classes[-1].worth)

    def ended(self, class_index: int, share: float, weight: float, now: float) -> None:
        """A request earned this share of its class's worth. Above its tenant's share it weighs less."""
        earned = self._earned[class_index]
        earned.fade(now)
        earned.count += weight
        earned.total += weight * share

    def values(self, now: float) -> list[float]:
        if now - self._valued_at >= VALUED_EVERY_MS:
            self._valued_at = now
            self._values = self._work_out(now)
        return self._values

    def _work_out(self, now: float) -> list[float]:
        settings = self._settings
        served = [average.mean(1.0, KIND_SAMPLES, now) for average in self._earned]
        asked = [average.count + KIND_SAMPLES for average in self._earned]
        worth = sum(cls.worth * count for cls, count in zip(settings.classes, asked, strict=True))
        # Near the worst all count as the worst in turn: a sharp edge would have them change places.
        nearness = [math.exp((min(served) - share) / WORST_RANGE) for share in served]
        aims = sum(cls.aim_ms * count for cls, count in zip(settings.classes, asked, strict=True))
        self.aim_ms = aims / sum(asked)
        part = settings.worst_class_weight / sum(nearness)
        return [settings.whole_weight * cls.worth / (worth or 1.0) + part * near / count
                for cls, near, count in zip(settings.classes, nearness, asked, strict=True)]


class Admission:
    """At the clients' entry: how many requests may be out, and which of those that wait goes next.

    Else a queue once built stays: clients give up, try again, and all work goes into late answers.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.goal = Goal(settings)
        self.strained_ms = min(cls.aim_ms * STRAINED_SHARE for cls in settings.classes)
        self.floor = 1.0
        self.out = 0  # requests that are out
        # By class and the part of its worth that a request keeps, the newest last.
        self.waiting: dict[tuple[int, float], dict[str, Request]] = {}
        self.answers = Average(max(cls.aim_ms for cls in settings.classes))
        self.strain = Average(2.0 * self.answers.fade_ms)  # the share of their aims that requests took
        self.started_at: float | None = None

    def add_class(self, settings: api.Settings) -> None:
        self.goal.add_class(settings)
        self.strained_ms = min(self.strained_ms, settings.classes[-1].aim_ms * STRAINED_SHARE)

    def limit(self, now: float) -> float:
        """As many as were lately answered in the time that an answer should take (Little's law)."""
        if self.started_at is None:
            self.started_at = now
        self.answers.fade(now)
        fade_ms = self.answers.fade_ms
        known = 1.0 - math.exp(min(self.started_at - now, -1.0) / fade_ms)
        pace = self.answers.count / fade_ms / known
        # Guards against refusals by chance: arrivals at one of many balancers come in clumps. Where a
        # balancer sees much traffic the mean is the larger. Harms while an overload is too young to show.
        calm = min(max((STRAINED - self.strain.mean(0.0, 1.0, now)) / CALM_RANGE, 0.0), 1.0)
        patience_ms = QUEUE_SHARE * self.goal.aim_ms
        mean = pace * (calm * patience_ms + (1.0 - calm) * self.strained_ms)
        return self.floor + max(mean, calm * CLUMP * math.sqrt(mean))

    def has_room(self, request: Request, now: float) -> bool:
        # Guards against refusing what is worth little under a limit that is not reached: refused, it is asked
        # again and again. Harms where an overload is so young that answers are quick yet.
        kept = min(max((self.strain.mean(0.0, 1.0, now) - KEEP_FROM) / KEEP_RANGE, 0.0), 1.0)
        values = self.goal.values(now)
        share = 1.0 - WORTH_ORDER * kept * (1.0 - values[request.class_index] / (max(values) or 1.0))
        if request.part < 1.0:
            share *= SPARE_SHARE
        return self.out < max(1.0, self.limit(now) * share)

    def hold(self, request: Request) -> None:
        request.held = True
        self.waiting.setdefault((request.class_index, request.part), {})[request.id] = request

    def release(self, request: Request) -> None:
        request.held = False
        line = self.waiting[request.class_index, request.part]
        del line[request.id]
        if not line:
            del self.waiting[request.class_index, request.part]

    def next(self, now: float) -> Request | None:
        """The newest of those worth most: it has the best chance to be in time."""
        if not self.waiting:
            return None
        values = self.goal.values(now)
        line = max(self.waiting, key=lambda line: (values[line[0]] * line[1], line))
        request = next(reversed(self.waiting[line].values()))
        if not self.has_room(request, now):
            return None
        self.release(request)
        return request


class IdleConnections:
    """Guards against connections that are dropped unseen while idle: what is sent on one is lost.

    An unsafe call can't be tried again then, so such connections are closed in time and not tried out.
    A reset that comes sooner than the connection had been idle is taken as a sign; a server that dies
    under its work looks alike only by chance, and costs some handshakes.
    """

    def __init__(self) -> None:
        self._shortest_ms = math.inf  # idle time of a connection that was lost
        self._until = -math.inf

    def is_reaped(self, attempt: Attempt, outcome: Outcome, now: float) -> bool:
        idle_ms = attempt.idle_ms
        if outcome not in (Outcome.RESET, Outcome.CUT) or not 0.0 <= now - attempt.sent_at < idle_ms / 4:
            return False
        self._shortest_ms = min(idle_ms, self._shortest_ms if now < self._until else math.inf)
        self._until = now + REAP_MEMORY_MS
        return True

    def distrusts(self, member: Member, now: float) -> bool:
        """A second connection may have been idle for longer than the one in use."""
        return now < self._until and member.used_at < math.inf and (
            member.outstanding > 0 or now - member.used_at > REAP_MARGIN * self._shortest_ms)


class Attempt:
    __slots__ = ("ended", "idle_ms", "member", "never_ran", "sent_at", "usual_ms")

    def __init__(self, member: Member, sent_at: float, usual_ms: float) -> None:
        self.member = member
        self.sent_at = sent_at
        self.usual_ms = usual_ms  # for an answer
        self.idle_ms = max(sent_at - member.used_at, 0.0)  # of its connection; 0 for a new one
        self.ended = self.never_ran = False


class Request:
    __slots__ = ("arrived_at", "attempts", "class_index", "cls", "copied_at", "gives_up_at", "held", "id",
                 "is_late", "open", "part", "streaming", "stuck", "timer")

    def __init__(self, event: api.RequestArrived, cls: api.RequestClass, part: float, now: float) -> None:
        self.id = event.request
        self.class_index = event.class_index
        self.cls = cls
        self.part = part  # of its class's worth that it keeps
        self.arrived_at = now
        self.held = False  # waits at the entry for room
        self.is_late = False  # enough for a copy
        self.stuck = False  # takes up no room any more: it waits for a server that is silent
        self.streaming = False  # its answer has begun: it is the client's from here on
        self.timer = 0  # the token of its one timer that still means something
        # An answer that earns nothing is not worked for: its server and connection are wanted by others.
        self.gives_up_at = now + (event.left_ms if cls.late_worth else min(event.left_ms, cls.aim_ms))
        self.attempts: list[Attempt] = []
        self.copied_at = 0  # the attempt that is the backup copy, if any
        self.open = True  # a final answer is owed

    def outstanding(self) -> int:
        return sum(not attempt.ended for attempt in self.attempts)

    def overdue_at(self) -> float:
        """When all answers that are awaited are so late that hardly one of them still comes."""
        return max((attempt.sent_at + OVERDUE * attempt.usual_ms for attempt in self.attempts
                    if not attempt.ended), default=math.inf)

    def copy_delay_ms(self, now: float) -> float:
        return BACKUP_DELAY * min(self.cls.aim_ms, self.gives_up_at - now)

    def may_have_run(self) -> Attempt | None:
        """The first attempt that ran or can still run."""
        return next((attempt for attempt in self.attempts if not attempt.never_ran), None)


class AttemptBudget:
    """Rule 5: attempts past each request's first, retries and copies alike, over a sliding window.

    Exact at every send: a bucket that refills lets through more than its rate in some window. Guards also
    against retry storms from any other cause. It harms when so many first attempts fail at once, by
    chance, that more further ones would have been served than it grants.
    """

    def __init__(self, budget: api.AttemptBudget) -> None:
        self._budget = budget
        self._taken: deque[float] = deque()  # when requests came, oldest first; refused ones too
        self._extra: deque[float] = deque()  # when further attempts left

    def request_taken(self, now: float) -> None:
        self._expire(now)
        self._taken.append(now)

    def allows_one(self, now: float) -> bool:
        self._expire(now)
        return len(self._extra) + 1 <= self._budget.floor + self._budget.per_request * len(self._taken)

    def sent(self, now: float) -> None:
        self._extra.append(now)

    def never_sent(self, sent_at: float) -> None:
        """A moot attempt does not count. It may have left the window already."""
        if sent_at in self._extra:
            self._extra.remove(sent_at)

    def _expire(self, now: float) -> None:
        oldest = now - self._budget.span_ms
        while self._taken and self._taken[0] <= oldest + EDGE_MS:
            self._taken.popleft()
        while self._extra and self._extra[0] < oldest - EDGE_MS:
            self._extra.popleft()


class BackupGate:
    """The share of backups among completed legs, over a sliding window (brpc's DoBackup)."""

    def __init__(self) -> None:
        self._seconds: deque[list[float]] = deque()  # [second, backups, legs], oldest first
        self._lifetime = [0, 0]
        self.wins = Average()  # of the requests with a copy, the share that the copy answered

    def _count(self, now: float, column: int) -> None:
        second = now // 1000.0
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append([second, 0, 0])
            self._expire(now)  # where no copy is ever due, nobody else asks
        self._seconds[-1][1 + column] += 1
        self._lifetime[column] += 1

    def leg_completed(self, now: float) -> None:
        self._count(now, 1)

    def is_open(self, now: float) -> bool:
        """Fresh each time: on a ratio kept for seconds many balancers with few legs let bursts through.

        With few legs a single copy can be above the cap. The first of a window leaves all the same.
        """
        self._expire(now)
        backups, legs = (sum(row[column] for row in self._seconds) for column in (1, 2))
        if not legs:
            backups, legs = self._lifetime
        ratio = backups / legs if legs else float(backups > 0)
        # A request that is slow because it is heavy is as heavy for its copy: such copies only cost.
        return ratio < MAX_BACKUP_RATIO * self.wins.mean(1.0, KIND_SAMPLES, now)

    def _expire(self, now: float) -> None:
        while self._seconds and self._seconds[0][0] * 1000.0 < now - WINDOW_MS:
            self._seconds.popleft()

    def backup_sent(self, now: float) -> None:
        self._count(now, 0)


class Balancer:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._random = random.Random(seed)
        self._members: dict[str, Member] = {}
        self._last_order = 0
        self._rotation: list[tuple[float, int, Member]] = []  # heap by turn; stale entries are dropped
        self._virtual_now = 0.0
        self._gate = BackupGate()
        self._idle = IdleConnections()
        self._class_latency = [Average() for _ in settings.classes]
        self._failures = Average()
        self._detector = Detector(self._random)
        self._zones = 1  # among which balancers and servers are dealt out; 1 without a price on crossing
        self._near, self._far = Side(), Side()  # without a price on crossing all servers are near
        self._reach = 1.0  # its subset is so many times as long as its place alone would have it
        self._kind_slowness: dict[int, Average] = {}
        self._requests: dict[str, Request] = {}
        self._budget = AttemptBudget(settings.attempt_budget or OWN_BUDGET)
        self._shares = [Share(tenant, settings.balancers) for tenant in settings.tenants]
        self._admission = Admission(settings)
        self._patience = [Patience() for _ in settings.classes]
        self._timers: dict[int, str | None] = {}  # token -> request, or None for a renewed watch
        self._last_token = 0
        self._watch_due = False  # a timer to ask for the list is set
        self._actions: list[api.Action] = []

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self._actions = []
        match event:
            case api.RequestArrived():
                self._arrive(event, now)
            case api.AttemptEnded():
                self._attempt_ended(event, now)
            case api.TimerFired():
                self._timer_fired(event.token, now)
            case api.ListChanged():
                self._list_changed(event, now)
            case api.ClientGone():
                self._close(event.request, now)
            case api.StreamStarted():
                self._stream_started(event)
            case api.ClassAdded():
                self._settings = replace(self._settings, classes=(*self._settings.classes, event.cls))
                self._class_latency.append(Average())
                self._patience.append(Patience())
                self._admission.add_class(self._settings)
            case api.Advised():
                self._advised(event, now)
            case api.Lent():
                member = self._members.get(event.server)
                if member and member.entry.started_at == event.started_at:
                    member.lent.append([now + event.for_ms, event.sends])
        while waiting := self._admission.next(now):
            self._start(waiting, now)
        return self._actions

    def suspected(self) -> list[str]:
        """The servers that get trials only, or rest, as of the last call."""
        return sorted(name for name, member in self._members.items()
                      if self._detector.suspects(member.suspicion))

    # --- server list ---

    def _list_changed(self, event: api.ListChanged, now: float) -> None:
        failed = event.kind is ListKind.FAILED
        if self._settings.must_ask and not self._watch_due and (failed or event.kind is ListKind.CACHED):
            # Random pauses spare a slow discovery. Not longer ones after several failures: what the list has
            # to tell soon counts as told, and two calls in a row may fail.
            self._set_timer(None, self._random.uniform(0.0, WATCH_PAUSE * self._settings.ask_within_ms))
            self._watch_due = True
        if failed:
            return
        if event.kind is not ListKind.DELTA:
            listed = {entry.name for entry in event.servers}
            for name in [name for name in self._members if name not in listed]:
                self._retire(name)
        for entry in event.servers:
            self._update_member(entry)
        self._choose_subset(now)

    def _retire(self, name: str) -> None:
        """Drop a server that is gone or has started anew: kept, they would pile up over weeks."""
        if member := self._members.pop(name, None):
            member.ready, member.weight = False, 0.0

    def _update_member(self, entry: api.Server) -> None:
        member = self._members.get(entry.name)
        if entry.state is State.GONE or (member and (entry.started_at, entry.zone) != (
                member.entry.started_at, member.entry.zone)):
            self._retire(entry.name)  # what was seen of the process before tells nothing of the new one
            member = None
        if member:
            member.entry, member.ready = entry, entry.state is State.READY
        elif entry.state is not State.GONE:
            self._last_order += 1
            here = not self._settings.cross_zone_price or entry.zone == self._settings.zone
            self._members[entry.name] = Member(entry, self._last_order, self._near if here else self._far)

    def _choose_subset(self, now: float) -> None:
        """Rotate over a stretch of a ring on which every server is as long as its weight.

        Many balancers with little traffic would otherwise open a connection for nearly every call,
        and learn nothing about any server. Equal stretches load all servers alike.
        """
        ring = sorted((m for m in self._members.values() if m.ready), key=lambda m: m.place)
        for member in self._members.values():
            if not member.ready:
                member.weight = 0.0  # so that it is given a turn when it returns
        if len(self._rotation) > 2 * len(self._members):
            # Turns of servers that are gone lie far ahead where those were slow or failing: they pile up.
            self._rotation = [turn for turn in self._rotation if turn[0] == turn[2].turn and turn[2].weight]
            heapify(self._rotation)
        near = [member for member in ring if member.side is self._near]
        far = [member for member in ring if member.side is self._far]
        # Those of the own zone are shared with its own balancers; each zone is taken to have as many.
        self._zones = len({member.entry.zone for member in ring} | {self._settings.zone}) if far else 1
        self._lay_out(near, self._near, max(1.0, self._settings.balancers / self._zones), now)
        self._lay_out(far, self._far, self._settings.balancers, now)
        self._detector.sharing = max(1.0, self._settings.balancers * self._near.covered)
        self._admission.floor = max(1.0, FLOOR * len(ring) / self._settings.balancers)

    def _lay_out(self, ring: list[Member], side: Side, balancers: float, now: float) -> None:
        """Put a stretch of the ring into the rotation, at a place of this balancer's own."""
        weights = [max(member.entry.weight, 1e-3) for member in ring]
        total = sum(weights)
        length = total * min(1.0, self._reach * max(MIN_SUBSET / max(len(ring), 1), MIN_COVER / balancers))
        start = total * (self._settings.position * GOLDEN % 1.0)
        at = 0.0
        for member, weight in zip(ring, weights, strict=True):
            before, end = member.weight, at + weight
            # The stretch may run past the ring's end and go on at its beginning.
            member.weight = (max(0.0, min(end, start + length) - max(at, start))
                             + max(0.0, min(end, start + length - total) - at))
            at = end
            if member.weight and not before:
                # A random phase: else all balancers would hit a new server at the same moment.
                self._schedule(
                    member, self._virtual_now + self._random.random() / self._weight(member, now))
        side.warm_weight = sum(m.weight for m in ring if self._warmth(m, now) >= 1.0) or 1.0
        side.covered = length / total if total else 1.0
        side.in_rotation = sum(member.weight > 0.0 for member in ring)

    def _advised(self, event: api.Advised, now: float) -> None:
        """Guards against what one balancer's few calls can't show: others saw that a server stands still, or
        have so much less traffic that the servers of its subset get several times as much as the rest.

        Harms where the advice errs: such a server keeps LEAST_KEPT of its turns, all if it is alone; and
        each of a wider subset's servers gets fewer calls, so that less is learned of it.
        """
        reach = max(event.reach, 1.0) if event.reach < math.inf else 1.0
        if reach != self._reach:
            self._reach = reach
            self._choose_subset(now)
        for member in self._members.values():
            before, keep = member.keep, event.keep.get(member.name, 1.0)
            member.keep = 1.0 if math.isnan(keep) else min(max(keep, LEAST_KEPT), 1.0)
            if member.keep != before and member.ready and member.weight:
                # Its next turn lies where earlier advice had it. Of fewer turns at a random phase: one more
                # of each balancer was most of what a server that stands still went on getting.
                distance = 1.0 / self._weight(member, now)
                if member.keep < before:
                    turn = max(member.turn, self._virtual_now + self._random.random() * distance)
                else:
                    turn = min(member.turn, self._virtual_now + distance)
                self._schedule(member, turn)

    # --- rotation: smooth weighted round robin, kept as a heap of turns in virtual time ---

    def _schedule(self, member: Member, turn: float) -> None:
        member.turn = turn
        heappush(self._rotation, (turn, member.order, member))

    def _weight(self, member: Member, now: float) -> float:
        weight = member.weight * member.keep * self._warmth(member, now)
        if member.side is self._near and self._settings.cross_zone_price:
            weight *= self._local_preference(now)
        # Where all fail alike, as when the tier below is down, nobody is to be shunned for it.
        works = 1.0 - member.failures.mean(0.0, KIND_SAMPLES, now)
        works = min(works / max(1.0 - self._failures.mean(0.0, KIND_SAMPLES, now), 1e-3), 1.0)
        weight *= max(works ** FAILURE_POWER, FAILURE_FLOOR)
        return float(weight / self._slowness(member, now) ** SPEED_POWER)

    def _local_preference(self, now: float) -> float:
        """Guards against a zone whose own traffic is more than its servers can carry, for whatever reason.

        Crossing costs little beside lateness: as far as near answers are slower than far ones, or near
        servers say that they are busy, the preference goes; at its end each zone has the part that its size
        gives it. Without reports crowding is seen late, in answers, and less is kept near. It may harm where
        the way itself makes far answers slow: then it never goes.
        """
        near, far = self._near, self._far
        preference = LOCAL_PREFERENCE
        busy = near.busy.mean(0.0, 1.0, now)
        if near.busy.count >= 0.5:  # one report of the last seconds at the least
            room = 1.0 - HEADROOM / math.sqrt(max(near.in_rotation, 1))
            strain = min(max((busy - room) / BUSY_RANGE + 1.0, 0.0), 1.0)
            preference = REPORTED_PREFERENCE ** (1.0 - strain)
        slower = far.slowness.mean(1.0, KIND_SAMPLES, now) / near.slowness.mean(1.0, KIND_SAMPLES, now)
        return float(preference * min(slower, 1.0) ** LOCAL_POWER * far.covered / near.covered)

    def _warmth(self, member: Member, now: float) -> float:
        """The share of its capacity that a server has; taken to grow as slowly as the settings allow."""
        warm_up = self._settings.warm_up_ms
        started_at = max(member.entry.started_at, member.suspicion.back_at)  # a list may be late
        age = now - started_at
        if not started_at or age >= warm_up:
            return 1.0
        cold_from = self._settings.cold_from
        return cold_from + (1 - cold_from) * max(age, 0.0) / warm_up

    def _may_warm(self, member: Member, now: float) -> bool:
        """Rule 4: a cold server gets its part of what a warm one bore, not more when the others are gone.

        Weights hold it down only against its peers: alone in its group or after most of the fleet restarted
        it would take all, copies and retries too, and fall over. Unknown at the start, when none is warm.
        """
        warmth = self._warmth(member, now)
        side = member.side
        # A side never measured goes by the other: else the first server of the own zone, or of others once
        # the own has none, had no bound. Of those in other zones the balancers of each zone have a part.
        warm_rate = side.warm_rate or (
            self._far.warm_rate if side is self._near else self._near.warm_rate / self._zones)
        if warmth >= 1.0 or not warm_rate:
            return True
        rate = warm_rate * member.weight * warmth * self._settings.overload_factor * COLD_MARGIN
        if member.allowed_at < 0.0:
            # A random part of one call: else all balancers together would send theirs at once.
            member.allowed, member.allowed_at = self._random.random(), now
        member.allowed = min(member.allowed + rate * (now - member.allowed_at),
                             1.0 + rate * self._settings.fall_ms * COLD_MARGIN)
        member.allowed_at = now
        return member.allowed >= 1.0 or member.borrows(now)

    def _count_send(self, member: Member, now: float) -> None:
        if self._warmth(member, now) < 1.0:
            if not member.borrows(now, 1):  # a loan ends, its own part is saved up
                member.allowed -= 1.0
            return
        member.side.count_warm_send(now)

    def _is_crowded(self, member: Member) -> bool:
        """Whether it holds more of this balancer's calls than the mean over all zones.

        With a call or less for each server that is any it holds: those that stand still, are slow or have a
        heavy call at work are passed by before any answer or time-out tells. Harms where servers
        are so unlike that the best should hold several before the worst holds one, or crossing is dear: held
        against the own zone alone, one server there took all that came at once (0.78 for 0.90 on sockets).
        """
        near, far = self._near, self._far
        servers = near.in_rotation + far.in_rotation
        return member.outstanding > (near.outstanding + far.outstanding) / max(servers, 1)

    def _slowness(self, member: Member, now: float) -> float:
        """How slowly the server answers, as a multiple of the mean over all."""
        kind = self._kind_slowness.get(member.entry.kind)
        prior = kind.mean(1.0, KIND_SAMPLES, now) if kind else 1.0
        return min(max(member.slowness.mean(prior, KIND_SAMPLES, now), 0.5), SPEED_LIMIT)

    # --- health ---

    def _usual_ms(self, request: Request, member: Member, now: float) -> float:
        """How long this server may be expected to take over a call of this class."""
        mean = self._class_latency[request.class_index].mean(request.cls.aim_ms / 2, KIND_SAMPLES, now)
        return max(mean * self._slowness(member, now), 1.0)

    def _judge(self, attempt: Attempt, request: Request, outcome: Outcome, now: float) -> None:
        latency, member = now - attempt.sent_at, attempt.member
        if outcome not in (Outcome.CANCELLED, Outcome.MOOT):
            failed = float(outcome is not Outcome.OK)
            member.failures.add(failed, now)
            self._failures.add(failed, now)
        of_class = self._class_latency[request.class_index]
        if outcome is Outcome.OK:
            of_class.add(latency, now)
        elif outcome not in (Outcome.CANCELLED, Outcome.TIMEOUT):
            return
        ratio = latency / max(of_class.mean(latency, 1.0, now), 1.0)
        if outcome is not Outcome.OK and ratio < self._slowness(member, now):
            return  # cut short before it could tell anything
        member.slowness.add(ratio, now)
        member.side.slowness.add(ratio, now)
        self._kind_slowness.setdefault(member.entry.kind, Average()).add(ratio, now)

    def _read_load(self, member: Member, load: Mapping[str, float], now: float) -> None:
        busy = load.get("util", -1.0)
        report = tuple(load.values())
        if busy >= 0.0 and report != member.reported:
            member.reported = report
            member.side.busy.add(min(busy, 1.0), now)

    def _pick(self, request: Request, now: float, caution: int, again: bool = False) -> Member | None:
        """The next ready server in turn that this request has not tried and may go to.

        `caution`: 2: none that there is anything against; 1: none that is suspected, but for a trial of it;
        0: any. Guards against calls that time out or fail on a server of which others failed just before;
        those that can't be made again above all. Harms where the detector errs: others bear its calls.
        `again`: also one that has failed it. Guards against failing a keyed call by one spoilt answer where
        its group has no other server; harms where the call is what the server fails at.
        """
        tried = [attempt.member for attempt in request.attempts if not again or attempt.never_ran]
        if self._detector.is_due(now):
            self._detector.reckon([m.suspicion for m in self._members.values() if m.weight], now)
        may_try = request.cls.effect is Effect.SAFE and not request.attempts
        first = request.may_have_run()
        scope = request.cls.dedup_scope if first and request.cls.effect is Effect.KEYED else Scope.ALL
        group = first.member.group(scope) if first else None
        passed: list[tuple[float, int, Member]] = []
        crowded: set[str] = set()
        picked = None
        while self._rotation:
            turn, _, member = entry = heappop(self._rotation)
            if not (member.ready and member.weight) or turn != member.turn:
                continue
            if member in tried or member.group(scope) != group:
                passed.append(entry)
                continue
            if caution > 1 and self._detector.is_wary(member.suspicion, now):
                passed.append(entry)
                continue
            if caution and self._detector.shuns(member.suspicion, now, may_try):
                member.turn = turn + 1.0 / self._weight(member, now)  # lost, not saved up
                passed.append((member.turn, member.order, member))
                continue
            if member.name in crowded and not self._may_warm(member, now):
                passed.append(entry)
                continue
            if member.name not in crowded and (self._is_crowded(member) or not self._may_warm(member, now)):
                # It loses this turn, and is taken in the next where all are crowded.
                crowded.add(member.name)
                self._schedule(member, turn + 1.0 / self._weight(member, now))
                continue
            picked = member
            if not request.attempts:
                self._virtual_now = turn
            self._schedule(member, turn + 1.0 / self._weight(member, now))
            break
        for entry in passed:
            heappush(self._rotation, entry)
        return picked

    # --- request life ---

    def _arrive(self, event: api.RequestArrived, now: float) -> None:
        if not 0 <= event.class_index < len(self._settings.classes):
            raise ValueError(f"class_index: {event.class_index} is no class")
        cls = self._settings.classes[event.class_index]
        part = 1.0
        # A client's try that came late has less time than its first: it no longer earns the full worth.
        is_short = self._patience[event.class_index].is_short(event.left_ms, now)
        if is_short and cls.deadline_ms - event.left_ms > cls.aim_ms:
            part = cls.late_worth
        # Else a tenant that sends several times its share crowds out those that keep to theirs.
        elif event.tenant < len(self._shares) and not self._shares[event.tenant].take(now):
            part = self._settings.over_share_worth
        request = self._requests[event.request] = Request(event, cls, part, now)
        self._budget.request_taken(now)
        if self._settings.tier or self._admission.has_room(request, now):
            self._start(request, now)
        else:
            self._admission.hold(request)
            request.timer = self._set_timer(request.id, min(HOLD_SHARE * cls.aim_ms, event.left_ms / 2))

    def _start(self, request: Request, now: float) -> None:
        self._admission.out += 1
        self._send(request, now)
        if request.open:
            is_trial = self._detector.suspects(request.attempts[0].member.suspicion)
            request.timer = self._set_timer(
                request.id, request.copy_delay_ms(now) * (EARLY_COPY if is_trial else 1.0))

    def _spends_budget(self, request: Request) -> bool:
        """Whether one more attempt is a further one. A budget that is stated counts all past the first.

        By our own, an attempt that is known never to have run took no work from anyone, here or in a tier
        below: the next stands in its place. Guards against servers that turn away or take no connection
        using up what the others' requests need. Harms where turning away is dear: all servers full,
        a request is turned away as often as it has attempts.
        """
        budget = self._settings.attempt_budget
        if budget and budget.counts_unrun:
            return bool(request.attempts)
        return request.may_have_run() is not None

    def _may_send(self, request: Request, now: float) -> bool:
        """Rules 1, 2 and 5: nothing after the answer, no effect twice, no attempt beyond the budget."""
        if request.streaming or not request.open or now >= request.gives_up_at:
            return False
        if len(request.attempts) >= self._settings.max_attempts:
            return False
        runs = sum(not attempt.never_ran for attempt in request.attempts)
        if request.cls.max_runs and runs >= request.cls.max_runs:
            return False
        if self._spends_budget(request) and not self._budget.allows_one(now):
            return False
        if request.outstanding() and not self._settings.may_duplicate:
            return False
        first = request.may_have_run()
        if first is None or request.cls.effect is Effect.SAFE:
            return True
        return request.cls.effect is Effect.KEYED and now - first.sent_at < request.cls.key_ttl_ms

    def _send(self, request: Request, now: float) -> bool:
        member = None
        if self._may_send(request, now):
            caution = 1 if request.cls.effect is Effect.SAFE else 2
            while caution >= 0 and not member:
                member = self._pick(request, now, caution)
                caution -= 1
            if member is None and request.cls.effect is Effect.KEYED and not request.outstanding():
                member = self._pick(request, now, 0, again=True)
        if member:
            if self._spends_budget(request):
                self._budget.sent(now)
            if self._idle.distrusts(member, now):
                self._actions.append(api.Close(member.name))
                member.used_at = math.inf
            usual_ms = self._usual_ms(request, member, now)
            request.attempts.append(Attempt(member, now, usual_ms))
            member.suspicion.sent(usual_ms, now)
            self._detector.tried(member.suspicion, now)
            member.outstanding += 1
            member.side.outstanding += 1
            self._count_send(member, now)
            self._actions.append(api.Send(request.id, member.name, request.gives_up_at - now))
        elif not request.outstanding():
            self._give_up(request, now)
        return member is not None

    def _give_up(self, request: Request, now: float) -> None:
        """A refusal invites the client's retry, so it is said wherever rule 2 allows, and at once.

        Guards against retries into the same crowd: the client is told to come back after as long as it may
        wait for room here. It harms where room is made sooner, and is unseen where clients get no advice.
        """
        cls = request.cls
        harmless = request.may_have_run() is None or cls.effect is Effect.SAFE or (
            cls.effect is Effect.KEYED and cls.dedup_scope is Scope.ALL)
        refusal = api.Refuse(request.id, retry_after_ms=HOLD_SHARE * cls.aim_ms)
        self._actions.append(refusal if harmless else api.Fail(request.id))
        self._close(request.id, now)

    def _close(self, request_id: str, now: float, served: bool = False) -> None:
        request = self._requests.get(request_id)
        if request is None or not request.open:
            return
        request.open = False
        earned = 0.0
        if served:
            earned = 1.0 if now - request.arrived_at <= request.cls.aim_ms else request.cls.late_worth
        self._admission.goal.ended(request.class_index, earned, request.part, now)
        if request.held:
            self._admission.release(request)
        elif not request.stuck:
            self._admission.out -= 1
        if not request.streaming:
            self._cancel_others(request)
        if not request.outstanding():
            del self._requests[request.id]

    def _stream_started(self, event: api.StreamStarted) -> None:
        request = self._requests.get(event.request)
        if request is None or not request.open or not 0 <= event.attempt < len(request.attempts):
            return
        request.streaming = True
        request.timer = 0
        self._cancel_others(request, event.attempt)

    def _cancel_others(self, request: Request, kept: int = -1) -> None:
        for index, attempt in enumerate(request.attempts):
            if index != kept and not attempt.ended and self._settings.may_cancel:
                self._actions.append(api.Cancel(request.id, index))

    def _timer_fired(self, token: int, now: float) -> None:
        request_id = self._timers.pop(token, "")
        if request_id is None:
            self._watch_due = False
            self._actions.append(api.Watch())
            return
        request = self._requests.get(request_id)
        if request is None or not request.open or request.timer != token:
            return
        if request.held:
            self._give_up(request, now)
            return
        if not request.is_late:
            request.is_late = True
            self._copy(request, now)
        # Guards against lost answers that fill the limit, which is made for those that come: 17 had 311
        # searches refused beside free servers. Harms where they are in work yet.
        elif request.overdue_at() <= now and self._admission.strain.mean(0.0, 1.0, now) < STRAINED:
            request.stuck = True
            self._admission.out -= 1
            return
        due = max(request.overdue_at(), now + CHECKED_EACH * request.cls.aim_ms)
        request.timer = self._set_timer(request.id, due - now) if due < request.gives_up_at else 0

    def _copy(self, request: Request, now: float) -> None:
        for attempt in request.attempts:
            if not attempt.ended:
                # A server that hangs ends nothing: its silence is all there is to see before the time-outs.
                attempt.member.failures.add(1.0, now)
                self._failures.add(1.0, now)
        # Counted only when it left: a copy that no server could take once closed the gate for others.
        # Later copies, once the gate opens again, crowded the servers that still answered (0.45 for 0.71).
        if request.outstanding() == 1 and self._gate.is_open(now) and self._send(request, now):
            self._gate.backup_sent(now)
            request.copied_at = len(request.attempts) - 1

    def _set_timer(self, request_id: str | None, after_ms: float) -> int:
        self._last_token += 1
        self._timers[self._last_token] = request_id
        self._actions.append(api.SetTimer(self._last_token, after_ms))
        return self._last_token

    def _attempt_ended(self, event: api.AttemptEnded, now: float) -> None:
        request = self._requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.ended:
            return
        attempt.ended = True
        attempt.never_ran = event.outcome in api.NEVER_RAN
        attempt.member.outstanding -= 1
        attempt.member.side.outstanding -= 1
        if event.outcome is Outcome.MOOT and event.attempt:
            self._budget.never_sent(attempt.sent_at)
        self._gate.leg_completed(now)
        if event.outcome is Outcome.OK and request.open and request.copied_at:
            self._gate.wins.add(float(event.attempt == request.copied_at), now)
        # The server has nothing to do with a connection that was dropped on the way.
        suspicion = attempt.member.suspicion
        if self._idle.is_reaped(attempt, event.outcome, now):
            self._actions.append(api.Close(attempt.member.name))
            self._detector.ended(suspicion, Outcome.MOOT, None, attempt.usual_ms, 0.0, now)
        else:
            self._detector.ended(suspicion, event.outcome, event.blame, attempt.usual_ms,
                                 now - attempt.sent_at, now)
            self._judge(attempt, request, event.outcome, now)
        self._read_load(attempt.member, event.load, now)
        if event.outcome in (Outcome.OK, Outcome.ERROR):
            attempt.member.used_at = now
        elif event.outcome in (Outcome.RESET, Outcome.CUT):
            attempt.member.used_at = math.inf
        if request.open and event.outcome is Outcome.OK:
            self._admission.answers.add(1.0, now)
        if request.open and not request.stuck and (event.final or event.outcome is Outcome.TIMEOUT):
            self._admission.strain.add((now - request.arrived_at) / request.cls.aim_ms, now)
        if event.final or not request.open:
            self._close(request.id, now, served=event.outcome is Outcome.OK)
            if not request.outstanding():
                self._requests.pop(request.id, None)
        elif not request.outstanding():
            self._send(request, now)
