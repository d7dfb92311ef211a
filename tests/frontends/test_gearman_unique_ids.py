"""A Gearman unique id belongs to its function: equal ids of other functions are other jobs."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from loopback import DeduplicatingPlanner, GearmanPeer, HttpClient, Planner, Program, async_test, program

from pipitshed.protocols.gearman import PacketType

# Two tenants with a function each for one class, and one of them with a function for another class.
FUNCTIONS = (b"book_andes", b"book_costa", b"quote_costa")
FRONT = """
[gearman]
listen = ["127.0.0.1:0"]
[gearman.functions]
book_andes = { class = "book", tenant = "andes-retail" }
book_costa = { class = "book", tenant = "costa-carga" }
quote_costa = { class = "quote", tenant = "costa-carga" }
[gearman.workers]
zone = "lima-norte"
"""
TENANTS = {
    "tenants": [
        {"name": "andes-retail", "share": 0.6, "allowancePerS": 100.0},
        {"name": "costa-carga", "share": 0.4, "allowancePerS": 100.0},
    ]
}


async def _run_jobs(worker: GearmanPeer) -> None:
    """Run jobs of all functions, one after the other."""
    while True:
        handle, _, body = await worker.grab()
        worker.send(PacketType.WORK_COMPLETE, handle, b"plan of " + body)
        worker.send(PacketType.PRE_SLEEP)


@contextlib.asynccontextmanager
async def program_with_worker(worker_kind: str) -> AsyncIterator[Program]:
    """The program with one worker that serves all classes, an HTTP planner or a Gearman worker."""
    if worker_kind == "http":
        async with (
            DeduplicatingPlanner("p1") as planner,
            program(planner, front=FRONT, settings=TENANTS) as running,
        ):
            yield running
        return
    async with program(front=FRONT, settings=TENANTS) as running:
        worker = await GearmanPeer.to(running.gearman_port)
        await worker.register(*FUNCTIONS)
        task = asyncio.create_task(_run_jobs(worker))
        yield running
        task.cancel()


@pytest.mark.parametrize("worker_kind", ["gearman", "http"])
@pytest.mark.parametrize("unique_id", [b"order-1", b" \xe9:1\x01"])
def test_a_client_never_gets_the_result_of_another_function_s_job(worker_kind: str, unique_id: bytes) -> None:
    """Guards against jobs of two tenants that became one, as their clients chose the same unique id."""

    @async_test
    async def run() -> None:
        async with program_with_worker(worker_kind) as running:
            client = await GearmanPeer.to(running.gearman_port)
            for function in FUNCTIONS:
                body = b"pallet of " + function
                handle = await client.submit(function, unique_id, body)
                assert await client.expect(PacketType.WORK_COMPLETE) == [handle, b"plan of " + body]

    run()


@async_test
async def test_running_jobs_of_two_functions_with_one_unique_id_are_not_joined() -> None:
    """Guards against a job that joins another function's running job; a resubmission still joins its own."""
    async with program(front=FRONT, settings=TENANTS) as running:
        andes, costa, again = [await GearmanPeer.to(running.gearman_port) for _ in range(3)]
        workers = [await GearmanPeer.to(running.gearman_port) for _ in range(2)]
        attempts = []
        for worker, client, function in zip(workers, (andes, costa), FUNCTIONS, strict=False):
            await worker.register(function)
            handle = await client.submit(function, b"order-1", b"for " + function)
            attempt, assigned, body = await worker.grab()
            assert (assigned, body) == (function, b"for " + function)
            attempts.append((worker, client, handle, attempt))
        joined = await again.submit(b"book_costa", b"order-1", b"for book_costa")
        for worker, client, handle, attempt in attempts:
            worker.send(PacketType.WORK_COMPLETE, attempt, b"done as " + attempt)
            assert await client.expect(PacketType.WORK_COMPLETE) == [handle, b"done as " + attempt]
        costa_attempt = attempts[1][3]
        assert await again.expect(PacketType.WORK_COMPLETE) == [joined, b"done as " + costa_attempt]


@async_test
async def test_a_withdrawn_job_leaves_the_other_function_s_job_running() -> None:
    """Guards against a client that leaves and takes another function's job of its unique id with it."""
    async with program(front=FRONT, settings=TENANTS) as running:
        worker, leaving, staying = [await GearmanPeer.to(running.gearman_port) for _ in range(3)]
        await leaving.submit(b"book_andes", b"order-1", b"andes")
        handle = await staying.submit(b"book_costa", b"order-1", b"costa")
        leaving.writer.transport.abort()
        worker.send(PacketType.CAN_DO, b"book_costa")
        worker.send(PacketType.PRE_SLEEP)
        attempt, _, body = await worker.grab()
        worker.send(PacketType.WORK_COMPLETE, attempt, b"plan of " + body)
        assert await staying.expect(PacketType.WORK_COMPLETE) == [handle, b"plan of costa"]


@async_test
async def test_the_key_of_a_gearman_job_is_the_same_at_every_start_and_unlike_those_of_http() -> None:
    """Guards against planners that run a resubmission after a restart, or drop an HTTP client's job as a
    repeat of a Gearman client's."""
    keys = []
    for _ in range(2):
        async with Planner("p1") as planner, program(planner, front=FRONT, settings=TENANTS) as running:
            client, http_client = (
                await GearmanPeer.to(running.gearman_port),
                await HttpClient.to(running.port),
            )
            await client.submit(b"book_andes", b"order-1", b"andes")
            await client.expect(PacketType.WORK_COMPLETE)
            http_client.ask("a1", "book", Idempotency_Key="order-1")
            await http_client.answer()
            keys.append([run.headers["idempotency-key"] for run in planner.runs])
    assert keys == [["book_andes:order-1", "order-1"]] * 2
