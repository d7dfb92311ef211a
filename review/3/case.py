"""One client that sends hundreds of requests at once takes the scheduler over its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import Awaitable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    ENDED,
    SETTINGS,
    TROUBLE,
    CouldNotRunError,
    Discovery,
    HttpPlanner,
    Record,
    Scheduler,
    post,
    read_http,
    run_case,
)

MEMORY_MB, SOCKETS = 80, 512  # as on days of the brink panel
PLANNERS, SLOTS, QUEUE = 10, 4, 28
RUNNING_TIME_S = 0.3
USUAL_CLIENTS, USUAL_INTERVAL_S, USUAL_FOR_S = 6, 0.5, 14.0
CONNECTIONS, REQUESTS_EACH = 110, 9  # 990 requests; 110 is under a third of the descriptors
BODY_BYTES = 64 * 1024
BAD_AFTER_S, BAD_FOR_S = 4.0, 8.0


class SmallPlanner(HttpPlanner):
    """A planner with some slots and a queue; it turns away what finds no place."""

    def __init__(self, name: str) -> None:
        super().__init__(name, "lima-norte", lambda *_: [])
        self._held = 0
        self._slots = asyncio.Semaphore(SLOTS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        line, headers, _ = await read_http(reader)
        if not line.startswith("POST ") or self._held >= SLOTS + QUEUE:
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        self._held += 1
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            async with self._slots:
                for state, delay_s in (("started", 0.0), ("done", RUNNING_TIME_S)):
                    await asyncio.sleep(delay_s)
                    text = f'{{"id":"{headers["x-request-id"]}","state":"{state}","result":"plan"}}\n'
                    writer.write(b"%x\r\n%s\r\n" % (len(text), text.encode()))
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self._held -= 1
        return True


async def bad_connection(port: int, number: int) -> None:
    """Send the requests of one connection at once, and read whatever comes."""
    with contextlib.suppress(*ENDED, TimeoutError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for index in range(REQUESTS_EACH):
            head = (
                "POST /api HTTP/1.1\r\nHost: service.internal\r\n"
                f"X-Request-Id: bad-{number}-{index}\r\nX-Class: quote\r\nX-Tenant: andes-retail\r\n"
                f"X-Deadline: 5.000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
            )
            writer.write(head.encode() + b"p" * BODY_BYTES)
        async with asyncio.timeout(BAD_FOR_S):
            while await reader.read(65536):
                pass
        writer.close()


class Platform:
    """The platform's memory limit: it kills the scheduler when its own pages exceed the limit."""

    def __init__(self, scheduler: Scheduler, record: Record) -> None:
        self._scheduler, self._record = scheduler, record
        self.peak_mib = 0.0
        self.killed = False

    async def watch(self) -> None:
        """Look at the memory 50 times a second; pages of files are left out, as the bench does."""
        status = Path(f"/proc/{self._scheduler.pid}/status")
        while not self.killed:
            line = next(text for text in status.read_text().splitlines() if text.startswith("RssAnon:"))
            memory_mib = int(line.split()[1]) / 1024
            self.peak_mib = max(self.peak_mib, memory_mib)
            if memory_mib > MEMORY_MB:
                self._record(f"platform: {memory_mib:.0f} MiB, over {MEMORY_MB} MB: kills the scheduler")
                self.killed = True
                self._scheduler.kill()
            await asyncio.sleep(0.02)


async def usual_client(
    port: int, platform: Platform, number: int, record: Record, counts: dict[str, int]
) -> None:
    """Hand in one quote after another, until the scheduler has been killed."""
    for index in range(int(USUAL_FOR_S / USUAL_INTERVAL_S)):
        if platform.killed:
            return
        job = f"usual-{number}-{index}"
        try:
            status, _ = await post(port, job, "quote", 5.0, b"two pallets")
            answer = str(status)
        except (*ENDED, OSError, TimeoutError) as error:
            answer = f"none ({type(error).__name__})"
        counts[answer] = counts.get(answer, 0) + 1
        record(f"client: {job} answered {answer}")
        await asyncio.sleep(USUAL_INTERVAL_S)


async def case(folder: Path, record: Record) -> bool:
    """Start, let the usual clients work, send the requests of the bad client, and watch the memory."""
    planners = [SmallPlanner(f"p{number}") for number in range(PLANNERS)]
    for planner in planners:
        await planner.start()
    rows = [planner.row() for planner in planners]
    discovery = Discovery(rows)
    await discovery.start()
    scheduler = Scheduler(folder, record, {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS})
    scheduler.write_config(SETTINGS, discovery.address, rows)
    counts: dict[str, int] = {}
    try:
        await scheduler.start(discovery.address)
        platform = Platform(scheduler, record)
        watch = asyncio.create_task(platform.watch())
        tasks: list[Awaitable[None]] = [
            usual_client(scheduler.port, platform, number, record, counts) for number in range(USUAL_CLIENTS)
        ]

        async def flood() -> None:
            await asyncio.sleep(BAD_AFTER_S)
            record(f"bad client: {CONNECTIONS} connections, {REQUESTS_EACH} requests on each, at once")
            await asyncio.gather(*(bad_connection(scheduler.port, n) for n in range(CONNECTIONS)))
            record("bad client: has gone")

        if TROUBLE:
            tasks.append(flood())
        await asyncio.gather(*tasks)
        watch.cancel()
        if scheduler.has_ended and not platform.killed:
            raise CouldNotRunError(f"the scheduler ended: {scheduler.log()}")
    finally:
        await scheduler.stop()
        record(f"the scheduler's log:\n{scheduler.log()}")
    record(f"peak memory {platform.peak_mib:.1f} MiB of {MEMORY_MB}; answers to usual clients: {counts}")
    return not platform.killed


if __name__ == "__main__":
    sys.exit(run_case(__file__, case))
