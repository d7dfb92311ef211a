"""Finds out which interface a planner speaks, on a connection of its own and without a request.

HTTP/2's preface is sent. A planner of interface 2 answers with its SETTINGS; to one of interface 1 it is a
request line that it can't read, so that it answers with an error or closes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import h2.events
import h2.exceptions

from pipitshed.protocols.grpc import Http2
from pipitshed.scheduling.events import WorkerId

CONNECT_TIMEOUT = 1.0  # s
ANSWER_TIMEOUT = 1.0  # s
SETTLED = 0.05  # s behind the SETTINGS in which a planner that leaves says so

Address = tuple[str, int]


class _Sounding(asyncio.Protocol):
    """One planner's answer to the preface: 2, 1, or 0 where it has none."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.answer: asyncio.Future[int] = loop.create_future()
        self._loop = loop
        self._http2 = Http2()
        self._settled: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._http2.initiate_connection()
        self.transport.write(self._http2.data_to_send())

    def data_received(self, data: bytes) -> None:
        if self.answer.done():
            return
        try:
            events = self._http2.receive_data(data)
        except h2.exceptions.ProtocolError:
            self._set(1)
            return
        if any(isinstance(event, h2.events.ConnectionTerminated) for event in events):
            self._set(0)
        elif self._settled is None and any(
            isinstance(event, h2.events.RemoteSettingsChanged) for event in events
        ):
            self._settled = self._loop.call_later(SETTLED, self._set, 2)

    def connection_lost(self, exc: Exception | None) -> None:
        # A close without a word is what the platform's planners do with what they can't read; one with
        # SETTINGS before it was about to leave.
        self._set(1 if self._settled is None and not isinstance(exc, ConnectionError) else 0)
        if self._settled is not None:
            self._settled.cancel()

    def _set(self, interface: int) -> None:
        if not self.answer.done():
            self.answer.set_result(interface)


class InterfaceProber:
    """Asks planners, each on a task of its own."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sounded: Callable[[WorkerId, Address, int], None]
    ) -> None:
        self._loop = loop
        self._on_detected = sounded
        self._tasks: set[asyncio.Task[None]] = set()

    def probe(self, worker: WorkerId, address: Address) -> None:
        task = self._loop.create_task(self._run(worker, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, worker: WorkerId, address: Address) -> None:
        sounding = _Sounding(self._loop)
        interface = 0
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await self._loop.create_connection(lambda: sounding, *address)
            async with asyncio.timeout(ANSWER_TIMEOUT):
                interface = await sounding.answer
        except (OSError, ValueError):  # it could not be asked (or can't be a name), or says nothing
            pass
        finally:
            if sounding.transport is not None:
                sounding.transport.abort()
        self._on_detected(worker, address, interface)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
