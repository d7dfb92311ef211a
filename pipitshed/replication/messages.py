"""Messages of anti-entropy. Each fits a datagram; the transport frames and authenticates it."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from typing import Any, TypeVar

import msgspec

from pipitshed.replication.merkle_tree import FINGERPRINT_BYTES

UNPACKED_LIMIT_BYTES = 16_384  # of the inflated items of one message
MESSAGE_LIMIT_BYTES = 1200  # with the frame and the sender's record it fits a datagram of 1,400 bytes
MAX_RANGES = 72  # per message
MAX_FINGERPRINTS = 256  # per message
Range = tuple[int, int, int]  # node number, sum of the hashes, number of items
T = TypeVar("T")
_encoder = msgspec.msgpack.Encoder()


class Compare(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """The sender's digests of these ranges.

    The answer has the ranges that differ, or their children if both sides have many items there.
    """

    table: int  # index of the table
    ranges: tuple[Range, ...]
    wants_answer: bool


class FetchRequest(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """A request for the items of these ranges that the sender lacks, by the fingerprints of those it has."""

    table: int
    ranges: tuple[int, ...]
    salt: int
    fingerprints: bytes


class Rows(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Items that the receiver lacks: the answer to a FetchRequest, a sample, or a push of fresh items."""

    table: int
    packed: bytes
    ranges: tuple[int, ...] = ()
    salt: int = 0  # of the request
    requested_fingerprints: bytes = b""  # fingerprints of items that the sender lacks itself
    complete: bool = True  # whether these are all items that the receiver lacks in the ranges
    fresh: bool = False

    @property
    def is_sample(self) -> bool:
        """Whether these are the first few rows for a peer that has almost none."""
        return not self.ranges and not self.complete


def pack(items: Sequence[Any]) -> bytes:
    """Encode and deflate items; similar items shrink to between a third and a half of their bytes."""
    deflate = zlib.compressobj(1, wbits=-zlib.MAX_WBITS)
    return deflate.compress(_encoder.encode(items)) + deflate.flush()


def unpack(packed: bytes, decoder: msgspec.msgpack.Decoder[tuple[T, ...]]) -> tuple[T, ...]:
    """Return the packed items; none if they are damaged or inflate beyond the limit."""
    inflate = zlib.decompressobj(-zlib.MAX_WBITS)
    try:
        data = inflate.decompress(packed, UNPACKED_LIMIT_BYTES)
        return decoder.decode(data) if inflate.eof else ()
    except (zlib.error, msgspec.MsgspecError):
        return ()


def decode_fingerprints(fingerprints: bytes) -> set[int]:
    """Return the fingerprints that a message carries, at most twice `MAX_FINGERPRINTS`."""
    end = min(len(fingerprints), 2 * MAX_FINGERPRINTS * FINGERPRINT_BYTES)
    return {
        int.from_bytes(fingerprints[start : start + FINGERPRINT_BYTES], "big")
        for start in range(0, end, FINGERPRINT_BYTES)
    }


def encode_fingerprints(fingerprints: Iterable[int]) -> bytes:
    """Encode fingerprints for a message, each in `FINGERPRINT_BYTES` bytes."""
    return b"".join(fingerprint.to_bytes(FINGERPRINT_BYTES, "big") for fingerprint in fingerprints)


def message_size(message: msgspec.Struct) -> int:
    """Return the encoded size in bytes, without the frame of the transport."""
    return len(_encoder.encode(message))
