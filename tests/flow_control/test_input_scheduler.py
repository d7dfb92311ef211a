"""The share of the loop's time: slices, turns, and what one connection's error leaves alone."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from unittest.mock import Mock

import pytest

from pipitshed.flow_control import FlowControl, HoldReason, PacedConnection, input_scheduler, paced_connection
from pipitshed.flow_control.input_scheduler import READ_BYTES, SHARE_S, TURN_S

SLICE_COST_S = 0.0002  # a share holds several slices


class VirtualClock:
    """A monotonic clock that moves only while a slice is handled, whatever else the machine does."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> VirtualClock:
    """The clock of the input scheduler and of the connections."""
    clock = VirtualClock()
    monkeypatch.setattr(input_scheduler, "monotonic", clock)
    monkeypatch.setattr(paced_connection, "monotonic", clock)
    return clock


class Connection(PacedConnection):
    """Takes some time for each slice, and records what it has received."""

    def __init__(self, flow_control: FlowControl, clock: VirtualClock) -> None:
        super().__init__(flow_control)
        self.clock = clock
        self.received = bytearray()
        self.read_times: set[float] = set()  # of the handled slices
        self.drained_count = 0
        self.fails = False
        transport = Mock()
        transport.is_closing.return_value = False
        transport.get_extra_info.return_value = ("127.0.0.1", 1)
        self.transport = transport
        self.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        if self.fails:
            raise RuntimeError("broken")
        self.received += data
        self.read_times.add(self.read_at)
        self.clock.now_s += SLICE_COST_S

    def input_drained(self) -> None:
        self.drained_count += 1

    def read(self, data: bytes) -> None:
        """What the event loop does with received bytes."""
        self.get_buffer(-1)[: len(data)] = data
        self.buffer_updated(len(data))


def in_loop(body: Callable[[FlowControl], Awaitable[None]]) -> None:
    async def run() -> None:
        await body(FlowControl(asyncio.get_running_loop()))

    asyncio.run(asyncio.wait_for(run(), 10))


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0)


DATA = bytes(range(256)) * (READ_BYTES // 256)


def test_input_that_waits_for_its_turn_keeps_the_time_of_its_read(clock: VirtualClock) -> None:
    async def body(flow_control: FlowControl) -> None:
        connection = Connection(flow_control, clock)
        for started_at in (1.0, 2.0):
            clock.now_s = started_at
            connection.read(DATA)
            await until(lambda: not connection.has_deferred_input)
        assert connection.read_times == {1.0, 2.0}

    in_loop(body)


def test_a_connection_beyond_its_share_is_read_on_in_its_next_turn(clock: VirtualClock) -> None:
    async def body(flow_control: FlowControl) -> None:
        connection = Connection(flow_control, clock)
        connection.read(DATA)
        assert clock.now_s < SHARE_S + SLICE_COST_S
        assert len(connection.received) < len(DATA) and connection.has_deferred_input
        connection.transport.pause_reading.assert_called()
        assert not connection.transport.resume_reading.called
        await until(lambda: not connection.has_deferred_input)
        assert connection.received == DATA
        connection.transport.resume_reading.assert_called_once()

    in_loop(body)


def test_all_connections_of_an_iteration_share_its_time(clock: VirtualClock) -> None:
    async def body(flow_control: FlowControl) -> None:
        connections = [Connection(flow_control, clock) for _ in range(30)]
        for connection in connections:
            connection.read(DATA)
        # One slice each, beyond the time of the iteration.
        assert clock.now_s < TURN_S + 30 * SLICE_COST_S
        await until(lambda: not any(connection.has_deferred_input for connection in connections))
        assert all(connection.received == DATA for connection in connections)

    in_loop(body)


def test_an_error_in_one_connection_leaves_the_turns_of_others(clock: VirtualClock) -> None:
    async def body(flow_control: FlowControl) -> None:
        broken, sound = Connection(flow_control, clock), Connection(flow_control, clock)
        for connection in (broken, sound):
            connection.read(DATA)
        broken.fails = True
        await until(lambda: not sound.has_deferred_input)
        assert sound.received == DATA
        broken.transport.abort.assert_called_once()

    in_loop(body)


def test_held_input_waits_until_it_is_released_for_every_reason(clock: VirtualClock) -> None:
    async def body(flow_control: FlowControl) -> None:
        connection = Connection(flow_control, clock)
        connection.read(DATA)
        before = len(connection.received)
        connection.hold_input(HoldReason.NO_MEMORY)
        connection.hold_input(HoldReason.UNREAD_OUTPUT)
        for _ in range(10):
            await asyncio.sleep(0)
        connection.release_input(HoldReason.NO_MEMORY)
        for _ in range(10):
            await asyncio.sleep(0)
        assert len(connection.received) == before and not connection.is_input_drained
        connection.release_input(HoldReason.UNREAD_OUTPUT)
        await until(lambda: connection.received == DATA)

    in_loop(body)


def test_input_of_a_whole_buffer_counts_as_drained_once_no_more_follows(clock: VirtualClock) -> None:
    async def body(flow_control: FlowControl) -> None:
        connection = Connection(flow_control, clock)
        connection.read(DATA)
        assert not connection.is_input_drained
        await until(lambda: connection.is_input_drained)
        assert connection.received == DATA and connection.drained_count == 1
        connection.read(b"short")
        assert connection.is_input_drained and connection.drained_count == 1

    in_loop(body)
