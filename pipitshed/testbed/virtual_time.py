"""Virtual time: calls in the order in which they are due."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class VirtualTime:
    """A clock that advances from one scheduled call to the next."""

    def __init__(self, now_ms: float = 0.0) -> None:
        self.now_ms = now_ms
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._call_count = 0

    def call_later(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call; calls that are due at the same time are made in the order of their scheduling."""
        self._call_count += 1
        heapq.heappush(self._calls, (self.now_ms + delay_ms, self._call_count, call))

    def run(self, until_ms: float) -> None:
        """Make all calls that are due by then."""
        while self._calls and self._calls[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._calls)
            call()
        self.now_ms = until_ms
