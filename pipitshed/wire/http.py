"""HTTP/1.1 answers as the egress and discovery read them."""

from __future__ import annotations

from typing import Protocol

import httptools

from pipitshed.wire.buffer import Buffer, TooLongError

HEAD_LIMIT = 16 * 1024
BODY_LIMIT = 64 * 1024

__all__ = ["BODY_LIMIT", "HEAD_LIMIT", "BadAnswerError", "Reader", "Taker"]


class BadAnswerError(ValueError):
    """What has come in is no HTTP answer within the bounds."""


class Taker(Protocol):
    """Who takes the parts of an answer as they come."""

    def head_came(self, status: int) -> None: ...

    def body_came(self) -> None: ...

    def answer_ended(self, keep_alive: bool) -> None: ...


class Reader:
    """Parses answers; the decoded body stands in `buffer`, and the taker uses it up."""

    __slots__ = ("buffer", "headers", "_taker", "_parser", "_head")

    def __init__(self, taker: Taker, limit: int) -> None:
        self.buffer = Buffer(limit)
        self.headers: dict[bytes, bytes] = {}
        self._taker = taker
        self._head = 0  # bytes of a head that is not whole yet; -1 in a body
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse; BadAnswerError where it can't be."""
        # Guards against a peer that sends a head without end: the parser itself would keep it all.
        if self._head >= 0:
            self._head += len(data)
            if self._head > HEAD_LIMIT + BODY_LIMIT:
                raise BadAnswerError("the head is too long")
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, TooLongError) as error:
            raise BadAnswerError(str(error)) from None

    def on_message_begin(self) -> None:
        self._head = 0
        self.headers.clear()
        self.buffer.take_all()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self._head = -1
        self._taker.head_came(self._parser.get_status_code())

    def on_body(self, data: bytes) -> None:
        self.buffer.append(data)
        self._taker.body_came()

    def on_message_complete(self) -> None:
        self._head = 0
        if self._parser.get_status_code() >= 200:
            self._taker.answer_ended(self._parser.should_keep_alive())
