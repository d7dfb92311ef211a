"""Weighted random sampling from members that are added, removed and re-weighted one by one.

A change and a draw each access O(log n) blocks of fixed size. The caller defines the members and weights.
"""

from __future__ import annotations

import random
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Hashable
from functools import partial
from itertools import accumulate
from typing import Any, Generic, TypeVar

BLOCK_SIZE = 32  # weights in a block, and blocks in a block of the level above
REBUILD_DIVISOR = 4  # a pool is rebuilt where more than one index in this many has changed

Member = TypeVar("Member", bound=Hashable)
Weights = tuple[float, ...]


class PrefixSums:
    """Weights by index, in blocks with prefix sums; each level sums the totals of the blocks below it.

    A changed block is summed again from its weights, so that rounding errors do not accumulate.
    """

    __slots__ = ("_weights", "_sums", "_stale")

    def __init__(self, weights: list[float]) -> None:
        self._weights = [weights]  # by level: of single indexes, then of the blocks below
        self._sums: list[list[list[float]]] = [[]]
        self._stale = set(range(-(-len(weights) // BLOCK_SIZE)))

    def set(self, index: int, weight: float) -> None:
        """Set the weight at an index; the index after the last one is appended."""
        weights = self._weights[0]
        if index == len(weights):
            weights.append(weight)
        elif weights[index] == weight:
            return
        else:
            weights[index] = weight
        self._stale.add(index // BLOCK_SIZE)

    def total(self) -> float:
        """The sum of all weights; updates the sums of the blocks that have changed."""
        stale, level = self._stale, 0
        while stale:
            weights, sums = self._weights[level], self._sums[level]
            if level + 1 == len(self._sums) and len(weights) > BLOCK_SIZE:
                self._weights.append([])
                self._sums.append([])
                stale = set(range(-(-len(weights) // BLOCK_SIZE)))
            above = self._weights[level + 1] if level + 1 < len(self._weights) else []
            for block in sorted(stale):
                cumulative = list(accumulate(weights[block * BLOCK_SIZE : (block + 1) * BLOCK_SIZE]))
                sums[block : block + 1] = [cumulative]
                above[block : block + 1] = [cumulative[-1]]
            level += 1
            stale = {block // BLOCK_SIZE for block in stale} if level < len(self._sums) else set()
        self._stale.clear()
        top = self._sums[-1]
        return top[0][-1] if top else 0.0

    def index_at(self, fraction: float) -> int:
        """The index at which this fraction (0 to 1) of the total falls; never one whose weight is 0.

        The sums are those of the last call of `total`.
        """
        index, remaining = 0, fraction * self._sums[-1][0][-1]
        for sums in reversed(self._sums):
            block = sums[index]
            offset_in_block = bisect_right(block, remaining)
            if offset_in_block == len(block):
                offset_in_block = bisect_left(block, block[-1])  # rounding went past the last weight above 0
            if offset_in_block:
                remaining -= block[offset_in_block - 1]
            index = index * BLOCK_SIZE + offset_in_block
        return index


class Pool(Generic[Member]):
    """The members with a tag, drawn by the first kind of weight that any member has."""

    __slots__ = ("total", "changed", "used", "_members", "_member_weights", "_sums", "_active_sums")

    def __init__(
        self, members: list[Member | None], member_weights: Callable[[Member | None], Weights]
    ) -> None:
        self._members = members  # by index, shared with all pools of the tag; None if free
        self._member_weights = member_weights
        self.changed: set[int] = set()  # indexes whose weights are updated before the next draw
        self.used = True  # since unused pools were last removed
        self._sums = [
            PrefixSums(list(weights)) for weights in zip(*map(member_weights, members), strict=True)
        ]
        self.refresh()

    def refresh(self) -> None:
        """Update the weights of the members at changed indexes, and the sums."""
        members, member_weights = self._members, self._member_weights
        for index in sorted(self.changed):
            for sums, weight in zip(self._sums, member_weights(members[index]), strict=True):
                sums.set(index, weight)
        self.changed.clear()
        for sums in self._sums:
            self._active_sums, self.total = sums, sums.total()  # a total of 0: no member can be drawn
            if self.total > 0:
                break

    def draw(self, rng: random.Random) -> Member:
        """Draw a member in proportion to its weight; the pool is refreshed and its total is above 0."""
        member = self._members[self._active_sums.index_at(rng.random())]
        assert member is not None  # a free index has weight 0
        return member


class TagGroup(Generic[Member]):
    """The members with one tag, each with an index of its own, and their pools by key."""

    __slots__ = ("members", "indexes", "free_indexes", "pools", "change_count")

    def __init__(self) -> None:
        self.members: list[Member | None] = []
        self.indexes: dict[Member, int] = {}
        self.free_indexes: list[int] = []
        self.pools: dict[Hashable, Pool[Member]] = {}
        self.change_count = 0  # since unused pools were last removed

    def add(self, member: Member) -> None:
        """Assign an index to a new member."""
        index = self.indexes[member] = self.free_indexes.pop() if self.free_indexes else len(self.members)
        self.members[index : index + 1] = [member]
        self.change(index)

    def remove(self, member: Member) -> None:
        """Remove a member and free its index."""
        index = self.indexes.pop(member)
        self.members[index] = None
        self.free_indexes.append(index)
        self.change(index)

    def change(self, index: int) -> None:
        """Mark an index as changed in all pools; from time to time, remove the pools that were not used."""
        for pool in self.pools.values():
            pool.changed.add(index)
        self.change_count += 1
        if self.is_rebuild_cheaper(self.change_count):
            self.change_count = 0
            self.pools = {key: pool for key, pool in self.pools.items() if pool.used}
            for pool in self.pools.values():
                pool.used = False

    def is_rebuild_cheaper(self, index_count: int) -> bool:
        """Whether rebuilding a pool costs less than updating this many indexes."""
        return index_count * REBUILD_DIVISOR > len(self.members)


class Pools(Generic[Member]):
    """The pools of all members: one for each tag that members have and each key of their weights.

    `member_weights` returns the `weight_count` weights of a member for a key, or None where the member can't
    be drawn. A pool is built on first use and updated at its next use after a change. Unused pools are
    removed, so that the cost of a change depends only on the pools in use.
    """

    def __init__(self, member_weights: Callable[[Member, Any], Weights | None], weight_count: int) -> None:
        self._member_weights = member_weights
        self._no_weights = (0.0,) * weight_count
        self._tags: dict[Member, tuple[Hashable, ...]] = {}
        self._groups: dict[Hashable, TagGroup[Member]] = {}

    def add(self, member: Member, tags: tuple[Hashable, ...]) -> None:
        """Add a new member."""
        self._tags[member] = tags
        for tag in tags:
            self._groups.setdefault(tag, TagGroup()).add(member)

    def change_tags(self, member: Member, tags: tuple[Hashable, ...]) -> None:
        """Replace a member's tags; its weights are read again."""
        self.remove(member)
        self.add(member, tags)

    def change(self, member: Member) -> None:
        """Mark a member's weights as changed."""
        for tag in self._tags[member]:
            group = self._groups[tag]
            group.change(group.indexes[member])

    def remove(self, member: Member) -> None:
        """Remove a member from the pools of all its tags."""
        for tag in self._tags.pop(member):
            group = self._groups[tag]
            group.remove(member)
            if not group.indexes:
                del self._groups[tag]

    def clear(self) -> None:
        """Discard all pools, so that the weights of all members are read again."""
        for group in self._groups.values():
            group.pools.clear()

    def get(self, tag: Hashable, key: Hashable) -> Pool[Member] | None:
        """The pool for a tag and a key, valid until the next change; None where no member has a weight."""
        group = self._groups.get(tag)
        if group is None:
            return None
        pool = group.pools.get(key)
        if pool is None or (pool.changed and group.is_rebuild_cheaper(len(pool.changed))):
            pool = group.pools[key] = Pool(group.members, partial(self._weights_or_zeros, key))
        elif pool.changed:
            pool.refresh()
        pool.used = True
        return pool if pool.total > 0 else None

    def _weights_or_zeros(self, key: Hashable, member: Member | None) -> Weights:
        return (self._member_weights(member, key) if member is not None else None) or self._no_weights
