"""The client of workers that speak HTTP: starts attempts and load probes, and counts its connections."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine, Sequence

from pipitshed.flow_control import FlowControl
from pipitshed.protocols.address import Address
from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import Outcome
from pipitshed.scheduling.settings import Idempotency, Limits
from pipitshed.upstream.http.connection import HttpWorkerConnection, request_bytes
from pipitshed.upstream.http.pool import IdlePool

PROBE_TIMEOUT_S = 0.5
MIN_CONNECT_TIMEOUT_S = 0.001
_LOAD_REQUEST = b"GET /_load HTTP/1.1\r\nHost: service.internal\r\n\r\n"


class HttpWorkerClient:
    """Starts attempts on idle or new connections, and reports one outcome for each to the forwarder."""

    def __init__(
        self,
        forwarder: Forwarder,
        report_fields: Sequence[str],
        loop: asyncio.AbstractEventLoop,
        max_connections: Callable[[], float] = lambda: math.inf,
        flow_control: FlowControl | None = None,
    ) -> None:
        self.flow_control = flow_control or FlowControl(loop)
        self.forwarder = forwarder
        self.loop = loop
        self.report_fields = report_fields  # of load reports, in the settings' order
        self.classes: Sequence[str] = ()  # names of the job classes, where messages are translated
        self.on_wrong_interface: Callable[[Endpoint], None] = lambda _: None
        self.pool = IdlePool(forwarder.settings.limits.idle_timeout_ms, loop)
        self._max_connections = max_connections
        self._connecting_count = 0
        self._open_connections: set[HttpWorkerConnection] = set()
        self._connect_timeout_s = forwarder.settings.limits.connect_timeout_ms / 1000
        self._tasks: set[asyncio.Task[None]] = set()

    def apply_settings(self, limits: Limits, report_fields: Sequence[str]) -> None:
        """Replace the limits and the report fields."""
        self.report_fields = report_fields
        self._connect_timeout_s = limits.connect_timeout_ms / 1000
        self.pool.set_idle_timeout(limits.idle_timeout_ms)

    def start(self, attempt: Attempt) -> None:
        """Start an attempt on an idle connection, or on a new one if the limit permits."""
        connection = self.pool.take(attempt.endpoint.address)
        if connection is not None:
            self._write_attempt(connection, attempt)
        elif self.connections >= self._max_connections() and not self.close_oldest_idle():
            self.forwarder.attempt_finished(attempt, Outcome.CONNECT_FAILED)
        else:
            self.forwarder.counters["connections"] += 1
            self._spawn(self._connect_for_attempt(attempt))

    def abort(self, attempt: Attempt) -> bool:
        """Stop an attempt; return whether its last byte has been sent, so that it may have run."""
        connection = attempt.transport_state
        if not isinstance(connection, HttpWorkerConnection):
            return False  # still connecting; once established, the connection becomes idle
        is_sent = connection.is_sent
        connection.close()
        return is_sent

    def defer_abort(self, _attempt: Attempt, _outcome: Outcome) -> bool:
        """Never: a connection carries one attempt."""
        return False

    def probe(self, endpoint: Endpoint) -> None:
        """Request a worker's load report."""
        self._spawn(self._probe(endpoint))

    def idempotency(self, attempt: Attempt) -> Idempotency:
        """The idempotency of an attempt's class."""
        return self.forwarder.settings.classes[attempt.context.request.job_class].idempotency

    # ---- connections

    @property
    def connections(self) -> int:
        """The number of connections that are open or being established."""
        return self._connecting_count + len(self._open_connections)

    def connected(self, connection: HttpWorkerConnection) -> None:
        """Called when a connection is established."""
        self._open_connections.add(connection)

    def lost(self, connection: HttpWorkerConnection) -> None:
        """Called when a connection is closed."""
        self._open_connections.discard(connection)
        self.pool.discard(connection)

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest; False if there is none.

        Otherwise, idle connections to many workers could leave no file descriptor for new ones.
        """
        return self.pool.close_oldest()

    def close_idle_connections(self, endpoint: Endpoint) -> None:
        """Close the idle connections to one worker."""
        self.pool.close_address(endpoint.address)

    def close(self) -> None:
        """Close all idle connections."""
        self.pool.close_all()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, address: Address, timeout_s: float) -> HttpWorkerConnection | None:
        host, port = address
        self._connecting_count += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await self.loop.create_connection(
                    lambda: HttpWorkerConnection(self, address), host, port
                )
        except (OSError, ValueError):  # a TimeoutError is an OSError; a malformed host is a ValueError
            return None
        finally:
            self._connecting_count -= 1
        return connection if connection.is_open else None  # it may have been reset since

    def _write_attempt(self, connection: HttpWorkerConnection, attempt: Attempt) -> None:
        connection.attempt, attempt.transport_state = attempt, connection
        connection.idle_endpoint = None
        connection.write(request_bytes(attempt, attempt.deadline_at - self.loop.time(), self.classes))

    async def _connect_for_attempt(self, attempt: Attempt) -> None:
        timeout_s = min(self._connect_timeout_s, attempt.deadline_at - self.loop.time())
        connection = await self._connect(attempt.endpoint.address, max(MIN_CONNECT_TIMEOUT_S, timeout_s))
        if connection is None:
            self.forwarder.attempt_finished(attempt, Outcome.CONNECT_FAILED)
        elif self.forwarder.may_begin(attempt):
            self._write_attempt(connection, attempt)
        else:
            # While the connection was opened, the attempt was aborted or its write deadline passed. Nothing
            # was sent, so the connection can be reused.
            self.pool.put(connection)
            self.forwarder.attempt_finished(attempt, Outcome.CONNECT_FAILED)

    async def _probe(self, endpoint: Endpoint) -> None:
        started_at = self.loop.time()
        connection = self.pool.take(endpoint.address) or await self._connect(
            endpoint.address, PROBE_TIMEOUT_S
        )
        if connection is None:
            duration_ms = (self.loop.time() - started_at) * 1000
            self.forwarder.probe_finished(endpoint, Outcome.CONNECT_FAILED, duration_ms)
            return
        connection.probed_endpoint, connection.probe_started_at = endpoint, started_at
        connection.write(_LOAD_REQUEST)
        await asyncio.sleep(PROBE_TIMEOUT_S)
        if connection.probed_endpoint is endpoint and connection.probe_started_at == started_at:
            duration_ms = (self.loop.time() - started_at) * 1000
            self.forwarder.probe_finished(endpoint, Outcome.TIMEOUT, duration_ms)
            connection.close()
