"""A real `serve` process on loopback between modelled discovery, modelled planners and a client."""

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
PATIENCE_S = 600.0  # of the class `task`
PROGRESS_MS = 2000.0
RETRY_S = 0.02  # after a refusal
QUIET_S = 0.004  # without CPU after which a process has done what it was told
START = 1_796_000_000_000.0  # Unix ms


class Door(asyncio.Protocol):
    """A planner's connection. A job ends `work_s` after it came, or is held with a note every 2 s."""

    def __init__(self, planners: Planners) -> None:
        self.planners, self.data = planners, b""
        self._note: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.planners.doors.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.planners.doors.discard(self)
        if self._note is not None:
            self._note.cancel()

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, found, rest = self.data.partition(b"\r\n\r\n")
        if not found:
            return
        told = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        if len(rest) < int(told[b"content-length"]):
            return
        self.data = b""
        self.number = told[b"x-request-id"].decode()
        self.planners.began[self.number] = monotonic()
        begin = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self.line(state="started")
        if self.planners.work_s is None:
            self.transport.write(begin)
            self._note = asyncio.get_running_loop().call_later(PROGRESS_MS / 1000, self._progress)
        elif self.planners.work_s == 0:
            self.transport.write(begin + self.end())
        else:
            self.transport.write(begin)
            asyncio.get_running_loop().call_later(
                self.planners.work_s, lambda: self.transport.write(self.end())
            )

    def _progress(self) -> None:
        self.transport.write(self.line(state="running", share=0.5))
        self._note = asyncio.get_running_loop().call_later(PROGRESS_MS / 1000, self._progress)

    def line(self, **what: object) -> bytes:
        text = json.dumps({"id": self.number} | what).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(text), text)

    def end(self) -> bytes:
        return self.line(state="done", result="{}") + b"0\r\n\r\n"


class Planners:
    """Listening addresses of modelled planners, and when each job began there."""

    def __init__(self, work_s: float | None = 0.0) -> None:
        self.work_s = work_s
        self.ports: list[int] = []
        self.doors: set[Door] = set()
        self.began: dict[str, float] = {}
        self._servers: list[asyncio.Server] = []

    async def start(self, count: int) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(count):
            server = await loop.create_server(lambda: Door(self), "127.0.0.1", 0)
            self._servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for door in list(self.doors):
            door.transport.abort()


class Listed:
    """One planner's row."""

    def __init__(self, number: int, port: int) -> None:
        self.name, self.port, self.zone = f"planner-{number:05}", port, ZONES[number % len(ZONES)]
        self.lifecycle, self.started_ms = "ready", START

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
    """The stand-in discovery, its list compact or indented; it counts the lists it was asked for."""

    indented = False
    asked = 0
    _whole: tuple[int, bytes] = (0, b"")  # the list as it was last made, and of which generation

    def text(self, reset: bool, members: Sequence[Any]) -> bytes:
        if not reset:
            return self._made(False, members)
        self.asked += 1
        if self._whole[0] != self.generation:
            self.make()
        return self._whole[1]

    def make(self) -> int:
        """Make the whole list ahead, so that no answer waits for it; its bytes."""
        self._whole = self.generation, self._made(True, self.members)
        return len(self._whole[1])

    def _made(self, reset: bool, members: Sequence[Any]) -> bytes:
        told = {"generation": self.generation, "reset": reset, "instances": [one.row() for one in members]}
        if self.indented and reset:
            return json.dumps(told, indent=2).encode()
        return json.dumps(told, separators=(",", ":")).encode()


def configuration(discovery: int, teams: int, memory_mb: int = 192, sockets: int = 1024) -> dict[str, Any]:
    """LB_CONFIG's content: the template's, with 7 zones, these teams, and a class whose tasks run long."""
    made = program.configuration("127.0.0.1:0", f"127.0.0.1:{discovery}")
    made["limits"] |= {"memory_mb": memory_mb, "sockets": sockets}
    settings = made["settings"] | {"areas": list(ZONES), "weights": "off"}
    settings["services"] = [
        *settings["services"],
        {
            "name": "task",
            "deadline": PATIENCE_S * 1000,
            "goalTime": 27000.0,
            "gain": 5.0,
            "repeat": "retryable",
        },
    ]
    settings["tenants"] = [
        {"name": f"team-{number:03}", "share": 1 / teams, "allowancePerS": 1000.0 / teams}
        for number in range(teams)
    ]
    return made | {"settings": settings}


@dataclass
class Scheduler:
    """The process, and a client's kept connection to it."""

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

    async def line(self, text: str) -> str:
        """The next line of its log that holds this text."""
        assert self.process.stdout is not None
        while told := (await self.process.stdout.readline()).decode():
            if text in told:
                return told
        raise RuntimeError(f"the scheduler ended before it said {text!r}")

    async def job(self, job_class: str = "quote", deadline_s: float = 5.0) -> tuple[int, str]:
        """Ask once on the kept connection: the status, and the request's id."""
        if self.reader is None or self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.jobs += 1
        number = f"c{self.jobs}"
        self.writer.write(request(number, job_class, deadline_s))
        status = await answer(self.reader)
        return status, number

    async def served(self, within_s: float) -> bool:
        """Whether a job is served within so long; it is asked again after each refusal."""
        until = monotonic() + within_s
        while monotonic() < until:
            if (await self.job())[0] == 200:
                return True
            await asyncio.sleep(RETRY_S)
        return False

    async def idle(self, within_s: float = 60.0) -> None:
        """Return once it uses no CPU: it has done all that it was told."""
        until, before = monotonic() + within_s, -1.0
        while before != (before := self.cpu_s()) and monotonic() < until:
            await asyncio.sleep(QUIET_S)


def request(number: str, job_class: str, deadline_s: float, team: str = "team-000") -> bytes:
    """A client's request."""
    return (
        f"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: {number}\r\nX-Class: {job_class}\r\n"
        f"X-Tenant: {team}\r\nX-Deadline: {deadline_s:.3f}\r\nContent-Length: 2\r\n\r\n{{}}"
    ).encode()


async def answer(reader: asyncio.StreamReader) -> int:
    """Read one whole answer; its status."""
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
async def scheduler(made: dict[str, Any], *words: str) -> AsyncIterator[Scheduler]:
    """`serve` with this configuration, and these words on its command line; it ends with the block."""
    raise_descriptor_limit(20000)
    with tempfile.TemporaryDirectory(prefix="pipitshed-capacity-") as folder:
        path = Path(folder)
        (path / "config.json").write_text(json.dumps(made))
        began = monotonic()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pipitshed",
            "serve",
            *words,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            start_new_session=True,
            env=os.environ | {"LB_CONFIG": str(path / "config.json")},
        )
        running = Scheduler(process, path, began)
        try:
            async with asyncio.timeout(20):
                running.port = int((await running.line("listening on")).split()[3].rpartition(":")[2])
            yield running
        finally:
            if running.writer is not None:
                running.writer.transport.abort()
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()
