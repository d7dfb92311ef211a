"""Detects unreachable workers: sends a PING on a connection with attempts that receives no input."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

PING_TIMEOUT_S = 2.5


class Keepalive:
    """The keepalive timer of one connection.

    Attributes:
        last_received_at: Loop time of the last bytes; the connection sets it.
        is_ping_pending: Whether a PING has not been acknowledged yet; the connection clears it.
    """

    __slots__ = (
        "last_received_at",
        "is_ping_pending",
        "_loop",
        "_silence_s",
        "_send_ping",
        "_abort",
        "_timer",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        silence_s: float,
        send_ping: Callable[[], None],
        abort: Callable[[], None],
    ) -> None:
        self.last_received_at = 0.0
        self.is_ping_pending = False
        self._loop = loop
        self._silence_s = silence_s
        self._send_ping = send_ping
        self._abort = abort
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer, unless it is running."""
        if self._timer is None:
            self.last_received_at = self._loop.time()
            self._timer = self._loop.call_later(self._silence_s, self._check)

    def stop(self) -> None:
        """Stop the timer; called when the connection has no attempts or has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        silent_s = self._loop.time() - self.last_received_at
        if self.is_ping_pending and silent_s >= PING_TIMEOUT_S:
            self._abort()
            return
        if silent_s >= self._silence_s:
            self.is_ping_pending = True
            self._send_ping()
            self._timer = self._loop.call_later(PING_TIMEOUT_S, self._check)
        else:
            self.is_ping_pending = False
            self._timer = self._loop.call_later(self._silence_s - silent_s, self._check)
