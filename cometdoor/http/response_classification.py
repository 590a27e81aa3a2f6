"""Classifies complete HTTP responses for the balancer, and parses their load reports."""

from __future__ import annotations

from collections.abc import Mapping

from cometdoor.balancing.api import Outcome
from cometdoor.http.messages import Response, parse_decimal

MAX_LOAD_REPORT_BYTES = 256  # the platform's reports have at most four values
NOT_EXECUTED_STATUSES = (503, 504)  # of responses that X-Never-Ran may mark as not executed
REJECTION_STATUSES = (429, 503)


def classify_platform_response(response: Response) -> Outcome:
    """Classify a response by the platform's rules.

    Only 200 is a success. Only a 503 or 504 with ``X-Never-Ran: 1`` proves that the request was not executed;
    after any other response it may have been executed.
    """
    if response.status == 200:
        return Outcome.OK
    if response.status in NOT_EXECUTED_STATUSES:
        for name, value in response.headers:
            if name.lower() == b"x-never-ran" and value.strip() == b"1":
                return Outcome.REJECTED
    return Outcome.ERROR


def classify_plain_response(response: Response) -> Outcome:
    """Classify a response of a backend that does not follow the platform's rules.

    Every status is a success except server errors (5xx) and rejections that may be retried (429, 503). A
    rejection without the platform's header does not prove that the request was not executed.
    """
    if response.status < 500 and response.status not in REJECTION_STATUSES:
        return Outcome.OK
    return classify_platform_response(response)


def parse_load_report(response: Response) -> Mapping[str, float]:
    """Return the load report of a response by the platform's metric names; empty without a valid report.

    Its format is ``Endpoint-Load-Metrics: TEXT util=0.61, qps=12.5``. A report with any invalid part is
    ignored: a server that seemed idle because of a misread number would get too many requests.
    """
    reports = [value for name, value in response.headers if name.lower() == b"endpoint-load-metrics"]
    if len(reports) != 1 or len(reports[0]) > MAX_LOAD_REPORT_BYTES or reports[0][:5].upper() != b"TEXT ":
        return {}
    load: dict[str, float] = {}
    try:
        for pair in reports[0][5:].split(b","):
            name, value = pair.strip().split(b"=")
            if name.decode() in load:
                return {}
            load[name.decode()] = parse_decimal(value)
    except ValueError:
        return {}
    return load
