"""Gearman workers whose cell the front file does not name share none with any other worker."""

from __future__ import annotations

import asyncio

import pytest
from loopback import SETTINGS, Catalog, GearmanPeer, HttpClient, Planner, async_test, program

FRONT = """
[gearman]
listen = ["127.0.0.1:0"]
[gearman.functions]
book = { class = "book" }
"""
QUOTE, BOOK = SETTINGS["services"]
CELL_SCOPE = {"services": [QUOTE, BOOK | {"keyScope": "cell"}]}


@pytest.mark.parametrize(
    "location, is_repeated",
    [("", False), ("[gearman.workers]\ncell = 0\n", True), ("[gearman.workers]\ncell = 1\n", False)],
)
def test_a_booking_lost_at_a_gearman_worker_is_repeated_in_a_stated_cell_alone(
    location: str, is_repeated: bool
) -> None:
    """Guards against cell 0 of Gearman workers of which no cell is known: a booking that was lost at one of
    them ran again at a planner of cell 0."""

    @async_test
    async def run() -> None:
        async with (
            Planner("p1") as planner,  # in cell 0
            Catalog() as catalog,
            program(catalog=catalog, front=FRONT + location, settings=CELL_SCOPE) as running,
        ):
            worker = await GearmanPeer.to(running.gearman_port)
            await worker.register(b"book")
            client = await HttpClient.to(running.port)
            client.ask("b1", "book", Idempotency_Key="k1", X_Deadline="2.000")
            await worker.grab()
            catalog.tell(await catalog.watches.get(), False, [planner.line()])
            worker.writer.close()
            assert (await client.answer())[0] == (200 if is_repeated else 500)
            assert bool(planner.runs) is is_repeated

    run()


@async_test
async def test_a_booking_lost_at_a_gearman_worker_of_unknown_cell_is_repeated_at_no_other_one() -> None:
    """Guards against a cell of all Gearman workers, which may be anywhere."""
    async with program(front=FRONT, settings=CELL_SCOPE) as running:
        workers = [await GearmanPeer.to(running.gearman_port) for _ in range(2)]
        for worker in workers:
            await worker.register(b"book")
        client = await HttpClient.to(running.port)
        client.ask("b1", "book", Idempotency_Key="k1", X_Deadline="1.000")
        grabs = [asyncio.create_task(worker.grab()) for worker in workers]
        done, pending = await asyncio.wait(grabs, return_when=asyncio.FIRST_COMPLETED)
        [first] = done
        workers[grabs.index(first)].writer.close()
        assert (await client.answer())[0] == 500
        assert not any(grab.done() for grab in pending)
        for grab in pending:
            grab.cancel()
