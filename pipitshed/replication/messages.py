"""What a repair says. The edge frames, bounds and checks it; each fits a datagram."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import Any, TypeVar

import msgspec

UNPACKED = 16_384  # bytes that a packed part may have
ROOM = 1200  # bytes of one message, so that it fits a datagram of 1,400 with the frame and a sender's word
Range = tuple[int, int, int]  # number, sum of the hashes, how many items
T = TypeVar("T")
_encoder = msgspec.msgpack.Encoder()


class Compare(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """What the sender holds in these ranges. In an answer stand those that differ, or their parts where they
    are big.
    """

    table: int  # its place among the tables
    ranges: tuple[Range, ...]
    answer: bool  # wanted


class Items(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """All that the sender holds in these ranges, by marks under a salt: tell it what it lacks."""

    table: int
    ranges: tuple[int, ...]
    salt: int
    marks: bytes


class Rows(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Items that the other lacked, in answer to `Items` for its ranges; or `fresh`, told before it asks."""

    table: int
    packed: bytes
    ranges: tuple[int, ...] = ()
    salt: int = 0  # as in the question
    wants: bytes = b""  # marks of what the sender lacks
    whole: bool = True  # whether this is all that was to be told of them
    fresh: bool = False


def pack(items: Sequence[Any]) -> bytes:
    """Items as they are told: much of them is alike, and deflated they take a third to a half."""
    deflate = zlib.compressobj(1, wbits=-zlib.MAX_WBITS)
    return deflate.compress(_encoder.encode(items)) + deflate.flush()


def unpack(packed: bytes, form: msgspec.msgpack.Decoder[tuple[T, ...]]) -> tuple[T, ...]:
    """What was packed, or nothing where it is damaged, or more than fits a datagram in good faith."""
    inflate = zlib.decompressobj(-zlib.MAX_WBITS)
    try:
        data = inflate.decompress(packed, UNPACKED)
        return form.decode(data) if inflate.eof else ()
    except (zlib.error, msgspec.MsgspecError):
        return ()
