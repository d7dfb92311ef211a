"""Detects which interface a worker speaks, on a separate connection and without a request.

The probe sends the HTTP/2 preface. A worker of interface 2 answers with its SETTINGS. For a worker of
interface 1 the preface is a malformed request line, so it answers with an error or closes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h2.events
import h2.exceptions

from pipitshed.flow_control import FlowControl, PacedConnection
from pipitshed.protocols.address import Address
from pipitshed.protocols.grpc import Http2Connection
from pipitshed.scheduling.events import WorkerId

CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 1.0
GOAWAY_WINDOW_S = 0.05  # after its SETTINGS, within which a stopping worker sends GOAWAY

_UNKNOWN, _HTTP, _GRPC = 0, 1, 2  # interfaces


class _Probe(PacedConnection):
    """One worker's response to the preface; the result is its interface, or 0 if unknown."""

    def __init__(self, loop: asyncio.AbstractEventLoop, flow_control: FlowControl) -> None:
        super().__init__(flow_control)
        self.result: asyncio.Future[int] = loop.create_future()
        self._loop = loop
        self._http2 = Http2Connection()
        self._goaway_timer: asyncio.TimerHandle | None = None  # set by the worker's SETTINGS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the preface."""
        super().connection_made(transport)
        assert self._transport is not None
        self._http2.initiate_connection()
        self._transport.write(self._http2.data_to_send())

    def data_received(self, data: bytes) -> None:
        """Handle SETTINGS, GOAWAY and input that is not HTTP/2."""
        if self.result.done():
            return
        try:
            events = self._http2.receive_data(data)
        except h2.exceptions.ProtocolError:
            self._set_result(_HTTP)
            return
        if any(isinstance(event, h2.events.ConnectionTerminated) for event in events):
            self._set_result(_UNKNOWN)
        elif self._goaway_timer is None and any(
            isinstance(event, h2.events.RemoteSettingsChanged) for event in events
        ):
            self._goaway_timer = self._loop.call_later(GOAWAY_WINDOW_S, self._set_result, _GRPC)

    def connection_lost(self, exc: Exception | None) -> None:
        """Treat a clean close as interface 1, unless SETTINGS arrived before it.

        The platform's workers close on input that they can't parse. A worker that closes after its SETTINGS
        was stopping.
        """
        super().connection_lost(exc)
        is_clean_close = self._goaway_timer is None and not isinstance(exc, ConnectionError)
        self._set_result(_HTTP if is_clean_close else _UNKNOWN)
        if self._goaway_timer is not None:
            self._goaway_timer.cancel()

    def abort(self) -> None:
        """Close the connection, if there is one."""
        if self._transport is not None:
            self._transport.abort()

    def _set_result(self, interface: int) -> None:
        if not self.result.done():
            self.result.set_result(interface)


class InterfaceProber:
    """Probes workers, each in a separate task."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_detected: Callable[[WorkerId, Address, int], None],
        flow_control: FlowControl | None = None,
    ) -> None:
        self._flow_control = flow_control or FlowControl(loop)
        self._loop = loop
        self._on_detected = on_detected
        self._tasks: set[asyncio.Task[None]] = set()

    def probe(self, worker: WorkerId, address: Address) -> None:
        """Start a probe; it calls `on_detected` with the interface, or 0 if the probe failed."""
        task = self._loop.create_task(self._run(worker, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, worker: WorkerId, address: Address) -> None:
        probe = _Probe(self._loop, self._flow_control)
        interface = _UNKNOWN
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: probe, *address)
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                interface = await probe.result
        except (OSError, ValueError):  # a TimeoutError is an OSError; a malformed host is a ValueError
            pass
        finally:
            probe.abort()
        self._on_detected(worker, address, interface)

    def close(self) -> None:
        """Cancel all probes."""
        for task in self._tasks:
            task.cancel()
