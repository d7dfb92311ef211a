"""Planners in another data centre, some of whose answers are followed by a second one, 8 ms late."""

# ruff: noqa: D102, D103

from __future__ import annotations

import asyncio
import json
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

JOBS, JOBS_PER_S = 1500, 30.0
WORK_S = 0.15
ONE_WAY_S = 0.010  # between the data centres: 7.5 to 13 ms
SPOILT = 0.15  # of the answers
LATE_S = 0.008
SECOND_ANSWER = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


class FarWriter:
    """What is written arrives `ONE_WAY_S` later."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer

    def write(self, data: bytes) -> None:
        asyncio.get_running_loop().call_later(ONE_WAY_S, self._arrive, data)

    def _arrive(self, data: bytes) -> None:
        if not self.writer.is_closing():
            self.writer.write(data)


class Out:
    """An attempt that a planner has received whole; out until its answer ends or its connection is closed."""

    def __init__(self, planner: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.planner, self.reader, self.writer = planner, reader, writer
        self.has_ended = False

    def is_out(self) -> bool:
        return not (self.has_ended or self.reader.at_eof() or self.writer.is_closing())


class Planner(rig.Planner):
    """A planner that takes one request at a time on a connection, and repeats itself now and then."""

    out: dict[str, list[Out]] = {}
    broken: list[str] = []
    random = random.Random(1)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far, loop = FarWriter(writer), asyncio.get_running_loop()
        while True:
            _, headers = await rig.read_head(reader)
            await reader.readexactly(int(headers.get("content-length", "0")))
            await asyncio.sleep(ONE_WAY_S)
            number = headers["x-request-id"]
            earlier = self.out.setdefault(number, [])
            self.record.add(f"{self.name} gets {number}, attempt {len(earlier) + 1}")
            where = [one.planner for one in earlier if one.is_out()]
            self.broken += [
                f"{number} reached {self.name} while its attempt at {name} was out" for name in where
            ]
            attempt = Out(self.name, reader, writer)
            earlier.append(attempt)
            far.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _line(number, "started"))
            await asyncio.sleep(WORK_S)
            far.write(_line(number, "done", result=f"route {number}") + b"0\r\n\r\n")
            attempt.has_ended = True
            if rig.TROUBLE and self.random.random() < SPOILT:
                self.record.add(f"{self.name} answers {number} a second time, {LATE_S * 1000:.0f} ms late")
                loop.call_later(LATE_S, far.write, SECOND_ANSWER)


def _line(number: str, state: str, **more: str) -> bytes:
    return rig.chunk(json.dumps({"id": number, "state": state} | more).encode() + b"\n")


async def case(record: rig.Record, folder: Path, cleanup: rig.Cleanup) -> list[str]:
    async def never(_: rig.Attempt) -> str:
        return ""

    planners = [Planner(f"s-{number}", record, never, zone="arequipa") for number in range(2)]
    discovery = rig.Discovery(record, planners)
    cleanup.add(*planners, discovery)
    for server in (*planners, discovery):
        await server.start()
    scheduler = rig.Scheduler(folder, record, rig.config(discovery))
    cleanup.add(scheduler)
    await scheduler.start()
    await scheduler.ready()

    async def ask(number: int) -> None:
        name, is_book = f"c{number:015d}", number % 2 == 0
        reader, writer = await asyncio.open_connection("127.0.0.1", scheduler.port)
        key = f"key-{number}" if is_book else ""
        writer.write(rig.post(name, "book" if is_book else "quote", f"pallet {number}", 5.0, key))
        status, _ = await rig.answer(reader)
        record.add(f"client gets {status} for {name}")
        writer.close()

    asks = []
    for number in range(JOBS):
        asks.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(Planner.random.expovariate(JOBS_PER_S))
    await asyncio.gather(*asks)
    return Planner.broken


rig.main(case, FOLDER)
