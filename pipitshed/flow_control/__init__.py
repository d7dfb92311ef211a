"""What the peers' connections may take of the process: the time of its event loop.

Every stream connection derives from PacedConnection, whoever the peer is: a client, a worker, discovery or an
operator. So the rule stands in one place.
"""

from __future__ import annotations

from pipitshed.flow_control.flow_control import FlowControl
from pipitshed.flow_control.paced_connection import PacedConnection

__all__ = ["FlowControl", "PacedConnection"]
