"""Urgent tasks on a full fleet, in virtual time: the wait until an urgent task starts.

Ordinary tasks arrive faster than tasks end, so that each free slot is in demand. A client that is refused
sends its request again after the time that the refusal gives. Only the latency objective and the priority of
its class mark a task as urgent.
"""

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
SIZES = (46, 115, 230, 460, 920)  # planners; 15 for each scheduler, as with 4,600 planners and 300 schedulers
OVERLOAD_FACTOR = 1.05  # rate of ordinary tasks, relative to the rate at which tasks end
URGENT_SHARE = 0.05  # rate of urgent tasks, relative to the same rate
SETTLE_MS, MEASURED_MS = 60_000.0, 240_000.0
CASES = {"full": 1.0, "nine tenths full": 0.9}
MIN_RETRY_WAIT_MS = 50.0  # wait of a client after a refusal without a time


class _Clients:
    """Clients that submit requests at Poisson arrivals, and submit refused ones again."""

    def __init__(self, fleet: Fleet, fill_share: float) -> None:
        self.fleet, self.urgent = fleet, list[ModelRequest]()
        self.ordinary = self.refused = 0
        # Starts per ms that keep a full fleet full.
        rate = len(fleet.planners) * SLOTS_PER_PLANNER / MEAN_TASK_MS
        self.rates = {
            ORDINARY: rate * (OVERLOAD_FACTOR if fill_share == 1.0 else fill_share),
            URGENT: rate * URGENT_SHARE,
        }
        for job_class in self.rates:
            self._schedule_next(job_class)

    def _schedule_next(self, job_class: int) -> None:
        self.fleet.time.call_later(
            self.fleet.rng.expovariate(self.rates[job_class]), partial(self._submit, job_class)
        )

    def _submit(self, job_class: int) -> None:
        fleet = self.fleet
        request = ModelRequest(
            job_class,
            fleet.time.now_ms,
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
        self.fleet.time.call_later(
            max(MIN_RETRY_WAIT_MS, request.retry_wait_ms), partial(self.fleet.submit, request)
        )


def simulate(planners: int, case: str, seed: int = 1) -> dict[str, float]:
    """Simulate one fleet; the figures of its urgent tasks."""
    fleet = Fleet(planners, max(2, planners // 15), seed)
    fleet.fill(CASES[case], refill=False)
    clients = _Clients(fleet, CASES[case])
    begin_ms = fleet.time.now_ms
    fleet.time.run(begin_ms + SETTLE_MS + MEASURED_MS)
    # Tasks of the last 10 x `URGENT_MS` are left out: the run would cut their wait short.
    counted = [
        one
        for one in clients.urgent
        if begin_ms + SETTLE_MS <= one.submitted_at < fleet.time.now_ms - 10 * URGENT_MS
    ]
    waits = [
        (fleet.time.now_ms if one.started is None else one.started) - one.submitted_at for one in counted
    ]
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
    """One row for each size and case; those beyond the time limit are left out."""
    until, rows = monotonic() + limit_s, []
    for size in sizes:
        for case in CASES:
            if monotonic() < until:
                rows.append(Row(SLOPE, size, case, simulate(size, case), virtual=True))
    return rows
