"""The memory budget and the input scheduler of one process."""

from __future__ import annotations

import asyncio
import math

from pipitshed.flow_control.input_scheduler import InputScheduler
from pipitshed.flow_control.memory_budget import MemoryBudget


class FlowControl:
    """What all connections of one event loop share; without a memory limit, nothing is refused."""

    def __init__(self, loop: asyncio.AbstractEventLoop, memory_mb: float = math.inf) -> None:
        self.loop = loop
        self.input = InputScheduler(loop)
        self.memory = MemoryBudget(memory_mb, loop.time)
