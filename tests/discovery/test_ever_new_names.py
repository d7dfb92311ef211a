"""Discovery that lists workers under ever new names takes a bounded memory."""

from __future__ import annotations

import json

from loopback import Catalog, HttpClient, Planner, program, slow_async_test, wait_until_healthy
from pressure import drained_log, watched_memory

from pipitshed.discovery.catalog import NameIndex
from pipitshed.discovery.catalog.endpoint_parser import MAX_NAMES, OVERFLOW_INDEX

LIMIT_MB = 32
UPDATES, WORKERS_EACH = 300, 200


def test_names_beyond_the_bound_share_one_number() -> None:
    names = NameIndex(["a"])
    numbers = [names.index(f"zone-{number}") for number in range(MAX_NAMES + 10)]
    assert numbers[: MAX_NAMES - 1] == list(range(1, MAX_NAMES))
    assert set(numbers[MAX_NAMES - 1 :]) == {OVERFLOW_INDEX}
    assert names.index("zone-5") == 6 and names.index("x" * 10_000) == OVERFLOW_INDEX


def test_ever_new_workers_stay_within_the_memory_limit() -> None:
    @slow_async_test
    async def run() -> None:
        async with (
            Planner("p1") as planner,
            Catalog(planner) as catalog,
            program(planner, catalog=catalog, memory_mb=LIMIT_MB) as running,
        ):
            await wait_until_healthy(running.port)
            writer = await catalog.watches.get()
            row = planner.line("draining")
            with watched_memory(running) as watch:
                async with drained_log(running):
                    for update in range(UPDATES):
                        names = [f"{update}-{number}" for number in range(WORKERS_EACH)]
                        rows = [row | {"instanceId": f"w{name}", "zone": f"z{name}"} for name in names]
                        catalog.tell(writer, False, rows)
                        await writer.drain()
                    client = await HttpClient.to(running.port)
                    client.ask("usual")
                    assert (await client.answer())[0] == 200
            assert len(json.dumps(rows)) < 256 * 1024 and watch.peak_mb < LIMIT_MB, watch

    run()
