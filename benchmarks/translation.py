"""CPU, throughput and memory of translated requests, paired with the untranslated HTTP path in one run.

    python -m benchmarks.translation [--rounds 5] [--seconds 3] [--json OUT]

One scheduler without translation and one with it run side by side; each is loaded in turn, A B A B, by the
same clients through stand-in planners that answer at once. CPU is the scheduler process's own, by the kernel.
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

JOB = {
    "origin": "LIM-03",
    "destination": "AQP-01",
    "pallets": 4,
    "weight_kg": 812.5,
    "fragile": True,
    "cutoff": "2027-01-15T08:00:00Z",
    "remark": "by the north gate",
    "goods": [{"sku": "PAL-1", "count": 4}, {"sku": "PAL-2", "count": 2}],
}
RESULT = {
    "price": 50,
    "departs": "2027-01-15T08:00:00Z",
    "lane": "night",
    "truck": "T-1",
    "stops": ["LIM-03", "AQP-01"],
}
FORM = (
    "req={}&cls=quote&member=selva-trans&wait=5&from=LIM-03&to=AQP-01&plts=4&kg=812.5&by=1800000000"
    "&frag=1&rem=by+the+north+gate"
)
HEAD = [(":status", "200"), ("content-type", "application/grpc")]


class HttpPlanner(asyncio.Protocol):
    """Interface 1, at once: started, running, done in three chunks."""

    def connection_made(self, transport: Any) -> None:
        self.transport, self.data = transport, b""

    def data_received(self, data: bytes) -> None:
        self.data += data
        while True:
            head, found, rest = self.data.partition(b"\r\n\r\n")
            if not found:
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
                {"id": number, "state": "done", "result": json.dumps(RESULT)},
            ]
            texts = [json.dumps(line).encode() + b"\n" for line in lines]
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + b"".join(b"%x\r\n%s\r\n" % (len(text), text) for text in texts)
                + b"0\r\n\r\n"
            )


class GrpcPlanner(asyncio.Protocol):
    """Interface 2, at once, or never where `held`."""

    held = False

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
            elif isinstance(event, h2.events.StreamEnded) and not self.held:
                number = self.ids.pop(event.stream_id)
                offer = pb.Offer(
                    price_cents=5000,
                    departs_ms=1_800_000_000_000,
                    lane=pb.LANE_NIGHT,
                    truck="T-1",
                    stops=["LIM-03", "AQP-01"],
                )
                self.http2.send_headers(event.stream_id, HEAD)
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


class Held(GrpcPlanner):
    """It takes jobs and says nothing."""

    held = True


class Row:
    """What the stand-in discovery lists."""

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
    """One terminal that asks again as soon as it has its answer."""

    def __init__(self, name: str, load: Load) -> None:
        self.name, self.load, self.count, self.data = name, load, 0, b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.ask()

    def ask(self) -> None:
        if monotonic() >= self.load.until:
            self.transport.close()
            self.load.left()
            return
        self.count += 1
        self.transport.write(self.load.request(f"{self.name}-{self.count}"))

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, found, rest = self.data.partition(b"\r\n\r\n")
        if not found or len(rest) < int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0]):
            return
        self.load.answers[int(head[9:12])] = self.load.answers.get(int(head[9:12]), 0) + 1
        self.data = b""
        self.ask()


class Load:
    """Closed-loop clients for some seconds."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.body = json.dumps(JOB).encode()
        self.answers: dict[int, int] = {}

    def request(self, number: str) -> bytes:
        if self.kind == "form":
            text = FORM.format(number).encode()
            return (
                b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Type: application/x-www-form-urlencoded\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (len(text), text)
            )
        return (
            f"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: {number}\r\nX-Class: quote\r\n"
            "X-Tenant: selva-trans\r\nX-Deadline: 5.000\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(self.body)}\r\n\r\n"
        ).encode() + self.body

    def left(self) -> None:
        self.here -= 1
        if not self.here:
            self.done.set()

    async def run(self, port: int, clients: int, seconds: float) -> int:
        """Requests served; SystemExit where any got another answer."""
        self.answers.clear()
        self.here, self.done = clients, asyncio.Event()
        self.until = monotonic() + seconds
        loop = asyncio.get_running_loop()
        for number in range(clients):
            name = f"{id(self):x}-{monotonic()}-{number}"
            await loop.create_connection(lambda name=name: Client(name, self), "127.0.0.1", port)
        await self.done.wait()
        if set(self.answers) != {200}:
            raise SystemExit(f"answers other than 200: {self.answers}")
        return self.answers[200]


