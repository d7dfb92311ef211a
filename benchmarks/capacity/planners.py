"""What listed planners cost: the start, a list, a change, a lost zone, a job, memory and descriptors."""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import Sequence
from functools import partial
from time import monotonic

import uvloop

from benchmarks.capacity.machine import in_time, lateness
from benchmarks.capacity.records import Row
from benchmarks.capacity.serving import ZONES, Catalog, Listed, Planners, Scheduler, configuration, scheduler

SLOPE = "planners"
SIZES = (200, 575, 1150, 2300, 4600, 9200)
FIRST_WITHIN_S = 8.0  # a list that is not taken by then is not taken
WARM_JOBS = 100
JOBS = 300
ROUNDS, CHANGES = 7, 20  # the median of the rounds is told
AT_REST_S = 4.0
SPACING_S = 0.002  # between a change and the job behind it, so that the change is read first


def _as(members: Sequence[Listed], lifecycle: str) -> Sequence[Listed]:
    for member in members:
        member.lifecycle = lifecycle
    return members


async def _tell(catalog: Catalog, running: Scheduler, members: Sequence[Listed]) -> float:
    """CPU (s) of one read of these rows and the job behind it."""
    before = running.cpu_s()
    catalog.announce(*members)
    await running.idle()
    await running.job()
    await running.idle()
    return running.cpu_s() - before


async def _single(catalog: Catalog, running: Scheduler, members: Sequence[Listed]) -> float:
    """CPU (s) of these rows in a read each, a job behind each."""
    before = running.cpu_s()
    for member in members:
        catalog.announce(member)
        await asyncio.sleep(SPACING_S)
        await running.job()
    await running.idle()
    return running.cpu_s() - before


async def _calm(catalog: Catalog, running: Scheduler, members: Sequence[Listed]) -> dict[str, float]:
    """Changes and jobs, on a list that is taken."""
    await running.idle()
    figures = {"start_cpu_ms": running.cpu_s() * 1000, "memory_mb": running.memory_mb()}
    for _ in range(WARM_JOBS):
        await running.job()
    before = running.cpu_s()
    for _ in range(JOBS):
        await running.job()
    await running.idle()
    figures["job_us"] = (running.cpu_s() - before) / JOBS * 1e6
    before, began = running.cpu_s(), monotonic()
    await asyncio.sleep(AT_REST_S)
    figures["rest_share"] = (running.cpu_s() - before) / (monotonic() - began)
    rounds = []
    for number in range(ROUNDS):
        changed = members[number * CHANGES : (number + 1) * CHANGES]
        rounds.append(await _single(catalog, running, _as(changed, "draining")) / len(changed) * 1e6)
        await _tell(catalog, running, _as(changed, "ready"))
    figures["change_us"] = statistics.median(rounds)
    lost = [member for member in members if member.zone == ZONES[-1]]
    figures["zone_one_read_ms"] = await _tell(catalog, running, _as(lost, "gone")) * 1000
    await _tell(catalog, running, _as(lost, "ready"))
    figures["zone_single_ms"] = await _single(catalog, running, _as(lost, "gone")) * 1000
    figures["zone_row_us"] = figures["zone_single_ms"] / len(lost) * 1000
    return figures | {
        "zone_rows": float(len(lost)),
        "descriptors": float(running.descriptors()),
        "memory_after_mb": running.memory_mb(),
    }


async def _one(planners: Planners, size: int, indented: bool) -> Row:
    catalog = Catalog()
    catalog.indented = indented
    members = [Listed(number, port) for number, port in enumerate(planners.ports[:size])]
    catalog.members = members
    size_of = catalog.make()
    await catalog.start()
    try:
        async with lateness() as late, scheduler(configuration(catalog.port, 4)) as running:
            taken = await running.served(FIRST_WITHIN_S)
            figures = {
                "taken": float(taken),
                "lists_asked": float(catalog.asked),
                "list_bytes": float(size_of),
            }
            if taken:
                figures["first_job_ms"] = (monotonic() - running.began) * 1000
                if not indented:
                    figures |= await _calm(catalog, running, members)
        return Row(
            SLOPE, size, "indented" if indented else "compact", figures, not late.why_not, late.why_not
        )
    finally:
        catalog.close()


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """Two rows a size: the list compact, with all figures, and indented."""

    async def run() -> list[Row]:
        planners = Planners()
        await planners.start(max(sizes))
        try:
            return await in_time(
                [partial(_one, planners, size, indented) for size in sizes for indented in (False, True)],
                limit_s,
            )
        finally:
            planners.close()

    return uvloop.run(run())
