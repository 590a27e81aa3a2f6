"""Bodies of one CRC-32. The checksum is linear in the bits of texts of one length, so a collision is a
solution of 32 equations: some letters of a padding are changed whose changes cancel out (Gauss, over
bits)."""

from __future__ import annotations

from zlib import crc32

LETTERS = 64  # twice as many unknowns as equations: there is always a solution


def collide(body: bytes, padding: bytes) -> bytes:
    """Another text with the same CRC-32; it differs in letters of `padding` alone, which stands in it once.

    `padding`: LETTERS times "a".
    """
    start = body.index(padding)

    def changed(places: int) -> bytes:
        letters = [b"b" if places >> place & 1 else b"a" for place in range(LETTERS)]
        return body[:start] + b"".join(letters) + body[start + LETTERS :]

    none = crc32(body)
    solved: dict[int, tuple[int, int]] = {}  # by highest bit: a difference, and what makes it
    for place in range(LETTERS):
        difference, places = crc32(changed(1 << place)) ^ none, 1 << place
        while difference and (row := solved.get(difference.bit_length())) is not None:
            difference, places = difference ^ row[0], places ^ row[1]
        if not difference:
            return changed(places)
        solved[difference.bit_length()] = difference, places
    raise AssertionError("32 equations have a solution in 33 unknowns")
