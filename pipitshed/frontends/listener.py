"""The sockets on which clients connect."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable

ACCEPT_PAUSE_S = 0.05  # after a failed accept
ACCEPTS_PER_TURN = 16  # so that those accepted before are up, and counted, before more are
BACKLOG_COUNT = 1024  # connections that the system queues


def _always_room(_pending_count: int) -> bool:
    return True


class Listener:
    """Accepts connections; the failure of one accept doesn't end it."""

    def __init__(
        self,
        address: tuple[str, int],
        factory: Callable[[], asyncio.Protocol],
        loop: asyncio.AbstractEventLoop,
        has_room: Callable[[int], bool] = _always_room,
        passed: int | None = None,
    ) -> None:
        """Listen.

        Args:
            address: Where to bind.
            factory: Makes the protocol of each connection.
            loop: The event loop.
            has_room: Whether one more connection is accepted beside so many that are not up yet.
            passed: The descriptor of a listening socket to use in place of `address`.
        """
        if passed is not None:
            # The platform has it open, and shares it with another process: what is queued is accepted by
            # whichever is first, and closing it here leaves it open there.
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
        self._has_room = has_room
        self._loop = loop
        self._pending: set[asyncio.Task[object]] = set()  # accepted and not up yet
        self._open = True
        loop.add_reader(self._socket, self._readable)

    def _readable(self) -> None:
        # A long queue accepted in one turn, before any of it is counted, would exhaust the descriptors.
        self._accept_up_to(ACCEPTS_PER_TURN)

    def _accept_up_to(self, limit: float) -> None:
        while self._open and limit > 0:
            if limit <= ACCEPTS_PER_TURN and self._pending and not self._has_room(len(self._pending)):
                return  # those under way may make room first: the queue waits for the next turn
            limit -= 1
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:
                continue  # the client has closed it again
            except OSError:
                # Descriptors have run out: it waits for some.
                self._loop.remove_reader(self._socket)
                self._loop.call_later(ACCEPT_PAUSE_S, self._resume)
                return
            self._connect(accepted)

    def _connect(self, accepted: socket.socket) -> None:
        """Have the protocol started on a connection, or close it where there is no room."""
        if not self._has_room(len(self._pending)):
            accepted.close()
            return
        accepted.setblocking(False)
        task = self._loop.create_task(self._loop.connect_accepted_socket(self._factory, accepted))
        self._pending.add(task)
        task.add_done_callback(self._connected)

    def _connected(self, task: asyncio.Task[object]) -> None:
        self._pending.discard(task)
        if not task.cancelled():
            task.exception()  # the client has closed it; no request was read from it

    def _resume(self) -> None:
        if self._open:
            self._loop.add_reader(self._socket, self._readable)

    def close(self) -> None:
        """Accept what is queued, then listen no more."""
        if self._open:
            self._accept_up_to(math.inf)
            self._open = False
            self._loop.remove_reader(self._socket)
            self._socket.close()
