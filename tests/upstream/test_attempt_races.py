"""Changes while a connection to a worker is established, and answers that are truncated, repeated or endless.

The worker client runs between a forwarder and scripted workers on sockets.
"""

from __future__ import annotations

import asyncio
import contextlib
from unittest.mock import Mock

import pytest
from attempt_rig import Rig, delayed_connections
from loopback import Peer, Planner, Reader, Writer, async_test
from scripted_worker import CHUNKED, END, NOT_RUN, ScriptedWorker, done, line

from pipitshed.protocols.gearman import PacketType, encode_packet
from pipitshed.protocols.gearman_handles import JobHandles
from pipitshed.scheduling.actions import StartAttempt
from pipitshed.scheduling.events import (
    EndpointState,
    Outcome,
)
from pipitshed.scheduling.settings import Idempotency
from pipitshed.upstream.gearman import GearmanWorkerClient, WorkerLocation


@pytest.mark.parametrize(
    "change", ["the client goes", "the planner drains", "the planner goes", "the window ends"]
)
def test_nothing_is_written_on_a_connection_that_comes_up_too_late(change: str) -> None:
    """An attempt was written however late, unless it had been cancelled, which not all settings permit."""

    @async_test
    async def run() -> None:
        async with Planner("p1") as planner, delayed_connections() as allow_connections:
            rig = Rig(Idempotency.IDEMPOTENT_WITH_KEY)
            rig.list_worker(planner.port)
            context = rig.submit("a1")
            rig.start_attempt(context, 30.0 if change == "the window ends" else 0.0)
            if change == "the client goes":
                rig.forwarder.withdraw(context)
            elif change == "the window ends":
                loop = asyncio.get_running_loop()
                window_ended = asyncio.Event()
                loop.call_at(context.attempts[0].write_deadline_at + 0.001, window_ended.set)
                await window_ended.wait()
            else:
                rig.list_worker(
                    planner.port, EndpointState.DRAINING if "drains" in change else EndpointState.REMOVED
                )
            allow_connections()
            assert await rig.outcome() is Outcome.CONNECT_FAILED
            rig.list_worker(planner.port)
            next_request = rig.submit("a2")
            rig.start_attempt(next_request)
            assert await rig.outcome() is Outcome.OK
            assert [run.headers["x-request-id"] for run in planner.runs] == ["a2"]
            if change != "the client goes":
                rig.forwarder.withdraw(context)
            assert not rig.forwarder._requests._contexts

    run()


@async_test
async def test_a_connection_is_closed_if_the_answer_does_not_end() -> None:
    """After `done` the attempt and its timer have ended: no timer was left to close the connection."""
    async with ScriptedWorker(CHUNKED + done("a1")) as planner:
        rig = Rig()
        rig.list_worker(planner.port)
        rig.start_attempt(rig.submit())
        assert await rig.outcome() is Outcome.OK
        started_at = asyncio.get_running_loop().time()
        await planner.closed.get()
        assert asyncio.get_running_loop().time() - started_at < 1.0
        assert not rig.worker_client.pool._idle.get(("127.0.0.1", planner.port))


