"""Slow start: limits the jobs that a recently started worker gets."""

from __future__ import annotations

import random

from pipitshed.scheduling.capacity_estimate import ServiceStatistics
from pipitshed.scheduling.job_state import Job
from pipitshed.scheduling.settings import Guarantees
from pipitshed.scheduling.worker_state import Worker


def is_warming_up(worker: Worker, slow_start_ms: float, now_ms: float) -> bool:
    """Whether the worker started less than `slow_start_ms` ago and does not take its full load yet."""
    return worker.started_at_ms > 0 and now_ms - worker.started_at_ms < slow_start_ms


def capacity_fraction(worker: Worker, guarantees: Guarantees, now_ms: float) -> float:
    """The fraction of its capacity that a worker in slow start has reached at least."""
    age_ms = max(0.0, now_ms - worker.started_at_ms)
    return (
        guarantees.initial_capacity_fraction
        + (1 - guarantees.initial_capacity_fraction) * age_ms / guarantees.slow_start_ms
    )


def accepts(
    worker: Worker,
    job: Job,
    guarantees: Guarantees,
    statistics: ServiceStatistics,
    rejected_fraction: float,
    now_ms: float,
    rng: random.Random,
) -> bool:
    """Decide at random whether a worker in slow start gets this job.

    The probability is the fraction of its capacity that the worker has reached, and smaller for jobs of more
    than mean work. The caller decides only once per job: further draws would prefer these workers, which look
    idle, and all dispatchers together would send one of them more than its part.
    """
    reached_fraction = capacity_fraction(worker, guarantees, now_ms)
    relative_work = statistics.relative_work(job)
    accepted_fraction = min(statistics.served_fraction, 1 - rejected_fraction)
    return rng.random() * max(1.0, relative_work) < reached_fraction * accepted_fraction
