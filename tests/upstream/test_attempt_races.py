"""What comes while a connection to a planner comes up, and answers that break off, double or never end: the
carrier alone, between a core and scripted planners on sockets."""

from __future__ import annotations

import asyncio
import contextlib
from unittest.mock import Mock

import pytest
from attempt_rig import Rig, late_connections
from loopback import Peer, Planner, Reader, Writer, async_test

from pipitshed.protocols.gearman import PacketType, encode_packet
from pipitshed.scheduling.actions import StartAttempt
from pipitshed.scheduling.events import (
    EndpointState,
    Outcome,
)
from pipitshed.scheduling.settings import Idempotency
from pipitshed.upstream.gearman import GearmanWorkerClient, WorkerLocation

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "crossing", ["the client goes", "the planner drains", "the planner goes", "the window ends"]
)
def test_nothing_is_written_on_a_connection_that_comes_up_too_late(crossing: str) -> None:
    """It used to be written however late, unless it had been called off, which not all settings permit."""

    @async_test
    async def run() -> None:
        async with Planner("p1") as planner, late_connections() as up:
            rig = Rig(Idempotency.IDEMPOTENT_WITH_KEY)
            rig.lists(planner.port)
            exchange = rig.take("a1")
            rig.send(exchange, 30.0 if crossing == "the window ends" else 0.0)
            if crossing == "the client goes":
                rig.forwarder.withdraw(exchange)
            elif crossing == "the window ends":
                loop = asyncio.get_running_loop()
                passed = asyncio.Event()
                loop.call_at(exchange.attempts[0].write_deadline_at + 0.001, passed.set)
                await passed.wait()
            else:
                rig.lists(
                    planner.port, EndpointState.DRAINING if "drains" in crossing else EndpointState.REMOVED
                )
            up()
            assert await rig.outcome() is Outcome.CONNECT_FAILED
            rig.lists(planner.port)
            other = rig.take("a2")
            rig.send(other)
            assert await rig.outcome() is Outcome.OK
            assert [run.headers["x-request-id"] for run in planner.runs] == ["a2"]
            if crossing != "the client goes":
                rig.forwarder.withdraw(exchange)
            assert not rig.forwarder._requests._contexts

    run()


class Script(Peer):
    """A planner that answers each request with bytes of the test's."""

    def __init__(self, *answers: bytes) -> None:
        self.answers = list(answers)
        self.ends: asyncio.Queue[int] = asyncio.Queue()

    async def serve(self, reader: Reader, writer: Writer) -> None:
        number = len(self.writers)
        try:
            while self.answers:
                await reader.readuntil(b"pallets")
                writer.write(self.answers.pop(0))
            await reader.read()
        finally:
            self.ends.put_nowait(number)


def line(text: str) -> bytes:
    data = text.encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


DONE = line('{"id":"a1","state":"done","result":"served"}')
END = b"0\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


@async_test
async def test_an_answer_whose_end_never_comes_costs_its_connection_soon() -> None:
    """`done` had been read, so the attempt was over, and no timer was left to end the connection."""
    async with Script(CHUNKED + DONE) as planner:
        rig = Rig()
        rig.lists(planner.port)
        rig.send(rig.take())
        assert await rig.outcome() is Outcome.OK
        began = asyncio.get_running_loop().time()
        await planner.ends.get()
        assert asyncio.get_running_loop().time() - began < 1.0
        assert not rig.carrier.pool._idle.get(("127.0.0.1", planner.port))


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
def test_an_answer_that_never_ends_or_is_not_this_requests_is_a_reset(name: str, text: bytes) -> None:
    """Bad bytes from a planner: the outcome by the protocol's table, the connection never used again."""

    @async_test
    async def run() -> None:
        async with Script(text) as planner:
            rig = Rig()
            rig.lists(planner.port)
            rig.send(rig.take())
            assert await rig.outcome() is Outcome.RESET, name
            assert await planner.ends.get() == 1

    run()


@pytest.mark.parametrize(
    "effect, outcome",
    [
        (Idempotency.IDEMPOTENT, Outcome.REJECTED),
        (Idempotency.IDEMPOTENT_WITH_KEY, Outcome.RESET),
        (Idempotency.NON_IDEMPOTENT, Outcome.RESET),
    ],
)
def test_a_late_second_answer_is_no_proof_that_the_next_job_never_ran(
    effect: Idempotency, outcome: Outcome
) -> None:
    """A 503 names no request. One that comes just after the next request was written would be "never ran" of
    a job that runs: where that matters, it says nothing."""

    @async_test
    async def run() -> None:
        class Late(Peer):
            async def serve(self, reader: Reader, writer: Writer) -> None:
                await reader.readuntil(b"pallets")
                writer.write(CHUNKED + DONE + END)
                await reader.readuntil(b"pallets")
                writer.write(NOT_RUN)
                await reader.read()

        async with Late() as planner:
            rig = Rig(effect)
            rig.lists(planner.port)
            rig.send(rig.take("a1"))
            assert await rig.outcome() is Outcome.OK
            rig.send(rig.take("a2"))
            assert await rig.outcome() is outcome and len(planner.writers) == 1

    run()


