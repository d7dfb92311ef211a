"""A forwarder whose events the test sees, and connections that come up late."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from unittest.mock import Mock

from helpers import entries, settings

from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.request import Request, RequestContext
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.actions import StartAttempt
from pipitshed.scheduling.events import (
    AttemptFinished,
    EndpointState,
    Event,
    JobSubmitted,
    Outcome,
    UpdateKind,
)
from pipitshed.scheduling.settings import Idempotency, JobClass, Limits
from pipitshed.upstream.http import HttpWorkerClient


class Rig:
    """A core whose events are heard, and whose decisions are the test's own."""

    def __init__(self, effect: Idempotency = Idempotency.IDEMPOTENT) -> None:
        loop = asyncio.get_running_loop()
        classes = (
            JobClass(
                latency_objective_ms=1000.0,
                deadline_ms=9000.0,
                idempotency=effect,
                idempotency_window_ms=5000.0,
            ),
        )
        self.forwarder = Forwarder(
            settings(classes=classes, limits=Limits(may_cancel=False, max_attempts=3)), 1, loop
        )
        self.forwarder._dispatch_loop.post = self._heard  # type: ignore[method-assign]
        self.carrier = HttpWorkerClient(self.forwarder, [], loop)
        self.ended: asyncio.Queue[AttemptFinished] = asyncio.Queue()

    def _heard(self, event: Event) -> None:
        if isinstance(event, AttemptFinished):
            self.ended.put_nowait(event)
        assert not isinstance(event, JobSubmitted) or event.job_id

    def lists(self, port: int, state: EndpointState = EndpointState.READY) -> None:
        [entry] = entries(1)
        target = Endpoint(entry.worker, self.carrier, ("127.0.0.1", port))
        self.forwarder.endpoints.update("test", UpdateKind.DELTA, 1, [(replace(entry, state=state), target)])
        self.worker = entry.worker

    def take(self, name: str = "a1", body: bytes = b"pallets") -> RequestContext:
        return self.forwarder.submit(Request(name, 0, 9000.0, 0, body, "k-" + name), Mock())

    def send(self, exchange: RequestContext, write_within: float = 0.0) -> None:
        self.forwarder._execute(StartAttempt(exchange.job_id, self.worker, write_within_ms=write_within))

    async def outcome(self) -> Outcome:
        return (await self.ended.get()).outcome


@contextlib.asynccontextmanager
async def late_connections() -> AsyncIterator[Callable[[], None]]:
    """Connections come up when the test says so; entered, it waits for nothing."""
    loop = asyncio.get_running_loop()
    gate, create = asyncio.Event(), loop.create_connection

    async def late(*told: object, **more: object) -> object:
        await gate.wait()
        return await create(*told, **more)  # type: ignore[arg-type, call-overload]

    loop.create_connection = late  # type: ignore[method-assign, assignment]
    try:
        yield gate.set
    finally:
        loop.create_connection = create  # type: ignore[method-assign]
