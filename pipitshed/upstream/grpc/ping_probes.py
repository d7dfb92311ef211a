"""Probes of a gRPC worker by PINGs: an ACK shows that the worker responds, but not its load."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pipitshed.scheduling.events import Outcome

PROBE_TIMEOUT_S = 0.5
MS_PER_S = 1000
_NUMBER_MASK = 0xFFFF_FFFF  # a PING carries 8 bytes: 8 hexadecimal digits


class PingProbes:
    """The probes of one connection that have not ended.

    Args:
        loop: The event loop.
        send_ping: Sends a PING with these data.
        report: Called with the outcome and the duration in ms of each probe that ends.
    """

    __slots__ = ("_loop", "_send_ping", "_report", "_started_at")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        send_ping: Callable[[bytes], None],
        report: Callable[[Outcome, float], None],
    ) -> None:
        self._loop = loop
        self._send_ping = send_ping
        self._report = report
        self._started_at: dict[bytes, float] = {}  # loop time, by PING data

    @property
    def are_pending(self) -> bool:
        """Whether any probe has not ended."""
        return bool(self._started_at)

    def start(self, number: int, is_ready: bool) -> None:
        """Start a probe; its PING waits for `send_all` unless the connection is ready."""
        ping_data = b"%08x" % (number & _NUMBER_MASK)
        self._started_at[ping_data] = self._loop.time()
        self._loop.call_later(PROBE_TIMEOUT_S, self._finish, ping_data, Outcome.TIMEOUT)
        if is_ready:
            self._send_ping(ping_data)

    def send_all(self) -> None:
        """Send the PINGs of all probes, as the connection has become ready."""
        for ping_data in self._started_at:
            self._send_ping(ping_data)

    def acknowledged(self, ping_data: bytes) -> bool:
        """End the probe whose PING is acknowledged; return whether it is one."""
        if ping_data not in self._started_at:
            return False
        self._finish(ping_data, Outcome.OK)
        return True

    def fail_all(self) -> None:
        """End all probes, as the connection has ended."""
        for ping_data in list(self._started_at):
            self._finish(ping_data, Outcome.CONNECT_FAILED)

    def _finish(self, ping_data: bytes, outcome: Outcome) -> None:
        started_at = self._started_at.pop(ping_data, None)
        if started_at is not None:
            self._report(outcome, (self._loop.time() - started_at) * MS_PER_S)
