"""One retry budget shared by many proxies: its total and distribution (simulation/retry_budget.py)."""

from unittest import mock

from ward import each, test

from cometdoor.budget import share
from cometdoor.budget.allocator import BudgetAllocator
from cometdoor.budget.share import BudgetShare
from cometdoor.wire.budget import LeaseDemand
from simulation.retry_budget import RATIO, SERVICE, SLACK, WINDOW_S, BudgetMesh, NetworkFaults, run_schedule


@test("no window exceeds the budget, whatever messages are lost, late or duplicated and whoever restarts")
def _(seed: int = each(*range(8))) -> None:
    mesh = run_schedule(seed, (9, 12, 30, 60)[seed % 4])
    assert mesh.peak_share() <= 1.0, (seed, mesh.peak_share())


@test("budget that some proxies do not use is leased to those with demand within seconds")
def _() -> None:
    # Given nine proxies, of which three demand as many retries as they can get
    mesh = BudgetMesh(9, 1)
    for proxy in mesh.proxies:
        proxy.requests_per_s = 600.0 / 9
    mesh.advance(30.0)
    for proxy in mesh.proxies[:3]:
        proxy.wanted_retries_per_s = 100.0
    # When ten seconds have passed
    mesh.advance(10.0)
    # Then the three use over half of the budget and three times their local allowances; later over 0.7 of it
    now = mesh.now
    assert mesh.retries_used(now) > 0.55 * mesh.retries_allowed(now)
    assert mesh.retries_used(now) > 3 * 3 * mesh.proxies[0].share.local_allowance(now)
    mesh.advance(30.0)
    assert (
        0.7 * mesh.retries_allowed(mesh.now) < mesh.retries_used(mesh.now) <= mesh.retries_allowed(mesh.now)
    )


@test("proxies without any grant still have their local allowance")
def _() -> None:
    mesh = BudgetMesh(12, 2, NetworkFaults(lost_share=1.0))
    for proxy in mesh.proxies:
        proxy.requests_per_s, proxy.wanted_retries_per_s = 50.0, 100.0
    mesh.advance(25.0)
    assert 0.4 < mesh.retries_used(mesh.now) / mesh.retries_allowed(mesh.now) <= 1.0


@test("a new leader grants nothing until the grants of the last one have left the window")
def _() -> None:
    new_leader = BudgetAllocator(RATIO, SLACK, WINDOW_S, 100.0)
    demands = [LeaseDemand(SERVICE, 50.0, 10.0, 0.0)]
    assert new_leader.allocate("a", 100.0, demands, 101.0) == [0.0]
    assert new_leader.allocate("a", 112.0, demands, 112.5) == [0.0]
    assert new_leader.allocate("a", 119.0, demands, 120.0)[0] > 0.0


@test("a report that was in flight for too long is ignored")
def _() -> None:
    leader = BudgetAllocator(RATIO, SLACK, WINDOW_S, 0.0)
    before = leader.leasable_retries(SERVICE, 60.0)
    assert leader.allocate("a", 50.0, [LeaseDemand(SERVICE, 900.0, 5.0, 100.0)], 60.0) == [0.0]
    assert leader.allocate("a", -1.0, [LeaseDemand(SERVICE, 900.0, 5.0, 100.0)], 60.0) == [0.0]
    assert leader.leasable_retries(SERVICE, 60.0) == before


@test("an offer stays unusable though its report was lost, and a new incarnation starts without slack")
def _() -> None:
    budget_share = BudgetShare(RATIO, SLACK, WINDOW_S, 0.0)
    assert budget_share.floor(1.0, 9) == 0.0
    for at in range(2000):
        budget_share.record_request(10.0 + at / 200)
    demand = budget_share.build_demand(SERVICE, 20.0, 9)
    assert demand is not None and demand.offered_retries > 0.0 and demand.wanted_retries == 0.0
    assert budget_share.floor(20.0, 9) == 1.0 - demand.offered_retries == budget_share.floor(30.0, 9)
    assert budget_share.floor(100.0, 9) == 1.0 and budget_share.floor(100.0, 100) == 0.0


@test("calls of repeated executions are deducted from what a proxy may retry itself")
def _() -> None:
    budget_share = BudgetShare(RATIO, SLACK, WINDOW_S, 0.0)
    budget_share.record_repeated_call(0.5, 20.0)
    budget_share.record_repeated_call(1.0, 20.1)
    assert budget_share.floor(21.0, 9) == -0.5 and budget_share.floor(40.0, 9) == 1.0


@test("planted defect: proxies that use what they have offered exceed the budget")
def _() -> None:
    with mock.patch.object(share, "offer_hold_time_s", lambda window_s: 0.0):
        mesh = BudgetMesh(9, 1)
        for proxy in mesh.proxies:
            proxy.requests_per_s = 600.0 / 9
        mesh.advance(25.0)
        for proxy in mesh.proxies[:5]:
            proxy.wanted_retries_per_s = 200.0
        mesh.advance(25.0)
        for proxy in mesh.proxies:
            proxy.wanted_retries_per_s = 200.0
        mesh.advance(9.0)
    assert mesh.peak_share() > 1.0


def peak_after_restarts() -> float:
    """Return the peak share used if fifteen proxies restart seven times in a window without any request."""
    mesh = BudgetMesh(15, 1)
    for proxy in mesh.proxies:
        proxy.wanted_retries_per_s = 10.0
    for _ in range(7):
        mesh.advance(1.2)
        for proxy in mesh.proxies:
            proxy.shares.stop()
            proxy.start()
    return mesh.peak_share()


@test("planted defect: incarnations that begin with slack exceed the budget, and others do not")
def _() -> None:
    assert peak_after_restarts() <= 1.0
    original_init = BudgetShare.__init__

    def init_with_slack(self: BudgetShare, ratio: float, slack: float, window_s: float, now: float) -> None:
        original_init(self, ratio, slack, window_s, now - window_s)

    with mock.patch.object(BudgetShare, "__init__", init_with_slack):
        assert peak_after_restarts() > 1.0
