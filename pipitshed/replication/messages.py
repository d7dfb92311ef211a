"""Messages of anti-entropy. Each fits a datagram; the transport frames, bounds and authenticates them."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from typing import Any, TypeVar

import msgspec

from pipitshed.replication.merkle_tree import FINGERPRINT_BYTES

UNPACKED_LIMIT_BYTES = 16_384  # of one packed part
MESSAGE_LIMIT_BYTES = 1200  # fits a datagram of 1,400 bytes with the frame and the sender's member record
MAX_RANGES = 72  # in one message
MAX_FINGERPRINTS = 256  # in one message
Range = tuple[int, int, int]  # node number, sum of the hashes, number of items
T = TypeVar("T")
_encoder = msgspec.msgpack.Encoder()


class Compare(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """The sender's digests of these ranges.

    The answer to it has those of them that differ, or their children where both sides have many items.
    """

    table: int  # index among the tables
    ranges: tuple[Range, ...]
    wants_answer: bool


class FetchRequest(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Fingerprints of all items that the sender has in these ranges: a request for those that it lacks."""

    table: int
    ranges: tuple[int, ...]
    salt: int
    fingerprints: bytes


class Rows(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Items that the receiver lacks: the answer to a `FetchRequest`, or an unrequested push (`fresh`)."""

    table: int
    packed: bytes
    ranges: tuple[int, ...] = ()
    salt: int = 0  # as in the request
    requested_fingerprints: bytes = b""  # fingerprints of what the sender lacks itself
    complete: bool = True  # whether these are all items that the ranges call for
    fresh: bool = False

    @property
    def is_sample(self) -> bool:
        """Whether these are a few rows for a peer that has almost none, to begin with."""
        return not self.ranges and not self.complete


def pack(items: Sequence[Any]) -> bytes:
    """Encode and deflate items: they are much alike, and deflating leaves a third to a half of the bytes."""
    deflate = zlib.compressobj(1, wbits=-zlib.MAX_WBITS)
    return deflate.compress(_encoder.encode(items)) + deflate.flush()


def unpack(packed: bytes, decoder: msgspec.msgpack.Decoder[tuple[T, ...]]) -> tuple[T, ...]:
    """Return the items that were packed; none where they are damaged or inflate beyond the limit."""
    inflate = zlib.decompressobj(-zlib.MAX_WBITS)
    try:
        data = inflate.decompress(packed, UNPACKED_LIMIT_BYTES)
        return decoder.decode(data) if inflate.eof else ()
    except (zlib.error, msgspec.MsgspecError):
        return ()


def decode_fingerprints(fingerprints: bytes) -> set[int]:
    """Return the fingerprints of a message."""
    end = min(len(fingerprints), 2 * MAX_FINGERPRINTS * FINGERPRINT_BYTES)
    return {
        int.from_bytes(fingerprints[start : start + FINGERPRINT_BYTES], "big")
        for start in range(0, end, FINGERPRINT_BYTES)
    }


def encode_fingerprints(fingerprints: Iterable[int]) -> bytes:
    """Join fingerprints for a message."""
    return b"".join(fingerprint.to_bytes(FINGERPRINT_BYTES, "big") for fingerprint in fingerprints)


def message_size(message: msgspec.Struct) -> int:
    """Return the encoded size in bytes, without what the transport adds."""
    return len(_encoder.encode(message))
