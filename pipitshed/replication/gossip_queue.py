"""Items that are passed on with probes: each a bounded number of times, the least told and newest first."""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Generic, Protocol, TypeVar

TELLINGS = 4  # times log10 of the fleet that an item is passed on
MAX_QUEUED_ITEMS = 512  # items that wait to be passed on


class GossipItem(Protocol):
    """What can be told: a member's word, a row."""

    @property
    def key(self) -> str:
        """Of whom, or of what, it is: a newer one takes its place."""

    @property
    def size(self) -> int:
        """Bytes that it takes in a message."""


T = TypeVar("T", bound=GossipItem)


class GossipQueue(Generic[T]):
    """What one table still has to tell, by how often it has been. One item a key: a newer one takes the place
    of the older.
    """

    def __init__(self) -> None:
        self._levels: list[dict[str, T]] = [{}]
        self._level: dict[str, int] = {}  # how often the item of a key has been told

    def __len__(self) -> int:
        return len(self._level)

    def add(self, item: T, told: int = 0) -> None:
        """Tell this from now on; `told` puts it behind what was told less, and ends it sooner. Where too many
        wait, one of the most told goes.
        """
        self._drop(item.key)
        if len(self._level) >= MAX_QUEUED_ITEMS:
            self._drop(next(iter(next(level for level in reversed(self._levels) if level))))
        self._put(item, told)

    def _put(self, item: T, level: int) -> None:
        while level >= len(self._levels):
            self._levels.append({})
        self._levels[level][item.key] = item
        self._level[item.key] = level

    def _drop(self, key: str) -> None:
        if (level := self._level.pop(key, None)) is not None:
            del self._levels[level][key]

    def clear(self) -> None:
        """Nothing is to be told any more."""
        self._levels, self._level = [{}], {}

    def take(self, room: int, fleet: int, but: Collection[T] = ()) -> tuple[T, ...]:
        """Items, none of `but`, for one message that has `room` bytes for them, the least told first, the
        newest of these first: where all can't be told in time, an old one is left to repair.
        """
        if not self._level:
            return ()
        chosen: list[tuple[int, T]] = []
        for times, level in enumerate(self._levels):
            for item in reversed(level.values()):
                if item in but:
                    continue
                room -= item.size
                if room < 0:
                    break
                chosen.append((times, item))
            if room < 0:
                break
        most = transmission_limit(fleet)
        for times, item in reversed(chosen):
            self._drop(item.key)
            if times + 1 < most:
                self._put(item, times + 1)
        return tuple(item for _, item in chosen)


def transmission_limit(fleet: int) -> int:
    """How often an item is passed on by each in a fleet of this size."""
    return TELLINGS * math.ceil(math.log10(fleet + 1) + 0.001)
