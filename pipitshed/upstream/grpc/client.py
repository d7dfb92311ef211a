"""The client of gRPC workers: one HTTP/2 connection per worker, and one stream on it per attempt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from hpack import NeverIndexedHeaderTuple

from pipitshed import __version__
from pipitshed.flow_control import FlowControl
from pipitshed.protocols.address import Address
from pipitshed.protocols.grpc import encode_timeout
from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import Outcome
from pipitshed.scheduling.settings import Limits
from pipitshed.upstream.grpc.connection import GrpcConnection
from pipitshed.upstream.grpc.stream import GrpcStream
from pipitshed.upstream.http.pool import IDLE_MARGIN_FRACTION

MS_PER_S = 1000

Header = tuple[bytes, bytes]

_FIXED_HEADERS: list[Header] = [
    (b":method", b"POST"),
    (b":scheme", b"http"),
    (b":path", b"/pipitshed.planner.v2.Planner/Run"),
    (b":authority", b"service.internal"),
    (b"te", b"trailers"),
    (b"content-type", b"application/grpc+proto"),
    (b"user-agent", f"pipitshed/{__version__}".encode()),
]


class GrpcWorkerClient:
    """Opens a connection to a worker when there is an attempt or a probe for it."""

    def __init__(
        self,
        forwarder: Forwarder,
        classes: Sequence[str],
        loop: asyncio.AbstractEventLoop,
        keepalive_s: float,
        flow_control: FlowControl | None = None,
    ) -> None:
        self.flow_control = flow_control or FlowControl(loop)
        self.forwarder = forwarder
        self.loop = loop
        self.keepalive_s = keepalive_s  # time without input, with attempts outstanding, before a PING
        self.on_wrong_interface: Callable[[Endpoint], None] = lambda _: None
        self.on_drain: Callable[[Endpoint], None] = lambda endpoint: forwarder.endpoints.mark_draining(
            endpoint.id
        )
        self.probe_count = 0
        self._classes = classes
        self._connections: dict[Address, GrpcConnection] = {}  # those that accept new streams
        self._all: set[GrpcConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.apply_limits(forwarder.settings.limits)

    def apply_limits(self, limits: Limits) -> None:
        """Replace the timeouts; connections that are idle now stay so for the new idle timeout at most."""
        self.idle_timeout_s = limits.idle_timeout_ms / MS_PER_S * (1 - IDLE_MARGIN_FRACTION)
        self._connect_timeout_s = limits.connect_timeout_ms / MS_PER_S
        for connection in self._all:
            connection.restart_idle_timer()

    def start(self, attempt: Attempt) -> None:
        """Start an attempt on the worker's connection."""
        self._connection(attempt.endpoint).add(attempt)

    def abort(self, attempt: Attempt) -> bool:
        """Stop an attempt; return whether it may have run."""
        state = attempt.transport_state
        if isinstance(state, GrpcStream):
            return state.connection.cancel(state)
        if isinstance(state, GrpcConnection):
            state.forget(attempt)
        return False

    def defer_abort(self, _attempt: Attempt, _outcome: Outcome) -> bool:
        """Never: a stream ends without its connection."""
        return False

    def probe(self, endpoint: Endpoint) -> None:
        """Check with a PING that a worker responds; interface 2 reports no load."""
        self._connection(endpoint).probe()

    def close_idle_connections(self, endpoint: Endpoint) -> None:
        """Close the connection to a worker, if it carries no attempt."""
        connection = self._connections.get(endpoint.address)
        if connection is not None and not connection.streams and not connection.queue:
            connection.close()

    def close(self) -> None:
        """Close all connections; no attempt is outstanding."""
        for connection in list(self._all):
            connection.close()

    def lost(self, connection: GrpcConnection) -> None:
        """Remove a connection that accepts no new streams or has ended."""
        address = connection.endpoint.address
        if self._connections.get(address) is connection:
            del self._connections[address]
        if connection.has_ended:
            self._all.discard(connection)

    def metadata(self, attempt: Attempt, remaining_s: float) -> list[Header]:
        """Return the request headers of an attempt with `remaining_s` seconds until its deadline.

        Headers whose value differs with each attempt are never indexed, so that the encoder does not cache
        them.
        """
        request = attempt.context.request
        headers = [
            *_FIXED_HEADERS,
            (b"x-class", self._classes[request.job_class].encode()),
            NeverIndexedHeaderTuple(b"grpc-timeout", encode_timeout(remaining_s)),
            NeverIndexedHeaderTuple(b"x-request-id", request.id.encode("latin-1")),
        ]
        if request.tenant_name:
            headers.append((b"x-tenant", request.tenant_name.encode("latin-1")))
        if request.idempotency_key:
            key = request.idempotency_key.encode("latin-1")
            headers.append(NeverIndexedHeaderTuple(b"idempotency-key", key))
        if request.slots != 1.0:
            headers.append((b"x-slots", b"%.15g" % request.slots))
        if request.memory:
            headers.append((b"x-memory", b"%.15g" % request.memory))
        return headers

    def _connection(self, endpoint: Endpoint) -> GrpcConnection:
        """Return the worker's connection for new streams, which may still be connecting."""
        connection = self._connections.get(endpoint.address)
        if connection is None:
            self.forwarder.counters["connections"] += 1
            connection = self._connections[endpoint.address] = GrpcConnection(self, endpoint)
            self._all.add(connection)
            self._spawn(self._connect(connection))
        connection.endpoint = endpoint  # the list may have given the address to another worker
        return connection

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, connection: GrpcConnection) -> None:
        """Connect; abort if the worker's SETTINGS do not arrive within the connect timeout."""
        host, port = connection.endpoint.address
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await self.loop.create_connection(lambda: connection, host, port)
        except (OSError, ValueError):  # a TimeoutError is an OSError; a malformed host is a ValueError
            connection.abort()
            return
        await asyncio.sleep(self._connect_timeout_s)
        if not connection.is_ready:
            connection.abort()
