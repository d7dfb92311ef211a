"""Urgent tasks beside a full fleet, in virtual time: how long until one starts.

Ordinary tasks come by more than can end, so that each slot that comes free is wanted. A client that is
refused asks again when it was told to. Nothing but its class's aim and worth says that a task is urgent."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from time import monotonic

from benchmarks.capacity.modelled import (
    MEAN_TASK_MS,
    ORDINARY,
    SLOTS_PER_PLANNER,
    URGENT,
    URGENT_MS,
    Fleet,
    ModelRequest,
)
from benchmarks.capacity.records import Row
from benchmarks.capacity.starts import percentile

SLOPE = "urgent"
SIZES = (46, 115, 230, 460, 920)  # planners; 15 for a scheduler, as 4,600 for 300
OVERLOAD_FACTOR = 1.05  # of what ends in the same time, ordinary tasks that come
URGENT_SHARE = 0.05  # as many urgent ones
SETTLE_MS, MEASURED_MS = 60_000.0, 240_000.0
CASES = {"full": 1.0, "nine tenths full": 0.9}
MIN_RETRY_WAIT_MS = 50.0  # ms that a client waits after a refusal that tells no time


class _Clients:
    """They ask, and ask again where they are refused and urgent."""

    def __init__(self, fleet: Fleet, fill_share: float) -> None:
        self.fleet, self.urgent = fleet, list[ModelRequest]()
        self.ordinary = self.refused = 0
        rate = (
            len(fleet.planners) * SLOTS_PER_PLANNER / MEAN_TASK_MS
        )  # starts a ms that keep a full fleet full
        self.rates = {
            ORDINARY: rate * (OVERLOAD_FACTOR if fill_share == 1.0 else fill_share),
            URGENT: rate * URGENT_SHARE,
        }
        for job_class in self.rates:
            self._schedule_next(job_class)

    def _schedule_next(self, job_class: int) -> None:
        self.fleet.call_later(
            self.fleet.rng.expovariate(self.rates[job_class]), partial(self._submit, job_class)
        )

    def _submit(self, job_class: int) -> None:
        fleet = self.fleet
        request = ModelRequest(
            job_class,
            fleet.now,
            self._on_outcome,
            fleet.rng.randrange(len(fleet.schedulers)),
            fleet.rng.expovariate(1 / MEAN_TASK_MS),
        )
        if job_class == URGENT:
            self.urgent.append(request)
        self.ordinary += job_class == ORDINARY
        fleet.submit(request)
        self._schedule_next(job_class)

    def _on_outcome(self, request: ModelRequest) -> None:
        if request.started is not None:
            return
        self.refused += request.job_class == ORDINARY
        request.scheduler = self.fleet.rng.randrange(len(self.fleet.schedulers))
        self.fleet.call_later(
            max(MIN_RETRY_WAIT_MS, request.retry_wait_ms), partial(self.fleet.submit, request)
        )


def simulate(planners: int, case: str, seed: int = 1) -> dict[str, float]:
    """The figures of one fleet."""
    fleet = Fleet(planners, max(2, planners // 15), seed)
    fleet.fill(CASES[case], refill=False)
    clients = _Clients(fleet, CASES[case])
    begin_ms = fleet.now
    fleet.run(begin_ms + SETTLE_MS + MEASURED_MS)
    # Those that came near the end have had the time that they are judged by.
    counted = [
        one for one in clients.urgent if begin_ms + SETTLE_MS <= one.submitted_at < fleet.now - 10 * URGENT_MS
    ]
    waits = [(fleet.now if one.started is None else one.started) - one.submitted_at for one in counted]
    return {
        "urgent": float(len(counted)),
        "not_started": float(sum(one.started is None for one in counted)),
        "p50_ms": percentile(waits, 0.5),
        "p99_ms": percentile(waits, 0.99),
        "worst_ms": max(waits),
        "late_share": sum(wait > URGENT_MS for wait in waits) / len(waits),
        "refusals_each": sum(one.refusals for one in counted) / len(counted),
        "sends_each": sum(one.sends for one in counted) / len(counted),
        "busy_share": fleet.busy_share(),
        "ordinary_refusals_each": clients.refused / clients.ordinary,
    }


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """A row a size and case; those for which there is no time are left out."""
    until, rows = monotonic() + limit_s, []
    for size in sizes:
        for case in CASES:
            if monotonic() < until:
                rows.append(Row(SLOPE, size, case, simulate(size, case), virtual=True))
    return rows
