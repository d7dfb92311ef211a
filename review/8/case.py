"""A Gearman worker that runs two jobs on its connection, and hangs in the middle of one of them."""

# ruff: noqa: D102, D103

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

FRONT = """
[gearman]
listen = ["127.0.0.1:{port}"]
[gearman.functions]
book_pallet = {{ class = "book", tenant = "andes-retail", patience-s = 15.0 }}
"""
CAN_DO, PRE_SLEEP, NOOP, NO_JOB, WORK_STATUS, GRAB_JOB_UNIQ, JOB_ASSIGN_UNIQ = 1, 4, 6, 10, 12, 30, 31
SLOTS = 2  # of a worker
WORK_S, TELLS_EVERY_S = 9.0, 1.0
HANGS_AFTER_S, HANGS_FOR_S = 1.0, 5.0  # the second job of the first worker


class Worker:
    """A worker with two slots on one connection; it tells the progress of each job that it runs."""

    out: dict[str, list[Worker]] = {}  # unique id: the workers that run its job at this moment
    ended: dict[str, list[str]] = {}  # unique id: the workers that have run its job to the end
    broken: list[str] = []

    def __init__(self, name: str, record: rig.Record, hangs: bool) -> None:
        self.name, self.record, self.hangs = name, record, hangs
        self.peer: rig.Gearman | None = None
        self.jobs: list[asyncio.Task[None]] = []

    @property
    def is_connected(self) -> bool:
        """Whether the scheduler has left the connection open."""
        peer = self.peer
        return peer is not None and not peer.reader.at_eof() and not peer.writer.is_closing()

    async def serve(self, port: int) -> None:
        peer = self.peer = await rig.Gearman.connect(port)
        peer.send(CAN_DO, b"book_pallet")
        peer.send(GRAB_JOB_UNIQ)
        while True:
            kind, arguments = await peer.receive()
            if kind == NO_JOB:
                peer.send(PRE_SLEEP)
            elif kind == NOOP:
                peer.send(GRAB_JOB_UNIQ)
            elif kind == JOB_ASSIGN_UNIQ:
                is_stuck = self.hangs and len(self.jobs) == 1
                self.jobs.append(asyncio.ensure_future(self.run(peer, arguments, is_stuck)))
                if len(self.jobs) < SLOTS:
                    peer.send(GRAB_JOB_UNIQ)

    async def run(self, peer: rig.Gearman, arguments: list[bytes], is_stuck: bool) -> None:
        handle, unique = arguments[0], arguments[2].decode()
        self.record.add(f"{self.name} is assigned {unique}")
        out = self.out.setdefault(unique, [])
        self.broken += [
            f"{unique} was assigned to {self.name} while it was out at {other.name}, on an open connection"
            for other in out
            if other.is_connected
        ]
        out.append(self)
        elapsed_s = 0.0
        while elapsed_s < WORK_S:
            if is_stuck and elapsed_s >= HANGS_AFTER_S:
                is_stuck = False
                self.record.add(f"{self.name} hangs in {unique}")
                await asyncio.sleep(HANGS_FOR_S)
                self.record.add(f"{self.name} goes on with {unique}")
            peer.send(WORK_STATUS, handle, b"%d" % elapsed_s, b"%d" % WORK_S)
            await asyncio.sleep(TELLS_EVERY_S)
            elapsed_s += TELLS_EVERY_S
        out.remove(self)
        self.ended.setdefault(unique, []).append(self.name)
        self.record.add(f"{self.name} has run {unique} to its end")
        if self.is_connected:
            peer.send(rig.Gearman.COMPLETE, handle, f"booked by {self.name}".encode())


async def case(record: rig.Record, folder: Path, cleanup: rig.Cleanup) -> list[str]:
    discovery = rig.Discovery(record, [])
    cleanup.add(discovery)
    await discovery.start()
    front, port = folder / "front.toml", rig.free_port()
    front.write_text(FRONT.format(port=port))
    scheduler = rig.Scheduler(folder, record, rig.config(discovery), f"--front {front}")
    cleanup.add(scheduler)
    await scheduler.start()
    await scheduler.ready()
    workers = [Worker("worker-1", record, rig.TROUBLE), Worker("worker-2", record, False)]

    async def book(unique: str) -> None:
        client = await rig.Gearman.connect(port)
        await client.submit("book_pallet", unique, f"pallet of {unique}")
        state, _, result = await client.result()
        record.add(f"client of {unique} gets {state} {result!r}")
        client.writer.close()

    tasks = [asyncio.ensure_future(workers[0].serve(port))]
    await asyncio.sleep(0.3)
    clients = []
    for number in range(SLOTS):
        clients.append(asyncio.ensure_future(book(f"order-{number}")))
        await asyncio.sleep(0.3)
    tasks.append(asyncio.ensure_future(workers[1].serve(port)))
    await asyncio.gather(*clients)
    await asyncio.gather(*(job for worker in workers for job in worker.jobs))
    for unique, names in Worker.ended.items():
        record.add(f"{unique} was run to its end by {', '.join(names)}")
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return Worker.broken


rig.main(case, FOLDER)
