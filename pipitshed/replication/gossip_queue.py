"""Queue of items to gossip with probes: each is sent a bounded number of times, the least sent first."""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Generic, Protocol, TypeVar

TRANSMISSION_FACTOR = 4  # transmissions of an item by each member, as a multiple of log10 of the cluster size
MAX_QUEUED_ITEMS = 512


class GossipItem(Protocol):
    """An item that can be gossiped: a member record or a row."""

    @property
    def key(self) -> str:
        """The subject of the item; a newer item with the same key replaces this one."""

    @property
    def size(self) -> int:
        """Encoded size in bytes."""


T = TypeVar("T", bound=GossipItem)


class GossipQueue(Generic[T]):
    """The items of one table that are still to be sent, by send count, with at most one item per key."""

    def __init__(self) -> None:
        self._items_by_send_count: list[dict[str, T]] = [{}]
        self._send_counts: dict[str, int] = {}  # by key

    def __len__(self) -> int:
        return len(self._send_counts)

    def add(self, item: T, send_count: int = 0) -> None:
        """Queue an item, in place of one with the same key.

        A `send_count` above 0 puts the item behind items that were sent less often, and reduces how often it
        is sent. If the queue is full, one of the most sent items is dropped.
        """
        self._drop(item.key)
        if len(self._send_counts) >= MAX_QUEUED_ITEMS:
            most_sent = next(items for items in reversed(self._items_by_send_count) if items)
            self._drop(next(iter(most_sent)))
        self._put(item, send_count)

    def _put(self, item: T, send_count: int) -> None:
        while send_count >= len(self._items_by_send_count):
            self._items_by_send_count.append({})
        self._items_by_send_count[send_count][item.key] = item
        self._send_counts[item.key] = send_count

    def _drop(self, key: str) -> None:
        send_count = self._send_counts.pop(key, None)
        if send_count is not None:
            del self._items_by_send_count[send_count][key]

    def clear(self) -> None:
        """Drop all items; called once enough peers have the same table as this member."""
        self._items_by_send_count, self._send_counts = [{}], {}

    def take(self, max_bytes: int, cluster_size: int, exclude: Collection[T] = ()) -> tuple[T, ...]:
        """Return items for one message and count them as sent.

        Items that were sent least often come first, and of these the newest. If not all items can be sent in
        time, old ones are left to anti-entropy.

        Args:
            max_bytes: Space for items in the message.
            cluster_size: Number of members, which limits how often an item is sent.
            exclude: Items that the receiver is known to have.
        """
        if not self._send_counts:
            return ()
        chosen = self._choose(max_bytes, exclude)
        limit = transmission_limit(cluster_size)
        for send_count, item in reversed(chosen):
            self._drop(item.key)
            if send_count + 1 < limit:
                self._put(item, send_count + 1)
        return tuple(item for _, item in chosen)

    def _choose(self, max_bytes: int, exclude: Collection[T]) -> list[tuple[int, T]]:
        chosen: list[tuple[int, T]] = []
        for send_count, items in enumerate(self._items_by_send_count):
            for item in reversed(items.values()):
                if item in exclude:
                    continue
                max_bytes -= item.size
                if max_bytes < 0:
                    return chosen
                chosen.append((send_count, item))
        return chosen


def transmission_limit(cluster_size: int) -> int:
    """Return how often each member of a cluster of this size sends an item."""
    return TRANSMISSION_FACTOR * math.ceil(math.log10(cluster_size + 1) + 0.001)
