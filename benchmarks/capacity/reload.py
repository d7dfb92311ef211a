"""The cost of a configuration read again (SIGHUP), by teams."""

from __future__ import annotations

import json
import signal
import statistics
from collections.abc import Sequence
from functools import partial
from time import monotonic

import uvloop

from benchmarks.capacity.machine import in_time, lateness
from benchmarks.capacity.records import Row
from benchmarks.capacity.serving import Catalog, Listed, Planners, configuration, scheduler

SLOPE = "reload"
SIZES = (10, 50, 100, 200, 380)  # teams
PLANNERS = 4600
ROUNDS = 9


async def _one(teams: int) -> Row:
    planners, catalog = Planners(), Catalog()
    await planners.start(8)
    catalog.members = [Listed(number, planners.ports[number % 8]) for number in range(PLANNERS)]
    await catalog.start()
    made = configuration(catalog.port, teams)
    cpu, took = [], []
    try:
        async with lateness() as late, scheduler(made) as running:
            if not await running.served(20.0):
                return Row(SLOPE, teams, "calm", {}, False, "no job was served within 20 s")
            for number in range(ROUNDS):
                made["settings"]["tenants"][0]["allowancePerS"] = 100.0 + number
                (running.folder / "config.json").write_text(json.dumps(made))
                await running.idle()
                before, began = running.cpu_s(), monotonic()
                running.process.send_signal(signal.SIGHUP)
                await running.line("configuration reloaded")
                took.append((monotonic() - began) * 1000)
                await running.job()  # the pools are made anew by the first job behind it
                await running.idle()
                cpu.append((running.cpu_s() - before) * 1000)
            figures = {
                "cpu_ms": statistics.median(cpu),
                "worst_cpu_ms": max(cpu),
                "in_force_ms": statistics.median(took),
                "file_bytes": float(len(json.dumps(made))),
            }
        return Row(SLOPE, teams, "calm", figures, not late.why_not, late.why_not)
    finally:
        catalog.close()
        planners.close()


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """A row for each number of teams, before 4,600 listed planners."""
    return uvloop.run(in_time([partial(_one, teams) for teams in sizes], limit_s))
