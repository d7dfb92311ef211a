"""Process statistics, and a check whether the machine instead of the program limited a measurement."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from pathlib import Path
from time import monotonic

from benchmarks.capacity.records import Row

SAMPLE_INTERVAL_S = 0.02  # between samples of the loop lag
MAX_TRIES = 3  # of a row that is not valid
MAX_LAG_S = 0.05  # above it, a row says nothing about the program


class LoopLag:
    """The largest lag of this process's own event loop."""

    def __init__(self) -> None:
        self.worst_s = 0.0

    @property
    def why_not(self) -> str:
        """Why the row is not valid; empty if it is valid."""
        return f"the measuring loop was {self.worst_s * 1000:.0f} ms late" if self.worst_s > MAX_LAG_S else ""

    async def _sample(self) -> None:
        while True:
            due = monotonic() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.worst_s = max(self.worst_s, monotonic() - due)


@contextlib.asynccontextmanager
async def watch_loop_lag() -> AsyncIterator[LoopLag]:
    """Sample the lag of the running loop during the block."""
    lag = LoopLag()
    task = asyncio.create_task(lag._sample())
    try:
        yield lag
    finally:
        task.cancel()


async def measure_rows(measures: Iterable[Callable[[], Awaitable[Row]]], limit_s: float) -> list[Row]:
    """The rows, each measured until it is valid, at most `MAX_TRIES` times; the last try is kept. Rows beyond
    the time limit are left out."""
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
    """CPU time (s) of a single-threaded process; with ns resolution if the kernel has schedstat."""
    with contextlib.suppress(OSError, ValueError, IndexError):
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")


def waited_s(pid: int) -> float:
    """Seconds that a single-threaded process was runnable without a core; 0 if there is no schedstat."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, ValueError, IndexError):
        return 0.0


def memory_mb(pid: int) -> float:
    """Resident memory (RSS) of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def descriptors(pid: int) -> int:
    """Number of open file descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))
