"""Memory, descriptors, CPU and timers that one scheduler needs for the requests in flight that it holds."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from functools import partial
from typing import Any
from unittest.mock import Mock

import uvloop

from benchmarks.capacity.machine import measure_rows, watch_loop_lag
from benchmarks.capacity.records import Row
from benchmarks.capacity.serving import (
    PROGRESS_MS,
    TASK_DEADLINE_S,
    Catalog,
    ListedPlanner,
    Planners,
    Scheduler,
    configuration,
    request,
    scheduler,
)
from pipitshed.config.settings_parser import settings_from
from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.request import Request
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import EndpointEntry, ProgressKind, UpdateKind

SLOPE = "held"
SIZES = (50, 100, 200, 400, 800)  # requests in flight at one scheduler
PLANNERS = 4600
PORTS = 64
MEASURED_S = 3 * PROGRESS_MS / 1000
START_TIMEOUT_S = 15.0


class _TimerRecordingLoop:
    """An event loop that records the timers that are set on it."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.call_soon, self.time = self._loop.call_soon, self._loop.time
        self.timers: list[asyncio.TimerHandle] = []

    def call_at(self, when: float, *call: Any) -> asyncio.TimerHandle:
        self.timers.append(self._loop.call_at(when, *call))
        return self.timers[-1]


class _StartedWorkerClient:
    """A worker client that records the attempt and never completes it."""

    def __init__(self) -> None:
        self.started: asyncio.Future[Attempt] = asyncio.get_running_loop().create_future()

    def start(self, attempt: Attempt) -> None:
        self.started.set_result(attempt)


def timers_per_request(config: dict[str, Any]) -> int:
    """Count the pending timers of one request whose attempt has started, in the forwarder alone; the client's
    connection has none at that point."""

    async def run() -> int:
        loop, settings = _TimerRecordingLoop(), settings_from(config["settings"])
        forwarder, client = Forwarder(settings, 1, loop), _StartedWorkerClient()  # type: ignore[arg-type]
        forwarder.attach_discovery(lambda watch: None)
        forwarder.endpoints.update(
            "capacity",
            UpdateKind.SNAPSHOT,
            1,
            [(EndpointEntry(b"p"), Endpoint(b"p", client, ("127.0.0.1", 1)))],
        )  # type: ignore[arg-type]
        await asyncio.sleep(0.01)
        before = set(loop.timers)
        forwarder.submit(Request("a", 2, TASK_DEADLINE_S * 1000, 0), Mock())
        attempt = await client.started
        forwarder.attempt_sent(attempt)
        forwarder.attempt_progressed(attempt, ProgressKind.STARTED)
        await asyncio.sleep(0.01)
        return sum(not handle.cancelled() for handle in loop.timers if handle not in before)

    return asyncio.run(run())


async def _hold(running: Scheduler, planners: Planners, count: int) -> list[asyncio.StreamWriter]:
    writers = []
    for number in range(count):
        _, writer = await asyncio.open_connection("127.0.0.1", running.port)
        writer.write(request(f"h{number}", "task", TASK_DEADLINE_S))
        writers.append(writer)
    async with asyncio.timeout(START_TIMEOUT_S):
        while len(planners.connections) < count:
            await asyncio.sleep(0.05)
    return writers


async def _measure(size: int) -> Row:
    planners, catalog = Planners(), Catalog()
    await planners.start(PORTS)
    catalog.members = [ListedPlanner(number, planners.ports[number % PORTS]) for number in range(PLANNERS)]
    await catalog.start()
    config = configuration(catalog.port, 4, sockets=4096)
    writers: list[asyncio.StreamWriter] = []
    try:
        async with watch_loop_lag() as lag, scheduler(config) as running:
            if not await running.served(20.0):
                return Row(SLOPE, size, "calm", {}, False, "no job was served within 20 s")
            await running.wait_until_idle()
            planners.work_s = None
            for connection in list(planners.connections):
                connection.transport.abort()
            before = running.memory_mb()
            try:
                writers = await _hold(running, planners, size)
            except TimeoutError:
                return Row(
                    SLOPE,
                    size,
                    "calm",
                    {"held": float(len(planners.connections))},
                    False,
                    f"not all began within {START_TIMEOUT_S:.0f} s",
                )
            cpu = running.cpu_s()
            await asyncio.sleep(MEASURED_S)
            cpu = running.cpu_s() - cpu
            figures = {
                "held": float(len(planners.connections)),
                "memory_mb": running.memory_mb(),
                "memory_added_mb": running.memory_mb() - before,
                "cpu_share": cpu / MEASURED_S,
                "descriptors": float(running.descriptors()),
            }
        return Row(SLOPE, size, "calm", figures, not lag.why_not, lag.why_not)
    finally:
        for writer in writers:
            writer.transport.abort()
        catalog.close()
        planners.close()


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """One row for each number of requests in flight, with progress notes every 2 s."""
    rows = uvloop.run(measure_rows([partial(_measure, size) for size in sizes], limit_s))
    each = float(timers_per_request(configuration(1, 4)))
    for row in rows:
        row.figures["timers_each"] = each
    return rows
