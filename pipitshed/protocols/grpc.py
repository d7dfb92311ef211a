"""gRPC's framing over HTTP/2: prefixes, time-outs, statuses, and an h2 connection that bears GOAWAY."""

from __future__ import annotations

import enum
import struct
from collections.abc import Iterable, Iterator
from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import hpack
from h2.frame_buffer import FrameBuffer
from hpack import NeverIndexedHeaderTuple
from hyperframe.frame import Frame, GoAwayFrame

from pipitshed.protocols.http import BODY_LIMIT_BYTES

MESSAGE_PREFIX = struct.Struct(">BI")  # compressed or not, and the message's length
MESSAGE_LIMIT_BYTES = 4 * BODY_LIMIT_BYTES  # bytes of one message
_MAX_CACHED_HEADERS = 256  # headers: classes, tenants, slots
_FRAME_HEADER_BYTES = 9  # bytes
MAX_TIMEOUT_VALUE = 99_999_999  # of any unit: eight digits


class BadMessageError(ValueError):
    """A message that is compressed or too long."""


class Status(enum.IntEnum):
    """The statuses that mean something of their own here."""

    OK = 0
    CANCELLED = 1
    DEADLINE_EXCEEDED = 4
    UNIMPLEMENTED = 12
    UNAVAILABLE = 14


def frame_message(message: bytes) -> bytes:
    """One message with its prefix."""
    return MESSAGE_PREFIX.pack(0, len(message)) + message


def take_messages(buffer: bytearray) -> Iterator[bytes]:
    """The whole messages in the buffer, used up as they are taken. BadMessageError where one is compressed or
    too long: told by the prefix, before it is kept.
    """
    while len(buffer) >= MESSAGE_PREFIX.size:
        compressed, length = MESSAGE_PREFIX.unpack_from(buffer)
        if compressed:
            raise BadMessageError("a message is compressed, which was not offered")
        if length > MESSAGE_LIMIT_BYTES:
            raise BadMessageError(f"a message of {length} bytes is too long")
        if len(buffer) < MESSAGE_PREFIX.size + length:
            return
        message = bytes(buffer[MESSAGE_PREFIX.size : MESSAGE_PREFIX.size + length])
        del buffer[: MESSAGE_PREFIX.size + length]
        yield message


def encode_timeout(seconds: float) -> bytes:
    """The value of `grpc-timeout`, never rounded up; under a microsecond there is none left."""
    microseconds = max(0, int(seconds * 1_000_000))
    if microseconds <= MAX_TIMEOUT_VALUE:
        return b"%du" % microseconds
    return b"%dm" % min(MAX_TIMEOUT_VALUE, microseconds // 1000)


class _FrameBuffer(FrameBuffer):
    """Frames, whose length is judged by their heads: h2's own buffer waits for as many bytes as a head names,
    16 MB at most, before it finds them too many; so an HTTP/1.1 answer would never be known for none.
    """

    def __next__(self) -> Frame:
        if len(self._data) >= _FRAME_HEADER_BYTES:
            self._validate_frame_length(int.from_bytes(self._data[:3], "big"))
        return super().__next__()


class _Encoder(hpack.Encoder):
    """Headers without a dynamic table: so what the library makes of one header is the same each time, and is
    kept for those that come again. Some more bytes on the wire for a fifth of the time.
    """

    def __init__(self) -> None:
        super().__init__()
        hpack.Encoder.header_table_size.fset(self, 0)  # type: ignore[attr-defined]
        self._table_size_update = super().encode([])  # tells the planner of the table's size, once
        self._encoded: dict[tuple[bytes, bytes], bytes] = {}

    @property
    def header_table_size(self) -> int:
        return 0

    @header_table_size.setter
    def header_table_size(self, size: int) -> None:
        """The planner would allow more: it is not used."""

    def encode(self, headers: Iterable[Any], huffman: bool = False) -> bytes:
        parts, self._table_size_update = [self._table_size_update], b""
        for header in headers:
            encoded = self._encoded.get(header)
            if encoded is None:
                encoded = super().encode([header], huffman=False)
                if (
                    not isinstance(header, NeverIndexedHeaderTuple)
                    and len(self._encoded) < _MAX_CACHED_HEADERS
                ):
                    self._encoded[header] = encoded
            parts.append(encoded)
        return b"".join(parts)


class Http2Connection(h2.connection.H2Connection):
    """A client's connection that outlives GOAWAY.

    Source: RFC 9113, 6.8: streams up to the last id may still end. h2 itself closes the connection's state at
    the first GOAWAY and takes every later frame for an error, so this one method is its own.
    """

    def __init__(self) -> None:
        super().__init__(
            h2.config.H2Configuration(
                client_side=True,
                header_encoding=None,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
                # Of what a planner tells only a few headers are looked at, by name; none is handed on.
                validate_inbound_headers=False,
                normalize_inbound_headers=False,
            )
        )
        self.encoder = _Encoder()
        self.incoming_buffer = _FrameBuffer()

    def _receive_goaway_frame(self, frame: GoAwayFrame) -> tuple[list[Frame], list[h2.events.Event]]:
        event = h2.events.ConnectionTerminated()
        try:
            event.error_code = h2.errors.ErrorCodes(frame.error_code)
        except ValueError:
            event.error_code = frame.error_code
        event.last_stream_id = frame.last_stream_id
        event.additional_data = frame.additional_data or None
        return [], [event]
