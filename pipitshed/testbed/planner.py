"""How a stand-in planner runs a job, for either interface, and the record of all attempts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

DEDUP_WINDOW_S = 25.0  # s in which the planners of one zone answer a repeated key with the first result


@dataclass(slots=True)
class Run:
    """One attempt whose message reached a planner completely. Times are seconds of the monotonic clock."""

    token: str  # the client's identifier of the request, carried in the body
    job_class: str
    key: str
    tenant: str
    remaining: float  # s until the deadline that the scheduler sent
    planner: str
    zone: str
    interface: int
    arrived: float
    ended: float = 0.0  # 0 while the attempt runs
    outcome: str = "out"  # done, failed, returned, repeat, cancelled


@dataclass(slots=True)
class Job:
    """A job as a planner received it, independent of the interface."""

    job_class: str
    key: str
    tenant: str
    remaining: float
    body: dict[str, Any]


@dataclass
class Record:
    """All attempts, and for each zone and key the start and result of the attempt that ran."""

    runs: list[Run] = field(default_factory=list)
    keys: dict[tuple[str, str], tuple[float, asyncio.Future[dict[str, Any]]]] = field(default_factory=dict)


@dataclass
class Behaviour:
    """Capacity, working times and failure rate of planners; `slowdown` may be changed while they run."""

    slots: int = 16
    queue: int = 64
    work_ms: dict[str, tuple[float, float]] = field(
        default_factory=lambda: {"quote": (10.0, 40.0), "book": (30.0, 90.0)}
    )
    fail: float = 0.0  # share of the jobs that run and fail
    slowdown: float = 1.0  # factor on the working time


def job_result(job: Job) -> dict[str, Any]:
    """Make a job's result from the job alone, so that a client can check that the result is its own."""
    body = job.body
    offer = {
        "departs_ms": 1_800_000_000_000 + 1000 * int(body["pallets"]),
        "lane": "night",
        "truck": f"T-{body.get('remark', '')}",
        "stops": [body["origin"], body["destination"]],
    }
    if job.job_class == "quote":
        return {"price_cents": 1250 * int(body["pallets"])} | offer
    return {"booking_ref": f"B-{body.get('remark', '')}"} | offer


class Planner:
    """One stand-in planner: its interface server passes jobs to `work` and sends the events yielded."""

    def __init__(
        self,
        name: str,
        zone: str,
        interface: int,
        behaviour: Behaviour,
        record: Record,
        seed: int,
        speed: float = 1.0,
    ) -> None:
        self.name, self.zone, self.interface, self.speed = name, zone, interface, speed
        self.busy_seconds = 0.0  # slot-seconds of work so far
        self.behaviour, self.record = behaviour, record
        self.draining = False
        self.job_count = 0
        self._rng = random.Random(seed)
        self._slots = asyncio.Semaphore(behaviour.slots)

    def _known_result(self, place: tuple[str, str], arrived: float) -> asyncio.Future[dict[str, Any]] | None:
        """Return the result of an earlier attempt with this key in its zone, which may still run, or None."""
        began, result = self.record.keys.get(place, (float("-inf"), None))
        if result is None or arrived - began >= DEDUP_WINDOW_S or result.cancelled():
            return None
        return result

    async def work(self, job: Job) -> AsyncIterator[tuple[str, Any]]:
        """Yield (state, its data) as the job proceeds; the last one is final."""
        run = Run(
            job.body.get("remark", ""),
            job.job_class,
            job.key,
            job.tenant,
            job.remaining,
            self.name,
            self.zone,
            self.interface,
            monotonic(),
        )
        if self.draining or self.job_count >= self.behaviour.slots + self.behaviour.queue:
            run.ended, run.outcome = run.arrived, "returned"
            self.record.runs.append(run)
            yield "returned", "draining" if self.draining else "full"
            return
        self.record.runs.append(run)
        self.job_count += 1
        run.outcome = "cancelled"  # unless another outcome follows
        try:
            place = (self.zone, job.key)
            # Where the earlier attempt is cancelled and has no result, this attempt runs instead.
            while job.key and (known := self._known_result(place, run.arrived)) is not None:
                yield "started", None
                await asyncio.wait([known])
                if not known.cancelled():
                    run.outcome = "repeat"
                    yield "done", known.result()
                    return
            result: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
            if job.key:
                self.record.keys[place] = (run.arrived, result)
            try:
                async with self._slots:
                    yield "started", None
                    least, most = self.behaviour.work_ms[job.job_class]
                    for part in (0.5, 1.0):
                        took = self._rng.uniform(least, most) / 2000 * self.behaviour.slowdown / self.speed
                        self.busy_seconds += took
                        await asyncio.sleep(took)
                        if part < 1.0:
                            yield "running", part
                    if self._rng.random() < self.behaviour.fail:
                        run.outcome = "failed"
                        yield "failed", ("NO_ROUTE", "no truck goes there")
                        return
                result.set_result(job_result(job))
                run.outcome = "done"
                yield "done", result.result()
            finally:
                if not result.done():
                    result.cancel()
        finally:
            run.ended = monotonic()
            self.job_count -= 1
