"""Idle connections to workers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pipitshed.protocols.address import Address

if TYPE_CHECKING:
    from pipitshed.upstream.http.connection import HttpWorkerConnection

IDLE_MARGIN_FRACTION = 0.1  # of the worker's idle timeout: how much earlier a connection is closed


class IdlePool:
    """Idle connections by address.

    The most recently used one is taken first, so that surplus connections reach their idle timeout.
    """

    def __init__(self, idle_timeout_ms: float, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._idle: dict[Address, list[HttpWorkerConnection]] = {}
        self._by_age: dict[HttpWorkerConnection, None] = {}  # in order, the longest idle first
        self._idle_timeout_s = _with_margin(idle_timeout_ms)

    def set_idle_timeout(self, idle_timeout_ms: float) -> None:
        """Change the idle timeout; a shorter one also applies to connections that are idle now."""
        timeout_before_s, self._idle_timeout_s = self._idle_timeout_s, _with_margin(idle_timeout_ms)
        if self._idle_timeout_s >= timeout_before_s:
            return
        for connections in self._idle.values():
            for connection in connections:
                if connection.idle_timer is not None:
                    connection.idle_deadline -= timeout_before_s - self._idle_timeout_s
                    connection.idle_timer.cancel()
                    connection.idle_timer = self._loop.call_at(connection.idle_deadline, connection.close)

    def put(self, connection: HttpWorkerConnection) -> None:
        """Add an idle connection; it is closed shortly before the worker would close it."""
        self._idle.setdefault(connection.address, []).append(connection)
        self._by_age[connection] = None
        connection.idle_deadline = self._loop.time() + self._idle_timeout_s
        connection.idle_timer = self._loop.call_at(connection.idle_deadline, connection.close)

    def take(self, address: Address) -> HttpWorkerConnection | None:
        """Remove and return an open connection to an address; None if there is none.

        One with unread input is closed: the worker has closed it, or has sent a second answer.
        """
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            self._by_age.pop(connection, None)
            if connection.idle_timer is not None:
                connection.idle_timer.cancel()
            if connection.is_open and not connection.has_unread_input():
                return connection
            connection.close()
        return None

    def discard(self, connection: HttpWorkerConnection) -> None:
        """Remove a connection that is lost, whether or not it is idle."""
        self._by_age.pop(connection, None)
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)
        if not idle:  # the address may be that of a replaced worker, and never be used again
            self._idle.pop(connection.address, None)

    def close_oldest(self) -> bool:
        """Close the connection that has been idle longest; False if there is none."""
        oldest = next(iter(self._by_age), None)
        if oldest is None:
            return False
        del self._by_age[oldest]
        oldest.close()
        return True

    def close_address(self, address: Address) -> None:
        """Close the idle connections to one address."""
        for connection in list(self._idle.get(address, ())):
            connection.close()

    def close_all(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in list(connections):
                connection.close()


def _with_margin(idle_timeout_ms: float) -> float:
    return idle_timeout_ms / 1000 * (1 - IDLE_MARGIN_FRACTION)
