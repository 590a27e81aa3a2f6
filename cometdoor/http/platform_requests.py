"""Reader of the platform's requests, which give class, tenant and remaining time in path and headers."""

from __future__ import annotations

from collections.abc import Mapping

from cometdoor.balancing import api
from cometdoor.balancing.api import Effect
from cometdoor.http.messages import BadRequestError, ClientRequest, parse_decimal, validate_headers


class PlatformReader:
    """Reads the heads of the platform's requests."""

    def __init__(
        self, settings: api.Settings, classes: Mapping[str, int], tenants: Mapping[str, int]
    ) -> None:
        """Store the settings; `classes` and `tenants` map names to indexes in them."""
        self._classes = {name.encode(): index for name, index in classes.items()}
        self._request_classes = settings.classes
        self._tenants = {name.encode(): index for name, index in tenants.items()}

    def read(self, request: ClientRequest) -> None:
        """Set class, tenant, trace id and remaining time of a request, or mark it as a health check.

        Raises
        ------
        BadRequestError
            With status 400, 404, 405 or 413, if the request is invalid.
        """
        headers = validate_headers(request)
        if request.method == b"GET" and request.target.split(b"?", 1)[0] == b"/up":
            request.is_health_check = True
        else:
            self._read_fields(request, headers)

    def _read_fields(self, request: ClientRequest, headers: dict[bytes, bytes]) -> None:
        path_class = request.target.split(b"?", 1)[0].split(b"/")[1:2]
        class_name = headers.get(b"x-qos") or (path_class[0] if path_class else b"")
        if path_class != [class_name]:
            raise BadRequestError(400, "the path names another class than X-Qos")
        class_index = self._classes.get(class_name)
        if class_index is None:
            raise BadRequestError(404, "unknown class")
        request.class_index = class_index
        cls = self._request_classes[class_index]
        if request.method != (b"GET" if cls.effect is Effect.SAFE else b"POST"):
            raise BadRequestError(405, "the class has another method")
        if cls.effect is Effect.KEYED and not headers.get(b"idempotency-key"):
            raise BadRequestError(400, "Idempotency-Key is missing")
        request.trace = headers.get(b"x-trace-id", b"")
        if not request.trace:
            raise BadRequestError(400, "X-Trace-Id is missing")
        try:
            request.remaining_ms = min(parse_decimal(headers[b"x-expires-in"]) * 1000.0, cls.deadline_ms)
            size_hint = headers.get(b"x-size-hint")
            request.cost_ms = parse_decimal(size_hint) / 1000.0 if size_hint else None
        except (KeyError, ValueError):
            raise BadRequestError(400, "X-Expires-In or X-Size-Hint is missing or no number") from None
        if request.remaining_ms <= 0:
            raise BadRequestError(400, "X-Expires-In is not above 0")
        request.tenant = self._tenants.get(headers.get(b"x-customer", b""), 0)
        request.is_retry = headers.get(b"x-second-try") == b"1"
