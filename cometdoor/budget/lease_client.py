"""Budget shares of one proxy by service, and reports on them to the control plane's leader."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cometdoor.budget.share import BudgetShare
from cometdoor.host.repeating_timer import RepeatingTimer
from cometdoor.wire.budget import LeaseGrant, LeaseRequest
from cometdoor.wire.call_control import CallRejected
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.frames import Message
from cometdoor.wire.peer_connection import PeerError

TICK_INTERVAL_S = 0.25  # interval of updates of the floors
SHORTAGE_REPORT_INTERVAL_S = 1.0  # interval of reports while the proxy is short of budget or has a grant
REPORT_INTERVAL_S = 3.0  # interval of reports otherwise


class BudgetShares:
    """Keeps a `BudgetShare` for each service, and exchanges demands and grants with the leader."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connections: PeerConnections,
        incarnation: str,
        *,
        replica_addresses: Callable[[], list[str]],
        proxy_count: Callable[[], int],
        on_floor_changed: Callable[[str, float], None],
        ratio: float,
        slack: float,
        window_s: float,
    ) -> None:
        """Start the timer of updates and reports.

        Parameters
        ----------
        loop : asyncio.AbstractEventLoop
            Event loop of the process.
        connections : PeerConnections
            Connections of this process, for reports to the leader.
        incarnation : str
            Incarnation of this process.
        replica_addresses : Callable[[], list[str]]
            Returns the internal addresses of the replicas, the probable leader first.
        proxy_count : Callable[[], int]
            Returns the number of known proxies.
        on_floor_changed : Callable[[str, float], None]
            Called with a service and its new floor; see `BudgetShare.floor`.
        ratio : float
            Retries that the budget of a service allows for each request.
        slack : float
            Retries per window that the budget allows in addition.
        window_s : float
            Length of the window in seconds.
        """
        self._loop, self._connections, self._incarnation = loop, connections, incarnation
        self._replica_addresses = replica_addresses
        self._proxy_count = proxy_count
        self._on_floor_changed = on_floor_changed
        self._ratio, self._slack, self._window_s = ratio, slack, window_s
        self._shares: dict[str, BudgetShare] = {}
        self._reported_floors: dict[str, float] = {}  # by service
        self._leader_time_s = -1.0  # time in the last grant of the leader; -1 without one
        self._leader = ""
        self._reported_at = 0.0
        self._timer = RepeatingTimer(loop, TICK_INTERVAL_S, self._tick)
        self._timer.start_after_interval()

    def for_service(self, service: str) -> BudgetShare:
        """Return the share of a service, which is created at the first call."""
        share = self._shares.get(service)
        if share is None:
            share = self._shares[service] = BudgetShare(
                self._ratio, self._slack, self._window_s, self._loop.time()
            )
            self._reported_floors[service] = 0.0  # initial value in the decision module of a new service
        return share

    def stop(self) -> None:
        """Stop the reports."""
        self._timer.stop()

    def report(self) -> dict[str, float]:
        """Return the floors that leases, offers or repeated calls have changed, by service, for the log."""
        return {
            service: round(floor, 1)
            for service, floor in self._reported_floors.items()
            if floor not in (0.0, 1.0)
        }

    def _tick(self) -> None:
        now = self._loop.time()
        proxy_count = self._proxy_count()
        is_short_of_budget = any(
            share.has_grant(now) or share.is_short_of_budget(now, proxy_count)
            for share in self._shares.values()
        )
        if now >= self._reported_at + (
            SHORTAGE_REPORT_INTERVAL_S if is_short_of_budget else REPORT_INTERVAL_S
        ):
            self._reported_at = now
            self._send_report(now)
        self._publish_floors(now)

    def _publish_floors(self, now: float) -> None:
        proxy_count = self._proxy_count()
        for service, share in self._shares.items():
            floor = share.floor(now, proxy_count)
            if floor != self._reported_floors[service]:
                self._reported_floors[service] = floor
                self._on_floor_changed(service, floor)

    def _send_report(self, now: float) -> None:
        proxy_count = self._proxy_count()
        demands = [
            demand
            for service, share in self._shares.items()
            if (demand := share.build_demand(service, now, proxy_count)) is not None
        ]
        replica_addresses = self._replica_addresses()
        peer = self._leader or (replica_addresses[0] if replica_addresses else "")
        if not demands or not peer:
            return
        self._publish_floors(now)  # the proxy must stop using an offer before the leader receives it

        def on_reply(reply: Message | PeerError) -> None:
            match reply:
                case LeaseGrant() if len(reply.granted_retries) == len(demands):
                    self._leader, self._leader_time_s = peer, reply.leader_time_s
                    for demand, amount in zip(demands, reply.granted_retries, strict=True):
                        self._shares[demand.service].on_granted(amount, now)
                    self._publish_floors(self._loop.time())
                case CallRejected():
                    self._leader, self._leader_time_s = (reply.leader if reply.leader != peer else ""), -1.0
                case _:
                    self._leader, self._leader_time_s = "", -1.0

        call = self._connections.call(
            peer, LeaseRequest(self._incarnation, self._leader_time_s, demands), on_reply
        )
        if isinstance(call, PeerError):
            self._leader, self._leader_time_s = "", -1.0
