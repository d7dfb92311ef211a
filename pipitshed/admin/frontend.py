"""The operators' address: HTTP/1.1, one call per connection, `GET /-/ready` and `GET /-/metrics`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import httptools

WITHIN = 2.0  # s from connecting by which a call is whole; after that it is closed without a word
MOST = 16  # open calls; a new one closes the oldest
HEAD_LIMIT = 8 * 1024  # bytes of a call; a call has no body
LINGER = 1.0  # s for which an answered call waits for the caller's close

_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}


class _Call(asyncio.Protocol):
    """One operator's call."""

    def __init__(self, front: AdminFrontend) -> None:
        self._front = front
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._url = b""
        self._size = 0
        self._done = False
        self._due: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        self._front.calls[self] = None
        self._due = self._front.loop.call_later(WITHIN, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        self._front.calls.pop(self, None)
        if self._due is not None:
            self._due.cancel()

    def data_received(self, data: bytes) -> None:
        if self._done:
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._answer(400, b"")
            return
        if not self._done and self._size > HEAD_LIMIT:
            self._answer(400, b"")

    def eof_received(self) -> bool | None:
        if self._transport is not None:
            self._transport.close()  # answered or not, the caller has said all
        return None

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        if self._done:
            return
        method, path = self._parser.get_method(), self._url.split(b"?")[0]
        if path not in (b"/-/ready", b"/-/metrics"):
            self._answer(404, b"no such call\n")
        elif method not in (b"GET", b"HEAD"):
            self._answer(405, b"only GET\n", b"Allow: GET, HEAD\r\n")
        elif path == b"/-/ready":
            ready = self._front.ready()
            text = b"ready\n" if ready else b"not ready\n"
            self._answer(200 if ready else 503, text, head=method == b"HEAD")
        else:
            self._answer(200, self._front.figures(), head=method == b"HEAD")

    def _answer(self, status: int, body: bytes, extra: bytes = b"", head: bool = False) -> None:
        self._done = True
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"
            b"%sConnection: close\r\n\r\n%s"
            % (status, _REASONS[status].encode(), len(body), extra, b"" if head else body)
        )
        # Guards the answer's way to the caller: what it may still send is not read, and a close with bytes
        # unread would reset the connection; its end comes from the caller, or from the timer.
        transport.write_eof()
        if self._due is not None:
            self._due.cancel()
        self._due = self._front.loop.call_later(LINGER, transport.close)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class AdminFrontend:
    """All operators' calls."""

    def __init__(
        self, ready: Callable[[], bool], figures: Callable[[], bytes], loop: asyncio.AbstractEventLoop
    ) -> None:
        self.ready = ready
        self.figures = figures
        self.loop = loop
        self.calls: dict[_Call, None] = {}  # the oldest first

    def connection(self) -> _Call:
        """A new call; where there are too many, the oldest is closed."""
        if len(self.calls) >= MOST:
            next(iter(self.calls)).close()
        return _Call(self)

    def close(self) -> None:
        for call in list(self.calls):
            call.close()
