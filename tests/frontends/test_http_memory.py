"""HTTP requests are charged to the memory budget while they arrive, and shed where there is no room."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from unittest.mock import Mock

from pressure import BODY_BYTES, request_head

from pipitshed.flow_control import FlowControl
from pipitshed.frontends.http import HttpFrontend
from pipitshed.frontends.http.connection import HttpConnection

MEMORY_MB = 32
MANY_FIELDS = b"POST /api HTTP/1.1\r\n" + b"".join(b"%x: value\r\n" % number for number in range(800))


class Rig:
    """A frontend without sockets, with the memory budget of a small process."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.flow_control = FlowControl(loop, MEMORY_MB)
        parser = Mock()
        parser.request.side_effect = lambda *arguments: Mock(id="a", memory_charge=arguments[-1])
        self.frontend = HttpFrontend(Mock(), parser, lambda: 1000, loop, lambda: True, self.flow_control)
        self.connections: list[HttpConnection] = []

    @property
    def used_bytes(self) -> int:
        return self.flow_control.memory.used_bytes

    def connect(self) -> HttpConnection:
        connection = self.frontend.connection()
        transport = Mock()
        transport.is_closing.return_value = False
        connection.connection_made(transport)
        self.connections.append(connection)
        return connection

    def written(self, connection: HttpConnection) -> bytes:
        return b"".join(call.args[0] for call in connection._transport.write.call_args_list)  # type: ignore[union-attr]


def with_rig(body: Callable[[Rig], Awaitable[None]]) -> None:
    async def run() -> None:
        rig = Rig()
        await body(rig)
        for connection in rig.connections:
            connection.connection_lost(None)
        assert rig.used_bytes == 0

    asyncio.run(run())


def test_an_incomplete_body_is_charged_and_given_back() -> None:
    async def body(rig: Rig) -> None:
        connection = rig.connect()
        before = rig.used_bytes
        connection.data_received(request_head("a", BODY_BYTES) + b"p" * (BODY_BYTES - 1))
        assert rig.used_bytes - before >= BODY_BYTES - 1

    with_rig(body)


def test_an_incomplete_head_takes_no_more_than_what_is_read_of_it() -> None:
    async def body(rig: Rig) -> None:
        connection = rig.connect()
        before = rig.used_bytes
        connection.data_received(MANY_FIELDS)
        assert rig.used_bytes - before < 100 and not connection._headers

    with_rig(body)


def test_a_body_without_room_is_read_to_its_end_and_answered_503() -> None:
    async def body(rig: Rig) -> None:
        half = request_head("a", BODY_BYTES) + b"p" * (BODY_BYTES - 1)
        for _ in range(MEMORY_MB * 16):  # as many as fill the whole limit
            if not rig.flow_control.memory.counters:
                rig.connect().data_received(half)
        assert rig.flow_control.memory.counters
        shed, kept = rig.connections[-1], rig.connections[0]
        shed.data_received(b"p")
        assert rig.written(shed).startswith(b"HTTP/1.1 503 ")
        assert not rig.written(kept)
        short = rig.connect()
        short.data_received(request_head("short", 3) + b"abc")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert not rig.written(short) and rig.frontend.forwarder.submit.called  # type: ignore[attr-defined]
        short._request_context, request = None, rig.frontend.forwarder.submit.call_args.args[0]  # type: ignore[attr-defined]
        request.memory_charge.release()

    with_rig(body)


def test_queued_requests_give_their_memory_back_with_the_client() -> None:
    async def body(rig: Rig) -> None:
        connection = rig.connect()
        connection.data_received((request_head("a", 1000) + b"p" * 1000) * 5)
        assert rig.used_bytes > 5 * 1000

    with_rig(body)
