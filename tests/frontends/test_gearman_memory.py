"""Gearman packets are charged to the memory budget while they arrive, and shed where there is no room."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from unittest.mock import Mock

from pressure import BODY_BYTES

from pipitshed.flow_control import FlowControl, Priority
from pipitshed.flow_control.memory_budget import STALLED_AFTER_S
from pipitshed.frontends.gearman import GearmanFrontend, GearmanFunction
from pipitshed.frontends.gearman.connection import GearmanConnection
from pipitshed.protocols.gearman import REQUEST_MAGIC, PacketType, encode_packet
from pipitshed.protocols.gearman_handles import JobHandles

MEMORY_MB = 32


class Rig:
    """A frontend without sockets, with a small memory budget and a clock that the test sets."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.now_s = 100.0
        self.flow_control = FlowControl(loop, MEMORY_MB)
        self.memory = self.flow_control.memory
        self.memory._clock = lambda: self.now_s
        self.forwarder = Mock()
        self.forwarder.settings.classes = [Mock(deadline_ms=5000.0)]
        worker_client = Mock(class_names=["quote"])
        functions = {"plan": GearmanFunction("quote", "t", 5000.0)}
        self.frontend = GearmanFrontend(
            self.forwarder,
            worker_client,
            functions,
            {"quote": 0},
            Mock(),
            loop,
            JobHandles("rig"),
            lambda: 100,
            lambda: None,
            self.flow_control,
        )

    def connect(self) -> GearmanConnection:
        connection = self.frontend.connection()
        transport = Mock()
        transport.is_closing.return_value = False
        connection.connection_made(transport)
        return connection

    def written(self, connection: GearmanConnection) -> bytes:
        assert connection._transport is not None
        calls = connection._transport.write.call_args_list  # type: ignore[attr-defined]
        return b"".join(call.args[0] for call in calls)


def submission(unique: bytes, body: bytes) -> bytes:
    return encode_packet(PacketType.SUBMIT_JOB, b"plan", unique, body, magic=REQUEST_MAGIC)


def in_loop(body: Callable[[Rig], Awaitable[None]]) -> None:
    async def run() -> None:
        await body(Rig())

    asyncio.run(run())


LONG = submission(b"long", b"p" * BODY_BYTES)


def test_a_submission_without_room_is_read_to_its_end_and_refused() -> None:
    async def body(rig: Rig) -> None:
        connection = rig.connect()
        taken = rig.memory.charge(int(rig.memory.available_bytes(Priority.BULK)))
        connection.data_received(LONG[:-1])
        assert rig.memory.used_bytes < rig.memory.limit_bytes / 2
        connection.data_received(LONG[-1:] + submission(b"short", b""))
        assert b"ERR_QUEUE_FULL" in rig.written(connection)
        assert [job.unique_id for job in rig.frontend.jobs.values()] == [b"short"]
        taken.release()

    in_loop(body)


def test_a_stalled_packet_that_is_discarded_for_others_costs_no_accepted_job() -> None:
    """Guards against closing the connection of a client whose jobs are under way."""

    async def body(rig: Rig) -> None:
        connection = rig.connect()
        connection.data_received(submission(b"accepted", b""))
        await asyncio.sleep(0)
        connection.data_received(LONG[:-1])
        rig.now_s += STALLED_AFTER_S
        before = rig.memory.used_bytes
        assert rig.memory.charge().try_add(
            int(rig.memory.available_bytes(Priority.BULK)) + 1000, Priority.BULK
        )
        assert rig.memory.counters["memory reclaimed"] == 1 and before > BODY_BYTES
        assert [job.unique_id for job in rig.frontend.jobs.values()] == [b"accepted"]
        assert not connection._transport.abort.called  # type: ignore[union-attr]
        connection.data_received(LONG[-1:])
        assert b"ERR_QUEUE_FULL" in rig.written(connection)

    in_loop(body)
