"""CPU, throughput and memory of translated requests, compared with the untranslated HTTP path in one run.

    python -m benchmarks.translation [--rounds 5] [--seconds 3] [--json OUT]

One scheduler without translation and one with it run side by side; the same clients load them alternately,
and stand-in planners answer at once. CPU is that of the scheduler process, from the kernel's counters.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import statistics
from collections.abc import AsyncIterator
from pathlib import Path
from time import monotonic
from typing import Any

import click
import h2.config
import h2.connection
import h2.events

from pipitshed.protocols.grpc import frame_message
from pipitshed.testbed.fleet.standins import Discovery
from pipitshed.testbed.program import RunningScheduler, scheduler
from pipitshed.worker_api import planner_pb2 as pb

JSON_JOB = {
    "origin": "LIM-03",
    "destination": "AQP-01",
    "pallets": 4,
    "weight_kg": 812.5,
    "fragile": True,
    "cutoff": "2027-01-15T08:00:00Z",
    "remark": "by the north gate",
    "goods": [{"sku": "PAL-1", "count": 4}, {"sku": "PAL-2", "count": 2}],
}
JSON_RESULT = {
    "price": 50,
    "departs": "2027-01-15T08:00:00Z",
    "lane": "night",
    "truck": "T-1",
    "stops": ["LIM-03", "AQP-01"],
}
FORM_JOB = (
    "req={}&cls=quote&member=selva-trans&wait=5&from=LIM-03&to=AQP-01&plts=4&kg=812.5&by=1800000000"
    "&frag=1&rem=by+the+north+gate"
)
RESPONSE_HEADERS = [(":status", "200"), ("content-type", "application/grpc")]


class HttpPlanner(asyncio.Protocol):
    """Planner on interface 1 (HTTP) that answers at once: started, running, done in three chunks."""

    def connection_made(self, transport: Any) -> None:
        self.transport, self.data = transport, b""

    def data_received(self, data: bytes) -> None:
        self.data += data
        while True:
            head, separator, rest = self.data.partition(b"\r\n\r\n")
            if not separator:
                return
            if not head.startswith(b"POST"):
                self.transport.close()
                return
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            if len(rest) < length:
                return
            number = head.lower().partition(b"x-request-id: ")[2].split(b"\r\n")[0].decode()
            self.data = rest[length:]
            lines = [
                {"id": number, "state": "started"},
                {"id": number, "state": "running", "share": 0.5},
                {"id": number, "state": "done", "result": json.dumps(JSON_RESULT)},
            ]
            texts = [json.dumps(line).encode() + b"\n" for line in lines]
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + b"".join(b"%x\r\n%s\r\n" % (len(text), text) for text in texts)
                + b"0\r\n\r\n"
            )


class GrpcPlanner(asyncio.Protocol):
    """Planner on interface 2 (gRPC) that answers at once, or never if `unanswering`."""

    unanswering = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.ids: dict[int, str] = {}
        self.http2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding="utf-8")
        )
        self.http2.initiate_connection()
        transport.write(self.http2.data_to_send())

    def data_received(self, data: bytes) -> None:
        for event in self.http2.receive_data(data):
            if isinstance(event, h2.events.RequestReceived):
                self.ids[event.stream_id] = dict(event.headers)["x-request-id"]
            elif isinstance(event, h2.events.DataReceived):
                self.http2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            elif isinstance(event, h2.events.StreamEnded) and not self.unanswering:
                number = self.ids.pop(event.stream_id)
                offer = pb.Offer(
                    price_cents=5000,
                    departs_ms=1_800_000_000_000,
                    lane=pb.LANE_NIGHT,
                    truck="T-1",
                    stops=["LIM-03", "AQP-01"],
                )
                self.http2.send_headers(event.stream_id, RESPONSE_HEADERS)
                self.http2.send_data(
                    event.stream_id,
                    b"".join(
                        frame_message(one.SerializeToString())
                        for one in (
                            pb.RunEvent(id=number, started=pb.Started()),
                            pb.RunEvent(id=number, running=pb.Running(share=0.5)),
                            pb.RunEvent(id=number, done=pb.Done(offer=offer)),
                        )
                    ),
                )
                self.http2.send_headers(event.stream_id, [("grpc-status", "0")], end_stream=True)
        self.transport.write(self.http2.data_to_send())


class UnansweringGrpcPlanner(GrpcPlanner):
    """Planner on interface 2 that accepts jobs and never answers."""

    unanswering = True


class EndpointRow:
    """One planner as the stand-in discovery lists it."""

    def __init__(self, port: int, interface: int, name: str) -> None:
        self.port, self.interface, self.name = port, interface, name

    def row(self) -> dict[str, object]:
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": "lima-norte",
            "cell": 0,
            "machineType": "standard",
            "lifecycle": "ready",
            "weight": 1.0,
            "startedAtMs": 0,
            "interface": self.interface,
        }


class Client(asyncio.Protocol):
    """A client that sends its next request as soon as it has an answer, until the load ends."""

    def __init__(self, name: str, load: Load) -> None:
        self.name, self.load, self.count, self.data = name, load, 0, b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.ask()

    def ask(self) -> None:
        if monotonic() >= self.load.ends_at_s:
            self.transport.close()
            self.load.client_finished()
            return
        self.count += 1
        self.transport.write(self.load.request(f"{self.name}-{self.count}"))

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, separator, rest = self.data.partition(b"\r\n\r\n")
        if not separator or len(rest) < int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0]):
            return
        self.load.answers[int(head[9:12])] = self.load.answers.get(int(head[9:12]), 0) + 1
        self.data = b""
        self.ask()


class Load:
    """Closed-loop clients that send JSON jobs or forms (`kind`) for a given time."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.body = json.dumps(JSON_JOB).encode()
        self.answers: dict[int, int] = {}

    def request(self, number: str) -> bytes:
        if self.kind == "form":
            text = FORM_JOB.format(number).encode()
            return (
                b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Type: application/x-www-form-urlencoded\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (len(text), text)
            )
        return (
            f"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: {number}\r\nX-Class: quote\r\n"
            "X-Tenant: selva-trans\r\nX-Deadline: 5.000\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(self.body)}\r\n\r\n"
        ).encode() + self.body

    def client_finished(self) -> None:
        self.active_client_count -= 1
        if not self.active_client_count:
            self.done.set()

    async def run(self, port: int, clients: int, seconds: float) -> int:
        """Load `port` for `seconds` and return the number of requests served.

        Raises SystemExit if any answer was not 200.
        """
        self.answers.clear()
        self.active_client_count, self.done = clients, asyncio.Event()
        self.ends_at_s = monotonic() + seconds
        loop = asyncio.get_running_loop()
        for number in range(clients):
            name = f"{id(self):x}-{monotonic()}-{number}"
            await loop.create_connection(lambda name=name: Client(name, self), "127.0.0.1", port)
        await self.done.wait()
        if set(self.answers) != {200}:
            raise SystemExit(f"answers by status, not all 200: {self.answers}")
        return self.answers[200]


