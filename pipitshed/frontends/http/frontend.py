"""The set of HTTP clients' connections: their limit, and which one is evicted above it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container
from itertools import islice

from pipitshed.flow_control import FlowControl
from pipitshed.frontends.http.connection import HttpConnection
from pipitshed.frontends.http.request_parser import RequestParser
from pipitshed.proxy.forwarder import Forwarder

LINGER_S = 0.5  # input is discarded for this time after the last response, so that the client can read it
STOPPING_LINGER_S = 0.2  # the same during shutdown
HARD_LIMIT_FACTOR = 1.5  # times the connection limit; from here no new one is accepted
STALLED_AFTER_S = 1.0  # time without a byte after which an incomplete request counts as stalled
MAX_EVICTION_CANDIDATES = 8  # connections examined for each new one


class HttpFrontend:
    """Accepts a limited number of clients' connections, and tracks the ids of open requests."""

    def __init__(
        self,
        forwarder: Forwarder,
        parser: RequestParser,
        max_connections: Callable[[], int],
        loop: asyncio.AbstractEventLoop,
        ready: Callable[[], bool],
        flow_control: FlowControl | None = None,
        executed: Container[str] = frozenset(),
    ) -> None:
        self.flow_control = flow_control or FlowControl(loop)
        self.forwarder = forwarder
        self.parser = parser
        self.loop = loop
        self.ready = ready
        self.draining = False  # if set, each response closes its connection
        self.connections: dict[HttpConnection, None] = {}  # in the order of their last responses
        # Connections without a complete request so far, in the order of their last input.
        self.awaiting_first_request: dict[HttpConnection, None] = {}
        self.closing: dict[HttpConnection, None] = {}  # closing; their last responses may still be in transit
        self.linger = LINGER_S
        self.open_ids: set[str] = set()
        self.executed = executed  # ids of requests that must not run again
        self._max_connections = max_connections

    def connection(self) -> HttpConnection:
        """Create the protocol of a new connection."""
        return HttpConnection(self)

    def connected(self, new_connection: HttpConnection) -> None:
        """Register a new connection, and evict one if there are too many.

        This is decided here rather than on accept: in a burst, several connections are accepted before the
        first of them is set up and counted.
        """
        new_connection.last_received_at = self.loop.time()
        self.connections[new_connection] = self.awaiting_first_request[new_connection] = None
        if len(self.connections) > self._max_connections():
            evicted = self._eviction_candidate(new_connection)
            if evicted is not None:
                evicted.drop()

    def _eviction_candidate(self, new_connection: HttpConnection) -> HttpConnection | None:
        """Choose the connection to close for a new one; None if there is none.

        The order is: one without a complete request that has sent nothing or has stalled, the one that is
        idle for longest, one that is still sending its first request. So clients that keep unused connections
        can't evict those that use theirs, nor those that send a request slowly. A connection with input that
        is not read yet is not closed, as it may hold a whole request.
        """
        now, candidates = self.loop.time(), self.awaiting_first_request
        for connection in islice(candidates, MAX_EVICTION_CANDIDATES):
            is_stalled = now - connection.last_received_at >= STALLED_AFTER_S
            is_silent = not connection.is_receiving and not connection.has_unread_input()
            if connection is not new_connection and (is_silent or is_stalled):
                return connection
        idle = (one for one in self.connections if one.is_idle and one not in candidates)
        unused = next((one for one in idle if not one.has_unread_input()), None)
        first = next(iter(candidates))
        may_close_first = first is not new_connection and not first.has_unread_input()
        return unused or (first if may_close_first else None)

    def received(self, connection: HttpConnection) -> None:
        """Move a connection that sent a part of its first request to the end of the eviction order."""
        del self.awaiting_first_request[connection]
        self.awaiting_first_request[connection] = None

    def may_accept(self, pending: int) -> bool:
        """Whether another connection may be accepted, with `pending` ones still being set up.

        Busy connections are never evicted: without this limit they would exhaust the descriptors that
        attempts and discovery need.
        """
        count = len(self.connections) + len(self.closing) + pending
        return count < self._max_connections() * HARD_LIMIT_FACTOR

    def forget(self, connection: HttpConnection) -> None:
        """Remove a connection that carries no more requests."""
        self.connections.pop(connection, None)
        self.awaiting_first_request.pop(connection, None)

    def used(self, connection: HttpConnection) -> None:
        """Record a response on a connection, which moves it to the end of the eviction order."""
        connection.last_responded_at = self.loop.time()
        if self.connections.pop(connection, 0) is None:
            self.connections[connection] = None

    def close_idle(self, idle_for_s: float) -> None:
        """Close connections that have been idle for this time, and answer stalled requests with 408.

        Otherwise a client that stalls in the middle of a request would delay the shutdown until SIGKILL.
        """
        now = self.loop.time()
        for connection in list(self.connections):
            if connection.is_idle and now - connection.idle_since() >= idle_for_s:
                connection.close()
            elif connection.is_receiving and now - connection.last_received_at >= STALLED_AFTER_S:
                connection.time_out()
