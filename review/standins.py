"""Stand-ins and helpers that the cases of the review share: record, scheduler process, peers on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CASE_LIMIT_S = 110.0
# What ends a stand-in's connection: its peer, or the end of the case.
ENDED = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)

# A small deployment, in the words of the wire page; the figures are those of its example.
SETTINGS: dict[str, Any] = {
    "areas": ["lima-norte", "arequipa"],
    "shapes": ["fast", "standard", "slow"],
    "family": "jobs",
    "discovery": "on_request",
    "familyInfo": {
        "classKind": [-1, -1],
        "classPriority": [0, 1],
        "classStretch": [1.75, 1.75],
        "progress": 2000.0,
        "tellsStart": True,
    },
    "charges": {"crossZone": 0.014, "handshake": 0.12, "lateFail": 0.064, "probe": 0.01, "waste": 0.3},
    "clients": {"marksRetry": True},
    "locality": 0,
    "me": 0,
    "siblings": 1,
    "tick": 2.0,
    "weights": "rough",
    "worthBy": "request",
    "permissions": {
        "cancel": True,
        "connectTimeout": 250.0,
        "idleClose": 30000.0,
        "maxAttempts": 5,
        "maxRetryAfter": 2000.0,
        "parallelTries": False,
        "peers": False,
        "probes": True,
        "retryAfter": False,
    },
    "rules": {
        "answerSlack": 8.0,
        "askWithin": 10000.0,
        "cold": 8800.0,
        "coldFrom": 0.3,
        "drainGrace": 1500.0,
        "overloadFor": 1500.0,
        "tipMultiple": 3.0,
    },
    "services": [
        {
            "name": "quote",
            "deadline": 5000.0,
            "goalTime": 250.0,
            "gain": 5.0,
            "lateWorth": 0.5,
            "repeat": "retryable",
            "keyScope": "all",
            "window": 5000.0,
            "stream": False,
        },
        {
            "name": "book",
            "deadline": 15000.0,
            "goalTime": 1000.0,
            "gain": 8.0,
            "lateWorth": 0.2,
            "repeat": "dedup",
            "keyScope": "zone",
            "window": 25000.0,
            "stream": False,
        },
    ],
    "stats": {"fields": ["x0", "x1", "load_share"], "source": "on_probe"},
    "tenants": [{"name": "andes-retail", "share": 1.0, "allowancePerS": 1000.0}],
}


class CouldNotRunError(Exception):
    """The case did not get as far as its check."""


class Record:
    """Writes what was sent, answered and run to the case's record.txt."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """A TCP port of the loopback address that is free now."""
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


class Scheduler:
    """The project's program, started by the `run` line of the deploy file as the platform does."""

    def __init__(self, folder: Path, record: Record, limits: dict[str, float] | None = None) -> None:
        self._folder = folder
        self._record = record
        self._limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.port = free_port()
        self.config_path = folder / "config.json"
        self._process: asyncio.subprocess.Process | None = None

    def write_config(self, settings: dict[str, Any], discovery: str, known: list[dict[str, Any]]) -> None:
        """Write the platform's configuration file, whole and in one step."""
        config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "seed": os.urandom(8).hex(),
            "limits": self._limits,
            "known": {"generation": 1, "reset": True, "instances": known},
            "settings": settings,
        }
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(self.config_path)

    async def start(self, discovery: str, front: str = "") -> None:
        """Start the program, with a front file if there is one, and wait until it accepts jobs."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if front:
            front_path = self._folder / "front.toml"
            front_path.write_text(front)
            run += f" --front {front_path}"
        self._record(f"scheduler: started by the deploy file's run line{' with --front' if front else ''}")
        environment = os.environ | {
            "LB_NAME": "n1",
            "LB_LISTEN": f"127.0.0.1:{self.port}",
            "LB_DISCOVERY": discovery,
            "LB_CONFIG": str(self.config_path),
            "TMPDIR": str(self._folder),
        }
        with (self._folder / "log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        for _ in range(300):
            if self._process.returncode is not None:
                raise CouldNotRunError(f"the scheduler ended: {self.log()}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await self._is_healthy():
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"the scheduler is not ready: {self.log()}")

    async def _is_healthy(self) -> bool:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        status = (await reader.readuntil(b"\r\n\r\n")).split()[1]
        writer.close()
        return status == b"200"

    def hang_up(self) -> None:
        """Send SIGHUP: read the new configuration."""
        assert self._process is not None
        self._process.send_signal(signal.SIGHUP)

    @property
    def pid(self) -> int:
        """The id of the process."""
        assert self._process is not None
        return self._process.pid

    def kill(self) -> None:
        """Send SIGKILL."""
        assert self._process is not None
        self._process.kill()

    @property
    def has_ended(self) -> bool:
        """Whether the program has ended by itself."""
        return self._process is not None and self._process.returncode is not None

    def log(self) -> str:
        """What the program has logged."""
        return (self._folder / "log").read_text(errors="replace")

    async def stop(self) -> None:
        """End the program, by force if it takes more than 5 s."""
        if self._process is None or self._process.returncode is not None:
            return
        self._process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), 5.0)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


async def read_http(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message with a Content-Length: first line, headers, body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {
        name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))


class HttpPlanner:
    """A planner: `act` returns the objects that follow `started`, each with a delay in s before it."""

    def __init__(
        self, name: str, zone: str, act: Callable[[HttpPlanner, dict[str, str], bytes], Any]
    ) -> None:
        self.name, self.zone, self._act = name, zone, act
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def row(self) -> dict[str, Any]:
        """The planner's row in discovery's list."""
        return {
            "instanceId": f"s-{self.name}",
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "machineType": "fast",
            "cell": 0,
            "lifecycle": "ready",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDED, ValueError):
            while await self._serve(reader, writer):
                pass
        writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        line, headers, body = await read_http(reader)
        if not line.startswith("POST "):
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        objects = self._act(self, headers, body)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for delay_s, fields in [(0.0, {"state": "started"}), *objects]:
            await asyncio.sleep(delay_s)
            text = json.dumps({"id": headers["x-request-id"], "from": self.name} | fields) + "\n"
            writer.write(b"%x\r\n%s\r\n" % (len(text), text.encode()))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Discovery:
    """The platform's discovery: a watch gets the whole list, then an empty line every 2 s."""

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        self._instances = instances
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDED):
            line, _, _ = await read_http(reader)
            text = json.dumps({"generation": 2, "reset": True, "instances": self._instances}) + "\n"
            if "watch=1" not in line:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text.encode()))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%s\r\n" % (len(text), text.encode()))
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        writer.close()


