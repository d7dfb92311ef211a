"""Listening sockets that accept clients' connections."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable

ACCEPT_PAUSE_S = 0.05  # after a failed accept
ACCEPTS_PER_ITERATION = 16  # so that accepted connections are set up and counted before more are accepted
BACKLOG_COUNT = 1024  # connections that the kernel queues


def _accept_always(_pending_count: int) -> bool:
    return True


class Listener:
    """Accepts connections; it continues after a failed accept."""

    def __init__(
        self,
        address: tuple[str, int],
        factory: Callable[[], asyncio.BaseProtocol],
        loop: asyncio.AbstractEventLoop,
        may_accept: Callable[[int], bool] = _accept_always,
        passed: int | None = None,
    ) -> None:
        """Start to listen; OSError if the address can't be bound.

        Args:
            address: The host and port to bind.
            factory: Creates the protocol of each connection.
            loop: The event loop.
            may_accept: Whether one more connection may be accepted, given the number of those being set up.
            passed: The descriptor of a listening socket to use in place of `address`.
        """
        if passed is not None:
            # The platform holds the socket open and shares it with another process: either process accepts
            # the queued connections, and closing the socket here leaves it open in the other.
            self._socket = socket.socket(fileno=passed)
            self.passed = True
        else:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            self._socket = socket.socket(family, socket.SOCK_STREAM)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.bind(address)
            self.passed = False
        self._socket.setblocking(False)
        self._socket.listen(BACKLOG_COUNT)
        self.address: tuple[str, int] = self._socket.getsockname()[:2]
        self._factory = factory
        self._may_accept = may_accept
        self._loop = loop
        self._pending: set[asyncio.Task[object]] = set()  # accepted connections that are being set up
        self._open = True
        loop.add_reader(self._socket, self._readable)

    def _readable(self) -> None:
        # A long queue accepted in one iteration, before any of it is counted, would exhaust the descriptors.
        self._accept_up_to(ACCEPTS_PER_ITERATION)

    def _accept_up_to(self, limit: float) -> None:
        while self._open and limit > 0:
            if limit <= ACCEPTS_PER_ITERATION and self._pending and not self._may_accept(len(self._pending)):
                return  # connections being set up may evict others; accept the rest in a later iteration
            limit -= 1
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:
                continue  # the client has already closed the connection
            except OSError:
                # No descriptors are left: retry after a pause.
                self._loop.remove_reader(self._socket)
                self._loop.call_later(ACCEPT_PAUSE_S, self._resume)
                return
            self._connect(accepted)

    def _connect(self, accepted: socket.socket) -> None:
        """Start the protocol on an accepted connection, or close it if no more may be accepted."""
        if not self._may_accept(len(self._pending)):
            accepted.close()
            return
        accepted.setblocking(False)
        task = self._loop.create_task(self._loop.connect_accepted_socket(self._factory, accepted))
        self._pending.add(task)
        task.add_done_callback(self._connected)

    def _connected(self, task: asyncio.Task[object]) -> None:
        self._pending.discard(task)
        if not task.cancelled():
            task.exception()  # the client closed the connection before a request was read

    def _resume(self) -> None:
        if self._open:
            self._loop.add_reader(self._socket, self._readable)

    def close(self) -> None:
        """Accept the queued connections, then close the socket."""
        if self._open:
            self._accept_up_to(math.inf)
            self._open = False
            self._loop.remove_reader(self._socket)
            self._socket.close()
