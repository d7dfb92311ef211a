"""A second answer to one request, without a request id: it must not be taken for the next request's.

Each answer on the connection would then be taken for the request before its own. The worker client runs
between a forwarder and scripted workers on sockets.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
import uvloop
from attempt_rig import Rig
from loopback import FRONT, GearmanPeer, Peer, Reader, Writer, async_test, program
from scripted_worker import CHUNKED, END, NOT_RUN, ScriptedWorker, answer

from pipitshed.protocols.gearman import PacketType
from pipitshed.scheduling.events import Outcome
from pipitshed.scheduling.settings import Idempotency
from pipitshed.upstream.http.connection import SECOND_ANSWER_WINDOW_S

FAILED = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
WITHOUT_LINES = CHUNKED + END
LIMIT_S = 20.0


async def serve(rig: Rig, request_id: str) -> Outcome:
    """Submit a job, start an attempt at it, and return the outcome."""
    rig.start_attempt(rig.submit(request_id))
    return await rig.outcome()


@pytest.mark.parametrize(
    "idempotency, outcome",
    [
        (Idempotency.IDEMPOTENT, Outcome.REJECTED),
        (Idempotency.IDEMPOTENT_WITH_KEY, Outcome.RESET),
        (Idempotency.NON_IDEMPOTENT, Outcome.RESET),
    ],
)
def test_a_late_second_answer_does_not_prove_that_the_next_job_did_not_run(
    idempotency: Idempotency, outcome: Outcome
) -> None:
    """A 503 carries no request id. One that arrives just after the next request was written could be taken to
    say that this request did not run, while it does. If a second run is harmful, the 503 proves nothing."""

    @async_test
    async def run() -> None:
        async with ScriptedWorker(answer("a1"), NOT_RUN) as worker:
            rig = Rig(idempotency)
            rig.list_worker(worker.port)
            assert await serve(rig, "a1") is Outcome.OK
            assert await serve(rig, "a2") is outcome and len(worker.writers) == 1

    run()


# Guards against a connection that is used on while each answer on it is the one to the request before.
@pytest.mark.parametrize("second_answer", [NOT_RUN, FAILED, WITHOUT_LINES], ids=["503", "500", "200"])
@pytest.mark.parametrize("idempotency", Idempotency)
def test_a_connection_with_a_possible_second_answer_carries_no_further_request(
    idempotency: Idempotency, second_answer: bytes
) -> None:
    @async_test
    async def run() -> None:
        async with ScriptedWorker(answer("a1"), second_answer, answer("a3")) as worker:
            rig = Rig(idempotency)
            rig.list_worker(worker.port)
            assert await serve(rig, "a1") is Outcome.OK
            assert await serve(rig, "a2") is not Outcome.OK
            assert await serve(rig, "a3") is Outcome.OK
            assert len(worker.writers) == 2

    run()


@async_test
async def test_an_answer_without_an_outcome_ends_its_connection() -> None:
    """It is a reset on a new connection too: nothing says whose answer comes next."""
    async with ScriptedWorker(WITHOUT_LINES, answer("a2")) as worker:
        rig = Rig()
        rig.list_worker(worker.port)
        assert await serve(rig, "a1") is Outcome.RESET
        assert await serve(rig, "a2") is Outcome.OK
        assert len(worker.writers) == 2


@async_test
async def test_a_load_probe_does_not_hide_a_second_answer() -> None:
    """The probe's own answer would be taken for that of the next job."""
    answers = answer("a1"), NOT_RUN, answer("a2")
    async with ScriptedWorker(*answers, request_end=b"service.internal") as worker:
        rig = Rig()
        rig.list_worker(worker.port)
        assert await serve(rig, "a1") is Outcome.OK
        endpoint = rig.forwarder.endpoints.endpoint(rig.worker)
        assert endpoint is not None
        rig.worker_client.probe(endpoint)
        await rig.finished_probes.get()
        assert await serve(rig, "a2") is Outcome.OK
        assert len(worker.writers) == 2