async def post(
    port: int, request_id: str, job_class: str, deadline_s: float, body: bytes, key: str = ""
) -> tuple[int, bytes]:
    """Hand in one job as a client does, on a connection of its own; return status and body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    key_line = f"Idempotency-Key: {key}\r\n" if key else ""
    head = (
        f"POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {request_id}\r\n"
        f"X-Class: {job_class}\r\nX-Tenant: andes-retail\r\nX-Deadline: {deadline_s:.3f}\r\n{key_line}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    try:
        line, _, answer = await asyncio.wait_for(read_http(reader), deadline_s + 2.0)
        return int(line.split()[1]), answer
    finally:
        writer.close()


CAN_DO, PRE_SLEEP, NOOP, SUBMIT_JOB, JOB_CREATED, GRAB_JOB, NO_JOB = 1, 4, 6, 7, 8, 9, 10
JOB_ASSIGN, WORK_COMPLETE, WORK_FAIL, GRAB_JOB_UNIQ, JOB_ASSIGN_UNIQ, WORK_WARNING = 11, 13, 14, 30, 31, 29
_GEARMAN_HEADER = struct.Struct(">4sII")


class GearmanPeer:
    """One connection that speaks the Gearman protocol, as a client or as a worker."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> GearmanPeer:
        """Connect to the Gearman front."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, kind: int, *arguments: bytes) -> None:
        """Send one packet."""
        body = b"\0".join(arguments)
        self.writer.write(_GEARMAN_HEADER.pack(b"\0REQ", kind, len(body)) + body)

    async def receive(self) -> tuple[int, bytes]:
        """Receive one packet: its type, and its arguments as they came."""
        header = await self._reader.readexactly(_GEARMAN_HEADER.size)
        _, kind, length = _GEARMAN_HEADER.unpack(header)
        return kind, await self._reader.readexactly(length)


class NameServer(asyncio.DatagramProtocol):
    """A name server for one DNS-SD service; it answers each query after `delay_s`."""

    def __init__(self, service: str, ttl_s: int) -> None:
        self._service, self._ttl_s = service, ttl_s
        self.delay_s = 0.0
        self._records: dict[tuple[str, str], list[str]] = {(service, "PTR"): []}
        self.port = 0

    async def start(self) -> None:
        """Listen on a free UDP port of the loopback address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and its port."""
        self._transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def set_planner(self, name: str, port: int, **pairs: str) -> None:
        """Add or change the records of one planner."""
        instance, host = f"{name}.{self._service}", f"{name}.depots.example."
        self._records[instance, "SRV"] = [f"0 1 {port} {host}"]
        self._records[instance, "TXT"] = [" ".join(f'"{key}={value}"' for key, value in pairs.items())]
        self._records[host, "A"] = ["127.0.0.1"]
        pointers = self._records[self._service, "PTR"]
        if instance not in pointers:
            pointers.append(instance)

    def remove_planner(self, name: str) -> None:
        """Remove the records of one planner."""
        instance, host = f"{name}.{self._service}", f"{name}.depots.example."
        for key in ((instance, "SRV"), (instance, "TXT"), (host, "A")):
            del self._records[key]
        self._records[self._service, "PTR"].remove(instance)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Answer one query from the records as they are now, after the delay."""
        import dns.message
        import dns.rcode
        import dns.rdatatype
        import dns.rrset

        query = dns.message.from_wire(data)
        name, kind = query.question[0].name, dns.rdatatype.to_text(query.question[0].rdtype)
        answer = dns.message.make_response(query)
        if records := self._records.get((name.to_text(), kind)):
            answer.answer.append(dns.rrset.from_text(name, self._ttl_s, "IN", kind, *records))
        else:
            answer.set_rcode(dns.rcode.NXDOMAIN)
        wire = answer.to_wire()
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s, self._transport.sendto, wire, address)


def run_case(case_file: str, body: Callable[[Path, Record], Awaitable[bool]]) -> int:
    """Run a case: `body` returns whether the rule held; return the exit code of the script."""
    record = Record(Path(case_file).resolve().parent / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")

    async def guarded(folder: Path) -> bool:
        # SIGTERM ends the case in order, so that it ends the processes that it started.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(body(folder, record), CASE_LIMIT_S)

    with tempfile.TemporaryDirectory() as folder:
        try:
            held = asyncio.run(guarded(Path(folder)))
        except (Exception, asyncio.CancelledError) as error:
            record(f"the case could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            return COULD_NOT_RUN
    record("the rule held" if held else "THE RULE WAS BROKEN")
    print("the rule held" if held else "the rule was broken; see record.txt")
    return HELD if held else BROKEN
