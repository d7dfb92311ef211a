"""Injects a scenario's faults into processes and links, and logs each when it begins."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from time import monotonic

import msgspec

from pipitshed.testbed.fleet.processes import Process, Processes
from pipitshed.testbed.fleet.scenario import LINKS, Fault


class Faults:
    """Injects the faults of one scenario run."""

    def __init__(self, processes: Processes, log: Callable[..., None]) -> None:
        self._processes = processes
        self._log = log
        self._busy: dict[int, asyncio.Lock] = {}  # by place: one fault at a time for a process

    async def run(self, faults: Iterable[Fault]) -> None:
        """Begin each fault at its time; return when the last one is over."""
        began = monotonic()
        tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, began + fault.at - monotonic()))
            self._log("fault", **msgspec.to_builtins(fault))
            tasks.append(asyncio.create_task(self._inject(fault)))
        await asyncio.gather(*tasks)

    async def _inject(self, fault: Fault) -> None:
        if fault.do in LINKS or fault.do == "cut-zone":
            await self._on_links(fault)
        elif fault.do == "roll":
            for process in list(self._processes.all):
                await self._restart(process, fault, graceful=True)
        elif fault.do == "join":
            processes = [await self._processes.add() for _ in range(fault.count)]
            await asyncio.gather(*(process.start() for process in processes))
        elif fault.do == "double":
            for name in fault.a:
                await (await self._processes.add(name)).start()
        else:
            await asyncio.gather(
                *(self._on_process(self._processes.by_name(name), fault) for name in fault.a)
            )

    # ---- links

    def _pairs(self, fault: Fault) -> list[tuple[str, str]]:
        names = [process.name for process in self._processes.all]
        if fault.do == "cut-zone":
            inside = {process.name for zone in fault.a for process in self._processes.in_zone(zone)}
            return [(a, b) for a in names for b in names if (a in inside) != (b in inside)]
        others = list(fault.b) or names
        there = [(a, b) for a in fault.a for b in others if a != b]
        if fault.do == "cut-one-way":
            return there
        return there + [(b, a) for a, b in there]

    async def _on_links(self, fault: Fault) -> None:
        links, pairs = self._processes.links, self._pairs(fault)
        if fault.do == "reset":
            for a, b in pairs:
                self._processes.by_name(b).relay.reset(a)
            return
        link_fault = ("cut" if fault.do.startswith("cut") else fault.do, fault.amount)
        for pair in pairs:
            links[pair].faults.append(link_fault)
        await asyncio.sleep(fault.lasts)
        for pair in pairs:
            links[pair].faults.remove(link_fault)

    # ---- processes

    async def _on_process(self, process: Process, fault: Fault) -> None:
        if fault.do == "pause":
            async with self._lock(process):
                if process.alive:
                    process.pause()
                    await asyncio.sleep(fault.lasts)
                    process.resume()
        elif fault.do == "kill-for-good":
            async with self._lock(process):
                process.kill()
                await process.wait_ended()
        else:
            await self._restart(process, fault, graceful=fault.do == "term")

    async def _restart(self, process: Process, fault: Fault, graceful: bool) -> None:
        """Stop a process that runs, by SIGTERM or SIGKILL, and start it again after the fault's duration."""
        async with self._lock(process):
            if not process.alive:
                return
            if graceful:
                await process.terminate()
            else:
                process.kill()
                await process.wait_ended()
            await asyncio.sleep(fault.lasts)
            await process.start(fault.disk, fault.amount if fault.do == "clock" else 0.0)

    def _lock(self, process: Process) -> asyncio.Lock:
        return self._busy.setdefault(process.place, asyncio.Lock())
