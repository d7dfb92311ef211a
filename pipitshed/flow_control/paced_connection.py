"""The base of all stream connections, which reads within the connection's share of the loop's time."""

from __future__ import annotations

import asyncio
import enum
import select
from time import monotonic
from typing import cast

from pipitshed.flow_control.flow_control import FlowControl
from pipitshed.flow_control.memory_budget import MemoryCharge, Priority

DEFAULT_SLICE_BYTES = 1024  # of input, handled in one step; holds some dozens of the shortest messages
CONNECTION_BYTES = 6 * 1024  # taken by an open connection without a message
SHORT_MESSAGE_BYTES = 4 * 1024  # a longer one may fill a part of the memory budget alone


class HoldReason(enum.Enum):
    """Why a connection's input is held."""

    UNREAD_OUTPUT = enum.auto()
    NO_MEMORY = enum.auto()


class PacedConnection(asyncio.BufferedProtocol):
    """A connection whose input `data_received` handles in slices.

    Reading is paused while received input waits for the connection's turn, and while it is held, for want of
    memory or because the peer does not read.

    Attributes:
        slice_bytes: The size of a usual slice of the input.
        read_at: Monotonic time at which the input that is handled was read from the socket.
    """

    # With slots here, the attributes of derived classes still fit a key-sharing dictionary.
    __slots__ = (
        "flow_control",
        "_connection_charge",
        "_deferred",
        "_ends_turn",
        "_held_for",
        "_is_deferred",
        "_is_drained",
        "_is_held",
        "_read_buffer",
        "_read_count",
        "_transport",
        "read_at",
    )

    slice_bytes = DEFAULT_SLICE_BYTES

    def __init__(self, flow_control: FlowControl) -> None:
        self.flow_control = flow_control
        self._read_buffer = flow_control.input.buffer
        self._transport: asyncio.Transport | None = None
        self._deferred = b""  # received, not handled yet
        self._connection_charge = flow_control.memory.charge()  # of the connection and its deferred input
        self._is_deferred = False  # waits for its turn
        self._held_for: set[HoldReason] = set()
        self._is_held = False
        self._ends_turn = False  # handles no further slice in this turn
        self._is_drained = True  # the last read emptied the socket
        self._read_count = 0
        self.read_at = 0.0

    # ---- for the derived classes

    def data_received(self, data: bytes) -> None:
        """Handle a slice of the input."""
        raise NotImplementedError

    def next_slice_bytes(self) -> int:
        """The size of the next slice; more than `slice_bytes` in the rest of a long message."""
        return self.slice_bytes

    def end_turn(self) -> None:
        """Handle no further slice in this turn: the last one causes work outside of the connection."""
        self._ends_turn = True

    def input_drained(self) -> None:
        """Called when all that the peer has sent so far is handled, after it was not."""

    @property
    def is_input_drained(self) -> bool:
        """Whether all that the peer has sent so far is handled, so that its disconnect would be known."""
        return self._is_drained and not self._is_deferred and not self._is_held

    @property
    def has_deferred_input(self) -> bool:
        """Whether received input waits for the connection's turn."""
        return self._is_deferred

    def abort_after_error(self) -> None:
        """Close the connection: handling its input has failed."""
        if self._transport is not None:
            self._transport.abort()

    def peer(self) -> str:
        """Who the connection is with, for the log."""
        address = self._transport.get_extra_info("peername") if self._transport is not None else None
        return f"{type(self).__name__} {address}"

    def has_peer_closed(self) -> bool:
        """Whether the peer's end of the stream has arrived, also behind input that is not read yet."""
        return self._is_ready_for(select.POLLRDHUP)

    def has_unread_input(self) -> bool:
        """Whether the peer has sent something that is not read yet."""
        return self._is_ready_for(select.POLLIN)

    def _is_ready_for(self, event: int) -> bool:
        """Whether a poll of the socket reports this event; True for a connection that is closed."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return True
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), event)
        return bool(poll.poll(0))

    def hold_input(self, reason: HoldReason) -> None:
        """Handle and read no more input until `release_input` is called for the same reason."""
        if not self._is_held:
            self._pause()
        self._held_for.add(reason)
        self._is_held = True

    def release_input(self, reason: HoldReason) -> None:
        """Handle and read input again, unless it is held for another reason too."""
        if reason not in self._held_for:
            return
        self._held_for.remove(reason)
        self._is_held = bool(self._held_for)
        if self._is_held:
            return
        if self._is_deferred:
            self.flow_control.input.resume(self)
        else:
            self._resume()

    def charge_partial(self, charge: MemoryCharge, byte_count: int) -> None:
        """Charge an incomplete message of a sender that is slowed down where no memory is available."""
        growth = byte_count - charge.byte_count
        if growth <= 0 or byte_count <= SHORT_MESSAGE_BYTES:
            charge.set(byte_count)
            charge.complete()
        elif charge.try_add(growth, Priority.BULK):
            charge.allow_reclaim()
        else:
            charge.add(growth)
            charge.complete()
            self.hold_input(HoldReason.NO_MEMORY)
            self.flow_control.memory.call_when_available(self._memory_available)

    def _memory_available(self) -> None:
        self.release_input(HoldReason.NO_MEMORY)

    # ---- asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and charge the connection."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports do not inherit from it
        self._connection_charge.set(CONNECTION_BYTES)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Drop the input that waits."""
        self._deferred = b""
        self._connection_charge.release()

    def get_buffer(self, _size_hint: int) -> memoryview:
        """The buffer that all connections read to."""
        return self._read_buffer

    def buffer_updated(self, count: int) -> None:
        """Handle what was read, within the connection's share."""
        self.read_at = monotonic()
        if self._is_drained and count <= self.slice_bytes:
            self.data_received(self._read_buffer[:count].tobytes())  # the usual case
            return
        self._read_count += 1
        was_drained, self._is_drained = self._is_drained, count < len(self._read_buffer)
        self.flow_control.input.received(self, count)
        if not self._is_drained:
            self.flow_control.loop.call_soon(self._check_drained_later, self._read_count)
        elif not was_drained and not self._is_deferred:
            self.input_drained()

    # ---- for the input scheduler

    def handle_slices(self, data: memoryview | bytes, until: float) -> int:
        """Handle input until this monotonic time, one slice at least; return how much is handled."""
        self._ends_turn = False
        offset = 0
        while offset < len(data):
            end = offset + self.next_slice_bytes()
            self.data_received(bytes(data[offset:end]))
            offset = end
            if self._is_held or self._ends_turn or monotonic() >= until:
                break
        return min(offset, len(data))

    def defer(self, rest: bytes) -> None:
        """Keep received input for the connection's next turn, and read no more before it."""
        self._deferred = rest
        self._is_deferred = True
        self._connection_charge.set(CONNECTION_BYTES + len(rest))
        self._pause()

    def continue_input(self, until: float) -> bool:
        """Handle input that waits; True if more of it waits for another turn."""
        if self._transport is None or self._transport.is_closing():
            self._deferred = b""
        if self._is_held:
            return False  # `release_input` gives it another turn
        handled = self.handle_slices(self._deferred, until)
        self._deferred = self._deferred[handled:]
        if self._connection_charge.byte_count:
            self._connection_charge.set(CONNECTION_BYTES + len(self._deferred))
        if self._deferred:
            return not self._is_held
        self._is_deferred = False
        if not self._is_held:
            self._resume()
            if self._is_drained:
                self.input_drained()
        return False

    def _check_drained_later(self, read_count: int) -> None:
        # The socket may have been emptied by a read of a whole buffer. The next poll of the loop shows it.
        self.flow_control.loop.call_soon(self._check_drained, read_count)

    def _check_drained(self, read_count: int) -> None:
        if self._read_count != read_count or self._is_drained:
            return
        if self._is_deferred or self._is_held:
            self.flow_control.loop.call_soon(self._check_drained_later, read_count)
            return
        self._is_drained = True
        self.input_drained()

    def _pause(self) -> None:
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.pause_reading()

    def _resume(self) -> None:
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.resume_reading()
