"""Cost of the membership view and the replicated settings on real sockets. The fleet consists of hollow
schedulers and of real `serve --fleet` processes that join during the measurement. A hollow scheduler is the
program's own cluster node without frontends and planners; up to 100 of them share a process.

A row is not valid if the event loop of a hollow process lagged by more than a quarter of the probe period in
more than 1% of its samples: then the machine was the limit.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import sys
import tempfile
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

import msgspec
import uvloop

from benchmarks.capacity.machine import cpu_s, memory_mb
from benchmarks.capacity.records import ROOT, Row
from benchmarks.capacity.serving import Catalog, ListedPlanner, Planners, Scheduler, configuration, scheduler
from pipitshed.cluster import node as node_module
from pipitshed.cluster.codec import Codec
from pipitshed.cluster.config_file import ClusterConfig
from pipitshed.cluster.messages import ClusterMessage
from pipitshed.cluster.settings import SettingsTarget
from pipitshed.config.platform import Config, load_platform_config, with_settings
from pipitshed.membership.members import Address
from pipitshed.membership.timing import ProtocolTimings
from pipitshed.protocols.address import parse_address
from pipitshed.testbed.virtual_fleet import (
    DATAGRAM_HEADER_BYTES,
    ZONES,
    TrafficCounter,
    peak_bytes_per_second,
)

SLOPE = "hollow"
SIZES = (40, 100, 150, 300)
SERVE_PROCESSES = 4  # real `serve` processes in the fleet
MAX_PER_PROCESS = 100
SETTLE_S, REST_S, MEASURED_S = 3.0, 10.0, 5.0
JOIN_TIMEOUT_S = 20.0  # for all schedulers to have the same view
SAMPLE_INTERVAL_S = 0.02  # between samples of the loop lag
MAX_LAG_S, MAX_LATE_SHARE = ProtocolTimings().period / 4, 0.01
CLUSTER, TEAMS = "hollow", 380


class CountingCodec(Codec):
    """The program's codec, which also counts the wire bytes of the messages that a scheduler encodes."""

    instances: list[CountingCodec] = []

    def __init__(self, cluster: str, secret: bytes = b"") -> None:
        super().__init__(cluster, secret)
        self.out = TrafficCounter()
        self.instances.append(self)

    def encode(self, message: ClusterMessage) -> bytes:
        data = super().encode(message)
        self.out.add(monotonic(), len(data) + DATAGRAM_HEADER_BYTES)
        return data


# ---- the process of hollow schedulers


@dataclass
class LagSamples:
    """Number of samples of this process's event-loop lag, and of those above `MAX_LAG_S`."""

    total: int = 0
    late: int = 0

    async def sample(self) -> None:
        while True:
            due = monotonic() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.total += 1
            self.late += monotonic() - due > MAX_LAG_S


class AppliedSettings:
    """The settings in force at one hollow scheduler, and since when (s, monotonic clock)."""

    def __init__(self, config: Config) -> None:
        self.config, self.since = config, 0.0

    def file(self) -> dict[str, Any]:
        """The configuration file in force, as it was read."""
        return self.config.raw or {}

    def apply(self, settings: dict[str, Any]) -> None:
        """Put settings in force: those of the file with replicated rows laid over them."""
        self.config, self.since = with_settings(self.config, settings), monotonic()


async def run_hollow(first: int, count: int, config: Config, seeds: list[Address]) -> None:
    """Run `count` hollow schedulers, controlled by lines on standard input that `HollowFleet` writes: `count`
    resets the counters, `tell` asks for a report. Without seeds the first three schedulers are the seeds."""
    node_module.Codec = CountingCodec  # type: ignore[misc]
    loop, nodes, applied = asyncio.get_running_loop(), [], []
    for number in range(first, first + count):
        applied.append(AppliedSettings(config))
        seed_addresses = seeds or [node.address for node in nodes[:3]]
        peers = ClusterConfig(
            f"h{number}",
            ZONES[number % len(ZONES)],
            ("127.0.0.1", 0),
            None,
            CLUSTER,
            b"",
            seed_addresses,
            None,
            ProtocolTimings(),
        )
        target = SettingsTarget(applied[-1].file, applied[-1].apply)
        nodes.append(node_module.ClusterNode(peers, "", loop, target))
    samples, reader = LagSamples(), asyncio.StreamReader()
    sampling = loop.create_task(samples.sample())
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    for node in nodes:
        await node.start()
    _write_line([node.address for node in nodes[:3]])
    while line := await reader.readline():
        if line == b"count\n":
            samples.total = samples.late = 0
            for codec in CountingCodec.instances:
                codec.out = TrafficCounter()
        elif line == b"tell\n":
            out = [codec.out for codec in CountingCodec.instances]
            views = [node.membership.view for node in nodes]
            _write_line(
                {
                    "out_bytes": [one.bytes for one in out],
                    "worst": peak_bytes_per_second(out),
                    "late": samples.late / max(1, samples.total),
                    "views": sorted({view.digest() for view in views}),
                    "alive": sorted({view.live_count for view in views}),
                    "since": [one.since for one in applied],
                }
            )
    sampling.cancel()
    for node in nodes:
        node.close()


