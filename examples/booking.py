"""A booking that is made at most once, even if responses are lost.

python -m examples.booking 127.0.0.1:8147 pitches.example
"""

from __future__ import annotations

import asyncio
import secrets
import sys

from cometdoor.client import Client, ExecutionFailed, NotExecuted, OutcomeUnknown, RequestKind, Response


async def book(client: Client, host: str, path: str, order: str, timeout_s: float = 4.0) -> Response:
    """Send one order with its idempotency key. Raises NotExecuted, OutcomeUnknown or ExecutionFailed."""
    return await client.call(
        "POST",
        host,
        path,
        deadline_s=timeout_s,
        kind=RequestKind.KEYED,
        key=order,
        headers={"Content-Type": "application/json"},
        body=b'{"pitch": 7}',
    )


async def book_and_report(client: Client, host: str, path: str, order: str) -> str:
    """Book, and return the message for the guest."""
    try:
        response = await book(client, host, path, order)
    except NotExecuted:
        return "not booked, and not charged: please try again"
    except ExecutionFailed as problem:
        return f"refused by the booking service: {problem.status}"
    except OutcomeUnknown:
        # The response is lost, or the order is still being executed. It must not be booked again with another
        # key before somebody has checked it: that could charge the guest twice.
        return f"not known yet; we look into order {order}"
    return f"booked, seal {response.headers.get('cometdoor-response-seal', '')}"


async def main(proxy: str, host: str) -> None:
    async with Client(proxy) as client:
        print(await book_and_report(client, host, "/keyed/7", "order-" + secrets.token_hex(6)))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:3]))
