"""Gearman jobs of two clients, one before and one after a restart of the program with the same configuration.

The configuration file has a fixed seed, as the one that `pipitshed init` writes.
"""

from __future__ import annotations

import pytest
from loopback import FRONT, DeduplicatingPlanner, GearmanPeer, async_test, program

from pipitshed.protocols.gearman import PacketType
from pipitshed.protocols.gearman_handles import MAX_NAME_CHARS, JobHandles

MAX_HANDLE_BYTES = 64  # that clients of the C library store, with a NUL byte at the end


# Guards against jobs of different clients that become one, as their keys are made from seed and count.
@pytest.mark.parametrize(
    "unique_id, second_result",
    [(b"", b"plan of second"), (b"order-1", b"plan of first")],
    ids=["none", "equal"],
)
def test_jobs_before_and_after_a_restart_are_one_only_by_their_unique_id(
    unique_id: bytes, second_result: bytes
) -> None:
    @async_test
    async def run() -> None:
        async with DeduplicatingPlanner("p1") as planner:
            results = []
            for body in (b"first", b"second"):
                async with program(planner, front=FRONT) as running:
                    client = await GearmanPeer.to(running.gearman_port)
                    await client.submit(b"book_pallet", unique_id, body)
                    results.append((await client.expect(PacketType.WORK_COMPLETE))[1])
                    await running.kill()
            assert results == [b"plan of first", second_result]

    run()


async def grab_with_unique_id(worker: GearmanPeer) -> tuple[bytes, bytes]:
    """Grab a job as a worker that recognises repeats; return its handle and its unique id."""
    await worker.expect(PacketType.NOOP)
    worker.send(PacketType.GRAB_JOB_UNIQ)
    handle, _, unique_id, _ = await worker.expect(PacketType.JOB_ASSIGN_UNIQ)
    return handle, unique_id


@pytest.mark.parametrize("unique_id", [b"", b"order-1"], ids=["none", "equal"])
def test_a_gearman_worker_tells_jobs_before_and_after_a_restart_apart(unique_id: bytes) -> None:
    """A worker that connects again may still report the end of a job that it had from the program before."""

    @async_test
    async def run() -> None:
        assigned: list[tuple[bytes, bytes]] = []
        for number in (1, 2):
            async with program(front=FRONT) as running:
                client = await GearmanPeer.to(running.gearman_port)
                worker = await GearmanPeer.to(running.gearman_port)
                await worker.register(b"book_pallet")
                submitted = await client.submit(b"book_pallet", unique_id, b"%d" % number)
                assigned.append(await grab_with_unique_id(worker))
                for handle, _ in assigned if number == 2 else []:
                    worker.send(PacketType.WORK_COMPLETE, handle, b"result of " + handle)
                if number == 2:
                    result = await client.expect(PacketType.WORK_COMPLETE)
                    assert result == [submitted, b"result of " + assigned[1][0]]
                await running.kill()
        (_, first_unique_id), (_, second_unique_id) = assigned
        assert (first_unique_id == second_unique_id) == bool(unique_id)

    run()


def test_two_processes_of_one_name_make_no_equal_handles() -> None:
    """Clients, workers and the keys of jobs share one sequence of handles in a process."""
    first, second = JobHandles("n1"), JobHandles("n1")
    handles = [handles.new() for handles in (first, second) for _ in range(1000)]
    assert len(set(handles)) == len(handles)


def test_a_handle_fits_the_clients_however_long_the_name_is() -> None:
    handles = JobHandles("n" * 4 * MAX_NAME_CHARS)
    handles._count = 10**10 - 1
    assert len(handles.new()) < MAX_HANDLE_BYTES
