"""Classification of backend responses: which request each belongs to, and whether that was executed."""

from __future__ import annotations

from cometdoor.balancing.api import Outcome
from cometdoor.http.messages import Response
from cometdoor.http.response_parser import ResponseCorrelation

NOT_EXECUTED_HEADER = b"cometdoor-not-executed"
SEAL_HEADER = b"cometdoor-response-seal"
ATTEMPT_ID_HEADER = b"cometdoor-attempt-id"
INSTANCE_ID_HEADER = b"cometdoor-instance-id"
CONTENT_ENCODING_HEADER = b"content-encoding"


def header_value(response: Response, name: bytes) -> bytes:
    """Return the first value of a header field, empty if there is none; `name` is in lower case."""
    return next((value for other, value in response.headers if other.lower() == name), b"")


def is_success(status: int) -> bool:
    """Return whether the status is of class 2xx (RFC 9110, 15.3)."""
    return 200 <= status < 300


def correlate_response(response: Response, attempt_id: bytes) -> ResponseCorrelation:
    """Determine whether a response belongs to the attempt with the given id.

    Every response of a backend carries the attempt id of its request exactly once. A response is ambiguous if
    it has no id or several different ones, if it has a Content-Encoding (backends send none, so an
    intermediary changed the body), or if it is a success without a seal or with a claim that the request was
    not executed: neither proves that this backend executed the request.
    """
    response_attempt_id: bytes | None = None
    is_encoded = is_sealed = is_not_executed = False
    for name, value in response.headers:  # a single pass, as this runs for every response
        field = name.lower()
        if field == ATTEMPT_ID_HEADER:
            if response_attempt_id is not None and response_attempt_id != value:
                return ResponseCorrelation.AMBIGUOUS
            response_attempt_id = value
        elif field == SEAL_HEADER:
            is_sealed = bool(value)
        elif field == NOT_EXECUTED_HEADER:
            is_not_executed = bool(value)
        elif field == CONTENT_ENCODING_HEADER:
            is_encoded = True
    if not response_attempt_id:
        return ResponseCorrelation.AMBIGUOUS
    if response_attempt_id != attempt_id:
        return ResponseCorrelation.OTHER_REQUEST
    is_unproven = is_success(response.status) and (is_not_executed or not is_sealed)
    return ResponseCorrelation.AMBIGUOUS if is_encoded or is_unproven else ResponseCorrelation.MATCHES


def correlate_probe_response(response: Response) -> ResponseCorrelation:
    """Determine whether a response belongs to a health check, not to an attempt: it has no attempt id."""
    return (
        ResponseCorrelation.OTHER_REQUEST
        if header_value(response, ATTEMPT_ID_HEADER)
        else ResponseCorrelation.MATCHES
    )


def classify_response(response: Response) -> Outcome:
    """Return the outcome of an attempt by the backend's response.

    The header ``Cometdoor-Not-Executed`` or status 421 (RFC 9110, 15.5.20) means that the request was not
    executed. Otherwise a status below 500 is a success for the balancer, and any other a failure.
    """
    if header_value(response, NOT_EXECUTED_HEADER) or response.status == 421:
        return Outcome.REJECTED
    return Outcome.OK if response.status < 500 else Outcome.ERROR
