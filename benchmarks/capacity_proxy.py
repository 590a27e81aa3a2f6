"""Cost of a proxy's control work by module: configurations, frames, gossip, memory of the directory.

The modules are timed in isolation; `benchmarks.capacity_proxy_process` measures a real proxy.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable
from functools import partial

from benchmarks.capacity_records import (
    ROUTES,
    SENT_BYTES,
    SERVICES,
    configuration_body,
    record_of,
    service_name,
)
from benchmarks.capacity_replica import Figures, claim_of
from cometdoor.configuration import delta
from cometdoor.configuration.document import parse
from cometdoor.configuration.routes import Routes
from cometdoor.gossip.directory import Directory
from cometdoor.wire.budget import LeaseDemand, LeaseGrant, LeaseRequest
from cometdoor.wire.consensus import AppendEntries
from cometdoor.wire.forwarding import ForwardRequest, ForwardResponse
from cometdoor.wire.frames import Frame, FrameDecoder, Message, encode
from cometdoor.wire.gossip import (
    DigestReply,
    DigestRequest,
    GossipUpdate,
)
from cometdoor.wire.keys import ClaimReply, ClaimRequest, KeyOwner
from cometdoor.wire.log_entries import LogEntry
from simulation.gossip import GossipMesh
from standins.mesh_backend import HOST


def _mean_cpu_us(function: Callable[[], object], seconds: float) -> float:
    """Return the processor time of one call, in microseconds."""
    count, started_at = 0, time.process_time()
    while (cpu_s := time.process_time() - started_at) < seconds:
        function()
        count += 1
    return 1e6 * cpu_s / count


def configuration_slopes(quick: bool) -> Figures:
    figures: Figures = {}
    seconds = 0.2 if quick else 1.0
    for routes in (300, ROUTES, 1_000):
        previous_body, body = configuration_body(1, routes), configuration_body(2, routes)
        document, encoded_delta = parse(body), delta.encode_delta(previous_body, body)
        name = f"configuration_{routes}_routes"
        figures |= {
            f"{name}_bytes": len(body),
            f"{name}_packed_bytes": len(delta.compress(body)),
            f"{name}_difference_bytes": len(encoded_delta),
            f"{name}_parse_ms": _mean_cpu_us(partial(parse, body), seconds) / 1e3,
            f"{name}_routes_ms": _mean_cpu_us(partial(Routes, document), seconds) / 1e3,
            f"{name}_difference_ms": _mean_cpu_us(partial(delta.encode_delta, previous_body, body), seconds)
            / 1e3,
            f"{name}_patch_ms": _mean_cpu_us(
                partial(delta.apply_delta, previous_body, encoded_delta), seconds
            )
            / 1e3,
        }
    return figures


def _decode(data: bytes) -> list[Frame]:
    return FrameDecoder().feed(data)


def frame_slopes(quick: bool) -> Figures:
    """Return for each frame its bytes, and the processor time to encode and to decode it."""
    records = [record_of(number) for number in range(980)]
    entries = [LogEntry(number, 3, claim_of(number)) for number in range(10)]
    headers = [(b"Host", HOST.encode()), (b"Accept", b"*/*"), (b"User-Agent", b"client/1.0")]
    run = ForwardRequest(
        b"0" * 16,
        b"GET",
        b"/p1/1",
        headers,
        b"",
        4000.0,
        1500.0,
        2,
        service_name(1),
        records[1].node,
        False,
    )
    messages: dict[str, Message] = {
        "compare": DigestRequest(records[0].address, 41, 980, 1 << 63),
        "compared": DigestReply(records[0].address, 41),
        "one_record": GossipUpdate(records[0].address, records[:1], 41),
        "980_records": DigestReply(records[0].address, 41, records),
        "claim": ClaimRequest([claim_of(1)]),
        "claimed": ClaimReply([KeyOwner("10.1.0.38:7380", "5f2ac18e.1")]),
        "append_10_claims": AppendEntries(3, "5f2ac18e90ab", "10.9.0.1:7381", 0, 3, entries, 0, 1 << 20),
        "need_of_57_services": LeaseRequest(
            "5f2ac18e", 1e5, [LeaseDemand(service_name(index), 12.0, 0.0, 0.4) for index in range(SERVICES)]
        ),
        "granted_to_57_services": LeaseGrant(1e5, [0.5] * SERVICES),
        "run": run,
        "ran": ForwardResponse(200, headers, b"x" * SENT_BYTES),
    }
    seconds = 0.1 if quick else 0.5
    figures: Figures = {}
    for name, message in messages.items():
        frame = Frame(1, False, message)
        data = encode(frame)
        figures[f"frame_{name}_bytes"] = len(data)
        figures[f"frame_{name}_encode_us"] = _mean_cpu_us(partial(encode, frame), seconds)
        figures[f"frame_{name}_read_us"] = _mean_cpu_us(partial(_decode, data), seconds)
    return figures


def gossip_slopes(quick: bool) -> Figures:
    """Return messages and processor time of a member, when nothing changes and when a restarted one returns.

    Bytes are reported by `benchmarks.gossip`. Sockets are not included.
    """
    figures: Figures = {}
    for size in (12, 100) if quick else (12, 100, 980):
        mesh = GossipMesh(size, size)
        mesh.run(8.0)
        calm_s = 4.0
        started_at, sent, data = time.process_time(), mesh.messages_sent, mesh.bytes_sent
        mesh.run(calm_s)
        cpu_s, calm_bytes = time.process_time() - started_at, mesh.bytes_sent - data
        calm_messages = mesh.messages_sent - sent
        figures[f"gossip_{size}_members_us_a_s"] = 1e6 * cpu_s / calm_s / size
        figures[f"gossip_{size}_members_messages_a_s"] = calm_messages / calm_s / size
        figures[f"gossip_{size}_members_bytes_a_s"] = calm_bytes / calm_s / size
        data = mesh.bytes_sent
        mesh.restart(f"n{size // 2}")
        mesh.run(calm_s)
        figures[f"gossip_{size}_members_restart_bytes"] = (mesh.bytes_sent - data - calm_bytes) / size
    return figures


def directory_memory() -> Figures:
    """Return the memory of one record that arrived in a frame."""
    counts = (100, 980)
    allocated_bytes = []
    for count in counts:
        data = encode(
            Frame(1, True, DigestReply("10.0.0.1:7380", 1, [record_of(index) for index in range(count)]))
        )
        tracemalloc.start()
        directory = Directory(record_of(count), [], random.Random(1), 0.0)
        [frame] = FrameDecoder().feed(data)
        assert isinstance(frame.message, DigestReply)
        directory.on_digest_reply("10.0.0.1:7380", frame.message, 0.0)
        del frame
        allocated_bytes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    return {"directory_record_bytes": (allocated_bytes[1] - allocated_bytes[0]) / (counts[1] - counts[0])}
