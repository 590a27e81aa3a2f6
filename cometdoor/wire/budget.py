"""Messages that lease shares of the retry budget from the control plane's leader to proxies."""

from __future__ import annotations

import msgspec


class LeaseDemand(msgspec.Struct, array_like=True, frozen=True):
    """Demand of one proxy for one service."""

    service: str
    requests: float  # number of requests in the window
    wanted_retries: float  # per window, beyond the proxy's local allowance
    offered_retries: float  # per window, from its local allowance; durations: `cometdoor.budget.lease`


class LeaseRequest(msgspec.Struct, tag="sh", array_like=True):
    """Demands of one proxy for all its services."""

    incarnation: str
    leader_time_s: float  # the one in the last `LeaseGrant` to this proxy; -1 before the first grant
    demands: list[LeaseDemand]


class LeaseGrant(msgspec.Struct, tag="sr", array_like=True):
    """Reply to a `LeaseRequest`."""

    leader_time_s: float  # time of the grant, on the leader's monotonic clock
    granted_retries: list[float]  # per window, in the order of the demands
