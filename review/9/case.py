"""The planners of one kind are replaced; what their class waited with goes to the first one back, cold."""

# ruff: noqa: D102, D103

from __future__ import annotations

import asyncio
import math
import sys
from pathlib import Path
from time import monotonic, time

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

SLOTS = 4
WORK_S = 0.4  # of each job: a warm planner does SLOTS / WORK_S = 10 a second
JOBS_PER_S = 8.0  # of the class; the two planners of its kind can do 20
QUIET_S, RUN_S = 4.0, 22.0
DRAIN_S, BACK_AT_S, NEXT_BACK_S = 1.0, 5.0, 1.5  # of the replacement, which takes 6.5 s
FALLS_AFTER_S = 0.3  # after it has got too much
NOTICE_S = 2.0  # after which discovery knows that a planner is gone
RULES = rig.SETTINGS["rules"]
WINDOW_S, COLD_S = RULES["overloadFor"] / 1000, RULES["cold"] / 1000
# The jobs of `book` need the first kind of machine.
SETTINGS = {"familyInfo": {"tellsStart": True, "progress": 2000.0, "classKind": [-1, 0]}}


def capacity(age_s: float) -> float:
    """Jobs a second of a planner of this age; it warms up evenly, from `coldFrom` on."""
    part = RULES["coldFrom"] + (1 - RULES["coldFrom"]) * min(1.0, age_s / COLD_S)
    return part * SLOTS / WORK_S


def bound(age_s: float) -> float:
    """What a planner of this age bears in a window that ends now: N, and the page's room for chance."""
    allowed = RULES["tipMultiple"] * capacity(age_s) * WINDOW_S
    return allowed + (2 * math.sqrt(allowed) + 2 if allowed >= 30 else 3 * math.sqrt(allowed) + 3)


class Fleet:
    """Two fast planners and two slow ones, and what each got since it is back."""

    def __init__(self, record: rig.Record) -> None:
        self.record = record
        self.broken: dict[str, str] = {}  # the fall of each planner
        self.back_at: dict[str, float] = {}
        self.arrivals: dict[str, list[float]] = {}
        kinds = {"fast-0": "fast", "fast-1": "fast", "slow-0": "slow", "slow-1": "slow"}
        self.slots = {name: asyncio.Semaphore(SLOTS) for name in kinds}
        self.planners = [rig.Planner(name, record, self.work, kind=kind) for name, kind in kinds.items()]
        self.discovery = rig.Discovery(record, self.planners)

    async def work(self, attempt: rig.Attempt) -> str:
        name, age_s = attempt.planner.name, COLD_S
        if name in self.back_at:
            age_s = attempt.at - self.back_at[name]
            self.count(name, attempt.at, age_s)
        async with self.slots[name]:
            await asyncio.sleep(SLOTS / capacity(age_s))
        return f"booked {attempt.body}"

    def count(self, name: str, now: float, age_s: float) -> None:
        arrivals = self.arrivals.setdefault(name, [])
        arrivals.append(now)
        count = sum(now - at < WINDOW_S for at in arrivals)
        if age_s < COLD_S and count > bound(age_s) and name not in self.broken:
            self.broken[name] = (
                f"{name}, {age_s:.2f} s old, got {count} jobs in {WINDOW_S} s, and bears {bound(age_s):.1f}"
            )
            asyncio.get_running_loop().call_later(FALLS_AFTER_S, self.fall, name)

    def fall(self, name: str) -> None:
        """A planner that is sent too much falls over and remains down, with all that it has."""
        self.record.add(f"{name} falls over; it got {self.most(name)} jobs within {WINDOW_S} s")
        planner = next(planner for planner in self.planners if planner.name == name)
        planner.crash()
        asyncio.get_running_loop().call_later(NOTICE_S, self.discovery.tell, planner.entry("gone"))

    async def replace(self) -> None:
        """The planners of a kind drain, go, and are back one after the other."""
        fast = self.planners[:2]
        self.discovery.tell(*(planner.entry("draining") for planner in fast))
        await asyncio.sleep(DRAIN_S)
        self.discovery.tell(*(planner.entry("gone") for planner in fast))
        for planner in fast:
            planner.crash()
        await asyncio.sleep(BACK_AT_S - DRAIN_S)
        for planner in fast:
            await planner.start()
            planner.started_ms = time() * 1000
            self.back_at[planner.name] = monotonic()
            self.discovery.tell(planner.entry("ready"))
            await asyncio.sleep(NEXT_BACK_S)

    def most(self, name: str) -> int:
        """The most jobs that a planner got in one window while it was cold."""
        cold = [at for at in self.arrivals.get(name, ()) if at - self.back_at[name] < COLD_S]
        return max((sum(now - WINDOW_S < at <= now for at in cold) for now in cold), default=0)


async def case(record: rig.Record, folder: Path, cleanup: rig.Cleanup) -> list[str]:
    fleet = Fleet(record)
    cleanup.add(*fleet.planners, fleet.discovery)
    for server in (*fleet.planners, fleet.discovery):
        await server.start()
    scheduler = rig.Scheduler(folder, record, rig.config(fleet.discovery, SETTINGS))
    cleanup.add(scheduler)
    await scheduler.start()
    await scheduler.ready()

    async def ask(number: int) -> None:
        name = f"c{number:015d}"
        reader, writer = await asyncio.open_connection("127.0.0.1", scheduler.port)
        writer.write(rig.post(name, "book", f"pallet {number}", 15.0, f"key-{number}"))
        status, _ = await rig.answer(reader)
        statuses[status] = statuses.get(status, 0) + 1
        record.add(f"client gets {status} for {name}")
        writer.close()

    statuses: dict[int, int] = {}
    started, tasks = monotonic(), []
    if rig.TROUBLE:
        asyncio.get_running_loop().call_later(
            QUIET_S, lambda: tasks.append(asyncio.create_task(fleet.replace()))
        )
    while monotonic() - started < RUN_S:
        tasks.append(asyncio.create_task(ask(len(tasks))))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*tasks)
    record.add(f"answers by status: {statuses}")
    return list(fleet.broken.values())


rig.main(case, FOLDER)
