"""Gives each connection its share of the event loop's time.

What a connection receives is handled in slices. A connection that has used its share in an iteration of the
loop is not read further; what it has received already waits for the connection's next turn. So a peer that
sends at full speed is slowed down by its own connection, and the others are served in between.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from time import monotonic
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pipitshed.flow_control.paced_connection import PacedConnection

LOG_INTERVAL_S = 5.0  # between two reports of connections that use up their share
READ_BYTES = 16 * 1024  # of one read; what a connection keeps unhandled at most
SHARE_S = 0.0005  # for which one connection is handled without a break
TURN_S = 0.001  # for all beyond their share in an iteration: a job passes a dozen iterations of the loop


log = logging.getLogger("pipitshed")


class InputScheduler:
    """The connections whose input waits, in the order of their turns.

    Attributes:
        buffer: Where all connections read to; it is handled or copied before the next read.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.deferred_count = 0  # connections that have used up their share, counted each time
        self._loop = loop
        self._waiting: deque[PacedConnection] = deque()
        self._is_turn_scheduled = False
        self._used_s: dict[PacedConnection, float] = {}  # of whole reads in this iteration
        self._logged_at = -math.inf
        self._reads_until = 0.0  # monotonic time; later reads of this iteration are handled in part

    def received(self, connection: PacedConnection, count: int) -> None:
        """Handle what a connection has read into the buffer; the rest waits once its share is used."""
        data = self.buffer[:count]
        started_at = monotonic()
        if not self._is_turn_scheduled:
            self._reads_until = started_at + TURN_S
            self._schedule_turn()
        used_s = self._used_s.get(connection, 0.0)
        until = min(started_at + SHARE_S - used_s, self._reads_until)
        handled = connection.handle_slices(data, until)
        if handled < count:
            self._defer(connection, bytes(data[handled:]))
        elif count == READ_BYTES:
            # More may follow in this iteration.
            self._used_s[connection] = used_s = used_s + monotonic() - started_at
            if used_s >= SHARE_S:
                self._defer(connection, b"")

    def _defer(self, connection: PacedConnection, rest: bytes) -> None:
        self.deferred_count += 1
        connection.defer(rest)
        now = monotonic()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            log.info(
                "input of %s waits for its turn; so far %d times", connection.peer(), self.deferred_count
            )
        self.resume(connection)

    def resume(self, connection: PacedConnection) -> None:
        """Give a connection whose input waits another turn."""
        self._waiting.append(connection)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self._loop.call_soon(self._run_turn)

    def _continue(self, connection: PacedConnection, until: float) -> bool:
        """Handle a connection's input; an error ends this connection, not the turns of the others."""
        try:
            return connection.continue_input(until)
        except Exception:
            log.exception("input of %s could not be handled", connection.peer())
            connection.abort_after_error()
            return False

    def _run_turn(self) -> None:
        """Handle waiting input, a share of each connection after the other, for TURN_S at most."""
        self._is_turn_scheduled = False
        self._used_s.clear()
        until = monotonic() + TURN_S
        for _ in range(len(self._waiting)):
            connection = self._waiting.popleft()
            now = monotonic()
            if self._continue(connection, now + SHARE_S):
                self._waiting.append(connection)
            if now >= until:
                break
        if self._waiting:
            self._reads_until = monotonic() + TURN_S
            self._schedule_turn()
