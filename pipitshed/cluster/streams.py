"""Streams (TCP connections) on which an operator sends a scheduler a request and reads the answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pipitshed.cluster import counters
from pipitshed.cluster.codec import FRAME_LIMIT_BYTES, LENGTH_PREFIX, Codec, MessageRejectedError
from pipitshed.cluster.messages import ClusterMessage
from pipitshed.flow_control import FlowControl, PacedConnection
from pipitshed.membership.members import Address
from pipitshed.protocols.buffer import Buffer, TooLongError

STREAM_TIMEOUT_S = 2.0  # from the start of a stream to the end of the answer
MAX_STREAMS = 32  # open at once; further streams are closed


def with_length_prefix(data: bytes) -> bytes:
    """Return a message as it is written to a stream."""
    return LENGTH_PREFIX.pack(len(data)) + data


class _Stream(PacedConnection):
    """One stream: reads messages and passes them on, and closes itself after the timeout."""

    def __init__(self, streams: Streams) -> None:
        super().__init__(streams.flow_control)
        self._streams = streams
        self._buffer = Buffer(FRAME_LIMIT_BYTES + LENGTH_PREFIX.size)
        self._timeout: asyncio.TimerHandle | None = None
        self.address: Address = ("", 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.address = transport.get_extra_info("peername")[:2]
        self._timeout = self._streams.loop.call_later(STREAM_TIMEOUT_S, self.abort)
        self._streams.opened(self)

    def connection_lost(self, _error: Exception | None) -> None:
        super().connection_lost(_error)
        if self._timeout is not None:
            self._timeout.cancel()
        self._streams.closed(self)

    def data_received(self, data: bytes) -> None:
        try:
            self._buffer.append(data)
            self._read_messages()
        except TooLongError:
            self._drop(counters.DROPPED_SIZE_LIMIT)
        except MessageRejectedError as error:
            self._drop(counters.dropped(error))

    def _drop(self, counter: str) -> None:
        self._streams.count(counter)
        self.abort()

    def _read_messages(self) -> None:
        while len(self._buffer) >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack(self._buffer.peek(LENGTH_PREFIX.size))
            if length > FRAME_LIMIT_BYTES:
                raise TooLongError(f"a message of {length} bytes")
            if len(self._buffer) < LENGTH_PREFIX.size + length:
                return
            self._buffer.take(LENGTH_PREFIX.size)
            message = self._streams.codec.decode(self._buffer.take(length))
            self._streams.message_received(self, message)

    def answer(self, data: bytes) -> None:
        """Write the answer, and close the stream after it."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(with_length_prefix(data))
            self._transport.close()

    def abort(self) -> None:
        """Close the stream immediately; data that was not sent is lost."""
        if self._transport is not None:
            self._transport.abort()


class Streams:
    """The open streams of one scheduler, with limits on their number, message size and duration."""

    def __init__(
        self,
        codec: Codec,
        loop: asyncio.AbstractEventLoop,
        on_message: Callable[[ClusterMessage, Address], None],
        count: Callable[[str], None],
        flow_control: FlowControl | None = None,
    ) -> None:
        self.flow_control = flow_control or FlowControl(loop)
        self.codec = codec
        self.loop = loop
        self.count = count
        self._on_message = on_message
        self._open: set[_Stream] = set()
        self._being_handled: dict[Address, _Stream] = {}

    def incoming(self) -> asyncio.BaseProtocol:
        """Return the protocol of a new stream; called by the event loop's server."""
        return _Stream(self)

    def opened(self, stream: _Stream) -> None:
        """Register a stream, or close it if too many are open."""
        if len(self._open) >= MAX_STREAMS:
            # The new stream is closed, not the oldest: a flood of silent streams must not end requests that
            # are being answered.
            self.count(counters.DROPPED_STREAM_LIMIT)
            stream.abort()
            return
        self._open.add(stream)

    def closed(self, stream: _Stream) -> None:
        """Remove a stream that was closed."""
        self._open.discard(stream)

    def message_received(self, stream: _Stream, message: ClusterMessage) -> None:
        """Handle a message; answers to its sender's address go to this stream while it is handled."""
        self.count(counters.STREAM_MESSAGES_IN)
        self._being_handled[stream.address] = stream
        try:
            self._on_message(message, stream.address)
        finally:
            del self._being_handled[stream.address]

    def answer(self, address: Address, data: bytes) -> bool:
        """Answer the message that is being handled; False if it is not from this address."""
        stream = self._being_handled.get(address)
        if stream is None:
            return False
        stream.answer(data)
        return True

    def deferred_answer(self, address: Address) -> Callable[[bytes], None] | None:
        """Return a function that answers the handled message later; None if it is not from this address."""
        stream = self._being_handled.get(address)
        return stream.answer if stream is not None else None

    def close(self) -> None:
        """Close all streams immediately; answers that were not sent are lost."""
        for stream in list(self._open):
            stream.abort()
