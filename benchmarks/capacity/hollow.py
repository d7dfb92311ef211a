"""What the fleet's view costs on real sockets: hollow schedulers (the program's own `Fleet` and no door), up
to 100 in one process, and beside them real `serve --fleet` processes that join while it is counted.

A row does not count where a hollow process's loop was late by over a quarter of the probe period for more
than a hundredth of its looks: then the machine was the limit.
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
from benchmarks.capacity.serving import Catalog, Listed, Planners, Scheduler, configuration, scheduler
from pipitshed.cluster import node as edge
from pipitshed.cluster.codec import Codec
from pipitshed.cluster.config_file import ClusterConfig
from pipitshed.cluster.messages import ClusterMessage
from pipitshed.cluster.settings import SettingsTarget
from pipitshed.config.platform import Config, load_platform_config, with_settings
from pipitshed.membership.members import Address
from pipitshed.membership.timing import ProtocolTimings
from pipitshed.protocols.address import parse_address
from pipitshed.testbed.virtual_fleet import DATAGRAM_HEADERS, ZONES, TrafficCounter, peak_bytes_per_second

SLOPE = "hollow"
SIZES = (40, 100, 150, 300)
SERVING = 4  # real processes among them
PER_PROCESS = 100
SETTLE, REST, COUNTED = 3.0, 10.0, 5.0  # s
JOIN = 20.0  # s for all to hold one view
EVERY = 0.02  # s between looks at the loop's lateness
LATE, LATE_PART = ProtocolTimings().period / 4, 0.01
CLUSTER, TEAMS = "hollow", 380


class CountingCodec(Codec):
    """The program's codec, and the bytes on the wire of what one scheduler has written with it."""

    made: list[CountingCodec] = []

    def __init__(self, cluster: str, secret: bytes = b"") -> None:
        super().__init__(cluster, secret)
        self.out = TrafficCounter()
        self.made.append(self)

    def encode(self, message: ClusterMessage) -> bytes:
        data = super().encode(message)
        self.out.add(monotonic(), len(data) + DATAGRAM_HEADERS)
        return data


# ---- a process of hollow schedulers


@dataclass
class Looks:
    """How often this process's loop was looked at, and late."""

    all: int = 0
    late: int = 0

    async def look(self) -> None:
        while True:
            due = monotonic() + EVERY
            await asyncio.sleep(EVERY)
            self.all += 1
            self.late += monotonic() - due > LATE


class Acting:
    """The settings that one hollow scheduler acts on, and since when (s, monotonic)."""

    def __init__(self, config: Config) -> None:
        self.config, self.since = config, 0.0

    def file(self) -> dict[str, Any]:
        """The file in force, as it was read."""
        return self.config.raw or {}

    def apply(self, settings: dict[str, Any]) -> None:
        """Act on the settings of that file with rows over them."""
        self.config, self.since = with_settings(self.config, settings), monotonic()


async def hollow(first: int, count: int, config: Config, seeds: list[Address]) -> None:
    """Run so many, told what to do by lines on standard input; see `Hollows`. Without seeds the first three
    become the seeds of all."""
    edge.Codec = CountingCodec  # type: ignore[misc]
    loop, fleets, acting = asyncio.get_running_loop(), [], []
    for number in range(first, first + count):
        acting.append(Acting(config))
        joins_by = seeds or [fleet.address for fleet in fleets[:3]]
        peers = ClusterConfig(
            f"h{number}",
            ZONES[number % len(ZONES)],
            ("127.0.0.1", 0),
            None,
            CLUSTER,
            b"",
            joins_by,
            None,
            ProtocolTimings(),
        )
        tuned = SettingsTarget(acting[-1].file, acting[-1].apply)
        fleets.append(edge.ClusterNode(peers, "", loop, tuned))
    looks, reader = Looks(), asyncio.StreamReader()
    watching = loop.create_task(looks.look())
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    for fleet in fleets:
        await fleet.start()
    _say([fleet.address for fleet in fleets[:3]])
    while line := await reader.readline():
        if line == b"count\n":
            looks.all = looks.late = 0
            for codec in CountingCodec.made:
                codec.out = TrafficCounter()
        elif line == b"tell\n":
            out = [codec.out for codec in CountingCodec.made]
            views = [fleet.membership.view for fleet in fleets]
            _say(
                {
                    "out_bytes": [one.bytes for one in out],
                    "worst": peak_bytes_per_second(out),
                    "late": looks.late / max(1, looks.all),
                    "views": sorted({view.digest() for view in views}),
                    "alive": sorted({view.live_count for view in views}),
                    "since": [one.since for one in acting],
                }
            )
    watching.cancel()
    for fleet in fleets:
        fleet.close()


