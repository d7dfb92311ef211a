"""Streams by which operators ask a scheduler: one message, and one in answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from pipitshed.cluster.codec import FRAME_LIMIT, LENGTH, Codec, MessageRejectedError
from pipitshed.cluster.messages import ClusterMessage
from pipitshed.membership.members import Address
from pipitshed.protocols.buffer import Buffer, TooLongError

WITHIN = 2.0  # s in which a stream's message and its answer are there
MOST = 32  # streams open to this scheduler; what comes beyond is closed


def framed(data: bytes) -> bytes:
    """A message as it stands on a stream."""
    return LENGTH.pack(len(data)) + data


class _Stream(asyncio.Protocol):
    """One stream. It reads whole messages, and ends by itself when its time is over."""

    def __init__(self, streams: Streams) -> None:
        self._streams = streams
        self._buffer = Buffer(FRAME_LIMIT + LENGTH.size)
        self._due: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None
        self.address: Address = ("", 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        self.address = transport.get_extra_info("peername")[:2]
        self._due = self._streams.loop.call_later(WITHIN, self.abort)
        self._streams.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._due is not None:
            self._due.cancel()
        self._streams.closed(self)

    def data_received(self, data: bytes) -> None:
        try:
            self._buffer.append(data)
            self._read()
        except (TooLongError, MessageRejectedError) as error:
            self._streams.count("dropped_size" if isinstance(error, TooLongError) else f"dropped_{error}")
            self.abort()

    def _read(self) -> None:
        while len(self._buffer) >= LENGTH.size:
            (length,) = LENGTH.unpack(self._buffer.peek(LENGTH.size))
            if length > FRAME_LIMIT:
                raise TooLongError(f"a message of {length} bytes")
            if len(self._buffer) < LENGTH.size + length:
                return
            self._buffer.take(LENGTH.size)
            self._streams.heard(self, self._streams.codec.decode(self._buffer.take(length)))

    def answer(self, data: bytes) -> None:
        """Write the last message, and close behind it."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(framed(data))
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()


class Streams:
    """All streams of one scheduler, bounded in number, size and time."""

    def __init__(
        self,
        codec: Codec,
        loop: asyncio.AbstractEventLoop,
        hear: Callable[[ClusterMessage, Address], None],
        count: Callable[[str], None],
    ) -> None:
        self.codec = codec
        self.loop = loop
        self.count = count
        self._hear = hear
        self._open: set[_Stream] = set()
        self._answering: dict[Address, _Stream] = {}

    def incoming(self) -> asyncio.Protocol:
        """A stream that another opens."""
        return _Stream(self)

    def opened(self, stream: _Stream) -> None:
        """A stream that another opened stands."""
        if len(self._open) >= MOST:
            # Guards against strangers that open streams and say nothing: the oldest gives way only by its
            # time, so that a flood can't end the exchanges that are under way.
            self.count("dropped_streams")
            stream.abort()
            return
        self._open.add(stream)

    def closed(self, stream: _Stream) -> None:
        """A stream is gone."""
        self._open.discard(stream)

    def heard(self, stream: _Stream, message: ClusterMessage) -> None:
        """A whole message on a stream; what is told to its address while it is heard goes back on it."""
        self.count("streamed_in")
        self._answering[stream.address] = stream
        try:
            self._hear(message, stream.address)
        finally:
            del self._answering[stream.address]

    def answer(self, to: Address, data: bytes) -> bool:
        """Answer on the stream that is being heard; False where `to` is none."""
        stream = self._answering.get(to)
        if stream is None:
            return False
        stream.answer(data)
        return True

    def later(self, to: Address) -> Callable[[bytes], None] | None:
        """What answers the stream that is being heard, once the answer is known; None where `to` is none."""
        stream = self._answering.get(to)
        return stream.answer if stream is not None else None

    def close(self) -> None:
        """End all of them."""
        for stream in list(self._open):
            stream.abort()
