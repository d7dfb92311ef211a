"""Digests of key ranges: a prefix tree over the hashes of keys, updated with each change.

Nodes are numbered: the root is 1, and the children of node n are 16 n to 16 n + 15. Each node stores the
number of items in its range and the sum of their hashes.
"""

from __future__ import annotations

import hashlib
import random
from bisect import bisect_left, insort
from collections.abc import Iterator

FANOUT = 16  # children of a node
MAX_DEPTH = 3  # levels below the root, so at most 4,096 leaves; items of a leaf are compared one by one
ROOT = 1  # node number of the root
FINGERPRINT_BYTES = 2  # of an item of a range that is compared item by item
_BITS_PER_LEVEL = 4
_HASH_BITS = 64
_HASH_MASK = (1 << _HASH_BITS) - 1
_NODE_SUM_MASK = (1 << _HASH_BITS // 2) - 1


def hash64(data: bytes) -> int:
    """Return a 64-bit hash of these bytes."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def is_valid_node(node: int) -> bool:
    """Whether this is the number of a node; called for each number that a peer sends."""
    return 0 < node < FANOUT ** (MAX_DEPTH + 1) * 2 and (node.bit_length() - 1) % _BITS_PER_LEVEL == 0


def node_depth(node: int) -> int:
    """Return how many levels a node lies below the root."""
    return (node.bit_length() - 1) // _BITS_PER_LEVEL


def children(node: int) -> range:
    """Return the numbers of a node's children."""
    return range(node * FANOUT, node * FANOUT + FANOUT)


class MerkleTree:
    """The digests of a table's ranges.

    A node stores the sum of hashes rather than their exclusive or, in which an item counted twice would
    cancel out.
    """

    def __init__(self) -> None:
        self._items: dict[str, tuple[int, int]] = {}  # hash of the key and hash of the content, by key
        self._sorted_keys: list[tuple[int, str]] = []  # sorted (hash of the key, key)
        self._nodes: dict[int, tuple[int, int]] = {}  # sum of content hashes and number of items, by node

    def __len__(self) -> int:
        return len(self._items)

    def put(self, key: str, content_hash: int) -> None:
        """Set the content hash of a key; a key with hash 0 is counted, but changes no digest."""
        previous = self._items.get(key)
        key_hash = previous[0] if previous is not None else hash64(key.encode())
        if previous is None:
            insort(self._sorted_keys, (key_hash, key))
        self._items[key] = key_hash, content_hash
        previous_content_hash = previous[1] if previous is not None else 0
        self._add(key_hash, content_hash - previous_content_hash, previous is None)

    def drop(self, key: str) -> None:
        """Remove a key; raises KeyError if the tree does not have it."""
        key_hash, content_hash = self._items.pop(key)
        del self._sorted_keys[bisect_left(self._sorted_keys, (key_hash, key))]
        self._add(key_hash, -content_hash, -1)

    def _add(self, key_hash: int, hash_change: int, count_change: int) -> None:
        """Update the nodes on the path from the root to a key's leaf."""
        for level in range(MAX_DEPTH + 1):
            prefix_bits = _BITS_PER_LEVEL * level
            node = (1 << prefix_bits) | key_hash >> (_HASH_BITS - prefix_bits)
            total, count = self._nodes.get(node, (0, 0))
            if count + count_change:
                self._nodes[node] = (total + hash_change) & _HASH_MASK, count + count_change
            else:
                del self._nodes[node]

    def digest(self) -> bytes:
        """Return 8 bytes for the whole tree; equal if two trees have the same items."""
        return self._nodes.get(ROOT, (0, 0))[0].to_bytes(8, "big")

    def node(self, node: int) -> tuple[int, int]:
        """Return the low 32 bits of a node's sum of hashes, and its number of items."""
        total, count = self._nodes.get(node, (0, 0))
        return total & _NODE_SUM_MASK, count

    def item_count(self, node: int) -> int:
        """Return the number of items in a node's range."""
        return self._nodes.get(node, (0, 0))[1]

    def sample(self, rng: random.Random, max_count: int) -> list[str]:
        """Return up to `max_count` keys drawn at random."""
        drawn = rng.sample(self._sorted_keys, min(max_count, len(self._sorted_keys)))
        return [key for _, key in drawn]

    def keys(self, node: int) -> Iterator[str]:
        """Iterate over the keys in a node's range, in the order of their hashes."""
        shift = _HASH_BITS - _BITS_PER_LEVEL * node_depth(node)
        first = (node << shift) & _HASH_MASK
        for index in range(bisect_left(self._sorted_keys, (first, "")), len(self._sorted_keys)):
            key_hash, key = self._sorted_keys[index]
            if key_hash >= first + (1 << shift):
                return
            yield key

    def fingerprints(self, node: int, salt: int) -> Iterator[tuple[int, str]]:
        """Iterate over (fingerprint, key) of the items in a node's range whose content hash is not 0.

        A fingerprint has 16 bits. It depends on the salt, so that two contents whose fingerprints collide
        under one salt differ under the next.
        """
        for key in self.keys(node):
            key_hash, content_hash = self._items[key]
            if content_hash:
                mixed = (key_hash ^ content_hash) * (salt | 1) & _HASH_MASK
                yield mixed >> (_HASH_BITS - 8 * FINGERPRINT_BYTES), key
