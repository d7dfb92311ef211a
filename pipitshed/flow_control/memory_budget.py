"""One bound on all memory that peers cause, drawn from the memory limit of the process.

Whoever keeps bytes for a peer charges them to the budget first. A charge that would exceed the bound is
refused, and its owner sheds the request or stops reading from the sender until memory is available.
"""

from __future__ import annotations

import enum
import logging
import math
from collections import Counter, deque
from collections.abc import Callable

BYTES_PER_MB = 1024 * 1024
BASE_MEMORY_MB = 20.0  # of the process itself, without peers
BUDGET_FRACTION = 0.75  # of the rest; copies, fragmentation and garbage take what is left
LOG_INTERVAL_S = 5.0  # between two reports that memory is short
MESSAGE_BYTES = 64 * 1024  # of a long message; the protocols allow no longer body
STALLED_AFTER_S = 1.0  # time without growth after which an incomplete message may be discarded for others


log = logging.getLogger("pipitshed")


class Priority(float, enum.Enum):
    """Which fraction of the budget may be in use after a charge; each includes those before it."""

    BULK = 0.4  # long messages, and requests that wait behind another one
    REQUEST = 0.8  # short messages
    CONTROL = 1.0  # the endpoint list


class MemoryBudget:
    """The bytes that are charged at present, and their limit.

    Args:
        memory_mb: The memory limit of the process.
        clock: Monotonic time in s.
    """

    def __init__(self, memory_mb: float, clock: Callable[[], float]) -> None:
        self.used_bytes = 0
        self.counters: Counter[str] = Counter()  # refused charges by priority, and discarded messages
        self._clock = clock
        self._logged_at = -math.inf
        self._reclaimable: dict[MemoryCharge, None] = {}  # incomplete messages, the longest stalled first
        self._waiting: deque[Callable[[], None]] = deque()
        self.set_limit(memory_mb)

    def set_limit(self, memory_mb: float) -> None:
        """Follow the memory limit of the process; at least the base is left for peers at any limit."""
        available_mb = max(memory_mb - BASE_MEMORY_MB, BASE_MEMORY_MB / 4)
        self.limit_bytes = available_mb * BYTES_PER_MB * BUDGET_FRACTION

    def available_bytes(self, priority: Priority) -> float:
        """How much more a charge of this priority may take."""
        return priority * self.limit_bytes - self.used_bytes

    def charge(self, byte_count: int = 0) -> MemoryCharge:
        """Create a charge for memory that is in use already, whatever is available."""
        charge = MemoryCharge(self)
        if byte_count:
            charge.add(byte_count)
        return charge

    def admits(self, byte_count: int, priority: Priority) -> bool:
        """Whether this much more fits; discards stalled messages of others where it does not."""
        if byte_count <= self.available_bytes(priority):
            return True
        while self._discard_stalled():
            if byte_count <= self.available_bytes(priority):
                return True
        self.counters[f"memory refused {priority.name.lower()}"] += 1
        self._log_refusal(byte_count, priority)
        return False

    def _log_refusal(self, byte_count: int, priority: Priority) -> None:
        """Log that memory is short, once in LOG_INTERVAL_S: senders may repeat it at full speed."""
        now = self._clock()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        log.warning(
            "memory budget: %s of %d bytes refused, %d of %d bytes in use; so far %s",
            priority.name.lower(),
            byte_count,
            self.used_bytes,
            self.limit_bytes,
            dict(self.counters),
        )

    def call_when_available(self, callback: Callable[[], None]) -> None:
        """Call this once as soon as memory has been given back."""
        self._waiting.append(callback)

    def changed(self, byte_count: int) -> None:
        """Count bytes that are charged, or given back if negative."""
        self.used_bytes += byte_count
        if byte_count < 0 and self._waiting:
            self._wake_senders()

    def _wake_senders(self) -> None:
        """Let as many senders go on as there is room for whole messages."""
        room = max(0.0, self.available_bytes(Priority.BULK))
        for _ in range(int(min(room // MESSAGE_BYTES, len(self._waiting)))):
            self._waiting.popleft()()

    def add_reclaimable(self, charge: MemoryCharge) -> None:
        """Put a charge behind the others that may be discarded."""
        self._reclaimable.pop(charge, None)
        self._reclaimable[charge] = None

    def remove_reclaimable(self, charge: MemoryCharge) -> None:
        """Keep a charge."""
        self._reclaimable.pop(charge, None)

    def _discard_stalled(self) -> bool:
        """Discard the message that has not grown for longest; False if none is stalled."""
        stalled = next(iter(self._reclaimable), None)
        if stalled is None or self._clock() - stalled.grown_at < STALLED_AFTER_S:
            return False
        stalled.complete()
        self.counters["memory reclaimed"] += 1
        if stalled.on_reclaim is not None:
            stalled.on_reclaim()
        stalled.release()
        return True

    def now(self) -> float:
        """Monotonic time in s."""
        return self._clock()


class MemoryCharge:
    """The memory that one message, request or connection takes.

    Attributes:
        on_reclaim: Called when an incomplete message is discarded to make room; its owner answers the sender.
    """

    __slots__ = ("_budget", "_is_reclaimable", "byte_count", "grown_at", "on_reclaim")

    def __init__(self, budget: MemoryBudget, on_reclaim: Callable[[], None] | None = None) -> None:
        self._budget = budget
        self.byte_count = 0
        self.grown_at = -math.inf
        self._is_reclaimable = False
        self.on_reclaim = on_reclaim

    @property
    def limit_bytes(self) -> float:
        """The whole budget."""
        return self._budget.limit_bytes

    def try_add(self, byte_count: int, priority: Priority) -> bool:
        """Charge this much more if it fits; False if it does not."""
        budget = self._budget
        used_bytes = budget.used_bytes + byte_count
        if used_bytes > priority * budget.limit_bytes:
            if not budget.admits(byte_count, priority):
                return False
            used_bytes = budget.used_bytes + byte_count  # stalled messages may have been discarded
        self.byte_count += byte_count
        budget.used_bytes = used_bytes
        return True

    def add(self, byte_count: int) -> None:
        """Charge memory that is in use already."""
        self.byte_count += byte_count
        self._budget.changed(byte_count)

    def set(self, byte_count: int) -> None:
        """Charge exactly this much from now on."""
        if byte_count != self.byte_count:
            self.add(byte_count - self.byte_count)

    def allow_reclaim(self) -> None:
        """Let the message be discarded for others once it has not grown for STALLED_AFTER_S."""
        self.grown_at = self._budget.now()
        self._is_reclaimable = True
        self._budget.add_reclaimable(self)

    def complete(self) -> None:
        """Keep the message: it is complete, or may not be discarded."""
        if self._is_reclaimable:
            self._is_reclaimable = False
            self._budget.remove_reclaimable(self)

    def release(self) -> None:
        """Give all of it back; further calls have no effect."""
        if self._is_reclaimable:
            self.complete()
        byte_count, self.byte_count = self.byte_count, 0
        if byte_count:
            self._budget.changed(-byte_count)


NO_CHARGE = MemoryBudget(math.inf, lambda: 0.0).charge()  # of requests that take no memory of a peer's
