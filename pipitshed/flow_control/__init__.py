"""What the peers' connections may take of the process: its memory, and the time of its event loop.

Every stream connection derives from PacedConnection, whoever the peer is: a client, a worker, discovery or an
operator. So each of the two rules stands in one place.
"""

from __future__ import annotations

from pipitshed.flow_control.flow_control import FlowControl
from pipitshed.flow_control.memory_budget import NO_CHARGE, MemoryBudget, MemoryCharge, Priority
from pipitshed.flow_control.paced_connection import SHORT_MESSAGE_BYTES, HoldReason, PacedConnection

__all__ = [
    "NO_CHARGE",
    "SHORT_MESSAGE_BYTES",
    "HoldReason",
    "FlowControl",
    "MemoryBudget",
    "MemoryCharge",
    "PacedConnection",
    "Priority",
]
