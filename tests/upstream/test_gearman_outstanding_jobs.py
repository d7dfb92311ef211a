"""A job that is given up at a Gearman worker with other jobs is still out there: no second attempt meanwhile.

The program closes the connection of a job that is given up, as the protocol has no way to cancel it, but not
while other jobs run on it.
"""

from __future__ import annotations

import asyncio

import loopback
import pytest
from loopback import SETTINGS, GearmanPeer, HttpClient, Program, async_test, program

from pipitshed.protocols.gearman import PacketType

QUOTE, BOOK, UNSERVED = b"plan_quote", b"book_pallet", b"unserved"
QUOTE_CLASS, BOOK_CLASS = SETTINGS["services"]
# A job without progress has stalled after 0.35 s. Quotes must not be repeated, so that they are not given up.
STALLING = {
    "familyInfo": {"tellsStart": True, "progress": 200.0},
    "services": [QUOTE_CLASS | {"repeat": "fragile"}, BOOK_CLASS, QUOTE_CLASS | {"name": "unserved"}],
}
FRONT = loopback.FRONT.replace(
    "[gearman.workers]",
    'unserved = { class = "unserved", tenant = "andes-retail", patience-s = 0.6 }\n[gearman.workers]',
)
IMPATIENT_BOOKING = FRONT.replace(
    'book_pallet = { class = "book"', 'book_pallet = { patience-s = 1.0, class = "book"'
)


async def until_a_retry_would_have_begun(running: Program) -> None:
    """Wait until a job that no worker serves is answered at its deadline, twice the longest backoff later."""
    client = await GearmanPeer.to(running.gearman_port)
    await client.submit(UNSERVED, b"", b"")
    await client.expect(PacketType.WORK_WARNING)


async def until_retired(running: Program) -> None:
    """Wait until a worker gets no new jobs: it then has no functions."""
    admin = await GearmanPeer.to(running.gearman_port)
    lines = [b": "]
    while not any(line.endswith(b": \n") for line in lines):
        admin.writer.write(b"workers\n")
        lines = []
        while (line := await admin.reader.readline()) != b".\n":
            lines.append(line)


class Jobs:
    """A worker that runs a quote and hangs in a booking, and a second worker that is free for the booking."""

    def __init__(self, running: Program) -> None:
        self.running = running

    async def assign(self, can_do: PacketType = PacketType.CAN_DO) -> None:
        port = self.running.gearman_port
        self.worker, self.quoting, self.booking, self.other = [await GearmanPeer.to(port) for _ in range(4)]
        self.worker.send(PacketType.CAN_DO, QUOTE)
        self.worker.send(can_do, BOOK, *([b"1"] if can_do is PacketType.CAN_DO_TIMEOUT else []))
        await self.worker.register()
        self.quote_handle = await self.quoting.submit(QUOTE, b"q1", b"four")
        self.quote, _, _ = await self.worker.grab()
        self.worker.send(PacketType.PRE_SLEEP)
        self.book_handle = await self.booking.submit(BOOK, b"b1", b"six")
        self.book, _, _ = await self.worker.grab()
        await self.other.register(BOOK)

    async def finish_quote(self) -> None:
        self.worker.send(PacketType.WORK_COMPLETE, self.quote, b"plan")
        assert await self.quoting.expect(PacketType.WORK_COMPLETE) == [self.quote_handle, b"plan"]

    async def expect_retry_at_the_other(self) -> None:
        """The first worker is told by the end of its connection; only then the booking runs again."""
        attempt, _, _ = await self.other.grab()
        assert await asyncio.wait_for(self.worker.reader.read(), 1.0) == b""
        self.other.send(PacketType.WORK_COMPLETE, attempt, b"booked")
        assert await self.booking.expect(PacketType.WORK_COMPLETE) == [self.book_handle, b"booked"]


# Guards against a booking that is out at two workers at once.
@async_test
async def test_a_stalled_job_is_retried_only_once_its_worker_s_connection_is_closed() -> None:
    async with program(front=FRONT, settings=STALLING) as running:
        jobs = Jobs(running)
        await jobs.assign()
        await until_retired(running)
        await until_a_retry_would_have_begun(running)
        assert await jobs.other.is_asleep()
        await jobs.finish_quote()
        await jobs.expect_retry_at_the_other()


@async_test
async def test_a_job_from_the_http_front_end_is_not_out_at_two_gearman_workers() -> None:
    """Guards against the same second copy for a client of the other front end."""
    async with program(front=FRONT, settings=STALLING) as running:
        worker, other = [await GearmanPeer.to(running.gearman_port) for _ in range(2)]
        quoting, booking = [await HttpClient.to(running.port) for _ in range(2)]
        await worker.register(QUOTE, BOOK)
        quoting.ask("q1", "quote", X_Deadline="9.0")
        quote, _, _ = await worker.grab()
        worker.send(PacketType.PRE_SLEEP)
        booking.ask("b1", "book", Idempotency_Key="b1", X_Deadline="9.0")
        await worker.grab()
        await other.register(BOOK)
        await until_retired(running)
        await until_a_retry_would_have_begun(running)
        assert await other.is_asleep()
        worker.send(PacketType.WORK_COMPLETE, quote, b"plan")
        assert (await quoting.answer())[::2] == (200, b"plan")
        attempt, _, _ = await other.grab()
        assert await asyncio.wait_for(worker.reader.read(), 1.0) == b""
        other.send(PacketType.WORK_COMPLETE, attempt, b"booked")
        assert (await booking.answer())[::2] == (200, b"booked")


