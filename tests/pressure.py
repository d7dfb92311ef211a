"""Peers that press on the program's memory and time: half requests, floods, and a watch on its own pages."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

from loopback import HttpClient, Program

from pipitshed.testbed.flood import Flood

BODY_BYTES = 64 * 1024  # the most that the protocol allows
MIB = 1024 * 1024
# The least and the largest limits that the pages name, and those between: memory in MB, descriptors.
LIMITS = ((32, 256), (80, 512), (192, 1024))
CALLER_PATIENCE_S = 1.0  # however busy the scheduler is, an operator's caller waits this long
_SAMPLE_INTERVAL_S = 0.002


def own_pages_mb(pid: int) -> float:
    """The memory of a process without pages of files, as the platform counts it, in MiB; 0 after its end."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


@dataclass
class MemoryWatch:
    """The largest memory seen of one process."""

    peak_mb: float = 0.0


@contextlib.contextmanager
def watched_memory(running: Program) -> Iterator[MemoryWatch]:
    """Sample the program's memory in a thread of its own while the block runs."""
    watch, ended = MemoryWatch(), threading.Event()

    def sample() -> None:
        while not ended.wait(_SAMPLE_INTERVAL_S):
            watch.peak_mb = max(watch.peak_mb, own_pages_mb(running.process.pid))

    thread = threading.Thread(target=sample)
    thread.start()
    try:
        yield watch
    finally:
        ended.set()
        thread.join()


@contextlib.asynccontextmanager
async def flooding(port: int, data: bytes, count: int = 1, reads: bool = True) -> AsyncIterator[list[Flood]]:
    """Send this data at full speed on some connections while the block runs."""
    floods = [Flood(socket.create_connection(("127.0.0.1", port)), data, reads) for _ in range(count)]
    try:
        yield floods
    finally:
        await asyncio.to_thread(lambda: [flood.close() for flood in floods])


@contextlib.asynccontextmanager
async def drained_log(running: Program) -> AsyncIterator[None]:
    """Read the program's log while the block runs: a full pipe would stop it."""
    task = asyncio.create_task(running.logged("a line that is never logged"))
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def connect_many(port: int, count: int, data: bytes) -> list[socket.socket]:
    """Open connections, and send the same bytes on each, as far as the program takes them."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
        sockets.append(sock)
    await asyncio.gather(*(_send(sock, data) for sock in sockets))
    return sockets


async def _send(sock: socket.socket, data: bytes) -> None:
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(2.0):
            await asyncio.get_running_loop().sock_sendall(sock, data)


async def ask_once(port: int, number: str, body: bytes = b"pallets", **headers: str) -> tuple[int, float]:
    """Hand in one job on a new connection; return the status and the time that its answer took."""
    started_at = monotonic()
    client = await HttpClient.to(port)
    client.ask(number, body=body, **({"X_Deadline": f"{CALLER_PATIENCE_S:.3f}"} | headers))
    status, _, _ = await client.answer()
    client.writer.close()
    return status, monotonic() - started_at


async def ask_for(port: int, seconds: float, prefix: str = "usual") -> list[tuple[int, float]]:
    """Hand in one job after another for some time; return the status and time of each answer."""
    answers, until = [], time.monotonic() + seconds
    while time.monotonic() < until:
        answers.append(await ask_once(port, f"{prefix}-{len(answers)}"))
        await asyncio.sleep(0.02)
    return answers


def assert_all_served(answers: list[tuple[int, float]]) -> None:
    """Each job was served while its client waited."""
    missed = [answer for answer in answers if answer[0] != 200 or answer[1] > CALLER_PATIENCE_S]
    assert answers and not missed, f"{len(missed)} of {len(answers)} missed: {missed[:5]}"


def request_head(number: str, length: int, job_class: str = "quote", extra: str = "") -> bytes:
    """The head of one job request."""
    return (
        f"POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {number}\r\nX-Class: {job_class}\r\n"
        f"X-Tenant: andes-retail\r\nX-Deadline: 5.000\r\n{extra}Content-Length: {length}\r\n\r\n"
    ).encode()
