"""Configurations encoded for peers."""

import json
import random

from ward import each, raises, test

from cometdoor.configuration.delta import DeltaError, apply_delta, compress, decompress, encode_delta


def make_body(routes: int, changed: int = 0, seed: int = 1) -> bytes:
    rng = random.Random(seed)
    routes_listed = [
        {"name": f"r-{index}", "path-prefix": f"/p{index}/", "service": "pitch", "timeout-s": 1.5}
        for index in range(routes)
    ]
    for index in rng.sample(range(routes), changed):
        routes_listed[index]["timeout-s"] = rng.random()
    return json.dumps(
        {"revision": 2, "hosts": [{"hostname": "a.example", "host-routes": routes_listed}]}
    ).encode()


@test("a delta gives the new body to the byte: {name}")
def _(
    name: str = each("changed", "grown", "shrunk", "the same", "from none", "to none", "no JSON"),
    base: bytes = each(
        make_body(50), make_body(3), make_body(50), make_body(4), b"", make_body(9), b"},},},a},"
    ),
    body: bytes = each(
        make_body(50, 4), make_body(60), make_body(2), make_body(4), make_body(9), b"", b"},a},b"
    ),
) -> None:
    assert apply_delta(base, encode_delta(base, body)) == body
    assert decompress(compress(body)) == body


@test("the delta of three changed routes of a thousand has a hundredth of the bytes")
def _() -> None:
    base, body = make_body(1000), make_body(1000, 3)
    assert len(encode_delta(base, body)) * 100 < len(body)


@test("a delta to another base, or a corrupt one, raises an error")
def _() -> None:
    delta = encode_delta(make_body(20), make_body(20, 5))
    for base, compressed in (
        (make_body(19), delta),
        (b"", delta),
        (make_body(20), delta[:-3]),
        (make_body(20), b"no"),
    ):
        with raises(DeltaError):
            apply_delta(base, compressed)
