"""Cost of control work for a proxy and a replica, per unit and at the size that the operators expect.

Costs per unit are measured on the real modules and programs (`capacity_proxy*`, `capacity_replica*`);
`at_target` multiplies them by the target's counts. Processor time is that of one core of this machine. The
figures in docs/CAPACITY.md are from the full run.

    python -m benchmarks.capacity [--quick]
"""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from multiprocessing import get_context

from benchmarks import capacity_proxy, capacity_proxy_process, capacity_replica, capacity_replica_processes
from benchmarks.capacity_records import ROUTES, configuration_body
from benchmarks.capacity_replica import Figures
from benchmarks.report import print_progress, report

DAY_S = 86_400.0


@dataclass(frozen=True)
class Target:
    """Size expected in about two years, as the operators state it; other values are marked as assumed."""

    proxies: int = 980
    services: int = 57
    calls_per_s: float = 49_000.0
    depth: int = 16  # maximum depth of nested calls
    changes_per_day: float = 1_100.0
    heartbeat_s: float = 1.5  # assumed: as on their sites today
    window_s: float = 65.0  # assumed: retention time of keys, as today
    # Assumed, from the tables of four sites: 0.201 to 0.206 of the requests of clients are keyed (133 of 660,
    # 154 of 748 a second), calls of backends never. The upper bound is that all calls come from clients, the
    # lower bound that each call of a client causes 15 others.
    keyed_share: float = 0.206

    @property
    def max_claims_per_s(self) -> float:
        return self.calls_per_s * self.keyed_share

    @property
    def min_claims_per_s(self) -> float:
        return self.max_claims_per_s / self.depth


TARGET = Target()


def at_target(figures: Figures, quick: bool) -> Figures:
    """Return the measured costs per unit, multiplied by the target's counts."""
    voters, batch = 5, 10
    proxies = TARGET.proxies
    per_proxy = f"proxy_among_{proxies}"
    gossip = f"gossip_{100 if quick else proxies}_members"
    claim_bytes = figures["frame_claim_bytes"] + figures["frame_claimed_bytes"]
    lease_bytes = figures["frame_need_of_57_services_bytes"] + figures["frame_granted_to_57_services_bytes"]
    keyed = TARGET.max_claims_per_s / proxies
    keys = TARGET.max_claims_per_s * TARGET.window_s
    largest = max(int(name.split("_")[1]) for name in figures if name.endswith("_keys_load_ms"))
    snapshot = f"snapshot_{largest}_keys"
    claim = f"claim_{voters}_voters_batch_{batch}"
    at_max_rate = "process_3_replicas_most"
    leader_us = 1e6 * figures[f"{at_max_rate}_leader_core"] / figures[f"{at_max_rate}_claims_per_s"]
    follower_us = 1e6 * figures[f"{at_max_rate}_follower_core"] / figures[f"{at_max_rate}_claims_per_s"]
    # All work of a proxy for control. A readiness check comes once a second, and is estimated to cost as much
    # as a heartbeat on a new connection.
    heartbeat_s_on_new_connection = figures[f"{per_proxy}_heartbeat_dialled_us"] / 1e6
    proxy_core = (
        figures[f"{per_proxy}_calm_calling_57_services_core"]
        + heartbeat_s_on_new_connection * (1.0 / TARGET.heartbeat_s + 1.0)
        + keyed * (figures[f"{per_proxy}_keyed_call_us"] - figures[f"{per_proxy}_call_us"]) / 1e6
        + TARGET.changes_per_day / DAY_S * figures[f"{per_proxy}_configuration_ms"] / 1e3
    )
    return {
        "target_proxy_core": proxy_core,
        "target_proxy_core_with_a_full_mesh": proxy_core + figures[f"{per_proxy}_taken_connections_core"],
        "target_heartbeats_core": figures[f"{per_proxy}_heartbeat_us"] / 1e6 / TARGET.heartbeat_s,
        "target_heartbeats_at_one_process_core": proxies
        * figures[f"{per_proxy}_heartbeat_us"]
        / 1e6
        / TARGET.heartbeat_s,
        "target_gossip_bytes_per_s": figures[f"{gossip}_bytes_a_s"],
        "target_gossip_sum_bytes_per_s": proxies * figures[f"{gossip}_bytes_a_s"],
        "target_claim_bytes_per_s": keyed * claim_bytes,
        "target_lease_bytes_per_s": lease_bytes / 3.0,
        "target_lease_bytes_per_s_in_need": lease_bytes,
        "target_configuration_bytes_per_s": TARGET.changes_per_day
        / DAY_S
        * figures[f"configuration_{ROUTES}_routes_difference_bytes"],
        "target_rack_of_40_s_of_a_core": 40 * 2 * figures[f"{per_proxy}_changed_record_us"] / 1e6,
        "target_zone_of_196_s_of_a_core": 196 * 2 * figures[f"{per_proxy}_changed_record_us"] / 1e6,
        "target_most_claims_per_s": TARGET.max_claims_per_s,
        "target_least_claims_per_s": TARGET.min_claims_per_s,
        "target_leader_claims_core": TARGET.max_claims_per_s * leader_us / 1e6,
        "target_follower_claims_core": TARGET.max_claims_per_s * follower_us / 1e6,
        # At this rate there is little batching: one or two claims per sync.
        "target_least_leader_claims_core": TARGET.min_claims_per_s
        * figures["process_3_replicas_600_claims_leader_core"]
        / figures["process_3_replicas_600_claims_per_s"],
        "target_log_bytes_per_s": TARGET.max_claims_per_s * figures[f"{claim}_log_bytes"],
        "target_leader_sent_bytes_per_s_of_5": TARGET.max_claims_per_s
        * (figures[f"{claim}_leader_sent_bytes"] + figures["frame_claimed_bytes"]),
        "target_keys": keys,
        "target_keys_mb": keys * figures["memory_per_key"] / 1e6,
        "target_snapshot_mb": keys * figures[f"{snapshot}_bytes"] / largest / 1e6,
        "target_snapshot_ms": keys * figures[f"{snapshot}_ms"] / largest,
        "target_leases_core": proxies / 3.0 * TARGET.services * figures["lease_calm_980_proxies_us"] / 1e6,
        "target_leases_one_service_in_need_core": proxies * figures["lease_wanted_980_proxies_us"] / 1e6,
    }


def measure(job: tuple[str, bool]) -> Figures:
    """Measure `proxy` or `replica`; each uses about two cores."""
    kind, quick = job
    if kind == "proxy":
        return capacity_proxy_process.processes(quick) | capacity_proxy.gossip_slopes(quick)
    return (
        capacity_replica_processes.processes(quick)
        | capacity_replica.claim_slopes(quick)
        | capacity_replica.snapshot_slopes(quick, configuration_body(1, ROUTES))
        | capacity_replica.lease_slopes(quick)
        | capacity_proxy.frame_slopes(quick)
        | capacity_proxy.configuration_slopes(quick)
        | capacity_proxy.directory_memory()
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--quick", action="store_true", help="shorter, and without the group of 980 members in memory"
    )
    quick = parser.parse_args().quick
    figures: Figures = {}
    with get_context("fork").Pool(2) as pool:
        for measured in pool.imap_unordered(measure, [("proxy", quick), ("replica", quick)]):
            figures |= measured
    figures |= at_target(figures, quick)
    for name, value in figures.items():
        print_progress(f"{name:55} {value:14.4f}")
    report(figures)


if __name__ == "__main__":
    main()
