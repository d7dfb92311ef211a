"""Stand-ins for the cases 6 to 10 (standard library only), and the program as the deploy file starts it."""

# ruff: noqa: D102, D103

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from time import monotonic, time
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0

SETTINGS: dict[str, Any] = {
    "areas": ["lima-norte", "arequipa"],
    "shapes": ["fast", "standard", "slow"],
    "discovery": "on_request",
    "familyInfo": {"tellsStart": True, "progress": 2000.0, "classKind": [-1, -1]},
    "locality": 0,
    "siblings": 1,
    "tick": 2.0,
    "weights": "rough",
    "permissions": {
        "cancel": True,
        "connectTimeout": 250.0,
        "idleClose": 30000.0,
        "maxAttempts": 5,
        "parallelTries": False,
        "probes": True,
    },
    "rules": {
        "answerSlack": 8.0,
        "askWithin": 10000.0,
        "drainGrace": 1500.0,
        "cold": 8800.0,
        "coldFrom": 0.3,
        "tipMultiple": 3.0,
        "overloadFor": 1500.0,
    },
    "services": [
        {"name": "quote", "deadline": 5000.0, "goalTime": 250.0, "gain": 5.0, "repeat": "retryable"},
        {
            "name": "book",
            "deadline": 15000.0,
            "goalTime": 1000.0,
            "gain": 8.0,
            "repeat": "dedup",
            "keyScope": "zone",
            "window": 25000.0,
        },
    ],
    "stats": {"fields": ["x0", "x1", "load_share"], "source": "on_probe"},
    "tenants": [{"name": "andes-retail", "share": 1.0, "allowancePerS": 1000.0}],
}


class Record:
    """What was sent, answered and run: the lines of `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.lines: list[str] = []
        self.started = monotonic()

    def add(self, text: str) -> None:
        self.lines.append(f"{monotonic() - self.started:8.3f} {text}")

    def save(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n")


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    return head[0], {name.lower(): value.strip() for name, _, value in pairs}


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Server:
    """A stand-in that listens on a port of its own until it is stopped."""

    def __init__(self) -> None:
        self.port = free_port()
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", self.port)

    def crash(self) -> None:
        """End as a process that dies does: connections are reset, new ones are refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, ValueError):
            await self.serve(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class Attempt:
    """One request that a planner has received whole."""

    def __init__(self, planner: Planner, headers: dict[str, str], body: str) -> None:
        self.planner, self.headers, self.body = planner, headers, body
        self.at = monotonic()
        self.key = headers.get("idempotency-key", "")
        self.id = headers["x-request-id"]


# Runs one attempt and returns its result.
Work = Callable[[Attempt], Awaitable[str]]


class Planner(Server):
    """A planner of interface 1, as the protocol page has it; `dedup` is shared by those of one zone."""

    def __init__(
        self,
        name: str,
        record: Record,
        work: Work,
        zone: str = "lima-norte",
        kind: str = "standard",
        dedup: dict[str, tuple[float, asyncio.Future[str]]] | None = None,
        dedup_s: float = 25.0,
    ) -> None:
        super().__init__()
        self.name, self.record, self.work = name, record, work
        self.zone, self.kind, self.lifecycle = zone, kind, "ready"
        self.started_ms = 0.0
        self.attempts: list[Attempt] = []
        self.dedup = dedup if dedup is not None else {}
        self.dedup_s = dedup_s

    def entry(self, lifecycle: str | None = None) -> dict[str, object]:
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "machineType": self.kind,
            "cell": 0,
            "lifecycle": lifecycle or self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            line, headers = await read_head(reader)
            if line.startswith("GET"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                continue
            body = (await reader.readexactly(int(headers["content-length"]))).decode()
            attempt = Attempt(self, headers, body)
            self.attempts.append(attempt)
            self.record.add(
                f"{self.name} gets id={attempt.id} key={attempt.key or '-'} body={body[:24]!r}"
                f" X-Deadline={headers.get('x-deadline')}"
            )
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._say(writer, attempt, "started")
            result = await self._result(attempt)
            self._say(writer, attempt, "done", result=result)
            writer.write(b"0\r\n\r\n")
            await writer.drain()

    def _say(self, writer: asyncio.StreamWriter, attempt: Attempt, state: str, **more: str) -> None:
        line = {"id": attempt.id, "from": self.name, "state": state} | more
        writer.write(chunk(json.dumps(line).encode() + b"\n"))

    async def _result(self, attempt: Attempt) -> str:
        """The result of this attempt, or for a repeated key that of the first one."""
        if not attempt.key:
            return await self.work(attempt)
        known = self.dedup.get(attempt.key)
        if known is not None and attempt.at - known[0] < self.dedup_s:
            self.record.add(f"{self.name} drops the repeat of key {attempt.key} (body {attempt.body[:24]!r})")
            return await asyncio.shield(known[1])
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.dedup[attempt.key] = attempt.at, future
        result = await self.work(attempt)
        future.set_result(result)
        return result


class Discovery(Server):
    """Discovery that is asked: the list, and watches with a heartbeat each 2 s."""

    def __init__(self, record: Record, planners: list[Planner]) -> None:
        super().__init__()
        self.record = record
        self.generation = 1
        self.entries = {planner.name: planner.entry() for planner in planners}
        self._watches: set[asyncio.StreamWriter] = set()

    def _line(self, reset: bool, entries: list[dict[str, object]]) -> bytes:
        text = {"generation": self.generation, "reset": reset, "instances": entries}
        return json.dumps(text).encode() + b"\n"

    def tell(self, *entries: dict[str, object]) -> None:
        """Change these entries, and write the change to all watches."""
        self.generation += 1
        for entry in entries:
            if entry["lifecycle"] == "gone":
                self.entries.pop(str(entry["instanceId"]), None)
            else:
                self.entries[str(entry["instanceId"])] = entry
            self.record.add(f"discovery tells {entry['instanceId']} is {entry['lifecycle']}")
        for writer in list(self._watches):
            writer.write(chunk(self._line(False, list(entries))))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line, _ = await read_head(reader)
        whole = self._line(True, list(self.entries.values()))
        if "watch=1" not in line:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(whole) + whole)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(whole))
        self._watches.add(writer)
        ended = asyncio.ensure_future(reader.read())
        try:
            while not ended.done():
                await asyncio.wait({ended}, timeout=2.0)
                writer.write(chunk(b"\n"))
        finally:
            ended.cancel()
            self._watches.discard(writer)