@async_test
async def test_a_job_that_goes_on_after_a_stall_is_served_by_its_first_worker() -> None:
    """Guards against closing the connection of a job that runs again, and against losing its result."""
    async with program(front=FRONT, settings=STALLING) as running:
        jobs = Jobs(running)
        await jobs.assign()
        await until_retired(running)
        jobs.worker.send(PacketType.WORK_STATUS, jobs.book, b"1", b"2")
        assert await jobs.booking.expect(PacketType.WORK_STATUS) == [jobs.book_handle, b"50", b"100"]
        await jobs.finish_quote()
        jobs.worker.send(PacketType.WORK_COMPLETE, jobs.book, b"booked")
        assert await jobs.booking.expect(PacketType.WORK_COMPLETE) == [jobs.book_handle, b"booked"]
        assert await jobs.other.is_asleep()
        assert await jobs.worker.reader.read() == b""


@async_test
async def test_a_job_that_stalls_twice_is_given_up_again() -> None:
    """Guards against a job that waits for its deadline as it was given up once already."""
    async with program(front=FRONT, settings=STALLING) as running:
        jobs = Jobs(running)
        await jobs.assign()
        await until_retired(running)
        jobs.worker.send(PacketType.WORK_STATUS, jobs.book, b"1", b"2")
        assert await jobs.booking.expect(PacketType.WORK_STATUS) == [jobs.book_handle, b"50", b"100"]
        await jobs.finish_quote()
        await jobs.expect_retry_at_the_other()


@async_test
async def test_a_stalled_job_is_answered_before_its_deadline_while_it_is_outstanding() -> None:
    """Guards against a client that waits for a worker's other jobs beyond its own time."""
    async with program(front=IMPATIENT_BOOKING, settings=STALLING) as running:
        jobs = Jobs(running)
        started_at = asyncio.get_running_loop().time()
        await jobs.assign()
        again = await GearmanPeer.to(running.gearman_port)
        handle = await again.submit(BOOK, b"b1", b"six")  # a resubmission joins the outstanding job
        assert await again.expect(PacketType.WORK_FAIL) == [handle]
        assert await jobs.booking.expect(PacketType.WORK_FAIL) == [jobs.book_handle]
        assert asyncio.get_running_loop().time() - started_at < 1.5
        assert await jobs.other.is_asleep()
        await jobs.finish_quote()
        assert await jobs.worker.reader.read() == b""


@async_test
async def test_jobs_that_stall_together_end_their_connection_at_once() -> None:
    """Guards against two stalled jobs that each wait for the other's end."""
    async with program(front=FRONT, settings=STALLING) as running:
        worker, other, client = [await GearmanPeer.to(running.gearman_port) for _ in range(3)]
        await worker.register(BOOK)
        handles = []
        for unique_id in (b"b1", b"b2"):
            handles.append(await client.submit(BOOK, unique_id, b"six"))
            await worker.grab()
            worker.send(PacketType.PRE_SLEEP)
        await other.register(BOOK)
        answers = []
        for _ in handles:
            attempt, _, _ = await other.grab()
            other.send(PacketType.WORK_COMPLETE, attempt, b"booked")
            other.send(PacketType.PRE_SLEEP)
            answers.append(await client.expect(PacketType.WORK_COMPLETE))
        assert sorted(answers) == sorted([handle, b"booked"] for handle in handles)
        assert await worker.reader.read() == b""


@async_test
async def test_an_outstanding_job_is_retried_when_its_worker_disconnects() -> None:
    """Guards against a job that stays outstanding beyond its connection."""
    async with program(front=FRONT, settings=STALLING) as running:
        jobs = Jobs(running)
        await jobs.assign()
        await until_retired(running)
        jobs.worker.writer.transport.abort()
        assert await jobs.quoting.expect(PacketType.WORK_FAIL) == [jobs.quote_handle]
        attempt, _, _ = await jobs.other.grab()
        jobs.other.send(PacketType.WORK_COMPLETE, attempt, b"booked")
        assert await jobs.booking.expect(PacketType.WORK_COMPLETE) == [jobs.book_handle, b"booked"]


@pytest.mark.parametrize("parallel", [False, True])
def test_a_job_over_its_worker_s_time_limit_has_no_second_copy(parallel: bool) -> None:
    """Guards against a second copy after CAN_DO_TIMEOUT; an idempotent job may be retried afterwards."""
    settings = STALLING | {
        "familyInfo": {"tellsStart": True, "progress": 20000.0},
        "permissions": SETTINGS["permissions"] | {"parallelTries": parallel},
    }

    @async_test
    async def run() -> None:
        async with program(front=FRONT, settings=settings) as running:
            jobs = Jobs(running)
            await jobs.assign(PacketType.CAN_DO_TIMEOUT)
            started_at = asyncio.get_running_loop().time()
            # The job gets no further attempt, so it is answered when its worker's time limit is over.
            assert await jobs.booking.expect(PacketType.WORK_FAIL) == [jobs.book_handle]
            assert asyncio.get_running_loop().time() - started_at < 5
            await until_a_retry_would_have_begun(running)
            assert await jobs.other.is_asleep()
            await jobs.finish_quote()
            assert await jobs.worker.reader.read() == b""

    run()
