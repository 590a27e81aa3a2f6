"""Makes texts with equal CRC-32.

The checksum is affine in the bits of texts of one length. So a collision is a solution of 32 linear
equations: a set of changed padding letters whose effects cancel out. It is found by Gaussian elimination over
bits.
"""

from __future__ import annotations

from zlib import crc32

PADDING_LETTERS = 64  # unknowns, for 32 equations: there is always a solution


def make_crc32_collision(body: bytes, padding: bytes) -> bytes:
    """Return another text with the same CRC-32, which differs only in letters of `padding`.

    `padding`: PADDING_LETTERS times "a", contained in the text once.
    """
    start = body.index(padding)

    def apply_changes(changed_letters: int) -> bytes:
        letters = [b"b" if changed_letters >> letter & 1 else b"a" for letter in range(PADDING_LETTERS)]
        return body[:start] + b"".join(letters) + body[start + PADDING_LETTERS :]

    original_checksum = crc32(body)
    # By highest bit: the difference of the checksum, and the letters that cause it.
    basis: dict[int, tuple[int, int]] = {}
    for letter in range(PADDING_LETTERS):
        difference, changed_letters = crc32(apply_changes(1 << letter)) ^ original_checksum, 1 << letter
        while difference and (row := basis.get(difference.bit_length())) is not None:
            difference, changed_letters = difference ^ row[0], changed_letters ^ row[1]
        if not difference:
            return apply_changes(changed_letters)
        basis[difference.bit_length()] = difference, changed_letters
    raise AssertionError("32 equations have a solution in 33 unknowns")
