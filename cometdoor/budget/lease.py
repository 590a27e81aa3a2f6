"""How a retry budget is divided between proxies and the leader, and how long leases and offers are valid.

`docs/design/budget.md` proves that the sum over all proxies stays within the budget.
"""

from __future__ import annotations

# Shares of the retries that the budget allows for each request: one is local to each proxy, the other one is
# leased by the leader to proxies with demand. The rest covers calls that the budget does not gate: those that
# a request makes when it is executed a second time.
LOCAL_SHARE, POOLED_SHARE = 0.5, 0.4
# Shares of the budget's slack (retries per window): the leader leases one. The other one gives each proxy one
# retry, while there are few proxies. The rest covers calls of repeated executions, as above.
POOLED_SLACK_SHARE, LOCAL_SLACK_SHARE = 0.5, 0.25
LEASE_DURATION_S = 2.5  # validity of a grant, from the time of its request
OFFER_DURATION_S = 8.0  # validity of an offer, from its arrival at the leader: two reports may be lost
MAX_REPORT_AGE_S = 6.0  # a report that answers an older grant of the leader is ignored
MAX_CLOCK_DRIFT_FACTOR = 1.05  # between two monotonic clocks, at worst


def offer_hold_time_s(window_s: float) -> float:
    """Return for how long a proxy must not use an allowance that it offered, seconds.

    That is until the last retry that another proxy made with it has left the window.
    """
    return MAX_CLOCK_DRIFT_FACTOR * (MAX_REPORT_AGE_S + OFFER_DURATION_S + LEASE_DURATION_S + window_s)


def grant_hold_time_s(window_s: float) -> float:
    """Return for how long a grant counts as used at the leader, from the time of the grant, seconds."""
    return MAX_CLOCK_DRIFT_FACTOR * (LEASE_DURATION_S + window_s)


def quarantine_s(window_s: float) -> float:
    """Return for how long a new leader grants nothing, as its predecessor's grants may be in use, seconds.

    A deposed leader stops granting within one second, which is added: see
    `cometdoor.control.leader_contact.QUORUM_CONTACT_MAX_AGE_S`.
    """
    return 1.0 + grant_hold_time_s(window_s)
