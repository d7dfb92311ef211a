"""Whether the machine, not the program, was the limit."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from pathlib import Path
from time import monotonic

from benchmarks.capacity.records import Row

SAMPLE_INTERVAL_S = 0.02  # s between looks
MAX_TRIES = 3  # of a row
MAX_LAG_S = 0.05  # s of lateness beyond which a row says nothing of the program


class LoopLag:
    """How late this process's own loop was, at the worst."""

    def __init__(self) -> None:
        self.worst_s = 0.0  # s

    @property
    def why_not(self) -> str:
        """Why a row does not count; empty where it does."""
        return f"the measuring loop was {self.worst_s * 1000:.0f} ms late" if self.worst_s > MAX_LAG_S else ""

    async def _sample(self) -> None:
        while True:
            due = monotonic() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.worst_s = max(self.worst_s, monotonic() - due)


@contextlib.asynccontextmanager
async def watch_loop_lag() -> AsyncIterator[LoopLag]:
    """Watch the running loop for the block."""
    lag = LoopLag()
    task = asyncio.create_task(lag._sample())
    try:
        yield lag
    finally:
        task.cancel()


async def measure_rows(measures: Iterable[Callable[[], Awaitable[Row]]], limit_s: float) -> list[Row]:
    """The rows, each measured until it counts, a few times at most: then the last one stands. What there is
    no time for is left out."""
    rows: list[Row] = []
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            for measure in measures:
                for tries in range(1, MAX_TRIES + 1):
                    row = await measure()
                    row.figures["tries"] = float(tries)
                    if row.valid:
                        break
                rows.append(row)
    return rows


def cpu_s(pid: int) -> float:
    """Seconds of CPU that a process of one thread has used; counted in ns where the kernel tells them."""
    with contextlib.suppress(OSError, ValueError, IndexError):
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")


def waited_s(pid: int) -> float:
    """Seconds that a process of one thread was ready to run and had no core; 0 where the kernel does not
    tell."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, ValueError, IndexError):
        return 0.0


def memory_mb(pid: int) -> float:
    """What a process holds in memory now (RSS)."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def descriptors(pid: int) -> int:
    """How many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))