def _say(told: object) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(told) + b"\n")
    sys.stdout.buffer.flush()


# ---- the process that measures


@dataclass
class Hollow:
    """One process of hollow schedulers."""

    process: asyncio.subprocess.Process
    count: int

    def tell(self, line: bytes) -> None:
        """One line to it."""
        assert self.process.stdin is not None
        self.process.stdin.write(line)

    async def hear(self) -> bytes:
        """The next line from it."""
        assert self.process.stdout is not None
        return await self.process.stdout.readline()


@dataclass
class Hollows:
    """All of them, and whom a scheduler may join by."""

    made: list[Hollow] = field(default_factory=list)
    seeds: list[str] = field(default_factory=list)
    began: float = 0.0
    cpu: list[float] = field(default_factory=list)

    def count(self) -> None:
        """Count from here on."""
        for one in self.made:
            one.tell(b"count\n")
        self.began, self.cpu = monotonic(), [cpu_s(one.process.pid) for one in self.made]

    async def told(self) -> list[dict[str, Any]]:
        """What each process has counted."""
        for one in self.made:
            one.tell(b"tell\n")
        return [msgspec.json.decode(await one.hear()) for one in self.made]

    async def one_view(self, size: int, within: float) -> float | None:
        """How long (s) until all hold this many alive, and the same; None where they do not in time."""
        began = monotonic()
        while monotonic() - began < within:
            told = await self.told()
            if {alive for one in told for alive in one["alive"]} == {size} and len(
                {view for one in told for view in one["views"]}
            ) == 1:
                return monotonic() - began
            await asyncio.sleep(0.25)
        return None

    async def row(self, size: int, case: str, why: str = "", **figures: float) -> Row:
        """What was counted, as a row."""
        told, seconds = await self.told(), monotonic() - self.began
        many = sum(one.count for one in self.made)
        cpu = sum(cpu_s(one.process.pid) for one in self.made) - sum(self.cpu)
        out = [sent for one in told for sent in one["out_bytes"]]
        late = max(one["late"] for one in told)
        figures |= {
            "out_bytes_per_s": sum(out) / many / seconds,
            "heaviest_out_bytes_per_s": max(out) / seconds,
            "worst_second_out_bytes": max(one["worst"] for one in told),
            "cpu_share": cpu / many / seconds,
            "memory_mb": sum(memory_mb(one.process.pid) for one in self.made) / many,
            "hollow": float(many),
            "late_share": late,
        }
        if late > LATE_PART:
            why = why or f"a hollow process's loop was late in {late:.1%} of its looks"
        return Row(SLOPE, size, case, figures, not why, why)


@contextlib.asynccontextmanager
async def hollows(many: int) -> AsyncIterator[Hollows]:
    """So many hollow schedulers that join each other; they end with the block."""
    them = Hollows()
    processes = math.ceil(many / PER_PROCESS)
    counts = [many // processes + (place < many % processes) for place in range(processes)]
    with tempfile.TemporaryDirectory(prefix="pipitshed-hollow-") as folder:
        config = Path(folder) / "config.json"
        config.write_text(json.dumps(configuration(9, TEAMS)))
        try:
            for place, count in enumerate(counts):
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "benchmarks.capacity.hollow",
                    str(config),
                    str(sum(counts[:place])),
                    str(count),
                    *them.seeds,
                    cwd=ROOT,
                    stdin=asyncio.subprocess.PIPE,
                    stdout=asyncio.subprocess.PIPE,
                )
                them.made.append(Hollow(process, count))
                told = [f"{host}:{port}" for host, port in msgspec.json.decode(await them.made[-1].hear())]
                them.seeds = them.seeds or told
            yield them
        finally:
            for one in them.made:
                if one.process.returncode is None:
                    one.process.kill()
                await one.process.wait()


