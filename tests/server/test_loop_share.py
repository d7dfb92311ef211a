"""One peer that sends at full speed does not keep the others from being served, at any socket."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import pytest
from loopback import (
    FRONT,
    Catalog,
    GearmanPeer,
    HttpClient,
    Planner,
    Program,
    Reader,
    Run,
    Writer,
    admin_request,
    async_test,
    program,
    slow_async_test,
    wait_until_healthy,
)
from pressure import CALLER_PATIENCE_S, ask_for, assert_all_served, drained_log, flooding, request_head

from pipitshed.protocols.gearman import REQUEST_MAGIC, PacketType, encode_packet

GROUPS = [
    pytest.mark.xdist_group("loop-share-1"),
    pytest.mark.xdist_group("loop-share-2"),
]  # two floods at a time

FLOOD_S = 2.0

HTTP_FLOODS = {
    "health checks": b"GET /_health HTTP/1.1\r\n\r\n",
    "other paths under ever new names": b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(10_000)),
    "wrong methods": b"PUT /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    "requests without an id": b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    "jobs under ever new names": b"".join(request_head(f"flood-{n}", 0) for n in range(2_000)),
    "an endless head": b"POST /api HTTP/1.1\r\n" + b"a: b\r\n" * 100_000,
    "chunks of one byte": b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"1\r\np\r\n" * 100_000,
    "no request at all": b"\r\n",
}


def _packets(kind: PacketType, *arguments: bytes) -> bytes:
    return encode_packet(kind, *arguments, magic=REQUEST_MAGIC)


GEARMAN_FLOODS = {
    "echoes": _packets(PacketType.ECHO_REQ, b""),
    "unknown functions under ever new names": b"".join(
        _packets(PacketType.SUBMIT_JOB, b"f%d" % n, b"u%d" % n, b"") for n in range(5_000)
    ),
    "jobs under ever new names": b"".join(
        _packets(PacketType.SUBMIT_JOB_BG, b"plan_quote", b"u%d" % n, b"") for n in range(5_000)
    ),
    "abilities": _packets(PacketType.CAN_DO, b"book_pallet") + _packets(PacketType.CANT_DO, b"book_pallet"),
    "abilities under ever new names": b"".join(_packets(PacketType.CAN_DO, b"f%d" % n) for n in range(5_000)),
    "grabs": _packets(PacketType.GRAB_JOB),
    "status of unique ids": _packets(PacketType.GET_STATUS_UNIQUE, b"u1"),
    "status commands": b"status\n",
    "workers commands": b"workers\n",
}


@contextlib.asynccontextmanager
async def _running(catalog: Catalog | None = None) -> AsyncIterator[Program]:
    async with (
        Planner("p1") as planner,
        program(planner, front=FRONT, mgmt=True, catalog=catalog) as running,
    ):
        await wait_until_healthy(running.port)
        async with drained_log(running):
            yield running


async def _assert_operators_are_answered(port: int) -> None:
    started_at = time.monotonic()
    assert (await admin_request(port, b"GET /-/metrics HTTP/1.1\r\nHost: m\r\n\r\n"))[0] == 200
    assert time.monotonic() - started_at < CALLER_PATIENCE_S


@GROUPS[0]
@pytest.mark.parametrize("reads", [True, False], ids=["read", "unread"])
@pytest.mark.parametrize("flood", HTTP_FLOODS)
def test_an_http_client_at_full_speed_leaves_time_for_others(flood: str, reads: bool) -> None:
    @async_test
    async def run() -> None:
        async with _running() as running, flooding(running.port, HTTP_FLOODS[flood], reads=reads):
            assert_all_served(await ask_for(running.port, FLOOD_S))
            await _assert_operators_are_answered(running.mgmt_port)

    run()


@GROUPS[1]
@pytest.mark.parametrize("reads", [True, False], ids=["read", "unread"])
@pytest.mark.parametrize("flood", GEARMAN_FLOODS, ids=[name.replace(" ", "-") for name in GEARMAN_FLOODS])
def test_a_gearman_peer_at_full_speed_leaves_time_for_others(flood: str, reads: bool) -> None:
    @async_test
    async def run() -> None:
        async with _running() as running, flooding(running.gearman_port, GEARMAN_FLOODS[flood], reads=reads):
            assert_all_served(await ask_for(running.port, FLOOD_S))
            await _assert_operators_are_answered(running.mgmt_port)

    run()


@GROUPS[0]
def test_many_peers_at_full_speed_leave_time_for_others() -> None:
    @slow_async_test
    async def run() -> None:
        async with (
            _running() as running,
            flooding(running.port, HTTP_FLOODS["health checks"], 12),
            flooding(running.gearman_port, GEARMAN_FLOODS["echoes"], 12),
        ):
            assert_all_served(await ask_for(running.port, FLOOD_S))
            await _assert_operators_are_answered(running.mgmt_port)

    run()


async def _send_without_end(writer: Writer, data: bytes) -> None:
    """Send the same data at full speed; the other tasks of the loop run in between."""
    with contextlib.suppress(ConnectionError):
        while True:
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0)


@GROUPS[1]
def test_a_worker_at_full_speed_leaves_time_for_others() -> None:
    """The worker reports the progress of one job without end."""
    tasks = []

    def report_without_end(run: Run) -> None:
        if run.headers["x-request-id"] != "endless":
            run.serve()
        else:
            line = b'{"id":"endless","state":"running","share":0.5}\n'
            data = b"%x\r\n%s\r\n" % (len(line), line) * 4000
            tasks.append(asyncio.get_running_loop().create_task(_send_without_end(run.writer, data)))

    @async_test
    async def run() -> None:
        async with Planner("p1", act=report_without_end) as planner, program(planner, mgmt=True) as running:
            client = await HttpClient.to(running.port)
            client.ask("endless")
            await planner.wait_for(1)
            assert_all_served(await ask_for(running.port, FLOOD_S))
            await _assert_operators_are_answered(running.mgmt_port)
            for task in tasks:
                task.cancel()
            client.writer.transport.abort()

    run()


@GROUPS[0]
def test_a_gearman_worker_at_full_speed_leaves_time_for_others() -> None:
    """The worker reports the progress of one job without end."""

    @async_test
    async def run() -> None:
        async with _running() as running:
            worker = await GearmanPeer.to(running.gearman_port)
            await worker.register(b"book_pallet")
            client = await GearmanPeer.to(running.gearman_port)
            await client.submit(b"book_pallet", b"u", b"b")
            handle = (await worker.grab())[0]
            data = _packets(PacketType.WORK_STATUS, handle, b"1", b"2") * 4000
            task = asyncio.create_task(_send_without_end(worker.writer, data))
            assert_all_served(await ask_for(running.port, FLOOD_S))
            await _assert_operators_are_answered(running.mgmt_port)
            task.cancel()
            for peer in (worker, client):
                peer.writer.transport.abort()

    run()


class EndlessCatalog(Catalog):
    """Discovery that sends the same lines without end after the whole list."""

    def __init__(self, lines: bytes, *planners: Planner) -> None:
        super().__init__(*planners)
        self._chunk = b"%x\r\n%s\r\n" % (len(lines), lines)

    async def serve(self, reader: Reader, writer: Writer) -> None:
        sender = asyncio.create_task(self._send_later(writer))
        try:
            await super().serve(reader, writer)
        finally:
            sender.cancel()

    async def _send_later(self, writer: Writer) -> None:
        await self.watches.get()
        await _send_without_end(writer, self._chunk)


@GROUPS[1]
@pytest.mark.parametrize(
    "lines",
    [b"\n" * 50_000, b'{"generation":9,"instances":[]}\n' * 2000],
    ids=["heartbeats", "empty updates"],
)
def test_discovery_at_full_speed_leaves_time_for_others(lines: bytes) -> None:
    @async_test
    async def run() -> None:
        async with (
            Planner("p1") as planner,
            EndlessCatalog(lines, planner) as catalog,
            program(planner, mgmt=True, catalog=catalog) as running,
        ):
            await wait_until_healthy(running.port)
            assert_all_served(await ask_for(running.port, FLOOD_S))
            await _assert_operators_are_answered(running.mgmt_port)

    run()


@GROUPS[0]
def test_an_operators_caller_at_full_speed_leaves_time_for_others() -> None:
    @async_test
    async def run() -> None:
        async with (
            _running() as running,
            flooding(running.mgmt_port, b"GET /-/metrics HTTP/1.1\r\nHost: m\r\n\r\n"),
        ):
            assert_all_served(await ask_for(running.port, FLOOD_S))

    run()
