"""A forwarder whose events the test receives, and connections that wait until the test allows them."""

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
    ProbeFinished,
    UpdateKind,
)
from pipitshed.scheduling.settings import Idempotency, JobClass, Limits
from pipitshed.upstream.http import HttpWorkerClient


class Rig:
    """A forwarder with an HTTP client; the test starts the attempts itself, instead of the dispatcher."""

    def __init__(self, idempotency: Idempotency = Idempotency.IDEMPOTENT) -> None:
        loop = asyncio.get_running_loop()
        classes = (
            JobClass(
                latency_objective_ms=1000.0,
                deadline_ms=9000.0,
                idempotency=idempotency,
                idempotency_window_ms=5000.0,
            ),
        )
        self.forwarder = Forwarder(
            settings(classes=classes, limits=Limits(may_cancel=False, max_attempts=3)), 1, loop
        )
        self.forwarder._dispatch_loop.post = self._record_event  # type: ignore[method-assign]
        self.worker_client = HttpWorkerClient(self.forwarder, [], loop)
        self.finished_attempts: asyncio.Queue[AttemptFinished] = asyncio.Queue()
        self.finished_probes: asyncio.Queue[ProbeFinished] = asyncio.Queue()

    def _record_event(self, event: Event) -> None:
        if isinstance(event, AttemptFinished):
            self.finished_attempts.put_nowait(event)
        elif isinstance(event, ProbeFinished):
            self.finished_probes.put_nowait(event)
        assert not isinstance(event, JobSubmitted) or event.job_id

    def list_worker(self, port: int, state: EndpointState = EndpointState.READY) -> None:
        [entry] = entries(1)
        endpoint = Endpoint(entry.worker, self.worker_client, ("127.0.0.1", port))
        self.forwarder.endpoints.update(
            "test", UpdateKind.DELTA, 1, [(replace(entry, state=state), endpoint)]
        )
        self.worker = entry.worker

    def submit(self, name: str = "a1", body: bytes = b"pallets") -> RequestContext:
        return self.forwarder.submit(Request(name, 0, 9000.0, 0, body, "k-" + name), Mock())

    def start_attempt(self, context: RequestContext, write_within_ms: float = 0.0) -> None:
        self.forwarder._execute(StartAttempt(context.job_id, self.worker, write_within_ms=write_within_ms))

    async def outcome(self) -> Outcome:
        return (await self.finished_attempts.get()).outcome


@contextlib.asynccontextmanager
async def delayed_connections() -> AsyncIterator[Callable[[], None]]:
    """Delay new connections until the test calls the yielded function."""
    loop = asyncio.get_running_loop()
    may_connect, create = asyncio.Event(), loop.create_connection

    async def connect_when_allowed(*args: object, **kwargs: object) -> object:
        await may_connect.wait()
        return await create(*args, **kwargs)  # type: ignore[arg-type, call-overload]

    loop.create_connection = connect_when_allowed  # type: ignore[method-assign, assignment]
    try:
        yield may_connect.set
    finally:
        loop.create_connection = create  # type: ignore[method-assign]
