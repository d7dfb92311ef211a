"""Admission of anti-entropy messages by the bandwidth budget, and packing of rows into available bytes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from pipitshed.replication.bandwidth_budget import BandwidthBudget
from pipitshed.replication.merkle_tree import MerkleTree
from pipitshed.replication.messages import Compare, FetchRequest, Rows, message_size, pack

Address = tuple[str, int]
MAX_REQUESTED_ITEMS = 32  # expected in the answer to one request
# Packed items up to which the deflation ratio is not updated.
MIN_RATIO_SAMPLE_ITEMS = MAX_REQUESTED_ITEMS // 4
INITIAL_DEFLATION_RATIO = 1.5  # encoded bytes by packed bytes


class ComparableTable(Protocol):
    """The interface of a table that anti-entropy compares."""

    @property
    def tree(self) -> MerkleTree:
        """The digests of the table's ranges."""

    def get(self, key: str) -> Any:
        """Return the item with this key, or None."""


@dataclass(slots=True)
class OutgoingMessage:
    """An admitted message and the peer to which it is sent."""

    to: Address
    message: Compare | FetchRequest | Rows


class MessagePacer:
    """Admits messages that fit the bandwidth budget, and packs rows for them."""

    def __init__(self, budget: BandwidthBudget, overhead_bytes: int) -> None:
        """Create a pacer; `overhead_bytes` is the most that the transport adds to a message."""
        self._budget = budget
        self.overhead_bytes = overhead_bytes
        self._deflation_ratio = INITIAL_DEFLATION_RATIO  # running average of encoded size by packed size

    def admit(self, now: float, table: int, message: msgspec.Struct, reserve_bytes: int = 0) -> bool:
        """Spend a message's bytes if the budget has these and `reserve_bytes` more; return whether it had."""
        size = message_size(message) + self.overhead_bytes
        if not self._budget.available_bytes(now, table, size + reserve_bytes):
            return False
        self._budget.spend(now, table, size)
        return True

    def payload_bytes(self, now: float, table: int, min_bytes: int) -> int:
        """Return the available bytes less the overhead; 0 or less if fewer than `min_bytes` are available."""
        return self._budget.available_bytes(now, table, min_bytes) - self.overhead_bytes

    def pack_rows(self, table: ComparableTable, keys: Sequence[str], max_bytes: int) -> tuple[int, bytes]:
        """Pack as many of the first items as fit; return their number and the packed bytes."""
        items: list[Any] = []
        expected_bytes = 0.0
        for key in keys:
            item = table.get(key)
            expected_bytes += item.size / self._deflation_ratio
            if expected_bytes > max_bytes and items:
                break
            items.append(item)
        packed = pack(items)
        while items and len(packed) > max_bytes:
            del items[len(items) * 3 // 4 :]
            packed = pack(items)
        if len(items) > MIN_RATIO_SAMPLE_ITEMS:
            ratio = sum(item.size for item in items) / len(packed)
            self._deflation_ratio += (ratio - self._deflation_ratio) / 4
        return len(items), packed
