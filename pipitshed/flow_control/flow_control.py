"""What the connections of one process share."""

from __future__ import annotations

import asyncio

from pipitshed.flow_control.input_scheduler import InputScheduler


class FlowControl:
    """What all connections of one event loop share."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.input = InputScheduler(loop)
