"""Digests of ranges: a prefix tree over the hashes of keys, kept with each change (a Merkle tree of sums)."""

from __future__ import annotations

import hashlib
import random
from bisect import bisect_left, insort
from collections.abc import Iterator

WAYS = 16
DEPTH = 3  # levels below the root: 4,096 ranges at the most; what lies in one of them is told item by item
ROOT = 1  # a range's number; its parts are 16 times that, and up
_BITS = 64
_MASK = (1 << _BITS) - 1
_HALF = (1 << _BITS // 2) - 1
MARK = 2  # bytes by which an item is told


def hashed(data: bytes) -> int:
    """64 bits that stand for these bytes."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def sound(node: int) -> bool:
    """Whether it is the number of a range; what strangers send is held against it."""
    return 0 < node < WAYS ** (DEPTH + 1) * 2 and (node.bit_length() - 1) % 4 == 0


def depth(node: int) -> int:
    """How many levels a range lies below the root."""
    return (node.bit_length() - 1) // 4


class MerkleTree:
    """What is held in each range: how many items, and the sum of their hashes. A change costs the depth. A
    sum, not an exclusive or, so that an item that is counted twice does not vanish.
    """

    def __init__(self) -> None:
        self._items: dict[str, tuple[int, int]] = {}  # by key: its place (the key's hash), its content's hash
        self._places: list[tuple[int, str]] = []  # in order
        self._nodes: dict[int, tuple[int, int]] = {}  # the sum, and how many

    def __len__(self) -> int:
        return len(self._items)

    def put(self, key: str, content: int) -> None:
        """Hold this hash for a key. 0 keeps the key in its range, and out of the digests."""
        held = self._items.get(key)
        place = held[0] if held is not None else hashed(key.encode())
        if held is None:
            insort(self._places, (place, key))
        self._items[key] = place, content
        self._add(place, content - (held[1] if held is not None else 0), held is None)

    def drop(self, key: str) -> None:
        """Hold a key no more."""
        place, content = self._items.pop(key)
        del self._places[bisect_left(self._places, (place, key))]
        self._add(place, -content, -1)

    def _add(self, place: int, content: int, items: int) -> None:
        for level in range(DEPTH + 1):
            node = (1 << 4 * level) | place >> (_BITS - 4 * level)
            total, count = self._nodes.get(node, (0, 0))
            if count + items:
                self._nodes[node] = (total + content) & _MASK, count + items
            else:
                del self._nodes[node]

    def digest(self) -> bytes:
        """8 bytes for all: equal where two hold the same."""
        return self._nodes.get(ROOT, (0, 0))[0].to_bytes(8, "big")

    def node(self, node: int) -> tuple[int, int]:
        """The sum of a range, half of its bits, and how many items it has."""
        total, items = self._nodes.get(node, (0, 0))
        return total & _HALF, items

    def sample(self, rng: random.Random, most: int) -> list[str]:
        """Some keys."""
        return [key for _, key in rng.sample(self._places, min(most, len(self._places)))]

    def keys(self, node: int) -> Iterator[str]:
        """The keys in a range, in order of their places."""
        shift = _BITS - 4 * depth(node)
        first = (node << shift) & _MASK
        for place in range(bisect_left(self._places, (first, "")), len(self._places)):
            where, key = self._places[place]
            if where >= first + (1 << shift):
                return
            yield key

    def marks(self, node: int, salt: int) -> Iterator[tuple[int, str]]:
        """16 bits for each item of a range that is in the digests, and its key. A salt draws them, so that
        two contents with one mark differ under the next.
        """
        for key in self.keys(node):
            place, content = self._items[key]
            if content:
                yield ((place ^ content) * (salt | 1) & _MASK) >> (_BITS - 8 * MARK), key
