"""While the workers are slow, one Gearman client gets the result of another client's job."""

from __future__ import annotations

import asyncio
import copy
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    CAN_DO,
    GRAB_JOB_UNIQ,
    JOB_ASSIGN_UNIQ,
    JOB_CREATED,
    NO_JOB,
    NOOP,
    PRE_SLEEP,
    SETTINGS,
    SUBMIT_JOB,
    TROUBLE,
    WORK_COMPLETE,
    WORK_FAIL,
    CouldNotRunError,
    Discovery,
    GearmanPeer,
    Record,
    Scheduler,
    free_port,
    run_case,
)

WORKERS = 4
RUNNING_TIME_S = 0.35  # the site: 220 to 430 ms on average
SLOWER = 2.8  # the site: 1.3 to 3 times
SLOW_FROM_S, SLOW_FOR_S = 6.0, 11.0  # the site: 3.9 to 12 s
LENGTH_S = 24.0
INTERVAL_S = 1.2  # from one quote of a tool to its next one
# Each tool numbers its own quotes from 1 on; the second one sends each 0.6 s after the first.
TOOLS = {"quote_andes": ("andes-retail", 0.0), "quote_costa": ("costa-carga", 0.6)}


class Fleet:
    """The Gearman workers; all of them are slower while `factor` is above 1."""

    def __init__(self, port: int, record: Record) -> None:
        self._port, self._record = port, record
        self.factor = 1.0
        self.runs: list[str] = []  # the data of each job that was run

    async def work(self, name: str) -> None:
        """Run the jobs of both functions."""
        peer = await GearmanPeer.connect(self._port)
        for function in TOOLS:
            peer.send(CAN_DO, function.encode())
        while True:
            peer.send(GRAB_JOB_UNIQ)
            kind, arguments = await peer.receive()
            while kind == NOOP:
                kind, arguments = await peer.receive()
            if kind == NO_JOB:
                peer.send(PRE_SLEEP)
                await peer.receive()
                continue
            if kind != JOB_ASSIGN_UNIQ:
                raise CouldNotRunError(f"worker {name} got packet {kind}")
            handle, function, unique, data = arguments.split(b"\0", 3)
            self.runs.append(data.decode())
            self._record(f"worker {name}: {function.decode()} runs {data.decode()!r} ({unique.decode()})")
            await asyncio.sleep(RUNNING_TIME_S * self.factor)
            peer.send(WORK_COMPLETE, handle, b"offer for " + data)


class Tool:
    """A depot's dispatch tool: it asks for a quote at fixed times, and keeps the answers."""

    def __init__(self, port: int, function: str, record: Record) -> None:
        self._port, self._function, self._record = port, function, record
        self.foreign: list[str] = []
        self.served = 0

    async def quote(self, number: int) -> None:
        """Submit one job, and compare its result with what it asked for."""
        data = f"{self._function} load {number}"
        client = await GearmanPeer.connect(self._port)
        client.send(SUBMIT_JOB, self._function.encode(), str(number).encode(), data.encode())
        self._record(f"client: submits {data!r} (unique {number})")
        kind, arguments = await client.receive()
        if kind != JOB_CREATED:
            raise CouldNotRunError(f"SUBMIT_JOB was answered by packet {kind}")
        while kind not in (WORK_COMPLETE, WORK_FAIL):
            kind, arguments = await client.receive()
        client.writer.close()
        result = arguments.partition(b"\0")[2].decode()
        self._record(f"client: {data!r} answered {'result' if kind == WORK_COMPLETE else 'fail'} {result!r}")
        if kind == WORK_COMPLETE:
            self.served += 1
            if result != f"offer for {data}":
                self.foreign.append(f"{data!r} got {result!r}")


async def play(fleet: Fleet, tools: list[Tool], record: Record) -> None:
    """Send the quotes of all tools, with the slow time in between."""
    loop = asyncio.get_running_loop()
    if TROUBLE:
        loop.call_later(SLOW_FROM_S, setattr, fleet, "factor", SLOWER)
        loop.call_later(SLOW_FROM_S + SLOW_FOR_S, setattr, fleet, "factor", 1.0)
        record(f"from {SLOW_FROM_S} s on, the workers are {SLOWER} times slower for {SLOW_FOR_S} s")

    async def send(tool: Tool, offset_s: float) -> None:
        await asyncio.sleep(offset_s)
        quotes = []
        for number in range(1, int(LENGTH_S / INTERVAL_S) + 1):
            quotes.append(asyncio.create_task(tool.quote(number)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*quotes)

    offsets = [offset_s for _, offset_s in TOOLS.values()]
    await asyncio.gather(*(send(tool, offset_s) for tool, offset_s in zip(tools, offsets, strict=True)))


async def case(folder: Path, record: Record) -> bool:
    """Start, send the quotes, and compare each result with its job."""
    gearman_port = free_port()
    functions = "".join(
        f'{name} = {{ class = "quote", tenant = "{tenant}" }}\n' for name, (tenant, _) in TOOLS.items()
    )
    front = (
        f'[gearman]\nlisten = ["127.0.0.1:{gearman_port}"]\n[gearman.functions]\n{functions}'
        '[gearman.workers]\nzone = "lima-norte"\n'
    )
    settings = copy.deepcopy(SETTINGS)
    settings["tenants"] = [
        {"name": tenant, "share": 0.5, "allowancePerS": 16.0} for tenant, _ in TOOLS.values()
    ]
    discovery = Discovery([])
    await discovery.start()
    scheduler = Scheduler(folder, record)
    scheduler.write_config(settings, discovery.address, [])
    fleet = Fleet(gearman_port, record)
    tools = [Tool(gearman_port, function, record) for function in TOOLS]
    workers: list[asyncio.Task[None]] = []
    try:
        await scheduler.start(discovery.address, front)
        workers = [asyncio.create_task(fleet.work(f"w{number}")) for number in range(WORKERS)]
        await asyncio.sleep(1.0)
        await play(fleet, tools, record)
        if scheduler.has_ended:
            raise CouldNotRunError(f"the scheduler ended: {scheduler.log()}")
    finally:
        for worker in workers:
            worker.cancel()
        await scheduler.stop()
        record(f"the scheduler's log:\n{scheduler.log()}")
    foreign = [text for tool in tools for text in tool.foreign]
    record(f"served: {[tool.served for tool in tools]}, runs: {len(fleet.runs)}")
    record(f"results of another job: {len(foreign)}: {foreign or 'none'}")
    if not all(tool.served for tool in tools):
        raise CouldNotRunError("a tool had no job served")
    return not foreign


if __name__ == "__main__":
    sys.exit(run_case(__file__, case))