def resident_bytes(running: RunningScheduler) -> int:
    text = Path(f"/proc/{running.process.pid}/statm").read_text()
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")


@contextlib.asynccontextmanager
async def running_scheduler(
    kind: type[asyncio.Protocol], interface: int, translate: bool
) -> AsyncIterator[RunningScheduler]:
    """A scheduler with four planners of this kind."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(kind, "127.0.0.1", 0) for _ in range(4)]
    discovery = Discovery()
    discovery.members = [
        EndpointRow(server.sockets[0].getsockname()[1], interface, f"p{index}")
        for index, server in enumerate(servers)
    ]
    await discovery.start()
    try:
        async with scheduler(discovery.port, gearman="", translate=translate) as running:
            await asyncio.sleep(0.5)
            yield running
    finally:
        discovery.close()
        for server in servers:
            server.close()


async def measure(rounds: int, seconds: float, clients: int) -> dict[str, Any]:
    runs_by_path: dict[str, list[dict[str, float]]] = {
        name: [] for name in ("http", "json to grpc", "form to grpc")
    }
    async with (
        running_scheduler(HttpPlanner, 1, False) as http_scheduler,
        running_scheduler(GrpcPlanner, 2, True) as grpc_scheduler,
    ):
        paths = {
            "http": (http_scheduler, Load("json")),
            "json to grpc": (grpc_scheduler, Load("json")),
            "form to grpc": (grpc_scheduler, Load("form")),
        }
        for running, load in paths.values():
            await load.run(running.http, clients, 0.5)  # warm-up
        for _ in range(rounds):
            for name, (running, load) in paths.items():
                cpu_before_s, started_at = running.cpu(), monotonic()
                served = await load.run(running.http, clients, seconds)
                cpu_s, duration_s = running.cpu() - cpu_before_s, monotonic() - started_at
                runs_by_path[name].append(
                    {
                        "cpu_us": cpu_s / served * 1e6,
                        "a_second": served / duration_s,
                        "on_one_core": served / cpu_s,
                    }
                )
    ratios = {
        name: [
            one["cpu_us"] / base["cpu_us"]
            for one, base in zip(runs_by_path[name], runs_by_path["http"], strict=True)
        ]
        for name in runs_by_path
    }
    figures: dict[str, Any] = {"rounds": rounds, "seconds": seconds, "clients": clients}
    for name, runs in runs_by_path.items():
        figures[name] = {key: round(statistics.median(run[key] for run in runs), 1) for key in runs[0]}
        figures[name] |= {
            "cpu_against_http": round(statistics.median(ratios[name]), 2),
            "least": round(min(ratios[name]), 2),
            "most": round(max(ratios[name]), 2),
        }
    figures["bytes_per_open_stream"] = await stream_memory()
    return figures


async def stream_memory(streams: int = 200) -> dict[str, float]:
    """Resident bytes per open request: client connection, exchange and stream to the planner."""
    async with (
        running_scheduler(UnansweringGrpcPlanner, 2, True) as grpc_scheduler,
        running_scheduler(UnansweringHttpPlanner, 1, False) as http_scheduler,
    ):
        bytes_per_stream = {}
        for name, running in (("grpc", grpc_scheduler), ("http", http_scheduler)):
            sizes = []
            writers = []
            for _ in range(3):
                sizes.append(resident_bytes(running))
                for _ in range(streams // 2):
                    load = Load("json")
                    _, writer = await asyncio.open_connection("127.0.0.1", running.http)
                    writer.write(load.request(f"m{len(writers)}").replace(b"quote", b"book"))
                    writers.append(writer)
                await asyncio.sleep(0.2)
            bytes_per_stream[name] = round((sizes[2] - sizes[1]) / (streams // 2))
            for writer in writers:
                writer.close()
        return bytes_per_stream


class UnansweringHttpPlanner(asyncio.Protocol):
    """Planner on interface 1 that accepts jobs and never answers."""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport


@click.command()
@click.option("--rounds", default=5, show_default=True)
@click.option("--seconds", default=3.0, show_default=True)
@click.option("--clients", default=16, show_default=True)
@click.option("--json", "out", type=click.Path(path_type=Path))
def main(rounds: int, seconds: float, clients: int, out: Path | None) -> None:
    """Run the benchmark and print the figures as JSON."""
    text = json.dumps(asyncio.run(measure(rounds, seconds, clients)), indent=1)
    if out is not None:
        out.write_text(text + "\n")
    click.echo(text)


if __name__ == "__main__":
    main()