@pytest.mark.parametrize(
    "name, text",
    [
        (
            "trailers",
            CHUNKED + line('{"id":"a1","state":"started"}') + b"0\r\n" + b"X-More: more\r\n" * 40_000,
        ),
        ("one trailer", CHUNKED + b"0\r\nX-More: " + b"more" * 25_000),
        ("a head", b"HTTP/1.1 200 OK\r\n" + b"X-More: more\r\n" * 8000),
        ("interim answers", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
        ("framing", CHUNKED + b"5;" + b"x" * 100_000),
        ("a line without an id", CHUNKED + line('{"state":"done","result":"whose?"}') + END),
        ("another's line", CHUNKED + line('{"id":"a0","state":"done","result":"theirs"}') + END),
    ],
)
def test_an_invalid_or_unlimited_answer_is_a_reset(name: str, text: bytes) -> None:
    """Invalid bytes from a worker: the outcome follows the protocol's table, and the connection is closed."""

    @async_test
    async def run() -> None:
        async with ScriptedWorker(text) as planner:
            rig = Rig()
            rig.list_worker(planner.port)
            rig.start_attempt(rig.submit())
            assert await rig.outcome() is Outcome.RESET, name
            assert await planner.closed.get() == 1

    run()


@async_test
async def test_an_answer_before_the_whole_request_is_sent_closes_the_connection() -> None:
    """Otherwise the rest of that request would be sent before the next one."""

    class EarlyAnswer(Peer):
        async def serve(self, reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.pause_reading()
            writer.write(NOT_RUN)
            await asyncio.get_running_loop().create_future()

    async with EarlyAnswer() as planner:
        rig = Rig()
        rig.list_worker(planner.port)
        rig.start_attempt(rig.submit("a1", bytes(32 * 1024 * 1024)))
        assert await rig.outcome() is Outcome.REJECTED
        assert not rig.worker_client.pool._idle.get(("127.0.0.1", planner.port))


@async_test
async def test_a_gearman_worker_that_asks_after_the_retry_window_gets_no_job() -> None:
    """A Gearman worker asks for its jobs, so an attempt may be assigned only after its retry window."""
    rig = Rig(Idempotency.IDEMPOTENT_WITH_KEY)
    connection = Mock()
    worker_client = GearmanWorkerClient(
        rig.forwarder,
        {"plan": "quote"},
        ["quote"],
        WorkerLocation(0, 0, 0, 1.0),
        1000,
        JobHandles("rig"),
        asyncio.get_running_loop(),
    )
    worker = worker_client.worker(connection)
    worker.handle(PacketType.CAN_DO, [b"plan"])
    context = rig.submit("a1")
    rig.forwarder._execute(StartAttempt(context.job_id, worker.endpoint.id, write_within_ms=1.0))
    window_ended = asyncio.Event()
    asyncio.get_running_loop().call_at(context.attempts[0].write_deadline_at + 0.001, window_ended.set)
    await window_ended.wait()
    worker.handle(PacketType.GRAB_JOB, [])
    connection.write.assert_called_once_with(encode_packet(PacketType.NO_JOB))
    assert await rig.outcome() is Outcome.CONNECT_FAILED
    rig.forwarder.withdraw(context)


@async_test
async def test_a_half_sent_request_is_aborted_when_its_client_disconnects() -> None:
    """With its last byte the attempt would start, and where settings forbid cancels nothing would stop it."""
    reading_paused, read = asyncio.Event(), asyncio.Event()

    class PausedReader(Peer):
        async def serve(self, reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.pause_reading()
            reading_paused.set()
            await read.wait()
            writer.transport.resume_reading()
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(1 << 20):
                    received.append(len(data))
            received.append(-1)

    received: list[int] = []
    async with PausedReader() as planner:
        rig = Rig()
        rig.list_worker(planner.port)
        context = rig.submit("a1", bytes(32 * 1024 * 1024))
        rig.start_attempt(context)
        await reading_paused.wait()
        started_at = asyncio.get_running_loop().time()
        rig.forwarder.withdraw(context)
        assert await rig.outcome() is Outcome.CONNECT_FAILED
        assert asyncio.get_running_loop().time() - started_at < 0.1  # not at its deadline
        read.set()
        while not received or received[-1] >= 0:
            await asyncio.sleep(0)
        assert sum(received) < 32 * 1024 * 1024


@async_test
async def test_an_invalid_worker_address_counts_as_a_failed_connect() -> None:
    """The exception ended only the connecting task, and the attempt waited for its deadline."""
    async with Planner("p1") as planner:
        rig = Rig()
        rig.list_worker(planner.port)
        endpoint = rig.forwarder.endpoints.endpoint(rig.worker)
        assert endpoint is not None
        endpoint.address = ("a" * 70 + ".example", 80)
        started_at = asyncio.get_running_loop().time()
        rig.start_attempt(rig.submit())
        assert await rig.outcome() is Outcome.CONNECT_FAILED
        assert asyncio.get_running_loop().time() - started_at < 1.0  # the deadline is 9 s
