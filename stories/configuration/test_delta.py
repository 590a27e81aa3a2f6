"""What a configuration is sent as."""

import json
import random

from ward import each, raises, test

from cometdoor.configuration.delta import BadDifference, difference, pack, patch, unpack


def a_body(routes: int, changed: int = 0, seed: int = 1) -> bytes:
    chance = random.Random(seed)
    listed = [
        {"name": f"r-{place}", "path-prefix": f"/p{place}/", "service": "pitch", "timeout-s": 1.5}
        for place in range(routes)
    ]
    for place in chance.sample(range(routes), changed):
        listed[place]["timeout-s"] = chance.random()
    return json.dumps({"revision": 2, "hosts": [{"hostname": "a.example", "host-routes": listed}]}).encode()


@test("a difference gives the new body to the byte: {name}")
def _(
    name: str = each("changed", "grown", "shrunk", "the same", "from none", "to none", "no JSON"),
    former: bytes = each(a_body(50), a_body(3), a_body(50), a_body(4), b"", a_body(9), b"},},},a},"),
    body: bytes = each(a_body(50, 4), a_body(60), a_body(2), a_body(4), a_body(9), b"", b"},a},b"),
) -> None:
    assert patch(former, difference(former, body)) == body
    assert unpack(pack(body)) == body


@test("of a thousand routes of which three change a hundredth of the bytes travels")
def _() -> None:
    former, body = a_body(1000), a_body(1000, 3)
    assert len(difference(former, body)) * 100 < len(body)


@test("a difference to another body, or one that is spoilt, is told as such")
def _() -> None:
    told = difference(a_body(20), a_body(20, 5))
    for former, packed in ((a_body(19), told), (b"", told), (a_body(20), told[:-3]), (a_body(20), b"no")):
        with raises(BadDifference):
            patch(former, packed)
