"""Cost of planner lists at a scheduler: a list that is read in full, and a day of replaced planners.

Runs in this process on the program's own catalog client, endpoint table, forwarder and dispatcher.
No sockets are used.
"""

from __future__ import annotations

import asyncio
import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import uvloop

from pipitshed.discovery.catalog import SOURCE, CatalogClient, EndpointParser, NameIndex
from pipitshed.discovery.catalog.watch import CatalogCall
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.scheduling.settings import JobClass, Settings
from pipitshed.upstream.http import HttpWorkerClient

DAY_S = 86_400.0
READ_BYTES = 64 * 1024  # size of one read of the catalog connection
ZONES = [f"zone-{number}" for number in range(7)]
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def planner_row(number: int, started: int = 0, lifecycle: str = "ready") -> dict[str, Any]:
    """One planner as discovery lists it, in cells of twelve and spread over all zones."""
    host = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    return {
        "instanceId": f"s-{number:08x}",
        "hostPort": f"{host}:5000",
        "zone": ZONES[number % len(ZONES)],
        "machineType": "standard",
        "cell": number // 12,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started,
    }


def list_update(generation: int, reset: bool, rows: list[dict[str, Any]], indented: bool = False) -> bytes:
    """One update of the list as a watch delivers it."""
    separators = None if indented else (",", ":")
    return (
        json.dumps(
            {"generation": generation, "reset": reset, "instances": rows},
            indent=2 if indented else None,
            separators=separators,
        ).encode()
        + b"\n"
    )


class WatchingScheduler:
    """A scheduler that watches the list; the received bytes go through the program's own classes."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.forwarder = Forwarder(
            Settings(
                classes=(JobClass(latency_objective_ms=300.0, deadline_ms=5000.0),), zone_count=len(ZONES)
            ),
            1,
            loop,
        )
        self.worker_client = HttpWorkerClient(self.forwarder, [], loop)
        listing = EndpointParser(SOURCE, NameIndex(ZONES), NameIndex(["standard"]), self.worker_client)
        self.discovery = CatalogClient(("127.0.0.1", 1), listing, self.forwarder.endpoints, loop)
        self.call = CatalogCall(self.discovery, True)
        self.call.data_received(RESPONSE_HEAD)
        self.turns: list[float] = []  # CPU time (s) of each loop turn that processed the list
        self.forwarder._dispatch_loop._run_turn = self._timed(self.forwarder._dispatch_loop._run_turn)  # type: ignore[method-assign]
        self.discovery._apply_pending = self._timed(self.discovery._apply_pending)  # type: ignore[method-assign]

    def _timed(self, work: Callable[..., None]) -> Callable[..., None]:
        def timed(*args: Any) -> None:
            start_s = time.process_time()  # wall time would include other processes
            work(*args)
            self.turns.append(time.process_time() - start_s)

        return timed

    async def read(self, text: bytes, version: int, size: int = READ_BYTES) -> None:
        """Feed the text in reads of `size` bytes, one for each loop turn, until the list has this version."""
        feed = self._timed(self.call.data_received)
        for offset in range(0, len(text), size):
            part = text[offset : offset + size]
            feed(b"%x\r\n%s\r\n" % (len(part), part))
            await asyncio.sleep(0)
        while self.discovery.version < version:
            await asyncio.sleep(0)
        await asyncio.sleep(0)  # the turn in which the dispatcher handles the list


def list_read(planners: int, indented: bool) -> dict[str, Any]:
    """Read a full list, then the same list again. Returns its bytes; CPU time (ms) and longest loop turn (ms)
    of the first and the second read; peak memory (bytes) allocated over both reads."""
    rows = [planner_row(number) for number in range(planners)]
    texts = [list_update(version, True, rows, indented) for version in (41, 42)]

    async def run() -> dict[str, Any]:
        scheduler = WatchingScheduler(asyncio.get_running_loop())
        result: dict[str, Any] = {"planners": planners, "indented": indented, "bytes": len(texts[0])}
        for version, (name, text) in enumerate(zip(("first", "again"), texts, strict=True), 41):
            scheduler.turns.clear()
            start_s = time.process_time()
            await scheduler.read(text, version)
            result[f"{name}_cpu_ms"] = (time.process_time() - start_s) * 1000
            result[f"{name}_turn_ms"] = max(scheduler.turns) * 1000
        assert scheduler.forwarder.endpoints.ready() == planners
        return result

    async def measure_memory() -> int:
        scheduler = WatchingScheduler(asyncio.get_running_loop())
        tracemalloc.start()
        for version, text in enumerate(texts, 41):
            await scheduler.read(text, version)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        return peak

    return uvloop.run(run()) | {"peak_bytes": uvloop.run(measure_memory())}


def replacement_day(planners: int, replaced: int) -> dict[str, Any]:
    """Simulate a day on which `replaced` planners drain, leave and are replaced, evenly spread. Returns how
    many planners the dispatcher, the endpoint table and the connection pool hold afterwards beyond the
    listed ones, and how many bytes are held beyond those at the start of the day."""

    async def run() -> dict[str, Any]:
        scheduler = WatchingScheduler(asyncio.get_running_loop())
        table, now = scheduler.forwarder.endpoints, 0.0
        table._clock = lambda: now
        await scheduler.read(list_update(1, True, [planner_row(number) for number in range(planners)]), 1)
        tracemalloc.start()
        for number in range(replaced):
            now += DAY_S / replaced
            scheduler.forwarder._dispatch_loop.epoch_s += DAY_S / replaced  # the dispatcher's clock
            version = 2 * number + 2
            await scheduler.read(list_update(version, False, [planner_row(number, 0, "draining")]), version)
            version += 1
            rows = [planner_row(number, 0, "gone"), planner_row(planners + number, version)]
            await scheduler.read(list_update(version, False, rows), version)
        gc.collect()
        held_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return {
            "planners": planners,
            "replaced": replaced,
            "listed": table.size(),
            "decisions": len(scheduler.forwarder._dispatcher.workers) - planners,
            "route_table": max(len(table._endpoints), len(table._leaving) + planners) - planners,
            "pool": len(scheduler.worker_client.pool._idle),
            "bytes": held_bytes,
        }

    return uvloop.run(run())
