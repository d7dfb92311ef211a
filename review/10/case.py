"""A planner known from DNS-SD drains, and its TXT record vanishes before its others."""

# ruff: noqa: D102, D103

from __future__ import annotations

import asyncio
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
GRACE_S = 1.5 + 0.05  # each time limit is 50 ms longer
JOBS_PER_S = 10.0
WORK_S = 1.0
DRAIN_AT_S, VANISH_AT_S, END_AT_S, RUN_S = 2.0, 6.0, 10.0, 12.0
PRINT = {"name": "print", "deadline": 5000.0, "goalTime": 500.0, "gain": 8.0, "repeat": "fragile"}
SETTINGS = {"areas": ["lima-norte"], "services": [PRINT]}


def wire_name(name: str) -> bytes:
    return b"".join(bytes([len(part)]) + part.encode() for part in name.rstrip(".").split(".")) + b"\0"


class NameServer(asyncio.DatagramProtocol):
    """Answers from `records`, by name and type; a type that a name lacks gets an answer without records."""

    def __init__(self, record: rig.Record) -> None:
        self.record = record
        self.records: dict[tuple[str, int], list[bytes]] = {}
        self.draining_told_at = 0.0
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
        if not self.draining_told_at and any(b"state=draining" in answer for answer in answers):
            self.draining_told_at = monotonic()
            self.record.add(f"the name server has told the scheduler that {labels[0]} drains")

    def add(self, planner: rig.Planner, *texts: str) -> None:
        name, host = f"{planner.name}.{SERVICE}", f"{planner.name}.depots.example."
        pointers = self.records.setdefault((SERVICE, PTR), [])
        if wire_name(name) not in pointers:
            pointers.append(wire_name(name))
        self.records[name, SRV] = [struct.pack(">HHH", 0, 1, planner.port) + wire_name(host)]
        self.records[host, A] = [bytes([127, 0, 0, 1])]
        pairs = [f"zone={planner.zone}", *texts]
        self.records[name, TXT] = [b"".join(bytes([len(pair)]) + pair.encode() for pair in pairs)]

    def remove(self, planner: rig.Planner) -> None:
        name = f"{planner.name}.{SERVICE}"
        self.records[SERVICE, PTR].remove(wire_name(name))
        self.records = {key: records for key, records in self.records.items() if key[0] != name}


class Clients:
    """Each job on a connection of its own."""

    def __init__(self, record: rig.Record, port: int) -> None:
        self.record, self.port = record, port
        self.statuses: dict[int, int] = {}

    async def ask(self, number: int) -> None:
        name = f"c{number:015d}"
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(rig.post(name, "print", f"map {number}", 5.0))
        status, _ = await rig.answer(reader)
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.record.add(f"client gets {status} for {name}")
        writer.close()

    async def run(self) -> None:
        """Send jobs at the rate of the case, and wait for all answers."""
        started, asks = monotonic(), []
        while monotonic() - started < RUN_S:
            asks.append(asyncio.create_task(self.ask(len(asks))))
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.gather(*asks)
        self.record.add(f"answers by status: {self.statuses}")


async def case(record: rig.Record, folder: Path, cleanup: rig.Cleanup) -> list[str]:
    async def work(attempt: rig.Attempt) -> str:
        await asyncio.sleep(WORK_S)
        return f"route for {attempt.body}"

    planners = [rig.Planner(f"p{number}", record, work) for number in range(3)]
    cleanup.add(*planners)
    for planner in planners:
        await planner.start()
    port = rig.free_port()
    names = NameServer(record)
    await asyncio.get_running_loop().create_datagram_endpoint(lambda: names, local_addr=("127.0.0.1", port))
    for planner in planners:
        names.add(planner)
    front = folder / "front.toml"
    front.write_text(f'[dns-sd]\nserver = "127.0.0.1:{port}"\nservice = "{SERVICE}"\n')
    scheduler = rig.Scheduler(folder, record, rig.config(None, SETTINGS), f"--front {front}")
    cleanup.add(scheduler)
    await scheduler.start()
    await scheduler.ready()
    await asyncio.sleep(1.0)

    def drain() -> None:
        names.add(planners[0], "state=draining")
        record.add("p0 begins to drain: its TXT record holds state=draining")

    def vanish() -> None:
        del names.records[f"p0.{SERVICE}", TXT]
        record.add("p0's TXT record vanishes; its PTR, SRV and A records stand")

    def end() -> None:
        names.remove(planners[0])
        planners[0].crash()
        record.add("p0 has drained and ends, and its records with it")

    for at_s, change in ((DRAIN_AT_S, drain), (VANISH_AT_S, vanish), (END_AT_S, end)):
        if rig.TROUBLE or change is not vanish:
            asyncio.get_running_loop().call_later(at_s, change)
    await Clients(record, scheduler.port).run()
    told_at = names.draining_told_at
    late = [attempt for attempt in planners[0].attempts if told_at and attempt.at > told_at + GRACE_S]
    return [f"{attempt.id} was sent to p0 {attempt.at - told_at:.2f} s after it was told" for attempt in late]


rig.main(case, FOLDER)