async def _serving(stack: AsyncExitStack, place: int, seeds: list[str]) -> tuple[Scheduler, Path]:
    """A real scheduler of the fleet, and its fleet file."""
    planners, catalog = Planners(), Catalog()
    await planners.start(1)
    catalog.members = [Listed(0, planners.ports[0])]
    await catalog.start()
    stack.callback(planners.close)
    stack.callback(catalog.close)
    file = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="pipitshed-hollow-"))) / "peers.toml"
    file.write_text(
        f'name = "s{place}"\nzone = "{ZONES[place]}"\nlisten = "127.0.0.1:0"\n'
        f'cluster = "{CLUSTER}"\nseeds = {json.dumps(seeds)}\n'
    )
    made = configuration(catalog.port, TEAMS)
    return await stack.enter_async_context(scheduler(made, "--fleet", str(file))), file


async def _put(file: Path, them: Hollows) -> dict[str, float]:
    """Put a change as an operator does: how long until the command says that it is in force at all, and until
    the last of the hollow ones acted on it."""
    put = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "pipitshed",
        "settings",
        "put",
        "tenant/team-001/allowancePerS",
        "7.5",
        "--fleet",
        str(file),
        "--peer",
        them.seeds[0],
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    assert put.stdout is not None
    await put.stdout.readline()
    accepted = monotonic()
    code, told = await put.wait(), await them.told()
    since = [when for one in told for when in one["since"]]
    return {
        "answered_ms": (monotonic() - accepted) * 1000,
        "answer": float(code),
        "last_ms": (max(since) - accepted) * 1000,
        "not_acting": float(sum(not when for when in since)),
    }


async def _cases(size: int) -> list[Row]:
    rows = []
    async with hollows(size - SERVING) as them, AsyncExitStack() as stack:
        them.count()
        if await them.one_view(size - SERVING, JOIN) is None:
            return [await them.row(size, "join", f"no one view within {JOIN:.0f} s")]
        await asyncio.sleep(SETTLE)
        them.count()
        await asyncio.sleep(REST)
        rows.append(await them.row(size, "rest"))
        them.count()
        serving = [await _serving(stack, place, them.seeds) for place in range(SERVING)]
        settled = await them.one_view(size, JOIN)
        before = sum(running.cpu_s() for running, _ in serving)
        await asyncio.sleep(COUNTED)
        cpu = (sum(running.cpu_s() for running, _ in serving) - before) / SERVING / COUNTED
        figures = {
            "serve_cpu_share": cpu,
            "serve_memory_mb": sum(running.memory_mb() for running, _ in serving) / SERVING,
        }
        why = "" if settled is not None else f"no one view within {JOIN:.0f} s"
        rows.append(await them.row(size, f"{SERVING} join", why, **figures, settled_ms=(settled or 0) * 1000))
        them.count()
        told = await _put(serving[0][1], them)
        await asyncio.sleep(SETTLE)
        why = "not in force at all" if told["answer"] or told["not_acting"] else ""
        rows.append(await them.row(size, "one change", why, **told))
    return rows


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """The rows of these sizes, one after the other."""

    async def run() -> list[Row]:
        async with asyncio.timeout(limit_s):
            return [row for size in sizes for row in await _cases(size)]

    return uvloop.run(run())


if __name__ == "__main__":
    uvloop.run(
        hollow(
            int(sys.argv[2]),
            int(sys.argv[3]),
            load_platform_config({"LB_CONFIG": sys.argv[1]}),
            [parse_address(seed) for seed in sys.argv[4:]],
        )
    )