def _write_line(report: object) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(report) + b"\n")
    sys.stdout.buffer.flush()


# ---- the measuring process


@dataclass
class HollowProcess:
    """One process of hollow schedulers, and how many it runs."""

    process: asyncio.subprocess.Process
    count: int

    def write_line(self, line: bytes) -> None:
        """Write one line to the standard input of the process."""
        assert self.process.stdin is not None
        self.process.stdin.write(line)

    async def read_line(self) -> bytes:
        """Read the next line of the standard output of the process."""
        assert self.process.stdout is not None
        return await self.process.stdout.readline()


@dataclass
class HollowFleet:
    """All processes of hollow schedulers, and the seed addresses by which a scheduler joins."""

    members: list[HollowProcess] = field(default_factory=list)
    seeds: list[str] = field(default_factory=list)
    began_s: float = 0.0
    cpu: list[float] = field(default_factory=list)

    def restart_measurement(self) -> None:
        """Reset the counters of all processes and start the measurement."""
        for one in self.members:
            one.write_line(b"count\n")
        self.began_s, self.cpu = monotonic(), [cpu_s(one.process.pid) for one in self.members]

    async def reports(self) -> list[dict[str, Any]]:
        """Ask each process for a report of its counters."""
        for one in self.members:
            one.write_line(b"tell\n")
        return [msgspec.json.decode(await one.read_line()) for one in self.members]

    async def wait_for_one_view(self, size: int, within: float) -> float | None:
        """Seconds until all views agree on this many live schedulers; None if they do not within the time."""
        began = monotonic()
        while monotonic() - began < within:
            reports = await self.reports()
            if {alive for one in reports for alive in one["alive"]} == {size} and len(
                {view for one in reports for view in one["views"]}
            ) == 1:
                return monotonic() - began
            await asyncio.sleep(0.25)
        return None

    async def row(self, size: int, case: str, why: str = "", **figures: float) -> Row:
        """A row of what was counted since the measurement started."""
        reports, seconds = await self.reports(), monotonic() - self.began_s
        scheduler_count = sum(one.count for one in self.members)
        cpu = sum(cpu_s(one.process.pid) for one in self.members) - sum(self.cpu)
        out = [sent for one in reports for sent in one["out_bytes"]]
        late = max(one["late"] for one in reports)
        figures |= {
            "out_bytes_per_s": sum(out) / scheduler_count / seconds,
            "heaviest_out_bytes_per_s": max(out) / seconds,
            "worst_second_out_bytes": max(one["worst"] for one in reports),
            "cpu_share": cpu / scheduler_count / seconds,
            "memory_mb": sum(memory_mb(one.process.pid) for one in self.members) / scheduler_count,
            "hollow": float(scheduler_count),
            "late_share": late,
        }
        if late > MAX_LATE_SHARE:
            why = why or f"a hollow process's loop was late in {late:.1%} of its samples"
        return Row(SLOPE, size, case, figures, not why, why)


@contextlib.asynccontextmanager
async def hollow_fleet(scheduler_count: int) -> AsyncIterator[HollowFleet]:
    """Run hollow schedulers that join each other; their processes are killed at the end of the block."""
    fleet = HollowFleet()
    processes = math.ceil(scheduler_count / MAX_PER_PROCESS)
    counts = [
        scheduler_count // processes + (index < scheduler_count % processes) for index in range(processes)
    ]
    with tempfile.TemporaryDirectory(prefix="pipitshed-hollow-") as folder:
        config = Path(folder) / "config.json"
        config.write_text(json.dumps(configuration(9, TEAMS)))
        try:
            for index, count in enumerate(counts):
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "benchmarks.capacity.hollow",
                    str(config),
                    str(sum(counts[:index])),
                    str(count),
                    *fleet.seeds,
                    cwd=ROOT,
                    stdin=asyncio.subprocess.PIPE,
                    stdout=asyncio.subprocess.PIPE,
                )
                fleet.members.append(HollowProcess(process, count))
                addresses = [
                    f"{host}:{port}"
                    for host, port in msgspec.json.decode(await fleet.members[-1].read_line())
                ]
                fleet.seeds = fleet.seeds or addresses
            yield fleet
        finally:
            for one in fleet.members:
                if one.process.returncode is None:
                    one.process.kill()
                await one.process.wait()


