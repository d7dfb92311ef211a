"""A booking from a Gearman client runs twice after new settings have made its class unsafe to repeat."""

from __future__ import annotations

import asyncio
import copy
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    CAN_DO,
    GRAB_JOB_UNIQ,
    JOB_ASSIGN_UNIQ,
    JOB_CREATED,
    NO_JOB,
    NOOP,
    PRE_SLEEP,
    SETTINGS,
    SUBMIT_JOB,
    TROUBLE,
    WORK_COMPLETE,
    WORK_FAIL,
    CouldNotRunError,
    Discovery,
    GearmanPeer,
    Record,
    Scheduler,
    free_port,
    run_case,
)

WORKERS = 3
JOBS = 12
RUNNING_TIME_S = 0.2
RECONNECT_S = 0.3
AFTER_SIGHUP_S = 3.0  # the pages allow a new class to be used after 1.2 s
ANSWER_S = 15.5  # the class's deadline, and half a second


class Fleet:
    """The Gearman workers. Each job that says so loses the first worker that runs it, in mid-job."""

    def __init__(self, port: int, record: Record) -> None:
        self._port, self._record = port, record
        self.runs: dict[str, list[str]] = {}  # by job: the workers to which it was assigned

    async def work(self, name: str) -> None:
        """Run jobs, and connect again after each loss of the connection."""
        while True:
            try:
                await self._serve(name)
            except (asyncio.IncompleteReadError, ConnectionError):
                self._record(f"worker {name}: disconnected")
            await asyncio.sleep(RECONNECT_S)

    async def _serve(self, name: str) -> None:
        peer = await GearmanPeer.connect(self._port)
        peer.send(CAN_DO, b"book_pallet")
        while True:
            peer.send(GRAB_JOB_UNIQ)
            kind, arguments = await peer.receive()
            while kind == NOOP:
                kind, arguments = await peer.receive()
            if kind == NO_JOB:
                peer.send(PRE_SLEEP)
                kind, _ = await peer.receive()
                continue
            if kind != JOB_ASSIGN_UNIQ:
                raise CouldNotRunError(f"worker {name} got packet {kind}")
            handle, _, unique, data = arguments.split(b"\0", 3)
            job = data.decode()
            self.runs.setdefault(job, []).append(name)
            self._record(f"worker {name}: runs {job} (unique {unique.decode()})")
            await asyncio.sleep(RUNNING_TIME_S)
            if job.startswith("crash") and len(self.runs[job]) == 1:
                self._record(f"worker {name}: disconnects in the middle of {job}")
                peer.writer.transport.abort()
                return
            peer.send(WORK_COMPLETE, handle, b"booked " + data)


async def submit(port: int, job: str, record: Record) -> str:
    """Submit one job as a Gearman client, and return how it was answered."""
    client = await GearmanPeer.connect(port)
    client.send(SUBMIT_JOB, b"book_pallet", f"unique-{job}".encode(), job.encode())
    record(f"client: submits {job}")
    kind, _ = await client.receive()
    if kind != JOB_CREATED:
        raise CouldNotRunError(f"SUBMIT_JOB was answered by packet {kind}")
    while kind not in (WORK_COMPLETE, WORK_FAIL):
        kind, arguments = await client.receive()
    client.writer.close()
    answer = "WORK_COMPLETE" if kind == WORK_COMPLETE else "WORK_FAIL"
    record(f"client: {job} answered {answer} {arguments!r}")
    return answer


async def case(folder: Path, record: Record) -> bool:
    """Start, retune, submit the jobs, and count the runs of each."""
    gearman_port = free_port()
    front = (
        f'[gearman]\nlisten = ["127.0.0.1:{gearman_port}"]\n[gearman.functions]\n'
        'book_pallet = { class = "book", tenant = "andes-retail" }\n'
        '[gearman.workers]\nzone = "lima-norte"\n'
    )
    discovery = Discovery([])
    await discovery.start()
    scheduler = Scheduler(folder, record)
    scheduler.write_config(SETTINGS, discovery.address, [])
    fleet = Fleet(gearman_port, record)
    workers: list[asyncio.Task[None]] = []
    try:
        await scheduler.start(discovery.address, front)
        workers = [asyncio.create_task(fleet.work(f"w{number}")) for number in range(WORKERS)]
        await asyncio.sleep(1.0)
        if await submit(gearman_port, "before", record) != "WORK_COMPLETE":
            raise CouldNotRunError("the first booking was not served")
        settings = copy.deepcopy(SETTINGS)
        if TROUBLE:
            settings["services"][1]["repeat"] = "fragile"
            scheduler.write_config(settings, discovery.address, [])
            record("platform: new settings, `book` is fragile from now on; SIGHUP")
            scheduler.hang_up()
            await asyncio.sleep(AFTER_SIGHUP_S)
            if "settings applied" not in scheduler.log():
                raise CouldNotRunError(f"the settings were not applied: {scheduler.log()}")
        jobs = [f"{'crash' if number % 2 else 'plain'}-{number}" for number in range(JOBS)]
        for job in jobs:
            await asyncio.wait_for(submit(gearman_port, job, record), ANSWER_S)
            await asyncio.sleep(RECONNECT_S + 0.2)
        if scheduler.has_ended:
            raise CouldNotRunError(f"the scheduler ended: {scheduler.log()}")
    finally:
        for worker in workers:
            worker.cancel()
        await scheduler.stop()
        record(f"the scheduler's log:\n{scheduler.log()}")
    repeat = settings["services"][1]["repeat"]
    twice = {job: runs for job, runs in fleet.runs.items() if len(runs) > 1}
    record(f"class `book` is {repeat}; jobs that ran more than once: {twice or 'none'}")
    # `dedup` allows repeats within the zone of the first run and its window of 25 s: all workers are in that
    # zone, and no job lasts longer. `fragile` allows none, as each first run had begun.
    return repeat != "fragile" or not twice


if __name__ == "__main__":
    sys.exit(run_case(__file__, case))
