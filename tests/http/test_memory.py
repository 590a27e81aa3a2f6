"""Finished requests and connections leave no entries in tables and no reference cycles."""

from __future__ import annotations

import asyncio
import gc
from collections import Counter

from tests.proxy_harness import (
    FakeServer,
    ProxyHarness,
    ScriptedBalancer,
    encode_head,
    endpoint_entry,
    run,
    send_all_to,
)


def test_finished_requests_attempts_and_connections_leave_no_objects() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with ScriptedBalancer().installed() as scripted_balancer:
            scripted_balancer.react = send_all_to("s1")
            proxy_harness = await ProxyHarness().start(endpoint_entry("s1", backend.address))
            gc.collect()
            gc.disable()
            gc.set_debug(gc.DEBUG_SAVEALL)
            try:
                for ending in ("served", "spoilt", "reset", "gone", "malformed", "refused", "silent") * 3:
                    client = await proxy_harness.connect()
                    if ending == "malformed":
                        client.writer.write(b"what\r\n\r\n")
                        await client.read_response()
                    elif ending == "refused":
                        client.writer.write(encode_head("GET /fly/1 HTTP/1.1"))
                        await client.read_response()
                    elif ending != "silent":
                        client.send_request()
                        call = await backend.next()
                        if ending == "served":
                            call.reply(200, b"x", "Connection: close")
                        elif ending == "spoilt":
                            call.writer.write(b"what\r\n\r\n")
                        elif ending == "reset":
                            call.reset()
                        if ending != "gone":
                            await client.read_response()
                    client.writer.close()
                    while proxy_harness.descriptors.used:
                        await asyncio.sleep(0)
                while proxy_harness.frontend.connections or proxy_harness.service._host._requests:
                    await asyncio.sleep(0)
                gc.collect()
                leaked_types = Counter(
                    type(leaked).__name__
                    for leaked in gc.garbage
                    if type(leaked).__module__.startswith(("cometdoor", "httptools"))
                )
            finally:
                gc.set_debug(0)
                gc.garbage.clear()
                gc.enable()
            assert not leaked_types
            assert not proxy_harness.service._open_traces and not proxy_harness.service._host._by_client
            assert not (
                proxy_harness.frontend.timeouts.awaiting_request
                or proxy_harness.frontend.timeouts.idle
                or proxy_harness.frontend.timeouts.lingering
            )

    run(test)
