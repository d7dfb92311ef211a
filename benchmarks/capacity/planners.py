"""Cost of listed planners at a `serve` process: start, list, changes, a lost zone, jobs and memory."""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import Sequence
from functools import partial
from time import monotonic

import uvloop

from benchmarks.capacity.machine import measure_rows, watch_loop_lag
from benchmarks.capacity.records import Row
from benchmarks.capacity.serving import (
    ZONES,
    Catalog,
    ListedPlanner,
    Planners,
    Scheduler,
    configuration,
    scheduler,
)

SLOPE = "planners"
SIZES = (200, 575, 1150, 2300, 4600, 9200)
FIRST_JOB_TIMEOUT_S = 8.0  # a list without a served job by then counts as not accepted
WARM_JOBS = 100
JOBS = 300
ROUNDS, CHANGES = 7, 20  # the figure is the median of the rounds
REST_S = 4.0
SPACING_S = 0.002  # between a change and the job that follows, so that the change is read first


def _with_lifecycle(members: Sequence[ListedPlanner], lifecycle: str) -> Sequence[ListedPlanner]:
    for member in members:
        member.lifecycle = lifecycle
    return members


async def _one_read_cpu_s(catalog: Catalog, running: Scheduler, members: Sequence[ListedPlanner]) -> float:
    """CPU time (s) of these rows in one update and one job that follows."""
    before = running.cpu_s()
    catalog.announce(*members)
    await running.wait_until_idle()
    await running.send_job()
    await running.wait_until_idle()
    return running.cpu_s() - before


async def _separate_reads_cpu_s(
    catalog: Catalog, running: Scheduler, members: Sequence[ListedPlanner]
) -> float:
    """CPU time (s) of these rows in one update each, each followed by a job."""
    before = running.cpu_s()
    for member in members:
        catalog.announce(member)
        await asyncio.sleep(SPACING_S)
        await running.send_job()
    await running.wait_until_idle()
    return running.cpu_s() - before


async def _measure_taken_list(
    catalog: Catalog, running: Scheduler, members: Sequence[ListedPlanner]
) -> dict[str, float]:
    """Figures of list changes and jobs, once the list is accepted."""
    await running.wait_until_idle()
    figures = {"start_cpu_ms": running.cpu_s() * 1000, "memory_mb": running.memory_mb()}
    for _ in range(WARM_JOBS):
        await running.send_job()
    before = running.cpu_s()
    for _ in range(JOBS):
        await running.send_job()
    await running.wait_until_idle()
    figures["job_us"] = (running.cpu_s() - before) / JOBS * 1e6
    before, began = running.cpu_s(), monotonic()
    await asyncio.sleep(REST_S)
    figures["rest_share"] = (running.cpu_s() - before) / (monotonic() - began)
    rounds = []
    for number in range(ROUNDS):
        changed = members[number * CHANGES : (number + 1) * CHANGES]
        rounds.append(
            await _separate_reads_cpu_s(catalog, running, _with_lifecycle(changed, "draining"))
            / len(changed)
            * 1e6
        )
        await _one_read_cpu_s(catalog, running, _with_lifecycle(changed, "ready"))
    figures["change_us"] = statistics.median(rounds)
    lost = [member for member in members if member.zone == ZONES[-1]]
    figures["zone_one_read_ms"] = (
        await _one_read_cpu_s(catalog, running, _with_lifecycle(lost, "gone")) * 1000
    )
    await _one_read_cpu_s(catalog, running, _with_lifecycle(lost, "ready"))
    figures["zone_single_ms"] = (
        await _separate_reads_cpu_s(catalog, running, _with_lifecycle(lost, "gone")) * 1000
    )
    figures["zone_row_us"] = figures["zone_single_ms"] / len(lost) * 1000
    return figures | {
        "zone_rows": float(len(lost)),
        "descriptors": float(running.descriptors()),
        "memory_after_mb": running.memory_mb(),
    }


async def _measure(planners: Planners, size: int, indented: bool) -> Row:
    catalog = Catalog()
    catalog.indented = indented
    members = [ListedPlanner(number, port) for number, port in enumerate(planners.ports[:size])]
    catalog.members = members
    list_bytes = catalog.build_list()
    await catalog.start()
    try:
        async with watch_loop_lag() as lag, scheduler(configuration(catalog.port, 4)) as running:
            taken = await running.served(FIRST_JOB_TIMEOUT_S)
            figures = {
                "taken": float(taken),
                "lists_asked": float(catalog.list_requests),
                "list_bytes": float(list_bytes),
            }
            if taken:
                figures["first_job_ms"] = (monotonic() - running.began) * 1000
                if not indented:
                    figures |= await _measure_taken_list(catalog, running, members)
        return Row(SLOPE, size, "indented" if indented else "compact", figures, not lag.why_not, lag.why_not)
    finally:
        catalog.close()


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """Two rows for each size: the compact list with all figures, and the indented list."""

    async def run() -> list[Row]:
        planners = Planners()
        await planners.start(max(sizes))
        try:
            return await measure_rows(
                [partial(_measure, planners, size, indented) for size in sizes for indented in (False, True)],
                limit_s,
            )
        finally:
            planners.close()

    return uvloop.run(run())
