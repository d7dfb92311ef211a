"""Cost of a configuration reload (SIGHUP) by the number of teams."""

from __future__ import annotations

import json
import signal
import statistics
from collections.abc import Sequence
from functools import partial
from time import monotonic

import uvloop

from benchmarks.capacity.machine import measure_rows, watch_loop_lag
from benchmarks.capacity.records import Row
from benchmarks.capacity.serving import Catalog, ListedPlanner, Planners, configuration, scheduler

SLOPE = "reload"
SIZES = (10, 50, 100, 200, 380)  # teams
PLANNERS = 4600
ROUNDS = 9


async def _measure(teams: int) -> Row:
    planners, catalog = Planners(), Catalog()
    await planners.start(8)
    catalog.members = [ListedPlanner(number, planners.ports[number % 8]) for number in range(PLANNERS)]
    await catalog.start()
    config = configuration(catalog.port, teams)
    cpu, in_force_ms = [], []
    try:
        async with watch_loop_lag() as lag, scheduler(config) as running:
            if not await running.served(20.0):
                return Row(SLOPE, teams, "calm", {}, False, "no job was served within 20 s")
            for number in range(ROUNDS):
                config["settings"]["tenants"][0]["allowancePerS"] = 100.0 + number
                (running.folder / "config.json").write_text(json.dumps(config))
                await running.wait_until_idle()
                before, began = running.cpu_s(), monotonic()
                running.process.send_signal(signal.SIGHUP)
                await running.wait_for_log_line("configuration reloaded")
                in_force_ms.append((monotonic() - began) * 1000)
                await running.send_job()  # the first job after a reload rebuilds the pools
                await running.wait_until_idle()
                cpu.append((running.cpu_s() - before) * 1000)
            figures = {
                "cpu_ms": statistics.median(cpu),
                "worst_cpu_ms": max(cpu),
                "in_force_ms": statistics.median(in_force_ms),
                "file_bytes": float(len(json.dumps(config))),
            }
        return Row(SLOPE, teams, "calm", figures, not lag.why_not, lag.why_not)
    finally:
        catalog.close()
        planners.close()


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """One row for each number of teams, with 4,600 listed planners."""
    return uvloop.run(measure_rows([partial(_measure, teams) for teams in sizes], limit_s))
