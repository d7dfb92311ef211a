"""A booking runs in two data centres after the DNS-SD records of a planner have moved it to the other one."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    SETTINGS,
    TROUBLE,
    CouldNotRunError,
    HttpPlanner,
    NameServer,
    Record,
    Scheduler,
    post,
    run_case,
)

SERVICE = "_planner._tcp.depots.example."
TTL_S = 5
DRAINING_S = 6.0
ABSENT_S = 15.0
WARM_S = 12.0  # more than the settings' 8.8 s
JOBS = 40
JOB_INTERVAL_S = 0.25
DEADLINE_S = 15.0


class DataCentres:
    """What the planners of both data centres have run; those of one share the keys that they have seen."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.runs: dict[str, list[str]] = {}  # by key: the zones in which the job began to run, in order
        self._seen: set[tuple[str, str]] = set()  # zone and key
        self.loses_first_run = False

    def act(self, planner: HttpPlanner, headers: dict[str, str], _body: bytes) -> object:
        """Run a job, drop a repeat within the data centre, or lose the job in the middle of its first run."""
        key = headers["idempotency-key"]
        if (planner.zone, key) in self._seen:
            self._record(f"planner {planner.name} ({planner.zone}): drops the repeat of {key}")
            return [(0.0, {"state": "done", "result": f"booked {key}"})]
        self._seen.add((planner.zone, key))
        zones = self.runs.setdefault(key, [])
        zones.append(planner.zone)
        self._record(f"planner {planner.name} ({planner.zone}): runs {key}")
        if self.loses_first_run and len(zones) == 1:
            return [(0.1, {"state": "lost"})]
        return [(0.1, {"state": "done", "result": f"booked {key}"})]


async def book(scheduler: Scheduler, key: str, record: Record) -> None:
    """Hand in one booking, and record its answer."""
    status, body = await post(scheduler.port, f"id-{key}", "book", DEADLINE_S, b"four pallets", key)
    record(f"client: {key} answered {status} {body!r}")


async def move(server: NameServer, planner: HttpPlanner, record: Record) -> None:
    """Move planner p3 from lima-norte to arequipa: it drains, leaves, and starts there under its name."""
    server.set_planner("p3", planner.port, zone="lima-norte", kind="fast", state="draining")
    record("records: p3 drains")
    await asyncio.sleep(DRAINING_S)
    server.remove_planner("p3")
    record("records: p3 is removed")
    await asyncio.sleep(ABSENT_S)
    started = str(int(time.time() * 1000))
    server.set_planner("p3", planner.port, zone="arequipa", kind="fast", started=started)
    record("records: p3 is added, zone=arequipa")
    await asyncio.sleep(WARM_S)


async def case(folder: Path, record: Record) -> bool:
    """Start, move a planner, hand in bookings that are lost in mid-run, and look where each has run."""
    centres = DataCentres(record)
    zones = {"p1": "lima-norte", "p2": "lima-norte", "p3": "lima-norte", "p4": "arequipa"}
    planners = {name: HttpPlanner(name, zone, centres.act) for name, zone in zones.items()}
    moved = HttpPlanner("p3", "arequipa", centres.act)
    server = NameServer(SERVICE, TTL_S)
    await server.start()
    for planner in (*planners.values(), moved):
        await planner.start()
    for planner in planners.values():
        server.set_planner(planner.name, planner.port, zone=planner.zone, kind="fast")
    scheduler = Scheduler(folder, record)
    scheduler.write_config(SETTINGS, "", [])
    front = f'[dns-sd]\nserver = "127.0.0.1:{server.port}"\nservice = "{SERVICE}"\n'
    try:
        await scheduler.start("", front)
        await asyncio.sleep(2.0)
        await asyncio.gather(*(book(scheduler, f"before-{number}", record) for number in range(4)))
        if len(centres.runs) != 4:
            raise CouldNotRunError("the first bookings did not run")
        if TROUBLE:
            await move(server, moved, record)
        else:
            await asyncio.sleep(DRAINING_S + ABSENT_S + WARM_S)
        centres.loses_first_run = True
        bookings = []
        for number in range(JOBS):
            bookings.append(asyncio.create_task(book(scheduler, f"key-{number}", record)))
            await asyncio.sleep(JOB_INTERVAL_S)
        await asyncio.gather(*bookings)
        if scheduler.has_ended:
            raise CouldNotRunError(f"the scheduler ended: {scheduler.log()}")
    finally:
        await scheduler.stop()
        record(f"the scheduler's log:\n{scheduler.log()}")
    # Each first run had begun when it was lost, so it may have run; all is over within the window of 25 s.
    across = {key: zones for key, zones in centres.runs.items() if len(set(zones)) > 1}
    record(f"bookings that ran in both data centres: {len(across)} of {JOBS}: {across or 'none'}")
    return not across


if __name__ == "__main__":
    sys.exit(run_case(__file__, case))
