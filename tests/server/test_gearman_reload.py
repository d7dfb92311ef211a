"""Gearman clients and workers across a reload at SIGHUP: functions follow the classes of the new file."""

import asyncio
import json
from typing import Any

from loopback import (
    FRONT,
    NON_IDEMPOTENT_BOOK,
    SETTINGS,
    GearmanPeer,
    HttpClient,
    Program,
    async_test,
    program,
)

from pipitshed.protocols.gearman import PacketType

QUOTE, BOOK = SETTINGS["services"]
TIMELY_ANSWER_S = 2.5  # less than the class's deadline before the reload, 5 s


async def reload_classes(running: Program, *services: dict[str, Any]) -> None:
    """Send SIGHUP with these classes, and wait until they are in force."""
    raw = json.loads(running.config.read_text())
    raw["settings"]["services"] = services
    running.reload(json.dumps(raw))
    await running.logged("settings applied")


@async_test
async def test_a_booking_is_not_repeated_after_a_reload_has_made_its_class_non_idempotent() -> None:
    """Guards against jobs of Gearman functions that are submitted under the class of the start: a booking was
    run twice, as the class that the start's file defined permitted a second run."""
    async with program(front=FRONT) as running:
        first, client = [await GearmanPeer.to(running.gearman_port) for _ in range(2)]
        await first.register(b"book_pallet")
        await reload_classes(running, *NON_IDEMPOTENT_BOOK["services"])
        handle = await client.submit(b"book_pallet", b"b1", b"six")
        await first.grab()
        second = await GearmanPeer.to(running.gearman_port)
        await second.register(b"book_pallet")
        first.writer.transport.abort()
        assert await client.expect(PacketType.WORK_FAIL) == [handle]
        assert await second.is_asleep()


@async_test
async def test_a_job_in_progress_keeps_the_class_with_which_it_was_submitted() -> None:
    """Guards against workers that are listed for the new number of a class alone: a job under its old number
    would find none."""
    async with program(front=FRONT) as running:
        first, second, client = [await GearmanPeer.to(running.gearman_port) for _ in range(3)]
        await first.register(b"book_pallet")
        handle = await client.submit(b"book_pallet", b"b1", b"six")
        await first.grab()
        await second.register(b"book_pallet")
        await reload_classes(running, *NON_IDEMPOTENT_BOOK["services"])
        first.writer.transport.abort()
        attempt, _, _ = await second.grab()
        second.send(PacketType.WORK_COMPLETE, attempt, b"booked")
        assert await client.expect(PacketType.WORK_COMPLETE) == [handle, b"booked"]


@async_test
async def test_http_clients_reach_gearman_workers_after_a_reload() -> None:
    """Guards against workers that stay listed for the class numbers of the start: HTTP jobs of a changed
    class were rejected, whatever worker was free."""
    async with program(front=FRONT) as running:
        worker = await GearmanPeer.to(running.gearman_port)
        await worker.register(b"plan_quote")
        await reload_classes(running, QUOTE | {"goalTime": 2000.0}, BOOK)
        client = await HttpClient.to(running.port)
        client.ask("a1", body=b"six")
        attempt, function, _ = await worker.grab()
        worker.send(PacketType.WORK_COMPLETE, attempt, b"plan")
        assert (function, (await client.answer())[::2]) == (b"plan_quote", (200, b"plan"))


@async_test
async def test_a_resubmission_after_a_reload_joins_the_first_submission() -> None:
    """Guards against a deduplication by class number, which a reload changes: a booking would run twice."""
    async with program(front=FRONT) as running:
        worker, gone, client, late = [await GearmanPeer.to(running.gearman_port) for _ in range(4)]
        await worker.register(b"book_pallet")
        await gone.submit(b"book_pallet", b"b1", b"six")
        attempt, _, _ = await worker.grab()
        await reload_classes(running, *NON_IDEMPOTENT_BOOK["services"])
        handle = await client.submit(b"book_pallet", b"b1", b"six")
        worker.send(PacketType.WORK_COMPLETE, attempt, b"booked")
        worker.send(PacketType.PRE_SLEEP)
        assert await client.expect(PacketType.WORK_COMPLETE) == [handle, b"booked"]
        handle = await late.submit(b"book_pallet", b"b1", b"six")
        assert await late.expect(PacketType.WORK_COMPLETE) == [handle, b"booked"]
        assert await worker.is_asleep()


@async_test
async def test_a_shorter_deadline_applies_to_jobs_submitted_after_the_reload() -> None:
    """Guards against functions that keep the deadline of the start."""
    loop = asyncio.get_running_loop()
    async with program(front=FRONT) as running:
        await reload_classes(running, QUOTE | {"deadline": 400.0, "goalTime": 200.0}, BOOK)
        client = await GearmanPeer.to(running.gearman_port)
        submitted_at = loop.time()
        handle = await client.submit(b"plan_quote", b"", b"six")
        assert (await client.expect(PacketType.WORK_WARNING))[0] == handle
        assert await client.expect(PacketType.WORK_FAIL) == [handle]
        assert loop.time() - submitted_at < TIMELY_ANSWER_S


@async_test
async def test_a_dropped_class_is_accepted_for_its_grace_period_alone() -> None:
    """Guards against functions whose class the file in force lacks: their jobs were accepted for good."""
    async with program(front=FRONT) as running:
        worker, client = [await GearmanPeer.to(running.gearman_port) for _ in range(2)]
        await worker.register(b"book_pallet")
        await reload_classes(running, QUOTE)
        await running.logged("classes accepted now: quote")
        client.send(PacketType.SUBMIT_JOB, b"book_pallet", b"b1", b"six")
        assert (await client.expect(PacketType.ERROR))[0] == b"ERR_UNKNOWN_FUNCTION"
        await reload_classes(running, QUOTE, BOOK)
        await running.logged("added book")
        handle = await client.submit(b"book_pallet", b"b1", b"six")
        attempt, _, _ = await worker.grab()
        worker.send(PacketType.WORK_COMPLETE, attempt, b"booked")
        assert await client.expect(PacketType.WORK_COMPLETE) == [handle, b"booked"]