@async_test
async def test_a_connection_with_an_unread_second_answer_is_not_used() -> None:
    """It has arrived while the event loop was busy, and would be read after the next request is written."""
    async with ScriptedWorker(answer("a1"), answer("a2")) as worker:
        rig = Rig(Idempotency.NON_IDEMPOTENT)
        rig.list_worker(worker.port)
        assert await serve(rig, "a1") is Outcome.OK
        worker.writers[0].write(NOT_RUN)
        assert await serve(rig, "a2") is Outcome.OK
        assert len(worker.writers) == 2


@pytest.mark.parametrize("run_loop", [asyncio.run, uvloop.run])
def test_a_second_answer_that_is_read_late_proves_no_more(
    run_loop: Callable[[Coroutine[Any, Any, None]], None],
) -> None:
    """It arrives in time, and the event loop is held up until its time is over."""

    async def run() -> None:
        async with ScriptedWorker(answer("a1")) as worker:
            rig = Rig(Idempotency.NON_IDEMPOTENT)
            rig.list_worker(worker.port)
            assert await serve(rig, "a1") is Outcome.OK
            rig.start_attempt(rig.submit("a2"))
            worker.writers[0].write(NOT_RUN)
            time.sleep(2 * SECOND_ANSWER_WINDOW_S)
            assert await rig.outcome() is Outcome.RESET

    run_loop(asyncio.wait_for(run(), LIMIT_S))


@async_test
async def test_a_second_answer_that_ends_late_proves_no_more() -> None:
    """It begins in time, and its end comes in a later segment."""
    async with ScriptedWorker(answer("a1"), NOT_RUN[:20]) as worker:
        rig = Rig(Idempotency.NON_IDEMPOTENT)
        rig.list_worker(worker.port)
        assert await serve(rig, "a1") is Outcome.OK
        rig.start_attempt(rig.submit("a2"))
        await asyncio.sleep(4 * SECOND_ANSWER_WINDOW_S)
        worker.writers[0].write(NOT_RUN[20:])
        assert await rig.outcome() is Outcome.RESET


@async_test
async def test_a_job_that_is_handed_back_later_is_known_not_to_have_run() -> None:
    """Its connection is kept: a second answer to the job before would have come earlier."""

    class HandsBackLater(Peer):
        async def serve(self, reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"pallets")
            writer.write(answer("a1"))
            await reader.readuntil(b"pallets")
            await asyncio.sleep(4 * SECOND_ANSWER_WINDOW_S)  # it has waited for a slot
            writer.write(NOT_RUN)
            await reader.readuntil(b"pallets")
            writer.write(answer("a3"))

    async with HandsBackLater() as worker:
        rig = Rig(Idempotency.NON_IDEMPOTENT)
        rig.list_worker(worker.port)
        assert await serve(rig, "a1") is Outcome.OK
        assert await serve(rig, "a2") is Outcome.REJECTED
        assert await serve(rig, "a3") is Outcome.OK
        assert len(worker.writers) == 1


@async_test
async def test_a_partial_second_answer_closes_the_connection() -> None:
    """It arrives in one segment with the first answer's end; its rest would be read as the next answer."""
    async with ScriptedWorker(answer("a1") + NOT_RUN[:20], answer("a1")) as worker:
        rig = Rig()
        rig.list_worker(worker.port)
        assert await serve(rig, "a1") is Outcome.OK
        assert await worker.closed.get() == 1


@async_test
async def test_a_gearman_worker_s_second_answer_does_not_end_its_next_job() -> None:
    """Gearman workers name the job in each packet; so no answer of theirs can be taken for another job's."""
    async with program(front=FRONT) as running:
        client = await GearmanPeer.to(running.gearman_port)
        worker = await GearmanPeer.to(running.gearman_port)
        await worker.register(b"plan_quote")
        handles = [await client.submit(b"plan_quote", unique, b"four") for unique in (b"q1", b"q2")]
        first, _, _ = await worker.grab()
        worker.send(PacketType.WORK_COMPLETE, first, b"plan 1")
        worker.send(PacketType.PRE_SLEEP)
        second, _, _ = await worker.grab()
        worker.send(PacketType.WORK_FAIL, first)
        worker.send(PacketType.WORK_COMPLETE, second, b"plan 2")
        assert await client.expect(PacketType.WORK_COMPLETE) == [handles[0], b"plan 1"]
        assert await client.expect(PacketType.WORK_COMPLETE) == [handles[1], b"plan 2"]
