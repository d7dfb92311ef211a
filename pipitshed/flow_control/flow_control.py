"""The memory budget and the input scheduler of one process."""

from __future__ import annotations

import asyncio
import math
from collections import Counter

from pipitshed.flow_control.input_scheduler import InputScheduler
from pipitshed.flow_control.memory_budget import MemoryBudget


class FlowControl:
    """What all connections of one event loop share; without a memory limit, nothing is refused."""

    def __init__(self, loop: asyncio.AbstractEventLoop, memory_mb: float = math.inf) -> None:
        self.loop = loop
        self.input = InputScheduler(loop)
        self.memory = MemoryBudget(memory_mb, loop.time)

    def counters(self) -> Counter[str]:
        """What was refused, discarded and deferred so far, by name."""
        return self.memory.counters + Counter({"input deferred": self.input.deferred_count})
