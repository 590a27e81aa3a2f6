"""The platform's requests: class, tenant and time stand in the path and in fields of the request's own."""

from __future__ import annotations

from collections.abc import Mapping

from cometdoor.http.messages import BadRequest, ClientRequest, read_fields, read_number
from jasperhall import api
from jasperhall.api import Effect


class PlatformReader:
    """`classes` and `tenants`: places in the settings, by name."""

    def __init__(
        self, settings: api.Settings, classes: Mapping[str, int], tenants: Mapping[str, int]
    ) -> None:
        self._classes = {name.encode(): place for name, place in classes.items()}
        self._of_class = settings.classes
        self._tenants = {name.encode(): place for name, place in tenants.items()}

    def read(self, request: ClientRequest) -> None:
        headers = read_fields(request)
        if request.method == b"GET" and request.target.split(b"?", 1)[0] == b"/up":
            request.is_up_check = True
        else:
            self._read_fields(request, headers)

    def _read_fields(self, request: ClientRequest, headers: dict[bytes, bytes]) -> None:
        in_path = request.target.split(b"?", 1)[0].split(b"/")[1:2]
        name = headers.get(b"x-qos") or (in_path[0] if in_path else b"")
        if in_path != [name]:
            raise BadRequest(400, "the path names another class than X-Qos")
        class_index = self._classes.get(name)
        if class_index is None:
            raise BadRequest(404, "unknown class")
        request.class_index = class_index
        cls = self._of_class[class_index]
        if request.method != (b"GET" if cls.effect is Effect.SAFE else b"POST"):
            raise BadRequest(405, "the class has another method")
        if cls.effect is Effect.KEYED and not headers.get(b"idempotency-key"):
            raise BadRequest(400, "Idempotency-Key is missing")
        request.trace = headers.get(b"x-trace-id", b"")
        if not request.trace:
            raise BadRequest(400, "X-Trace-Id is missing")
        try:
            request.left_ms = min(read_number(headers[b"x-expires-in"]) * 1000.0, cls.deadline_ms)
            hint = headers.get(b"x-size-hint")
            request.cost_ms = read_number(hint) / 1000.0 if hint else None
        except (KeyError, ValueError):
            raise BadRequest(400, "X-Expires-In or X-Size-Hint is missing or no number") from None
        if request.left_ms <= 0:
            raise BadRequest(400, "X-Expires-In is not above 0")
        request.tenant = self._tenants.get(headers.get(b"x-customer", b""), 0)
        request.is_retry = headers.get(b"x-second-try") == b"1"