async def _start_serving(stack: AsyncExitStack, index: int, seeds: list[str]) -> tuple[Scheduler, Path]:
    """Start a real scheduler of the fleet; it and its fleet file."""
    planners, catalog = Planners(), Catalog()
    await planners.start(1)
    catalog.members = [ListedPlanner(0, planners.ports[0])]
    await catalog.start()
    stack.callback(planners.close)
    stack.callback(catalog.close)
    fleet_file = (
        Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="pipitshed-hollow-"))) / "peers.toml"
    )
    fleet_file.write_text(
        f'name = "s{index}"\nzone = "{ZONES[index]}"\nlisten = "127.0.0.1:0"\n'
        f'cluster = "{CLUSTER}"\nseeds = {json.dumps(seeds)}\n'
    )
    config = configuration(catalog.port, TEAMS)
    return await stack.enter_async_context(scheduler(config, "--fleet", str(fleet_file))), fleet_file


async def _put(fleet_file: Path, fleet: HollowFleet) -> dict[str, float]:
    """Put a setting by command: the time until the command reports it in force at all schedulers, and the
    time until the last hollow scheduler applied it."""
    put = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "pipitshed",
        "settings",
        "put",
        "tenant/team-001/allowancePerS",
        "7.5",
        "--fleet",
        str(fleet_file),
        "--peer",
        fleet.seeds[0],
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    assert put.stdout is not None
    await put.stdout.readline()
    accepted = monotonic()
    code, reports = await put.wait(), await fleet.reports()
    since = [when for one in reports for when in one["since"]]
    return {
        "answered_ms": (monotonic() - accepted) * 1000,
        "answer": float(code),
        "last_ms": (max(since) - accepted) * 1000,
        "not_acting": float(sum(not when for when in since)),
    }


async def _cases(size: int) -> list[Row]:
    rows = []
    async with hollow_fleet(size - SERVE_PROCESSES) as fleet, AsyncExitStack() as stack:
        fleet.restart_measurement()
        if await fleet.wait_for_one_view(size - SERVE_PROCESSES, JOIN_TIMEOUT_S) is None:
            return [await fleet.row(size, "join", f"no one view within {JOIN_TIMEOUT_S:.0f} s")]
        await asyncio.sleep(SETTLE_S)
        fleet.restart_measurement()
        await asyncio.sleep(REST_S)
        rows.append(await fleet.row(size, "rest"))
        fleet.restart_measurement()
        serving = [await _start_serving(stack, index, fleet.seeds) for index in range(SERVE_PROCESSES)]
        settled = await fleet.wait_for_one_view(size, JOIN_TIMEOUT_S)
        before = sum(running.cpu_s() for running, _ in serving)
        await asyncio.sleep(MEASURED_S)
        cpu = (sum(running.cpu_s() for running, _ in serving) - before) / SERVE_PROCESSES / MEASURED_S
        figures = {
            "serve_cpu_share": cpu,
            "serve_memory_mb": sum(running.memory_mb() for running, _ in serving) / SERVE_PROCESSES,
        }
        why = "" if settled is not None else f"no one view within {JOIN_TIMEOUT_S:.0f} s"
        rows.append(
            await fleet.row(size, f"{SERVE_PROCESSES} join", why, **figures, settled_ms=(settled or 0) * 1000)
        )
        fleet.restart_measurement()
        report = await _put(serving[0][1], fleet)
        await asyncio.sleep(SETTLE_S)
        why = "not in force at all" if report["answer"] or report["not_acting"] else ""
        rows.append(await fleet.row(size, "one change", why, **report))
    return rows


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """The rows of these sizes, measured one after the other."""

    async def run() -> list[Row]:
        async with asyncio.timeout(limit_s):
            return [row for size in sizes for row in await _cases(size)]

    return uvloop.run(run())


if __name__ == "__main__":
    uvloop.run(
        run_hollow(
            int(sys.argv[2]),
            int(sys.argv[3]),
            load_platform_config({"LB_CONFIG": sys.argv[1]}),
            [parse_address(seed) for seed in sys.argv[4:]],
        )
    )
