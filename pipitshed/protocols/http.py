"""A parser of HTTP/1.1 responses, for worker clients and discovery."""

from __future__ import annotations

from typing import Protocol

import httptools

from pipitshed.protocols.buffer import Buffer, TooLongError

HEAD_LIMIT_BYTES = 16 * 1024
BODY_LIMIT_BYTES = 64 * 1024
NON_BODY_LIMIT_BYTES = HEAD_LIMIT_BYTES + BODY_LIMIT_BYTES  # between two parts of a body
MAX_RESPONSE_HEADS = 16  # of interim responses (1xx) and the final one

__all__ = [
    "BODY_LIMIT_BYTES",
    "HEAD_LIMIT_BYTES",
    "MalformedResponseError",
    "ResponseHandler",
    "ResponseReader",
]


class MalformedResponseError(ValueError):
    """The received bytes are not an HTTP response within the limits."""


class ResponseHandler(Protocol):
    """Receives the parts of a response as they arrive."""

    def head_received(self, status: int) -> None: ...

    def body_received(self) -> None: ...

    def response_ended(self, keep_alive: bool) -> None: ...


class ResponseReader:
    """Parses responses; the decoded body is in `buffer`, from which the handler consumes it."""

    __slots__ = (
        "buffer",
        "headers",
        "is_receiving",
        "_handler",
        "_parser",
        "_in_head",
        "_non_body_bytes",
        "_response_heads",
    )

    def __init__(self, handler: ResponseHandler, limit: int) -> None:
        self.buffer = Buffer(limit)
        self.headers: dict[bytes, bytes] = {}
        self._handler = handler
        self.is_receiving = False  # a response has begun and has not ended
        self._in_head = False
        self._non_body_bytes = 0  # received since the last part of a body: heads, trailers, framing
        self._response_heads = 0  # interim responses, and the final one
        self._parser = httptools.HttpResponseParser(self)

    def close(self) -> None:
        """Drop what was received, and the parser, which refers to this object."""
        self.buffer.take_all()
        self.headers.clear()
        del self._parser

    def feed(self, data: bytes) -> None:
        """Parse received bytes; MalformedResponseError if that fails."""
        self._non_body_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # The parser's error names only the callback; the callback's own exception is its context.
            inner = error.__context__ if isinstance(error, httptools.HttpParserCallbackError) else None
            if isinstance(inner, MalformedResponseError | TooLongError):
                raise MalformedResponseError(str(inner)) from None
            raise MalformedResponseError(f"{error}: {inner!r}" if inner is not None else str(error)) from None
        # The parser stores heads, trailers and framing without a limit of its own.
        if self._non_body_bytes > NON_BODY_LIMIT_BYTES:
            raise MalformedResponseError("the head or the framing is too long")

    def on_message_begin(self) -> None:
        self.is_receiving = True
        self._response_heads += 1
        if self._response_heads > MAX_RESPONSE_HEADS:
            raise MalformedResponseError("too many interim responses")
        self.headers.clear()
        self.buffer.take_all()
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # a trailer doesn't replace a header
            self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._handler.head_received(self._parser.get_status_code())

    def on_body(self, data: bytes) -> None:
        self._non_body_bytes = 0
        self.buffer.append(data)
        self._handler.body_received()

    def on_message_complete(self) -> None:
        self.is_receiving = False
        if self._parser.get_status_code() >= 200:
            self._response_heads = self._non_body_bytes = 0
            self._handler.response_ended(self._parser.should_keep_alive())