class Scheduler:
    """The program, started by the deploy file's `run`, with options of its own behind it."""

    def __init__(self, folder: Path, record: Record, config: dict[str, Any], options: str = "") -> None:
        self.folder, self.record, self.options = folder, record, options
        self.config = folder / "config.json"
        self.config.write_text(json.dumps(config))
        self.port = int(config["listen"].rpartition(":")[2])
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    async def start(self, **limits: Any) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        tmp = self.folder / f"tmp{self.starts}"
        tmp.mkdir()
        self.starts += 1
        with (self.folder / f"log{self.starts}.txt").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                f"{run} {self.options}",
                cwd=ROOT,
                env=os.environ
                | {"LB_CONFIG": str(self.config), "TMPDIR": str(tmp), "PYTHONDONTWRITEBYTECODE": "1"},
                stdout=log,
                stderr=log,
                **limits,
            )
        self.record.add("scheduler starts")

    def log(self) -> str:
        return (self.folder / f"log{self.starts}.txt").read_text()

    async def ready(self) -> None:
        """Wait until `/_health` says 200, as the front does."""
        for _ in range(600):
            if self.process is not None and self.process.returncode is not None:
                raise RuntimeError(f"the scheduler ended: {self.log()}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                line, _ = await read_head(reader)
                writer.close()
                if " 200 " in line:
                    self.record.add("scheduler is ready")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"the scheduler is not ready: {self.log()}")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.add(f"scheduler gets {number.name}")
        self.process.send_signal(number)

    async def ended(self) -> int:
        assert self.process is not None
        code = await self.process.wait()
        self.record.add(f"scheduler has ended with {code}")
        return code

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def config(
    discovery: Discovery | None, settings: dict[str, Any] | None = None, **more: Any
) -> dict[str, Any]:
    """The platform's configuration of one scheduler, on free ports."""
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{discovery.port}" if discovery is not None else "",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {
            "generation": 1,
            "reset": True,
            "instances": list(discovery.entries.values()) if discovery is not None else [],
        },
        "settings": SETTINGS | (settings or {}),
    } | more


