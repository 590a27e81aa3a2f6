"""A proxy drains after SIGTERM while backends pause in the middle of their answers."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins_2 import HAS_TROUBLE, Run, drain_case, play

SILENCE_S = 1.5 if HAS_TROUBLE else 0.0


async def answer_in_two_parts(writer: asyncio.StreamWriter, run: Run, head: bytes) -> None:
    """Send head and half of the body, then, after a silence, the rest."""
    body = run.attempt.encode()
    writer.write(head + b"Content-Length: %d\r\n\r\n" % len(body) + body[:8])
    await writer.drain()
    await asyncio.sleep(SILENCE_S)
    writer.write(body[8:])


play(__file__, drain_case(answer_in_two_parts), side_count=3)