def resident(running: RunningScheduler) -> int:
    text = Path(f"/proc/{running.process.pid}/statm").read_text()
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")


@contextlib.asynccontextmanager
async def stand(
    kind: type[asyncio.Protocol], interface: int, translate: bool
) -> AsyncIterator[RunningScheduler]:
    """A scheduler before four planners of this kind."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(kind, "127.0.0.1", 0) for _ in range(4)]
    discovery = Discovery()
    discovery.members = [
        Row(server.sockets[0].getsockname()[1], interface, f"p{place}")
        for place, server in enumerate(servers)
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
    arms: dict[str, list[dict[str, float]]] = {name: [] for name in ("http", "json to grpc", "form to grpc")}
    async with stand(HttpPlanner, 1, False) as plain, stand(GrpcPlanner, 2, True) as grpc:
        where = {
            "http": (plain, Load("json")),
            "json to grpc": (grpc, Load("json")),
            "form to grpc": (grpc, Load("form")),
        }
        for running, load in where.values():
            await load.run(running.http, clients, 0.5)  # warm
        for _ in range(rounds):
            for name, (running, load) in where.items():
                before, begun = running.cpu(), monotonic()
                served = await load.run(running.http, clients, seconds)
                cpu, took = running.cpu() - before, monotonic() - begun
                arms[name].append(
                    {"cpu_us": cpu / served * 1e6, "a_second": served / took, "on_one_core": served / cpu}
                )
    ratios = {
        name: [one["cpu_us"] / base["cpu_us"] for one, base in zip(arms[name], arms["http"], strict=True)]
        for name in arms
    }
    figures: dict[str, Any] = {"rounds": rounds, "seconds": seconds, "clients": clients}
    for name, runs in arms.items():
        figures[name] = {key: round(statistics.median(run[key] for run in runs), 1) for key in runs[0]}
        figures[name] |= {
            "cpu_against_http": round(statistics.median(ratios[name]), 2),
            "least": round(min(ratios[name]), 2),
            "most": round(max(ratios[name]), 2),
        }
    figures["bytes_per_open_stream"] = await memory()
    return figures


async def memory(streams: int = 200) -> dict[str, float]:
    """Resident bytes of one more request that is out: client connection, exchange and stream."""
    async with stand(Held, 2, True) as grpc, stand(Silent, 1, False) as plain:
        found = {}
        for name, running in (("grpc", grpc), ("http", plain)):
            sizes = []
            writers = []
            for _ in range(3):
                sizes.append(resident(running))
                for _ in range(streams // 2):
                    load = Load("json")
                    _, writer = await asyncio.open_connection("127.0.0.1", running.http)
                    writer.write(load.request(f"m{len(writers)}").replace(b"quote", b"book"))
                    writers.append(writer)
                await asyncio.sleep(0.2)
            found[name] = round((sizes[2] - sizes[1]) / (streams // 2))
            for writer in writers:
                writer.close()
        return found


class Silent(asyncio.Protocol):
    """Interface 1 that takes jobs and says nothing."""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport


@click.command()
@click.option("--rounds", default=5, show_default=True)
@click.option("--seconds", default=3.0, show_default=True)
@click.option("--clients", default=16, show_default=True)
@click.option("--json", "out", type=click.Path(path_type=Path))
def main(rounds: int, seconds: float, clients: int, out: Path | None) -> None:
    """Measure, and print the figures."""
    text = json.dumps(asyncio.run(measure(rounds, seconds, clients)), indent=1)
    if out is not None:
        out.write_text(text + "\n")
    click.echo(text)


if __name__ == "__main__":
    main()
