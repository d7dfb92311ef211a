"""The admin address: HTTP/1.1, one request per connection, `GET /-/ready` and `GET /-/metrics`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from pipitshed.flow_control import FlowControl, PacedConnection

REQUEST_TIMEOUT_S = 2.0  # from connecting; an incomplete request is then closed without a response
MAX_CONNECTIONS = 16  # a new connection closes the oldest
HEAD_LIMIT_BYTES = 8 * 1024  # of a request, which has no body
LINGER_S = 1.0  # time after the response in which the client may close first
READY_PATH = b"/-/ready"
METRICS_PATH = b"/-/metrics"

_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}


class _AdminConnection(PacedConnection):
    """One connection, which carries one request."""

    def __init__(self, frontend: AdminFrontend) -> None:
        super().__init__(frontend.flow_control)
        self._frontend = frontend
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._received_bytes = 0
        self._answered = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and start its timeout."""
        super().connection_made(transport)
        self._frontend.connections[self] = None
        self._timer = self._frontend.loop.call_later(REQUEST_TIMEOUT_S, self.close)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Unregister the connection, and cancel its timeout."""
        super().connection_lost(_exc)
        del self._parser  # it refers to this object
        self._frontend.connections.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse input; a head that is too long or malformed is answered with 400."""
        if self._answered:
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._answer(400, b"")
            return
        if not self._answered and self._received_bytes > HEAD_LIMIT_BYTES:
            self._answer(400, b"")

    def eof_received(self) -> bool | None:
        """Close the connection when the client does."""
        if self._transport is not None:
            self._transport.close()  # answered or not, the client sends no more
        return None

    def on_url(self, url: bytes) -> None:
        """Called by the parser with a part of the URL."""
        self._url += url

    def on_message_complete(self) -> None:
        """Called by the parser when the request is complete; answers it."""
        if self._answered:
            return
        method, path = self._parser.get_method(), self._url.split(b"?")[0]
        if path not in (READY_PATH, METRICS_PATH):
            self._answer(404, b"no such call\n")
        elif method not in (b"GET", b"HEAD"):
            self._answer(405, b"only GET\n", b"Allow: GET, HEAD\r\n")
        elif path == READY_PATH:
            ready = self._frontend.ready()
            text = b"ready\n" if ready else b"not ready\n"
            self._answer(200 if ready else 503, text, head_only=method == b"HEAD")
        else:
            self._answer(200, self._frontend.metrics(), head_only=method == b"HEAD")

    def _answer(self, status: int, body: bytes, extra_headers: bytes = b"", head_only: bool = False) -> None:
        self._answered = True
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"
            b"%sConnection: close\r\n\r\n%s"
            % (status, _REASONS[status].encode(), len(body), extra_headers, b"" if head_only else body)
        )
        # Further input is not read, and a close with unread bytes would reset the connection before the
        # response arrives: so the client closes first, or the timer does.
        transport.write_eof()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._frontend.loop.call_later(LINGER_S, transport.close)

    def close(self) -> None:
        """Close immediately, without sending the pending output."""
        if self._transport is not None:
            self._transport.abort()


class AdminFrontend:
    """All connections at the admin address."""

    def __init__(
        self,
        ready: Callable[[], bool],
        metrics: Callable[[], bytes],
        loop: asyncio.AbstractEventLoop,
        flow_control: FlowControl | None = None,
    ) -> None:
        self.flow_control = flow_control or FlowControl(loop)
        self.ready = ready
        self.metrics = metrics
        self.loop = loop
        self.connections: dict[_AdminConnection, None] = {}  # the oldest first

    def connection(self) -> _AdminConnection:
        """Create a new connection; at MAX_CONNECTIONS the oldest one is closed."""
        if len(self.connections) >= MAX_CONNECTIONS:
            next(iter(self.connections)).close()
        return _AdminConnection(self)

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            connection.close()
