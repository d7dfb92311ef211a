"""The sockets on which clients arrive."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable

ACCEPT_PAUSE = 0.05  # s after a failed accept
AT_ONCE = 16  # connections accepted in one turn of the loop, so that those before are up and make room


class Listener:
    """Accepts connections, whatever becomes of a single accept."""

    def __init__(
        self,
        address: tuple[str, int],
        factory: Callable[[], asyncio.Protocol],
        loop: asyncio.AbstractEventLoop,
        room: Callable[[int], bool] = lambda pending: True,
        passed: int | None = None,
    ) -> None:
        """Bind to `address`, or take the listening socket that the descriptor `passed` holds. `room` tells
        whether one more is taken beside so many that are accepted and not up yet.
        """
        if passed is not None:
            # Held by the platform and shared with another process: what stands in its queue is taken by
            # whichever accepts first, and closing here ends only this process's hold of it.
            self._socket = socket.socket(fileno=passed)
            self.passed = True
        else:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            self._socket = socket.socket(family, socket.SOCK_STREAM)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.bind(address)
            self.passed = False
        self._socket.setblocking(False)
        self._socket.listen(1024)
        self.address: tuple[str, int] = self._socket.getsockname()[:2]
        self._factory = factory
        self._room = room
        self._loop = loop
        self._tasks: set[asyncio.Task[object]] = set()
        self._open = True
        loop.add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        # Guards the descriptors against a backlog taken in one turn, before any of it is counted.
        self._take(AT_ONCE)

    def _take(self, most: float) -> None:
        while self._open and most > 0:
            if most <= AT_ONCE and self._tasks and not self._room(len(self._tasks)):
                return  # those under way may make room first: the queue waits for the next turn
            most -= 1
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:
                continue  # the client has gone again
            except OSError:
                # Guards against the loss of the listener when descriptors run out: it waits for some.
                self._loop.remove_reader(self._socket)
                self._loop.call_later(ACCEPT_PAUSE, self._resume)
                return
            if not self._room(len(self._tasks)):
                accepted.close()
                continue
            accepted.setblocking(False)
            task = self._loop.create_task(self._loop.connect_accepted_socket(self._factory, accepted))
            self._tasks.add(task)
            task.add_done_callback(self._accepted)

    def _accepted(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()  # the client had gone; nothing was taken from it

    def _resume(self) -> None:
        if self._open:
            self._loop.add_reader(self._socket, self._accept)

    def close(self) -> None:
        """Take in what stands in the queue, then listen no more."""
        if self._open:
            self._take(math.inf)
            self._open = False
            self._loop.remove_reader(self._socket)
            self._socket.close()