@async_test
async def test_half_a_second_answer_behind_the_first_ends_the_connection() -> None:
    """In one segment with the first answer's end: the rest of it would have met the next request."""
    async with Script(CHUNKED + DONE + END + NOT_RUN[:20], CHUNKED + DONE + END) as planner:
        rig = Rig()
        rig.lists(planner.port)
        rig.send(rig.take("a1"))
        assert await rig.outcome() is Outcome.OK
        assert await planner.ends.get() == 1


@async_test
async def test_an_answer_before_the_whole_request_is_out_ends_the_connection() -> None:
    """The rest of that request would stand before the next one."""

    class Hasty(Peer):
        async def serve(self, reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.pause_reading()
            writer.write(NOT_RUN)
            await asyncio.get_running_loop().create_future()

    async with Hasty() as planner:
        rig = Rig()
        rig.lists(planner.port)
        rig.send(rig.take("a1", bytes(32 * 1024 * 1024)))
        assert await rig.outcome() is Outcome.REJECTED
        assert not rig.carrier.pool._idle.get(("127.0.0.1", planner.port))


@async_test
async def test_a_worker_that_grabs_after_a_repeats_window_gets_nothing() -> None:
    """An attempt that waits for a Gearman worker is assigned when that asks, maybe after the window."""
    rig = Rig(Idempotency.IDEMPOTENT_WITH_KEY)
    link = Mock()
    carrier = GearmanWorkerClient(
        rig.forwarder, {"plan": 0}, WorkerLocation(0, 0, 0, 1.0), 1000, asyncio.get_running_loop()
    )
    worker = carrier.worker(link)
    worker.handle(PacketType.CAN_DO, [b"plan"])
    exchange = rig.take("a1")
    rig.forwarder._execute(StartAttempt(exchange.job_id, worker.endpoint.id, write_within_ms=1.0))
    passed = asyncio.Event()
    asyncio.get_running_loop().call_at(exchange.attempts[0].write_deadline_at + 0.001, passed.set)
    await passed.wait()
    worker.handle(PacketType.GRAB_JOB, [])
    link.write.assert_called_once_with(encode_packet(PacketType.NO_JOB))
    assert await rig.outcome() is Outcome.CONNECT_FAILED
    rig.forwarder.withdraw(exchange)


@async_test
async def test_a_request_that_is_half_out_when_its_client_goes_is_not_finished() -> None:
    """Its last byte would be an attempt's beginning, and nothing called it off where settings permit none."""
    halted, read = asyncio.Event(), asyncio.Event()

    class Halting(Peer):
        async def serve(self, reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.pause_reading()
            halted.set()
            await read.wait()
            writer.transport.resume_reading()
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(1 << 20):
                    got.append(len(data))
            got.append(-1)

    got: list[int] = []
    async with Halting() as planner:
        rig = Rig()
        rig.lists(planner.port)
        exchange = rig.take("a1", bytes(32 * 1024 * 1024))
        rig.send(exchange)
        await halted.wait()
        begun = asyncio.get_running_loop().time()
        rig.forwarder.withdraw(exchange)
        assert await rig.outcome() is Outcome.CONNECT_FAILED
        assert asyncio.get_running_loop().time() - begun < 0.1  # not at its deadline
        read.set()
        while not got or got[-1] >= 0:
            await asyncio.sleep(0)
        assert sum(got) < 32 * 1024 * 1024


@async_test
async def test_a_planner_at_an_address_that_can_be_none_is_one_that_could_not_be_reached() -> None:
    """The exception ended the task alone: the attempt waited for its deadline."""
    async with Planner("p1") as planner:
        rig = Rig()
        rig.lists(planner.port)
        target = rig.forwarder.endpoints.endpoint(rig.worker)
        assert target is not None
        target.address = ("a" * 70 + ".example", 80)
        begun = asyncio.get_running_loop().time()
        rig.send(rig.take())
        assert await rig.outcome() is Outcome.CONNECT_FAILED
        assert asyncio.get_running_loop().time() - begun < 1.0  # of nine
