"""A request's time runs from the arrival of its first bytes, also while it waits behind others."""

from __future__ import annotations

import asyncio
from time import monotonic

import pytest
from loopback import FRONT, GearmanPeer, HttpClient, Planner, Run, async_test, program

from pipitshed.protocols.gearman import PacketType

HELD_S = 0.4  # for which something holds up a request
TOLD_SLACK_S = 0.15  # by which the time that a worker is told may exceed what the client has left
ANSWER_SLACK_S = 0.15  # after what held up the answer


def serve_slowly(run: Run) -> None:
    """Start a job at once, and end it after HELD_S."""
    run.send_event("started")
    asyncio.get_running_loop().call_later(HELD_S, run.send_event, "done")


def assert_told_what_is_left(run: Run, sent_at: float, timeout_s: float) -> None:
    """The worker that has just got this run was told no more than its client has left."""
    left_s = sent_at + timeout_s - monotonic()
    assert float(run.headers["x-deadline"]) <= left_s + TOLD_SLACK_S


@async_test
async def test_a_request_behind_another_is_counted_from_its_arrival() -> None:
    async with Planner("p1", act=serve_slowly) as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        sent_at = monotonic()
        for number in range(3):
            client.ask(f"a{number}", X_Deadline="2.000")
        for number in range(3):
            assert_told_what_is_left(await planner.wait_for(number + 1), sent_at, 2.0)
        assert [(await client.answer())[0] for _ in range(3)] == [200] * 3


@async_test
async def test_a_request_whose_time_ends_behind_another_is_refused_and_does_not_run() -> None:
    async with Planner("p1", act=serve_slowly) as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        client.ask("slow")
        for number in range(4):
            client.ask(f"late-{number}", X_Deadline="0.200")
        assert (await client.answer())[0] == 200
        answered_at = monotonic()
        for _ in range(4):
            status, headers, _ = await client.answer()
            assert status == 503 and float(headers["retry-after"]) > 0
        assert monotonic() - answered_at <= ANSWER_SLACK_S
        client.ask("in-time")
        assert (await client.answer())[0] == 200
        assert [run.headers["x-request-id"] for run in planner.runs] == ["slow", "in-time"]


@pytest.mark.parametrize("cut", [4, 60, -1], ids=["in the method", "in the head", "in the body"])
def test_a_request_in_pieces_is_counted_from_its_first_bytes(cut: int) -> None:
    @async_test
    async def run() -> None:
        async with Planner("p1") as planner, program(planner) as running:
            reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
            data = (
                b"POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: a1\r\nX-Class: quote\r\n"
                b"X-Tenant: andes-retail\r\nX-Deadline: 2.000\r\nContent-Length: 7\r\n\r\npallets"
            )
            sent_at = monotonic()
            writer.write(data[:cut])
            asyncio.get_running_loop().call_later(HELD_S, writer.write, data[cut:])
            assert_told_what_is_left(await planner.wait_for(1), sent_at, 2.0)
            assert await HttpClient(reader, writer).answer()
            writer.close()

    run()


@async_test
async def test_the_second_request_of_a_connection_is_counted_anew() -> None:
    """The time that a connection was open or busy before is not taken from its next request."""
    async with Planner("p1", act=serve_slowly) as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        for number in range(3):
            client.ask(f"a{number}", X_Deadline="0.600")
            assert (await client.answer())[0] == 200
            assert float(planner.runs[number].headers["x-deadline"]) > 0.6 - TOLD_SLACK_S


@async_test
async def test_jobs_of_a_gearman_client_wait_for_no_other() -> None:
    """Jobs that are submitted at once on one connection are started at once, each with its whole time."""
    async with Planner("p1", act=serve_slowly) as planner, program(planner, front=FRONT) as running:
        client = await GearmanPeer.to(running.gearman_port)
        sent_at = monotonic()
        for number in range(6):
            client.send(PacketType.SUBMIT_JOB, b"plan_quote", b"u%d" % number, b"pallets")
        await planner.wait_for(6)
        assert monotonic() - sent_at < HELD_S
        for run in planner.runs:
            assert 5.0 - TOLD_SLACK_S - HELD_S < float(run.headers["x-deadline"]) <= 5.0
