"""Planners known from DNS-SD records; the TXT record of one vanishes, its other records stand."""

# ruff: noqa: D102, D103

from __future__ import annotations

import asyncio
import json
import random
import struct
import sys
from pathlib import Path
from time import monotonic

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

SERVICE = "_planner._tcp.depots.example."
PTR, TXT, SRV, A = 12, 16, 33, 1
TTL_S = 1
CELLS = {"p0": 1, "p1": 1, "p2": 0, "p3": 0}  # the planners of one cell drop a repeat of each other's jobs
JOBS_PER_S = 10.0
WORK_S = 0.2
LOST = 0.2  # of the jobs are killed as they run, with the disruption and without
VANISH_AT_S, RUN_S = 4.0, 16.0
REDRAW = {
    "name": "redraw",
    "deadline": 6000.0,
    "goalTime": 250.0,
    "gain": 3.0,
    "repeat": "dedup",
    "keyScope": "cell",
    "window": 10000.0,
}
SETTINGS = {"areas": ["cairo"], "services": [REDRAW]}


def wire_name(name: str) -> bytes:
    return b"".join(bytes([len(part)]) + part.encode() for part in name.rstrip(".").split(".")) + b"\0"


class NameServer(asyncio.DatagramProtocol):
    """Answers from `records`, by name and type; a type that a name lacks gets an answer without records."""

    def __init__(self) -> None:
        self.records: dict[tuple[str, int], list[bytes]] = {}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        (number,) = struct.unpack(">H", data[:2])
        offset, labels = 12, []
        while data[offset]:
            labels.append(data[offset + 1 : offset + 1 + data[offset]].decode())
            offset += 1 + data[offset]
        (kind,) = struct.unpack(">H", data[offset + 1 : offset + 3])
        name = ".".join(labels).lower() + "."
        answers = self.records.get((name, kind), [])
        packet = struct.pack(">HHHHHH", number, 0x8400, 1, len(answers), 0, 0) + data[12 : offset + 5]
        for answer in answers:
            packet += wire_name(name) + struct.pack(">HHIH", kind, 1, TTL_S, len(answer)) + answer
        assert self.transport is not None
        self.transport.sendto(packet, address)

    def add(self, planner: Planner) -> None:
        name, host = f"{planner.name}.{SERVICE}", f"{planner.name}.depots.example."
        self.records.setdefault((SERVICE, PTR), []).append(wire_name(name))
        self.records[name, SRV] = [struct.pack(">HHH", 0, 1, planner.port) + wire_name(host)]
        self.records[host, A] = [bytes([127, 0, 0, 1])]
        pairs = ["zone=cairo", f"cell={CELLS[planner.name]}", "state=ready"]
        self.records[name, TXT] = [b"".join(bytes([len(pair)]) + pair.encode() for pair in pairs)]


class Planner(rig.Planner):
    """A planner that drops the repeat of a job that its cell runs or has run; a killed one starts over."""

    begun: dict[str, dict[int, str]] = {}  # key: how its job stands in each cell in which it was begun
    broken: list[str] = []
    random = random.Random(1)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        cell = CELLS[self.name]
        while True:
            _, headers = await rig.read_head(reader)
            await reader.readexactly(int(headers.get("content-length", "0")))
            number, key = headers["x-request-id"], headers["idempotency-key"]
            cells = self.begun.setdefault(key, {})
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(_line(number, "started"))
            if cells.get(cell, "killed") != "killed":
                self.record.add(f"{self.name} of cell {cell} drops the repeat of {key}")
                writer.write(_line(number, "done", result=f"map of {key}") + b"0\r\n\r\n")
                continue
            self.record.add(f"{self.name} of cell {cell} runs {key}")
            others = [other for other in cells if other != cell]
            self.broken += [
                f"{key} was run in cell {cell}, after it was begun in cell {other}" for other in others
            ]
            cells[cell] = "begun"
            await asyncio.sleep(WORK_S)
            if self.random.random() < LOST:
                self.record.add(f"{self.name}: the job of {key} is killed")
                cells[cell] = "killed"
                writer.write(_line(number, "lost") + b"0\r\n\r\n")
            else:
                writer.write(_line(number, "done", result=f"map of {key}") + b"0\r\n\r\n")


def _line(number: str, state: str, **more: str) -> bytes:
    return rig.chunk(json.dumps({"id": number, "state": state} | more).encode() + b"\n")


async def clients(record: rig.Record, port: int) -> None:
    """Send jobs, each on a connection of its own, and wait for all answers."""

    async def ask(number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(rig.post(f"c{number:015d}", "redraw", f"map {number}", 6.0, f"key-{number}"))
        status, _ = await rig.answer(reader)
        record.add(f"client gets {status} for key-{number}")
        writer.close()

    started, asks = monotonic(), []
    while monotonic() - started < RUN_S:
        asks.append(asyncio.create_task(ask(len(asks))))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*asks)


async def case(record: rig.Record, folder: Path, cleanup: rig.Cleanup) -> list[str]:
    async def never(_: rig.Attempt) -> str:
        return ""

    planners = [Planner(name, record, never) for name in CELLS]
    cleanup.add(*planners)
    port, names = rig.free_port(), NameServer()
    await asyncio.get_running_loop().create_datagram_endpoint(lambda: names, local_addr=("127.0.0.1", port))
    for planner in planners:
        await planner.start()
        names.add(planner)
    front = folder / "front.toml"
    front.write_text(f'[dns-sd]\nserver = "127.0.0.1:{port}"\nservice = "{SERVICE}"\n')
    scheduler = rig.Scheduler(folder, record, rig.config(None, SETTINGS), f"--front {front}")
    cleanup.add(scheduler)
    await scheduler.start()
    await scheduler.ready()
    await asyncio.sleep(1.0)

    def vanish() -> None:
        del names.records[f"p0.{SERVICE}", TXT]
        record.add("p0's TXT record vanishes; its PTR, SRV and A records stand")

    if rig.TROUBLE:
        asyncio.get_running_loop().call_later(VANISH_AT_S, vanish)
    await clients(record, scheduler.port)
    return Planner.broken


rig.main(case, FOLDER)
