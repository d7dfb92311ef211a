"""The core alone, between a loop and parties that are scripted."""

import asyncio
import errno
import socket
from typing import Any

import pytest
from helpers import entries, settings

from pipitshed.decisions.interface import ListKind
from pipitshed.exchange.core import Core
from pipitshed.exchange.parties import EgressTarget
from pipitshed.ingress.listener import Listener


class HastyLoop:
    """A loop whose timers come 2 ms early, as uvloop's may."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.call_soon = self._loop.call_soon

    def call_at(self, when: float, *call: Any) -> asyncio.TimerHandle:
        return self._loop.call_at(when - 0.002, *call)


def test_a_timer_that_fires_early_does_not_lose_the_watch() -> None:
    """The failure met: the decisions take an early timer for an old one, and never ask again."""
    async def run() -> None:
        asked = asyncio.Event()
        core = Core(settings(list_on_request=True), 1, HastyLoop())  # type: ignore[arg-type]
        core.ask_list = lambda watch: asked.set()
        lines = [(entry, EgressTarget(entry.worker, None, None)) for entry in entries(3)]  # type: ignore[arg-type]
        core.routes.fill("test", ListKind.CACHED, 1, lines)
        await asyncio.wait_for(asked.wait(), 5)

    asyncio.run(run())


def test_a_failed_accept_does_not_lose_the_listener(monkeypatch: pytest.MonkeyPatch) -> None:
    """Out of descriptors for once: the client in the queue is served when there are some again."""
    async def run() -> None:
        failures = [OSError(errno.EMFILE, "too many open files")]
        accept = socket.socket.accept

        def failing(self: socket.socket) -> Any:
            if failures:
                raise failures.pop()
            return accept(self)

        served = asyncio.Event()

        class Served(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                served.set()
                transport.close()

        monkeypatch.setattr(socket.socket, "accept", failing)
        listener = Listener(("127.0.0.1", 0), Served, asyncio.get_running_loop())
        _, writer = await asyncio.open_connection(*listener.address)
        await asyncio.wait_for(served.wait(), 5)
        assert not failures
        writer.close()
        listener.close()

    asyncio.run(run())
