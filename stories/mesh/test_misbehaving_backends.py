"""A simulated mesh with misbehaving backends: their executions are compared with the responses to clients."""

import asyncio
import random
from collections import Counter
from typing import Any, cast
from unittest import mock

from ward import each, test

import simulation.mesh
from simulation.mesh import SimulatedMesh, simulated_mesh
from standins.mesh import route
from standins.mesh_backend import Backend

MISBEHAVING_SHARE = 0.3  # of all responses
REPEAT_DELAY_S = (0.01, 0.3)


class MisbehavingWriter:
    """The writer of a backend's connection, which corrupts, repeats or drops some of the responses.

    Each write has to be one complete response.
    """

    def __init__(self, writer: asyncio.StreamWriter, rng: random.Random) -> None:
        self._writer = writer
        self._rng = rng
        self._written: list[bytes] = []
        self.transport = writer.transport

    def write(self, response: bytes) -> None:
        if b"Cometdoor-Attempt-Id" not in response or self._rng.random() > MISBEHAVING_SHARE:
            self._writer.write(response)
        else:
            self._rng.choice(
                [
                    self._previous_response_first,
                    self._extra_line_end,
                    self._without_id,
                    self._encoded,
                    self._truncated,
                    self._reset,
                    self._repeated_later,
                    self._rejection_of_another,
                    self._silent,
                ]
            )(response)
        self._written.append(response)

    def _previous_response_first(self, response: bytes) -> None:
        self._writer.write(b"".join(self._written[-1:]) + response)

    def _extra_line_end(self, response: bytes) -> None:
        self._writer.write(response + b"\r\n")

    def _without_id(self, response: bytes) -> None:
        self._writer.write(response.replace(b"Cometdoor-Attempt-Id", b"X-Attempt"))

    def _encoded(self, response: bytes) -> None:
        head, _, body = response.partition(b"\r\n\r\n")
        self._writer.write(head + b"\r\nContent-Encoding: x\r\n\r\n" + body[::-1])

    def _truncated(self, response: bytes) -> None:
        self._writer.write(response[: self._rng.randrange(len(response))])
        self._writer.close()

    def _reset(self, response: bytes) -> None:
        self.transport.abort()

    def _repeated_later(self, response: bytes) -> None:
        self._writer.write(response)
        delay_s = self._rng.uniform(*REPEAT_DELAY_S)
        asyncio.get_running_loop().call_later(delay_s, self._writer.write, response)

    def _rejection_of_another(self, response: bytes) -> None:
        rejection = b"HTTP/1.1 503 X\r\nCometdoor-Attempt-Id: x\r\nCometdoor-Not-Executed: 1\r\n"
        self._writer.write(rejection + b"Content-Length: 0\r\n\r\n" + response)

    def _silent(self, response: bytes) -> None:
        pass

    def close(self) -> None:
        self._writer.close()


class MisbehavingBackend(Backend):
    rng = random.Random(1)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await super()._serve(reader, cast(Any, MisbehavingWriter(writer, self.rng)))


async def send_and_count_statuses(mesh: SimulatedMesh, count: int) -> Counter[int]:
    """Send non-idempotent requests without client retries, and count the statuses of their responses."""

    async def send_one(index: int) -> int:
        await asyncio.sleep(index * 0.01)
        return (await mesh.attempt_once(mesh.planes[index % len(mesh.planes)], "once"))[0]

    return Counter(await asyncio.gather(*(send_one(index) for index in range(count))))


@test("misbehaving backends cause no wrong response and no second execution, {seed}")
def _(seed: int = each(1, 2)) -> None:
    with mock.patch.object(simulation.mesh, "Backend", MisbehavingBackend), simulated_mesh(seed) as mesh:
        MisbehavingBackend.rng = random.Random(seed)
        mesh.run(
            mesh.start_configured(
                routes=[route("idempotent"), route("keyed", "keyed"), route("once", "non_idempotent")]
            )
        )
        mesh.run(mesh.run_traffic(5.0, 100.0))
        assert not mesh.find_violations(), mesh.find_violations()
        before = set(mesh.traffic_log.runs)
        status_counts = mesh.run(send_and_count_statuses(mesh, 300))
        runs = {id: count for id, count in mesh.traffic_log.runs.items() if id not in before}
        assert set(runs.values()) == {1} and not mesh.find_violations(), mesh.find_violations()
        # A request that got 503 was not executed: there are at most as many executions as other statuses.
        assert len(runs) <= sum(status_counts.values()) - status_counts[503], status_counts
        assert status_counts[200] > 100, status_counts
