"""Runs a real `serve` process on loopback with stand-in discovery, modelled planners and a client."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from time import monotonic
from typing import Any

from benchmarks.capacity.machine import cpu_s, descriptors, memory_mb
from benchmarks.capacity.records import ROOT
from pipitshed.testbed import program
from pipitshed.testbed.experiment import raise_descriptor_limit
from pipitshed.testbed.fleet.standins import Discovery

REGIONS = ("norte", "centro", "sur")
ZONES = ("norte-1", "norte-2", "norte-3", "centro-1", "centro-2", "sur-1", "sur-2")
TASK_DEADLINE_S = 600.0  # deadline of the class `task`
PROGRESS_MS = 2000.0
RETRY_INTERVAL_S = 0.02  # between tries after a refusal
IDLE_POLL_S = 0.004  # a process that uses no CPU for this long has no work left
STARTED_AT_MS = 1_796_000_000_000.0  # Unix ms


class PlannerConnection(asyncio.Protocol):
    """A connection to a planner. A job completes `work_s` after it arrived; if `work_s` is None, it never
    completes and sends a progress note every 2 s."""

    def __init__(self, planners: Planners) -> None:
        self.planners, self.data = planners, b""
        self._progress_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.planners.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.planners.connections.discard(self)
        if self._progress_timer is not None:
            self._progress_timer.cancel()

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, found, rest = self.data.partition(b"\r\n\r\n")
        if not found:
            return
        headers = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        if len(rest) < int(headers[b"content-length"]):
            return
        self.data = b""
        self.request_id = headers[b"x-request-id"].decode()
        self.planners.arrived_at[self.request_id] = monotonic()
        begin = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self.chunk(state="started")
        if self.planners.work_s is None:
            self.transport.write(begin)
            self._progress_timer = asyncio.get_running_loop().call_later(PROGRESS_MS / 1000, self._progress)
        elif self.planners.work_s == 0:
            self.transport.write(begin + self.end())
        else:
            self.transport.write(begin)
            asyncio.get_running_loop().call_later(
                self.planners.work_s, lambda: self.transport.write(self.end())
            )

    def _progress(self) -> None:
        self.transport.write(self.chunk(state="running", share=0.5))
        self._progress_timer = asyncio.get_running_loop().call_later(PROGRESS_MS / 1000, self._progress)

    def chunk(self, **fields: object) -> bytes:
        text = json.dumps({"id": self.request_id} | fields).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(text), text)

    def end(self) -> bytes:
        return self.chunk(state="done", result="{}") + b"0\r\n\r\n"


class Planners:
    """Modelled planners: their listening ports, open connections, and arrival times of jobs (monotonic)."""

    def __init__(self, work_s: float | None = 0.0) -> None:
        self.work_s = work_s
        self.ports: list[int] = []
        self.connections: set[PlannerConnection] = set()
        self.arrived_at: dict[str, float] = {}
        self._servers: list[asyncio.Server] = []

    async def start(self, count: int) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(count):
            server = await loop.create_server(lambda: PlannerConnection(self), "127.0.0.1", 0)
            self._servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            connection.transport.abort()


class ListedPlanner:
    """One planner of the list."""

    def __init__(self, number: int, port: int) -> None:
        self.name, self.port, self.zone = f"planner-{number:05}", port, ZONES[number % len(ZONES)]
        self.lifecycle, self.started_ms = "ready", STARTED_AT_MS

    def row(self) -> dict[str, object]:
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "cell": 0,
            "machineType": "standard",
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }


class Catalog(Discovery):
    """A stand-in discovery with compact or indented lists, which counts the requests for a full list."""

    indented = False
    list_requests = 0
    _full_list: tuple[int, bytes] = (0, b"")  # generation, and the encoded list

    def text(self, reset: bool, members: Sequence[Any]) -> bytes:
        if not reset:
            return self._encode_list(False, members)
        self.list_requests += 1
        if self._full_list[0] != self.generation:
            self.build_list()
        return self._full_list[1]

    def build_list(self) -> int:
        """Encode the full list in advance, so that no response waits for it; its size in bytes."""
        self._full_list = self.generation, self._encode_list(True, self.members)
        return len(self._full_list[1])

    def _encode_list(self, reset: bool, members: Sequence[Any]) -> bytes:
        content = {"generation": self.generation, "reset": reset, "instances": [one.row() for one in members]}
        if self.indented and reset:
            return json.dumps(content, indent=2).encode()
        return json.dumps(content, separators=(",", ":")).encode()


def configuration(discovery: int, teams: int, memory_mb: int = 192, sockets: int = 1024) -> dict[str, Any]:
    """The content of LB_CONFIG: the template's with 7 zones, this many teams, and a class `task`."""
    config = program.configuration("127.0.0.1:0", f"127.0.0.1:{discovery}")
    config["limits"] |= {"memory_mb": memory_mb, "sockets": sockets}
    settings = config["settings"] | {"areas": list(ZONES), "weights": "off"}
    settings["services"] = [
        *settings["services"],
        {
            "name": "task",
            "deadline": TASK_DEADLINE_S * 1000,
            "goalTime": 27000.0,
            "gain": 5.0,
            "repeat": "retryable",
        },
    ]
    settings["tenants"] = [
        {"name": f"team-{number:03}", "share": 1 / teams, "allowancePerS": 1000.0 / teams}
        for number in range(teams)
    ]
    return config | {"settings": settings}


