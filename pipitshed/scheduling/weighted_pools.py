"""Weighted sampling from members that come, go and change their weights one by one.

A change, and a draw, touch a few blocks of fixed size, O(log n) of them. Nothing here knows what a member is,
or why it has a weight: the rules say that.
"""

from __future__ import annotations

import random
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Hashable
from functools import partial
from itertools import accumulate
from typing import Any, Generic, TypeVar

BLOCK = 32  # weights to a block, blocks to a block of blocks
REBUILT = 4  # where more than one place in so many has changed, a pool is made anew, or dropped if unused

Member = TypeVar("Member", bound=Hashable)
Weights = tuple[float, ...]


class Sums:
    """Weights by place, in blocks with their cumulated sums, whose totals are summed in blocks in turn. Sums
    are made from the weights as they stand, so that no rounding is left behind by those that were there.
    """

    __slots__ = ("_weights", "_sums", "_stale")

    def __init__(self, weights: list[float]) -> None:
        self._weights = [weights]  # of the places, then of the blocks of each level
        self._sums: list[list[list[float]]] = [[]]
        self._stale = set(range(-(-len(weights) // BLOCK)))

    def set(self, place: int, weight: float) -> None:
        """The weight at a place, or at the place behind the last."""
        weights = self._weights[0]
        if place == len(weights):
            weights.append(weight)
        elif weights[place] == weight:
            return
        else:
            weights[place] = weight
        self._stale.add(place // BLOCK)

    def total(self) -> float:
        """The sum of all weights; brings the sums up to date, in the blocks that have changed."""
        stale, level = self._stale, 0
        while stale:
            weights, sums = self._weights[level], self._sums[level]
            if level + 1 == len(self._sums) and len(weights) > BLOCK:
                self._weights.append([])
                self._sums.append([])
                stale = set(range(-(-len(weights) // BLOCK)))
            above = self._weights[level + 1] if level + 1 < len(self._weights) else []
            for block in sorted(stale):
                made = list(accumulate(weights[block * BLOCK : (block + 1) * BLOCK]))
                sums[block : block + 1] = [made]
                above[block : block + 1] = [made[-1]]
            level += 1
            stale = {block // BLOCK for block in stale} if level < len(self._sums) else set()
        self._stale.clear()
        top = self._sums[-1]
        return top[0][-1] if top else 0.0

    def at(self, part: float) -> int:
        """The place at which this part (0 to 1) of the total falls, once that was asked for; never one whose
        weight is 0.
        """
        place, rest = 0, part * self._sums[-1][0][-1]
        for sums in reversed(self._sums):
            block = sums[place]
            inner = bisect_right(block, rest)
            if inner == len(block):
                inner = bisect_left(block, block[-1])  # rounding led beyond the last weight that counts
            if inner:
                rest -= block[inner - 1]
            place = place * BLOCK + inner
        return place


class Pool(Generic[Member]):
    """The members of a tag, drawn by the first of their weights of which any is not 0."""

    __slots__ = ("total", "changed", "used", "_members", "_weigh", "_sums", "_drawn")

    def __init__(self, members: list[Member | None], weigh: Callable[[Member | None], Weights]) -> None:
        self._members = members  # by place, shared with all pools of the tag
        self._weigh = weigh
        self.changed: set[int] = set()  # places to be weighed again before the next draw
        self.used = True  # since this was last cleared
        self._sums = [Sums(list(weights)) for weights in zip(*map(weigh, members), strict=True)]
        self.settle()

    def settle(self) -> None:
        """Take in what has changed, and bring the sums up to date."""
        members, weigh = self._members, self._weigh
        for place in sorted(self.changed):
            for sums, weight in zip(self._sums, weigh(members[place]), strict=True):
                sums.set(place, weight)
        self.changed.clear()
        for sums in self._sums:
            self._drawn, self.total = sums, sums.total()  # a total of 0: there is nothing to draw
            if self.total > 0:
                break

    def draw(self, rng: random.Random) -> Member:
        """A member of a settled pool whose total is not 0, in proportion to its weight."""
        drawn = self._members[self._drawn.at(rng.random())]
        assert drawn is not None  # a free place has no weight
        return drawn


class Tagged(Generic[Member]):
    """The members with one tag, each at a place of its own while it is one, and their pools by key."""

    __slots__ = ("members", "places", "free", "pools", "changes")

    def __init__(self) -> None:
        self.members: list[Member | None] = []
        self.places: dict[Member, int] = {}
        self.free: list[int] = []
        self.pools: dict[Hashable, Pool[Member]] = {}
        self.changes = 0  # since unused pools were last dropped

    def add(self, member: Member) -> None:
        place = self.places[member] = self.free.pop() if self.free else len(self.members)
        self.members[place : place + 1] = [member]
        self.change(place)

    def remove(self, member: Member) -> None:
        place = self.places.pop(member)
        self.members[place] = None
        self.free.append(place)
        self.change(place)

    def change(self, place: int) -> None:
        """Have a place weighed again in the pools in use."""
        for pool in self.pools.values():
            pool.changed.add(place)
        self.changes += 1
        if self.much(self.changes):
            self.changes = 0
            self.pools = {key: pool for key, pool in self.pools.items() if pool.used}
            for pool in self.pools.values():
                pool.used = False

    def much(self, places: int) -> bool:
        """Whether it costs more to weigh so many places again than to make a pool anew."""
        return places * REBUILT > len(self.members)


class Pools(Generic[Member]):
    """The pools of all members: one for each tag that members have and each key by which `weigh` tells a
    member's weights, None where it is out. A pool is made on first use, and takes in at its next use what has
    changed since; one that is not used is dropped in time, so that a change touches those in use alone.
    """

    def __init__(self, weigh: Callable[[Member, Any], Weights | None], ways: int) -> None:
        self._weigh = weigh
        self._out = (0.0,) * ways
        self._tags: dict[Member, tuple[Hashable, ...]] = {}
        self._tagged: dict[Hashable, Tagged[Member]] = {}

    def add(self, member: Member, tags: tuple[Hashable, ...]) -> None:
        """A member that there was not; its tags stay as they are."""
        self._tags[member] = tags
        for tag in tags:
            self._tagged.setdefault(tag, Tagged()).add(member)

    def change(self, member: Member) -> None:
        """Have the member weighed again."""
        for tag in self._tags[member]:
            tagged = self._tagged[tag]
            tagged.change(tagged.places[member])

    def remove(self, member: Member) -> None:
        """The member is none any more."""
        for tag in self._tags.pop(member):
            tagged = self._tagged[tag]
            tagged.remove(member)
            if not tagged.places:
                del self._tagged[tag]

    def clear(self) -> None:
        """Have all members weighed again."""
        for tagged in self._tagged.values():
            tagged.pools.clear()

    def get(self, tag: Hashable, key: Hashable) -> Pool[Member] | None:
        """The pool to draw from until the next change; None where there is nothing to draw."""
        tagged = self._tagged.get(tag)
        if tagged is None:
            return None
        pool = tagged.pools.get(key)
        if pool is None or (pool.changed and tagged.much(len(pool.changed))):
            pool = tagged.pools[key] = Pool(tagged.members, partial(self._weighed, key))
        elif pool.changed:
            pool.settle()
        pool.used = True
        return pool if pool.total > 0 else None

    def _weighed(self, key: Hashable, member: Member | None) -> Weights:
        return (self._weigh(member, key) if member is not None else None) or self._out