def post(number: str, job_class: str, body: str, deadline_s: float, key: str = "") -> bytes:
    """A client's request."""
    idempotency_key = f"Idempotency-Key: {key}\r\n" if key else ""
    return (
        f"POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {number}\r\nX-Class: {job_class}\r\n"
        f"X-Tenant: andes-retail\r\nX-Deadline: {deadline_s:.3f}\r\n{idempotency_key}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


async def answer(reader: asyncio.StreamReader) -> tuple[int, str]:
    """The status and body of the next answer."""
    line, headers = await read_head(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(line.split()[1]), body.decode()


class Gearman:
    """A Gearman client's connection."""

    CREATED, COMPLETE, FAIL, WARNING, ERROR = 8, 13, 14, 29, 19
    SUBMIT_JOB = 7

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> Gearman:
        for _ in range(200):
            try:
                return cls(*await asyncio.open_connection("127.0.0.1", port))
            except OSError:
                await asyncio.sleep(0.05)
        raise RuntimeError("the Gearman address takes no connection")

    def send(self, kind: int, *arguments: bytes) -> None:
        body = b"\0".join(arguments)
        self.writer.write(struct.pack(">4sII", b"\0REQ", kind, len(body)) + body)

    async def receive(self) -> tuple[int, list[bytes]]:
        _, kind, length = struct.unpack(">4sII", await self.reader.readexactly(12))
        return kind, (await self.reader.readexactly(length)).split(b"\0")

    async def submit(self, function: str, unique: str, body: str) -> str:
        """Submit a job, and return its handle."""
        self.send(self.SUBMIT_JOB, function.encode(), unique.encode(), body.encode())
        kind, arguments = await self.receive()
        if kind != self.CREATED:
            raise RuntimeError(f"no JOB_CREATED but {kind} {arguments}")
        return arguments[0].decode()

    async def result(self) -> tuple[str, str, str]:
        """How the next job ends: `done` or `failed`, its handle and its result."""
        while True:
            kind, arguments = await self.receive()
            if kind in (self.COMPLETE, self.FAIL):
                text = arguments[1].decode() if len(arguments) > 1 else ""
                return "done" if kind == self.COMPLETE else "failed", arguments[0].decode(), text


async def gearman_worker(
    port: int, functions: list[str], run: Callable[[str, str, str], Awaitable[str]]
) -> None:
    """A Gearman worker that runs one job after the other: `run` gets function, unique id and data."""
    peer = await Gearman.connect(port)
    can_do, pre_sleep, noop, grab_job, no_job, job_assign = 1, 4, 6, 30, 10, 31
    for function in functions:
        peer.send(can_do, function.encode())
    peer.send(grab_job)
    while True:
        kind, arguments = await peer.receive()
        if kind == no_job:
            peer.send(pre_sleep)
        elif kind == noop:
            peer.send(grab_job)
        elif kind == job_assign:
            handle, function, unique, data = arguments
            result = await run(function.decode(), unique.decode(), data.decode())
            peer.send(Gearman.COMPLETE, handle, result.encode())
            peer.send(grab_job)


Case = Callable[[Record, Path, "Cleanup"], Awaitable[list[str]]]


class Cleanup:
    """What has to end with the case."""

    def __init__(self) -> None:
        self.schedulers: list[Scheduler] = []
        self.servers: list[Server] = []

    def add(self, *items: Any) -> None:
        for item in items:
            (self.schedulers if isinstance(item, Scheduler) else self.servers).append(item)

    async def end(self) -> None:
        for scheduler in self.schedulers:
            await scheduler.stop()
        for server in self.servers:
            server.crash()


def main(case: Case, folder: Path) -> None:
    """Run a case; exit with 1 if it returns what broke the rule, 0 if nothing did, 2 if it couldn't run."""
    record, temporary = Record(folder), Path(tempfile.mkdtemp(prefix="review-"))
    record.add(f"TROUBLE={int(TROUBLE)} at {time():.0f}")
    code = NOT_RUN

    async def run() -> list[str]:
        cleanup = Cleanup()
        task = asyncio.ensure_future(asyncio.wait_for(case(record, temporary, cleanup), LIMIT_S))
        for number in (signal.SIGTERM, signal.SIGINT):  # a case that is stopped ends what it started
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await task
        finally:
            await cleanup.end()

    try:
        broken = asyncio.run(run())
        for line in broken:
            record.add(f"BROKEN: {line}")
        code = BROKEN if broken else HELD
    except (Exception, asyncio.CancelledError) as error:  # the case couldn't run
        record.add(f"NOT RUN: {type(error).__name__}: {error}")
    finally:
        for log in sorted(temporary.glob("log*.txt")):
            record.lines.append(f"--- {log.name}")
            record.lines += log.read_text(errors="replace").splitlines()[:60]
        record.lines.append(f"exit {code}")
        record.save()
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)