@dataclass
class Scheduler:
    """A `serve` process, and a client's persistent connection to it."""

    process: asyncio.subprocess.Process
    folder: Path
    began: float
    port: int = 0
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    jobs: int = 0

    @property
    def pid(self) -> int:
        return self.process.pid

    def cpu_s(self) -> float:
        return cpu_s(self.pid)

    def memory_mb(self) -> float:
        return memory_mb(self.pid)

    def descriptors(self) -> int:
        return descriptors(self.pid)

    async def wait_for_log_line(self, text: str) -> str:
        """The next line of its log that contains this text."""
        assert self.process.stdout is not None
        while log_line := (await self.process.stdout.readline()).decode():
            if text in log_line:
                return log_line
        raise RuntimeError(f"the scheduler ended before it logged {text!r}")

    async def send_job(self, job_class: str = "quote", deadline_s: float = 5.0) -> tuple[int, str]:
        """Send one request on the persistent connection; its HTTP status and its id."""
        if self.reader is None or self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.jobs += 1
        number = f"c{self.jobs}"
        self.writer.write(request(number, job_class, deadline_s))
        status = await answer(self.reader)
        return status, number

    async def served(self, within_s: float) -> bool:
        """Whether a job is served within this time; a refused one is sent again."""
        until = monotonic() + within_s
        while monotonic() < until:
            if (await self.send_job())[0] == 200:
                return True
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    async def wait_until_idle(self, within_s: float = 60.0) -> None:
        """Return once the process uses no CPU, or after `within_s`."""
        until, before = monotonic() + within_s, -1.0
        while before != (before := self.cpu_s()) and monotonic() < until:
            await asyncio.sleep(IDLE_POLL_S)


def request(number: str, job_class: str, deadline_s: float, team: str = "team-000") -> bytes:
    """The bytes of a client's HTTP request."""
    return (
        f"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: {number}\r\nX-Class: {job_class}\r\n"
        f"X-Tenant: {team}\r\nX-Deadline: {deadline_s:.3f}\r\nContent-Length: 2\r\n\r\n{{}}"
    ).encode()


async def answer(reader: asyncio.StreamReader) -> int:
    """Read one HTTP response in full; its status."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = next(
        (
            int(line.partition(b":")[2])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length")
        ),
        0,
    )
    await reader.readexactly(length)
    return int(head[9:12])


@contextlib.asynccontextmanager
async def scheduler(config: dict[str, Any], *arguments: str) -> AsyncIterator[Scheduler]:
    """Run `serve` with this configuration and these arguments; it is killed at the end of the block."""
    raise_descriptor_limit(20000)
    with tempfile.TemporaryDirectory(prefix="pipitshed-capacity-") as folder:
        path = Path(folder)
        (path / "config.json").write_text(json.dumps(config))
        began = monotonic()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pipitshed",
            "serve",
            *arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            start_new_session=True,
            env=os.environ | {"LB_CONFIG": str(path / "config.json")},
        )
        running = Scheduler(process, path, began)
        try:
            async with asyncio.timeout(20):
                running.port = int(
                    (await running.wait_for_log_line("listening on")).split()[3].rpartition(":")[2]
                )
            yield running
        finally:
            if running.writer is not None:
                running.writer.transport.abort()
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()
