"""Frontends, worker clients, metrics, log and trace write the same bytes on sockets as commit 9bcbde6.

Times, random ids and ports are masked; everything else is compared byte by byte.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from collections.abc import Awaitable, Callable
from pathlib import Path

from loopback import (
    FRONT,
    GearmanPeer,
    HttpClient,
    Planner,
    Reader,
    Run,
    Writer,
    admin_request,
    async_test,
    program,
)

from pipitshed.protocols.gearman import PacketType

GOLDEN = Path(__file__).parent / "golden" / "transcripts.json"
MASKS = [
    (rb"X-Deadline: [0-9.]+", b"X-Deadline: #"),
    (rb"Retry-After: [0-9.]+", b"Retry-After: #"),
    (rb"H:[A-Za-z0-9:-]+", b"H:#"),
    (rb"X-Request-Id: gearman-[0-9a-f-]+", b"X-Request-Id: gearman-#"),
    (rb"X-Request-Id: [0-9a-f]{8}[0-9a-f-]*", b"X-Request-Id: #"),
    (rb"127\.0\.0\.1:[0-9]+", b"127.0.0.1:#"),
]
Transcript = dict[str, str]

REQUESTS = {
    "a job": b"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\n"
    b"X-Class: quote\r\nX-Tenant: andes-retail\r\n"
    b"X-Deadline: 5\r\nContent-Length: 3\r\n\r\nsix",
    "a keyed job": b"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r2\r\n"
    b"X-Class: book\r\nIdempotency-Key: k1\r\n"
    b"X-Extras: slots=2, memory=1.5\r\nX-Cost-Hint: 12\r\nX-Retry: 1\r\nCookie: sid=1f\r\n"
    b"Content-Length: 4\r\n\r\nbook",
    "a chunked job": b"POST /api?x=1 HTTP/1.1\r\nHost: a\r\nX-Request-Id: r3\r\nX-Class: quote\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n3\r\nsix\r\n0\r\n\r\n",
    "a job that fails": b"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r4\r\nX-Class: book\r\n"
    b"Content-Length: 4\r\n\r\nfail",
    "a job that finds no room": b"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r5\r\nX-Class: quote\r\n"
    b"X-Deadline: 0.2\r\nContent-Length: 4\r\n\r\nfull",
    "no class": b"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r6\r\n"
    b"X-Class: none\r\nContent-Length: 0\r\n\r\n",
    "a header told twice": b"POST /api HTTP/1.1\r\nHost: a\r\nX-Class: quote\r\nX-Class: book\r\n\r\n",
    "health": b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n",
    "no such page": b"GET /other HTTP/1.1\r\nHost: a\r\n\r\n",
    "another verb": b"PUT /api HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
    "no HTTP": b"hello\r\n\r\n",
    "a body too long": b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n",
    "a head too long": b"GET /_health HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 400_000 + b"\r\n\r\n",
}


def masked(data: bytes) -> str:
    """Bytes as text, with the parts masked that differ between runs."""
    for pattern, text in MASKS:
        data = re.sub(pattern, text, data)
    return data.decode("latin-1")


class RecordingPlanner(Planner):
    """A stand-in worker that stores the received bytes of each request."""

    def __init__(self) -> None:
        super().__init__("p1", act=self.answer)
        self.received_bytes: list[bytes] = []

    @staticmethod
    def answer(run: Run) -> None:
        if run.body == b"full":
            run.send_event("returned")
        elif run.body == b"fail":
            run.send_event("started")
            run.send_event("failed", result="no such flight")
        else:
            run.serve()

    async def serve(self, reader: Reader, writer: Writer) -> None:
        copied_reader = asyncio.StreamReader()
        copy_task = asyncio.create_task(self.copy_bytes(reader, copied_reader))
        try:
            await super().serve(copied_reader, writer)
        finally:
            copy_task.cancel()

    async def copy_bytes(self, reader: Reader, copied_reader: asyncio.StreamReader) -> None:
        while data := await reader.read(65536):
            self.received_bytes.append(data)
            copied_reader.feed_data(data)
        copied_reader.feed_eof()


async def http_transcript() -> Transcript:
    """For each request, on a connection of its own: the answer and the bytes sent to the worker."""
    transcript = {}
    settings = {
        "permissions": {
            "cancel": True,
            "connectTimeout": 250.0,
            "idleClose": 30000.0,
            "maxAttempts": 1,
            "probes": True,
        }
    }
    async with RecordingPlanner() as planner, program(planner, settings=settings, mgmt=True) as running:
        for name, request in REQUESTS.items():
            planner.received_bytes.clear()
            reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
            writer.write(request)
            answer = await reader.readuntil(b"\r\n\r\n")
            length = int(re.search(rb"Content-Length: ([0-9]+)", answer)[1])  # type: ignore[index]
            answer += await reader.readexactly(length)
            writer.close()
            transcript[name] = masked(answer)
            transcript[f"{name}, sent on"] = masked(b"".join(planner.received_bytes))
        status, metrics = await admin_request(
            running.mgmt_port, b"GET /-/metrics HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        transcript["figures"] = metrics.decode()
        status, ready = await admin_request(running.mgmt_port, b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        transcript["ready"] = f"{status} {ready.decode()}"
    return transcript


async def gearman_transcript() -> Transcript:
    """The bytes that a Gearman client, worker and administrator receive."""
    transcript = {}
    async with (
        Planner("p1", act=RecordingPlanner.answer) as planner,
        program(planner, front=FRONT) as running,
    ):
        client = await GearmanPeer.to(running.gearman_port)
        for name, kind, arguments, answers in (
            ("echo", PacketType.ECHO_REQ, (b"here",), 1),
            ("a job", PacketType.SUBMIT_JOB, (b"plan_quote", b"u1", b"six"), 2),
            ("a job in the background", PacketType.SUBMIT_JOB_BG, (b"plan_quote", b"u2", b"six"), 1),
            ("a job that fails", PacketType.SUBMIT_JOB_HIGH, (b"plan_quote", b"u3", b"fail"), 3),
            ("no such function", PacketType.SUBMIT_JOB, (b"none", b"u4", b""), 1),
            ("an option", PacketType.OPTION_REQ, (b"exceptions",), 1),
            ("a job that fails, with exceptions", PacketType.SUBMIT_JOB, (b"plan_quote", b"u5", b"fail"), 3),
        ):
            client.send(kind, *arguments)
            received = b""
            with contextlib.suppress(TimeoutError):
                for _ in range(answers):
                    async with asyncio.timeout(2.0):
                        head = await client.reader.readexactly(12)
                        received += head + await client.reader.readexactly(int.from_bytes(head[8:], "big"))
            transcript[f"gearman: {name}"] = masked(re.sub(rb"(?s)(\0RES.{4}).{4}", rb"\1", received))
        for command in (b"version", b"nonsense"):
            reader, writer = await asyncio.open_connection("127.0.0.1", running.gearman_port)
            writer.write(command + b"\n")
            transcript[f"gearman: {command.decode()}"] = masked(await reader.readline())
            writer.close()
    async with program(front=FRONT) as running:
        worker = await GearmanPeer.to(running.gearman_port)
        await worker.register(b"plan_quote")
        client = await HttpClient.to(running.port)
        client.ask("a1", body=b"six")
        head = await worker.reader.readexactly(12)
        worker.send(PacketType.GRAB_JOB_ALL)
        assign = await worker.reader.readexactly(12)
        arguments = await worker.reader.readexactly(int.from_bytes(assign[8:], "big"))
        transcript["gearman: to a worker"] = masked(head + assign[:8] + arguments)
        worker.send(PacketType.WORK_COMPLETE, arguments.split(b"\0")[0], b"plan of six")
        transcript["gearman: from a worker"] = repr((await client.answer())[::2])
    return transcript


async def trace_transcript(folder: Path) -> Transcript:
    """The trace file of LB_TRACE, and the log."""
    trace = folder / "trace"
    async with Planner("p1") as planner, program(planner, env={"LB_TRACE": str(trace)}) as running:
        client = await HttpClient.to(running.port)
        client.ask("a1", body=b"six")
        await client.answer()
        client.ask("a2", "book", body=b"six", idempotency_key="k1")
        await client.answer()
    lines = [
        line
        for line in trace.read_text().splitlines()
        if "WatchList" not in line and "kind=FAILED" not in line
    ]
    settings, *turns = lines
    *lines, ended = (line for line in running.log if line)
    return {
        "trace: settings": settings,
        "trace": "\n".join(
            re.sub(r"^[0-9.]+|elapsed=[0-9.]+|time_left=[0-9.]+", "#", line) for line in turns
        ),
        "levels of the log": " ".join(line.split()[0] for line in lines),
        "last line of the log": re.sub(r"list calls=[0-9]+ ", "", ended),
    }


def compare(transcript: Transcript) -> None:
    """Compare each part with the golden file; a part that the golden file lacks raises KeyError."""
    expected = json.loads(GOLDEN.read_text())
    for name, text in transcript.items():
        assert text == expected[name], name


def _golden(transcript: Callable[[], Awaitable[Transcript]]) -> Callable[[], None]:
    async def body() -> None:
        compare(await transcript())

    body.__name__ = transcript.__name__
    return async_test(body)


test_http_clients_and_workers_read_the_same_bytes = _golden(http_transcript)
test_gearman_clients_and_workers_read_the_same_bytes = _golden(gearman_transcript)


def test_the_trace_and_the_log_have_the_same_lines(tmp_path: Path) -> None:
    asyncio.run(asyncio.wait_for(_trace_compared(tmp_path), 20.0))


async def _trace_compared(folder: Path) -> None:
    compare(await trace_transcript(folder))
