"""Counts of what was lately. Nothing here knows what is counted, or what follows from it."""

from __future__ import annotations

import math
from collections import deque


class Window:
    """The last samples that are not too old, with what is taken from them counted as they come and go."""

    __slots__ = ("size", "age", "entries", "missed", "turned")

    def __init__(self, size: int, age: float) -> None:
        self.size, self.age = size, age  # samples at most, ms that one counts
        self.entries: deque[tuple[float, bool, bool]] = deque()  # when, no room, turned away
        self.missed = self.turned = 0

    def add(self, now: float, missed: bool, turned: bool = False) -> None:
        if len(self.entries) == self.size:
            self._drop()
        self.entries.append((now, missed, turned))
        self.missed += missed
        self.turned += turned

    def f(self, now: float) -> float | None:
        """The part that found no room; None while there are too few that are not too old."""
        while self.entries and self.entries[0][0] < now - self.age:
            self._drop()
        return self.missed / self.size if len(self.entries) == self.size else None

    def _drop(self) -> None:
        _, missed, turned = self.entries.popleft()
        self.missed -= missed
        self.turned -= turned


class Fading:
    """A count whose entries fade: to 1 / e of themselves after `span` ms."""

    __slots__ = ("span", "count", "at")

    def __init__(self, span: float) -> None:
        self.span, self.count, self.at = span, 0.0, 0.0

    def add(self, now: float) -> float:
        """Count one more; what all come to by now."""
        self.count = self.count * math.exp((self.at - now) / self.span) + 1
        self.at = now
        return self.count
