"""Division of a retry budget between proxies and the leader, and validity of leases and offers.

`docs/design/budget.md` proves that the sum over all proxies stays within the budget.
"""

from __future__ import annotations

# Shares of the retries that the budget allows for each request: the first is local to each proxy, the second
# is leased by the leader to proxies with demand. The rest covers calls that the budget does not limit: those
# that a request makes when it is executed again.
LOCAL_SHARE, POOLED_SHARE = 0.5, 0.4
# Shares of the budget's slack (retries per window): the first is leased by the leader, the second gives each
# proxy one retry while there are few proxies. The rest covers calls of repeated executions, as above.
POOLED_SLACK_SHARE, LOCAL_SLACK_SHARE = 0.5, 0.25
LEASE_DURATION_S = 2.5  # validity of a grant, counted from its request
# Validity of an offer, counted from its arrival at the leader: two reports may be lost.
OFFER_DURATION_S = 8.0
MAX_REPORT_AGE_S = 6.0  # reports whose last received grant is older are ignored
MAX_CLOCK_DRIFT_FACTOR = 1.05  # largest ratio between the rates of two monotonic clocks


def offer_hold_time_s(window_s: float) -> float:
    """Return the time for which a proxy must not use an allowance that it offered, in seconds.

    It ends when the last retry that another proxy may make with the offer has left the window.
    """
    return MAX_CLOCK_DRIFT_FACTOR * (MAX_REPORT_AGE_S + OFFER_DURATION_S + LEASE_DURATION_S + window_s)


def grant_hold_time_s(window_s: float) -> float:
    """Return the time for which a grant counts as used at the leader, in seconds from the grant."""
    return MAX_CLOCK_DRIFT_FACTOR * (LEASE_DURATION_S + window_s)


def quarantine_s(window_s: float) -> float:
    """Return the time for which a new leader grants nothing, in seconds.

    Grants of its predecessor may be in use until then. A deposed leader stops granting within one second,
    which is added: see `cometdoor.control.leader_contact.QUORUM_CONTACT_MAX_AGE_S`.
    """
    return 1.0 + grant_hold_time_s(window_s)
