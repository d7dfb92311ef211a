"""The sockets on which clients connect."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable

from pipitshed.protocols.address import Address

ACCEPT_PAUSE_S = 0.05  # after a failed accept
MAX_ACCEPTS_PER_TURN = 16  # so that connections are up, and counted, before many more are accepted
BACKLOG = 1024


class Listener:
    """Accepts connections, and goes on whatever becomes of a single accept."""

    def __init__(
        self,
        address: Address,
        factory: Callable[[], asyncio.Protocol],
        loop: asyncio.AbstractEventLoop,
        has_room: Callable[[int], bool] = lambda _: True,
        passed: int | None = None,
    ) -> None:
        """Listen at an address, or on a socket that another process has opened.

        Args:
            address: Host and port, used where no socket is passed.
            factory: Makes the protocol of each connection.
            loop: The event loop.
            has_room: Whether another connection is accepted, besides this many that are not up yet.
            passed: The descriptor of a listening socket. The platform holds it, and another process may
                accept from it as well; closing it here ends only this process's use of it.
        """
        if passed is not None:
            self._socket = socket.socket(fileno=passed)
            self.passed = True
        else:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            self._socket = socket.socket(family, socket.SOCK_STREAM)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.bind(address)
            self.passed = False
        self._socket.setblocking(False)
        self._socket.listen(BACKLOG)
        self.address: Address = self._socket.getsockname()[:2]
        self._factory = factory
        self._has_room = has_room
        self._loop = loop
        self._tasks: set[asyncio.Task[object]] = set()  # one for each connection that is not up yet
        self._is_open = True
        loop.add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        # A whole backlog accepted in one turn, before any of it is counted, could use up the descriptors.
        self._accept_up_to(MAX_ACCEPTS_PER_TURN)

    def _accept_up_to(self, remaining: float) -> None:
        while self._is_open and remaining > 0:
            is_limited = remaining <= MAX_ACCEPTS_PER_TURN
            if is_limited and self._tasks and not self._has_room(len(self._tasks)):
                return  # other connections may be evicted once those are up: the backlog waits
            remaining -= 1
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:
                continue  # the client has gone again
            except OSError:
                # No descriptors are left, for instance. The socket stays readable, so without a pause the
                # loop would do nothing but try again.
                self._loop.remove_reader(self._socket)
                self._loop.call_later(ACCEPT_PAUSE_S, self._resume)
                return
            if not self._has_room(len(self._tasks)):
                accepted.close()
                continue
            accepted.setblocking(False)
            task = self._loop.create_task(self._loop.connect_accepted_socket(self._factory, accepted))
            self._tasks.add(task)
            task.add_done_callback(self._on_connected)

    def _on_connected(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()  # the client had gone; retrieved, or asyncio would log it

    def _resume(self) -> None:
        if self._is_open:
            self._loop.add_reader(self._socket, self._accept)

    def close(self) -> None:
        """Accept the whole backlog, then stop listening."""
        if self._is_open:
            self._accept_up_to(math.inf)
            self._is_open = False
            self._loop.remove_reader(self._socket)
            self._socket.close()
