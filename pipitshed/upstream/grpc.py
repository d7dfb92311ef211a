"""Attempts to planners of interface 2: many on one HTTP/2 connection, each a stream.

The outcomes follow the table in docs/design/translation.md.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

from hpack import NeverIndexedHeaderTuple

from pipitshed import __version__
from pipitshed.protocols.address import Address
from pipitshed.protocols.grpc import timeout_text
from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.upstream.grpc_connection import Connection, Header, Stream
from pipitshed.upstream.http.pool import IDLE_MARGIN_FRACTION

_FIXED: list[Header] = [
    (b":method", b"POST"),
    (b":scheme", b"http"),
    (b":path", b"/pipitshed.planner.v2.Planner/Run"),
    (b":authority", b"service.internal"),
    (b"te", b"trailers"),
    (b"content-type", b"application/grpc+proto"),
    (b"user-agent", f"pipitshed/{__version__}".encode()),
]


@dataclass(frozen=True, slots=True)
class Naming:
    """The names of classes, as the metadata tells them."""

    classes: Sequence[str]

    def metadata(self, attempt: Attempt, left: float) -> list[Header]:
        """The head of an attempt's stream, which has `left` seconds."""
        request = attempt.context.request
        head = [
            *_FIXED,
            (b"x-class", self.classes[request.job_class].encode()),
            NeverIndexedHeaderTuple(b"grpc-timeout", timeout_text(left)),
            NeverIndexedHeaderTuple(b"x-request-id", request.id.encode("latin-1")),
        ]
        if request.tenant_name:
            head.append((b"x-tenant", request.tenant_name.encode("latin-1")))
        if request.idempotency_key:
            head.append(
                NeverIndexedHeaderTuple(b"idempotency-key", request.idempotency_key.encode("latin-1"))
            )
        if request.slots != 1.0:
            head.append((b"x-slots", b"%.15g" % request.slots))
        if request.memory:
            head.append((b"x-memory", b"%.15g" % request.memory))
        return head


class GrpcWorkerClient:
    """One connection to each planner, opened when there is an attempt for it."""

    def __init__(
        self, core: Forwarder, classes: Sequence[str], loop: asyncio.AbstractEventLoop, keepalive: float
    ) -> None:
        self.core = core
        self.loop = loop
        self.metadata = Naming(classes).metadata
        self.keepalive = keepalive  # s of silence, with jobs out, before a sign of life is asked for
        self.on_wrong_interface: Callable[[Endpoint], None] = lambda target: None
        self.on_drain: Callable[[Endpoint], None] = lambda target: core.endpoints.mark_draining(target.id)
        limits = core.settings.limits
        self.connect_timeout = limits.connect_timeout_ms / 1000
        self.idle_for = limits.idle_timeout_ms / 1000 * (1 - IDLE_MARGIN_FRACTION)
        self.probes = 0
        self._connections: dict[Address, Connection] = {}  # those that take new streams
        self._all: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, attempt: Attempt) -> None:
        self._connection(attempt.endpoint).add(attempt)

    def _connection(self, target: Endpoint) -> Connection:
        """The one that takes new streams; it may still be coming up."""
        connection = self._connections.get(target.address)
        if connection is None:
            self.core.counters["connections"] += 1
            connection = self._connections[target.address] = Connection(self, target)
            self._all.add(connection)
            self._start(self._connect(connection))
        return connection

    def abort(self, attempt: Attempt) -> bool:
        link = attempt.transport_state
        if isinstance(link, Stream):
            return link.connection.cancel(link)
        if isinstance(link, Connection):
            link.forget(attempt)
        return False

    def probe(self, target: Endpoint) -> None:
        """Whether the planner is there: no load is told by this interface."""
        self._connection(target).probe()

    def close_idle_connections(self, target: Endpoint) -> None:
        connection = self._connections.get(target.address)
        if connection is not None and not connection.streams and not connection.queue:
            connection.close()

    def close(self) -> None:
        """Close all connections; what was owed has been answered."""
        for connection in list(self._all):
            connection.close()

    def lost(self, connection: Connection) -> None:
        """It takes no new streams any more."""
        if self._connections.get(connection.target.address) is connection:
            del self._connections[connection.target.address]
        if connection.over:
            self._all.discard(connection)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, connection: Connection) -> None:
        """Open it; whatever keeps its SETTINGS away for longer than a connection may take ends it."""
        host, port = connection.target.address
        try:
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.create_connection(lambda: connection, host, port)
        except (OSError, ValueError):  # TimeoutError is one; a host that can't be a name is the other
            connection.abort()
            return
        await asyncio.sleep(self.connect_timeout)
        if not connection.up:
            connection.abort()
