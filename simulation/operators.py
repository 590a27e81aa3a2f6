"""Operators of a simulated mesh, who call the control planes like any external client.

An operator picks a control plane from a list that may be outdated and follows two redirects. After a failure,
a 5xx, a 408 or 429, or a second without response it tries another one after an exponential backoff.
Responses may be lost on their way; the same change is then sent again unchanged. Every exchange is logged.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.http_client import http_request
from standins.mesh_backend import CONTROL_PORT

REQUEST_TIMEOUT_S = 1.0
BACKOFF_MIN_S, BACKOFF_MAX_S = 0.1, 2.0
MAX_REDIRECTS = 2
FINAL_STATUSES = (200, 400, 409, 412, 413, 422)  # a response with one of these ends the call


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request and its response."""

    started_at: float
    ended_at: float
    address: str
    status: int  # 0: no response
    location: str = ""  # address in a 307
    is_lost: bool = False  # the response did not reach the operator


@dataclass(frozen=True, slots=True)
class Order:
    """A change of the configuration that an operator submits."""

    base: int
    revision: int
    body: bytes


@dataclass
class Call:
    """A change or a read (`order` None), with all its exchanges."""

    order: Order | None
    exchanges: list[Exchange] = field(default_factory=list)
    status: int = 0  # the final one; 0: none in time
    body: bytes = b""

    @property
    def started_at(self) -> float:
        return self.exchanges[0].started_at

    @property
    def ended_at(self) -> float:
        return self.exchanges[-1].ended_at


class FleetOperator:
    """Submits changes and reads, follows redirects, retries, and logs each exchange."""

    def __init__(
        self,
        list_addresses: Callable[[], list[str]],
        rng: random.Random,
        response_loss_share: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Set up an operator without calls.

        `list_addresses`: returns the control planes as currently listed. `response_loss_share`: returns the
        share of responses to changes that is lost at present.
        """
        self._list_addresses = list_addresses
        self._rng = rng
        self._response_loss_share = response_loss_share
        self.calls: list[Call] = []

    async def replace(self, order: Order, timeout_s: float = 20.0) -> Call:
        """Submit a change until there is a final response; resend it unchanged after any other."""
        return await self._call(Call(order), timeout_s)

    async def describe(self, timeout_s: float = 20.0) -> Call:
        return await self._call(Call(None), timeout_s)

    async def request_once(self, address: str, order: Order | None) -> Call:
        """Send one request to that control plane, without following redirects."""
        call = Call(order)
        self.calls.append(call)
        exchange, call.body = await self._send(address, *_build_request(order))
        call.exchanges.append(exchange)
        call.status = 0 if exchange.is_lost else exchange.status
        return call

    async def _call(self, call: Call, timeout_s: float) -> Call:
        self.calls.append(call)
        deadline, backoff_s, previous_address = time.monotonic() + timeout_s, BACKOFF_MIN_S, ""
        while time.monotonic() < deadline:
            candidates = [
                address for address in self._list_addresses() if address != previous_address
            ] or self._list_addresses()
            address = previous_address = self._rng.choice(candidates)
            for _ in range(MAX_REDIRECTS + 1):
                exchange, call.body = await self._send(address, *_build_request(call.order))
                call.exchanges.append(exchange)
                if exchange.status != 307 or exchange.is_lost:
                    break
                address = exchange.location
            if exchange.status in FINAL_STATUSES and not exchange.is_lost:
                call.status = exchange.status
                return call
            await asyncio.sleep(backoff_s * self._rng.uniform(0.8, 1.0))
            backoff_s = min(2 * backoff_s, BACKOFF_MAX_S)
        return call

    async def _send(
        self, address: str, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[Exchange, bytes]:
        started_at = time.monotonic()
        status, response_headers, body_received = 0, {"location": ""}, b""
        try:
            status, headers_received, body_received = await http_request(
                address, CONTROL_PORT, method, path, headers, body, REQUEST_TIMEOUT_S
            )
            response_headers |= headers_received
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        is_lost = status != 0 and method == "POST" and self._rng.random() < self._response_loss_share()
        if is_lost:
            await asyncio.sleep(max(started_at + REQUEST_TIMEOUT_S - time.monotonic(), 0.0))
        location = response_headers["location"].removeprefix("http://").partition(":")[0]
        return Exchange(started_at, time.monotonic(), address, status, location, is_lost), body_received


def _build_request(order: Order | None) -> tuple[str, str, dict[str, str], bytes]:
    """Return method, path, headers and body of a replacement, or of a read."""
    if order is None:
        return "GET", "/Configuration.Describe", {}, b""
    return "POST", "/Configuration.Replace", {"Cometdoor-Base-Version": str(order.base)}, order.body
