"""Counts of recent events: a window of attempts, and a count that decays exponentially with time."""

from __future__ import annotations

import math
from collections import deque


class AttemptWindow:
    """The last `size` attempts that are no older than `max_age_ms`, and how many found no capacity."""

    __slots__ = ("size", "max_age_ms", "entries", "no_capacity_count", "rejected_count")

    def __init__(self, size: int, max_age_ms: float) -> None:
        self.size = size
        self.max_age_ms = max_age_ms
        self.entries: deque[tuple[float, bool, bool]] = deque()  # (time in ms, no capacity, rejected)
        self.no_capacity_count = 0
        self.rejected_count = 0

    def add(self, now_ms: float, no_capacity: bool, rejected: bool = False) -> None:
        """Record one attempt; `rejected` is set where the worker itself rejected it."""
        if len(self.entries) == self.size:
            self._drop_oldest()
        self.entries.append((now_ms, no_capacity, rejected))
        self.no_capacity_count += no_capacity
        self.rejected_count += rejected

    def no_capacity_probability(self, now_ms: float) -> float | None:
        """The probability that a drawn worker has no capacity, f in the paper's Equation 1.

        It is the fraction of the window's attempts that found none; None while the window is not full.
        """
        while self.entries and self.entries[0][0] < now_ms - self.max_age_ms:
            self._drop_oldest()
        return self.no_capacity_count / self.size if len(self.entries) == self.size else None

    def rejected_fraction(self) -> float:
        """The fraction of the window's attempts that workers themselves rejected."""
        return self.rejected_count / self.size

    def _drop_oldest(self) -> None:
        _, no_capacity, rejected = self.entries.popleft()
        self.no_capacity_count -= no_capacity
        self.rejected_count -= rejected


class DecayingCount:
    """A count that decays exponentially, to 1/e of its value after `time_constant_ms`."""

    __slots__ = ("time_constant_ms", "count", "updated_at_ms")

    def __init__(self, time_constant_ms: float) -> None:
        self.time_constant_ms = time_constant_ms
        self.count = 0.0
        self.updated_at_ms = 0.0

    def add(self, now_ms: float) -> float:
        """Add one to the count as it has decayed by now, and return the result."""
        self.count = self.count * math.exp((self.updated_at_ms - now_ms) / self.time_constant_ms) + 1
        self.updated_at_ms = now_ms
        return self.count
