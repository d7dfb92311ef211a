"""All HTTP clients' connections: how many there may be, and which one closes when there are too many."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import islice

from pipitshed.frontends.http.connection import HttpConnection
from pipitshed.frontends.http.request_parser import RequestParser
from pipitshed.proxy.forwarder import Forwarder

LINGER_S = 0.5  # for which input is discarded after the last response, so that the client can read that
STOPPING_LINGER_S = 0.2  # the same while the program stops
HARD_LIMIT_FACTOR = 1.5  # times the limit of connections, from which no new one is accepted
STALLED_AFTER_S = 1.0  # without a byte, after which an incomplete request counts as stalled
MAX_EVICTION_CANDIDATES = 8  # looked at for each new connection


class HttpFrontend:
    """Accepts clients' connections within a limit, and knows which requests are open."""

    def __init__(
        self,
        forwarder: Forwarder,
        parser: RequestParser,
        max_connections: int,
        loop: asyncio.AbstractEventLoop,
        ready: Callable[[], bool],
    ) -> None:
        self.forwarder = forwarder
        self.parser = parser
        self.loop = loop
        self.ready = ready
        self.draining = False  # each response closes its connection
        self.connections: dict[HttpConnection, None] = {}  # the one that responded last is last
        # Those without a complete request so far; the one that has sent nothing for longest is first.
        self.unproven: dict[HttpConnection, None] = {}
        self.closing: dict[HttpConnection, None] = {}  # their last responses may still be on the way
        self.linger = LINGER_S
        self.open_ids: set[str] = set()
        self._max_connections = max_connections

    def connection(self) -> HttpConnection:
        """A new client's connection."""
        return HttpConnection(self)

    def connected(self, newcomer: HttpConnection) -> None:
        """A connection is up; where there are too many, evict one.

        This is decided here and not when the connection is accepted: in a burst, several are accepted before
        the first of them is up and counted.
        """
        newcomer.last_received_at = self.loop.time()
        self.connections[newcomer] = self.unproven[newcomer] = None
        if len(self.connections) > self._max_connections:
            evicted = self._eviction_candidate(newcomer)
            if evicted is not None:
                evicted.drop()

    def _eviction_candidate(self, newcomer: HttpConnection) -> HttpConnection | None:
        """The connection to close for a new one.

        First one without a complete request that has sent nothing, or has stalled; then the one that is idle
        for longest; then one that is still sending its first request. So clients that only hold connections
        can't evict those that use theirs, nor those that write a request slowly.
        """
        now, unproven = self.loop.time(), self.unproven
        for connection in islice(unproven, MAX_EVICTION_CANDIDATES):
            is_stalled = now - connection.last_received_at >= STALLED_AFTER_S
            if connection is not newcomer and (not connection.is_receiving or is_stalled):
                return connection
        idle = next((one for one in self.connections if one.is_idle and one not in unproven), None)
        first = next(iter(unproven))
        return idle or (first if first is not newcomer else None)

    def received(self, connection: HttpConnection) -> None:
        """A connection without a complete request has sent something: others are evicted before it."""
        del self.unproven[connection]
        self.unproven[connection] = None

    def has_room(self, pending: int) -> bool:
        """Whether another connection is accepted, besides `pending` ones that are accepted and not up yet.

        Busy connections are never evicted. Without this limit they would use up the descriptors that attempts
        and discovery need.
        """
        count = len(self.connections) + len(self.closing) + pending
        return count < self._max_connections * HARD_LIMIT_FACTOR

    def forget(self, connection: HttpConnection) -> None:
        """A connection carries no more requests."""
        self.connections.pop(connection, None)
        self.unproven.pop(connection, None)

    def used(self, connection: HttpConnection) -> None:
        """A connection has just carried a response."""
        connection.last_responded_at = self.loop.time()
        if self.connections.pop(connection, 0) is None:
            self.connections[connection] = None

    def close_idle(self, idle_for_s: float) -> None:
        """Close connections that have been idle for so long, and those whose incomplete request has stalled.

        While the program stops, a client that stalled half way through a request would delay the exit until
        SIGKILL.
        """
        now = self.loop.time()
        for connection in list(self.connections):
            if connection.is_idle and now - connection.idle_since() >= idle_for_s:
                connection.close()
            elif connection.is_receiving and now - connection.last_received_at >= STALLED_AFTER_S:
                connection.time_out()
