"""Messages of anti-entropy under the bandwidth budget, and rows packed into the space that it leaves."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from pipitshed.replication.bandwidth_budget import BandwidthBudget
from pipitshed.replication.merkle_tree import MerkleTree
from pipitshed.replication.messages import Compare, FetchRequest, Rows, message_size, pack

Address = tuple[str, int]
MAX_REQUESTED_ITEMS = 32  # that one request may be expected to bring
MIN_RATIO_SAMPLE_ITEMS = (
    MAX_REQUESTED_ITEMS // 4
)  # packed items up to which the deflation ratio is not updated
INITIAL_DEFLATION_RATIO = 1.5


class ComparableTable(Protocol):
    """A table as anti-entropy sees it."""

    @property
    def tree(self) -> MerkleTree:
        """Its digests."""

    def get(self, key: str) -> Any:
        """Return the item of a key, or None."""


@dataclass(slots=True)
class OutgoingMessage:
    """A message to be sent to a peer."""

    to: Address
    message: Compare | FetchRequest | Rows


class MessagePacer:
    """Admits messages within the bandwidth budget, and packs rows for them."""

    def __init__(self, budget: BandwidthBudget, overhead_bytes: int) -> None:
        """`overhead_bytes` is the most that the transport adds to a message."""
        self._budget = budget
        self.overhead_bytes = overhead_bytes
        self._deflation_ratio = INITIAL_DEFLATION_RATIO  # recent ratio of encoded to packed size

    def admit(self, now: float, table: int, message: msgspec.Struct, reserve_bytes: int = 0) -> bool:
        """Spend a message's bytes if the budget has them and `reserve_bytes` more; return whether it has."""
        size = message_size(message) + self.overhead_bytes
        if not self._budget.available_bytes(now, table, size + reserve_bytes):
            return False
        self._budget.spend(now, table, size)
        return True

    def payload_bytes(self, now: float, table: int, min_bytes: int) -> int:
        """Return the available bytes less the overhead; 0 or less where they are under `min_bytes`."""
        return self._budget.available_bytes(now, table, min_bytes) - self.overhead_bytes

    def pack_rows(self, table: ComparableTable, keys: Sequence[str], max_bytes: int) -> tuple[int, bytes]:
        """Pack the first of these items, as many as fit; return their number and the packed bytes."""
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
