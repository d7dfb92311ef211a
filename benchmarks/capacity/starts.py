"""Cost of starts: a constant rate of short jobs at one scheduler with 4,600 listed planners."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from functools import partial
from time import monotonic

import uvloop

from benchmarks.capacity.machine import measure_rows, waited_s, watch_loop_lag
from benchmarks.capacity.records import Row
from benchmarks.capacity.serving import (
    Catalog,
    ListedPlanner,
    Planners,
    Scheduler,
    answer,
    configuration,
    request,
    scheduler,
)

SLOPE = "starts"
SIZES = (1, 4, 20, 70, 140, 280)  # starts a second at one scheduler
PLANNERS = 4600
PORTS = 1024
WORK_S = 0.1
LOAD_DURATION_S = 12.0

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def percentile(values: Sequence[float], share: float) -> float:
    """The percentile of the values at a share from 0 to 1."""
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


async def _send_request(
    running: Scheduler, number: str, free: list[Connection], answers: dict[int, int]
) -> None:
    connection = free.pop() if free else await asyncio.open_connection("127.0.0.1", running.port)
    connection[1].write(request(number, "quote", 5.0))
    status = await answer(connection[0])
    answers[status] = answers.get(status, 0) + 1
    free.append(connection)


async def _load(running: Scheduler, planners: Planners, rate: int) -> dict[str, float]:
    free: list[Connection] = []
    answers: dict[int, int] = {}
    sent_at: dict[str, float] = {}
    tasks = []
    await running.wait_until_idle()
    cpu, waited, began = running.cpu_s(), waited_s(running.pid), monotonic()
    for number in range(int(rate * LOAD_DURATION_S)):
        await asyncio.sleep(max(0.0, began + number / rate - monotonic()))
        sent_at[f"s{number}"] = monotonic()
        tasks.append(asyncio.create_task(_send_request(running, f"s{number}", free, answers)))
    await asyncio.gather(*tasks)
    cpu = running.cpu_s() - cpu
    waited = waited_s(running.pid) - waited
    waits = [
        (planners.arrived_at[name] - at) * 1000 for name, at in sent_at.items() if name in planners.arrived_at
    ]
    descriptors = running.descriptors()
    for _, writer in free:
        writer.transport.abort()
    return {
        "cpu_share": cpu / (monotonic() - began),
        "start_us": cpu / len(sent_at) * 1e6,
        "p50_ms": percentile(waits, 0.5),
        "p99_ms": percentile(waits, 0.99),
        "worst_ms": max(waits),
        "served": float(answers.get(200, 0)),
        "not_served": float(len(sent_at) - answers.get(200, 0)),
        "waited_share": waited / (monotonic() - began),
        "descriptors": float(descriptors),
        "memory_mb": running.memory_mb(),
    }


async def _measure(rate: int) -> Row:
    planners, catalog = Planners(), Catalog()
    await planners.start(PORTS)
    catalog.members = [ListedPlanner(number, planners.ports[number % PORTS]) for number in range(PLANNERS)]
    await catalog.start()
    try:
        async with watch_loop_lag() as lag, scheduler(configuration(catalog.port, 4)) as running:
            if not await running.served(20.0):
                return Row(SLOPE, rate, "calm", {}, False, "no job was served within 20 s")
            planners.work_s = WORK_S
            figures = await _load(running, planners, rate)
        return Row(SLOPE, rate, "calm", figures, not lag.why_not, lag.why_not)
    finally:
        catalog.close()
        planners.close()


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """One row for each rate of starts."""
    return uvloop.run(measure_rows([partial(_measure, rate) for rate in sizes], limit_s))
