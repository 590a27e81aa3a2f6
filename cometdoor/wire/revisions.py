"""Revisions of configurations in msgpack. Operators choose them, and they may be larger than 64 bits.

MessagePack has whole numbers of 64 bits at most. A revision that fits is encoded as one, as every build
does; a larger one is encoded as its bytes, most significant byte first, which builds before it can't read.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

ValueT = TypeVar("ValueT")

MAX_MSGPACK_INT = (1 << 64) - 1  # MessagePack specification, "int format family"

if TYPE_CHECKING:
    Revision = int
else:

    class Revision(int):
        """A revision of a configuration: an int that msgspec passes to the functions below."""


def encode_revision(value: object) -> object:
    """Return what msgspec encodes in place of a `Revision`; for the option `enc_hook` of encoders.

    Raises
    ------
    NotImplementedError
        If the value has another type, which msgspec can't encode.
    """
    if not isinstance(value, Revision):
        raise NotImplementedError(f"{type(value).__name__} can't be encoded")
    number = int(value)
    if number <= MAX_MSGPACK_INT:
        return number
    return number.to_bytes((number.bit_length() + 7) // 8, "big")


def decode_revision(expected_type: type, value: Any) -> object:
    """Return the `Revision` for what msgspec decoded; for the option `dec_hook` of decoders.

    Raises
    ------
    ValueError
        If the value is neither a whole number nor bytes; msgspec turns it into a `ValidationError`.
    NotImplementedError
        If another type is expected.
    """
    if expected_type is not Revision:
        raise NotImplementedError(f"{expected_type.__name__} can't be decoded")
    if isinstance(value, bytes):
        return Revision(int.from_bytes(value, "big"))
    if isinstance(value, int) and not isinstance(value, bool):
        return Revision(value)
    raise ValueError(f"a revision is a whole number or bytes, not {type(value).__name__}")


_encoder = msgspec.msgpack.Encoder(enc_hook=encode_revision)


def encode(value: object) -> bytes:
    """Encode a value that may contain revisions."""
    return _encoder.encode(value)


def decode(data: bytes, expected_type: type[ValueT]) -> ValueT:
    """Decode a value that may contain revisions.

    Raises
    ------
    msgspec.MsgspecError
        If it can't be decoded as this type.
    """
    return msgspec.msgpack.decode(data, type=expected_type, dec_hook=decode_revision)
